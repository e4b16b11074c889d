"""Member records in the platform's store: this daemon's own, and those of others."""

from __future__ import annotations

import logging
import random
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.store.shared_objects import (
    MEMBER_PREFIX,
    member_key,
    read_members,
)
from bramleyglade_adapters.structure import to_json
from bramleyglade_core.decisions.rendezvous import spread, winner
from bramleyglade_core.decisions.store_era import (
    EraChange,
    incarnation_after,
    rewrite_delay,
)
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.errors import StoreError, StoreRestored, VersionConflict
from bramleyglade_core.ports.store import Listing
from bramleyglade_daemon.fleet.context import new_incarnation

if TYPE_CHECKING:
    from bramleyglade_core.model.announcements import MemberRecord
    from bramleyglade_core.ports.store import ObjectStore
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.member_records import MemberRecords
    from bramleyglade_daemon.fleet.peers import Peers

_STORE_PERIOD_SECONDS = 20.0
"""Time between two reads of all member records by the readers of the fleet."""

_SECOND_READ_SECONDS = 2.0
"""Time from the first read, which shows only some members, to a reader's read of all.
It joins groups of daemons that started without learning of each other."""

_UNLINKED_SECONDS = 4.0
"""Time between two reads of all member records by a daemon without a link."""

_READERS = 3
"""Daemons that read all member records on behalf of the fleet, in different zones."""

_KEEP_TIMEOUT_SECONDS = 0.8
"""Longest wait for the store to take this daemon's record. Targets wait a second for an
acknowledgement and then send their report again."""

_STORE_RETRY_SECONDS = 1.0

_LOG = logging.getLogger(__name__)


