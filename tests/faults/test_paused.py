"""Requests to daemon processes, one of which the operating system pauses."""

from __future__ import annotations

import random
import signal

import curio
import pytest

from bramleyglade_standins.caller import Caller, CallerSettings
from bramleyglade_standins.demo import apply_ticket
from bramleyglade_standins.processes import FleetPlan, ProcessFleet

PLAN = FleetPlan(daemons=3, zones=3, services=("catalogue",), first_port=26_000)
RUN_SECONDS = 14.0
PAUSE_SECONDS = 9.0
"""Longer than the lease term and the suspicion timeout."""


async def run_with_pause(paused_index, method):
    """Send requests to all daemons, and pause one of them meanwhile."""
    fleet = ProcessFleet(PLAN)
    fleet.start()
    try:
        apply_ticket(fleet, {"studio": 200.0})
        await fleet.wait_ready()
        settings = CallerSettings(
            team="studio",
            key="key-of-studio",
            path="/catalogue/x",
            addresses=tuple(fleet.caller_address(i) for i in range(3)),
            requests_per_second=10.0,
            method=method,
        )
        callers = [Caller(settings, random.Random(seed)) for seed in range(6)]
        tasks = [await curio.spawn(caller.run, RUN_SECONDS) for caller in callers]
        await curio.sleep(2.0)
        fleet.processes[f"vm-{paused_index}"].send_signal(signal.SIGSTOP)
        await curio.sleep(PAUSE_SECONDS)
        fleet.processes[f"vm-{paused_index}"].send_signal(signal.SIGCONT)
        for task in tasks:
            await task.join()
        await curio.sleep(1.0)
        runs = {}
        for index in range(3):
            counts = await fleet.get_json(fleet.target_address(index, 0), "/-/counts")
            for request_id, count in counts["runs"].items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs, [outcome for caller in callers for outcome in caller.outcomes]
    finally:
        for process in fleet.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        fleet.stop()


@pytest.mark.full
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_requests_stay_correct_while_a_daemon_is_paused(record_property, method):
    """Guards against a resumed daemon that acts on what it knew before the pause.

    Its peers have suspected it and its lease has expired, but it still has requests
    in progress. No write may run twice, no verdict `not-run` may be false, and each
    answer must belong to its request.
    """
    runs, outcomes = curio.run(run_with_pause, 1, method)
    record_property("faults", "DaemonPaused")
    record_property("step", method)
    repeated = [key for key, count in runs.items() if count > 1]
    false_verdicts = [
        o for o in outcomes if o.verdict == "not-run" and runs.get(o.request_id)
    ]
    wrong = [o for o in outcomes if o.code == "wrong"]
    record_property("broken", [len(repeated), len(false_verdicts), len(wrong)])
    record_property("served", sum(o.code == "ok" for o in outcomes))
    assert method == "GET" or not repeated
    assert not false_verdicts
    assert not wrong
    assert sum(o.code == "ok" for o in outcomes) > 100
