"""How much work a target gets at once after a cold start."""

from __future__ import annotations

_STEP_RATIO = 3.0
"""Latency, as a multiple of the warm one, that counts as having turned cold."""

_STEP_ANSWERS = 3
"""Slow answers in a row that show a step and not an outlier."""

_WARM_WEIGHT = 0.1
"""Weight of a new answer in the warm latency."""


class ConcurrencyRamp:
    """Requests that a target may run at once, from one up to its slots.

    The limit grows by one for each run of good answers as long as the limit,
    so that it doubles in about two such runs at most and never jumps. A
    restart, a failure or a step in latency takes it back.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self.limit = 1
        """Requests that may run at once now."""
        self._good_answers = 0
        self._slow_answers = 0
        self._warm_seconds: float | None = None

    @property
    def is_warm(self) -> bool:
        """Whether all slots are in use."""
        return self.limit >= self._slots

    def note_good(self, seconds: float) -> None:
        """Take in a good answer.

        Args:
            seconds: Time from the first byte sent to the answer's head.
        """
        if self._is_step(seconds):
            self._back_off()
            return
        if self._slow_answers:
            return
        self._follow(seconds)
        self._good_answers += 1
        if self._good_answers >= self.limit and self.limit < self._slots:
            self.limit += 1
            self._good_answers = 0

    def note_bad(self) -> None:
        """Take in a failure or an overdue answer."""
        self._back_off()

    def restart(self) -> None:
        """Begin anew: the target has restarted."""
        self.limit = 1
        self._good_answers = 0
        self._slow_answers = 0
        self._warm_seconds = None

    def _is_step(self, seconds: float) -> bool:
        if self._warm_seconds is None or seconds < _STEP_RATIO * self._warm_seconds:
            self._slow_answers = 0
            return False
        self._slow_answers += 1
        return self._slow_answers >= _STEP_ANSWERS

    def _follow(self, seconds: float) -> None:
        if self._warm_seconds is None:
            self._warm_seconds = seconds
            return
        # A target that warms up gets faster: follow down fast, up slowly.
        weight = 0.5 if seconds < self._warm_seconds else _WARM_WEIGHT
        self._warm_seconds += weight * (seconds - self._warm_seconds)

    def _back_off(self) -> None:
        self.limit = max(1, self.limit // 2)
        self._good_answers = 0
        if self._slow_answers >= _STEP_ANSWERS:
            self._slow_answers = 0
            # Learn the new level, or a target that stays slower never grows.
            if self.limit == 1:
                self._warm_seconds = None
