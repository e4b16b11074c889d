"""Requests don't wait for links while another target can take them."""

from __future__ import annotations

import functools
import random
from dataclasses import replace
from unittest.mock import Mock

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions import link_choice
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.decisions.link_choice import (
    GuardLinks,
    LinkState,
    guards_to_link,
    pick_by_link,
)
from bramleyglade_core.decisions.picker import Picker, PickOptions
from bramleyglade_core.decisions.zone_balance import ZonePlan
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.entities import Zone
from bramleyglade_core.model.identifiers import Address, TargetId
from bramleyglade_core.model.peer_messages import LookAsked, TargetViewTold
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.local_fleet import SilentSocket

SLOTS = 2
_TARGETS = st.lists(
    st.tuples(
        st.sampled_from(LinkState),
        st.booleans(),  # Whether all its slots are in use.
        st.booleans(),  # Whether it is ejected.
    ),
    min_size=1,
    max_size=8,
)


def make_candidates(count, zone="zone-0"):
    address = Address("127.0.0.1", 1)
    return [
        Candidate(
            TargetId(f"vm-{i}", f"t-{i}"),
            zone,
            TargetAnnouncement(f"t-{i}", "s", address, SLOTS),
        )
        for i in range(count)
    ]


@given(targets=_TARGETS, seed=st.integers(0, 99))
def test_no_request_waits_for_a_dial_while_a_linked_target_has_a_free_slot(
    targets, seed
):
    picker = Picker("zone-0", random.Random(seed))
    candidates = make_candidates(len(targets))
    for candidate, (_, is_full, is_ejected) in zip(candidates, targets, strict=True):
        view = TargetViewTold(
            candidate.target.name,
            "s",
            limit=SLOTS,
            busy=SLOTS if is_full else 0,
            is_ejected=is_ejected,
            is_trial=False,
        )
        picker.update_views(candidate.target.daemon, (view,), 100.0)
    fields = dict(zip(candidates, targets, strict=True))
    picked = pick_by_link(
        picker, candidates, (), PickOptions(100.0), lambda c: fields[c][0]
    ).pick
    assert picked is not None
    state, is_full, is_ejected = fields[picked.candidate]
    sound = [(s, full) for s, full, ejected in targets if not ejected]
    if not sound:
        return
    assert not is_ejected
    if (LinkState.READY, False) in sound:
        assert state is LinkState.READY
    if any(s is not LinkState.FAILED for s, _ in sound):
        assert state is not LinkState.FAILED


def test_free_target_of_another_zone_is_used_rather_than_a_dial():
    """A full target at home was compared with the dial, and the free one not seen."""
    shares = {"s": {"zone-0": 0.0, "zone-1": 1.0}}
    picker = Picker("zone-0", random.Random(1))
    picker.plan = ZonePlan({}, {}, shares)
    home, unlinked, free = (
        replace(candidate, zone=zone)
        for candidate, zone in zip(
            make_candidates(3), ("zone-0", "zone-1", "zone-2"), strict=True
        )
    )
    for candidate, busy in ((home, SLOTS), (unlinked, 0), (free, 0)):
        name = candidate.target.name
        view = TargetViewTold(name, "s", SLOTS, busy, False, False, log_latency=-4.0)
        picker.update_views(candidate.target.daemon, (view,), 100.0)
    state_by_zone = {"zone-1": LinkState.MISSING}
    picked = pick_by_link(
        picker,
        (home, unlinked, free),
        (),
        PickOptions(100.0, objective_seconds=2.0),
        lambda c: state_by_zone.get(c.zone, LinkState.READY),
    )
    assert picked.pick is not None
    assert picked.pick.candidate == free


@pytest.mark.parametrize(("home", "expected"), [(3, "zone-0"), (0, "zone-1")])
def test_links_are_opened_in_advance_in_the_own_region_if_it_has_targets(
    settings, home, expected
):
    """Otherwise each front has links, and control traffic, to all other regions."""
    ticket = Ticket(1, "", (Zone("zone-0", "region-1"), Zone("zone-1", "region-2")))
    configuration = EMPTY_CONFIGURATION.merged(ticket.states())
    near = make_candidates(home)
    far = [
        replace(c, zone="zone-1", target=TargetId(f"far-{c.target.daemon}", "t"))
        for c in make_candidates(2)
    ]
    names = guards_to_link(near + far, configuration, settings)
    among = near if expected == "zone-0" else far
    assert set(names) == {c.target.daemon for c in among} - {settings.name}


def test_fronts_of_a_large_service_together_open_links_to_all_guards(settings):
    candidates = make_candidates(300)
    linked = set()
    for index in range(30):
        own = replace(settings, name=f"front-{index}")
        names = guards_to_link(candidates, EMPTY_CONFIGURATION, own)
        assert len(names) == 128
        linked.update(names)
    assert len(linked) == 300


