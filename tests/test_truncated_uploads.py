"""A body whose link is lost: what has arrived of it, and how its exchange ends."""

from __future__ import annotations

import socket
from dataclasses import replace

import curio
import pytest

from bramleyglade_adapters.http.wire import RECEIVE_BYTES
from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.peer_messages import BodyEnded, BodySent
from bramleyglade_daemon.streams import GuardStream
from bramleyglade_standins.local_fleet import KEY, free_address
from bramleyglade_standins.target_server import announce_periodically

BODY_BYTES = 600_000
SENT_BYTES = 400_000
"""More than a front buffers before it sends anything."""
PROMPT_SECONDS = 2.0
"""Less than the service's timeout of 5 s, after which an exchange ends anyway."""


class LostSender:
    """Sends over a link that is lost."""

    async def post(self, message):
        raise LinkLost(ErrorCode.PEER_LOST, "no link to the peer")

    def close(self):
        pass


class SilentTarget:
    """Reads what it is sent and answers nothing by itself."""

    def __init__(self):
        self.received_bytes = 0
        self.opened = 0
        self.closed = 0
        self.sock = None

    async def serve(self, sock, _):
        self.opened += 1
        self.sock = sock
        async with sock:
            try:
                while data := await sock.recv(RECEIVE_BYTES):
                    self.received_bytes += len(data)
            except ConnectionResetError:
                pass
        self.closed += 1


async def use_only(fleet, target):
    """Make the only target one of the second VM that is served by a test."""
    for announcer in fleet.announcers:
        await announcer.cancel()
    await fleet.daemons[0].guard.drain("target-0")
    address = free_address()
    server = curio.tcp_server(address.host, address.port, target.serve)
    await curio.spawn(server, daemon=True)
    announced = replace(fleet.targets[1].announced, address=address)
    guard = fleet.settings[1].announce_address
    announcer = await curio.spawn(announce_periodically, announced, guard, daemon=True)
    fleet.announcers.append(announcer)
    await fleet.wait_until(lambda: runner_of(fleet).announced.address == address)


def runner_of(fleet):
    return fleet.daemons[1].guard.runner_by_name["target-1"]


async def begin_upload(fleet, target):
    """Send the beginning of an upload to the first daemon; return its connection."""
    address = fleet.settings[0].caller_address
    sock = await curio.open_connection(address.host, address.port)
    await sock.sendall(
        b"POST /songs/1 HTTP/1.1\r\nhost: shop\r\nx-api-key: %s\r\n"
        b"content-length: %d\r\n\r\n" % (KEY.encode(), BODY_BYTES)
    )
    await sock.sendall(bytes(SENT_BYTES))
    await fleet.wait_until(lambda: target.received_bytes >= SENT_BYTES)
    return sock


def test_body_that_has_arrived_is_read_after_its_link_is_lost():
    """No credit can be granted any more, which lost the piece that was read."""

    async def main():
        stream = GuardStream(LostSender(), window=1000)
        await stream.deliver(BodySent(bytes(1000)))
        await stream.deliver(BodyEnded())
        await stream.handle_link_loss()
        assert await stream.receive() == bytes(1000)
        assert await stream.receive() is None

    curio.run(main)


def test_upload_of_a_disconnected_caller_ends_without_a_crash(run_fleet, caplog):
    async def scenario(fleet):
        target = SilentTarget()
        await use_only(fleet, target)
        sock = await begin_upload(fleet, target)
        await sock.close()
        async with curio.timeout_after(PROMPT_SECONDS):
            await fleet.wait_until(lambda: target.closed)
        await fleet.wait_until(lambda: not runner_of(fleet).busy)
        assert target.opened == 1

    run_fleet(scenario)
    assert "Task Crash" not in caplog.text


