"""Choice of the peers that a daemon always keeps links to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.rendezvous import rank, spread

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from bramleyglade_core.model.settings import DaemonSettings

_RELAYS_PER_REGION = 3
"""Daemons of a region that keep links to one other region. Two may fail at the same
time; the next in rank replaces a relay once its region suspects it."""

_LINKS_PER_RELAY = 2
"""Relays of the other region that a relay keeps links to, so that the loss of one
relay leaves each of the others a link."""


@dataclass(frozen=True, slots=True)
class Member:
    """A member of the fleet, as far as the choice of neighbours depends on it."""

    zone: str
    region: str | None = None
    """None if it is not known; the member then counts as one of the own region."""
    is_serving: bool = True
    """Whether it is neither suspected nor leaving."""


def choose_neighbours(
    settings: DaemonSettings, member_by_name: Mapping[str, Member]
) -> list[str]:
    """Choose a daemon's neighbours, most of them in its own zone.

    The choice changes little when members come and go, and differs between daemons,
    so that the links of all of them connect the fleet. Neighbours in other regions are
    chosen only for a few relays.

    Args:
        settings: The daemon's settings.
        member_by_name: All members.

    Returns:
        Names of the neighbours.
    """
    same_zone: list[str] = []
    other_zone: list[str] = []
    near = {
        name: member
        for name, member in member_by_name.items()
        if member.region in (None, settings.region)
    }
    for name in rank(settings.name, near):
        if name != settings.name:
            is_same_zone = near[name].zone == settings.zone
            (same_zone if is_same_zone else other_zone).append(name)
    same_zone_count = max(settings.peers.fanout - settings.peers.far_fanout, 0)
    chosen = same_zone[:same_zone_count]
    chosen += other_zone[: settings.peers.fanout - len(chosen)]
    return chosen + _far_neighbours(settings, member_by_name)


def _far_neighbours(
    settings: DaemonSettings, member_by_name: Mapping[str, Member]
) -> list[str]:
    """Return the peers in other regions; empty unless this daemon is a relay."""
    chosen: list[str] = []
    regions = {member.region for member in member_by_name.values()}
    for region in sorted(r for r in regions if r not in (None, settings.region)):
        near = relays(settings.region, region, member_by_name)
        far = relays(region, settings.region, member_by_name)
        if settings.name in near:
            # Opposite directions on both sides, so that both choose the same links.
            step = 1 if settings.region < region else -1
            chosen += _partners(near.index(settings.name), far, step)
    return chosen


def _partners(position: int, far: Sequence[str], step: int) -> list[str]:
    count = min(_LINKS_PER_RELAY, len(far))
    return [far[(position + step * number) % len(far)] for number in range(count)]


def relays(region: str, other: str, member_by_name: Mapping[str, Member]) -> list[str]:
    """Return the daemons of a region that keep links to another region.

    Args:
        region: The region that they are in.
        other: The region that they keep links to.
        member_by_name: All members.

    Returns:
        Their names, spread over the zones of the region. Members that are suspected or
        leaving are among them only if there are no others: after a partition, links
        to a region that is suspected as a whole must open again.
    """
    members = {n: m for n, m in member_by_name.items() if m.region == region}
    serving = {name: m.zone for name, m in members.items() if m.is_serving}
    zone_by_name = serving or {name: m.zone for name, m in members.items()}
    # Both directions use the same key, so that both sides choose the same daemons.
    key = "relay/" + "/".join(sorted((region, other)))
    return spread(key, zone_by_name, _RELAYS_PER_REGION)
