"""Uploads in chunks, some of which a server rejects before they are in.

A server must not run a request whose body is not the one that the client sent.
"""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as kit

if TYPE_CHECKING:
    from collections.abc import Iterator

_CHUNK_BYTES = 65_280
_UPLOAD_BYTES = 360_000
"""The largest upload of the site."""

_REJECT_FROM_BYTES = 200_000
_MAX_REJECTED_SHARE = 0.03
"""Largest share of a server's requests that are rejected early (garble, x)."""

_REJECTING = 3
"""Servers that reject, of five (garble, share 0.6)."""

_PLAY_SECONDS = 40.0
_CALLS_PER_SECOND = 25.0
"""Small requests by the clients of each other machine."""

_UPLOADS_PER_ROUND = 4
"""Long uploads by the clients of the first machine after each restart."""

_HOST = "archive.example"

CONFIGURATION = {
    "Version": "r7",
    "Routes": {
        "r-upload": {
            "Host": _HOST,
            "PathPrefix": "/deposit/",
            "RouteType": "upload",
            "TimeoutS": 5,
            "TargetLatencyS": 0.8,
            "Priority": 1,
            "Service": "deposit",
            "MaxAttempts": 3,
            "AuthExempt": True,
        },
    },
    "Services": {
        "catalogue": {"HealthPath": "/health", "MaxConnections": 330},
        "deposit": {"HealthPath": "/health", "MaxConnections": 330},
    },
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeoutS": 3,
        "IdleTimeoutS": 15,
    },
    "Tenants": {},
}


class EarlyRejection:
    """Rejects a small share of a server's requests: long ones, before they are in."""

    def __init__(self) -> None:
        self.server: kit.Server | None = None
        self.rejected = 0

    def __call__(self, head: kit.Message, size: int) -> bool:
        """Return whether a request is rejected now."""
        if self.server is None or size < _REJECT_FROM_BYTES:
            return False
        if self.rejected + 1 > _MAX_REJECTED_SHARE * self.server.arrivals:
            return False
        self.rejected += 1
        return True


