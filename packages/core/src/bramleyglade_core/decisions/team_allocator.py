"""Allocation of one team's rate and burst to the daemons that hold shares of it.

The levels of all of a team's buckets never add up to more than its burst, and
together they refill at no more than its rate, whichever messages are lost, late or
repeated: a grant is deducted from the keeper's free part before the holder gets it,
and returns only when the holder reports less or the grant's term has ended.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from bramleyglade_core.model.shares import TOTAL_SHARE_UNITS, HeldShare, ShareGranted

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.entities import Team
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.settings import LimitSettings
    from bramleyglade_core.model.shares import ShareAsked

_DEMAND_TERM_FACTOR = 3.0
"""Renewal intervals after which the demand of a holder without renewals is ignored."""

_HEADROOM = 1.0
"""Rate that a holder gets, as a multiple of its recent demand.

The rest stays with the keeper for holders that run out of tokens, so that one
daemon's bucket does not overflow while another daemon refuses requests."""

_MIN_RECALL_PAUSE_SECONDS = 0.1
"""Time between two recalls; doubles while holders return no units."""

_MAX_RECALL_PAUSE_SECONDS = 2.0

_MAX_RECALLS = 3
"""Holders recalled at once, that is, prompted to renew immediately."""

_RECALL_LEVEL_SHARE = 0.5
"""Level of the keeper's bucket, as a share of its capacity, below which it recalls."""

_PREFETCH_SECONDS = 0.25
"""Seconds of demand that a holder gets tokens for in advance, unless the level is
low."""

_PREFETCH_LEVEL_SHARE = 0.1
"""Largest part of the keeper's level that one holder gets in advance."""

_TOKENS_ONLY_RATE_SHARE = 0.85
"""Demand, as a share of the team's rate, above which only single tokens are granted."""

_OVERLOAD_RETRY_SECONDS = 0.3
"""Shortest time to a holder's next renewal while the team sends more than its rate."""

_SMALLEST_SHARE_TOKENS = 2
"""Burst of the smallest share, in requests, for times when no keeper answers."""

_SMALLEST_SHARE_DEMAND = 0.1
"""Demand, in requests a second, from which a holder gets the smallest share."""

_SMALLEST_SHARE_LIMIT = 0.01
"""Largest part of all units that the smallest share may take."""

_ASSUMED_SEQUENCE = 0
"""Sequence of an assumed allocation; holders number their renewals from 1."""

_MIN_UNITS_CHANGE = 0.1
"""Smallest change of a holder's units, as a share of the target."""


@dataclass(frozen=True, slots=True)
class _Allocation:
    """What the keeper counts as held by one daemon."""

    units: int
    tokens: int
    sequence: int
    term_end: float
    demand: float = 0.0
    reported_at: float = float("-inf")


