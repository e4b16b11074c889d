"""Plays conversations on daemons in this process and checks what came of them."""

from __future__ import annotations

import itertools
import logging
import socket
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import curio
import h11
from tests.platform_adapter.documents import CONFIGURATION

from benchmarks.exchange_fuzzer.conversations import (
    SAFE_PREFIX,
    UNSAFE_PREFIX,
    UPLOAD_PREFIX,
    Framing,
    Loans,
)
from benchmarks.exchange_fuzzer.scripted_target import (
    ANSWER_BODY,
    RESET_ON_CLOSE,
    ScriptedTarget,
)
from bramleyglade_adapters.http.wire import RECEIVE_BYTES
from bramleyglade_standins.local_fleet import free_address

if TYPE_CHECKING:
    from benchmarks.exchange_fuzzer.conversations import CallerRequest, Conversation
    from benchmarks.exchange_fuzzer.scripted_target import Arrival
    from bramleyglade_core.model.verdict import Verdict

TIMEOUT_SECONDS = 1.5
"""Timeout of each route."""

ANSWER_SECONDS = 4.0
"""Time after which a conversation whose answers are missing has failed: four timeouts
would fit in it only if requests waited for each other."""

MAX_ATTEMPTS = 3
LATE_LOAN_SECONDS = 0.1
_PROMISES_NOT_RUN = (408, 421, 429, 503)

_ROUTE = {
    "Host": "shop.example",
    "TimeoutS": TIMEOUT_SECONDS,
    "Service": "catalogue",
    "MaxAttempts": MAX_ATTEMPTS,
    "AuthExempt": True,
}
VERSION = {
    **CONFIGURATION,
    "Version": "r8",
    "Routes": {
        "r-deposit": {**_ROUTE, "PathPrefix": UPLOAD_PREFIX, "RouteType": "upload"},
        "r-issue": {**_ROUTE, "PathPrefix": UNSAFE_PREFIX, "RouteType": "unsafe"},
        "r-search": {**_ROUTE, "PathPrefix": SAFE_PREFIX, "RouteType": "safe"},
    },
    "Limits": {**CONFIGURATION["Limits"], "MaxBodyBytes": 10_000_000},
}
CRASH_EVENTS = ("TaskCrashed", "CallerTaskCrashed", "ExchangeCrashed", "Task Crash")


@dataclass(frozen=True, slots=True)
class Received:
    """What a caller got for a request; the status is None without a whole answer."""

    status: int | None
    body: bytes = b""
    answered_id: str = ""
    is_last: bool = False
    """Whether the answer closes the connection."""


class Broken(AssertionError):
    """A promise was broken in a conversation."""


@dataclass
class Counts:
    """What was played."""

    conversations: int = 0
    exchanges: int = 0
    features: Counter[str] = field(default_factory=Counter)


class ScriptedLoans:
    """Answers a front that asks its peers for a retry."""

    def __init__(self) -> None:
        self.loans = Loans.AT_ONCE

    async def try_spend(self, service: str, verdict: Verdict) -> bool:
        """Spend one retry."""
        if self.loans is Loans.LATE:
            await curio.sleep(LATE_LOAN_SECONDS)
        return self.loans is not Loans.REFUSED


class CrashLog(logging.Handler):
    """Keeps the log lines of crashed tasks."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line if it tells of a crash."""
        if record.getMessage().startswith(CRASH_EVENTS):
            self.lines.append(self.format(record))


