"""Configuration and lease, from the store or relayed by peers."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.store.shared_objects import SHARED_PREFIX, read_batch
from bramleyglade_core.decisions.lease import (
    StoreReport,
    is_reached_by_majority,
    is_unreachable_for_majority,
)
from bramleyglade_core.decisions.read_silence import ReadSilence
from bramleyglade_core.decisions.rendezvous import spread
from bramleyglade_core.decisions.store_era import EraChange
from bramleyglade_core.model.errors import FleetError, StoreError, StoreRestored
from bramleyglade_core.model.peer_messages import (
    BatchAsked,
    BatchTold,
    SightAsked,
    SightTold,
    StoreReadTold,
)
from bramleyglade_core.model.settings import OutagePolicy
from bramleyglade_daemon.fleet.era_survey import NOTHING_AFTER
from bramleyglade_daemon.fleet.gather import gather
from bramleyglade_daemon.fleet.peer_batches import PeerBatches
from bramleyglade_daemon.fleet.peers import expect
from bramleyglade_daemon.fleet.revision_lag import RevisionLag
from bramleyglade_daemon.fleet.unreadable_changes import UnreadableChanges

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.decisions.shared_view import SharedBatch
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.peer_messages import HeartbeatAnswered
    from bramleyglade_core.ports.store import Listing
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_ANSWER_TIMEOUT_SECONDS = 1.0
"""Timeout of a call to a peer."""

STORE_REPORT_MAX_AGE_SECONDS = 1.5
"""Age up to which a daemon reports its last call to the store without a new one."""

_MAX_BACKOFF_SECONDS = 5.0

_FIRST_EVIDENCE_SECONDS = 2.5
"""Time from its start in which a daemon waits for peers to pass on what they read."""

_FIRST_EVIDENCE_POLL_SECONDS = 0.1

_LOG = logging.getLogger(__name__)


class SharedState:
    """Keeps this daemon's view of the store and its lease up to date."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._was_lease_valid = False
        self._is_store_reachable = False
        """Whether the latest call to the store was answered."""
        self._unreadable = UnreadableChanges(context)
        self.batches = PeerBatches(context, peers, self._apply)
        self._lag = RevisionLag(context, self.batches.changes)
        self._compared_era_by_peer: dict[str, tuple[DaemonId, int]] = {}
        """Era in which the configuration was last compared with a peer's process."""
        self._comparing_with: set[str] = set()
        self._started_at = context.clock()
        self._silence = ReadSilence(
            context.settings.lease, context.clock(), context.random
        )
        self._read_count = 0
        self._watchers: frozenset[str] = frozenset()
        self._watcher_version = -1
        """Version of the directory's members that the watchers were chosen from."""
        self.on_lease_extended: Callable[[float, float], None] | None = None
        """Called with the request time and the end of each lease extension."""
        self.on_changed: Callable[[], Awaitable[None]] | None = None
        """Called when a new revision has come into force."""
        self.on_era: list[Callable[[EraChange], Awaitable[None]]] = []
        """Called when the store's era has risen."""

    async def run(self) -> None:
        """Follow the store, directly or through peers, until cancelled."""
        backoff = self._context.settings.lease.refresh_seconds
        while True:
            self._log_lease_change()
            self._lag.check()
            await self._release_zones()
            if await self._refresh_lease():
                backoff = self._context.settings.lease.refresh_seconds
                continue
            await self._extend_lease()
            await curio.sleep(backoff * self._context.random.uniform(0.5, 1.0))
            backoff = min(1.5 * backoff, self._max_backoff)

    @property
    def _max_backoff(self) -> float:
        third = self._context.settings.lease.term_seconds / 3
        return min(_MAX_BACKOFF_SECONDS, third)

    async def apply_heartbeat_answer(
        self, link: Link, answer: HeartbeatAnswered, sent_at: float
    ) -> None:
        """Adopt the peer's remaining lease, once its revision is in force here.

        Heartbeats don't wait for the transfer of a newer revision.

        Args:
            link: The link to the peer.
            answer: The peer's answer.
            sent_at: Time before the heartbeat was sent, by this process's clock,
                in seconds.
        """
        view = self._context.view
        await self.note_revision(link, answer.revision, answer.era)
        if answer.era != view.era:
            return
        # A daemon may have merged the revision without the version in force: the store
        # has no earlier one than the newest, which it may be unable to decode.
        view.note_ticket(answer.whole_ticket)
        is_ticket_newer = answer.whole_ticket > view.configuration.whole_ticket
        if answer.revision > view.revision or is_ticket_newer:
            await curio.spawn(self._catch_up, link, answer, sent_at, daemon=True)
        else:
            await self._adopt_lease(link, answer, sent_at)

    async def _catch_up(
        self, link: Link, answer: HeartbeatAnswered, sent_at: float
    ) -> None:
        await self.batches.pull(link)
        await self._adopt_lease(link, answer, sent_at)

    async def _adopt_lease(
        self, link: Link, answer: HeartbeatAnswered, sent_at: float
    ) -> None:
        view = self._context.view
        if answer.era:
            await self._compare_configuration(link)
        if self._awaits_configuration():
            return
        if answer.lease_seconds > 0 and view.is_current(answer.revision, answer.era):
            self._context.lease.adopt(
                sent_at, answer.lease_seconds, answer.fresh_seconds
            )

    async def note_revision(self, link: Link, revision: int, era: int) -> None:
        """Record which revision of the store a peer has seen."""
        await self._enter_era(era, 0, link.peer_name)
        self._context.view.note_revision(revision, era)

    async def handle_store_read(self, link: Link, message: StoreReadTold) -> None:
        """Note that a daemon has read the store, and pass that on."""
        await self.note_revision(link, message.revision, message.era)
        view = self._context.view
        if message.era < view.era:
            return
        if message.revision > view.revision:
            await curio.spawn(self.batches.pull, link, daemon=True)
        await self._tell_read(message.reader, message.number, link.peer_name)

    async def _tell_own_read(self) -> None:
        if self._context.settings.lease.silence_seconds is not None:
            self._read_count += 1
            await self._tell_read(self._context.daemon, self._read_count)

    async def _tell_read(
        self, reader: DaemonId, number: int, exclude: str = ""
    ) -> None:
        if self._silence.note_read(reader, number, self._context.clock()):
            view = self._context.view
            message = StoreReadTold(reader, number, view.revision, view.era)
            await self._peers.send_to_current_neighbours(message, exclude)

    async def report_store_contact(self) -> SightTold:
        """Report whether this daemon reaches the store, after a new call if needed."""
        if (
            self._context.contact.seconds_since_last_call()
            > STORE_REPORT_MAX_AGE_SECONDS
        ):
            await self._read_store()
        report = self._context.contact.report()
        return SightTold(report.is_away, report.reached_for_seconds)

    async def read_now(self) -> None:
        """Read the store at once, since something in it is known to have changed."""
        await self._read_store()

    async def is_reached_by_majority(self, for_seconds: float) -> bool:
        """Return whether a majority of a sample reached the store without a failure.

        If the outage policy never extends leases, waiting out their term is enough.
        """
        if self._context.settings.lease.outage is OutagePolicy.STOP:
            return True
        reports = await self._query_sample()
        return is_reached_by_majority(reports, for_seconds)

    async def _refresh_lease(self) -> bool:
        """Renew the lease from the store if due; False if a read failed or is old."""
        lease = self._context.lease
        if self._is_watcher():
            return await self._watch_store()
        if self.awaits_first_evidence:
            await curio.sleep(_FIRST_EVIDENCE_POLL_SECONDS)
            return True
        settings = self._context.settings.lease
        min_fresh_seconds = settings.term_seconds - settings.stale_seconds
        left_seconds = self._silence.seconds_left(self._context.clock())
        is_fresh = not lease.is_extended and lease.fresh_seconds > min_fresh_seconds
        if is_fresh and left_seconds > 0:
            await curio.sleep(min(settings.refresh_seconds, left_seconds))
            return True
        return await self._read_store()

    @property
    def awaits_first_evidence(self) -> bool:
        """Whether this daemon has just started and waits for evidence from peers.

        When a fleet starts, the store would otherwise be read by all of it at once.
        """
        if self._context.clock() >= self._started_at + _FIRST_EVIDENCE_SECONDS:
            return False
        if self._context.lease.is_valid:
            return False
        return self._context.discovered_at is None or bool(self._peers.open_links())

    def _is_watcher(self) -> bool:
        directory = self._context.directory
        if self._watcher_version != directory.members_version:
            self._watcher_version = directory.members_version
            # Spread over all zones, so that no partition or lost zone stops them all.
            zone_by_name = self._zones_of(directory.serving_names())
            readers = self._context.settings.lease.readers
            self._watchers = frozenset(spread("watchers", zone_by_name, readers))
        # Before the members are known, each daemon would take itself for a watcher.
        is_known = self._context.discovered_at is not None
        return is_known and self._context.settings.name in self._watchers

    async def _watch_store(self) -> bool:
        view = self._context.view
        settings = self._context.settings.lease
        wait = settings.refresh_seconds
        if self._context.lease.is_extended:
            return await self._read_store()
        if not settings.has_watches:
            await curio.sleep(wait)
            age = settings.term_seconds - self._context.lease.fresh_seconds
            if age < wait / 2:
                return True  # Another watcher has just read the store.
            return await self._read_store()
        try:
            after = view.revision
            asked_at = self._context.clock()
            listing = await self._context.store.watch(SHARED_PREFIX, after, wait)
        except StoreRestored as error:
            return await self._read_restored(error)
        except StoreError as error:
            self._record_store_failure(error)
            return False
        return await self._apply_listing(listing, after, asked_at)

    async def _read_store(self) -> bool:
        asked_at = self._context.clock()
        after = self._context.view.revision
        try:
            listing = await self._context.store.list_changed(SHARED_PREFIX, after)
        except StoreRestored as error:
            return await self._read_restored(error)
        except StoreError as error:
            self._record_store_failure(error)
            return False
        return await self._apply_listing(listing, after, asked_at)

    async def _read_restored(self, error: StoreRestored) -> bool:
        """Read a store from its first revision, since it has none of a later one."""
        await self._enter_era(error.era, 0, source="")
        asked_at = self._context.clock()
        try:
            listing = await self._context.store.list_changed(SHARED_PREFIX, 0)
        except StoreError as later_error:
            self._record_store_failure(later_error)
            return False
        return await self._apply_listing(listing, 0, asked_at)

    def _record_store_failure(self, error: StoreError) -> None:
        self._context.contact.note_failure()
        if self._is_store_reachable:
            self._is_store_reachable = False
            extra = {"why": str(error), "revision": self._context.view.revision}
            _LOG.warning("StoreLost", extra=extra)

    async def _apply_listing(
        self, listing: Listing, after: int, asked_at: float
    ) -> bool:
        self._context.contact.note_success(asked_at)
        if not self._is_store_reachable:
            self._is_store_reachable = True
            _LOG.info("StoreReached", extra={"revision": listing.revision})
        view = self._context.view
        if listing.era < view.era:
            extra = {"era": listing.era, "newest_era": view.era}
            _LOG.info("StoreAnswerOutdated", extra=extra)
            self._context.telemetry.note_event("StoreAnswerOutdated")
            return False
        if await self._enter_era(listing.era, listing.revision, source="") and after:
            # It has only the changes after a revision of the earlier era.
            return await self._read_store()
        if after > view.revision:
            return False  # The era began while the store was asked.
        batch = read_batch(listing, after)
        self._unreadable.note_batch(batch)
        await self._apply(batch, source="")
        await self._tell_own_read()
        # A change that could not be decoded may have withdrawn a key: the lease, which
        # bounds the time that such a key is accepted, is not renewed.
        if not view.is_current(listing.revision, listing.era):
            return False
        if self._awaits_configuration():
            return False
        self._context.lease.renew(asked_at)
        return True

    async def _apply(self, batch: SharedBatch, source: str) -> bool:
        view = self._context.view
        await self._enter_era(batch.era, batch.up_to, source)
        before, configuration = view.revision, view.configuration
        version_before = view.assignments_version
        if not view.apply(batch):
            return False
        is_same_configuration = view.configuration is configuration
        if not is_same_configuration:
            self._unreadable.note_configuration()
        # Keepers may change while the configuration can't be decoded; the view stays at
        # the revision before it then.
        is_same = is_same_configuration and view.assignments_version == version_before
        if view.revision == before and is_same:
            return True
        if batch.states or batch.assignments:
            extra = {"revision": view.revision, "source": source or "store"}
            _LOG.info("RevisionInForce", extra=extra)
        # A change that arrives late is below the revision already held.
        is_late = batch.era < view.era
        after = 0 if is_late else min(before, batch.after)
        # In a new era every daemon reads all once, when a heartbeat tells it the era.
        is_known = view.era and not before and configuration.state_by_key
        if is_late or not is_known:
            base_ticket = self.batches.base_to_tell(batch, configuration)
            is_urgent = _is_operators_change(configuration, view.configuration)
            await self.batches.pass_on(
                after, base_ticket, source, is_pulled=not is_urgent
            )
        if self.on_changed is not None:
            await self.on_changed()
        return True

    async def _enter_era(self, era: int, revision: int, source: str) -> bool:
        """Start over if the store's era has risen; return whether it has."""
        view = self._context.view
        before = (view.era, view.revision)
        if not view.enter_era(era, self._context.clock()):
            return False
        change = EraChange(before, (era, revision), source)
        extra = {
            "era_before": before[0],
            "revision_before": before[1],
            "era": era,
            "revision": revision,
            "source": source or "store",
        }
        if change.is_first:
            _LOG.info("StoreEraKnown", extra=extra)
        else:
            _LOG.warning("StoreEraChanged", extra=extra)
            self._context.telemetry.note_event("StoreEraChanged")
        for callback in self.on_era:
            await callback(change)
        return True

    async def _compare_configuration(self, link: Link) -> None:
        """Compare the configuration with a peer's, once in each era.

        A version that the store has lost is still in force, but may not have reached
        every daemon; revisions of the new era can't show that.
        """
        assert link.peer is not None
        peer, era = link.peer.daemon, self._context.view.era
        if self._compared_era_by_peer.get(peer.name) == (peer, era):
            return
        if peer.name in self._comparing_with:
            return
        self._comparing_with.add(peer.name)
        own = self._context.configuration
        try:
            # Only a whole ticket's number shows whether the peer's version is newer.
            everything = BatchAsked(0, self.batches.known_tickets())
            request = BatchAsked(NOTHING_AFTER) if own.whole_ticket else everything
            answer = await link.call(request, _ANSWER_TIMEOUT_SECONDS)
            told = expect(answer, BatchTold)
            if request.after and told.whole_ticket > own.whole_ticket:
                answer = await link.call(everything, _ANSWER_TIMEOUT_SECONDS)
                told = expect(answer, BatchTold)
            if not told.after:
                await self.batches.apply(link, await self.batches.completed(link, told))
            self._compared_era_by_peer[peer.name] = (peer, era)
        except FleetError as error:
            _LOG.info("PullFailed", extra={"peer": peer.name, "why": str(error)})
        finally:
            self._comparing_with.discard(peer.name)

    def _awaits_configuration(self) -> bool:
        """Return whether a peer may know a version that the store has lost.

        A daemon that starts after a restoration would otherwise accept keys that have
        been withdrawn. If no peer answers for a while, the store's version counts.
        """
        if not self._context.view.era or self._compared_era_by_peer:
            return False
        return self._context.clock() < self._started_at + _FIRST_EVIDENCE_SECONDS

    async def _release_zones(self) -> None:
        """Put zones back that were taken out before the store was restored."""
        view = self._context.view
        states = view.release_zones(self._context.clock())
        if not states:
            return
        names = sorted(state.key.name for state in states)
        extra = {"zones": names, "era": view.era, "revision": view.revision}
        _LOG.warning("ZonesReleased", extra=extra)
        # A state that was kept from an earlier era has revision 0.
        before = min(state.revision for state in states) - 1
        await self.batches.pass_on(max(0, before), view.configuration.whole_ticket)
        if self.on_changed is not None:
            await self.on_changed()

    async def _extend_lease(self) -> None:
        """Extend a valid lease if the outage policy permits."""
        lease = self._context.lease
        policy = self._context.settings.lease.outage
        if policy is OutagePolicy.STOP or not lease.is_valid:
            return
        asked_at = self._context.clock()
        if policy is OutagePolicy.MAJORITY:
            if not is_unreachable_for_majority(await self._query_sample()):
                return
        if lease.extend(asked_at) and self.on_lease_extended is not None:
            term = self._context.settings.lease.term_seconds
            self.on_lease_extended(asked_at, asked_at + term)

    async def _query_sample(self) -> list[StoreReport | None]:
        """Query members spread over all zones; this daemon is one of the sample."""
        own_name = self._context.settings.name
        own_report = await self.report_store_contact()
        reports = await gather(
            self._query_store_report(name)
            for name in self._sample_names()
            if name != own_name
        )
        return [
            StoreReport(own_report.is_away, own_report.reached_for_seconds),
            *reports,
        ]

    async def _query_store_report(self, name: str) -> StoreReport | None:
        try:
            answer = await self._peers.call(name, SightAsked(), _ANSWER_TIMEOUT_SECONDS)
            report = expect(answer, SightTold)
        except FleetError:
            return None
        return StoreReport(report.is_away, report.reached_for_seconds)

    def _sample_names(self) -> list[str]:
        """Choose members from each zone in turn; the same ones for equal membership."""
        own_name = self._context.settings.name
        names = self._context.directory.member_names()
        size = self._context.settings.lease.sample_size
        return spread(own_name, self._zones_of(names), size)

    def _zones_of(self, names: list[str]) -> dict[str, str]:
        records = self._context.directory.record_by_name
        return {name: records[name].zone for name in names}

    def _log_lease_change(self) -> None:
        is_valid = self._context.lease.is_valid
        if is_valid != self._was_lease_valid:
            event = "LeaseGained" if is_valid else "LeaseLapsed"
            _LOG.warning(event, extra={"revision": self._context.view.revision})
            self._context.telemetry.note_event(event)
        self._was_lease_valid = is_valid


def _is_operators_change(before: Configuration, after: Configuration) -> bool:
    """Return whether operators have written a version or taken zones out or back."""
    if after.whole_ticket > before.whole_ticket:
        return True
    return after.zone_by_name != before.zone_by_name
