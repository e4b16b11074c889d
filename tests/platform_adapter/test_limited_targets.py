"""A target that names a rate gets no more than that from all VMs together."""

from __future__ import annotations

from dataclasses import replace

import curio
import pytest

from bramleyglade_core.model.exchange import AnswerStarted, Header
from bramleyglade_platform.platform_dialect import PlatformDialect

LOW_RATE = "0.01"

CALL_PAUSE_SECONDS = 0.05
"""Keeps the calls below the rate of the team (51 a second), so that its burst is left
for what follows."""


def limit(fleet, index, per_second):
    target = fleet.targets[index]
    target.behaviour = replace(target.behaviour, requests_per_second=per_second)


async def call_until_seen(fleet, index):
    while not fleet.targets[index].seen:
        await fleet.call(index)
        await curio.sleep(CALL_PAUSE_SECONDS)


def test_requests_beyond_the_rate_of_a_target_go_to_others(run_platform_fleet):
    async def scenario(fleet):
        limit(fleet, 0, LOW_RATE)
        await call_until_seen(fleet, 0)
        before = len(fleet.targets[0].seen)
        for number in range(12):
            assert (await fleet.call(number % 2))[1].status == 200
        assert len(fleet.targets[0].seen) == before

    run_platform_fleet(scenario)


def test_request_is_refused_when_all_targets_are_at_their_rates(run_platform_fleet):
    async def scenario(fleet):
        for index in (0, 1):
            limit(fleet, index, LOW_RATE)
        for index in (0, 1):
            await call_until_seen(fleet, index)
        before = [len(target.seen) for target in fleet.targets]
        request_id, answer = await fleet.call(0)
        assert answer.status == 503
        assert float(answer.header("retry-after")) > 0
        assert all(request_id not in t.runs_by_request for t in fleet.targets)
        assert [len(target.seen) for target in fleet.targets] == before

    run_platform_fleet(scenario)


def test_fronts_learn_of_a_rate_at_once(run_platform_fleet):
    async def scenario(fleet):
        await fleet.wait_until(lambda: fleet.daemons[0].peers.open_links())
        limit(fleet, 0, LOW_RATE)
        await call_until_seen(fleet, 0)

        def waits(daemon):
            views = daemon.context.picker.view_by_target.items()
            return [view.wait_seconds for target, view in views if target.name == "i-0"]

        await fleet.wait_until(lambda: all(any(waits(d)) for d in fleet.daemons))
        limit(fleet, 0, "")
        runner = fleet.daemons[0].guard.runner_by_name["i-0"]
        await runner.note_rate(None)
        await fleet.wait_until(lambda: not any(any(waits(d)) for d in fleet.daemons))

    run_platform_fleet(scenario)


@pytest.mark.parametrize("text", ["many", "-1", "nan", "inf", "1e999", ""])
def test_unusable_rate_names_no_limit(text):
    headers = (Header("attempt-id", "q1"), Header("server-limit", text))
    answer = AnswerStarted(500, headers)
    classification = PlatformDialect("catalogue").classify_answer(answer, "q1")
    assert classification.requests_per_second is None
