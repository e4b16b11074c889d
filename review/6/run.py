"""A version takes a key away and adds a route whose prefix is percent-encoded."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins_2 import (  # noqa: E402
    BOUNDS,
    BROKEN,
    HELD,
    HOST,
    Deployment,
    Record,
    Server,
    Vm,
    configuration,
    ended,
    has_trouble,
    read_body,
    read_head,
    route,
    run_case,
)

ENCODED_PREFIX = "/musique-fran%C3%A7aise/"
PLAIN_PREFIX = "/musique-francaise/"
REVOKE_S = float(BOUNDS["RevokeS"])
BEFORE_S = 4.0
AFTER_S = 12.0


class Client:
    """Sends unsafe requests with one key, one after another."""

    def __init__(self, vm: Vm, key: str, record: Record) -> None:
        self.vm = vm
        self.key = key
        self.record = record
        self.sent_at: dict[str, float] = {}
        self.statuses: Counter[int] = Counter()

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._use_connection()
            await asyncio.sleep(0.1)

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.vm.outbound_port)
        try:
            closes = False
            while not closes:
                request = f"{self.vm.name}-{self.key}-{len(self.sent_at) + 1}"
                head = (
                    f"POST /issue/{request} HTTP/1.1\r\n"
                    "Host: shop.example\r\n"
                    f"Attempt-Id: {request}\r\n"
                    "Deadline-Remaining: 3000\r\n"
                    f"X-Api-Key: {self.key}\r\n"
                    "Content-Length: 4\r\n\r\nbody"
                )
                writer.write(head.encode())
                self.sent_at[request] = time.monotonic()
                answer = await read_head(reader)
                if answer is None:
                    return
                await read_body(reader, answer)
                self.statuses[answer.status] += 1
                self.record.note(f"{request} answered {answer.status}")
                closes = answer.headers.get("connection", "").lower() == "close"
                await asyncio.sleep(0.2)
        finally:
            writer.close()


async def case(record: Record) -> tuple[int, list[str]]:
    """Withdraw a key while clients use it."""
    deployment = Deployment(BOUNDS, ("zone-a", "zone-b"))
    routes = {"r-issue": route("desk", "/issue/", "unsafe", 3)}
    limits = {"RatePerS": 1000, "Burst": 1000}
    before = {"t1": {"ApiKeys": ["key-old", "key-new"], **limits}}
    after = {"t1": {"ApiKeys": ["key-new"], **limits}}
    prefix = ENCODED_PREFIX if has_trouble() else PLAIN_PREFIX
    added = {**routes, "r-added": route("desk", prefix, "safe", 3)}
    with ended(deployment):
        for index in range(3):
            vm = deployment.add_vm("desk", ("zone-a", "zone-b")[index % 2])
            deployment.servers.append(Server(vm, "desk", 0.02))
        await deployment.start(configuration(5, routes, before, ["desk"]))
        clients = [
            Client(vm, key, record)
            for vm in deployment.vms
            for key in ("key-old", "key-new")
        ]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(BEFORE_S)
        deployment.store.put("config", "main", configuration(6, added, after, ["desk"]))
        acked_at = time.monotonic()
        record.note(f"r6 acknowledged: key-old withdrawn, {prefix} added")
        await asyncio.sleep(AFTER_S)
        for task in tasks:
            task.cancel()
    sent_at = {
        request: at
        for client in clients
        if client.key == "key-old"
        for request, at in client.sent_at.items()
    }
    late = []
    for server in deployment.servers:
        for arrival in server.runs:
            record.note(f"{arrival.request} runs at {server.id}", arrival.at)
            delay = sent_at.get(arrival.request, 0.0) - acked_at
            if delay > REVOKE_S:
                late.append(delay)
    statuses = {
        key: dict(sum((c.statuses for c in clients if c.key == key), Counter()))
        for key in ("key-old", "key-new")
    }
    result = [f"answered by key: {statuses}"]
    if late:
        return BROKEN, [
            f"CONFIG broken: {len(late)} requests with the withdrawn key ran, sent "
            f"{min(late):.2f} to {max(late):.2f} s after the acknowledgement "
            f"(RevokeS {REVOKE_S:g})",
            *result,
        ]
    return HELD, ["CONFIG held", *result]


if __name__ == "__main__":
    run_case(HERE, case)
