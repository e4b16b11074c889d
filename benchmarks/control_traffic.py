"""Bytes per second that daemons send each other, by kind of message and distance.

The daemons run on loopback in one process with production settings, in two regions of
two zones each. They are measured at rest, and after one request to another region.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import curio
import fire

from benchmarks.measure import Measurement, emit
from bramleyglade_core.decisions.regions import Distance
from bramleyglade_core.model.entities import Zone
from bramleyglade_standins.local_fleet import LocalFleet, first_ticket

if TYPE_CHECKING:
    from bramleyglade_core.model.tickets import Ticket

_DAEMONS = (8, 16, 32)
_ZONES = 4
_REST_SECONDS = 8.0
_SETTLE_SECONDS = 6.0


def two_region_ticket() -> Ticket:
    """Return a ticket with two zones in each of two regions."""
    ticket = first_ticket(_ZONES)
    entities = tuple(
        replace(entity, region=f"region-{1 + int(entity.name[-1]) % 2}")
        if isinstance(entity, Zone)
        else entity
        for entity in ticket.entities
    )
    return replace(ticket, entities=entities)


def _sent(fleet: LocalFleet, distance: Distance) -> Counter[str]:
    """Return what all daemons have sent over a distance, by kind of message."""
    sent: Counter[str] = Counter()
    for daemon in fleet.daemons:
        sent += daemon.context.telemetry.peer_bytes.at(distance.value)
    return sent


async def _measure_rest(fleet: LocalFleet, situation: str, seed: int) -> None:
    before = {distance: _sent(fleet, distance) for distance in Distance}
    await curio.sleep(_REST_SECONDS)
    total = sum((_sent(fleet, d) - before[d]).total() for d in Distance)
    count = len(fleet.daemons)
    measure = f"control traffic of each of {count} daemons {situation}"
    per_second = total / count / _REST_SECONDS
    emit(Measurement(measure, "ours", per_second, "B/s", seed))
    for distance in Distance:
        sent = _sent(fleet, distance) - before[distance]
        for kind, size in [("all", sum(sent.values())), *sent.most_common(3)]:
            measure = (
                f"{kind} to {distance.value}, {len(fleet.daemons)} daemons {situation}"
            )
            emit(Measurement(measure, "ours", size / _REST_SECONDS, "B/s", seed))


async def measure(daemons: int, seed: int) -> None:
    """Start a fleet, measure its control traffic and print the figures."""
    fleet = LocalFleet()
    fleet.has_short_terms = False
    await fleet.start(daemons, _ZONES, two_region_ticket())
    await curio.sleep(_SETTLE_SECONDS)
    await _measure_rest(fleet, "at rest", seed)
    for index in range(daemons):
        for _ in range(4):
            await fleet.call(index, path="/lookup/1")
    await _measure_rest(fleet, "after four requests each", seed)
    await fleet.close()


def main(*daemons: int, seed: int = 1) -> None:
    """Run the measurement for some sizes of the fleet."""
    for count in daemons or _DAEMONS:
        curio.run(measure, count, seed)


if __name__ == "__main__":
    fire.Fire(main)
