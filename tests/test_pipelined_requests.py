"""Requests that a caller sends before the earlier ones on its connection are answered.

Each answer must reach its own request, in the order of the requests. What stands behind
an answer that closes the connection counts as not read and must never reach a target.
"""

from __future__ import annotations

import hashlib
import itertools
import json
import re
import socket
import struct
from dataclasses import replace

import curio
import h11
import pytest
from curio import io as curio_io
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_adapters.http.server_connection import ServerConnection
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.entities import CallerLimits, Zone
from bramleyglade_core.model.errors import BadRequest
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_daemon.front.pipe import MAX_AHEAD, Pipe
from bramleyglade_standins.local_fleet import KEY

SLOW_SECONDS = 0.4


def request(path, method="GET", body=b"", extra=""):
    head = f"{method} {path} HTTP/1.1\r\nhost: any\r\nx-api-key: {KEY}\r\n{extra}"
    if body:
        head += f"content-length: {len(body)}\r\n"
    return f"{head}\r\n".encode() + body


class PipingCaller:
    """Sends raw requests over one connection, and reads whole answers."""

    def __init__(self, address):
        self._address = address
        self._protocol = h11.Connection(h11.CLIENT)
        self.sock = None

    async def send(self, *requests):
        if self.sock is None:
            self.sock = await curio.open_connection(
                self._address.host, self._address.port
            )
        await self.sock.sendall(b"".join(requests))

    async def answers(self):
        """Read answers until the connection is closed or nothing comes for a while."""
        data = bytearray()
        async with curio.ignore_after(4 * SLOW_SECONDS):
            while piece := await self.sock.recv(65_536):
                data += piece
        return split_answers(bytes(data))


def split_answers(data):
    answers = []
    while data:
        head, _, rest = data.partition(b"\r\n\r\n")
        length = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        )
        status = int(head.split(b" ")[1])
        is_last = b"connection: close" in head.lower()
        answers.append((status, rest[:length], is_last))
        data = rest[length:]
    return answers


def paths(answers):
    return [json.loads(body).get("path") for _, body, _ in answers]


def slow_down(fleet, seconds=SLOW_SECONDS):
    for target in fleet.targets:
        target.behaviour = replace(target.behaviour, work_seconds=seconds)


def test_pipelined_requests_are_worked_on_together_and_answered_in_order(run_fleet):
    async def scenario(fleet):
        wanted = [f"/lookup/{i}" for i in range(4)]
        slow_down(fleet, 0.05)
        caller = PipingCaller(fleet.settings[0].caller_address)
        most = 0
        await caller.send(*[request(path) for path in wanted])
        task = await curio.spawn(caller.answers)
        while not task.terminated:
            busy = sum(len(c._exchanges) for c in fleet.daemons[0].front.connections)
            most = max(most, busy)
            await curio.sleep(0.001)
        answers = await task.join()
        assert [status for status, _, _ in answers] == [200] * len(wanted)
        assert paths(answers) == wanted
        assert most > 1

    run_fleet(scenario)


def test_caller_with_more_requests_than_the_bound_gets_all_answers(run_fleet):
    async def scenario(fleet):
        wanted = [f"/lookup/{i}" for i in range(3 * MAX_AHEAD)]
        caller = PipingCaller(fleet.settings[0].caller_address)
        await caller.send(*[request(path) for path in wanted])
        await curio.sleep(0.05)
        for connection in fleet.daemons[0].front.connections:
            assert len(connection._exchanges) <= MAX_AHEAD + 1
        assert paths(await caller.answers()) == wanted

    run_fleet(scenario)


def test_request_that_is_not_idempotent_waits_for_its_turn(run_fleet):
    async def scenario(fleet):
        caller = PipingCaller(fleet.settings[0].caller_address)
        wanted = ["/lookup/1", "/songs/2", "/lookup/3"]
        await caller.send(
            request(wanted[0]),
            request(wanted[1], "POST", b"body"),
            request(wanted[2]),
        )
        assert paths(await caller.answers()) == wanted

    run_fleet(scenario)


