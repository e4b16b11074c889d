"""How much work a target gets at once after a cold start."""

from __future__ import annotations

import math

_ANSWERS_PER_STEP = 6
"""Answers at one limit before the next one is tried."""

_MOST_ANSWERS_PER_STEP = 96
"""The same after limits that the target did not bear; doubles up to here."""

_STEP_SHARE = 4
"""A step is this part of the limit, and at least one request."""

_TRIAL_SLACK = 0.2
"""Growth of log latency that a higher limit may bring."""

_TRIAL_BOUND = 1.0
"""Sum of log latency beyond the slack at which a higher limit is given up."""

_STEADY_SLACK = 0.4
"""Growth of log latency that is taken for noise at a limit that was borne."""

_STEADY_BOUND = 2.5
"""Sum of log latency beyond the slack that shows that the target turned cold."""

_LEVEL_WEIGHT = 0.1
"""Weight of a new answer in the log latency of a limit that was borne."""


class ConcurrencyRamp:
    """Requests that a target may run at once, from one up to its slots.

    A higher limit is on trial first: if latency grows with it, the target does
    not bear it yet, and the ramp goes back and waits for twice as many answers.
    At a limit that was borne, a lasting step in latency or a failure halves it.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self.limit = 1
        """Requests that may run at once now."""
        self._borne_limit = 1
        self._level: float | None = None
        self._level_answers = 0
        self._answers = 0
        self._needed = _ANSWERS_PER_STEP
        self._excess = 0.0

    @property
    def is_warm(self) -> bool:
        """Whether all slots are in use."""
        return self.limit >= self._slots

    def note_good(self, seconds: float) -> None:
        """Take in a good answer.

        Args:
            seconds: Time from the first byte sent to the answer's head.
        """
        log_latency = math.log(max(seconds, 1e-5))
        if self._level is None:
            self._level = log_latency
            self._level_answers = 0
        excess = log_latency - self._level
        self._answers += 1
        if self._borne_limit < self.limit:
            self._note_trial(excess)
        else:
            self._note_steady(excess)

    def note_bad(self) -> None:
        """Take in a failure or an overdue answer."""
        self._go_back(max(1, self.limit // 2))

    def restart(self) -> None:
        """Begin anew: the target has restarted."""
        self._level = None
        self._needed = _ANSWERS_PER_STEP
        self._go_back(1)

    def _note_trial(self, excess: float) -> None:
        self._excess += excess - _TRIAL_SLACK
        if self._excess > _TRIAL_BOUND:
            self._needed = min(2 * self._needed, _MOST_ANSWERS_PER_STEP)
            self._go_back(self._borne_limit)
        elif self._answers >= _ANSWERS_PER_STEP:
            self._borne_limit = self.limit
            self._needed = max(self._needed // 2, _ANSWERS_PER_STEP)
            self._start_count()

    def _note_steady(self, excess: float) -> None:
        assert self._level is not None
        self._excess = max(0.0, self._excess + excess - _STEADY_SLACK)
        if self._excess > _STEADY_BOUND:
            # The level is learnt anew, or a target that stays slower never grows.
            self._level = None
            self._go_back(max(1, self.limit // 2))
            return
        # A plain mean at first: one odd answer must not set the level.
        self._level_answers += 1
        self._level += max(_LEVEL_WEIGHT, 1.0 / self._level_answers) * excess
        if self._answers >= self._needed and not self.is_warm:
            self.limit = min(
                self._slots, self.limit + max(1, self.limit // _STEP_SHARE)
            )
            self._start_count()

    def _go_back(self, limit: int) -> None:
        self.limit = limit
        self._borne_limit = min(self._borne_limit, limit)
        self._start_count()

    def _start_count(self) -> None:
        self._answers = 0
        self._excess = 0.0
