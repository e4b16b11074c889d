"""Tickets: merge, races, lost answers, validation and relays."""

from __future__ import annotations

import itertools
import random

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_adapters.store.shared_objects import (
    read_batch,
    states_from_bytes,
    states_to_bytes,
)
from bramleyglade_adapters.structure import from_commented_json
from bramleyglade_client.ticket_repository import TicketConflict, TicketRepository
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.shared_view import SharedBatch, SharedView
from bramleyglade_core.model.entities import EntityKey, Service, Team, Zone
from bramleyglade_core.model.errors import BadInput, ErrorCode, StoreError
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.memory_store import MemoryStore, StoreFaults

ZONES = (Zone("z1", "r"), Zone("z2", "r"))


def ticket(number, *entities, removed=()):
    return Ticket(number, "", tuple(entities), tuple(removed))


_tickets = st.lists(
    st.builds(
        lambda number, name, rate, is_removed: (
            ticket(number, removed=[EntityKey("team", name)])
            if is_removed
            else ticket(number, Team(name, float(rate), 1))
        ),
        st.integers(1, 50),
        st.sampled_from("abc"),
        st.integers(1, 9),
        st.booleans(),
    ),
    max_size=12,
    unique_by=lambda t: t.number,
)


@given(tickets=_tickets, order=st.randoms(use_true_random=False))
def test_merge_in_any_order_equals_sorted_replay(tickets, order):
    expected = {}
    for one in sorted(tickets, key=lambda t: t.number):
        expected.update({state.key: state.entity for state in one.states()})
    shuffled = tickets + tickets[:3]
    order.shuffle(shuffled)
    merged = EMPTY_CONFIGURATION
    for one in shuffled:
        merged = merged.merged(one.states())
    found = {key: state.entity for key, state in merged.state_by_key.items()}
    assert found == expected


@given(
    cuts=st.lists(st.integers(0, 8), max_size=6),
    order=st.randoms(use_true_random=False),
)
def test_view_holds_all_states_up_to_its_revision_for_any_batches(cuts, order):
    """Batches from lagging peers, in any order, never leave an unnoticed gap."""
    states = [
        s for n in range(1, 9) for s in ticket(n, Team(f"t{n}", 1.0, 1)).states(n)
    ]
    batches = [
        SharedBatch(a, b, tuple(s for s in states if a < s.revision <= b))
        for a, b in itertools.combinations(sorted({0, *cuts}), 2)
    ]
    order.shuffle(batches)
    view = SharedView()
    for batch in batches:
        view.apply(batch)
        held = {s.revision for s in view.configuration.state_by_key.values()}
        assert set(range(1, view.revision + 1)) <= held


def test_revision_older_than_the_newest_heard_is_not_current():
    view = SharedView()
    view.apply(SharedBatch(0, 5))
    view.note_revision(7)
    assert not view.is_current(5)
    view.apply(SharedBatch(5, 7))
    assert view.is_current(7)
    assert not view.is_current(6)


def run_with_desk(work):
    async def main():
        store = MemoryStore()
        return await work(store, TicketRepository(store))

    return curio.run(main)


def test_same_ticket_twice_is_a_success_and_a_taken_number_a_conflict():
    async def work(store, desk):
        first = ticket(1, *ZONES)
        assert not (await desk.apply(first)).is_repeated
        assert (await desk.apply(first)).is_repeated
        with pytest.raises(TicketConflict):
            await desk.apply(ticket(1, ZONES[0]))

    run_with_desk(work)


def test_only_one_of_several_concurrent_tickets_is_accepted():
    async def work(store, desk):
        store.faults = StoreFaults(delay_seconds=0.01)
        tickets = [ticket(1, Zone("z", f"region-{i}")) for i in range(5)]
        tasks = [await curio.spawn(desk.apply, one) for one in tickets]
        outcomes = []
        for task in tasks:
            await task.wait()
            outcomes.append(task.exception)
        assert sum(outcome is None for outcome in outcomes) == 1
        assert sum(isinstance(o, TicketConflict) for o in outcomes) == 4

    run_with_desk(work)


def test_lost_answer_is_resolved_by_reading_again():
    async def work(store, desk):
        store.faults = StoreFaults(lost_answers=1)
        outcome = await desk.apply(ticket(1, *ZONES))
        assert outcome.is_repeated
        assert [t.number for t in await desk.tickets()] == [1]

    run_with_desk(work)


def test_ticket_fails_and_changes_nothing_while_the_store_is_away():
    async def work(store, desk):
        store.faults = StoreFaults(is_away=True)
        with pytest.raises(StoreError):
            await desk.apply(ticket(1, *ZONES))
        store.faults = StoreFaults()
        assert not await desk.tickets()

    run_with_desk(work)


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('{"number": 1, "entities": [{"kind": "zone", "name": "z"}]}', "region"),
        ('{"number": 1, "entities": [{"kind": "house"}]}', "$.entities[0]"),
        ('{"number": 0, "removed": ["team/a"]}', "number"),
        ('{"number": 1, "entities": []}', "at least one entity"),
        ('{"number": 1,\n "bad', "line 2"),
        (
            '{"number": 1, "entities": [{"kind": "team", "name": "t", "rate": 0, '
            '"burst": 1}]}',
            "rate",
        ),
        (
            '{"number": 1, "entities": [{"kind": "service", "name": "s", '
            '"zones": ["z"], "floor": 1.5}]}',
            "floor",
        ),
        ('{"number": 1, "removed": ["team/a"], "colour": 1}', "colour"),
    ],
)
def test_error_in_malformed_ticket_names_the_place(text, place):
    with pytest.raises(BadInput) as caught:
        from_commented_json(Ticket, text, ErrorCode.BAD_TICKET)
    assert place in caught.value.detail


@pytest.mark.parametrize(
    ("entities", "detail"),
    [
        ((Service("s", ("nowhere",)),), "zone 'nowhere' does not exist"),
        (
            (Zone("z1", "r", False), Service("s", ("z1",))),
            "none of the service's zones would be in use",
        ),
        (
            (Team("a", 1.0, 1, ("0" * 64,)), Team("b", 1.0, 1, ("0" * 64,))),
            "also a key of team",
        ),
    ],
)
def test_invalid_ticket_changes_nothing(entities, detail):
    async def work(store, desk):
        with pytest.raises(BadInput) as caught:
            await desk.apply(ticket(1, *entities))
        assert detail in caught.value.detail
        assert not await desk.tickets()

    run_with_desk(work)


def test_relayed_states_survive_encoding():
    states = tuple(ticket(3, *ZONES, removed=[EntityKey("team", "t")]).states(9))
    assert states_from_bytes(states_to_bytes(states)) == states


def test_unreadable_object_does_not_stop_later_tickets():
    async def work(store, desk):
        await store.create("shared/tickets/000000000001", b"{broken")
        await store.create(
            "shared/tickets/000000000002",
            b'{"number":2,"entities":[{"kind":"zone","name":"z","region":"r"}]}',
        )
        batch = read_batch(await store.list_changed("shared/", 0), 0)
        assert [state.ticket for state in batch.states] == [2]

    run_with_desk(work)


def test_tickets_in_random_order_converge_on_all_daemons():
    randomness = random.Random(4)
    states = [
        state
        for number in range(1, 40)
        for state in ticket(
            number, Team(randomness.choice("abcd"), float(number), 1)
        ).states(number)
    ]
    views = []
    for _ in range(5):
        randomness.shuffle(states)
        views.append(EMPTY_CONFIGURATION.merged(states).state_by_key)
    assert all(view == views[0] for view in views)
