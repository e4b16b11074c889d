"""Retries that daemons lend each other stay within the budget of the whole fleet."""

from __future__ import annotations

import logging
import math
import random
from dataclasses import replace
from types import SimpleNamespace

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_core.decisions.retry_budget import RetryBudget, RetryBudgets
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.exchange import Header
from bramleyglade_core.model.peer_messages import RetriesAsked, RetriesLent
from bramleyglade_core.model.settings import FrontSettings
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.front.retry_loans import RetryLoans
from bramleyglade_standins.local_fleet import KEY

WINDOW_SECONDS = 10.0
FLOOR = 24.0

_STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 3.0),
        st.integers(0, 2),
        st.integers(0, 2),
        st.sampled_from(["spend", "spend", "borrow"]),
        st.floats(0.0, 0.9),
    ),
    max_size=120,
)


def make_budgets(count=3):
    settings = FrontSettings(
        retry_share=0.0, retry_floor=FLOOR, retry_window_seconds=WINDOW_SECONDS
    )
    budgets = [RetryBudget(settings) for _ in range(count)]
    for budget in budgets:
        budget.set_fleet_size(count)
    return budgets


@given(steps=_STEPS)
def test_no_window_holds_more_retries_than_the_fleets_floor(steps):
    budgets, spent, now = make_budgets(), [], 100.0
    for pause, who, lender, action, transit in steps:
        now += pause
        if action == "borrow" and who != lender:
            asked_at = now
            now += transit
            lent = budgets[lender].lend(1.0, now)
            budgets[who].add_loan(lent, asked_at)
        elif budgets[who].can_spend(1.0, now):
            budgets[who].spend(1.0, now)
            spent.append(now)
    for start in spent:
        window = [t for t in spent if start <= t < start + WINDOW_SECONDS]
        assert len(window) <= FLOOR


def test_loan_lets_one_front_use_what_the_others_leave():
    one, *others = make_budgets()
    now, spent = 100.0, 0
    for _ in range(int(FLOOR)):
        if not one.can_spend(1.0, now):
            one.add_loan(max(o.lend(1.0, now) for o in others), now)
        if one.can_spend(1.0, now):
            one.spend(1.0, now)
            spent += 1
    assert spent > FLOOR / 2


def test_loan_that_is_not_spent_in_time_is_lost():
    one, other, _ = make_budgets()
    one.spend(FLOOR / 3, 100.0)
    one.add_loan(other.lend(2.0, 100.0), 100.0)
    assert one.can_spend(2.0, 100.9)
    assert not one.can_spend(0.1, 101.0)


def test_daemon_that_has_few_retries_lends_none():
    budget = make_budgets()[0]
    budget.spend(FLOOR / 3 - 1.0, 100.0)
    assert budget.lend(1.0, 100.0) == 0.0


def test_retries_earned_by_attempts_that_leave_the_window_are_not_lent():
    """They were spent in a window that no longer held those attempts."""
    settings = FrontSettings(
        retry_share=0.2, retry_floor=1.0, retry_window_seconds=WINDOW_SECONDS
    )
    budget = RetryBudget(settings)
    budget.set_fleet_size(1)
    for _ in range(50):
        budget.note_first_attempt(100.0)
    assert budget.lend(4.0, 105.0) == 4.0
    assert budget.lend(4.0, 109.4) <= 1.0


def test_front_without_retries_borrows_one_from_a_peer(run_fleet):
    async def scenario(fleet):
        for daemon in fleet.daemons:
            budgets = daemon.context.retry_budgets
            budgets._settings = replace(
                budgets._settings, retry_share=0.0, retry_floor=9.0
            )
            budgets._started_at = -100.0
            budgets.set_fleet_size(3)
        loans = fleet.daemons[0].front.dispatcher._retries
        allowed = 0
        while await loans.try_spend("catalogue", Verdict.NOT_RUN):
            allowed += 1
        assert 3 < allowed <= 9
        assert not await loans.try_spend("catalogue", Verdict.NOT_RUN)

    run_fleet(scenario, daemons=3)


