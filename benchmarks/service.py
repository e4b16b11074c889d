"""Quality of service with a noisy team, a gray target, a zone move or a cold start."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

from benchmarks.limiter import Arrival, TokenBucket, ideal
from benchmarks.measure import Measurement, emit, percentile
from benchmarks.service_model import (
    Event,
    Outcome,
    Request,
    ServiceModel,
    ServiceSize,
)
from bramleyglade_core.model.entities import Team

_SIZE_BY_SITE = {
    "van der heijden": ServiceSize(targets=20, zones=4, slots=4, fronts=20),
    "trentvale": ServiceSize(targets=15, zones=3, slots=3, fronts=15),
}
_TEAMS = 8
_ARRIVALS_SECONDS = 40.0
_WARM_UP_SECONDS = 5.0
_MILLISECONDS_PER_SECOND = 1000.0
_LOAD = 0.55
"""Utilization of all slots if every team sends at its rate."""

POLICIES = (("ours", True), ("naive", False))
"""Name of each policy in the rows, and whether it is the fleet's."""


def team_requests(
    size: ServiceSize, noisy_factor: float, seed: int, is_fleet_policy: bool
) -> tuple[list[Request], int]:
    """Draw the requests of all teams, one of which may be noisy, and admit them.

    The fleet's policy admits by exact limits over all daemons, the naive one by an
    equal static split of each team's rate.

    Args:
        size: Size of the service.
        noisy_factor: Requests of team-0, as a multiple of its rate.
        seed: Seed of the arrivals.
        is_fleet_policy: Whether the fleet's policy admits, or the naive one.

    Returns:
        The admitted requests in order, and the number of refused requests of the
        other teams, which are within their rate.
    """
    random_source = random.Random(seed)
    rate = _LOAD * size.targets * size.slots / size.work_seconds / _TEAMS
    requests, refused = [], 0
    for index in range(_TEAMS):
        sent_rate = rate * (noisy_factor if index == 0 else 0.8)
        arrivals, now = [], 0.0
        while (now := now + random_source.expovariate(sent_rate)) < _ARRIVALS_SECONDS:
            arrivals.append(Arrival(now, random_source.randrange(size.fronts)))
        team = Team(f"team-{index}", rate, max(1, int(rate)))
        if is_fleet_policy:
            admitted = ideal(team, arrivals)
        else:
            admitted = _split_statically(team, arrivals, size.fronts)
        for arrival, is_admitted in zip(arrivals, admitted, strict=True):
            if is_admitted:
                requests.append(Request(arrival.at, team.name, arrival.daemon))
            elif index:
                refused += 1
    return sorted(requests, key=lambda r: r.at), refused


def _split_statically(team: Team, arrivals: list[Arrival], fronts: int) -> list[bool]:
    buckets = [
        TokenBucket(team.rate / fronts, team.burst / fronts) for _ in range(fronts)
    ]
    return [buckets[arrival.daemon].try_admit(arrival.at) for arrival in arrivals]


def worst_team(outcomes: list[Outcome]) -> tuple[float, float]:
    """Return the worst p99 in ms and the worst share served, without the noisy team.

    The warm-up is left out, as all concurrency limits start at one.
    """
    outcomes = [o for o in outcomes if o.request.at > _WARM_UP_SECONDS]
    worst_p99, worst_share = 0.0, 1.0
    for index in range(1, _TEAMS):
        team_outcomes = [o for o in outcomes if o.request.team == f"team-{index}"]
        latencies = [o.at - o.request.at for o in team_outcomes if o.is_ok]
        worst_p99 = max(
            worst_p99, _MILLISECONDS_PER_SECOND * percentile(latencies, 0.99)
        )
        worst_share = min(worst_share, len(latencies) / len(team_outcomes))
    return worst_p99, worst_share


def _turn_gray(model: ServiceModel) -> None:
    model.targets[0].slow_factor = 5.0


