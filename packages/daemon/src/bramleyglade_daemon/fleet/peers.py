"""Links to peers: one task for each, which dials, greets and listens."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

import curio

from bramleyglade_adapters.http.wire import connect, prepare_socket
from bramleyglade_adapters.link.link import Link, LinkLost
from bramleyglade_core.model.errors import BadInput, ErrorCode, FleetError
from bramleyglade_core.model.peer_messages import PROTOCOL_VERSION, HelloSaid

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from curio.io import Socket

    from bramleyglade_adapters.link.link import LinkHandler
    from bramleyglade_core.model.identifiers import Address
    from bramleyglade_daemon.fleet.context import Context

_DIAL_SECONDS = 0.5
_FIRST_PAUSE_SECONDS = 0.1
_LONGEST_PAUSE_SECONDS = 2.0
_FAIL_FAST_SECONDS = 2.0
"""Time after a failed dial in which nobody waits for another one."""

_IDLE_SECONDS = 30.0
"""Time without use after which a link that is not kept anyway is closed."""

_WANTED_SECONDS = 2.0
"""Time between two looks whether an open link is still wanted."""

_MOST_TOLD = 64
"""Peers that are told of a target's view at once; the others hear of it with heartbeats
or answers. A message costs some 50 us to write, so this bounds it at some 3 ms."""

_LOG = logging.getLogger(__name__)


class Peers:
    """The open links of this daemon, by the peer's name."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.connect = connect
        """Opens connections to peers."""
        self.handler: LinkHandler | None = None
        """Takes the peers' messages; set before the first link."""
        self.on_greeted: Callable[[Link, HelloSaid], Awaitable[None]] | None = None
        """Called when a link has been opened, from either side."""
        self.neighbours: frozenset[str] = frozenset()
        """Peers that this daemon keeps links to, whatever its requests need."""
        self.link_by_name: dict[str, Link] = {}
        self.links: set[Link] = set()
        """All links, also those beside the one in use for a peer."""
        self._heard_at_by_name: dict[str, float] = {}
        self._missed_since_by_name: dict[str, float] = {}
        self._used_at_by_name: dict[str, float] = {}
        self._task_by_name: dict[str, curio.Task] = {}
        self._failed_at_by_name: dict[str, float] = {}
        self._dialled_by_name: dict[str, curio.Event] = {}

    def open_links(self) -> list[Link]:
        """Return all links that messages can be posted on."""
        return [link for link in self.link_by_name.values() if link.is_open]

    def link_to(self, name: str) -> Link | None:
        """Return the open link to a peer, or None."""
        link = self.link_by_name.get(name)
        return link if link is not None and link.is_open else None

    def note_heard(self, name: str) -> None:
        """Note a sign of life of a peer."""
        self._heard_at_by_name[name] = self._context.clock()
        self._context.directory.clear_suspicion(name)

    def silence(self, name: str) -> float:
        """Return the seconds since a peer's last sign of life."""
        return self._context.clock() - self._heard_at_by_name.get(name, float("-inf"))

    def missing_seconds(self, name: str) -> float:
        """Return for how long a peer has been looked for in vain.

        A peer that has never been heard counts from the first question, or a daemon
        that starts would take all others for dead.
        """
        now = self._context.clock()
        asked_at = self._missed_since_by_name.setdefault(name, now)
        return now - max(asked_at, self._heard_at_by_name.get(name, asked_at))

    async def reach(self, name: str) -> Link:
        """Return the link to a peer, opening one if need be.

        Args:
            name: The peer's name.

        Returns:
            An open link.

        Raises:
            LinkLost: If the peer can't be reached now.
        """
        self._used_at_by_name[name] = self._context.clock()
        link = self.link_to(name)
        if link is not None:
            return link
        failed_at = self._failed_at_by_name.get(name, float("-inf"))
        if self._context.clock() - failed_at < _FAIL_FAST_SECONDS:
            raise LinkLost(ErrorCode.PEER_LOST, f"{name} could not be reached just now")
        dialled = self._dialled_by_name.setdefault(name, curio.Event())
        await self.keep(name)
        await curio.ignore_after(_DIAL_SECONDS, dialled.wait)
        link = self.link_to(name)
        if link is None:
            raise LinkLost(ErrorCode.PEER_LOST, f"{name} can't be reached")
        return link

    async def call(self, name: str, message: Any, timeout_seconds: float) -> Any:
        """Ask a peer and wait for its answer.

        Raises:
            LinkLost: If the peer can't be reached or does not answer in time.
        """
        link = await self.reach(name)
        return await link.call(message, timeout_seconds)

    async def tell_all(self, message: Any, beside: str = "") -> None:
        """Send a message to all neighbours but one, who pass on what is news."""
        for link in self.open_links():
            assert link.peer is not None
            if link.peer.daemon.name != beside and self.is_neighbour(link):
                await link.tell(message)

    async def tell_linked(self, message: Any) -> None:
        """Send a message to all peers with an open link, or to some if they are many.

        Peers that send requests here, or may get some from here, have a link.
        """
        links = self.open_links()
        if len(links) > _MOST_TOLD:
            links = self._context.random.sample(links, _MOST_TOLD)
        for link in links:
            await link.tell(message)

    def is_neighbour(self, link: Link) -> bool:
        """Tell whether a link is one that this daemon keeps for its own sake."""
        return link.peer is not None and link.peer.daemon.name in self.neighbours

    async def keep(self, name: str) -> None:
        """Have a task keep a link to a peer, if none does yet."""
        task = self._task_by_name.get(name)
        if name != self._context.settings.name and (task is None or task.terminated):
            self._used_at_by_name[name] = self._context.clock()
            task = await curio.spawn(self._keep_link, name, daemon=True)
            self._task_by_name[name] = task

    async def accept(self, sock: Socket, address: Any) -> None:
        """Serve a link that a peer has opened."""
        prepare_socket(sock)
        await self._run_link(sock)

    async def greet_seed(self, address: Address) -> bool:
        """Open a link to an address from the settings, to learn from it.

        Args:
            address: The peer's address; its name is not known yet.

        Returns:
            Whether the peer answered.
        """
        if address == self._context.settings.peer_address:
            return False
        for link in self.open_links():
            if link.peer is not None and link.peer.record.address == address:
                return True
        try:
            sock = await self.connect(address, _DIAL_SECONDS)
        except (OSError, curio.TaskTimeout):
            return False
        await curio.spawn(self._run_link, sock, daemon=True)
        return True

    async def close(self) -> None:
        """Close all links and end their tasks."""
        for task in self._task_by_name.values():
            await task.cancel(blocking=False)
        for link in list(self.links):
            await link.close()

    def set_neighbours(self, names: list[str]) -> None:
        """Choose the peers to keep links to."""
        self.neighbours = frozenset(names)

    async def _keep_link(self, name: str) -> None:
        pause = _FIRST_PAUSE_SECONDS
        if name < self._context.settings.name and name not in self._dialled_by_name:
            # The peer with the lower name dials first, so that one link is enough.
            await curio.sleep(self._context.settings.peers.heartbeat_seconds)
        while self._is_wanted(name):
            open_link = self.link_to(name)
            if open_link is not None:
                await open_link.wait_closed(_WANTED_SECONDS)
                continue
            is_reached = await self._dial(name)
            pause = _FIRST_PAUSE_SECONDS if is_reached else 2 * pause
            jitter = self._context.random.uniform(0.5, 1.0)
            await curio.sleep(jitter * min(pause, _LONGEST_PAUSE_SECONDS))
        link = self.link_to(name)
        if link is not None and not link.stream_count:
            await link.close()

    def _is_wanted(self, name: str) -> bool:
        if name not in self._context.directory.member_names():
            return False
        idle = self._context.clock() - self._used_at_by_name.get(name, 0.0)
        return name in self.neighbours or idle < _IDLE_SECONDS

    async def _dial(self, name: str) -> bool:
        record = self._context.directory.record_by_name.get(name)
        if record is None:
            return False
        try:
            sock = await self.connect(record.address, _DIAL_SECONDS)
        except (OSError, curio.TaskTimeout) as error:
            self._failed_at_by_name[name] = self._context.clock()
            _LOG.debug("PeerUnreachable", extra={"peer": name, "why": str(error)})
            return False
        await curio.spawn(self._run_link, sock, daemon=True)
        dialled = self._dialled_by_name.setdefault(name, curio.Event())
        await curio.ignore_after(_DIAL_SECONDS, dialled.wait)
        return self.link_to(name) is not None

    async def _run_link(self, sock: Socket) -> None:
        assert self.handler is not None
        link = Link(sock, self.handler)
        self.links.add(link)
        try:
            hello = HelloSaid(
                PROTOCOL_VERSION, self._context.daemon, self._context.record
            )
            said = await link.handshake(hello)
        except (OSError, FleetError) as error:
            _LOG.info("GreetingFailed", extra={"why": str(error)})
            self.links.discard(link)
            await sock.close()
            return
        name = said.daemon.name
        await self._install(name, link)
        try:
            if self.on_greeted is not None:
                await self.on_greeted(link, said)
            await link.run()
        finally:
            self.links.discard(link)
            if self.link_by_name.get(name) is link:
                del self.link_by_name[name]

    async def _install(self, name: str, link: Link) -> None:
        # Two links may meet when both sides dial; the older one stays open for
        # the streams on it.
        self.link_by_name[name] = link
        self._failed_at_by_name.pop(name, None)
        self.note_heard(name)
        dialled = self._dialled_by_name.pop(name, None)
        if dialled is not None:
            await dialled.set()


def expect(answer: Any, kind: type) -> Any:
    """Check the type of an answer.

    Raises:
        BadInput: If the peer answered with something else.
    """
    if not isinstance(answer, kind):
        name = type(answer).__name__
        raise BadInput(ErrorCode.BAD_PEER_MESSAGE, f"{name} instead of {kind.__name__}")
    return answer
