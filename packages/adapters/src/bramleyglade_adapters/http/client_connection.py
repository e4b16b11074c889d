"""The client side of an HTTP/1.1 connection."""

from __future__ import annotations

from typing import TYPE_CHECKING, Union

import h11

from bramleyglade_adapters.fair_turns import FairTurns
from bramleyglade_adapters.http.wire import (
    MAX_HEAD_BYTES,
    RECEIVE_BYTES,
    connect,
    headers_from_wire,
    headers_to_wire,
    is_readable_now,
    sending_fault,
)
from bramleyglade_core.model.errors import ErrorCode, FleetError
from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEnded,
    AnswerStarted,
)
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from curio.io import Socket

    from bramleyglade_core.model.exchange import Header
    from bramleyglade_core.model.identifiers import Address

_MAX_INFORMATIONAL_ANSWERS = 32
"""Maximum number of 1xx answers to skip; servers send one or two (RFC 9110, 15.2).
Reading bytes that have already arrived does not yield to other tasks, so an endless
series would block them all."""

AnswerPart = Union[AnswerStarted, AnswerContinued, AnswerEnded]


class AnswerBroken(FleetError):
    """The answer is malformed or incomplete."""


class ClientConnection:
    """Sends requests and receives answers, one exchange at a time."""

    def __init__(self, sock: Socket) -> None:
        self._sock = sock
        self._protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._turns = FairTurns()
        self._following: object = None
        """Event, or error, that was parsed behind the last piece of a body."""
        self._has_unsent = False
        """Whether a write was begun and has not ended, or was cancelled."""
        self._fault = ""
        """Error that a write was told of, which no later read is told."""
        self._unwritten: int | None = None
        """Bytes left of a body with a length; None for one in chunks."""
        self.is_first_exchange = True
        """Whether no exchange on this connection has been finished yet."""

    @classmethod
    async def open(cls, address: Address, timeout_seconds: float) -> ClientConnection:
        """Open a connection.

        Raises:
            OSError: If the connection is refused or the address can't be reached.
            curio.TaskTimeout: If the timeout expires.
        """
        return cls(await connect(address, timeout_seconds))

    async def send_head(
        self, method: str, target: str, headers: Iterable[Header], has_body: bool
    ) -> None:
        """Send the head of a request, or the whole request if it has no body.

        Raises:
            OSError: If the connection breaks.
        """
        request = h11.Request(
            method=method.encode("ascii"),
            target=target.encode("ascii"),
            headers=headers_to_wire(headers),
        )
        self._unwritten = _body_length(request)
        data = self._protocol.send(request) or b""
        if not has_body:
            data += self._protocol.send(h11.EndOfMessage()) or b""
        await self._send(data)

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the request's body."""
        if self._unwritten is not None:
            self._unwritten -= len(data)
        await self._send(self._protocol.send(h11.Data(data=data)) or b"")

    async def end_body(self) -> None:
        """Send the end of the request's body."""
        data = self._protocol.send(h11.EndOfMessage())
        if data:
            await self._send(data)

    async def _send(self, data: bytes) -> None:
        self._has_unsent = True
        try:
            await self._sock.sendall(data)
        except OSError as error:
            self._fault = str(error)
            raise
        self._has_unsent = False

    async def receive(self) -> AnswerPart:
        """Wait for the next part of the answer; 1xx answers are skipped.

        Raises:
            AnswerBroken: If the answer is malformed or incomplete.
            OSError: If the connection breaks.
        """
        for _ in range(_MAX_INFORMATIONAL_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Data):
                return AnswerContinued(await self._join_body(event))
            part = _to_answer_part(event)
            if part is not None:
                return part
        raise AnswerBroken(
            ErrorCode.ANSWER_MALFORMED,
            f"more than {_MAX_INFORMATIONAL_ANSWERS} informational answers",
            Verdict.MAY_HAVE_RUN,
        )

    def finish_exchange(self) -> bool:
        """Prepare the connection for another exchange.

        Returns:
            False if the connection can't be used again.
        """
        states = (self._protocol.our_state, self._protocol.their_state)
        if states != (h11.DONE, h11.DONE) or self._has_unsent:
            return False
        left_over, is_closed = self._protocol.trailing_data
        if left_over or is_closed:
            return False
        self._protocol.start_next_cycle()
        self.is_first_exchange = False
        return True

    def is_usable(self) -> bool:
        """Check that the idle connection has no unexpected data and is still open."""
        return not is_readable_now(self._sock)

    async def close(self) -> None:
        """Close the connection."""
        await self._sock.close()

    async def _next_event(self) -> object:
        event, self._following = self._following, None
        while event is None or event is h11.NEED_DATA:
            await self._turns.step()
            event = self._parse_event()
            if event is h11.NEED_DATA:
                data = await self._sock.recv(RECEIVE_BYTES)
                if not data:
                    self._check_end()
                self._protocol.receive_data(data)
        if isinstance(event, AnswerBroken):
            raise event
        return event

    def _check_end(self) -> None:
        """Check that the end of the stream can be the end of a body without a length.

        Raises:
            AnswerBroken: If the other direction of the connection says otherwise.
        """
        # A target knows the end of a body with a length before `end_body` is called.
        is_body_due = self._protocol.our_state is h11.SEND_BODY
        is_written = not is_body_due or self._unwritten == 0
        fault = self._fault or sending_fault(self._sock)
        if not fault and (self._has_unsent or not is_written):
            fault = "the request's body was not written to its end"
        if fault:
            raise AnswerBroken(
                ErrorCode.ANSWER_TRUNCATED,
                f"the connection ended within the exchange: {fault}",
                Verdict.MAY_HAVE_RUN,
            )

    async def _join_body(self, first: h11.Data) -> bytes:
        """Join the pieces of a body that have arrived, as each may be a single byte."""
        joined = bytearray(first.data)
        while len(joined) < RECEIVE_BYTES:
            await self._turns.step()
            event = self._parse_event()
            if not isinstance(event, h11.Data):
                self._following = event
                break
            joined += event.data
        return bytes(joined)

    def _parse_event(self) -> object:
        """Return the next event, or the error that the received bytes lead to."""
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            code = ErrorCode.ANSWER_MALFORMED
            if self._protocol.trailing_data[1]:
                code = ErrorCode.ANSWER_TRUNCATED
            return AnswerBroken(code, str(error), Verdict.MAY_HAVE_RUN)


