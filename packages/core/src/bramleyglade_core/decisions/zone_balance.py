"""Shares of a zone's requests that go to each zone.

Demand is counted where requests arrive, not where they are served, so that it does not
depend on the shares themselves. All zones compute the same exchange from the same
loads, each for its own requests.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

_NO_EXTRA: Mapping[str, float] = {}

ZONE_WAIT_SHARE = 1 / 16
"""Part of the latency objective that a request may wait before it leaves its zone."""

REGION_WAIT_SHARE = 1 / 8
"""Part of the latency objective that a request may wait before it leaves its region."""

DEFAULT_OBJECTIVE_SECONDS = 1.0
"""Latency objective assumed for requests without one."""

MAX_LOAD_AGE_SECONDS = 6.0
"""Age from which a load is ignored."""

_FRESH_SECONDS = 3.0
"""Age up to which a load counts in full; between the two, it counts less and less."""

_LEAST_LEVEL = 0.5
"""Utilization up to which a zone or region keeps its requests, however small it is."""

_MAX_ZONE_LEVEL = 0.75
_MAX_REGION_LEVEL = 0.85
"""Utilization above which a region never keeps requests that another has capacity for.

More than a zone's, as zones are balanced within the region first."""

_SHORTEST_WAIT_SECONDS = 0.001

_LEAST_RATE = 1e-6
"""Rate in requests per second that counts as none."""

_GAIN = 0.7
"""Part of the distance to the computed shares that one update covers."""

_MIN_SHARE = 0.005
"""Shares below this are dropped."""

_REPORTED_CHANGE = 0.1
"""Change of the leaving share that is reported; also any change from or to zero."""


@dataclass(frozen=True, slots=True)
class ZoneLoad:
    """Demand and capacity of one service in one zone."""

    demand: float
    """Requests per second that arrive at the fronts of the zone."""
    capacity: float
    """Requests per second that the targets of the zone can serve."""
    age: float = 0.0
    """Seconds since the two were measured."""


@dataclass(frozen=True, slots=True)
class ZonePlan:
    """What a front needs to know of the zones to choose one for a request."""

    region_by_zone: Mapping[str, str]
    """Regions; zones without one are in a common region."""
    extra_seconds_by_zone: Mapping[str, float]
    """By how much a round trip to a zone is longer than within the own one."""
    share_by_zone_by_service: Mapping[str, Mapping[str, float]]
    """Shares of the services of which some requests leave the own zone."""

    def is_same_region(self, zone: str, other: str) -> bool:
        """Return whether two zones are in the same region, as far as is known."""
        regions = self.region_by_zone
        return regions.get(zone, "") == regions.get(other, "")


EMPTY_PLAN = ZonePlan({}, {}, {})


@dataclass(frozen=True, slots=True)
class ShareChange:
    """A change of the shares that matters to operators."""

    service: str
    leaving_before: float
    """Share of the requests that left the zone at the last report, 0 to 1."""
    share_by_zone: Mapping[str, float]
    load_by_zone: Mapping[str, ZoneLoad]
    """The loads that the shares are computed from."""


@dataclass(slots=True)
class _Region:
    demand: float = 0.0
    capacity: float = 0.0
    zone_level: float = 0.0
    """Sum over its zones of what they keep, in requests per second."""
    fill: float = 0.0
    """What its zones serve after the exchange with other regions."""
    scale: float = 1.0
    """Factor on the level of its zones at which they serve that."""
    spare: float = 0.0
    """Sum over its zones of what they have left at that level."""
    surplus: float = 0.0
    """Sum over its zones of the demand above that level."""


