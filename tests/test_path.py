"""Requests from end to end over real sockets."""

from __future__ import annotations

import hashlib
import json
from dataclasses import replace

import curio
import pytest

from bramleyglade_adapters.http.simple_client import AnswerLost, SimpleClient
from bramleyglade_core.decisions.idle_tracker import IdleTracker
from bramleyglade_core.model.entities import CallerLimits, Zone
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.exchange import AttemptOffered, Header
from bramleyglade_core.model.identifiers import AttemptId, DaemonId
from bramleyglade_core.model.settings import HealthSettings
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.guard.guard import LocalGuardPort
from bramleyglade_standins.local_fleet import KEY, first_ticket, free_address


def test_request_is_answered_through_any_daemon(run_fleet):
    async def scenario(fleet):
        for index in (0, 1):
            answer = await fleet.call(index, path="/songs/7?page=2")
            echo = json.loads(answer.body)
            assert answer.status == 200
            assert answer.header("x-fleet-verdict") == "ran"
            assert echo["path"] == "/songs/7?page=2"
            assert echo["request_id"] == answer.header("x-request-id")

    run_fleet(scenario)


def test_upload_over_a_peer_link_arrives_complete(run_fleet):
    async def scenario(fleet):
        fleet.daemons[0].context.picker.avoid(  # Force the use of the link.
            fleet.daemons[0].context.directory.candidates("catalogue")[0].target, 9, 0
        )
        await fleet.daemons[0].guard.drain("target-0")
        body = bytes(range(256)) * 8000
        headers = (Header("expect", "100-continue"),)
        answer = await fleet.call(0, "POST", body=body, headers=headers)
        echo = json.loads(answer.body)
        assert echo["target"] == "target-1"
        assert echo["body_sha256"] == hashlib.sha256(body).hexdigest()

    run_fleet(scenario)


def test_key_never_reaches_a_target(run_fleet):
    async def scenario(fleet):
        await fleet.call()
        answer = await fleet.call(path="/open/x")
        assert answer.status == 200
        assert not any(target.keys_seen for target in fleet.targets)

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("changes", "status", "code"),
    [
        ({"key": ""}, 401, "key-missing"),
        ({"key": "wrong"}, 401, "key-unknown"),
        ({"path": "/songs/../open/x"}, 400, "ambiguous-path"),
        ({"path": "/songs%2fx"}, 400, "ambiguous-path"),
        ({"path": "/songs//x"}, 400, "ambiguous-path"),
        ({"path": "/nothing"}, 404, "no-route"),
        ({"headers": (Header("x-fleet-verdict", "ran"),)}, 400, "reserved-header"),
    ],
)
def test_refusal_has_its_code_and_the_verdict_not_run(run_fleet, changes, status, code):
    async def scenario(fleet):
        answer = await fleet.call(**changes)
        assert answer.status == status
        assert json.loads(answer.body)["code"] == code
        assert answer.header("x-fleet-verdict") == "not-run"
        assert not any(target.runs_by_request for target in fleet.targets)

    run_fleet(scenario, daemons=1, zones=1)


def test_callers_connection_is_kept_open_after_an_answer(run_fleet):
    async def scenario(fleet):
        client = SimpleClient(fleet.settings[0].caller_address)
        for _ in range(3):
            await client.request("GET", "/open/x")
        assert len(fleet.daemons[0].front.connections) == 1
        connection = next(iter(fleet.daemons[0].front.connections))
        await client.request("GET", "/open/x")
        assert fleet.daemons[0].front.connections == {connection}
        await client.close()

    run_fleet(scenario, daemons=1, zones=1)


def test_large_answer_that_breaks_off_is_not_delivered_as_complete(run_fleet):
    """In a chunked answer, only the reset shows the caller that it is incomplete."""

    async def send_truncated_answer(sock, _):
        await sock.recv(65_536)
        head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
        await sock.sendall(head + b"%x\r\n" % 200_000 + bytes(200_000) + b"\r\n")

    async def scenario(fleet):
        address = free_address()
        server = curio.tcp_server(address.host, address.port, send_truncated_answer)
        await curio.spawn(server, daemon=True)
        announced = replace(fleet.targets[0].announced, address=address)
        await fleet.announcers[0].cancel()
        await fleet.daemons[0].guard.announce(announced)
        for path in ("/songs/1", "/open/1"):
            with pytest.raises(AnswerLost):
                await fleet.call(path=path)

    run_fleet(scenario, daemons=1, zones=1)


