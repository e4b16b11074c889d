"""What a change of one route costs a fleet, and how long it takes, by its routes.

The daemons run on loopback in one process and share one core, in two regions of two
zones each, and four of them read the store, as on the users' platform. Each version
carries the whole configuration. In the last rounds the readers are killed when the
version is written.
"""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING

import curio
import fire

from benchmarks.measure import Measurement, emit, percentile
from bramleyglade_adapters.store.shared_objects import ticket_key
from bramleyglade_adapters.structure import to_json
from bramleyglade_core.model.entities import Route, Zone
from bramleyglade_core.model.settings import LeaseSettings, OutagePolicy
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.local_fleet import LocalFleet, first_ticket

if TYPE_CHECKING:
    from bramleyglade_daemon.daemon import Daemon

_ZONES = 4
_ROUTES = (0, 1400, 2800)
_ROUNDS = 5
_ROUNDS_WITHOUT_READERS = 2
_SETTLE_SECONDS = 3.0
_RECOVERY_SECONDS = 8.0
_WAIT_SECONDS = 60.0
_BASE_NUMBER = 10
_KINDS = ("BatchAsked", "BatchTold", "ChangesAsked", "ChangesTold")

_LEASE = LeaseSettings(
    term_seconds=4.0,
    margin_seconds=0.3,
    refresh_seconds=0.8,
    stale_seconds=2.2,
    silence_seconds=1.2,
    readers=4,
    has_watches=False,
    outage=OutagePolicy.STOP,
)


def _ticket(number: int, routes: int) -> Ticket:
    """Return a version with many routes, one of which is moved by each version."""
    zones = {f"zone-{index}": f"region-{1 + index % 2}" for index in range(_ZONES)}
    entities = [
        replace(entity, region=zones[entity.name])
        if isinstance(entity, Zone)
        else entity
        for entity in first_ticket(_ZONES).entities
    ]
    entities += [
        Route(f"route-{index * 7919 % 100_003:05}", "catalogue", f"/added/{index}/")
        for index in range(routes)
    ]
    entities.append(Route("moved", "catalogue", f"/moved/{number}/"))
    return Ticket(number, "", tuple(entities), is_whole=True)


class GrowthRun:
    """A fleet whose configuration has a number of routes."""

    def __init__(self, daemons: int, routes: int, seed: int) -> None:
        self._fleet = LocalFleet()
        self._fleet.has_short_terms = False
        self._fleet.lease_settings = _LEASE
        self._count = daemons
        self._routes = routes
        self._seed = seed
        self._number = _BASE_NUMBER

    async def measure(self) -> None:
        """Start the fleet, measure changes of one route and print the figures."""
        await self._fleet.start(self._count, _ZONES, _ticket(1, 0))
        try:
            await self._write()
            times = await self._wait_for_all(self._fleet.daemons)
            self._emit("growth", times)
            await curio.sleep(_SETTLE_SECONDS)
            await self._measure_changes()
            await self._measure_without_readers()
        finally:
            await self._fleet.close()

    async def _measure_changes(self) -> None:
        times: list[float] = []
        sent_before, cpu_before = self._sent(), time.process_time()
        for _ in range(_ROUNDS):
            await self._write()
            times += await self._wait_for_all(self._fleet.daemons)
            await curio.sleep(_SETTLE_SECONDS)
        self._emit("one route", times)
        sent = (self._sent() - sent_before).total() / _ROUNDS / self._count
        self._print("one route, bytes a daemon", sent, "B")
        seconds = (time.process_time() - cpu_before) / _ROUNDS / self._count
        self._print("one route and 3 s at rest, processor time", 1e3 * seconds, "ms")

    async def _measure_without_readers(self) -> None:
        times: list[float] = []
        for _ in range(_ROUNDS_WITHOUT_READERS):
            daemons = self._fleet.daemons
            indexes = [i for i, d in enumerate(daemons) if d.shared._is_watcher()]
            for index in indexes:
                await self._fleet.kill(index)
            await self._write()
            left = [d for i, d in enumerate(daemons) if i not in indexes]
            times += await self._wait_for_all(left)
            for index in indexes:
                await self._fleet.start_daemon(index, seed=self._number)
            await curio.sleep(_RECOVERY_SECONDS)
        self._emit("one route, readers killed", times)

    async def _write(self) -> None:
        self._number += 1
        ticket = _ticket(self._number, self._routes)
        await self._fleet.store.create(ticket_key(ticket.number), to_json(ticket))

    async def _wait_for_all(self, daemons: list[Daemon]) -> list[float]:
        """Return the time until the newest version is in force, for each daemon."""
        started_at = time.monotonic()
        waiting, times = list(daemons), []
        while waiting and time.monotonic() < started_at + _WAIT_SECONDS:
            await curio.sleep(0.01)
            numbers = [d.context.configuration.whole_ticket for d in waiting]
            now = time.monotonic() - started_at
            times += [now for number in numbers if number >= self._number]
            waiting = [
                d for d, n in zip(waiting, numbers, strict=True) if n < self._number
            ]
        return times + [_WAIT_SECONDS] * len(waiting)

    def _sent(self) -> Counter[str]:
        total: Counter[str] = Counter()
        for daemon in self._fleet.daemons:
            sent = daemon.context.telemetry.peer_bytes._sent_by_distance
            for sent_by_kind in sent.values():
                total.update({kind: sent_by_kind[kind] for kind in _KINDS})
        return total

    def _emit(self, situation: str, times: list[float]) -> None:
        self._print(f"{situation}, in force, p50", percentile(times, 0.5), "s")
        self._print(f"{situation}, in force, last daemon", max(times), "s")

    def _print(self, measure: str, value: float, unit: str) -> None:
        policy = f"{self._routes} routes, {self._count} daemons"
        emit(Measurement(measure, policy, value, unit, self._seed))


def main(daemons: int = 24, seed: int = 1) -> None:
    """Measure fleets with some numbers of routes and print the figures."""
    for routes in _ROUTES:
        curio.run(GrowthRun(daemons, routes, seed).measure)


if __name__ == "__main__":
    fire.Fire(main)
