"""Compressed form in which daemons pass the changes of a whole ticket on."""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from bramleyglade_adapters.store.shared_objects import (
    states_from_bytes,
    states_to_bytes,
)
from bramleyglade_core.model.errors import BadInput, ErrorCode

if TYPE_CHECKING:
    from bramleyglade_core.model.tickets import EntityState

MAX_CHANGES_BYTES = 134_217_728
"""Largest size of decompressed changes that is accepted from a peer."""

_COMPRESSION_LEVEL = 1
"""Level of zlib, 1 to 9; higher ones take more processor time for fewer bytes."""


@dataclass(frozen=True, slots=True)
class EncodedChanges:
    """What a whole ticket has changed since an earlier one, as it is sent to peers."""

    base_ticket: int
    """The earlier ticket; 0 if the changes are all entities."""
    whole_ticket: int
    data: bytes
    digest: int
    """Digest of the data, a number of 64 bits."""


def encode_changes(
    base_ticket: int, whole_ticket: int, states: tuple[EntityState, ...]
) -> EncodedChanges:
    """Encode changes; equal ones give equal bytes on all daemons of a version."""
    data = zlib.compress(states_to_bytes(states), _COMPRESSION_LEVEL)
    return EncodedChanges(base_ticket, whole_ticket, data, digest_of_changes(data))


def decode_changes(data: bytes) -> tuple[EntityState, ...]:
    """Decode the changes of a whole ticket.

    Raises:
        BadInput: If they are malformed or larger than `MAX_CHANGES_BYTES`.
    """
    decompressor = zlib.decompressobj()
    try:
        states = decompressor.decompress(data, MAX_CHANGES_BYTES)
    except zlib.error as error:
        raise BadInput(ErrorCode.BAD_PEER_MESSAGE, f"changes: {error}") from None
    if not decompressor.eof:
        raise BadInput(
            ErrorCode.BAD_PEER_MESSAGE, "changes are incomplete or too large"
        )
    return states_from_bytes(states)


def digest_of_changes(data: bytes) -> int:
    """Return the digest of encoded changes, a number of 64 bits."""
    return xxhash.xxh64_intdigest(data)
