"""A long-lived link between two daemons that multiplexes many streams."""

from __future__ import annotations

import logging
from collections import Counter, deque
from typing import TYPE_CHECKING, Any, Protocol

import curio

from bramleyglade_adapters.error_text import error_text
from bramleyglade_adapters.fair_turns import FairTurns
from bramleyglade_adapters.http.wire import RECEIVE_BYTES
from bramleyglade_adapters.link.codec import (
    LENGTH_BYTES,
    Envelope,
    decode,
    encode,
    length_of,
)
from bramleyglade_core.model.errors import BadInput, ErrorCode, FleetError
from bramleyglade_core.model.peer_messages import LOWEST_PROTOCOL_VERSION, HelloSaid

if TYPE_CHECKING:
    from curio.io import Socket

MAX_UNSENT_BYTES = 16_777_216
"""Size of the send queue, in bytes, above which the link is closed."""

_ONE_WAY_STREAM = 0
"""Number that no stream has; each side numbers those that it opens from 1."""

_HANDSHAKE_TIMEOUT_SECONDS = 2.0
"""Timeout of the wait for the peer's first message."""

_LOG = logging.getLogger(__name__)


class LinkLost(FleetError):
    """The link is lost or a call timed out; the outcome of pending work is unknown."""


class Receiver(Protocol):
    """The receiving end of a stream."""

    async def deliver(self, message: Any) -> None:
        """Handle a message; must not block for long."""

    async def handle_link_loss(self) -> None:
        """Handle the loss of the link."""


class LinkHandler(Protocol):
    """Handles the messages that open a stream."""

    async def handle(self, link: Link, stream: int, message: Any) -> None:
        """Handle the first message of a stream; must not block for long.

        Late messages on a stream that this side has released arrive here too.
        """


class _ReplyReceiver:
    """Receives the single answer to a call; None if the link is lost."""

    def __init__(self) -> None:
        self._queue = curio.Queue()

    async def deliver(self, message: Any) -> None:
        await self._queue.put(message)

    async def handle_link_loss(self) -> None:
        await self._queue.put(None)

    async def receive(self) -> Any:
        return await self._queue.get()