class Player:
    """Plays conversations on two daemons, whose targets follow the same scripts."""

    def __init__(self, fleet: Any) -> None:
        self._fleet = fleet
        self._target = ScriptedTarget()
        self._loans = ScriptedLoans()
        self._numbers = itertools.count(1)
        self.crashes = CrashLog()
        self.counts = Counts()

    async def start(self) -> None:
        """Put the scripted target beside each daemon."""
        fleet = self._fleet
        logging.getLogger().addHandler(self.crashes)
        for index, daemon in enumerate(fleet.daemons):
            address = free_address()
            server = curio.tcp_server(address.host, address.port, self._target.serve)
            await curio.spawn(server, daemon=True)
            await fleet.report(index, Sequence=2, Address=str(address))
            daemon.front.dispatcher._retries = self._loans
        fleet.platform.put("config", "main", VERSION)
        await fleet.wait_until(
            lambda: all(
                d.context.configuration.whole_ticket == 8 for d in fleet.daemons
            )
        )

    def close(self) -> None:
        """Stop keeping log lines."""
        logging.getLogger().removeHandler(self.crashes)

    async def play(self, conversation: Conversation) -> None:
        """Play one conversation.

        Raises:
            Broken: If a promise was broken.
        """
        self._target.play(conversation.scripts)
        self._loans.loans = conversation.loans
        first = next(self._numbers)
        ids = [f"c{first}x{i}" for i in range(len(conversation.requests))]
        caller = _Caller(conversation, ids)
        address = self._fleet.settings[0].daemon.caller_address
        try:
            async with curio.timeout_after(ANSWER_SECONDS * len(ids)):
                await caller.run(address)
        except curio.TaskTimeout:
            raise Broken(f"request {len(caller.received)} has no answer") from None
        await self._settle()
        self._check(conversation, ids, caller)
        self._count(conversation)

    async def _settle(self) -> None:
        while any(d.guard.busy or d.front.busy for d in self._fleet.daemons):
            await curio.sleep(0.005)
        for daemon in self._fleet.daemons:
            for runner in daemon.guard.runner_by_name.values():
                # What one conversation taught of a target must not decide the next.
                await runner.restart(runner.announced)
            daemon.context.picker.keep_only(())
            daemon.guard.refresh_views()

    def _check(
        self, conversation: Conversation, ids: list[str], caller: _Caller
    ) -> None:
        if self.crashes.lines:
            lines, self.crashes.lines = self.crashes.lines, []
            raise Broken("a task crashed:\n" + "\n".join(lines))
        arrivals_by_id: dict[str, list[Arrival]] = {}
        for arrival in self._target.arrivals:
            arrivals_by_id.setdefault(arrival.request_id, []).append(arrival)
        if not arrivals_by_id.keys() <= set(ids):
            raise Broken(f"arrivals that nobody sent: {set(arrivals_by_id) - set(ids)}")
        for number, request in enumerate(conversation.requests):
            arrivals = arrivals_by_id.get(ids[number], [])
            _check_arrivals(request, request.body(number), arrivals)
            if number < len(caller.received):
                received = caller.received[number]
                _check_answer(request, ids[number], received, arrivals)
        _check_end(conversation, caller)

    def _count(self, conversation: Conversation) -> None:
        self.counts.conversations += 1
        self.counts.exchanges += len(conversation.requests)
        for script in conversation.scripts:
            self.counts.features[type(script).__name__] += 1
        for request in conversation.requests:
            self.counts.features[f"{request.method} {request.framing.value}"] += 1
        self.counts.features[f"loans {conversation.loans.value}"] += 1


def _check_arrivals(
    request: CallerRequest, body: bytes, arrivals: list[Arrival]
) -> None:
    runs = [arrival for arrival in arrivals if arrival.has_run]
    if len(arrivals) > MAX_ATTEMPTS:
        raise Broken(f"{len(arrivals)} targets were tried")
    if len(runs) > 1 and not request.is_idempotent:
        raise Broken(f"a request that is not idempotent ran {len(runs)} times")
    for arrival in arrivals:
        if arrival.head.method != request.method:
            raise Broken(f"{request.method} arrived as {arrival.head.method}")
        if not body.startswith(arrival.body):
            raise Broken("a target got bytes that are not the request's body")
        if arrival.is_whole and arrival.body != body:
            raise Broken(f"{len(arrival.body)} of {len(body)} bytes ran as the whole")


def _check_answer(
    request: CallerRequest,
    request_id: str,
    received: Received,
    arrivals: list[Arrival],
) -> None:
    if received.status is not None and not 100 <= received.status <= 599:
        raise Broken(f"{received.status} is not a status")
    has_run = any(arrival.has_run for arrival in arrivals)
    if received.status in _PROMISES_NOT_RUN and has_run:
        raise Broken(f"{received.status} for a request that ran")
    if received.answered_id not in ("", request_id):
        raise Broken(f"the answer to {received.answered_id} came for {request_id}")
    is_targets = received.status is not None and received.body.startswith(ANSWER_BODY)
    if is_targets and received.body != ANSWER_BODY + request_id.encode():
        raise Broken(f"the body {received.body!r} came for {request_id}")
    if received.status == 200 and not has_run:
        raise Broken("200 for a request that did not run")
    is_whole = is_targets or request.method == "HEAD"
    if received.status == 200 and not is_whole:
        raise Broken(f"the body {received.body!r} came as a whole one")


def _check_end(conversation: Conversation, caller: _Caller) -> None:
    """Check that all requests are answered up to one whose answer closes."""
    if conversation.reset_share is not None:
        return
    for received in caller.received:
        if received.is_last:
            return
    if len(caller.received) < len(conversation.requests):
        raise Broken(
            f"the connection ended after {len(caller.received)} answers to "
            f"{len(conversation.requests)} requests"
        )


