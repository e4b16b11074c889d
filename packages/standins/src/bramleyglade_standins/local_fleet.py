"""Daemons and targets in one process, with loopback links and an in-memory store.

For tests and benchmarks that need real daemons and that break their links, discard
their messages or kill them.
"""

from __future__ import annotations

import itertools
import os
import random
import socket
import time
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING, Any

import curio

from bramleyglade_adapters.http.simple_client import SimpleClient, WholeAnswer
from bramleyglade_adapters.http.wire import connect
from bramleyglade_adapters.telemetry import Telemetry
from bramleyglade_client.ticket_repository import TicketRepository
from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.entities import Entity, Route, Service, Team, Zone
from bramleyglade_core.model.exchange import Header
from bramleyglade_core.model.identifiers import Address
from bramleyglade_core.model.settings import (
    DaemonSettings,
    LeaseSettings,
    LimitSettings,
    PeerSettings,
)
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_daemon.daemon import Daemon
from bramleyglade_daemon.fleet.context import Context
from bramleyglade_standins.http_server import listen
from bramleyglade_standins.memory_store import MemoryStore
from bramleyglade_standins.target_server import StandInTarget, announce_periodically

if TYPE_CHECKING:
    from collections.abc import Callable

    from bramleyglade_adapters.link.link import Link

KEY = "key-of-studio"
"""Key of the team in the first ticket."""

_HOST = "127.0.0.1"
_DEFAULT_REGION = "region-1"
_ports = itertools.cycle(range(12_000 + 397 * os.getpid() % 16_000, 32_000))
"""Ports below the ephemeral range of the system.

The first port depends on the process ID, or test processes that run at the same time
would try the same ports.
"""


def free_address() -> Address:
    """Return a loopback address on which no process listens."""
    while True:
        address = Address(_HOST, next(_ports))
        with socket.socket() as sock:
            if sock.connect_ex((address.host, address.port)) != 0:
                return address


def make_settings(
    name: str, zone: str, addresses: list[Address], seeds: tuple[Address, ...]
) -> DaemonSettings:
    """Create settings for a daemon on loopback, with production defaults."""
    return DaemonSettings(
        name=name,
        zone=zone,
        region=_DEFAULT_REGION,
        caller_address=addresses[0],
        peer_address=addresses[1],
        announce_address=addresses[2],
        store_address=Address(_HOST, 1),
        seed_peers=seeds,
        stop_seconds=10.0,
    )


def shorten_terms(settings: DaemonSettings) -> DaemonSettings:
    """Shorten leases and intervals, so that tests take less time."""
    return replace(
        settings,
        lease=LeaseSettings(
            term_seconds=2.4,
            margin_seconds=0.3,
            refresh_seconds=0.4,
            stale_seconds=1.6,
            sample_size=9,
        ),
        limits=LimitSettings(shards=2, slice_term_seconds=4.0, renew_seconds=0.3),
        peers=PeerSettings(heartbeat_seconds=0.12, suspect_seconds=1.2),
    )


def first_ticket(zones: int = 2, rate: float = 1000.0, burst: int = 1000) -> Ticket:
    """Create a ticket with zones, one service, its routes and one team."""
    names = tuple(f"zone-{index}" for index in range(zones))
    entities: list[Entity] = [Zone(name, "region-1") for name in names]
    entities += [
        Service("catalogue", names, timeout_seconds=5.0),
        Route("songs", "catalogue", "/songs"),
        Route("open", "catalogue", "/open", open_to_all=True),
        Route("lookup", "catalogue", "/lookup", idempotent=True),
        Team("studio", rate, burst, (hash_key(KEY),)),
    ]
    return Ticket(1, "first", tuple(entities))


def _region_of(zone: str, ticket: Ticket | None) -> str:
    entities = ticket.entities if ticket is not None else ()
    regions = (e.region for e in entities if isinstance(e, Zone) and e.name == zone)
    return next(regions, _DEFAULT_REGION)


async def kill_daemon(daemon: Daemon) -> None:
    """Kill a daemon: cancel its tasks and close its sockets, without notice."""
    for task in daemon._tasks:
        await task.cancel()
    await daemon.peers.close()
    for runner in daemon.guard.runner_by_name.values():
        for worker in [*runner._running, *runner._idle_workers]:
            if worker.task is not None:
                await worker.task.cancel(blocking=False)
    for connection in list(daemon.front.connections):
        await connection._sock.close()
    await curio.sleep(0)


class SilentSocket:
    """A socket that discards writes, as if packets were lost in one direction."""

    def __init__(self, sock: Any) -> None:
        self._sock = sock

    async def sendall(self, data: bytes) -> None:
        """Discard the data."""

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


