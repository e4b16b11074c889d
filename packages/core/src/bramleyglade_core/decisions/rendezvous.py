"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping


def weight(key: str, name: str) -> int:
    """Return the weight of a name for a key; the highest weight wins."""
    return xxhash.xxh64_intdigest(f"{key}|{name}".encode())


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Order names by descending weight for a key.

    Args:
        key: The key to place.
        names: Candidates; their order does not matter.

    Returns:
        The names, the winner first.
    """
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)


def winner(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest weight for a key; None without names."""
    return max(names, key=lambda name: (weight(key, name), name), default=None)


def spread(key: str, zone_by_name: Mapping[str, str], count: int) -> list[str]:
    """Choose the names that rank highest for a key, taking the zones in turn.

    Args:
        key: The key to place.
        zone_by_name: Candidates with their zones.
        count: Maximum number of names to choose.

    Returns:
        The names, spread over as many zones as possible.
    """
    names_by_zone: dict[str, list[str]] = {}
    for name in rank(key, zone_by_name):
        names_by_zone.setdefault(zone_by_name[name], []).append(name)
    chosen: list[str] = []
    while names_by_zone and len(chosen) < count:
        for zone in sorted(names_by_zone):
            chosen.append(names_by_zone[zone].pop(0))
            if not names_by_zone[zone]:
                del names_by_zone[zone]
    return chosen[:count]


def shard_of(key: str, shards: int) -> int:
    """Return the shard of a key, from 0 to `shards` - 1."""
    return xxhash.xxh64_intdigest(key.encode()) % shards
