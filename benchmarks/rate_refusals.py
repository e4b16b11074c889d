"""Compares the refusals for a team's rate in a log with one ideal token bucket.

    python -m benchmarks.rate_refusals LOG

LOG holds the JSON log lines of all daemons of a fleet, each possibly behind other text.
Each team that was refused is compared with one bucket that sees all of its requests in
the order of their arrival, with the rate and burst that the newest refusal names.
"""

from __future__ import annotations

import json
import re
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

import fire

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

_REFUSED = "rate-exceeded"
_LIMIT = re.compile(r"its ([\d.]+)/s and a burst of (\d+)")


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a team."""

    at: float
    """When it arrived, in seconds."""
    is_refused: bool


@dataclass(frozen=True, slots=True)
class TeamComparison:
    """A team's requests beside what one bucket would have admitted."""

    team: str
    rate: float
    burst: int
    requests: int
    admitted: int
    ideal: int
    """Requests that the ideal bucket admits."""

    @property
    def wrongful(self) -> int:
        """Requests that were refused though the rate and the burst had room."""
        return max(0, self.ideal - self.admitted)


def admitted_by_bucket(arrivals: Iterable[Arrival], rate: float, burst: int) -> int:
    """Return how many arrivals one token bucket admits.

    Args:
        arrivals: All requests of the team, in any order.
        rate: Tokens added each second.
        burst: Size of the bucket, which is full at first.
    """
    tokens, last, admitted = float(burst), None, 0
    for arrival in sorted(arrivals, key=lambda a: a.at):
        elapsed = 0.0 if last is None else arrival.at - last
        tokens = min(float(burst), tokens + rate * elapsed)
        last = arrival.at
        if tokens >= 1.0:
            tokens -= 1.0
            admitted += 1
    return admitted


def compare(lines: Iterable[str]) -> list[TeamComparison]:
    """Compare each team that was refused, since its present rate came into force."""
    arrivals_by_team: dict[str, list[Arrival]] = defaultdict(list)
    limits_by_team: dict[str, list[tuple[float, float, int]]] = defaultdict(list)
    for fields in _requests(lines):
        at = fields["time"] - fields["seconds"]
        is_refused = fields["code"] == _REFUSED
        arrivals_by_team[fields["team"]].append(Arrival(at, is_refused))
        found = _LIMIT.search(fields.get("why", "")) if is_refused else None
        if found is not None:
            limit = (at, float(found[1]), int(found[2]))
            limits_by_team[fields["team"]].append(limit)
    comparisons = []
    for team, limits in sorted(limits_by_team.items()):
        since, rate, burst = _newest_limit(limits)
        arrivals = [a for a in arrivals_by_team[team] if a.at >= since]
        comparisons.append(
            TeamComparison(
                team,
                rate,
                burst,
                requests=len(arrivals),
                admitted=sum(not a.is_refused for a in arrivals),
                ideal=admitted_by_bucket(arrivals, rate, burst),
            )
        )
    return comparisons


def _newest_limit(limits: list[tuple[float, float, int]]) -> tuple[float, float, int]:
    """Return the newest rate and burst, and the first refusal that names them."""
    limits = sorted(limits)
    _, rate, burst = limits[-1]
    since = next(at for at, *limit in limits if limit == [rate, burst])
    return since, rate, burst


def _requests(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    for line in lines:
        start = line.find('{"')
        if start < 0 or '"team"' not in line:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue  # A line cut off by the end of the log.
        if fields.get("event") in ("RequestAnswered", "RequestFailed"):
            yield fields


def run(log: str) -> None:
    """Print a line for each team that was refused.

    Args:
        log: Path of the log.
    """
    with Path(log).open(encoding="utf-8", errors="replace") as lines:
        for c in compare(lines):
            print(
                f"{c.team}: {c.rate:g}/s, burst {c.burst}: {c.requests} requests, "
                f"{c.admitted} admitted, {c.ideal} by one bucket, {c.wrongful} wrongful"
            )


if __name__ == "__main__":
    fire.Fire(run)
