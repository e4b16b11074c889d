"""Bytes and microseconds for each team, route, target, peer, change and ask.

The slopes from which `benchmarks.capacity` works out the size of letter 1.
"""

from __future__ import annotations

import gc
import random
import time
import tracemalloc
from dataclasses import dataclass
from typing import TYPE_CHECKING

from benchmarks.measure import Measurement, emit
from bramleyglade_adapters.link.codec import Envelope, decode, encode
from bramleyglade_adapters.store.shared_objects import states_to_bytes
from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.decisions.configuration import (
    EMPTY_CONFIGURATION,
    Configuration,
)
from bramleyglade_core.decisions.directory import Directory
from bramleyglade_core.decisions.picker import Picker, PickOptions
from bramleyglade_core.decisions.share_holding import ShareHolding
from bramleyglade_core.decisions.team_allocator import TeamAllocator
from bramleyglade_core.model.announcements import (
    DaemonPhase,
    MemberRecord,
    TargetAnnouncement,
)
from bramleyglade_core.model.entities import Route, Team
from bramleyglade_core.model.identifiers import Address, DaemonId, TargetId
from bramleyglade_core.model.peer_messages import (
    HeartbeatAnswered,
    HeartbeatSent,
    RecordsTold,
    TargetViewTold,
)
from bramleyglade_core.model.settings import LimitSettings
from bramleyglade_core.model.tickets import Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

_COUNT = 4000
_LENGTH_BYTES = 4
_MICROSECONDS = 1e6


@dataclass(frozen=True, slots=True)
class Slopes:
    """Cost of one more of each; bytes of memory or on the wire, microseconds."""

    team_bytes: float
    route_bytes: float
    member_bytes: float
    view_bytes: float
    holding_bytes: float
    book_line_bytes: float
    change_microseconds_per_thousand: float
    """Cost of one change, for each thousand entities held."""
    change_wire_bytes: float
    heartbeat_wire_bytes: float
    """Both ways, with four views."""
    heartbeat_microseconds: float
    record_wire_bytes: float
    record_microseconds: float
    ask_wire_bytes: float
    """Both ways."""
    ask_microseconds: float
    """Holder and keeper together, with coding on both sides."""
    pick_microseconds: float


