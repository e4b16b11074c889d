"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def weight(key: str, name: str) -> int:
    """Return the weight of a name for a key; the highest one wins."""
    return xxhash.xxh64_intdigest(f"{key}|{name}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their weight for a key.

    Args:
        key: What is to be placed.
        names: Candidates; their order does not matter.

    Returns:
        The names, the winner first.
    """
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)


def shard_of(key: str, shards: int) -> int:
    """Return the shard of a key, from 0 to `shards` - 1."""
    return xxhash.xxh64_intdigest(key.encode()) % shards
