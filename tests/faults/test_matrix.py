"""Every fault at every step of a request, alone and in pairs."""

from __future__ import annotations

import itertools

import pytest

from tests.faults.cell import Cell, Step, codes, judge, served_reads
from tests.faults.faults import (
    ALL_FAULTS,
    GuardKilled,
    GuardRestarted,
    GuardStops,
    KeyWithdrawn,
    LinkCut,
    LinkCutForLong,
    LinkSilentToFront,
    LinkSilentToGuard,
    StoreAway,
    TargetFails,
    TargetResets,
    TargetTruncates,
    ZoneOut,
)

CALLERS_REFUSED = (KeyWithdrawn, TargetFails)
"""Faults after which a read may rightly be refused or get the target's error."""

SLICE = (
    (LinkCut(), Step.RAN),
    (LinkSilentToFront(), Step.RAN),
    (GuardRestarted(), Step.ARRIVED),
    (TargetTruncates(), Step.BEFORE),
)
"""Cells that run in CI each time."""

PAIRED = (
    LinkCut(),
    LinkCutForLong(),
    LinkSilentToGuard(),
    LinkSilentToFront(),
    GuardKilled(),
    GuardRestarted(),
    GuardStops(),
    StoreAway(),
    TargetResets(),
    ZoneOut(),
)
"""Faults that are tried in pairs."""


def _name(value: object) -> str:
    if isinstance(value, Step):
        return value.value
    if isinstance(value, tuple):
        return "+".join(type(fault).__name__ for fault in value)
    return type(value).__name__


def check_cell(run_fleet, record_property, faults, step):
    """Run one cell and check all invariants."""

    async def scenario(fleet):
        results = await Cell(fleet, faults, step).run()
        broken = judge(fleet, results)
        record_property("faults", _name(faults))
        record_property("step", step.value)
        record_property("broken", broken)
        record_property("served_reads", served_reads(results))
        record_property("codes", codes(results))
        assert not broken
        if not any(isinstance(fault, CALLERS_REFUSED) for fault in faults):
            assert served_reads(results) == 2

    run_fleet(scenario, daemons=3, zones=3)


@pytest.mark.parametrize(("fault", "step"), SLICE, ids=_name)
def test_slice(run_fleet, record_property, fault, step):
    check_cell(run_fleet, record_property, (fault,), step)


@pytest.mark.full
@pytest.mark.parametrize("step", list(Step), ids=_name)
@pytest.mark.parametrize("fault", ALL_FAULTS, ids=_name)
def test_alone(run_fleet, record_property, fault, step):
    check_cell(run_fleet, record_property, (fault,), step)


@pytest.mark.full
@pytest.mark.parametrize("step", [Step.ARRIVED, Step.RAN], ids=_name)
@pytest.mark.parametrize("faults", list(itertools.combinations(PAIRED, 2)), ids=_name)
def test_in_pairs(run_fleet, record_property, faults, step):
    check_cell(run_fleet, record_property, faults, step)
