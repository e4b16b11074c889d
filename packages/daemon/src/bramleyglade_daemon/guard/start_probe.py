"""Discovers a target that already runs on this VM when the daemon starts."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
    WholeAnswer,
)
from bramleyglade_core.model.announcements import TargetRun

if TYPE_CHECKING:
    from bramleyglade_core.model.announcements import TargetAnnouncement
    from bramleyglade_core.model.settings import LocalTarget
    from bramleyglade_core.ports.dialect import HealthCheckResult
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.guard.guard import Guard

_MAX_TRIES = 4
"""Limit on health checks; by then the target has sent its own report."""

_PAUSE_SECONDS = 0.3
_TIMEOUT_SECONDS = 0.5
"""Timeout of a health check, which takes about 25 ms."""

_OK = 200

_LOG = logging.getLogger(__name__)


class StartProbe:
    """Finds a target that an earlier daemon knew, before it sends its next report.

    A health answer names an instance but no service, so an instance that has not
    reported to any daemon of this VM gets no requests until it does.
    """

    def __init__(self, context: Context, guard: Guard) -> None:
        self._context = context
        self._guard = guard

    async def run(self) -> None:
        """Check the target's health until it is registered, a few times at most."""
        local = self._context.settings.local_target
        if local is None:
            return
        tries = 0
        while tries < _MAX_TRIES and not self._guard.runner_by_name:
            if not self._context.is_history_known:
                await curio.sleep(_PAUSE_SECONDS)
                continue
            service = self._context.configuration.service_by_name.get(local.service)
            if service is not None and service.health_path:
                tries += 1
                await self._check(local, service.health_path)
            await curio.sleep(_PAUSE_SECONDS)

    async def _check(self, local: LocalTarget, path: str) -> None:
        answer = await self._ask_health(local, path)
        if answer is None:
            return
        result = self._context.dialect.read_health_headers(answer.headers)
        if result is not None and result.is_leaving:
            await self._guard.leave(TargetRun(result.instance, result.instance))
        elif answer.status != _OK:
            _LOG.info("TargetNotFound", extra={"why": f"status {answer.status}"})
        elif result is not None and result.slots and not self._guard.runner_by_name:
            await self._announce(local, result)

    async def _ask_health(self, local: LocalTarget, path: str) -> WholeAnswer | None:
        client = SimpleClient(local.address)
        try:
            return await client.request("GET", path, timeout_seconds=_TIMEOUT_SECONDS)
        except (RequestNotSent, AnswerLost) as error:
            _LOG.info("TargetNotFound", extra={"why": str(error)})
            return None
        finally:
            await client.close()

    async def _announce(
        self, local: LocalTarget, health_result: HealthCheckResult
    ) -> None:
        reported = self._find_reported(health_result.instance)
        if reported is None:
            why = f"instance {health_result.instance!r} has not reported its service"
            _LOG.info("TargetNotFound", extra={"why": why})
            return
        announced = replace(reported, address=local.address, slots=health_result.slots)
        await self._guard.register(announced, health_result.cold_seconds)

    def _find_reported(self, instance: str) -> TargetAnnouncement | None:
        """Return how an instance was announced to an earlier daemon of this VM."""
        record = self._context.earlier_record
        targets = record.targets if record is not None else ()
        return next((t for t in targets if t.instance == instance), None)
