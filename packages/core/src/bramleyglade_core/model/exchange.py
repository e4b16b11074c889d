"""Messages of one exchange between front, guard and target."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.identifiers import AttemptId
from bramleyglade_core.model.verdict import Verdict


@dataclass(frozen=True, slots=True)
class Header:
    """One header line; the name is in lower case."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class AttemptOffered:
    """A front asks a guard to run a request at one of its targets."""

    attempt: AttemptId
    target: str
    """Name of the target at the guard."""
    service: str
    team: str
    """Empty on routes open to all."""
    method: str
    path: str
    """Path with query, exactly as the target will see it."""
    headers: tuple[Header, ...]
    deadline_seconds: float
    """Time left for the whole exchange when the attempt was sent, in seconds."""
    is_idempotent: bool
    has_body: bool
    traceparent: str = ""
    """W3C trace context; empty when the request is not traced."""
    request_id: str = ""
    """The caller's name for the request, for logs and to know its answer by."""
    priority: int = 0
    """Rank in the queue; 0 is the most urgent."""
    must_start_now: bool = False
    """True if the attempt is to be refused rather than queued."""
    most_risk: float = 1.0
    """Probability of failure above which the guard is to refuse, 0 to 1."""
    objective_seconds: float | None = None
    """Time left within the latency objective, in seconds; None without one."""
    is_for_due: bool = False
    """True if the front chose the target because it was due for a request; while it
    still is, the guard takes the attempt whatever the risk."""
    sent_at: float = 0.0
    """When the front sent it, by the front's own clock, in seconds."""


@dataclass(frozen=True, slots=True)
class AnswerStarted:
    """The target's status and headers have arrived."""

    status: int
    headers: tuple[Header, ...]


@dataclass(frozen=True, slots=True)
class AnswerContinued:
    """A piece of the answer's body has arrived."""

    data: bytes


@dataclass(frozen=True, slots=True)
class AnswerEnded:
    """The answer is whole."""

    trailers: tuple[Header, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """The attempt came to nothing, or broke off after its answer started."""

    code: ErrorCode
    detail: str
    verdict: Verdict
    retry_after: float | None = None
    """Seconds; None when unknown."""


@dataclass(frozen=True, slots=True)
class BufferedAnswer:
    """An answer held back until its end has come."""

    started: AnswerStarted
    body: bytes
    trailers: tuple[Header, ...] = ()


AnswerEvent = Union[AnswerStarted, AnswerContinued, AnswerEnded, AttemptFailed]
