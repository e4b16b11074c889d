"""The share of traffic that repeats may add."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import FrontSettings

_OWN_FLOOR = 20.0
"""Repeats that a quiet front has in hand where the fleet has no common floor."""

_LEAST_FLOOR = 1.0
"""Repeats that each front has in hand; less than one would never be spent."""

_SLOTS_PER_WINDOW = 20
"""Steps in which a window slides; what is counted is off by one of them at most."""

_MOST_CALLS_PER_RUN = 1.0
"""Calls to one service that a repeated run is charged with at most. Requests of callers
to routes open to all are taken for calls too, so more would be an overestimate."""


class SlidingCount:
    """What has come in a window that ends now, in steps of a twentieth of it."""

    def __init__(self, window_seconds: float) -> None:
        self._step = window_seconds / _SLOTS_PER_WINDOW
        self._slots: deque[tuple[int, float]] = deque()

    def add(self, amount: float, now: float) -> None:
        """Count an amount as of now."""
        slot = int(now / self._step)
        if self._slots and self._slots[-1][0] == slot:
            amount += self._slots.pop()[1]
        self._slots.append((slot, amount))

    def total(self, now: float, is_cautious: bool = False) -> float:
        """Return the sum over the window.

        Args:
            now: Time of this process's clock, in seconds.
            is_cautious: True to count a step beyond the window.

        Returns:
            The sum; without caution it may lack what came in the oldest step.
        """
        oldest = int(now / self._step) - _SLOTS_PER_WINDOW
        while self._slots and self._slots[0][0] < oldest:
            self._slots.popleft()
        first = oldest if is_cautious else oldest + 1
        return sum(amount for slot, amount in self._slots if slot >= first)


class RetryBudget:
    """Repeats of one service's requests, so that a brown-out is not multiplied.

    In any window a front spends no more than its part of the common floor and a
    share of its own first attempts, and so do all fronts together.
    """

    def __init__(self, settings: FrontSettings) -> None:
        self._settings = settings
        self._floor = _LEAST_FLOOR if settings.retry_floor is not None else _OWN_FLOOR
        self._requests = SlidingCount(settings.retry_window_seconds)
        self._repeats = SlidingCount(settings.retry_window_seconds)

    def share_floor(self, daemons: int) -> None:
        """Take this daemon's part of the floor that all daemons have together.

        Args:
            daemons: Daemons in the fleet, this one included.
        """
        if self._settings.retry_floor is not None:
            part = self._settings.retry_floor / max(1, daemons)
            self._floor = max(_LEAST_FLOOR, part)

    def note_first_attempt(self, now: float) -> None:
        """Earn a part of a repeat."""
        self._requests.add(1.0, now)

    def try_spend(self, now: float) -> bool:
        """Spend one repeat; False if there is none."""
        earned = self._settings.retry_share * self._requests.total(now)
        if self._repeats.total(now, is_cautious=True) + 1.0 > self._floor + earned:
            return False
        self._repeats.add(1.0, now)
        return True

    def charge(self, repeats: float, now: float) -> None:
        """Count repeats that others have caused, whether they were in hand or not."""
        self._repeats.add(repeats, now)


class RetryBudgets:
    """One daemon's budgets of all services.

    A run that is a repeat makes its calls again, and they are repeats at the
    services called. The daemon beside the target charges them, by the calls that
    its runs have made so far.
    """

    def __init__(self, settings: FrontSettings) -> None:
        self._settings = settings
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._runs = 0
        self._calls_by_service: dict[str, int] = {}

    def find(self, service: str) -> RetryBudget:
        """Return the budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._settings)
            self._budget_by_service[service] = budget
        return budget

    def note_call(self, service: str) -> None:
        """Note a request that a target of this VM may have sent while it ran one."""
        self._calls_by_service[service] = self._calls_by_service.get(service, 0) + 1

    def note_run(self, is_repeat: bool, now: float) -> None:
        """Note that a target of this VM begins to run a request.

        Args:
            is_repeat: Whether the request may have run before.
            now: Time of this process's clock, in seconds.
        """
        self._runs += 1
        if not is_repeat:
            return
        for service, calls in self._calls_by_service.items():
            calls_per_run = min(_MOST_CALLS_PER_RUN, calls / self._runs)
            self.find(service).charge(calls_per_run, now)


def may_retry(verdict: Verdict, is_idempotent: bool, is_body_spent: bool) -> bool:
    """Tell whether a failed attempt may be tried at another target.

    Args:
        verdict: What is known of the failed attempt.
        is_idempotent: Whether the request may run twice.
        is_body_spent: Whether body bytes were sent that can't be sent again.

    Returns:
        True if a second attempt can't make non-idempotent work run twice.
    """
    if is_body_spent:
        return False
    return is_idempotent or verdict is Verdict.NOT_RUN
