"""A stand-in for a target on the users' platform."""

from __future__ import annotations

import json
from dataclasses import dataclass, replace

import curio

from bramleyglade_core.model.exchange import Header
from bramleyglade_standins.http_server import StandInAnswer, StandInRequest

_HEALTH_PATH = "/health"


@dataclass(frozen=True, slots=True)
class PlatformTargetBehaviour:
    """How a target answers; the defaults are those of a healthy target."""

    work_seconds: float = 0.0
    failure_status: int | None = None
    """Status of the answer to each request; None if requests succeed."""
    sheds: bool = False
    """True if it refuses requests without running them."""
    loses_answers: bool = False
    """True if it runs requests and closes the connection without an answer."""
    cold_seconds: float = 0.0
    is_leaving: bool = False
    """True if its health checks fail because it is about to stop."""
    states_leaving: bool = False
    """True if its answers state that it is leaving."""
    requests_per_second: str = ""
    """Rate that its answers name as its limit; empty if they name none."""


class PlatformTarget:
    """Runs requests addressed to its instance, and records every request."""

    def __init__(self, instance: str, slots: int = 4) -> None:
        self.instance = instance
        self.slots = slots
        self.behaviour = PlatformTargetBehaviour()
        self.seen: list[dict[str, str]] = []
        """Headers by name, of each request that arrived."""
        self.runs_by_request: dict[str, int] = {}
        self.health_checks = 0

    def set_leaving(self) -> None:
        """Begin to leave; requests are served until the target stops."""
        self.behaviour = replace(self.behaviour, is_leaving=True)

    async def answer(self, request: StandInRequest) -> StandInAnswer:
        """Answer one request or health check."""
        if request.head.target == _HEALTH_PATH:
            return self._health()
        answer = await self._answer_request(request)
        headers = list(answer.headers)
        if self.behaviour.states_leaving:
            headers.append(Header("server-leaving", "1"))
        if self.behaviour.requests_per_second:
            rate = self.behaviour.requests_per_second
            headers.append(Header("server-limit", rate))
        return replace(answer, headers=tuple(headers))

    async def _answer_request(self, request: StandInRequest) -> StandInAnswer:
        header_by_name = {h.name: h.value for h in request.head.headers}
        self.seen.append(header_by_name)
        attempt_id = header_by_name.get("attempt-id", "")
        echo = Header("attempt-id", attempt_id)
        if header_by_name.get("expected-instance") != self.instance:
            return StandInAnswer(421, b"", (echo, Header("instance-id", self.instance)))
        if self.behaviour.sheds:
            return StandInAnswer(503, b"", (echo, Header("not-executed", "1")))
        self.runs_by_request[attempt_id] = self.runs_by_request.get(attempt_id, 0) + 1
        if self.behaviour.work_seconds:
            await curio.sleep(self.behaviour.work_seconds)
        body = json.dumps({"instance": self.instance, "size": len(request.body)})
        status = self.behaviour.failure_status or 200
        headers = (echo, Header("server-seal", f"seal-of-{self.instance}"))
        is_lost = self.behaviour.loses_answers
        return StandInAnswer(status, body.encode(), headers, is_lost=is_lost)

    def _health(self) -> StandInAnswer:
        self.health_checks += 1
        cold = str(int(self.behaviour.cold_seconds * 1000))
        headers = (
            Header("instance-id", self.instance),
            Header("server-load", f"0,0,{self.slots}"),
            Header("cold-remaining-ms", cold),
        )
        return StandInAnswer(503 if self.behaviour.is_leaving else 200, b"", headers)
