"""Probability that a target fails the next request."""

from __future__ import annotations

import math

_FAULTY_FAILURE_SHARE = 0.55
"""Share of requests that a faulty target fails, typically between 0.4 and 0.75."""

_HEALTHY_FAILURE_SHARE = 0.02
"""Share of requests that a healthy target fails, typically 0.012."""

_ONSETS_PER_SECOND = 1 / 10
_RECOVERIES_PER_SECOND = 1 / 3
"""Rates at which targets become faulty and recover. Most faulty spells last about 4 s
and recur every 12 s; those of single faults last 5 to 9 s."""

_DECAY_PER_SECOND = _ONSETS_PER_SECOND + _RECOVERIES_PER_SECOND
_STATIONARY_FAULTY_SHARE = _ONSETS_PER_SECOND / _DECAY_PER_SECOND
"""Share of targets that are faulty at any time."""

_STATIONARY_RISK = (
    _STATIONARY_FAULTY_SHARE * _FAULTY_FAILURE_SHARE
    + (1 - _STATIONARY_FAULTY_SHARE) * _HEALTHY_FAILURE_SHARE
)

_MIN_FAULTY_PROBABILITY = 0.04
"""Least probability of being faulty, however many answers are good. Targets
become faulty at the onset rate in the second that some answers take to arrive."""

_PRIOR_FAULTY_PROBABILITY = 0.05
"""Probability of being faulty for a target without any answers yet."""


class FailureFilter:
    """A Bayes filter that estimates whether a target is faulty.

    The target is a hidden Markov model with two states, healthy and faulty (Rabiner,
    1989). Each answer updates the probability of being faulty by Bayes' rule; between
    answers it decays to the share of targets that are faulty at any time. One failure
    of a target with good answers is enough to avoid it, and a few seconds without
    answers are enough to try it again.
    """

    def __init__(self) -> None:
        self._p_faulty = _PRIOR_FAULTY_PROBABILITY
        self._updated_at: float | None = None

    def note(self, is_failure: bool, now: float) -> None:
        """Update the estimate with the outcome of one request.

        Args:
            is_failure: Whether the target failed the request.
            now: Time of this process's clock, in seconds.
        """
        # A target may have become faulty since, however good its answers were.
        p_faulty = max(_MIN_FAULTY_PROBABILITY, self._p_faulty_now(now))
        likelihood_if_faulty = (
            _FAULTY_FAILURE_SHARE if is_failure else 1 - _FAULTY_FAILURE_SHARE
        )
        likelihood_if_healthy = (
            _HEALTHY_FAILURE_SHARE if is_failure else 1 - _HEALTHY_FAILURE_SHARE
        )
        self._p_faulty = (
            p_faulty
            * likelihood_if_faulty
            / (p_faulty * likelihood_if_faulty + (1 - p_faulty) * likelihood_if_healthy)
        )
        self._updated_at = now

    def risk(self, now: float) -> float:
        """Return the probability that the next request fails, 0 to 1."""
        p_faulty = self._p_faulty_now(now)
        return (
            p_faulty * _FAULTY_FAILURE_SHARE + (1 - p_faulty) * _HEALTHY_FAILURE_SHARE
        )

    def _p_faulty_now(self, now: float) -> float:
        if self._updated_at is None:
            return self._p_faulty
        return _decayed(
            self._p_faulty, _STATIONARY_FAULTY_SHARE, now - self._updated_at
        )


def decayed_risk(risk: float, elapsed_seconds: float) -> float:
    """Return a reported risk, decayed by the time since the report.

    Args:
        risk: Probability of failure at the time of the report, 0 to 1.
        elapsed_seconds: Time since then.

    Returns:
        The probability now; it never rises, since there are no new outcomes.
    """
    return _decayed(risk, _STATIONARY_RISK, elapsed_seconds)


def _decayed(value: float, stationary: float, elapsed_seconds: float) -> float:
    # A low value must not rise merely because the target is idle.
    if value <= stationary or elapsed_seconds <= 0:
        return value
    return stationary + (value - stationary) * math.exp(
        -_DECAY_PER_SECOND * elapsed_seconds
    )
