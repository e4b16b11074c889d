"""When a daemon that doesn't read the store for the fleet reads it all the same."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.settings import LeaseSettings

_SPREAD = 0.2
"""Share of the silence by which daemons differ: the first one that reads the store
tells the others."""


class ReadSilence:
    """The time since a daemon has heard that any daemon has read the store.

    News of reads arrives within milliseconds. Evidence for leases comes with heartbeats
    and is seconds old in a sound fleet, so that its age shows the loss of the readers
    too late.
    """

    def __init__(
        self, settings: LeaseSettings, now: float, random_source: random.Random
    ) -> None:
        self._silence_seconds = math.inf
        if settings.silence_seconds is not None:
            factor = 1.0 + _SPREAD * random_source.random()
            self._silence_seconds = factor * settings.silence_seconds
        self._pause_seconds = settings.refresh_seconds / 2
        self._heard_at = now
        self._told_at = -math.inf
        self._newest_read_by_name: dict[str, tuple[int, int]] = {}
        """Incarnation and number of the newest read of each daemon."""

    def note_read(self, reader: DaemonId, number: int, now: float) -> bool:
        """Record a read by this or another daemon; return whether to tell the peers.

        Peers that have been told of a read just before need not hear of this one. A
        read that is known already is no news: it may have come back to this daemon.

        Args:
            reader: The daemon that has read the store.
            number: Number of the read; grows with each one of the reader.
            now: Time of this process's clock, in seconds.
        """
        known = self._newest_read_by_name.get(reader.name, (0, 0))
        if (reader.incarnation, number) <= known:
            return False
        self._newest_read_by_name[reader.name] = (reader.incarnation, number)
        self._heard_at = now
        if now < self._told_at + self._pause_seconds:
            return False
        self._told_at = now
        return True

    def seconds_left(self, now: float) -> float:
        """Return the seconds until this daemon reads the store; 0 if that is due."""
        return max(0.0, self._heard_at + self._silence_seconds - now)
