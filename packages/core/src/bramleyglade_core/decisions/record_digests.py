"""Digests of member records, by which daemons find the records that they lack.

A digest names one version of one record in 8 bytes. Changes are announced by their
digests, and a peer asks for the records that it does not know. What it misses that
way is found by comparing digests of whole buckets of names, so that an exchange costs
as much as what differs rather than as much as there are members.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bramleyglade_core.model.announcements import MemberRecord

BUCKETS = 64
"""Buckets of names; all daemons must use the same number."""

_MAX_SUPERSEDED = 20_000
"""Digests of superseded records that are remembered, so that they aren't asked for."""


def digest_of(record: MemberRecord) -> int:
    """Return the digest of a record, a number of 64 bits."""
    version = f"{record.daemon.name}|{record.daemon.incarnation}|{record.sequence}"
    return xxhash.xxh64_intdigest(version.encode())


def _bucket_of(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode()) % BUCKETS


class RecordDigests:
    """The records of a directory by their digests, with a digest of each bucket."""

    def __init__(self) -> None:
        self._record_by_digest: dict[int, MemberRecord] = {}
        self._digests_by_bucket: list[set[int]] = [set() for _ in range(BUCKETS)]
        self._superseded: OrderedDict[int, None] = OrderedDict()
        self.bucket_digests = [0] * BUCKETS
        """Combined digest of the records of each bucket; 0 if it has none."""
        self.total = 0
        """Combined digest of all records."""

    def add(self, record: MemberRecord) -> None:
        """Add a record."""
        digest = digest_of(record)
        self._record_by_digest[digest] = record
        self._digests_by_bucket[_bucket_of(record.daemon.name)].add(digest)
        self._combine(record, digest)

    def remove(self, record: MemberRecord) -> None:
        """Remove a record, since it is superseded or its member was forgotten."""
        digest = digest_of(record)
        if self._record_by_digest.pop(digest, None) is None:
            return
        self._digests_by_bucket[_bucket_of(record.daemon.name)].discard(digest)
        self._combine(record, digest)
        self.note_superseded(record)

    def note_superseded(self, record: MemberRecord) -> None:
        """Remember that a record is not wanted."""
        self._superseded[digest_of(record)] = None
        while len(self._superseded) > _MAX_SUPERSEDED:
            self._superseded.popitem(last=False)

    def unknown(self, digests: Iterable[int]) -> tuple[int, ...]:
        """Return those digests whose records this daemon has never had."""
        return tuple(
            digest
            for digest in digests
            if digest not in self._record_by_digest and digest not in self._superseded
        )

    def records(self, digests: Iterable[int]) -> tuple[MemberRecord, ...]:
        """Return the records with some digests; superseded ones are left out."""
        found = (self._record_by_digest.get(digest) for digest in digests)
        return tuple(record for record in found if record is not None)

    def differing(self, bucket_digests: Sequence[int]) -> tuple[int, ...]:
        """Return the digests of all records in buckets that differ from a peer's.

        Args:
            bucket_digests: The peer's digest of each bucket.
        """
        digests: list[int] = []
        for bucket, digest in enumerate(bucket_digests[:BUCKETS]):
            if digest != self.bucket_digests[bucket]:
                digests += sorted(self._digests_by_bucket[bucket])
        return tuple(digests)

    def _combine(self, record: MemberRecord, digest: int) -> None:
        # Adding and removing are the same operation, in any order.
        self.bucket_digests[_bucket_of(record.daemon.name)] ^= digest
        self.total ^= digest