def _memory_of(make: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    kept = make()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / _COUNT


def _microseconds(action: Callable[[], object], count: int = 2000) -> float:
    action()
    started_at = time.process_time()
    for _ in range(count):
        action()
    return (time.process_time() - started_at) / count * _MICROSECONDS


def _team(index: int) -> Team:
    return Team(f"team-{index}", 10.0, 10, (hash_key(str(index)),))


def _teams() -> Configuration:
    merged = EMPTY_CONFIGURATION.merged(
        state
        for index in range(_COUNT)
        for state in Ticket(index + 1, "", (_team(index),)).states(index)
    )
    _ = merged.team_by_key_hash, merged.team_by_name
    return merged


def _routes() -> Configuration:
    merged = EMPTY_CONFIGURATION.merged(
        state
        for index in range(_COUNT)
        for state in Ticket(
            index + 1, "", (Route(f"route-{index}", "service", f"/prefix/{index}"),)
        ).states(index)
    )
    _ = merged.router, merged.route_by_name
    return merged


def _record(index: int) -> MemberRecord:
    targets = tuple(
        TargetAnnouncement(
            f"target-{index}-{n}", f"service-{index % 50}", Address("10.0.0.1", 80), 4
        )
        for n in range(18)
    )
    return MemberRecord(
        DaemonId(f"vm-{index}", 1),
        1,
        Address("10.0.0.1", 7000),
        "zone-1",
        DaemonPhase.SERVING,
        targets,
    )


def _members() -> Directory:
    directory = Directory()
    for index in range(_COUNT):
        directory.merge(_record(index))
    directory.candidates("service-1")
    return directory


def _view(index: int) -> TargetViewTold:
    return TargetViewTold(f"target-{index}", "service", 4, 1, False, False, -3.7)


def _views() -> Picker:
    picker = Picker("zone-1", random.Random(1))
    for index in range(_COUNT):
        picker.take_views(f"vm-{index}", [_view(index)], 0.0)
    return picker


def _holdings() -> list[ShareHolding]:
    settings = LimitSettings()
    return [ShareHolding(DaemonId("vm", 1), settings) for _ in range(_COUNT)]


def _book() -> TeamAllocator:
    settings = LimitSettings()
    book = TeamAllocator(settings, 1000.0, 0.0)
    team = Team("team", 1000.0, 1000)
    for index in range(_COUNT):
        holding = ShareHolding(DaemonId(f"vm-{index}", 1), settings)
        book.answer(holding.renew(team, 0.0, 0), team, 0.0, False)
    return book


def _message_bytes(*messages: object) -> float:
    return sum(len(encode(Envelope(1, False, message))) for message in messages)


def _code_microseconds(*messages: object) -> float:
    def both() -> None:
        for message in messages:
            decode(encode(Envelope(1, False, message))[_LENGTH_BYTES:])

    return _microseconds(both)


def _ask_cost() -> tuple[float, float]:
    settings = LimitSettings()
    team = Team("team", 1000.0, 1000)
    holding = ShareHolding(DaemonId("vm", 1), settings)
    book = TeamAllocator(settings, 1000.0, 0.0)
    now = [0.0]

    def renew() -> None:
        now[0] += 0.1
        holding.note_arrival(now[0])
        asked = holding.renew(team, now[0], 1)
        data = encode(Envelope(1, False, asked))[_LENGTH_BYTES:]
        granted = book.answer(decode(data).message, team, now[0], False)
        data = encode(Envelope(1, True, granted))[_LENGTH_BYTES:]
        holding.apply_grant(decode(data).message, team, now[0])

    cost = _microseconds(renew)
    asked = holding.renew(team, now[0], 1)
    granted = book.answer(asked, team, now[0], False)
    return _message_bytes(asked, granted), cost


def measure() -> Slopes:
    """Measure all slopes on this machine."""
    teams = _teams()
    heartbeat = (
        HeartbeatSent(1, 1),
        HeartbeatAnswered(1, 1, 5.0, 5.0, tuple(_view(i) for i in range(4))),
    )
    told = RecordsTold((_record(1),))
    states = tuple(Ticket(9, "", (_team(1),)).states(9))
    change = tuple(Ticket(10**6, "", (_team(7),)).states(10**6))
    ask_bytes, ask_cost = _ask_cost()
    picker = _views()
    directory = _members()
    candidates = directory.candidates("service-1")

    def merge() -> None:
        merged = teams.merged(change)
        _ = merged.team_by_key_hash, merged.team_by_name

    return Slopes(
        team_bytes=_memory_of(_teams),
        route_bytes=_memory_of(_routes),
        member_bytes=_memory_of(_members),
        view_bytes=_memory_of(_views),
        holding_bytes=_memory_of(_holdings),
        book_line_bytes=_memory_of(_book),
        change_microseconds_per_thousand=_microseconds(merge, 20) / (_COUNT / 1000),
        change_wire_bytes=len(states_to_bytes(states)),
        heartbeat_wire_bytes=_message_bytes(*heartbeat),
        heartbeat_microseconds=_code_microseconds(*heartbeat),
        record_wire_bytes=_message_bytes(told),
        record_microseconds=_code_microseconds(told),
        ask_wire_bytes=ask_bytes,
        ask_microseconds=ask_cost,
        pick_microseconds=_microseconds(
            lambda: picker.pick(candidates, frozenset[TargetId](), PickOptions(1.0))
        ),
    )


def main(seed: int = 1) -> None:
    """Print each slope."""
    slopes = measure()
    for name in Slopes.__slots__:  # type: ignore[attr-defined]
        unit = "us" if "microseconds" in name else "bytes"
        emit(Measurement(f"slope, {name}", "ours", getattr(slopes, name), unit, seed))


if __name__ == "__main__":
    main()
