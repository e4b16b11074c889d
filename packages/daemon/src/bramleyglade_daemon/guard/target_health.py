"""What the guard makes of one target's health."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramleyglade_core.decisions.ejection import EjectionTimer, HealthPhase
from bramleyglade_core.decisions.ejection_permits import (
    PERMIT_RENEWAL_SECONDS,
    PERMIT_TERM_SECONDS,
)
from bramleyglade_core.decisions.gray_failure_detector import GrayFailureDetector
from bramleyglade_core.model.ejections import EjectionAsked

if TYPE_CHECKING:
    from bramleyglade_core.model.announcements import TargetAnnouncement
    from bramleyglade_core.model.identifiers import DaemonId, TargetId
    from bramleyglade_core.model.settings import HealthSettings


class TargetHealth:
    """Evidence, leave to eject and ejection time of one target.

    Leave comes from the keeper of the service's ejections, for a term from
    before the asking. A target whose leave has lapsed takes work again.
    """

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self.test = GrayFailureDetector(settings)
        self.timer = EjectionTimer(settings)
        self._leave_end = float("-inf")
        self._next_ask_at = float("-inf")
        self._sequence = 0
        self.service_log_latency: float | None = None
        """Typical log latency of the service's other targets; None if unknown."""

    def phase(self, now: float) -> HealthPhase:
        """Return the phase now; without leave a target counts as healthy."""
        if now >= self._leave_end:
            return HealthPhase.HEALTHY
        return self.timer.update(now)

    def note_answer(self, seconds: float, now: float) -> None:
        """Take in a good answer."""
        phase = self.phase(now)
        self.test.note_answer(seconds, self.service_log_latency)
        if phase is HealthPhase.TRIAL:
            self._end_trial(not self._is_slow(seconds), now)

    def note_failure(self, now: float) -> None:
        """Take in an error, a reset, a truncated answer or a timeout."""
        phase = self.phase(now)
        self.test.note_failure()
        if phase is HealthPhase.TRIAL:
            self._end_trial(False, now)

    def ask_due(
        self,
        target: TargetId,
        guard: DaemonId,
        announced: TargetAnnouncement,
        now: float,
    ) -> EjectionAsked | None:
        """Return the ask that is due to the keeper, if any.

        Args:
            target: The target.
            guard: This daemon.
            announced: The target's announcement.
            now: Time of this process's clock, in seconds.

        Returns:
            An ask for leave, for its renewal or to give it back.
        """
        if now < self._next_ask_at:
            return None
        is_held = now < self._leave_end
        is_out = self.timer.update(now) is not HealthPhase.HEALTHY
        if not is_held and not self.test.is_unhealthy:
            self.timer.restore(now)
            return None
        is_wanted = self.test.is_unhealthy or is_out
        self._next_ask_at = now + PERMIT_RENEWAL_SECONDS / (1 if is_held else 4)
        self._sequence += 1
        return EjectionAsked(
            service=announced.service,
            target=target,
            guard=guard,
            sequence=self._sequence,
            slots=announced.slots,
            is_wanted=is_wanted,
            is_held=is_held,
        )

    def take_answer(
        self, asked: EjectionAsked, is_granted: bool, asked_at: float
    ) -> bool:
        """Take in the keeper's answer.

        Args:
            asked: The ask.
            is_granted: The keeper's word.
            asked_at: Time of this process's clock from before the asking.

        Returns:
            True if the target is newly ejected.
        """
        if asked.sequence != self._sequence:
            return False
        if not asked.is_wanted or not is_granted:
            self._leave_end = float("-inf")
            return False
        self._leave_end = asked_at + PERMIT_TERM_SECONDS
        if self.timer.phase is not HealthPhase.HEALTHY:
            return False
        self.timer.eject(asked_at)
        return True

    def restart(self) -> None:
        """Forget the evidence, since the target has restarted."""
        self.test.reset()

    def _is_slow(self, seconds: float) -> bool:
        if self.service_log_latency is None or self.test.log_latency is None:
            return False
        trial = GrayFailureDetector(self._settings)
        trial.note_answer(seconds, self.service_log_latency)
        return trial.evidence > 0

    def _end_trial(self, is_good: bool, now: float) -> None:
        if self.timer.note_trial(is_good, now) is HealthPhase.HEALTHY:
            self.test.reset()
