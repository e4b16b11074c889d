"""When each other region was last heard from, by this daemon or through its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramleyglade_core.model.peer_messages import RegionHeard

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_AGE_HEARTBEATS = 10
"""Periods of the heartbeat after which a region counts as unreachable: one for the
relay's own heartbeat, and two for each of up to four peers that pass it on."""

_MAX_REGIONS = 64
"""Regions that are kept, those heard from last; names from peers must not fill the
memory."""


class RegionContact:
    """Tells whether another region can be reached, from evidence that peers pass on."""

    def __init__(self, heartbeat_seconds: float) -> None:
        self._heartbeat_seconds = heartbeat_seconds
        self._max_age_seconds = _MAX_AGE_HEARTBEATS * heartbeat_seconds
        self._heard_at_by_region: dict[str, float] = {}

    def note_heard(self, region: str, heard_at: float) -> None:
        """Record that a daemon of a region was heard from.

        Args:
            region: Name of the region.
            heard_at: By this process's clock, in seconds.
        """
        known = self._heard_at_by_region
        known[region] = max(heard_at, known.get(region, heard_at))
        if len(known) > _MAX_REGIONS:
            del known[min(known, key=known.__getitem__)]

    def learn(self, told: Iterable[RegionHeard], now: float) -> None:
        """Merge what a peer has heard; ages that are out of range are ignored.

        A period is added for the transit, which is not known. Otherwise two daemons
        that tell each other the same contact would keep it young.
        """
        for heard in told:
            if 0.0 <= heard.age_seconds <= self._max_age_seconds:
                age_seconds = heard.age_seconds + self._heartbeat_seconds
                self.note_heard(heard.region, now - age_seconds)

    def tell(self, now: float) -> tuple[RegionHeard, ...]:
        """Return the regions heard from recently enough to be passed on."""
        return tuple(
            RegionHeard(region, max(0.0, now - heard_at))
            for region, heard_at in self._heard_at_by_region.items()
            if now - heard_at <= self._max_age_seconds
        )

    def is_unreachable(self, region: str, now: float) -> bool:
        """Return whether a region was heard from before, but not recently."""
        heard_at = self._heard_at_by_region.get(region)
        return heard_at is not None and now - heard_at > self._max_age_seconds
