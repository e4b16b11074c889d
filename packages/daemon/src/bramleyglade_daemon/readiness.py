"""Whether callers should come to this daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers


class Readiness:
    """Judges whether this daemon can serve, from what it knows and reaches."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers

    @property
    def is_ready(self) -> bool:
        """Whether callers are better served here than elsewhere.

        A daemon without a configuration serves nobody. One that reaches neither
        peers nor the store can at most serve its own targets.
        """
        context = self._context
        if context.is_leaving or not context.configuration.state_by_key:
            return False
        return context.lease.is_valid or bool(self._peers.open_links())
