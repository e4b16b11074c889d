"""The end of an answer without a length: what shows that it isn't its real end."""

from __future__ import annotations

import socket
import struct

import curio
import pytest

from bramleyglade_adapters.http.client_connection import AnswerBroken, ClientConnection
from bramleyglade_adapters.http.server_connection import ServerConnection
from bramleyglade_adapters.http.simple_client import AnswerLost, SimpleClient
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEnded,
    AnswerStarted,
    Header,
)
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.streams import make_local_streams
from bramleyglade_standins.local_fleet import free_address

PART = b"a part of the answer"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\n"
WITH_CLOSE = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n"
BODY_BYTES = 16_000_000
"""More than the buffers of both sockets hold."""
BUFFERED_BYTES = 100_000
"""Fits into the buffer of the sending socket, but not into `RECEIVE_BUFFER`."""
RECEIVE_BUFFER = 4096
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
TEST_SECONDS = 20.0


class EarlyServer:
    """Answers a request before its body is in; the test decides what comes then."""

    def __init__(self, answer, receive_buffer):
        self.answer = answer
        self.receive_buffer = receive_buffer
        self.address = free_address()
        self.sock = None
        self.ended = curio.Event()

    async def start(self):
        listener = curio.tcp_server_socket(self.address.host, self.address.port)
        if self.receive_buffer:
            # Sockets that it accepts have the same buffer.
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer
            )
        await curio.spawn(curio.network.run_server, listener, self._serve, daemon=True)

    async def _serve(self, sock, _):
        self.sock = sock
        async with sock:
            await sock.recv(100)
            await sock.sendall(self.answer)
            await self.ended.wait()

    async def reset(self):
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        await self.sock.close()
        await self.ended.set()


async def open_exchange(server, body_bytes=BODY_BYTES):
    """Send the head of an upload; return the connection after the answer's part."""
    connection = await ClientConnection.open(server.address, TEST_SECONDS)
    headers = [Header("host", "a"), Header("content-length", str(body_bytes))]
    await connection.send_head("POST", "/", headers, has_body=True)
    assert isinstance(await connection.receive(), AnswerStarted)
    assert await connection.receive() == AnswerContinued(PART)
    return connection


def run(scenario, answer, receive_buffer=0):
    async def main():
        async with curio.timeout_after(TEST_SECONDS):
            server = EarlyServer(answer, receive_buffer)
            await server.start()
            await scenario(server)

    curio.run(main)


async def send_endlessly(connection):
    while True:
        await connection.send_body(bytes(100_000))


async def assert_incomplete(connection):
    with pytest.raises((AnswerBroken, OSError)):
        await connection.receive()
    assert not connection.finish_exchange()
    await connection.close()


@pytest.mark.parametrize("head", [WITHOUT_LENGTH, WITH_CLOSE])
def test_reset_that_the_upload_was_told_of_cuts_the_answer(head):
    """The kernel reports a reset once, so that the next read finds a clean end."""

    async def scenario(server):
        connection = await open_exchange(server)
        await server.reset()
        with pytest.raises(OSError):
            await send_endlessly(connection)
        await assert_incomplete(connection)

    run(scenario, head + PART)


@pytest.mark.parametrize("is_whole", [False, True])
def test_reset_that_no_task_was_told_of_cuts_the_answer(is_whole):
    async def scenario(server):
        connection = await open_exchange(server, body_bytes=1)
        if is_whole:
            await connection.send_body(b"1")
            await connection.end_body()
            await server.sock.recv(1)
            # This acknowledges the body, so that only the reset shows the cut.
            await server.sock.sendall(PART)
            assert await connection.receive() == AnswerContinued(PART)
        await server.reset()
        taken = connection._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert taken
        await assert_incomplete(connection)

    run(scenario, WITHOUT_LENGTH + PART)


def test_close_before_the_body_is_written_cuts_the_answer():
    async def scenario(server):
        connection = await open_exchange(server)
        await connection.send_body(bytes(10))
        await server.sock.shutdown(socket.SHUT_WR)
        await assert_incomplete(connection)

    run(scenario, WITHOUT_LENGTH + PART)


