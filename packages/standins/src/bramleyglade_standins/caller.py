"""Callers that check whether each answer belongs to their own request."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
    WholeAnswer,
)
from bramleyglade_core.model.exchange import Header
from bramleyglade_core.model.identifiers import Address

if TYPE_CHECKING:
    import random


_TIMEOUT_SECONDS = 10.0


@dataclass(frozen=True, slots=True)
class CallerSettings:
    """What a caller sends, where to and how often."""

    team: str
    key: str
    path: str
    addresses: tuple[Address, ...]
    """Daemons to call; one is picked at random at first and after each lost answer."""
    requests_per_second: float
    method: str = "GET"


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """Outcome of one request."""

    team: str
    request_id: str
    code: str
    """`ok`, the fleet's error code, `lost` or `wrong`."""
    verdict: str
    seconds: float
    at: float
    """Time at which the request ended, on this process's monotonic clock."""
    detail: str = ""
    """Name of the target that answered, or the error that lost the answer."""


class Caller:
    """A caller that uses its own connection."""

    def __init__(self, settings: CallerSettings, random_source: random.Random) -> None:
        self._settings = settings
        self._random = random_source
        self._client: SimpleClient | None = None
        self.outcomes: list[CallOutcome] = []

    async def run(self, seconds: float) -> None:
        """Send requests one at a time, with random pauses between them."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            pause = self._random.expovariate(self._settings.requests_per_second)
            await curio.sleep(min(pause, 1.0))
            self.outcomes.append(await self.call())
        if self._client is not None:
            await self._client.close()

    async def call(self) -> CallOutcome:
        """Send one request and check its answer."""
        request_id = f"{self._random.getrandbits(64):016x}"
        headers = (
            Header("x-api-key", self._settings.key),
            Header("x-request-id", request_id),
        )
        started_at = time.monotonic()
        try:
            answer = await self._connect().request(
                self._settings.method,
                self._settings.path,
                headers=headers,
                timeout_seconds=_TIMEOUT_SECONDS,
            )
            code, verdict, detail = self._check_answer(answer, request_id)
        except (RequestNotSent, AnswerLost) as error:
            await self._disconnect()
            code, verdict, detail = "lost", "may-have-run", str(error)
        now = time.monotonic()
        team = self._settings.team
        return CallOutcome(
            team, request_id, code, verdict, now - started_at, now, detail
        )

    def _check_answer(
        self, answer: WholeAnswer, request_id: str
    ) -> tuple[str, str, str]:
        verdict = answer.header("x-fleet-verdict")
        code = answer.header("x-fleet-code")
        if answer.status != 200 or code != "ok":
            return (code if code != "ok" else "target-error"), verdict, ""
        echo = json.loads(answer.body)
        is_own = echo["request_id"] == request_id
        if not is_own or echo["path"] != self._settings.path:
            return "wrong", verdict, echo["target"]
        return code, verdict, echo["target"]

    def _connect(self) -> SimpleClient:
        if self._client is None:
            address = self._random.choice(self._settings.addresses)
            self._client = SimpleClient(address)
        return self._client

    async def _disconnect(self) -> None:
        if self._client is not None:
            await self._client.close()
            self._client = None
