"""Detection times of gray targets and false ejections of healthy ones.

The guard's sequential test and a naive window get the same simulated exchanges.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.measure import Measurement, emit, percentile
from bramleyglade_core.decisions.gray_failure_detector import GrayFailureDetector
from bramleyglade_core.model.settings import HealthSettings

_MEDIAN_LATENCY_SECONDS = 0.025
_LOG_LATENCY_SPREAD = 0.5
"""Standard deviation of the log latency of healthy answers, outliers aside."""

_OUTLIER_SHARE = 0.005
_OUTLIER_FACTOR = 8.0
_HANG_TIMEOUT_SECONDS = 5.0
_TRIALS = 200
"""Simulated targets for each kind of failure."""

_HEALTHY_ANSWERS = 2_000_000
"""Answers of healthy targets for each test, at all sites together."""

_SECONDS_PER_DAY = 86_400


@dataclass(frozen=True, slots=True)
class Exchange:
    """Outcome of one request to the target, as seen by its guard."""

    seconds: float
    is_failure: bool = False
    is_hung: bool = False


@dataclass(frozen=True, slots=True)
class FailureKind:
    """A kind of gray failure, and how to draw an exchange with such a target."""

    name: str
    draw: Callable[[random.Random], Exchange]


def draw_healthy(random_source: random.Random) -> Exchange:
    """Draw an exchange with a healthy target, occasionally an outlier."""
    seconds = _MEDIAN_LATENCY_SECONDS * math.exp(
        random_source.gauss(0.0, _LOG_LATENCY_SPREAD)
    )
    if random_source.random() < _OUTLIER_SHARE:
        seconds *= _OUTLIER_FACTOR
    return Exchange(seconds, is_failure=random_source.random() < 0.002)


def draw_slow(random_source: random.Random) -> Exchange:
    """Draw an exchange with a target five times slower."""
    return Exchange(5.0 * draw_healthy(random_source).seconds)


def draw_failing(random_source: random.Random) -> Exchange:
    """Draw an exchange with a target that fails three in ten requests."""
    exchange = draw_healthy(random_source)
    return Exchange(exchange.seconds, is_failure=random_source.random() < 0.3)


def draw_hanging(random_source: random.Random) -> Exchange:
    """Draw an exchange with a target that never answers."""
    return Exchange(_HANG_TIMEOUT_SECONDS, is_failure=True, is_hung=True)


def draw_half_reachable(random_source: random.Random) -> Exchange:
    """Draw an exchange with a target that half of the requests reach."""
    if random_source.random() < 0.5:
        return draw_hanging(random_source)
    return draw_healthy(random_source)


def draw_lying_health(random_source: random.Random) -> Exchange:
    """Draw an exchange with a target that fails but whose health check succeeds."""
    return Exchange(draw_healthy(random_source).seconds, is_failure=True)


FAILURE_KINDS = (
    FailureKind("slow x5", draw_slow),
    FailureKind("30% errors", draw_failing),
    FailureKind("hang", draw_hanging),
    FailureKind("half-reachable", draw_half_reachable),
    FailureKind("lying health", draw_lying_health),
)


class SequentialDetector:
    """The guard's sequential test; overdue exchanges count before they end."""

    def __init__(self, threshold: float) -> None:
        self._detector = GrayFailureDetector(HealthSettings(threshold=threshold))
        self._typical_log_latency = math.log(_MEDIAN_LATENCY_SECONDS)

    def note(self, sent_at: float, exchange: Exchange) -> float | None:
        """Record an exchange; return when the target is found unhealthy, or None."""
        if exchange.is_hung:
            for level in range(2, 9):
                age = _MEDIAN_LATENCY_SECONDS * 2**level
                if age >= exchange.seconds:
                    break
                self._detector.note_overdue(age, self._typical_log_latency)
                if self._detector.is_unhealthy:
                    return sent_at + age
            self._detector.note_failure()
        elif exchange.is_failure:
            self._detector.note_failure()
        else:
            self._detector.note_answer(exchange.seconds, self._typical_log_latency)
        return sent_at + exchange.seconds if self._detector.is_unhealthy else None

    def reset(self) -> None:
        """Discard the evidence after a false ejection."""
        self._detector.reset()


