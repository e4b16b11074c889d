"""Decisions about single targets: doubt, cold starts, the order of reports."""

from __future__ import annotations

import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.attempt_timeout import attempt_timeout
from bramleyglade_core.decisions.cold_rate_limiter import ColdRateLimiter
from bramleyglade_core.decisions.failure_filter import FailureFilter, decayed_risk
from bramleyglade_core.decisions.link_delay import LinkDelay
from bramleyglade_core.decisions.rendezvous import spread
from bramleyglade_core.decisions.report_order import ReportOrder
from bramleyglade_core.decisions.retry_budget import RetryBudget, RetryBudgets
from bramleyglade_core.decisions.speed_meter import SpeedMeter
from bramleyglade_core.decisions.splitter import Splitter
from bramleyglade_core.model.entities import Route, SplitPart
from bramleyglade_core.model.settings import FrontSettings


def test_one_failure_is_enough_to_doubt_a_target():
    failures = FailureFilter()
    for second in range(20):
        failures.note(False, float(second))
    calm = failures.risk(20.0)
    failures.note(True, 20.0)
    assert failures.risk(20.0) > 5 * calm


def test_doubt_fades_and_trust_does_not():
    failures = FailureFilter()
    failures.note(True, 0.0)
    failures.note(True, 0.0)
    assert failures.risk(0.0) > failures.risk(3.0) > failures.risk(10.0)
    well = FailureFilter()
    well.note(False, 0.0)
    assert well.risk(0.0) == well.risk(100.0)


@given(
    risk=st.floats(0.0, 1.0),
    first=st.floats(0.0, 60.0),
    second=st.floats(0.0, 60.0),
)
def test_told_risk_only_falls(risk, first, second):
    early, late = sorted((first, second))
    assert decayed_risk(risk, late) <= decayed_risk(risk, early) <= risk


def test_target_that_fails_half_its_requests_stays_in_doubt():
    """Successes between failures once restored trust at once."""
    failures = FailureFilter()
    now = 0.0
    for number in range(20):
        now += 0.05
        failures.note(number % 2 == 0, now)
    assert failures.risk(now) > 0.3


@given(
    waits=st.lists(st.floats(0.0, 0.4), min_size=1, max_size=80),
    per_second=st.integers(1, 20),
)
def test_cold_target_gets_its_rate_in_any_second(waits, per_second):
    gate = ColdRateLimiter()
    gate.note_cold(1000.0)
    sent = []
    now = 0.0
    for wait in waits:
        now += wait
        if gate.wait_seconds(per_second, now) <= 0:
            gate.note_sent(now)
            sent.append(now)
    for start in sent:
        assert sum(start <= at < start + 1.0 for at in sent) <= per_second


def test_warm_target_is_not_held_back():
    gate = ColdRateLimiter()
    gate.note_cold(5.0)
    for _ in range(3):
        gate.note_sent(4.9)
    assert gate.wait_seconds(1, 4.95) > 0
    assert gate.wait_seconds(1, 5.0) == 0


def test_late_report_of_an_older_run_changes_nothing():
    order = ReportOrder()
    assert order.accept(100, 1)
    assert order.accept(200, 0)  # A new run counts from the start again.
    assert not order.accept(100, 9)
    assert not order.accept(200, 0)
    assert not order.depart(100)
    assert order.depart(200)
    assert not order.accept(200, 7)
    assert order.accept(300, 0)


def test_departure_without_a_start_ends_the_run_that_is_known():
    order = ReportOrder()
    assert order.accept(100, 1)
    assert order.depart(None)
    assert not order.accept(100, 2)


@given(
    weights=st.lists(st.integers(0, 100), min_size=2, max_size=4).filter(any),
    seed=st.integers(0, 99),
    count=st.integers(1, 300),
)
def test_split_is_within_two_requests_of_its_weights(weights, seed, count):
    parts = tuple(SplitPart(f"s{i}", w) for i, w in enumerate(weights))
    route = Route("r", "s0", "/", split=parts)
    splitter = Splitter(random.Random(seed))
    chosen = [splitter.choose(route) for _ in range(count)]
    for part in parts:
        share = part.weight / sum(weights)
        assert abs(chosen.count(part.service) - share * count) <= len(parts)
        assert part.weight or part.service not in chosen


