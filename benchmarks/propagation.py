"""How long news take to reach all daemons, with the settings of production.

Real daemons on loopback, in one process: a ticket, a withdrawn key, a leaving
target and a lost VM.
"""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from benchmarks.measure import Measurement, emit, percentile
from bramleyglade_core.model.entities import Zone
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.local_fleet import LocalFleet, first_ticket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_DAEMONS = 20
_ZONES = 4
_ROUNDS = 5
_PERIOD_SECONDS = 5.0


async def _time(
    fleet: LocalFleet, act: Callable[[], Awaitable[object]], is_done: Callable[[], bool]
) -> float:
    started_at = time.monotonic()
    await act()
    await fleet.until(is_done)
    return time.monotonic() - started_at


async def _tickets(fleet: LocalFleet) -> list[float]:
    times = []
    for number in range(10, 10 + _ROUNDS):
        ticket = Ticket(number, "", (Zone(f"zone-{number}", "region-1"),))
        times.append(
            await _time(
                fleet,
                lambda ticket=ticket: fleet.ticket_repository.apply(ticket),  # type: ignore[misc]
                lambda number=number: all(  # type: ignore[misc]
                    f"zone-{number}" in d.context.configuration.zone_by_name
                    for d in fleet.daemons
                ),
            )
        )
    return times


async def _withdrawal(fleet: LocalFleet) -> float:
    team = fleet.daemons[0].context.configuration.team_by_name["studio"]
    ticket = Ticket(100, "", (replace(team, key_hashes=()),))
    return await _time(
        fleet,
        lambda: fleet.ticket_repository.apply(ticket),
        lambda: (
            not any(d.context.configuration.team_by_key_hash for d in fleet.daemons)
        ),
    )


async def _leaving_target(fleet: LocalFleet) -> float:
    def count() -> int:
        return sum(
            len(d.context.directory.candidates("catalogue")) for d in fleet.daemons
        )

    wanted = len(fleet.daemons) * (len(fleet.targets) - 1)
    guard = fleet.daemons[3].guard
    await fleet.announcers[3].cancel()
    return await _time(
        fleet, lambda: guard.drain("target-3"), lambda: count() == wanted
    )


async def _lost_daemon(fleet: LocalFleet) -> float:
    others = fleet.daemons[:-1]
    return await _time(
        fleet,
        lambda: fleet.kill(_DAEMONS - 1),
        lambda: not any(d.context.directory.is_live("vm-19") for d in others),
    )


async def measure(seed: int) -> None:
    """Measure and print."""
    fleet = LocalFleet()
    fleet.has_short_terms = False
    await fleet.start(_DAEMONS, _ZONES, first_ticket(_ZONES))
    calls = fleet.store.calls
    await curio.sleep(_PERIOD_SECONDS)
    rate = (fleet.store.calls - calls) / _PERIOD_SECONDS
    emit(Measurement("store calls, 20 daemons at rest", "ours", rate, "1/s", seed))
    times = await _tickets(fleet)
    worst = percentile(times, 1.0)
    emit(Measurement("ticket in force on 20 daemons", "ours", worst, "s", seed))
    value = await _leaving_target(fleet)
    emit(Measurement("leaving target known on 20 daemons", "ours", value, "s", seed))
    value = await _withdrawal(fleet)
    emit(Measurement("withdrawn key known on 20 daemons", "ours", value, "s", seed))
    value = await _lost_daemon(fleet)
    emit(Measurement("lost daemon suspected by 19", "ours", value, "s", seed))
    await fleet.close()


def main(seed: int = 1) -> None:
    """Run the measurement."""
    curio.run(measure, seed)


if __name__ == "__main__":
    main()