def test_silent_peer_does_not_hold_up_a_retry(run_fleet):
    async def scenario(fleet):
        loans = fleet.daemons[0].front.dispatcher._retries
        budgets = fleet.daemons[0].context.retry_budgets
        budgets._settings = replace(budgets._settings, retry_share=0.0, retry_floor=1.0)
        fleet.silence_links(1, 0)
        async with curio.timeout_after(5.0):
            while await loans.try_spend("catalogue", Verdict.NOT_RUN):
                pass

    run_fleet(scenario)


class SlowLender:
    """A link to a peer that lends nothing, after 0.04 s."""

    def __init__(self, name, clock):
        self.peer_name = name
        self._clock = clock

    async def call(self, message, timeout_seconds):
        self._clock.advance(min(0.04, timeout_seconds))
        if timeout_seconds < 0.04:
            raise LinkLost(ErrorCode.PEER_LOST, "call timed out")
        return RetriesLent(message.service, 0.0)


def test_slow_lenders_together_hold_up_a_retry_no_longer_than_the_bound(clock, caplog):
    """The last peer was given its whole time, however little was left.

    And each retry refused while no peer is asked, as in a brown-out, wrote a log line.
    """
    caplog.set_level(logging.INFO)
    settings = FrontSettings(retry_share=0.0, retry_floor=1.0)
    budgets = RetryBudgets(settings, started_at=clock())
    links = [SlowLender(str(number), clock) for number in range(8)]
    context = SimpleNamespace(
        clock=clock, random=random.Random(1), retry_budgets=budgets
    )
    peers = SimpleNamespace(open_links=lambda: links, is_far=lambda link: False)
    loans = RetryLoans(context, peers)
    began_at = clock()
    assert not curio.run(loans.try_spend, "s", Verdict.NOT_RUN)
    assert clock() - began_at == pytest.approx(0.15)
    assert not curio.run(loans.try_spend, "s", Verdict.NOT_RUN)
    assert clock() - began_at == pytest.approx(0.15)
    assert caplog.messages.count("RetryRefused") == 1


@pytest.mark.parametrize("message", [RetriesAsked, RetriesLent])
@pytest.mark.parametrize("retries", [math.nan, math.inf, -1.0])
def test_loan_of_no_sensible_number_is_not_decoded(message, retries):
    with pytest.raises(ValueError):
        message("catalogue", retries)


def test_request_given_up_while_a_loan_is_asked_is_not_sent_again(
    run_fleet, slow_loans
):
    """Its retry began when the daemon was about to end, and got no answer."""

    async def scenario(fleet):
        for target in fleet.targets:
            target.behaviour = replace(target.behaviour, reset_share=1.0)
        loans = slow_loans()
        front = fleet.daemons[0].front
        front.dispatcher._retries = loans
        headers = (Header("x-request-id", "once"),)
        call = await curio.spawn(fleet.call, 0, "GET", "/lookup/1", b"", KEY, headers)
        await loans.asked.wait()
        await front.give_up()
        await loans.granted.set()
        answer = await call.join()
        assert answer.status == 502
        assert answer.header("x-fleet-verdict") == "may-have-run"
        assert fleet.runs("once") == 1

    run_fleet(scenario)


def test_answer_that_comes_while_a_loan_is_asked_is_delivered(run_fleet, slow_loans):
    """It was thrown away, and the request sent to another target."""

    async def scenario(fleet):
        loans = slow_loans()
        fleet.daemons[0].front.dispatcher._retries = loans
        for _ in range(20):
            await fleet.call(path="/lookup/1")
        may_answer = curio.Event()

        async def hold(step):
            await may_answer.wait()

        for target in fleet.targets:
            target.on_step = hold
        headers = (Header("x-request-id", "once"),)
        call = await curio.spawn(fleet.call, 0, "GET", "/lookup/1", b"", KEY, headers)
        await loans.asked.wait()
        await may_answer.set()
        await fleet.wait_until(lambda: fleet.runs("once") == 1)
        await curio.sleep(0.1)
        await loans.granted.set()
        assert (await call.join()).status == 200
        assert fleet.runs("once") == 1

    run_fleet(scenario)
