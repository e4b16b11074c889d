"""Whole answers of every form, each to its own caller."""

from __future__ import annotations

from dataclasses import replace

import curio
import pytest

from bramleyglade_standins.local_fleet import free_address

OK = b"HTTP/1.1 200 OK\r\n"
SONG = b"content-length: 4\r\n\r\nsong"

RAW_ANSWERS = {
    "length": OK + SONG,
    "chunked": OK + b"transfer-encoding: chunked\r\n\r\n4\r\nsong\r\n0\r\n\r\n",
    "trailers": OK
    + b"transfer-encoding: chunked\r\ntrailer: x-sum\r\n\r\n"
    + b"2\r\nso\r\n2\r\nng\r\n0\r\nx-sum: 1\r\n\r\n",
    "until close": OK + b"connection: close\r\n\r\nsong",
    "early hints": b"HTTP/1.1 103 Early Hints\r\n\r\n" + OK + SONG,
}


async def serve_raw(fleet, serve):
    """Put a target that answers with raw bytes in the place of the first."""
    address = free_address()
    server = curio.tcp_server(address.host, address.port, serve)
    await curio.spawn(server, daemon=True)
    await fleet.announcers[0].cancel()
    announced = replace(fleet.targets[0].announced, address=address)
    await fleet.daemons[0].guard.announce(announced)


def answering(answer, is_closing=False):
    """Make a server that answers each read with the same bytes."""

    async def serve(sock, _):
        while await sock.recv(65_536):
            await sock.sendall(answer)
            if is_closing:
                return

    return serve


@pytest.mark.parametrize("form", RAW_ANSWERS)
def test_answer_of_any_form_comes_whole(run_fleet, form):
    async def scenario(fleet):
        answer = RAW_ANSWERS[form]
        await serve_raw(fleet, answering(answer, is_closing=form == "until close"))
        for _ in range(2):
            got = await fleet.call()
            assert (got.status, got.body) == (200, b"song")

    run_fleet(scenario, daemons=1, zones=1)


@pytest.mark.parametrize(
    ("method", "status"), [("HEAD", 200), ("GET", 204), ("GET", 304)]
)
def test_answer_without_a_body_ends_at_its_head(run_fleet, method, status):
    async def scenario(fleet):
        length = b"" if status == 204 else b"content-length: 4\r\n"
        head = b"HTTP/1.1 %d Fine\r\n" % status + length + b"\r\n"
        await serve_raw(fleet, answering(head))
        for _ in range(2):
            got = await fleet.call(method=method)
            assert (got.status, got.body) == (status, b"")
            assert got.header("x-fleet-verdict") == "ran"

    run_fleet(scenario, daemons=1, zones=1)


def test_early_answer_ends_the_upload(run_fleet):
    async def serve(sock, _):
        await sock.recv(1000)
        await sock.sendall(
            b"HTTP/1.1 413 Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
        )
        await curio.sleep(0.5)

    async def scenario(fleet):
        await serve_raw(fleet, serve)
        got = await fleet.call(method="POST", body=bytes(40_000))
        assert got.status == 413

    run_fleet(scenario, daemons=1, zones=1)


def test_bytes_left_over_condemn_the_connection(run_fleet):
    """An answer nobody asked for must not become the next caller's."""
    connections = []

    async def serve(sock, _):
        connections.append(sock)
        number = len(connections)
        while await sock.recv(65_536):
            own = b"content-length: 1\r\n\r\n%d" % number
            await sock.sendall(OK + own + OK + b"content-length: 5\r\n\r\nwrong")

    async def scenario(fleet):
        await serve_raw(fleet, serve)
        for number in (1, 2, 3):
            assert (await fleet.call()).body == b"%d" % number
        assert len(connections) == 3

    run_fleet(scenario, daemons=1, zones=1)


def test_answer_before_its_request_condemns_the_connection(run_fleet):
    connections = []

    async def serve(sock, _):
        connections.append(sock)
        is_first = len(connections) == 1
        while await sock.recv(65_536):
            await sock.sendall(OK + SONG)
            if is_first:
                await curio.sleep(0.05)
                await sock.sendall(OK + b"content-length: 5\r\n\r\nwrong")

    async def scenario(fleet):
        await serve_raw(fleet, serve)
        assert (await fleet.call()).body == b"song"
        await curio.sleep(0.2)
        assert (await fleet.call()).body == b"song"
        assert len(connections) == 2

    run_fleet(scenario, daemons=1, zones=1)
