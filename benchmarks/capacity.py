"""Works out each role's cost at the size of letter 1 from measured slopes."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

from benchmarks.slopes import Slopes, measure
from bramleyglade_core.model.settings import LeaseSettings

_SECONDS_PER_DAY = 86_400
_MICROSECONDS = 1e6
_BASE_MEMORY_MB = 42.3
"""Resident memory of an idle daemon, as `benchmarks.latency` prints it."""


@dataclass(frozen=True, slots=True)
class Size:
    """The size of letter 1, and the settings that matter."""

    daemons: int = 6100
    targets: int = 110_000
    services: int = 2400
    routes: int = 85_000
    teams: int = 210_000
    requests_per_second: float = 710_000.0
    changes_per_day: float = 10_000.0
    restarts_per_day: float = 6_800.0
    failures_per_day: float = 400.0
    watchers: int = 16
    refresh_seconds: float = 1.5
    links: int = 40
    """Links of a daemon: 16 neighbours and those that its requests use."""
    heartbeat_seconds: float = 0.5
    services_per_front: int = 50
    """Services whose callers use one VM, if callers are spread by service."""
    teams_per_front: int = 116
    """Teams active at one front at the peak: one for each request a second."""
    shards: int = 4096
    asks_per_request: float = 0.33
    """Asks to a keeper for each request, as `benchmarks.limiter` prints for an
    even load: two of its messages are one ask."""


@dataclass(frozen=True, slots=True)
class RoleCost:
    """What one role costs one daemon at the peak."""

    role: str
    mechanism: str
    state_mb: float
    processor_percent: float
    kilobytes_per_second: float


def roles(size: Size, slopes: Slopes) -> list[RoleCost]:
    """Work out all roles.

    Args:
        size: Size of the fleet.
        slopes: Measured costs.

    Returns:
        One line for each role.
    """
    requests = size.requests_per_second / size.daemons
    asks = requests * size.asks_per_request
    beats = size.links / size.heartbeat_seconds
    changes = size.changes_per_day / _SECONDS_PER_DAY
    records = 3 * (size.restarts_per_day + size.failures_per_day) / _SECONDS_PER_DAY
    copies = 2 * 16
    merge = 1000 * merge_milliseconds(size, slopes)
    config_mb = (
        size.teams * slopes.team_bytes + size.routes * slopes.route_bytes
    ) / 1e6
    front_views = size.targets / size.services * size.services_per_front
    return [
        RoleCost(
            "front",
            "views of the services it serves; three targets compared a pick",
            front_views * slopes.view_bytes / 1e6,
            100 * requests * slopes.pick_microseconds / _MICROSECONDS,
            0.0,
        ),
        RoleCost(
            "guard",
            "counts its own targets only; attempts remembered for 60 s",
            60 * requests * 400 / 1e6,
            0.0,
            0.0,
        ),
        RoleCost(
            "holder and keeper of limits",
            "keepers by shard of teams; shares by need, asks when dry",
            size.teams_per_front
            * (slopes.holding_bytes + slopes.book_line_bytes)
            / 1e6,
            100 * asks * slopes.ask_microseconds / _MICROSECONDS,
            2 * asks * slopes.ask_wire_bytes / 1000,
        ),
        RoleCost(
            "configuration relay",
            "16 watchers; revisions flooded to neighbours, pulled on heartbeats",
            config_mb,
            100 * changes * merge / _MICROSECONDS,
            changes * copies * slopes.change_wire_bytes / 1000,
        ),
        RoleCost(
            "membership",
            "owner's records flooded to 16 neighbours; digest on heartbeats",
            size.daemons * slopes.member_bytes / 1e6,
            100 * records * copies * slopes.record_microseconds / _MICROSECONDS,
            records * copies * slopes.record_wire_bytes / 1000,
        ),
        RoleCost(
            "heartbeats",
            "16 neighbours and the links in use, two a second",
            0.0,
            100 * beats * slopes.heartbeat_microseconds / _MICROSECONDS,
            beats * slopes.heartbeat_wire_bytes / 1000,
        ),
    ]


def merge_milliseconds(size: Size, slopes: Slopes) -> float:
    """Return the time in which one change is merged and indexed."""
    entities = size.teams + size.routes + size.services
    return slopes.change_microseconds_per_thousand * entities / 1e6


def store_calls(size: Size) -> tuple[float, float]:
    """Return the store's reads and writes a second, watches included."""
    discovery = size.daemons / 20.0
    reads = size.watchers / size.refresh_seconds + discovery
    starts = (size.restarts_per_day + size.failures_per_day) / _SECONDS_PER_DAY
    shards_each = size.shards / size.daemons
    writes = 3 * starts + 2 * starts * shards_each
    writes += size.changes_per_day / _SECONDS_PER_DAY
    return reads, writes


def sampling_chance(sample: int, share_away: float) -> float:
    """Return the chance that two samples show opposite majorities.

    Args:
        sample: Members in each of the two independent samples.
        share_away: Share of all members that lack the store.

    Returns:
        The chance that one shows most lacking the store and the other most
        reaching it, for one look of each.
    """
    away = sum(
        math.comb(sample, n) * share_away**n * (1 - share_away) ** (sample - n)
        for n in range(sample // 2 + 1, sample + 1)
    )
    return away * (1 - away)


def main() -> None:
    """Print the page's figures, one JSON object a line."""
    size = Size()
    slopes = measure()
    costs = roles(size, slopes)
    for cost in costs:
        print(
            json.dumps(
                {
                    "role": cost.role,
                    "mechanism": cost.mechanism,
                    "state_mb": round(cost.state_mb, 2),
                    "processor_percent": round(cost.processor_percent, 3),
                    "kilobytes_per_second": round(cost.kilobytes_per_second, 2),
                }
            )
        )
    sample = LeaseSettings().sample_size
    chances = {p: round(sampling_chance(sample, p), 4) for p in (0.3, 0.4, 0.5)}
    print(json.dumps({"sample": sample, "opposite_majorities": chances}))
    reads, writes = store_calls(size)
    print(
        json.dumps(
            {
                "role": "all",
                "state_mb": round(_BASE_MEMORY_MB + sum(c.state_mb for c in costs), 1),
                "processor_percent": round(sum(c.processor_percent for c in costs), 2),
                "kilobytes_per_second": round(
                    sum(c.kilobytes_per_second for c in costs), 1
                ),
                "merge_milliseconds": round(merge_milliseconds(size, slopes), 1),
                "asks_if_spread_kilobytes_per_second": round(
                    2
                    * size.requests_per_second
                    / size.daemons
                    * slopes.ask_wire_bytes
                    / 1000,
                    1,
                ),
                "store_reads_per_second": round(reads, 1),
                "store_writes_per_second": round(writes, 2),
            }
        )
    )


if __name__ == "__main__":
    main()