def test_requests_behind_a_bad_one_never_reach_a_target(run_fleet):
    async def scenario(fleet):
        caller = PipingCaller(fleet.settings[0].caller_address)
        await caller.send(
            request("/lookup/1"),
            b"nonsense\r\n\r\n",
            request("/lookup/2"),
            request("/songs/3", "POST", b"body"),
        )
        answers = await caller.answers()
        assert [status for status, _, _ in answers] == [200, 400]
        assert answers[-1][2]
        assert sum(sum(t.runs_by_request.values()) for t in fleet.targets) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("length", ["9", "x"])
def test_requests_behind_a_refused_body_never_reach_a_target(run_fleet, length):
    """The end of a body that was refused is not known, nor where a request begins."""

    async def scenario(fleet):
        caller = PipingCaller(fleet.settings[0].caller_address)
        bad = request("/songs/../x", "POST", extra=f"content-length: {length}\r\n")
        await caller.send(bad, request("/songs/3", "POST", b"body"))
        answers = await caller.answers()
        assert [status for status, _, _ in answers] == [400]
        assert not any(target.runs_by_request for target in fleet.targets)

    run_fleet(scenario)


def test_leaving_daemon_answers_all_pipelined_requests_that_have_arrived(run_fleet):
    """Those that it had read behind its last answer used to be dropped."""

    async def scenario(fleet):
        caller = PipingCaller(fleet.settings[0].caller_address)
        daemon = fleet.daemons[0]
        daemon.context.phase = DaemonPhase.LEAVING
        wanted = ["/songs/1", "/songs/2", "/lookup/3"]
        await caller.send(
            request(wanted[0], "POST", b"body"),
            request(wanted[1], "POST", b"body"),
            request(wanted[2]),
        )
        answers = await caller.answers()
        assert paths(answers) == wanted
        assert [is_last for *_, is_last in answers] == [False, False, True]
        assert sum(sum(t.runs_by_request.values()) for t in fleet.targets) == 3

    run_fleet(scenario)


def test_close_is_announced_behind_what_arrives_before_the_turn_of_an_answer(
    run_fleet,
):
    """The last answer was ready long before its turn, with the close in it."""

    async def scenario(fleet):
        may_answer = curio.Event()
        arrived = []

        async def hold_first(step):
            arrived.append(step)
            if len(arrived) == 1:
                await may_answer.wait()

        for target in fleet.targets:
            target.on_step = hold_first
        caller = PipingCaller(fleet.settings[0].caller_address)
        await caller.send(request("/lookup/1"))
        await fleet.wait_until(lambda: bool(arrived))
        fleet.daemons[0].context.phase = DaemonPhase.LEAVING
        await caller.send(request("/lookup/2"))
        await fleet.wait_until(lambda: any(t.answered for t in fleet.targets))
        await curio.sleep(0.1)
        await caller.send(request("/lookup/3"))
        await curio.sleep(0.1)
        await may_answer.set()
        answers = await caller.answers()
        assert paths(answers) == ["/lookup/1", "/lookup/2", "/lookup/3"]
        assert [is_last for *_, is_last in answers] == [False, False, True]
        assert sum(sum(t.runs_by_request.values()) for t in fleet.targets) == 3

    run_fleet(scenario)


def test_caller_that_never_stops_sending_is_closed_upon_in_the_end(run_fleet):
    async def scenario(fleet):
        caller = PipingCaller(fleet.settings[0].caller_address)
        await caller.send(request("/lookup/0"))
        fleet.daemons[0].context.phase = DaemonPhase.LEAVING
        is_closed = curio.Event()

        async def read():
            while await caller.sock.recv(65_536):
                pass
            await is_closed.set()

        reader = await curio.spawn(read)
        while not is_closed.is_set():
            try:
                await caller.send(*[request(f"/lookup/{i}") for i in range(12)])
            except OSError:
                break
            await curio.sleep(0.005)
        await reader.cancel()

    run_fleet(scenario)


def begin_leaving(fleet):
    fleet.daemons[0].context.phase = DaemonPhase.LEAVING


def take_zone_out(fleet):
    context = fleet.daemons[0].context
    out = Ticket(2, "", (Zone(context.settings.zone, "region-1", False),))
    context.view.configuration = context.configuration.merged(out.states())


