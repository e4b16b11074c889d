"""What a guard knows of the attempts offered to it: the fence of each attempt."""

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
    """How far an attempt got at this guard."""

    QUEUED = "queued"
    STARTED = "started"
    """Bytes of it may have reached the target."""
    ANSWERED = "answered"
    """The target has answered; the answer may have been kept."""
    BROKEN = "broken"
    """It started, and no whole answer will come."""
    FENCED = "fenced"
    """It never reached the target and never will."""


@dataclass(frozen=True, slots=True)
class AttemptRecord:
    """An attempt's phase, and its answer if that was kept."""

    phase: AttemptPhase
    noted_at: float
    answer: tuple[AnswerEvent, ...] | None = None
    answer_bytes: int = 0


class AttemptTable:
    """Attempts by their identifier, each of which starts at most once.

    Records are kept for a bounded time after the attempt has ended. Fronts ask
    about an attempt, and send a copy of it, only well within that time.
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
        """Whether no more attempts can be remembered; new ones are refused."""
        self._forget_old()
        return len(self._record_by_attempt) >= self._settings.remembered_attempts

    def accept(self, attempt: AttemptId) -> bool:
        """Enter a new attempt.

        Args:
            attempt: The attempt offered.

        Returns:
            False if it is known already, whatever became of it.
        """
        if attempt in self._record_by_attempt:
            return False
        self._set(attempt, AttemptPhase.QUEUED)
        return True

    def start(self, attempt: AttemptId) -> bool:
        """Take the last step before the first byte to the target.

        Args:
            attempt: An attempt that was accepted.

        Returns:
            False if it was fenced in the meantime or has started already.
        """
        record = self._record_by_attempt.get(attempt)
        if record is None or record.phase is not AttemptPhase.QUEUED:
            return False
        self._set(attempt, AttemptPhase.STARTED)
        return True

    def fence(self, attempt: AttemptId) -> AttemptPhase:
        """Make sure that an attempt that has not started never will.

        Args:
            attempt: An attempt, known or not.

        Returns:
            FENCED if the attempt has not run, else how far it got.
        """
        record = self._record_by_attempt.get(attempt)
        if record is None or record.phase is AttemptPhase.QUEUED:
            self._set(attempt, AttemptPhase.FENCED)
            return AttemptPhase.FENCED
        return record.phase

    def keep_answer(
        self, attempt: AttemptId, answer: tuple[AnswerEvent, ...] | None, size: int
    ) -> None:
        """Note that the target has answered.

        Args:
            attempt: An attempt that has started.
            answer: The whole answer, or None if it is too large to keep.
            size: Bytes of the answer's body.
        """
        if self._answer_bytes + size > self._settings.remembered_bytes:
            answer, size = None, 0
        self._set(attempt, AttemptPhase.ANSWERED, answer, size)

    def mark_broken(self, attempt: AttemptId) -> None:
        """Note that a started attempt has ended without a whole answer."""
        record = self._record_by_attempt.get(attempt)
        if record is not None and record.phase is AttemptPhase.STARTED:
            self._set(attempt, AttemptPhase.BROKEN)

    def mark_not_run(self, attempt: AttemptId) -> None:
        """Note that the target said that it has not run a started attempt."""
        self._set(attempt, AttemptPhase.FENCED)

    def find(self, attempt: AttemptId) -> AttemptRecord | None:
        """Return what is known of an attempt."""
        return self._record_by_attempt.get(attempt)

    def _set(
        self,
        attempt: AttemptId,
        phase: AttemptPhase,
        answer: tuple[AnswerEvent, ...] | None = None,
        size: int = 0,
    ) -> None:
        known = self._record_by_attempt.pop(attempt, None)
        self._answer_bytes += size - (known.answer_bytes if known else 0)
        record = AttemptRecord(phase, self._clock(), answer, size)
        self._record_by_attempt[attempt] = record

    def _forget_old(self) -> None:
        oldest = self._clock() - self._settings.remember_seconds
        while self._record_by_attempt:
            attempt, record = next(iter(self._record_by_attempt.items()))
            if record.noted_at > oldest:
                return
            if record.phase is AttemptPhase.STARTED:
                self._set(attempt, AttemptPhase.STARTED)
                continue
            del self._record_by_attempt[attempt]
            self._answer_bytes -= record.answer_bytes
