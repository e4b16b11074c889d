"""Listening sockets, whose connections are served in a task each."""

from __future__ import annotations

import logging
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


async def accept_all(server_socket: Socket, serve: ConnectionHandler) -> None:
    """Accept connections until cancelled; open ones are not closed."""
    pause_seconds = _MIN_PAUSE_SECONDS
    async with server_socket:
        while True:
            try:
                sock, address = await server_socket.accept()
            except OSError as error:
                _LOG.warning("AcceptFailed", extra={"why": str(error)})
                await curio.sleep(pause_seconds)
                pause_seconds = min(2 * pause_seconds, _MAX_PAUSE_SECONDS)
                continue
            pause_seconds = _MIN_PAUSE_SECONDS
            await curio.spawn(_serve_one, sock, address, serve, daemon=True)


async def _serve_one(sock: Socket, address: Any, serve: ConnectionHandler) -> None:
    async with sock:
        await serve(sock, address)
