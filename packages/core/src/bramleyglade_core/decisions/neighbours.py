"""Choice of the peers that a daemon always keeps links to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramleyglade_core.decisions.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bramleyglade_core.model.settings import DaemonSettings


def choose_neighbours(
    settings: DaemonSettings, zone_by_name: Mapping[str, str]
) -> list[str]:
    """Choose a daemon's neighbours, most of them in its own zone.

    The choice changes little when members come and go, and differs between daemons,
    so that the links of all of them connect the fleet.

    Args:
        settings: The daemon's settings.
        zone_by_name: All members with their zones.

    Returns:
        Names of the neighbours.
    """
    same_zone: list[str] = []
    other_zone: list[str] = []
    for name in rank(settings.name, zone_by_name):
        if name != settings.name:
            is_same_zone = zone_by_name[name] == settings.zone
            (same_zone if is_same_zone else other_zone).append(name)
    same_zone_count = max(settings.peers.fanout - settings.peers.far_fanout, 0)
    chosen = same_zone[:same_zone_count]
    return chosen + other_zone[: settings.peers.fanout - len(chosen)]
