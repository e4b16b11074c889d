"""A fleet of processes on loopback, for the demonstration, tests and benchmarks."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import curio

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
)
from bramleyglade_adapters.structure import to_plain
from bramleyglade_core.model.identifiers import Address

_PACKAGE = "bramleyglade_standins"
_HOST = "127.0.0.1"
_STOP_SECONDS = 15.0


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Number and kinds of processes to start, and their settings."""

    daemons: int
    zones: int
    services: tuple[str, ...]
    """Each VM runs one target of each service."""
    first_port: int
    slots: int = 4
    daemon_settings: dict[str, Any] | None = None
    """Additional settings, the same for all daemons."""
    store_era: int = 0
    """First era of the store; 0 for a store without eras."""


class ProcessFleet:
    """A store, daemons and targets, each in its own process."""

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.directory = Path(tempfile.mkdtemp(prefix="bramleyglade-"))
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.store = Address(_HOST, plan.first_port)

    def caller_address(self, index: int) -> Address:
        """Return the address of a daemon for callers."""
        return Address(_HOST, self.plan.first_port + 100 + index)

    def peer_address(self, index: int) -> Address:
        """Return the address of a daemon for its peers."""
        return Address(_HOST, self.plan.first_port + 200 + index)

    def announce_address(self, index: int) -> Address:
        """Return the address of a daemon for its targets and operators."""
        return Address(_HOST, self.plan.first_port + 300 + index)

    def target_address(self, index: int, service: int) -> Address:
        """Return the address of a target."""
        return Address(_HOST, self.plan.first_port + 400 + 100 * service + index)

    def zone(self, index: int) -> str:
        """Return the zone of a daemon."""
        return f"zone-{index % self.plan.zones}"

    def start(self) -> None:
        """Start all processes."""
        era = str(self.plan.store_era)
        module = f"{_PACKAGE}.store_server"
        self.start_module("store", module, address=str(self.store), era=era)
        for index in range(self.plan.daemons):
            self.start_daemon(index)
        for index in range(self.plan.daemons):
            for service in range(len(self.plan.services)):
                self.start_target(index, service)

    def start_daemon(self, index: int) -> None:
        """Write the settings of a daemon and start it; it logs to its own file."""
        name = f"vm-{index}"
        path = self.directory / f"{name}.jsonc"
        path.write_text(self._settings_text(index))
        command = [sys.executable, "-m", "bramleyglade_daemon", str(path)]
        self._spawn(name, command)

    def start_target(self, index: int, service: int) -> None:
        """Start one target."""
        name = f"{self.plan.services[service]}-{index}"
        self.start_module(
            name,
            f"{_PACKAGE}.target_server",
            name=name,
            service=self.plan.services[service],
            address=str(self.target_address(index, service)),
            guard=str(self.announce_address(index)),
            slots=str(self.plan.slots),
            seed=str(index),
        )

    def run_client(self, *arguments: str) -> str:
        """Run the command-line client and return its output.

        Raises:
            RuntimeError: If the client exits with a status other than 0.
        """
        command = [sys.executable, "-m", "bramleyglade_client.program"]
        command += [f"--store={self.store}", *arguments]
        result = subprocess.run(command, capture_output=True, text=True, timeout=20)
        if result.returncode:
            raise RuntimeError(result.stderr)
        return result.stdout

    def stop(self) -> list[str]:
        """Stop the daemons gracefully, then kill all processes that still run.

        Returns:
            Names of daemons that did not exit with 0.
        """
        daemons = [name for name in self.processes if name.startswith("vm-")]
        for name in daemons:
            self.processes[name].send_signal(signal.SIGTERM)
        failed = [name for name in daemons if self._wait_for_exit(name) != 0]
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
                process.wait()
        return failed

    async def wait_ready(self, seconds: float = 15.0) -> None:
        """Wait until every daemon has its targets, all members, a lease and keepers.

        Raises:
            TimeoutError: If that takes longer than `seconds`.
        """
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await self._is_ready():
                return
            await curio.sleep(0.2)
        raise TimeoutError("the fleet did not become ready in time")

    async def set_behaviour(self, index: int, service: int, **behaviour: Any) -> None:
        """Set the behaviour of a target; omitted fields get their defaults."""
        client = SimpleClient(self.target_address(index, service))
        await client.request("PUT", "/-/behaviour", json.dumps(behaviour).encode())
        await client.close()

    async def get_json(self, address: Address, path: str) -> Any:
        """Fetch JSON from a daemon or target; None if it does not answer."""
        client = SimpleClient(address)
        try:
            return json.loads((await client.request("GET", path)).body)
        except (RequestNotSent, AnswerLost):
            return None
        finally:
            await client.close()

    async def _is_ready(self) -> bool:
        for index in range(self.plan.daemons):
            status = await self.get_json(self.announce_address(index), "/v1/status")
            targets = await self.get_json(self.announce_address(index), "/v1/targets")
            if not status or len(status["live_members"]) < self.plan.daemons:
                return False
            if len(targets or ()) < len(self.plan.services):
                return False
            if not status["lease_seconds"] or status["shards_kept"] < status["shards"]:
                return False
        return True

    def _settings_text(self, index: int) -> str:
        settings = {
            "name": f"vm-{index}",
            "zone": self.zone(index),
            "region": "region-1",
            "caller_address": str(self.caller_address(index)),
            "peer_address": str(self.peer_address(index)),
            "announce_address": str(self.announce_address(index)),
            "store_address": str(self.store),
            "seed_peers": [
                to_plain(self.peer_address(other))
                for other in range(self.plan.daemons)
                if other != index
            ],
            **(self.plan.daemon_settings or {}),
        }
        return f"// Settings of {settings['name']}.\n{json.dumps(settings, indent=2)}\n"

    def start_module(self, process: str, module: str, **arguments: str) -> None:
        """Start a module as a process.

        Args:
            process: Name of the process and of its log file.
            module: Name of the module.
            **arguments: Options of its command line.
        """
        command = [sys.executable, "-m", module]
        command += [f"--{name}={value}" for name, value in arguments.items()]
        self._spawn(process, command)

    def _spawn(self, name: str, command: list[str]) -> None:
        log = (self.directory / f"{name}.log").open("ab")
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self.processes[name] = subprocess.Popen(
            command, stdout=log, stderr=log, env=environment
        )
        log.close()

    def _wait_for_exit(self, name: str) -> int:
        try:
            return self.processes[name].wait(_STOP_SECONDS)
        except subprocess.TimeoutExpired:
            return -1
