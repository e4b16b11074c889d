"""A planned stop cuts no request that was read: it is answered, or refused truly.

Callers keep their connections open and go on sending until the process is gone. A
request that was read and passed on shortly before the end used to be cut off.
"""

from __future__ import annotations

import json
import logging
from dataclasses import replace

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
)
from bramleyglade_core.decisions.shard_keeper import KeeperPhase
from bramleyglade_core.decisions.stop_schedule import ExpectedTimes, plan_stop
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.exchange import AnswerEnded, Header
from bramleyglade_core.model.identifiers import Address
from bramleyglade_daemon.streams import FrontStream
from bramleyglade_standins.local_fleet import KEY, kill_daemon, make_settings
from bramleyglade_standins.memory_store import StoreFaults
from bramleyglade_standins.target_server import TargetStep

STOP_SECONDS = 1.5
NOTICE_SECONDS = 0.3


def shorten_stop(daemon, stop_seconds=STOP_SECONDS):
    context = daemon.context
    context.settings = replace(
        context.settings, stop_seconds=stop_seconds, notice_seconds=NOTICE_SECONDS
    )


async def stop_and_end(daemon):
    """Stop a daemon, then end its connections as the end of its process does."""
    await daemon.stop()
    await kill_daemon(daemon)


class LateCaller:
    """Sends requests over one connection until the connection is closed."""

    def __init__(self, address, name, path="/songs/1", key=KEY, pause=0.0):
        self._client = SimpleClient(address)
        self._name = name
        self._path = path
        self._key = key
        self._pause = pause
        self.answers = {}
        """Answer by request; None if the connection was closed instead."""

    async def run(self):
        for number in range(100_000):
            request_id = f"{self._name}-{number}"
            headers = (Header("x-request-id", request_id),)
            if self._key:
                headers += (Header("x-api-key", self._key),)
            try:
                answer = await self._client.request(
                    "POST", self._path, b"body", headers, timeout_seconds=20.0
                )
            except AnswerLost:
                self.answers[request_id] = None
                return
            except RequestNotSent:
                return
            self.answers[request_id] = answer
            if answer.header("connection") == "close":
                await self._client.close()
            await curio.sleep(self._pause)


def check_answers(fleet, answers):
    """Check that refusals did not run, and that what was cut off was never read."""
    for request_id, answer in answers.items():
        runs = fleet.runs(request_id)
        assert runs <= 1
        if answer is None:
            assert runs == 0, f"{request_id} ran and was cut off"
        elif answer.status in (429, 503):
            assert runs == 0, f"{request_id} was refused and ran"
            assert answer.header("x-fleet-verdict") == "not-run"
        else:
            assert answer.status == 200
            assert runs == 1


@pytest.mark.parametrize("work_seconds", [0.004, 0.15])
def test_stopping_daemon_cuts_no_request_that_it_has_read(run_fleet, work_seconds):
    async def scenario(fleet):
        daemon = fleet.daemons[0]
        shorten_stop(daemon)
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, work_seconds=work_seconds)
        address = fleet.settings[0].caller_address
        callers = [
            LateCaller(address, f"c{i}", pause=0.001 * (i % 4)) for i in range(12)
        ]
        tasks = [await curio.spawn(caller.run) for caller in callers]
        await curio.sleep(0.1)
        await stop_and_end(daemon)
        for task in tasks:
            await task.join()
        answers = {k: v for caller in callers for k, v in caller.answers.items()}
        assert any(answer is not None for answer in answers.values())
        check_answers(fleet, answers)

    run_fleet(scenario)


def test_connection_that_idles_through_a_stop_is_closed_before_its_end(run_fleet):
    """A caller that sends late in the grace must not find a daemon that still reads."""

    async def scenario(fleet):
        daemon = fleet.daemons[0]
        shorten_stop(daemon)
        address = fleet.settings[0].caller_address
        callers = [
            LateCaller(address, f"late{i}", pause=NOTICE_SECONDS + 0.02 * i)
            for i in range(10)
        ]
        tasks = [await curio.spawn(caller.run) for caller in callers]
        await curio.sleep(0.05)
        await stop_and_end(daemon)
        for task in tasks:
            await task.join()
        answers = {k: v for caller in callers for k, v in caller.answers.items()}
        check_answers(fleet, answers)

    run_fleet(scenario)