def spend(budget, now):
    if not budget.has(1.0, now):
        return False
    budget.spend(1.0, now)
    return True


def test_common_floor_of_retries_is_shared_by_all_daemons():
    budgets = [
        RetryBudget(FrontSettings(retry_share=0.1, retry_floor=30)) for _ in range(10)
    ]
    for budget in budgets:
        budget.share_floor(len(budgets))
        for _ in range(1000):
            budget.note_first_attempt(0.0)
    # All that the share of a window long past has earned is void.
    spent = sum(sum(spend(budget, 100.0) for _ in range(100)) for budget in budgets)
    assert spent == 30


def test_floor_of_repeats_does_not_count_twice_when_all_daemons_start_anew():
    """A restart gave each front a whole repeat in hand beside what it had spent.

    BUDGET broke by that on scale-1 of vdh-sync, in the window over `kill_all`.
    """
    settings = FrontSettings(retry_share=0.1, retry_floor=31, retry_window_seconds=10.0)
    fleet = [RetryBudgets(settings, started_at=0.0) for _ in range(31)]
    for budgets in fleet:
        budgets.share_floor(31)
    before = sum(b.try_spend("desk", False, 20.0) for b in fleet for _ in range(9))
    assert before == 31
    anew = [RetryBudgets(settings, started_at=21.0) for _ in range(31)]
    for budgets in anew:
        budgets.share_floor(31)
    at_once = sum(b.try_spend("desk", False, 29.9) for b in anew for _ in range(9))
    assert before + at_once <= 31
    assert sum(b.try_spend("desk", False, 31.0) for b in anew for _ in range(9)) == 31


def test_front_that_has_just_started_repeats_by_its_own_share():
    budget = RetryBudget(FrontSettings(retry_share=0.1, retry_floor=31))
    budget.share_floor(31)
    budget.grow_floor(0.0)
    for _ in range(10):
        budget.note_first_attempt(0.0)
    assert spend(budget, 0.0)
    assert not spend(budget, 0.0)


_arrivals = st.lists(
    st.tuples(st.floats(0.0, 2.0), st.integers(0, 5), st.booleans()), max_size=150
)


@given(steps=_arrivals)
def test_no_window_has_more_repeats_than_it_earned(steps):
    settings = FrontSettings(retry_share=0.2, retry_floor=3, retry_window_seconds=10.0)
    budget = RetryBudget(settings)
    budget.share_floor(1)
    now = 0.0
    firsts, repeats = [], []
    for pause, count, wants_repeat in steps:
        now += pause
        for _ in range(count):
            budget.note_first_attempt(now)
            firsts.append(now)
        if wants_repeat and spend(budget, now):
            repeats.append(now)
            in_window = sum(1 for at in repeats if at > now - 10.0)
            earned = 0.2 * sum(1 for at in firsts if at > now - 10.0)
            assert in_window <= 3 + earned + 1e-9


def test_repeats_that_were_not_spent_are_there_when_failures_come_together():
    """A front could save two repeats only, and refused when a target fell ill."""
    budget = RetryBudget(FrontSettings(retry_share=0.2, retry_floor=31))
    budget.share_floor(31)
    for tenth in range(90):
        budget.note_first_attempt(tenth / 10)
    assert sum(spend(budget, 9.0) for _ in range(100)) >= 15


