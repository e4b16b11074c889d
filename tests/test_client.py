"""Tests of the operators' client, run as a process against the stand-in store."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time

import pytest

from bramleyglade_standins.local_fleet import free_address

MODULE = "bramleyglade_client.program"


@pytest.fixture
def client():
    """Start a store and return a function that runs the client against it."""
    address = str(free_address())
    command = [sys.executable, "-m", "bramleyglade_standins.store_server"]
    server = subprocess.Popen([*command, f"--address={address}"])
    environment = {**os.environ, "BRAMLEYGLADE_STORE": address}

    def run(*arguments):
        return subprocess.run(
            [sys.executable, "-m", MODULE, "--output=json", *arguments],
            capture_output=True,
            text=True,
            env=environment,
            timeout=30,
        )

    for _ in range(100):
        if run("zones").returncode == 0:
            break
        time.sleep(0.1)
    yield run
    server.terminate()
    server.wait()


def test_commands_apply_tickets_and_refuse_invalid_and_conflicting_ones(
    client, tmp_path
):
    """Commands that change keys or zones write tickets of their own."""
    path = tmp_path / "ticket.jsonc"
    path.write_text(
        '{"number": 1, "entities": [ // two zones\n'
        '{"kind": "zone", "name": "z1", "region": "r"},'
        '{"kind": "zone", "name": "z2", "region": "r"},'
        '{"kind": "service", "name": "s", "zones": ["z1", "z2"]},'
        '{"kind": "team", "name": "t", "rate": 5, "burst": 5}]}'
    )
    assert client("ticket", "apply", str(path), "--dry_run").returncode == 0
    assert json.loads(client("ticket", "list").stdout) == []
    applied = client("ticket", "apply", str(path))
    assert [row["change"] for row in json.loads(applied.stdout)] == ["added"] * 4
    assert "accepted before" in client("ticket", "apply", str(path)).stderr
    granted = client("key", "grant", "t")
    hashes = json.loads(granted.stdout)[0]["after"]["key_hashes"]
    assert client("key", "withdraw", "t", hashes[0][:12]).returncode == 0
    assert client("zone", "out", "z2").returncode == 0
    refused = client("zone", "out", "z1")
    assert refused.returncode == 2
    assert "none of the service's zones" in refused.stderr
    assert client("zone", "in", "z2").returncode == 0
    numbers = [row["number"] for row in json.loads(client("ticket", "list").stdout)]
    assert numbers == [1, 2, 3, 4, 5]
    path.write_text('{"number": 1, "removed": ["zone/z1"]}')
    assert client("ticket", "apply", str(path)).returncode == 3


def test_unavailable_store_has_its_own_exit_code():
    environment = {**os.environ, "BRAMLEYGLADE_STORE": str(free_address())}
    result = subprocess.run(
        [sys.executable, "-m", MODULE, "teams"],
        capture_output=True,
        text=True,
        env=environment,
        timeout=30,
    )
    assert result.returncode == 4
    assert "store-unavailable" in result.stderr
