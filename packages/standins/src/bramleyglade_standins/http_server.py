"""A small HTTP server for stand-ins, which calls a handler with each request."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio

from bramleyglade_adapters.http.server_connection import RequestHead, ServerConnection
from bramleyglade_adapters.http.wire import disable_nagle
from bramleyglade_core.model.errors import BadRequest
from bramleyglade_core.model.exchange import Header

if TYPE_CHECKING:
    from curio.io import Socket

    from bramleyglade_core.model.identifiers import Address


@dataclass(frozen=True, slots=True)
class StandInRequest:
    """A request with its complete body."""

    head: RequestHead
    body: bytes


@dataclass(frozen=True, slots=True)
class StandInAnswer:
    """An answer; if `is_lost`, the connection is closed instead of sending it."""

    status: int
    body: bytes = b""
    headers: tuple[Header, ...] = ()
    is_lost: bool = False
    declared_length: int | None = None
    """Content-Length of an answer to truncate; None for the actual length."""


Handler = Callable[[StandInRequest], Awaitable[StandInAnswer]]


async def listen(address: Address, handler: Handler) -> curio.Task:
    """Start a server, which runs until its task is cancelled.

    Args:
        address: Where to listen.
        handler: Answers each request.

    Returns:
        The task of the server.
    """

    async def serve(sock: Socket, _: Any) -> None:
        disable_nagle(sock)
        connection = ServerConnection(sock)
        try:
            while await _serve_one(connection, handler):
                pass
        except (OSError, BadRequest):
            return

    sock = curio.tcp_server_socket(address.host, address.port, backlog=512)
    return await curio.spawn(curio.network.run_server, sock, serve, None, daemon=True)


async def _serve_one(connection: ServerConnection, handler: Handler) -> bool:
    head = await connection.receive_request()
    if head is None:
        return False
    if connection.expects_continue:
        await connection.send_continue()
    body = bytearray()
    while (data := await connection.receive_body()) is not None:
        body += data
    answer = await handler(StandInRequest(head, bytes(body)))
    if answer.is_lost:
        return False
    length = answer.declared_length
    headers = [
        Header("content-length", str(len(answer.body) if length is None else length)),
        *answer.headers,
    ]
    connection.start_answer(answer.status, headers)
    if head.method != "HEAD":
        connection.continue_answer(answer.body)
    if length is not None:
        await connection.flush()
        return False
    connection.end_answer()
    await connection.flush()
    return connection.is_reusable
