"""Which word of the targets on a VM is news."""

from __future__ import annotations


class ReportOrder:
    """Orders reports by the start of the target's run, then by sequence.

    A report that was held up on its way may come after the target has left or
    another one has started in its place; it must not bring the old one back.
    """

    def __init__(self) -> None:
        self._newest_start = 0
        self._newest_sequence = -1
        self._departed_start = 0

    def accept(self, started_at: int, sequence: int) -> bool:
        """Take in a report.

        Args:
            started_at: Start of the target's run, in milliseconds.
            sequence: Number of the report within the run.

        Returns:
            False if something newer is known.
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
        """Take in that a run of a target leaves.

        Args:
            started_at: Start of the run; None if it did not say.

        Returns:
            False if a newer run is known, which stays.
        """
        if started_at is None:
            started_at = self._newest_start
        if started_at < self._newest_start:
            return False
        self._newest_start = self._departed_start = started_at
        return True
