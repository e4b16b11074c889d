"""Faults of the matrix, and how each is injected and healed."""

from __future__ import annotations

from dataclasses import dataclass, replace
from functools import singledispatch
from typing import Any

import curio

from bramleyglade_core.model.entities import Zone
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.local_fleet import LocalFleet
from bramleyglade_standins.memory_store import StoreFaults
from bramleyglade_standins.target_server import TargetBehaviour


@dataclass(frozen=True)
class TargetSlow:
    factor: float = 25.0


@dataclass(frozen=True)
class TargetFails:
    pass


@dataclass(frozen=True)
class TargetHangs:
    pass


@dataclass(frozen=True)
class TargetResets:
    pass


@dataclass(frozen=True)
class TargetTruncates:
    pass


@dataclass(frozen=True)
class TargetDrains:
    pass


@dataclass(frozen=True)
class LinkCut:
    """The link breaks; a new one may be opened at once."""


@dataclass(frozen=True)
class LinkCutForLong:
    """The link breaks, and new ones are refused until the fault is healed."""


@dataclass(frozen=True)
class LinkSilentToGuard:
    """Messages from the front to the guard are lost; new links are refused."""


@dataclass(frozen=True)
class LinkSilentToFront:
    """Messages from the guard to the front are lost; new links are refused."""


@dataclass(frozen=True)
class GuardKilled:
    pass


@dataclass(frozen=True)
class GuardRestarted:
    """The guard is killed and restarts with another incarnation."""


@dataclass(frozen=True)
class GuardStops:
    """The guard's daemon stops gracefully."""


@dataclass(frozen=True)
class StoreAway:
    pass


@dataclass(frozen=True)
class StoreSlow:
    pass


@dataclass(frozen=True)
class StoreStale:
    pass


@dataclass(frozen=True)
class AnswerLost:
    """The store's answer to the next write is lost, while a ticket is applied."""


@dataclass(frozen=True)
class ZoneOut:
    pass


@dataclass(frozen=True)
class KeyWithdrawn:
    pass


@dataclass(frozen=True)
class CallerLeaves:
    """Another caller disconnects during its request."""


ALL_FAULTS: tuple[Any, ...] = (
    TargetSlow(),
    TargetFails(),
    TargetHangs(),
    TargetResets(),
    TargetTruncates(),
    TargetDrains(),
    LinkCut(),
    LinkCutForLong(),
    LinkSilentToGuard(),
    LinkSilentToFront(),
    GuardKilled(),
    GuardRestarted(),
    GuardStops(),
    StoreAway(),
    StoreSlow(),
    StoreStale(),
    AnswerLost(),
    ZoneOut(),
    KeyWithdrawn(),
    CallerLeaves(),
)


@singledispatch
async def inject(fault: Any, fleet: LocalFleet, index: int) -> None:
    """Inject a fault at one VM.

    Args:
        fault: The fault.
        fleet: The fleet.
        index: Index of the VM whose target has the request.
    """
    raise TypeError(f"no injection for {fault}")


@singledispatch
async def heal(fault: Any, fleet: LocalFleet, index: int) -> None:
    """Heal a fault; by default there is nothing to undo."""


def _change_behaviour(fleet: LocalFleet, index: int, **changes: Any) -> None:
    target = fleet.targets[index]
    target.behaviour = replace(target.behaviour, **changes)


@inject.register
async def _(fault: TargetSlow, fleet: LocalFleet, index: int) -> None:
    _change_behaviour(fleet, index, slow_factor=fault.factor)


@inject.register
async def _(fault: TargetFails, fleet: LocalFleet, index: int) -> None:
    _change_behaviour(fleet, index, error_share=1.0)


@inject.register
async def _(fault: TargetHangs, fleet: LocalFleet, index: int) -> None:
    _change_behaviour(fleet, index, hang_share=1.0)


@inject.register
async def _(fault: TargetResets, fleet: LocalFleet, index: int) -> None:
    _change_behaviour(fleet, index, reset_share=1.0)


