"""What a daemon does with the configuration of its peers in a later era of the store.

Guards against withdrawn keys that it accepts before it has compared its configuration
with that of a peer, and against zones that it can't put back.
"""

from __future__ import annotations

import random
from types import SimpleNamespace

import curio
import pytest

from bramleyglade_adapters.link.link import encode_one_way
from bramleyglade_adapters.store.shared_objects import states_to_bytes
from bramleyglade_adapters.telemetry import Telemetry
from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.decisions.shared_view import SharedBatch
from bramleyglade_core.decisions.store_era import ZONE_HOLD_SECONDS, observed_number
from bramleyglade_core.model.entities import Team, Zone
from bramleyglade_core.model.errors import ErrorCode, FleetError
from bramleyglade_core.model.identifiers import DaemonId
from bramleyglade_core.model.peer_messages import BatchTold, HeartbeatAnswered
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_daemon.fleet.context import Context
from bramleyglade_daemon.fleet.peers import Peers
from bramleyglade_daemon.fleet.shared_state import SharedState
from bramleyglade_standins.memory_store import MemoryStore

ERA = 2
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
