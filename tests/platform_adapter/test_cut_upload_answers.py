"""An upload that is answered early, without a length, and then reset by its target."""

from __future__ import annotations

import socket
import struct

import curio
import pytest

from bramleyglade_adapters.http.client_connection import ClientConnection
from bramleyglade_adapters.http.simple_client import AnswerLost
from bramleyglade_core.model.exchange import AnswerContinued
from bramleyglade_daemon.guard.target_runner import TargetRunner
from bramleyglade_daemon.guard.target_worker import TargetWorker
from bramleyglade_standins.local_fleet import free_address

from .documents import CONFIGURATION

UPLOAD = bytes(6_000_000)
PART = bytes(7_200)
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResettingTarget:
    """Sends a part of its answer at once, and resets while the upload is written."""

    def __init__(self):
        self.arrivals = 0

    async def serve(self, sock, _):
        self.arrivals += 1
        async with sock:
            head = b""
            while b"\r\n\r\n" not in head:
                head += await sock.recv(4096)
            lines = [line.split(b": ", 1) for line in head.split(b"\r\n")]
            request_id = next(x[1] for x in lines if x[0].lower() == b"attempt-id")
            answer = b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: s\r\n\r\n"
            await sock.sendall(answer % request_id + PART)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


@pytest.fixture
def read_after_upload(monkeypatch):
    """Make the worker read on only once its upload has been told of the reset."""
    uploads = {}
    receive, upload = ClientConnection.receive, TargetWorker._upload

    async def receive_late(connection):
        part = await receive(connection)
        if isinstance(part, AnswerContinued) and connection in uploads:
            await uploads[connection].wait()
        return part

    async def upload_and_tell(worker, connection, item):
        uploads[connection] = curio.Event()
        try:
            await upload(worker, connection, item)
        finally:
            await uploads[connection].set()

    monkeypatch.setattr(ClientConnection, "receive", receive_late)
    monkeypatch.setattr(TargetWorker, "_upload", upload_and_tell)


@pytest.fixture
def kept_answers(monkeypatch):
    """Return a list of the answers that guards keep for fronts that ask again."""
    kept = []
    keep_answer = TargetRunner.keep_answer

    async def note(runner, item, recorder):
        kept.append(recorder.answer)
        await keep_answer(runner, item, recorder)

    monkeypatch.setattr(TargetRunner, "keep_answer", note)
    return kept


async def use_only(fleet, target):
    limits = {**CONFIGURATION["Limits"], "MaxBodyBytes": len(UPLOAD)}
    version = {**CONFIGURATION, "Version": "r8", "Limits": limits}
    fleet.platform.put("config", "main", version)
    context = fleet.daemons[0].context
    await fleet.wait_until(lambda: context.configuration.whole_ticket == 8)
    address = free_address()
    server = curio.tcp_server(address.host, address.port, target.serve)
    await curio.spawn(server, daemon=True)
    assert (await fleet.leave(1)).status == 200
    assert (await fleet.report(0, Sequence=2, Address=str(address))).status == 200


async def upload_once(fleet):
    """Return the status and body that a caller gets, or None without a whole answer."""
    try:
        _, answer = await fleet.call(0, key="k3", body=UPLOAD)
    except AnswerLost:
        return None
    return (answer.status, answer.body)


def test_part_of_an_answer_is_neither_delivered_nor_kept_as_the_whole(
    run_platform_fleet, read_after_upload, kept_answers
):
    """A caller got 7,200 bytes as a complete 200 of a route that isn't idempotent."""

    async def scenario(fleet):
        target = ResettingTarget()
        await use_only(fleet, target)
        while not target.arrivals:
            result = await upload_once(fleet)
        assert result is None or result[0] == 502
        assert target.arrivals == 1
        assert not kept_answers

    run_platform_fleet(scenario)
