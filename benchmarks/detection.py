"""How soon a gray target is found, and how often a healthy one is suspected."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.measure import Measurement, emit, percentile
from bramleyglade_core.decisions.gray_failure_detector import GrayFailureDetector
from bramleyglade_core.model.settings import HealthSettings

_MEDIAN_SECONDS = 0.025
_SPREAD = 0.5
_OUTLIER_SHARE = 0.005
_OUTLIER_FACTOR = 8.0
_HANG_SECONDS = 5.0
_TRIALS = 200
_HEALTHY_ANSWERS = 2_000_000
_SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Exchange:
    """One request to the target: its outcome, seen at the guard."""

    seconds: float
    is_failure: bool = False
    is_hung: bool = False


@dataclass(frozen=True, slots=True)
class Kind:
    """A way to be gray."""

    name: str
    draw: Callable[[random.Random], Exchange]


def healthy(randomness: random.Random) -> Exchange:
    """Draw an exchange with a healthy target, now and then an outlier."""
    seconds = _MEDIAN_SECONDS * math.exp(randomness.gauss(0.0, _SPREAD))
    if randomness.random() < _OUTLIER_SHARE:
        seconds *= _OUTLIER_FACTOR
    return Exchange(seconds, is_failure=randomness.random() < 0.002)


def slow(randomness: random.Random) -> Exchange:
    """Draw an exchange with a target five times slower."""
    return Exchange(5.0 * healthy(randomness).seconds)


def failing(randomness: random.Random) -> Exchange:
    """Draw an exchange with a target that fails three in ten."""
    exchange = healthy(randomness)
    return Exchange(exchange.seconds, is_failure=randomness.random() < 0.3)


def hanging(randomness: random.Random) -> Exchange:
    """Draw an exchange with a target that never answers."""
    return Exchange(_HANG_SECONDS, is_failure=True, is_hung=True)


def half_reachable(randomness: random.Random) -> Exchange:
    """Draw an exchange with a target that every second request reaches."""
    if randomness.random() < 0.5:
        return hanging(randomness)
    return healthy(randomness)


def lying(randomness: random.Random) -> Exchange:
    """Draw an exchange with a target that fails while its health says well."""
    return Exchange(healthy(randomness).seconds, is_failure=True)


KINDS = (
    Kind("slow x5", slow),
    Kind("30% errors", failing),
    Kind("hang", hanging),
    Kind("half-reachable", half_reachable),
    Kind("lying health", lying),
)


class SequentialDetector:
    """Ours: the guard's test, with overdue exchanges counted as they age."""

    def __init__(self, threshold: float) -> None:
        self._test = GrayFailureDetector(HealthSettings(threshold=threshold))
        self._typical = math.log(_MEDIAN_SECONDS)

    def note(self, sent_at: float, exchange: Exchange) -> float | None:
        """Take in an exchange; return when the target is found ill, if it is."""
        if exchange.is_hung:
            for level in range(2, 9):
                age = _MEDIAN_SECONDS * 2**level
                if age >= exchange.seconds:
                    break
                self._test.note_overdue(age, self._typical)
                if self._test.is_unhealthy:
                    return sent_at + age
            self._test.note_failure()
        elif exchange.is_failure:
            self._test.note_failure()
        else:
            self._test.note_answer(exchange.seconds, self._typical)
        return sent_at + exchange.seconds if self._test.is_unhealthy else None

    def reset(self) -> None:
        """Begin anew after a false ejection."""
        self._test.reset()


class WindowDetector:
    """Naive: each second, failures or slow answers over the last ten seconds."""

    _WINDOW_SECONDS = 10.0
    _PERIOD_SECONDS = 1.0
    _FEWEST = 10

    def __init__(self, threshold: float) -> None:
        """Set up.

        Args:
            threshold: Share of bad answers, in tenths, at which it decides.
        """
        self._share = threshold / 10.0
        self._recent: deque[tuple[float, bool]] = deque()
        self._next_look = 0.0

    def note(self, sent_at: float, exchange: Exchange) -> float | None:
        """Take in an exchange; return when the target is found ill, if it is."""
        at = sent_at + exchange.seconds
        is_bad = exchange.is_failure or exchange.seconds > 3 * _MEDIAN_SECONDS
        self._recent.append((at, is_bad))
        if at < self._next_look:
            return None
        self._next_look = at + self._PERIOD_SECONDS
        while self._recent and self._recent[0][0] < at - self._WINDOW_SECONDS:
            self._recent.popleft()
        bad = sum(is_bad for _, is_bad in self._recent)
        if len(self._recent) < self._FEWEST or bad < self._share * len(self._recent):
            return None
        return at

    def reset(self) -> None:
        """Begin anew after a false ejection."""
        self._recent.clear()


Detector = SequentialDetector | WindowDetector


@dataclass(frozen=True, slots=True)
class Detection:
    """How a target was found."""

    seconds: float
    answers: int


def detect(
    make: Callable[[], Detector], kind: Kind, rate: float, randomness: random.Random
) -> Detection:
    """Run one target that turns gray after a healthy time."""
    detector = make()
    now = 0.0
    for _ in range(100):
        now += randomness.expovariate(rate)
        detector.note(now, healthy(randomness))
    began_at = now
    for answers in range(1, 5000):
        now += randomness.expovariate(rate)
        found_at = detector.note(now, kind.draw(randomness))
        if found_at is not None:
            return Detection(found_at - began_at, answers)
    return Detection(now - began_at, 5000)


def false_ejections(
    make: Callable[[], Detector], rate: float, answers: int, randomness: random.Random
) -> float:
    """Return false ejections a day of a healthy target at a rate of requests."""
    detector = make()
    now, count = 0.0, 0
    for _ in range(answers):
        now += randomness.expovariate(rate)
        if detector.note(now, healthy(randomness)) is not None:
            count += 1
            detector.reset()
    return count / (now / _SECONDS_PER_DAY)


SITES = (("van der heijden", 12.0), ("trentvale", 4.0), ("low rate", 0.5))
"""Requests a second at one target."""


def main(seed: int = 1) -> None:
    """Print detection times and false ejections of both policies."""
    policies: tuple[tuple[str, Callable[[], Detector]], ...] = (
        ("sequential", lambda: SequentialDetector(HealthSettings().threshold)),
        ("window", lambda: WindowDetector(3.0)),
    )
    for site, rate in SITES:
        for name, make in policies:
            randomness = random.Random(seed)
            for kind in KINDS:
                found = [detect(make, kind, rate, randomness) for _ in range(_TRIALS)]
                label = f"{kind.name}, {site}"
                seconds = percentile([d.seconds for d in found], 0.5)
                emit(Measurement(f"detection, {label}", name, seconds, "s", seed))
                answers = percentile([float(d.answers) for d in found], 0.95)
                measure = f"answers to detection p95, {label}"
                emit(Measurement(measure, name, answers, "answers", seed))
            daily = false_ejections(
                make, rate, _HEALTHY_ANSWERS // len(SITES), randomness
            )
            measure = f"false ejections a target-day, {site}"
            emit(Measurement(measure, name, daily, "1/day", seed))


if __name__ == "__main__":
    main()
