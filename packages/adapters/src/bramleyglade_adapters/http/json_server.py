"""An HTTP server with JSON answers, for all endpoints except the callers' one."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import curio

from bramleyglade_adapters.error_text import error_text
from bramleyglade_adapters.http.server_connection import RequestHead, ServerConnection
from bramleyglade_adapters.http.wire import disable_nagle
from bramleyglade_core.model.errors import BadRequest, ErrorCode
from bramleyglade_core.model.exchange import Header

if TYPE_CHECKING:
    from curio.io import Socket

_MAX_BODY_BYTES = 16_384
_REQUEST_TIMEOUT_SECONDS = 60.0
"""Timeout of the wait for a whole request, after which an idle connection closes."""

_LOG = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class JsonAnswer:
    """An answer with a JSON body."""

    status: int
    body: bytes = b"{}"


RequestHandler = Callable[[RequestHead, bytes], Awaitable[JsonAnswer]]
"""Function that answers a request, given its head and its whole body."""


class JsonServer:
    """Serves requests on each connection, one at a time."""

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler

    async def serve(self, sock: Socket, address: Any) -> None:
        """Serve a connection until it is closed, fails or is idle too long."""
        disable_nagle(sock)
        connection = ServerConnection(sock)
        try:
            while await self._serve_one(connection):
                pass
        except (OSError, BadRequest, curio.TaskTimeout) as error:
            _LOG.debug("ClientGone", extra={"why": error_text(error)})

    async def _serve_one(self, connection: ServerConnection) -> bool:
        async with curio.timeout_after(_REQUEST_TIMEOUT_SECONDS):
            head = await connection.receive_request()
            if head is None:
                return False
            body = await _read_body(connection)
        answer = await self._handler(head, body)
        headers = [
            Header("content-type", "application/json"),
            Header("content-length", str(len(answer.body))),
        ]
        connection.start_answer(answer.status, headers)
        connection.continue_answer(answer.body)
        connection.end_answer()
        await connection.flush()
        return connection.is_reusable


async def _read_body(connection: ServerConnection) -> bytes:
    pieces = bytearray()
    while (data := await connection.receive_body()) is not None:
        pieces += data
        if len(pieces) > _MAX_BODY_BYTES:
            raise BadRequest(ErrorCode.BODY_TOO_LARGE, "the body is too large")
    return bytes(pieces)
