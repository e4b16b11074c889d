"""A demonstration: a fleet with a degraded target, and a zone taken out and back."""

from __future__ import annotations

import json
import random
import statistics
import sys
import time
from collections import Counter

import curio

from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_standins.caller import Caller, CallerSettings, CallOutcome
from bramleyglade_standins.processes import FleetPlan, ProcessFleet

_SEED = 20
_PLAN = FleetPlan(
    daemons=4, zones=2, services=("catalogue", "ledger"), first_port=23_000
)
_RATE_BY_TEAM = {"studio": 200.0, "school": 100.0, "archive": 100.0}
_CALLERS_PER_TEAM = 4
_REQUESTS_PER_SECOND = 8.0
"""Rate of one caller."""

_PHASES = (
    ("no faults", 4.0),
    ("one target gray", 6.0),
    ("zone-1 out", 5.0),
    ("zone-1 back", 5.0),
)


async def run_demo() -> int:
    """Run the demonstration.

    Returns:
        0 if no answer was lost or wrong, no target received an API key and every
        daemon exited with 0; else 1.
    """
    fleet = ProcessFleet(_PLAN)
    fleet.start()
    try:
        apply_ticket(fleet, _RATE_BY_TEAM)
        await fleet.wait_ready()
        failed = await _run_phases(fleet)
        keys_seen = await _count_keys_seen(fleet)
    finally:
        unclean_stops = fleet.stop()
    for line in (
        f"keys received by targets: {keys_seen}",
        f"unclean stops: {unclean_stops}",
    ):
        print(line)
    if failed or keys_seen or unclean_stops:
        print(f"FAILED; logs are in {fleet.directory}")
        return 1
    print("every caller received complete answers to its own requests")
    return 0


async def _run_phases(fleet: ProcessFleet) -> int:
    random_source = random.Random(_SEED)
    callers = [
        _make_caller(fleet, team, random_source)
        for team in _RATE_BY_TEAM
        for _ in range(_CALLERS_PER_TEAM)
    ]
    total = sum(seconds for _, seconds in _PHASES)
    tasks = [await curio.spawn(caller.run, total) for caller in callers]
    starts = []
    for name, seconds in _PHASES:
        starts.append(time.monotonic())
        await _begin_phase(fleet, name)
        await curio.sleep(max(0.0, starts[-1] + seconds - time.monotonic()))
    for task in tasks:
        await task.join()
    outcomes = [outcome for caller in callers for outcome in caller.outcomes]
    return _print_table(outcomes, starts)


async def _begin_phase(fleet: ProcessFleet, name: str) -> None:
    if name == "one target gray":
        await fleet.set_behaviour(0, 0, slow_factor=10.0, error_share=0.2)
    elif name == "zone-1 out":
        await fleet.set_behaviour(0, 0)
        await curio.run_in_thread(fleet.run_client, "zone", "out", "zone-1")
    elif name == "zone-1 back":
        await curio.run_in_thread(fleet.run_client, "zone", "in", "zone-1")


def _make_caller(
    fleet: ProcessFleet, team: str, random_source: random.Random
) -> Caller:
    addresses = tuple(fleet.caller_address(i) for i in range(_PLAN.daemons))
    service = random_source.choice(_PLAN.services)
    settings = CallerSettings(
        team=team,
        key=f"key-of-{team}",
        path=f"/{service}/songs?page=1",
        addresses=addresses,
        requests_per_second=_REQUESTS_PER_SECOND,
    )
    return Caller(settings, random.Random(random_source.getrandbits(64)))


def apply_ticket(fleet: ProcessFleet, rate_by_team: dict[str, float]) -> None:
    """Apply a first ticket with all zones, services and teams with the client.

    Args:
        fleet: The fleet, which may still be starting.
        rate_by_team: Rate of each team, which is also its burst. The key of a team
            is `key-of-` followed by its name.
    """
    plan = fleet.plan
    zones = [f"zone-{i}" for i in range(plan.zones)]
    entities: list[dict[str, object]] = [
        {"kind": "zone", "name": zone, "region": "region-1"} for zone in zones
    ]
    for service in plan.services:
        entities.append({"kind": "service", "name": service, "zones": zones})
        entities.append(
            {
                "kind": "route",
                "name": service,
                "service": service,
                "path_prefix": f"/{service}",
            }
        )
    for team, rate in rate_by_team.items():
        entities.append(
            {
                "kind": "team",
                "name": team,
                "rate": rate,
                "burst": int(rate),
                "key_hashes": [hash_key(f"key-of-{team}")],
            }
        )
    path = fleet.directory / "ticket-1.jsonc"
    ticket = {"number": 1, "summary": "the whole fleet", "entities": entities}
    path.write_text(json.dumps(ticket, indent=2))
    _run_client_when_ready(fleet, "ticket", "apply", str(path))


def _run_client_when_ready(fleet: ProcessFleet, *arguments: str) -> None:
    """Run the client; retry while the store is still starting."""
    for _ in range(20):
        try:
            fleet.run_client(*arguments)
            return
        except RuntimeError:
            time.sleep(0.2)
    fleet.run_client(*arguments)


async def _count_keys_seen(fleet: ProcessFleet) -> int:
    seen = 0
    for index in range(_PLAN.daemons):
        for service in range(len(_PLAN.services)):
            counts = await fleet.get_json(
                fleet.target_address(index, service), "/-/counts"
            )
            seen += counts["keys_seen"]
    return seen


def _print_table(outcomes: list[CallOutcome], starts: list[float]) -> int:
    """Print the outcomes of each phase; return how many were lost or wrong."""
    print(f"{'phase':18}{'requests':>9}{'ok':>7}{'p50 ms':>9}{'p99 ms':>9}  others")
    bad_count = 0
    for index, (name, _) in enumerate(_PHASES):
        end = starts[index + 1] if index + 1 < len(starts) else float("inf")
        begin = starts[index] if index else 0.0
        calls = [o for o in outcomes if begin <= o.at < end]
        codes = Counter(o.code for o in calls)
        seconds = sorted(o.seconds for o in calls) or [0.0]
        rest = {code: count for code, count in codes.items() if code != "ok"}
        bad_count += sum(codes[code] for code in ("wrong", "lost"))
        for outcome in (o for o in calls if o.code in ("lost", "wrong")):
            print(f"  {outcome}")
        p50 = statistics.median(seconds) * 1000
        p99 = seconds[int(0.99 * (len(seconds) - 1))] * 1000
        print(
            f"{name:18}{len(calls):9}{codes['ok']:7}{p50:9.1f}{p99:9.1f}  {rest or ''}"
        )
    return bad_count


def main() -> None:
    """Run the demonstration and exit with its result."""
    sys.exit(curio.run(run_demo))


if __name__ == "__main__":
    main()
