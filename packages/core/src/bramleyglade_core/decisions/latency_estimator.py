"""Estimate of a target's current latency."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

_SMOOTHING_WEIGHT = 0.2
"""Weight of a new answer. Targets typically answer about four requests a second, and
slow spells last six to nine seconds. The estimate follows within two seconds, and the
usual spread of log latency (0.3 to 0.8) moves it by a quarter at most."""

_OVERDUE_FACTOR = 2.0
"""Age, as a multiple of the smoothed latency, from which an exchange is overdue."""

_MIN_OVERDUE = 2
"""Overdue exchanges from which a target counts as slow; one may be a long request."""


class LatencyEstimator:
    """Exponential moving average of latency, raised at once by overdue exchanges.

    A target that becomes slow answers late, so answers alone would reveal it late.
    """

    def __init__(self) -> None:
        self._log_seconds: float | None = None

    def note(self, seconds: float) -> None:
        """Add the latency of a successful answer, in seconds."""
        log_seconds = math.log(max(seconds, 1e-5))
        if self._log_seconds is None:
            self._log_seconds = log_seconds
        self._log_seconds += _SMOOTHING_WEIGHT * (log_seconds - self._log_seconds)

    def log_latency(self, ages: Iterable[float]) -> float | None:
        """Return the logarithm of the expected latency in seconds.

        Args:
            ages: Seconds since each unanswered exchange was sent.

        Returns:
            The estimate; None before the first answer.
        """
        if self._log_seconds is None:
            return None
        usual = math.exp(self._log_seconds)
        overdue = [age for age in ages if age > _OVERDUE_FACTOR * usual]
        if len(overdue) < _MIN_OVERDUE:
            return self._log_seconds
        return math.log(sum(overdue) / len(overdue))
