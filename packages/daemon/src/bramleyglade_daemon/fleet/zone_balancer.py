"""Keeps the shares of this zone's requests that go to each zone up to date."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.directory import RoutableTargets
from bramleyglade_core.decisions.zone_balance import (
    EMPTY_PLAN,
    ZoneBalance,
    ZonePlan,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.decisions.zone_balance import ShareChange
    from bramleyglade_daemon.fleet.context import Context

_PERIOD_SECONDS = 1.0
"""Time between two computations of the shares; loads arrive about once a second."""

_LOG = logging.getLogger(__name__)


class ZoneBalancer:
    """Measures the loads of the own zone and computes its shares."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._routable = RoutableTargets(context.directory, context.settings)
        self._balance = ZoneBalance(context.settings.zone)
        self._configuration: Configuration | None = None
        self._region_by_zone: Mapping[str, str] = {}
        self._objective_by_service: Mapping[str, float] = {}

    async def run(self) -> None:
        """Update the shares, until cancelled."""
        while True:
            wait = _PERIOD_SECONDS * self._context.random.uniform(0.9, 1.1)
            await curio.sleep(wait)
            self.update()

    def update(self) -> None:
        """Measure the loads and compute the shares once."""
        context = self._context
        self._read_configuration()
        context.zone_loads.is_active = len(self._region_by_zone) > 1
        if not context.zone_loads.is_active:
            context.picker.plan = EMPTY_PLAN
            return
        now = context.clock()
        self._measure(now)
        extra = context.zone_loads.extra_seconds_by_zone(now)
        changes = self._balance.update(
            context.zone_loads.front_loads(now),
            self._region_by_zone,
            self._objective_by_service,
            extra,
        )
        context.picker.plan = ZonePlan(
            self._region_by_zone, extra, self._balance.share_by_zone_by_service
        )
        for change in changes:
            self._log_change(change, extra)

    def _measure(self, now: float) -> None:
        context = self._context
        services = context.zone_loads.home_services()
        services.update(target.service for target in context.targets)
        service_by_name = context.configuration.service_by_name
        candidates_by_service = {
            name: self._routable.find(service_by_name[name], context.configuration)
            for name in services
            if name in service_by_name
        }
        records = context.directory.record_by_name
        home_size = sum(
            records[name].zone == context.settings.zone
            for name in context.directory.serving_names()
        )
        context.zone_loads.measure_home(
            candidates_by_service,
            context.picker.view_by_target,
            context.picker.typical_seconds,
            home_size,
            now,
        )

    def _read_configuration(self) -> None:
        configuration = self._context.configuration
        if configuration is self._configuration:
            return
        self._configuration = configuration
        zones = configuration.zone_by_name
        self._region_by_zone = {name: zone.region for name, zone in zones.items()}
        objectives: dict[str, float] = {}
        for route in configuration.route_by_name.values():
            if route.objective_seconds is None:
                continue
            for service in (route.service, *(part.service for part in route.split)):
                known = objectives.get(service, route.objective_seconds)
                objectives[service] = min(known, route.objective_seconds)
        self._objective_by_service = objectives

    def _log_change(self, change: ShareChange, extra: Mapping[str, float]) -> None:
        leaving = 1.0 - change.share_by_zone[self._context.settings.zone]
        fields = {
            "zone": self._context.settings.zone,
            "service": change.service,
            "leaving": round(leaving, 3),
            "leaving_before": round(change.leaving_before, 3),
            "shares": {z: round(s, 3) for z, s in change.share_by_zone.items()},
            "demands": {z: round(d.demand, 2) for z, d in change.load_by_zone.items()},
            "capacities": {
                z: round(d.capacity, 2) for z, d in change.load_by_zone.items()
            },
            "ages": {z: round(d.age, 2) for z, d in change.load_by_zone.items()},
            "extra_seconds": {z: round(s, 4) for z, s in extra.items()},
        }
        _LOG.info("ZoneSharesChanged", extra=fields)
        self._context.telemetry.note_event("ZoneSharesChanged")
