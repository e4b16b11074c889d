"""The server side of an HTTP/1.1 connection."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

import h11

from bramleyglade_adapters.fair_turns import FairTurns
from bramleyglade_adapters.http.wire import (
    MAX_HEAD_BYTES,
    RECEIVE_BYTES,
    first_header,
    headers_from_wire,
    headers_to_wire,
)
from bramleyglade_core.model.errors import BadRequest, ErrorCode
from bramleyglade_core.model.exchange import Header

if TYPE_CHECKING:
    from collections.abc import Iterable

    import curio
    from curio.io import Socket


_STATUSES_WITHOUT_BODY = frozenset({204, 304})

_FLUSH_BYTES = 262_144
"""Number of buffered bytes from which `must_flush` is true."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Request line and headers of a request."""

    method: str
    target: str
    """The request target exactly as received."""
    headers: tuple[Header, ...]
    has_body: bool

    @property
    def content_length(self) -> int | None:
        """Size of the body in bytes; None if its transfer encoding is chunked."""
        if not self.has_body:
            return 0
        length = self.header("content-length")
        return int(length) if length else None

    def header(self, name: str) -> str:
        """Return the value of the first header with a name, or an empty string."""
        return first_header(self.headers, name)


class ServerConnection:
    """Receives requests and sends answers; writes are buffered until a flush.

    One object can serve all requests of a connection, one after another. If requests
    are read before earlier ones are answered, each gets an object of its own, its
    predecessor's `successor`, and its answer waits for its turn.
    """

    def __init__(self, sock: Socket, turn: curio.Event | None = None) -> None:
        """Create an object for the first request of a connection, or for a later one.

        Args:
            sock: The connection.
            turn: Set once all earlier answers are sent; None for the first request.
        """
        self.sock = sock
        self._turn = turn
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._buffer = bytearray()
        self._is_broken = False
        self._is_head_request = False
        self._has_answer_body = True
        self._is_ended_by_close = False
        """Whether a caller takes the close of the connection for the answer's end."""
        self._has_ended = False
        self._may_have_trailers = True
        self._turns = FairTurns()
        self._body = bytearray()
        """Pieces of the body that were parsed and not returned yet."""
        self._following: object = None
        """Event, or error, that was parsed behind them."""

    @property
    def expects_continue(self) -> bool:
        """Whether the client waits for `100 Continue` before it sends the body."""
        return self._protocol.they_are_waiting_for_100_continue

    @property
    def can_answer(self) -> bool:
        """Whether no part of the final answer to this request has been written."""
        return self._protocol.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    @property
    def is_reusable(self) -> bool:
        """Whether another request may be received on the connection."""
        if self._is_broken:
            return False
        states = (self._protocol.our_state, self._protocol.their_state)
        return states == (h11.DONE, h11.DONE)

    @property
    def may_precede(self) -> bool:
        """Whether the request is read whole and another one may follow."""
        return not self._is_broken and self._protocol.their_state is h11.DONE

    @property
    def is_body_due(self) -> bool:
        """Whether a part of the request's body has not been read."""
        return self._protocol.their_state is h11.SEND_BODY

    @property
    def has_surplus(self) -> bool:
        """Whether bytes have been read that are not parsed yet."""
        return bool(self._protocol.trailing_data[0])

    def successor(self, turn: curio.Event | None = None) -> ServerConnection:
        """Return the object for the next request, with the bytes read beyond this one.

        Args:
            turn: Set once this and all earlier answers are sent; None if they are.
        """
        following = ServerConnection(self.sock, turn)
        data, _ = self._protocol.trailing_data
        if data:
            following.feed(data)
        return following

    def feed(self, data: bytes) -> None:
        """Add bytes that were read from the socket."""
        self._protocol.receive_data(data)

    def parse_request(self) -> RequestHead | None:
        """Return the head of the request, or None if more bytes are needed.

        Raises:
            BadRequest: If the data is not a valid HTTP request.
        """
        event = self._parse_event()
        return self._request_head(event) if isinstance(event, h11.Request) else None

    async def wait_turn(self) -> None:
        """Wait until the answers to all earlier requests are sent."""
        if self._turn is not None:
            await self._turn.wait()

    async def receive_request(self) -> RequestHead | None:
        """Wait for the head of the next request.

        Returns:
            The head, or None if the client has closed the connection.

        Raises:
            BadRequest: If the data is not a valid HTTP request.
        """
        if self._protocol.our_state is h11.DONE:
            self._protocol.start_next_cycle()
        event = await self._next_event()
        return self._request_head(event) if isinstance(event, h11.Request) else None

    def _request_head(self, event: h11.Request) -> RequestHead:
        headers = headers_from_wire(event.headers)
        names = {header.name for header in headers}
        if {"content-length", "transfer-encoding"} <= names:
            raise BadRequest(
                ErrorCode.BAD_REQUEST,
                "both content-length and transfer-encoding are given",
            )
        has_body = _has_body(headers)
        self._is_head_request = event.method == b"HEAD"
        if not has_body:
            # The end of the message is available at once; unless it is consumed,
            # the connection can't be reused.
            self._parse_event()
        return RequestHead(
            method=event.method.decode("ascii"),
            target=event.target.decode("latin-1"),
            headers=headers,
            has_body=has_body,
        )

    async def receive_body(self) -> bytes | None:
        """Wait for the next piece of the request's body.

        Returns:
            The piece, or None at the end of the body; trailers are discarded.

        Raises:
            BadRequest: If the body is malformed or incomplete.
        """
        while self._following is None and len(self._body) < RECEIVE_BYTES:
            if self._protocol.their_state is not h11.SEND_BODY:
                break
            await self._turns.step()
            event = self._try_parse_event()
            if isinstance(event, h11.Data):
                self._body += event.data
            elif event is not h11.NEED_DATA:
                self._following = event
            elif self._body:
                break
            else:
                self._protocol.receive_data(await self.sock.recv(RECEIVE_BYTES))
        if self._body:
            data, self._body = bytes(self._body), bytearray()
            return data
        event, self._following = self._following, None
        if isinstance(event, BadRequest):
            raise event
        if event is None or isinstance(event, h11.EndOfMessage):
            return None
        raise BadRequest(ErrorCode.BAD_REQUEST, "the request's body is incomplete")

    async def send_continue(self) -> None:
        """Send `100 Continue`, so that the client sends the body."""
        self._write(h11.InformationalResponse(status_code=100, headers=[]))
        await self.flush()

    def start_answer(self, status: int, headers: Iterable[Header]) -> None:
        """Buffer the head of the answer."""
        wire = headers_to_wire(headers)
        self._has_answer_body = (
            not self._is_head_request and status not in _STATUSES_WITHOUT_BODY
        )
        has_length = any(name == b"content-length" for name, _ in wire)
        is_chunked = not has_length and self._protocol.their_http_version != b"1.0"
        self._may_have_trailers = self._has_answer_body and is_chunked
        self._is_ended_by_close = (
            self._has_answer_body and not has_length and not is_chunked
        )
        if self._is_ended_by_close:
            self._set_reset_on_close(True)
        if 100 <= status < 200:
            self._write(h11.InformationalResponse(status_code=status, headers=wire))
        else:
            self._write(h11.Response(status_code=status, headers=wire))

    def continue_answer(self, data: bytes) -> None:
        """Buffer a piece of the answer's body, unless the answer has none.

        Answers to HEAD have the headers of an answer with a body, but not the body.
        """
        if self._has_answer_body:
            self._write(h11.Data(data=data))

    def end_answer(self, trailers: Iterable[Header] = ()) -> None:
        """Buffer the end of the answer; only one in chunks can have trailers."""
        kept = trailers if self._may_have_trailers else ()
        self._write(h11.EndOfMessage(headers=headers_to_wire(kept)))
        self._has_ended = True

    @property
    def must_flush(self) -> bool:
        """Whether the buffer is so large that it should be sent now."""
        return len(self._buffer) >= _FLUSH_BYTES

    async def flush(self) -> None:
        """Send the whole buffer in one write."""
        if self._buffer:
            await self.wait_turn()
            data, self._buffer = self._buffer, bytearray()
            self._is_broken = True  # A cancelled write may have been sent only in part.
            await self.sock.sendall(data)
            self._is_broken = False
        if self._has_ended and self._is_ended_by_close:
            self._set_reset_on_close(False)

    def _set_reset_on_close(self, is_reset: bool) -> None:
        """Choose how the kernel closes the socket, also if this process ends.

        A reset keeps a part of an answer from being taken for the whole.
        """
        linger = struct.pack("ii", is_reset, 0)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def _write(self, event: h11.Event) -> None:
        try:
            data = self._protocol.send(event)
        except h11.LocalProtocolError:
            self._is_broken = True
            raise
        if data:
            self._buffer += data

    async def _next_event(self) -> object:
        while (event := self._parse_event()) is h11.NEED_DATA:
            await self._turns.step()
            self._protocol.receive_data(await self.sock.recv(RECEIVE_BYTES))
        return event

    def _parse_event(self) -> object:
        event = self._try_parse_event()
        if isinstance(event, BadRequest):
            raise event
        return event

    def _try_parse_event(self) -> object:
        """Return the next event, or the error that the received bytes lead to."""
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            self._is_broken = True
            return BadRequest(ErrorCode.BAD_REQUEST, str(error))


def _has_body(headers: Iterable[Header]) -> bool:
    for header in headers:
        if header.name == "transfer-encoding":
            return True
        if header.name == "content-length":
            return header.value.strip() != "0"
    return False
