"""Ports from the front to each guard, local or over a link."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramleyglade_core.decisions.link_choice import LinkState
from bramleyglade_core.model.errors import AttemptError, ErrorCode
from bramleyglade_core.model.peer_messages import OutcomeAsked
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.streams import FrontStream, LinkSender

if TYPE_CHECKING:
    from typing import Any

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.model.exchange import AttemptOffered
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.ports.streams import AttemptPort
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers
    from bramleyglade_daemon.guard.guard import LocalGuardPort


class RemoteGuardPort:
    """Offers attempts to the guard of a peer, in one of its incarnations."""

    def __init__(self, peers: Peers, daemon: DaemonId, window_bytes: int) -> None:
        self._peers = peers
        self._daemon = daemon
        self._window = window_bytes

    async def offer(self, offered: AttemptOffered) -> FrontStream:
        """Offer an attempt.

        Raises:
            LinkLost: With the verdict `not-run`, as nothing was sent.
        """
        link = await self._peers.ensure_link(self._daemon.name)
        return await self._open(link, offered)

    async def ask_outcome(self, offered: AttemptOffered) -> FrontStream:
        """Ask for the outcome of an attempt.

        Raises:
            LinkLost: If the guard can't be reached.
            AttemptError: With the verdict `may-have-run` if the guard has restarted.
        """
        link = await self._peers.ensure_link(self._daemon.name)
        if link.peer is None or link.peer.daemon != self._daemon:
            raise AttemptError(
                ErrorCode.PEER_LOST,
                "the guard has restarted and has no record of the attempt",
                Verdict.MAY_HAVE_RUN,
            )
        return await self._open(link, OutcomeAsked(offered))

    async def _open(self, link: Link, message: Any) -> FrontStream:
        stream = FrontStream(_UnboundSender(), self._window)
        number = link.open_stream(stream)
        stream.bind(LinkSender(link, number, is_answer=False))
        await link.post(number, False, message)
        return stream


class _UnboundSender:
    """Placeholder until the stream has its number."""

    async def post(self, message: Any) -> None:
        """Drop the message; none is posted before the stream is bound."""

    def close(self) -> None:
        """Do nothing."""


class GuardPorts:
    """Finds the port of a guard by its daemon's name."""

    def __init__(self, context: Context, peers: Peers, local: LocalGuardPort) -> None:
        self._context = context
        self._peers = peers
        self._local = local

    def refresh_local_views(self) -> None:
        """Update this front's view of the load of the targets on its VM."""
        self._local.refresh_views()

    @property
    def is_executing(self) -> bool:
        """Whether a target on this VM executes a request."""
        return self._local.is_executing

    def link_state(self, name: str) -> LinkState:
        """Return the state of the link to a guard; the one in this process is ready."""
        if name == self._context.settings.name:
            return LinkState.READY
        return self._peers.link_state(name)

    def find(self, name: str) -> AttemptPort:
        """Return the port of a guard, by its current record in the directory."""
        if name == self._context.settings.name:
            return self._local
        record = self._context.directory.record_by_name[name]
        window = self._context.settings.peers.window_bytes
        return RemoteGuardPort(self._peers, record.daemon, window)
