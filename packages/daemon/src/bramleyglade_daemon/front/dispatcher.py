"""Starts the attempts of admitted requests, with the state that they share."""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.directory import RoutableTargets
from bramleyglade_core.decisions.path_admission import NewWork, PathAdmission
from bramleyglade_core.decisions.regions import allowed_regions, intersection
from bramleyglade_core.decisions.stop_schedule import ExpectedTimes
from bramleyglade_daemon.front.attempts import Attempts

if TYPE_CHECKING:
    from bramleyglade_adapters.telemetry import Hop
    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.decisions.link_choice import LinkState
    from bramleyglade_core.decisions.path_admission import Shortage
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
        self._path_admission = PathAdmission(
            context.loads.load, context.run_calls, context.random
        )
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
        now = self._context.clock()
        budgets.note_first_attempt(request.service.name, now)
        self._context.zone_loads.note_arrival(request.service.name, now)
        if request.is_call:
            self._context.run_calls.note_call(request.service.name)
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

    @property
    def is_executing(self) -> bool:
        """Whether a target on this VM executes a request, which may make calls."""
        return self._ports.is_executing

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

    def find_shortage(
        self, service: str, route: str, priority: int, seconds_left: float
    ) -> Shortage | None:
        """Return why new work would find no capacity in time; None to admit it.

        This is decided only where it matters: if calls are made by the service's runs
        or lead to it, or if there are several priorities.

        Args:
            service: The service of the request.
            route: Name of its route.
            priority: Priority of the request; 0 is the most urgent.
            seconds_left: Time left until its latency objective or its deadline.
        """
        priorities = self._context.configuration.priorities
        if len(priorities) <= 1 and not self._context.run_calls.is_on_path(service):
            return None
        level = bisect_left(priorities, priority)
        work = NewWork(service, priority, level, seconds_left, route)
        now = self._context.clock()
        shortage = self._path_admission.find_shortage(work, now)
        # Most views of a front are of targets in its own zone.
        if shortage is None or self._context.zone_loads.has_spare_elsewhere(
            shortage.service, now
        ):
            return None
        return shortage

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
