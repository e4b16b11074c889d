"""Order of the reports of the targets on a VM."""

from __future__ import annotations


class ReportOrder:
    """Orders reports by the start of the target's run, then by sequence number.

    A delayed report may arrive after the target has left or another one has started
    in its place. It must not restore the old target.
    """

    def __init__(self) -> None:
        self._newest_start = 0
        self._newest_sequence = -1
        self._departed_start = 0

    def accept(self, started_at: int, sequence: int) -> bool:
        """Accept a report unless it is outdated.

        Args:
            started_at: Start of the target's run, in milliseconds.
            sequence: Number of the report within the run.

        Returns:
            False if the run has ended or a newer report has been accepted.
        """
        if started_at <= self._departed_start or started_at < self._newest_start:
            return False
        if started_at > self._newest_start:
            self._newest_start, self._newest_sequence = started_at, -1
        if sequence <= self._newest_sequence:
            return False
        self._newest_sequence = sequence
        return True

    def depart(self, started_at: int | None) -> bool:
        """Record that a run of a target has ended.

        Args:
            started_at: Start of the run, in milliseconds; None for the newest run.

        Returns:
            False if a newer run is known, which is kept.
        """
        if started_at is None:
            started_at = self._newest_start
        if started_at < self._newest_start:
            return False
        self._newest_start = self._departed_start = started_at
        return True
