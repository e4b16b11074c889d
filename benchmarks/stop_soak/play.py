"""One play: a fleet of processes, its callers and the trouble from a seed."""

from __future__ import annotations

import json
import math
import random
import signal
import time
from dataclasses import asdict, dataclass, field
from functools import singledispatch
from pathlib import Path
from typing import TYPE_CHECKING

import curio

from benchmarks.stop_soak.callers import Call, Caller
from benchmarks.stop_soak.judge import GRACE_SECONDS, SignalTimes, TargetRun
from benchmarks.stop_soak.trouble import (
    Changed,
    Mode,
    Restored,
    Signalled,
    draw_schedule,
)
from bramleyglade_adapters.http.simple_client import SimpleClient
from bramleyglade_adapters.store.http_store import HttpStore
from bramleyglade_client.ticket_repository import TicketRepository
from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.model.entities import Route, Service, Team, Zone
from bramleyglade_core.model.errors import BadInput, StoreError
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.processes import FleetPlan, ProcessFleet

if TYPE_CHECKING:
    from bramleyglade_core.model.entities import Entity

_CALLERS_PER_DAEMON = 16
_WORK_SECONDS = 0.26
_POLL_SECONDS = 0.02
_RESTART_SECONDS = 0.4
_REWRITE_SECONDS = 1.0
"""Time after which operators write again what the store has lost."""
_ZONES = ("zone-0", "zone-1", "zone-2")
_ENTITIES: tuple[Entity, ...] = (
    *(Zone(zone, "region-1") for zone in _ZONES),
    Service("catalogue", _ZONES),
    Route("open", "catalogue", "/open", ("POST",), True, timeout_seconds=4.0),
    Route("read", "catalogue", "/open", ("GET",), True, timeout_seconds=2.0),
    Route("keyed", "catalogue", "/keyed", ("POST",), timeout_seconds=4.0),
    Route("keyed-read", "catalogue", "/keyed", ("GET",), timeout_seconds=2.0),
    Team("studio", 60.0, 60, (hash_key("key-of-studio"),)),
)
_DAEMON_SETTINGS = {
    "stop_seconds": 5.3,
    "notice_seconds": 2.3,
    "limits": {"answer_wait_seconds": 0.3},
    "health": {"threshold": 1e9},
    "front": {"retry_share": 0.18, "retry_floor": 57.6},
}


@dataclass(frozen=True, slots=True)
class PlaySettings:
    """Settings of one play."""

    seed: int
    mode: Mode
    seconds: float = 40.0
    daemons: int = 9
    first_port: int = 27_000


@dataclass(frozen=True, slots=True)
class Stage:
    """A running fleet and the trouble that it has had."""

    fleet: ProcessFleet
    repository: TicketRepository
    times: SignalTimes = field(default_factory=SignalTimes)
    stop_by_daemon: dict[int, float] = field(default_factory=dict)
    """Time of the first SIGTERM of each daemon's process."""
    tickets: list[Ticket] = field(default_factory=list)
    """Tickets that the operators have applied, which they write again once lost."""
    restorations: list[Restored] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Record:
    """What a play has left."""

    calls: list[Call]
    runs_by_request: dict[str, list[TargetRun]]
    times: SignalTimes
    logs: Path
    restorations: int = 0
    """How often the store came back from a copy."""


class SoakFleet(ProcessFleet):
    """A fleet with the targets of the soak."""

    def start_target(self, index: int, service: int) -> None:
        """Start one target."""
        name = f"target-{index}"
        address = str(self.target_address(index, service))
        guard = str(self.announce_address(index))
        more = {"address": address, "guard": guard, "slots": str(self.plan.slots)}
        module = "benchmarks.stop_soak.target"
        self.start_module(name, module, name=name, seed=str(index), **more)


async def play(settings: PlaySettings) -> Record:
    """Play, then stop the fleet; its logs are kept."""
    port = settings.first_port
    zones = len(_ZONES)
    era = 1 if settings.mode.has_restorations else 0
    plan = FleetPlan(
        settings.daemons, zones, ("catalogue",), port, 3, _DAEMON_SETTINGS, era
    )
    fleet = SoakFleet(plan)
    store = HttpStore(fleet.store)
    stage = Stage(fleet, TicketRepository(store))
    try:
        fleet.start()
        await _apply(Changed(_ENTITIES), stage)
        await fleet.wait_ready(seconds=30.0)
        calls = await _run(settings, stage)
    finally:
        await store.close()
        fleet.stop()
    runs = _read_runs(fleet.directory)
    restorations = len(stage.restorations)
    return Record(calls, runs, stage.times, fleet.directory, restorations)


