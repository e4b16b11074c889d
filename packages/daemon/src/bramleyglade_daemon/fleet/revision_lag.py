"""Log lines and counts of a daemon that knows of a newer revision than it has."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.ticket_changes import TicketChanges

_LATE_SECONDS = 1.5
"""Time without the newest known revision after which a daemon reports that."""

_LOG = logging.getLogger(__name__)


class RevisionLag:
    """Reports that this daemon lags behind the store, and that it has caught up."""

    def __init__(self, context: Context, changes: TicketChanges) -> None:
        self._context = context
        self._changes = changes
        self._checked_revision = 0
        """Revision in force at the latest check that found it current or changed."""
        self._behind_since: float | None = None
        self._is_reported = False

    def check(self) -> None:
        """Log if it is late now, once for each time."""
        view, now = self._context.view, self._context.clock()
        is_current = view.is_current(view.revision, view.era)
        if is_current or view.revision != self._checked_revision:
            self._checked_revision = view.revision
            self._behind_since = None if is_current else now
            if self._is_reported and is_current:
                self._is_reported = False
                _LOG.warning("RevisionCaughtUp", extra={"revision": view.revision})
            return
        if self._behind_since is None:
            self._behind_since = now
        if self._is_reported or now < self._behind_since + _LATE_SECONDS:
            return
        self._is_reported = True
        extra = {
            "revision": view.revision,
            "newest_revision": view.newest_known_revision,
            "whole_ticket": view.configuration.whole_ticket,
            "fetched_bytes": self._changes.fetched_bytes,
            "seconds": round(now - self._behind_since, 1),
        }
        _LOG.warning("RevisionLate", extra=extra)
        self._context.telemetry.note_event("RevisionLate")