@pytest.mark.parametrize("is_cut_for_long", [False, True])
def test_upload_that_a_lost_link_truncates_ends_at_once(
    run_fleet, caplog, is_cut_for_long
):
    """The exchange went on to its deadline, which then counted against the target."""

    async def scenario(fleet):
        target = SilentTarget()
        await use_only(fleet, target)
        risk = runner_of(fleet).failures.risk(fleet.daemons[1].context.clock())
        async with await begin_upload(fleet, target) as sock:
            if is_cut_for_long:
                fleet.blocked_pairs.add(frozenset((0, 1)))
            await fleet.cut_links(0, 1)
            async with curio.timeout_after(PROMPT_SECONDS):
                await fleet.wait_until(lambda: target.closed)
            await fleet.wait_until(lambda: not runner_of(fleet).busy)
            fleet.blocked_pairs.clear()
            answer = await sock.recv(RECEIVE_BYTES)
        assert target.opened == 1
        assert b"x-fleet-verdict: may-have-run" in answer
        now = fleet.daemons[1].context.clock()
        assert runner_of(fleet).failures.risk(now) <= risk

    run_fleet(scenario)
    assert "Task Crash" not in caplog.text


def test_answer_that_has_begun_outlives_the_truncated_upload(run_fleet, caplog):
    """The target needs no more of the body, and the front asks for the outcome."""

    async def scenario(fleet):
        target = SilentTarget()
        await use_only(fleet, target)
        async with await begin_upload(fleet, target) as sock:
            fleet.silence_links(1, 0)
            await target.sock.sendall(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n")
            (worker,) = runner_of(fleet)._running
            await fleet.wait_until(lambda: worker.head_seconds is not None)
            await fleet.cut_links(0, 1)
            await fleet.wait_until(lambda: worker.current.stream.is_link_lost)
            await target.sock.sendall(b"whole")
            answer = b""
            while not answer.endswith(b"whole"):
                answer += (data := await sock.recv(RECEIVE_BYTES))
                assert data
            assert answer.startswith(b"HTTP/1.1 200 ")
            async with curio.timeout_after(PROMPT_SECONDS):
                await fleet.wait_until(lambda: target.closed)
        assert target.opened == 1

    run_fleet(scenario)
    assert "Task Crash" not in caplog.text


def test_answer_without_a_length_to_a_truncated_upload_is_not_kept(run_fleet, caplog):
    """The front that asked for the outcome got a part of the answer as the whole."""

    async def scenario(fleet):
        target = SilentTarget()
        await use_only(fleet, target)
        async with await begin_upload(fleet, target) as sock:
            fleet.silence_links(1, 0)
            await target.sock.sendall(b"HTTP/1.1 200 OK\r\n\r\na part")
            (worker,) = runner_of(fleet)._running
            await fleet.wait_until(lambda: worker.head_seconds is not None)
            await fleet.cut_links(0, 1)
            await fleet.wait_until(lambda: worker.current.stream.is_link_lost)
            await target.sock.shutdown(socket.SHUT_WR)
            answer = await sock.recv(RECEIVE_BYTES)
        assert answer.startswith(b"HTTP/1.1 502 ")
        assert b"x-fleet-verdict: may-have-run" in answer
        assert target.opened == 1

    run_fleet(scenario)
    assert "Task Crash" not in caplog.text


def note_askers(outcomes):
    """Return a list to which the task and stream of each asking front are added."""
    asking = []
    send_outcome = outcomes.send_outcome

    async def note(offered, stream):
        asking.append((await curio.current_task(), stream))
        await send_outcome(offered, stream)

    outcomes.send_outcome = note
    return asking


def test_outcome_for_a_front_whose_link_is_lost_again_crashes_nothing(
    run_fleet, caplog
):
    async def scenario(fleet):
        target = fleet.targets[1]
        target.behaviour = replace(target.behaviour, work_seconds=1.0)
        await fleet.daemons[0].guard.drain("target-0")
        call = await curio.spawn(fleet.call, 0, "POST", "/songs/1", b"body")
        await fleet.wait_until(lambda: target.running)
        asking = note_askers(fleet.daemons[1].guard.outcomes)
        await fleet.cut_links(0, 1)
        await fleet.wait_until(lambda: asking)
        await fleet.cut_links(0, 1)
        task, stream = asking[0]
        await fleet.wait_until(lambda: stream.is_abandoned)
        assert not task.terminated
        await task.wait()
        assert target.answered
        await call.join()

    run_fleet(scenario)
    assert "Task Crash" not in caplog.text
