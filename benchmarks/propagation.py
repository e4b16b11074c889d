"""Time until all daemons know of a change, with production settings.

The daemons run on loopback in one process. The changes are a ticket, a withdrawn
key, a leaving target and a lost daemon.
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
_TICKETS = 5
_REST_SECONDS = 5.0


async def _time_until(
    fleet: LocalFleet,
    change: Callable[[], Awaitable[object]],
    is_known: Callable[[], bool],
) -> float:
    started_at = time.monotonic()
    await change()
    await fleet.wait_until(is_known)
    return time.monotonic() - started_at


async def _time_tickets(fleet: LocalFleet) -> list[float]:
    times = []
    for number in range(10, 10 + _TICKETS):
        ticket = Ticket(number, "", (Zone(f"zone-{number}", "region-1"),))
        times.append(
            await _time_until(
                fleet,
                lambda ticket=ticket: fleet.ticket_repository.apply(ticket),  # type: ignore[misc]
                lambda number=number: all(  # type: ignore[misc]
                    f"zone-{number}" in daemon.context.configuration.zone_by_name
                    for daemon in fleet.daemons
                ),
            )
        )
    return times


async def _time_key_withdrawal(fleet: LocalFleet) -> float:
    team = fleet.daemons[0].context.configuration.team_by_name["studio"]
    ticket = Ticket(100, "", (replace(team, key_hashes=()),))
    return await _time_until(
        fleet,
        lambda: fleet.ticket_repository.apply(ticket),
        lambda: (
            not any(
                daemon.context.configuration.team_by_key_hash
                for daemon in fleet.daemons
            )
        ),
    )


async def _time_leaving_target(fleet: LocalFleet) -> float:
    def known_targets() -> int:
        return sum(
            len(daemon.context.directory.candidates("catalogue"))
            for daemon in fleet.daemons
        )

    expected = len(fleet.daemons) * (len(fleet.targets) - 1)
    guard = fleet.daemons[3].guard
    await fleet.announcers[3].cancel()
    return await _time_until(
        fleet, lambda: guard.drain("target-3"), lambda: known_targets() == expected
    )


async def _time_lost_daemon(fleet: LocalFleet) -> float:
    others = fleet.daemons[:-1]
    return await _time_until(
        fleet,
        lambda: fleet.kill(_DAEMONS - 1),
        lambda: not any(daemon.context.directory.is_live("vm-19") for daemon in others),
    )


async def measure(seed: int) -> None:
    """Start a fleet, measure all changes and print the figures."""
    fleet = LocalFleet()
    fleet.has_short_terms = False
    await fleet.start(_DAEMONS, _ZONES, first_ticket(_ZONES))
    calls_before = fleet.store.calls
    await curio.sleep(_REST_SECONDS)
    calls_per_second = (fleet.store.calls - calls_before) / _REST_SECONDS
    emit(
        Measurement(
            "store calls, 20 daemons at rest", "ours", calls_per_second, "1/s", seed
        )
    )
    times = await _time_tickets(fleet)
    worst = percentile(times, 1.0)
    emit(Measurement("ticket in force on 20 daemons", "ours", worst, "s", seed))
    seconds = await _time_leaving_target(fleet)
    emit(Measurement("leaving target known on 20 daemons", "ours", seconds, "s", seed))
    seconds = await _time_key_withdrawal(fleet)
    emit(Measurement("withdrawn key known on 20 daemons", "ours", seconds, "s", seed))
    seconds = await _time_lost_daemon(fleet)
    emit(Measurement("lost daemon suspected by 19", "ours", seconds, "s", seed))
    await fleet.close()


def main(seed: int = 1) -> None:
    """Run the measurement."""
    curio.run(measure, seed)


if __name__ == "__main__":
    main()
