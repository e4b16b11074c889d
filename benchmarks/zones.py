"""Cost of a pick among 300 targets and of the shares of 9 zones and 2,400 services."""

from __future__ import annotations

import math
import random
import time
from typing import TYPE_CHECKING

from benchmarks.measure import Measurement, emit
from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.decisions.picker import Picker, PickOptions
from bramleyglade_core.decisions.zone_balance import ZoneBalance, ZoneLoad, ZonePlan
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.identifiers import Address, TargetId
from bramleyglade_core.model.peer_messages import TargetViewTold

if TYPE_CHECKING:
    from collections.abc import Callable

_TARGETS = 300
_SERVICES = 2_400
_ZONES = tuple(f"zone-{index}" for index in range(9))
_REGION_BY_ZONE = {zone: f"region-{i % 4}" for i, zone in enumerate(_ZONES)}
_CALLS = 2_000
_MILLISECONDS_PER_SECOND = 1e3
_MICROSECONDS_PER_SECOND = 1e6


def _seconds(action: Callable[[], object], calls: int) -> float:
    action()
    started_at = time.process_time()
    for _ in range(calls):
        action()
    return (time.process_time() - started_at) / calls


def measure_pick(zone_count: int, seed: int) -> None:
    """Measure a pick among targets that are spread over some zones."""
    picker = Picker(_ZONES[0], random.Random(seed))
    picker.plan = ZonePlan(_REGION_BY_ZONE, {}, {})
    candidates = []
    for index in range(_TARGETS):
        target = TargetId(f"vm-{index}", f"target-{index}")
        announced = TargetAnnouncement(target.name, "s", Address("10.0.0.1", 80), 4)
        candidates.append(Candidate(target, _ZONES[index % zone_count], announced))
        view = TargetViewTold(target.name, "s", 4, 1, False, False, -3.7)
        picker.update_views(target.daemon, [view], 0.0)
    options = PickOptions(1.0, objective_seconds=2.0)
    tried = frozenset[TargetId]()
    seconds = _seconds(lambda: picker.pick(candidates, tried, options), _CALLS)
    label = f"pick among {_TARGETS} targets in {zone_count} zones"
    emit(Measurement(label, "ours", seconds * _MICROSECONDS_PER_SECOND, "us", seed))


def measure_shares(label: str, mean_utilization: float, seed: int) -> None:
    """Measure one update of all shares at a mean utilization of the zones."""
    random_source = random.Random(seed)
    loads = {
        f"service-{index}": {
            zone: ZoneLoad(
                100 * mean_utilization * math.exp(random_source.gauss(0.0, 0.3)), 100.0
            )
            for zone in _ZONES
        }
        for index in range(_SERVICES)
    }
    balance = ZoneBalance(_ZONES[0])
    seconds = _seconds(lambda: balance.update(loads, _REGION_BY_ZONE, {}, {}), 10)
    label = f"shares of {len(_ZONES)} zones and {_SERVICES} services, {label}"
    emit(Measurement(label, "ours", seconds * _MILLISECONDS_PER_SECOND, "ms", seed))


def main(seed: int = 1) -> None:
    """Run all measurements."""
    for zone_count in (1, 4):
        measure_pick(zone_count, seed)
    measure_shares("calm", 0.5, seed)
    measure_shares("a third of them short", 0.75, seed)
    measure_shares("all short", 1.6, seed)


if __name__ == "__main__":
    main()
