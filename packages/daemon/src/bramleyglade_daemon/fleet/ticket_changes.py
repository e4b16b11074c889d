"""Passes the changes of whole tickets on to peers, and fetches them in pieces."""

from __future__ import annotations

import logging
from collections import OrderedDict
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_adapters.store.encoded_changes import (
    EncodedChanges,
    decode_changes,
    digest_of_changes,
    encode_changes,
)
from bramleyglade_adapters.store.shared_objects import (
    assignments_to_bytes,
    states_to_bytes,
)
from bramleyglade_core.decisions.partial_changes import (
    PartialChanges,
    begun_or_continued,
)
from bramleyglade_core.model.errors import BadInput, ErrorCode, FleetError
from bramleyglade_core.model.peer_messages import BatchTold, ChangesAsked, ChangesTold
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.decisions.shared_view import SharedBatch
    from bramleyglade_core.model.tickets import EntityState
    from bramleyglade_daemon.fleet.context import Context

_MAX_PUSHED_BYTES = 4096
"""Most bytes of changes in a batch that was not asked for."""

PIECE_BYTES = 16_384
"""Most bytes of changes in one message: 13 ms of a link of 10 Mbit/s. The next piece
is sent once it is asked for, so that other messages go in between."""

_MAX_ENCODED = 8
"""Encoded changes that are kept for peers."""

_PIECE_TIMEOUT_SECONDS = 1.0

_LOG = logging.getLogger(__name__)


class TicketChanges:
    """The changes of whole tickets as they travel between daemons."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._encoded_by_tickets: OrderedDict[tuple[int, int], EncodedChanges] = (
            OrderedDict()
        )
        """Encoded changes by base ticket and whole ticket."""
        self._partial: PartialChanges | None = None
        self._fetching = curio.Lock()

    @property
    def fetched_bytes(self) -> int:
        """Bytes that have been received of changes which are still incomplete."""
        return len(self._partial.data) if self._partial is not None else 0

    def told(self, batch: SharedBatch, most_bytes: int) -> BatchTold:
        """Return the message for a batch from `SharedView.batch_since`.

        Args:
            batch: The batch.
            most_bytes: Most bytes of the whole ticket's changes in it.
        """
        message = encode_batch(batch)
        if not batch.whole_ticket or not self._context.configuration.known_tickets:
            return message
        encoded = self._encode(batch.base_ticket)
        return replace(
            message,
            changes=encoded.data[:most_bytes],
            changes_size=len(encoded.data),
            changes_digest=encoded.digest,
        )

    def announced(self, batch: SharedBatch) -> BatchTold:
        """Return the message for a batch that the peers have not asked for.

        It has the changes of a whole ticket if they are small. Larger ones are only
        announced, so that each daemon fetches them once instead of getting them from
        each of its neighbours.
        """
        message = self.told(batch, _MAX_PUSHED_BYTES)
        if len(message.changes) < message.changes_size:
            return replace(message, changes=b"")
        return message

    def piece(self, request: ChangesAsked) -> ChangesTold:
        """Return the next piece of changes that a peer is fetching."""
        tickets = (request.base_ticket, request.whole_ticket)
        encoded = self._encoded_by_tickets.get(tickets)
        if encoded is None or encoded.digest != request.digest:
            return ChangesTold(b"")
        return ChangesTold(encoded.data[request.offset : request.offset + PIECE_BYTES])

    def decoded(self, message: BatchTold) -> tuple[EntityState, ...]:
        """Decode the changes of a message that has all of them.

        Raises:
            BadInput: If they are malformed.
        """
        if digest_of_changes(message.changes) != message.changes_digest:
            raise BadInput(ErrorCode.BAD_PEER_MESSAGE, "changes differ from the digest")
        states = decode_changes(message.changes)
        self._keep(
            EncodedChanges(
                message.base_ticket,
                message.whole_ticket,
                message.changes,
                message.changes_digest,
            )
        )
        return states

    async def fetch(self, link: Link, told: BatchTold) -> bytes:
        """Fetch all bytes of the changes that a peer has told the first ones of.

        What was fetched before is kept when a peer fails, so that another one can
        continue. Only one fetch runs at a time.

        Raises:
            LinkLost: If the peer does not answer or no longer has these changes.
            BadInput: If its answers are malformed.
        """
        async with self._fetching:
            started_at = self._context.clock()
            partial = self._partial = begun_or_continued(self._partial, told)
            begun_bytes = len(partial.data)
            try:
                while not partial.is_complete:
                    partial = self._partial = await self._fetch_piece(link, partial)
            except FleetError as error:
                extra = {
                    "peer": link.peer_name,
                    "whole_ticket": partial.whole_ticket,
                    "bytes": len(partial.data),
                    "size": partial.size,
                    "why": str(error),
                }
                _LOG.warning("ChangesInterrupted", extra=extra)
                self._context.telemetry.note_event("ChangesInterrupted")
                raise
            self._partial = None
        extra = {
            "peer": link.peer_name,
            "base_ticket": partial.base_ticket,
            "whole_ticket": partial.whole_ticket,
            "size": partial.size,
            "begun_bytes": begun_bytes,
            "seconds": round(self._context.clock() - started_at, 3),
        }
        _LOG.info("ChangesFetched", extra=extra)
        return partial.data

    async def _fetch_piece(self, link: Link, partial: PartialChanges) -> PartialChanges:
        request = ChangesAsked(
            partial.base_ticket,
            partial.whole_ticket,
            partial.digest,
            len(partial.data),
        )
        answer = await link.call(request, _PIECE_TIMEOUT_SECONDS)
        data = expect(answer, ChangesTold).data
        if not data:
            raise LinkLost(ErrorCode.PEER_LOST, "the peer no longer has the changes")
        try:
            return partial.extended(data)
        except ValueError as error:
            raise BadInput(ErrorCode.BAD_PEER_MESSAGE, str(error)) from None

    def _encode(self, base_ticket: int) -> EncodedChanges:
        """Return the changes since a ticket; a relay passes on what it has received."""
        configuration = self._context.configuration
        whole_ticket = configuration.whole_ticket
        encoded = self._encoded_by_tickets.get((base_ticket, whole_ticket))
        if encoded is None:
            states = configuration.changes_since(base_ticket)
            encoded = encode_changes(base_ticket, whole_ticket, states)
        self._keep(encoded)
        return encoded

    def _keep(self, encoded: EncodedChanges) -> None:
        tickets = (encoded.base_ticket, encoded.whole_ticket)
        self._encoded_by_tickets[tickets] = encoded
        self._encoded_by_tickets.move_to_end(tickets)
        while len(self._encoded_by_tickets) > _MAX_ENCODED:
            self._encoded_by_tickets.popitem(last=False)


def encode_batch(batch: SharedBatch) -> BatchTold:
    """Return the message for a batch, without the changes of a whole ticket."""
    return BatchTold(
        batch.after,
        batch.up_to,
        states_to_bytes(batch.states),
        assignments_to_bytes(batch.assignments),
        batch.whole_ticket,
        batch.era,
        batch.whole_revision,
        batch.base_ticket,
        whole_digest=batch.whole_digest,
    )
