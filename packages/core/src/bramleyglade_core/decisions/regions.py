"""Regions of zones, and those that may serve a request."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.model.entities import Route, Team
    from bramleyglade_core.model.settings import DaemonSettings

AllowedRegions = frozenset[str] | None
"""Names of the regions that may serve a request; None for all.

It is empty if the lists of a route and of a team have no region in common.
"""


class Distance(Enum):
    """How far a zone is from a daemon's own zone."""

    SAME_ZONE = "same zone"
    OTHER_ZONE = "other zone"
    """In the same region, or in one that is not known."""
    OTHER_REGION = "other region"


def allowed_regions(route: Route | None, team: Team | None) -> AllowedRegions:
    """Return the regions that both a route and a team allow.

    Args:
        route: Route of the request; None if it is no longer configured.
        team: Team of the request; None on a route open to all.

    Returns:
        The regions in both lists; an absent list allows all regions.
    """
    by_route = frozenset(route.regions) if route and route.regions else None
    by_team = frozenset(team.regions) if team and team.regions else None
    return intersection(by_route, by_team)


def intersection(one: AllowedRegions, other: AllowedRegions) -> AllowedRegions:
    """Return the regions that are in both sets."""
    if one is None or other is None:
        return other if one is None else one
    return one & other


def region_of(
    zone: str, configuration: Configuration, settings: DaemonSettings
) -> str | None:
    """Return the region of a zone.

    Args:
        zone: Name of the zone.
        configuration: The configuration in force.
        settings: This daemon's settings, for the region of its own zone.

    Returns:
        The region; None if the zone is not configured.
    """
    if zone == settings.zone:
        return settings.region
    configured = configuration.zone_by_name.get(zone)
    return None if configured is None else configured.region


def distance_between(
    zone: str, configuration: Configuration, settings: DaemonSettings
) -> Distance:
    """Return how far a zone is from this daemon's own zone.

    Args:
        zone: Name of the zone.
        configuration: The configuration in force.
        settings: This daemon's settings, for its own zone and region.

    Returns:
        The distance; `OTHER_ZONE` if the zone's region is not known.
    """
    if zone == settings.zone:
        return Distance.SAME_ZONE
    region = region_of(zone, configuration, settings)
    if region is None or region == settings.region:
        return Distance.OTHER_ZONE
    return Distance.OTHER_REGION