def test_repeated_run_is_charged_for_the_calls_that_it_makes():
    """Searches that ran again made their calls again, beyond the callee's budget."""
    settings = FrontSettings(retry_share=0.2, retry_floor=10)
    budgets = RetryBudgets(settings, started_at=-100.0)
    beside_target = RetryBudgets(FrontSettings())
    for _ in range(10):
        beside_target.note_run(may_repeat=True)
    for _ in range(5):
        beside_target.note_call("ledger")
    budgets.learn_calls("desk", beside_target.calls())
    for number in range(100):
        budgets.note_first_attempt("desk", number / 100)
    reruns = sum(budgets.try_spend("desk", True, 1.0) for _ in range(8))
    assert reruns == 8
    # Four calls were repeated, so six of ten repeats are left.
    assert sum(budgets.try_spend("ledger", False, 1.0) for _ in range(20)) == 6
    # With none left at the service called, no run that calls it is repeated.
    assert not budgets.try_spend("desk", True, 1.0)
    assert budgets.try_spend("desk", False, 1.0)


def test_calls_are_charged_to_the_runs_that_may_be_repeated():
    """A repeat paid for the mean of all runs, and made more calls than that."""
    budgets = RetryBudgets(FrontSettings(retry_floor=10), started_at=-100.0)
    beside_target = RetryBudgets(FrontSettings())
    for number in range(40):
        beside_target.note_run(may_repeat=number % 4 == 0)
    for _ in range(14):
        beside_target.note_call("ledger")
    budgets.learn_calls("desk", beside_target.calls())
    assert budgets.try_spend("desk", True, 1.0)
    left = sum(budgets.try_spend("ledger", False, 1.0) for _ in range(20))
    assert left == 8  # 1.4 of ten are spent.


@pytest.mark.parametrize(
    ("left", "typical", "expected"),
    [
        (1.2, 0.2, 0.8),
        (1.2, 0.25, None),  # Another target would be given too little time.
        (2.0, 0.01, 0.1),
        (2.0, None, 1.0),
    ],
)
def test_slow_answer_is_waited_for_unless_another_may_come_sooner(
    left, typical, expected
):
    """Three in ten searches were given up and begun anew while they ran well."""
    assert attempt_timeout(left, typical) == expected


@given(offset=st.floats(-1e6, 1e6), held_up=st.floats(0.5, 10.0))
def test_delay_is_seen_between_clocks_that_differ(offset, held_up):
    delay = LinkDelay()
    for second in range(5):
        assert delay.note(float(second), second + offset + 0.001) < 0.01
    assert abs(delay.note(9.0, 9.0 + offset + held_up) - held_up) < 0.01


@given(
    sizes=st.lists(st.integers(1, 9), min_size=1, max_size=5), count=st.integers(1, 9)
)
def test_readers_are_spread_over_all_zones(sizes, count):
    zone_by_name = {
        f"vm-{zone}-{number}": f"zone-{zone}"
        for zone, size in enumerate(sizes)
        for number in range(size)
    }
    chosen = spread("watchers", zone_by_name, count)
    assert len(set(chosen)) == len(chosen) == min(count, len(zone_by_name))
    zones = {zone_by_name[name] for name in chosen}
    assert len(zones) == min(count, len(sizes))


def test_slow_target_is_seen_before_its_answers_come():
    meter = SpeedMeter()
    for _ in range(50):
        meter.note(0.2)
    assert math.isclose(meter.log_latency([]), math.log(0.2))
    # One long request says nothing of the target.
    assert math.isclose(meter.log_latency([1.0, 0.1]), math.log(0.2))
    assert meter.log_latency([1.0, 0.8, 0.1]) == math.log(0.9)


@pytest.mark.parametrize("spread", [0.3, 0.8])
def test_speed_follows_a_slow_target_within_eight_answers(spread):
    randomness = random.Random(3)
    meter = SpeedMeter()
    steady = []
    for _ in range(300):
        meter.note(randomness.lognormvariate(math.log(0.2), spread))
        steady.append(math.exp(meter.log_latency([])))
    assert sorted(steady)[30] > 0.1
    assert sorted(steady)[270] < 0.4
    for _ in range(8):
        meter.note(randomness.lognormvariate(math.log(1.0), spread))
    assert math.exp(meter.log_latency([])) > 0.45