def test_guard_refuses_attempts_for_a_draining_target(run_fleet):
    """A front may send them as long as it does not know that the target drains."""

    async def scenario(fleet):
        guard = fleet.daemons[0].guard
        await guard.drain("target-0")
        stream = await LocalGuardPort(guard, 65_536).offer(make_attempt("late"))
        reply = await stream.receive()
        assert reply.code is ErrorCode.TARGET_DRAINING
        assert reply.verdict is Verdict.NOT_RUN
        assert fleet.runs("late") == 0

    run_fleet(scenario, daemons=1, zones=1)


def make_attempt(request_id):
    """Make a non-idempotent attempt for the target of the first VM."""
    return AttemptOffered(
        attempt=AttemptId(DaemonId("front", 1), 1, 0),
        target="target-0",
        service="catalogue",
        team="studio",
        method="POST",
        path="/songs/1",
        headers=(Header("x-request-id", request_id),),
        deadline_seconds=5.0,
        is_idempotent=False,
        has_body=False,
    )


DUE = {"due_seconds": 1e-9, "longest_idle_seconds": 1e9}
"""Health settings with which a target is due at once and never overdue."""

OVERDUE = {"due_seconds": 1e-9, "longest_idle_seconds": 1e-9}
"""Health settings with which a target is due and overdue at once."""

NOT_DUE = {
    "due_seconds": 1e9,
    "longest_idle_seconds": 1e9,
    "longest_trial_seconds": 1e9,
}


@pytest.mark.parametrize(
    ("idle_settings", "changes", "is_accepted"),
    [
        (DUE, {"is_for_due": True, "is_idempotent": True}, True),
        (DUE, {"is_for_due": True}, False),
        (DUE, {"is_idempotent": True}, False),
        (OVERDUE, {"is_for_due": True}, True),
        (NOT_DUE, {"is_for_due": True, "is_idempotent": True}, False),
    ],
)
def test_suspect_target_only_accepts_a_request_that_it_is_due_for(
    run_fleet, idle_settings, changes, is_accepted
):
    async def scenario(fleet):
        runner = fleet.daemons[0].guard.runner_by_name["target-0"]
        for _ in range(9):
            runner.failures.note(True, runner.clock())
        runner.idle = IdleTracker(HealthSettings(**idle_settings), 0.0)
        offered = replace(make_attempt("trial"), most_risk=0.2, **changes)
        port = LocalGuardPort(fleet.daemons[0].guard, 65_536)
        reply = await (await port.offer(offered)).receive()
        assert fleet.runs("trial") == is_accepted
        if not is_accepted:
            assert reply.code is ErrorCode.TARGET_SUSPECT

    run_fleet(scenario, daemons=1, zones=1)


@pytest.mark.parametrize(
    ("is_on_trial", "is_idempotent", "is_accepted"),
    [(True, False, True), (False, True, True), (False, False, False)],
)
def test_ejected_target_accepts_only_idempotent_requests_until_its_trial(
    run_fleet, is_on_trial, is_idempotent, is_accepted
):
    """On trial, it accepts others too.

    Otherwise the trial would never end in a service without idempotent requests.
    """

    async def scenario(fleet):
        runner = fleet.daemons[0].guard.runner_by_name["target-0"]
        runner.health._granted_until = float("inf")
        runner.health.timer.eject(0.0 if is_on_trial else runner.clock())
        runner.idle = IdleTracker(HealthSettings(**OVERDUE), 0.0)
        attempt = make_attempt("trial")
        offered = replace(attempt, is_for_due=True, is_idempotent=is_idempotent)
        port = LocalGuardPort(fleet.daemons[0].guard, 65_536)
        await (await port.offer(offered)).receive()
        assert fleet.runs("trial") == is_accepted

    run_fleet(scenario, daemons=1, zones=1)


def test_outcome_is_asked_again_if_the_link_is_lost_a_second_time(run_fleet):
    async def scenario(fleet):
        front = fleet.daemons[0]
        await fleet.announcers[0].cancel()
        await front.guard.drain("target-0")
        await fleet.wait_until(
            lambda: len(front.context.directory.candidates("catalogue")) == 1
        )
        target = fleet.targets[1]
        target.behaviour = replace(target.behaviour, work_seconds=1.5)
        call = await curio.spawn(fleet.call, 0, "POST")
        await fleet.wait_until(lambda: target.running)
        for _ in range(2):
            await fleet.cut_links(0, 1)
            await curio.sleep(0.4)
        assert (await call.join()).status == 200
        assert sum(target.runs_by_request.values()) == 1

    run_fleet(scenario)


