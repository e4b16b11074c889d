"""Tickets: merging, concurrent writes, lost answers, validation and encoding."""

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
from bramleyglade_core.decisions.ticket_check import find_problems
from bramleyglade_core.model.entities import (
    EntityKey,
    Route,
    Service,
    Team,
    UnreadableEntity,
    Zone,
)
from bramleyglade_core.model.errors import BadInput, ErrorCode, StoreError
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.memory_store import MemoryStore, StoreFaults

ZONES = (Zone("z1", "r"), Zone("z2", "r"))


def make_ticket(number, *entities, removed=()):
    return Ticket(number, "", tuple(entities), tuple(removed))


_tickets = st.lists(
    st.builds(
        lambda number, name, rate, is_removed: (
            make_ticket(number, removed=[EntityKey("team", name)])
            if is_removed
            else make_ticket(number, Team(name, float(rate), 1))
        ),
        st.integers(1, 50),
        st.sampled_from("abc"),
        st.integers(1, 9),
        st.booleans(),
    ),
    max_size=12,
    unique_by=lambda t: t.number,
)


@given(tickets=_tickets, random_source=st.randoms(use_true_random=False))
def test_tickets_merged_in_any_order_equal_a_replay_by_number(tickets, random_source):
    """Tickets arrive from the store and from peers, late or repeated."""
    expected = {}
    for ticket in sorted(tickets, key=lambda t: t.number):
        expected.update({state.key: state.entity for state in ticket.states()})
    shuffled = tickets + tickets[:3]
    random_source.shuffle(shuffled)
    merged = EMPTY_CONFIGURATION
    for ticket in shuffled:
        merged = merged.merged(ticket.states())
    found = {key: state.entity for key, state in merged.state_by_key.items()}
    assert found == expected


@given(
    revisions=st.lists(st.integers(0, 8), max_size=6),
    random_source=st.randoms(use_true_random=False),
)
def test_view_holds_all_states_up_to_its_revision(revisions, random_source):
    """Batches from lagging peers, in any order, never leave an unnoticed gap."""
    states = [
        s for n in range(1, 9) for s in make_ticket(n, Team(f"t{n}", 1.0, 1)).states(n)
    ]
    batches = [
        SharedBatch(
            after, up_to, tuple(s for s in states if after < s.revision <= up_to)
        )
        for after, up_to in itertools.combinations(sorted({0, *revisions}), 2)
    ]
    random_source.shuffle(batches)
    view = SharedView()
    for batch in batches:
        view.apply(batch)
        held = {s.revision for s in view.configuration.state_by_key.values()}
        assert set(range(1, view.revision + 1)) <= held


def test_revision_older_than_the_newest_known_one_is_not_current():
    view = SharedView()
    view.apply(SharedBatch(0, 5))
    view.note_revision(7)
    assert not view.is_current(5)
    view.apply(SharedBatch(5, 7))
    assert view.is_current(7)
    assert not view.is_current(6)


def run_with_repository(scenario):
    """Run a scenario with an empty store and its ticket repository."""

    async def main():
        store = MemoryStore()
        return await scenario(store, TicketRepository(store))

    return curio.run(main)


def test_repeated_ticket_succeeds_and_another_one_with_its_number_is_a_conflict():
    async def scenario(store, repository):
        first = make_ticket(1, *ZONES)
        assert not (await repository.apply(first)).is_repeated
        assert (await repository.apply(first)).is_repeated
        with pytest.raises(TicketConflict):
            await repository.apply(make_ticket(1, ZONES[0]))

    run_with_repository(scenario)


def test_only_one_of_several_concurrent_tickets_with_a_number_is_accepted():
    async def scenario(store, repository):
        store.faults = StoreFaults(delay_seconds=0.01)
        tickets = [make_ticket(1, Zone("z", f"region-{i}")) for i in range(5)]
        tasks = [await curio.spawn(repository.apply, ticket) for ticket in tickets]
        outcomes = []
        for task in tasks:
            await task.wait()
            outcomes.append(task.exception)
        assert sum(outcome is None for outcome in outcomes) == 1
        assert sum(isinstance(o, TicketConflict) for o in outcomes) == 4

    run_with_repository(scenario)


