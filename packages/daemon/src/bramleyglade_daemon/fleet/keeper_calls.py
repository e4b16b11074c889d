"""Calls to keepers on other daemons: straight, or through a neighbour."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.peer_messages import Acknowledged
from bramleyglade_core.model.shares import BookHandedOver, ShareAsked, ShareGranted
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from bramleyglade_adapters.link.link import Link
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

ANSWER_SECONDS = 0.5
"""Longest wait for a keeper's answer; peers answer in milliseconds."""

_RELAYED_SECONDS = 3.0
"""Time after a failed ask in which a keeper is asked through neighbours."""

_RELAY_SECONDS = 0.3
"""Longest wait where a neighbour asks on."""

_MOST_RELAYS = 3
"""Neighbours that a book is sent through; a repeated book changes nothing."""

_LOG = logging.getLogger(__name__)


class KeeperCalls:
    """The ways from this daemon to the keepers of shards."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._relayed_until_by_keeper: dict[str, float] = {}
        """Until when a keeper is asked through neighbours only."""

    async def ask_share(self, asked: ShareAsked, keeper: str) -> ShareGranted | None:
        """Ask a keeper for shares, through a neighbour if need be.

        Args:
            asked: The holder's statement and needs.
            keeper: Name of the keeper's daemon.

        Returns:
            The keeper's answer, or None if there is none to be had.
        """
        now = self._context.clock()
        if now >= self._relayed_until_by_keeper.get(keeper, 0.0):
            try:
                answer = await self._peers.call(keeper, asked, ANSWER_SECONDS)
                return expect(answer, ShareGranted)
            except FleetError as error:
                _log_unreachable(keeper, error)
                self._relayed_until_by_keeper[keeper] = now + _RELAYED_SECONDS
        for link in self._relays(keeper)[:1]:
            try:
                return expect(await link.call(asked, _RELAY_SECONDS), ShareGranted)
            except FleetError as error:
                _log_relay_failed(keeper, link, error)
        return None

    async def ask_share_for(
        self, asked: ShareAsked, keeper: str
    ) -> ShareGranted | None:
        """Pass on the ask of a daemon that does not reach the keeper."""
        try:
            answer = await self._peers.call(keeper, asked, _RELAY_SECONDS)
            return expect(answer, ShareGranted)
        except FleetError as error:
            _log_unreachable(keeper, error)
            return None

    async def send_book(self, book: BookHandedOver) -> bool:
        """Send a book straight to its shard's keeper; False if it did not answer."""
        keeper = book.successor
        try:
            expect(await self._peers.call(keeper, book, ANSWER_SECONDS), Acknowledged)
        except FleetError as error:
            _log_unreachable(keeper, error)
            return False
        return True

    async def send_book_somehow(self, book: BookHandedOver) -> None:
        """Send a book to its shard's keeper, through neighbours if need be."""
        if await self.send_book(book):
            return
        for link in self._relays(book.successor)[:_MOST_RELAYS]:
            try:
                expect(await link.call(book, _RELAY_SECONDS), Acknowledged)
            except FleetError as error:
                _log_relay_failed(book.successor, link, error)

    def _relays(self, keeper: str) -> list[Link]:
        """Return the links to neighbours that may reach a keeper, in any order."""
        links = [
            link
            for link in self._peers.open_links()
            if self._peers.is_neighbour(link) and link.peer_name != keeper
        ]
        return self._context.random.sample(links, len(links))


def _log_unreachable(keeper: str, error: FleetError) -> None:
    _LOG.info("KeeperUnreachable", extra={"keeper": keeper, "why": str(error)})


def _log_relay_failed(keeper: str, link: Link, error: FleetError) -> None:
    extra = {"keeper": keeper, "relay": link.peer_name, "why": str(error)}
    _LOG.info("RelayFailed", extra=extra)
