"""A stand-in target that announces itself, with faults that are set at run time.

Its answers describe the request, so that callers can check that an answer belongs
to their own request. It counts the runs of each request ID.
"""

from __future__ import annotations

import hashlib
import json
import random
from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any

import curio
import fire

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
)
from bramleyglade_adapters.structure import from_json, to_json
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.identifiers import Address
from bramleyglade_standins.http_server import StandInAnswer, StandInRequest, listen

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_ANNOUNCE_SECONDS = 1.0
_HANG_SECONDS = 30.0
_REPORT_PATH = "/-/report"


class TargetStep(Enum):
    """Step of a request at the target, at which tests can act."""

    ARRIVED = "arrived"
    """The whole request has arrived and has not run yet."""
    RAN = "ran"
    """The request has run, and no byte of the answer has been sent."""


@dataclass(frozen=True, slots=True)
class TargetBehaviour:
    """Speed and faults of the target."""

    work_seconds: float = 0.004
    """Mean duration of a request on a warm target without overload."""
    slow_factor: float = 1.0
    error_share: float = 0.0
    hang_share: float = 0.0
    truncate_share: float = 0.0
    reset_share: float = 0.0
    is_draining: bool = False
    cold_answers: int = 0
    """Answers after which a cold target can use all of its slots; 0 if warm."""


class StandInTarget:
    """State and behaviour of one target."""

    def __init__(self, announced: TargetAnnouncement, seed: int) -> None:
        self.announced = announced
        self.behaviour = TargetBehaviour()
        self.runs_by_request: Counter[str] = Counter()
        self.keys_seen = 0
        self.answered = 0
        self.running = 0
        self.peak_running = 0
        self.overloads = 0
        """Requests that raised the number of running requests above `capacity`."""
        self.on_step: Callable[[TargetStep], Awaitable[None]] | None = None
        """Called at each step of a request, so that tests can act at that moment."""
        self._random = random.Random(seed)

    @property
    def capacity(self) -> int:
        """Requests that the target can currently run at once at full speed."""
        cold = self.behaviour.cold_answers
        if self.answered >= cold:
            return self.announced.slots
        return 1 + int((self.announced.slots - 1) * self.answered / cold)

    async def answer(self, request: StandInRequest) -> StandInAnswer:
        """Answer one request."""
        path = request.head.target
        if path.startswith("/-/"):
            return self._answer_control(path, request.body)
        request_id = request.head.header("x-request-id")
        await self._notify_step(TargetStep.ARRIVED)
        self.runs_by_request[request_id] += 1
        self.keys_seen += bool(request.head.header("x-api-key"))
        self.running += 1
        self.peak_running = max(self.peak_running, self.running)
        try:
            return await self._work(request, request_id)
        finally:
            self.running -= 1

    async def _work(self, request: StandInRequest, request_id: str) -> StandInAnswer:
        behaviour = self.behaviour
        seconds = behaviour.work_seconds * behaviour.slow_factor
        if self.running > self.capacity:
            self.overloads += 1
            seconds *= self.running / self.capacity
        if self._random.random() < behaviour.hang_share:
            await curio.sleep(_HANG_SECONDS)
        await curio.sleep(seconds * self._random.uniform(0.8, 1.2))
        if self._random.random() < behaviour.reset_share:
            return StandInAnswer(200, is_lost=True)
        if self._random.random() < behaviour.error_share:
            return StandInAnswer(500, b"{}")
        self.answered += 1
        await self._notify_step(TargetStep.RAN)
        body = self._echo(request, request_id)
        if self._random.random() < behaviour.truncate_share:
            return StandInAnswer(200, body[:10], declared_length=len(body))
        return StandInAnswer(200, body)

    async def _notify_step(self, step: TargetStep) -> None:
        if self.on_step is not None:
            await self.on_step(step)

    def _echo(self, request: StandInRequest, request_id: str) -> bytes:
        plain = {
            "target": self.announced.name,
            "method": request.head.method,
            "path": request.head.target,
            "request_id": request_id,
            "body_bytes": len(request.body),
            "body_sha256": hashlib.sha256(request.body).hexdigest(),
        }
        return json.dumps(plain).encode()

    def _answer_control(self, path: str, body: bytes) -> StandInAnswer:
        if path == "/-/behaviour":
            code = ErrorCode.BAD_REQUEST
            self.behaviour = from_json(TargetBehaviour, body, code)
            return StandInAnswer(200, b"{}")
        if path == _REPORT_PATH:
            return _json_answer(
                {
                    "running": self.running,
                    "is_draining": self.behaviour.is_draining,
                    "instance": self.announced.instance,
                }
            )
        return _json_answer(
            {
                "runs": dict(self.runs_by_request),
                "keys_seen": self.keys_seen,
                "answered": self.answered,
                "peak_running": self.peak_running,
                "overloads": self.overloads,
            }
        )


def _json_answer(plain: Any) -> StandInAnswer:
    return StandInAnswer(200, json.dumps(plain).encode())


async def announce_periodically(announced: TargetAnnouncement, guard: Address) -> None:
    """Announce a target to its guard periodically, until cancelled.

    Args:
        announced: The announcement.
        guard: The guard's endpoint for announcements.
    """
    client = SimpleClient(guard)
    path = f"/v1/targets/{announced.name}"
    while True:
        try:
            await client.request("PUT", path, to_json(announced))
            await curio.sleep(_ANNOUNCE_SECONDS)
        except (RequestNotSent, AnswerLost):
            await curio.sleep(_ANNOUNCE_SECONDS / 10)


def run(
    name: str,
    service: str,
    address: str,
    guard: str,
    slots: int = 4,
    instance: str = "1",
    seed: int = 1,
) -> None:
    """Serve as a target until the process is terminated.

    Args:
        name: Name of the target.
        service: Service that it belongs to.
        address: Where to listen, as host:port.
        guard: The guard's endpoint for announcements, as host:port.
        slots: Requests that it can run concurrently.
        instance: Instance of the target, which changes when it restarts.
        seed: Seed of the random number generator.
    """
    announced = TargetAnnouncement(
        name=name,
        service=service,
        address=Address.parse(address),
        slots=slots,
        instance=str(instance),
        report_path=_REPORT_PATH,
    )
    target = StandInTarget(announced, seed)

    async def serve() -> None:
        await listen(announced.address, target.answer)
        await announce_periodically(announced, Address.parse(guard))

    curio.run(serve)


if __name__ == "__main__":
    fire.Fire(run)
