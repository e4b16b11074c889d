"""A daemon's share of one team's rate and burst."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from bramleyglade_core.model.shares import TOTAL_SHARE_UNITS, HeldShare, ShareAsked

if TYPE_CHECKING:
    from bramleyglade_core.model.entities import Team
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.settings import LimitSettings
    from bramleyglade_core.model.shares import ShareGranted

_DEMAND_HALF_LIFE_SECONDS = 4.0
"""Half-life of an arrival's weight in the demand of a regular renewal."""

_RECALL_HALF_LIFE_SECONDS = 0.25
"""The same for a renewal after a recall, which returns units that are unused now."""

_NO_ANSWER_BACKOFF_SECONDS = 0.2
"""Time before the next renewal after a keeper did not answer."""

_SUSTAINED_HALF_LIFE_SECONDS = 20.0
"""The same for the decision whether a holder needs a share at all."""

_SHARE_DEMAND = 0.1
"""Sustained demand, in requests a second, below which a holder asks for single tokens
only. A share is renewed every second, and would cost more than the requests it serves
where a team's requests are spread over many daemons."""

_DEMAND_TERM_RENEWALS = 3.0
"""Renewal intervals for which the keeper counts a reported demand."""

TOKEN_TERM_SECONDS = 1.0
"""How long a single token is valid, from before the renewal was sent."""


class DemandMeter:
    """An exponentially decaying rate of arrivals."""

    def __init__(self, half_life_seconds: float) -> None:
        self._half_life = half_life_seconds
        self._weight = 0.0
        self._updated_at = 0.0

    def note(self, now: float) -> None:
        """Count one arrival."""
        self._decay(now)
        self._weight += 1.0

    def rate(self, now: float) -> float:
        """Return the arrivals per second."""
        self._decay(now)
        return self._weight * math.log(2) / self._half_life

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._weight *= 0.5 ** (elapsed / self._half_life)
        self._updated_at = max(now, self._updated_at)


