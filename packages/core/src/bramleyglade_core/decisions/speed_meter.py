"""How long a target takes for a request now."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_WEIGHT = 0.2
"""Weight of a new answer. A target of the users' days answers some four times a second
and is slow for six to nine; this follows within two seconds, and the spread of the
work (0.3 to 0.8) moves it by a quarter at most."""

_OVERDUE_FACTOR = 2.0
"""Age of an exchange, as a multiple of the usual time, from which it is overdue."""

_LEAST_OVERDUE = 2
"""Exchanges that are overdue at once on a slow target; one may be a long request."""


class SpeedMeter:
    """Smoothed latency of a target, raised at once by what is overdue.

    A target that turns slow answers late, so its answers alone tell of it late.
    """

    def __init__(self) -> None:
        self._log_seconds: float | None = None

    def note(self, seconds: float) -> None:
        """Take in the latency of a good answer."""
        log_seconds = math.log(max(seconds, 1e-5))
        if self._log_seconds is None:
            self._log_seconds = log_seconds
        self._log_seconds += _WEIGHT * (log_seconds - self._log_seconds)

    def log_latency(self, ages: Iterable[float]) -> float | None:
        """Return the logarithm of the latency to expect, in seconds.

        Args:
            ages: Time since each exchange without an answer was sent.

        Returns:
            The estimate; None if nothing is known.
        """
        if self._log_seconds is None:
            return None
        usual = math.exp(self._log_seconds)
        overdue = [age for age in ages if age > _OVERDUE_FACTOR * usual]
        if len(overdue) < _LEAST_OVERDUE:
            return self._log_seconds
        return math.log(sum(overdue) / len(overdue))
