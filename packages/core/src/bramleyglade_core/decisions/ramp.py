"""Concurrency limit of a target after a cold start."""

from __future__ import annotations

import math

_ANSWERS_PER_STEP = 6
"""Answers at one limit before a higher one is tried."""

_MAX_ANSWERS_PER_STEP = 96
"""Upper bound of that number, which doubles each time that a trial fails."""

_STEP_DIVISOR = 4
"""A step is the limit divided by this, and at least one request."""

_TRIAL_SLACK = 0.2
"""Increase of log latency that is tolerated at a limit on trial."""

_TRIAL_THRESHOLD = 1.0
"""Sum of log latency beyond the slack at which the trial fails."""

_STEADY_SLACK = 0.4
"""Increase of log latency that counts as noise at a proven limit."""

_STEADY_THRESHOLD = 2.5
"""Sum of log latency beyond the slack from which the target counts as cold again."""

_BASELINE_WEIGHT = 0.1
"""Weight of a new answer in the baseline, a moving average of log latency."""


class ConcurrencyRamp:
    """Raises a target's concurrency limit from one to its number of slots.

    A higher limit is on trial first. If latency grows with it, the trial fails: the
    limit returns to the proven one, and the next trial takes twice as many answers.
    A lasting increase in latency at a proven limit, or a failure, halves the limit.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self.limit = 1
        """Number of requests that may run at once now."""
        self._proven_limit = 1
        self._baseline: float | None = None
        self._baseline_answers = 0
        self._answers = 0
        self._answers_needed = _ANSWERS_PER_STEP
        self._excess = 0.0

    @property
    def is_warm(self) -> bool:
        """Whether all slots may be used."""
        return self.limit >= self._slots

    def note_latency(self, seconds: float) -> None:
        """Record the latency of a successful answer.

        Args:
            seconds: Time from the first byte sent to the answer's head.
        """
        log_latency = math.log(max(seconds, 1e-5))
        if self._baseline is None:
            self._baseline = log_latency
            self._baseline_answers = 0
        excess = log_latency - self._baseline
        self._answers += 1
        if self._proven_limit < self.limit:
            self._note_trial(excess)
        else:
            self._note_steady(excess)

    def back_off(self) -> None:
        """Halve the limit after a failure or an overdue answer."""
        self._lower_limit(max(1, self.limit // 2))

    def restart(self) -> None:
        """Return to a limit of one, as the target has restarted."""
        self._baseline = None
        self._answers_needed = _ANSWERS_PER_STEP
        self._lower_limit(1)

    def _note_trial(self, excess: float) -> None:
        self._excess += excess - _TRIAL_SLACK
        if self._excess > _TRIAL_THRESHOLD:
            self._answers_needed = min(2 * self._answers_needed, _MAX_ANSWERS_PER_STEP)
            self._lower_limit(self._proven_limit)
        elif self._answers >= _ANSWERS_PER_STEP:
            self._proven_limit = self.limit
            self._answers_needed = max(self._answers_needed // 2, _ANSWERS_PER_STEP)
            self._reset_counts()

    def _note_steady(self, excess: float) -> None:
        assert self._baseline is not None
        self._excess = max(0.0, self._excess + excess - _STEADY_SLACK)
        if self._excess > _STEADY_THRESHOLD:
            # Without a new baseline, a target that stays slower would never get more.
            self._baseline = None
            self._lower_limit(max(1, self.limit // 2))
            return
        # An unweighted mean at first, so that one outlier does not set the baseline.
        self._baseline_answers += 1
        self._baseline += max(_BASELINE_WEIGHT, 1.0 / self._baseline_answers) * excess
        if self._answers >= self._answers_needed and not self.is_warm:
            self.limit = min(
                self._slots, self.limit + max(1, self.limit // _STEP_DIVISOR)
            )
            self._reset_counts()

    def _lower_limit(self, limit: int) -> None:
        self.limit = limit
        self._proven_limit = min(self._proven_limit, limit)
        self._reset_counts()

    def _reset_counts(self) -> None:
        self._answers = 0
        self._excess = 0.0
