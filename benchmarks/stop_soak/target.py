"""A target whose work has a long tail; it prints each run before its work."""

from __future__ import annotations

import json
import random
import time

import curio
import fire

from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.identifiers import Address
from bramleyglade_standins.http_server import StandInAnswer, StandInRequest, listen
from bramleyglade_standins.target_server import announce_periodically


def draw_work(random_source: random.Random) -> float:
    """Return the duration of one run: 0.25 s on average, at most 2.1 s."""
    seconds = random_source.lognormvariate(-1.51, 0.5)
    return min(2.1, seconds * (5.0 if random_source.random() < 0.01 else 1.0))


def run(name: str, address: str, guard: str, slots: int, seed: int) -> None:
    """Serve as a target of the service `catalogue` until the process is terminated."""
    at = Address.parse(address)
    announced = TargetAnnouncement(
        name=name, service="catalogue", address=at, slots=slots, instance="1"
    )
    random_source = random.Random(seed)

    async def answer(request: StandInRequest) -> StandInAnswer:
        request_id = request.head.header("x-request-id")
        began_at = time.time()
        ends_at = began_at + draw_work(random_source)
        print(json.dumps([request_id, began_at, ends_at]), flush=True)
        await curio.sleep(ends_at - time.time())
        return StandInAnswer(200, request_id.encode())

    async def serve() -> None:
        await listen(at, answer)
        await announce_periodically(announced, Address.parse(guard))

    curio.run(serve)


if __name__ == "__main__":
    fire.Fire(run)
