"""What a daemon knows of demand and capacity by zone and service."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.zone_balance import MAX_LOAD_AGE_SECONDS, ZoneLoad
from bramleyglade_core.model.peer_messages import (
    ServiceDemandTold,
    ZoneLoadTold,
    ZonesTold,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.decisions.picker import TargetView
    from bramleyglade_core.model.identifiers import TargetId

_DEMAND_SECONDS = 2.0
"""Time constant of the exponential average of the rate of arrivals."""

_LEAST_DEMAND = 0.01
"""Rate in requests per second below which a front reports no demand."""

_DEMAND_REPORT_SECONDS = 0.25
"""Time for which a report of the demand is sent to all peers before it is renewed."""

_MAX_DEMANDS = 64
"""Services in one report of a front's demand; those with the highest rates go first."""

_MAX_LOADS_TOLD = 256
"""Loads in one message to a neighbour; all others follow in the next ones."""

_BLEND_SECONDS = 1.0
"""Time constant over which loads measured by several daemons are averaged."""

_LEAST_NEWER_SECONDS = 0.25
"""A load counts as new if it was measured by this much later than the known one."""

_VIEW_SECONDS = 5.0
"""Age up to which a view of a target counts for the capacity of its zone."""

_VIEWED_SHARE = 0.5
"""Share of a zone's targets with a view from which an estimate counts in full; below,
it counts less beside those of the zone's other daemons."""

_TELL_SECONDS = 1.0
"""Least time between two reports of the loads to the same peer."""

_MAX_REPORTS_PER_SECOND = 8
"""Reports of the loads to all peers together, so that their bytes don't grow with the
number of peers."""

_MAX_RATE = 1e7
"""Largest rate accepted from peers, in requests per second."""

_LATENCY_GAIN = 0.2
"""Weight of a new round trip in the average of its zone."""

_SPARE_LEVEL = 0.75
"""Utilization below which a zone counts as one with capacity to spare; up to it, a zone
also keeps its own requests."""

_ROUND_TRIP_SECONDS = 30.0
"""Time without a new round trip after which the average of a zone is dropped. Most
daemons send heartbeats to another region only while they send requests there."""


class RateMeter:
    """An exponential average of a rate of events."""

    def __init__(self, now: float) -> None:
        self._started_at = now
        self._updated_at = now
        self._weight = 0.0

    def note(self, now: float) -> None:
        """Count one event."""
        self._decay(now)
        self._weight += 1.0

    def per_second(self, now: float) -> float:
        """Return the rate; it is not biased while the meter is young."""
        self._decay(now)
        age = max(now - self._started_at, _DEMAND_SECONDS / 3)
        return self._weight / (_DEMAND_SECONDS * -math.expm1(-age / _DEMAND_SECONDS))

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._weight *= math.exp(-elapsed / _DEMAND_SECONDS)
        self._updated_at = max(self._updated_at, now)


@dataclass(frozen=True, slots=True)
class _PeerDemand:
    zone: str
    received_at: float
    rate_by_service: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class _KnownLoad:
    demand: float
    capacity: float
    measured_at: float


@dataclass(frozen=True, slots=True)
class _RoundTrip:
    seconds: float
    measured_at: float


