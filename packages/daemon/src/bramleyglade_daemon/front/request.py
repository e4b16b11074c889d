"""A caller's request once its head has been read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.http.server_connection import (
    RequestHead,
)
from bramleyglade_adapters.http.wire import RECEIVE_BYTES, has_left
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

REPLAY_BYTES = 262_144
"""Largest body that is kept to be sent again with a retry."""

_REQUEST_ID_BITS = 64


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may be sent to a target."""

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
    """Rank of the request; 0 is the most urgent."""
    arrived_at: float = 0.0
    """When its head had been read, by this process's clock, in seconds."""

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may run twice."""
        return self.route.is_idempotent(self.head.method)


def new_request_id(random_source: random.Random) -> str:
    """Make a name for a request whose caller gave none."""
    return f"{random_source.getrandbits(_REQUEST_ID_BITS):016x}"


def timeout_of(metadata: CallerMetadata, route: Route, service: Service) -> float:
    """Return the time that a request has, in seconds."""
    longest = route.timeout_seconds or service.timeout_seconds
    return longest if metadata.seconds is None else min(metadata.seconds, longest)


def check_length(head: RequestHead, limits: CallerLimits) -> None:
    """Refuse a body that is known to be too large.

    Raises:
        BadRequest: If the stated length is above the limit.
    """
    stated = head.stated_bytes
    if stated is not None and stated > limits.max_body_bytes:
        raise BadRequest(
            ErrorCode.BODY_TOO_LARGE,
            f"{stated} bytes, and {limits.max_body_bytes} are taken",
        )


class BodyFeeder:
    """Feeds the caller's body to attempts; a small one can be fed again."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection = connection
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._is_whole = False
        self.is_spent = False
        """Whether bytes were sent that can't be sent again."""
        self.error: BadRequest | OSError | None = None
        """What was wrong with the caller's side, if anything."""

    async def feed(self, stream: AttemptStream) -> None:
        """Send the body to an attempt, once its guard wants it."""
        if not self._connection.wants_continue:
            await self._read_ahead()
        await self._wait_for_credit(stream)
        for data in self._kept:
            await stream.send_body(data)
        while not self._is_whole:
            piece = await self._read()
            if piece is None:
                self._is_whole = True
                break
            self._keep(piece)
            await stream.send_body(piece)
        await stream.end_body()

    async def _read_ahead(self) -> None:
        """Read what can be kept, so that the caller's leaving shows behind it."""
        while not self._is_whole and self._kept_bytes + RECEIVE_BYTES <= REPLAY_BYTES:
            if self.is_spent:
                return
            piece = await self._read()
            if piece is None:
                self._is_whole = True
            else:
                self._keep(piece)

    async def _wait_for_credit(self, stream: AttemptStream) -> None:
        """Wait until the guard wants the body, or the caller leaves."""
        if not self._is_whole:
            await stream.wait_for_body_credit()
            return
        watcher = await curio.spawn(self.watch_caller, stream)
        try:
            await stream.wait_for_body_credit()
        finally:
            await watcher.cancel()

    async def watch_caller(self, stream: AttemptStream) -> None:
        """Give up an attempt if its caller leaves while it waits."""
        if await has_left(self._connection.sock):
            await stream.cancel()
            left = AttemptFailed(
                ErrorCode.ATTEMPT_CANCELLED, "the caller left", Verdict.MAY_HAVE_RUN
            )
            await stream.deliver(left)

    async def _read(self) -> bytes | None:
        try:
            if self._connection.wants_continue:
                await self._connection.send_continue()
            return await self._connection.receive_body()
        except (BadRequest, OSError) as error:
            self.error = error
            raise
        except curio.CancelledError:
            # A piece may be on its way out of the socket.
            self.is_spent = True
            raise

    def _keep(self, data: bytes) -> None:
        self._kept_bytes += len(data)
        if self._kept_bytes > REPLAY_BYTES:
            self._kept.clear()
            self.is_spent = True
        if not self.is_spent:
            self._kept.append(data)
