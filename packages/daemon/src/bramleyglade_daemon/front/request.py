"""A caller's request after its head was read, and its body."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.http.server_connection import (
    RequestHead,
)
from bramleyglade_adapters.http.wire import RECEIVE_BYTES
from bramleyglade_core.decisions.regions import AllowedRegions
from bramleyglade_core.model.entities import Route, Service
from bramleyglade_core.model.errors import BadRequest, ErrorCode
from bramleyglade_core.model.exchange import AttemptFailed, Header
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    import random

    from bramleyglade_adapters.http.server_connection import (
        ServerConnection,
    )
    from bramleyglade_core.model.entities import CallerLimits
    from bramleyglade_core.ports.dialect import CallerMetadata
    from bramleyglade_core.ports.streams import AttemptStream
    from bramleyglade_daemon.front.pipe import Pipe

MAX_REPLAY_BYTES = 262_144
"""Largest body that is buffered for a retry."""

_REQUEST_ID_BITS = 64


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that was admitted and may be sent to a target."""

    head: RequestHead
    route: Route
    service: Service
    team: str
    """Empty on routes open to all."""
    request_id: str
    deadline: float
    """Time of this process's clock, in seconds."""
    headers: tuple[Header, ...]
    """Headers for the target, without the key."""
    priority: int = 0
    """Priority of the request; 0 is the most urgent."""
    is_call: bool = False
    """Whether a target on this VM sent it while it executed another request."""
    arrived_at: float = 0.0
    """When the head was read, by this process's clock, in seconds."""
    regions: AllowedRegions = None
    """Regions that may serve the request, as configured when it was admitted."""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may safely run twice."""
        return self.route.is_idempotent(self.head.method)


def new_request_id(random_source: random.Random) -> str:
    """Make an identifier for a request that came without one."""
    return f"{random_source.getrandbits(_REQUEST_ID_BITS):016x}"


def timeout_of(metadata: CallerMetadata, route: Route, service: Service) -> float:
    """Return the timeout of a request in seconds."""
    longest = route.timeout_seconds or service.timeout_seconds
    return longest if metadata.seconds is None else min(metadata.seconds, longest)


def check_length(head: RequestHead, limits: CallerLimits) -> None:
    """Refuse a body whose stated length is too large.

    Raises:
        BadRequest: If the stated length is above the limit.
    """
    stated = head.content_length
    if stated is not None and stated > limits.max_body_bytes:
        raise BadRequest(
            ErrorCode.BODY_TOO_LARGE,
            f"the body has {stated} bytes; the limit is {limits.max_body_bytes}",
        )


def caller_left() -> AttemptFailed:
    """Return the failure of an attempt whose caller has disconnected."""
    return AttemptFailed(
        ErrorCode.ATTEMPT_CANCELLED, "the caller disconnected", Verdict.MAY_HAVE_RUN
    )


class BodyFeeder:
    """Feeds the caller's body to attempts; a small one can be sent again."""

    def __init__(
        self, connection: ServerConnection, pipe: Pipe, limits: CallerLimits
    ) -> None:
        self._connection = connection
        self._pipe = pipe
        self._limits = limits
        self._received_bytes = 0
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._is_complete = False
        self.is_consumed = False
        """Whether bytes were read that can't be sent again."""
        self.has_caller_left = False
        """Whether the caller was seen to disconnect."""
        self.error: BadRequest | OSError | None = None
        """Error while reading from the caller, if any."""

    async def feed(self, stream: AttemptStream) -> None:
        """Send the body to an attempt after its guard has granted credit."""
        if not self._connection.expects_continue:
            await self._read_ahead()
        await self._wait_for_credit(stream)
        for data in self._buffered:
            await stream.send_body(data)
        while not self._is_complete:
            piece = await self._read()
            if piece is None:
                self._is_complete = True
                break
            self._buffer(piece)
            await stream.send_body(piece)
        await stream.end_body()

    async def _read_ahead(self) -> None:
        """Buffer the body up to the limit.

        A caller's disconnect can be detected only after its body has been read.
        """
        while (
            not self._is_complete
            and self._buffered_bytes + RECEIVE_BYTES <= MAX_REPLAY_BYTES
        ):
            if self.is_consumed:
                return
            piece = await self._read()
            if piece is None:
                self._is_complete = True
            else:
                self._buffer(piece)

    async def _wait_for_credit(self, stream: AttemptStream) -> None:
        """Wait for credit; cancel the attempt if the caller disconnects."""
        if not self._is_complete:
            await stream.wait_for_body_credit()
            return
        watcher = await curio.spawn(self.watch_caller, stream)
        try:
            await stream.wait_for_body_credit()
        finally:
            await watcher.cancel()

    async def watch_caller(self, stream: AttemptStream) -> None:
        """Cancel an attempt if its caller disconnects while it waits."""
        await self.wait_until_caller_left()
        await stream.cancel()
        await stream.deliver(caller_left())

    async def wait_until_caller_left(self) -> None:
        """Wait until the caller disconnects."""
        await self._pipe.wait_closed()
        self.has_caller_left = True

    async def _read(self) -> bytes | None:
        must_send_continue = self._connection.expects_continue
        try:
            if must_send_continue:
                await self._connection.send_continue()
                must_send_continue = False
            piece = await self._pipe.receive_body(self._connection)
            self._count(piece)
        except (BadRequest, OSError) as error:
            self.error = error
            self.is_consumed = True
            raise
        except curio.CancelledError:
            # A cancelled read leaves all bytes in the socket or the connection, but
            # a part of the interim answer may have been sent.
            self.is_consumed = self.is_consumed or must_send_continue
            raise
        return piece

    def _count(self, piece: bytes | None) -> None:
        """Refuse a body that grows too large; one in chunks states no length."""
        self._received_bytes += len(piece or b"")
        if self._received_bytes > self._limits.max_body_bytes:
            raise BadRequest(
                ErrorCode.BODY_TOO_LARGE,
                f"the body has more than {self._limits.max_body_bytes} bytes",
            )

    def _buffer(self, data: bytes) -> None:
        self._buffered_bytes += len(data)
        if self._buffered_bytes > MAX_REPLAY_BYTES:
            self._buffered.clear()
            self.is_consumed = True
        if not self.is_consumed:
            self._buffered.append(data)
