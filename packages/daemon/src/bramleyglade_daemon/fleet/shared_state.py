"""Configuration and lease: from the store, and relayed from peer to peer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.store.shared_objects import (
    SHARED_PREFIX,
    assignments_from_bytes,
    assignments_to_bytes,
    read_batch,
    states_from_bytes,
    states_to_bytes,
)
from bramleyglade_core.decisions.lease import (
    StoreReport,
    is_reached_by_majority,
    is_unreachable_for_majority,
)
from bramleyglade_core.decisions.rendezvous import spread
from bramleyglade_core.decisions.shared_view import SharedBatch
from bramleyglade_core.model.errors import FleetError, StoreError
from bramleyglade_core.model.peer_messages import (
    BatchAsked,
    BatchTold,
    SightAsked,
    SightTold,
)
from bramleyglade_core.model.settings import OutagePolicy
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.model.peer_messages import HeartbeatAnswered
    from bramleyglade_core.ports.store import Listing
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_ANSWER_SECONDS = 1.0
"""Longest wait for a peer's word."""

SIGHT_FRESH_SECONDS = 1.5
"""Age up to which a daemon's last contact with the store speaks for now."""

_LONGEST_PAUSE_SECONDS = 5.0

_LOG = logging.getLogger(__name__)


class SharedState:
    """Keeps this daemon's view of the store, and its lease, up to date."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._was_valid = False
        self._has_store = False
        """Whether the newest call to the store was answered."""
        self._pulling: set[str] = set()
        self.on_extended: Callable[[float, float], None] | None = None
        """Called with the times of asking and of the end of each extension."""
        self.on_changed: Callable[[], Awaitable[None]] | None = None
        """Called when a new revision has come into force."""

    async def run(self) -> None:
        """Follow the store, directly or through peers, for ever."""
        pause = self._context.settings.lease.refresh_seconds
        while True:
            self._log_lapse()
            if await self._refresh():
                pause = self._context.settings.lease.refresh_seconds
                continue
            await self._extend()
            await curio.sleep(pause * self._context.random.uniform(0.5, 1.0))
            pause = min(1.5 * pause, self._longest_pause)

    @property
    def _longest_pause(self) -> float:
        third = self._context.settings.lease.term_seconds / 3
        return min(_LONGEST_PAUSE_SECONDS, third)

    async def take_heartbeat(
        self, link: Link, told: HeartbeatAnswered, sent_at: float
    ) -> None:
        """Learn from a peer's answer: its revision, and what its lease has left.

        Args:
            link: The link to the peer.
            told: The peer's answer.
            sent_at: Time of this process's clock before the heartbeat was sent.
        """
        view = self._context.view
        view.note_revision(told.revision)
        if told.revision > view.revision:
            await self.pull(link)
        if told.lease_seconds > 0 and view.is_current(told.revision):
            self._context.lease.adopt(sent_at, told.lease_seconds, told.fresh_seconds)

    async def pull(self, link: Link) -> None:
        """Fetch from a peer what this daemon lacks."""
        assert link.peer is not None
        name = link.peer.daemon.name
        if name in self._pulling:
            return
        self._pulling.add(name)
        try:
            asked = BatchAsked(self._context.view.revision)
            answer = await link.call(asked, _ANSWER_SECONDS)
            await self.take_batch(link, expect(answer, BatchTold))
        except FleetError as error:
            _LOG.info("PullFailed", extra={"peer": name, "why": str(error)})
        finally:
            self._pulling.discard(name)

    async def take_batch(self, link: Link, told: BatchTold) -> bool:
        """Merge what a peer relays; False if it leaves a gap."""
        assert link.peer is not None
        batch = SharedBatch(
            told.after,
            told.up_to,
            states_from_bytes(told.states),
            assignments_from_bytes(told.assignments),
            told.whole_ticket,
        )
        return await self._apply(batch, link.peer.daemon.name)

    def tell_batch(self, after: int) -> BatchTold:
        """Return what a peer that holds a revision lacks."""
        return _told(self._context.view.batch_after(after))

    async def tell_sight(self) -> SightTold:
        """Return this daemon's own word about the store, trying it if need be."""
        if self._context.contact.seconds_since_last_call() > SIGHT_FRESH_SECONDS:
            await self._read_store()
        report = self._context.contact.report()
        return SightTold(report.is_away, report.reached_for_seconds)

    async def read_now(self) -> None:
        """Read the store at once, as something there is known to have changed."""
        await self._read_store()

    async def is_reached_by_majority(self, for_seconds: float) -> bool:
        """Tell whether most of a sample have reached the store all along.

        Where no lease is ever extended, waiting out its term is enough.
        """
        if self._context.settings.lease.outage is OutagePolicy.STOP:
            return True
        sights = await self._ask_sample()
        return is_reached_by_majority(sights, for_seconds)

    async def _refresh(self) -> bool:
        """Gain fresh evidence; False if there is none to be had."""
        lease = self._context.lease
        if self._is_watcher():
            return await self._watch_store()
        settings = self._context.settings.lease
        least = settings.term_seconds - settings.stale_seconds
        if not lease.is_extended and lease.fresh_seconds > least:
            await curio.sleep(settings.refresh_seconds)
            return True
        return await self._read_store()

    def _is_watcher(self) -> bool:
        serving = self._context.directory.serving_names()
        own = self._context.settings.name
        # Over all zones, so that no cut and no lost zone takes them all.
        readers = self._context.settings.lease.readers
        return own in spread("watchers", self._zones_of(serving), readers)

    async def _watch_store(self) -> bool:
        view = self._context.view
        settings = self._context.settings.lease
        wait = settings.refresh_seconds
        if self._context.lease.is_extended:
            return await self._read_store()
        if not settings.has_watches:
            await curio.sleep(wait)
            return await self._read_store()
        try:
            after = view.revision
            asked_at = self._context.clock()
            listing = await self._context.store.watch(SHARED_PREFIX, after, wait)
        except StoreError as error:
            self._note_store_lost(error)
            return False
        return await self._take_listing(listing, after, asked_at)

    async def _read_store(self) -> bool:
        asked_at = self._context.clock()
        after = self._context.view.revision
        try:
            listing = await self._context.store.list_changed(SHARED_PREFIX, after)
        except StoreError as error:
            self._note_store_lost(error)
            return False
        return await self._take_listing(listing, after, asked_at)

    def _note_store_lost(self, error: StoreError) -> None:
        self._context.contact.note_failure()
        if self._has_store:
            self._has_store = False
            extra = {"why": str(error), "revision": self._context.view.revision}
            _LOG.warning("StoreLost", extra=extra)

    async def _take_listing(
        self, listing: Listing, after: int, asked_at: float
    ) -> bool:
        self._context.contact.note_success(asked_at)
        if not self._has_store:
            self._has_store = True
            _LOG.info("StoreReached", extra={"revision": listing.revision})
        await self._apply(read_batch(listing, after), source="")
        if not self._context.view.is_current(listing.revision):
            return False
        self._context.lease.renew(asked_at)
        return True

    async def _apply(self, batch: SharedBatch, source: str) -> bool:
        view = self._context.view
        before, known = view.revision, view.configuration
        if not view.apply(batch):
            return False
        if view.revision == before and view.configuration is known:
            return True
        if batch.states or batch.assignments:
            extra = {"revision": view.revision, "source": source or "store"}
            _LOG.info("RevisionInForce", extra=extra)
        # A change that was seen late lies below the revision held already.
        news = view.batch_after(min(before, batch.after))
        await self._peers.tell_all(_told(news), beside=source)
        if self.on_changed is not None:
            await self.on_changed()
        return True

    async def _extend(self) -> None:
        """Extend an unbroken lease as the policy for outages says."""
        lease = self._context.lease
        policy = self._context.settings.lease.outage
        if policy is OutagePolicy.STOP or not lease.is_valid:
            return
        asked_at = self._context.clock()
        if policy is OutagePolicy.MAJORITY:
            if not is_unreachable_for_majority(await self._ask_sample()):
                return
        if lease.extend(asked_at) and self.on_extended is not None:
            term = self._context.settings.lease.term_seconds
            self.on_extended(asked_at, asked_at + term)

    async def _ask_sample(self) -> list[StoreReport | None]:
        """Ask members drawn over all zones; this daemon counts as one of them."""
        own = self._context.settings.name
        told = await self.tell_sight()
        sights: list[StoreReport | None] = [
            StoreReport(told.is_away, told.reached_for_seconds)
        ]
        tasks = [
            await curio.spawn(self._ask_sight, name)
            for name in self._sample()
            if name != own
        ]
        sights += [await task.join() for task in tasks]
        return sights

    async def _ask_sight(self, name: str) -> StoreReport | None:
        try:
            answer = await self._peers.call(name, SightAsked(), _ANSWER_SECONDS)
            told = expect(answer, SightTold)
        except FleetError:
            return None
        return StoreReport(told.is_away, told.reached_for_seconds)

    def _sample(self) -> list[str]:
        """Choose members by turns from each zone; always the same ones."""
        own = self._context.settings.name
        names = self._context.directory.member_names()
        size = self._context.settings.lease.sample_size
        return spread(own, self._zones_of(names), size)

    def _zones_of(self, names: list[str]) -> dict[str, str]:
        records = self._context.directory.record_by_name
        return {name: records[name].zone for name in names}

    def _log_lapse(self) -> None:
        is_valid = self._context.lease.is_valid
        if is_valid != self._was_valid:
            event = "LeaseGained" if is_valid else "LeaseLapsed"
            _LOG.warning(event, extra={"revision": self._context.view.revision})
            self._context.telemetry.note_event(event)
        self._was_valid = is_valid


def _told(batch: SharedBatch) -> BatchTold:
    return BatchTold(
        batch.after,
        batch.up_to,
        states_to_bytes(batch.states),
        assignments_to_bytes(batch.assignments),
        batch.whole_ticket,
    )
