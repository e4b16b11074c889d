"""Decisions about attempts, queues, ramps, health, ejections and retries."""

from __future__ import annotations

import itertools
import math
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.attempt_table import AttemptPhase, AttemptTable
from bramleyglade_core.decisions.ejection import EjectionTimer, HealthPhase
from bramleyglade_core.decisions.ejection_permits import (
    PERMIT_TERM_SECONDS,
    EjectionPermits,
    ServiceCapacity,
)
from bramleyglade_core.decisions.fair_queue import FairQueue
from bramleyglade_core.decisions.gray_failure_detector import GrayFailureDetector
from bramleyglade_core.decisions.objective_queue import ObjectiveQueue
from bramleyglade_core.decisions.ramp import ConcurrencyRamp
from bramleyglade_core.decisions.retry_budget import RetryBudget, may_retry
from bramleyglade_core.model.ejections import EjectionAsked
from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEnded,
    AnswerStarted,
    Header,
)
from bramleyglade_core.model.identifiers import AttemptId, DaemonId, TargetId
from bramleyglade_core.model.settings import (
    FrontSettings,
    GuardSettings,
    HealthSettings,
)
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.guard.exchange import AnswerRecorder
from bramleyglade_daemon.guard.target_health import TargetHealth

FRONT = DaemonId("front", 1)
GUARD = DaemonId("guard", 1)


def attempt(number):
    return AttemptId(FRONT, number, 0)


def make_table(clock, **changes):
    return AttemptTable(GuardSettings(**changes), clock)


def test_attempt_starts_at_most_once(clock):
    attempts = make_table(clock)
    assert attempts.accept(attempt(1))
    assert not attempts.accept(attempt(1))
    assert attempts.start(attempt(1))
    assert not attempts.start(attempt(1))


def test_attempt_fenced_before_it_is_offered_never_starts(clock):
    attempts = make_table(clock)
    assert attempts.fence(attempt(1)) is AttemptPhase.FENCED
    assert not attempts.accept(attempt(1))
    assert not attempts.start(attempt(1))


def test_queued_attempt_that_is_fenced_never_starts(clock):
    attempts = make_table(clock)
    attempts.accept(attempt(1))
    assert attempts.fence(attempt(1)) is AttemptPhase.FENCED
    assert not attempts.start(attempt(1))


def test_started_attempt_can_not_be_fenced_and_never_expires(clock):
    attempts = make_table(clock, remember_seconds=10.0)
    attempts.accept(attempt(1))
    attempts.start(attempt(1))
    for _ in range(5):
        clock.advance(20.0)
        assert not attempts.is_full
    assert attempts.fence(attempt(1)) is AttemptPhase.STARTED


def test_kept_answers_stay_within_their_size_limit_and_expire(clock):
    attempts = make_table(clock, remembered_bytes=100)
    for number in range(5):
        attempts.accept(attempt(number))
        attempts.start(attempt(number))
        attempts.keep_answer(attempt(number), (AnswerEnded(),), 40)
    kept = [attempts.find(attempt(n)).answer is not None for n in range(5)]
    assert kept == [True, True, False, False, False]
    clock.advance(1000.0)
    assert not attempts.is_full
    assert len(attempts) == 0


def test_answer_that_is_not_kept_takes_no_space_of_others(clock):
    attempts = make_table(clock, remembered_bytes=100)
    for number in range(2):
        attempts.accept(attempt(number))
        attempts.start(attempt(number))
    attempts.keep_answer(attempt(0), None, 90)
    attempts.keep_answer(attempt(1), (AnswerEnded(),), 40)
    assert attempts.find(attempt(1)).answer is not None


def test_kept_answer_in_pieces_of_one_byte_takes_one_piece():
    """A piece takes far more memory than its byte, and only bytes are limited."""
    recorder = AnswerRecorder(GuardSettings(remembered_answer_bytes=1000))
    recorder.note(AnswerStarted(200, ()))
    for _ in range(900):
        recorder.note(AnswerContinued(b"a"))
    recorder.note(AnswerEnded())
    body = AnswerContinued(b"a" * 900)
    assert recorder.answer == (AnswerStarted(200, ()), body, AnswerEnded())


