"""Starts the attempts of admitted requests, with the state that they share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bramleyglade_core.decisions.directory import RoutableTargets
from bramleyglade_core.decisions.regions import allowed_regions, intersection
from bramleyglade_core.decisions.stop_schedule import ExpectedTimes
from bramleyglade_daemon.front.attempts import Attempts

if TYPE_CHECKING:
    from bramleyglade_adapters.telemetry import Hop
    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.decisions.link_choice import LinkState
    from bramleyglade_core.model.verdict import Verdict
    from bramleyglade_core.ports.streams import AttemptPort
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.front.guard_ports import GuardPorts
    from bramleyglade_daemon.front.link_opener import LinkOpener
    from bramleyglade_daemon.front.request import AdmittedRequest, BodyFeeder
    from bramleyglade_daemon.front.request_log import RequestLog
    from bramleyglade_daemon.front.retry_loans import RetryLoans


class Dispatcher:
    """Sends admitted requests to targets."""

    def __init__(
        self,
        context: Context,
        ports: GuardPorts,
        retries: RetryLoans,
        opener: LinkOpener,
    ) -> None:
        self._context = context
        self._ports = ports
        self._retries = retries
        self.opener = opener
        """Opens links to the guards that requests are going to need."""
        self._routable = RoutableTargets(context.directory, context.settings)
        self._last_request = 0

    def start(
        self,
        request: AdmittedRequest,
        feeder: BodyFeeder,
        hop: Hop,
        log: RequestLog,
    ) -> Attempts:
        """Count a new request in the retry budgets and return its attempts."""
        self._last_request += 1
        self.opener.note_request(request.service.name)
        budgets = self._context.retry_budgets
        budgets.set_fleet_size(len(self._context.directory.record_by_name))
        budgets.note_first_attempt(request.service.name, self._context.clock())
        if not request.team:
            budgets.note_call(request.service.name)
        return Attempts(self, request, feeder, hop, log, self._last_request)

    @property
    def context(self) -> Context:
        """State shared by all tasks of the daemon."""
        return self._context

    async def try_spend_retry(self, request: AdmittedRequest, verdict: Verdict) -> bool:
        """Spend one retry of the service's budget; False if it is used up."""
        return await self._retries.try_spend(request.service.name, verdict)

    def port(self, candidate: Candidate) -> AttemptPort:
        """Return the port of a target's guard."""
        return self._ports.find(candidate.target.daemon)

    def link_state(self, candidate: Candidate) -> LinkState:
        """Return the state of the link to a target's guard."""
        return self._ports.link_state(candidate.target.daemon)

    def refresh_local_views(self) -> None:
        """Update the load of the targets on this VM; needs no message."""
        self._ports.refresh_local_views()

    def candidates(self, request: AdmittedRequest) -> list[Candidate]:
        """Return the targets that may take the request now."""
        configuration = self._context.configuration
        # A list that was tightened since the request was admitted applies to it too.
        in_force = allowed_regions(
            configuration.route_by_name.get(request.route.name),
            configuration.team_by_name.get(request.team),
        )
        regions = intersection(request.regions, in_force)
        return self._routable.find(request.service, configuration, regions)

    def expected_times(self, service: str) -> ExpectedTimes:
        """Return how long an answer of a service is expected to take now."""
        self.refresh_local_views()
        picker = self._context.picker
        candidates = self._context.directory.candidates(service)
        return ExpectedTimes(
            typical_seconds=picker.typical_seconds(candidates) or 0.0,
            wait_seconds=picker.shortest_wait_seconds(
                candidates, self._context.clock()
            ),
        )
