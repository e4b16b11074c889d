"""Idle callers leave descriptors for targets, their reports, peers and the store.

A daemon near its limit on open files took all descriptors for callers. Requests on kept
connections then got 503, as no connection to a target could be opened, and a target
whose reports were not accepted was withdrawn.
"""

from __future__ import annotations

import os
import subprocess
import sys

import curio
import pytest

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
)
from bramleyglade_core.model.exchange import Header
from bramleyglade_platform.platform_settings import SETTINGS_VARIABLE
from bramleyglade_standins.http_server import listen
from bramleyglade_standins.platform_target import PlatformTarget

from .documents import CONFIGURATION
from .fleet import PlatformFleet

DESCRIPTORS = 100
IDLE_CALLERS = 150
KEPT_CALLERS = 4
ROUNDS = 3
TEST_SECONDS = 40.0

RUN_WITH_LIMIT = f"""
import resource, runpy

resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS}, {DESCRIPTORS}))
runpy.run_module("bramleyglade_platform", run_name="__main__")
"""


@pytest.fixture
def start_limited_daemon(tmp_path):
    processes = []

    def start(settings_path):
        environment = {**os.environ, SETTINGS_VARIABLE: str(settings_path)}
        with (tmp_path / "log").open("wb") as log:
            command = [sys.executable, "-c", RUN_WITH_LIMIT]
            processes.append(
                subprocess.Popen(command, stdout=log, stderr=log, env=environment)
            )

    yield start
    for process in processes:
        process.kill()
        process.wait()


async def _wait_until_ready(fleet):
    while True:
        try:
            if await fleet.readiness_status(0) == 200:
                return
        except (RequestNotSent, AnswerLost):
            pass
        await curio.sleep(0.1)


async def _ask(client, name):
    headers = (
        Header("attempt-id", name),
        Header("deadline-remaining", "3000"),
        Header("x-api-key", "k1"),
    )
    return (await client.request("POST", "/issue/a", b"body", headers)).status


async def _ask_all(clients, name):
    tasks = [
        await curio.spawn(_ask, client, f"{name}-{index}")
        for index, client in enumerate(clients)
    ]
    return [await task.join() for task in tasks]


def test_idle_callers_leave_descriptors_for_the_requests_of_others(
    tmp_path, start_limited_daemon
):
    async def scenario():
        fleet = PlatformFleet(tmp_path)
        fleet.platform.put("config", "main", CONFIGURATION)
        await listen(fleet.store_address, fleet.platform.answer)
        target = PlatformTarget("i-0")
        start_limited_daemon(await fleet.add_vm(0, target))
        await _wait_until_ready(fleet)
        assert (await fleet.report(0, Slots=8)).status == 200
        address = fleet.settings[0].daemon.caller_address
        clients = [
            SimpleClient(address, host="shop.example") for _ in range(KEPT_CALLERS)
        ]
        while await _ask_all(clients, "first") != [200] * KEPT_CALLERS:
            await curio.sleep(0.1)
        idle = [
            await curio.open_connection(address.host, address.port)
            for _ in range(IDLE_CALLERS)
        ]
        await curio.sleep(0.5)
        for number in range(ROUNDS):
            assert (await fleet.report(0, Slots=8, Sequence=number + 2)).status == 200
            answers = await _ask_all(clients, f"next-{number}")
            assert answers == [200] * KEPT_CALLERS
        for caller in idle:
            await caller.close()

    async def main():
        async with curio.timeout_after(TEST_SECONDS):
            await scenario()

    curio.run(main)
