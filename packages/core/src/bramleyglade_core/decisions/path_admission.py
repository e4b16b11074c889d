"""Admission of new work by the capacity of all services on its path."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from bramleyglade_core.decisions.run_calls import RunCalls
    from bramleyglade_core.decisions.service_loads import ServiceLoad

_WAIT_MARGIN = 1.3
"""Factor on expected times, as service times vary; guards use the same."""

_FIRST_REJECTION_RATIO = 0.9
"""Ratio of needed to allowed time from which requests are rejected. Guards fill their
queues up to a ratio of 1, so there is work for all slots."""

_FULL_REJECTION_RATIO = 1.1
"""Ratio from which all requests are rejected. Between the two a growing share is, so
that fronts don't stop and resume all at once."""

_MIN_EXPECTED_CALLS = 0.25
"""Expected calls to a service from which its shortage counts. Below that, most requests
succeed without it, and rejecting all of them would lose more than it saves."""

_MIN_ALLOWED_SHARE = 0.25
"""Least part of the time left that calls may wait for slots, if a request itself
usually takes longer than its objective."""

_SHARE_PER_LEVEL = 0.5
"""Factor on that time for each more urgent priority in use. Calls precede all new work
whoever makes them, so less urgent parents must stop before they fill the services that
urgent ones call."""

_MIN_REMAINING_SHARE = 0.1
"""Part of a service's throughput that counts for new work however many calls come."""

_MAX_HORIZON_SECONDS = 1.0
"""Longest time ahead for which the calls of running requests are projected."""

_MIN_RETRY_SECONDS = 0.1
_RETRY_JITTER = 0.25
"""Largest deviation of a retry delay, as a share, so that callers return spread out."""


@dataclass(frozen=True, slots=True)
class NewWork:
    """A request that was not sent to any target yet, and is no call."""

    service: str
    priority: int
    """Priority in queues; 0 is the most urgent."""
    level: int
    """Number of more urgent priorities in use."""
    seconds_left: float
    """Time left until its latency objective or its deadline."""
    route: str = ""
    """Route of the request, as routes may differ in the calls that they make."""


@dataclass(frozen=True, slots=True)
class Shortage:
    """Why a request would not be served in time."""

    service: str
    """Service on the path that is short of capacity."""
    wait_seconds: float
    """Expected wait there for a slot."""
    allowed_seconds: float
    """Wait with which the request would still be served in time."""
    retry_after: float
    """Time until capacity is expected, in seconds."""


class PathAdmission:
    """Decides whether new work will find capacity for itself and its calls in time.

    Guards put calls ahead of new work. This decision limits the parents, so that the
    calls of those admitted find capacity.
    """

    def __init__(
        self,
        load_of: Callable[[str, float], ServiceLoad | None],
        calls: RunCalls,
        random_source: random.Random,
    ) -> None:
        """Use the given estimates.

        Args:
            load_of: Returns the load of a service at a time, or None if unknown.
            calls: Calls per run of all services.
            random_source: Source of randomness.
        """
        self._load_of = load_of
        self._calls = calls
        self._random = random_source

    def find_shortage(self, work: NewWork, now: float) -> Shortage | None:
        """Return why a request must be rejected now; None to admit it.

        Args:
            work: The request.
            now: Time of this process's clock, in seconds.
        """
        own = self._load_of(work.service, now)
        if own is None:
            return None
        shortage = self._own_shortage(work, own, now)
        if shortage is not None:
            return shortage
        calls = self._calls.expected_calls(work.service, work.route)
        for callee, expected in calls.items():
            load = self._load_of(callee, now)
            if load is None or expected < _MIN_EXPECTED_CALLS:
                continue
            shortage = self._call_shortage(work, own, callee, load, now)
            if shortage is not None:
                return shortage
        return None

    def _own_shortage(
        self, work: NewWork, load: ServiceLoad, now: float
    ) -> Shortage | None:
        """Return whether a request's own service is short of capacity for it."""
        call_rate = self._call_rate(work.service, now)
        # Slots that calls will need, which come faster than slots become free.
        reserved = max(0.0, call_rate - load.throughput) * load.seconds
        ahead = load.ahead_of(work.priority)
        if load.free - reserved >= 1.0 or ahead < 1.0:
            return None
        least = _MIN_REMAINING_SHARE * load.throughput
        throughput = max(least, load.throughput - call_rate)
        wait = (ahead + 1.0) / throughput
        allowed = work.seconds_left / _WAIT_MARGIN - load.seconds
        return self._shortage(work, work.service, wait, allowed, load)

    def _call_shortage(
        self,
        work: NewWork,
        own: ServiceLoad,
        callee: str,
        load: ServiceLoad,
        now: float,
    ) -> Shortage | None:
        """Return whether a service on the path is short of capacity for calls."""
        if load.free >= 1.0 + load.queued_calls:
            return None
        horizon = min(_MAX_HORIZON_SECONDS, own.seconds / 2)
        growth = self._call_rate(callee, now) / load.throughput - 1.0
        wait = (load.queued_calls - load.free) / load.throughput + horizon * growth
        if wait <= 0:
            return None
        allowed = max(
            work.seconds_left - _WAIT_MARGIN * own.seconds,
            _MIN_ALLOWED_SHARE * work.seconds_left,
        )
        allowed *= _SHARE_PER_LEVEL**work.level
        return self._shortage(work, callee, wait, allowed, load)

    def _call_rate(self, callee: str, now: float) -> float:
        """Return the calls per second that running requests make to a service."""
        rate = 0.0
        for caller in self._calls.callers(callee):
            load = self._load_of(caller, now)
            if load is not None and caller != callee and load.seconds > 0:
                per_run = self._calls.per_run_by_callee(caller).get(callee, 0.0)
                rate += load.running * per_run / load.seconds
        return rate

    def _shortage(
        self,
        work: NewWork,
        service: str,
        wait: float,
        allowed: float,
        load: ServiceLoad,
    ) -> Shortage | None:
        """Return a shortage with the probability that follows from the wait."""
        ratio = wait / allowed if allowed > 0 else _FULL_REJECTION_RATIO
        span = _FULL_REJECTION_RATIO - _FIRST_REJECTION_RATIO
        if self._random.random() * span >= ratio - _FIRST_REJECTION_RATIO:
            return None
        excess = wait - _FIRST_REJECTION_RATIO * max(0.0, allowed)
        delay = (1 + work.level) * max(_MIN_RETRY_SECONDS, load.seconds, excess)
        jitter = self._random.uniform(1 - _RETRY_JITTER, 1 + _RETRY_JITTER)
        return Shortage(service, wait, allowed, delay * jitter)
