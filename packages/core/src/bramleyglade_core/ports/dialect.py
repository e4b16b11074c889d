"""How callers and targets say what the fleet needs to know of a request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bramleyglade_core.model.errors import ErrorCode

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.exchange import AnswerStarted, Header
    from bramleyglade_core.model.verdict import Verdict


@dataclass(frozen=True, slots=True)
class CallerMetadata:
    """What a caller's headers say of its request."""

    request_id: str = ""
    """The caller's name for the request; empty if it gave none."""
    key: str = ""
    seconds: float | None = None
    """How long the caller will wait; None if it did not say."""


@dataclass(frozen=True, slots=True)
class ForwardedMetadata:
    """What the front tells a target beside the caller's own headers."""

    request_id: str
    team: str
    """Empty on routes open to all."""


@dataclass(frozen=True, slots=True)
class DispatchMetadata:
    """What the guard tells a target at the last moment."""

    remaining_seconds: float
    """Time left until the request's deadline."""
    instance: str
    """The run of the target that the request is meant for; may be empty."""


@dataclass(frozen=True, slots=True)
class AnswerClassification:
    """What the head of an answer says of the exchange."""

    fault: ErrorCode | None = None
    """Why the answer is not taken; None if it is."""
    detail: str = ""
    is_not_run: bool = False
    """True if the target says that it has not run the request."""
    is_other_instance: bool = False
    """True if another run of the target, or another target, has answered."""
    is_failure: bool = False
    """True if the target failed at the request."""


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """What a target's good answer to a health check says of it."""

    instance: str
    slots: int
    """Requests that the target runs at once."""
    cold_seconds: float = 0.0
    """How much longer the target is cold."""


class Dialect(Protocol):
    """Reads and writes the headers in which a deployment says such things."""

    def read_caller_headers(self, headers: Iterable[Header]) -> CallerMetadata:
        """Read the headers of a caller's request.

        Raises:
            BadRequest: If they can't be understood.
        """

    def forwarded_headers(
        self, headers: Iterable[Header], metadata: ForwardedMetadata
    ) -> tuple[Header, ...]:
        """Return what a target may see of a request's headers; never the key."""

    def target_headers(self, metadata: DispatchMetadata) -> tuple[Header, ...]:
        """Return the headers that the guard adds."""

    def classify_answer(
        self, started: AnswerStarted, request_id: str
    ) -> AnswerClassification:
        """Judge the head of an answer to a request of this name."""

    def read_health_headers(
        self, headers: Iterable[Header]
    ) -> HealthCheckResult | None:
        """Read the headers of a good health answer; None if they say too little."""

    def outcome_headers(
        self, verdict: Verdict, code: str, request_id: str
    ) -> list[Header]:
        """Return the headers that tell a caller what became of its request."""

    def retry_after(self, seconds: float) -> str:
        """Write a time after which to come back."""
