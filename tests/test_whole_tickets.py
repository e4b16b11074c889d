"""Versions of the whole configuration, told between daemons by what they change.

Guards against versions that cost as much as the whole configuration on each link: they
filled the links of a fleet whose configuration had grown, so that leases lapsed.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_adapters.store.encoded_changes import (
    decode_changes,
    encode_changes,
)
from bramleyglade_core.decisions.partial_changes import begun_or_continued
from bramleyglade_core.decisions.shared_view import SharedBatch, SharedView
from bramleyglade_core.model.entities import EntityKey, Route, Team, Zone
from bramleyglade_core.model.errors import BadInput
from bramleyglade_core.model.peer_messages import BatchTold
from bramleyglade_core.model.tickets import Ticket

MANY = 1400


def route(index, service="search"):
    return Route(f"route-{index}", service, f"/route-{index}/")


def whole(number, *entities):
    return Ticket(number, "", tuple(entities), is_whole=True)


def batch_of(ticket, after=0, era=0):
    """Return a whole ticket as read from the store, at its number as revision."""
    states = tuple(ticket.states(ticket.number))
    return SharedBatch(after, ticket.number, states, (), ticket.number, era)


def told_batch(view, after, known_tickets):
    """Return what one daemon tells another one, with the ticket's changes."""
    batch = view.batch_since(after, known_tickets)
    if not batch.whole_ticket or not view.configuration.known_tickets:
        return batch
    changes = view.configuration.changes_since(batch.base_ticket)
    return replace(batch, states=batch.states + changes)


def entities_of(view):
    return {k: s.entity for k, s in view.configuration.state_by_key.items() if s.entity}


def entities_in(ticket):
    return {state.key: state.entity for state in ticket.states()}


@pytest.fixture
def routes():
    return [route(index) for index in range(MANY)]


@pytest.fixture
def view(routes):
    view = SharedView()
    view.apply(batch_of(whole(1, *routes)))
    return view


def test_version_that_moves_one_route_is_told_by_that_route_alone(view, routes):
    routes[7] = route(7, service="issue")
    view.apply(batch_of(whole(5, *routes), after=1))
    batch = told_batch(view, 1, (1,))
    assert [s.entity for s in batch.states] == [routes[7]]


def test_route_that_a_version_leaves_out_is_told_as_removed(view, routes):
    view.apply(batch_of(whole(5, *routes[1:]), after=1))
    batch = told_batch(view, 1, (1,))
    assert [(s.key.name, s.entity) for s in batch.states] == [("route-0", None)]


def test_daemon_without_a_version_is_told_all_entities(view, routes):
    other = SharedView()
    assert other.apply(told_batch(view, 0, (0,)))
    assert entities_of(other) == entities_of(view)


def test_changes_since_an_unknown_version_leave_the_view_as_it_is(view, routes):
    other = SharedView()
    other.apply(batch_of(whole(2, *routes[:3])))
    view.apply(batch_of(whole(5, *routes[1:]), after=1))
    assert not other.apply(told_batch(view, 1, (1,)))
    assert entities_of(other) == entities_in(whole(2, *routes[:3]))


def test_indexes_of_kinds_that_a_version_leaves_alone_are_kept(view, routes):
    router = view.configuration.router
    view.apply(batch_of(whole(5, *routes, Team("studio", 1.0, 1)), after=1))
    assert view.configuration.router is router
    view.apply(batch_of(whole(6, *routes[1:]), after=5))
    assert view.configuration.router is not router
    assert not view.configuration.team_by_name


def test_later_ticket_for_one_entity_ends_the_telling_of_changes(view, routes):
    single = Ticket(3, "", (route(0, service="issue"),))
    view.apply(SharedBatch(1, 3, tuple(single.states(3))))
    batch = view.batch_since(1, (1,))
    assert [s.entity for s in batch.states] == [single.entities[0]]
    other = SharedView()
    other.apply(view.batch_since(0, (0,)))
    assert entities_of(other) == entities_of(view)


def test_daemon_of_an_earlier_version_is_told_all_entities_as_the_tickets(view, routes):
    """It drops each entity that an earlier ticket than the whole one has set."""
    view.apply(batch_of(whole(5, *routes[1:]), after=1))
    batch = view.batch_after(1)
    assert {s.entity for s in batch.states} == set(routes[1:])
    assert {(s.ticket, s.revision) for s in batch.states} == {(5, 5)}
    assert not view.batch_after(5).states


def test_overlapping_routes_have_one_order_on_daemons_with_other_histories(routes):
    first, second = replace(routes[0], name="a"), replace(routes[0], name="b")
    both = whole(9, first, second)
    views = [SharedView(), SharedView()]
    views[0].apply(batch_of(whole(1, second)))
    views[1].apply(batch_of(whole(1, first)))
    for view in views:
        view.apply(batch_of(both, after=1))
    found = {v.configuration.router.match("GET", "/route-0/x").name for v in views}
    assert found == {"a"}


