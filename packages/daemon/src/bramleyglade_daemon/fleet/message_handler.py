"""Handlers for the messages that open a stream."""

from __future__ import annotations

import logging
from dataclasses import replace
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Any

import curio

from bramleyglade_adapters.link.link import Link, LinkLost
from bramleyglade_core.decisions.link_delay import MAX_DELAY_SECONDS, LinkDelay
from bramleyglade_core.model.ejections import EjectionAsked
from bramleyglade_core.model.errors import BadInput, ErrorCode, FleetError
from bramleyglade_core.model.exchange import AttemptFailed, AttemptOffered
from bramleyglade_core.model.peer_messages import (
    Acknowledged,
    BatchAsked,
    BatchTold,
    ChangesAsked,
    HeartbeatAnswered,
    HeartbeatSent,
    LeavingTold,
    LookAsked,
    OutcomeAsked,
    RecordDigestsAsked,
    RecordDigestsTold,
    RecordsAsked,
    RecordsTold,
    RetriesAsked,
    RetriesLent,
    ServiceLoadTold,
    SightAsked,
    StoreReadTold,
    SuspicionTold,
    TargetViewTold,
)
from bramleyglade_core.model.shares import (
    BookHandedOver,
    HoldingsAsked,
    ShareAsked,
    ShareRecalled,
)
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.streams import GuardStream, LinkSender, ViewSender

if TYPE_CHECKING:
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.keepers import Keepers
    from bramleyglade_daemon.fleet.member_records import MemberRecords
    from bramleyglade_daemon.fleet.membership import Membership
    from bramleyglade_daemon.fleet.peers import Peers
    from bramleyglade_daemon.fleet.shared_state import SharedState
    from bramleyglade_daemon.guard.guard import Guard

_RECORDS_PER_MESSAGE = 200
"""Member records in one message; well below the size limit of a link."""

_LOG = logging.getLogger(__name__)


