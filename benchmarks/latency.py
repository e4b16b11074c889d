"""Latency and processor time that the fleet adds to a request.

Three processes on loopback: the caller here, daemons and a target that answers
at once. Direct calls, calls over one hop (the target's own VM) and over two
(another VM) run interleaved, so that noise meets all alike.
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
"""Requests a second on one daemon at the peak, spread over 6,100."""

_SECONDS = 20.0
_WARM_SECONDS = 3.0
_CONNECTIONS = 8
_MILLISECONDS = 1000.0
_CLOCK_TICK = os.sysconf("SC_CLK_TCK")
_PAGE = os.sysconf("SC_PAGE_SIZE")
_KEY = Header("x-api-key", "key-of-studio")

_SETTINGS = {
    "telemetry": {"exporter": "json", "trace_share": 0.05, "period_seconds": 5.0}
}


@dataclass(frozen=True, slots=True)
class Way:
    """One way to the target."""

    name: str
    address: Address


def processor_seconds(pid: int) -> float:
    """Return the processor time of a process."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICK


def resident_bytes(pid: int) -> int:
    """Return the memory that a process has in use."""
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * _PAGE


async def _load(
    way: Way, seconds: float, rate: float, seed: int, latencies: list[float]
) -> None:
    """Send Poisson arrivals over a few kept connections."""
    randomness = random.Random(seed)
    clients: curio.Queue = curio.Queue()
    for _ in range(_CONNECTIONS):
        await clients.put(SimpleClient(way.address))
    end = time.monotonic() + seconds
    due = time.monotonic()
    tasks = []
    while (due := due + randomness.expovariate(rate)) < end:
        await curio.sleep(max(0.0, due - time.monotonic()))
        tasks.append(await curio.spawn(_call, clients, latencies))
    for task in tasks:
        await task.join()
    while not clients.empty():
        await (await clients.get()).close()


async def _call(clients: curio.Queue, latencies: list[float]) -> None:
    client = await clients.get()
    started_at = time.perf_counter()
    answer = await client.request("GET", "/catalogue/x", headers=(_KEY,))
    latencies.append(time.perf_counter() - started_at)
    assert answer.status == 200, answer
    await clients.put(client)


async def measure(seed: int) -> None:
    """Measure all ways and print the figures."""
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
        await _measure_ways(fleet, seed)
    finally:
        fleet.stop()


async def _measure_ways(fleet: ProcessFleet, seed: int) -> None:
    bare = Address("127.0.0.1", fleet.plan.first_port + 1)
    fleet.start_module(
        "bare",
        "benchmarks.bare_hop",
        listen=str(bare),
        target=str(fleet.target_address(1, 0)),
    )
    ways = (
        Way("direct", fleet.target_address(1, 0)),
        Way("bare hop", bare),
        Way("one hop", fleet.caller_address(1)),
        Way("two hops", fleet.caller_address(0)),
    )
    pids = [fleet.processes[name].pid for name in ("vm-0", "vm-1", "bare")]
    idle = [processor_seconds(pid) for pid in pids]
    await curio.sleep(3.0)
    for index, pid in enumerate(pids[:2]):
        share = 100 * (processor_seconds(pid) - idle[index]) / 3.0
        emit(Measurement(f"idle processor, vm-{index}", "ours", share, "%", seed))
        memory = resident_bytes(pid) / 1e6
        emit(Measurement(f"idle memory, vm-{index}", "ours", memory, "MB", seed))
    base: dict[str, float] = {}
    for way in ways:
        await _load(way, _WARM_SECONDS, _RATE, seed, [])
        before = [processor_seconds(pid) for pid in pids]
        latencies: list[float] = []
        await _load(way, _SECONDS, _RATE, seed, latencies)
        used = sum(processor_seconds(p) - b for p, b in zip(pids, before, strict=True))
        for share in (0.5, 0.99, 0.999):
            value = _MILLISECONDS * percentile(latencies, share)
            name = f"p{100 * share:g}"
            emit(Measurement(f"latency {name}, {way.name}", "ours", value, "ms", seed))
            if way.name == "direct":
                base[name] = value
            else:
                added = value - base[name]
                label = f"added {name}, {way.name}"
                emit(Measurement(label, "ours", added, "ms", seed))
        each = _MILLISECONDS * used / len(latencies)
        label = f"processor a request, {way.name}"
        emit(Measurement(label, "ours", each, "ms", seed))
    for index, pid in enumerate(pids[:2]):
        memory = resident_bytes(pid) / 1e6
        emit(Measurement(f"loaded memory, vm-{index}", "ours", memory, "MB", seed))


def main(seed: int = 1) -> None:
    """Run the measurement."""
    curio.run(measure, seed)


if __name__ == "__main__":
    main()