def test_answer_whose_headers_are_too_large_is_not_kept():
    recorder = AnswerRecorder(GuardSettings(remembered_answer_bytes=1000))
    recorder.note(AnswerStarted(200, (Header("x-filler", "a" * 1000),)))
    recorder.note(AnswerEnded())
    assert recorder.answer is None


_pushes = st.lists(st.sampled_from("aaaabc"), max_size=30)


@given(teams=_pushes)
def test_fair_queue_serves_teams_round_robin(teams):
    queue: FairQueue[int] = FairQueue(100)
    waiting: dict[str, list[int]] = {}
    turns: list[str] = []
    for number, team in enumerate(teams):
        queue.push(team, number)
        if team not in waiting:
            turns.append(team)
        waiting.setdefault(team, []).append(number)
    expected = []
    while turns:
        team = turns.pop(0)
        expected.append(waiting[team].pop(0))
        if waiting[team]:
            turns.append(team)
    assert [queue.pop() for _ in teams] == expected
    assert queue.pop() is None


def test_full_queue_drops_the_newest_item_of_the_team_with_most_items():
    queue: FairQueue[str] = FairQueue(3)
    for item in ("a1", "a2", "b1"):
        assert queue.push(item[0], item) is None
    assert queue.push("c", "c1") == "a2"
    assert queue.push("a", "a3") == "a3"
    assert [queue.pop() for _ in range(3)] == ["a1", "b1", "c1"]


def test_late_items_are_served_after_all_others():
    queue: ObjectiveQueue[str] = ObjectiveQueue(10)
    queue.push("a", "late 1", 0, objective_at=1.0)
    queue.push("a", "late 2", 0, objective_at=0.9)
    queue.push("b", "in time", 2, objective_at=2.0)
    queue.push("b", "no objective", 3)
    taken = [queue.pop(0.8, 0.3) for _ in range(5)]
    assert taken == ["in time", "no objective", "late 1", "late 2", None]
    assert len(queue) == 0


def serve_overload(
    pop, rate, seed, slots=4, work_seconds=0.25, seconds=30.0, objective_seconds=0.8
):
    """Simulate Poisson arrivals at one target; return the share answered in time."""
    random_source = random.Random(seed)
    arrivals = []
    now = 0.0
    while (now := now + random_source.expovariate(rate)) < seconds:
        arrivals.append(now)
    free_at = [0.0] * slots
    in_time = 0
    queue: ObjectiveQueue[int] = ObjectiveQueue(1000)
    upcoming = list(enumerate(arrivals))
    while upcoming or len(queue):
        now = max(min(free_at), 0.0 if len(queue) else upcoming[0][1])
        while upcoming and upcoming[0][1] <= now:
            number, at = upcoming.pop(0)
            queue.push("team", number, 0, at + objective_seconds)
        item = pop(queue, now)
        slot = free_at.index(min(free_at))
        free_at[slot] = now + random_source.lognormvariate(math.log(work_seconds), 0.3)
        in_time += free_at[slot] <= arrivals[item] + objective_seconds
    return in_time / len(arrivals)


@pytest.mark.parametrize("seed", range(5))
def test_overloaded_target_still_answers_most_requests_in_time(seed):
    """In order of arrival, almost no answer is in time at 1.2 times the capacity."""
    rate = 1.2 * 4 / 0.25
    timely = serve_overload(lambda queue, now: queue.pop(now, 0.25), rate, seed)
    by_arrival = serve_overload(lambda queue, now: queue.pop(now, -1e9), rate, seed)
    assert timely >= 0.6
    assert timely >= by_arrival + 0.2


