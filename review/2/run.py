"""An address goes to a server of another service while the daemon there starts.

No server may run a request that its service isn't configured for.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from contextlib import suppress
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as kit

_DRAIN_SECONDS = 2.0
_REUSE_AFTER_SECONDS = 2.0
_PING_DELAY_SECONDS = 3.0
"""Time by which the new server's first ping is late."""

_PER_SECOND = 40.0
_PLAY_SECONDS = 6.0
_HOST = "archive.example"


def _route(prefix: str, service: str) -> dict[str, object]:
    return {
        "Host": _HOST,
        "PathPrefix": prefix,
        "RouteType": "unsafe",
        "TimeoutS": 2.5,
        "TargetLatencyS": 0.8,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 2,
        "AuthExempt": True,
    }


CONFIGURATION = {
    "Version": "r7",
    "Routes": {
        "r-pledge": _route("/pledge/", "catalogue"),
        "r-assign": _route("/accession/", "deposit"),
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


class Client:
    """Sends requests for the catalogue by way of one machine."""

    def __init__(self, machine: kit.Machine, record: kit.Record) -> None:
        self._machine = machine
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()
        self.sent = 0

    async def run(self, seconds: float) -> None:
        """Send requests at an even rate, and wait for their answers."""
        until = self._record.now + seconds
        while self._record.now < until:
            self.sent += 1
            self._tasks.add(asyncio.create_task(self._send(f"{self.sent:016x}")))
            await asyncio.sleep(1.0 / _PER_SECOND)
        await asyncio.gather(*self._tasks)

    async def _send(self, request_id: str) -> None:
        headers = [
            ("Host", _HOST),
            ("Attempt-Id", request_id),
            ("Deadline-Remaining", "4000"),
        ]
        answer = None
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(4.0):
                answer = await kit.request(
                    self._machine.outbound, "POST", "/pledge/gift", headers, b"a gift"
                )
        status = answer.status if answer is not None else "no answer"
        self._record.note(f"{request_id} POST /pledge/gift: {status}")


async def work(head: kit.Message) -> None:
    """Work on a request."""
    await asyncio.sleep(0.1)


async def replace(fleet: kit.Fleet, machine: kit.Machine, old: kit.Server) -> None:
    """Take a machine's server away and restart the daemon there."""
    record = fleet.record
    old.state = "draining"
    while await old.announce() != 200:
        await asyncio.sleep(0.2)
    record.note(f"{old.instance} drains, acknowledged")
    await asyncio.sleep(_DRAIN_SECONDS + 0.5)
    await old.leave()
    await old.stop()
    ended_at = record.now
    process = fleet.processes[machine.name]
    process.terminate()
    await process.wait()
    await asyncio.sleep(max(0.0, ended_at + _REUSE_AFTER_SECONDS - record.now))
    await fleet.start_daemon(machine)
    await kit.wait_listening(machine.control)
    record.note(f"{old.instance} has ended; the daemon beside it was restarted")


async def play(record: kit.Record) -> int:
    """Play the script; return its exit code."""
    places = [
        kit.Place("midlands-a", "catalogue"),
        kit.Place("midlands-b", "catalogue"),
        kit.Place("midlands-a", "catalogue"),
        kit.Place("midlands-b", "deposit"),
    ]
    fleet = kit.Fleet(places, record)
    try:
        await fleet.start(CONFIGURATION)
        servers = [
            kit.Server(f"i-{i}", m.service, m.zone, m.app, m.control, record, work=work)
            for i, m in enumerate(fleet.machines)
        ]
        for server in servers:
            await server.start()
        await fleet.wait_ready()
        await asyncio.sleep(4.0)
        machine = fleet.machines[2]
        await replace(fleet, machine, servers[2])
        client = Client(fleet.machines[0], record)
        sending = asyncio.create_task(client.run(_PLAY_SECONDS))
        service = "deposit" if kit.has_trouble() else "catalogue"
        fleet.write_settings(machine, service)
        fleet.processes[machine.name].send_signal(signal.SIGHUP)
        new = kit.Server(
            "i-next",
            service,
            machine.zone,
            machine.app,
            machine.control,
            record,
            work=work,
            first_ping_after=_PING_DELAY_SECONDS,
        )
        await new.start()
        servers.append(new)
        record.note(
            f"{new.instance} of {service} starts at the address of {machine.name}; "
            f"settings changed, SIGHUP; its first ping is {_PING_DELAY_SECONDS} s late"
        )
        await sending
        return judge(record, servers)
    finally:
        await fleet.stop()


def judge(record: kit.Record, servers: list[kit.Server]) -> int:
    """Return the exit code for the runs of requests for the catalogue."""
    wrong = total = 0
    runs = [(s.service, run) for s in servers for run in s.runs]
    for service, run in sorted(runs, key=lambda item: item[1].at):
        total += 1
        wrong += service != "catalogue"
        record.note(
            f"{run.request_id} ran at {run.server} of {service} at {run.at:.3f}"
            f"{'' if service == 'catalogue' else ': FOREIGN'}"
        )
    record.note(f"{total} runs, {wrong} by a service that isn't configured")
    if not total:
        return kit.NOT_RUN
    return kit.BROKEN if wrong else kit.HELD


if __name__ == "__main__":
    kit.run_script(play, Path(__file__).resolve().parent)
