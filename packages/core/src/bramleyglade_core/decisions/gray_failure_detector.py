"""A sequential test that detects gray failures of a target.

Two cumulative sums (CUSUM; Page, 1954) of log likelihood ratios are updated by the
answers to real requests: one by latency relative to the service, one by failures.
They decide after a few bad answers, whereas a window must fill first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import HealthSettings

_BASELINE_WEIGHT = 0.05
"""Weight of a new answer in the target's own moving average."""

_LATENCY_SPREAD = 0.7
"""Assumed standard deviation of the log latency of healthy answers."""

_MAX_LATENCY_STEP = 2.2
"""Most evidence that the latency of one answer adds; one outlier can't eject."""

_MAX_SUM_FACTOR = 1.5
"""Most evidence that is kept, as a multiple of the threshold."""


class GrayFailureDetector:
    """The sequential test for one target."""

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._slow_sum = 0.0
        self._error_sum = 0.0
        shift = math.log(settings.slow_ratio)
        self._slope = shift / _LATENCY_SPREAD**2
        self._half_shift = shift / 2
        bad, good = settings.error_share, settings.healthy_error_share
        self._error_step = math.log(bad / good)
        self._success_step = math.log((1 - bad) / (1 - good))
        self.log_latency: float | None = None
        """Moving average of the log of this target's own latency in seconds."""

    @property
    def is_unhealthy(self) -> bool:
        """Whether the evidence has reached the threshold."""
        return max(self._slow_sum, self._error_sum) >= self._settings.threshold

    @property
    def evidence(self) -> float:
        """Larger of the two sums, as a share of the threshold."""
        return max(self._slow_sum, self._error_sum) / self._settings.threshold

    def note_answer(self, seconds: float, service_log_latency: float | None) -> None:
        """Record a good answer.

        Args:
            seconds: Time from the first byte sent to the answer's head.
            service_log_latency: Typical log latency of the service's targets; None
                if unknown.
        """
        log_latency = math.log(max(seconds, 1e-5))
        self._note_latency(log_latency, service_log_latency)
        self._error_sum = max(0.0, self._error_sum + self._success_step)
        if self.log_latency is None:
            self.log_latency = log_latency
        self.log_latency += _BASELINE_WEIGHT * (log_latency - self.log_latency)

    def note_failure(self) -> None:
        """Record an error, a reset, a truncated answer or a timeout."""
        ceiling = _MAX_SUM_FACTOR * self._settings.threshold
        self._error_sum = min(ceiling, self._error_sum + self._error_step)

    def note_overdue(self, seconds: float, service_log_latency: float | None) -> None:
        """Record that an exchange has no answer yet after some time.

        Args:
            seconds: Time since the first byte was sent.
            service_log_latency: As for `note_answer`.
        """
        self._note_latency(math.log(max(seconds, 1e-5)), service_log_latency)

    def reset(self) -> None:
        """Discard the evidence, as after a restart of the target."""
        self._slow_sum = 0.0
        self._error_sum = 0.0

    def _note_latency(
        self, log_latency: float, service_log_latency: float | None
    ) -> None:
        if service_log_latency is None:
            return
        excess = log_latency - service_log_latency
        step = min(_MAX_LATENCY_STEP, self._slope * (excess - self._half_shift))
        ceiling = _MAX_SUM_FACTOR * self._settings.threshold
        self._slow_sum = min(ceiling, max(0.0, self._slow_sum + step))
