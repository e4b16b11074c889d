"""A short seeded play: daemons stop and restart in series under load."""

from __future__ import annotations

import curio
from benchmarks.stop_soak.judge import judge
from benchmarks.stop_soak.play import PlaySettings, play
from benchmarks.stop_soak.trouble import Mode

SETTINGS = PlaySettings(
    seed=7, mode=Mode(pair_share=0.3), seconds=20.0, daemons=5, first_port=28_000
)


def test_daemons_that_stop_under_load_lose_no_request():
    record = curio.run(play, SETTINGS)
    cases = judge(record.calls, record.runs_by_request, record.times)
    assert [str(case) for case in cases if case.is_counted] == []
    assert record.times.stops_by_daemon
    assert not record.times.overdue
    assert any(call.code == "ok" for call in record.calls)
