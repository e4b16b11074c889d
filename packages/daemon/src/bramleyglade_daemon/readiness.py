"""Readiness of this daemon for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers


class Readiness:
    """Checks whether this daemon has a configuration and a lease or a peer."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers

    @property
    def is_ready(self) -> bool:
        """Whether callers should use this daemon.

        A daemon without a configuration can't serve any request. One that reaches
        neither peers nor the store can serve only its own targets.
        """
        context = self._context
        if context.is_leaving or not context.configuration.is_known:
            return False
        return context.lease.is_valid or bool(self._peers.open_links())
