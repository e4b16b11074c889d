"""Opens links in the background to the guards that requests are going to need."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.directory import RoutableTargets
from bramleyglade_core.decisions.link_choice import GuardLinks, LinkState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_PERIOD_SECONDS = 0.25
"""Time between two checks for missing links."""

_IN_USE_SECONDS = 30.0
"""Time after a request for a service in which links to its guards are kept open."""

_MAX_DIALS_PER_PERIOD = 16
"""Links that begin to be opened in one period; handshakes cost CPU time on both VMs."""

_MAX_EARLY_LINKS = 128
"""Guards of all services together up to which links to them are opened before the first
request; each of several hundred fronts would otherwise open links it may never use."""

_MAX_EARLY_SERVICES = 32
"""Services whose guards are counted for that, four times a second."""

_MAX_KEEPERS = 32
"""Keepers up to which links to them are opened before a team's first request, which
waits 0.3 s for a share: less than a dial takes on a VM that opens many links."""

_LOG = logging.getLogger(__name__)


class LinkOpener:
    """Keeps links to the guards and keepers that this front's requests need."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._routable = RoutableTargets(context.directory, context.settings)
        self._early_links = GuardLinks(context.settings)
        """Links for all services, before the first request."""
        self._links = GuardLinks(context.settings)
        """Links for the services in use."""
        self._requested_at_by_service: dict[str, float] = {}
        self._missing: set[str] = set()

    def note_request(self, service: str) -> None:
        """Note a request for a service, whose guards are going to be needed."""
        self._requested_at_by_service[service] = self._context.clock()

    def note_missing(self, daemon: str) -> None:
        """Note a guard that a request was not offered to for lack of a link."""
        self._missing.add(daemon)

    async def run(self) -> None:
        """Open missing links and keep the open ones, until cancelled."""
        while True:
            await self._open_missing()
            await curio.sleep(_PERIOD_SECONDS)

    async def _open_missing(self) -> None:
        names = {*self._missing, *self._needed(), *self._keepers()}
        self._missing.clear()
        dials = 0
        for name in names:
            if self._peers.link_state(name) is LinkState.MISSING:
                if dials >= _MAX_DIALS_PER_PERIOD:
                    continue
                dials += 1
            await self._peers.keep_link(name)
        if dials:
            _LOG.debug("LinksOpened", extra={"dials": dials, "needed": len(names)})

    def _needed(self) -> set[str]:
        """Return the guards of the services in use, or of all if they are few."""
        self._forget_unused()
        services = self._context.configuration.service_by_name
        if len(services) <= _MAX_EARLY_SERVICES:
            of_all = self._choose(self._early_links, services)
            if len(of_all) <= _MAX_EARLY_LINKS:
                return of_all
        return self._choose(self._links, self._requested_at_by_service)

    def _choose(self, links: GuardLinks, services: Iterable[str]) -> set[str]:
        configuration = self._context.configuration
        candidates_by_service = {
            name: self._routable.find(
                configuration.service_by_name[name], configuration
            )
            for name in services
        }
        return links.choose(candidates_by_service, configuration)

    def _forget_unused(self) -> None:
        now = self._context.clock()
        services = self._context.configuration.service_by_name
        for name, requested_at in list(self._requested_at_by_service.items()):
            if name not in services or now - requested_at > _IN_USE_SECONDS:
                del self._requested_at_by_service[name]

    def _keepers(self) -> set[str]:
        """Return the keepers of teams' shares if they are few."""
        assignments = self._context.view.assignment_by_shard.values()
        names = {assignment.keeper.name for assignment in assignments}
        names.discard(self._context.settings.name)
        return names if len(names) <= _MAX_KEEPERS else set()
