"""A planned stop of a machine whose clients send requests without waiting."""

from __future__ import annotations

import asyncio
import contextlib
import signal
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

LARGE_BOUNDS = {
    **BOUNDS,
    "StabilityWindowS": "4",
    "AckS": "5",
    "CatchUpS": "6",
    "DrainS": "3",
    "GraceS": "10",
    "ConfigApplyS": "3",
    "MaxStretchS": "6",
    "BudgetMinRetries": "430",
    "ColdSlack": "10",
}
"""Those of `large/vdh-sync-large.toml`."""

CLIENTS = 3
AHEAD = 3
"""Requests of a connection that are unanswered at the same time."""

CALM_S = 6.0
"""Time with requests before the stop, longer than `StabilityWindowS`."""

NO_NEW_WORK_S = 2.0
"""Time after which two readiness checks are missed, so that clients send nothing."""


class Client:
    """Keeps some safe requests on the way on one connection after another."""

    def __init__(self, vm: Vm, number: int, record: Record) -> None:
        self.vm = vm
        self.number = number
        self.record = record
        self.sent_at: dict[str, float] = {}
        self.status_by_request: dict[str, int] = {}
        self.cut_at: dict[str, float] = {}
        """When the connection ended, of requests without an answer on it."""
        self.is_done = False

    async def run(self) -> None:
        """Send requests until `is_done`."""
        while not self.is_done:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._use_connection()
            await asyncio.sleep(0.1)

    def _send(self, writer: asyncio.StreamWriter) -> str:
        request = f"c{self.number}-{len(self.sent_at) + 1}"
        head = (
            f"GET /search/{request} HTTP/1.1\r\n"
            "Host: shop.example\r\n"
            f"Attempt-Id: {request}\r\n"
            "Deadline-Remaining: 4301\r\n"
            "X-Api-Key: key-one\r\n\r\n"
        )
        writer.write(head.encode())
        self.sent_at[request] = time.monotonic()
        return request

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection(HOST, self.vm.outbound_port)
        waiting: list[str] = []
        may_send = True
        try:
            while True:
                while may_send and not self.is_done and len(waiting) < AHEAD:
                    waiting.append(self._send(writer))
                if not waiting:
                    return
                answer = await read_head(reader)
                if answer is None:
                    return
                await read_body(reader, answer)
                request = waiting.pop(0)
                self.status_by_request[request] = answer.status
                closes = answer.headers.get("connection", "").lower() == "close"
                self.record.note(
                    f"{request} answered {answer.status}{' and closed' * closes}"
                )
                may_send = may_send and not closes
        finally:
            for request in waiting:
                self.cut_at[request] = time.monotonic()
                self.record.note(f"{request} gets no answer, its connection ended")
            writer.close()


async def case(record: Record) -> tuple[int, list[str]]:
    """Stop one of three machines once, in calm."""
    deployment = Deployment(LARGE_BOUNDS, ("zone-a", "zone-b"))
    with ended(deployment):
        for index in range(3):
            vm = deployment.add_vm("desk", ("zone-a", "zone-b")[index % 2])
            deployment.servers.append(Server(vm, "desk", 0.12))
        routes = {"r-search": route("desk", "/search/", "safe", 4.3)}
        tenants = {"t1": {"ApiKeys": ["key-one"], "RatePerS": 1000, "Burst": 1000}}
        await deployment.start(configuration(5, routes, tenants, ["desk"]))
        await asyncio.sleep(3)
        stopped = deployment.vms[0]
        clients = [Client(stopped, number, record) for number in range(CLIENTS)]
        tasks = [asyncio.create_task(client.run()) for client in clients]
        await asyncio.sleep(CALM_S)
        term_at = time.monotonic()
        if has_trouble():
            stopped.send(signal.SIGTERM)
            record.note(f"SIGTERM to {stopped.name}")
        await asyncio.sleep(NO_NEW_WORK_S)
        for client in clients:
            client.is_done = True
        await asyncio.wait(tasks, timeout=float(LARGE_BOUNDS["GraceS"]) + 1)
    run_at = {}
    for server in deployment.servers:
        for arrival in server.runs:
            run_at[arrival.request] = arrival.at
            record.note(f"{arrival.request} runs at {server.id}", arrival.at)
    statuses = Counter(s for c in clients for s in c.status_by_request.values())
    result = [f"answered: {dict(statuses)}"]
    cut = [(r, c) for c in clients for r in c.cut_at if r in run_at]
    for request, client in cut:
        result.append(
            f"{request}: sent {client.sent_at[request] - term_at:.3f} s, "
            f"run {run_at[request] - term_at:.3f} s and cut without an answer "
            f"{client.cut_at[request] - term_at:.3f} s after the SIGTERM"
        )
    if cut:
        return BROKEN, [f"LOST broken: {len(cut)} requests", *result]
    return HELD, ["LOST held", *result]


if __name__ == "__main__":
    run_case(HERE, case)
