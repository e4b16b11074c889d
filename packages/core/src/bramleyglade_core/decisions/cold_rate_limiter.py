"""Rate limit for requests to a cold target."""

from __future__ import annotations

from collections import deque

_WINDOW_SECONDS = 1.0


class ColdRateLimiter:
    """Limits the requests in any one second while a target is cold."""

    def __init__(self) -> None:
        self._sent_at: deque[float] = deque()
        self._cold_until: float | None = None
        """When the target will be warm, as it has stated; None before it has."""

    def note_cold(self, until: float) -> None:
        """Set the time until which the target is cold, by this process's clock."""
        self._cold_until = until

    def restart(self, now: float) -> None:
        """Forget that the target was warm, as a new instance has replaced it."""
        if not self.is_cold(now):
            self._cold_until = None

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold."""
        return self._cold_until is not None and now < self._cold_until

    def is_known_warm(self, now: float) -> bool:
        """Return whether the target has stated that it is warm by now."""
        return self._cold_until is not None and now >= self._cold_until

    def note_sent(self, now: float) -> None:
        """Count a request that is sent to the target."""
        self._sent_at.append(now)
        self._drop_expired(now)

    def wait_seconds(self, per_second: float, now: float) -> float:
        """Return how long the next request has to wait.

        Args:
            per_second: Requests a second that the target can handle while cold.
            now: Time of this process's clock, in seconds.

        Returns:
            Seconds; 0 if the request may be sent now, as always to a warm target.
        """
        if not self.is_cold(now):
            return 0.0
        self._drop_expired(now)
        excess = len(self._sent_at) - max(1, int(per_second))
        if excess < 0:
            return 0.0
        return self._sent_at[excess] + _WINDOW_SECONDS - now

    def _drop_expired(self, now: float) -> None:
        while self._sent_at and self._sent_at[0] <= now - _WINDOW_SECONDS:
            self._sent_at.popleft()