class MemberStore:
    """Writes this daemon's record to the store and learns of members from there."""

    def __init__(self, context: Context, peers: Peers, records: MemberRecords) -> None:
        self._context = context
        self._peers = peers
        self._records = records
        self._record_stored = curio.Event()
        self._stored_recency = (0, 0)
        """Recency of the newest record of this daemon in the store."""
        is_new = context.is_history_known and not context.has_earlier_record
        self._own_revision: int | None = 0 if is_new else None
        """Revision of this daemon's object; 0 if there is none, None if unknown."""
        self._members_revision = 0
        self._members_era = 0
        """Era in which the members were read up to that revision."""
        self._written: MemberRecord | None = None
        """The record that was written last, or tried."""
        self._is_lost = False
        """Whether the store may have lost this daemon's record in a restoration."""
        self._era_changed = curio.Event()

    async def note_era(self, change: EraChange) -> None:
        """Write this daemon's record again, and read all members again.

        The store has lost what was written after its copy; revisions that are known
        may belong to other content now.
        """
        self._own_revision = None
        self._stored_recency = (0, 0)
        self._is_lost = True
        if not change.is_first:
            await self._era_changed.set()
        await self._records.changed.set()

    async def keep_record(self) -> bool:
        """Wait until the store has this daemon's record.

        Returns:
            False if the store has not confirmed it in time.
        """
        record = self._context.record
        await curio.ignore_after(_KEEP_TIMEOUT_SECONDS, self._wait_stored, record)
        if self._stored_recency >= record.recency:
            return True
        _LOG.warning("RecordNotKept", extra={"sequence": record.sequence})
        return False

    async def publish_to_store(self) -> None:
        """Write this daemon's record to the store whenever it changes."""
        backoff = _STORE_RETRY_SECONDS
        while True:
            self._records.changed.clear()
            await self._wait_for_turn()
            try:
                await self._learn_history()
                await self._write(self._context.record)
                backoff = _STORE_RETRY_SECONDS
                await self._records.changed.wait()
            except StoreError as error:
                _LOG.info("AnnouncementDelayed", extra={"why": str(error)})
                pause = backoff * self._context.random.uniform(0.5, 1.5)
                await curio.ignore_after(pause, self._records.changed.wait)
                backoff = min(2 * backoff, _STORE_PERIOD_SECONDS)

    async def discover_members(self) -> None:
        """Learn of members from the store.

        Each daemon reads some of them once; peers tell it of all others. A few daemons
        read all of them periodically, and so does a daemon without a link.
        """
        # A daemon that has written its record is found by those that start later.
        record = self._context.record
        await curio.ignore_after(_STORE_RETRY_SECONDS, self._wait_stored, record)
        pause = _STORE_RETRY_SECONDS
        while True:
            self._context.picker.keep_only(self._context.directory.target_ids())
            try:
                if self._context.discovered_at is None:
                    await self._read_some()
                    self._context.discovered_at = self._context.clock()
                    pause = _SECOND_READ_SECONDS
                else:
                    is_new = True
                    has_links = bool(self._peers.open_links())
                    if self._is_reader() or not has_links:
                        is_new = await self._read_all()
                    pause = _STORE_PERIOD_SECONDS if has_links else _UNLINKED_SECONDS
                    if not is_new:
                        pause = _SECOND_READ_SECONDS
            except StoreError as error:
                _LOG.info("MembersUnread", extra={"why": str(error)})
            pause *= self._context.random.uniform(0.8, 1.2)
            if await curio.ignore_after(pause, self._await_era) is not None:
                # The other daemons write their records again in this time.
                count = len(self._context.directory.member_names())
                await curio.sleep(rewrite_delay(count, self._context.random))

    async def _await_era(self) -> bool:
        await self._era_changed.wait()
        self._era_changed.clear()
        return True

    async def _wait_for_turn(self) -> None:
        """Spread the writes of the fleet in a new era; a change is written at once."""
        is_due, self._is_lost = self._is_lost, False
        if is_due and self._written is self._context.record:
            count = len(self._context.directory.member_names())
            delay = rewrite_delay(count, self._context.random)
            await curio.ignore_after(delay, self._records.changed.wait)
            self._records.changed.clear()

    async def write_final_record(self) -> None:
        """Try once to write this daemon's final record to the store."""
        try:
            await self._write(self._context.record)
        except StoreError as error:
            _LOG.info("LeaveNotWritten", extra={"why": str(error)})

    async def mark_gone(self, record: MemberRecord) -> None:
        """Mark a member as gone in the store, unless a later process has written."""
        name = record.daemon.name
        try:
            stored = await self._context.store.read(member_key(name))
            if stored is None:
                return
            stored_records = read_members(Listing((stored,), stored.revision))
            if not stored_records or stored_records[0].daemon != record.daemon:
                return
            # The stored record may know of leaving runs that this daemon does not.
            newest = max(record.sequence, stored_records[0].sequence)
            gone = _gone_record(replace(stored_records[0], sequence=newest))
            key = member_key(name)
            await self._context.store.update(
                key, to_json(gone), stored.revision, stored.era
            )
        except StoreRestored as error:
            extra = {"member": name, "why": str(error)}
            _LOG.warning("GoneWrittenInOtherEra", extra=extra)
            await self._repair(name)
            return
        except StoreError as error:
            _LOG.info("GoneNotWritten", extra={"member": name, "why": str(error)})
            return
        _LOG.warning("MemberGone", extra={"member": name})
        await self._records.merge((gone,), source="")

    async def replace_predecessor(self, record: MemberRecord) -> None:
        """Record a daemon as gone that listened at this daemon's address before.

        This needs no wait: while one process listens at an address, no other does.
        """
        extra = {"member": record.daemon.name, "address": str(record.address)}
        _LOG.info("PredecessorReplaced", extra=extra)
        await self._records.merge((_gone_record(record),), source="")
        await curio.spawn(self.mark_gone, record, daemon=True)

    def _is_reader(self) -> bool:
        serving = self._context.directory.serving_names()
        return self._context.settings.name in self._reader_names(serving)

    def _reader_names(self, serving: list[str]) -> list[str]:
        records = self._context.directory.record_by_name
        zone_by_name = {name: records[name].zone for name in serving}
        return spread("members", zone_by_name, _READERS)

    async def _read_some(self) -> None:
        """Read some records, beginning after this daemon's own in the order of keys."""
        store = self._context.store
        found = await store.list_some(
            MEMBER_PREFIX, member_key(self._context.settings.name)
        )
        if len(found) <= self._context.settings.peers.fanout:
            found += await store.list_some(MEMBER_PREFIX, MEMBER_PREFIX)
        await self._records.merge(read_members(Listing(found, 0)), source="")

    async def _read_all(self) -> bool:
        """Read all records that have changed; False if the list is of an old era."""
        listing = await self._context.store.list_changed(
            MEMBER_PREFIX, self._members_revision
        )
        if listing.era < max(self._members_era, self._context.view.era):
            _LOG.info("MembersOutdated", extra={"era": listing.era})
            return False
        if listing.era > self._members_era and self._members_revision:
            self._members_era, self._members_revision = listing.era, 0
            return await self._read_all()
        self._members_era, self._members_revision = listing.era, listing.revision
        records = read_members(listing)
        await self._records.merge(records, source="")
        if listing.era:
            await self._restore_ends(records)
        return True

    async def _restore_ends(self, records: list[MemberRecord]) -> None:
        """Record again the end of daemons whose last record the store has lost."""
        directory = self._context.directory
        serving = directory.serving_names()
        for record in records:
            name = record.daemon.name
            known = directory.record_by_name.get(name)
            if known is None or known.phase is not DaemonPhase.GONE:
                continue
            is_gone = record.phase is DaemonPhase.GONE
            if is_gone or record.recency >= known.recency:
                continue
            readers = self._reader_names(serving)
            if winner(f"gone/{name}", readers) == self._context.settings.name:
                await self.mark_gone(record)

    async def _repair(self, name: str) -> None:
        """Write a member's newest known record over one that was written unread."""
        known = self._context.directory.record_by_name.get(name)
        store = self._context.store
        try:
            stored = await store.read(member_key(name))
            if stored is None or known is None:
                return
            records = read_members(Listing((stored,), stored.revision))
            if records and records[0].recency < known.recency:
                key, value = member_key(name), to_json(known)
                await store.update(key, value, stored.revision, stored.era)
        except StoreError as error:
            _LOG.info("RecordNotRepaired", extra={"member": name, "why": str(error)})

    async def _write(self, record: MemberRecord) -> None:
        """Write a record, with a read only if the object's revision is not known.

        Raises:
            StoreError: If the store has not confirmed the write.
        """
        self._written = record
        key = member_key(record.daemon.name)
        value = to_json(record)
        try:
            await self._replace(key, value)
        except (VersionConflict, StoreRestored):
            self._own_revision = None
            await self._replace(key, value)
        if self._is_lost:
            return  # The era has risen since; the record is written again.
        self._stored_recency = record.recency
        await self._record_stored.set()
        self._record_stored.clear()

    async def _replace(self, key: str, value: bytes) -> None:
        store = self._context.store
        era: int | None = self._context.view.era or None
        # Until the store answers, the write may or may not have taken effect.
        revision, self._own_revision = self._own_revision, None
        if revision is None:
            stored = await store.read(key)
            revision = 0 if stored is None else stored.revision
            era = stored.era if stored is not None else era
            if stored is not None and stored.value == value:
                self._own_revision = revision
                return
        if revision:
            own_revision = await store.update(key, value, revision, era)
        else:
            own_revision = await store.create(key, value, era)
        if not self._is_lost:
            self._own_revision = own_revision

    async def _learn_history(self) -> None:
        """Read what earlier daemons of this VM knew, before their record is replaced.

        Raises:
            StoreError: If the store gives no answer.
        """
        if self._context.is_history_known:
            return
        name = self._context.settings.name
        earlier = await read_earlier_record(self._context.store, name)
        if earlier is not None:
            await self._records.learn_history(earlier)
        self._context.is_history_known = True

    async def _wait_stored(self, record: MemberRecord) -> None:
        while self._stored_recency < record.recency:
            await self._record_stored.wait()


