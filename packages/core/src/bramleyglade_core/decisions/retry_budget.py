"""The share of traffic that retries may add."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import FrontSettings

_FULL_BUDGET = 20.0
"""Retries that a quiet front has in hand where the fleet has no common floor."""


_RERUN_COST = 1.4
"""Repeats that one more run stands for, with the calls that it makes; on the users'
days a search makes 1.4 calls on average, at another service."""


class RetryBudget:
    """Retries earned by first attempts, so that a brown-out is not multiplied."""

    def __init__(self, settings: FrontSettings) -> None:
        self._settings = settings
        self._full = _FULL_BUDGET
        self._retries = _FULL_BUDGET
        if settings.retry_floor is not None:
            self._full = self._retries = _RERUN_COST

    def share_floor(self, daemons: int) -> None:
        """Take this daemon's part of the floor that all daemons have together.

        Args:
            daemons: Daemons in the fleet, this one included.
        """
        if self._settings.retry_floor is not None:
            part = self._settings.retry_floor / max(1, daemons)
            # Less than one retry in hand would never be spent.
            self._full = max(_RERUN_COST, part)

    def note_first_attempt(self) -> None:
        """Earn a part of a retry."""
        self._retries = min(self._full, self._retries + self._settings.retry_share)

    def try_spend(self, verdict: Verdict = Verdict.NOT_RUN) -> bool:
        """Spend one retry; False if there is none.

        Args:
            verdict: What is known of the attempt that failed. One that ran may
                have made calls of its own, which the next one makes again.
        """
        cost = 1.0 if verdict is Verdict.NOT_RUN else _RERUN_COST
        if self._retries < cost:
            return False
        self._retries -= cost
        return True


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
