"""Computes the cost of each role at the fleet's full size from measured slopes."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass

from benchmarks.slopes import Slopes, measure
from bramleyglade_core.model.settings import LeaseSettings

_SECONDS_PER_DAY = 86_400
_MICROSECONDS_PER_SECOND = 1e6
_MEMBERS_PER_PAGE = 50
_MEMBER_READERS = 3
"""Daemons that list all members every 20 s."""

_BASE_MEMORY_MB = 42.3
"""Resident memory of an idle daemon, as `benchmarks.latency` prints it."""


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The full size of the fleet, and settings on which costs depend."""

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
    """Links of a daemon: to 16 neighbours and to the peers that its requests use."""
    heartbeat_seconds: float = 0.5
    services_per_front: int = 50
    """Services with callers at one front, if callers are spread over VMs by service."""
    teams_per_front: int = 116
    """Teams active at one front at the peak: one for each request a second."""
    shards: int = 4096
    renewals_per_request: float = 0.33
    """Share renewals for each request under an even load, from the messages that
    `benchmarks.limiter` prints: a renewal and its answer are two messages."""


@dataclass(frozen=True, slots=True)
class RoleCost:
    """Cost of one role to one daemon at the peak."""

    role: str
    mechanism: str
    state_mb: float
    processor_percent: float
    kilobytes_per_second: float


def role_costs(size: FleetSize, slopes: Slopes) -> list[RoleCost]:
    """Compute the cost of each role.

    Args:
        size: Size of the fleet.
        slopes: Measured cost of each item and message.

    Returns:
        One entry for each role.
    """
    requests_per_daemon = size.requests_per_second / size.daemons
    renewals = requests_per_daemon * size.renewals_per_request
    heartbeats = size.links / size.heartbeat_seconds
    changes = size.changes_per_day / _SECONDS_PER_DAY
    records = 3 * (size.restarts_per_day + size.failures_per_day) / _SECONDS_PER_DAY
    copies = 2 * 16
    merge_microseconds = 1000 * merge_milliseconds(size, slopes)
    config_mb = (
        size.teams * slopes.team_bytes + size.routes * slopes.route_bytes
    ) / 1e6
    front_views = size.targets / size.services * size.services_per_front
    return [
        RoleCost(
            "front",
            "views of the services it serves; three targets compared a pick",
            front_views * slopes.view_bytes / 1e6,
            100
            * requests_per_daemon
            * slopes.pick_microseconds
            / _MICROSECONDS_PER_SECOND,
            0.0,
        ),
        RoleCost(
            "guard",
            "counts its own targets only; attempts remembered for 60 s",
            60 * requests_per_daemon * 400 / 1e6,
            0.0,
            0.0,
        ),
        RoleCost(
            "holder and keeper of limits",
            "keepers by shard of teams; shares by need, asks when dry",
            size.teams_per_front
            * (slopes.holding_bytes + slopes.book_line_bytes)
            / 1e6,
            100 * renewals * slopes.ask_microseconds / _MICROSECONDS_PER_SECOND,
            2 * renewals * slopes.ask_wire_bytes / 1000,
        ),
        RoleCost(
            "configuration relay",
            "16 watchers; revisions flooded to neighbours, pulled on heartbeats",
            config_mb,
            100 * changes * merge_microseconds / _MICROSECONDS_PER_SECOND,
            changes * copies * slopes.change_wire_bytes / 1000,
        ),
        RoleCost(
            "membership",
            "owner's records flooded to 16 neighbours; digest on heartbeats",
            size.daemons * slopes.member_bytes / 1e6,
            100
            * records
            * copies
            * slopes.record_microseconds
            / _MICROSECONDS_PER_SECOND,
            records * copies * slopes.record_wire_bytes / 1000,
        ),
        RoleCost(
            "heartbeats",
            "16 neighbours and the links in use, two a second",
            0.0,
            100 * heartbeats * slopes.heartbeat_microseconds / _MICROSECONDS_PER_SECOND,
            heartbeats * slopes.heartbeat_wire_bytes / 1000,
        ),
    ]


def merge_milliseconds(size: FleetSize, slopes: Slopes) -> float:
    """Return the time to merge and index one change of the configuration."""
    entities = size.teams + size.routes + size.services
    return slopes.change_microseconds_per_thousand * entities / 1e6


def store_calls(size: FleetSize) -> tuple[float, float]:
    """Return the store's reads and writes a second, watches included."""
    pages = math.ceil(size.daemons / _MEMBERS_PER_PAGE)
    discovery_reads = _MEMBER_READERS * pages / 20.0
    reads = size.watchers / size.refresh_seconds + discovery_reads
    starts = (size.restarts_per_day + size.failures_per_day) / _SECONDS_PER_DAY
    shards_per_daemon = size.shards / size.daemons
    writes = 3 * starts + 2 * starts * shards_per_daemon
    writes += size.changes_per_day / _SECONDS_PER_DAY
    return reads, writes


def opposite_majority_probability(sample: int, unreachable_share: float) -> float:
    """Return the probability that two samples show opposite majorities.

    Args:
        sample: Members in each of the two independent samples.
        unreachable_share: Share of all members that can't reach the store.

    Returns:
        The probability that in the first sample a majority can't reach the store and
        in the second one a majority can.
    """
    majority_away = sum(
        math.comb(sample, n)
        * unreachable_share**n
        * (1 - unreachable_share) ** (sample - n)
        for n in range(sample // 2 + 1, sample + 1)
    )
    return majority_away * (1 - majority_away)


def main() -> None:
    """Print costs, probabilities and totals, one JSON object a line."""
    size = FleetSize()
    slopes = measure()
    costs = role_costs(size, slopes)
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
    probabilities = {
        p: round(opposite_majority_probability(sample, p), 4) for p in (0.3, 0.4, 0.5)
    }
    print(json.dumps({"sample": sample, "opposite_majorities": probabilities}))
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
