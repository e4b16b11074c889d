"""Log lines and counts of shared state that can't be decoded."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.decisions.shared_view import SharedBatch
    from bramleyglade_core.model.entities import UnreadableEntity
    from bramleyglade_daemon.fleet.context import Context

_LOG = logging.getLogger(__name__)


class UnreadableChanges:
    """Reports each time that what can't be decoded changes, not at each read."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._is_store_readable = True
        """Whether all changes in the latest list were decoded."""
        self._entities: tuple[UnreadableEntity, ...] = ()

    def note_batch(self, batch: SharedBatch) -> None:
        """Log when changes in the store can't be decoded, and when they can again."""
        is_complete = batch.up_to >= batch.newest_revision
        if is_complete == self._is_store_readable:
            return
        self._is_store_readable = is_complete
        extra = {"revision": batch.up_to, "newest_revision": batch.newest_revision}
        if is_complete:
            _LOG.info("StoreReadable", extra=extra)
            return
        _LOG.error("StoreUnreadable", extra=extra)
        self._context.telemetry.note_event("StoreUnreadable")

    def note_configuration(self) -> None:
        """Log the entities in force that requests are refused for."""
        configuration = self._context.configuration
        entities = (*configuration.unreadable_routes, *configuration.unreadable_teams)
        if entities and entities != self._entities:
            names = sorted(entity.name for entity in entities)
            extra = {"entities": names, "revision": self._context.view.revision}
            _LOG.error("EntitiesUnreadable", extra=extra)
            self._context.telemetry.note_event("EntitiesUnreadable")
        self._entities = entities
