"""A daemon that runs out of descriptors, or whose callers reset before the accept.

An error of one accept used to end the listener: the daemon stayed ready, but its
callers waited in the backlog without an answer until it was restarted.
"""

from __future__ import annotations

import errno
import logging
import socket

import curio
import pytest
from curio.io import Socket

from bramleyglade_adapters.http.client_connection import ClientConnection
from bramleyglade_core.model.exchange import AnswerStarted, Header
from bramleyglade_daemon.listener import accept_all
from bramleyglade_standins.local_fleet import KEY

LIMITED_SECONDS = 1.0


class FailingListener:
    """A listening socket on which the first accepts fail."""

    def __init__(self, listening, error_numbers):
        self._listening = listening
        self._errors = list(error_numbers)
        self.accepts = 0

    async def accept(self):
        self.accepts += 1
        if self._errors:
            raise OSError(self._errors.pop(0), "accept failed")
        return await self._listening.accept()

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        await self._listening.close()


async def request_songs(connection):
    headers = (Header("host", "songs"), Header("x-api-key", KEY))
    await connection.send_head("GET", "/songs/1", headers, has_body=False)
    started = await connection.receive()
    assert isinstance(started, AnswerStarted)
    while isinstance(await connection.receive(), AnswerStarted):
        pass
    return started.status


@pytest.mark.parametrize(
    "numbers",
    [
        [errno.ECONNABORTED],
        [errno.EMFILE, errno.EMFILE, errno.ENFILE],
        [errno.ENOBUFS, errno.EPROTO, errno.ENETDOWN],
    ],
)
def test_listener_goes_on_after_an_accept_has_failed(numbers, caplog):
    async def echo(sock, _):
        await sock.sendall(await sock.recv(100))

    async def main():
        listening = curio.tcp_server_socket("127.0.0.1", 0)
        address = listening.getsockname()
        failing = FailingListener(listening, numbers)
        task = await curio.spawn(accept_all, failing, echo)
        async with curio.timeout_after(5.0):
            caller = await curio.open_connection(*address)
            await caller.sendall(b"hello")
            assert await caller.recv(100) == b"hello"
        await caller.close()
        await task.cancel()

    with caplog.at_level(logging.WARNING):
        curio.run(main)
    failed = [r for r in caplog.records if r.getMessage() == "AcceptFailed"]
    assert len(failed) == len(numbers)
    assert all(record.why for record in failed)


def test_listener_at_the_descriptor_limit_does_not_spin(
    run_fleet, descriptor_limit, caplog
):
    async def scenario(fleet):
        address = fleet.settings[0].caller_address
        sock = Socket(socket.socket())
        async with sock:
            with descriptor_limit():
                await sock.connect((address.host, address.port))
                await curio.sleep(LIMITED_SECONDS)
            connection = ClientConnection(sock)
            async with curio.timeout_after(5.0):
                assert await request_songs(connection) == 200
        assert (await fleet.call()).status == 200

    with caplog.at_level(logging.WARNING):
        run_fleet(scenario)
    failed = [r for r in caplog.records if r.getMessage() == "AcceptFailed"]
    assert 1 <= len(failed) <= 30