@pytest.mark.parametrize("begin_closing", [begin_leaving, take_zone_out])
@pytest.mark.parametrize("ahead", [3, MAX_AHEAD + 4, 5 * MAX_AHEAD])
def test_no_request_that_was_begun_is_dropped_when_its_connection_closes(
    run_fleet, begin_closing, ahead
):
    """The close came after eight answers, whatever ran at targets behind them."""

    async def scenario(fleet):
        slow_down(fleet, 0.02)
        caller = PipingCaller(fleet.settings[0].caller_address)
        sent = [f"/lookup/{i}" for i in range(ahead)]
        await caller.send(*[request(path) for path in sent])
        begin_closing(fleet)
        answered, data = [], bytearray()
        while piece := await caller.sock.recv(65_536):
            data += piece
            while answer := take_answer(data):
                answered.append(answer)
                if not answer[2]:
                    sent.append(f"/lookup/{len(sent)}")
                    await caller.send(request(sent[-1]))
        assert [is_last for *_, is_last in answered].index(True) == len(answered) - 1
        assert paths(answered) == sent[: len(answered)]
        await curio.sleep(0.1)
        runs = sum(sum(t.runs_by_request.values()) for t in fleet.targets)
        assert runs == len(answered)

    run_fleet(scenario)


def take_answer(data):
    """Remove the first whole answer from received bytes; None if there is none."""
    head, separator, rest = bytes(data).partition(b"\r\n\r\n")
    found = re.search(rb"content-length: (\d+)", head.lower())
    if not separator or len(rest) < int(found[1]):
        return None
    size = len(head) + len(separator) + int(found[1])
    (answer,) = split_answers(bytes(data[:size]))
    del data[:size]
    return answer


def test_requests_behind_a_bad_one_without_a_body_are_answered(run_fleet):
    """They had been read, and the connection closed behind the refusal."""

    async def scenario(fleet):
        caller = PipingCaller(fleet.settings[0].caller_address)
        await caller.send(
            request("/lookup/1"), request("/songs/../x"), request("/lookup/2")
        )
        answers = await caller.answers()
        assert [status for status, _, _ in answers] == [200, 400, 200]
        assert not any(is_last for *_, is_last in answers)

    run_fleet(scenario)


def test_connection_beyond_the_limit_gets_an_answer_to_all_it_has_sent(run_fleet):
    """Only the first was answered, without a notice that the connection closes."""

    async def scenario(fleet):
        context = fleet.daemons[0].context
        front = replace(context.settings.front, max_connections=1)
        context.settings = replace(context.settings, front=front)
        first = PipingCaller(fleet.settings[0].caller_address)
        await first.send(request("/lookup/0"))
        await fleet.wait_until(lambda: fleet.daemons[0].front.connections)
        caller = PipingCaller(fleet.settings[0].caller_address)
        await caller.send(request("/lookup/1"), request("/songs/2", "POST", b"body"))
        answers = await caller.answers()
        assert [status for status, _, _ in answers] == [503, 503]
        assert [is_last for *_, is_last in answers] == [False, True]

    run_fleet(scenario)


@pytest.mark.parametrize("tells_length", [True, False])
def test_request_behind_a_refused_body_is_answered_at_a_stop(run_fleet, tells_length):
    """The body had arrived whole, but was not read before the connection closed."""

    async def scenario(fleet):
        caller, stop = await start_at_the_end_of_reading(fleet)
        upload = request("/songs/2", "POST", b"body")
        if not tells_length:
            upload = b"".join(upload_head())
        await caller.send(upload, request("/lookup/3"))
        await fleet.wait_until(lambda: any(t.answered for t in fleet.targets))
        answers = await caller.answers()
        assert [status for status, _, _ in answers] == [200, 503, 503]
        assert [is_last for *_, is_last in answers] == [False, False, True]
        await stop.join()

    run_fleet(scenario)