def test_request_that_runs_at_the_end_of_a_stop_gets_a_true_answer(run_fleet, caplog):
    """It must not be cut off, nor be called not run."""
    caplog.set_level(logging.INFO)

    async def scenario(fleet):
        daemon = fleet.daemons[0]
        shorten_stop(daemon)
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, work_seconds=4.0)
        call = await curio.spawn(fleet.call, 0, "POST")
        await fleet.wait_until(lambda: any(t.running for t in fleet.targets))
        await stop_and_end(daemon)
        answer = await call.join()
        assert answer.status == 502
        assert json.loads(answer.body)["code"] == "daemon-stopping"
        assert answer.header("x-fleet-verdict") == "may-have-run"
        assert "GraceEnded" in [record.message for record in caplog.records]

    run_fleet(scenario)


def test_stop_that_ends_before_its_grace_does_not_log_its_end(run_fleet, caplog):
    async def scenario(fleet):
        shorten_stop(fleet.daemons[0])
        await fleet.daemons[0].stop()
        events = [record.message for record in caplog.records]
        assert "DaemonStopped" in events
        assert "GraceEnded" not in events

    caplog.set_level(logging.INFO)
    run_fleet(scenario)


async def use_only_one_vm(fleet, index):
    """Leave the requests of two VMs no target but that of one."""
    other = 1 - index
    await fleet.announcers[other].cancel()
    await fleet.daemons[other].guard.drain(f"target-{other}")
    await fleet.wait_until(
        lambda: all(
            len(daemon.context.directory.candidates("catalogue")) == 1
            for daemon in fleet.daemons
        )
    )
    return fleet.targets[index]


def test_request_whose_outcome_is_asked_at_the_end_of_a_stop_is_answered(run_fleet):
    """Its guard can't be reached, so it waited for neither a target nor an attempt."""

    async def scenario(fleet):
        target = await use_only_one_vm(fleet, 1)
        shorten_stop(fleet.daemons[0])
        target.behaviour = replace(target.behaviour, work_seconds=4.0)
        call = await curio.spawn(fleet.call, 0, "POST")
        await fleet.wait_until(lambda: target.running)
        fleet.blocked_pairs.add(frozenset((0, 1)))
        await fleet.cut_links(0, 1)
        await stop_and_end(fleet.daemons[0])
        answer = await call.join()
        assert answer.status == 502
        assert answer.header("x-fleet-verdict") == "may-have-run"

    run_fleet(scenario)


def test_request_that_waits_for_a_link_at_the_end_of_a_stop_is_answered(run_fleet):
    async def scenario(fleet):
        target = await use_only_one_vm(fleet, 1)
        daemon = fleet.daemons[0]
        shorten_stop(daemon, 0.4)

        async def never_connect(address, timeout_seconds):
            await curio.sleep(10.0)
            raise ConnectionRefusedError

        daemon.peers.connect = never_connect
        fleet.blocked_pairs.add(frozenset((0, 1)))
        await fleet.cut_links(0, 1)
        await fleet.wait_until(lambda: not daemon.peers.open_links())
        call = await curio.spawn(fleet.call, 0, "POST")
        await fleet.wait_until(lambda: daemon.front.busy)
        await stop_and_end(daemon)
        answer = await call.join()
        assert answer.status in (502, 503)
        assert not target.runs_by_request

    run_fleet(scenario)


async def start_parent(fleet, work_seconds):
    """Send a request that works on the first VM, then give the second a target."""
    target = await use_only_one_vm(fleet, 0)
    target.behaviour = replace(target.behaviour, work_seconds=work_seconds)
    parent = await curio.spawn(fleet.call, 0, "POST")
    await fleet.wait_until(lambda: target.running)
    await fleet.start_target(1, name="target-2")
    await fleet.wait_until(
        lambda: len(fleet.daemons[0].context.directory.candidates("catalogue")) == 2
    )
    return parent