class MessageHandler:
    """Dispatches each message to a handler by its type.

    Handlers run in the task of the link and must not wait for long; work that may
    take time gets its own task.
    """

    def __init__(
        self,
        context: Context,
        peers: Peers,
        membership: Membership,
        records: MemberRecords,
        shared: SharedState,
        keepers: Keepers,
        guard: Guard,
    ) -> None:
        self._context = context
        self._peers = peers
        self._membership = membership
        self._records = records
        self._shared = shared
        self._keepers = keepers
        self._guard = guard
        self._delay_by_peer: dict[DaemonId, LinkDelay] = {}

    async def handle(self, link: Link, stream: int, message: Any) -> None:
        """Handle the first message of a stream."""
        assert link.peer is not None
        self._peers.mark_seen(link.peer.daemon.name)
        await self._handle(message, link, stream)

    @singledispatchmethod
    async def _handle(self, message: Any, link: Link, stream: int) -> None:
        # Late messages of a stream that has ended arrive here too.
        _LOG.debug("MessageDropped", extra={"kind": type(message).__name__})

    @_handle.register
    async def _(self, message: HeartbeatSent, link: Link, stream: int) -> None:
        await self._shared.note_revision(link, message.revision, message.era)
        self._context.region_contact.learn(message.regions, self._context.clock())
        lease = self._context.lease
        answer = HeartbeatAnswered(
            revision=self._context.view.revision,
            members_digest=self._context.directory.digest,
            lease_seconds=lease.remaining_seconds,
            fresh_seconds=lease.fresh_seconds,
            views=self._views_for(link),
            loads=self._loads_for(link),
            zones=self._context.zone_loads.report_for(
                link.peer_name, self._context.clock()
            ),
            era=self._context.view.era,
            whole_ticket=self._context.configuration.whole_ticket,
        )
        await self._send_answer(link, stream, answer)

    @_handle.register
    async def _(self, message: BatchAsked, link: Link, stream: int) -> None:
        await self._send_answer(
            link, stream, self._shared.batches.batch_for_peer(message)
        )

    @_handle.register
    async def _(self, message: ChangesAsked, link: Link, stream: int) -> None:
        await self._send_answer(
            link, stream, self._shared.batches.changes_for_peer(message)
        )

    @_handle.register
    async def _(self, message: BatchTold, link: Link, stream: int) -> None:
        try:
            is_applied = await self._shared.batches.apply(link, message)
        except BadInput as error:
            # The link goes on, as requests are on it.
            extra = {"peer": link.peer_name, "why": str(error)}
            _LOG.error("BatchUnreadable", extra=extra)
            return
        if not is_applied:
            await curio.spawn(self._shared.batches.pull, link, daemon=True)

    @_handle.register
    async def _(self, message: StoreReadTold, link: Link, stream: int) -> None:
        await self._shared.handle_store_read(link, message)

    @_handle.register
    async def _(self, message: RecordsAsked, link: Link, stream: int) -> None:
        directory = self._context.directory
        records = directory.digests.records(message.digests)
        if not message.digests:
            records = tuple(directory.record_by_name.values())
        size = _RECORDS_PER_MESSAGE
        chunks = [records[i : i + size] for i in range(0, len(records), size)] or [()]
        for chunk in chunks[1:]:
            await link.send_one_way(RecordsTold(chunk))
        await self._send_answer(link, stream, RecordsTold(chunks[0]))

    @_handle.register
    async def _(self, message: RecordsTold, link: Link, stream: int) -> None:
        await self._records.merge(message.records, link.peer_name)

    @_handle.register
    async def _(self, message: RecordDigestsAsked, link: Link, stream: int) -> None:
        digests = self._context.directory.digests.differing(message.buckets)
        await self._send_answer(link, stream, RecordDigestsTold(digests))

    @_handle.register
    async def _(self, message: RecordDigestsTold, link: Link, stream: int) -> None:
        if self._context.directory.digests.unknown(message.digests):
            await curio.spawn(
                self._records.request_unknown, link, message.digests, daemon=True
            )

    @_handle.register
    async def _(self, message: RetriesAsked, link: Link, stream: int) -> None:
        budgets = self._context.retry_budgets
        lent = budgets.lend(message.service, message.retries, self._context.clock())
        await self._send_answer(link, stream, RetriesLent(message.service, lent))

    @_handle.register
    async def _(self, message: LeavingTold, link: Link, stream: int) -> None:
        await self._records.handle_leaving(message)

    @_handle.register
    async def _(self, message: SuspicionTold, link: Link, stream: int) -> None:
        assert link.peer is not None
        await self._membership.handle_suspicion(message, link.peer.daemon.name)

    @_handle.register
    async def _(self, message: LookAsked, link: Link, stream: int) -> None:
        await curio.spawn(self._answer_probe, message, link, stream, daemon=True)

    @_handle.register
    async def _(self, message: SightAsked, link: Link, stream: int) -> None:
        await curio.spawn(self._answer_store_report, link, stream, daemon=True)

    @_handle.register
    async def _(self, message: ShareAsked, link: Link, stream: int) -> None:
        if self._keepers.is_keeper_of(message.team):
            await self._send_answer(
                link, stream, await self._keepers.answer_share(message)
            )
        else:
            await curio.spawn(self._relay_share, message, link, stream, daemon=True)

    @_handle.register
    async def _(self, message: HoldingsAsked, link: Link, stream: int) -> None:
        if self._keepers.on_holdings_asked is not None:
            await self._send_answer(
                link, stream, self._keepers.on_holdings_asked(message.shard)
            )

    @_handle.register
    async def _(self, message: ShareRecalled, link: Link, stream: int) -> None:
        if self._keepers.on_recalled is not None:
            self._keepers.on_recalled(message.team)

    @_handle.register
    async def _(self, message: EjectionAsked, link: Link, stream: int) -> None:
        await self._send_answer(link, stream, self._keepers.answer_ejection(message))

    @_handle.register
    async def _(self, message: BookHandedOver, link: Link, stream: int) -> None:
        await self._keepers.receive_handover(message)
        await self._send_answer(link, stream, Acknowledged())

    @_handle.register
    async def _(self, message: AttemptOffered, link: Link, stream: int) -> None:
        assert link.peer is not None
        self._peers.note_offer(link)
        sender = ViewSender(link, stream, partial(self._guard.view_of, message.target))
        guard_stream = self._guard_stream(link, stream, sender)
        peer = link.peer.daemon
        delay = self._delay_by_peer.setdefault(peer, LinkDelay())
        delay_seconds = delay.note(message.sent_at, self._context.clock())
        if delay_seconds > MAX_DELAY_SECONDS:
            await self._refuse_late(message, guard_stream, delay_seconds)
            return
        remaining_seconds = max(0.0, message.deadline_seconds - delay_seconds)
        await self._guard.accept(
            replace(message, deadline_seconds=remaining_seconds), guard_stream
        )

    @_handle.register
    async def _(self, message: OutcomeAsked, link: Link, stream: int) -> None:
        sender = LinkSender(link, stream, is_answer=True)
        guard_stream = self._guard_stream(link, stream, sender)
        send_outcome = self._guard.outcomes.send_outcome
        await curio.spawn(send_outcome, message.offered, guard_stream, daemon=True)

    def _views_for(self, link: Link) -> tuple[TargetViewTold, ...]:
        """Return target views for a peer that sends requests here or may soon."""
        is_small = len(self._context.directory.record_by_name) <= 2 * (
            self._context.settings.peers.fanout
        )
        may_send = is_small and not self._peers.is_far(link)
        is_sender = may_send or self._peers.is_recent_sender(link)
        return self._guard.views() if is_sender else ()

    def _loads_for(self, link: Link) -> tuple[ServiceLoadTold, ...]:
        """Return the load of services in use here, for neighbours in this region."""
        if not self._peers.is_neighbour(link) or self._peers.is_far(link):
            return ()
        return self._context.loads.told(self._context.clock())

    @_handle.register
    async def _(self, message: TargetViewTold, link: Link, stream: int) -> None:
        assert link.peer is not None
        self._context.update_views(link.peer.daemon.name, (message,))

    async def _refuse_late(
        self, offered: AttemptOffered, stream: GuardStream, delay_seconds: float
    ) -> None:
        """Refuse a delayed offer, whose front may have given it up by now."""
        self._guard.attempts.fence(offered.attempt)
        extra = {"request": offered.request_id, "seconds": round(delay_seconds, 3)}
        _LOG.info("OfferLate", extra=extra)
        failed = AttemptFailed(
            ErrorCode.ATTEMPT_LATE,
            f"the offer was delayed by {delay_seconds:.2f} s in transit",
            Verdict.NOT_RUN,
        )
        try:
            await stream.send(failed)
        except FleetError as error:
            _LOG.debug("FrontUnreachable", extra={"why": str(error)})

    def _guard_stream(self, link: Link, stream: int, sender: LinkSender) -> GuardStream:
        window = self._context.settings.peers.window_bytes
        guard_stream = GuardStream(sender, window)
        link.accept_stream(stream, guard_stream)
        return guard_stream

    async def _relay_share(self, request: ShareAsked, link: Link, stream: int) -> None:
        await self._send_answer(link, stream, await self._keepers.relay_share(request))

    async def _answer_probe(self, request: LookAsked, link: Link, stream: int) -> None:
        await self._send_answer(
            link, stream, await self._membership.probe_member(request)
        )

    async def _answer_store_report(self, link: Link, stream: int) -> None:
        await self._send_answer(link, stream, await self._shared.report_store_contact())

    async def _send_answer(self, link: Link, stream: int, message: Any) -> None:
        try:
            await link.post(stream, True, message)
        except LinkLost:
            _LOG.debug("AnswerUndelivered", extra={"kind": type(message).__name__})
