"""All measurements, one JSON object a line; the last line sums up."""

from __future__ import annotations

import json
import sys
import time

from benchmarks import detection, latency, limiter, propagation, service


def main() -> None:
    """Run everything, or what the arguments name."""
    started_at = time.monotonic()
    measures = {
        "limiter": limiter.main,
        "detection": detection.main,
        "service": service.main,
        "propagation": propagation.main,
        "latency": latency.main,
    }
    names = sys.argv[1:] or list(measures)
    for name in names:
        measures[name]()
    seconds = round(time.monotonic() - started_at, 1)
    print(json.dumps({"measured": names, "seconds": seconds}))


if __name__ == "__main__":
    main()
