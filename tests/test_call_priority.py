"""Precedence of the calls of executing requests over new work at a guard."""

from __future__ import annotations

from dataclasses import replace

import curio
import pytest

from bramleyglade_core.decisions.admission import is_own_vm
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.exchange import AttemptOffered, Header
from bramleyglade_core.model.identifiers import AttemptId, DaemonId
from bramleyglade_daemon.guard.guard import LocalGuardPort


def make_attempt(number, **changes):
    """Make an attempt of new work for the target of the first VM."""
    offered = AttemptOffered(
        attempt=AttemptId(DaemonId("front", 1), 1, number),
        target="target-0",
        service="catalogue",
        team="",
        method="GET",
        path="/open/1",
        headers=(Header("x-request-id", f"r{number}"),),
        deadline_seconds=20.0,
        is_idempotent=True,
        has_body=False,
    )
    return replace(offered, **changes)


async def fill_target(fleet):
    """Hold requests at the first target, one in each slot.

    Returns:
        The port of its guard, the target's runner, and the event that lets the target
        answer.
    """
    port = LocalGuardPort(fleet.daemons[0].guard, 65_536)
    runner = fleet.daemons[0].guard.runner_by_name["target-0"]
    may_answer = curio.Event()

    async def hold(step):
        await may_answer.wait()

    fleet.targets[0].on_step = hold
    number = 0
    while runner.running < runner._limit():
        number += 1
        await port.offer(make_attempt(number))
        await curio.sleep(0.02)
    return port, runner, may_answer


def test_queued_call_starts_before_new_work_that_came_first(run_fleet):
    """Calls waited behind new work, and their parents' work was lost at the deadline.

    The call is of the least urgent route and its objective has passed.
    """

    async def scenario(fleet):
        port, runner, may_answer = await fill_target(fleet)
        started = []
        check_start = runner.check_start

        def note_start(item):
            started.append(item.offered.attempt.attempt)
            check_start(item)

        runner.check_start = note_start
        for number in range(100, 104):
            await port.offer(make_attempt(number))
        call = make_attempt(200, is_call=True, priority=9, objective_seconds=0.0)
        stream = await port.offer(call)
        await may_answer.set()
        await stream.receive()
        await fleet.wait_until(lambda: len(started) == 5)
        assert started[0] == 200
        await fleet.wait_until(lambda: not runner.busy)

    run_fleet(scenario, daemons=1, zones=1)


def test_call_takes_the_place_of_new_work_in_a_full_queue(run_fleet):
    """A full queue of downloads refused the calls of urgent requests."""

    async def scenario(fleet):
        port, runner, may_answer = await fill_target(fleet)
        bound = fleet.daemons[0].context.settings.guard.queue_per_target
        streams = [
            await port.offer(make_attempt(100 + number)) for number in range(bound)
        ]
        call = await port.offer(make_attempt(9999, is_call=True, priority=2))
        refused = await streams[-1].receive()
        assert refused.code is ErrorCode.QUEUE_FULL
        await may_answer.set()
        assert (await call.receive()).status == 200
        await fleet.wait_until(lambda: not runner.busy)

    run_fleet(scenario, daemons=1, zones=1)


def test_only_requests_sent_during_an_execution_on_the_vm_are_calls(run_fleet):
    """Callers' requests on a route open to all must not pass for calls."""

    async def scenario(fleet):
        daemon = fleet.daemons[0]
        offers = []
        submit = daemon.guard.accept

        async def note_offer(offered, stream):
            offers.append((offered.path, offered.is_call))
            await submit(offered, stream)

        daemon.guard.accept = note_offer
        runner = daemon.guard.runner_by_name["target-0"]
        while runner._limit() < 2:  # The call needs a slot beside its parent's.
            await fleet.call(path="/songs/warm")
        await fleet.call(path="/open/before")

        async def call_once(step):
            fleet.targets[0].on_step = None
            await fleet.call(path="/open/during", key="")

        fleet.targets[0].on_step = call_once
        assert (await fleet.call(path="/songs/parent")).status == 200
        assert ("/open/before", False) in offers
        assert ("/songs/parent", False) in offers
        assert ("/open/during", True) in offers
        calls = daemon.context.run_calls
        await fleet.wait_until(lambda: not daemon.guard.busy)
        assert not calls._running_by_route
        assert calls._calls_by_service == {"catalogue": 1.0}
        assert calls._runs_by_route["open"] == 2.0

    run_fleet(scenario, daemons=1, zones=1)


@pytest.mark.parametrize(
    ("host", "is_own"),
    [
        ("127.0.0.1", True),
        ("::1", True),
        ("10.0.0.5", True),
        ("10.0.0.6", True),
        ("10.0.0.7", False),
        ("", False),
        ("not-an-address", False),
    ],
)
def test_connection_comes_from_the_own_vm_by_its_address(host, is_own):
    """A caller elsewhere must not gain the precedence of calls."""
    assert is_own_vm(host, "10.0.0.5", {"10.0.0.6"}) is is_own
