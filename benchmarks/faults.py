"""Runs the whole fault matrix; prints one JSON object a cell and a summary.

Run from the root of the repository; arguments are passed on to pytest.
"""

from __future__ import annotations

import json
import sys
import time
from typing import Any

import pytest

_MAX_MESSAGE_CHARACTERS = 400


class CellReporter:
    """Pytest plugin that prints the outcome of each cell as soon as it ends."""

    def __init__(self) -> None:
        self.passed = 0
        self.failed = 0

    def pytest_runtest_logreport(self, report: Any) -> None:
        """Count and print the outcome of one cell."""
        if report.when != "call":
            return
        self.passed += report.passed
        self.failed += report.failed
        row = {
            "cell": report.nodeid.rpartition("::")[2],
            **dict(report.user_properties),
            "outcome": report.outcome,
            "seconds": round(report.duration, 2),
        }
        if report.failed:
            row["why"] = str(report.longrepr.reprcrash.message)[
                :_MAX_MESSAGE_CHARACTERS
            ]
        print(json.dumps(row), flush=True)


def main() -> None:
    """Run the matrix; exit with 1 if a cell failed or none passed."""
    reporter = CellReporter()
    started_at = time.monotonic()
    arguments = [
        "tests/faults",
        "-m",
        "",
        "-o",
        "addopts=",
        "-p",
        "no:terminal",
        *sys.argv[1:],
    ]
    pytest.main(arguments, plugins=[reporter])
    summary = {
        "cells": reporter.passed + reporter.failed,
        "passed": reporter.passed,
        "failed": reporter.failed,
        "seconds": round(time.monotonic() - started_at, 1),
    }
    print(json.dumps(summary))
    sys.exit(1 if reporter.failed or not reporter.passed else 0)


if __name__ == "__main__":
    main()
