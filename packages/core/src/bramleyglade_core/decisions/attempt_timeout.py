"""How long an idempotent request waits at one target before it tries another."""

from __future__ import annotations

_TYPICAL_FACTOR = 4.0
"""Wait, as a multiple of the typical latency. Four in a hundred answers take longer
where latencies spread as those of the users' searches do (a spread of 0.8)."""

_SHORTEST_SECONDS = 0.1

_LEAST_LEFT_FACTOR = 1.5
"""Time that has to be left for the other target, as a multiple of the same."""

_UNKNOWN_SHARE = 0.5
"""Wait, as a share of the time left, where no latency is known."""


def attempt_timeout(left_seconds: float, typical_seconds: float | None) -> float | None:
    """Return when to give up on a target that has not answered.

    Args:
        left_seconds: Time until the request's deadline.
        typical_seconds: Latency that is usual for the service; None if unknown.

    Returns:
        Seconds from the offer; None if another target would have too little time,
        so that the request is better left where it runs.
    """
    if typical_seconds is None:
        return _UNKNOWN_SHARE * left_seconds
    wait = max(_SHORTEST_SECONDS, _TYPICAL_FACTOR * typical_seconds)
    if left_seconds - wait < _LEAST_LEFT_FACTOR * typical_seconds:
        return None
    return wait