def test_asking_for_the_outcome_of_an_unknown_attempt_fences_it(run_fleet):
    """The attempt arrives after its front has asked for its outcome."""

    async def scenario(fleet):
        guard = fleet.daemons[0].guard
        offered = make_attempt("late")
        port = LocalGuardPort(guard, 65_536)
        reply = await (await port.ask_outcome(offered)).receive()
        assert reply.verdict is Verdict.NOT_RUN
        await port.offer(offered)
        await curio.sleep(0.2)
        assert fleet.runs("late") == 0

    run_fleet(scenario, daemons=1, zones=1)


def test_attempt_that_is_offered_twice_runs_once(run_fleet):
    async def scenario(fleet):
        offered = make_attempt("twice")
        port = LocalGuardPort(fleet.daemons[0].guard, 65_536)
        first = await port.offer(offered)
        await port.offer(offered)
        started = await first.receive()
        assert started.status == 200
        await curio.sleep(0.2)
        assert fleet.runs("twice") == 1

    run_fleet(scenario, daemons=1, zones=1)


async def queue_attempt(fleet):
    """Offer attempts to the first target, which holds them, until one is queued.

    Returns:
        The identifier of the queued request, the stream of its attempt, and the event
        that lets the target answer.
    """
    guard = fleet.daemons[0].guard
    may_answer = curio.Event()

    async def hold(step):
        await may_answer.wait()

    fleet.targets[0].on_step = hold
    number = 0
    while not len(guard.runner_by_name["target-0"]._queue):
        number += 1
        attempt = AttemptId(DaemonId("front", 1), 1, number)
        offered = replace(make_attempt(f"q{number}"), attempt=attempt)
        stream = await LocalGuardPort(guard, 65_536).offer(offered)
        await curio.sleep(0.05)
    return f"q{number}", stream, may_answer


def test_queued_request_does_not_start_in_a_zone_taken_out(run_fleet):
    """Only the guard's acceptance looked at the zone, not the start after a wait."""

    async def scenario(fleet):
        request_id, stream, may_answer = await queue_attempt(fleet)
        context = fleet.daemons[0].context
        zone = Zone("zone-0", "region-1", in_use=False)
        await fleet.ticket_repository.apply(Ticket(2, "out", (zone,)))
        await fleet.wait_until(lambda: not context.is_zone_in_use)
        await may_answer.set()
        reply = await stream.receive()
        assert fleet.runs(request_id) == 0
        assert reply.code is ErrorCode.ZONE_OUT
        assert reply.verdict is Verdict.NOT_RUN

    run_fleet(scenario)


def test_queued_request_does_not_start_at_a_target_that_changes_its_service(run_fleet):
    """Only the guard's acceptance looked at the service, not the start after a wait."""

    async def scenario(fleet):
        request_id, stream, may_answer = await queue_attempt(fleet)
        await fleet.announcers[0].cancel()
        changed = replace(fleet.targets[0].announced, service="ledger")
        await fleet.daemons[0].guard.announce(changed)
        await may_answer.set()
        reply = await stream.receive()
        assert fleet.runs(request_id) == 0
        assert reply.code is ErrorCode.TARGET_UNKNOWN
        assert reply.verdict is Verdict.NOT_RUN

    run_fleet(scenario, daemons=1, zones=1)


def test_target_that_moves_gets_no_request_over_a_connection_to_its_old_address(
    run_fleet,
):
    """An idle connection to the old process, which still ran, was used again."""

    async def scenario(fleet):
        assert (await fleet.call()).status == 200
        old = fleet.targets[0]
        answered = old.answered
        await fleet.announcers[0].cancel()
        await fleet.start_target(0, instance="2")
        runner = fleet.daemons[0].guard.runner_by_name["target-0"]
        await fleet.wait_until(lambda: runner.announced.instance == "2")
        assert (await fleet.call()).status == 200
        assert old.answered == answered

    run_fleet(scenario, daemons=1, zones=1)


def test_http_1_0_request_without_a_host_header_is_answered(run_fleet):
    """The guard's worker crashed on it, and the caller got no answer."""

    async def scenario(fleet):
        address = fleet.settings[0].caller_address
        sock = await curio.open_connection(address.host, address.port)
        await sock.sendall(b"GET /open/x HTTP/1.0\r\n\r\n")
        answer = await sock.makefile("rb").read()
        assert b" 200 " in answer.split(b"\r\n")[0]
        assert b'"path": "/open/x"' in answer

    run_fleet(scenario, daemons=1, zones=1)


