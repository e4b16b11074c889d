"""The platform's object store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object of the store."""

    key: str
    value: bytes
    revision: int
    """Store-wide revision at which this object last changed."""
    era: int = 0
    """Era of the answer; 0 from a store without eras."""


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects under a prefix, and the revision at which they were read."""

    objects: tuple[StoredObject, ...]
    revision: int
    """Revision of the store up to which all changes are in the list."""
    era: int = 0
    """Era of the answer; 0 from a store without eras."""
    newest_revision: int = 0
    """Revision of the store when it was read, if above `revision`: some of the changes
    in between could not be decoded."""


class ObjectStore(Protocol):
    """An object store with revisions, conditional updates, lists and watches.

    Each time the store is restored from an older copy, its era rises by one, and it
    gives out again the revisions after the copy. Eras and revisions are compared as
    pairs, the era first.

    Every call may raise `StoreUnavailable`; calls that write may also raise
    `StoreAnswerLost` if it is unknown whether they took effect.
    """

    async def read(self, key: str) -> StoredObject | None:
        """Read one object; None if there is none."""

    async def create(self, key: str, value: bytes, era: int | None = None) -> int:
        """Create an object and return its revision.

        Args:
            key: The object's key.
            value: Its value.
            era: Era in which the caller found no object; None to accept any.

        Raises:
            VersionConflict: If the key exists already.
            StoreRestored: If the answer is of another era than `era`; the write may
                have taken effect.
        """

    async def update(
        self, key: str, value: bytes, revision: int, era: int | None = None
    ) -> int:
        """Replace an object that still has this revision and return the new one.

        Args:
            key: The object's key.
            value: Its new value.
            revision: The revision that the caller has read.
            era: Era in which it was read; None to accept any.

        Raises:
            VersionConflict: If the object has another revision.
            StoreRestored: If the answer is of another era than `era`; the write may
                have taken effect.
        """

    async def list_changed(self, prefix: str, after: int) -> Listing:
        """List the objects under a prefix that changed after a revision."""

    async def list_some(self, prefix: str, after_key: str) -> tuple[StoredObject, ...]:
        """List some objects under a prefix, the first ones whose keys follow a key."""

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> Listing:
        """Wait for changes after a revision; the listing may be empty.

        Raises:
            StoreRestored: If the store has no such revision (any more).
        """
