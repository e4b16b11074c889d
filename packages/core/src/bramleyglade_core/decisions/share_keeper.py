"""The keeper of a team's rate and burst.

The level of all buckets of a team together never exceeds its burst, and they
refill together at no more than its rate, whatever is lost, late or repeated:
a grant leaves the keeper's free part before the holder has it, and comes back
only by the holder's statement or after its term.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from bramleyglade_core.model.shares import SHARE_UNITS, HeldShare, ShareGranted

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.entities import Team
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.settings import LimitSettings
    from bramleyglade_core.model.shares import ShareAsked

_DEMAND_TERM_FACTOR = 3.0
"""Asks after which a silent holder's demand no longer counts."""

_HEADROOM = 1.0
"""Rate that a holder gets, as a multiple of what came to it lately.

What is not handed out stays with the keeper for whoever runs dry, so that no
bucket overflows at one daemon while another refuses."""

_FIRST_RECALL_PAUSE_SECONDS = 0.1
"""Time between two recalls; doubles while they bring nothing."""

_LONGEST_RECALL_PAUSE_SECONDS = 2.0

_MOST_RECALLS = 3
"""Holders asked at once to state their holding anew."""

_LOW_LEVEL = 0.5
"""Level of the keeper's part, as a share of its most, from which it recalls."""

_PREFETCH_SECONDS = 0.25
"""Demand for which a holder gets tokens ahead while there are plenty."""

_PREFETCH_SHARE = 0.1
"""Most of the keeper's level that one holder gets ahead."""

_CROWDED_SHARE = 0.85
"""Part of the rate from which a team's demand is met by single tokens only."""

_CROWDED_PAUSE_SECONDS = 0.3
"""Time between two asks of a holder while the team sends more than its rate."""

_SMALLEST_TOKENS = 2
"""Requests that the smallest share holds, for the time when no keeper answers."""

_WORTHY_DEMAND = 0.1
"""Requests a second from which a holder gets the smallest share."""

_LARGEST_SMALL_SHARE = 0.01
"""Part of the whole that the smallest share may take."""

_ASSUMED_SEQUENCE = 0
"""Sequence of a line that rests on no statement; holders count theirs from 1."""

_WORTHWHILE_CHANGE = 0.1
"""Smallest move of units, as a share of the target."""


@dataclass(frozen=True, slots=True)
class _BookLine:
    """What the keeper counts as held by one daemon."""

    units: int
    tokens: int
    sequence: int
    term_end: float
    demand: float = 0.0
    stated_at: float = float("-inf")


