"""How long an idempotent request waits at one target before it tries another."""

from __future__ import annotations

_TIMEOUT_FACTOR = 4.0
"""Timeout, as a multiple of the typical latency. Four answers in a hundred take longer
if latencies are log-normal and their logarithm has a standard deviation of 0.8, as for
searches."""

_MIN_TIMEOUT_SECONDS = 0.1

_MIN_REMAINING_FACTOR = 1.5
"""Time that must remain for another target, as a multiple of the typical latency."""

_DEFAULT_TIMEOUT_SHARE = 0.5
"""Timeout, as a share of the remaining time, if the typical latency is unknown."""


def attempt_timeout(
    remaining_seconds: float, typical_seconds: float | None
) -> float | None:
    """Return the time after which to give up on a target that has not answered.

    Args:
        remaining_seconds: Time until the request's deadline.
        typical_seconds: Typical latency of the service; None if unknown.

    Returns:
        Seconds from the offer; None if too little time would remain for another
        target, so that the request should stay where it is.
    """
    if typical_seconds is None:
        return _DEFAULT_TIMEOUT_SHARE * remaining_seconds
    timeout = max(_MIN_TIMEOUT_SECONDS, _TIMEOUT_FACTOR * typical_seconds)
    if remaining_seconds - timeout < _MIN_REMAINING_FACTOR * typical_seconds:
        return None
    return timeout
