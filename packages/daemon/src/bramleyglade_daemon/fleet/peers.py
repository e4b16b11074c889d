"""Links to peers: one task for each peer dials, one for each link reads."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio

from bramleyglade_adapters.error_text import error_text
from bramleyglade_adapters.http.wire import connect, disable_nagle
from bramleyglade_adapters.link.link import Link, LinkLost, encode_one_way
from bramleyglade_core.decisions.link_choice import LinkState
from bramleyglade_core.decisions.regions import Distance
from bramleyglade_core.model.errors import BadInput, ErrorCode, FleetError
from bramleyglade_core.model.peer_messages import (
    CHANGES_PROTOCOL_VERSION,
    PROTOCOL_VERSION,
    HelloSaid,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from curio.io import Socket

    from bramleyglade_adapters.link.link import LinkHandler
    from bramleyglade_core.model.identifiers import Address
    from bramleyglade_daemon.fleet.context import Context

_DIAL_TIMEOUT_SECONDS = 0.5
_MIN_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 2.0
_FAIL_FAST_SECONDS = 2.0
"""Time after a failed dial in which calls fail without waiting for another dial."""

_IDLE_TIMEOUT_SECONDS = 30.0
"""Time without use after which a link is closed, unless it is to a neighbour."""

_FAR_IDLE_TIMEOUT_SECONDS = 5.0
"""The same for a link to another region."""

_RECENT_SENDER_SECONDS = 10.0
"""Time after an offer in which its sender gets target views with heartbeats."""

_RECENT_FAR_SENDER_SECONDS = 2.0
"""The same for a sender in another region."""

_IDLE_CHECK_SECONDS = 2.0
"""Time between two checks whether an open link is still needed."""

_SILENT_HEARTBEATS = 2
"""Periods of the heartbeat after which a link without any message since an unanswered
heartbeat counts as silent; other links get new requests from then on."""

_MAX_RECIPIENTS = 64
"""Most peers sent a target's view at once; others get it with heartbeats or answers."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _UnansweredHeartbeat:
    sent_at: float
    received_count: int
    """Messages that the link had received when the heartbeat was sent."""


