"""Requests from end to end over real sockets."""

from __future__ import annotations

import hashlib
import json

import pytest

from bramleyglade_adapters.http.simple_client import SimpleClient
from bramleyglade_core.model.exchange import Header


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


def test_upload_through_peer_link_is_whole(run_fleet):
    async def scenario(fleet):
        fleet.daemons[0].context.picker.avoid(  # Force the way over the link.
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
def test_refusal_is_truthful_and_clear(run_fleet, changes, status, code):
    async def scenario(fleet):
        answer = await fleet.call(**changes)
        assert answer.status == status
        assert json.loads(answer.body)["code"] == code
        assert answer.header("x-fleet-verdict") == "not-run"
        assert not any(target.runs_by_request for target in fleet.targets)

    run_fleet(scenario, daemons=1, zones=1)


def test_callers_connection_is_kept_after_an_answer(run_fleet):
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