class Link:
    """Sends messages to one peer and dispatches messages from it.

    Each side numbers the streams that it opens. Messages to the side that opened a
    stream are marked as answers, so equal numbers of both sides do not conflict.
    """

    def __init__(self, sock: Socket, handler: LinkHandler) -> None:
        self._sock = sock
        self._handler = handler
        self._last_stream = 0
        self._opened_by_stream: dict[int, Receiver] = {}
        self._accepted_by_stream: dict[int, Receiver] = {}
        self._unsent: deque[bytes] = deque()
        self._unsent_bytes = 0
        self._has_unsent = curio.Event()
        self._is_closed = False
        self._closed = curio.Event()
        self.peer: HelloSaid | None = None
        """The peer's first message; None before the handshake."""
        self.received_count = 0
        """Messages received since the handshake."""
        self.sent_bytes_by_kind: Counter[str] = Counter()
        """Bytes queued to be sent by kind of message; links may share a counter."""

    @property
    def is_open(self) -> bool:
        """Whether the handshake is complete and the link is not closed."""
        return not self._is_closed and self.peer is not None

    @property
    def stream_count(self) -> int:
        """Number of open streams, in both directions."""
        return len(self._opened_by_stream) + len(self._accepted_by_stream)

    async def handshake(self, hello: HelloSaid) -> HelloSaid:
        """Exchange the first messages.

        Args:
            hello: This daemon's first message.

        Returns:
            The peer's first message.

        Raises:
            BadInput: If the peer's message is malformed or its protocol version is
                not supported.
            LinkLost: If the link breaks before the peer's message arrives, or the
                handshake times out.
            OSError: If this daemon's message can't be sent.
        """
        await self._sock.sendall(encode(Envelope(0, False, hello)))
        buffer = bytearray()
        try:
            async with curio.timeout_after(_HANDSHAKE_TIMEOUT_SECONDS):
                envelope = await self._receive_one(buffer)
        except (OSError, curio.TaskTimeout) as error:
            raise LinkLost(
                ErrorCode.PEER_LOST, f"handshake failed: {error_text(error)}"
            ) from None
        peer_hello = envelope.message
        if (
            not isinstance(peer_hello, HelloSaid)
            or peer_hello.version < LOWEST_PROTOCOL_VERSION
        ):
            raise BadInput(ErrorCode.BAD_PEER_MESSAGE, "unsupported peer protocol")
        self.peer = peer_hello
        self._buffer = buffer
        return peer_hello

    async def run(self) -> None:
        """Read and write until the link closes; requires a completed `handshake`."""
        writer = await curio.spawn(self._write)
        try:
            await self._read(self._buffer)
        except (OSError, BadInput) as error:
            _LOG.info("LinkBroken", extra={"peer": self.peer_name, "why": str(error)})
        finally:
            self._is_closed = True
            await self._closed.set()
            await writer.cancel()
            await self._sock.close()
            await self._notify_receivers_of_loss()

    async def close(self) -> None:
        """Close the link; `run` ends soon after."""
        self._is_closed = True
        await self._closed.set()
        try:
            await self._sock.shutdown(2)
        except OSError as error:
            _LOG.debug("LinkGone", extra={"peer": self.peer_name, "why": str(error)})

    async def wait_closed(self, seconds: float) -> None:
        """Wait until the link is closed, for a number of seconds at most."""
        await curio.ignore_after(seconds, self._closed.wait)

    def open_stream(self, receiver: Receiver) -> int:
        """Open a stream on this side.

        Args:
            receiver: Receives the answers on the stream.

        Returns:
            The number of the stream.

        Raises:
            LinkLost: If the link is not open; nothing is sent then.
        """
        if not self.is_open:
            raise LinkLost(ErrorCode.PEER_LOST, "no link to the peer")
        self._last_stream += 1
        self._opened_by_stream[self._last_stream] = receiver
        return self._last_stream

    def close_stream(self, stream: int) -> None:
        """Close a stream opened by this side; late messages on it are dropped."""
        self._opened_by_stream.pop(stream, None)

    def accept_stream(self, stream: int, receiver: Receiver) -> None:
        """Receive further messages on a stream opened by the peer."""
        self._accepted_by_stream[stream] = receiver

    def release_stream(self, stream: int) -> None:
        """Stop receiving on a stream of the peer's; late messages go to the handler."""
        self._accepted_by_stream.pop(stream, None)

    async def post(self, stream: int, is_answer: bool, message: Any) -> None:
        """Queue a message; queued messages are sent in one write.

        Raises:
            LinkLost: If the link is closed or the send queue is full.
        """
        if self._is_closed:
            raise LinkLost(ErrorCode.PEER_LOST, "no link to the peer")
        data = encode(Envelope(stream, is_answer, message))
        await self._queue_bytes(data, type(message).__name__)

    async def _queue_bytes(self, data: bytes, kind: str) -> None:
        if self._is_closed:
            raise LinkLost(ErrorCode.PEER_LOST, "no link to the peer")
        self.sent_bytes_by_kind[kind] += len(data)
        self._unsent.append(data)
        self._unsent_bytes += len(data)
        if self._unsent_bytes > MAX_UNSENT_BYTES:
            await self.close()
            raise LinkLost(
                ErrorCode.PEER_LOST, "send queue full, the peer does not read"
            )
        await self._has_unsent.set()

    async def send_encoded(self, data: bytes, kind: str) -> None:
        """Send an encoded one-way message; drop it if the link is lost.

        Args:
            data: The message, from `encode_one_way`.
            kind: Name of the message's class.
        """
        try:
            await self._queue_bytes(data, kind)
        except LinkLost as error:
            _LOG.debug("MessageLost", extra={"why": error.detail})

    async def send_one_way(self, message: Any) -> None:
        """Send a message that needs no answer; drop it if the link is lost."""
        self._last_stream += 1
        try:
            await self.post(self._last_stream, False, message)
        except LinkLost as error:
            extra = {"kind": type(message).__name__, "why": error.detail}
            _LOG.debug("MessageLost", extra=extra)

    async def call(self, message: Any, timeout_seconds: float) -> Any:
        """Send a message and wait for its answer.

        Args:
            message: The message.
            timeout_seconds: Longest wait for the answer.

        Returns:
            The answer.

        Raises:
            LinkLost: If the link is lost or the call times out.
        """
        reply = _ReplyReceiver()
        stream = self.open_stream(reply)
        try:
            await self.post(stream, False, message)
            async with curio.timeout_after(timeout_seconds):
                answer = await reply.receive()
        except curio.TaskTimeout:
            raise LinkLost(ErrorCode.PEER_LOST, "call timed out") from None
        finally:
            self.close_stream(stream)
        if answer is None:
            raise LinkLost(ErrorCode.PEER_LOST, "the link was lost")
        return answer

    @property
    def peer_name(self) -> str:
        """Name of the peer's daemon; `unknown` before the handshake."""
        return self.peer.daemon.name if self.peer else "unknown"

    async def _write(self) -> None:
        try:
            while True:
                await self._has_unsent.wait()
                self._has_unsent.clear()
                data = b"".join(self._unsent)
                self._unsent.clear()
                self._unsent_bytes = 0
                await self._sock.sendall(data)
        except OSError:
            await self.close()

    async def _read(self, buffer: bytearray) -> None:
        turns = FairTurns()
        while not self._is_closed:
            await turns.step()
            envelope = await self._receive_one(buffer)
            self.received_count += 1
            receivers = self._accepted_by_stream
            if envelope.is_answer:
                receivers = self._opened_by_stream
            receiver = receivers.get(envelope.stream)
            if receiver is not None:
                await receiver.deliver(envelope.message)
            elif not envelope.is_answer:
                await self._handler.handle(self, envelope.stream, envelope.message)

    async def _receive_one(self, buffer: bytearray) -> Envelope:
        await self._fill(buffer, LENGTH_BYTES)
        length = length_of(bytes(buffer[:LENGTH_BYTES]))
        await self._fill(buffer, LENGTH_BYTES + length)
        data = bytes(memoryview(buffer)[LENGTH_BYTES : LENGTH_BYTES + length])
        del buffer[: LENGTH_BYTES + length]
        return decode(data)

    async def _fill(self, buffer: bytearray, size: int) -> None:
        while len(buffer) < size:
            data = await self._sock.recv(RECEIVE_BYTES)
            if not data:
                raise ConnectionResetError("the peer closed the link")
            buffer += data

    async def _notify_receivers_of_loss(self) -> None:
        receivers = [
            *self._opened_by_stream.values(),
            *self._accepted_by_stream.values(),
        ]
        self._opened_by_stream.clear()
        self._accepted_by_stream.clear()
        for receiver in receivers:
            await receiver.handle_link_loss()


def encode_one_way(message: Any) -> bytes:
    """Encode a message that needs no answer, to be sent over several links."""
    return encode(Envelope(_ONE_WAY_STREAM, False, message))
