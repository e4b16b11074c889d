"""Latency and processor time that the fleet adds to a request.

The caller is this process; the store, two daemons, a target that answers at once and
a bare relay are processes of their own on loopback. Direct calls, calls over the
relay, over one hop (the daemon of the target's VM) and over two hops (by way of another
VM's daemon) are measured one after another.
"""

from __future__ import annotations

import os
import random
import time
from dataclasses import dataclass

import curio

from benchmarks.measure import Measurement, emit, percentile
from bramleyglade_adapters.http.simple_client import SimpleClient
from bramleyglade_core.model.exchange import Header
from bramleyglade_core.model.identifiers import Address
from bramleyglade_standins.demo import apply_ticket
from bramleyglade_standins.processes import FleetPlan, ProcessFleet

_RATE = 116.0
"""Requests a second at one daemon if 6,100 daemons share the peak load evenly."""

_LOAD_SECONDS = 20.0
_WARM_UP_SECONDS = 3.0
_CONNECTIONS = 8
_MILLISECONDS_PER_SECOND = 1000.0
_CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_KEY_HEADER = Header("x-api-key", "key-of-studio")

_SETTINGS = {
    "telemetry": {"exporter": "json", "trace_share": 0.05, "period_seconds": 5.0}
}


@dataclass(frozen=True, slots=True)
class CallPath:
    """A path on which requests reach the target: its name and where it starts."""

    name: str
    address: Address


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_SECOND


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * _PAGE_BYTES


async def _run_load(
    path: CallPath, seconds: float, rate: float, seed: int, latencies: list[float]
) -> None:
    """Send requests with Poisson arrivals over a few persistent connections."""
    random_source = random.Random(seed)
    clients: curio.Queue = curio.Queue()
    for _ in range(_CONNECTIONS):
        await clients.put(SimpleClient(path.address))
    end = time.monotonic() + seconds
    due = time.monotonic()
    tasks = []
    while (due := due + random_source.expovariate(rate)) < end:
        await curio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(await curio.spawn(_call, clients, latencies))
    for task in tasks:
        await task.join()
    while not clients.empty():
        await (await clients.get()).close()


async def _call(clients: curio.Queue, latencies: list[float]) -> None:
    client = await clients.get()
    started_at = time.perf_counter()
    answer = await client.request("GET", "/catalogue/x", headers=(_KEY_HEADER,))
    latencies.append(time.perf_counter() - started_at)
    assert answer.status == 200, answer
    await clients.put(client)


async def measure(seed: int) -> None:
    """Start a fleet with one target, measure all paths and print the figures."""
    plan = FleetPlan(
        daemons=2,
        zones=1,
        services=("catalogue",),
        first_port=24_000,
        slots=16,
        daemon_settings=_SETTINGS,
    )
    fleet = ProcessFleet(plan)
    fleet.start()
    try:
        apply_ticket(fleet, {"studio": 100_000.0})
        await fleet.wait_ready()
        await fleet.set_behaviour(1, 0, work_seconds=0.0)
        fleet.processes["catalogue-0"].terminate()
        client = SimpleClient(fleet.announce_address(0))
        await client.request("DELETE", "/v1/targets/catalogue-0")
        await client.close()
        await curio.sleep(0.5)
        await _measure_paths(fleet, seed)
    finally:
        fleet.stop()


async def _measure_paths(fleet: ProcessFleet, seed: int) -> None:
    relay = Address("127.0.0.1", fleet.plan.first_port + 1)
    fleet.start_module(
        "bare",
        "benchmarks.bare_hop",
        listen=str(relay),
        target=str(fleet.target_address(1, 0)),
    )
    paths = (
        CallPath("direct", fleet.target_address(1, 0)),
        CallPath("bare hop", relay),
        CallPath("one hop", fleet.caller_address(1)),
        CallPath("two hops", fleet.caller_address(0)),
    )
    pids = [fleet.processes[name].pid for name in ("vm-0", "vm-1", "bare")]
    initial_seconds = [processor_seconds(pid) for pid in pids]
    await curio.sleep(3.0)
    for index, pid in enumerate(pids[:2]):
        percent = 100 * (processor_seconds(pid) - initial_seconds[index]) / 3.0
        emit(Measurement(f"idle processor, vm-{index}", "ours", percent, "%", seed))
        memory = resident_bytes(pid) / 1e6
        emit(Measurement(f"idle memory, vm-{index}", "ours", memory, "MB", seed))
    direct_latency: dict[str, float] = {}
    for path in paths:
        await _run_load(path, _WARM_UP_SECONDS, _RATE, seed, [])
        before = [processor_seconds(pid) for pid in pids]
        latencies: list[float] = []
        await _run_load(path, _LOAD_SECONDS, _RATE, seed, latencies)
        used_seconds = sum(
            processor_seconds(p) - b for p, b in zip(pids, before, strict=True)
        )
        for share in (0.5, 0.99, 0.999):
            value = _MILLISECONDS_PER_SECOND * percentile(latencies, share)
            name = f"p{100 * share:g}"
            emit(Measurement(f"latency {name}, {path.name}", "ours", value, "ms", seed))
            if path.name == "direct":
                direct_latency[name] = value
            else:
                added = value - direct_latency[name]
                label = f"added {name}, {path.name}"
                emit(Measurement(label, "ours", added, "ms", seed))
        per_request = _MILLISECONDS_PER_SECOND * used_seconds / len(latencies)
        label = f"processor a request, {path.name}"
        emit(Measurement(label, "ours", per_request, "ms", seed))
    for index, pid in enumerate(pids[:2]):
        memory = resident_bytes(pid) / 1e6
        emit(Measurement(f"loaded memory, vm-{index}", "ours", memory, "MB", seed))


def main(seed: int = 1) -> None:
    """Run the measurement."""
    curio.run(measure, seed)


if __name__ == "__main__":
    main()
