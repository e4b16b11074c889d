"""Which requests a daemon still accepts during a planned stop."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import DaemonSettings

_EXPECTED_TIME_MARGIN = 3.0
"""Factor on the typical time of a service, within which nearly all answers come."""

_LAST_ACCEPTANCE_SHARE = 0.7
"""Part of a stop after which nothing is accepted, whatever still runs."""


@dataclass(frozen=True, slots=True)
class ExpectedTimes:
    """How long an answer of a service is expected to take, in seconds; 0 if unknown."""

    typical_seconds: float = 0.0
    """Typical time from a slot of a target to the answer."""
    wait_seconds: float = 0.0
    """Shortest wait for a slot."""


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """The times of one planned stop, by this process's clock, in seconds.

    Callers notice the stop within the notice. After it, only requests without a key
    are accepted, and only while targets of this VM work on earlier requests, which may
    make such calls. Their deadlines must pass before the stop ends, so that none of
    them is given up while a target works on it.
    """

    notice_ends_at: float
    acceptance_ends_at: float
    """Last time at which any request is accepted."""
    ends_at: float
    """When requests that are not answered by then are given up."""

    def with_acceptance_ended(self, now: float) -> StopSchedule:
        """Return the schedule with nothing accepted from now on."""
        return StopSchedule(
            min(now, self.notice_ends_at),
            min(now, self.acceptance_ends_at),
            self.ends_at,
        )

    def accepts(
        self, now: float, has_key: bool, timeout_seconds: float, expected: ExpectedTimes
    ) -> bool:
        """Return whether a request that has just been read can still be served.

        Args:
            now: Current time, in seconds.
            has_key: Whether the request belongs to a team, so that its caller is not a
                target.
            timeout_seconds: Time after which the request fails unanswered.
            expected: How long an answer of its service is expected to take.
        """
        if now >= (self.notice_ends_at if has_key else self.acceptance_ends_at):
            return False
        if now >= self.notice_ends_at and now + timeout_seconds > self.ends_at:
            return False
        longest = _EXPECTED_TIME_MARGIN * expected.typical_seconds
        return now + expected.wait_seconds + longest <= self.ends_at


def plan_stop(settings: DaemonSettings, now: float) -> StopSchedule:
    """Return the schedule of a stop that begins now."""
    notice_ends_at = now + settings.notice_seconds
    share = _LAST_ACCEPTANCE_SHARE * settings.stop_seconds
    return StopSchedule(
        notice_ends_at, max(notice_ends_at, now + share), now + settings.stop_seconds
    )
