"""What the members of the fleet have reported to a new keeper of a shard."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.shares import HeldShare, HoldingsTold


class HoldingsSurvey:
    """The reports of one shard, for the time in which its new keeper collects them.

    The former keeper has stopped granting, so one report of a member is enough: a
    process that replaces the member's holds nothing from the former keeper. Members
    that appear meanwhile are asked too, as they may only have been unknown.
    """

    def __init__(self) -> None:
        self._report_by_name: dict[str, HoldingsTold | None] = {}
        """None for a member that did not answer."""

    def unasked(self, members: Iterable[str]) -> list[str]:
        """Return the members that have not been asked yet."""
        return [name for name in members if name not in self._report_by_name]

    def note(self, name: str, report: HoldingsTold | None) -> None:
        """Record a member's report; None if it did not answer."""
        self._report_by_name[name] = report

    def unresponsive(self, members: Iterable[str]) -> list[str]:
        """Return the members that were asked and did not answer."""
        return [name for name in members if self._report_by_name.get(name) is None]

    def shares(self) -> list[HeldShare]:
        """Return all reported shares."""
        reports = self._report_by_name.values()
        return [share for report in reports if report for share in report.lines]
