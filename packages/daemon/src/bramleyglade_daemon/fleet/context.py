"""State shared by all tasks of one daemon."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

from bramleyglade_adapters.clocks import boot_clock
from bramleyglade_adapters.http.fleet_dialect import FleetDialect
from bramleyglade_core.decisions.answer_sizes import AnswerSizes
from bramleyglade_core.decisions.directory import Directory, RoutableTargets
from bramleyglade_core.decisions.lease import Lease, StoreContact
from bramleyglade_core.decisions.picker import Picker
from bramleyglade_core.decisions.region_contact import RegionContact
from bramleyglade_core.decisions.regions import distance_between, region_of
from bramleyglade_core.decisions.retry_budget import RetryBudgets
from bramleyglade_core.decisions.run_calls import RunCalls
from bramleyglade_core.decisions.service_loads import ServiceLoads
from bramleyglade_core.decisions.shared_view import SharedView
from bramleyglade_core.decisions.splitter import Splitter
from bramleyglade_core.decisions.zone_loads import ZoneLoads
from bramleyglade_core.model.announcements import DaemonPhase, MemberRecord
from bramleyglade_core.model.identifiers import DaemonId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_adapters.telemetry import Telemetry
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.decisions.regions import Distance
    from bramleyglade_core.decisions.stop_schedule import StopSchedule
    from bramleyglade_core.model.announcements import TargetAnnouncement, TargetRun
    from bramleyglade_core.model.peer_messages import TargetViewTold
    from bramleyglade_core.model.settings import DaemonSettings
    from bramleyglade_core.ports.clock import Clock
    from bramleyglade_core.ports.dialect import Dialect
    from bramleyglade_core.ports.store import ObjectStore

_NANOSECONDS_PER_MICROSECOND = 1000


def new_incarnation() -> int:
    """Return an incarnation above that of any earlier process on this VM."""
    return time.time_ns() // _NANOSECONDS_PER_MICROSECOND


class Context:
    """Settings, identity, shared state and ports of one daemon."""

    def __init__(
        self,
        settings: DaemonSettings,
        store: ObjectStore,
        telemetry: Telemetry,
        clock: Clock = boot_clock,
        random_source: random.Random | None = None,
        incarnation: int | None = None,
        dialect: Dialect | None = None,
        earlier_record: MemberRecord | None = None,
        is_history_known: bool = True,
    ) -> None:
        self.settings = settings
        self.store = store
        self.telemetry = telemetry
        self.clock = clock
        self.random = random_source or random.Random()
        self.daemon = DaemonId(settings.name, incarnation or new_incarnation())
        self.view = SharedView()
        self.directory = Directory()
        self.lease = Lease(settings.lease, clock)
        self.contact = StoreContact(clock)
        self.picker = Picker(settings.zone, self.random)
        self.region_contact = RegionContact(settings.peers.heartbeat_seconds)
        self.retry_budgets = RetryBudgets(settings.front, clock())
        self.run_calls = RunCalls()
        self._routable = RoutableTargets(self.directory, settings)
        self.loads = ServiceLoads(
            self.routable_targets, self.picker, self.run_calls, self.random
        )
        self.splitter = Splitter(self.random)
        self.zone_loads = ZoneLoads(settings.zone)
        self.answer_sizes = AnswerSizes()
        self.dialect: Dialect = dialect or FleetDialect(settings.front)
        self.phase = DaemonPhase.SERVING
        self.stop_schedule: StopSchedule | None = None
        """The times of the planned stop; None before it begins."""
        self.discovered_at: float | None = None
        """Time at which the members were first read from the store; None before."""
        self._sequence = 0
        self.targets: tuple[TargetAnnouncement, ...] = ()
        """Targets announced on this VM."""
        self.runs: tuple[TargetRun, ...] = earlier_record.runs if earlier_record else ()
        """Runs of targets on this VM, also those known to earlier daemons."""
        self.earlier_record = earlier_record
        """Newest known record of an earlier daemon of this VM that names targets."""
        self.has_earlier_record = earlier_record is not None
        """Whether an earlier daemon of this VM has left a record in the store."""
        self.is_history_known = is_history_known
        """Whether the store has told what earlier daemons of this VM knew."""
        self.renew_record()

    @property
    def configuration(self) -> Configuration:
        """The configuration in force on this daemon."""
        return self.view.configuration

    @property
    def record(self) -> MemberRecord:
        """This daemon's member record."""
        return self.directory.record_by_name[self.settings.name]

    @property
    def is_zone_in_use(self) -> bool:
        """Whether operators have left this daemon's zone in use."""
        return self.configuration.is_zone_in_use(self.settings.zone)

    @property
    def is_leaving(self) -> bool:
        """Whether a planned stop has begun."""
        return self.phase is not DaemonPhase.SERVING

    def distance_to(self, zone: str) -> Distance:
        """Return the distance to a zone, by the configuration in force."""
        return distance_between(zone, self.configuration, self.settings)

    def region_of(self, zone: str) -> str | None:
        """Return the region of a zone by the configuration in force, or None."""
        return region_of(zone, self.configuration, self.settings)

    def note_earlier_record(self, record: MemberRecord) -> None:
        """Keep a record of an earlier daemon of this VM if it names newer targets."""
        known = self.earlier_record
        if record.targets and (known is None or record.recency > known.recency):
            self.earlier_record = record

    def update_views(self, daemon: str, views: Iterable[TargetViewTold]) -> None:
        """Apply the target views of a guard.

        Args:
            daemon: Name of the guard's daemon.
            views: Views of all or some of its targets.
        """
        views = tuple(views)
        now = self.clock()
        self.picker.update_views(daemon, views, now)
        for view in views:
            self.retry_budgets.learn_calls(view.service, view.calls)
            self.run_calls.learn(view.service, view.run_calls, now)

    def routable_targets(self, service: str) -> list[Candidate]:
        """Return the targets of a service that take new work, in its zones in use."""
        configured = self.configuration.service_by_name.get(service)
        if configured is None:
            return []
        return self._routable.find(configured, self.configuration)

    def renew_record(self) -> MemberRecord:
        """Create a new member record, with a higher sequence than any known one."""
        previous = self.directory.record_by_name.get(self.settings.name)
        if previous is not None and previous.daemon == self.daemon:
            self._sequence = max(self._sequence, previous.sequence)
        self._sequence += 1
        record = MemberRecord(
            daemon=self.daemon,
            sequence=self._sequence,
            address=self.settings.peer_address,
            zone=self.settings.zone,
            phase=self.phase,
            targets=self.targets,
            runs=self.runs,
        )
        self.directory.merge(record)
        return record
