"""Who is in the fleet: announcements in the store, heartbeats and gossip."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_adapters.store.shared_objects import (
    MEMBER_PREFIX,
    member_key,
    read_members,
)
from bramleyglade_adapters.structure import to_json
from bramleyglade_core.decisions.rendezvous import rank
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.errors import FleetError, StoreError
from bramleyglade_core.model.peer_messages import (
    HeartbeatAnswered,
    HeartbeatSent,
    LookAsked,
    LookTold,
    RecordsAsked,
    RecordsTold,
    SuspicionTold,
)
from bramleyglade_core.ports.store import Listing
from bramleyglade_daemon.fleet.context import new_incarnation
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.model.announcements import MemberRecord
    from bramleyglade_core.ports.store import ObjectStore
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers
    from bramleyglade_daemon.fleet.shared_state import SharedState

_STORE_PERIOD_SECONDS = 20.0
"""Time between two looks at the announcements in the store."""

_GONE_SECONDS = 6.0
"""Time without a sign of life after which the store is told that a member is gone;
all that it may hold of a team's rate has lapsed by then."""

_LOOK_SECONDS = 0.8
"""Longest wait for a peer that looks for a silent one: its dial takes half a second."""

_NEIGHBOUR_PERIOD_SECONDS = 1.0
_STORE_RETRY_SECONDS = 1.0

_LOG = logging.getLogger(__name__)


