"""The daemon's lease on being part of the fleet.

Keyed work, shares of a rate and a keeper's role stop when it lapses. It is
measured on this process's monotonic clock from before each asking.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bramleyglade_core.model.settings import LeaseSettings
    from bramleyglade_core.ports.clock import Clock


@dataclass(frozen=True, slots=True)
class StoreSight:
    """What one member says of its own contact with the store."""

    is_away: bool
    """True if its newest try, made just now, has failed."""
    reached_for_seconds: float
    """How long each of its tries has succeeded, up to now; 0 after a failure."""


def is_away_for_majority(sights: Sequence[StoreSight | None]) -> bool:
    """Tell whether most of a sample say that they can't reach the store.

    Args:
        sights: One entry for each member of the sample; None if unreachable,
            which counts as a member that reaches the store.

    Returns:
        True for a strict majority.
    """
    away = sum(1 for sight in sights if sight is not None and sight.is_away)
    return 2 * away > len(sights)


def is_reached_by_majority(
    sights: Sequence[StoreSight | None], for_seconds: float
) -> bool:
    """Tell whether most of a sample have reached the store all along.

    Args:
        sights: One entry for each member of the sample; None if unreachable,
            which counts as a member that does not reach the store.
        for_seconds: How long each must have reached it without a failure.

    Returns:
        True for a strict majority.
    """
    reaching = sum(
        1
        for sight in sights
        if sight is not None
        and not sight.is_away
        and sight.reached_for_seconds >= for_seconds
    )
    return 2 * reaching > len(sights)


class Lease:
    """The lease, checked at each use."""

    def __init__(self, settings: LeaseSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._end = float("-inf")
        self._fresh_end = float("-inf")

    @property
    def is_valid(self) -> bool:
        """Whether the lease holds now."""
        return self._clock() < self._end

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the lease lapses; 0 once it has."""
        return max(0.0, self._end - self._clock())

    @property
    def is_extended(self) -> bool:
        """Whether only the word that the store is away keeps the lease."""
        return self._clock() >= self._fresh_end

    def renew(self, asked_at: float) -> None:
        """Renew by this daemon's own read of the store, also after a lapse.

        Args:
            asked_at: Time on this process's clock from before the asking.
        """
        self._fresh_end = max(self._fresh_end, asked_at + self._settings.term_seconds)
        self._end = max(self._end, self._fresh_end)

    @property
    def fresh_seconds(self) -> float:
        """Seconds for which the store's own word keeps the lease; 0 if none."""
        return max(0.0, self._fresh_end - self._clock())

    def adopt(self, asked_at: float, seconds: float, fresh_seconds: float) -> None:
        """Take over what a peer's lease has left; it never grows on the way.

        Args:
            asked_at: Time on this process's clock from before the asking.
            seconds: What the peer's lease had left when it answered.
            fresh_seconds: The part of that which rests on the store's own word.
        """
        term = self._settings.term_seconds
        self._end = max(self._end, asked_at + min(seconds, term))
        if fresh_seconds > 0:
            fresh_end = asked_at + min(fresh_seconds, term)
            self._fresh_end = max(self._fresh_end, fresh_end)

    def extend(self, asked_at: float) -> bool:
        """Extend by the word of a majority that the store is away.

        Args:
            asked_at: Time on this process's clock from before the asking.

        Returns:
            False if the lease had lapsed, which no such word revives.
        """
        if not self.is_valid:
            return False
        self._end = max(self._end, asked_at + self._settings.term_seconds)
        return True


class StoreContact:
    """A daemon's record of its own calls to the store."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_success: float | None = None
        self._reached_since: float | None = None
        self._last_failure: float | None = None

    def note_success(self, asked_at: float) -> None:
        """Note a call that was answered, by the time before its asking."""
        self._last_success = asked_at
        if self._reached_since is None:
            self._reached_since = asked_at

    def note_failure(self) -> None:
        """Note a call that was not answered."""
        self._last_failure = self._clock()
        self._reached_since = None

    def newest_age(self) -> float:
        """Return the seconds since the newest call, answered or not."""
        times = [t for t in (self._last_success, self._last_failure) if t is not None]
        return self._clock() - max(times) if times else float("inf")

    def sight(self) -> StoreSight:
        """Return what this daemon can say of the store."""
        if self._reached_since is None or self._last_success is None:
            return StoreSight(self._last_failure is not None, 0.0)
        return StoreSight(False, self._last_success - self._reached_since)
