"""Idempotent requests whose target is slow are sent to another one beside it.

The first attempt used to be cancelled before another target had accepted the request.
If none did, the caller got 502 in place of the answer that was being made, also while
its daemon was being stopped.
"""

from __future__ import annotations

from dataclasses import replace

import curio
import pytest

from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.exchange import Header
from bramleyglade_standins.local_fleet import KEY
from bramleyglade_standins.target_server import TargetStep

WARM_UP_CALLS = 20


class HeldTargets:
    """Holds requests at the targets that they reach, until a test lets them go on."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.arrived = []
        """Targets that requests have reached, in order."""
        self._may_answer_by_name = {}

    def hold(self, *targets):
        for target in targets:
            event = self._may_answer_by_name[target.announced.name] = curio.Event()
            target.on_step = self._holder(target, event)

    def _holder(self, target, event):
        async def on_step(step):
            if step is TargetStep.ARRIVED:
                self.arrived.append(target)
                await event.wait()

        return on_step

    async def let_go(self, target):
        await self._may_answer_by_name[target.announced.name].set()

    async def wait_for(self, count):
        await self._fleet.wait_until(lambda: len(self.arrived) >= count)


async def start_call(fleet):
    """Send an idempotent request that its first target holds."""
    for _ in range(WARM_UP_CALLS):
        assert (await fleet.call(path="/lookup/1")).status == 200
    held = HeldTargets(fleet)
    held.hold(*fleet.targets)
    headers = (Header("x-request-id", "once"),)
    call = await curio.spawn(fleet.call, 0, "GET", "/lookup/1", b"", KEY, headers)
    await held.wait_for(1)
    return held, call


def refuse_all_but(fleet, target):
    for other in fleet.targets:
        if other is not target:
            other.behaviour = replace(other.behaviour, reset_share=1.0)


def test_answer_of_a_slow_target_is_delivered_if_its_retry_fails(run_fleet):
    async def scenario(fleet):
        held, call = await start_call(fleet)
        slow = held.arrived[0]
        refuse_all_but(fleet, slow)
        await held.wait_for(2)
        for other in fleet.targets:
            if other is not slow:
                await held.let_go(other)
        await curio.sleep(0.2)
        await held.let_go(slow)
        answer = await call.join()
        assert answer.status == 200
        assert slow.running == 0

    run_fleet(scenario)


def test_answer_of_a_slow_target_is_delivered_if_no_other_accepts_the_request(
    run_fleet,
):
    async def scenario(fleet):
        held, call = await start_call(fleet)
        slow = held.arrived[0]
        front = fleet.daemons[0].front
        for daemon in fleet.daemons:
            if slow.announced.name not in daemon.guard.runner_by_name:
                # Its guard refuses offers, which other daemons don't know yet.
                daemon.context.phase = DaemonPhase.LEAVING
        await fleet.wait_until(lambda: has_retried(front))
        await held.let_go(slow)
        assert (await call.join()).status == 200

    run_fleet(scenario)


def has_retried(front):
    return any(
        exchange._attempts is not None and exchange._attempts._count > 1
        for connection in front.connections
        for exchange in connection._exchanges
    )


@pytest.mark.parametrize("winner", [0, 1])
def test_first_answer_of_two_targets_is_delivered_and_the_other_attempt_is_cancelled(
    run_fleet, winner
):
    async def scenario(fleet):
        held, call = await start_call(fleet)
        await held.wait_for(2)
        await held.let_go(held.arrived[winner])
        answer = await call.join()
        assert answer.status == 200
        name = held.arrived[winner].announced.name
        assert f'"target": "{name}"'.encode() in answer.body
        await fleet.wait_until(lambda: not any(d.guard.busy for d in fleet.daemons))

    run_fleet(scenario)


def test_stop_that_begins_while_a_loan_is_asked_breaks_off_no_request(
    run_fleet, slow_loans
):
    async def scenario(fleet):
        loans = slow_loans()
        front = fleet.daemons[0].front
        held, call = await start_call(fleet)
        front.dispatcher._retries = loans
        await loans.asked.wait()
        stop = await curio.spawn(fleet.daemons[0].stop)
        await fleet.wait_until(lambda: fleet.daemons[0].context.is_leaving)
        await loans.granted.set()
        await curio.sleep(0.3)
        for target in fleet.targets:
            await held.let_go(target)
        assert (await call.join()).status == 200
        assert fleet.runs("once") == 1
        await stop.join()

    run_fleet(scenario)


def test_caller_that_leaves_ends_all_attempts_of_its_request(run_fleet):
    async def scenario(fleet):
        held, call = await start_call(fleet)
        await held.wait_for(2)
        await call.cancel()
        await fleet.wait_until(lambda: not any(d.guard.busy for d in fleet.daemons))
        assert len(held.arrived) == 2

    run_fleet(scenario)


def test_request_of_a_caller_that_has_left_is_not_sent_again(run_fleet):

    async def scenario(fleet):
        held, call = await start_call(fleet)
        await call.cancel()
        await fleet.wait_until(lambda: not any(d.guard.busy for d in fleet.daemons))
        await fleet.wait_until(lambda: not fleet.daemons[0].front.busy)
        assert len(held.arrived) == 1

    run_fleet(scenario)
