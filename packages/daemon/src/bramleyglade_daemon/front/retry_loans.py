"""Retries of this daemon, with loans from peers when its own budget is used up."""

from __future__ import annotations

import logging
import math
from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.peer_messages import RetriesAsked, RetriesLent
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from bramleyglade_adapters.link.link import Link
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_MAX_LENDERS = 3
"""Peers that are asked for one retry."""

_ANSWER_TIMEOUT_SECONDS = 0.05
"""Timeout of the answer, for which a caller waits."""

_REFUSED_SECONDS = 0.25
"""Time after which peers are asked again once none has lent, as in a brown-out."""

_LOG = logging.getLogger(__name__)


class RetryLoans:
    """Spends retries; asks peers for some of theirs if this daemon has none left.

    The budget is one for the whole fleet, and each daemon has an even part of its
    floor. Failures are not even: one front may need what the others leave unused.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._refused_until_by_service: dict[str, float] = {}

    async def try_spend(self, service: str, verdict: Verdict) -> bool:
        """Spend one retry at a service.

        Args:
            service: The service.
            verdict: Whether the failed attempt may have run.

        Returns:
            False if the budget does not allow it.
        """
        budgets = self._context.retry_budgets
        may_have_run = verdict is not Verdict.NOT_RUN
        if budgets.try_spend(service, may_have_run, self._context.clock()):
            return True
        now = self._context.clock()
        if now < self._refused_until_by_service.get(service, -math.inf):
            return False
        links = self._peers.neighbour_links()
        count = min(_MAX_LENDERS, len(links))
        for link in self._context.random.sample(links, count):
            await self._borrow(link, service, may_have_run)
            if budgets.try_spend(service, may_have_run, self._context.clock()):
                return True
        self._refused_until_by_service[service] = now + _REFUSED_SECONDS
        _LOG.info("RetryRefused", extra={"service": service, "lenders": count})
        return False

    async def _borrow(self, link: Link, service: str, may_have_run: bool) -> None:
        """Ask a peer to lend what one retry needs."""
        budgets = self._context.retry_budgets
        asked_at = self._context.clock()
        missing = budgets.missing(service, may_have_run, asked_at)
        for name, retries in missing.items():
            try:
                answer = await link.call(
                    RetriesAsked(name, retries), _ANSWER_TIMEOUT_SECONDS
                )
                budgets.add_loan(name, expect(answer, RetriesLent).retries, asked_at)
            except FleetError as error:
                extra = {"peer": link.peer_name, "why": error.detail}
                _LOG.info("LoanUnanswered", extra=extra)
                return