class ZoneLoads:
    """Loads of all zones: the own one measured, the others reported by peers."""

    def __init__(self, home: str) -> None:
        self._home = home
        self.is_active = False
        """Whether there is more than one zone, so that peers get reports."""
        self._meter_by_service: dict[str, RateMeter] = {}
        self._demand_by_peer: dict[str, _PeerDemand] = {}
        self._load_by_zone_by_service: dict[str, dict[str, _KnownLoad]] = {}
        self._sorted_keys: list[tuple[str, str]] | None = None
        """Services and zones with a load; None after one was added or dropped."""
        self._own_demands: tuple[float, tuple[ServiceDemandTold, ...]] | None = None
        """The last report of the own demand, and when it was made."""
        self._round_trip_by_zone: dict[str, _RoundTrip] = {}
        self._next_told = 0
        """Index of the first load of the next report."""
        self._told_at_by_peer: dict[str, float] = {}

    def note_arrival(self, service: str, now: float) -> None:
        """Count a request for a service that has arrived at this front."""
        meter = self._meter_by_service.get(service)
        if meter is None:
            meter = self._meter_by_service[service] = RateMeter(now)
        meter.note(now)

    def note_round_trip(self, zone: str, seconds: float, now: float) -> None:
        """Note the round trip of a heartbeat to a daemon in a zone."""
        known = self._round_trip_by_zone.get(zone)
        average = seconds if known is None else known.seconds
        average += _LATENCY_GAIN * (seconds - average)
        self._round_trip_by_zone[zone] = _RoundTrip(average, now)

    def extra_seconds_by_zone(self, now: float) -> dict[str, float]:
        """Return by how much a round trip to each zone is longer than in this one.

        Zones without a recent measurement are left out. Otherwise one that was slow
        when it was last measured would get no request, and so no new measurement.
        """
        oldest = now - _ROUND_TRIP_SECONDS
        for zone, known in list(self._round_trip_by_zone.items()):
            if known.measured_at < oldest:
                del self._round_trip_by_zone[zone]
        own = self._round_trip_by_zone.get(self._home, _RoundTrip(0.0, now))
        return {
            zone: max(0.0, known.seconds - own.seconds)
            for zone, known in self._round_trip_by_zone.items()
        }

    def own_demands(self, now: float) -> tuple[ServiceDemandTold, ...]:
        """Return the demand at this front, for its peers."""
        if self._own_demands is not None:
            made_at, demands = self._own_demands
            if 0 <= now - made_at < _DEMAND_REPORT_SECONDS:
                return demands
        rates = []
        for service, meter in list(self._meter_by_service.items()):
            rate = meter.per_second(now)
            if rate < _LEAST_DEMAND:
                del self._meter_by_service[service]
            else:
                rates.append((rate, service))
        rates.sort(reverse=True)
        demands = tuple(ServiceDemandTold(s, rate) for rate, s in rates[:_MAX_DEMANDS])
        self._own_demands = (now, demands)
        return demands

    def report_for(self, peer: str, now: float) -> ZonesTold:
        """Return the report for a peer; the loads are in it once in a while."""
        if not self.is_active:
            return ZonesTold()
        demands = self.own_demands(now)
        recent = {p: t for p, t in self._told_at_by_peer.items() if now - t < 1.0}
        told_at = self._told_at_by_peer.get(peer, -math.inf)
        if now - told_at < _TELL_SECONDS or len(recent) >= _MAX_REPORTS_PER_SECOND:
            return ZonesTold(demands, is_measured=True)
        self._told_at_by_peer = {**recent, peer: now}
        return ZonesTold(demands, self.loads_to_tell(now), is_measured=True)

    def note_report(
        self,
        peer: str,
        zone: str,
        told: ZonesTold,
        configuration: Configuration,
        now: float,
    ) -> None:
        """Store what a peer reports; what is unknown or out of range is ignored.

        Args:
            peer: Name of the peer.
            zone: Zone of the peer.
            told: Its report.
            configuration: The configuration in force.
            now: Time of this process's clock, in seconds.
        """
        services = configuration.service_by_name
        rates = {
            demand.service: demand.per_second
            for demand in told.demands
            if demand.service in services and _is_rate(demand.per_second)
        }
        if told.is_measured or rates:
            self._demand_by_peer[peer] = _PeerDemand(zone, now, rates)
        for load in told.loads:
            if load.zone not in configuration.zone_by_name:
                continue
            if load.service not in services:
                continue
            if not (_is_rate(load.demand) and _is_rate(load.capacity)):
                continue
            if not 0 <= load.age_seconds < MAX_LOAD_AGE_SECONDS:
                continue
            measured_at = now - load.age_seconds
            known = _KnownLoad(load.demand, load.capacity, measured_at)
            self._blend(load.service, load.zone, known)

    def measure_home(
        self,
        candidates_by_service: Mapping[str, Sequence[Candidate]],
        view_by_target: Mapping[TargetId, TargetView],
        typical_seconds: Callable[[Sequence[Candidate]], float | None],
        home_size: int,
        now: float,
    ) -> None:
        """Measure the loads of the own zone from views and reported demand.

        Args:
            candidates_by_service: Targets that take new work, in all zones, of the
                services to measure.
            view_by_target: Views of the targets that this front knows.
            typical_seconds: Returns the typical latency of targets.
            home_size: Number of daemons in the own zone.
            now: Time of this process's clock, in seconds.
        """
        self._drop_old(now)
        demand_by_service = self._home_demand(home_size, now)
        for service, candidates in candidates_by_service.items():
            own = [c for c in candidates if c.zone == self._home]
            capacity, weight = 0.0, 1.0
            if own:
                views = []
                for candidate in own:
                    view = view_by_target.get(candidate.target)
                    if view is not None and now - view.received_at <= _VIEW_SECONDS:
                        views.append(view)
                typical = typical_seconds(candidates)
                if typical is None or not views:
                    continue
                rates = [target_rate(view, typical, now) for view in views]
                capacity = sum(rates) * len(own) / len(rates)
                weight = min(1.0, len(views) / len(own) / _VIEWED_SHARE)
            demand = demand_by_service.get(service, 0.0)
            if demand or own:
                load = _KnownLoad(demand, capacity, now)
                self._blend(service, self._home, load, weight)

    def front_loads(self, now: float) -> dict[str, dict[str, ZoneLoad]]:
        """Return the loads of the services that requests arrive for at this front."""
        return self.loads_by_service(now, self._meter_by_service)

    def loads_by_service(
        self, now: float, services: Iterable[str] | None = None
    ) -> dict[str, dict[str, ZoneLoad]]:
        """Return the known loads that are not too old, by service and zone.

        Args:
            now: Time of this process's clock, in seconds.
            services: Services to return; None for all.
        """
        if services is None:
            services = self._load_by_zone_by_service
        loads = {}
        for service in services:
            load_by_zone = self._load_by_zone(service, now)
            if load_by_zone:
                loads[service] = load_by_zone
        return loads

    def _load_by_zone(self, service: str, now: float) -> dict[str, ZoneLoad]:
        load_by_zone = {}
        for zone, known in self._load_by_zone_by_service.get(service, {}).items():
            age = max(0.0, now - known.measured_at)
            if age < MAX_LOAD_AGE_SECONDS:
                load_by_zone[zone] = ZoneLoad(known.demand, known.capacity, age)
        return load_by_zone

    def has_spare_elsewhere(self, service: str, now: float) -> bool:
        """Return whether another zone has capacity left after its own demand.

        Args:
            service: The service.
            now: Time of this process's clock, in seconds.
        """
        return any(
            zone != self._home and load.demand < _SPARE_LEVEL * load.capacity
            for zone, load in self._load_by_zone(service, now).items()
        )

    def loads_to_tell(self, now: float) -> tuple[ZoneLoadTold, ...]:
        """Return loads for the neighbours; in turn, if there are too many."""
        keys = self._sorted_keys
        if keys is None:
            keys = self._sorted_keys = sorted(
                (service, zone)
                for service, load_by_zone in self._load_by_zone_by_service.items()
                for zone in load_by_zone
            )
        if len(keys) > _MAX_LOADS_TOLD:
            start = self._next_told % len(keys)
            self._next_told = start + _MAX_LOADS_TOLD
            end = start + _MAX_LOADS_TOLD
            keys = keys[start:end] + keys[: max(0, end - len(keys))]
        told = []
        for service, zone in keys:
            known = self._load_by_zone_by_service[service][zone]
            age = max(0.0, now - known.measured_at)
            if age < MAX_LOAD_AGE_SECONDS:
                load = ZoneLoadTold(zone, service, known.demand, known.capacity, age)
                told.append(load)
        return tuple(told)

    def home_services(self) -> set[str]:
        """Return the services that requests arrive for in the own zone."""
        services = set(self._meter_by_service)
        for peer in self._demand_by_peer.values():
            if peer.zone == self._home:
                services.update(peer.rate_by_service)
        return services

    def _home_demand(self, home_size: int, now: float) -> dict[str, float]:
        """Return the demand of the own zone, from the fronts that have reported it."""
        total: defaultdict[str, float] = defaultdict(float)
        reporting = 1
        for service, meter in self._meter_by_service.items():
            total[service] += meter.per_second(now)
        for peer in self._demand_by_peer.values():
            if peer.zone == self._home:
                reporting += 1
                for service, rate in peer.rate_by_service.items():
                    total[service] += rate
        scale = max(1.0, home_size / reporting)
        return {service: scale * rate for service, rate in total.items()}

    def _blend(
        self, service: str, zone: str, load: _KnownLoad, weight: float = 1.0
    ) -> None:
        load_by_zone = self._load_by_zone_by_service.setdefault(service, {})
        known = load_by_zone.get(zone)
        if known is None:
            self._sorted_keys = None
        if known is None or load.measured_at - known.measured_at > _BLEND_SECONDS * 3:
            load_by_zone[zone] = load
            return
        elapsed = load.measured_at - known.measured_at
        if elapsed < _LEAST_NEWER_SECONDS:
            return
        gain = -weight * math.expm1(-elapsed / _BLEND_SECONDS)
        load_by_zone[zone] = _KnownLoad(
            known.demand + gain * (load.demand - known.demand),
            known.capacity + gain * (load.capacity - known.capacity),
            load.measured_at,
        )

    def _drop_old(self, now: float) -> None:
        oldest = now - MAX_LOAD_AGE_SECONDS
        for service, load_by_zone in list(self._load_by_zone_by_service.items()):
            for zone, load in list(load_by_zone.items()):
                if load.measured_at < oldest:
                    del load_by_zone[zone]
                    self._sorted_keys = None
            if not load_by_zone:
                del self._load_by_zone_by_service[service]
        for peer, demand in list(self._demand_by_peer.items()):
            if demand.received_at < oldest:
                del self._demand_by_peer[peer]


def target_rate(view: TargetView, typical_seconds: float, now: float) -> float:
    """Return the requests per second that a target answers without a failure.

    Args:
        view: The target's load and health.
        typical_seconds: Latency of a target that has reported none.
        now: Time of this process's clock, in seconds.
    """
    if view.is_ejected or view.is_trial:
        return 0.0
    latency = typical_seconds
    if view.log_latency is not None:
        latency = math.exp(view.log_latency)
    # A target with a limited rate is no faster than one request per wait.
    latency = max(latency, view.limit * view.remaining_wait(now))
    return view.limit / max(latency, 1e-4) * (1.0 - min(1.0, max(0.0, view.risk)))


def _is_rate(rate: float) -> bool:
    return 0.0 <= rate <= _MAX_RATE
