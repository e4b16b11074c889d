"""Daemons that ask several members at once, and end while they wait."""

from __future__ import annotations

import curio
import pytest

from bramleyglade_core.decisions.shard_keeper import KeeperPhase
from bramleyglade_daemon.fleet.gather import gather


class SilentMembers:
    """Answers no call, and counts those that wait."""

    def __init__(self):
        self.calls = 0
        self.waiting = 0

    async def call(self, *_):
        self.calls += 1
        self.waiting += 1
        try:
            await curio.sleep(1000.0)
        finally:
            self.waiting -= 1


def make_silent(daemon):
    """Let no member answer this daemon."""
    members = SilentMembers()
    daemon.peers.call = members.call
    for link in daemon.peers.open_links():
        link.call = members.call
    return members


def keeper_in(fleet):
    """Return a daemon that keeps a shard, and the keeper."""
    daemon = next(d for d in fleet.daemons if d.keepers._keeper_by_shard)
    return daemon, next(iter(daemon.keepers._keeper_by_shard.values()))


async def survey_holdings(daemon, keeper):
    await daemon.keepers._collector._query_all(keeper)


async def survey_late_holdings(daemon, keeper):
    names = daemon.context.directory.member_names()
    await daemon.keepers._collector._query_late(names, keeper)


async def survey_store_contact(daemon, keeper):
    await daemon.shared._query_sample()


async def probe_member(daemon, keeper):
    await daemon.membership._probe_indirectly("absent", needs_answer=True)


@pytest.mark.parametrize(
    "survey",
    [survey_holdings, survey_late_holdings, survey_store_contact, probe_member],
)
def test_process_that_ends_during_a_survey_logs_no_crash(run_fleet, caplog, survey):
    """The end of the process cancels the calls, which crashed the survey's task."""

    async def scenario(fleet):
        daemon, keeper = keeper_in(fleet)
        members = make_silent(daemon)
        await curio.spawn(survey, daemon, keeper, daemon=True)
        await fleet.wait_until(lambda: members.waiting == 2)

    run_fleet(scenario, daemons=3)
    assert "Crash" not in caplog.text


def test_survey_that_ends_early_leaves_no_call_and_is_made_again(run_fleet):
    async def scenario(fleet):
        daemon, keeper = keeper_in(fleet)
        for task in daemon._tasks:
            await task.cancel()
        members = make_silent(daemon)
        survey = await curio.spawn(survey_late_holdings, daemon, keeper)
        await fleet.wait_until(lambda: members.waiting == 2)
        await survey.cancel()
        assert members.waiting == 0
        keeper.phase = KeeperPhase.COLLECTING
        await daemon.keepers._collector.advance(keeper)
        await fleet.wait_until(lambda: members.waiting == 2)
        assert members.calls == 4

    run_fleet(scenario, daemons=3)


def test_survey_raises_what_a_call_raises_and_cancels_the_others():
    """Not the cancellation, which would end the task that makes the survey."""
    members = SilentMembers()

    async def fail():
        await curio.sleep(0)
        raise ZeroDivisionError

    async def main():
        await gather(call() for call in (members.call, fail, members.call))

    with pytest.raises(ZeroDivisionError):
        curio.run(main)
    assert members.calls == 2
    assert members.waiting == 0


def test_survey_returns_the_answers_in_order():
    async def answer(seconds):
        await curio.sleep(seconds)
        return seconds

    async def main():
        return await gather(answer(seconds) for seconds in (0.02, 0.0, 0.01))

    assert curio.run(main) == [0.02, 0.0, 0.01]
    assert curio.run(gather, []) == []