def test_close_before_the_body_has_arrived_cuts_the_answer():
    """What is written may still wait in the buffer of the sending socket."""

    async def scenario(server):
        connection = await open_exchange(server, BUFFERED_BYTES)
        await connection.send_body(bytes(BUFFERED_BYTES))
        await connection.end_body()
        await server.sock.shutdown(socket.SHUT_WR)
        await assert_incomplete(connection)

    run(scenario, WITHOUT_LENGTH + PART, receive_buffer=RECEIVE_BUFFER)


def test_close_after_the_whole_request_completes_the_answer():
    """Guards against taking each answer without a length for a cut one."""

    async def scenario(server):
        connection = await open_exchange(server, body_bytes=1)
        await connection.send_body(b"1")
        await connection.end_body()
        await server.sock.recv(1)
        await server.sock.shutdown(socket.SHUT_WR)
        assert await connection.receive() == AnswerEnded()
        await connection.close()

    run(scenario, WITHOUT_LENGTH + PART)


def test_body_is_whole_once_its_length_is_written():
    """The end of an upload may come to this daemon later than the target's answer."""

    async def scenario(server):
        connection = await open_exchange(server, body_bytes=2)
        await connection.send_body(b"12")
        await server.sock.recv(2)
        await server.sock.shutdown(socket.SHUT_WR)
        assert await connection.receive() == AnswerEnded()
        assert not connection.finish_exchange()
        await connection.close()

    run(scenario, WITHOUT_LENGTH + PART)


FRAMED = {
    "length": (b"content-length: %d\r\n\r\n" % len(PART), b""),
    "chunked": (b"transfer-encoding: chunked\r\n\r\n14\r\n", b"\r\n0\r\n\r\n"),
}


@pytest.mark.parametrize("framing", FRAMED)
@pytest.mark.parametrize("is_cut", [False, True])
def test_early_answer_with_a_frame_is_complete_by_its_frame_only(framing, is_cut):
    head, end = FRAMED[framing]
    answer = b"HTTP/1.1 200 OK\r\n" + head + PART + end
    if is_cut:
        answer = answer.replace(b": 20", b": 21").removesuffix(end)

    async def scenario(server):
        connection = await open_exchange(server)
        await server.reset()
        with pytest.raises(OSError):
            await send_endlessly(connection)
        if is_cut:
            await assert_incomplete(connection)
            return
        assert await connection.receive() == AnswerEnded()
        assert not connection.finish_exchange()
        await connection.close()

    run(scenario, answer)


def test_whole_request_that_was_reset_has_no_whole_answer():
    """The store and health checks read through this client."""

    async def scenario(server):
        async def reset():
            while server.sock is None:
                await curio.sleep(0)
            await server.reset()

        resetting = await curio.spawn(reset)
        client = SimpleClient(server.address)
        with pytest.raises(AnswerLost):
            await client.request("PUT", "/", bytes(BODY_BYTES))
        await resetting.join()

    run(scenario, WITHOUT_LENGTH + PART)


@pytest.mark.parametrize("is_ended", [False, True])
def test_answer_without_a_length_is_reset_if_its_end_is_not_sent(is_ended):
    """A daemon that ends in the middle closes its sockets, which looks like the end."""

    async def serve(sock, _):
        connection = ServerConnection(sock)
        await connection.receive_request()
        connection.start_answer(200, [])
        connection.continue_answer(PART)
        await connection.flush()
        if is_ended:
            connection.end_answer()
            await connection.flush()
        await sock.close()

    async def main():
        address = free_address()
        listener = curio.tcp_server_socket(address.host, address.port)
        await curio.spawn(curio.network.run_server, listener, serve, daemon=True)
        async with await curio.open_connection(address.host, address.port) as sock:
            await sock.sendall(b"GET / HTTP/1.0\r\n\r\n")
            received = bytearray()
            try:
                while data := await sock.recv(100):
                    received += data
            except ConnectionResetError:
                return False
            return received.endswith(PART)

    assert curio.run(main) is is_ended


@pytest.mark.parametrize("status", [0, 99, 600, 999])
def test_status_without_a_meaning_from_a_guard_is_malformed(status):
    """Guards of earlier versions pass on what their target has sent."""

    async def main():
        front, guard = make_local_streams(window=1000)
        await guard.send(AnswerStarted(status, ()))
        failed = await front.receive()
        assert failed.code is ErrorCode.ANSWER_MALFORMED
        assert failed.verdict is Verdict.MAY_HAVE_RUN
        assert guard.is_abandoned

    curio.run(main)