class _Caller:
    """Sends the requests of a conversation, and reads their answers in order."""

    def __init__(self, conversation: Conversation, ids: list[str]) -> None:
        self._conversation = conversation
        self._ids = ids
        self._answered = curio.Semaphore(0)
        self.received: list[Received] = []

    async def run(self, address: Any) -> None:
        sock = await curio.open_connection(address.host, address.port)
        async with sock:
            sending = await curio.spawn(self._send_all, sock)
            receiving = await curio.spawn(self._receive_all, sock)
            resetting = await curio.spawn(self._stop_behind, sending, receiving)
            try:
                await receiving.wait()
                if not receiving.cancelled:
                    await receiving.join()
                    return
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            finally:
                for task in (resetting, sending, receiving):
                    await task.cancel()

    async def _stop_behind(self, sending: curio.Task, receiving: curio.Task) -> None:
        """Read no more once a request is sent as far as its caller's reset."""
        if self._conversation.reset_share is not None:
            await sending.wait()
            await receiving.cancel()

    async def _send_all(self, sock: Any) -> None:
        try:
            for number, request in enumerate(self._conversation.requests):
                if number and request.waits_for_answer:
                    await self._wait_answered(number)
                await self._send(sock, number, request)
        except OSError:
            return  # The answers show whether the connection may have ended.

    async def _wait_answered(self, number: int) -> None:
        while len(self.received) < number:
            await self._answered.acquire()

    async def _send(self, sock: Any, number: int, request: CallerRequest) -> None:
        head, rest = self._encode(number, request)
        data = head + rest
        starts = [0, *(int(cut * len(data)) for cut in request.cuts)]
        if self._conversation.is_split_after_head:
            await sock.sendall(head)
            await curio.sleep(0.02)
            data = rest
            starts = [0, *(int(cut * len(data)) for cut in request.cuts)]
        ends = [*starts[1:], len(data)]
        reset_share = self._conversation.reset_share
        if reset_share is not None and number == len(self._ids) - 1:
            most = int(reset_share * len(data))
            starts, ends = ([min(x, most) for x in places] for places in (starts, ends))
        for start, end, pause in zip(starts, ends, [*request.pauses, 0.0], strict=True):
            if start != end:
                await sock.sendall(data[start:end])
            if pause:
                await curio.sleep(pause)

    def _encode(self, number: int, request: CallerRequest) -> tuple[bytes, bytes]:
        version = "1.0" if self._conversation.is_http_1_0 else "1.1"
        body = request.body(number)
        lines = [
            f"{request.method} {request.prefix}a HTTP/{version}",
            "Host: shop.example",
            f"Attempt-Id: {self._ids[number]}",
            f"X-Body-Bytes: {len(body)}",
        ]
        is_chunked = request.framing is Framing.CHUNKS and version == "1.1"
        if request.framing is not Framing.NONE:
            length = f"Content-Length: {len(body)}"
            lines.append("Transfer-Encoding: chunked" if is_chunked else length)
        head = "\r\n".join([*lines, "", ""]).encode()
        if not is_chunked:
            return head, body
        chunks = [
            body[start : start + request.chunk_bytes]
            for start in range(0, len(body), request.chunk_bytes)
        ]
        encoded = b"".join(b"%x\r\n%s\r\n" % (len(c), c) for c in chunks)
        return head, encoded + b"0\r\n\r\n"

    async def _receive_all(self, sock: Any) -> None:
        left_over = b""
        for request in self._conversation.requests:
            received, left_over = await _receive(sock, request.method, left_over)
            if received is None:
                return
            self.received.append(received)
            await self._answered.release()
            if received.is_last:
                return
        if left_over:
            raise Broken(f"bytes behind the last answer: {left_over!r}")


async def _receive(
    sock: Any, method: str, left_over: bytes
) -> tuple[Received | None, bytes]:
    """Read one answer; None if the connection ended before its head."""
    protocol = h11.Connection(h11.CLIENT)
    protocol.send(h11.Request(method=method, target="/", headers=[("Host", "a")]))
    protocol.send(h11.EndOfMessage())
    if left_over:
        protocol.receive_data(left_over)
    head: h11.Response | None = None
    body = bytearray()
    while True:
        try:
            event = protocol.next_event()
        except h11.RemoteProtocolError:
            return (None if head is None else Received(None, is_last=True)), b""
        if event is h11.NEED_DATA:
            try:
                protocol.receive_data(await sock.recv(RECEIVE_BYTES))
            except OSError:
                return (None if head is None else Received(None, is_last=True)), b""
        elif isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        elif isinstance(event, h11.ConnectionClosed):
            return None, b""
    assert head is not None
    headers = dict(head.headers)
    is_last = protocol.their_state is not h11.DONE
    received = Received(
        head.status_code,
        bytes(body),
        headers.get(b"attempt-id", b"").decode(),
        is_last,
    )
    return received, protocol.trailing_data[0]