async def stop_until_notice_has_ended(fleet):
    daemon = fleet.daemons[0]
    stop = await curio.spawn(daemon.stop)
    await fleet.wait_until(lambda: daemon.context.stop_schedule is not None)
    schedule = daemon.context.stop_schedule
    await fleet.wait_until(
        lambda: daemon.context.clock() > schedule.notice_ends_at + 0.05
    )
    return stop


def test_calls_of_a_target_are_served_while_it_works_on_a_request(run_fleet):
    """A request that runs through a stop must not fail for want of its calls."""

    async def scenario(fleet):
        shorten_stop(fleet.daemons[0], stop_seconds=3.0)
        parent = await start_parent(fleet, work_seconds=1.0)
        stop = await stop_until_notice_has_ended(fleet)
        in_time = (Header("x-request-timeout-seconds", "0.6"),)
        call = await fleet.call(0, "GET", "/open/x", key="", headers=in_time)
        keyed = await fleet.call(0, "GET", "/lookup/x", headers=in_time)
        assert call.status == 200
        assert (keyed.status, keyed.header("x-fleet-verdict")) == (503, "not-run")
        assert (await parent.join()).status == 200
        await stop.join()

    run_fleet(scenario)


def test_request_that_may_outlast_the_stop_is_refused_after_the_notice(run_fleet):
    """It would be given up while its target works on it."""

    async def scenario(fleet):
        shorten_stop(fleet.daemons[0], stop_seconds=3.0)
        parent = await start_parent(fleet, work_seconds=1.0)
        stop = await stop_until_notice_has_ended(fleet)
        late = await fleet.call(0, "POST", "/open/x", key="")
        assert (late.status, late.header("x-fleet-verdict")) == (503, "not-run")
        assert (await parent.join()).status == 200
        await stop.join()

    run_fleet(scenario)


@given(
    now=st.floats(0, 40),
    has_key=st.booleans(),
    typical=st.floats(0, 10),
    timeout=st.floats(0, 10),
    wait=st.floats(0, 10),
    stop_seconds=st.floats(1, 30),
    notice_share=st.floats(0, 0.9),
)
def test_schedule_accepts_nothing_that_cannot_end_in_time(
    now, has_key, typical, timeout, wait, stop_seconds, notice_share
):
    addresses = [Address("127.0.0.1", 1)] * 3
    schedule = plan_stop(
        replace(
            make_settings("vm-0", "zone-0", addresses, ()),
            stop_seconds=stop_seconds,
            notice_seconds=notice_share * stop_seconds,
        ),
        0.0,
    )
    assert schedule.notice_ends_at <= schedule.acceptance_ends_at <= schedule.ends_at
    expected = ExpectedTimes(typical, wait)
    if schedule.accepts(now, has_key, timeout, expected):
        assert now + wait + typical <= stop_seconds
        assert now < schedule.acceptance_ends_at
        assert now < schedule.notice_ends_at or now + timeout <= stop_seconds
        assert schedule.accepts(now, False, timeout, expected)


def test_request_read_after_the_last_point_of_acceptance_is_refused(run_fleet):
    """Its bytes may have arrived when reading stops; it needs no key."""

    async def scenario(fleet):
        daemon = fleet.daemons[0]
        shorten_stop(daemon, stop_seconds=5.0)
        stop = await curio.spawn(daemon.stop)
        await fleet.wait_until(lambda: not daemon.front.is_accepting)
        schedule = daemon.context.stop_schedule
        now = daemon.context.clock()
        assert not schedule.accepts(now, False, 0.0, ExpectedTimes())
        await stop.join()

    run_fleet(scenario)


