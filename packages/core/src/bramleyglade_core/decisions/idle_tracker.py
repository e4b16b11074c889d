"""How long a target may be left without a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import HealthSettings


_FAILED_TRIALS = 2
"""Trials in a row that fail before the next one is put off; a well target fails some
requests too, about one in eighty on the users' platform."""


class IdleTracker:
    """Tells when a target is due for a request, whatever is held against it.

    What is known of a target that gets no requests can only grow old, so each decision
    that avoids one leaves it out for longer than it means to. The guard sees the
    requests of all fronts, so it alone knows how long that has been.
    """

    def __init__(self, settings: HealthSettings, now: float) -> None:
        self._settings = settings
        self._sent_at = now
        self._is_trial = False
        """Whether the last request came because the target was due for it."""
        self._failed_trials = 0
        """Trials in a row that have failed."""

    def note_sent(self, now: float) -> float:
        """Note that a request goes to the target.

        Args:
            now: Time of this process's clock, in seconds.

        Returns:
            Time since the request before, in seconds.
        """
        idle = self.idle_seconds(now)
        self._is_trial = self.is_due(now)
        self._sent_at = now
        return idle

    def note_outcome(self, is_good: bool) -> None:
        """Take in how a request ended; a target that goes on failing is tried less."""
        if is_good:
            self._failed_trials = 0
        elif self._is_trial:
            self._failed_trials += 1

    def idle_seconds(self, now: float) -> float:
        """Return the time since the last request."""
        return now - self._sent_at

    def is_due(self, now: float) -> bool:
        """Tell whether the next request that may be repeated should go here."""
        return self.idle_seconds(now) >= self._put_off(self._settings.due_seconds)

    def is_overdue(self, now: float) -> bool:
        """Tell whether the next request of any kind should go here."""
        longest = self._put_off(self._settings.longest_idle_seconds)
        return self.idle_seconds(now) >= longest

    def _put_off(self, seconds: float) -> float:
        """Lengthen a wait by what a target that goes on failing has to wait longer."""
        if self._failed_trials < _FAILED_TRIALS:
            return seconds
        settings = self._settings
        return seconds + settings.longest_trial_seconds - settings.due_seconds
