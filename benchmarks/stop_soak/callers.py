"""Callers that keep a connection to their daemon and send each request once."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import curio

if TYPE_CHECKING:
    from curio.io import Socket

    from bramleyglade_core.model.identifiers import Address

_RECONNECT_SECONDS = 0.2
_PATIENCE_SECONDS = 2.0
"""Wait beyond a request's timeout for its answer."""

_UPLOAD_PIECES = 5


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request."""

    method: str
    path: str
    timeout_seconds: float
    body_bytes: tuple[int, ...] = (0,)


GET = Kind("GET", "/open/songs", 2.0)
KEYED_GET = Kind("GET", "/keyed/songs", 2.0)
POST = Kind("POST", "/open/songs", 4.0, (20, 900))
KEYED_POST = Kind("POST", "/keyed/songs", 4.0, (20, 900))
UPLOAD = Kind("POST", "/open/files", 4.0, (60_000, 300_000))
SINGLES = (*[GET] * 4, *[POST] * 3, KEYED_GET, KEYED_POST, UPLOAD)
PAIRS = ((GET, GET), (GET, POST), (POST, GET), (POST, POST), (KEYED_POST, KEYED_POST))


@dataclass(frozen=True, slots=True)
class Call:
    """One request and what its caller received."""

    request_id: str
    kind: Kind
    daemon: int
    is_second: bool
    """Whether it was sent in one packet behind another one."""
    sent_at: float = 0.0
    """When its last byte was written; 0 if the connection broke before."""
    ended_at: float = 0.0
    status: int = 0
    """Status of the answer; 0 if there is none."""
    code: str = ""
    """The daemon's code, or how a request without an answer ended."""


class Caller:
    """Keeps one connection to one daemon, and reconnects once it is closed."""

    def __init__(
        self, name: str, daemon: int, address: Address, pause: float, pair_share: float
    ) -> None:
        self.calls: list[Call] = []
        self._name = name
        self._random = random.Random(name)
        self._daemon = daemon
        self._address = address
        self._pause = pause
        self._pair_share = pair_share
        self._received = b""

    async def run(self, ends_at: float) -> None:
        """Call until a time."""
        while time.time() < ends_at:
            self._received = b""
            try:
                sock = await curio.open_connection(
                    self._address.host, self._address.port
                )
                async with sock:
                    while await self._call(sock, ends_at):
                        pass
            except OSError:
                await curio.sleep(_RECONNECT_SECONDS)

    async def _call(self, sock: Socket, ends_at: float) -> bool:
        """Send one or two requests; return whether the connection can be used on."""
        pause = self._random.expovariate(1.0 / self._pause)
        pause = max(0.0, min(pause, ends_at - time.time()))
        if await curio.ignore_after(pause, sock.recv, 1) is not None:
            return False  # The daemon has closed the connection.
        if time.time() >= ends_at:
            return False
        is_open = True
        for call in await self._send(sock, self._draw_calls()):
            status, code = 0, "closed after the answer before"
            if is_open:
                status, code, is_open = await self._receive(sock, call)
            ended = replace(call, ended_at=time.time(), status=status, code=code)
            self.calls.append(ended)
        return is_open

    def _draw_calls(self) -> list[Call]:
        kinds: tuple[Kind, ...] = (self._random.choice(SINGLES),)
        if self._random.random() < self._pair_share:
            kinds = self._random.choice(PAIRS)
        first = len(self.calls)
        return [
            Call(f"{self._name}-{first + i}", kind, self._daemon, is_second=i > 0)
            for i, kind in enumerate(kinds)
        ]

    async def _send(self, sock: Socket, calls: list[Call]) -> list[Call]:
        data = b"".join(self._encode(call) for call in calls)
        pieces = _UPLOAD_PIECES if calls[0].kind is UPLOAD else 1
        size = -(-len(data) // pieces)
        try:
            for start in range(0, len(data), size):
                await sock.sendall(data[start : start + size])
                if pieces > 1:
                    await curio.sleep(self._random.uniform(0.0, 0.05))
        except OSError:
            return calls
        return [replace(call, sent_at=time.time()) for call in calls]

    def _encode(self, call: Call) -> bytes:
        body = b"b" * self._random.choice(call.kind.body_bytes)
        head = (
            f"{call.kind.method} {call.kind.path} HTTP/1.1\r\nhost: fleet\r\n"
            f"x-request-id: {call.request_id}\r\nx-api-key: key-of-studio\r\n"
            f"content-length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    async def _receive(self, sock: Socket, call: Call) -> tuple[int, str, bool]:
        """Return the status, the code and whether the connection can be used on."""
        seconds = call.kind.timeout_seconds + _PATIENCE_SECONDS
        try:
            async with curio.timeout_after(seconds):
                status, headers = await self._receive_answer(sock)
        except (OSError, curio.TaskTimeout) as error:
            return 0, f"{type(error).__name__} {error}", False
        is_own = headers.get("x-request-id", call.request_id) == call.request_id
        code = headers.get("x-fleet-code", "") if is_own else "wrong"
        return status, code, headers.get("connection") != "close"

    async def _receive_answer(self, sock: Socket) -> tuple[int, dict[str, str]]:
        while b"\r\n\r\n" not in self._received:
            await self._receive_more(sock)
        head, _, self._received = self._received.partition(b"\r\n\r\n")
        status_line, *lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines)
        length = int(headers["content-length"])
        while len(self._received) < length:
            await self._receive_more(sock)
        self._received = self._received[length:]
        return int(status_line.split()[1]), headers

    async def _receive_more(self, sock: Socket) -> None:
        data = await sock.recv(65_536)
        if not data:
            raise ConnectionAbortedError("the connection ended")
        self._received += data
