"""An HTTP client for whole requests and answers over one persistent connection."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.error_text import error_text
from bramleyglade_adapters.http.client_connection import AnswerBroken, ClientConnection
from bramleyglade_adapters.http.wire import first_header
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerStarted,
    Header,
)
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from bramleyglade_core.model.identifiers import Address


_MAX_BODY_BYTES = 16_777_216
"""Maximum size of an answer's body. Listings of the store take a few megabytes."""


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer: status, headers and body."""

    status: int
    headers: tuple[Header, ...]
    body: bytes

    def header(self, name: str) -> str:
        """Return the value of the first header with a name, or an empty string."""
        return first_header(self.headers, name)


class RequestNotSent(Exception):
    """No connection could be opened, so the server has not received the request."""


class AnswerLost(Exception):
    """The server may have received the request, but no complete answer arrived."""


class SimpleClient:
    """Sends one request at a time to one address."""

    def __init__(self, address: Address, host: str = "") -> None:
        """Create a client, which connects on first use.

        Args:
            address: Address of the server.
            host: Value of the Host header; the address if empty.
        """
        self._address = address
        self._host = host or str(address)
        self._connection: ClientConnection | None = None
        self._lock = curio.Lock()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[Header, ...] = (),
        timeout_seconds: float = 5.0,
    ) -> WholeAnswer:
        """Send a request and wait for the complete answer.

        Args:
            method: HTTP method.
            target: Path and query.
            body: The body; may be empty.
            headers: Headers to send in addition to Host and Content-Length.
            timeout_seconds: Timeout for connecting, and again for the exchange.

        Returns:
            The answer.

        Raises:
            RequestNotSent: If no byte of the request was sent.
            AnswerLost: If the exchange failed or timed out after that.
        """
        async with self._lock:
            connection = await self._take_connection(timeout_seconds)
            try:
                async with curio.timeout_after(timeout_seconds):
                    answer = await self._exchange(
                        connection, method, target, body, headers
                    )
            except (OSError, AnswerBroken, curio.TaskTimeout) as error:
                await connection.close()
                raise AnswerLost(error_text(error)) from None
            except curio.CancelledError:
                await connection.close()
                raise
            if connection.finish_exchange():
                self._connection = connection
            else:
                await connection.close()
            return answer

    async def close(self) -> None:
        """Close the connection, if one is open."""
        if self._connection is not None:
            await self._connection.close()
            self._connection = None

    async def _take_connection(self, timeout_seconds: float) -> ClientConnection:
        connection, self._connection = self._connection, None
        if connection is not None:
            if connection.is_usable():
                return connection
            await connection.close()
        try:
            return await ClientConnection.open(self._address, timeout_seconds)
        except (OSError, curio.TaskTimeout) as error:
            raise RequestNotSent(error_text(error)) from None

    async def _exchange(
        self,
        connection: ClientConnection,
        method: str,
        target: str,
        body: bytes,
        headers: tuple[Header, ...],
    ) -> WholeAnswer:
        head = (
            Header("host", self._host),
            Header("content-length", str(len(body))),
            *headers,
        )
        await connection.send_head(method, target, head, has_body=bool(body))
        if body:
            await connection.send_body(body)
            await connection.end_body()
        started = await connection.receive()
        assert isinstance(started, AnswerStarted)
        received = bytearray()
        while isinstance(part := await connection.receive(), AnswerContinued):
            received += part.data
            if len(received) > _MAX_BODY_BYTES:
                detail = f"more than {_MAX_BODY_BYTES} bytes of body"
                code = ErrorCode.ANSWER_MALFORMED
                raise AnswerBroken(code, detail, Verdict.MAY_HAVE_RUN)
        return WholeAnswer(started.status, started.headers, bytes(received))
