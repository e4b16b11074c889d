"""A daemon's role as keeper of one shard of teams and services."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.ejection_permits import EjectionPermits
from bramleyglade_core.decisions.team_allocator import TeamAllocator
from bramleyglade_core.model.shares import BookHandedOver, ShareGranted

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bramleyglade_core.model.announcements import KeeperAssignment
    from bramleyglade_core.model.entities import Team
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.settings import DaemonSettings
    from bramleyglade_core.model.shares import HeldShare, ShareAsked


_FIRST_ERA = 1
"""First era of a store that has eras. In later ones, a shard without a keeper may have
lost it in a restoration of the store."""


class KeeperPhase(Enum):
    """How far a new keeper has taken over its shard."""

    WAITING = "waiting"
    """The former keeper may still grant, so nothing is granted. Shares are confirmed
    only if the former keeper still counts them as held."""
    COLLECTING = "collecting"
    """The former keeper has stopped; held shares are confirmed, none granted."""
    GRANTING = "granting"
    """Every share in force is recorded; shares are granted."""


class ShardKeeper:
    """The allocations and ejections of one shard, and the waits after a takeover.

    A new keeper waits until its predecessor's lease has lapsed, then until every
    share that no holder confirmed has lapsed. Each step requires that a majority of
    a sample has reached the store throughout the wait: then no lease and no share
    can have been extended because of a store outage.
    """

    def __init__(
        self, assignment: KeeperAssignment, settings: DaemonSettings, now: float
    ) -> None:
        self.assignment = assignment
        self._settings = settings
        self._allocator_by_team: dict[str, TeamAllocator] = {}
        self._ejections_by_service: dict[str, EjectionPermits] = {}
        self._is_first = assignment.takeover == 1 and assignment.era <= _FIRST_ERA
        self.phase = KeeperPhase.GRANTING if self._is_first else KeeperPhase.WAITING
        self._next_phase_from = now + self.lease_wait_seconds
        self._granting_since = now
        self._unresponsive_by_name: dict[str, DaemonId] = {}
        """Daemons without a report, assumed to hold the largest allowed share."""
        self._assumed_until = now
        self._last_use_by_daemon: Mapping[DaemonId, float] = {}
        """Times after which a leaving daemon spends nothing, in seconds."""

    @property
    def granting_since(self) -> float:
        """Time at which it began to grant, if it does, in seconds."""
        return self._granting_since

    def claim_again(self, assignment: KeeperAssignment) -> None:
        """Go on with the same shares under a claim in a new era of the store."""
        self.assignment = assignment

    @property
    def lease_wait_seconds(self) -> float:
        """Time after which any other daemon's lease has lapsed, with a margin."""
        lease = self._settings.lease
        return lease.term_seconds + lease.margin_seconds

    @property
    def _are_shares_retained(self) -> bool:
        """Whether a predecessor that still runs counts all shares as held."""
        grace = self._settings.limits.reclaim_grace_seconds
        return grace >= self.lease_wait_seconds

    def needs_confirmation(self, now: float) -> bool:
        """Return whether a confirmation by the sample would let the keeper proceed."""
        if self.phase is not KeeperPhase.GRANTING:
            return now >= self._next_phase_from
        return any(
            allocator.has_lapsed(now) for allocator in self._allocator_by_team.values()
        )

    def confirm(self, teams: dict[str, Team], asked_at: float) -> None:
        """Proceed, since a majority has reached the store throughout the wait.

        Args:
            teams: Teams as configured now, by name.
            asked_at: Time before the sample was queried, in seconds; a majority
                had then reached the store for `lease_wait_seconds`.
        """
        if self.phase is KeeperPhase.GRANTING:
            for name, allocator in self._allocator_by_team.items():
                if name in teams:
                    allocator.reclaim(teams[name], asked_at)
            return
        if asked_at < self._next_phase_from:
            return
        if self.phase is KeeperPhase.WAITING:
            self._start_collecting(asked_at)
            return
        self._start_granting(asked_at)

    def accept_handover(self, handover: BookHandedOver, now: float) -> None:
        """Start from the shares of a predecessor that has stopped granting."""
        if handover.epoch != self.assignment.epoch:
            return
        if self.phase is not KeeperPhase.WAITING:
            return
        for share in handover.lines:
            self._allocator(share.team, 0.0, now).register(share, now)
        self._start_granting(now)

    def note_predecessor_ended(self, now: float) -> None:
        """Skip the wait for a predecessor whose process is known to have ended."""
        if self.phase is KeeperPhase.WAITING:
            self._start_collecting(now)

    def apply_reports(
        self,
        shares: Iterable[HeldShare],
        unresponsive: Iterable[DaemonId],
        now: float,
        last_use_by_daemon: Mapping[DaemonId, float] | None = None,
    ) -> None:
        """Start granting, since every daemon's shares are now reported or assumed.

        Args:
            shares: The reported shares.
            unresponsive: The daemons without a report. Each is assumed to hold the
                largest allowed share until that has lapsed or the daemon reports.
            now: Time of this process's clock, in seconds.
            last_use_by_daemon: Times after which leaving daemons spend nothing; their
                shares are assumed no longer than until then.
        """
        if self.phase is not KeeperPhase.COLLECTING:
            return
        self._last_use_by_daemon = last_use_by_daemon or {}
        self._unresponsive_by_name = {daemon.name: daemon for daemon in unresponsive}
        self._assumed_until = self._next_phase_from
        for share in shares:
            self._allocator(share.team, 0.0, now).register(share, now)
        self._start_granting(now)

    def apply_late_report(
        self, name: str, shares: Iterable[HeldShare], now: float
    ) -> None:
        """Replace the assumed shares of a daemon that reports late.

        Args:
            name: The daemon's name.
            shares: All shares that it holds.
            now: Time of this process's clock, in seconds.
        """
        unresponsive = self._unresponsive_by_name.pop(name, None)
        if unresponsive is None:
            return
        share_by_team = {share.team: share for share in shares}
        for team in {*self._allocator_by_team, *share_by_team}:
            allocator = self._allocator(team, 0.0, now)
            allocator.replace_assumed(unresponsive, share_by_team.get(team), now)

    def unresponsive_names(self, now: float) -> list[str]:
        """Return the daemons whose shares are still only assumed."""
        return list(self._unresponsive_by_name) if now < self._assumed_until else []

    def hand_over(self, successor: KeeperAssignment) -> BookHandedOver:
        """Return all shares for a successor; the caller must stop granting."""
        shares = [
            share
            for team, allocator in self._allocator_by_team.items()
            for share in allocator.held_shares(team)
        ]
        return BookHandedOver(
            self.assignment.shard, successor.epoch, successor.keeper.name, tuple(shares)
        )

    def answer(self, asked: ShareAsked, team: Team, now: float) -> ShareGranted | None:
        """Answer a holder's renewal.

        Args:
            asked: The holder's renewal.
            team: The team as configured now.
            now: Time of this process's clock, in seconds.

        Returns:
            The answer, or None for a repeated or outdated renewal.
        """
        if self.phase is KeeperPhase.WAITING and not self._are_shares_retained:
            return ShareGranted(asked.team, asked.sequence, False, retry_after=0.5)
        level = float(team.burst) if self._is_first else 0.0
        allocator = self._allocator(team.name, level, self._granting_since)
        is_collecting = self.phase is not KeeperPhase.GRANTING
        return allocator.answer(asked, team, now, is_collecting)

    def holders_to_recall(self, asked: ShareAsked, now: float) -> list[DaemonId]:
        """Return the holders to recall after a renewal was answered."""
        allocator = self._allocator_by_team.get(asked.team)
        if allocator is None or self.phase is not KeeperPhase.GRANTING:
            return []
        return allocator.holders_to_recall(asked, now)

    def ejections(self, service: str) -> EjectionPermits:
        """Return the permits to eject targets of a service."""
        return self._ejections_by_service.setdefault(service, EjectionPermits())

    def _allocator(self, team: str, level: float, free_since: float) -> TeamAllocator:
        allocator = self._allocator_by_team.get(team)
        if allocator is None:
            allocator = TeamAllocator(self._settings.limits, level, free_since)
            for daemon in self._unresponsive_by_name.values():
                last_use = self._last_use_by_daemon.get(daemon, self._assumed_until)
                until = min(last_use, self._assumed_until)
                allocator.assume_held(daemon, until)
            self._allocator_by_team[team] = allocator
        return allocator

    def _start_collecting(self, now: float) -> None:
        self.phase = KeeperPhase.COLLECTING
        limits = self._settings.limits
        margin = self._settings.lease.margin_seconds
        self._next_phase_from = now + limits.slice_term_seconds + margin

    def _start_granting(self, now: float) -> None:
        self.phase = KeeperPhase.GRANTING
        self._granting_since = now
