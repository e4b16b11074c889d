"""Retry budgets, which bound the traffic that retries add."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from bramleyglade_core.model.peer_messages import CallsTold
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.settings import FrontSettings

_DEFAULT_FLOOR = 20.0
"""Retries per window of a front without traffic if no fleet-wide floor is set."""

_MIN_FLOOR = 1.0
"""Smallest floor of a front in retries; less than one would never allow a retry."""

_SLOTS_PER_WINDOW = 20
"""Slots of a sliding window; a total is off by one slot at most."""

_MAX_CALLS_PER_RUN = 3.0
"""Calls to one service that a retry is charged for at most. Callers' requests to routes
that are open to all count as calls too. Without this limit, many of them would leave no
retry of another service within its budget."""

_MIN_RUNS = 5
"""Runs from which on their calls are reported; fewer give no reliable mean."""

_SMOOTHING_WEIGHT = 0.2
"""Weight of one daemon's report in the moving average of a service's calls."""


_LOAN_SECONDS = 1.0
"""Time within which retries lent by another daemon must be spent."""

_KEPT_RETRIES = 1.0
"""Retries that a daemon keeps for itself when it lends some, if it has spent any in the
window. One that has needed none would keep them unused, and may borrow itself."""


class SlidingWindowCounter:
    """A sum over a sliding window that ends now, kept in slots."""

    def __init__(self, window_seconds: float) -> None:
        self._slot_seconds = window_seconds / _SLOTS_PER_WINDOW
        self._slots: deque[tuple[int, float]] = deque()

    def add(self, amount: float, now: float) -> None:
        """Add an amount to the current slot."""
        slot = int(now / self._slot_seconds)
        if self._slots and self._slots[-1][0] == slot:
            amount += self._slots.pop()[1]
        self._slots.append((slot, amount))

    def total_until(self, until: float) -> float:
        """Return what is still in the window at a later time, its first slot excluded.

        Args:
            until: That time by this process's clock, in seconds.
        """
        oldest = int(until / self._slot_seconds) - _SLOTS_PER_WINDOW
        return sum(amount for slot, amount in self._slots if slot > oldest)

    def total(self, now: float, includes_partial_slot: bool = False) -> float:
        """Return the sum over the window.

        Args:
            now: Time of this process's clock, in seconds.
            includes_partial_slot: Whether to count the slot in which the window begins.

        Returns:
            The sum. It may be up to one slot too high with the partial slot, and up to
            one slot too low without it.
        """
        oldest = int(now / self._slot_seconds) - _SLOTS_PER_WINDOW
        while self._slots and self._slots[0][0] < oldest:
            self._slots.popleft()
        first = oldest if includes_partial_slot else oldest + 1
        return sum(amount for slot, amount in self._slots if slot >= first)


class RetryBudget:
    """Bounds the retries of one service, so that they don't amplify a brown-out.

    In any window a front spends at most its part of the fleet-wide floor plus a
    share of its own first attempts. So the same bound holds for all fronts together.
    A front that has none left may be lent some by others, which can't spend those.
    """

    def __init__(self, settings: FrontSettings) -> None:
        self._settings = settings
        self._floor = _MIN_FLOOR if settings.retry_floor is not None else _DEFAULT_FLOOR
        self._started_at: float | None = None
        """When the floor began to ramp up; None if it applies at once."""
        self._first_attempts = SlidingWindowCounter(settings.retry_window_seconds)
        self._retries = SlidingWindowCounter(settings.retry_window_seconds)
        self._loans: deque[tuple[float, float]] = deque()
        """Loans of other daemons: until when each holds, and the retries left of it."""
        self._spent_at = -math.inf
        """When this front last spent a retry of its own requests, in seconds."""

    def set_fleet_size(self, daemons: int) -> None:
        """Set the floor to this daemon's part of the fleet-wide floor.

        Args:
            daemons: Number of daemons in the fleet, this one included.
        """
        if self._settings.retry_floor is not None:
            part = self._settings.retry_floor / max(1, daemons)
            self._floor = max(_MIN_FLOOR, part)

    def ramp_up_floor(self, started_at: float) -> None:
        """Ramp up the floor linearly over the first window.

        A restarted daemon does not know what it spent before. If all daemons
        restarted at once, a full floor would be spent twice in one window.

        Args:
            started_at: When this daemon started, in seconds.
        """
        self._started_at = started_at

    def note_first_attempt(self, now: float) -> None:
        """Add a first attempt, which earns a share of a retry."""
        self._first_attempts.add(1.0, now)

    def can_spend(self, retries: float, now: float) -> bool:
        """Return whether a number of retries, possibly fractional, may be spent."""
        return retries <= self.available(now)

    def available(self, now: float) -> float:
        """Return the number of retries that may be spent, loans included."""
        return max(0.0, self._own_available(now)) + self._loaned(now)

    def lend(self, wanted: float, now: float) -> float:
        """Lend retries to another daemon.

        Args:
            wanted: How many it needs.
            now: Time of this process's clock, in seconds.

        Returns:
            How many it may spend within `_LOAN_SECONDS`; possibly 0.
        """
        has_spent = now - self._spent_at < self._settings.retry_window_seconds
        kept = _KEPT_RETRIES if has_spent else 0.0
        # First attempts that leave the window before the loan ends don't count, as it
        # may be spent in a window without them.
        expiring = self._first_attempts.total(now) - self._first_attempts.total_until(
            now + _LOAN_SECONDS
        )
        kept += self._settings.retry_share * max(0.0, expiring)
        lent = min(wanted, self._own_available(now) - kept)
        if lent <= 0:
            return 0.0
        # Counted from the latest time at which the other daemon may spend them, so
        # that no window holds both its retries and new ones in their place.
        self._retries.add(lent, now + _LOAN_SECONDS)
        return lent

    def add_loan(self, retries: float, asked_at: float) -> None:
        """Add retries that another daemon has lent.

        Args:
            retries: How many.
            asked_at: Time of this process's clock before it was asked, in seconds.
        """
        self._loans.append((asked_at + _LOAN_SECONDS, retries))

    def _own_available(self, now: float) -> float:
        earned = self._settings.retry_share * self._first_attempts.total(now)
        spent = self._retries.total(now, includes_partial_slot=True)
        return self._floor_at(now) + earned - spent

    def _loaned(self, now: float) -> float:
        while self._loans and self._loans[0][0] <= now:
            self._loans.popleft()
        return sum(left for _, left in self._loans)

    def _floor_at(self, now: float) -> float:
        if self._started_at is None or self._settings.retry_floor is None:
            return self._floor
        age = (now - self._started_at) / self._settings.retry_window_seconds
        return self._floor * min(1.0, max(0.0, age))

    def spend(self, retries: float, now: float) -> None:
        """Count retries as spent, those that were lent first."""
        self._spent_at = now
        self._loaned(now)
        while self._loans and retries > 0:
            expires_at, left = self._loans.popleft()
            used = min(left, retries)
            retries -= used
            if left > used:
                self._loans.appendleft((expires_at, left - used))
        if retries > 0:
            self._retries.add(retries, now)


class RetryBudgets:
    """Holds the retry budgets of all services at one daemon.

    A retried request makes its calls to other services again, and these are retries
    there. So a retry also spends from the budgets of the services called, by the
    mean calls per run that the daemons of the service's targets report.
    """

    def __init__(self, settings: FrontSettings, started_at: float = 0.0) -> None:
        self._settings = settings
        self._started_at = started_at
        self._daemons = 1
        self._budget_by_service: dict[str, RetryBudget] = {}
        self._runs = 0
        self._calls_by_service: dict[str, int] = {}
        self._calls_per_run_by_service: dict[str, dict[str, float]] = {}

    def set_fleet_size(self, daemons: int) -> None:
        """Set the floors to this daemon's part of the fleet-wide floors.

        Args:
            daemons: Number of daemons in the fleet, this one included.
        """
        if daemons == self._daemons:
            return
        self._daemons = daemons
        for budget in self._budget_by_service.values():
            budget.set_fleet_size(daemons)

    def note_first_attempt(self, service: str, now: float) -> None:
        """Add a first attempt at a service, which earns a share of a retry."""
        self._budget_for(service).note_first_attempt(now)

    def try_spend(self, service: str, may_have_run: bool, now: float) -> bool:
        """Spend one retry at a service; False if a budget does not allow it.

        Args:
            service: The service.
            may_have_run: Whether the request may have run and made its calls.
            now: Time of this process's clock, in seconds.
        """
        costs = [
            (self._budget_for(s), cost)
            for s, cost in self._costs(service, may_have_run).items()
        ]
        if not all(budget.can_spend(cost, now) for budget, cost in costs):
            return False
        for budget, cost in costs:
            budget.spend(cost, now)
        return True

    def missing(self, service: str, may_have_run: bool, now: float) -> dict[str, float]:
        """Return what is missing for one retry at a service, by service."""
        return {
            name: cost - self._budget_for(name).available(now)
            for name, cost in self._costs(service, may_have_run).items()
            if not self._budget_for(name).can_spend(cost, now)
        }

    def lend(self, service: str, wanted: float, now: float) -> float:
        """Lend retries at a service to another daemon; return how many."""
        return self._budget_for(service).lend(wanted, now)

    def add_loan(self, service: str, retries: float, asked_at: float) -> None:
        """Add retries at a service that another daemon has lent."""
        self._budget_for(service).add_loan(retries, asked_at)

    def _costs(self, service: str, may_have_run: bool) -> dict[str, float]:
        """Return what one retry at a service costs, by service."""
        cost_by_service = {service: 1.0}
        if may_have_run:
            calls_per_run = self._calls_per_run_by_service.get(service, {})
            for callee, per_run in calls_per_run.items():
                subtotal = cost_by_service.get(callee, 0.0)
                cost_by_service[callee] = subtotal + per_run
        return cost_by_service

    def note_run(self, is_idempotent: bool) -> None:
        """Count a run of a request at a target on this VM.

        Args:
            is_idempotent: Whether the request may run twice; other runs do not count.
                It is not known which runs make the calls. In the worst case, all
                calls are made by runs that may be retried.
        """
        self._runs += is_idempotent

    def note_call(self, service: str) -> None:
        """Count a request that a target on this VM may have sent during a run."""
        self._calls_by_service[service] = self._calls_by_service.get(service, 0) + 1

    def calls(self) -> tuple[CallsTold, ...]:
        """Return the mean calls per run on this VM, for other daemons."""
        if self._runs < _MIN_RUNS:
            return ()
        return tuple(
            CallsTold(service, min(_MAX_CALLS_PER_RUN, calls / self._runs))
            for service, calls in self._calls_by_service.items()
        )

    def learn_calls(self, service: str, calls: Iterable[CallsTold]) -> None:
        """Update the mean calls per run of a service from one daemon's report.

        Args:
            service: The service that makes the calls.
            calls: Mean calls per run to each service.
        """
        per_run_by_callee = self._calls_per_run_by_service.setdefault(service, {})
        for update in calls:
            before = per_run_by_callee.get(update.service, update.per_run)
            per_run_by_callee[update.service] = before + _SMOOTHING_WEIGHT * (
                update.per_run - before
            )

    def _budget_for(self, service: str) -> RetryBudget:
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._settings)
            budget.set_fleet_size(self._daemons)
            budget.ramp_up_floor(self._started_at)
            self._budget_by_service[service] = budget
        return budget


def may_retry(verdict: Verdict, is_idempotent: bool, is_body_spent: bool) -> bool:
    """Return whether a failed attempt may be retried at another target.

    Args:
        verdict: Whether the failed attempt may have run.
        is_idempotent: Whether the request may run twice.
        is_body_spent: Whether body bytes were sent that are no longer available.

    Returns:
        True if a second attempt can't make non-idempotent work run twice.
    """
    if is_body_spent:
        return False
    return is_idempotent or verdict is Verdict.NOT_RUN
