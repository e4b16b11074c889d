"""The daemon's lease on its membership of the fleet.

When it lapses, the daemon refuses work that needs a key, stops spending its shares
of rates and stops acting as keeper. The term is measured on this process's monotonic
clock, from before the request that renews it was sent.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.model.settings import OutagePolicy

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bramleyglade_core.model.settings import LeaseSettings
    from bramleyglade_core.ports.clock import Clock


@dataclass(frozen=True, slots=True)
class StoreReport:
    """One member's report on whether it reaches the store."""

    is_away: bool
    """True if its newest call to the store, made just now, failed."""
    reached_for_seconds: float
    """How long all of its calls have succeeded, up to now; 0 after a failure."""


def is_unreachable_for_majority(reports: Sequence[StoreReport | None]) -> bool:
    """Return whether a majority of a sample reports that it can't reach the store.

    Args:
        reports: One entry for each member of the sample; None for an unreachable
            member, which counts as one that reaches the store.

    Returns:
        True for a strict majority.
    """
    away = sum(1 for report in reports if report is not None and report.is_away)
    return 2 * away > len(reports)


def is_reached_by_majority(
    reports: Sequence[StoreReport | None], for_seconds: float
) -> bool:
    """Return whether a majority of a sample has reached the store without a failure.

    Args:
        reports: One entry for each member of the sample; None for an unreachable
            member, which counts as one that does not reach the store.
        for_seconds: How long a member must have reached it without a failure.

    Returns:
        True for a strict majority.
    """
    reaching = sum(
        1
        for report in reports
        if report is not None
        and not report.is_away
        and report.reached_for_seconds >= for_seconds
    )
    return 2 * reaching > len(reports)


class Lease:
    """A lease whose validity is checked at each use."""

    def __init__(self, settings: LeaseSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._end = float("-inf")
        self._fresh_end = float("-inf")
        self._valid_since = float("inf")

    @property
    def is_valid(self) -> bool:
        """Whether the lease holds now."""
        return self._clock() < self._end

    @property
    def valid_since(self) -> float:
        """Time since which no other daemon can have waited for its end.

        Infinite if it does not hold. An extension counts if it proves that no majority
        has reached the store; under the policy to go on regardless, it doesn't.
        """
        return self._valid_since if self._is_proven else float("inf")

    @property
    def _is_proven(self) -> bool:
        if self._settings.outage is OutagePolicy.GO_ON:
            return not self.is_extended
        return self.is_valid

    @property
    def remaining_seconds(self) -> float:
        """Seconds until the lease lapses; 0 once it has."""
        return max(0.0, self._end - self._clock())

    @property
    def is_extended(self) -> bool:
        """Whether the lease no longer rests on a read of the store."""
        return self._clock() >= self._fresh_end

    def renew(self, asked_at: float) -> None:
        """Renew after this daemon's own read of the store, also after a lapse.

        Args:
            asked_at: Time on this process's clock before the read, in seconds.
        """
        was_proven = self._is_proven
        self._fresh_end = max(self._fresh_end, asked_at + self._settings.term_seconds)
        self._end = max(self._end, self._fresh_end)
        self._note_begin(was_proven)

    @property
    def fresh_seconds(self) -> float:
        """Seconds of the lease that rest on a read of the store; 0 if none."""
        return max(0.0, self._fresh_end - self._clock())

    def adopt(self, asked_at: float, seconds: float, fresh_seconds: float) -> None:
        """Adopt the remaining term of a peer's lease, which never grows in transit.

        Args:
            asked_at: Time on this process's clock before the peer was queried,
                in seconds.
            seconds: Remaining seconds of the peer's lease when it answered.
            fresh_seconds: The part of them that rests on a read of the store.
        """
        was_proven = self._is_proven
        term = self._settings.term_seconds
        self._end = max(self._end, asked_at + min(seconds, term))
        if fresh_seconds > 0:
            fresh_end = asked_at + min(fresh_seconds, term)
            self._fresh_end = max(self._fresh_end, fresh_end)
        self._note_begin(was_proven)

    def extend(self, asked_at: float) -> bool:
        """Extend the lease since a majority can't reach the store.

        Args:
            asked_at: Time on this process's clock before the sample was queried,
                in seconds.

        Returns:
            False if the lease had lapsed: an extension never revives it.
        """
        if not self.is_valid:
            return False
        self._end = max(self._end, asked_at + self._settings.term_seconds)
        return True

    def _note_begin(self, was_proven: bool) -> None:
        if not was_proven and self._is_proven:
            self._valid_since = self._clock()


class StoreContact:
    """A daemon's record of its own calls to the store."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_success: float | None = None
        self._reached_since: float | None = None
        self._last_failure: float | None = None

    def note_success(self, asked_at: float) -> None:
        """Record an answered call by the time before it was sent, in seconds."""
        self._last_success = asked_at
        if self._reached_since is None:
            self._reached_since = asked_at

    def note_failure(self) -> None:
        """Record a failed call."""
        self._last_failure = self._clock()
        self._reached_since = None

    def seconds_since_last_call(self) -> float:
        """Return the seconds since the newest call, failed or not; infinite if none."""
        times = [t for t in (self._last_success, self._last_failure) if t is not None]
        return self._clock() - max(times) if times else float("inf")

    def report(self) -> StoreReport:
        """Return this daemon's report on whether it reaches the store."""
        if self._reached_since is None or self._last_success is None:
            return StoreReport(self._last_failure is not None, 0.0)
        return StoreReport(False, self._last_success - self._reached_since)