class LocalFleet:
    """Daemons and targets in one process, with loopback links and one store."""

    def __init__(self) -> None:
        self.has_short_terms = True
        """Whether `start` shortens leases and intervals."""
        self.lease_settings: LeaseSettings | None = None
        """Settings of the leases; None for those of `make_settings`."""
        self.store = MemoryStore()
        self.ticket_repository = TicketRepository(self.store)
        self.settings: list[DaemonSettings] = []
        self.daemons: list[Daemon] = []
        self.targets: list[StandInTarget] = []
        self.announcers: list[curio.Task] = []
        self.blocked_pairs: set[frozenset[int]] = set()
        """Pairs of VM indexes between which new links are refused."""

    async def start(self, daemons: int, zones: int, ticket: Ticket | None) -> None:
        """Start daemons with a target each, in the regions that the ticket states.

        If there is a ticket, apply it and wait until all daemons are ready.
        """
        addresses = [[free_address() for _ in range(3)] for _ in range(daemons)]
        seeds = tuple(daemon_addresses[1] for daemon_addresses in addresses)
        for index in range(daemons):
            zone = f"zone-{index % zones}"
            name = f"vm-{index}"
            settings = make_settings(name, zone, addresses[index], seeds)
            settings = replace(settings, region=_region_of(zone, ticket))
            if self.has_short_terms:
                settings = shorten_terms(settings)
            if self.lease_settings is not None:
                settings = replace(settings, lease=self.lease_settings)
            self.settings.append(settings)
            await self.start_daemon(index)
        for index in range(daemons):
            await self.start_target(index)
        if ticket is not None:
            await self.ticket_repository.apply(ticket)
            await self.wait_until(lambda: all(self._is_ready(d) for d in self.daemons))

    async def start_daemon(self, index: int, seed: int = 0) -> Daemon:
        """Start a daemon, or replace one that was killed."""
        settings = self.settings[index]
        telemetry = Telemetry(settings, random.Random(seed))
        random_source = random.Random(100 * seed + index)
        context = Context(settings, self.store, telemetry, random_source=random_source)
        daemon = Daemon(context)
        daemon.peers.connect = partial(self._connect, settings)
        await daemon.start()
        self.daemons[index : index + 1] = [daemon]
        return daemon

    async def _connect(
        self, own: DaemonSettings, address: Address, timeout_seconds: float
    ) -> Any:
        if not self.may_connect(own, address):
            raise ConnectionRefusedError("blocked by the test")
        return await connect(address, timeout_seconds)

    async def start_target(self, index: int, **changes: Any) -> StandInTarget:
        """Start a target on a VM, and announce it periodically."""
        announced = TargetAnnouncement(
            f"target-{index}", "catalogue", free_address(), 4, instance="1"
        )
        target = StandInTarget(replace(announced, **changes), seed=index)
        await listen(target.announced.address, target.answer)
        guard = self.settings[index].announce_address
        announcer = await curio.spawn(
            announce_periodically, target.announced, guard, daemon=True
        )
        self.announcers.append(announcer)
        self.targets.append(target)
        return target

    async def call(
        self,
        index: int = 0,
        method: str = "GET",
        path: str = "/songs/1",
        body: bytes = b"",
        key: str = KEY,
        headers: tuple[Header, ...] = (),
    ) -> WholeAnswer:
        """Send one request to a daemon over a new connection."""
        client = SimpleClient(self.settings[index].caller_address)
        all_headers = (Header("x-api-key", key), *headers) if key else headers
        try:
            return await client.request(
                method, path, body, headers=all_headers, timeout_seconds=20.0
            )
        finally:
            await client.close()

    def links(self, start: int, end: int) -> list[Link]:
        """Return the links of one daemon to another."""
        name = self.settings[end].name
        links = self.daemons[start].peers.links
        return [link for link in links if link.peer and link.peer.daemon.name == name]

    async def cut_links(self, one: int, other: int) -> None:
        """Close all links between two daemons."""
        for link in self.links(one, other) + self.links(other, one):
            await link.close()

    def silence_links(self, sender: int, receiver: int) -> None:
        """Discard all that one daemon sends to another on their open links."""
        for link in self.links(sender, receiver):
            link._sock = SilentSocket(link._sock)

    async def kill(self, index: int) -> None:
        """Kill a daemon without a graceful stop."""
        await kill_daemon(self.daemons[index])

    async def close(self) -> None:
        """Kill all daemons, and stop announcing the targets."""
        for index in range(len(self.daemons)):
            await self.kill(index)
        for announcer in self.announcers:
            await announcer.cancel()

    def may_connect(self, own: DaemonSettings, address: Address) -> bool:
        """Return whether a daemon may open a link to an address."""
        index = self.settings.index(own)
        for other, settings in enumerate(self.settings):
            if settings.peer_address == address:
                return frozenset((index, other)) not in self.blocked_pairs
        return True

    async def wait_until(
        self, condition: Callable[[], bool], seconds: float = 20.0
    ) -> None:
        """Wait for a condition; the timeout only ends a test that hangs."""
        deadline = time.monotonic() + seconds
        while not condition():
            assert time.monotonic() < deadline, (
                "the condition did not become true in time"
            )
            await curio.sleep(0.02)

    def runs(self, request_id: str) -> int:
        """Return how often the targets ran a request."""
        return sum(target.runs_by_request[request_id] for target in self.targets)

    def _count_in(self, context: Context) -> int:
        """Return how many daemons are in the region of one."""
        region = context.settings.region
        return sum(settings.region == region for settings in self.settings)

    def _is_ready(self, daemon: Daemon) -> bool:
        context = daemon.context
        return (
            context.lease.is_valid
            and "studio" in context.configuration.team_by_name
            and len(context.directory.candidates("catalogue")) == len(self.targets)
            and len(context.view.assignment_by_shard) == context.settings.limits.shards
            and len(daemon.peers.open_links())
            >= min(context.settings.peers.fanout, self._count_in(context) - 1)
        )
