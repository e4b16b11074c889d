"""An in-memory object store with injected faults."""

from __future__ import annotations

from dataclasses import dataclass

import curio

from bramleyglade_core.model.errors import (
    ErrorCode,
    StoreAnswerLost,
    StoreUnavailable,
    VersionConflict,
)
from bramleyglade_core.ports.store import Listing, StoredObject


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


_PAGE_SIZE = 3
"""Objects that `list_some` returns; few, so that tests get several pages."""


class MemoryStore:
    """Implements the `ObjectStore` port; `StoreServer` serves it over HTTP."""

    def __init__(self) -> None:
        self.revision = 0
        self.faults = StoreFaults()
        self.calls = 0
        self._history: list[StoredObject] = []
        self._changed = curio.Event()

    async def read(self, key: str) -> StoredObject | None:
        """Read an object; None if it does not exist."""
        await self._apply_faults()
        return self._newest(key, self._read_revision)

    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its revision."""
        await self._apply_faults()
        if self._newest(key, self.revision) is not None:
            raise VersionConflict(ErrorCode.VERSION_CONFLICT, f"{key} exists")
        return await self._write(key, value)

    async def update(self, key: str, value: bytes, revision: int) -> int:
        """Replace an object if its revision is unchanged; return the new revision."""
        await self._apply_faults()
        newest = self._newest(key, self.revision)
        if newest is None or newest.revision != revision:
            raise VersionConflict(ErrorCode.VERSION_CONFLICT, f"{key} has changed")
        return await self._write(key, value)

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
        async with curio.ignore_after(wait_seconds):
            while not self._list(prefix, after).objects:
                changed = self._changed
                await changed.wait()
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

    async def _write(self, key: str, value: bytes) -> int:
        self.revision += 1
        self._history.append(StoredObject(key, value, self.revision))
        changed, self._changed = self._changed, curio.Event()
        await changed.set()
        faults = self.faults
        if faults.lost_answers > 0:
            self.faults = StoreFaults(
                faults.is_away,
                faults.delay_seconds,
                faults.lost_answers - 1,
                faults.stale_by,
            )
            raise StoreAnswerLost(
                ErrorCode.STORE_ANSWER_LOST, "the answer to the write was lost"
            )
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
                newest_by_key[stored.key] = stored
        return Listing(tuple(newest_by_key.values()), up_to)