class Peers:
    """The links of this daemon to its peers, by the peer's name."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.connect = connect
        """Opens connections to peers."""
        self.handler: LinkHandler | None = None
        """Handles messages from peers; must be set before the first link opens."""
        self.on_link_opened: Callable[[Link, HelloSaid], Awaitable[None]] | None = None
        """Called when a link has been opened by either side."""
        self.neighbours: frozenset[str] = frozenset()
        """Peers that this daemon always keeps a link to."""
        self.link_by_name: dict[str, Link] = {}
        self.links: set[Link] = set()
        """All links, including a second one to the same peer."""
        self._accepted_links: set[Link] = set()
        """Links that were opened by the peer."""
        self._last_seen_by_name: dict[str, float] = {}
        self._first_checked_by_name: dict[str, float] = {}
        self._used_at_by_name: dict[str, float] = {}
        self._task_by_name: dict[str, curio.Task] = {}
        self._failed_at_by_name: dict[str, float] = {}
        self._link_opened_by_name: dict[str, curio.Event] = {}
        self._heartbeat_by_link: dict[Link, _UnansweredHeartbeat] = {}
        self._offered_at_by_name: dict[str, float] = {}

    def open_links(self) -> list[Link]:
        """Return the open link of each linked peer."""
        return [link for link in self.link_by_name.values() if link.is_open]

    def neighbour_links(self) -> list[Link]:
        """Return the open links to neighbours."""
        return [link for link in self.open_links() if self.is_neighbour(link)]

    def link_to(self, name: str) -> Link | None:
        """Return the open link to a peer, or None."""
        link = self.link_by_name.get(name)
        return link if link is not None and link.is_open else None

    def link_state(self, name: str) -> LinkState:
        """Return the state of the link to a peer, for new requests."""
        link = self.link_to(name)
        if link is not None:
            return LinkState.FAILED if self._is_silent(link) else LinkState.READY
        # The task that dials ends when the link is no longer wanted; the next dial
        # after that may succeed.
        task = self._task_by_name.get(name)
        is_dialling = task is not None and not task.terminated
        if name in self._failed_at_by_name and is_dialling:
            return LinkState.FAILED
        if self._is_region_unreachable(name):
            return LinkState.FAILED
        return LinkState.MISSING

    def _is_region_unreachable(self, name: str) -> bool:
        """Return whether a peer is in another region that nobody hears from."""
        record = self._context.directory.record_by_name.get(name)
        if record is None or not self._is_zone_far(record.zone):
            return False
        region = self._context.region_of(record.zone)
        contact = self._context.region_contact
        return region is not None and contact.is_unreachable(
            region, self._context.clock()
        )

    def note_region_heard(self, link: Link) -> None:
        """Record that a peer has just answered, for all daemons of its region."""
        if link.peer is None or not self.is_far(link):
            return
        region = self._context.region_of(link.peer.record.zone)
        if region is not None:
            self._context.region_contact.note_heard(region, self._context.clock())

    def note_heartbeat(self, link: Link) -> None:
        """Record that a heartbeat is sent on a link."""
        self._heartbeat_by_link[link] = _UnansweredHeartbeat(
            self._context.clock(), link.received_count
        )

    def note_heartbeat_answered(self, link: Link) -> None:
        """Record that the last heartbeat on a link was answered."""
        self._heartbeat_by_link.pop(link, None)

    def _is_silent(self, link: Link) -> bool:
        heartbeat = self._heartbeat_by_link.get(link)
        if heartbeat is None or link.received_count != heartbeat.received_count:
            return False
        period = self._context.settings.peers.heartbeat_seconds
        waited_seconds = self._context.clock() - heartbeat.sent_at
        return waited_seconds > _SILENT_HEARTBEATS * period

    def mark_seen(self, name: str) -> None:
        """Record that a peer has just been in contact, and clear any suspicion."""
        self._last_seen_by_name[name] = self._context.clock()
        self._context.directory.clear_suspicion(name)

    def seconds_since_seen(self, name: str) -> float:
        """Return the seconds since the last contact with a peer."""
        return self._context.clock() - self._last_seen_by_name.get(name, float("-inf"))

    def unresponsive_seconds(self, name: str) -> float:
        """Return how long a peer has been unresponsive, in seconds.

        For a peer never seen, this counts from the first check; otherwise a starting
        daemon would suspect all others.
        """
        now = self._context.clock()
        first_checked_at = self._first_checked_by_name.setdefault(name, now)
        return now - max(
            first_checked_at, self._last_seen_by_name.get(name, first_checked_at)
        )

    async def ensure_link(self, name: str) -> Link:
        """Return the link to a peer, opening one if needed.

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
            raise LinkLost(
                ErrorCode.PEER_LOST, f"{name} can't be reached: recent dial failed"
            )
        link_opened = self._link_opened_by_name.setdefault(name, curio.Event())
        await self.maintain_link(name)
        await curio.ignore_after(_DIAL_TIMEOUT_SECONDS, link_opened.wait)
        link = self.link_to(name)
        if link is None:
            raise LinkLost(ErrorCode.PEER_LOST, f"{name} can't be reached")
        return link

    async def call(self, name: str, message: Any, timeout_seconds: float) -> Any:
        """Send a request to a peer and wait for its answer.

        Raises:
            LinkLost: If the peer can't be reached or does not answer in time.
        """
        link = await self.ensure_link(name)
        return await link.call(message, timeout_seconds)

    async def send_to_neighbours(
        self,
        message: Any,
        exclude: str = "",
        is_pulled: bool = False,
        older_message: Any = None,
    ) -> None:
        """Send a message to all neighbours but one; they forward what is new.

        Args:
            message: The message.
            exclude: Name of the peer that it came from; empty if there is none.
            is_pulled: Whether peers ask for the content once a heartbeat shows that
                they lack it. It is not sent to other regions then, where several
                relays would each get a copy of what their region may have already.
            older_message: The message for daemons that don't take whole tickets as
                changes; None if they get the same.
        """
        data = encode_one_way(message)
        for link in self.neighbour_links():
            is_skipped = is_pulled and self.is_far(link)
            if link.peer_name == exclude or is_skipped:
                continue
            if older_message is not None and not takes_changes(link):
                await link.send_one_way(older_message)
            else:
                await link.send_encoded(data, type(message).__name__)

    async def send_to_current_neighbours(self, message: Any, exclude: str = "") -> None:
        """Send a message that earlier versions can't decode to the other neighbours."""
        data = encode_one_way(message)
        for link in self.neighbour_links():
            if link.peer_name != exclude and takes_changes(link):
                await link.send_encoded(data, type(message).__name__)

    def has_older_neighbours(self) -> bool:
        """Return whether a neighbour doesn't take whole tickets as changes."""
        return not all(takes_changes(link) for link in self.neighbour_links())

    async def send_to_linked_peers(self, message: Any) -> None:
        """Send a message to linked peers, or to a random sample if there are many.

        Peers in other zones get it only if they are neighbours or have sent requests
        here. Most of their links are opened in advance and never used.
        """
        links = [link for link in self.open_links() if self._gets_views(link)]
        if len(links) > _MAX_RECIPIENTS:
            links = self._context.random.sample(links, _MAX_RECIPIENTS)
        data = encode_one_way(message)
        for link in links:
            await link.send_encoded(data, type(message).__name__)

    def _gets_views(self, link: Link) -> bool:
        assert link.peer is not None
        distance = self._context.distance_to(link.peer.record.zone)
        if distance is Distance.OTHER_REGION:
            return self.is_recent_sender(link)
        if distance is Distance.SAME_ZONE or self.is_neighbour(link):
            return True
        return self._seconds_since_offer(link) < _IDLE_TIMEOUT_SECONDS

    def note_offer(self, link: Link) -> None:
        """Record that a peer has offered an attempt."""
        self._offered_at_by_name[link.peer_name] = self._context.clock()

    def is_recent_sender(self, link: Link) -> bool:
        """Return whether a peer has offered an attempt recently and may again."""
        bound = _RECENT_SENDER_SECONDS
        if self.is_far(link):
            bound = _RECENT_FAR_SENDER_SECONDS
        return self._seconds_since_offer(link) < bound

    def _seconds_since_offer(self, link: Link) -> float:
        offered_at = self._offered_at_by_name.get(link.peer_name, float("-inf"))
        return self._context.clock() - offered_at

    def is_far(self, link: Link) -> bool:
        """Return whether a link leads to another region."""
        return link.peer is not None and self._is_zone_far(link.peer.record.zone)

    def _is_zone_far(self, zone: str) -> bool:
        return self._context.distance_to(zone) is Distance.OTHER_REGION

    def is_neighbour(self, link: Link) -> bool:
        """Return whether a link leads to a neighbour."""
        return link.peer is not None and link.peer.daemon.name in self.neighbours

    async def keep_link(self, name: str) -> None:
        """Keep a link to a peer open as if it were used now; does not wait for it."""
        self._used_at_by_name[name] = self._context.clock()
        await self.maintain_link(name)

    async def maintain_link(self, name: str) -> None:
        """Start a task that maintains a link to a peer, unless one is running."""
        task = self._task_by_name.get(name)
        if name != self._context.settings.name and (task is None or task.terminated):
            self._used_at_by_name[name] = self._context.clock()
            task = await curio.spawn(self._keep_connected, name, daemon=True)
            self._task_by_name[name] = task

    async def accept(self, sock: Socket, address: Any) -> None:
        """Serve a connection that a peer has opened."""
        disable_nagle(sock)
        await self._run_link(sock, is_accepted=True)

    async def connect_seed(self, address: Address) -> bool:
        """Open a link to a seed peer, to discover the members from it.

        Args:
            address: The peer's address; its name is not known yet.

        Returns:
            Whether a link to it is open or a connection was established.
        """
        if address == self._context.settings.peer_address:
            return False
        for link in self.open_links():
            if link.peer is not None and link.peer.record.address == address:
                return True
        try:
            sock = await self.connect(address, _DIAL_TIMEOUT_SECONDS)
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
        """Set the peers to keep links to."""
        self.neighbours = frozenset(names)

    async def _keep_connected(self, name: str) -> None:
        backoff = _MIN_BACKOFF_SECONDS
        if name < self._context.settings.name and name not in self._link_opened_by_name:
            # The peer with the lower name dials first, so that one link is enough.
            await curio.sleep(self._context.settings.peers.heartbeat_seconds)
        while self._is_wanted(name):
            open_link = self.link_to(name)
            if open_link is not None:
                await open_link.wait_closed(_IDLE_CHECK_SECONDS)
                continue
            is_connected = await self._dial(name)
            backoff = _MIN_BACKOFF_SECONDS if is_connected else 2 * backoff
            jitter = self._context.random.uniform(0.5, 1.0)
            await curio.sleep(jitter * min(backoff, _MAX_BACKOFF_SECONDS))
        link = self.link_to(name)
        if link is None or link.stream_count or link in self._accepted_links:
            # A link that the peer has opened is the peer's to close: it may need it
            # later, and would open another one.
            return
        await link.close()

    def _is_wanted(self, name: str) -> bool:
        if name not in self._context.directory.member_names():
            return False
        zone = self._context.directory.record_by_name[name].zone
        is_far = self._is_zone_far(zone)
        bound = self._idle_timeout_seconds(is_far)
        return name in self.neighbours or self._idle_seconds(name) < bound

    @staticmethod
    def _idle_timeout_seconds(is_far: bool) -> float:
        return _FAR_IDLE_TIMEOUT_SECONDS if is_far else _IDLE_TIMEOUT_SECONDS

    def _idle_seconds(self, name: str) -> float:
        # The peer may use a link that this daemon doesn't.
        used_at = max(
            self._used_at_by_name.get(name, 0.0),
            self._last_seen_by_name.get(name, 0.0),
        )
        return self._context.clock() - used_at

    async def _dial(self, name: str) -> bool:
        record = self._context.directory.record_by_name.get(name)
        if record is None:
            return False
        try:
            sock = await self.connect(record.address, _DIAL_TIMEOUT_SECONDS)
        except (OSError, curio.TaskTimeout) as error:
            self._failed_at_by_name[name] = self._context.clock()
            extra = {"peer": name, "why": error_text(error)}
            _LOG.debug("PeerUnreachable", extra=extra)
            return False
        await curio.spawn(self._run_link, sock, daemon=True)
        link_opened = self._link_opened_by_name.setdefault(name, curio.Event())
        await curio.ignore_after(_DIAL_TIMEOUT_SECONDS, link_opened.wait)
        return self.link_to(name) is not None

    async def _run_link(self, sock: Socket, is_accepted: bool = False) -> None:
        assert self.handler is not None
        link = Link(sock, self.handler)
        self.links.add(link)
        if is_accepted:
            self._accepted_links.add(link)
        try:
            hello = HelloSaid(
                PROTOCOL_VERSION, self._context.daemon, self._context.record
            )
            peer_hello = await link.handshake(hello)
        except (OSError, FleetError) as error:
            _LOG.info("GreetingFailed", extra={"why": str(error)})
            self._discard_link(link)
            await sock.close()
            return
        name = peer_hello.daemon.name
        self._count_bytes(link)
        await self._register_link(name, link)
        try:
            if self.on_link_opened is not None:
                await self.on_link_opened(link, peer_hello)
            await link.run()
        finally:
            self._discard_link(link)
            if self.link_by_name.get(name) is link:
                del self.link_by_name[name]

    async def close_idle_links(self) -> None:
        """Close links that this daemon has opened and nobody uses.

        Those that a seed's address led to have no task that closes them. A link that
        the peer has opened is closed by the peer, which may need it later: if both
        sides closed it, the peer would open it again and again.
        """
        for link in list(self.links - self._accepted_links):
            if not link.is_open or link.stream_count or self.is_neighbour(link):
                continue
            bound = self._idle_timeout_seconds(self.is_far(link))
            if self._idle_seconds(link.peer_name) >= bound:
                await link.close()

    def count_bytes(self) -> None:
        """Count what links send by their distance, which configurations may change."""
        for link in self.links:
            self._count_bytes(link)

    def _count_bytes(self, link: Link) -> None:
        if link.peer is None:
            return
        distance = self._context.distance_to(link.peer.record.zone)
        counter = self._context.telemetry.peer_bytes.at(distance.value)
        link.sent_bytes_by_kind = counter

    def _discard_link(self, link: Link) -> None:
        self.links.discard(link)
        self._accepted_links.discard(link)
        self._heartbeat_by_link.pop(link, None)

    async def _register_link(self, name: str, link: Link) -> None:
        # If both sides dial, there may be two links; the older one stays open for
        # the streams on it.
        self.link_by_name[name] = link
        self._failed_at_by_name.pop(name, None)
        self.mark_seen(name)
        link_opened = self._link_opened_by_name.pop(name, None)
        if link_opened is not None:
            await link_opened.set()


def takes_changes(link: Link) -> bool:
    """Return whether a peer takes whole tickets as changes since an earlier one."""
    return link.peer is not None and link.peer.version >= CHANGES_PROTOCOL_VERSION


def expect(answer: Any, kind: type) -> Any:
    """Check the type of an answer.

    Raises:
        BadInput: If the answer is of another type.
    """
    if not isinstance(answer, kind):
        name = type(answer).__name__
        raise BadInput(
            ErrorCode.BAD_PEER_MESSAGE, f"got {name} instead of {kind.__name__}"
        )
    return answer
