"""How long an idempotent request waits at one target before it tries another."""

from __future__ import annotations

import math

_TYPICAL_FACTOR = 8.0
"""Wait, as a multiple of the target's typical latency."""

_SHORTEST_SECONDS = 0.1
_UNKNOWN_SHARE = 0.25
"""Wait, as a share of the time left, where no latency is known."""


def attempt_timeout(left_seconds: float, log_latency: float | None) -> float:
    """Return when to give up on a target that has not answered.

    Args:
        left_seconds: Time until the request's deadline.
        log_latency: Smoothed logarithm of the target's latency in seconds; None
            if unknown.

    Returns:
        Seconds from the offer; never more than a quarter of the time left, so
        that other targets have time to answer.
    """
    longest = _UNKNOWN_SHARE * left_seconds
    if log_latency is None:
        return longest
    typical = _TYPICAL_FACTOR * math.exp(log_latency)
    return min(longest, max(_SHORTEST_SECONDS, typical))
