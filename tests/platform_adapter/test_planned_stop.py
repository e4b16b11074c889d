"""A daemon that is being stopped keeps what it has begun."""

from __future__ import annotations

from dataclasses import replace

from bramleyglade_core.model.announcements import DaemonPhase

from .documents import CONFIGURATION

SEARCH = {
    **CONFIGURATION["Routes"]["r-search"],
    "Service": "catalogue",
    "TrafficSplit": None,
    "TimeoutS": 5,
}
WARM_UP_CALLS = 12


def test_leaving_daemon_does_not_give_up_a_request_that_a_target_works_on(
    run_platform_fleet,
):
    async def scenario(fleet):
        version = {**CONFIGURATION, "Version": "r8", "Routes": {"r-search": SEARCH}}
        fleet.platform.put("config", "main", version)
        await fleet.wait_until(
            lambda: all(
                d.context.configuration.whole_ticket == 8 for d in fleet.daemons
            )
        )
        for _ in range(WARM_UP_CALLS):
            await fleet.call(0, "GET", "/search/a", "")
        daemon = fleet.daemons[0]
        daemon.context.phase = DaemonPhase.LEAVING
        await daemon.records.publish()
        slow, other = fleet.targets[1:]
        slow.behaviour = replace(slow.behaviour, work_seconds=1.5)
        slow_calls = []
        while not slow_calls:
            request_id, answer = await fleet.call(0, "GET", "/search/a", "")
            assert answer.status == 200
            slow_calls = [r for r in (request_id,) if r in slow.runs_by_request]
        assert slow_calls[0] not in other.runs_by_request

    run_platform_fleet(scenario, daemons=3)