def _versions(source, count):
    """Return versions with few names, so that changes are often taken back."""
    return [
        whole(
            1 + 3 * number,
            Zone("zone", "region"),
            *(
                Route(f"r{name}", source.choice("st"), f"/r{name}/")
                for name in range(5)
                if source.random() < 0.7
            ),
        )
        for number in range(count)
    ]


@given(source=st.randoms(use_true_random=False))
def test_daemons_at_a_version_have_its_entities_whatever_they_were_told(source):
    """Some read the store and skip versions, others are told by any of them, late."""
    versions = _versions(source, 24)
    entities_by_ticket = {v.number: entities_in(v) for v in versions}
    views = [SharedView() for _ in range(5)]
    newest, messages = 0, []
    for _ in range(200):
        newest = min(newest + (source.random() < 0.15), len(versions) - 1)
        view = source.choice(views)
        step = source.randrange(4)
        if step == 0 and view in views[:2]:
            view.apply(batch_of(versions[newest], after=view.revision))
        elif step == 1 and view.revision:
            peer = source.choice(views)
            known = peer.configuration.known_tickets or (0,)
            messages.append((peer, told_batch(view, peer.revision, known)))
        elif step == 2 and view.revision:
            base = source.choice(view.configuration.known_tickets)
            messages += [(p, told_batch(view, view.revision, (base,))) for p in views]
        elif messages:
            peer, batch = messages.pop(source.randrange(len(messages)))
            peer.apply(batch)
        for each in views:
            ticket = each.configuration.whole_ticket
            assert entities_of(each) == entities_by_ticket.get(ticket, {})


def test_version_survives_the_beginning_of_an_era(view, routes):
    view.apply(batch_of(whole(5, *routes[1:]), after=1))
    view.enter_era(2, 0.0)
    batch = told_batch(view, 0, (1,))
    assert [s.key.name for s in batch.states] == ["route-0"]
    other = SharedView()
    other.apply(batch_of(whole(1, *routes)))
    assert other.apply(batch)
    assert entities_of(other) == entities_of(view)


def test_changes_are_the_same_after_decoding(view):
    changes = view.configuration.changes_since(0)
    encoded = encode_changes(0, 1, changes)
    assert decode_changes(encoded.data) == changes
    assert len(encoded.data) < 100_000


@pytest.mark.parametrize("damage", [lambda d: d[:-5], lambda d: b"x" + d, bytes.upper])
def test_damaged_changes_are_refused(view, damage):
    states = (*view.configuration.changes_since(0),)
    data = encode_changes(0, 1, states).data
    with pytest.raises(BadInput):
        decode_changes(damage(data))


def test_transfer_is_continued_only_with_the_same_changes():
    told = BatchTold(0, 1, b"", b"", 5, 0, 1, 0, b"abc", 9, 77)
    partial = begun_or_continued(None, told).extended(b"def")
    assert begun_or_continued(partial, told).data == b"abcdef"
    assert begun_or_continued(partial, replace(told, changes_digest=78)).data == b"abc"
    assert begun_or_continued(partial, replace(told, base_ticket=2)).data == b"abc"
    with pytest.raises(ValueError):
        partial.extended(b"more than is due")


def test_key_of_a_removed_entity_is_not_kept(view, routes):
    view.apply(batch_of(whole(5, *routes[1:]), after=1))
    assert EntityKey("route", "route-0") not in view.configuration.state_by_key


def test_daemon_whose_content_of_a_version_differs_gets_all_of_the_next_one():
    """Daemons of two versions of the program may decode an entity in two ways."""
    peer, other = SharedView(), SharedView()
    peer.apply(batch_of(whole(1, route(0, "new"), route(1))))
    other.apply(batch_of(whole(1, route(0, "old"), route(1))))
    peer.apply(batch_of(whole(2, route(0, "new"), route(1, "issue")), after=1))
    assert not other.apply(told_batch(peer, 1, other.configuration.known_tickets))
    assert other.configuration.whole_ticket == 1
    known = other.configuration.known_tickets or (0,)
    assert other.apply(told_batch(peer, 1, known))
    assert entities_of(other) == entities_of(peer)
    assert other.configuration.known_tickets == (2,)


def test_digest_after_many_changes_is_that_of_the_entities():
    source = random.Random(3)
    view = SharedView()
    for ticket in _versions(source, 30):
        view.apply(batch_of(ticket, after=view.revision))
        fresh = SharedView()
        fresh.apply(batch_of(ticket))
        assert view.configuration.whole_digest == fresh.configuration.whole_digest
