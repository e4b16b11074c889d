"""Batches of changes in the store, as daemons pass them on and fetch them."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from bramleyglade_adapters.store.shared_objects import (
    assignments_from_bytes,
    states_from_bytes,
)
from bramleyglade_core.decisions.shared_view import SharedBatch
from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.peer_messages import (
    BatchAsked,
    BatchTold,
    ChangesAsked,
    ChangesTold,
)
from bramleyglade_daemon.fleet.peers import expect
from bramleyglade_daemon.fleet.ticket_changes import (
    PIECE_BYTES,
    TicketChanges,
    encode_batch,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_ANSWER_TIMEOUT_SECONDS = 1.0
"""Timeout of a call to a peer."""

_LOG = logging.getLogger(__name__)


class PeerBatches:
    """Tells peers what has changed in the store, and asks them for what is missing."""

    def __init__(
        self,
        context: Context,
        peers: Peers,
        merge: Callable[[SharedBatch, str], Awaitable[bool]],
    ) -> None:
        self._context = context
        self._peers = peers
        self._merge = merge
        """Merges a batch from a peer of a name; False if it would leave a gap."""
        self.changes = TicketChanges(context)
        """The changes of whole tickets."""
        self._is_pulling = False
        self._source_by_name: dict[str, Link] = {}
        """Peers to pull from, the last one to tell of a newer revision at the end."""

    async def pull(self, link: Link) -> None:
        """Fetch the changes that this daemon lacks, from one peer after another.

        Args:
            link: Link to a peer that knows of changes. If changes are being fetched
                already, it is asked after that, if it is still needed.
        """
        self._source_by_name[link.peer_name] = link
        if self._is_pulling:
            return
        self._is_pulling = True
        view = self._context.view
        try:
            while self._source_by_name:
                _, source = self._source_by_name.popitem()
                await self._pull_from(source)
                if view.is_current(view.revision, view.era):
                    self._source_by_name.clear()
        finally:
            self._is_pulling = False

    async def _pull_from(self, link: Link) -> None:
        try:
            # The first answer may begin after a ticket whose content differs here.
            if not await self._ask(link):
                await self._ask(link)
        except FleetError as error:
            _LOG.info("PullFailed", extra={"peer": link.peer_name, "why": str(error)})

    async def _ask(self, link: Link) -> bool:
        """Fetch and merge what a peer has; False if it could not be merged."""
        request = BatchAsked(self._context.view.revision, self.known_tickets())
        answer = await link.call(request, _ANSWER_TIMEOUT_SECONDS)
        told = await self.completed(link, expect(answer, BatchTold))
        return await self.apply(link, told)

    def known_tickets(self) -> tuple[int, ...]:
        """Return the whole tickets that this daemon can be told the changes since."""
        return self._context.configuration.known_tickets or (0,)

    async def completed(self, link: Link, told: BatchTold) -> BatchTold:
        """Return a peer's message with all changes of a newer whole ticket.

        Raises:
            LinkLost: If the peer fails before they have been fetched.
            BadInput: If its answers are malformed.
        """
        self._context.view.note_ticket(told.whole_ticket)
        is_newer = told.whole_ticket > self._context.configuration.whole_ticket
        if not is_newer or len(told.changes) == told.changes_size:
            return told
        return replace(told, changes=await self.changes.fetch(link, told))

    async def apply(self, link: Link, message: BatchTold) -> bool:
        """Merge changes relayed by a peer; False if others must be fetched first.

        Raises:
            BadInput: If they can't be decoded. No lease is renewed at a revision below
                theirs from then on.
        """
        assert link.peer is not None
        self._context.view.note_revision(message.up_to, message.era)
        self._context.view.note_ticket(message.whole_ticket)
        states = states_from_bytes(message.states)
        is_newer = message.whole_ticket > self._context.configuration.whole_ticket
        if is_newer and message.changes_size:
            if len(message.changes) < message.changes_size:
                return False
            states += self.changes.decoded(message)
        batch = SharedBatch(
            message.after,
            message.up_to,
            states,
            assignments_from_bytes(message.assignments),
            message.whole_ticket,
            message.era,
            whole_revision=message.whole_revision,
            base_ticket=message.base_ticket,
            whole_digest=message.whole_digest,
        )
        is_merged = await self._merge(batch, link.peer.daemon.name)
        if not is_merged and self._context.configuration.may_differ:
            extra = {"peer": link.peer_name, "whole_ticket": message.whole_ticket}
            _LOG.warning("ContentDiffers", extra=extra)
            self._context.telemetry.note_event("ContentDiffers")
        return is_merged

    def batch_for_peer(self, request: BatchAsked) -> BatchTold:
        """Return the changes that a peer at a revision lacks."""
        view = self._context.view
        if not request.known_tickets:
            return encode_batch(view.batch_after(request.after))
        batch = view.batch_since(request.after, request.known_tickets)
        return self.changes.told(batch, PIECE_BYTES)

    def changes_for_peer(self, request: ChangesAsked) -> ChangesTold:
        """Return the next piece of changes that a peer is fetching."""
        return self.changes.piece(request)

    def base_to_tell(self, batch: SharedBatch, former: Configuration) -> int:
        """Return the whole ticket that most peers are expected to have."""
        if batch.base_ticket in self._context.configuration.known_tickets:
            return batch.base_ticket
        return former.whole_ticket

    async def pass_on(
        self, after: int, base_ticket: int, source: str = "", is_pulled: bool = False
    ) -> None:
        """Tell the neighbours what has changed after a revision and a whole ticket."""
        view = self._context.view
        message = self.changes.announced(view.batch_since(after, (base_ticket,)))
        older_message = None
        if self._peers.has_older_neighbours():
            older_message = encode_batch(view.batch_after(after))
        await self._peers.send_to_neighbours(
            message, source, is_pulled=is_pulled, older_message=older_message
        )
