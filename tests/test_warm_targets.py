"""Concurrency limit of targets that state for how long they are cold."""

from __future__ import annotations

from dataclasses import replace

import curio


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


def test_new_instance_is_not_taken_for_warm(runner, clock):
    """It got all slots at once because the instance before it had been warm."""
    runner.cold.note_cold(clock())
    curio.run(runner.restart, replace(runner.announced, instance="next"))
    assert runner.view().limit == 1