@inject.register
async def _(fault: TargetTruncates, fleet: LocalFleet, index: int) -> None:
    _change_behaviour(fleet, index, truncate_share=1.0)


@inject.register
async def _(fault: TargetDrains, fleet: LocalFleet, index: int) -> None:
    await fleet.daemons[index].guard.drain(f"target-{index}")


@heal.register(TargetSlow)
@heal.register(TargetFails)
@heal.register(TargetHangs)
@heal.register(TargetResets)
@heal.register(TargetTruncates)
async def _(fault: Any, fleet: LocalFleet, index: int) -> None:
    fleet.targets[index].behaviour = TargetBehaviour()


@inject.register
async def _(fault: LinkCut, fleet: LocalFleet, index: int) -> None:
    await fleet.cut_links(0, index)


@inject.register
async def _(fault: LinkCutForLong, fleet: LocalFleet, index: int) -> None:
    fleet.blocked_pairs.add(frozenset((0, index)))
    await fleet.cut_links(0, index)


@inject.register
async def _(fault: LinkSilentToGuard, fleet: LocalFleet, index: int) -> None:
    fleet.blocked_pairs.add(frozenset((0, index)))
    fleet.silence_links(0, index)


@inject.register
async def _(fault: LinkSilentToFront, fleet: LocalFleet, index: int) -> None:
    fleet.blocked_pairs.add(frozenset((0, index)))
    fleet.silence_links(index, 0)


@heal.register(LinkCutForLong)
@heal.register(LinkSilentToGuard)
@heal.register(LinkSilentToFront)
async def _(fault: Any, fleet: LocalFleet, index: int) -> None:
    fleet.blocked_pairs.clear()


@inject.register
async def _(fault: GuardKilled, fleet: LocalFleet, index: int) -> None:
    await fleet.kill(index)


@inject.register
async def _(fault: GuardRestarted, fleet: LocalFleet, index: int) -> None:
    await fleet.kill(index)
    await fleet.start_daemon(index, seed=7)


@inject.register
async def _(fault: GuardStops, fleet: LocalFleet, index: int) -> None:
    await curio.spawn(fleet.daemons[index].stop, daemon=True)


@inject.register
async def _(fault: StoreAway, fleet: LocalFleet, index: int) -> None:
    fleet.store.faults = StoreFaults(is_away=True)


@inject.register
async def _(fault: StoreSlow, fleet: LocalFleet, index: int) -> None:
    fleet.store.faults = StoreFaults(delay_seconds=0.5)


@inject.register
async def _(fault: StoreStale, fleet: LocalFleet, index: int) -> None:
    fleet.store.faults = StoreFaults(stale_by=1)


@inject.register
async def _(fault: AnswerLost, fleet: LocalFleet, index: int) -> None:
    fleet.store.faults = StoreFaults(lost_answers=1)
    ticket = Ticket(5, "lost", (Zone("zone-9", "region-1"),))
    outcome = await fleet.ticket_repository.apply(ticket)
    assert outcome.ticket == ticket


@inject.register
async def _(fault: ZoneOut, fleet: LocalFleet, index: int) -> None:
    zone = fleet.settings[index].zone
    await fleet.ticket_repository.apply(
        Ticket(6, "out", (Zone(zone, "region-1", in_use=False),))
    )


@inject.register
async def _(fault: KeyWithdrawn, fleet: LocalFleet, index: int) -> None:
    configuration = fleet.daemons[0].context.configuration
    team = replace(configuration.team_by_name["studio"], key_hashes=())
    await fleet.ticket_repository.apply(Ticket(7, "withdraw", (team,)))


@inject.register
async def _(fault: CallerLeaves, fleet: LocalFleet, index: int) -> None:
    task = await curio.spawn(fleet.call, 0, "POST", "/songs/leaver", b"x")
    await curio.sleep(0.01)
    await task.cancel()


@heal.register(StoreAway)
@heal.register(StoreSlow)
@heal.register(StoreStale)
@heal.register(AnswerLost)
async def _(fault: Any, fleet: LocalFleet, index: int) -> None:
    fleet.store.faults = StoreFaults()
