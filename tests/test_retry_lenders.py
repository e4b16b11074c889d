"""A fleet of many fronts finds the retries that some of them leave unused."""

from __future__ import annotations

import random
from collections import deque

import pytest

from bramleyglade_core.decisions.retry_budget import RetryBudget
from bramleyglade_core.decisions.retry_lenders import RetryLenders
from bramleyglade_core.model.settings import FrontSettings

FRONTS = 100
FLOOR = 200.0
WINDOW_SECONDS = 10.0
FAILURES_PER_SECOND = 15.0
"""Three quarters of the 20 retries per second that the floor allows."""


@pytest.fixture
def budgets():
    settings = FrontSettings(
        retry_share=0.0, retry_floor=FLOOR, retry_window_seconds=WINDOW_SECONDS
    )
    budgets = [RetryBudget(settings) for _ in range(FRONTS)]
    for budget in budgets:
        budget.set_fleet_size(FRONTS)
    return budgets


def try_spend(front, budgets, lenders, now):
    """Return whether a front can spend a retry, and how many peers it has asked."""
    budget, asked = budgets[front], 0
    if not budget.can_spend(1.0, now):
        peers = [str(i) for i in range(FRONTS) if i != front]
        for peer in lenders[front].choose("s", peers, now):
            asked += 1
            missing = 1.0 - budget.available(now)
            lent = budgets[int(peer)].lend(missing, now)
            budget.add_loan(lent, now)
            if lent < missing:
                lenders[front].note_empty("s", peer, now)
            if budget.can_spend(1.0, now):
                break
        else:
            lenders[front].note_refused("s", now)
    if not budget.can_spend(1.0, now):
        return False, asked
    budget.spend(1.0, now)
    lenders[front].note_granted("s")
    return True, asked


def test_failures_at_a_tenth_of_the_fronts_can_use_the_budget_of_all(budgets):
    """Three neighbours of each front were asked; most of the budget stayed unused."""
    source = random.Random(1)
    lenders = [RetryLenders(source) for _ in budgets]
    now, granted, failed, spent = 100.0, 0, 0, deque()
    while now < 140.0:
        now += source.expovariate(FAILURES_PER_SECOND)
        is_granted, _ = try_spend(source.randrange(FRONTS // 10), budgets, lenders, now)
        failed += 1
        granted += is_granted
        if is_granted:
            spent.append(now)
        while spent[0] <= now - WINDOW_SECONDS:
            spent.popleft()
        assert len(spent) <= FLOOR
    assert granted > 0.9 * failed


def test_brown_out_makes_few_messages(budgets):
    """Each failure asked peers that had lent everything."""
    source = random.Random(1)
    lenders = [RetryLenders(source) for _ in budgets]
    now, asked, failed = 100.0, 0, 0
    while now < 140.0:
        now += source.expovariate(10 * FAILURES_PER_SECOND)
        failed += 1
        asked += try_spend(source.randrange(FRONTS), budgets, lenders, now)[1]
    assert asked < 4 * failed


def test_peer_that_has_nothing_left_is_asked_again_later():
    lenders = RetryLenders(random.Random(1))
    lenders.note_empty("s", "a", 100.0)
    assert lenders.choose("s", ["a"], 101.0) == []
    assert lenders.choose("other", ["a"], 101.0) == ["a"]
    assert lenders.choose("s", ["a"], 102.0) == ["a"]


def test_pause_grows_while_nobody_lends():
    lenders = RetryLenders(random.Random(1))
    lenders.note_refused("s", 100.0)
    assert lenders.choose("s", ["a"], 100.2) == []
    assert lenders.choose("s", ["a"], 100.25) == ["a"]
    lenders.note_refused("s", 100.25)
    assert lenders.choose("s", ["a"], 100.7) == []
    lenders.note_granted("s")
    assert lenders.choose("s", ["a"], 100.7) == ["a"]


def test_requests_refused_at_the_same_time_make_one_pause():
    """Ten requests of one moment used up all steps of the pause at once."""
    lenders = RetryLenders(random.Random(1))
    for _ in range(10):
        lenders.note_refused("s", 100.0)
    assert lenders.choose("s", ["a"], 100.25) == ["a"]
