"""One attempt at a guard, from its offer to the end of its answer."""

from __future__ import annotations

from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEnded,
    AnswerEvent,
    AnswerStarted,
    AttemptFailed,
    AttemptOffered,
    Header,
)
from bramleyglade_daemon.streams import GuardStream

if TYPE_CHECKING:
    from bramleyglade_core.model.errors import ErrorCode
    from bramleyglade_core.model.settings import GuardSettings
    from bramleyglade_core.model.verdict import Verdict


@dataclass(frozen=True, slots=True, eq=False)
class QueuedAttempt:
    """An attempt and the guard's end of its streams."""

    offered: AttemptOffered
    stream: GuardStream
    deadline: float
    """Time of this process's clock, in seconds."""
    objective_at: float | None = None
    """When its latency objective ends, by the same clock; None without one."""

    async def refuse(
        self,
        code: ErrorCode,
        detail: str,
        verdict: Verdict,
        retry_after: float | None = None,
    ) -> None:
        """Send the failure to the front, unless the front has abandoned the attempt."""
        if not self.stream.is_abandoned:
            await self.stream.send(AttemptFailed(code, detail, verdict, retry_after))


class AnswerRecorder:
    """Keeps the answer of a non-idempotent attempt in case the link is lost."""

    def __init__(self, settings: GuardSettings) -> None:
        self._max_bytes = settings.remembered_answer_bytes
        self._started: AnswerStarted | None = None
        self._body = bytearray()
        """Joined, as a target may send each byte in a piece of its own."""
        self._ended: AnswerEnded | None = None
        self.size = 0
        """Bytes of the head, the body and the trailers so far."""

    def note(self, event: AnswerEvent) -> None:
        """Add a part of the answer; an answer that is too large is not kept."""
        self.size += _size_of(event)
        if self.size > self._max_bytes:
            self._body.clear()
        elif isinstance(event, AnswerStarted):
            self._started = event
        elif isinstance(event, AnswerContinued):
            self._body += event.data
        elif isinstance(event, AnswerEnded):
            self._ended = event

    @property
    def answer(self) -> tuple[AnswerEvent, ...] | None:
        """The complete answer, or None if it is incomplete or too large to keep."""
        if self.size > self._max_bytes or self._started is None or self._ended is None:
            return None
        body = (AnswerContinued(bytes(self._body)),) if self._body else ()
        return (self._started, *body, self._ended)


@singledispatch
def _size_of(event: AnswerEvent) -> int:
    """Return the bytes that a part of an answer takes."""
    return 0


@_size_of.register
def _(event: AnswerStarted) -> int:
    return _size_of_headers(event.headers)


@_size_of.register
def _(event: AnswerContinued) -> int:
    return len(event.data)


@_size_of.register
def _(event: AnswerEnded) -> int:
    return _size_of_headers(event.trailers)


def _size_of_headers(headers: tuple[Header, ...]) -> int:
    return sum(len(header.name) + len(header.value) for header in headers)
