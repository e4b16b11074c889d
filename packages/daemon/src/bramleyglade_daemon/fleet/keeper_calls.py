"""Calls to keepers on other daemons, directly or relayed by a neighbour."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.peer_messages import Acknowledged
from bramleyglade_core.model.shares import BookHandedOver, ShareAsked, ShareGranted
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

ANSWER_TIMEOUT_SECONDS = 0.5
"""Timeout of a call to a keeper; peers usually answer within milliseconds."""

_RELAY_ONLY_SECONDS = 3.0
"""Time after a failed direct call in which a keeper is called through neighbours."""

_RELAY_TIMEOUT_SECONDS = 0.3
"""Timeout of a relayed call, and of the relay's own call to the keeper."""

_MAX_RELAYS = 3
"""Neighbours that relay one handover; a repeated handover has no effect."""

_LOG = logging.getLogger(__name__)


class KeeperCalls:
    """Calls from this daemon to the keepers of shards."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._relayed_until_by_keeper: dict[str, float] = {}
        """Time up to which a keeper is called through neighbours only."""
        self.on_unanswered: Callable[[str], Awaitable[None]] | None = None
        """Called with the name of a keeper that did not answer a direct call."""

    async def request_share(
        self, request: ShareAsked, keeper: str
    ) -> ShareGranted | None:
        """Request shares from a keeper, through a neighbour if a direct call fails.

        Args:
            request: The shares that the holder has and needs.
            keeper: Name of the keeper's daemon.

        Returns:
            The keeper's answer, or None if neither the keeper nor the relay answered.
        """
        now = self._context.clock()
        if now >= self._relayed_until_by_keeper.get(keeper, 0.0):
            try:
                answer = await self._peers.call(keeper, request, ANSWER_TIMEOUT_SECONDS)
                return expect(answer, ShareGranted)
            except FleetError as error:
                await self._note_unreachable(keeper, error)
                self._relayed_until_by_keeper[keeper] = now + _RELAY_ONLY_SECONDS
        for link in self._relay_links(keeper)[:1]:
            try:
                return expect(
                    await link.call(request, _RELAY_TIMEOUT_SECONDS), ShareGranted
                )
            except FleetError as error:
                _log_relay_failed(keeper, link, error)
        return None

    async def forward_share_request(
        self, request: ShareAsked, keeper: str
    ) -> ShareGranted | None:
        """Forward the request of a daemon that can't reach the keeper."""
        try:
            answer = await self._peers.call(keeper, request, _RELAY_TIMEOUT_SECONDS)
            return expect(answer, ShareGranted)
        except FleetError as error:
            await self._note_unreachable(keeper, error)
            return None

    async def send_handover(self, handover: BookHandedOver) -> bool:
        """Send a handover directly to its successor; False if it did not answer."""
        keeper = handover.successor
        try:
            expect(
                await self._peers.call(keeper, handover, ANSWER_TIMEOUT_SECONDS),
                Acknowledged,
            )
        except FleetError as error:
            await self._note_unreachable(keeper, error)
            return False
        return True

    async def send_handover_with_fallback(self, handover: BookHandedOver) -> None:
        """Send a handover to its successor, through neighbours if that fails."""
        if await self.send_handover(handover):
            return
        for link in self._relay_links(handover.successor)[:_MAX_RELAYS]:
            try:
                expect(await link.call(handover, _RELAY_TIMEOUT_SECONDS), Acknowledged)
            except FleetError as error:
                _log_relay_failed(handover.successor, link, error)

    async def _note_unreachable(self, keeper: str, error: FleetError) -> None:
        _LOG.info("KeeperUnreachable", extra={"keeper": keeper, "why": str(error)})
        if self.on_unanswered is not None:
            await self.on_unanswered(keeper)

    def _relay_links(self, keeper: str) -> list[Link]:
        """Return the links to possible relays for a keeper, in random order."""
        links = [
            link
            for link in self._peers.open_links()
            if self._peers.is_neighbour(link) and link.peer_name != keeper
        ]
        return self._context.random.sample(links, len(links))


def _log_relay_failed(keeper: str, link: Link, error: FleetError) -> None:
    extra = {"keeper": keeper, "relay": link.peer_name, "why": str(error)}
    _LOG.info("RelayFailed", extra=extra)