async def start_at_the_end_of_reading(fleet):
    """Send a request that is in progress when a stopping daemon reads no more.

    It works at a target of the other VM; while its own target works, a daemon goes on
    reading.

    Returns:
        The caller, and the task of the stop.
    """
    daemon = fleet.daemons[0]
    context = daemon.context
    context.settings = replace(context.settings, stop_seconds=5.0, notice_seconds=0.3)
    slow_down(fleet, 2.0)
    await fleet.announcers[0].cancel()
    await daemon.guard.drain("target-0")
    await fleet.wait_until(lambda: len(context.directory.candidates("catalogue")) == 1)
    caller = PipingCaller(fleet.settings[0].caller_address)
    await caller.send(request("/songs/1", "POST", b"body"))
    await fleet.wait_until(lambda: any(t.running for t in fleet.targets))
    stop = await curio.spawn(daemon.stop)
    await fleet.wait_until(lambda: not daemon.front.is_accepting)
    return caller, stop


def test_leaving_daemon_answers_the_pipelined_requests_that_it_has_begun(run_fleet):
    async def scenario(fleet):
        wanted = [f"/lookup/{i}" for i in range(4)]
        slow_down(fleet)
        caller = PipingCaller(fleet.settings[0].caller_address)
        await caller.send(*[request(path) for path in wanted])
        front = fleet.daemons[0].front
        await fleet.wait_until(
            lambda: any(len(c._exchanges) == 4 for c in front.connections)
        )
        fleet.daemons[0].context.phase = DaemonPhase.LEAVING
        answers = await caller.answers()
        assert paths(answers) == wanted
        assert [is_last for *_, is_last in answers] == [False, False, False, True]

    run_fleet(scenario)


def test_request_that_arrives_after_reading_has_stopped_is_refused(run_fleet):
    """Its connection was closed long after it had come, without an answer."""

    async def scenario(fleet):
        caller, stop = await start_at_the_end_of_reading(fleet)
        await caller.send(request("/songs/2", "POST", b"body"))
        await fleet.wait_until(lambda: any(t.answered for t in fleet.targets))
        answers = await caller.answers()
        assert [status for status, _, _ in answers] == [200, 503]
        assert [is_last for *_, is_last in answers] == [False, True]
        assert sum(sum(t.runs_by_request.values()) for t in fleet.targets) == 1
        await stop.join()

    run_fleet(scenario)


@pytest.mark.parametrize("is_reset", [False, True])
def test_caller_that_leaves_ends_all_its_pipelined_requests(run_fleet, is_reset):
    async def scenario(fleet):
        slow_down(fleet, 30.0)
        caller = PipingCaller(fleet.settings[0].caller_address)
        await caller.send(*[request(f"/lookup/{i}") for i in range(3)])
        front = fleet.daemons[0].front
        await fleet.wait_until(
            lambda: any(len(c._exchanges) == 3 for c in front.connections)
        )
        if is_reset:
            caller.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        await caller.sock.close()
        await fleet.wait_until(lambda: not front.connections)
        await fleet.wait_until(lambda: not any(d.guard.busy for d in fleet.daemons))

    run_fleet(scenario)


_REQUESTS = st.lists(
    st.one_of(
        st.builds(lambda n: request(f"/lookup/{n}"), st.integers(0, 9)),
        st.builds(
            lambda n, body: request(f"/songs/{n}", "POST", body),
            st.integers(0, 9),
            st.binary(min_size=1, max_size=30),
        ),
    ),
    min_size=1,
    max_size=6,
)


@given(requests=_REQUESTS, cuts=st.lists(st.integers(0, 400), max_size=8))
def test_pipelined_bytes_are_split_into_the_same_requests_wherever_they_are_cut(
    requests, cuts
):
    data = b"".join(requests)
    bounds = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    pieces = [data[a:b] for a, b in itertools.pairwise(bounds)]
    connection, found = ServerConnection(None), []
    parsed = None
    for piece in pieces:
        connection.feed(piece)
        while True:
            if parsed is None:
                parsed = connection.parse_request()
                if parsed is None:
                    break
                body = b""
            while not connection.may_precede:
                event = connection._parse_event()
                if event is h11.NEED_DATA:
                    break
                body += bytes(event.data) if isinstance(event, h11.Data) else b""
            if not connection.may_precede:
                break
            found.append((parsed.target, body))
            connection, parsed = connection.successor(), None
    expected = []
    for raw in requests:
        head, _, body = raw.partition(b"\r\n\r\n")
        expected.append((head.split(b" ")[1].decode(), body))
    assert found == expected


