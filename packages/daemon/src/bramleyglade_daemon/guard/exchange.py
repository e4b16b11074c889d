"""One attempt at a guard, from its offer to the end of its answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEvent,
    AttemptFailed,
    AttemptOffered,
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
        self._events: list[AnswerEvent] = []
        self.size = 0
        """Bytes of the body so far."""

    def note(self, event: AnswerEvent) -> None:
        """Add a part of the answer; an answer that is too large is not kept."""
        if isinstance(event, AnswerContinued):
            self.size += len(event.data)
        if self.size <= self._max_bytes:
            self._events.append(event)

    @property
    def answer(self) -> tuple[AnswerEvent, ...] | None:
        """The answer so far, or None if it is too large to keep."""
        return tuple(self._events) if self.size <= self._max_bytes else None
