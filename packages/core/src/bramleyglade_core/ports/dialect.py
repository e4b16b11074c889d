"""Header dialect: the metadata of requests and answers in HTTP headers."""

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
    """Metadata from the headers of a caller's request."""

    request_id: str = ""
    """ID that the caller gave the request; empty without one."""
    key: str = ""
    """API key; empty without one."""
    seconds: float | None = None
    """Timeout stated by the caller; None without one."""


@dataclass(frozen=True, slots=True)
class ForwardedMetadata:
    """Metadata that the front adds to the caller's headers."""

    request_id: str
    team: str
    """Empty on routes open to all."""


@dataclass(frozen=True, slots=True)
class DispatchMetadata:
    """Metadata that the guard adds when it sends a request to a target."""

    remaining_seconds: float
    """Time left until the request's deadline."""
    instance: str
    """Run of the target that the request is meant for; empty if unknown."""


@dataclass(frozen=True, slots=True)
class AnswerClassification:
    """Result of classifying the head of an answer."""

    fault: ErrorCode | None = None
    """Reason to reject the answer; None if it is accepted."""
    detail: str = ""
    is_not_run: bool = False
    """True if the target states that it has not run the request."""
    is_other_instance: bool = False
    """True if another run of the target, or another target, answered."""
    is_failure: bool = False
    """True if the answer reports a failure of the target."""
    is_leaving: bool = False
    """True if the target states that it is leaving."""
    requests_per_second: float | None = None
    """Rate that the target names as its limit, of all callers; None without one."""


@dataclass(frozen=True, slots=True)
class HealthCheckResult:
    """State of a target from its answer to a health check."""

    instance: str
    slots: int
    """Requests that the target can run concurrently; 0 if it doesn't state them."""
    cold_seconds: float = 0.0
    """Remaining time for which the target is cold."""
    is_leaving: bool = False
    """Whether the target states that it is leaving."""


class Dialect(Protocol):
    """Reads and writes the metadata headers of a deployment."""

    def read_caller_headers(self, headers: Iterable[Header]) -> CallerMetadata:
        """Read the headers of a caller's request.

        Raises:
            BadRequest: If they are malformed.
        """

    def forwarded_headers(
        self, headers: Iterable[Header], metadata: ForwardedMetadata
    ) -> tuple[Header, ...]:
        """Return the headers to pass on to a target, without the key."""

    def target_headers(self, metadata: DispatchMetadata) -> tuple[Header, ...]:
        """Return the headers that the guard adds."""

    def classify_answer(
        self,
        started: AnswerStarted,
        request_id: str,
        is_first_on_connection: bool = False,
    ) -> AnswerClassification:
        """Classify the head of an answer.

        Args:
            started: The head.
            request_id: ID of the request that waits for an answer.
            is_first_on_connection: Whether this request is the first one on its
                connection, so that a refusal without an ID can belong to no other.

        Returns:
            The classification; a fault if the answer may belong to another request.
        """

    def read_health_headers(
        self, headers: Iterable[Header]
    ) -> HealthCheckResult | None:
        """Read the headers of a health answer; None if they name no instance."""

    def outcome_headers(
        self, verdict: Verdict, code: str, request_id: str
    ) -> list[Header]:
        """Return the headers that report the outcome of a request to its caller."""

    def retry_after(self, seconds: float) -> str:
        """Format the time until a retry is useful as a header value."""
