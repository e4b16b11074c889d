"""Concurrency limit of targets that state for how long they are cold."""

from __future__ import annotations


def test_target_that_states_that_it_is_warm_gets_all_its_slots(runner, clock):
    """Such a target began with one slot and, with slow answers, kept it for minutes."""
    runner.cold.note_cold(clock())
    assert runner.view().limit == 4


def test_failures_of_a_warm_target_leave_it_its_slots(runner, clock):
    """A gray target kept one slot after it had recovered."""
    runner.cold.note_cold(clock())
    for _ in range(4):
        runner.note_shed(is_other_instance=False)
    assert runner.view().limit == 4


def test_target_that_is_cold_is_ramped_up_until_then(runner, clock):
    runner.cold.note_cold(clock() + 3.0)
    assert runner.view().limit == 1
    clock.advance(3.0)
    assert runner.view().limit == 4


def test_target_that_states_nothing_is_ramped_up(runner, clock):
    clock.advance(60.0)
    assert runner.view().limit == 1
