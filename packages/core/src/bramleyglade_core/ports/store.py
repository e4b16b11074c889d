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


@dataclass(frozen=True, slots=True)
class Listing:
    """Objects under a prefix, and the revision at which they were read."""

    objects: tuple[StoredObject, ...]
    revision: int


class ObjectStore(Protocol):
    """An object store with revisions, conditional updates, lists and watches.

    Every call may raise `StoreUnavailable`; calls that write may also raise
    `StoreAnswerLost` if it is unknown whether they took effect.
    """

    async def read(self, key: str) -> StoredObject | None:
        """Read one object; None if there is none."""

    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its revision.

        Raises:
            VersionConflict: If the key exists already.
        """

    async def update(self, key: str, value: bytes, revision: int) -> int:
        """Replace an object that still has this revision and return the new one.

        Raises:
            VersionConflict: If the object has another revision.
        """

    async def list_changed(self, prefix: str, after: int) -> Listing:
        """List the objects under a prefix that changed after a revision."""

    async def list_some(self, prefix: str, after_key: str) -> tuple[StoredObject, ...]:
        """List some objects under a prefix, the first ones whose keys follow a key."""

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> Listing:
        """Wait for changes after a revision; the listing may be empty."""
