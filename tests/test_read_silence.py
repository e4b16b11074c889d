"""Daemons that hear of no read of the store, since all readers are lost.

Guards against versions that no daemon reads in time: evidence for leases is seconds old
in a sound fleet, so its age showed the loss of the readers too late.
"""

from __future__ import annotations

import random
from dataclasses import replace

import curio
import pytest

from bramleyglade_adapters.link.codec import decode
from bramleyglade_adapters.telemetry import Telemetry
from bramleyglade_core.decisions.read_silence import ReadSilence
from bramleyglade_core.model.identifiers import DaemonId
from bramleyglade_core.model.peer_messages import StoreReadTold
from bramleyglade_core.model.settings import LeaseSettings
from bramleyglade_daemon.fleet.context import Context
from bramleyglade_daemon.fleet.peers import Peers
from bramleyglade_daemon.fleet.shared_state import SharedState
from bramleyglade_standins.memory_store import MemoryStore

SILENCE_SECONDS = 1.2
MAX_SILENCE_SECONDS = 1.44
READER = DaemonId("vm-1", 7)


class ReaderLink:
    """A link to a peer, which keeps what is sent to it."""

    is_open = True

    def __init__(self, name, version=2):
        self.peer_name = name
        self.peer = type("Hello", (), {"version": version, "daemon": DaemonId(name, 1)})
        self.sent = []

    async def send_encoded(self, data, kind):
        self.sent.append(decode(data[4:]).message)


@pytest.fixture
def lease_settings():
    return LeaseSettings(
        term_seconds=4.0,
        refresh_seconds=0.8,
        stale_seconds=2.2,
        silence_seconds=SILENCE_SECONDS,
        readers=1,
        has_watches=False,
    )


@pytest.fixture
def shared(settings, clock, lease_settings):
    """Create the state of a daemon that is not a reader, with two neighbours."""
    settings = replace(settings, lease=lease_settings)
    telemetry = Telemetry(settings, random.Random(1))
    context = Context(settings, MemoryStore(), telemetry, clock=clock)
    shared = SharedState(context, Peers(context))
    shared._is_watcher = lambda: False
    links = {name: ReaderLink(name) for name in ("vm-1", "vm-2")}
    shared._peers.link_by_name.update(links)
    shared._peers.set_neighbours(list(links))
    return shared


def note_reads(shared, clock, numbers, revision=0):
    """Pass a reader's news on to a daemon, and let the time until the next one pass."""

    async def main():
        for number in numbers:
            message = StoreReadTold(READER, number, revision)
            link = shared._peers.link_by_name["vm-1"]
            await shared.handle_store_read(link, message)
            clock.advance(0.8)

    curio.run(main)


def test_daemon_reads_the_store_itself_when_it_hears_of_no_read(shared, clock):
    """Its evidence is still young enough, as that of any daemon was until then."""
    reads = []

    async def read(prefix, after):
        reads.append(after)
        return await MemoryStore().list_changed(prefix, after)

    shared._context.store.list_changed = read
    note_reads(shared, clock, [1, 2])
    shared._context.lease.renew(clock())
    clock.advance(MAX_SILENCE_SECONDS - 0.8)
    curio.run(shared._refresh_lease)
    assert len(reads) == 1


def test_daemon_that_hears_of_reads_does_not_read(shared, clock):
    note_reads(shared, clock, range(1, 10))
    assert 0.0 < shared._silence.seconds_left(clock()) <= MAX_SILENCE_SECONDS - 0.8


def test_news_of_a_read_goes_to_the_other_neighbours_once(shared, clock):
    note_reads(shared, clock, [1, 1, 2])
    links = shared._peers.link_by_name
    assert [message.number for message in links["vm-2"].sent] == [1, 2]
    assert not links["vm-1"].sent


def test_news_that_comes_back_late_does_not_pass_for_a_read(lease_settings):
    """Or daemons with slow links would tell each other of the last read for ever."""
    silence = ReadSilence(lease_settings, 0.0, random.Random(1))
    assert silence.note_read(READER, 1, 0.1)
    assert not silence.note_read(READER, 1, 1.5)
    assert not silence.seconds_left(0.1 + MAX_SILENCE_SECONDS)
    assert silence.note_read(DaemonId("vm-1", 8), 1, 1.6)


def test_older_neighbour_is_not_sent_what_it_cannot_decode(shared, clock):
    shared._peers.link_by_name["vm-2"] = ReaderLink("vm-2", version=1)
    note_reads(shared, clock, [1])
    assert not shared._peers.link_by_name["vm-2"].sent


def test_daemons_do_not_all_read_at_the_same_time(lease_settings):
    left = {
        ReadSilence(lease_settings, 0.0, random.Random(seed)).seconds_left(0.0)
        for seed in range(20)
    }
    assert len(left) == 20
    assert all(SILENCE_SECONDS <= seconds <= MAX_SILENCE_SECONDS for seconds in left)
