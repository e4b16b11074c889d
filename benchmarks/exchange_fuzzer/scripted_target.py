"""A target that answers each request as a script says, and keeps what it got."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import curio

from benchmarks.exchange_fuzzer.conversations import (
    Answered,
    AnsweredEarly,
    Cut,
    Rejected,
    Script,
    Unframed,
)
from bramleyglade_adapters.http.server_connection import (
    RequestHead,
    ServerConnection,
)
from bramleyglade_core.model.errors import BadRequest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from curio.io import Socket

ANSWER_BODY = b"the answer to "
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached a target."""

    request_id: str
    head: RequestHead
    body: bytes
    is_whole: bool
    has_run: bool
    """False if the target stated that it did not run the request."""


class ScriptedTarget:
    """Uses scripts in turn; once they are used up it answers without any trouble."""

    def __init__(self) -> None:
        self.scripts: list[Script] = []
        self.arrivals: list[Arrival] = []

    def play(self, scripts: Sequence[Script]) -> None:
        """Begin a conversation."""
        self.scripts = list(scripts)
        self.arrivals = []

    async def serve(self, sock: Socket, _: Any) -> None:
        """Serve one connection."""
        async with sock:
            connection = ServerConnection(sock)
            try:
                while (head := await connection.receive_request()) is not None:
                    script = self.scripts.pop(0) if self.scripts else Answered()
                    exchange = _Exchange(self, sock, connection, head)
                    if not await _respond(script, exchange):
                        return
                    connection = connection.successor()
            except (OSError, BadRequest):
                return


class _Exchange:
    def __init__(
        self,
        target: ScriptedTarget,
        sock: Socket,
        connection: ServerConnection,
        head: RequestHead,
    ) -> None:
        self.target = target
        self.sock = sock
        self.connection = connection
        self.head = head
        self.body = bytearray()
        self.is_whole = False

    @property
    def request_id(self) -> str:
        return self.head.header("attempt-id")

    async def read(self, share: float = 1.0) -> None:
        """Read a share of the body, by the size that the caller states in a header."""
        wanted = share * float(self.head.header("x-body-bytes") or 0)
        while not self.is_whole and (share >= 1.0 or len(self.body) < wanted):
            piece = await self.connection.receive_body()
            self.is_whole = piece is None
            self.body += piece or b""

    def note(self, has_run: bool) -> None:
        arrival = Arrival(
            self.request_id, self.head, bytes(self.body), self.is_whole, has_run
        )
        self.target.arrivals.append(arrival)

    def answer(self, script: Answered) -> bytes:
        """Return the bytes of an answer."""
        body = ANSWER_BODY + self.request_id.encode()
        has_body = self.head.method != "HEAD" and script.status not in (204, 304)
        lines = [
            f"HTTP/1.1 {script.status:03} Answer",
            f"Attempt-Id: {self.request_id}",
        ]
        lines.append("Server-Seal: s")
        if script.status != 204 and (not script.is_chunked or script.names_length_too):
            overridden = 2 if script.is_chunked else 0
            lines.append(f"Content-Length: {len(body) + overridden}")
        if script.status != 204 and script.is_chunked:
            lines.append("Transfer-Encoding: chunked")
        data = "\r\n".join([*lines, "", ""]).encode()
        if not has_body:
            return data
        if not script.is_chunked:
            return data + body
        trailer = b"x-sum: 1\r\n" if script.has_trailers else b""
        return data + b"%x\r\n%s\r\n0\r\n%s\r\n" % (len(body), body, trailer)


@singledispatch
async def _respond(script: Script, exchange: _Exchange) -> bool:
    """Answer a request; return whether the connection is kept."""
    raise TypeError(f"unknown script {script!r}")


@_respond.register
async def _(script: Answered, exchange: _Exchange) -> bool:
    await exchange.read()
    exchange.note(has_run=True)
    informational = b"HTTP/1.1 103 Early Hints\r\n\r\n" * script.informational
    answer = exchange.answer(script)
    await exchange.sock.sendall(informational + answer * (1 + script.is_repeated))
    return not script.is_repeated


@_respond.register
async def _(script: Rejected, exchange: _Exchange) -> bool:
    await exchange.read(script.body_share)
    exchange.note(has_run=False)
    head = f"HTTP/1.1 503 Busy\r\nAttempt-Id: {exchange.request_id}\r\n"
    head += "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    await exchange.sock.sendall(head.encode())
    await exchange.read()  # Unread bytes would reset the connection.
    return True


@_respond.register
async def _(script: AnsweredEarly, exchange: _Exchange) -> bool:
    await exchange.read(script.body_share)
    exchange.note(has_run=True)
    await exchange.sock.sendall(exchange.answer(Answered()))
    await curio.sleep(0.01)
    await exchange.read()
    return True


@_respond.register
async def _(script: Cut, exchange: _Exchange) -> bool:
    await exchange.read()
    exchange.note(has_run=True)
    data = exchange.answer(Answered())
    await exchange.sock.sendall(data[: int(script.share * (len(data) - 1))])
    if script.share > 0.5:
        exchange.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return False


@_respond.register
async def _(script: Unframed, exchange: _Exchange) -> bool:
    await exchange.read(script.body_share)
    exchange.note(has_run=True)
    head, _, body = exchange.answer(Answered()).partition(b"\r\n\r\n")
    lines = [line for line in head.split(b"\r\n") if b"Content-Length" not in line]
    data = b"\r\n".join([*lines, b"", body])
    if script.reset_share is None:
        await exchange.sock.sendall(data)
        return False
    await exchange.sock.sendall(data[: int(script.reset_share * (len(data) - 1))])
    await curio.sleep(script.pause_seconds)
    exchange.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return False
