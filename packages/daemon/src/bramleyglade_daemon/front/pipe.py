"""The requests of one caller's connection, in the order in which they were sent."""

from __future__ import annotations

import logging
from collections import deque
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.http.server_connection import ServerConnection
from bramleyglade_adapters.http.wire import (
    RECEIVE_BYTES,
    has_data_now,
    wait_for_close,
    wait_readable,
)
from bramleyglade_core.decisions.routing import host_of
from bramleyglade_core.model.errors import BadRequest, FleetError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from curio.io import Socket

    from bramleyglade_adapters.http.server_connection import RequestHead
    from bramleyglade_daemon.fleet.context import Context

_LOG = logging.getLogger(__name__)

MAX_AHEAD = 8
"""Requests of one connection that are read before an earlier one is answered. Those
beyond stay in the socket, where they hold up only their own caller."""


class PipedRequest:
    """A request whose head has been read."""

    def __init__(
        self, connection: ServerConnection, turn: curio.Event, head: RequestHead | None
    ) -> None:
        self.connection = connection
        self.turn = turn
        """Set once all earlier answers are sent."""
        self.head = head
        """None if the bytes are not a valid request."""
        self.error: BadRequest | None = None
        self.task: curio.Task | None = None
        """Works on the request ahead of its turn; None if it waits for the turn."""


