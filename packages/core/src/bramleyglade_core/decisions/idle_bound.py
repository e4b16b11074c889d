"""How long a target may be left without a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import HealthSettings


class IdleBound:
    """Tells when a target is due for a request, whatever is held against it.

    What is known of a target that gets no requests can only grow old, so each decision
    that avoids one leaves it out for longer than it means to. The guard sees the
    requests of all fronts, so it alone knows how long that has been.
    """

    def __init__(self, settings: HealthSettings, now: float) -> None:
        self._settings = settings
        self._sent_at = now
        self._patience = 1.0
        """Factor on the times of the settings."""

    def note_sent(self, now: float) -> float:
        """Note that a request goes to the target.

        Args:
            now: Time of this process's clock, in seconds.

        Returns:
            Time since the request before, in seconds.
        """
        idle = self.idle_seconds(now)
        self._sent_at = now
        return idle

    def note_outcome(self, is_good: bool) -> None:
        """Take in how a request ended; a target that goes on failing is tried less."""
        most = self._settings.longest_trial_seconds / self._settings.due_seconds
        self._patience = 1.0 if is_good else min(most, 2 * self._patience)

    def idle_seconds(self, now: float) -> float:
        """Return the time since the last request."""
        return now - self._sent_at

    def is_due(self, now: float) -> bool:
        """Tell whether the next request that may be repeated should go here."""
        return self.idle_seconds(now) >= self._patience * self._settings.due_seconds

    def is_overdue(self, now: float) -> bool:
        """Tell whether the next request of any kind should go here."""
        longest = self._patience * self._settings.longest_idle_seconds
        return self.idle_seconds(now) >= longest
