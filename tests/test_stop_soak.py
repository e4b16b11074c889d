"""Short seeded plays: daemons stop and restart in series under load."""

from __future__ import annotations

from dataclasses import replace

import curio
import pytest
from benchmarks.stop_soak.judge import judge
from benchmarks.stop_soak.play import PlaySettings, play
from benchmarks.stop_soak.trouble import Mode

SETTINGS = PlaySettings(
    seed=7, mode=Mode(pair_share=0.3), seconds=20.0, daemons=5, first_port=28_000
)
RESTORATIONS = replace(SETTINGS, mode=Mode(has_restorations=True), first_port=29_000)


@pytest.mark.parametrize("settings", [SETTINGS, RESTORATIONS])
def test_daemons_that_stop_under_load_lose_no_request(settings):
    """Stops come in series; in the second play the store is restored meanwhile."""
    record = curio.run(play, settings)
    cases = judge(record.calls, record.runs_by_request, record.times)
    assert [str(case) for case in cases if case.is_counted] == []
    assert record.times.stops_by_daemon
    assert not record.times.overdue
    assert bool(record.restorations) == settings.mode.has_restorations
    assert any(call.code == "ok" for call in record.calls)