def measure_fairness(site: str, size: ServiceSize, seed: int) -> None:
    """Measure the service with one team at ten times its rate and a gray target."""
    for policy, is_fleet_policy in POLICIES:
        p99_by_case = {}
        for case, factor in (("quiet", 0.8), ("noisy", 10.0)):
            requests, _ = team_requests(size, factor, seed, is_fleet_policy)
            model = ServiceModel(size, is_fleet_policy, seed)
            outcomes = model.run(
                requests, [Event(10.0, _turn_gray)], _ARRIVALS_SECONDS + 5
            )
            p99, share = worst_team(outcomes)
            p99_by_case[case] = p99
            emit(
                Measurement(f"worst team p99, {case}, {site}", policy, p99, "ms", seed)
            )
            label = f"worst team served, {case}, {site}"
            emit(Measurement(label, policy, 100 * share, "%", seed))
        ratio = p99_by_case["noisy"] / p99_by_case["quiet"]
        label = f"worst team p99 noisy over quiet, {site}"
        emit(Measurement(label, policy, ratio, "ratio", seed))


def measure_zone_move(site: str, size: ServiceSize, seed: int) -> None:
    """Measure a zone that goes out at short notice and returns with cold targets."""
    cold_size = replace(size, cold_answers=200)

    def return_cold(model: ServiceModel) -> None:
        for target in model.targets:
            if target.zone == "zone-1":
                target.turn_cold()
        model.set_zone_out("")

    events = [
        Event(10.0, lambda model: model.set_zone_out("zone-1")),
        Event(20.0, return_cold),
    ]
    for policy, is_fleet_policy in POLICIES:
        requests, _ = team_requests(size, 0.8, seed, is_fleet_policy)
        model = ServiceModel(cold_size, is_fleet_policy, seed)
        outcomes = model.run(requests, events, _ARRIVALS_SECONDS + 5)
        _emit_service(
            f"zone move, {site}", policy, model, outcomes, len(requests), seed
        )


def measure_cold_start(site: str, size: ServiceSize, seed: int) -> None:
    """Measure a service of which all targets turn cold at once under load."""
    cold_size = replace(size, cold_answers=200)

    def turn_cold(model: ServiceModel) -> None:
        for target in model.targets:
            target.turn_cold()

    for policy, is_fleet_policy in POLICIES:
        requests, _ = team_requests(size, 0.8, seed, is_fleet_policy)
        model = ServiceModel(cold_size, is_fleet_policy, seed)
        outcomes = model.run(requests, [Event(10.0, turn_cold)], _ARRIVALS_SECONDS + 5)
        _emit_service(
            f"cold start, {site}", policy, model, outcomes, len(requests), seed
        )


def _emit_service(
    label: str,
    policy: str,
    model: ServiceModel,
    outcomes: list[Outcome],
    sent: int,
    seed: int,
) -> None:
    answered_at = sorted(o.at for o in outcomes if o.is_ok)
    share = 100 * len(answered_at) / sent
    gap = max(b - a for a, b in itertools.pairwise(answered_at))
    peak_load = max(target.peak_load for target in model.targets)
    emit(Measurement(f"served, {label}", policy, share, "%", seed))
    emit(Measurement(f"longest gap, {label}", policy, gap, "s", seed))
    name = f"peak load over bearable, {label}"
    emit(Measurement(name, policy, peak_load, "ratio", seed))
    started = sum(target.started for target in model.targets)
    over_capacity = sum(target.started_over_capacity for target in model.targets)
    name = f"started beyond bearable, {label}"
    emit(Measurement(name, policy, 100 * over_capacity / started, "%", seed))


def main(seed: int = 1) -> None:
    """Run all measurements at the sizes of both sites."""
    for site, size in _SIZE_BY_SITE.items():
        measure_fairness(site, size, seed)
        measure_zone_move(site, size, seed)
        measure_cold_start(site, size, seed)


if __name__ == "__main__":
    main()
