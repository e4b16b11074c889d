"""A guard's record of its attempts; each starts at most once or is fenced."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from bramleyglade_core.model.exchange import AnswerEvent

if TYPE_CHECKING:
    from bramleyglade_core.model.identifiers import AttemptId
    from bramleyglade_core.model.settings import GuardSettings
    from bramleyglade_core.ports.clock import Clock


class AttemptPhase(Enum):
    """Progress of an attempt at this guard."""

    QUEUED = "queued"
    STARTED = "started"
    """Bytes of the attempt may have reached the target."""
    ANSWERED = "answered"
    """The target has answered; the answer may have been kept."""
    BROKEN = "broken"
    """The attempt started but will not get a complete answer."""
    FENCED = "fenced"
    """The attempt has not run at the target and never will."""


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """Phase of an attempt, and its answer if that was kept."""

    phase: AttemptPhase
    updated_at: float
    answer: tuple[AnswerEvent, ...] | None = None
    answer_bytes: int = 0


class AttemptTable:
    """Attempts by identifier; ensures that each starts at most once.

    Records are kept for a bounded time after the attempt has ended. Fronts query
    or resend an attempt only well within that time.
    """

    def __init__(self, settings: GuardSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._record_by_attempt: OrderedDict[AttemptId, AttemptRecord] = OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._record_by_attempt)

    @property
    def is_full(self) -> bool:
        """Whether the table is full, so that new attempts are refused."""
        self._drop_expired()
        return len(self._record_by_attempt) >= self._settings.remembered_attempts

    def accept(self, attempt: AttemptId) -> bool:
        """Record a new attempt as queued.

        Args:
            attempt: Identifier of the offered attempt.

        Returns:
            False if the attempt is known already, in whatever phase.
        """
        if attempt in self._record_by_attempt:
            return False
        self._set(attempt, AttemptPhase.QUEUED)
        return True

    def start(self, attempt: AttemptId) -> bool:
        """Mark an attempt as started, just before its first byte is sent.

        Args:
            attempt: Identifier of an accepted attempt.

        Returns:
            False if the attempt was fenced in the meantime or has already started.
        """
        record = self._record_by_attempt.get(attempt)
        if record is None or record.phase is not AttemptPhase.QUEUED:
            return False
        self._set(attempt, AttemptPhase.STARTED)
        return True

    def fence(self, attempt: AttemptId) -> AttemptPhase:
        """Prevent an attempt that has not started from ever starting.

        Args:
            attempt: Identifier of an attempt, known or unknown.

        Returns:
            FENCED if the attempt has not run, else its phase.
        """
        record = self._record_by_attempt.get(attempt)
        if record is None or record.phase is AttemptPhase.QUEUED:
            self._set(attempt, AttemptPhase.FENCED)
            return AttemptPhase.FENCED
        return record.phase

    def keep_answer(
        self, attempt: AttemptId, answer: tuple[AnswerEvent, ...] | None, size: int
    ) -> None:
        """Mark an attempt as answered, and keep the answer if space is left.

        Args:
            attempt: Identifier of a started attempt.
            answer: The complete answer, or None if it is too large to keep.
            size: Size of the answer, in bytes.
        """
        if (
            answer is None
            or self._answer_bytes + size > self._settings.remembered_bytes
        ):
            answer, size = None, 0
        self._set(attempt, AttemptPhase.ANSWERED, answer, size)

    def mark_broken(self, attempt: AttemptId) -> None:
        """Record that a started attempt ended without a complete answer."""
        record = self._record_by_attempt.get(attempt)
        if record is not None and record.phase is AttemptPhase.STARTED:
            self._set(attempt, AttemptPhase.BROKEN)

    def mark_not_run(self, attempt: AttemptId) -> None:
        """Record the target's statement that it did not run a started attempt."""
        self._set(attempt, AttemptPhase.FENCED)

    def find(self, attempt: AttemptId) -> AttemptRecord | None:
        """Return the record of an attempt, or None if it is unknown."""
        return self._record_by_attempt.get(attempt)

    def _set(
        self,
        attempt: AttemptId,
        phase: AttemptPhase,
        answer: tuple[AnswerEvent, ...] | None = None,
        size: int = 0,
    ) -> None:
        previous = self._record_by_attempt.pop(attempt, None)
        self._answer_bytes += size - (previous.answer_bytes if previous else 0)
        record = AttemptRecord(phase, self._clock(), answer, size)
        self._record_by_attempt[attempt] = record

    def _drop_expired(self) -> None:
        oldest = self._clock() - self._settings.remember_seconds
        while self._record_by_attempt:
            attempt, record = next(iter(self._record_by_attempt.items()))
            if record.updated_at > oldest:
                return
            if record.phase is AttemptPhase.STARTED:
                self._set(attempt, AttemptPhase.STARTED)
                continue
            del self._record_by_attempt[attempt]
            self._answer_bytes -= record.answer_bytes
