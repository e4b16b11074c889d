"""Authentication, membership, routable targets and the choice of a target."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_adapters.store.shared_objects import member_key
from bramleyglade_adapters.structure import to_json
from bramleyglade_core.decisions.admission import authenticate, hash_key
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.directory import (
    MEMBER_RETENTION_SECONDS,
    Directory,
    RoutableTargets,
)
from bramleyglade_core.decisions.picker import Picker, PickOptions
from bramleyglade_core.model.announcements import (
    DaemonPhase,
    MemberRecord,
    TargetAnnouncement,
)
from bramleyglade_core.model.entities import Route, Service, Team, Zone
from bramleyglade_core.model.errors import ErrorCode, KeyRefused
from bramleyglade_core.model.identifiers import Address, DaemonId, TargetId
from bramleyglade_core.model.peer_messages import TargetViewTold
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_daemon.fleet.member_store import (
    next_incarnation,
    read_earlier_record,
)
from bramleyglade_standins.memory_store import MemoryStore

ADDRESS = Address("127.0.0.1", 80)
SERVICE = Service("s", ("z0", "z1"))
TEAM = Team("t", 1.0, 1, (hash_key("k"),))
ENTITIES = (Zone("z0", "r"), Zone("z1", "r", in_use=False), SERVICE, TEAM)
CONFIGURATION = EMPTY_CONFIGURATION.merged(Ticket(1, "", ENTITIES).states())
KEYED_ROUTE = Route("keyed", "s", "/")


def make_record(number, sequence=1, **changes):
    """Make the record of a daemon with one target; even numbers are in zone z0."""
    announced = TargetAnnouncement(f"t{number}", "s", ADDRESS, 4, **changes)
    return MemberRecord(
        DaemonId(f"vm-{number}", 1),
        sequence,
        ADDRESS,
        f"z{number % 2}",
        DaemonPhase.SERVING,
        (announced,),
    )


def test_daemon_without_a_lease_refuses_only_routes_that_require_a_key():
    with pytest.raises(KeyRefused) as caught:
        authenticate(CONFIGURATION, KEYED_ROUTE, "k", is_lease_valid=False)
    assert caught.value.code is ErrorCode.CONFIGURATION_STALE
    open_route = Route("open", "s", "/", open_to_all=True)
    assert authenticate(CONFIGURATION, open_route, "k", is_lease_valid=False) is None


def test_key_identifies_its_team_and_is_refused_on_routes_of_other_teams():
    assert authenticate(CONFIGURATION, KEYED_ROUTE, "k", is_lease_valid=True) == TEAM
    other_route = Route("others", "s", "/", teams=("someone",))
    with pytest.raises(KeyRefused) as caught:
        authenticate(CONFIGURATION, other_route, "k", is_lease_valid=True)
    assert caught.value.code is ErrorCode.KEY_NOT_ALLOWED


def test_draining_targets_and_those_in_zones_out_of_use_are_not_routable(settings):
    directory = Directory()
    routable = RoutableTargets(directory, settings)
    for number in range(4):
        directory.merge(make_record(number))
    found = routable.find(SERVICE, CONFIGURATION)
    assert {c.zone for c in found} == {"z0"}
    restored = CONFIGURATION.merged(Ticket(2, "", (Zone("z1", "r"),)).states())
    assert len(routable.find(SERVICE, restored)) == 4
    directory.merge(make_record(0, sequence=2, is_draining=True))
    assert len(routable.find(SERVICE, restored)) == 3


def test_newer_record_of_a_suspected_daemon_refutes_the_suspicion():
    directory = Directory()
    directory.merge(make_record(0))
    assert directory.suspect("vm-0")
    assert not directory.is_live("vm-0")
    directory.merge(make_record(0, sequence=2))
    assert directory.is_live("vm-0")


def test_restarted_daemon_gets_a_higher_incarnation_even_if_its_clock_is_behind():
    """With a lower incarnation, peers would ignore its records as old ones."""

    async def restart():
        store = MemoryStore()
        previous = replace(make_record(0), daemon=DaemonId("vm-0", 10**18))
        await store.create(member_key("vm-0"), to_json(previous))
        return next_incarnation(await read_earlier_record(store, "vm-0"))

    assert curio.run(restart) == 10**18 + 1


def test_member_absent_for_long_is_removed_and_not_restored_by_its_old_record():
    directory = Directory()
    directory.merge(make_record(0))
    directory.merge(make_record(1))
    without_member = Directory()
    without_member.merge(make_record(1))
    directory.suspect("vm-0")
    directory.forget_absent(0.0)
    directory.forget_absent(MEMBER_RETENTION_SECONDS - 1.0)
    assert "vm-0" in directory.record_by_name
    directory.forget_absent(MEMBER_RETENTION_SECONDS)
    assert "vm-0" not in directory.record_by_name
    assert directory.digest == without_member.digest
    assert not directory.merge(make_record(0))
    assert directory.merge(make_record(0, sequence=2))
    assert directory.is_live("vm-0")


_views = st.lists(
    st.tuples(st.integers(1, 4), st.integers(0, 9), st.booleans()),
    min_size=2,
    max_size=9,
)


@given(views=_views, seed=st.integers(0, 99))
def test_picker_never_prefers_an_ejected_target_to_a_healthy_one(views, seed):
    directory = Directory()
    picker = Picker("z0", random.Random(seed))
    for number, (limit, busy, is_ejected) in enumerate(views):
        directory.merge(make_record(number))
        view = TargetViewTold(f"t{number}", "s", limit, busy, is_ejected, False)
        picker.update_views(f"vm-{number}", [view], 0.0)
    candidates = directory.candidates("s")
    chosen = picker.pick(candidates, frozenset(), PickOptions(0.0)).candidate
    assert chosen is not None
    is_any_healthy = any(not is_ejected for _, _, is_ejected in views)
    number = int(chosen.target.daemon.removeprefix("vm-"))
    assert not (is_any_healthy and views[number][2])


def test_front_avoids_at_most_half_of_the_targets_of_a_service_as_unreachable():
    directory = Directory()
    picker = Picker("z0", random.Random(1))
    for number in (0, 2, 4, 6):  # All in the front's own zone.
        directory.merge(make_record(number))
    candidates = directory.candidates("s")
    for candidate in candidates:
        picker.avoid(candidate.target, len(candidates), 0.0)
    options = PickOptions(0.1)
    picked = {
        picker.pick(candidates, frozenset(), options).candidate.target
        for _ in range(100)
    }
    assert len(picked) == 2


def test_only_a_request_that_may_probe_is_sent_to_a_risky_target_that_is_due():
    """Retries were sent to risky targets too, and had no attempt left when they failed.

    After the probe, the target is not due again until its next report.
    """
    directory = Directory()
    picker = Picker("z0", random.Random(1))
    for number, risk in ((0, 0.3), (2, 0.02)):
        directory.merge(make_record(number))
        view = TargetViewTold(
            f"t{number}", "s", 4, 0, False, False, risk=risk, is_due=risk > 0.1
        )
        picker.update_views(f"vm-{number}", [view], 0.0)
    candidates = directory.candidates("s")

    def picked(options):
        picks = (picker.pick(candidates, frozenset(), options) for _ in range(200))
        return {pick.candidate.target.daemon for pick in picks}

    assert picked(PickOptions(0.0)) == {"vm-0"}
    assert picked(PickOptions(0.0, may_probe=False)) == {"vm-2"}
    picker.note_sent(TargetId("vm-0", "t0"))
    picker.note_ended(TargetId("vm-0", "t0"))
    assert picked(PickOptions(0.0)) == {"vm-2"}


def test_fronts_with_equal_views_spread_requests_over_targets_of_similar_cost():
    """All fronts took the cheapest target of stale views; others got no requests."""
    directory = Directory()
    for number in range(0, 12, 2):
        directory.merge(make_record(number))
    candidates = directory.candidates("s")
    picked = Counter()
    for front in range(120):
        picker = Picker("z0", random.Random(front))
        for number in range(0, 12, 2):
            latency = math.log(0.2 + 0.005 * number)
            view = TargetViewTold(f"t{number}", "s", 4, 0, False, False, latency)
            picker.update_views(f"vm-{number}", [view], 0.0)
        options = PickOptions(0.0, is_retryable=False, may_probe=False)
        pick = picker.pick(candidates, frozenset(), options)
        picked[pick.candidate.target.daemon] += 1
    assert len(picked) == 6
    assert max(picked.values()) <= 2 * 120 / 6


def test_target_without_a_view_or_a_known_latency_is_picked_like_the_others():
    """Targets that no front had used yet were treated as slow and got no requests."""
    directory = Directory()
    picker = Picker("z0", random.Random(1))
    for number, log_latency in ((0, math.log(0.01)), (2, None)):
        directory.merge(make_record(number))
        view = TargetViewTold(f"t{number}", "s", 4, 0, False, False, log_latency)
        picker.update_views(f"vm-{number}", [view], 0.0)
    directory.merge(make_record(4))
    candidates = directory.candidates("s")
    picks = (
        picker.pick(candidates, frozenset(), PickOptions(0.0)).candidate
        for _ in range(100)
    )
    assert {pick.target.daemon for pick in picks} == {"vm-0", "vm-2", "vm-4"}


def test_slow_target_is_picked_again_as_its_reported_latency_decays():
    """Without new requests, its latency stayed high in the view of each front."""
    directory = Directory()
    picker = Picker("z0", random.Random(1))
    for number, seconds in ((0, 1.0), (2, 0.2)):
        directory.merge(make_record(number))
        view = TargetViewTold(f"t{number}", "s", 4, 0, False, False, math.log(seconds))
        picker.update_views(f"vm-{number}", [view], 0.0)
    candidates = directory.candidates("s")

    def picked(now):
        options = PickOptions(now, may_probe=False)
        picks = (picker.pick(candidates, frozenset(), options) for _ in range(100))
        return {pick.candidate.target.daemon for pick in picks}

    assert picked(0.5) == {"vm-2"}
    assert picked(20.0) == {"vm-0", "vm-2"}


def test_free_target_in_another_zone_is_preferred_to_a_full_one_in_the_same_zone():
    """A request queued in its zone for a second while a target elsewhere was free."""
    directory = Directory()
    directory.merge(make_record(0))
    directory.merge(make_record(1))  # In the other zone.
    candidates = directory.candidates("s")
    for seed in range(50):
        picker = Picker("z0", random.Random(seed))
        for number, busy in ((0, 1), (1, 0)):
            view = TargetViewTold(f"t{number}", "s", 1, busy, False, False)
            picker.update_views(f"vm-{number}", [view], 0.0)
        pick = picker.pick(candidates, frozenset(), PickOptions(0.0, body_bytes=4))
        assert pick.candidate.target.daemon == "vm-1"
        assert pick.is_free


@pytest.mark.parametrize(("body_bytes", "daemon"), [(0, "vm-1"), (60_000, "vm-0")])
def test_large_upload_stays_in_its_zone_where_a_small_request_leaves_it(
    body_bytes, daemon
):
    """Sending an upload to another zone cost a third of what the upload was worth."""
    directory = Directory()
    directory.merge(make_record(0))
    directory.merge(make_record(1))  # In the other zone.
    picker = Picker("z0", random.Random(1))
    for number, risk in ((0, 0.14), (1, 0.03)):
        view = TargetViewTold(f"t{number}", "s", 4, 0, False, False, risk=risk)
        picker.update_views(f"vm-{number}", [view], 0.0)
    options = PickOptions(
        0.0, is_retryable=False, may_probe=False, body_bytes=body_bytes
    )
    pick = picker.pick(directory.candidates("s"), frozenset(), options)
    assert pick.candidate.target.daemon == daemon
