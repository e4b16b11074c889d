"""A daemon's role as keeper of one shard of teams and services."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.ejection_permits import EjectionPermits
from bramleyglade_core.decisions.share_keeper import TeamBook
from bramleyglade_core.model.shares import BookHandedOver, ShareGranted

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.announcements import KeeperAssignment
    from bramleyglade_core.model.entities import Team
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.settings import DaemonSettings
    from bramleyglade_core.model.shares import HeldShare, ShareAsked


class KeeperPhase(Enum):
    """How far a new keeper has got."""

    WAITING = "waiting"
    """The former keeper may still grant; nothing is confirmed or granted."""
    COLLECTING = "collecting"
    """The former keeper has stopped; held shares are confirmed, none granted."""
    GRANTING = "granting"
    """All that is out is in the books."""


class ShardKeeper:
    """The books of one shard and the waits after a takeover.

    A new keeper waits until its predecessor's lease has lapsed, then until
    every share has lapsed that nobody came to confirm. Each step needs a
    majority of a sample to have reached the store all along: then no lease
    and no share was extended on the word that the store is away.
    """

    def __init__(
        self, assignment: KeeperAssignment, settings: DaemonSettings, now: float
    ) -> None:
        self.assignment = assignment
        self._settings = settings
        self._book_by_team: dict[str, TeamBook] = {}
        self._ejections_by_service: dict[str, EjectionPermits] = {}
        self._is_first = assignment.epoch == 1
        self.phase = KeeperPhase.GRANTING if self._is_first else KeeperPhase.WAITING
        self._next_phase_from = now + self.lease_wait_seconds
        self._granting_since = now
        self._silent_by_name: dict[str, DaemonId] = {}
        """Daemons that have not said what they hold; the most is assumed."""
        self._silent_until = now

    @property
    def lease_wait_seconds(self) -> float:
        """Time in which any other daemon's lease has lapsed, with a margin."""
        lease = self._settings.lease
        return lease.term_seconds + lease.margin_seconds

    @property
    def _keeps_shares(self) -> bool:
        """Whether the predecessor still counts all shares as held, if it lives."""
        grace = self._settings.limits.reclaim_grace_seconds
        return grace >= self.lease_wait_seconds

    def needs_confirmation(self, now: float) -> bool:
        """Tell whether a word of the sample would let the keeper go on."""
        if self.phase is not KeeperPhase.GRANTING:
            return now >= self._next_phase_from
        return any(book.has_lapsed(now) for book in self._book_by_team.values())

    def confirm(self, teams: dict[str, Team], asked_at: float) -> None:
        """Go on, since a majority has reached the store all along.

        Args:
            teams: Teams as configured now, by name.
            asked_at: Time from before the sample was asked, in seconds; each
                member had reached the store for `lease_wait_seconds`.
        """
        if self.phase is KeeperPhase.GRANTING:
            for name, book in self._book_by_team.items():
                if name in teams:
                    book.reclaim(teams[name], asked_at)
            return
        if asked_at < self._next_phase_from:
            return
        if self.phase is KeeperPhase.WAITING:
            self._start_collecting(asked_at)
            return
        self._start_granting(asked_at)

    def take_over_book(self, handed: BookHandedOver, now: float) -> None:
        """Start from the book of a predecessor that has stopped granting."""
        if handed.epoch != self.assignment.epoch:
            return
        if self.phase is not KeeperPhase.WAITING:
            return
        for line in handed.lines:
            self._book(line.team, 0.0, now).register(line, now)
        self._start_granting(now)

    def note_predecessor_ended(self, now: float) -> None:
        """Skip the wait for a predecessor whose process is known to have ended."""
        if self.phase is KeeperPhase.WAITING:
            self._start_collecting(now)

    def take_statements(
        self, lines: Iterable[HeldShare], silent: Iterable[DaemonId], now: float
    ) -> None:
        """Grant at once, since it is known or assumed what every daemon holds.

        Args:
            lines: What those hold that have said so.
            silent: The others. Each is taken to hold the most that a daemon may,
                until that has lapsed or it says what it holds.
            now: Time of this process's clock, in seconds.
        """
        if self.phase is not KeeperPhase.COLLECTING:
            return
        self._silent_by_name = {daemon.name: daemon for daemon in silent}
        self._silent_until = self._next_phase_from
        for line in lines:
            self._book(line.team, 0.0, now).register(line, now)
        self._start_granting(now)

    def take_late_statement(
        self, name: str, lines: Iterable[HeldShare], now: float
    ) -> None:
        """Take in what a daemon holds that was silent at first.

        Args:
            name: The daemon's name.
            lines: All that it holds.
            now: Time of this process's clock, in seconds.
        """
        silent = self._silent_by_name.pop(name, None)
        if silent is None:
            return
        line_by_team = {line.team: line for line in lines}
        for team in {*self._book_by_team, *line_by_team}:
            book = self._book(team, 0.0, now)
            book.correct(silent, line_by_team.get(team), now)

    def silent_names(self, now: float) -> list[str]:
        """Return the daemons of which it is still only assumed what they hold."""
        return list(self._silent_by_name) if now < self._silent_until else []

    def hand_over(self, successor: KeeperAssignment) -> BookHandedOver:
        """Return the books for a successor; the caller grants no more."""
        lines = [
            line
            for team, book in self._book_by_team.items()
            for line in book.lines(team)
        ]
        return BookHandedOver(
            self.assignment.shard, successor.epoch, successor.keeper.name, tuple(lines)
        )

    def answer(self, asked: ShareAsked, team: Team, now: float) -> ShareGranted | None:
        """Answer a holder.

        Args:
            asked: The holder's ask.
            team: The team as configured now.
            now: Time of this process's clock, in seconds.

        Returns:
            The answer, or None for an ask that came twice or late.
        """
        if self.phase is KeeperPhase.WAITING and not self._keeps_shares:
            return ShareGranted(asked.team, asked.sequence, False, retry_after=0.5)
        level = float(team.burst) if self._is_first else 0.0
        book = self._book(team.name, level, self._granting_since)
        is_collecting = self.phase is not KeeperPhase.GRANTING
        return book.answer(asked, team, now, is_collecting)

    def recalls(self, asked: ShareAsked, now: float) -> list[DaemonId]:
        """Name the holders to recall after an ask was answered."""
        book = self._book_by_team.get(asked.team)
        if book is None or self.phase is not KeeperPhase.GRANTING:
            return []
        return book.recalls(asked, now)

    def ejections(self, service: str) -> EjectionPermits:
        """Return the book of a service's ejections."""
        return self._ejections_by_service.setdefault(service, EjectionPermits())

    def _book(self, team: str, level: float, free_since: float) -> TeamBook:
        book = self._book_by_team.get(team)
        if book is None:
            book = TeamBook(self._settings.limits, level, free_since)
            for daemon in self._silent_by_name.values():
                book.assume_held(daemon, self._silent_until)
            self._book_by_team[team] = book
        return book

    def _start_collecting(self, now: float) -> None:
        self.phase = KeeperPhase.COLLECTING
        limits = self._settings.limits
        margin = self._settings.lease.margin_seconds
        self._next_phase_from = now + limits.slice_term_seconds + margin

    def _start_granting(self, now: float) -> None:
        self.phase = KeeperPhase.GRANTING
        self._granting_since = now
