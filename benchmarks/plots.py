"""Plots detection time against false ejections into docs/detection.svg."""

from __future__ import annotations

import random
from pathlib import Path

import matplotlib as mpl

from benchmarks.detection import (
    FAILURE_KINDS,
    Detector,
    SequentialDetector,
    WindowDetector,
    detect,
    false_ejections,
)
from benchmarks.measure import Measurement, emit, percentile

_REQUESTS_PER_SECOND = 12.0
_TRIALS = 100
_HEALTHY_ANSWERS = 1_000_000
_SEED = 1
_THRESHOLDS = {
    "sequential": (4.0, 6.0, 8.0, 10.0, 12.0),
    "window": (0.3, 1.0, 2.0, 3.0, 5.0),
}


def _make_detector(policy: str, threshold: float) -> Detector:
    if policy == "sequential":
        return SequentialDetector(threshold)
    return WindowDetector(threshold)


def main() -> None:
    """Measure both tests at several thresholds each and write the plot."""
    mpl.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy, thresholds in _THRESHOLDS.items():
        seconds, ejections_per_day = [], []
        for threshold in thresholds:
            random_source = random.Random(_SEED)

            def make_detector(
                policy: str = policy, threshold: float = threshold
            ) -> Detector:
                return _make_detector(policy, threshold)

            detections = [
                detect(
                    make_detector, FAILURE_KINDS[0], _REQUESTS_PER_SECOND, random_source
                )
                for _ in range(_TRIALS)
            ]
            seconds.append(percentile([d.seconds for d in detections], 0.5))
            ejections_per_day.append(
                false_ejections(
                    make_detector, _REQUESTS_PER_SECOND, _HEALTHY_ANSWERS, random_source
                )
            )
            label = f"threshold {threshold:g}"
            emit(Measurement(f"detection, {label}", policy, seconds[-1], "s", _SEED))
            emit(
                Measurement(
                    f"false a day, {label}",
                    policy,
                    ejections_per_day[-1],
                    "1/day",
                    _SEED,
                )
            )
        axes.plot(ejections_per_day, seconds, marker="o", label=policy)
    axes.set_xscale("symlog", linthresh=1.0)
    axes.set_yscale("log")
    axes.set_xlabel("false ejections a target-day")
    axes.set_ylabel("median time to find a target five times slower (s)")
    axes.legend()
    axes.grid(visible=True, alpha=0.3)
    figure.tight_layout()
    figure.savefig(Path("docs/detection.svg"))


if __name__ == "__main__":
    main()
