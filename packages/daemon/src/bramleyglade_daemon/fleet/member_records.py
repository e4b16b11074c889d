"""Exchange of member records with peers: announcements, requests and comparisons."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.record_digests import digest_of
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.peer_messages import (
    LeavingTold,
    RecordDigestsAsked,
    RecordDigestsTold,
    RecordsAsked,
    RecordsTold,
)
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.model.announcements import MemberRecord, TargetRun
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_RELAY_DELAY_SECONDS = 0.02
"""Time in which changes are collected before their digests are passed on."""

_RELAY_PAUSE_SECONDS = 0.1
"""Least time between two batches. When a fleet starts, hundreds of records change, and
each batch is a message to each neighbour."""

_REQUEST_TIMEOUT_SECONDS = 1.0
"""Timeout of a request for records; the next comparison finds what is still missing."""

_RECORDS_PER_REQUEST = 200
"""Records in one answer; well below the size limit of a link."""

_LOG = logging.getLogger(__name__)


class MemberRecords:
    """Keeps the directory equal to the peers' at the cost of what changes.

    A daemon sends its own new record to its neighbours. What a daemon learns, it
    passes on as digests of 8 bytes, and peers ask for the records that they lack.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._unrelayed: dict[int, str] = {}
        """Digests to pass on, with the peer that each came from."""
        self._has_unrelayed = curio.Event()
        self._requested: set[int] = set()
        """Digests whose records have been requested and have not arrived."""
        self.changed = curio.Event()
        """Set when this daemon's own record has changed."""
        self.members_changed = curio.Event()
        """Set when a merge has changed who is a member."""
        self.on_history: Callable[[Iterable[TargetRun]], Awaitable[None]] | None = None
        """Called with runs of this VM's targets that earlier daemons knew."""
        self.on_predecessor: Callable[[MemberRecord], Awaitable[None]] | None = None
        """Called with the record of a daemon that listened at this one's address."""

    async def publish(self) -> None:
        """Renew this daemon's record and send it to neighbours and the store."""
        record = self._context.renew_record()
        await self._peers.send_to_neighbours(RecordsTold((record,)))
        await self.changed.set()

    async def merge(self, records: Iterable[MemberRecord], source: str) -> None:
        """Merge records and pass on the digests of those that are new.

        Args:
            records: Records from the store or from a peer.
            source: Name of the peer; empty for the store.
        """
        records = tuple(records)
        for record in records:
            if self._is_earlier_self(record):
                await self.learn_history(record)
        directory = self._context.directory
        members_version = directory.members_version
        for record in records:
            if not directory.merge(record):
                continue
            self._unrelayed[digest_of(record)] = source
            if record.daemon.name == self._context.settings.name:
                await self._refute(record)
            elif self._is_predecessor(record) and self.on_predecessor is not None:
                await self.on_predecessor(record)
        if self._unrelayed:
            await self._has_unrelayed.set()
        if directory.members_version != members_version:
            await self.members_changed.set()

    async def learn_history(self, record: MemberRecord) -> None:
        """Learn what an earlier daemon of this VM knew of its targets."""
        self._context.note_earlier_record(record)
        if self.on_history is not None:
            await self.on_history(record.runs)

    async def relay_changes(self) -> None:
        """Pass on the digests of changed records in batches, until cancelled."""
        while True:
            await self._has_unrelayed.wait()
            await curio.sleep(_RELAY_DELAY_SECONDS)
            self._has_unrelayed.clear()
            unrelayed, self._unrelayed = self._unrelayed, {}
            for link in self._peers.neighbour_links():
                name = link.peer_name
                digests = tuple(d for d, source in unrelayed.items() if source != name)
                if digests:
                    await link.send_one_way(RecordDigestsTold(digests))
            await curio.sleep(_RELAY_PAUSE_SECONDS)

    async def request_unknown(self, link: Link, digests: Iterable[int]) -> None:
        """Request those records from a peer that this daemon lacks.

        Args:
            link: The link to the peer.
            digests: Digests of records that the peer has.
        """
        unknown = self._context.directory.digests.unknown(digests)
        wanted = [digest for digest in unknown if digest not in self._requested]
        self._requested.update(wanted)
        try:
            for start in range(0, len(wanted), _RECORDS_PER_REQUEST):
                piece = tuple(wanted[start : start + _RECORDS_PER_REQUEST])
                answer = await link.call(RecordsAsked(piece), _REQUEST_TIMEOUT_SECONDS)
                await self.merge(expect(answer, RecordsTold).records, link.peer_name)
        except FleetError as error:
            extra = {"peer": link.peer_name, "why": error.detail}
            _LOG.info("RecordsUnanswered", extra=extra)
        finally:
            self._requested.difference_update(wanted)

    async def reconcile(self, link: Link) -> None:
        """Compare the records with a peer's and request those that differ."""
        digests = self._context.directory.digests
        request = RecordDigestsAsked(tuple(digests.bucket_digests))
        try:
            answer = await link.call(request, _REQUEST_TIMEOUT_SECONDS)
            told = expect(answer, RecordDigestsTold)
        except FleetError as error:
            extra = {"peer": link.peer_name, "why": error.detail}
            _LOG.info("RecordsUnanswered", extra=extra)
            return
        await self.request_unknown(link, told.digests)

    async def greet(self, link: Link, record: MemberRecord) -> None:
        """Send a peer what it may have forgotten, and merge its record."""
        name = record.daemon.name
        known = self._context.directory.leaving_runs(name)
        forgotten = tuple(run for run in known if run not in record.runs)
        if forgotten:
            await link.send_one_way(LeavingTold(name, forgotten))
        await self.merge((record,), name)

    async def handle_leaving(self, told: LeavingTold) -> None:
        """Note which targets of a VM leave; of this VM, for an earlier daemon."""
        if told.daemon != self._context.settings.name:
            self._context.directory.note_leaving(told.daemon, told.runs)
        elif self.on_history is not None:
            await self.on_history(told.runs)

    def _is_predecessor(self, record: MemberRecord) -> bool:
        """Return whether a record is of a daemon whose address this one now has."""
        is_at_own_address = record.address == self._context.settings.peer_address
        return is_at_own_address and record.phase is not DaemonPhase.GONE

    def _is_earlier_self(self, record: MemberRecord) -> bool:
        own = self._context.daemon
        return record.daemon.name == own.name and record.daemon < own

    async def _refute(self, record: MemberRecord) -> None:
        """Publish a newer record, since an outdated one for this name circulates."""
        if record.daemon.incarnation > self._context.daemon.incarnation:
            _LOG.error("NameTaken", extra={"incarnation": record.daemon.incarnation})
            return
        await self.publish()
