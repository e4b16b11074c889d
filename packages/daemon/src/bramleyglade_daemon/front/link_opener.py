"""Opens links in the background to the guards that requests are going to need."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.directory import RoutableTargets
from bramleyglade_core.decisions.link_choice import LinkState, guards_to_link

if TYPE_CHECKING:
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_PERIOD_SECONDS = 0.25
"""Time between two checks for missing links."""

_IN_USE_SECONDS = 30.0
"""Time after a request for a service in which links to its guards are kept open."""

_MAX_DIALS_PER_PERIOD = 16
"""Links that begin to be opened in one period; handshakes cost CPU time on both VMs."""

_LOG = logging.getLogger(__name__)


class LinkOpener:
    """Keeps links to the guards of the services that this front gets requests for."""

    def __init__(self, context: Context, peers: Peers) -> None:
        self._context = context
        self._peers = peers
        self._routable = RoutableTargets(context.directory, context.settings)
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
        names = {*self._missing, *self._needed()}
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
        now = self._context.clock()
        configuration = self._context.configuration
        names: set[str] = set()
        for name, requested_at in list(self._requested_at_by_service.items()):
            service = configuration.service_by_name.get(name)
            if service is None or now - requested_at > _IN_USE_SECONDS:
                del self._requested_at_by_service[name]
                continue
            candidates = self._routable.find(service, configuration)
            names.update(
                guards_to_link(candidates, configuration, self._context.settings)
            )
        return names
