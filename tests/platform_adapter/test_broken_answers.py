"""What a target sends that is not its whole answer to a request never passes as one."""

from __future__ import annotations

import curio
import pytest

from bramleyglade_adapters.http.simple_client import AnswerLost
from bramleyglade_core.model.exchange import AnswerStarted, Header
from bramleyglade_platform.platform_dialect import PlatformDialect
from bramleyglade_standins.local_fleet import free_address

BODY = b"0123456789"


class ScriptedTarget:
    """Answers the n-th request of each connection with the n-th script, then closes."""

    def __init__(self, *scripts):
        self.scripts = scripts
        self.request_ids = []
        self.last_request_id = b""

    async def serve(self, sock, address):
        async with sock:
            for script in self.scripts:
                request_id = await self._receive(sock)
                if request_id is None:
                    return
                self.request_ids.append(request_id)
                await sock.sendall(script(request_id, self.last_request_id))
                self.last_request_id = request_id

    async def _receive(self, sock):
        received = b""
        while not received.endswith(b"body"):
            data = await sock.recv(4096)
            if not data:
                return None
            received += data
        lines = [line.split(b": ", 1) for line in received.split(b"\r\n")]
        return next(line[1] for line in lines if line[0].lower() == b"attempt-id")


def head_with_length(request_id):
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id + b"\r\nServer-Seal: s\r\n"
        b"Content-Length: 10\r\n\r\n"
    )


def head_without_length(request_id):
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id + b"\r\nServer-Seal: s\r\n\r\n"
    )


def chunked(request_id):
    return (
        b"HTTP/1.1 200 OK\r\nAttempt-Id: " + request_id + b"\r\nServer-Seal: s\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"
    )


async def use_only(fleet, target):
    """Make a target the only one that gets requests."""
    address = free_address()
    await curio.spawn(
        curio.tcp_server, address.host, address.port, target.serve, daemon=True
    )
    assert (await fleet.leave(1)).status == 200
    assert (await fleet.report(0, Sequence=2, Address=str(address))).status == 200


async def outcome(fleet):
    """Send a request; return its status and body, or None without a whole answer."""
    try:
        _, answer = await fleet.call(0, key="k3")  # This team has no limit.
    except AnswerLost:
        return None
    return (answer.status, answer.body)


@pytest.mark.parametrize(
    "whole",
    [
        lambda request_id: head_with_length(request_id) + BODY,
        chunked,
        lambda request_id: head_without_length(request_id),
    ],
    ids=["length", "chunked", "unframed"],
)
def test_answer_that_is_cut_is_never_whole(run_platform_fleet, whole):
    async def scenario(fleet):
        cut = 0
        target = ScriptedTarget(lambda request_id, _: whole(request_id)[:cut])
        await use_only(fleet, target)
        for cut in range(len(whole(b"q1"))):
            result = await outcome(fleet)
            assert result is None or result[0] == 502, (cut, result)
        assert len(target.request_ids) == len(whole(b"q1"))

    run_platform_fleet(scenario)


@pytest.mark.parametrize("status", [b"000", b"099", b"600", b"999"])
def test_answer_whose_status_has_no_meaning_is_malformed(run_platform_fleet, status):
    """Callers got 600 and 999 as answers of the target."""

    async def scenario(fleet):
        def script(request_id, _):
            return answer_with_id(request_id).replace(b"200", status, 1)

        target = ScriptedTarget(script)
        await use_only(fleet, target)
        while not target.request_ids:
            result = await outcome(fleet)
        assert result[0] == 502
        assert len(target.request_ids) == 1

    run_platform_fleet(scenario)


REFUSALS = {
    "shed": b"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n",
    "other instance": b"HTTP/1.1 421 Misdirected\r\nInstance-Id: i-9\r\n",
}


@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=REFUSALS)
@pytest.mark.parametrize("has_id", [True, False], ids=["with id", "without id"])
def test_refusal_of_an_earlier_request_says_nothing_of_a_later_one(
    run_platform_fleet, refusal, has_id
):
    async def scenario(fleet):
        def stale(request_id, earlier_id):
            named = b"Attempt-Id: " + earlier_id + b"\r\n" if has_id else b""
            return refusal + named + b"Content-Length: 0\r\n\r\n"

        target = ScriptedTarget(
            lambda request_id, _: head_with_length(request_id) + BODY, stale
        )
        await use_only(fleet, target)
        while (first := await outcome(fleet)) is None or first[0] == 503:
            pass
        assert first == (200, BODY)
        assert (await outcome(fleet))[0] == 502
        assert len(set(target.request_ids)) == len(target.request_ids)

    run_platform_fleet(scenario)


@pytest.mark.parametrize("refusal", REFUSALS.values(), ids=REFUSALS)
def test_refusal_on_a_new_connection_is_of_its_only_request(
    run_platform_fleet, refusal
):
    async def scenario(fleet):
        target = ScriptedTarget(lambda *_: refusal + b"Content-Length: 0\r\n\r\n")
        await use_only(fleet, target)
        while not target.request_ids:
            result = await outcome(fleet)
        assert result[0] == 503

    run_platform_fleet(scenario)


@pytest.mark.parametrize("ids", [("q2",), ("q1", "q2"), ("q2", "q1"), ("",)])
@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_answer_that_names_another_request_is_no_evidence(status, ids):
    headers = [Header("attempt-id", value) for value in ids]
    headers += [Header("not-executed", "1"), Header("server-leaving", "1")]
    headers += [Header("server-limit", "1"), Header("server-seal", "s")]
    classification = PlatformDialect("catalogue").classify_answer(
        AnswerStarted(status, tuple(headers)), "q1", is_first_on_connection=True
    )
    assert classification.fault is not None
    assert not classification.is_not_run
    assert not classification.is_leaving
    assert classification.requests_per_second is None


def answer_with_id(request_id):
    return head_with_length(request_id) + BODY


def answer_without_id(_):
    return b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: 10\r\n\r\n" + BODY


SECOND_COPIES = {
    "before the next answer": lambda copy, answer: copy + answer,
    "instead of the next answer": lambda copy, _: copy,
    "after an informational answer": lambda copy, answer: (
        b"HTTP/1.1 102 Processing\r\n\r\n" + copy + answer
    ),
    "in the middle of the next head": lambda copy, answer: answer[:30] + copy,
    "in the middle of the next body": lambda copy, answer: answer[:-4] + copy,
}


@pytest.mark.parametrize("place", SECOND_COPIES)
@pytest.mark.parametrize("make_copy", [answer_with_id, answer_without_id])
def test_second_copy_of_an_answer_never_reaches_the_next_caller(
    run_platform_fleet, place, make_copy
):
    """A target may send a copy late, on a connection that is in use again."""

    async def scenario(fleet):
        def second(request_id, earlier_id):
            whole = answer_with_id(request_id).replace(BODY, b"abcdefghij")
            return SECOND_COPIES[place](make_copy(earlier_id), whole)

        target = ScriptedTarget(
            lambda request_id, _: answer_with_id(request_id), second
        )
        await use_only(fleet, target)
        while (first := await outcome(fleet)) is None or first[0] == 503:
            pass
        assert first == (200, BODY)
        result = await outcome(fleet)
        if place == "in the middle of the next body":
            # No reader can tell bytes of the body's stated length from its own.
            assert result[0] == 200
        else:
            assert result[0] == 502
        assert len(set(target.request_ids)) == len(target.request_ids)

    run_platform_fleet(scenario)
