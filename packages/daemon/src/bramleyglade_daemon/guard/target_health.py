"""The guard's assessment of one target's health."""

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
    """Evidence of failure, permission to eject and ejection time of one target.

    The keeper of the service's ejections grants the permission for a limited term,
    which starts when the request is sent. Once it expires, the target gets work again.
    """

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self.detector = GrayFailureDetector(settings)
        self.timer = EjectionTimer(settings)
        self._granted_until = float("-inf")
        self._next_request_at = float("-inf")
        self._sequence = 0
        self.service_log_latency: float | None = None
        """Typical log latency of the service's other targets; None if unknown."""

    def phase(self, now: float) -> HealthPhase:
        """Return the current phase; without permission a target counts as healthy."""
        if now >= self._granted_until:
            return HealthPhase.HEALTHY
        return self.timer.update(now)

    def note_answer(self, seconds: float, now: float) -> None:
        """Record a good answer."""
        phase = self.phase(now)
        self.detector.note_answer(seconds, self.service_log_latency)
        if phase is HealthPhase.TRIAL:
            self._end_trial(not self._is_slow(seconds), now)

    def note_failure(self, now: float) -> None:
        """Record an error, a reset, a truncated answer or a timeout."""
        phase = self.phase(now)
        self.detector.note_failure()
        if phase is HealthPhase.TRIAL:
            self._end_trial(False, now)

    def make_due_request(
        self,
        target: TargetId,
        guard: DaemonId,
        announced: TargetAnnouncement,
        now: float,
    ) -> EjectionAsked | None:
        """Make the request to the keeper that is due, if any.

        Args:
            target: The target.
            guard: This daemon.
            announced: The target's announcement.
            now: Time of this process's clock, in seconds.

        Returns:
            A request to get, renew or return the permission; None if none is due.
        """
        if now < self._next_request_at:
            return None
        is_held = now < self._granted_until
        is_ejection_active = self.timer.update(now) is not HealthPhase.HEALTHY
        if not is_held and not self.detector.is_unhealthy:
            self.timer.restore(now)
            return None
        is_wanted = self.detector.is_unhealthy or is_ejection_active
        self._next_request_at = now + PERMIT_RENEWAL_SECONDS / (1 if is_held else 4)
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

    def apply_decision(
        self, request: EjectionAsked, is_granted: bool, requested_at: float
    ) -> bool:
        """Apply the keeper's decision on a request.

        Args:
            request: The request.
            is_granted: The keeper's decision.
            requested_at: Time of this process's clock before the request was sent, in
                seconds.

        Returns:
            True if the target is newly ejected.
        """
        if request.sequence != self._sequence:
            return False
        if not request.is_wanted or not is_granted:
            self._granted_until = float("-inf")
            return False
        self._granted_until = requested_at + PERMIT_TERM_SECONDS
        if self.timer.phase is not HealthPhase.HEALTHY:
            return False
        self.timer.eject(requested_at)
        return True

    def restart(self) -> None:
        """Discard the evidence, as the target has restarted."""
        self.detector.reset()

    def _is_slow(self, seconds: float) -> bool:
        if self.service_log_latency is None or self.detector.log_latency is None:
            return False
        trial = GrayFailureDetector(self._settings)
        trial.note_answer(seconds, self.service_log_latency)
        return trial.evidence > 0

    def _end_trial(self, is_good: bool, now: float) -> None:
        if self.timer.note_trial(is_good, now) is HealthPhase.HEALTHY:
            self.detector.reset()
