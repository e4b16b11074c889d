"""The task that serves one caller's connection, request by request."""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING, Any

import curio

from bramleyglade_adapters.error_text import error_text
from bramleyglade_adapters.http.wire import RECEIVE_BYTES, disable_nagle
from bramleyglade_core.model.errors import AttemptError, BadRequest, ErrorCode
from bramleyglade_daemon.front.caller_exchange import CallerExchange
from bramleyglade_daemon.front.pipe import Pipe, PipedRequest

if TYPE_CHECKING:
    from curio.io import Socket

    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.front.dispatcher import Dispatcher
    from bramleyglade_daemon.front.team_limiter import TeamLimiter

_LINGER_SECONDS = 0.3
"""Time in which a caller may read the last answer and close its side. Closing a socket
with unread bytes resets it, and the caller loses the answer."""

_LOG = logging.getLogger(__name__)


class Front:
    """Serves the connections of all callers."""

    def __init__(
        self, context: Context, dispatcher: Dispatcher, limiter: TeamLimiter
    ) -> None:
        self.context = context
        self.dispatcher = dispatcher
        self.limiter = limiter
        self.connections: set[CallerTask] = set()
        self.is_accepting = True
        """Whether requests are still read from connections."""

    @property
    def busy(self) -> int:
        """Number of connections with a request in progress."""
        return sum(1 for connection in self.connections if connection.is_busy)

    @property
    def should_close_connections(self) -> bool:
        """Whether callers should reconnect to another VM."""
        return self.context.is_leaving or not self.context.is_zone_in_use

    async def stop_accepting(self) -> None:
        """Read no more requests, and close the connections that have none."""
        self.is_accepting = False
        for connection in list(self.connections):
            await connection.stop_reading()

    async def give_up(self) -> None:
        """End all requests in progress; they may have run."""
        for connection in list(self.connections):
            await connection.give_up()

    async def serve(self, sock: Socket, address: Any) -> None:
        """Serve one connection until it ends."""
        disable_nagle(sock)
        task = CallerTask(self, sock)
        if not self.is_accepting:
            return
        if len(self.connections) >= self.context.settings.front.max_connections:
            await task.reject()
            return
        self.connections.add(task)
        try:
            await task.run()
        except curio.CancelledError:
            raise
        except Exception:
            _LOG.exception("CallerTaskCrashed")
        finally:
            self.connections.discard(task)


class CallerTask:
    """One caller's connection."""

    def __init__(self, front: Front, sock: Socket) -> None:
        self._front = front
        self._context = front.context
        self._sock = sock
        self._pipe = Pipe(front.context, sock, self._serve_ahead)
        self._exchanges: set[CallerExchange] = set()
        """Requests in progress."""
        self._rejection: AttemptError | None = None
        """Why all requests of the connection are refused; None if they are served."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is in progress."""
        return bool(self._exchanges)

    async def run(self) -> None:
        """Serve requests until the connection ends or should be closed."""
        try:
            while (request := await self._pipe.receive()) is not None:
                await request.turn.set()
                if request.task is None:
                    await self._serve(request)
                else:
                    await request.task.join()
                if not request.connection.is_reusable:
                    break
            else:
                return
            await self._pipe.close()
            await self._linger()
        except (OSError, curio.TaskTimeout) as error:
            _LOG.debug("CallerGone", extra={"why": error_text(error)})
        finally:
            await self._pipe.close()

    async def reject(self) -> None:
        """Refuse what a connection beyond the limit sends, and close it."""
        detail = "this VM has reached its limit of connections"
        self._rejection = AttemptError(ErrorCode.DAEMON_FULL, detail, retry_after=1.0)
        self._pipe.is_closing = True
        limits = self._context.configuration.caller_limits
        async with curio.ignore_after(limits.head_seconds):
            await self.run()

    async def stop_reading(self) -> None:
        """Read no more requests."""
        await self._pipe.stop_reading()

    async def give_up(self) -> None:
        """End the requests in progress; they may have run."""
        for exchange in list(self._exchanges):
            await exchange.give_up()

    async def _serve(self, request: PipedRequest) -> None:
        exchange = CallerExchange(self._front, request.connection, self._pipe)
        self._exchanges.add(exchange)
        try:
            if request.head is None:
                assert request.error is not None
                await exchange.refuse(request.error, "")
            elif self._rejection is not None:
                await exchange.refuse(self._rejection, "")
            else:
                await exchange.serve(request.head)
        finally:
            self._exchanges.discard(exchange)

    async def _serve_ahead(self, request: PipedRequest) -> None:
        """Serve a request before its turn, in a task of its own."""
        try:
            await self._serve(request)
        except (OSError, BadRequest) as error:
            _LOG.debug("CallerGone", extra={"why": error_text(error)})
        except curio.CancelledError:
            raise
        except Exception:
            _LOG.exception("CallerTaskCrashed")

    async def _linger(self) -> None:
        """Wait until the caller has read the last answer."""
        await self._sock.shutdown(socket.SHUT_WR)
        async with curio.ignore_after(_LINGER_SECONDS):
            while await self._sock.recv(RECEIVE_BYTES):
                pass
