"""Memory, bytes sent and processor time per team, route, view, member and message.

From these slopes `benchmarks.capacity` computes the costs at the fleet's full size.
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

_ITEMS = 4000
_LENGTH_PREFIX_BYTES = 4
_MICROSECONDS_PER_SECOND = 1e6


@dataclass(frozen=True, slots=True)
class Slopes:
    """Cost of one more of each: bytes of memory or of messages, microseconds."""

    team_bytes: float
    route_bytes: float
    member_bytes: float
    view_bytes: float
    """A target's view at a front."""
    holding_bytes: float
    book_line_bytes: float
    """An allocation at the keeper."""
    change_microseconds_per_thousand: float
    """Processor time of merging one change, for each thousand entities held."""
    change_wire_bytes: float
    heartbeat_wire_bytes: float
    """A heartbeat and its answer, with the views of four targets."""
    heartbeat_microseconds: float
    record_wire_bytes: float
    record_microseconds: float
    ask_wire_bytes: float
    """A renewal of a share and its answer."""
    ask_microseconds: float
    """Holder and keeper together, with encoding and decoding on both sides."""
    pick_microseconds: float


def _bytes_per_item(make_items: Callable[[], object]) -> float:
    gc.collect()
    tracemalloc.start()
    items = make_items()
    total_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del items
    return total_bytes / _ITEMS


def _microseconds(action: Callable[[], object], calls: int = 2000) -> float:
    action()
    started_at = time.process_time()
    for _ in range(calls):
        action()
    return (time.process_time() - started_at) / calls * _MICROSECONDS_PER_SECOND


def _make_team(index: int) -> Team:
    return Team(f"team-{index}", 10.0, 10, (hash_key(str(index)),))


def _make_teams() -> Configuration:
    merged = EMPTY_CONFIGURATION.merged(
        state
        for index in range(_ITEMS)
        for state in Ticket(index + 1, "", (_make_team(index),)).states(index)
    )
    _ = merged.team_by_key_hash, merged.team_by_name
    return merged


def _make_routes() -> Configuration:
    merged = EMPTY_CONFIGURATION.merged(
        state
        for index in range(_ITEMS)
        for state in Ticket(
            index + 1, "", (Route(f"route-{index}", "service", f"/prefix/{index}"),)
        ).states(index)
    )
    _ = merged.router, merged.route_by_name
    return merged


def _make_record(index: int) -> MemberRecord:
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


def _make_directory() -> Directory:
    directory = Directory()
    for index in range(_ITEMS):
        directory.merge(_make_record(index))
    directory.candidates("service-1")
    return directory


def _make_view(index: int) -> TargetViewTold:
    return TargetViewTold(f"target-{index}", "service", 4, 1, False, False, -3.7)


def _make_picker() -> Picker:
    picker = Picker("zone-1", random.Random(1))
    for index in range(_ITEMS):
        picker.update_views(f"vm-{index}", [_make_view(index)], 0.0)
    return picker


def _make_holdings() -> list[ShareHolding]:
    settings = LimitSettings()
    return [ShareHolding(DaemonId("vm", 1), settings) for _ in range(_ITEMS)]


def _make_allocator() -> TeamAllocator:
    settings = LimitSettings()
    allocator = TeamAllocator(settings, 1000.0, 0.0)
    team = Team("team", 1000.0, 1000)
    for index in range(_ITEMS):
        holding = ShareHolding(DaemonId(f"vm-{index}", 1), settings)
        allocator.answer(holding.renew(team, 0.0, 0), team, 0.0, False)
    return allocator


def _encoded_bytes(*messages: object) -> float:
    return sum(len(encode(Envelope(1, False, message))) for message in messages)


def _codec_microseconds(*messages: object) -> float:
    def encode_and_decode() -> None:
        for message in messages:
            decode(encode(Envelope(1, False, message))[_LENGTH_PREFIX_BYTES:])

    return _microseconds(encode_and_decode)


def _renewal_cost() -> tuple[float, float]:
    settings = LimitSettings()
    team = Team("team", 1000.0, 1000)
    holding = ShareHolding(DaemonId("vm", 1), settings)
    allocator = TeamAllocator(settings, 1000.0, 0.0)
    now = [0.0]

    def renew() -> None:
        now[0] += 0.1
        holding.note_arrival(now[0])
        asked = holding.renew(team, now[0], 1)
        data = encode(Envelope(1, False, asked))[_LENGTH_PREFIX_BYTES:]
        granted = allocator.answer(decode(data).message, team, now[0], False)
        data = encode(Envelope(1, True, granted))[_LENGTH_PREFIX_BYTES:]
        holding.apply_grant(decode(data).message, team, now[0])

    microseconds = _microseconds(renew)
    asked = holding.renew(team, now[0], 1)
    granted = allocator.answer(asked, team, now[0], False)
    return _encoded_bytes(asked, granted), microseconds


def measure() -> Slopes:
    """Measure all slopes on this machine."""
    teams = _make_teams()
    heartbeat = (
        HeartbeatSent(1, 1),
        HeartbeatAnswered(1, 1, 5.0, 5.0, tuple(_make_view(i) for i in range(4))),
    )
    records_told = RecordsTold((_make_record(1),))
    states = tuple(Ticket(9, "", (_make_team(1),)).states(9))
    change = tuple(Ticket(10**6, "", (_make_team(7),)).states(10**6))
    renewal_bytes, renewal_microseconds = _renewal_cost()
    picker = _make_picker()
    directory = _make_directory()
    candidates = directory.candidates("service-1")

    def merge() -> None:
        merged = teams.merged(change)
        _ = merged.team_by_key_hash, merged.team_by_name

    return Slopes(
        team_bytes=_bytes_per_item(_make_teams),
        route_bytes=_bytes_per_item(_make_routes),
        member_bytes=_bytes_per_item(_make_directory),
        view_bytes=_bytes_per_item(_make_picker),
        holding_bytes=_bytes_per_item(_make_holdings),
        book_line_bytes=_bytes_per_item(_make_allocator),
        change_microseconds_per_thousand=_microseconds(merge, 20) / (_ITEMS / 1000),
        change_wire_bytes=len(states_to_bytes(states)),
        heartbeat_wire_bytes=_encoded_bytes(*heartbeat),
        heartbeat_microseconds=_codec_microseconds(*heartbeat),
        record_wire_bytes=_encoded_bytes(records_told),
        record_microseconds=_codec_microseconds(records_told),
        ask_wire_bytes=renewal_bytes,
        ask_microseconds=renewal_microseconds,
        pick_microseconds=_microseconds(
            lambda: picker.pick(candidates, frozenset[TargetId](), PickOptions(1.0))
        ),
    )


def main(seed: int = 1) -> None:
    """Measure and print each slope."""
    slopes = measure()
    for name in Slopes.__slots__:  # type: ignore[attr-defined]
        unit = "us" if "microseconds" in name else "bytes"
        emit(Measurement(f"slope, {name}", "ours", getattr(slopes, name), unit, seed))


if __name__ == "__main__":
    main()
