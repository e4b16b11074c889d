"""The task that requests permission to eject targets, renews it and returns it."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_daemon.guard.guard import target_id

if TYPE_CHECKING:
    from bramleyglade_core.model.ejections import EjectionAsked
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.keepers import Keepers
    from bramleyglade_daemon.guard.guard import Guard
    from bramleyglade_daemon.guard.target_runner import TargetRunner

_PERIOD_SECONDS = 0.4

_LOG = logging.getLogger(__name__)


class Ejector:
    """Requests ejections of failing targets from the keepers of their services."""

    def __init__(self, context: Context, guard: Guard, keepers: Keepers) -> None:
        self._context = context
        self._guard = guard
        self._keepers = keepers

    async def run(self) -> None:
        """Check all targets periodically, forever."""
        while True:
            await curio.sleep(_PERIOD_SECONDS)
            for runner in list(self._guard.runner_by_name.values()):
                request = runner.health.make_due_request(
                    target_id(self._context, runner),
                    self._context.daemon,
                    runner.announced,
                    self._context.clock(),
                )
                if request is not None:
                    await self._request_ejection(runner, request)

    async def _request_ejection(
        self, runner: TargetRunner, request: EjectionAsked
    ) -> None:
        requested_at = self._context.clock()
        is_granted = await self._keepers.request_ejection(request)
        if is_granted is None:
            return
        if runner.health.apply_decision(request, is_granted, requested_at):
            name = runner.announced.name
            _LOG.warning("TargetEjected", extra={"target": name})
            self._context.telemetry.note_event("TargetEjected")
            await runner.eject()
