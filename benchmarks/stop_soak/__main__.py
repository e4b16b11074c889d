"""Plays one seed: `python -m benchmarks.stop_soak --seed 7 --mode overload`."""

from __future__ import annotations

import json
import sys
from collections import Counter
from typing import TYPE_CHECKING

import curio
import fire

from benchmarks.stop_soak.judge import judge
from benchmarks.stop_soak.play import PlaySettings, play
from benchmarks.stop_soak.trouble import MODE_BY_NAME

if TYPE_CHECKING:
    from pathlib import Path

    from benchmarks.stop_soak.callers import Call


_STOP_EVENTS = (
    "DaemonStopping",
    "AcceptanceEnded",
    "RequestsDropped",
    "GraceEnded",
    "DaemonStopped",
)


def soak(seed: int, seconds: float = 40.0, mode: str = "calm") -> None:
    """Play once, print the cases and exit with 1 if a rule is broken.

    Args:
        seed: Seed of the callers, the targets and the trouble.
        seconds: Length of the play.
        mode: `calm`, `overload`, `pipelined`, `kills`, `restorations` or
            `restorations-kills`.
    """
    record = curio.run(play, PlaySettings(seed, MODE_BY_NAME[mode], seconds))
    cases = judge(record.calls, record.runs_by_request, record.times)
    for case in cases:
        print(case, *_log_lines(record.logs, case.call), sep="\n    ")
    answers = Counter(c.code if c.status else "no answer" for c in record.calls)
    broken = sum(case.is_counted for case in cases)
    stops = sum(map(len, record.times.stops_by_daemon.values()))
    print(f"seed {seed}, {mode}: {len(record.calls)} requests, {stops} stops,")
    print(f"  {len(record.times.overdue)} overdue, {len(record.times.kills)} kills,")
    print(f"  {record.restorations} restorations of the store,")
    print(f"  answers {dict(answers)}, {broken} rules broken;")
    print(f"  logs in {record.logs}")
    sys.exit(1 if broken else 0)


def _log_lines(logs: Path, call: Call) -> list[str]:
    """Return what daemons logged on a request, and on a stop of its daemon."""
    lines = []
    for path in sorted(logs.glob("vm-*.log")):
        for line in path.read_text().splitlines():
            if f'"{call.request_id}"' in line:
                lines.append(f"{path.stem} {line}")
            elif path.stem == f"vm-{call.daemon}" and line.startswith("{"):
                row = json.loads(line)
                is_near = call.sent_at - 7.0 < row["time"] < call.ended_at + 0.5
                if is_near and row["event"] in _STOP_EVENTS:
                    lines.append(f"{path.stem} {line}")
    return lines


if __name__ == "__main__":
    fire.Fire(soak)
