"""Duration of a target's ejections and its return to service."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import HealthSettings


class HealthPhase(Enum):
    """State of a target's health at its guard."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    TRIAL = "trial"
    """Half-open: one request at a time, until enough have succeeded.

    It must be idempotent, unless the target is overdue for a request.
    """


class EjectionTimer:
    """Ejection times that double with each relapse and decay in healthy periods."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self.phase = HealthPhase.HEALTHY
        self._seconds = settings.ejection_seconds
        self._until = 0.0
        self._healthy_since = 0.0
        self._successes = 0

    def eject(self, now: float) -> float:
        """Eject the target.

        Args:
            now: Time of this process's clock, in seconds.

        Returns:
            Duration of the ejection, in seconds.
        """
        if self.phase is HealthPhase.HEALTHY:
            self._decay_backoff(now)
        seconds = self._seconds
        self.phase = HealthPhase.EJECTED
        self._until = now + seconds
        self._seconds = min(2 * seconds, self._settings.longest_ejection_seconds)
        return seconds

    def update(self, now: float) -> HealthPhase:
        """Return the phase; an ejection that has ended becomes a trial."""
        if self.phase is HealthPhase.EJECTED and now >= self._until:
            self.phase = HealthPhase.TRIAL
            self._successes = 0
        return self.phase

    def note_trial(self, is_good: bool, now: float) -> HealthPhase:
        """Record the outcome of a trial request.

        Args:
            is_good: Whether the answer was good and not slow.
            now: Time of this process's clock, in seconds.

        Returns:
            The phase after the outcome.
        """
        if self.phase is not HealthPhase.TRIAL:
            return self.phase
        if not is_good:
            self.eject(now)
            return self.phase
        self._successes += 1
        if self._successes >= self._settings.trial_successes:
            self.restore(now)
        return self.phase

    def restore(self, now: float) -> None:
        """End the ejection or the trial; the target is healthy."""
        self.phase = HealthPhase.HEALTHY
        self._healthy_since = now

    def _decay_backoff(self, now: float) -> None:
        healthy = now - self._healthy_since
        while healthy > self._seconds > self._settings.ejection_seconds:
            healthy -= self._seconds
            self._seconds = max(self._settings.ejection_seconds, self._seconds / 2)
