"""What a daemon does with the configuration of its peers in a later era of the store.

Guards against withdrawn keys that it accepts before it has compared its configuration
with that of a peer, and against zones that it can't put back.
"""

from __future__ import annotations

import random
from dataclasses import replace
from types import SimpleNamespace

import curio
import pytest

from bramleyglade_adapters.link.link import encode_one_way
from bramleyglade_adapters.store.shared_objects import (
    states_from_bytes,
    states_to_bytes,
)
from bramleyglade_adapters.telemetry import Telemetry
from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.decisions.shared_view import SharedBatch
from bramleyglade_core.decisions.store_era import ZONE_HOLD_SECONDS, observed_number
from bramleyglade_core.model.entities import Team, Zone
from bramleyglade_core.model.errors import ErrorCode, FleetError
from bramleyglade_core.model.identifiers import DaemonId
from bramleyglade_core.model.peer_messages import (
    PROTOCOL_VERSION,
    BatchAsked,
    BatchTold,
    ChangesAsked,
    HeartbeatAnswered,
)
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_daemon.fleet.context import Context
from bramleyglade_daemon.fleet.peers import Peers
from bramleyglade_daemon.fleet.shared_state import SharedState
from bramleyglade_daemon.fleet.ticket_changes import PIECE_BYTES
from bramleyglade_standins.memory_store import MemoryStore

ERA = 2
HANG_SECONDS = 20.0
"""Time after which a test that hangs is ended."""
HEARTBEAT = HeartbeatAnswered(0, 0, 5.0, 5.0, era=ERA)


class ComparedLink:
    """A link to a peer that answers once the test says so, or is lost."""

    peer_name = "vm-1"
    peer = SimpleNamespace(daemon=DaemonId("vm-1", 1))

    def __init__(self, answer=None):
        self.asked = curio.Event()
        self.may_answer = curio.Event()
        self.answer = answer

    async def call(self, message, timeout_seconds):
        await self.asked.set()
        await self.may_answer.wait()
        if self.answer is None:
            raise FleetError(ErrorCode.PEER_LOST, "the link is lost")
        return self.answer


@pytest.fixture
def shared(settings, clock):
    store = MemoryStore(era=ERA)
    telemetry = Telemetry(settings, random.Random(1))
    context = Context(settings, store, telemetry, clock=clock)
    return SharedState(context, Peers(context))


def test_no_lease_before_the_comparison_has_ended(shared):
    told = BatchTold(0, 0, b"[]", b"[]", era=ERA)

    async def main():
        link = ComparedLink(told)
        lease = shared._context.lease
        heartbeat = await curio.spawn(
            shared.apply_heartbeat_answer, link, HEARTBEAT, shared._context.clock()
        )
        await link.asked.wait()
        await shared.read_now()
        assert not lease.is_valid
        await link.may_answer.set()
        await heartbeat.join()
        assert lease.is_valid

    curio.run(main)


def test_no_lease_from_a_peer_that_could_not_be_compared(shared):
    async def main():
        link = ComparedLink()
        await link.may_answer.set()
        sent_at = shared._context.clock()
        await shared.apply_heartbeat_answer(link, HEARTBEAT, sent_at)
        assert not shared._context.lease.is_valid

    curio.run(main)


def test_lost_change_is_fetched_where_no_ticket_is_whole(shared):
    """The number of the highest whole ticket is 0 at both, whatever the peer has."""
    withdrawn = Ticket(2, entities=(Team("studio", 1.0, 1),))
    states = states_to_bytes(tuple(withdrawn.states()))

    class PeerLink(ComparedLink):
        async def call(self, message, timeout_seconds):
            return BatchTold(
                message.after, 0, b"[]" if message.after else states, b"[]", era=ERA
            )

    async def main():
        former = Ticket(1, entities=(Team("studio", 1.0, 1, (hash_key("key"),)),))
        view = shared._context.view
        view.apply(SharedBatch(0, 0, tuple(former.states()), era=ERA))
        sent_at = shared._context.clock()
        await shared.apply_heartbeat_answer(PeerLink(), HEARTBEAT, sent_at)
        assert not view.configuration.team_by_name["studio"].key_hashes

    curio.run(main)


def test_zone_without_a_revision_of_the_era_is_released(shared, clock):
    """A peer that kept it from the era before tells it with revision 0."""
    view = shared._context.view
    sent = []

    async def send(message, *args, **options):
        sent.append(encode_one_way(message))

    shared._peers.send_to_neighbours = send
    out = Ticket(observed_number(1, 3), entities=(Zone("zone-a", "west", False),))
    view.apply(SharedBatch(0, 3, tuple(out.states(3)), era=1), clock())
    back = Ticket(observed_number(2, 3), entities=(Zone("zone-a", "west", True),))
    view.apply(SharedBatch(0, 3, tuple(back.states(0)), era=3), clock())
    clock.advance(ZONE_HOLD_SECONDS)
    curio.run(shared._release_zones)
    assert sent
    assert view.configuration.is_zone_in_use("zone-a")


class ChangesLink(ComparedLink):
    """A link to a peer that has a view, and that is lost after some answers."""

    def __init__(self, name, context, answers):
        super().__init__()
        self.peer_name = name
        self.peer = SimpleNamespace(daemon=DaemonId(name, 1), version=PROTOCOL_VERSION)
        self.shared = SharedState(context, Peers(context))
        self.answers = answers
        self.asked_for = []

    async def call(self, message, timeout_seconds):
        self.asked_for.append(message)
        if len(self.asked_for) > self.answers:
            raise FleetError(ErrorCode.PEER_LOST, "the link is lost")
        if isinstance(message, BatchAsked):
            return self.shared.batches.batch_for_peer(message)
        return self.shared.batches.changes_for_peer(message)