class Play:
    """The requests of one script, and what the servers ran of them."""

    def __init__(self, fleet: kit.Fleet, record: kit.Record) -> None:
        self.fleet = fleet
        self.record = record
        self.random = random.Random(33)
        self.sent: dict[str, bytes] = {}
        self.servers: list[kit.Server] = []
        self._count = 0

    async def start_servers(self) -> None:
        """Start a server beside each daemon."""
        rejecting = 0
        for index, machine in enumerate(self.fleet.machines):
            server = kit.Server(
                f"i-{index}",
                machine.service,
                machine.zone,
                machine.app,
                machine.control,
                self.record,
                slots=8,
                work=self._work,
            )
            if machine.service == "deposit" and rejecting < _REJECTING:
                rejecting += 1
                if kit.has_trouble():
                    server.rejects = EarlyRejection()
                    server.rejects.server = server
            self.servers.append(server)
            await server.start()

    async def _work(self, head: kit.Message) -> None:
        await asyncio.sleep(0.05)

    async def send_small(self, machine: kit.Machine, until: float) -> None:
        """Send small requests by the clients of one machine."""
        while self.record.now < until:
            await asyncio.sleep(self.random.expovariate(_CALLS_PER_SECOND))
            await self._send(machine, b"a card", None)

    async def send_uploads(self, machine: kit.Machine, until: float) -> None:
        """Send long uploads in chunks, some at a time."""
        while self.record.now < until:
            process = self.fleet.processes[machine.name]
            process.terminate()
            await process.wait()
            await self.fleet.start_daemon(machine)
            while not await self.fleet.is_ready(machine):
                await asyncio.sleep(0.05)
            self.record.note(f"{machine.name} was restarted")
            uploads = [self._upload(machine) for _ in range(_UPLOADS_PER_ROUND)]
            await asyncio.gather(*uploads)

    async def _upload(self, machine: kit.Machine) -> None:
        await asyncio.sleep(self.random.uniform(0.3, 1.5))
        body = self.random.randbytes(_UPLOAD_BYTES)
        await self._send(machine, body, self.random.uniform(0.0025, 0.0045))

    async def _send(
        self, machine: kit.Machine, body: bytes, pause: float | None
    ) -> None:
        self._count += 1
        request_id = f"{self._count:016x}"
        self.sent[request_id] = body
        headers = [
            ("Host", _HOST),
            ("Attempt-Id", request_id),
            ("Deadline-Remaining", "5000"),
        ]
        chunks = body if pause is None else self._chunks(body, pause)
        try:
            async with asyncio.timeout(6.0):
                answer = await kit.request(
                    machine.outbound, "POST", "/deposit/tape", headers, chunks
                )
        except (OSError, TimeoutError) as error:
            self.record.note(f"{request_id} unanswered: {error!r}")
            return
        if pause is not None:
            status = answer.status if answer is not None else "closed"
            self.record.note(
                f"{request_id} sent {len(body)} bytes, {digest(body)}, in chunks of "
                f"{_CHUNK_BYTES} every {pause * 1000:.1f} ms; answered {status}"
            )

    def _chunks(self, body: bytes, pause: float) -> Iterator[tuple[float, bytes]]:
        for start in range(0, len(body), _CHUNK_BYTES):
            yield pause, body[start : start + _CHUNK_BYTES]

    def count_changed(self) -> int:
        """Return how many runs had a body that the client did not send."""
        changed = 0
        for server in self.servers:
            rejected = getattr(server.rejects, "rejected", 0)
            self.record.note(
                f"{server.instance}: {server.arrivals} arrivals, {len(server.runs)} "
                f"runs, {rejected} rejected early"
            )
            for run in server.runs:
                body = self.sent.get(run.request_id)
                if body is not None and len(body) > _CHUNK_BYTES:
                    self.record.note(
                        f"{run.request_id} ran at {run.server} at {run.at:.3f} with "
                        f"{len(run.body)} bytes, {digest(run.body)}"
                    )
                if body is None:
                    self.record.note(f"{run.server} ran {run.request_id!r}, not sent")
                    continue
                if body == run.body:
                    continue
                changed += 1
                sent = f"{len(body)} bytes, {digest(body)}"
                is_tail = body.endswith(run.body)
                self.record.note(
                    f"CHANGED: {run.request_id} ran at {run.server} at {run.at:.3f} "
                    f"with {len(run.body)} bytes, {digest(run.body)}; sent were {sent}"
                    f"{'; it is the end of the body' if is_tail else ''}"
                )
        return changed


def digest(body: bytes) -> str:
    """Return a short digest of a body."""
    return hashlib.sha256(body).hexdigest()[:12]


async def play(record: kit.Record) -> int:
    """Play the script; return its exit code."""
    places = [kit.Place("midlands-a", "catalogue")]
    places += [kit.Place(f"midlands-{'bc'[i % 2]}", "deposit") for i in range(5)]
    # 56 for 21 machines at the site, here for 6.
    fleet = kit.Fleet(places, record, BudgetMinRetries=16)
    try:
        await fleet.start(CONFIGURATION)
        game = Play(fleet, record)
        await game.start_servers()
        await fleet.wait_ready()
        await asyncio.sleep(4.0)
        until = record.now + _PLAY_SECONDS
        first, *others = fleet.machines
        tasks = [asyncio.create_task(game.send_small(m, until)) for m in others]
        tasks += [asyncio.create_task(game.send_uploads(first, until))]
        await asyncio.gather(*tasks)
        changed = game.count_changed()
        uploads = sum(len(body) > _CHUNK_BYTES for body in game.sent.values())
        small = len(game.sent) - uploads
        record.note(f"{small} small requests sent, their runs are in the counts above")
        record.note(f"{uploads} uploads, {changed} runs with a changed body")
        if not uploads:
            return kit.NOT_RUN
        return kit.BROKEN if changed else kit.HELD
    finally:
        await fleet.stop()


if __name__ == "__main__":
    kit.run_script(play, Path(__file__).resolve().parent)
