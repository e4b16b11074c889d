"""How often a cold target may be sent a request."""

from __future__ import annotations

from collections import deque

_WINDOW_SECONDS = 1.0


class ColdRateLimiter:
    """Bounds the requests in any one second while a target is cold."""

    def __init__(self) -> None:
        self._sent_at: deque[float] = deque()
        self._cold_until = float("-inf")

    def note_cold(self, until: float) -> None:
        """Note until when the target is cold, by this process's clock."""
        self._cold_until = until

    def is_cold(self, now: float) -> bool:
        """Tell whether the target is cold."""
        return now < self._cold_until

    def note_sent(self, now: float) -> None:
        """Count a request that is sent to the target."""
        self._sent_at.append(now)
        self._forget(now)

    def wait_seconds(self, per_second: float, now: float) -> float:
        """Return how long the next request has to wait; 0 if it may go now.

        Args:
            per_second: Requests a second that the cold target bears.
            now: Time of this process's clock, in seconds.

        Returns:
            Seconds; a warm target never makes a request wait.
        """
        if not self.is_cold(now):
            return 0.0
        self._forget(now)
        excess = len(self._sent_at) - max(1, int(per_second))
        if excess < 0:
            return 0.0
        return self._sent_at[excess] + _WINDOW_SECONDS - now

    def _forget(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] <= now - _WINDOW_SECONDS:
            self._sent_at.popleft()
