"""Messages of one request and its answer between front, guard and target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.identifiers import AttemptId
from bramleyglade_core.model.verdict import Verdict

_FIRST_STATUS, _LAST_STATUS = 100, 599
"""Statuses outside have no meaning (RFC 9110, 15); h11 accepts up to 999."""


@dataclass(frozen=True, slots=True)
class Header:
    """A header field with its name in lower case."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class AttemptOffered:
    """A front offers a guard an attempt to run a request at one of its targets."""

    attempt: AttemptId
    target: str
    """Name of the target at the guard."""
    service: str
    team: str
    """Empty on routes open to all."""
    method: str
    path: str
    """Path with query, exactly as sent to the target."""
    headers: tuple[Header, ...]
    deadline_seconds: float
    """Time left for the whole exchange when the attempt was sent."""
    is_idempotent: bool
    has_body: bool
    traceparent: str = ""
    """W3C trace context; empty if the request is not traced."""
    request_id: str = ""
    """ID of the request, for logs and to match answers with it."""
    priority: int = 0
    """Priority in the queue; 0 is the most urgent."""
    must_start_now: bool = False
    """Whether to refuse the attempt if it would have to queue."""
    most_risk: float = 1.0
    """Failure risk of the target above which the guard must refuse, 0 to 1."""
    objective_seconds: float | None = None
    """Time left within the latency objective; None without one."""
    is_for_due: bool = False
    """Whether the target was chosen because it was due for a request.

    If it still is due, the guard accepts the attempt whatever the risk.
    """
    sent_at: float = 0.0
    """Time of sending by the front's clock, in seconds."""
    is_call: bool = False
    """Whether a target sent the request while it executed another one."""
    route: str = ""
    """Name of the request's route; empty if the front doesn't state it."""


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The target's status and headers have arrived."""

    status: int
    headers: tuple[Header, ...]

    @property
    def has_valid_status(self) -> bool:
        """Whether the status is one that an answer may have."""
        return _FIRST_STATUS <= self.status <= _LAST_STATUS


@dataclass(frozen=True, slots=True)
class AnswerContinued:
    """A piece of the answer's body has arrived."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The answer is complete."""

    trailers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt failed, possibly after its answer had started."""

    code: ErrorCode
    detail: str
    verdict: Verdict
    retry_after: float | None = None
    """Time until a retry is useful, in seconds; None if unknown."""


@dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """An answer that is buffered until it is complete."""

    started: AnswerStarted
    body: bytes
    trailers: tuple[Header, ...] = ()


AnswerEvent = Union[AnswerStarted, AnswerContinued, AnswerEnded, AttemptFailed]