class Pipe:
    """Reads a connection, also while requests that were read earlier are worked on.

    All reads of the connection go through this class, and one task reads at a time: the
    reader, which reads ahead, the task that feeds a body to a target, or the
    connection's own task between two requests. While a body is due, the bytes that
    arrive are the body's, so the reader does not run.

    Idempotent requests without a body are worked on at once; their answers wait for
    their turn. Any other request waits, unread requests behind it too.
    """

    def __init__(
        self,
        context: Context,
        sock: Socket,
        serve_ahead: Callable[[PipedRequest], Awaitable[None]],
    ) -> None:
        self._context = context
        self._sock = sock
        self._serve_ahead = serve_ahead
        self._waiting: deque[PipedRequest] = deque()
        """Requests read whose turn has not come."""
        self._tail: ServerConnection | None = None
        """Of the newest request that was read."""
        self._next: ServerConnection | None = None
        """Of the request to be read, perhaps with its first bytes."""
        self._next_turn = curio.Event()
        self._reader: curio.Task | None = None
        self._idle_task: curio.Task | None = None
        """The connection's task while it waits for the first byte of a request."""
        self._is_stopped = False
        self._answers_past_close = 0
        """Answers since the connection should close that left it open."""
        self.is_closing = False
        """Whether only requests whose bytes were read already are still begun."""
        self._is_ended = False
        """Whether an answer has announced the end of the connection."""
        self._closed = curio.Event()

    def may_close_behind(self, connection: ServerConnection) -> bool:
        """Return whether the answer to a connection's request is the last one.

        What has arrived behind the request is answered first. A caller that never stops
        sending is closed upon, after `MAX_AHEAD` more answers and those to what was
        read by then. If true, nothing further is read or begun.
        """
        if not self.is_closing and self._has_arrived_behind(connection):
            self._answers_past_close += 1
            if self._answers_past_close <= MAX_AHEAD:
                return False
        self.is_closing = True
        if self._has_read_behind(connection):
            return False
        self.end()
        return True

    def end(self) -> None:
        """Read and begin nothing further, as an answer announces the end."""
        self._is_ended = True

    def _has_arrived_behind(self, connection: ServerConnection) -> bool:
        if connection is not self._tail:
            return True
        # The next request's object has taken over the bytes behind this one.
        holder = self._next or connection
        return holder.has_surplus or has_data_now(self._sock)

    def _has_read_behind(self, connection: ServerConnection) -> bool:
        """Return whether a whole head behind a connection's request has been read."""
        if connection is not self._tail:
            return True
        if not connection.may_precede:
            return False
        request = self._parse()
        if request is None:
            return False
        self._waiting.append(request)
        return True

    async def receive(self) -> PipedRequest | None:
        """Wait for the next request.

        Returns:
            The request, or None if there is none: the caller has closed the
            connection, or this daemon reads no more requests and none has arrived.

        Raises:
            curio.TaskTimeout: If the caller takes too long.
            OSError: If the connection is broken.
        """
        if not self._waiting:
            await self._cancel_reader()
        if self._waiting:
            return self._waiting.popleft()
        if self._closed.is_set():
            return None
        limits = self._context.configuration.caller_limits
        ends_at = self._context.clock() + limits.idle_seconds
        has_begun = False
        while (request := self._parse()) is None:
            if self._is_stopped and not has_data_now(self._sock):
                return None
            async with curio.timeout_after(max(0.0, ends_at - self._context.clock())):
                if not await self._wait_for_bytes():
                    return None
                data = await self._sock.recv(RECEIVE_BYTES)
            if not data:
                return None
            self._next_connection().feed(data)
            if not has_begun:
                has_begun = True
                ends_at = self._context.clock() + limits.head_seconds
        if request.connection.has_surplus:
            await self._start_reader()
        return request

    async def receive_body(self, connection: ServerConnection) -> bytes | None:
        """Wait for the next piece of the body of the newest request.

        Args:
            connection: The request's.

        Returns:
            The piece, or None at the end of the body.

        Raises:
            BadRequest: If the body is malformed or incomplete.
            OSError: If the connection is broken.
        """
        await self._cancel_reader()
        return await connection.receive_body()

    async def wait_closed(self) -> None:
        """Read ahead until the caller disconnects; returns only then."""
        await self._start_reader()
        await self._closed.wait()

    async def stop_reading(self) -> None:
        """Read no further request, unless its bytes have already arrived."""
        self._is_stopped = True
        await self._cancel_reader()
        if self._idle_task is not None:
            await self._idle_task.cancel(blocking=False)

    async def close(self) -> None:
        """Stop reading and give up all requests whose turn has not come."""
        await self._cancel_reader()
        if self._waiting:
            started = sum(1 for request in self._waiting if request.task is not None)
            extra = {
                "count": len(self._waiting),
                "started": started,
                "caller_has_left": self._closed.is_set(),
            }
            _LOG.info("RequestsDropped", extra=extra)
            self._context.telemetry.note_event("RequestsDropped")
        while self._waiting:
            request = self._waiting.popleft()
            if request.task is not None:
                await request.task.cancel()

    async def _wait_for_bytes(self) -> bool:
        """Wait until the socket can be read; False if reading stops and it can't."""
        self._idle_task = await curio.current_task()
        try:
            await wait_readable(self._sock)
        except curio.TaskCancelled:
            if not self._is_stopped:
                raise
            return has_data_now(self._sock)
        finally:
            self._idle_task = None
        return True

    async def _start_reader(self) -> None:
        is_running = self._reader is not None and not self._reader.terminated
        is_body_due = self._tail is not None and self._tail.is_body_due
        if is_running or is_body_due:
            return
        if not self._is_stopped and not self._closed.is_set():
            self._reader = await curio.spawn(self._read_ahead, daemon=True)

    async def _cancel_reader(self) -> None:
        # The reader waits without taking bytes from the socket, so none is lost.
        reader, self._reader = self._reader, None
        if reader is not None:
            await reader.cancel()

    async def _read_ahead(self) -> None:
        while self._may_read_ahead():
            request = self._parse()
            if request is None:
                if self.is_closing:
                    break
                await wait_readable(self._sock)
                if self.is_closing:
                    break  # The end was decided on during the wait.
                try:
                    data = await self._sock.recv(RECEIVE_BYTES)
                except OSError as error:
                    _LOG.debug("CallerGone", extra={"why": str(error)})
                    data = b""
                if not data:
                    await self._closed.set()
                    return
                self._next_connection().feed(data)
                continue
            self._waiting.append(request)
            if self._may_start(request):
                request.task = await curio.spawn(
                    self._serve_ahead, request, daemon=True
                )
        if await wait_for_close(self._sock):
            await self._closed.set()

    def _may_read_ahead(self) -> bool:
        if self._is_stopped or self._is_ended or len(self._waiting) >= MAX_AHEAD:
            return False
        if any(request.task is None for request in self._waiting):
            return False
        return self._tail is not None and self._tail.may_precede

    def _may_start(self, request: PipedRequest) -> bool:
        head = request.head
        if head is None or head.has_body:
            return False
        host = host_of(head.header("host"))
        router = self._context.configuration.router
        try:
            route = router.find(head.method, head.target, host)
        except FleetError:
            return False  # Refused when its turn comes.
        return route.is_idempotent(head.method)

    def _parse(self) -> PipedRequest | None:
        connection = self._next_connection()
        try:
            head = connection.parse_request()
            if head is None:
                return None
            request = PipedRequest(connection, self._next_turn, head)
        except BadRequest as error:
            request = PipedRequest(connection, self._next_turn, None)
            request.error = error
        self._tail, self._next = connection, None
        return request

    def _next_connection(self) -> ServerConnection:
        if self._next is None:
            self._next_turn = curio.Event()
            self._next = (
                ServerConnection(self._sock, self._next_turn)
                if self._tail is None
                else self._tail.successor(self._next_turn)
            )
        return self._next