def zone_shares(
    home: str,
    load_by_zone: Mapping[str, ZoneLoad],
    region_by_zone: Mapping[str, str],
    objective_seconds: float = DEFAULT_OBJECTIVE_SECONDS,
    extra_seconds_by_zone: Mapping[str, float] = _NO_EXTRA,
) -> dict[str, float]:
    """Compute where the requests of one zone for one service go.

    A zone keeps what it can serve with a short wait. What exceeds that fills the zones
    of the region to an equal level, and what exceeds the level of the region fills
    those of the other regions. Each receives in proportion to what it has left after
    its own demand, so that no zone receives all of it.

    Args:
        home: The zone in which the requests arrive.
        load_by_zone: Loads of the service; zones without one receive nothing.
        region_by_zone: Regions; zones without one are in a common region.
        objective_seconds: Latency objective of the requests.
        extra_seconds_by_zone: By how much a round trip to a zone is longer than within
            the own one, as far as is measured. Zones that are too far for the
            objective receive nothing.

    Returns:
        Shares by zone, with a sum of 1.
    """
    own = load_by_zone.get(home)
    if own is None or own.demand <= _LEAST_RATE or own.age >= MAX_LOAD_AGE_SECONDS:
        return {home: 1.0}
    least_free = _least_free(ZONE_WAIT_SHARE, objective_seconds)
    longest_extra = REGION_WAIT_SHARE * objective_seconds
    own_level = _kept_rate(own.capacity, least_free, _MAX_ZONE_LEVEL)
    if own.demand <= own_level:
        return {home: 1.0}
    region_by_name: dict[str, _Region] = {}
    rows: list[tuple[str, _Region, float, float]] = []
    for zone, load in load_by_zone.items():
        demand, capacity = load.demand, load.capacity
        level = _kept_rate(capacity, least_free, _MAX_ZONE_LEVEL)
        if zone != home:
            if extra_seconds_by_zone and (
                extra_seconds_by_zone.get(zone, 0.0) > longest_extra
            ):
                continue
            if load.age > _FRESH_SECONDS:
                trust = _trust(load.age)
                if trust <= 0:
                    continue
                demand, capacity, level = (
                    trust * demand,
                    trust * capacity,
                    trust * level,
                )
        name = region_by_zone.get(zone, "")
        region = region_by_name.get(name)
        if region is None:
            region = region_by_name[name] = _Region()
        region.demand += demand
        region.capacity += capacity
        region.zone_level += level
        rows.append((zone, region, demand, level))
    regions = list(region_by_name.values())
    _exchange_between_regions(regions, objective_seconds)
    own_region = region_by_name[region_by_zone.get(home, "")]
    surplus = own.demand - own_region.scale * own_level
    if surplus <= _LEAST_RATE:
        return {home: 1.0}
    receiving: list[tuple[str, _Region, float]] = []
    for zone, region, demand, level in rows:
        spare = region.scale * level - demand
        if spare > _LEAST_RATE:
            region.spare += spare
            receiving.append((zone, region, spare))
        elif spare < 0:
            region.surplus -= spare
    far_total = max(0.0, own_region.demand - own_region.fill)
    far = far_total * surplus / own_region.surplus
    received = 0.0
    if far > 0:
        received = sum([max(0.0, r.fill - r.demand) for r in regions])
    share_by_zone: dict[str, float] = {}
    leaving = 0.0
    for zone, region, spare in receiving:
        part = spare / region.spare / own.demand
        if region is own_region:
            share = (surplus - far) * part
        elif far > 0 and region.fill > region.demand:
            share = far * (region.fill - region.demand) / received * part
        else:
            continue
        if share >= _MIN_SHARE:
            share_by_zone[zone] = share
            leaving += share
    share_by_zone[home] = max(0.0, 1.0 - leaving)
    return share_by_zone


def _exchange_between_regions(
    regions: Sequence[_Region], objective_seconds: float
) -> None:
    """Set what each region serves: above an equal level, requests leave it."""
    least_free = _least_free(REGION_WAIT_SHARE, objective_seconds)
    total_demand = total_level = 0.0
    levels = []
    for region in regions:
        region.fill = region.demand
        level = _kept_rate(region.capacity, least_free, _MAX_REGION_LEVEL)
        levels.append(level)
        total_demand += region.demand
        total_level += level
    if len(regions) > 1 and total_level > _LEAST_RATE:
        scale = max(1.0, total_demand / total_level)
        # Above their capacity, regions gain nothing from an equal level.
        left = []
        spare = surplus = 0.0
        for region, level in zip(regions, levels, strict=True):
            highest = level if level > region.capacity else region.capacity
            rate = scale * level
            rate = (rate if rate < highest else highest) - region.demand
            left.append(rate)
            if rate > 0:
                spare += rate
            else:
                surplus -= rate
        moved = min(surplus, spare)
        if moved > _LEAST_RATE:
            for region, part in zip(regions, left, strict=True):
                region.fill += moved * part / (surplus if part < 0 else spare)
    for region in regions:
        if region.fill > region.zone_level > _LEAST_RATE:
            region.scale = region.fill / region.zone_level