def test_stale_idle_connection_gets_no_non_idempotent_request(run_fleet):
    """A middlebox has dropped its state of the open connection and loses all data."""
    body = b'{"title": "song"}'
    answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
    is_stale = []
    received = []

    async def serve(sock, _):
        is_old = not is_stale
        while data := await sock.recv(65_536):
            if is_old and is_stale:
                await curio.sleep(30)
            received.append(data.split(b" ")[0])
            await sock.sendall(answer)

    async def scenario(fleet):
        address = free_address()
        server = curio.tcp_server(address.host, address.port, serve)
        await curio.spawn(server, daemon=True)
        await fleet.announcers[0].cancel()
        guard = fleet.daemons[0].guard
        await guard.announce(replace(fleet.targets[0].announced, address=address))
        runner = guard.runner_by_name["target-0"]
        runner.settings = replace(runner.settings, idle_bound_seconds=0.1)
        assert (await fleet.call()).status == 200
        is_stale.append(True)
        await curio.sleep(0.3)
        assert (await fleet.call(method="POST")).status == 200
        assert received.count(b"POST") == 1

    run_fleet(scenario, daemons=1, zones=1)


def test_daemon_at_its_connection_limit_refuses_with_the_verdict_not_run(run_fleet):
    async def scenario(fleet):
        front = fleet.daemons[0].front
        settings = fleet.daemons[0].context.settings
        fleet.daemons[0].context.settings = replace(
            settings, front=replace(settings.front, max_connections=1)
        )
        first = SimpleClient(fleet.settings[0].caller_address)
        assert (await first.request("GET", "/open/x")).status == 200
        refused = await fleet.call(path="/open/x")
        assert json.loads(refused.body)["code"] == "daemon-full"
        assert refused.header("x-fleet-verdict") == "not-run"
        await first.close()
        await fleet.wait_until(lambda: not front.connections)
        assert (await fleet.call(path="/open/x")).status == 200

    run_fleet(scenario, daemons=1, zones=1)


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_disconnect_of_a_caller_frees_the_slot_of_its_running_request(
    run_fleet, method
):
    async def scenario(fleet):
        target = fleet.targets[0]
        target.behaviour = replace(target.behaviour, work_seconds=4.0)
        body = b"body" if method == "POST" else b""
        task = await curio.spawn(fleet.call, 0, method, "/songs/1", body)
        await fleet.wait_until(lambda: target.running == 1)
        await curio.sleep(0.2)
        await task.cancel()
        await fleet.wait_until(lambda: fleet.daemons[0].guard.busy == 0)
        assert target.answered == 0

    run_fleet(scenario, daemons=1, zones=1)


@pytest.mark.parametrize("body", [b"", b"x" * 1000, b"x" * 150_000])
def test_queued_request_of_a_disconnected_caller_never_runs(run_fleet, body):
    """The disconnect went unnoticed while a request with a body was queued."""

    async def scenario(fleet):
        target = fleet.targets[0]
        target.behaviour = replace(target.behaviour, work_seconds=1.0)
        running = await curio.spawn(fleet.call, 0, "POST")
        await curio.sleep(0.2)
        headers = (Header("x-request-id", "queued"),)
        queued = await curio.spawn(
            fleet.call, 0, "POST", "/songs/1", body, KEY, headers
        )
        await curio.sleep(0.3)
        await queued.cancel()
        assert (await running.join()).status == 200
        await curio.sleep(0.5)
        assert fleet.runs("queued") == 0

    run_fleet(scenario, daemons=1)


def test_refusal_after_a_retry_accounts_for_the_first_attempt(run_fleet):
    """The first attempt ran and lost its answer; no target is left for the retry."""

    async def scenario(fleet):
        target = fleet.targets[0]
        target.behaviour = replace(target.behaviour, reset_share=1.0)
        headers = (Header("x-request-id", "ran"),)
        answer = await fleet.call(headers=headers)
        assert fleet.runs("ran") == 1
        assert answer.status >= 500
        assert answer.header("x-fleet-verdict") == "may-have-run"

    run_fleet(scenario, daemons=1, zones=1)


def test_chunked_body_over_the_limit_is_refused_before_it_ends(run_fleet):
    """Such a body states no length, and may have no end."""
    ticket = first_ticket(zones=1)
    limits = CallerLimits(max_body_bytes=1000)
    ticket = replace(ticket, entities=(*ticket.entities, limits))

    async def scenario(fleet):
        address = fleet.settings[0].caller_address
        sock = await curio.open_connection(address.host, address.port)
        async with sock:
            await sock.sendall(
                b"POST /open/1 HTTP/1.1\r\nhost: shop\r\n"
                b"transfer-encoding: chunked\r\n\r\n"
            )
            for _ in range(3):
                await sock.sendall(b"200\r\n" + bytes(512) + b"\r\n")
            assert (await sock.recv(100)).startswith(b"HTTP/1.1 413 ")

    run_fleet(scenario, daemons=1, zones=1, ticket=ticket)
