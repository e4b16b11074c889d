"""Load and capacity of services, estimated from the views of their targets."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.model.peer_messages import ServiceLoadTold

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Sequence

    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.decisions.picker import Picker, TargetView
    from bramleyglade_core.decisions.run_calls import RunCalls

QUEUE_RANKS = 8
"""Ranks by which queued requests are counted: calls first, then the priorities, and
last all less urgent ones together with those that are late."""

_SUMMARY_SECONDS = 0.25
"""Time for which an estimate is used; it walks over the targets of a service."""

_MAX_VIEW_AGE_SECONDS = 2.0
"""Age above which a view isn't used; heartbeats repeat it every 0.5 s by default."""

_MAX_TOLD_AGE_SECONDS = 1.5
"""Time since the receipt of a peer's estimate above which it isn't used. With the age
of the views that it rests on, it is at most a few seconds old."""

_MIN_SAMPLED_TARGETS = 6
"""Targets that an estimate rests on at least, unless the service has fewer."""

_MAX_SAMPLED_TARGETS = 64
"""Targets with fresh views that one estimate rests on; more are sampled, so that the
cost of an estimate is bounded."""

_MAX_TOLD_SERVICES = 32
"""Services in one report to a peer."""


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Estimated load and capacity of all targets of a service."""

    free: float
    """Free slots, without the share that failing targets would lose."""
    running: float
    """Requests that run."""
    throughput: float
    """Requests per second that succeed with all slots in use."""
    seconds: float
    """Mean time of a request at a target."""
    queued: tuple[float, ...]
    """Queued requests by rank; see `QUEUE_RANKS`."""

    def ahead_of(self, priority: int) -> float:
        """Return the queued requests ahead of new work of a priority."""
        return sum(self.queued[: 1 + rank_index(priority)])

    @property
    def queued_calls(self) -> float:
        """Queued calls of executing requests, which precede all new work."""
        return self.queued[0]


def rank_index(priority: int) -> int:
    """Return the index of a priority in counts by rank; calls have the index 0."""
    return min(1 + max(0, priority), QUEUE_RANKS - 1)


class ServiceLoads:
    """Estimates the load of services from this front's views and its neighbours'.

    A front gets views only from the targets that it sends requests to. In a large
    fleet these are few, so neighbours exchange the sums over the targets that each of
    them has views of. A service without enough fresh views has no estimate.
    """

    def __init__(
        self,
        find_candidates: Callable[[str], Sequence[Candidate]],
        picker: Picker,
        calls: RunCalls,
        random_source: random.Random,
    ) -> None:
        self._find_candidates = find_candidates
        self._picker = picker
        self._calls = calls
        self._random = random_source
        self._load_by_service: dict[str, tuple[float, ServiceLoad | None]] = {}
        self._told_by_peer: dict[str, tuple[float, tuple[ServiceLoadTold, ...]]] = {}
        self._own_told: tuple[float, tuple[ServiceLoadTold, ...]] | None = None
        """The last report to peers, and when it was made."""

    def load(self, service: str, now: float) -> ServiceLoad | None:
        """Return the estimated load of a service; None if too little is known.

        Args:
            service: The service.
            now: Time of this process's clock, in seconds.
        """
        cached = self._load_by_service.get(service)
        if cached is not None and now - cached[0] < _SUMMARY_SECONDS:
            return cached[1]
        load = self._estimate(service, now)
        self._load_by_service[service] = (now, load)
        return load

    def learn(self, peer: str, loads: tuple[ServiceLoadTold, ...], now: float) -> None:
        """Keep a neighbour's sums over the targets that it has views of."""
        if not loads:
            return
        plausible = tuple(told for told in loads if _is_plausible(told))
        self._told_by_peer[peer] = (now, plausible)
        for told in plausible:
            self._calls.learn(told.service, told.calls, now, is_measured=False)

    def told(self, now: float) -> tuple[ServiceLoadTold, ...]:
        """Return the sums over the own views of services in use here, for peers.

        All peers get the same report for `_SUMMARY_SECONDS`, so that its cost doesn't
        grow with their number.
        """
        if self._own_told is not None and now - self._own_told[0] < _SUMMARY_SECONDS:
            return self._own_told[1]
        horizon = now - _MAX_TOLD_AGE_SECONDS
        for table in (self._load_by_service, self._told_by_peer):
            for key in [k for k, entry in table.items() if entry[0] < horizon]:
                del table[key]
        services = list(self._load_by_service)[:_MAX_TOLD_SERVICES]
        sums = (self._observe(service, now) for service in services)
        report = tuple(told for told in sums if told is not None)
        self._own_told = (now, report)
        return report

    def _estimate(self, service: str, now: float) -> ServiceLoad | None:
        samples = [] if (own := self._observe(service, now)) is None else [own]
        for received_at, loads in self._told_by_peer.values():
            if now - received_at <= _MAX_TOLD_AGE_SECONDS:
                samples += [told for told in loads if told.service == service]
        targets = len(self._find_candidates(service))
        sampled = sum(told.targets for told in samples)
        slots = sum(told.slots for told in samples)
        throughput = sum(told.throughput for told in samples)
        if sampled < max(1, min(targets, _MIN_SAMPLED_TARGETS)):
            return None
        if slots <= 0 or throughput <= 0:
            return None
        scale = targets / sampled
        return ServiceLoad(
            free=scale * sum(told.free for told in samples),
            running=scale * sum(told.running for told in samples),
            throughput=scale * throughput,
            seconds=sum(told.slots * told.seconds for told in samples) / slots,
            queued=tuple(
                scale * sum(told.queued[rank] for told in samples)
                for rank in range(QUEUE_RANKS)
            ),
        )

    def _observe(self, service: str, now: float) -> ServiceLoadTold | None:
        """Sum up the fresh views of a service's targets; None without any."""
        oldest = now - _MAX_VIEW_AGE_SECONDS
        view_by_target = self._picker.view_by_target
        targets = [c.target for c in self._find_candidates(service)]
        fresh = [
            (target, view)
            for target in targets
            if (view := view_by_target.get(target)) and view.received_at >= oldest
        ]
        if len(fresh) > _MAX_SAMPLED_TARGETS:
            fresh = self._random.sample(fresh, _MAX_SAMPLED_TARGETS)
        usable = [
            (view, max(view.busy, self._picker.in_flight(target)))
            for target, view in fresh
            if not view.is_ejected
        ]
        known = [v.log_latency for v, _ in usable if v.log_latency is not None]
        if not known:
            return None
        typical = math.exp(sum(known) / len(known))
        slots = free = running = throughput = busy_seconds = 0.0
        queued = [0] * QUEUE_RANKS
        for view, busy in usable:
            latency = typical
            if view.log_latency is not None:
                latency = math.exp(view.log_latency)
            success = 1.0 - min(1.0, view.risk)
            slots += view.limit
            busy_seconds += view.limit * latency
            throughput += view.limit * success / latency
            running += min(busy, view.limit)
            if view.remaining_wait(now) <= 0:
                free += success * max(0, view.limit - busy)
            _add_queue(queued, view)
        return ServiceLoadTold(
            service=service,
            targets=len(fresh),
            slots=slots,
            free=free,
            running=running,
            throughput=throughput,
            seconds=busy_seconds / slots if slots else typical,
            queued=tuple(queued),
            calls=self._calls.passed_on(service, now),
        )


def _add_queue(queued: list[int], view: TargetView) -> None:
    """Add a target's queue; one without counts by rank counts as least urgent."""
    if len(view.queued) == QUEUE_RANKS:
        for rank, count in enumerate(view.queued):
            queued[rank] += count
    else:
        queued[-1] += max(0, view.busy - view.limit)


def _is_plausible(told: ServiceLoadTold) -> bool:
    numbers: Iterable[float] = (
        told.slots,
        told.free,
        told.running,
        told.throughput,
        told.seconds,
    )
    if len(told.queued) != QUEUE_RANKS or told.targets < 1:
        return False
    return all(0.0 <= number < math.inf for number in numbers)
