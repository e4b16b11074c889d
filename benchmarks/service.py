"""Service through a noisy team, a gray target, a zone move and a cold start."""

from __future__ import annotations

import itertools
import random
from dataclasses import replace

from benchmarks.limiter import Arrival, Bucket, ideal
from benchmarks.measure import Measurement, emit, percentile
from benchmarks.service_model import (
    Event,
    Request,
    Served,
    ServiceModel,
    ServiceSize,
)
from bramleyglade_core.model.entities import Team

_SIZES = {
    "van der heijden": ServiceSize(targets=20, zones=4, slots=4, fronts=20),
    "trentvale": ServiceSize(targets=15, zones=3, slots=3, fronts=15),
}
_TEAMS = 8
_SECONDS = 40.0
_WARM_SECONDS = 5.0
_MILLISECONDS = 1000.0
_LOAD = 0.55
"""Work offered by all teams within their rates, as a share of the slots' time."""

POLICIES = (("ours", True), ("naive", False))


def team_requests(
    size: ServiceSize, noisy_factor: float, seed: int, is_ours: bool
) -> tuple[list[Request], int]:
    """Make the admitted requests of all teams, one of which may be noisy.

    Ours admits by exact limits over all daemons; the naive policy by an equal
    static split of each team's rate.

    Args:
        size: Sizes of the service.
        noisy_factor: What team-0 sends, as a multiple of its rate.
        seed: Seed of the arrivals.
        is_ours: Which policy admits.

    Returns:
        The admitted requests in order, and how many were refused of teams
        within their rate.
    """
    randomness = random.Random(seed)
    rate = _LOAD * size.targets * size.slots / size.work_seconds / _TEAMS
    requests, refused = [], 0
    for index in range(_TEAMS):
        sent = rate * (noisy_factor if index == 0 else 0.8)
        arrivals, now = [], 0.0
        while (now := now + randomness.expovariate(sent)) < _SECONDS:
            arrivals.append(Arrival(now, randomness.randrange(size.fronts)))
        team = Team(f"team-{index}", rate, max(1, int(rate)))
        if is_ours:
            admitted = ideal(team, arrivals)
        else:
            admitted = _split(team, arrivals, size.fronts)
        for arrival, is_admitted in zip(arrivals, admitted, strict=True):
            if is_admitted:
                requests.append(Request(arrival.at, team.name, arrival.daemon))
            elif index:
                refused += 1
    return sorted(requests, key=lambda r: r.at), refused


def _split(team: Team, arrivals: list[Arrival], fronts: int) -> list[bool]:
    parts = [Bucket(team.rate / fronts, team.burst / fronts) for _ in range(fronts)]
    return [parts[arrival.daemon].try_admit(arrival.at) for arrival in arrivals]


def worst_team(served: list[Served]) -> tuple[float, float]:
    """Return p99 in ms and share served of the worst team but the noisy one.

    The first seconds are left out, in which every ramp starts from one.
    """
    served = [s for s in served if s.request.at > _WARM_SECONDS]
    worst_p99, worst_share = 0.0, 1.0
    for index in range(1, _TEAMS):
        mine = [s for s in served if s.request.team == f"team-{index}"]
        ok = [s.at - s.request.at for s in mine if s.is_ok]
        worst_p99 = max(worst_p99, _MILLISECONDS * percentile(ok, 0.99))
        worst_share = min(worst_share, len(ok) / len(mine))
    return worst_p99, worst_share


def _turn_gray(model: ServiceModel) -> None:
    model.targets[0].slow_factor = 5.0


def measure_fairness(site: str, size: ServiceSize, seed: int) -> None:
    """One team at ten times its rate, and a gray target."""
    for policy, is_ours in POLICIES:
        p99_by_case = {}
        for case, factor in (("quiet", 0.8), ("noisy", 10.0)):
            requests, _ = team_requests(size, factor, seed, is_ours)
            model = ServiceModel(size, is_ours, seed)
            served = model.run(requests, [Event(10.0, _turn_gray)], _SECONDS + 5)
            p99, share = worst_team(served)
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
    """A zone leaves at short notice and comes back with cold targets."""
    cold = replace(size, cold_answers=200)

    def come_back(model: ServiceModel) -> None:
        for target in model.targets:
            if target.zone == "zone-1":
                target.turn_cold()
        model.set_zone_out("")

    events = [Event(10.0, lambda m: m.set_zone_out("zone-1")), Event(20.0, come_back)]
    for policy, is_ours in POLICIES:
        requests, _ = team_requests(size, 0.8, seed, is_ours)
        model = ServiceModel(cold, is_ours, seed)
        served = model.run(requests, events, _SECONDS + 5)
        _emit_service(f"zone move, {site}", policy, model, served, len(requests), seed)


def measure_cold_start(site: str, size: ServiceSize, seed: int) -> None:
    """The whole service turns cold at once under load."""
    cold = replace(size, cold_answers=200)

    def turn_cold(model: ServiceModel) -> None:
        for target in model.targets:
            target.turn_cold()

    for policy, is_ours in POLICIES:
        requests, _ = team_requests(size, 0.8, seed, is_ours)
        model = ServiceModel(cold, is_ours, seed)
        served = model.run(requests, [Event(10.0, turn_cold)], _SECONDS + 5)
        _emit_service(f"cold start, {site}", policy, model, served, len(requests), seed)


def _emit_service(
    label: str,
    policy: str,
    model: ServiceModel,
    served: list[Served],
    sent: int,
    seed: int,
) -> None:
    ok = sorted(s.at for s in served if s.is_ok)
    share = 100 * len(ok) / sent
    gap = max(b - a for a, b in itertools.pairwise(ok))
    overload = max(target.worst_overload for target in model.targets)
    emit(Measurement(f"served, {label}", policy, share, "%", seed))
    emit(Measurement(f"longest gap, {label}", policy, gap, "s", seed))
    name = f"peak load over bearable, {label}"
    emit(Measurement(name, policy, overload, "ratio", seed))
    started = sum(target.started for target in model.targets)
    beyond = sum(target.started_beyond for target in model.targets)
    name = f"started beyond bearable, {label}"
    emit(Measurement(name, policy, 100 * beyond / started, "%", seed))


def main(seed: int = 1) -> None:
    """Run all measures at both sites' sizes."""
    for site, size in _SIZES.items():
        measure_fairness(site, size, seed)
        measure_zone_move(site, size, seed)
        measure_cold_start(site, size, seed)


if __name__ == "__main__":
    main()