class Membership:
    """Keeps the directory up to date and this daemon's record in it."""

    def __init__(self, context: Context, peers: Peers, shared: SharedState) -> None:
        self._context = context
        self._peers = peers
        self._shared = shared
        self._must_announce = curio.Event()
        self._members_revision = 0

    async def publish(self) -> None:
        """Write this daemon's record anew and pass it on."""
        record = self._context.renew_record()
        await self._peers.tell_all(RecordsTold((record,)))
        await self._must_announce.set()

    async def take_records(self, records: Iterable[MemberRecord], source: str) -> None:
        """Merge records and pass on those that are news."""
        news = [r for r in records if self._context.directory.merge(r)]
        if not news:
            return
        for record in news:
            if record.daemon.name == self._context.settings.name:
                await self._answer_for_self(record)
        await self._peers.tell_all(RecordsTold(tuple(news)), beside=source)
        self._choose_neighbours()

    async def take_suspicion(self, told: SuspicionTold, source: str) -> None:
        """Take in that a daemon is suspected, unless this one knows better."""
        name = told.daemon.name
        if told.daemon == self._context.daemon:
            await self.publish()
            return
        known = self._context.directory.record_by_name.get(name)
        if known is None or known.daemon != told.daemon:
            return
        if self._hears(name):
            await self._peers.tell_all(RecordsTold((known,)))
            return
        if self._context.directory.suspect(name):
            _LOG.warning("MemberSuspected", extra={"member": name, "by": source})
            await self._peers.tell_all(told, beside=source)

    async def look(self, asked: LookAsked) -> LookTold:
        """Look at a daemon for a peer."""
        is_live = self._hears(asked.name)
        if not is_live:
            try:
                await self._peers.reach(asked.name)
                is_live = True
            except LinkLost:
                is_live = False
        return LookTold(asked.name, is_live)

    async def keep_beating(self, link: Link) -> None:
        """Send heartbeats on one link until it breaks."""
        period = self._context.settings.peers.heartbeat_seconds
        while link.is_open:
            # A link with requests under way is watched more closely.
            pause = period / 2 if link.stream_count else period
            if link.stream_count or self._peers.is_neighbour(link):
                await self._beat(link)
            await curio.sleep(pause * self._context.random.uniform(0.9, 1.1))

    async def keep_watch(self) -> None:
        """Have silent neighbours looked at, for ever."""
        while True:
            await curio.sleep(self._context.settings.peers.heartbeat_seconds)
            await self._check_silent()
            self._context.directory.forget_absent(self._context.clock())
            await self._record_absent()

    async def keep_neighbours(self) -> None:
        """Keep links to neighbours, and to seeds until members are known."""
        while True:
            self._choose_neighbours()
            for name in self._peers.neighbours:
                await self._peers.keep(name)
            if not self._peers.open_links():
                for address in self._context.settings.seed_peers:
                    await self._peers.greet_seed(address)
            jitter = self._context.random.uniform(0.8, 1.2)
            await curio.sleep(_NEIGHBOUR_PERIOD_SECONDS * jitter)

    async def keep_announced(self) -> None:
        """Write this daemon's record to the store whenever it changes."""
        pause = _STORE_RETRY_SECONDS
        while True:
            self._must_announce.clear()
            record = self._context.record
            try:
                await self._write(record)
                pause = _STORE_RETRY_SECONDS
                await self._must_announce.wait()
            except StoreError as error:
                _LOG.info("AnnouncementDelayed", extra={"why": str(error)})
                await curio.sleep(pause * self._context.random.uniform(0.5, 1.5))
                pause = min(2 * pause, _STORE_PERIOD_SECONDS)

    async def keep_discovering(self) -> None:
        """Read other daemons' announcements from the store, seldom."""
        pause = 0.0
        while True:
            await curio.sleep(pause)
            pause = _STORE_PERIOD_SECONDS * self._context.random.uniform(0.8, 1.2)
            self._context.picker.keep_only(self._context.directory.target_ids())
            try:
                listing = await self._context.store.list_changed(
                    MEMBER_PREFIX, self._members_revision
                )
            except StoreError:
                if not self._members_revision:
                    pause = _STORE_RETRY_SECONDS
                continue
            self._members_revision = listing.revision
            if self._context.discovered_at is None:
                self._context.discovered_at = self._context.clock()
            await self.take_records(read_members(listing), source="")

    async def leave_store(self) -> None:
        """Try once to write the last record to the store."""
        try:
            await self._write(self._context.record)
        except StoreError as error:
            _LOG.info("LeaveNotWritten", extra={"why": str(error)})

    async def _write(self, record: MemberRecord) -> None:
        key = member_key(record.daemon.name)
        value = to_json(record)
        stored = await self._context.store.read(key)
        if stored is None:
            await self._context.store.create(key, value)
        elif stored.value != value:
            await self._context.store.update(key, value, stored.revision)

    async def _beat(self, link: Link) -> None:
        assert link.peer is not None
        name = link.peer.daemon.name
        settings = self._context.settings.peers
        sent_at = self._context.clock()
        sent = HeartbeatSent(
            self._context.view.revision, self._context.directory.digest
        )
        try:
            answer = await link.call(sent, settings.suspect_seconds)
            told = expect(answer, HeartbeatAnswered)
        except FleetError:
            # Another link to the same peer may be well; this one is not.
            await link.close()
            return
        self._peers.note_heard(name)
        self._context.take_views(name, told.views)
        await self._shared.take_heartbeat(link, told, sent_at)
        if told.members_digest != self._context.directory.digest:
            await self._pull_records(link)

    async def _pull_records(self, link: Link) -> None:
        assert link.peer is not None
        try:
            answer = await link.call(RecordsAsked(), 2.0)
            records = expect(answer, RecordsTold).records
        except FleetError:
            return
        await self.take_records(records, link.peer.daemon.name)

    async def _check_silent(self) -> None:
        """Have others look for neighbours that say nothing."""
        bound = self._context.settings.peers.suspect_seconds
        for name in self._peers.neighbours:
            if not self._context.directory.is_live(name):
                continue
            if self._peers.missing_seconds(name) >= bound:
                await curio.spawn(self._check_indirectly, name, daemon=True)

    async def _record_absent(self) -> None:
        """Have the store say that members are gone which answer nobody for long.

        A fleet that starts anew would wait for them otherwise. One that lives and
        was only cut off speaks up with a newer record.
        """
        now = self._context.clock()
        directory = self._context.directory
        for name in directory.member_names():
            if directory.absent_seconds(name, now) < _GONE_SECONDS:
                continue
            serving = directory.serving_names()
            is_own_task = rank(f"gone/{name}", serving)[:1] == [
                self._context.settings.name
            ]
            if is_own_task and self._context.lease.is_valid:
                await self._record_gone(directory.record_by_name[name])

    async def _record_gone(self, record: MemberRecord) -> None:
        gone = replace(
            record, phase=DaemonPhase.GONE, targets=(), sequence=record.sequence + 1
        )
        name = record.daemon.name
        try:
            stored = await self._context.store.read(member_key(name))
            if stored is None:
                return
            known = read_members(Listing((stored,), stored.revision))
            if not known or known[0].daemon != record.daemon:
                return  # A later run has written since.
            key = member_key(name)
            await self._context.store.update(key, to_json(gone), stored.revision)
        except StoreError as error:
            _LOG.info("GoneNotWritten", extra={"member": name, "why": str(error)})
            return
        _LOG.warning("MemberGone", extra={"member": name})
        await self.take_records((gone,), source="")

    async def _check_indirectly(self, name: str) -> None:
        count = self._context.settings.peers.indirect_checks
        links = [
            link
            for link in self._peers.open_links()
            if link.peer is not None and link.peer.daemon.name != name
        ]
        chosen = self._context.random.sample(links, min(count, len(links)))
        tasks = [await curio.spawn(self._ask_look, link, name) for link in chosen]
        if any([await task.join() for task in tasks]):
            return
        record = self._context.directory.record_by_name.get(name)
        if record is None or self._hears(name):
            return
        if self._context.directory.suspect(name):
            _LOG.warning("MemberSuspected", extra={"member": name})
            await self._peers.tell_all(SuspicionTold(record.daemon))

    async def _ask_look(self, link: Link, name: str) -> bool:
        """Ask a peer whether a daemon answers it; False if the peer doesn't say."""
        try:
            told = await link.call(LookAsked(name), _LOOK_SECONDS)
            return expect(told, LookTold).is_live
        except FleetError as error:
            extra = {"member": name, "peer": link.peer_name, "why": str(error)}
            _LOG.info("LookUnanswered", extra=extra)
            return False

    async def _answer_for_self(self, seen: MemberRecord) -> None:
        """Speak up when an older word of this name, or a suspicion, is about."""
        if seen.daemon.incarnation > self._context.daemon.incarnation:
            _LOG.error("NameTaken", extra={"incarnation": seen.daemon.incarnation})
            return
        await self.publish()

    def _hears(self, name: str) -> bool:
        return self._peers.silence(name) < self._context.settings.peers.suspect_seconds

    def _choose_neighbours(self) -> None:
        """Keep most links within the zone, as bytes between zones cost."""
        settings = self._context.settings
        records = self._context.directory.record_by_name
        names = self._context.directory.member_names()
        near: list[str] = []
        far: list[str] = []
        for name in rank(settings.name, (n for n in names if n != settings.name)):
            is_near = records[name].zone == settings.zone
            (near if is_near else far).append(name)
        near_count = max(settings.peers.fanout - settings.peers.far_fanout, 0)
        chosen = near[:near_count]
        chosen += far[: settings.peers.fanout - len(chosen)]
        self._peers.set_neighbours(chosen)


async def next_incarnation(store: ObjectStore, name: str) -> int:
    """Choose the incarnation of a daemon that starts.

    The wall clock counts incarnations, and a new VM's may be behind that of the
    one it replaces; then the store's record of the name is counted on from.

    Args:
        store: The platform's object store.
        name: The daemon's name.

    Returns:
        A number above that of any earlier run which the store knows of.
    """
    own = new_incarnation()
    try:
        stored = await store.read(member_key(name))
    except StoreError:
        return own
    if stored is None:
        return own
    listing = Listing((stored,), stored.revision)
    known = [record.daemon.incarnation for record in read_members(listing)]
    return max([own, *(incarnation + 1 for incarnation in known)])
