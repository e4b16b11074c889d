"""A daemon's share of one team's rate and burst."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bramleyglade_core.model.shares import SHARE_UNITS, HeldShare, ShareAsked

if TYPE_CHECKING:
    from bramleyglade_core.model.entities import Team
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.settings import LimitSettings
    from bramleyglade_core.model.shares import ShareGranted

_DEMAND_HALF_LIFE_SECONDS = 4.0
"""Time in which an old arrival loses half its weight in a share."""

_RECENT_HALF_LIFE_SECONDS = 0.25
"""The same where the keeper asks who could spare something at once."""

_UNHEARD_PAUSE_SECONDS = 0.2
"""Time before a keeper that did not answer is asked again."""

TOKEN_TERM_SECONDS = 1.0
"""How long a single token is good, counted from before the asking."""


class DemandMeter:
    """An exponentially weighted rate of arrivals."""

    def __init__(self, half_life_seconds: float) -> None:
        self._half_life = half_life_seconds
        self._weight = 0.0
        self._updated_at = 0.0

    def note(self, now: float) -> None:
        """Note one arrival."""
        self._decay(now)
        self._weight += 1.0

    def rate(self, now: float) -> float:
        """Return the arrivals a second."""
        self._decay(now)
        return self._weight * math.log(2) / self._half_life

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._weight *= 0.5 ** (elapsed / self._half_life)
        self._updated_at = max(now, self._updated_at)


class ShareHolding:
    """Units, level and single tokens that this daemon may spend for a team.

    A holding is good for a term from before the ask that confirmed it. Units
    refill at their part of the rate, up to their part of the burst.
    """

    def __init__(self, holder: DaemonId, settings: LimitSettings) -> None:
        self._holder = holder
        self._settings = settings
        self.units = 0
        self.level = 0.0
        self.term_end = float("-inf")
        self.demand = DemandMeter(_DEMAND_HALF_LIFE_SECONDS)
        self._recent_demand = DemandMeter(_RECENT_HALF_LIFE_SECONDS)
        self._is_recalled = False
        self._refilled_at = float("-inf")
        self._tokens = 0
        self._tokens_end = float("-inf")
        self._returned_level = 0.0
        self._sequence = 0
        self._asked_at: float | None = None
        self.dry_until = float("-inf")
        """The keeper said that asking again before this time is no use."""
        self.next_ask_at = float("-inf")
        self.is_keeper_waiting = False
        """Whether the keeper confirmed what is held and can't grant more yet."""
        self.is_keeper_heard = True
        """Whether the newest ask was answered by a keeper that can grant."""

    @property
    def is_asking(self) -> bool:
        """Whether an answer of the keeper is awaited."""
        return self._asked_at is not None

    def note_arrival(self, now: float) -> None:
        """Note a request of the team, admitted or not."""
        self.demand.note(now)
        self._recent_demand.note(now)

    def recall(self, now: float) -> None:
        """Make an ask due that tells of the newest demand only."""
        self._is_recalled = True
        self.next_ask_at = now

    def seconds_to_token(self, team: Team, now: float) -> float:
        """Return when the share itself will have refilled one request."""
        self._refill(team, now)
        rate = team.rate * self.units / SHARE_UNITS
        return max(0.0, 1.0 - self.level) / rate if rate else float("inf")

    def try_admit(self, team: Team, now: float) -> bool:
        """Spend one request of the share.

        Args:
            team: The team as configured now.
            now: Time of this process's clock, in seconds.

        Returns:
            True if the request is within the share.
        """
        self._refill(team, now)
        if self.level >= 1.0:
            self.level -= 1.0
            return True
        if self._tokens >= 1 and now < self._tokens_end:
            self._tokens -= 1
            self.next_ask_at = now
            return True
        return False

    def ask(self, team: Team, now: float, waiting: int) -> ShareAsked:
        """State the holding, and from now on ignore answers to earlier asks.

        Args:
            team: The team as configured now.
            now: Time of this process's clock, in seconds.
            waiting: Requests that wait for a token.

        Returns:
            The message to the keeper.
        """
        self._refill(team, now)
        if now >= self._tokens_end:
            self._tokens = 0
        self._sequence += 1
        self._asked_at = now
        self.next_ask_at = now + self._settings.renew_seconds
        returned, self._returned_level = self._returned_level, 0.0
        demand = self.demand.rate(now)
        if self._is_recalled:
            demand = min(demand, self._recent_demand.rate(now))
            self._is_recalled = False
        return ShareAsked(
            team=team.name,
            holder=self._holder,
            sequence=self._sequence,
            held_units=self.units,
            held_tokens=self._tokens,
            returned_level=returned,
            demand=demand,
            wanted_tokens=waiting,
        )

    def credit(self, granted: ShareGranted, team: Team, now: float) -> bool:
        """Take the keeper's answer, unless it is late or crossed.

        Args:
            granted: The answer.
            team: The team as configured now.
            now: Time of this process's clock, in seconds.

        Returns:
            True if units are to be returned, which another ask does at once.
        """
        if self._asked_at is None or granted.sequence != self._sequence:
            return False
        asked_at, self._asked_at = self._asked_at, None
        self.dry_until = now + granted.retry_after
        self.is_keeper_heard = granted.is_known
        self.is_keeper_waiting = granted.is_waiting
        if not granted.is_known:
            return False
        self._refill(team, now)
        self._reduce_to(granted.booked_units)
        self.units += granted.added_units
        self.level += granted.added_level
        self.term_end = asked_at + self._settings.slice_term_seconds
        self._tokens += granted.added_tokens
        self._tokens_end = asked_at + TOKEN_TERM_SECONDS
        return self._give_back(granted.target_units)

    def state(self, team: Team, now: float) -> HeldShare:
        """State the holding to a new keeper; earlier asks are given up.

        Args:
            team: The team as configured now.
            now: Time of this process's clock, in seconds.

        Returns:
            The line for the keeper's book.
        """
        self._refill(team, now)
        self.give_up_ask(now)
        tokens = self._tokens if now < self._tokens_end else 0
        return HeldShare(team.name, self._holder, self.units, tokens, self._sequence)

    def give_up_ask(self, now: float) -> None:
        """Stop waiting; a late answer will not be credited."""
        self.dry_until = now + _UNHEARD_PAUSE_SECONDS
        self._asked_at = None
        self._sequence += 1
        self.is_keeper_heard = False

    def release(self) -> None:
        """Return everything with the next ask, since this daemon leaves."""
        self._give_back(0)

    def extend(self, asked_at: float, until: float) -> None:
        """Extend the term with the daemon's lease while the store is away.

        Args:
            asked_at: Time from before the sample was asked; a term that had
                ended by then stays ended.
            until: End of the extension.
        """
        if self.term_end > asked_at:
            self.term_end = max(self.term_end, until)

    def _refill(self, team: Team, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = max(now, self._refilled_at)
        if now >= self.term_end:
            self.units = 0
            self.level = 0.0
            return
        share = self.units / SHARE_UNITS
        cap = team.burst * share * self._settings.holder_burst
        self.level = min(cap, self.level + team.rate * share * elapsed)

    def _give_back(self, target_units: int) -> bool:
        before = self.level
        if not self._reduce_to(target_units):
            return False
        self._returned_level += before - self.level
        return True

    def _reduce_to(self, units: int) -> bool:
        if units >= self.units:
            return False
        self.level *= units / self.units
        self.units = units
        return True