def _body_length(request: h11.Request) -> int | None:
    value_by_name = dict(request.headers)
    if b"transfer-encoding" in value_by_name:
        return None
    length = value_by_name.get(b"content-length")
    return None if length is None else int(length)


def _without_overridden_length(headers: tuple[Header, ...]) -> tuple[Header, ...]:
    """Drop the content length of an answer that has a transfer encoding.

    The transfer encoding counts, and the length must not be relayed (RFC 9112, 6.3).
    """
    if not any(header.name == "transfer-encoding" for header in headers):
        return headers
    return tuple(header for header in headers if header.name != "content-length")


def _to_answer_part(event: object) -> AnswerPart | None:
    if isinstance(event, h11.Response):
        headers = headers_from_wire(event.headers)
        started = AnswerStarted(event.status_code, _without_overridden_length(headers))
        if not started.has_valid_status:
            raise AnswerBroken(
                ErrorCode.ANSWER_MALFORMED,
                f"{started.status} is not a status",
                Verdict.MAY_HAVE_RUN,
            )
        return started
    if isinstance(event, h11.EndOfMessage):
        return AnswerEnded(headers_from_wire(event.headers))
    if isinstance(event, h11.InformationalResponse):
        if event.status_code != 101:
            return None
    raise AnswerBroken(
        ErrorCode.ANSWER_TRUNCATED,
        f"{type(event).__name__} received instead of an answer",
        Verdict.MAY_HAVE_RUN,
    )
