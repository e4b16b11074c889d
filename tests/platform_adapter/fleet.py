"""Daemons on the platform in one process, with a stand-in target each."""

from __future__ import annotations

import itertools
import json
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.http.simple_client import SimpleClient
from bramleyglade_core.model.exchange import Header
from bramleyglade_daemon.program import make_daemon
from bramleyglade_platform.platform_program import PlatformProgram
from bramleyglade_platform.platform_settings import load_platform_settings
from bramleyglade_standins.http_server import listen
from bramleyglade_standins.local_fleet import free_address, kill_daemon
from bramleyglade_standins.platform_server import StandInPlatform
from bramleyglade_standins.platform_target import PlatformTarget

from .documents import SETTINGS

if TYPE_CHECKING:
    from bramleyglade_core.model.identifiers import Address
    from bramleyglade_daemon.daemon import Daemon

_request_numbers = itertools.count(1)


class PlatformFleet:
    """Daemons with a target each, and a stand-in for the platform's store."""

    def __init__(self, tmp_path):
        self.tmp_path = tmp_path
        self.is_strict = True
        """Whether daemons without a valid lease refuse requests that need a key."""
        self.platform = StandInPlatform()
        self.store_address = free_address()
        self.settings = []
        self.daemons: list[Daemon] = []
        self.targets: list[PlatformTarget] = []

    async def start(self, count=2):
        await listen(self.store_address, self.platform.answer)
        for index in range(count):
            await self.start_vm(index)

    async def start_vm(self, index):
        await self.add_vm(index, PlatformTarget(f"i-{index}"))
        self.daemons.append(await self._start_daemon(index))
        assert (await self.report(index, Sequence=0)).status == 200

    async def add_vm(self, index, target):
        """Start a target and write its daemon's settings; return the file's path."""
        address = free_address()
        await listen(address, target.answer)
        path = self.tmp_path / f"settings-{index}.toml"
        path.write_text(self._settings_text(index, address), encoding="utf-8")
        self.settings.append(load_platform_settings(str(path)))
        self.targets.append(target)
        return path

    async def restart_daemon(self, index):
        """Kill a daemon without notice and start another process in its place."""
        await kill_daemon(self.daemons[index])
        self.daemons[index] = await self._start_daemon(index)

    async def _start_daemon(self, index):
        path = str(self.tmp_path / f"settings-{index}.toml")
        program = PlatformProgram(path)
        daemon = await make_daemon(program.daemon_settings, program.build_adapters())
        await daemon.start()
        return daemon

    def _settings_text(self, index, target_address):
        text = SETTINGS.replace('"vm-1"', f'"vm-{index}"')
        if not self.is_strict:
            text = text.replace("RevokeStrict=true", "RevokeStrict=false")
        text = text.replace("10.1.0.11:8363", str(target_address))
        for port in (8365, 8366, 8367, 8369):
            text = text.replace(f"10.1.0.11:{port}", str(free_address()))
        text = text.replace("10.200.1.7:8362", str(self.store_address))
        text = text.replace('Ip = "10.1.0.11"', 'Ip = "127.0.0.1"')
        return text.replace("[7780, 7795]", f"[{free_address().port}, 65000]")

    async def wait_until(self, condition):
        while not condition():
            await curio.sleep(0.02)

    async def wait_until_serving(self):
        await self.wait_until(
            lambda: all(
                len(d.context.directory.candidates("catalogue")) == len(self.targets)
                and d.context.lease.is_valid
                and len(d.context.view.assignment_by_shard)
                == d.context.settings.limits.shards
                for d in self.daemons
            )
        )

    async def report(self, index, method="PUT", name=None, **changes):
        settings = self.settings[index]
        report = {
            "Service": "catalogue",
            "Address": str(settings.target_address),
            "Slots": 4,
            "State": "ready",
            "ColdLeftS": 0,
            "Sequence": 1,
            "born": 1000,
            **changes,
        }
        return await self._request(
            settings.daemon.announce_address,
            method,
            f"/-/instances/{name or f'i-{index}'}",
            json.dumps(report).encode(),
        )

    async def leave(self, index, name=None):
        """Say that a target has left, which names no run."""
        address = self.settings[index].daemon.announce_address
        path = f"/-/instances/{name or f'i-{index}'}"
        return await self._request(address, "DELETE", path)

    async def readiness_status(self, index):
        address = self.settings[index].ready_address
        return (await self._request(address, "GET", "/-/readiness")).status

    async def call(
        self,
        index=0,
        method="POST",
        path="/issue/a",
        key="k1",
        body=b"body",
        **headers,
    ):
        request_id = f"q{next(_request_numbers)}"
        sent_headers = {
            "host": "shop.example",
            "attempt-id": request_id,
            "deadline-remaining": "5000",
            **({"x-api-key": key} if key else {}),
            **{n.replace("_", "-"): v for n, v in headers.items()},
        }
        address = self.settings[index].daemon.caller_address
        client = SimpleClient(address, host=sent_headers.pop("host"))
        try:
            answer = await client.request(
                method,
                path,
                body if method == "POST" else b"",
                tuple(Header(n, v) for n, v in sent_headers.items()),
                timeout_seconds=10.0,
            )
        finally:
            await client.close()
        return request_id, answer

    async def _request(self, address: Address, method, path, body=b""):
        client = SimpleClient(address)
        try:
            return await client.request(method, path, body)
        finally:
            await client.close()