def _kept_rate(capacity: float, least_free: float, highest: float) -> float:
    """Return the requests per second that a zone or region keeps.

    The wait for one of many slots is about one divided by the rate that is left free.

    Args:
        capacity: Requests per second that it can serve.
        least_free: Rate that must stay free for a wait within the bound, the inverse
            of that wait.
        highest: Utilization above which it keeps nothing.
    """
    rate = capacity - least_free
    most = highest * capacity
    if rate >= most:
        return most
    least = _LEAST_LEVEL * capacity
    return rate if rate > least else least


def _least_free(share: float, objective_seconds: float) -> float:
    """Return the rate that must stay free for a wait within a part of the objective."""
    return 1.0 / max(share * objective_seconds, _SHORTEST_WAIT_SECONDS)


def _trust(age: float) -> float:
    """Return how much a load of an age counts, 0 to 1."""
    if age <= _FRESH_SECONDS:
        return 1.0
    return max(
        0.0, (MAX_LOAD_AGE_SECONDS - age) / (MAX_LOAD_AGE_SECONDS - _FRESH_SECONDS)
    )


class ZoneBalance:
    """The shares of one zone's requests, which follow the loads step by step."""

    def __init__(self, home: str) -> None:
        self._home = home
        self._reported_by_service: dict[str, float] = {}
        self.share_by_zone_by_service: dict[str, dict[str, float]] = {}
        """Shares of the services of which some requests leave the zone."""

    def update(
        self,
        loads_by_service: Mapping[str, Mapping[str, ZoneLoad]],
        region_by_zone: Mapping[str, str],
        objective_by_service: Mapping[str, float],
        extra_seconds_by_zone: Mapping[str, float],
    ) -> list[ShareChange]:
        """Move the shares towards those that the loads call for.

        Args:
            loads_by_service: Loads by service and zone.
            region_by_zone: Regions; zones without one are in a common region.
            objective_by_service: Latency objectives in seconds, where there is one.
            extra_seconds_by_zone: By how much a round trip to a zone is longer than
                within the own one.

        Returns:
            The changes to report.
        """
        changes = []
        for service in list(self.share_by_zone_by_service):
            if service not in loads_by_service:
                del self.share_by_zone_by_service[service]
                before = self._reported_by_service.pop(service, 0.0)
                changes.append(ShareChange(service, before, {self._home: 1.0}, {}))
        for service, load_by_zone in loads_by_service.items():
            shares = zone_shares(
                self._home,
                load_by_zone,
                region_by_zone,
                objective_by_service.get(service, DEFAULT_OBJECTIVE_SECONDS),
                extra_seconds_by_zone,
            )
            previous = self.share_by_zone_by_service.get(service)
            if len(shares) == 1 and previous is None:
                continue
            smoothed = _smooth(self._home, previous or {self._home: 1.0}, shares)
            if len(smoothed) > 1:
                self.share_by_zone_by_service[service] = smoothed
            else:
                self.share_by_zone_by_service.pop(service, None)
            change = self._change(service, smoothed, load_by_zone)
            if change is not None:
                changes.append(change)
        return changes

    def _change(
        self,
        service: str,
        share_by_zone: Mapping[str, float],
        load_by_zone: Mapping[str, ZoneLoad],
    ) -> ShareChange | None:
        leaving = 1.0 - share_by_zone[self._home]
        before = self._reported_by_service.get(service, 0.0)
        is_switched = (leaving > 0) != (before > 0)
        if not is_switched and abs(leaving - before) < _REPORTED_CHANGE:
            return None
        if leaving > 0:
            self._reported_by_service[service] = leaving
        else:
            self._reported_by_service.pop(service, None)
        return ShareChange(service, before, share_by_zone, load_by_zone)


def _smooth(
    home: str, previous: Mapping[str, float], target: Mapping[str, float]
) -> dict[str, float]:
    smoothed = {}
    leaving = 0.0
    for zone, after in target.items():
        if zone != home:
            before = previous.get(zone, 0.0)
            share = before + _GAIN * (after - before)
            if share >= _MIN_SHARE:
                smoothed[zone] = share
                leaving += share
    for zone, before in previous.items():
        if zone != home and zone not in target:
            share = before - _GAIN * before
            if share >= _MIN_SHARE:
                smoothed[zone] = share
                leaving += share
    smoothed[home] = max(0.0, 1.0 - leaving)
    return smoothed
