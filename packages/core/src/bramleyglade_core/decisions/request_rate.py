"""Limit on the rate of requests that a target names in its answers."""

from __future__ import annotations

_BURST_SECONDS = 0.5
"""Requests that may be sent at once after a pause, as the time in which the rate allows
as many; at least one."""

LOWEST_RATE = 0.1
"""Lowest rate that is applied, in requests per second. A target that gets no request
gives no answer, so it could not end or raise its limit."""


class RequestRateLimiter:
    """Spaces the requests to a target by the rate that it names, by a token bucket.

    The bucket starts empty, since a target that names a limit has just got too many
    requests. A limit holds as long as the target's answers name it.
    """

    def __init__(self) -> None:
        self.per_second: float | None = None
        """Rate that the target's newest answer named; None without a limit."""
        self._level = 0.0
        self._updated_at = 0.0

    def note_answer(self, per_second: float | None, now: float) -> bool:
        """Apply the rate that an answer names.

        Args:
            per_second: Requests per second; None if the answer names no rate.
            now: Time of this process's clock, in seconds.

        Returns:
            Whether the limit has changed.
        """
        if per_second is not None:
            per_second = max(per_second, LOWEST_RATE)
        if per_second == self.per_second:
            return False
        if self.per_second is None:
            self._level = 0.0
            self._updated_at = now
        self._refill(now)
        self.per_second = per_second
        return True

    def note_sent(self, now: float) -> None:
        """Count a request that is sent to the target."""
        if self.per_second is not None:
            self._refill(now)
            self._level -= 1.0

    def wait_seconds(self, now: float, ahead: int = 0) -> float:
        """Return how long a new request has to wait.

        Args:
            now: Time of this process's clock, in seconds.
            ahead: Queued requests that go first.

        Returns:
            Seconds; 0 if it may be sent now, as always without a limit.
        """
        if self.per_second is None:
            return 0.0
        self._refill(now)
        missing = 1.0 + ahead - self._level
        return max(0.0, missing / self.per_second)

    def _refill(self, now: float) -> None:
        if self.per_second is not None:
            capacity = max(1.0, _BURST_SECONDS * self.per_second)
            earned = self.per_second * (now - self._updated_at)
            self._level = min(capacity, self._level + earned)
        self._updated_at = now
