"""The runs of the targets on a VM, and which of them are leaving."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.announcements import TargetRun

MAX_RUNS = 16
"""Runs that are remembered for a VM, which has one target or a few at a time."""


class TargetRuns:
    """Orders the reports of runs and remembers which runs are leaving.

    A delayed report may arrive after its target has left, after another one has
    started in its place, or after the daemon has restarted. It must not restore the
    old target. That a run is leaving is permanent, whichever source says so first.
    """

    def __init__(self, runs: Iterable[TargetRun] = ()) -> None:
        """Start with the runs that an earlier daemon of the VM knew."""
        self._run_by_key: dict[tuple[str, str], TargetRun] = {}
        self._sequence_by_key: dict[tuple[str, str], int] = {}
        self._newest_start = 0
        for run in runs:
            self._remember(run)

    @property
    def known(self) -> tuple[TargetRun, ...]:
        """The newest run of each target, the least recently changed first."""
        return tuple(self._run_by_key.values())

    def find(self, run: TargetRun) -> TargetRun | None:
        """Return the newest known run of the same target, or None."""
        return self._run_by_key.get(run.key)

    def is_leaving(self, run: TargetRun) -> bool:
        """Return whether a run is known to be leaving.

        A run without a start time is taken for the newest known one.
        """
        known = self._run_by_key.get(run.key)
        if known is None or not known.is_leaving:
            return False
        return run.started_at <= known.started_at or not known.started_at

    def accept(self, run: TargetRun, sequence: int) -> bool:
        """Accept a report of a target that takes work, unless it is outdated.

        Args:
            run: The run that sent the report.
            sequence: Number of the report within the run.

        Returns:
            False if the run is leaving, or a newer run or report is known.
        """
        if run.started_at < self._newest_start:
            return False
        if self.is_leaving(run):
            # A leaving that named no run holds for the first one that reports.
            self.leave(run)
            return False
        known = self._run_by_key.get(run.key)
        is_same_run = known is not None and known.started_at == run.started_at
        if is_same_run and sequence <= self._sequence_by_key.get(run.key, -1):
            return False
        self._remember(run)
        self._sequence_by_key[run.key] = sequence
        return True

    def note(self, run: TargetRun) -> None:
        """Record a run that was found without a report, unless it is known."""
        if run.key not in self._run_by_key:
            self._remember(run)

    def leave(self, run: TargetRun) -> bool:
        """Record that a run is leaving.

        Args:
            run: The run; without a start time, the newest known one of the target.

        Returns:
            False if a newer run of the target is known, which is kept.
        """
        known = self._run_by_key.get(run.key)
        started_at = run.started_at
        if known is not None:
            if started_at and started_at < known.started_at:
                return False
            started_at = started_at or known.started_at
        self._remember(replace(run, started_at=started_at, is_leaving=True))
        return True

    def forget(self, key: tuple[str, str]) -> None:
        """Forget the runs of a target."""
        self._run_by_key.pop(key, None)
        self._sequence_by_key.pop(key, None)

    def _remember(self, run: TargetRun) -> None:
        self._run_by_key.pop(run.key, None)
        self._run_by_key[run.key] = run
        self._newest_start = max(self._newest_start, run.started_at)
        while len(self._run_by_key) > MAX_RUNS:
            self.forget(next(iter(self._run_by_key)))