def test_limit_of_a_cold_target_starts_at_one_and_grows_with_answers():
    ramp = ConcurrencyRamp(8)
    assert ramp.limit == 1
    limits = []
    for _ in range(60):
        ramp.note_latency(0.01)
        limits.append(ramp.limit)
    assert limits[:5] == [1] * 5
    assert all(b - a <= 1 for a, b in itertools.pairwise(limits))
    for _ in range(60):
        ramp.note_latency(0.01)
    assert ramp.is_warm


def test_limit_above_the_capacity_of_the_target_is_lowered():
    """A target with capacity for two requests at once slows down with a third."""
    ramp = ConcurrencyRamp(8)
    above = 0
    for _ in range(2000):
        ramp.note_latency(0.01 * max(1.0, ramp.limit / 2) ** 2)
        above += ramp.limit > 2
    assert ramp.limit in (2, 3)
    assert above < 0.1 * 2000


def test_slower_answers_failures_and_restarts_lower_the_limit():
    ramp = ConcurrencyRamp(16)
    for _ in range(400):
        ramp.note_latency(0.01)
    for _ in range(3):
        ramp.note_latency(0.05)
    assert ramp.limit == 8
    ramp.back_off()
    assert ramp.limit == 4
    ramp.restart()
    assert ramp.limit == 1


def answers_until_unhealthy(
    median_seconds, answers=200, is_failure=lambda random_source: False
):
    """Return how many answers a target gave before it was detected, or None."""
    detector = GrayFailureDetector(HealthSettings())
    random_source = random.Random(3)
    for number in range(answers):
        if is_failure(random_source):
            detector.note_failure()
        else:
            noise = math.exp(random_source.gauss(0, 0.5))
            detector.note_answer(median_seconds() * noise, math.log(0.02))
        if detector.is_unhealthy:
            return number + 1
    return None


def test_target_five_times_slower_is_detected_within_twenty_answers():
    assert answers_until_unhealthy(lambda: 0.1) <= 20


def test_target_that_fails_three_in_ten_is_detected_within_twenty_answers():
    answers = answers_until_unhealthy(
        lambda: 0.02, is_failure=lambda random_source: random_source.random() < 0.3
    )
    assert answers <= 20


def test_healthy_target_is_not_detected_in_fifty_thousand_answers():
    assert answers_until_unhealthy(lambda: 0.02, answers=50_000) is None


def test_target_as_slow_as_its_service_is_not_detected():
    detector = GrayFailureDetector(HealthSettings())
    for _ in range(200):
        detector.note_answer(2.0, math.log(2.0))
    assert not detector.is_unhealthy


def test_relapses_lengthen_ejections_and_healthy_time_shortens_them():
    timer = EjectionTimer(HealthSettings(ejection_seconds=5.0))
    first = timer.eject(0.0)
    assert timer.update(5.0) is HealthPhase.TRIAL
    timer.note_trial(False, 5.0)
    assert timer.update(14.0) is HealthPhase.EJECTED
    assert timer.update(15.0) is HealthPhase.TRIAL
    for _ in range(3):
        timer.note_trial(True, 16.0)
    assert timer.phase is HealthPhase.HEALTHY
    assert timer.eject(1000.0) == first


def permit_request(name, sequence=1, is_wanted=True, is_held=False, slots=4):
    return EjectionAsked(
        "s", TargetId("vm", name), GUARD, sequence, slots, is_wanted, is_held
    )


CAPACITY = ServiceCapacity(announced=40, live=40)


def test_all_ejections_of_a_service_together_keep_the_floor():
    permits = EjectionPermits()
    granted = [
        permits.answer(permit_request(f"t{n}"), 0.5, CAPACITY, 0.0, False)
        for n in range(10)
    ]
    assert granted == [True] * 5 + [False] * 5
    returned = permit_request("t0", 2, is_wanted=False)
    assert permits.answer(returned, 0.5, CAPACITY, 1.0, False) is False
    assert permits.answer(permit_request("t9", 2), 0.5, CAPACITY, 1.0, False)


