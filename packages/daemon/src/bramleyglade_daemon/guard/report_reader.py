"""Reads load reports of targets: weak evidence, as they are late and misleading."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
)
from bramleyglade_adapters.json_input import load_json

if TYPE_CHECKING:
    from bramleyglade_daemon.guard.guard import Guard
    from bramleyglade_daemon.guard.target_runner import TargetRunner

_PERIOD_SECONDS = 1.0
_TIMEOUT_SECONDS = 1.0
_OK = 200


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The fields of a target's report that are used."""

    is_draining: bool
    instance: str
    """Changes when the target restarts; empty if it is not reported."""


class ReportReader:
    """Reads the report of each target once a period."""

    def __init__(self, guard: Guard) -> None:
        self._guard = guard

    async def run(self) -> None:
        """Read reports forever."""
        while True:
            await curio.sleep(_PERIOD_SECONDS)
            async with curio.TaskGroup() as group:
                for runner in list(self._guard.runner_by_name.values()):
                    if runner.announced.report_path:
                        await group.spawn(self._check, runner)

    async def _check(self, runner: TargetRunner) -> None:
        report = await self._read(runner)
        if report is None:
            # A failed probe is weak evidence while requests are answered.
            is_quiet = runner.clock() - runner.last_traffic_at > _PERIOD_SECONDS
            if is_quiet:
                runner.health.note_failure(runner.clock())
            return
        if report.is_draining:
            await self._guard.drain(runner.announced.name)
        if report.instance and report.instance != runner.reported_instance:
            if runner.reported_instance:
                await runner.restart(runner.announced)
            runner.reported_instance = report.instance

    async def _read(self, runner: TargetRunner) -> LoadReport | None:
        client = SimpleClient(runner.announced.address)
        try:
            answer = await client.request(
                "GET", runner.announced.report_path, timeout_seconds=_TIMEOUT_SECONDS
            )
            if answer.status != _OK:
                return None
            payload = load_json(answer.body)
            return LoadReport(
                is_draining=payload.get("is_draining") is True,
                instance=str(payload.get("instance", "")),
            )
        except (RequestNotSent, AnswerLost, ValueError, AttributeError):
            return None
        finally:
            await client.close()