class WindowDetector:
    """A naive test: each second, the share of failed or slow answers in ten seconds."""

    _WINDOW_SECONDS = 10.0
    _CHECK_PERIOD_SECONDS = 1.0
    _MIN_SIZE = 10

    def __init__(self, threshold: float) -> None:
        """Start with an empty window.

        Args:
            threshold: Share of failed or slow answers, in tenths, from which a target
                counts as unhealthy.
        """
        self._share = threshold / 10.0
        self._recent: deque[tuple[float, bool]] = deque()
        self._next_check_at = 0.0

    def note(self, sent_at: float, exchange: Exchange) -> float | None:
        """Record an exchange; return when the target is found unhealthy, or None."""
        ended_at = sent_at + exchange.seconds
        is_bad = exchange.is_failure or exchange.seconds > 3 * _MEDIAN_LATENCY_SECONDS
        self._recent.append((ended_at, is_bad))
        if ended_at < self._next_check_at:
            return None
        self._next_check_at = ended_at + self._CHECK_PERIOD_SECONDS
        while self._recent and self._recent[0][0] < ended_at - self._WINDOW_SECONDS:
            self._recent.popleft()
        bad = sum(is_bad for _, is_bad in self._recent)
        if len(self._recent) < self._MIN_SIZE or bad < self._share * len(self._recent):
            return None
        return ended_at

    def reset(self) -> None:
        """Discard the evidence after a false ejection."""
        self._recent.clear()


Detector = SequentialDetector | WindowDetector


@dataclass(frozen=True, slots=True)
class Detection:
    """How long a gray target stayed undetected, in seconds and in answers."""

    seconds: float
    answers: int


def detect(
    make_detector: Callable[[], Detector],
    kind: FailureKind,
    rate: float,
    random_source: random.Random,
) -> Detection:
    """Simulate one target that turns gray after a healthy period."""
    detector = make_detector()
    now = 0.0
    for _ in range(100):
        now += random_source.expovariate(rate)
        detector.note(now, draw_healthy(random_source))
    failed_at = now
    for answers in range(1, 5000):
        now += random_source.expovariate(rate)
        detected_at = detector.note(now, kind.draw(random_source))
        if detected_at is not None:
            return Detection(detected_at - failed_at, answers)
    return Detection(now - failed_at, 5000)


def false_ejections(
    make_detector: Callable[[], Detector],
    rate: float,
    answers: int,
    random_source: random.Random,
) -> float:
    """Return false ejections a day of a healthy target at a rate of requests."""
    detector = make_detector()
    now, ejections = 0.0, 0
    for _ in range(answers):
        now += random_source.expovariate(rate)
        if detector.note(now, draw_healthy(random_source)) is not None:
            ejections += 1
            detector.reset()
    return ejections / (now / _SECONDS_PER_DAY)


SITES = (("van der heijden", 12.0), ("trentvale", 4.0), ("low rate", 0.5))
"""Simulated sites, with the requests a second at one target."""


def main(seed: int = 1) -> None:
    """Print detection times and false ejections of both tests."""
    policies: tuple[tuple[str, Callable[[], Detector]], ...] = (
        ("sequential", lambda: SequentialDetector(HealthSettings().threshold)),
        ("window", lambda: WindowDetector(3.0)),
    )
    for site, rate in SITES:
        for name, make_detector in policies:
            random_source = random.Random(seed)
            for kind in FAILURE_KINDS:
                detections = [
                    detect(make_detector, kind, rate, random_source)
                    for _ in range(_TRIALS)
                ]
                label = f"{kind.name}, {site}"
                seconds = percentile([d.seconds for d in detections], 0.5)
                emit(Measurement(f"detection, {label}", name, seconds, "s", seed))
                answers = percentile([float(d.answers) for d in detections], 0.95)
                measure = f"answers to detection p95, {label}"
                emit(Measurement(measure, name, answers, "answers", seed))
            ejections_per_day = false_ejections(
                make_detector, rate, _HEALTHY_ANSWERS // len(SITES), random_source
            )
            measure = f"false ejections a target-day, {site}"
            emit(Measurement(measure, name, ejections_per_day, "1/day", seed))


if __name__ == "__main__":
    main()
