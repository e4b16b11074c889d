"""An in-memory object store with injected faults."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.model.errors import (
    ErrorCode,
    StoreAnswerLost,
    StoreRestored,
    StoreUnavailable,
    VersionConflict,
)
from bramleyglade_core.ports.store import Listing, StoredObject

if TYPE_CHECKING:
    from bramleyglade_core.ports.clock import Clock


@dataclass(frozen=True, slots=True)
class StoreFaults:
    """Faults of the store."""

    is_away: bool = False
    """True if every call fails as unavailable."""
    delay_seconds: float = 0.0
    lost_answers: int = 0
    """Number of writes from now on that take effect but whose answers are lost."""
    stale_by: int = 0
    """Number of revisions by which reads are behind."""


@dataclass(frozen=True, slots=True)
class Restoration:
    """A restoration of the store from a copy."""

    lost_seconds: float
    """Age of the copy when the store goes away; what was written later is lost."""
    outage_seconds: float = 0.0
    """Time for which the store is away before it comes back."""


_PAGE_SIZE = 3
"""Objects that `list_some` returns; few, so that tests get several pages."""


class MemoryStore:
    """Implements the `ObjectStore` port; `StoreServer` serves it over HTTP."""

    def __init__(self, era: int = 0, clock: Clock = time.monotonic) -> None:
        """Create an empty store.

        Args:
            era: Its first era; 0 for a store without eras.
            clock: Clock for the age of copies, in seconds.
        """
        self.era = era
        self.revision = 0
        self._clock = clock
        self._written_at: list[float] = []
        self.faults = StoreFaults()
        self.calls = 0
        self._history: list[StoredObject] = []
        self._changed = curio.Event()

    async def restore(self, restoration: Restoration) -> None:
        """Go away, come back from a copy and begin a new era."""
        self.faults = replace(self.faults, is_away=True)
        copied_at = self._clock() - restoration.lost_seconds
        kept = sum(written_at <= copied_at for written_at in self._written_at)
        await curio.sleep(restoration.outage_seconds)
        del self._history[kept:], self._written_at[kept:]
        self.revision = kept
        self.era += 1
        self.faults = replace(self.faults, is_away=False)
        changed, self._changed = self._changed, curio.Event()
        await changed.set()

    async def read(self, key: str) -> StoredObject | None:
        """Read an object; None if it does not exist."""
        await self._apply_faults()
        stored = self._newest(key, self._read_revision)
        return None if stored is None else replace(stored, era=self.era)

    async def create(self, key: str, value: bytes, era: int | None = None) -> int:
        """Create an object and return its revision."""
        await self._apply_faults()
        if self._newest(key, self.revision) is not None:
            raise VersionConflict(ErrorCode.VERSION_CONFLICT, f"{key} exists")
        return await self._write(key, value, era)

    async def update(
        self, key: str, value: bytes, revision: int, era: int | None = None
    ) -> int:
        """Replace an object if its revision is unchanged; return the new revision."""
        await self._apply_faults()
        newest = self._newest(key, self.revision)
        if newest is None or newest.revision != revision:
            raise VersionConflict(ErrorCode.VERSION_CONFLICT, f"{key} has changed")
        return await self._write(key, value, era)

    async def list_changed(self, prefix: str, after: int) -> Listing:
        """List the objects under a prefix that changed after a revision."""
        await self._apply_faults()
        return self._list(prefix, after)

    async def list_some(self, prefix: str, after_key: str) -> tuple[StoredObject, ...]:
        """List the first objects under a prefix whose keys follow a key."""
        await self._apply_faults()
        objects = sorted(self._list(prefix, 0).objects, key=lambda o: o.key)
        return tuple(o for o in objects if o.key > after_key)[:_PAGE_SIZE]

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> Listing:
        """Wait for changes after a revision; the listing may be empty."""
        await self._apply_faults()
        self._check_revision(after)
        async with curio.ignore_after(wait_seconds):
            while not self._list(prefix, after).objects:
                changed = self._changed
                await changed.wait()
                self._check_revision(after)
        self._check_available()
        return self._list(prefix, after)

    @property
    def _read_revision(self) -> int:
        return max(0, self.revision - self.faults.stale_by)

    async def _apply_faults(self) -> None:
        self.calls += 1
        if self.faults.delay_seconds:
            await curio.sleep(self.faults.delay_seconds)
        self._check_available()

    def _check_available(self) -> None:
        if self.faults.is_away:
            raise StoreUnavailable(
                ErrorCode.STORE_UNAVAILABLE, "the store is unavailable"
            )

    def _check_revision(self, revision: int) -> None:
        if revision > self.revision:
            raise StoreRestored(self.era, f"there is no revision {revision}")

    async def _write(self, key: str, value: bytes, era: int | None) -> int:
        self.revision += 1
        self._history.append(StoredObject(key, value, self.revision))
        self._written_at.append(self._clock())
        changed, self._changed = self._changed, curio.Event()
        await changed.set()
        faults = self.faults
        if faults.lost_answers > 0:
            self.faults = replace(faults, lost_answers=faults.lost_answers - 1)
            raise StoreAnswerLost(
                ErrorCode.STORE_ANSWER_LOST, "the answer to the write was lost"
            )
        if era is not None and era != self.era:
            raise StoreRestored(self.era, f"{key} was read in era {era}")
        return self.revision

    def _newest(self, key: str, up_to: int) -> StoredObject | None:
        for stored in reversed(self._history):
            if stored.key == key and stored.revision <= up_to:
                return stored
        return None

    def _list(self, prefix: str, after: int) -> Listing:
        up_to = self._read_revision
        newest_by_key: dict[str, StoredObject] = {}
        for stored in self._history[after:up_to]:
            if stored.key.startswith(prefix):
                newest_by_key[stored.key] = replace(stored, era=self.era)
        return Listing(tuple(newest_by_key.values()), up_to, self.era)