class TeamBook:
    """The keeper's book for one team."""

    def __init__(
        self, settings: LimitSettings, level: float, free_since: float
    ) -> None:
        """Open the book.

        Args:
            settings: Terms of the grants.
            level: Requests in the bucket: the whole burst if nobody can have
                been granted anything, else 0.
            free_since: Time since which the bucket refills, in seconds.
        """
        self._settings = settings
        self._line_by_holder: dict[DaemonId, _BookLine] = {}
        self._level = level
        self._refilled_at = free_since
        self._is_low = False
        self._recall_pause = _FIRST_RECALL_PAUSE_SECONDS
        self._next_recall_at = free_since

    def register(self, line: HeldShare, now: float) -> None:
        """Enter a share that a former keeper granted."""
        term_end = now + self._settings.slice_term_seconds
        self._line_by_holder[line.holder] = _BookLine(
            line.units, line.tokens, line.sequence, term_end
        )

    def assume_held(self, holder: DaemonId, until: float) -> None:
        """Count the most that a daemon may hold, as it does not say what it does.

        Args:
            holder: The daemon.
            until: When all that it can hold has lapsed, in seconds.
        """
        units = int(SHARE_UNITS * self._settings.largest_holding)
        term_end = until - self._settings.reclaim_grace_seconds
        line = _BookLine(units, 0, _ASSUMED_SEQUENCE, term_end)
        self._line_by_holder.setdefault(holder, line)

    def correct(self, holder: DaemonId, stated: HeldShare | None, now: float) -> None:
        """Put what a daemon states in the place of what was assumed.

        Args:
            holder: The daemon that the assumption was about.
            stated: What it holds, or a later run of it; None for nothing.
            now: Time of this process's clock, in seconds.
        """
        known = self._line_by_holder.get(holder)
        if known is not None and known.sequence > _ASSUMED_SEQUENCE:
            return  # It has asked since, and this book follows its asks.
        self._line_by_holder.pop(holder, None)
        if stated is not None and stated.holder not in self._line_by_holder:
            self.register(stated, now)

    def lines(self, team: str) -> Iterable[HeldShare]:
        """Yield the book for a successor."""
        for holder, line in self._line_by_holder.items():
            yield HeldShare(team, holder, line.units, line.tokens, line.sequence)

    @property
    def held_units(self) -> int:
        """Units that daemons hold, or may hold."""
        return sum(line.units for line in self._line_by_holder.values())

    @property
    def held_tokens(self) -> int:
        """Single tokens that daemons hold, or may hold."""
        return sum(line.tokens for line in self._line_by_holder.values())

    def has_lapsed(self, now: float) -> bool:
        """Tell whether a line is past its term and waits to be reclaimed."""
        oldest = now - self._settings.reclaim_grace_seconds
        return any(line.term_end < oldest for line in self._line_by_holder.values())

    def reclaim(self, team: Team, now: float) -> None:
        """Take back what lapsed; only when no extension can be in force.

        Args:
            team: The team as configured now.
            now: Time of this process's clock, in seconds.
        """
        self._refill(team, now)
        oldest = now - self._settings.reclaim_grace_seconds
        lapsed = [
            holder
            for holder, line in self._line_by_holder.items()
            if line.term_end < oldest
        ]
        for holder in lapsed:
            del self._line_by_holder[holder]

    def answer(
        self, asked: ShareAsked, team: Team, now: float, is_collecting: bool
    ) -> ShareGranted | None:
        """Answer an ask.

        Args:
            asked: The holder's statement and needs.
            team: The team as configured now.
            now: Time of this process's clock, in seconds.
            is_collecting: True while shares of a former keeper may be out that
                this one has not heard of; they are entered and nothing is granted.

        Returns:
            The answer, or None for an ask that came twice or late.
        """
        known = self._line_by_holder.get(asked.holder)
        if known is not None and asked.sequence <= known.sequence:
            return None
        self._refill(team, now)
        booked = self._settle(asked, known, now, is_collecting)
        if is_collecting:
            return self._confirm(asked, booked)
        self._level = min(self._cap(team), self._level + asked.returned_level)
        return self._grant(asked, booked, team, now)

    def _settle(
        self,
        asked: ShareAsked,
        known: _BookLine | None,
        now: float,
        is_collecting: bool,
    ) -> _BookLine:
        is_new = known is None
        booked_units = asked.held_units if is_new and is_collecting else 0
        if known is not None:
            booked_units = min(asked.held_units, known.units)
            if booked_units < known.units:
                self._recall_pause = _FIRST_RECALL_PAUSE_SECONDS
        line = _BookLine(
            units=booked_units,
            tokens=asked.held_tokens,
            sequence=asked.sequence,
            term_end=now + self._settings.slice_term_seconds,
            demand=asked.demand,
            stated_at=now,
        )
        self._line_by_holder[asked.holder] = line
        return line

    def _confirm(self, asked: ShareAsked, line: _BookLine) -> ShareGranted:
        return ShareGranted(
            team=asked.team,
            sequence=asked.sequence,
            is_known=True,
            booked_units=line.units,
            target_units=line.units,
            retry_after=self._settings.renew_seconds,
            is_waiting=True,
        )

    def _grant(
        self, asked: ShareAsked, line: _BookLine, team: Team, now: float
    ) -> ShareGranted:
        target = self._target_units(line, team, now)
        added_units, added_level = self._grant_units(line, target, team)
        tokens = self._grant_tokens(asked, added_level)
        self._line_by_holder[asked.holder] = replace(
            line, units=line.units + added_units, tokens=line.tokens + tokens
        )
        is_served = added_level + tokens >= asked.wanted_tokens
        return ShareGranted(
            team=asked.team,
            sequence=asked.sequence,
            is_known=True,
            booked_units=line.units,
            added_units=added_units,
            added_level=added_level,
            added_tokens=tokens,
            target_units=target,
            retry_after=0.0 if is_served else self._seconds_to_token(team, now),
        )

    def recalls(self, asked: ShareAsked, now: float) -> list[DaemonId]:
        """Name holders that should state their holding anew, if the rest is low.

        Args:
            asked: The ask that was just answered.
            now: Time of this process's clock, in seconds.

        Returns:
            The largest holders beside the one that asked.
        """
        if now < self._next_recall_at or not self._is_low:
            return []
        self._next_recall_at = now + self._recall_pause
        self._recall_pause = min(2 * self._recall_pause, _LONGEST_RECALL_PAUSE_SECONDS)
        others = [
            (line.units, holder)
            for holder, line in self._line_by_holder.items()
            if holder != asked.holder and line.units
        ]
        return [holder for _, holder in sorted(others, reverse=True)[:_MOST_RECALLS]]

    def _target_units(self, line: _BookLine, team: Team, now: float) -> int:
        total = self._total_demand(now)
        if total <= 0:
            return line.units
        if total > _CROWDED_SHARE * team.rate:
            # Many small buckets refuse here what another one has to spare; near
            # its limit a team is counted in one bucket, request by request.
            return 0
        spread = SHARE_UNITS * (1.0 - self._settings.keeper_reserve)
        proportional = spread * line.demand / total
        needed = SHARE_UNITS * _HEADROOM * line.demand / team.rate
        most = SHARE_UNITS * self._settings.largest_holding
        target = int(min(proportional, needed, most))
        if line.demand >= _WORTHY_DEMAND:
            target = max(target, self._smallest_units(team))
        if target * team.burst * self._settings.holder_burst < SHARE_UNITS:
            return 0
        if abs(target - line.units) < _WORTHWHILE_CHANGE * target:
            return line.units
        return target

    def _grant_units(
        self, line: _BookLine, target: int, team: Team
    ) -> tuple[int, float]:
        free = SHARE_UNITS - self.held_units
        added = min(max(0, target - line.units), max(0, free))
        if added == 0:
            return 0, 0.0
        cap = team.burst * self._settings.holder_burst * added / SHARE_UNITS
        level = min(cap, self._level * added / free)
        self._level -= level
        return added, level

    def _grant_tokens(self, asked: ShareAsked, added_level: float) -> int:
        missing = max(0, asked.wanted_tokens - int(added_level))
        ahead = 0
        if missing and not self._is_low:
            share = _PREFETCH_SHARE * self._level
            ahead = int(min(share, _PREFETCH_SECONDS * asked.demand))
        tokens = min(missing + ahead, int(self._level))
        self._level -= tokens
        return tokens

    def _smallest_units(self, team: Team) -> int:
        burst = team.burst * self._settings.holder_burst
        units = int(SHARE_UNITS * _SMALLEST_TOKENS / burst)
        return units if units <= _LARGEST_SMALL_SHARE * SHARE_UNITS else 0

    def _total_demand(self, now: float) -> float:
        fresh = now - _DEMAND_TERM_FACTOR * self._settings.renew_seconds
        lines = self._line_by_holder.values()
        return sum(line.demand for line in lines if line.stated_at >= fresh)

    def _seconds_to_token(self, team: Team, now: float) -> float:
        free = max(0, SHARE_UNITS - self.held_units)
        rate = team.rate * free / SHARE_UNITS
        if rate <= 0:
            return self._settings.renew_seconds
        wait = max(0.0, (1.0 - self._level) / rate)
        is_nothing_to_spare = self._recall_pause > _CROWDED_PAUSE_SECONDS
        if is_nothing_to_spare and self._total_demand(now) > team.rate:
            wait = max(wait, _CROWDED_PAUSE_SECONDS)
        return min(self._settings.renew_seconds, wait)

    def _cap(self, team: Team) -> float:
        held = self._settings.holder_burst * self.held_units / SHARE_UNITS
        return max(0.0, team.burst * (1.0 - held) - self.held_tokens)

    def _refill(self, team: Team, now: float) -> None:
        free = max(0, SHARE_UNITS - self.held_units)
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        grown = self._level + team.rate * free / SHARE_UNITS * elapsed
        cap = self._cap(team)
        self._level = min(cap, grown)
        self._is_low = self._level < _LOW_LEVEL * cap
