"""Counts the outcomes of uploads that targets reset, over daemons in processes.

`python -m benchmarks.reset_uploads --uploads 1000 --seed 1` exits with 1 if an upload
reached its caller as a complete success.
"""

from __future__ import annotations

import json
import sys
from collections import Counter
from typing import TYPE_CHECKING, Any

import curio
import fire
import h11

from bramleyglade_adapters.http.wire import RECEIVE_BYTES
from bramleyglade_adapters.store.http_store import HttpStore
from bramleyglade_client.ticket_repository import TicketRepository
from bramleyglade_core.model.entities import Route, Service, Zone
from bramleyglade_core.model.errors import StoreError
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.processes import FleetPlan, ProcessFleet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bramleyglade_core.model.identifiers import Address

UPLOAD_BYTES = 6_000_000
_PIECE_BYTES = 65_536
_DAEMONS = 2
_CALLERS = 4
_UPLOAD_SECONDS = 10.0
_POLL_SECONDS = 0.05
_ZONES = ("zone-0",)
_ENTITIES = (
    Zone("zone-0", "region-1"),
    Service("catalogue", _ZONES),
    Route("open", "catalogue", "/open", ("POST",), True, timeout_seconds=5.0),
)
_DAEMON_SETTINGS = {"health": {"threshold": 1e9}}
"""Targets that fail each request are not ejected."""


class ResettingFleet(ProcessFleet):
    """A fleet whose targets reset uploads."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        """Create a fleet whose targets draw from a seed."""
        super().__init__(plan)
        self._seed = seed

    def start_target(self, index: int, service: int) -> None:
        """Start one target."""
        self.start_module(
            f"target-{index}",
            "benchmarks.reset_uploads.target",
            name=f"target-{index}",
            address=str(self.target_address(index, service)),
            guard=str(self.announce_address(index)),
            slots=str(self.plan.slots),
            seed=str(_DAEMONS * self._seed + index),
        )


def measure(uploads: int = 1000, seed: int = 1, first_port: int = 28_000) -> None:
    """Send uploads and print how they ended for the caller.

    Args:
        uploads: How many to send.
        seed: Seed of the targets.
        first_port: First of the fleet's ports.
    """
    outcomes = curio.run(_measure, uploads, seed, first_port)
    print(json.dumps({"uploads": uploads, **dict(sorted(outcomes.items()))}))
    sys.exit(1 if outcomes["complete 200"] else 0)


async def _measure(uploads: int, seed: int, first_port: int) -> Counter[str]:
    plan = FleetPlan(_DAEMONS, 1, ("catalogue",), first_port, 4, _DAEMON_SETTINGS)
    fleet = ResettingFleet(plan, seed)
    outcomes: Counter[str] = Counter()
    numbers = iter(range(uploads))
    store = HttpStore(fleet.store)
    try:
        fleet.start()
        await _apply(TicketRepository(store))
        await fleet.wait_ready(seconds=30.0)
        callers = []
        for index in range(_CALLERS):
            address = fleet.caller_address(index % _DAEMONS)
            callers.append(await curio.spawn(_call, address, numbers, seed, outcomes))
        for caller in callers:
            await caller.join()
    finally:
        await store.close()
        fleet.stop()
    return outcomes


async def _apply(repository: TicketRepository) -> None:
    while True:
        try:
            await repository.apply(Ticket(1, "", _ENTITIES))
            return
        except StoreError:  # The store is still starting.
            await curio.sleep(_POLL_SECONDS)


async def _call(
    address: Address, numbers: Iterator[int], seed: int, outcomes: Counter[str]
) -> None:
    for number in numbers:
        try:
            async with curio.timeout_after(_UPLOAD_SECONDS):
                outcomes[await _upload(address, f"s{seed}-{number}")] += 1
        except curio.TaskTimeout:
            outcomes["timeout"] += 1


async def _upload(address: Address, request_id: str) -> str:
    sock = await curio.open_connection(address.host, address.port)
    async with sock:
        sending = await curio.spawn(_send, sock, request_id)
        try:
            return await _outcome(sock)
        finally:
            await sending.cancel()


async def _send(sock: Any, request_id: str) -> None:
    head = (
        f"POST /open HTTP/1.1\r\nhost: a\r\nx-request-id: {request_id}\r\n"
        f"content-length: {UPLOAD_BYTES}\r\n\r\n"
    )
    try:
        await sock.sendall(head.encode())
        for start in range(0, UPLOAD_BYTES, _PIECE_BYTES):
            size = min(_PIECE_BYTES, UPLOAD_BYTES - start)
            await sock.sendall(bytes(size))
    except OSError:
        return  # The answer shows how the exchange has ended.


async def _outcome(sock: Any) -> str:
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method="POST", target="/", headers=[("host", "a")]))
    status = 0
    while True:
        try:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await sock.recv(RECEIVE_BYTES))
        except (OSError, h11.RemoteProtocolError):
            return f"aborted {status}" if status else "aborted before an answer"
        if isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.EndOfMessage):
            return f"complete {status}"


if __name__ == "__main__":
    fire.Fire(measure)
