"""Idempotent requests whose target is slow are sent to another one beside it.

The first attempt used to be cancelled before another target had accepted the request.
If none did, the caller got 502 in place of the answer that was being made, also while
its daemon was being stopped.
"""

from __future__ import annotations

import json
from dataclasses import replace

import curio
import pytest

from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.exchange import AnswerEnded, AttemptFailed, Header
from bramleyglade_core.model.identifiers import TargetId
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.front import caller_exchange
from bramleyglade_daemon.front.attempts import Attempts
from bramleyglade_daemon.front.guard_ports import RemoteGuardPort
from bramleyglade_daemon.streams import FrontStream
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


def fail_all_but(fleet, target):
    for other in fleet.targets:
        if other is not target:
            other.behaviour = replace(other.behaviour, reset_share=1.0)


def refuse_offers_elsewhere(fleet, target):
    """Let all guards but a target's refuse offers, which fronts don't know yet."""
    for daemon in fleet.daemons:
        if target.announced.name not in daemon.guard.runner_by_name:
            daemon.context.phase = DaemonPhase.LEAVING


def test_answer_of_a_slow_target_is_delivered_if_its_retry_fails(run_fleet):
    async def scenario(fleet):
        held, call = await start_call(fleet)
        slow = held.arrived[0]
        fail_all_but(fleet, slow)
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
        refuse_offers_elsewhere(fleet, slow)
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


def test_no_third_target_is_tried_after_the_first_has_answered(
    run_fleet, slow_loans, monkeypatch
):
    """It answered while peers were asked for the retry."""
    picks = []
    make_offer = Attempts._make_offer

    def note_offer(attempts, pick):
        picks.append(pick)
        return make_offer(attempts, pick)

    async def scenario(fleet):
        monkeypatch.setattr(Attempts, "_make_offer", note_offer)
        held, call = await start_call(fleet)
        await held.wait_for(2)
        picks.clear()
        loans = slow_loans()
        fleet.daemons[0].front.dispatcher._retries = loans
        await loans.asked.wait()
        await held.let_go(held.arrived[0])
        await curio.sleep(0.2)
        await loans.granted.set()
        assert (await call.join()).status == 200
        assert not picks

    run_fleet(scenario, daemons=3, zones=3)


def test_no_retry_is_spent_if_no_other_target_is_left(run_fleet):
    async def scenario(fleet):
        held, call = await start_call(fleet)
        await held.wait_for(2)
        slow, other = held.arrived
        spent = []

        class NoRetries:
            async def try_spend(self, service, verdict):
                spent.append(verdict)
                return True

        fleet.daemons[0].front.dispatcher._retries = NoRetries()
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, reset_share=1.0)
        await held.let_go(other)
        await curio.sleep(0.2)
        await held.let_go(slow)
        answer = await call.join()
        assert answer.status == 502
        assert json.loads(answer.body)["code"] == "answer-truncated"
        assert not spent

    run_fleet(scenario)


def test_slow_attempt_ends_when_another_answer_is_sent(run_fleet, monkeypatch):
    """Its target would work on while a long answer is relayed."""

    async def scenario(fleet):
        monkeypatch.setattr(caller_exchange, "_MAX_BUFFERED_BYTES", 1)
        held, call = await start_call(fleet)
        await held.wait_for(2)
        deliver = FrontStream.deliver
        ends = []

        async def deliver_but_no_end(stream, message):
            if isinstance(message, AnswerEnded):
                ends.append((stream, message))
            else:
                await deliver(stream, message)

        monkeypatch.setattr(FrontStream, "deliver", deliver_but_no_end)
        await held.let_go(held.arrived[1])
        await fleet.wait_until(lambda: bool(ends))
        front = fleet.daemons[0].front
        await fleet.wait_until(lambda: open_attempts(front) == 1)
        for stream, message in ends:
            await deliver(stream, message)
        assert (await call.join()).status == 200

    run_fleet(scenario)


def test_slow_request_is_offered_to_no_target_without_a_link(run_fleet, monkeypatch):
    """An answer of the slow target would not be received while the link is opened."""

    async def scenario(fleet):
        offers = []

        async def offer(port, offered):
            offers.append(offered)
            raise LinkLost(ErrorCode.PEER_LOST, "no link")

        for _ in range(WARM_UP_CALLS):
            assert (await fleet.call(path="/lookup/1")).status == 200
        front = fleet.daemons[0].front
        remote = TargetId("vm-1", "target-1")
        front.context.picker.avoid(remote, 4, front.context.clock() + 60.0)
        held, call = await start_call(fleet)
        assert held.arrived == [fleet.targets[0]]
        monkeypatch.setattr(RemoteGuardPort, "offer", offer)
        fleet.blocked_pairs.add(frozenset((0, 1)))
        await fleet.cut_links(0, 1)
        await fleet.wait_until(lambda: has_slow(front))
        await held.let_go(fleet.targets[0])
        assert (await call.join()).status == 200
        assert not offers

    run_fleet(scenario)


@pytest.mark.parametrize("verdict", [Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN])
def test_slow_attempt_that_was_never_started_leaves_the_request_not_run(
    run_fleet, verdict
):
    """It waited in its guard's queue, and was refused when its target left."""

    async def scenario(fleet):
        held, call = await start_call(fleet)
        slow = held.arrived[0]
        front = fleet.daemons[0].front
        refuse_offers_elsewhere(fleet, slow)
        await fleet.wait_until(lambda: has_slow(front))
        failed = AttemptFailed(ErrorCode.TARGET_DRAINING, "the target leaves", verdict)
        for connection in front.connections:
            for exchange in connection._exchanges:
                await exchange._attempts.stream.deliver(failed)
        answer = await call.join()
        assert answer.status == (503 if verdict is Verdict.NOT_RUN else 502)
        assert answer.header("x-fleet-verdict") == verdict.value

    run_fleet(scenario)


def test_request_that_went_back_to_a_slow_target_and_is_given_up_may_have_run(
    run_fleet,
):
    async def scenario(fleet):
        held, call = await start_call(fleet)
        slow = held.arrived[0]
        front = fleet.daemons[0].front
        refuse_offers_elsewhere(fleet, slow)
        await fleet.wait_until(lambda: has_slow(front))
        await front.give_up()
        answer = await call.join()
        assert answer.status == 502
        assert answer.header("x-fleet-verdict") == "may-have-run"

    run_fleet(scenario)


def open_attempts(front):
    return sum(
        len(exchange._attempts._open._attempts)
        for connection in front.connections
        for exchange in connection._exchanges
    )


def has_slow(front):
    """Return whether a request has gone back to a slow attempt."""
    return any(
        exchange._attempts is not None and exchange._attempts._must_go_back
        for connection in front.connections
        for exchange in connection._exchanges
    )