def test_request_behind_a_queue_that_outlasts_the_stop_is_refused(run_fleet):
    """It would wait for a slot until the stop ends, and then fail."""

    async def scenario(fleet):
        daemon = fleet.daemons[0]
        target = await use_only_one_vm(fleet, 1)
        target.behaviour = replace(target.behaviour, work_seconds=0.4)
        for _ in range(4):
            assert (await fleet.call(0, "POST")).status == 200
        shorten_stop(daemon, stop_seconds=2.0)
        queued = [await curio.spawn(fleet.call, 1, "POST") for _ in range(12)]
        name = target.announced.name
        views = daemon.context.picker.view_by_target
        await fleet.wait_until(
            lambda: any(v.busy >= 8 for t, v in views.items() if t.name == name)
        )
        stop = await curio.spawn(daemon.stop)
        await fleet.wait_until(lambda: daemon.context.is_leaving)
        late = await fleet.call(0, "POST")
        assert late.status == 503
        assert json.loads(late.body)["code"] == "daemon-stopping"
        await stop.join()
        for call in queued:
            await call.join()

    run_fleet(scenario)


def test_work_of_a_withdrawn_target_is_finished_before_its_guard_ends(run_fleet):
    """A target may say that it leaves, work on, and its daemon be stopped meanwhile."""

    async def scenario(fleet):
        target = await use_only_one_vm(fleet, 1)
        daemon = fleet.daemons[1]
        shorten_stop(daemon, 5.0)
        target.behaviour = replace(target.behaviour, work_seconds=1.5)
        call = await curio.spawn(fleet.call, 0, "POST")
        await fleet.wait_until(lambda: target.running)
        await fleet.announcers[1].cancel()
        await daemon.guard.withdraw("target-1")
        await stop_and_end(daemon)
        assert (await call.join()).status == 200

    run_fleet(scenario)


def test_calls_of_a_withdrawn_target_are_served_while_it_works(run_fleet):
    async def scenario(fleet):
        daemon = fleet.daemons[0]
        shorten_stop(daemon, stop_seconds=3.0)
        parent = await start_parent(fleet, work_seconds=1.0)
        await daemon.guard.withdraw("target-0")
        stop = await stop_until_notice_has_ended(fleet)
        in_time = (Header("x-request-timeout-seconds", "0.6"),)
        call = await fleet.call(0, "GET", "/open/x", key="", headers=in_time)
        assert call.status == 200
        assert (await parent.join()).status == 200
        await stop.join()

    run_fleet(scenario)


def test_error_answer_of_a_target_is_sent_at_the_end_of_a_stop(run_fleet):
    """Its retry, which can't end in time, used to hide it."""

    async def scenario(fleet):
        daemon = fleet.daemons[0]
        shorten_stop(daemon, 0.8)
        arrived = []

        def fail_first(target):
            async def on_step(step):
                if step is not TargetStep.ARRIVED:
                    return
                arrived.append(target)
                if len(arrived) == 1:
                    target.behaviour = replace(target.behaviour, error_share=1.0)
                else:
                    await curio.sleep(5.0)

            return on_step

        for target in fleet.targets:
            target.on_step = fail_first(target)
        call = await curio.spawn(fleet.call, 0, "GET", "/lookup/1")
        await fleet.wait_until(lambda: len(arrived) == 2)
        await stop_and_end(daemon)
        assert (await call.join()).status == 500

    run_fleet(scenario)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_request_that_is_given_up_as_its_answer_arrives_is_answered(
    run_fleet, monkeypatch, method
):
    """The cancellation reached the write of the answer, or the next request's wait."""

    async def scenario(fleet):
        front = fleet.daemons[0].front
        deliver = FrontStream.deliver
        given_up = []

        async def deliver_and_give_up(stream, message):
            await deliver(stream, message)
            if isinstance(message, AnswerEnded) and not given_up:
                given_up.append(message)
                await front.give_up()

        monkeypatch.setattr(FrontStream, "deliver", deliver_and_give_up)
        client = SimpleClient(fleet.settings[0].caller_address)
        key = (Header("x-api-key", KEY),)
        first = await client.request(method, "/lookup/1", b"", key)
        second = await client.request(method, "/lookup/2", b"", key)
        assert given_up
        assert (first.status, second.status) == (200, 200)
        assert len(front.connections) == 1
        await client.close()

    run_fleet(scenario)


