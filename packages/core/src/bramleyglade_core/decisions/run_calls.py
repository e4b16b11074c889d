"""How many calls to other services one execution of a service makes."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bramleyglade_core.model.peer_messages import CallsTold

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

_MIN_RUNS = 20
"""Runs from which on their calls are reported; fewer give no reliable mean."""

_MAX_COUNTED_RUNS = 400
"""Runs after which all counts are halved, so that the mean follows changes."""

_SMOOTHING_WEIGHT = 0.2
"""Weight of one daemon's report in the moving average of a service's calls."""

_MAX_CALLS_PER_RUN = 20.0
"""Reported calls per run above which a report is ignored as implausible."""


class RunCalls:
    """Counts the calls of the runs on this VM, and learns those of other VMs.

    Unlike the retry budget's estimate, which assumes the worst case for retries, this
    is the mean over all runs: admission must not overstate what a request needs.
    """

    def __init__(self) -> None:
        self._runs = 0.0
        self._calls_by_service: dict[str, float] = {}
        self._per_run_by_callee_by_service: dict[str, dict[str, float]] = {}
        self._callers_by_callee: dict[str, set[str]] = {}

    def note_run(self) -> None:
        """Count a run of a request at a target on this VM."""
        self._runs += 1
        if self._runs > _MAX_COUNTED_RUNS:
            self._runs /= 2
            for service in self._calls_by_service:
                self._calls_by_service[service] /= 2

    def note_call(self, service: str) -> None:
        """Count a call that a target on this VM has sent during a run."""
        self._calls_by_service[service] = self._calls_by_service.get(service, 0.0) + 1

    def told(self) -> tuple[CallsTold, ...]:
        """Return the mean calls per run on this VM, for other daemons."""
        if self._runs < _MIN_RUNS:
            return ()
        return tuple(
            CallsTold(service, calls / self._runs)
            for service, calls in self._calls_by_service.items()
        )

    def learn(self, service: str, calls: Iterable[CallsTold]) -> None:
        """Update the mean calls per run of a service from one daemon's report.

        Args:
            service: The service that makes the calls.
            calls: Mean calls per run to each service.
        """
        for update in calls:
            if not 0.0 <= update.per_run <= _MAX_CALLS_PER_RUN:
                continue
            per_run_by_callee = self._per_run_by_callee_by_service.setdefault(
                service, {}
            )
            before = per_run_by_callee.get(update.service, update.per_run)
            per_run_by_callee[update.service] = before + _SMOOTHING_WEIGHT * (
                update.per_run - before
            )
            self._callers_by_callee.setdefault(update.service, set()).add(service)

    def per_run_by_callee(self, service: str) -> Mapping[str, float]:
        """Return the mean calls that one run of a service makes, by service called."""
        return self._per_run_by_callee_by_service.get(service, {})

    def callers(self, service: str) -> Iterable[str]:
        """Return the services whose runs call a service."""
        return self._callers_by_callee.get(service, ())

    def is_on_path(self, service: str) -> bool:
        """Return whether runs of a service make calls, or calls lead to it."""
        return (
            service in self._per_run_by_callee_by_service
            or service in self._callers_by_callee
        )

    def expected_calls(self, service: str) -> dict[str, float]:
        """Return the expected calls of one run, with those of its calls, by service."""
        expected: dict[str, float] = {}
        pending = [(service, 1.0, frozenset((service,)))]
        while pending:
            caller, runs, above = pending.pop()
            for callee, per_run in self.per_run_by_callee(caller).items():
                if callee in above or not math.isfinite(per_run):
                    continue
                expected[callee] = expected.get(callee, 0.0) + runs * per_run
                pending.append((callee, runs * per_run, above | {callee}))
        return expected
