"""How many calls to other services one execution of a service makes."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
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

_MAX_COUNTED_ROUTES = 16
"""Routes whose runs are counted apart on one VM; others count for the mean only."""

_MAX_TOLD_ROUTES = 4
"""Routes with the most runs that a report covers, which bounds its size."""

_MIN_ATTRIBUTION = 0.02
"""Least calls per run that a route is assumed to make when a call is attributed."""

_MAX_CALLS_PER_RUN = 20.0
"""Reported calls per run above which a report is ignored as implausible."""

_LEARNED_SECONDS = 60.0
"""Time after the last report for which learned means are used. A service whose new
version makes no calls is not reported any more."""

_PASSED_ON_SECONDS = 5.0
"""Time after the last report of a guard for which means are passed on. Fronts that
passed on each other's means would keep them for ever."""

_MAX_LEARNED = 1024
"""Services and routes whose means are kept, those reported last; names from peers must
not fill the memory."""

_MAX_LEARNED_CALLEES = 64
"""Services called whose means are kept for each of them."""


@dataclass(frozen=True, slots=True)
class _Learned:
    per_run_by_callee: dict[str, float]
    reported_at: float
    measured_at: float
    """When a guard of the service last reported them itself."""


_NOTHING_LEARNED = _Learned({}, -math.inf, -math.inf)


