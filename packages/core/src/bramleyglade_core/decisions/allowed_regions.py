"""Regions that may serve a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.model.entities import Route, Team
    from bramleyglade_core.model.settings import DaemonSettings

AllowedRegions = frozenset[str] | None
"""Names of the regions that may serve a request; None for all.

It is empty if the lists of a route and of a team have no region in common.
"""


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
