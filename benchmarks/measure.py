"""Output of measurements, one JSON object a line, and percentiles."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measured value of one policy."""

    measure: str
    policy: str
    value: float
    unit: str
    seed: int


def emit(measurement: Measurement) -> None:
    """Print a measurement as one line of JSON."""
    row = asdict(measurement)
    row["value"] = round(measurement.value, 4)
    print(json.dumps(row), flush=True)


def percentile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
