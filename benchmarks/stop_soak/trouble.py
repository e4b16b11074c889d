"""Seeded trouble: what happens to the fleet at which time of a play."""

from __future__ import annotations

from dataclasses import dataclass
from signal import SIGHUP, SIGKILL, SIGTERM, Signals
from typing import TYPE_CHECKING

from bramleyglade_core.model.entities import Entity, Route, Zone, entity_key
from bramleyglade_core.model.tickets import EntityKey

if TYPE_CHECKING:
    import random

_QUIET_SECONDS = 7.0
"""Time at the end of a play without new trouble, in which the last stops end."""


@dataclass(frozen=True, slots=True)
class Mode:
    """Load and trouble of a play."""

    load: float = 0.7
    """Load as a share of the slots of all targets."""
    pair_share: float = 0.1
    """Share of requests that are sent two in one packet."""
    has_changes: bool = True
    """Whether SIGHUP, tickets and a zone taken out come with the stops."""
    has_kills: bool = False
    has_restorations: bool = False
    """Whether the store comes back from a copy that is some seconds old."""


MODE_BY_NAME = {
    "calm": Mode(has_changes=False),
    "overload": Mode(load=1.5),
    "pipelined": Mode(pair_share=0.7),
    "kills": Mode(load=0.8, has_kills=True),
    "restorations": Mode(has_restorations=True),
    "restorations-kills": Mode(load=0.8, has_kills=True, has_restorations=True),
}


@dataclass(frozen=True, slots=True)
class Signalled:
    """A signal to one daemon, unless its process has ended."""

    daemon: int
    number: Signals


@dataclass(frozen=True, slots=True)
class Changed:
    """A ticket."""

    entities: tuple[Entity, ...] = ()
    removed: tuple[EntityKey, ...] = ()


@dataclass(frozen=True, slots=True)
class Restored:
    """The store comes back from a copy; operators then write their tickets again."""

    lost_seconds: float
    outage_seconds: float


Trouble = Signalled | Changed | Restored
Schedule = list[tuple[float, Trouble]]


def draw_schedule(
    mode: Mode, seconds: float, daemons: int, random_source: random.Random
) -> Schedule:
    """Return the trouble of a play of a length, sorted by time."""
    end = seconds - _QUIET_SECONDS
    choose = random_source.randrange
    schedule: Schedule = []
    for at in _times(3.5, end, random_source):
        count = random_source.choice((1, 1, 1, 2))
        for daemon in random_source.sample(range(daemons), count):
            start = at + random_source.uniform(0.0, 0.5)
            schedule.append((start, Signalled(daemon, SIGTERM)))
            for _ in range(choose(3)):
                again = random_source.choice((SIGTERM, SIGHUP))
                later = start + random_source.uniform(0.2, 5.0)
                schedule.append((later, Signalled(daemon, again)))
    if mode.has_changes:
        for at in _times(1.0, end, random_source):
            schedule.append((at, Signalled(choose(daemons), SIGHUP)))
        for number, at in enumerate(_times(2.0, end, random_source)):
            schedule.append((at, _draw_ticket(number, random_source)))
        out_at = random_source.uniform(0.2, 0.6) * end
        for at, in_use in ((out_at, False), (out_at + 4.0, True)):
            schedule.append((at, Changed((Zone("zone-2", "region-1", in_use),))))
    if mode.has_kills:
        for at in _times(5.0, end, random_source):
            schedule.append((at, Signalled(choose(daemons), SIGKILL)))
    if mode.has_restorations:
        for at in _times(8.0, end, random_source):
            lost = random_source.uniform(0.2, 5.0)
            outage = random_source.uniform(0.0, 2.0)
            schedule.append((at, Restored(lost, outage)))
            if random_source.random() < 0.3:
                again = at + outage + random_source.uniform(0.1, 1.0)
                schedule.append((again, Restored(lost, 0.1)))
    return sorted(schedule, key=lambda item: item[0])


def _draw_ticket(number: int, random_source: random.Random) -> Changed:
    """Add the route of uploads or remove it; without it another one takes them."""
    timeout = random_source.choice((4.0, 5.0))
    route = Route(
        "files", "catalogue", "/open/files", (), True, timeout_seconds=timeout
    )
    return Changed((), (entity_key(route),)) if number % 2 else Changed((route,))


def _times(mean: float, end: float, random_source: random.Random) -> list[float]:
    times: list[float] = []
    at = 1.0 + random_source.uniform(0.3, 1.2) * mean
    while at < end:
        times.append(at)
        at += random_source.uniform(0.5, 1.5) * mean
    return times