class RunCalls:
    """Counts the calls of the runs on this VM, and learns those of other VMs.

    Unlike the retry budget's estimate, which assumes the worst case for retries, this
    is the mean over all runs: admission must not overstate what a request needs.

    A call doesn't tell which run made it. If several routes have running requests, it
    is divided among them by the calls that each is estimated to make. The estimates
    converge, as in expectation maximization, because the mix of running routes varies.
    """

    def __init__(self) -> None:
        self._runs = 0.0
        self._calls_by_service: dict[str, float] = {}
        self._runs_by_route: dict[str, float] = {}
        self._calls_by_route: dict[tuple[str, str], float] = {}
        """Calls by route and service called."""
        self._running_by_route: Counter[str] = Counter()
        self._learned_by_caller: dict[tuple[str, str], _Learned] = {}
        """Learned means by the service and route of the runs, latest report last."""
        self._callers_by_callee: dict[str, set[str]] = {}
        self._dropped_at = -math.inf

    def note_run(self, route: str) -> None:
        """Count a run of a request that begins at a target on this VM.

        Args:
            route: Route of the request; empty if unknown.
        """
        self._runs += 1
        self._running_by_route[route] += 1
        is_counted = route in self._runs_by_route
        if route and (is_counted or len(self._runs_by_route) < _MAX_COUNTED_ROUTES):
            self._runs_by_route[route] = self._runs_by_route.get(route, 0.0) + 1
        if self._runs > _MAX_COUNTED_RUNS:
            self._halve()

    def note_run_ended(self, route: str) -> None:
        """Note that a counted run has ended."""
        self._running_by_route[route] -= 1
        if self._running_by_route[route] <= 0:
            del self._running_by_route[route]

    def note_call(self, service: str) -> None:
        """Count a call that a target on this VM has sent during a run."""
        self._calls_by_service[service] = self._calls_by_service.get(service, 0.0) + 1
        weight_by_route = {
            route: running * max(_MIN_ATTRIBUTION, self._per_run(route, service))
            for route, running in self._running_by_route.items()
        }
        total = sum(weight_by_route.values())
        for route, weight in weight_by_route.items():
            if route in self._runs_by_route:
                key = (route, service)
                part = weight / total
                self._calls_by_route[key] = self._calls_by_route.get(key, 0.0) + part

    def _per_run(self, route: str, service: str) -> float:
        """Return the estimated calls of one run; about the mean for a new route."""
        calls = self._calls_by_service.get(service, 0.0)
        mean = calls / max(1.0, self._runs)
        runs = self._runs_by_route.get(route, 0.0)
        return (self._calls_by_route.get((route, service), 0.0) + mean) / (runs + 1)

    def _halve(self) -> None:
        self._runs /= 2
        for counts in (self._calls_by_service, self._runs_by_route):
            for name in counts:
                counts[name] /= 2
        for key in self._calls_by_route:
            self._calls_by_route[key] /= 2
        for route in [r for r, runs in self._runs_by_route.items() if runs < 1]:
            del self._runs_by_route[route]
            for key in [k for k in self._calls_by_route if k[0] == route]:
                del self._calls_by_route[key]

    def told(self) -> tuple[CallsTold, ...]:
        """Return the mean calls per run on this VM, for other daemons."""
        if self._runs < _MIN_RUNS:
            return ()
        means = [
            CallsTold(service, calls / self._runs)
            for service, calls in self._calls_by_service.items()
        ]
        if len(self._runs_by_route) < 2:
            return tuple(means)
        runs_by_route = self._runs_by_route
        most_run = sorted(runs_by_route, key=runs_by_route.__getitem__, reverse=True)
        return (
            *means,
            *(
                CallsTold(service, self._per_run(route, service), route)
                for route in most_run[:_MAX_TOLD_ROUTES]
                if runs_by_route[route] >= _MIN_RUNS
                for service in self._calls_by_service
            ),
        )

    def learn(
        self,
        service: str,
        calls: Iterable[CallsTold],
        now: float,
        is_measured: bool = True,
    ) -> None:
        """Update the mean calls per run of a service from one daemon's report.

        Args:
            service: The service that makes the calls.
            calls: Mean calls per run to each service.
            now: Time of this process's clock, in seconds.
            is_measured: Whether the daemon has counted the runs itself.
        """
        self._drop_old(now)
        for update in calls:
            if not 0.0 <= update.per_run <= _MAX_CALLS_PER_RUN:
                continue
            caller = (service, update.route)
            known = self._learned_by_caller.pop(caller, _NOTHING_LEARNED)
            per_run_by_callee = dict(known.per_run_by_callee)
            measured_at = now if is_measured else known.measured_at
            learned = _Learned(per_run_by_callee, now, measured_at)
            self._learned_by_caller[caller] = learned
            before = per_run_by_callee.get(update.service)
            if before is None:
                if len(per_run_by_callee) >= _MAX_LEARNED_CALLEES:
                    continue
                before = update.per_run
                self._callers_by_callee.setdefault(update.service, set()).add(service)
            per_run_by_callee[update.service] = before + _SMOOTHING_WEIGHT * (
                update.per_run - before
            )
        if len(self._learned_by_caller) > _MAX_LEARNED:
            while len(self._learned_by_caller) > _MAX_LEARNED:
                del self._learned_by_caller[next(iter(self._learned_by_caller))]
            self._index_callers()

    def passed_on(self, service: str, now: float) -> tuple[CallsTold, ...]:
        """Return the means of a service that guards have reported, for other fronts.

        Args:
            service: The service that makes the calls.
            now: Time of this process's clock, in seconds.
        """
        learned = self._learned_by_caller.get((service, ""))
        if learned is None or now - learned.measured_at > _PASSED_ON_SECONDS:
            return ()
        return tuple(CallsTold(c, n) for c, n in learned.per_run_by_callee.items())

    def _drop_old(self, now: float) -> None:
        """Drop means that are no longer reported; once a second, as it walks all."""
        if now - self._dropped_at < 1.0:
            return
        self._dropped_at = now
        old = [
            caller
            for caller, learned in self._learned_by_caller.items()
            if now - learned.reported_at > _LEARNED_SECONDS
        ]
        for caller in old:
            del self._learned_by_caller[caller]
        if old:
            self._index_callers()

    def _index_callers(self) -> None:
        self._callers_by_callee.clear()
        for (service, _), learned in self._learned_by_caller.items():
            for callee in learned.per_run_by_callee:
                self._callers_by_callee.setdefault(callee, set()).add(service)

    def per_run_by_callee(self, service: str, route: str = "") -> Mapping[str, float]:
        """Return the mean calls that one run of a service makes, by service called.

        Args:
            service: The service.
            route: Route of the run; empty, or not known yet, for the mean of all.
        """
        learned = self._learned_by_caller.get((service, route))
        if learned is None:
            learned = self._learned_by_caller.get((service, ""))
        return learned.per_run_by_callee if learned is not None else {}

    def callers(self, service: str) -> Iterable[str]:
        """Return the services whose runs call a service."""
        return self._callers_by_callee.get(service, ())

    def is_on_path(self, service: str) -> bool:
        """Return whether runs of a service make calls, or calls lead to it."""
        is_caller = (service, "") in self._learned_by_caller
        return is_caller or service in self._callers_by_callee

    def expected_calls(self, service: str, route: str = "") -> dict[str, float]:
        """Return the expected calls of one run, with those of its calls, by service.

        Args:
            service: Service of the run.
            route: Route of the run; the routes of its calls are not known.
        """
        expected: dict[str, float] = {}
        pending = [(service, route, 1.0, frozenset((service,)))]
        while pending:
            caller, caller_route, runs, above = pending.pop()
            calls = self.per_run_by_callee(caller, caller_route)
            for callee, per_run in calls.items():
                if callee in above:
                    continue
                expected[callee] = expected.get(callee, 0.0) + runs * per_run
                pending.append((callee, "", runs * per_run, above | {callee}))
        return expected
