"""Limits on the time that a target is left without a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import HealthSettings


_TRIALS_BEFORE_BACKOFF = 2
"""Failed trials in a row before the next one is delayed; a healthy target also fails
some requests, typically one in eighty."""


class IdleTracker:
    """Decides when a target is due for a request, even if fronts avoid it.

    Data about a target without requests only goes stale, so each decision to avoid
    it lasts longer than intended. Only the guard sees the requests of all fronts and
    can measure the idle time.
    """

    def __init__(self, settings: HealthSettings, now: float) -> None:
        self._settings = settings
        self._sent_at = now
        self._is_trial = False
        """Whether the last request was a trial: the target was due for it."""
        self._failed_trials = 0
        """Failed trials in a row."""

    def note_sent(self, now: float) -> float:
        """Record that a request is sent to the target.

        Args:
            now: Time of this process's clock, in seconds.

        Returns:
            Time since the previous request, in seconds.
        """
        idle = self.idle_seconds(now)
        self._is_trial = self.is_due(now)
        self._sent_at = now
        return idle

    def note_outcome(self, is_good: bool) -> None:
        """Record the outcome of a request; repeated failures delay further trials."""
        if is_good:
            self._failed_trials = 0
        elif self._is_trial:
            self._failed_trials += 1

    def idle_seconds(self, now: float) -> float:
        """Return the seconds since the last request."""
        return now - self._sent_at

    def is_due(self, now: float) -> bool:
        """Return whether the target is due for the next retryable request."""
        return self.idle_seconds(now) >= self._with_backoff(self._settings.due_seconds)

    def is_overdue(self, now: float) -> bool:
        """Return whether the target is due for the next request of any kind."""
        longest = self._with_backoff(self._settings.longest_idle_seconds)
        return self.idle_seconds(now) >= longest

    def _with_backoff(self, seconds: float) -> float:
        """Return a wait, lengthened if the target keeps failing its trials."""
        if self._failed_trials < _TRIALS_BEFORE_BACKOFF:
            return seconds
        settings = self._settings
        return seconds + settings.longest_trial_seconds - settings.due_seconds
