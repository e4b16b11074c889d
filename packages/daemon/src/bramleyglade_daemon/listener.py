"""Listening sockets, whose connections are served in a task each."""

from __future__ import annotations

import logging
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import curio
from curio.io import Socket

from bramleyglade_core.model.identifiers import Address

_MIN_PAUSE_SECONDS = 0.005
_MAX_PAUSE_SECONDS = 0.2
"""Pause after a failed accept; it doubles while they fail. At the descriptor limit,
accept fails at once until a connection is closed."""

_LOG = logging.getLogger(__name__)

ConnectionHandler = Callable[[Socket, Any], Awaitable[None]]
"""Serves one connection until it ends."""


@dataclass(frozen=True, slots=True)
class Listener:
    """An address to listen on and the handler of its connections."""

    address: Address
    serve: ConnectionHandler


async def accept_all(
    server_socket: Socket, serve: ConnectionHandler, max_open: int | None = None
) -> None:
    """Accept connections until cancelled; open ones are not closed.

    Args:
        server_socket: The listening socket.
        serve: Serves each connection.
        max_open: Number of open connections at which no more are accepted; None for no
            limit.
    """
    places = curio.Semaphore(max_open or sys.maxsize)
    pause_seconds = _MIN_PAUSE_SECONDS
    async with server_socket:
        while True:
            await places.acquire()
            try:
                sock, address = await server_socket.accept()
            except OSError as error:
                await places.release()
                _LOG.warning("AcceptFailed", extra={"why": str(error)})
                await curio.sleep(pause_seconds)
                pause_seconds = min(2 * pause_seconds, _MAX_PAUSE_SECONDS)
                continue
            pause_seconds = _MIN_PAUSE_SECONDS
            await curio.spawn(_serve_one, sock, address, serve, places, daemon=True)


async def _serve_one(
    sock: Socket, address: Any, serve: ConnectionHandler, places: curio.Semaphore
) -> None:
    try:
        async with sock:
            await serve(sock, address)
    finally:
        await places.release()
