"""Stand-ins for the platform, its servers and its clients, and a small fleet.

The fleet's daemons are started as separate processes with the command of the deploy
file. Everything else runs in this process, on loopback addresses and the real clock.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a script."""

BEAT_SECONDS = 1.5
_HEALTH_PATH = "/health"
_PAGE_SIZE = 500


def has_trouble() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on, below the range of outgoing ports."""
    found: list[int] = []
    candidate = random.SystemRandom().randrange(20_000, 32_000)
    while len(found) < count:
        candidate = candidate + 1 if candidate < 32_000 else 20_000
        with socket.socket() as probe:
            try:
                probe.bind((HOST, candidate))
            except OSError:
                continue
        found.append(candidate)
    return found


class Record:
    """The lines of `record.txt`, with the time since the script's start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the script's start."""
        return time.monotonic() - self._started_at

    def note(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now:8.3f}  {text}\n")
        self._file.flush()


@dataclass
class Message:
    """An HTTP request or answer."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def header(self, name: str) -> str:
        """Return the value of the first header with a name, or an empty string."""
        return next((v for n, v in self.headers if n == name), "")

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first_line.split()[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(
    reader: asyncio.StreamReader,
    head: Message,
    is_enough: Callable[[int], bool] = lambda size: False,
) -> tuple[bytes, bool]:
    """Read the body of a message.

    Args:
        reader: The connection.
        head: The message's head.
        is_enough: Called with the size so far; true if the rest is not read.

    Returns:
        The body, and whether it is complete.
    """
    body = bytearray()
    if head.header("transfer-encoding").lower() == "chunked":
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return bytes(body), True
            if is_enough(len(body)):
                return bytes(body), False
    left = int(head.header("content-length") or 0)
    while left:
        piece = await reader.read(min(left, 65_536))
        if not piece:
            raise ConnectionResetError("the body ended early")
        body += piece
        left -= len(piece)
        if left and is_enough(len(body)):
            return bytes(body), False
    return bytes(body), True


def answer_bytes(status: int, headers: Iterable[tuple[str, str]], body: bytes) -> bytes:
    """Return an answer with its length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store:
    """The platform's store of objects by kind and name."""

    def __init__(self) -> None:
        self.revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator does; return the revision."""
        objects = self._objects.setdefault(kind, {})
        self.revision += 1
        created = objects[name]["Metadata"]["CreatedRev"] if name in objects else None
        metadata = {
            "Name": name,
            "Revision": self.revision,
            "CreatedRev": created or self.revision,
            "Finalizers": [],
            "Deleting": False,
        }
        objects[name] = {"Metadata": metadata, "Spec": spec, "Status": None}
        return self.revision

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls of one connection."""
        with suppress(ConnectionError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                body, _ = await read_body(reader, head)
                await asyncio.sleep(0.004)
                status, content = self._answer(head, body)
                data = json.dumps(content).encode()
                content_type = ("Content-Type", "application/json")
                writer.write(answer_bytes(status, [content_type], data))
                await writer.drain()
        writer.close()

    def _answer(self, head: Message, body: bytes) -> tuple[int, Any]:
        method, target, _ = head.first_line.split()
        path, _, query = target.partition("?")
        kind, _, name = path.removeprefix("/-/objects/").partition("/")
        kind, name = unquote(kind), unquote(name)
        objects = self._objects.setdefault(kind, {})
        if method == "GET":
            if name:
                return (200, objects[name]) if name in objects else (404, {})
            after = parse_qs(query).get("after", [""])[0]
            names = sorted(n for n in objects if n > after)
            return 200, {
                "items": [objects[n] for n in names[:_PAGE_SIZE]],
                "HasMore": len(names) > _PAGE_SIZE,
                "CurrentRev": self.revision,
            }
        content = json.loads(body)
        if method == "POST":
            name = content["Metadata"]["Name"]
            if name in objects:
                return 409, objects[name]
        elif method == "PUT":
            if name not in objects:
                return 404, {}
            wanted = content["Metadata"].get("Revision")
            if wanted not in (None, objects[name]["Metadata"]["Revision"]):
                return 409, objects[name]
            if objects[name]["Spec"] == content.get("Spec"):
                return 200, objects[name]
        else:
            return 405, {}
        self.put(kind, name, content.get("Spec"))
        return 200, objects[name]


@dataclass
class Run:
    """A request that a server began to work on."""

    request_id: str
    server: str
    at: float
    headers: Message
    body: bytes


@dataclass
class Server:
    """An application server beside a daemon."""

    instance: str
    service: str
    zone: str
    address: tuple[str, int]
    control: tuple[str, int]
    record: Record
    slots: int = 3
    work: Callable[[Message], Awaitable[None]] | None = None
    """Called for each run; the run lasts until it returns."""
    rejects: Callable[[Message, int], bool] = lambda head, size: False
    """Whether a request is rejected, called with the size of the body so far."""
    first_ping_after: float = 0.0
    """Time by which the first ping is late, in seconds."""
    state: str = "ready"
    runs: list[Run] = field(default_factory=list)
    arrivals: int = 0
    _sequence: int = 0
    _busy: int = 0
    _listener: asyncio.Server | None = None
    _beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and announce this server to the daemon beside it."""
        self.born = int(time.time() * 1000)
        self._listener = await asyncio.start_server(
            self._serve, *self.address, limit=1 << 20
        )
        self._beats = asyncio.create_task(self._beat())

    async def stop(self) -> None:
        """Stop listening, and send no more pings."""
        if self._beats is not None:
            self._beats.cancel()
        if self._listener is not None:
            self._listener.close()

    async def announce(self) -> int:
        """Send one ping; return the status of its answer, 0 without one."""
        self._sequence += 1
        report = {
            "Service": self.service,
            "Address": "{}:{}".format(*self.address),
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdLeftS": 0,
            "Sequence": self._sequence,
            "born": self.born,
        }
        return await self._call("PUT", report)

    async def leave(self) -> int:
        """Tell the daemon that this server leaves."""
        return await self._call("DELETE", {"born": self.born})

    async def _call(self, method: str, content: Any) -> int:
        path = f"/-/instances/{self.instance}"
        body = json.dumps(content).encode()
        headers = [("Content-Type", "application/json")]
        try:
            async with asyncio.timeout(1.0):
                answer = await request(self.control, method, path, headers, body)
        except (OSError, TimeoutError):
            return 0
        return answer.status if answer is not None else 0

    async def _beat(self) -> None:
        await asyncio.sleep(self.first_ping_after)
        while True:
            await self.announce()
            await asyncio.sleep(BEAT_SECONDS)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            while (head := await read_head(reader)) is not None:
                if not await self._serve_one(head, reader, writer):
                    break
        writer.close()

    async def _serve_one(
        self,
        head: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if head.first_line.split()[1] == _HEALTH_PATH:
            await read_body(reader, head)
            load = f"{self._busy},0,{self.slots}"
            headers = [("Instance-Id", self.instance), ("Server-Load", load)]
            status = 200 if self.state == "ready" else 503
            writer.write(answer_bytes(status, headers, b""))
            await writer.drain()
            return True
        self.arrivals += 1
        request_id = head.header("attempt-id")
        echo = ("Attempt-Id", request_id)
        if head.header("expected-instance") not in ("", self.instance):
            await read_body(reader, head)
            headers = [echo, ("Instance-Id", self.instance)]
            writer.write(answer_bytes(421, headers, b""))
            await writer.drain()
            return True
        body, is_whole = await read_body(
            reader, head, lambda size: self.rejects(head, size)
        )
        if not is_whole or self._busy >= self.slots:
            self.record.note(f"{self.instance} rejects {request_id}, not run")
            writer.write(answer_bytes(503, [echo, ("Not-Executed", "1")], b""))
            await writer.drain()
            if not is_whole:
                # Reads on, so that the answer is not lost by a reset.
                with suppress(ConnectionError):
                    while await reader.read(65_536):
                        pass
            return False
        run = Run(request_id, self.instance, self.record.now, head, body)
        self.runs.append(run)
        self._busy += 1
        try:
            if self.work is not None:
                await self.work(head)
        finally:
            self._busy -= 1
        seal = ("Server-Seal", f"seal-{self.instance}-{request_id}")
        content = str(len(body)).encode()
        data = answer_bytes(200, [echo, seal], content)
        if head.first_line.startswith("HEAD "):
            data = data.removesuffix(content)
        writer.write(data)
        await writer.drain()
        return True


async def request(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: Iterable[tuple[str, str]],
    body: bytes | Iterable[tuple[float, bytes]] = b"",
) -> Message | None:
    """Send a request on a connection of its own and read the answer.

    Args:
        address: Where to send it.
        method: HTTP method.
        path: Path and query.
        headers: Its headers, without the length.
        body: The body; or its chunks, each with the pause before it in seconds.

    Returns:
        The whole answer; None if the connection ended without one.
    """
    reader, writer = await asyncio.open_connection(*address, limit=1 << 20)
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    names = {name.lower() for name, _ in headers}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if "host" not in names:
        lines.append("Host: {}:{}".format(*address))
    is_chunked = not isinstance(body, bytes)
    lines.append(
        "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {len(body)}"
    )
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode())
        sender = None
        if isinstance(body, bytes):
            writer.write(body)
            await writer.drain()
        else:
            sender = asyncio.create_task(_send_chunks(writer, body))
        try:
            head = await read_head(reader)
            if head is not None:
                head.body, _ = await read_body(reader, head)
        finally:
            if sender is not None:
                sender.cancel()
        return head
    except (ConnectionError, asyncio.IncompleteReadError):
        return None
    finally:
        writer.close()


async def wait_listening(address: tuple[str, int], seconds: float = 10.0) -> None:
    """Wait until an address accepts connections.

    Raises:
        TimeoutError: If that takes too long.
    """
    async with asyncio.timeout(seconds):
        while True:
            try:
                _, writer = await asyncio.open_connection(*address)
            except OSError:
                await asyncio.sleep(0.02)
                continue
            writer.close()
            return


async def _send_chunks(
    writer: asyncio.StreamWriter, chunks: Iterable[tuple[float, bytes]]
) -> None:
    with suppress(ConnectionError):
        for pause, data in chunks:
            await asyncio.sleep(pause)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


@dataclass(frozen=True)
class Machine:
    """A machine's name and addresses."""

    name: str
    zone: str
    service: str
    outbound: tuple[str, int]
    ready: tuple[str, int]
    control: tuple[str, int]
    internal: tuple[str, int]
    app: tuple[str, int]


@dataclass(frozen=True)
class Place:
    """Where a machine stands, and the service beside its daemon."""

    zone: str
    service: str


class Fleet:
    """A store and daemons; ends all processes that it started."""

    def __init__(
        self, places: Iterable[Place], record: Record, **bounds: float
    ) -> None:
        """Prepare a fleet.

        Args:
            places: One for each machine.
            record: Where notes go.
            **bounds: Bounds that differ from those of the pages' example.
        """
        self.record = record
        self.store = Store()
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.machines: list[Machine] = []
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        places = list(places)
        self._zones = sorted({place.zone for place in places})
        self._bounds = bounds
        ports = iter(free_ports(1 + 6 * len(places)))
        self.store_address = (HOST, next(ports))
        for index, place in enumerate(places):
            addresses = [(HOST, next(ports)) for _ in range(5)]
            next(ports)
            name = f"sidecar-{place.zone}-{index}"
            self.machines.append(Machine(name, place.zone, place.service, *addresses))

    async def start(self, configuration: dict[str, Any]) -> None:
        """Start the store, write the first configuration and start all daemons."""
        await asyncio.start_server(self.store.serve, *self.store_address)
        self.store.put("config", "main", configuration)
        for machine in self.machines:
            self.write_settings(machine, machine.service)
            await self.start_daemon(machine)

    def write_settings(self, machine: Machine, service: str) -> None:
        """Write a machine's settings file, in one step."""
        bounds = {
            "StabilityWindowS": 3,
            "DrainS": 2,
            "GraceS": 6,
            "ConfigApplyS": 2,
            "RevokeS": 5,
            "RetryBudgetRatio": 0.2,
            "BudgetWindowS": 10,
            "BudgetMinRetries": 56,
            "EvacuationS": 5,
            "FloorShare": 0.7,
            **self._bounds,
        }
        listed = ",".join(f'"{name}={value}"' for name, value in bounds.items())
        zones = "\n".join(f'{zone} = "midlands"' for zone in self._zones)
        text = f"""
Node = "{machine.name}"
Role = "daemon"
NodeClass = "sidecar"
Serves = ["sidecar","control"]
Ip = "{machine.internal[0]}"
Zone = "{machine.zone}"
Region = "midlands"
InternalPorts = [{machine.internal[1]},{machine.internal[1]}]
Seeds = []
Bootstrap = true
BeatIntervalS = {BEAT_SECONDS}
Contracts = ["base","drain","config","retry","tenants","quota","places","platform"]
Bounds = [{listed},"RevokeStrict=true"]
AppAddr = "{_text(machine.app)}"
Service = "{service}"
[Zones]
{zones}
[Listen]
Inbound = "{_text(machine.app)}"
Outbound = "{_text(machine.outbound)}"
Ready = "{_text(machine.ready)}"
Control = "{_text(machine.control)}"
[Limits]
MemoryMb = 300
MaxFds = 4100
[Platform]
Address = "{_text(self.store_address)}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
"""
        path = self.settings_path(machine)
        draft = path.with_suffix(".draft")
        draft.write_text(text, encoding="utf-8")
        draft.replace(path)

    def settings_path(self, machine: Machine) -> Path:
        """Return the path of a machine's settings file."""
        return Path(self.folder.name) / f"{machine.name}.toml"

    def log_path(self, machine: Machine) -> Path:
        """Return the path of what a machine's daemon has logged."""
        return Path(self.folder.name) / f"{machine.name}.log"

    async def start_daemon(self, machine: Machine) -> None:
        """Start a machine's daemon with the command of the deploy file."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["BRAMLEYGLADE_BOOT"] = str(self.settings_path(machine))
        with self.log_path(machine).open("ab") as log:
            self.processes[machine.name] = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "bramleyglade_platform",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, seconds: float = 25.0) -> None:
        """Wait until every daemon is ready for a while.

        Raises:
            TimeoutError: If that takes too long.
        """
        waits_for = self.machines[0]
        try:
            async with asyncio.timeout(seconds):
                for waits_for in self.machines:
                    while not await self.is_ready(waits_for):
                        await asyncio.sleep(0.2)
        except TimeoutError:
            last_lines = self.log_path(waits_for).read_text().splitlines()[-8:]
            self.record.note(f"{waits_for.name} is not ready; its last lines:")
            for line in last_lines:
                self.record.note(line)
            raise

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a daemon whether it is ready."""
        try:
            async with asyncio.timeout(1.0):
                answer = await request(machine.ready, "GET", "/-/readiness", [])
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.status == 200

    async def stop(self) -> None:
        """End all daemons."""
        for process in self.processes.values():
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                await process.wait()
        self.folder.cleanup()


def _text(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


def run_script(play: Callable[[Record], Awaitable[int]], folder: Path) -> None:
    """Run a script and exit with its code; 2 if it fails to run."""
    record = Record(folder)
    try:
        code = asyncio.run(_run_with_limit(play, record))
    except Exception as error:
        record.note(f"could not run: {error!r}")
        code = NOT_RUN
    outcome = {HELD: "held", BROKEN: "BROKEN", NOT_RUN: "not run"}[code]
    record.note(f"outcome: {outcome}")
    print(outcome)
    sys.exit(code)


async def _run_with_limit(
    play: Callable[[Record], Awaitable[int]], record: Record
) -> int:
    async with asyncio.timeout(115):
        return await play(record)
