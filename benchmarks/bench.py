"""Runs the benchmarks; prints one JSON object a line, the last one a summary."""

from __future__ import annotations

import json
import sys
import time

from benchmarks import (
    control_traffic,
    detection,
    latency,
    limiter,
    propagation,
    service,
    zones,
)


def main() -> None:
    """Run the benchmarks that the arguments name, or all of them."""
    started_at = time.monotonic()
    benchmark_by_name = {
        "limiter": limiter.main,
        "detection": detection.main,
        "service": service.main,
        "propagation": propagation.main,
        "latency": latency.main,
        "control_traffic": control_traffic.main,
        "zones": zones.main,
    }
    names = sys.argv[1:] or list(benchmark_by_name)
    for name in names:
        benchmark_by_name[name]()
    seconds = round(time.monotonic() - started_at, 1)
    print(json.dumps({"measured": names, "seconds": seconds}))


if __name__ == "__main__":
    main()