def test_bytes_that_are_no_request_are_refused():
    connection = ServerConnection(None)
    connection.feed(b"nonsense\r\n\r\n")
    with pytest.raises(BadRequest):
        connection.parse_request()


def test_caller_that_sends_a_head_piece_by_piece_is_cut_off_in_time(run_fleet):
    """Each piece must not extend the time for the whole head."""

    async def scenario(fleet):
        limits = CallerLimits(head_seconds=0.4, idle_seconds=30.0)
        ticket = Ticket(2, "limits", (limits,))
        await fleet.ticket_repository.apply(ticket)
        context = fleet.daemons[0].context
        await fleet.wait_until(
            lambda: context.configuration.caller_limits.head_seconds == 0.4
        )
        caller = PipingCaller(fleet.settings[0].caller_address)
        front = fleet.daemons[0].front
        await caller.send(b"GET /lookup/1 HTTP/1.1\r\n")
        await fleet.wait_until(lambda: bool(front.connections))
        for number in range(200):
            if not front.connections:
                return
            try:
                await caller.send(b"x-%d: 1\r\n" % number)
            except OSError:
                return
            await curio.sleep(0.1)
        raise AssertionError("the caller may send one head for ever")

    run_fleet(scenario)


UPLOAD = bytes(range(256)) * 64


def upload_head(path="/open/upload"):
    """Return the head of an upload in one chunk, and the rest of the request."""
    head = f"POST {path} HTTP/1.1\r\nhost: any\r\ntransfer-encoding: chunked\r\n\r\n"
    return head.encode(), b"%x\r\n%s\r\n0\r\n\r\n" % (len(UPLOAD), UPLOAD)


def uploads(answers):
    return [json.loads(body)["body_sha256"] for _, body, _ in answers]


@pytest.mark.parametrize("parts", [[100], [100, 9_000], [1, 2, 3]])
def test_upload_that_begins_in_the_packet_of_its_head_is_read_to_its_end(
    run_fleet, parts
):
    """A part of the body was taken for the beginning of a next request."""

    async def scenario(fleet):
        caller = PipingCaller(fleet.settings[0].caller_address)
        head, rest = upload_head()
        cuts = [0, *parts, len(rest)]
        await caller.send(head + rest[: cuts[1]])
        for start, end in itertools.pairwise(cuts[1:]):
            await curio.sleep(0.05)
            await caller.send(rest[start:end])
        answers = await caller.answers()
        assert [status for status, _, _ in answers] == [200]
        assert uploads(answers) == [hashlib.sha256(UPLOAD).hexdigest()]

    run_fleet(scenario)


def test_nothing_else_reads_a_connection_while_a_body_is_due(run_fleet):
    async def scenario(fleet):
        ours, theirs = socket.socketpair()
        with theirs:
            async with curio_io.Socket(ours) as sock:
                pipe = Pipe(fleet.daemons[0].context, sock, None)
                head, rest = upload_head()
                theirs.sendall(head + rest[:100])
                request = await pipe.receive()
                assert request.connection.is_body_due
                assert pipe._reader is None

    run_fleet(scenario, daemons=1, zones=1)


@pytest.mark.parametrize("first", ["GET", "POST"])
def test_upload_whose_head_was_read_ahead_is_read_to_its_end(run_fleet, first):
    """The task that had read ahead kept waiting on the connection for the body."""

    async def scenario(fleet):
        slow_down(fleet, 0.1)
        caller = PipingCaller(fleet.settings[0].caller_address)
        head, rest = upload_head()
        body = UPLOAD if first == "POST" else b""
        await caller.send(request("/lookup/1", first, body))
        await fleet.wait_until(lambda: fleet.daemons[0].front.busy)
        await curio.sleep(0.05)
        await caller.send(head)
        await fleet.wait_until(lambda: sum(t.answered for t in fleet.targets))
        await curio.sleep(0.05)
        await caller.send(rest)
        answers = await caller.answers()
        assert [status for status, _, _ in answers] == [200, 200]
        assert uploads(answers)[-1] == hashlib.sha256(UPLOAD).hexdigest()

    run_fleet(scenario)
