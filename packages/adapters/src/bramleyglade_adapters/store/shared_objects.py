"""Keys and formats of tickets, keeper assignments and members in the store.

Every daemon holds a copy of `shared/tickets/NUMBER` and `shared/keepers/SHARD` as
of one revision. Each daemon writes its own announcement to `members/NAME`.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from bramleyglade_adapters.structure import from_json, to_json
from bramleyglade_core.decisions.shared_view import SharedBatch
from bramleyglade_core.model.announcements import (
    NO_KEEPER,
    KeeperAssignment,
    MemberRecord,
    epoch_of,
)
from bramleyglade_core.model.errors import BadInput, ErrorCode
from bramleyglade_core.model.tickets import EntityState, Ticket

if TYPE_CHECKING:
    from bramleyglade_core.ports.store import Listing, StoredObject

SHARED_PREFIX = "shared/"
TICKET_PREFIX = "shared/tickets/"
KEEPER_PREFIX = "shared/keepers/"
MEMBER_PREFIX = "members/"

_MAX_SHARD_DIGITS = 9
"""Digits of a shard's number that messages between daemons carry."""

_LOG = logging.getLogger(__name__)


def ticket_key(number: int) -> str:
    """Return the key of a ticket, zero-padded so that keys sort by number."""
    return f"{TICKET_PREFIX}{number:012d}"


def keeper_key(shard: int) -> str:
    """Return the key of a shard's keeper assignment."""
    return f"{KEEPER_PREFIX}{shard}"


def member_key(name: str) -> str:
    """Return the key of a daemon's announcement."""
    return f"{MEMBER_PREFIX}{name}"


def read_ticket(stored: StoredObject) -> Ticket:
    """Decode a ticket.

    Raises:
        BadInput: If the object is not a valid ticket.
    """
    return from_json(Ticket, stored.value, ErrorCode.BAD_TICKET)


def read_batch(listing: Listing, after: int) -> SharedBatch:
    """Decode the changed objects under the shared prefix.

    An object that can't be decoded is logged and skipped, so that one invalid
    write does not block all later changes. The batch is complete only up to the
    revision before a ticket that was skipped, as it may have withdrawn a key. A shard
    whose assignment is skipped has no keeper: another daemon may have claimed it.

    Args:
        listing: The changed objects.
        after: The revision after which they changed.

    Returns:
        The changes.
    """
    states: list[EntityState] = []
    assignments: list[KeeperAssignment] = []
    whole_ticket = 0
    up_to = listing.revision
    for stored in listing.objects:
        is_ticket = stored.key.startswith(TICKET_PREFIX)
        try:
            if is_ticket:
                ticket = read_ticket(stored)
                states += ticket.states(stored.revision)
                if ticket.is_whole:
                    whole_ticket = max(whole_ticket, ticket.number)
            elif stored.key.startswith(KEEPER_PREFIX):
                assignments.append(read_assignment(stored))
        except BadInput as error:
            _LOG.error("ObjectUnreadable", extra={"key": stored.key, "why": str(error)})
            if is_ticket:
                up_to = min(up_to, stored.revision - 1)
            elif (vacant := _vacant_assignment(stored)) is not None:
                assignments.append(vacant)
    return SharedBatch(
        after,
        up_to,
        tuple(states),
        tuple(assignments),
        whole_ticket,
        listing.era,
        max(listing.revision, listing.newest_revision),
    )


def read_members(listing: Listing) -> list[MemberRecord]:
    """Decode announcements; invalid ones are logged and skipped."""
    records = []
    for stored in listing.objects:
        try:
            code = ErrorCode.BAD_ANNOUNCEMENT
            records.append(from_json(MemberRecord, stored.value, code))
        except BadInput as error:
            _LOG.error("ObjectUnreadable", extra={"key": stored.key, "why": str(error)})
    return records


def read_assignment(stored: StoredObject) -> KeeperAssignment:
    """Decode a shard's keeper assignment.

    Raises:
        BadInput: If the object is not a valid assignment.
    """
    assignment = from_json(KeeperAssignment, stored.value, ErrorCode.BAD_PEER_MESSAGE)
    return replace(assignment, revision=stored.revision)


def _vacant_assignment(stored: StoredObject) -> KeeperAssignment | None:
    """Return an assignment without a keeper for one that can't be decoded.

    Each takeover has a revision of its own, so that the revision, as its number, lies
    above the numbers of all takeovers so far.

    Returns:
        The assignment, or None if the object's key names no shard.
    """
    shard = stored.key.removeprefix(KEEPER_PREFIX)
    if not (shard.isascii() and shard.isdigit()) or len(shard) > _MAX_SHARD_DIGITS:
        return None
    epoch = epoch_of(stored.era, stored.revision)
    return KeeperAssignment(int(shard), NO_KEEPER, epoch, stored.revision)


def states_to_bytes(states: tuple[EntityState, ...]) -> bytes:
    """Encode entity states for a peer."""
    return to_json(states)


def states_from_bytes(data: bytes) -> tuple[EntityState, ...]:
    """Decode entity states from a peer."""
    return from_json(tuple[EntityState, ...], data, ErrorCode.BAD_PEER_MESSAGE)


def assignments_to_bytes(assignments: tuple[KeeperAssignment, ...]) -> bytes:
    """Encode keeper assignments for a peer."""
    return to_json(assignments)


def assignments_from_bytes(data: bytes) -> tuple[KeeperAssignment, ...]:
    """Decode keeper assignments from a peer."""
    code = ErrorCode.BAD_PEER_MESSAGE
    return from_json(tuple[KeeperAssignment, ...], data, code)
