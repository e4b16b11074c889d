"""Each fault at each step of a request, alone, and pairs of faults."""

from __future__ import annotations

import itertools

import pytest

from tests.faults.cell import (
    Cell,
    Step,
    code_by_request_id,
    find_violations,
    served_reads,
)
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

READS_MAY_FAIL = (KeyWithdrawn, TargetFails)
"""Faults after which a read may be refused or get the target's error."""

SLICE = (
    (LinkCut(), Step.RAN),
    (LinkSilentToFront(), Step.RAN),
    (GuardRestarted(), Step.ARRIVED),
    (TargetTruncates(), Step.BEFORE),
)
"""Cells that every CI run includes."""

PAIRED_FAULTS = (
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
"""Faults that are tested in pairs."""


def _label(value: object) -> str:
    if isinstance(value, Step):
        return value.value
    if isinstance(value, tuple):
        return "+".join(type(fault).__name__ for fault in value)
    return type(value).__name__


def check_cell(run_fleet, record_property, faults, step):
    """Run one cell and check that no invariant is violated and both reads succeed.

    Reads may fail after a fault in `READS_MAY_FAIL`.
    """

    async def scenario(fleet):
        results = await Cell(fleet, faults, step).run()
        violations = find_violations(fleet, results)
        record_property("faults", _label(faults))
        record_property("step", step.value)
        record_property("broken", violations)
        record_property("served_reads", served_reads(results))
        record_property("codes", code_by_request_id(results))
        assert not violations
        if not any(isinstance(fault, READS_MAY_FAIL) for fault in faults):
            assert served_reads(results) == 2

    run_fleet(scenario, daemons=3, zones=3)


@pytest.mark.parametrize(("fault", "step"), SLICE, ids=_label)
def test_slice(run_fleet, record_property, fault, step):
    check_cell(run_fleet, record_property, (fault,), step)


@pytest.mark.full
@pytest.mark.parametrize("step", list(Step), ids=_label)
@pytest.mark.parametrize("fault", ALL_FAULTS, ids=_label)
def test_alone(run_fleet, record_property, fault, step):
    check_cell(run_fleet, record_property, (fault,), step)


@pytest.mark.full
@pytest.mark.parametrize("step", [Step.ARRIVED, Step.RAN], ids=_label)
@pytest.mark.parametrize(
    "faults", list(itertools.combinations(PAIRED_FAULTS, 2)), ids=_label
)
def test_in_pairs(run_fleet, record_property, faults, step):
    check_cell(run_fleet, record_property, faults, step)