@pytest.fixture
def peer_context(settings, clock):
    """Create the context of a daemon whose changes take several pieces."""
    telemetry = Telemetry(settings, random.Random(1))
    context = Context(settings, MemoryStore(), telemetry, clock=clock)
    source = random.Random(5)
    names = [f"team-{source.getrandbits(64):x}" for _ in range(4000)]
    ticket = Ticket(7, "", tuple(Team(n, 1.0, 1) for n in names), is_whole=True)
    states = tuple(ticket.states(3))
    context.view.apply(SharedBatch(0, 3, states, (), 7, ERA), clock())
    return context


def test_interrupted_transfer_is_continued_from_another_peer(shared, peer_context):
    async def main():
        first = ChangesLink("vm-1", peer_context, answers=2)
        second = ChangesLink("vm-2", peer_context, answers=100)
        await shared.batches.pull(first)
        assert not shared._context.configuration.is_known
        await shared.batches.pull(second)
        assert shared._context.configuration.whole_ticket == 7
        assert len(shared._context.configuration.team_by_name) == 4000
        assert second.asked_for[1].offset == 2 * PIECE_BYTES

    curio.run(main)


def test_changes_are_sent_in_pieces_that_let_heartbeats_pass(shared, peer_context):
    async def main():
        link = ChangesLink("vm-1", peer_context, answers=100)
        request = BatchAsked(0, (0,))
        told = link.shared.batches.batch_for_peer(request)
        assert len(encode_one_way(told)) < 2 * PIECE_BYTES
        offset = len(told.changes)
        while offset < told.changes_size:
            asked = ChangesAsked(0, 7, told.changes_digest, offset)
            piece = link.shared.batches.changes_for_peer(asked)
            assert 0 < len(piece.data) <= PIECE_BYTES
            offset += len(piece.data)
        assert offset == told.changes_size

    curio.run(main)


def test_heartbeat_does_not_wait_for_the_transfer_of_a_version(shared):
    async def main():
        link = ComparedLink()
        answer = replace(HEARTBEAT, revision=9)
        async with curio.timeout_after(HANG_SECONDS):
            await shared.apply_heartbeat_answer(link, answer, shared._context.clock())
            await link.asked.wait()
        assert not shared._context.lease.is_valid

    curio.run(main)


def test_daemon_at_the_revision_of_a_peer_asks_for_a_version_that_it_lacks(
    shared, peer_context
):
    """It had read the store, whose newest version could not be decoded."""

    async def main():
        view = shared._context.view
        view.apply(SharedBatch(0, 3, era=ERA), shared._context.clock())
        link = ChangesLink("vm-1", peer_context, answers=100)
        answer = replace(HEARTBEAT, revision=3, whole_ticket=7)
        await shared.apply_heartbeat_answer(link, answer, shared._context.clock())
        async with curio.timeout_after(HANG_SECONDS):
            while not view.configuration.is_known:
                await curio.sleep(0.01)

    curio.run(main)


def test_version_that_a_peer_replaced_meanwhile_is_still_fetched(shared, peer_context):
    """Or a slow transfer would begin anew with each version and never end."""

    async def main():
        link = ChangesLink("vm-1", peer_context, answers=2)
        await shared.batches.pull(link)
        view = peer_context.view
        later = Ticket(9, "", (Team("one", 1.0, 1),), is_whole=True)
        view.apply(SharedBatch(3, 4, tuple(later.states(4)), (), 9, ERA))
        told = link.shared.batches.batch_for_peer(BatchAsked(0, (0,)))
        assert told.whole_ticket == 9
        asked = ChangesAsked(0, 7, shared.batches.changes._partial.digest, PIECE_BYTES)
        assert link.shared.batches.changes_for_peer(asked).data

    curio.run(main)


def test_peer_of_an_earlier_version_is_sent_whole_tickets(peer_context):
    """It drops the entities that the message for later daemons leaves out."""
    sent = []

    class OlderLink:
        is_open = True
        peer_name = "vm-1"
        peer = SimpleNamespace(
            daemon=DaemonId("vm-1", 1), version=1, record=SimpleNamespace(zone="zone-0")
        )

        async def send_one_way(self, message):
            sent.append(message)

    async def main():
        shared = SharedState(peer_context, Peers(peer_context))
        shared._peers.link_by_name["vm-1"] = OlderLink()
        shared._peers.set_neighbours(["vm-1"])
        await shared.batches.pass_on(0, 0)
        (message,) = sent
        assert not message.changes_size
        assert message.whole_ticket == 7
        assert len(states_from_bytes(message.states)) == 4000
        told = shared.batches.batch_for_peer(BatchAsked(0))
        assert (told.states, told.changes_size) == (message.states, 0)

    curio.run(main)


def test_version_is_fetched_whole_where_changes_do_not_lead_to_it(shared, peer_context):
    """The content of the version before differs here, under the same number."""

    async def main():
        view = shared._context.view
        former = Ticket(7, "", (Team("another", 1.0, 1),), is_whole=True)
        view.apply(SharedBatch(0, 3, tuple(former.states(3)), (), 7, ERA))
        names = peer_context.configuration.team_by_name
        later = Ticket(9, "", (*names.values(), Team("one", 1.0, 1)), is_whole=True)
        states = tuple(later.states(4))
        peer_context.view.apply(SharedBatch(3, 4, states, (), 9, ERA))
        link = ChangesLink("vm-1", peer_context, answers=100)
        await shared.batches.pull(link)
        teams = shared._context.configuration.team_by_name
        assert teams == peer_context.configuration.team_by_name
        assert [
            m.known_tickets for m in link.asked_for if isinstance(m, BatchAsked)
        ] == [
            (7,),
            (0,),
        ]

    curio.run(main)
