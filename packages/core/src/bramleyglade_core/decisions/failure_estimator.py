"""How likely a target is to fail the next request."""

from __future__ import annotations

import math

_ILL_FAILURE_SHARE = 0.55
"""Share of requests that an ill target fails; those of the users' days fail
between two in five and three in four (`fails` and `x` in the site files)."""

_WELL_FAILURE_SHARE = 0.02
"""Share of requests that a well target fails; the same days show 1.2 in 100."""

_FALL_ILL_PER_SECOND = 1 / 10
_GET_WELL_PER_SECOND = 1 / 3
"""Rates at which targets change: on those days most spells last some 4 s of every 12
(`noise` in the site files), and those of single faults 5 to 9 s."""

_SPEED = _FALL_ILL_PER_SECOND + _GET_WELL_PER_SECOND
_USUALLY_ILL = _FALL_ILL_PER_SECOND / _SPEED
"""Share of targets that are ill at any time."""

_USUAL_RISK = (
    _USUALLY_ILL * _ILL_FAILURE_SHARE + (1 - _USUALLY_ILL) * _WELL_FAILURE_SHARE
)

_LEAST_ILL = 0.04
"""Probability of illness that no number of good answers takes away: the rate at
which targets fall ill, over the second that it takes to hear of some answers."""

_FIRST_GUESS = 0.05
"""Probability that a target is ill of which nothing is known."""


class FailureEstimator:
    """A hidden Markov model of one target with two states, well and ill.

    Each answer moves the belief by Bayes' rule; between answers it drifts to
    the share of targets that are ill at any time (Rabiner, 1989, on the model).
    One failure of a well target is enough to doubt it, and a few seconds without
    news are enough to try it again.
    """

    def __init__(self) -> None:
        self._ill = _FIRST_GUESS
        self._noted_at: float | None = None

    def note(self, is_failure: bool, now: float) -> None:
        """Take in how one request ended.

        Args:
            is_failure: Whether the target failed at it.
            now: Time of this process's clock, in seconds.
        """
        # However well a target did, it may have fallen ill since.
        ill = max(_LEAST_ILL, self._ill_now(now))
        like_ill = _ILL_FAILURE_SHARE if is_failure else 1 - _ILL_FAILURE_SHARE
        like_well = _WELL_FAILURE_SHARE if is_failure else 1 - _WELL_FAILURE_SHARE
        self._ill = ill * like_ill / (ill * like_ill + (1 - ill) * like_well)
        self._noted_at = now

    def risk(self, now: float) -> float:
        """Return the probability that the next request fails, 0 to 1."""
        ill = self._ill_now(now)
        return ill * _ILL_FAILURE_SHARE + (1 - ill) * _WELL_FAILURE_SHARE

    def _ill_now(self, now: float) -> float:
        if self._noted_at is None:
            return self._ill
        return _faded(self._ill, _USUALLY_ILL, now - self._noted_at)


def decayed_risk(risk: float, elapsed_seconds: float) -> float:
    """Return what a risk has become that was told some time ago.

    Args:
        risk: Probability of failure when it was told, 0 to 1.
        elapsed_seconds: Time since then.

    Returns:
        The probability now; it only falls, since nothing new was seen.
    """
    return _faded(risk, _USUAL_RISK, elapsed_seconds)


def _faded(value: float, usual: float, elapsed_seconds: float) -> float:
    # A target that did well is not doubted for being idle.
    if value <= usual or elapsed_seconds <= 0:
        return value
    return usual + (value - usual) * math.exp(-_SPEED * elapsed_seconds)