def test_links_of_many_services_are_bounded_and_shared_among_them(settings):
    """Links opened in advance grew with the number of services a front serves."""
    of_service = {}
    for index in range(10):
        of_service[f"s-{index}"] = [
            replace(c, target=TargetId(f"vm-{index}-{c.target.name}", "t"))
            for c in make_candidates(100)
        ]
    names = GuardLinks(settings).choose(of_service, EMPTY_CONFIGURATION)
    assert len(names) == 256
    for candidates in of_service.values():
        assert len({c.target.daemon for c in candidates} & names) >= 25


def test_guards_of_a_service_are_chosen_again_once_its_targets_change(
    settings, monkeypatch
):
    """The guards of all services were sorted four times a second."""
    choose = Mock(wraps=guards_to_link)
    monkeypatch.setattr(link_choice, "guards_to_link", choose)
    candidates = make_candidates(4)
    links = GuardLinks(settings)
    for _ in range(3):
        names = links.choose({"s": candidates}, EMPTY_CONFIGURATION)
    choose.assert_called_once()
    assert links.choose({"s": candidates[:1]}, EMPTY_CONFIGURATION) < names
    assert links.choose({}, EMPTY_CONFIGURATION) == set()


def without_neighbours(fleet):
    """Drop the links that daemons of a small fleet keep to all others."""
    for daemon in fleet.daemons:
        daemon.peers.set_neighbours([])
        daemon.membership._choose_neighbours = lambda: None


def test_first_request_has_links_to_all_guards_of_its_service_opened(run_fleet):
    async def scenario(fleet):
        without_neighbours(fleet)
        peers = fleet.daemons[0].peers
        await curio.sleep(0)
        for index in (1, 2, 3):
            await fleet.cut_links(0, index)
        assert (await fleet.call(path="/lookup/1")).status == 200
        await fleet.wait_until(
            lambda: all(
                peers.link_state(f"vm-{i}") is LinkState.READY for i in (1, 2, 3)
            )
        )

    run_fleet(scenario, daemons=4)


def test_unreachable_guard_is_dialled_without_a_request(run_fleet):
    """Each period of avoidance ended with a request that waited for a dial."""

    async def scenario(fleet):
        front = fleet.daemons[0]
        fleet.blocked_pairs.add(frozenset((0, 1)))
        await fleet.cut_links(0, 1)
        dials = []
        connect = front.peers.connect

        async def count(address, timeout_seconds):
            dials.append(address)
            return await connect(address, timeout_seconds)

        front.peers.connect = count
        assert (await fleet.call(path="/lookup/1")).status == 200
        await fleet.wait_until(
            lambda: front.peers.link_state("vm-1") is LinkState.FAILED
        )
        avoided = dict(front.context.picker._avoidance_by_target)
        for _ in range(30):
            assert (await fleet.call(path="/lookup/1")).status == 200
            await curio.sleep(0.05)
        assert front.context.picker._avoidance_by_target == avoided
        assert len(dials) > 1
        fleet.blocked_pairs.clear()
        await fleet.wait_until(
            lambda: front.peers.link_state("vm-1") is LinkState.READY
        )

    run_fleet(scenario, daemons=3)


def test_link_whose_heartbeats_are_not_answered_is_not_used_for_requests(run_fleet):
    async def scenario(fleet):
        front = fleet.daemons[0]
        for link in fleet.links(1, 0):
            link._sock = SilentSocket(link._sock)
        await fleet.wait_until(
            lambda: front.peers.link_state("vm-1") is LinkState.FAILED
        )
        served = fleet.targets[1].answered
        while front.peers.link_state("vm-1") is LinkState.FAILED:
            assert (await fleet.call(path="/lookup/1")).status == 200
        assert fleet.targets[1].answered == served

    run_fleet(scenario, daemons=3)


def test_links_of_a_small_fleet_are_open_before_its_first_request(run_fleet):
    """The first requests of all fronts waited while each front opened all links."""

    async def scenario(fleet):
        without_neighbours(fleet)
        peers = fleet.daemons[0].peers
        for index in (1, 2, 3):
            await fleet.cut_links(0, index)
        await fleet.wait_until(
            lambda: all(
                peers.link_state(f"vm-{i}") is LinkState.READY for i in (1, 2, 3)
            )
        )

    run_fleet(scenario, daemons=4)


def test_views_are_pushed_to_other_zones_only_where_requests_come_from(run_fleet):
    """Each view went to 64 peers in all zones once links were opened in advance."""

    async def scenario(fleet):
        peers = fleet.daemons[0].peers
        peers.set_neighbours([])
        await fleet.wait_until(lambda: len(peers.open_links()) == 3)
        sent = []
        for link in peers.open_links():
            link.send_encoded = functools.partial(note_sent, sent, link.peer_name)
        await peers.send_to_linked_peers(LookAsked("vm-1"))
        zone = fleet.settings[0].zone
        same_zone = {s.name for s in fleet.settings[1:] if s.zone == zone}
        assert set(sent) == same_zone
        other = next(s.name for s in fleet.settings if s.zone != zone)
        peers.note_offer(peers.link_to(other))
        await peers.send_to_linked_peers(LookAsked("vm-1"))
        assert set(sent) == {*same_zone, other}

    run_fleet(scenario, daemons=4)


async def note_sent(sent, name, data, kind):
    sent.append(name)
