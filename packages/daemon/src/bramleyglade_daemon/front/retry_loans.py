"""Retries of this daemon, with loans from peers when its own budget is used up."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.retry_lenders import RetryLenders
from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.peer_messages import RetriesAsked, RetriesLent
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from bramleyglade_adapters.link.link import Link
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_ANSWER_TIMEOUT_SECONDS = 0.05
"""Timeout of one answer, for which a caller waits."""

_MAX_WAIT_SECONDS = 0.15
"""Longest wait of a caller for all answers."""

_LOG = logging.getLogger(__name__)


class RetryLoans:
    """Spends retries; asks peers for some of theirs if this daemon has none left.

    The budget is one for the whole fleet, and each daemon has an even part of its
    floor. Failures are not even: one front may need what the others leave unused.
    """

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._lenders = RetryLenders(context.random)

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
        asked_at = self._context.clock()
        link_by_name = self._lending_links()
        chosen = self._lenders.choose(service, list(link_by_name), asked_at)
        last_at = asked_at + _MAX_WAIT_SECONDS
        asked = 0
        for name in chosen:
            if self._context.clock() >= last_at:
                break
            asked += 1
            link = link_by_name[name]
            if not await self._borrow(link, service, may_have_run, last_at):
                self._lenders.note_empty(service, name, self._context.clock())
            if budgets.try_spend(service, may_have_run, self._context.clock()):
                self._lenders.note_granted(service)
                return True
        if asked:
            self._lenders.note_refused(service, self._context.clock())
            extra = {"service": service, "lenders": asked, "peers": len(link_by_name)}
            _LOG.info("RetryRefused", extra=extra)
        return False

    def _lending_links(self) -> dict[str, Link]:
        """Return the links to peers that may lend, those of the own region if any."""
        links = self._peers.open_links()
        near = [link for link in links if not self._peers.is_far(link)]
        return {link.peer_name: link for link in near or links}

    async def _borrow(
        self, link: Link, service: str, may_have_run: bool, last_at: float
    ) -> bool:
        """Ask a peer to lend what one retry needs; return whether it has lent that.

        Args:
            link: Link to the peer.
            service: The service.
            may_have_run: Whether the failed attempt may have run.
            last_at: Time of this process's clock until which an answer counts.
        """
        budgets = self._context.retry_budgets
        asked_at = self._context.clock()
        missing = budgets.missing(service, may_have_run, asked_at)
        for name, retries in missing.items():
            left_seconds = max(0.0, last_at - self._context.clock())
            timeout = min(_ANSWER_TIMEOUT_SECONDS, left_seconds)
            try:
                answer = await link.call(RetriesAsked(name, retries), timeout)
                lent = expect(answer, RetriesLent).retries
                budgets.add_loan(name, lent, asked_at)
            except FleetError as error:
                extra = {"peer": link.peer_name, "why": error.detail}
                _LOG.info("LoanUnanswered", extra=extra)
                return False
            if lent < retries:
                return False
        return True