def test_ticket_is_read_back_after_the_answer_to_its_write_was_lost():
    async def scenario(store, repository):
        store.faults = StoreFaults(lost_answers=1)
        outcome = await repository.apply(make_ticket(1, *ZONES))
        assert outcome.is_repeated
        assert [t.number for t in await repository.tickets()] == [1]

    run_with_repository(scenario)


def test_ticket_fails_and_changes_nothing_while_the_store_is_unavailable():
    async def scenario(store, repository):
        store.faults = StoreFaults(is_away=True)
        with pytest.raises(StoreError):
            await repository.apply(make_ticket(1, *ZONES))
        store.faults = StoreFaults()
        assert not await repository.tickets()

    run_with_repository(scenario)


@pytest.mark.parametrize(
    ("text", "location"),
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
def test_error_of_a_malformed_ticket_names_the_location(text, location):
    with pytest.raises(BadInput) as caught:
        from_commented_json(Ticket, text, ErrorCode.BAD_TICKET)
    assert location in caught.value.detail


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
def test_invalid_ticket_is_refused_and_not_stored(entities, detail):
    async def scenario(store, repository):
        with pytest.raises(BadInput) as caught:
            await repository.apply(make_ticket(1, *entities))
        assert detail in caught.value.detail
        assert not await repository.tickets()

    run_with_repository(scenario)


def test_states_sent_to_peers_are_the_same_after_decoding():
    states = tuple(make_ticket(3, *ZONES, removed=[EntityKey("team", "t")]).states(9))
    assert states_from_bytes(states_to_bytes(states)) == states


def test_unreadable_object_does_not_block_later_tickets():
    async def scenario(store, repository):
        await store.create("shared/tickets/000000000001", b"{broken")
        await store.create(
            "shared/tickets/000000000002",
            b'{"number":2,"entities":[{"kind":"zone","name":"z","region":"r"}]}',
        )
        batch = read_batch(await store.list_changed("shared/", 0), 0)
        assert [state.ticket for state in batch.states] == [2]

    run_with_repository(scenario)


def test_states_merged_in_different_orders_give_the_same_configuration():
    random_source = random.Random(4)
    states = [
        state
        for number in range(1, 40)
        for state in make_ticket(
            number, Team(random_source.choice("abcd"), float(number), 1)
        ).states(number)
    ]
    merged = []
    for _ in range(5):
        random_source.shuffle(states)
        merged.append(EMPTY_CONFIGURATION.merged(states).state_by_key)
    assert all(state_by_key == merged[0] for state_by_key in merged)


@pytest.mark.parametrize(
    "entity",
    [
        Service("a b", ("zone-0",)),
        Service("a" * 129, ("zone-0",)),
        Route("r", "s", "/a%20b"),
        Route("r", "s", "/a//b"),
        Route("r", "s", "/a/../b"),
        UnreadableEntity("route/r", "bad"),
    ],
)
def test_ticket_with_an_ambiguous_entity_is_not_applied(entity):
    """Daemons accept such names and prefixes from stores that have checked them."""
    base = Ticket(1, "", (Zone("zone-0", "r"), Service("s", ("zone-0",))))
    configuration = EMPTY_CONFIGURATION.merged(base.states())
    assert not find_problems(configuration, Ticket(2, "", (Route("r", "s", "/a"),)))
    assert find_problems(configuration, Ticket(2, "", (entity,)))


def test_ticket_number_that_its_key_has_no_digits_for_is_not_applied():
    ticket = Ticket(10**12, "", (Zone("zone-0", "r"),))
    assert find_problems(EMPTY_CONFIGURATION, ticket)