class TeamAllocator:
    """The keeper's bucket and allocations for one team."""

    def __init__(
        self, settings: LimitSettings, level: float, free_since: float
    ) -> None:
        """Start with no allocations.

        Args:
            settings: Limits and terms of the grants.
            level: Requests in the bucket: the whole burst if no daemon can hold
                an earlier grant, else 0.
            free_since: Time since which the bucket refills, in seconds.
        """
        self._settings = settings
        self._allocation_by_holder: dict[DaemonId, _Allocation] = {}
        self._level = level
        self._refilled_at = free_since
        self._is_low = False
        self._recall_pause = _MIN_RECALL_PAUSE_SECONDS
        self._next_recall_at = free_since

    def register(self, share: HeldShare, now: float) -> None:
        """Record a share that a former keeper granted."""
        term_end = now + self._settings.slice_term_seconds
        self._allocation_by_holder[share.holder] = _Allocation(
            share.units, share.tokens, share.sequence, term_end
        )

    def assume_held(self, holder: DaemonId, until: float) -> None:
        """Count a daemon that did not report as holding the largest allowed share.

        Args:
            holder: The daemon.
            until: When everything that it can hold has lapsed, in seconds.
        """
        units = int(TOTAL_SHARE_UNITS * self._settings.largest_holding)
        term_end = until - self._settings.reclaim_grace_seconds
        allocation = _Allocation(units, 0, _ASSUMED_SEQUENCE, term_end)
        self._allocation_by_holder.setdefault(holder, allocation)

    def replace_assumed(
        self, holder: DaemonId, reported: HeldShare | None, now: float
    ) -> None:
        """Replace an assumed allocation by what the daemon reports.

        Args:
            holder: The daemon whose share was assumed.
            reported: What it or a later run of it holds; None for nothing.
            now: Time of this process's clock, in seconds.
        """
        current = self._allocation_by_holder.get(holder)
        if current is not None and current.sequence > _ASSUMED_SEQUENCE:
            return  # The holder has renewed since, and its renewal is newer.
        self._allocation_by_holder.pop(holder, None)
        if reported is not None and reported.holder not in self._allocation_by_holder:
            self.register(reported, now)

    def held_shares(self, team: str) -> Iterable[HeldShare]:
        """Yield the allocations for a successor."""
        for holder, allocation in self._allocation_by_holder.items():
            yield HeldShare(
                team, holder, allocation.units, allocation.tokens, allocation.sequence
            )

    @property
    def held_units(self) -> int:
        """Units that daemons hold or are assumed to hold."""
        return sum(
            allocation.units for allocation in self._allocation_by_holder.values()
        )

    @property
    def held_tokens(self) -> int:
        """Single tokens that daemons hold or may still hold."""
        return sum(
            allocation.tokens for allocation in self._allocation_by_holder.values()
        )

    def has_lapsed(self, now: float) -> bool:
        """Return whether an allocation has lapsed and can be reclaimed."""
        oldest = now - self._settings.reclaim_grace_seconds
        return any(
            allocation.term_end < oldest
            for allocation in self._allocation_by_holder.values()
        )

    def reclaim(self, team: Team, now: float) -> None:
        """Free the lapsed allocations.

        Call this only when no holder can have extended its share.

        Args:
            team: The team as configured now.
            now: Time of this process's clock, in seconds.
        """
        self._refill(team, now)
        oldest = now - self._settings.reclaim_grace_seconds
        lapsed = [
            holder
            for holder, allocation in self._allocation_by_holder.items()
            if allocation.term_end < oldest
        ]
        for holder in lapsed:
            del self._allocation_by_holder[holder]

    def answer(
        self, asked: ShareAsked, team: Team, now: float, is_collecting: bool
    ) -> ShareGranted | None:
        """Answer a holder's renewal.

        Args:
            asked: What the holder holds and needs.
            team: The team as configured now.
            now: Time of this process's clock, in seconds.
            is_collecting: True while holders may have unreported shares from a
                former keeper; shares are then recorded and nothing is granted.

        Returns:
            The answer, or None for a repeated or outdated renewal.
        """
        previous = self._allocation_by_holder.get(asked.holder)
        if previous is not None and asked.sequence <= previous.sequence:
            return None
        self._refill(team, now)
        booked = self._record_report(asked, previous, now, is_collecting)
        if is_collecting:
            return self._confirm(asked, booked)
        self._level = min(self._cap(team), self._level + asked.returned_level)
        return self._grant(asked, booked, team, now)

    def _record_report(
        self,
        asked: ShareAsked,
        previous: _Allocation | None,
        now: float,
        is_collecting: bool,
    ) -> _Allocation:
        is_new = previous is None
        booked_units = asked.held_units if is_new and is_collecting else 0
        if previous is not None:
            booked_units = min(asked.held_units, previous.units)
            if booked_units < previous.units:
                self._recall_pause = _MIN_RECALL_PAUSE_SECONDS
        allocation = _Allocation(
            units=booked_units,
            tokens=asked.held_tokens,
            sequence=asked.sequence,
            term_end=now + self._settings.slice_term_seconds,
            demand=asked.demand,
            reported_at=now,
        )
        self._allocation_by_holder[asked.holder] = allocation
        return allocation

    def _confirm(self, asked: ShareAsked, allocation: _Allocation) -> ShareGranted:
        return ShareGranted(
            team=asked.team,
            sequence=asked.sequence,
            is_known=True,
            booked_units=allocation.units,
            target_units=allocation.units,
            retry_after=self._settings.renew_seconds,
            is_waiting=True,
        )

    def _grant(
        self, asked: ShareAsked, allocation: _Allocation, team: Team, now: float
    ) -> ShareGranted:
        target = 0
        if not asked.is_tokens_only:
            target = self._target_units(allocation, team, now)
        added_units, added_level = self._grant_units(allocation, target, team)
        tokens = self._grant_tokens(asked, added_level)
        self._allocation_by_holder[asked.holder] = replace(
            allocation,
            units=allocation.units + added_units,
            tokens=allocation.tokens + tokens,
        )
        is_served = added_level + tokens >= asked.wanted_tokens
        return ShareGranted(
            team=asked.team,
            sequence=asked.sequence,
            is_known=True,
            booked_units=allocation.units,
            added_units=added_units,
            added_level=added_level,
            added_tokens=tokens,
            target_units=target,
            retry_after=0.0 if is_served else self._seconds_to_token(team, now),
        )

    def holders_to_recall(self, asked: ShareAsked, now: float) -> list[DaemonId]:
        """Return the holders to recall if the keeper's level is low.

        Args:
            asked: The renewal that was just answered.
            now: Time of this process's clock, in seconds.

        Returns:
            The largest holders, without the sender of the renewal.
        """
        if now < self._next_recall_at or not self._is_low:
            return []
        self._next_recall_at = now + self._recall_pause
        self._recall_pause = min(2 * self._recall_pause, _MAX_RECALL_PAUSE_SECONDS)
        others = [
            (allocation.units, holder)
            for holder, allocation in self._allocation_by_holder.items()
            if holder != asked.holder and allocation.units
        ]
        return [holder for _, holder in sorted(others, reverse=True)[:_MAX_RECALLS]]

    def _target_units(self, allocation: _Allocation, team: Team, now: float) -> int:
        total = self._total_demand(now)
        if total <= 0:
            return allocation.units
        if total > _TOKENS_ONLY_RATE_SHARE * team.rate:
            # With many small buckets, one daemon would refuse requests that another
            # has tokens for. Near its limit a team is served from one bucket.
            return 0
        grantable = TOTAL_SHARE_UNITS * (1.0 - self._settings.keeper_reserve)
        proportional = grantable * allocation.demand / total
        needed = TOTAL_SHARE_UNITS * _HEADROOM * allocation.demand / team.rate
        largest = TOTAL_SHARE_UNITS * self._settings.largest_holding
        target = int(min(proportional, needed, largest))
        if allocation.demand >= _SMALLEST_SHARE_DEMAND:
            target = max(target, self._smallest_units(team))
        if target * team.burst * self._settings.holder_burst < TOTAL_SHARE_UNITS:
            return 0
        if abs(target - allocation.units) < _MIN_UNITS_CHANGE * target:
            return allocation.units
        return target

    def _grant_units(
        self, allocation: _Allocation, target: int, team: Team
    ) -> tuple[int, float]:
        free = TOTAL_SHARE_UNITS - self.held_units
        added = min(max(0, target - allocation.units), max(0, free))
        if added == 0:
            return 0, 0.0
        cap = team.burst * self._settings.holder_burst * added / TOTAL_SHARE_UNITS
        level = min(cap, self._level * added / free)
        self._level -= level
        return added, level

    def _grant_tokens(self, asked: ShareAsked, added_level: float) -> int:
        missing = max(0, asked.wanted_tokens - int(added_level))
        ahead = 0
        if missing and not self._is_low:
            share = _PREFETCH_LEVEL_SHARE * self._level
            ahead = int(min(share, _PREFETCH_SECONDS * asked.demand))
        tokens = min(missing + ahead, int(self._level))
        self._level -= tokens
        return tokens

    def _smallest_units(self, team: Team) -> int:
        burst = team.burst * self._settings.holder_burst
        units = int(TOTAL_SHARE_UNITS * _SMALLEST_SHARE_TOKENS / burst)
        return units if units <= _SMALLEST_SHARE_LIMIT * TOTAL_SHARE_UNITS else 0

    def _total_demand(self, now: float) -> float:
        fresh = now - _DEMAND_TERM_FACTOR * self._settings.renew_seconds
        allocations = self._allocation_by_holder.values()
        return sum(
            allocation.demand
            for allocation in allocations
            if allocation.reported_at >= fresh
        )

    def _seconds_to_token(self, team: Team, now: float) -> float:
        free = max(0, TOTAL_SHARE_UNITS - self.held_units)
        rate = team.rate * free / TOTAL_SHARE_UNITS
        if rate <= 0:
            return self._settings.renew_seconds
        wait = max(0.0, (1.0 - self._level) / rate)
        has_nothing_to_recall = self._recall_pause > _OVERLOAD_RETRY_SECONDS
        if has_nothing_to_recall and self._total_demand(now) > team.rate:
            wait = max(wait, _OVERLOAD_RETRY_SECONDS)
        return min(self._settings.renew_seconds, wait)

    def _cap(self, team: Team) -> float:
        held = self._settings.holder_burst * self.held_units / TOTAL_SHARE_UNITS
        return max(0.0, team.burst * (1.0 - held) - self.held_tokens)

    def _refill(self, team: Team, now: float) -> None:
        free = max(0, TOTAL_SHARE_UNITS - self.held_units)
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        grown = self._level + team.rate * free / TOTAL_SHARE_UNITS * elapsed
        cap = self._cap(team)
        self._level = min(cap, grown)
        self._is_low = self._level < _RECALL_LEVEL_SHARE * cap
