"""The share of traffic that repeats may add."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from bramleyglade_core.model.peer_messages import CallsTold
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.settings import FrontSettings

_OWN_FLOOR = 20.0
"""Repeats that a quiet front has in hand where the fleet has no common floor."""

_LEAST_FLOOR = 1.0
"""Repeats that each front has in hand; less than one would never be spent."""

_SLOTS_PER_WINDOW = 20
"""Steps in which a window slides; what is counted is off by one of them at most."""

_MOST_CALLS_PER_RUN = 3.0
"""Calls to one service that a repeated run is charged with at most. Requests of callers
to routes open to all are taken for calls too, and where they are many no repeat of
another service would ever be paid for."""

_LEAST_RUNS = 5
"""Runs from which on their calls are told; fewer say little."""

_LEARNING_WEIGHT = 0.2
"""Weight of one daemon's word in what is known of a service's calls."""


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
        self._started_at: float | None = None
        """When the floor began to grow; None if it is there at once."""
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

    def grow_floor(self, started_at: float) -> None:
        """Have the floor grow over the first window.

        A daemon that starts anew does not know what it has spent just before, and
        when all start anew their floors would count twice.

        Args:
            started_at: When this daemon started, in seconds.
        """
        self._started_at = started_at

    def note_first_attempt(self, now: float) -> None:
        """Earn a part of a repeat."""
        self._requests.add(1.0, now)

    def has(self, repeats: float, now: float) -> bool:
        """Tell whether some repeats, or a part of one, may be spent."""
        earned = self._settings.retry_share * self._requests.total(now)
        spent = self._repeats.total(now, is_cautious=True)
        return spent + repeats <= self._floor_at(now) + earned

    def _floor_at(self, now: float) -> float:
        if self._started_at is None or self._settings.retry_floor is None:
            return self._floor
        age = (now - self._started_at) / self._settings.retry_window_seconds
        return self._floor * min(1.0, max(0.0, age))

    def spend(self, repeats: float, now: float) -> None:
        """Count repeats as spent."""
        self._repeats.add(repeats, now)


class RetryBudgets:
    """One daemon's budgets of all services.

    A run that is a repeat makes its calls again, and they are repeats at the
    services called. So it takes from their budgets too, by the calls that runs at
    the service have made so far, as the daemons beside its targets tell.
    """

    def __init__(self, settings: FrontSettings, started_at: float = 0.0) -> None:
        self._settings = settings
        self._started_at = started_at
        self._daemons = 1
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._runs = 0
        self._calls_by_service: dict[str, int] = {}
        self._per_run_by_callee_by_service: dict[str, dict[str, float]] = {}

    def share_floor(self, daemons: int) -> None:
        """Take this daemon's part of the floors that all daemons have together.

        Args:
            daemons: Daemons in the fleet, this one included.
        """
        if daemons == self._daemons:
            return
        self._daemons = daemons
        for budget in self._budget_by_service.values():
            budget.share_floor(daemons)

    def note_first_attempt(self, service: str, now: float) -> None:
        """Earn a part of a repeat of a service's requests."""
        self._find(service).note_first_attempt(now)

    def try_spend(self, service: str, may_have_run: bool, now: float) -> bool:
        """Spend one repeat of a service's requests; False if there is none.

        Args:
            service: The service.
            may_have_run: Whether the request may have run, and made its calls.
            now: Time of this process's clock, in seconds.
        """
        wanted_by_service = {service: 1.0}
        if may_have_run:
            per_run_by_callee = self._per_run_by_callee_by_service.get(service, {})
            for callee, per_run in per_run_by_callee.items():
                known = wanted_by_service.get(callee, 0.0)
                wanted_by_service[callee] = known + per_run
        wanted = [(self._find(s), part) for s, part in wanted_by_service.items()]
        if not all(budget.has(part, now) for budget, part in wanted):
            return False
        for budget, part in wanted:
            budget.spend(part, now)
        return True

    def note_run(self, may_repeat: bool) -> None:
        """Note that a target of this VM begins to run a request.

        Args:
            may_repeat: Whether the request may run again. Which runs make the calls
                is not known; if those that are never repeated made none, the others
                made all.
        """
        self._runs += may_repeat

    def note_call(self, service: str) -> None:
        """Note a request that a target of this VM may have sent while it ran one."""
        self._calls_by_service[service] = self._calls_by_service.get(service, 0) + 1

    def calls(self) -> tuple[CallsTold, ...]:
        """Return the calls that runs on this VM have made, for other daemons."""
        if self._runs < _LEAST_RUNS:
            return ()
        return tuple(
            CallsTold(service, min(_MOST_CALLS_PER_RUN, calls / self._runs))
            for service, calls in self._calls_by_service.items()
        )

    def learn_calls(self, service: str, calls: Iterable[CallsTold]) -> None:
        """Take in what runs at a target of a service have called.

        Args:
            service: The target's service.
            calls: Its calls to each service.
        """
        known = self._per_run_by_callee_by_service.setdefault(service, {})
        for told in calls:
            before = known.get(told.service, told.per_run)
            known[told.service] = before + _LEARNING_WEIGHT * (told.per_run - before)

    def _find(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._settings)
            budget.share_floor(self._daemons)
            budget.grow_floor(self._started_at)
            self._budget_by_service[service] = budget
        return budget


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
