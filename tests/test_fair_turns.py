"""Loops that read what has already arrived let other tasks run in between.

A peer that sends one byte at a time, framed, without end, makes an event of each byte.
"""

from __future__ import annotations

import curio
import pytest

from bramleyglade_adapters.http.client_connection import ClientConnection
from bramleyglade_adapters.http.server_connection import ServerConnection
from bramleyglade_adapters.link.link import Link, encode_one_way
from bramleyglade_core.model.exchange import AnswerContinued, Header
from bramleyglade_core.model.peer_messages import Acknowledged, BodySent
from bramleyglade_daemon.streams import make_local_streams

MOST_EVENTS_IN_A_TURN = 1000
EVENTS = 20_000
CHUNK = b"1\r\na\r\n"
CHUNKED_ANSWER = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_REQUEST = (
    b"POST /songs HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class FullSocket:
    """A socket that always has bytes to read, so that a read never waits."""

    def __init__(self, start: bytes, piece: bytes) -> None:
        self._start = start
        self._pieces = piece * 10_000

    async def recv(self, size: int) -> bytes:
        start, self._start = self._start, b""
        return start or self._pieces

    async def sendall(self, data: bytes) -> None:
        """Accept any bytes."""


class TurnMeter:
    """Counts the events between two turns of another task."""

    def __init__(self) -> None:
        self.events = 0
        self.most_in_a_turn = 0
        self._in_this_turn = 0

    def note_event(self) -> None:
        self.events += 1
        self._in_this_turn += 1
        self.most_in_a_turn = max(self.most_in_a_turn, self._in_this_turn)

    async def run(self) -> None:
        while True:
            self._in_this_turn = 0
            await curio.sleep(0)

    def watch(self, owner, name: str) -> None:
        """Count the calls of a method of an object."""
        call = getattr(owner, name)

        def counted(*arguments):
            self.note_event()
            return call(*arguments)

        setattr(owner, name, counted)


@pytest.fixture
def run_metered():
    """Run a coroutine function beside another task, and return the meter."""

    def run(work):
        meter = TurnMeter()

        async def main():
            await curio.spawn(meter.run, daemon=True)
            await curio.sleep(0)
            await work(meter)

        curio.run(main)
        assert meter.events >= EVENTS
        return meter

    return run


def test_answer_in_chunks_of_one_byte_blocks_no_task(run_metered):
    async def read(meter):
        connection = ClientConnection(FullSocket(CHUNKED_ANSWER, CHUNK))
        await connection.send_head("GET", "/", [Header("host", "shop")], False)
        meter.watch(connection._protocol, "next_event")
        await connection.receive()
        while meter.events < EVENTS:
            assert isinstance(await connection.receive(), AnswerContinued)

    assert run_metered(read).most_in_a_turn <= MOST_EVENTS_IN_A_TURN


def test_upload_in_chunks_of_one_byte_blocks_no_task(run_metered):
    async def read(meter):
        connection = ServerConnection(FullSocket(CHUNKED_REQUEST, CHUNK))
        await connection.receive_request()
        meter.watch(connection._protocol, "next_event")
        while meter.events < EVENTS:
            assert await connection.receive_body()

    assert run_metered(read).most_in_a_turn <= MOST_EVENTS_IN_A_TURN


def test_pieces_of_a_body_that_have_arrived_are_joined():
    """A message, a queue entry and a log of credit for each byte cost far more."""

    async def read():
        answers = ClientConnection(FullSocket(CHUNKED_ANSWER, CHUNK))
        await answers.send_head("GET", "/", [Header("host", "shop")], False)
        await answers.receive()
        requests = ServerConnection(FullSocket(CHUNKED_REQUEST, CHUNK))
        await requests.receive_request()
        return (await answers.receive()).data, await requests.receive_body()

    for data in curio.run(read):
        assert len(data) >= 10_000


def test_link_with_messages_without_end_blocks_no_task(run_metered):
    class Handler:
        async def handle(self, link, stream, message):
            self.meter.note_event()
            if self.meter.events >= EVENTS:
                await link.close()

    async def read(meter):
        handler = Handler()
        handler.meter = meter
        sock = FullSocket(b"", encode_one_way(Acknowledged()))
        sock.shutdown = lambda _: curio.sleep(0)
        await Link(sock, handler)._read(bytearray())

    assert run_metered(read).most_in_a_turn <= MOST_EVENTS_IN_A_TURN


def test_stream_with_many_pieces_blocks_no_task(run_metered):
    async def read(meter):
        front, guard = make_local_streams(window=EVENTS)
        await guard.open_body()
        for _ in range(EVENTS):
            await guard.deliver(BodySent(b"a"))
            await front.deliver(AnswerContinued(b"a"))
        for stream in (front, guard):
            for _ in range(EVENTS):
                await stream.receive()
                meter.note_event()

    assert run_metered(read).most_in_a_turn <= MOST_EVENTS_IN_A_TURN