def test_leaving_keeper_hands_over_while_its_requests_run(run_fleet):
    """A keeper that fails late in its stop leaves its teams without grants."""

    async def scenario(fleet):
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        view = fleet.daemons[0].context.view
        names = [settings.name for settings in fleet.settings]
        leaving = names.index(view.assignment_by_shard[shard].keeper.name)
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, work_seconds=3.0)
        request = await curio.spawn(fleet.call, leaving)
        await fleet.wait_until(lambda: fleet.daemons[leaving].front.busy)
        stop = await curio.spawn(fleet.daemons[leaving].stop)
        remaining = [d for i, d in enumerate(fleet.daemons) if i != leaving]
        await fleet.wait_until(
            lambda: any(
                shard in daemon.keepers._keeper_by_shard
                and daemon.keepers._keeper_by_shard[shard].phase is KeeperPhase.GRANTING
                for daemon in remaining
            )
        )
        assert not request.terminated
        await request.join()
        await stop.join()

    run_fleet(scenario, daemons=3, zones=1)


def test_leaving_keeper_keeps_its_shards_while_the_store_is_away(run_fleet):
    """No successor can be named then, so handing over would only end the grants."""

    async def scenario(fleet):
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        view = fleet.daemons[0].context.view
        name = view.assignment_by_shard[shard].keeper.name
        leaving = next(d for d in fleet.daemons if d.context.settings.name == name)
        fleet.store.faults = StoreFaults(is_away=True)
        leaving.context.phase = DaemonPhase.LEAVING
        await leaving.records.publish()
        await leaving._hand_over_early()
        assert leaving.keepers._find_local_keeper("team/studio") is not None

    run_fleet(scenario, daemons=3, zones=1)


def test_leaving_keeper_that_collects_shares_goes_on_confirming_them(run_fleet):
    """It can't hand over yet; holders it refuses would lose what they hold."""

    async def scenario(fleet):
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        name = fleet.daemons[0].context.view.assignment_by_shard[shard].keeper.name
        leaving = next(d for d in fleet.daemons if d.context.settings.name == name)
        leaving.keepers._keeper_by_shard[shard].phase = KeeperPhase.WAITING
        await leaving.keepers.hand_over_all()
        assert leaving.keepers._find_local_keeper("team/studio") is not None

    run_fleet(scenario, daemons=3, zones=1)


def test_leaving_keeper_grants_nothing_after_a_handover_without_an_answer(run_fleet):
    """The write may have taken effect, and then two keepers would grant."""

    async def scenario(fleet):
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        name = fleet.daemons[0].context.view.assignment_by_shard[shard].keeper.name
        leaving = next(d for d in fleet.daemons if d.context.settings.name == name)
        fleet.store.faults = StoreFaults(lost_answers=1)
        view = leaving.context.view
        view.apply = lambda _: False  # It learns of no assignment yet.
        await leaving.keepers.hand_over_all()
        assert view.assignment_by_shard[shard].keeper.name == name
        assert leaving.keepers._find_local_keeper("team/studio") is None
        others = [d for d in fleet.daemons if d is not leaving]
        await fleet.wait_until(
            lambda: any(d.keepers._find_local_keeper("team/studio") for d in others)
        )
        assert leaving.keepers._find_local_keeper("team/studio") is None

    run_fleet(scenario, daemons=3, zones=1)


def test_successor_that_has_left_does_not_end_the_stop(run_fleet):
    """The stop ended with an exception, and the process without its last record."""

    async def scenario(fleet):
        daemon = max(fleet.daemons, key=lambda d: len(d.keepers._keeper_by_shard))
        assert daemon.keepers._keeper_by_shard
        own_name = daemon.context.settings.name
        daemon.context.directory.serving_names = lambda: [own_name, "vm-gone"]
        daemon.context.phase = DaemonPhase.LEAVING
        await daemon.keepers.hand_over_all()

    run_fleet(scenario, daemons=3, zones=1)