def test_slots_of_dead_daemons_count_as_unhealthy_for_the_floor():
    permits = EjectionPermits()
    capacity = ServiceCapacity(announced=40, live=22)
    assert not permits.answer(permit_request("t0"), 0.5, capacity, 0.0, False)


def test_only_target_of_a_service_is_never_ejected_even_without_a_floor():
    capacity = ServiceCapacity(announced=4, live=4)
    assert not EjectionPermits().answer(permit_request("t0"), 0.0, capacity, 0.0, False)


def test_new_keeper_confirms_held_permits_and_grants_no_new_ones():
    permits = EjectionPermits()
    assert not permits.answer(permit_request("t0"), 0.5, CAPACITY, 0.0, True)
    assert permits.answer(permit_request("t1", is_held=True), 0.5, CAPACITY, 0.0, True)


def test_repeated_or_late_permit_request_is_not_answered():
    permits = EjectionPermits()
    permits.answer(permit_request("t0", 2), 0.5, CAPACITY, 0.0, False)
    assert permits.answer(permit_request("t0", 2), 0.5, CAPACITY, 0.0, False) is None
    assert (
        permits.answer(
            permit_request("t0", 1, is_wanted=False), 0.5, CAPACITY, 0.0, False
        )
        is None
    )


_permit_requests = st.lists(
    st.tuples(st.integers(0, 9), st.booleans(), st.floats(0.0, 8.0)), max_size=60
)


@given(requests=_permit_requests, floor=st.sampled_from([0.0, 0.3, 0.5, 0.9, 1.0]))
def test_random_permit_requests_never_break_the_floor(requests, floor):
    """Guards against counting fewer ejected slots than guards have ejected.

    A guard ejects for one permit term, counted from before it sends the request.
    """
    permits = EjectionPermits()
    ejected_until = {}
    now = 0.0
    for sequence, (number, is_wanted, seconds) in enumerate(requests):
        now += seconds
        asked = permit_request(f"t{number}", sequence, is_wanted)
        if permits.answer(asked, floor, CAPACITY, now, False):
            ejected_until[number] = now + PERMIT_TERM_SECONDS
        else:
            ejected_until.pop(number, None)
        ejected = sum(4 for end in ejected_until.values() if end > now)
        assert CAPACITY.live - ejected >= floor * CAPACITY.announced


def test_target_takes_work_again_when_its_permit_expires(settings):
    health = TargetHealth(settings.health)
    for _ in range(10):
        health.note_failure(0.0)
    announced = type("Announced", (), {"service": "s", "slots": 4})()
    asked = health.make_due_request(TargetId("vm", "t"), GUARD, announced, 0.0)
    assert asked.is_wanted
    assert health.phase(0.0) is HealthPhase.HEALTHY
    assert health.apply_decision(asked, True, 0.0)
    assert health.phase(0.1) is HealthPhase.EJECTED
    assert health.phase(PERMIT_TERM_SECONDS + 0.1) is HealthPhase.HEALTHY


@pytest.mark.parametrize(
    ("verdict", "is_idempotent", "is_body_spent", "expected"),
    [
        (Verdict.NOT_RUN, False, False, True),
        (Verdict.NOT_RUN, False, True, False),
        (Verdict.MAY_HAVE_RUN, False, False, False),
        (Verdict.MAY_HAVE_RUN, True, False, True),
        (Verdict.RAN, False, False, False),
    ],
)
def test_retry_follows_the_verdict(verdict, is_idempotent, is_body_spent, expected):
    assert may_retry(verdict, is_idempotent, is_body_spent) is expected


def test_retries_stay_within_their_share_of_first_attempts():
    budget = RetryBudget(FrontSettings(retry_share=0.1))
    retries = 0
    for number in range(10_000):
        now = number / 1000  # All within one window.
        budget.note_first_attempt(now)
        if budget.can_spend(1.0, now):
            budget.spend(1.0, now)
            retries += 1
    assert 0.09 * 10_000 <= retries <= 0.1 * 10_000 + 20