class ShareHolding:
    """Units, level and single tokens that this daemon may spend for a team.

    A holding is valid for one term, from before the last confirmed renewal was sent.
    The bucket refills at its units' part of the rate, up to their part of the burst.
    """

    def __init__(
        self, holder: DaemonId, settings: LimitSettings, first_sequence: int = 0
    ) -> None:
        """Create a holding of nothing.

        Args:
            holder: The daemon that holds it.
            settings: Limits and terms of the grants.
            first_sequence: Number that no renewal of an earlier holding of the same
                daemon and team has reached.
        """
        self._holder = holder
        self._settings = settings
        self.units = 0
        self.level = 0.0
        self.term_end = float("-inf")
        self.demand = DemandMeter(_DEMAND_HALF_LIFE_SECONDS)
        self._recent_demand = DemandMeter(_RECALL_HALF_LIFE_SECONDS)
        self._is_recalled = False
        self._refilled_at = float("-inf")
        self._tokens = 0
        self._tokens_end = float("-inf")
        self._returned_level = 0.0
        self._sequence = first_sequence
        self._sustained_demand = DemandMeter(_SUSTAINED_HALF_LIFE_SECONDS)
        self._asked_at: float | None = None
        self.backoff_until = float("-inf")
        """Time before which another renewal would gain nothing."""
        self.next_renewal_at = float("-inf")
        self.is_keeper_collecting = False
        """Whether the keeper confirmed the holding but can't grant more yet."""
        self.is_keeper_available = True
        """Whether the newest renewal was answered by a keeper that can confirm it."""

    @property
    def is_renewal_pending(self) -> bool:
        """Whether the keeper's answer is outstanding."""
        return self._asked_at is not None

    def note_arrival(self, now: float) -> None:
        """Count a request of the team, admitted or not."""
        self.demand.note(now)
        self._recent_demand.note(now)
        self._sustained_demand.note(now)
        if self._needs_share(now):
            self.next_renewal_at = min(self.next_renewal_at, now)

    def _needs_share(self, now: float) -> bool:
        return self._sustained_demand.rate(now) >= _SHARE_DEMAND

    def is_unused(self, now: float) -> bool:
        """Return whether the daemon holds nothing and needs no renewal."""
        return (
            self.units == 0
            and self._asked_at is None
            and math.isinf(self.next_renewal_at)
            and now >= self._tokens_end
        )

    def recall(self, now: float) -> None:
        """Make a renewal due now that reports only the most recent demand."""
        self._is_recalled = True
        self.next_renewal_at = now

    def seconds_to_token(self, team: Team, now: float) -> float:
        """Return the seconds until the share's own refill allows one request."""
        self._refill(team, now)
        rate = team.rate * self.units / TOTAL_SHARE_UNITS
        return max(0.0, 1.0 - self.level) / rate if rate else float("inf")

    def try_admit(self, team: Team, now: float) -> bool:
        """Spend one request of the share if it has one.

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
            self.next_renewal_at = now
            return True
        return False

    def renew(self, team: Team, now: float, waiting: int) -> ShareAsked:
        """Start a renewal; answers to earlier ones are ignored from now on.

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
        self.next_renewal_at = now + self._settings.renew_seconds
        returned, self._returned_level = self._returned_level, 0.0
        demand = self.demand.rate(now)
        if self._is_recalled:
            demand = min(demand, self._recent_demand.rate(now))
            self._is_recalled = False
        needs_share = self._needs_share(now)
        if not needs_share:
            # Each request is reported once, so it has to count for the whole term.
            term = _DEMAND_TERM_RENEWALS * self._settings.renew_seconds
            demand = max(demand, 1.0 / term)
            if not self.units and not self._tokens and not waiting:
                self.next_renewal_at = math.inf
        return ShareAsked(
            team=team.name,
            holder=self._holder,
            sequence=self._sequence,
            held_units=self.units,
            held_tokens=self._tokens,
            returned_level=returned,
            demand=demand,
            wanted_tokens=waiting,
            is_tokens_only=not needs_share,
        )

    def apply_grant(self, granted: ShareGranted, team: Team, now: float) -> bool:
        """Apply the keeper's answer, unless its renewal is no longer pending.

        Args:
            granted: The answer.
            team: The team as configured now.
            now: Time of this process's clock, in seconds.

        Returns:
            True if units are to be returned, with another renewal at once.
        """
        if self._asked_at is None or granted.sequence != self._sequence:
            return False
        asked_at, self._asked_at = self._asked_at, None
        self.backoff_until = now + granted.retry_after
        self.is_keeper_available = granted.is_known
        self.is_keeper_collecting = granted.is_waiting
        if not granted.is_known:
            return False
        self._refill(team, now)
        self._reduce_to(granted.booked_units)
        self.units += granted.added_units
        self.level += granted.added_level
        self.term_end = asked_at + self._settings.slice_term_seconds
        self._tokens += granted.added_tokens
        self._tokens_end = asked_at + TOKEN_TERM_SECONDS
        return self._return_excess(granted.target_units)

    def report_held_share(self, team: Team, now: float) -> HeldShare:
        """Report the holding to a new keeper and abandon earlier renewals.

        Args:
            team: The team as configured now.
            now: Time of this process's clock, in seconds.

        Returns:
            The share for the keeper's records.
        """
        self._refill(team, now)
        self.abandon_renewal(now)
        tokens = self._tokens if now < self._tokens_end else 0
        return HeldShare(team.name, self._holder, self.units, tokens, self._sequence)

    def abandon_renewal(self, now: float) -> None:
        """Stop waiting for the answer and ignore it if it arrives late."""
        self.backoff_until = now + _NO_ANSWER_BACKOFF_SECONDS
        self._asked_at = None
        self._sequence += 1
        self.is_keeper_available = False

    def release(self) -> None:
        """Return everything with the next renewal."""
        self._return_excess(0)

    def extend(self, asked_at: float, until: float) -> None:
        """Extend the term with the daemon's lease while the store is unreachable.

        Args:
            asked_at: Time before the sample was queried, in seconds; a term that
                had ended by then stays ended.
            until: End of the extension, in seconds.
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
        share = self.units / TOTAL_SHARE_UNITS
        cap = team.burst * share * self._settings.holder_burst
        self.level = min(cap, self.level + team.rate * share * elapsed)

    def _return_excess(self, target_units: int) -> bool:
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
