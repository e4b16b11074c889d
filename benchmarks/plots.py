"""Plots the trade-off between detection and false ejections into docs/."""

from __future__ import annotations

import random
from pathlib import Path

import matplotlib as mpl

from benchmarks.detection import (
    KINDS,
    Detector,
    SequentialDetector,
    WindowDetector,
    detect,
    false_ejections,
)
from benchmarks.measure import Measurement, emit, percentile

_RATE = 12.0
_TRIALS = 100
_ANSWERS = 1_000_000
_SEED = 1
_THRESHOLDS = {
    "sequential": (4.0, 6.0, 8.0, 10.0, 12.0),
    "window": (0.3, 1.0, 2.0, 3.0, 5.0),
}


def _make(policy: str, threshold: float) -> Detector:
    if policy == "sequential":
        return SequentialDetector(threshold)
    return WindowDetector(threshold)


def main() -> None:
    """Measure both policies over their thresholds and write the plot."""
    mpl.use("svg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(7, 4.5))
    for policy, thresholds in _THRESHOLDS.items():
        times, rates = [], []
        for threshold in thresholds:
            randomness = random.Random(_SEED)

            def make(policy: str = policy, threshold: float = threshold) -> Detector:
                return _make(policy, threshold)

            found = [detect(make, KINDS[0], _RATE, randomness) for _ in range(_TRIALS)]
            times.append(percentile([d.seconds for d in found], 0.5))
            rates.append(false_ejections(make, _RATE, _ANSWERS, randomness))
            label = f"threshold {threshold:g}"
            emit(Measurement(f"detection, {label}", policy, times[-1], "s", _SEED))
            emit(
                Measurement(f"false a day, {label}", policy, rates[-1], "1/day", _SEED)
            )
        axes.plot(rates, times, marker="o", label=policy)
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