def _gone_record(record: MemberRecord) -> MemberRecord:
    """Return the record that tells of a member's end; it is newer than its last one."""
    return replace(
        record, phase=DaemonPhase.GONE, targets=(), sequence=record.sequence + 1
    )


async def read_earlier_record(store: ObjectStore, name: str) -> MemberRecord | None:
    """Read the record that an earlier process of a daemon has left.

    Args:
        store: The platform's object store.
        name: The daemon's name.

    Returns:
        The record; None if there is none or it can't be read.

    Raises:
        StoreError: If the store gives no answer.
    """
    return (await read_earlier_record_and_era(store, name))[0]


async def read_earlier_record_and_era(
    store: ObjectStore, name: str
) -> tuple[MemberRecord | None, int]:
    """Read the record that an earlier process has left, and the era of the store.

    Args:
        store: The platform's object store.
        name: The daemon's name.

    Returns:
        The record, as for `read_earlier_record`, and the era; 0 if it is unknown.

    Raises:
        StoreError: If the store gives no answer.
    """
    stored = await store.read(member_key(name))
    if stored is None:
        return None, 0
    records = read_members(Listing((stored,), stored.revision))
    return (records[0] if records else None), stored.era


def next_incarnation(earlier: MemberRecord | None, era: int = 0) -> int:
    """Choose the incarnation of a starting daemon.

    Incarnations come from the wall clock, and a new VM's clock may lag behind that
    of the VM it replaces. Then the next number after the stored record's is taken.

    Args:
        earlier: The record that an earlier process has left in the store, if any.
        era: Era of the store in which it was read.

    Returns:
        A number above that of any earlier process that the store has a record of.
    """
    own_incarnation = new_incarnation()
    if earlier is None or own_incarnation > earlier.daemon.incarnation:
        return own_incarnation
    return incarnation_after(earlier.daemon.incarnation, era, random.Random())