async def _run(settings: PlaySettings, stage: Stage) -> list[Call]:
    source = random.Random(f"{settings.seed} trouble")
    seconds, daemons = settings.seconds, settings.daemons
    schedule = draw_schedule(settings.mode, seconds, daemons, source)
    callers = _make_callers(settings, stage.fleet)
    started_at = time.time()
    tasks = [await curio.spawn(c.run, started_at + seconds) for c in callers]
    supervisors = [await curio.spawn(_supervise, stage, i) for i in range(daemons)]
    for at, trouble in schedule:
        await curio.sleep(max(0.0, started_at + at - time.time()))
        await _apply(trouble, stage)
    for task in tasks:
        await task.join()
    for task in supervisors:
        await task.cancel()
    return [call for caller in callers for call in caller.calls]


def _make_callers(settings: PlaySettings, fleet: ProcessFleet) -> list[Caller]:
    mode = settings.mode
    rate = mode.load * fleet.plan.slots / _WORK_SECONDS / _CALLERS_PER_DAEMON
    pause = max(0.05, (1.0 + mode.pair_share) / rate - _WORK_SECONDS)
    callers = []
    for index in range(settings.daemons):
        address = fleet.caller_address(index)
        for number in range(_CALLERS_PER_DAEMON):
            name = f"s{settings.seed}-{index}-{number}"
            callers.append(Caller(name, index, address, pause, mode.pair_share))
    return callers


@singledispatch
async def _apply(trouble: object, stage: Stage) -> None:
    raise TypeError(trouble)


@_apply.register
async def _(trouble: Signalled, stage: Stage) -> None:
    process = stage.fleet.processes[f"vm-{trouble.daemon}"]
    if process.poll() is not None:
        return
    process.send_signal(trouble.number)
    now = time.time()
    if trouble.number is signal.SIGKILL:
        stage.times.kills.append(now)
    elif trouble.number is signal.SIGTERM:
        if trouble.daemon not in stage.stop_by_daemon:
            stage.stop_by_daemon[trouble.daemon] = now
            stage.times.stops_by_daemon.setdefault(trouble.daemon, []).append(now)


@_apply.register
async def _(trouble: Changed, stage: Stage) -> None:
    number = 1 + len(stage.tickets)
    stage.tickets.append(Ticket(number, "", trouble.entities, trouble.removed))
    await _write_tickets(stage)


@_apply.register
async def _(trouble: Restored, stage: Stage) -> None:
    stage.restorations.append(trouble)
    body = json.dumps(asdict(trouble)).encode()
    client = SimpleClient(stage.fleet.store)
    await client.request("PUT", "/v1/restoration", body)
    await client.close()
    await curio.spawn(_write_lost_tickets, stage, trouble, daemon=True)


async def _write_lost_tickets(stage: Stage, trouble: Restored) -> None:
    await curio.sleep(trouble.outage_seconds + _REWRITE_SECONDS)
    await _write_tickets(stage)


async def _write_tickets(stage: Stage) -> None:
    """Write all tickets that the store lacks, in their order."""
    for ticket in list(stage.tickets):
        while True:
            try:
                await stage.repository.apply(ticket)
                break
            except StoreError:  # The store is starting or away.
                await curio.sleep(_POLL_SECONDS)
            except BadInput:
                # Lost while later tickets were written, one of which replaces it.
                break


async def _supervise(stage: Stage, index: int) -> None:
    """Kill a daemon that outlasts its grace, and restart one that has ended."""
    while True:
        await curio.sleep(_POLL_SECONDS)
        process = stage.fleet.processes[f"vm-{index}"]
        if process.poll() is not None:
            await curio.sleep(_RESTART_SECONDS)
            stage.stop_by_daemon.pop(index, None)
            stage.fleet.start_daemon(index)
        elif time.time() > stage.stop_by_daemon.get(index, math.inf) + GRACE_SECONDS:
            stage.times.overdue.append(time.time())
            process.kill()
            process.wait()


def _read_runs(logs: Path) -> dict[str, list[TargetRun]]:
    runs_by_request: dict[str, list[TargetRun]] = {}
    for log in logs.glob("target-*.log"):
        for line in log.read_text().splitlines():
            request_id, began_at, ends_at = json.loads(line)
            run = TargetRun(log.stem, began_at, ends_at)
            runs_by_request.setdefault(request_id, []).append(run)
    return runs_by_request
