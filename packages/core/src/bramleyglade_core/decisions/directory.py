"""The members of the fleet, their liveness and their targets."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.ejection_permits import ServiceCapacity
from bramleyglade_core.decisions.record_digests import RecordDigests
from bramleyglade_core.decisions.regions import region_of
from bramleyglade_core.model.announcements import (
    DaemonPhase,
    TargetAnnouncement,
    TargetRun,
)
from bramleyglade_core.model.identifiers import TargetId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.decisions.regions import AllowedRegions
    from bramleyglade_core.model.announcements import MemberRecord
    from bramleyglade_core.model.entities import Service
    from bramleyglade_core.model.settings import DaemonSettings


MEMBER_RETENTION_SECONDS = 3600.0
"""Time after which a member that has left or answers nobody is removed."""

_MAX_LEAVING_RUNS = 16
"""Leaving runs that are remembered for each daemon."""

_MAX_TOMBSTONES = 20_000
"""Largest number of removed members that are remembered, so that old records don't
bring them back."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that a front may send work to."""

    target: TargetId
    zone: str
    announcement: TargetAnnouncement


class Directory:
    """Member records and suspicions.

    Each daemon numbers its own records, so the merge is commutative and idempotent:
    records may come from the store and from any peer, in any order.
    """

    def __init__(self) -> None:
        self.record_by_name: dict[str, MemberRecord] = {}
        self._suspected_by_name: dict[str, int] = {}
        self._absent_since_by_name: dict[str, float] = {}
        self._tombstone_by_name: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._leaving_runs_by_name: dict[str, dict[tuple[str, str], TargetRun]] = {}
        """Outlives the records, as a restarted daemon may not know these runs."""
        self._candidates_by_service: dict[str, list[Candidate]] | None = None
        self.version = 0
        """Increases with each change."""
        self.members_version = 0
        """Increases when a member appears, leaves, or is no longer or again live."""
        self._serving_version = -1
        """Version of the members that `_serving_names` was built from."""
        self._serving_names: list[str] = []
        self.digests = RecordDigests()

    @property
    def digest(self) -> int:
        """Digest of all records; equal on daemons that hold the same records."""
        return self.digests.total

    def merge(self, record: MemberRecord) -> bool:
        """Merge a record.

        Args:
            record: A daemon's record of itself.

        Returns:
            True if the record is new, so that it must be passed on.
        """
        name = record.daemon.name
        previous = self.record_by_name.get(name)
        if previous is not None and previous.recency >= record.recency:
            if previous.recency > record.recency:
                self.digests.note_superseded(record)
            return False
        if self._tombstone_by_name.get(name, (-1, -1)) >= record.recency:
            self.digests.note_superseded(record)
            return False
        was_serving = self.is_live(name) and self._has_phase(name, DaemonPhase.SERVING)
        self.record_by_name[name] = record
        self.note_leaving(name, record.runs)
        # A newer record refutes a suspicion: its owner is alive and wrote it.
        self._suspected_by_name.pop(name, None)
        if previous is not None:
            self.digests.remove(previous)
        self.digests.add(record)
        if not was_serving or record.phase is not DaemonPhase.SERVING:
            self.members_version += 1
        self._note_change()
        return True

    def note_leaving(self, name: str, runs: Iterable[TargetRun]) -> None:
        """Note which runs of the targets of a daemon are leaving.

        Args:
            name: The daemon's name.
            runs: Some runs of its targets. Those that are not leaving or have no
                instance, so that a later run can't be told apart, are ignored.
        """
        known = self._leaving_runs_by_name.setdefault(name, {})
        for run in runs:
            if not run.is_leaving or not run.instance:
                continue
            previous = known.get(run.key)
            if previous is not None and previous.started_at >= run.started_at:
                continue
            known[run.key] = run
            self._note_change()
            while len(known) > _MAX_LEAVING_RUNS:
                del known[next(iter(known))]

    def note_target_leaving(self, name: str, target_name: str) -> None:
        """Note that the run of a target in its daemon's record is leaving.

        Args:
            name: Name of the target's daemon.
            target_name: The target's name.
        """
        record = self.record_by_name.get(name)
        if record is None:
            return
        instances = {t.name: t.instance for t in record.targets}
        run = TargetRun(target_name, instances.get(target_name, ""))
        known = [r for r in record.runs if r.key == run.key]
        runs = [replace(r, is_leaving=True) for r in known or [run]]
        self.note_leaving(name, runs)

    def leaving_runs(self, name: str) -> tuple[TargetRun, ...]:
        """Return the runs of a daemon's targets that are known to be leaving."""
        return tuple(self._leaving_runs_by_name.get(name, {}).values())

    def suspect(self, name: str) -> bool:
        """Mark a daemon's current incarnation as suspected to have failed.

        Returns:
            True if this incarnation is known and was not suspected yet.
        """
        record = self.record_by_name.get(name)
        if record is None:
            return False
        if self._suspected_by_name.get(name) == record.daemon.incarnation:
            return False
        self._suspected_by_name[name] = record.daemon.incarnation
        self.members_version += 1
        self._note_change()
        return True

    def clear_suspicion(self, name: str) -> None:
        """Clear the suspicion of a daemon, since it has answered."""
        if self._suspected_by_name.pop(name, None) is not None:
            self.members_version += 1
            self._note_change()

    def forget_absent(self, now: float) -> None:
        """Remove members that left or were suspected long ago.

        VMs are replaced continually, so their records would accumulate. Peers
        that still have such a record do not bring it back.

        Args:
            now: Time of this process's clock, in seconds.
        """
        for name in list(self.record_by_name):
            if self.is_live(name):
                self._absent_since_by_name.pop(name, None)
                continue
            since = self._absent_since_by_name.setdefault(name, now)
            if now - since >= MEMBER_RETENTION_SECONDS:
                self._remove(name)

    def absent_seconds(self, name: str, now: float) -> float:
        """Return the seconds since `forget_absent` first saw a member absent, or 0."""
        return now - self._absent_since_by_name.get(name, now)

    def is_live(self, name: str) -> bool:
        """Return whether a daemon is in the fleet and not suspected."""
        record = self.record_by_name.get(name)
        if record is None or record.phase is DaemonPhase.GONE:
            return False
        return name not in self._suspected_by_name

    def _has_phase(self, name: str, phase: DaemonPhase) -> bool:
        record = self.record_by_name.get(name)
        return record is not None and record.phase is phase

    def live_names(self) -> list[str]:
        """Return the daemons that are in the fleet and not suspected."""
        return [name for name in self.record_by_name if self.is_live(name)]

    def serving_names(self) -> list[str]:
        """Return the live daemons that are not leaving."""
        if self._serving_version != self.members_version:
            self._serving_version = self.members_version
            self._serving_names = [
                name
                for name in self.live_names()
                if self._has_phase(name, DaemonPhase.SERVING)
            ]
        return self._serving_names

    def member_names(self) -> list[str]:
        """Return all members that have not left, including suspected ones."""
        return [
            name
            for name, record in self.record_by_name.items()
            if record.phase is not DaemonPhase.GONE
        ]

    def candidates(self, service: str) -> list[Candidate]:
        """Return the targets of a service on live, serving daemons.

        Draining targets are excluded; zones are not considered.
        """
        if self._candidates_by_service is None:
            self._candidates_by_service = self._index()
        return self._candidates_by_service.get(service, [])

    def target_ids(self) -> set[TargetId]:
        """Return all targets of all members."""
        return {
            TargetId(name, target.name)
            for name, record in self.record_by_name.items()
            for target in record.targets
        }

    def capacity(self, service: str, configuration: Configuration) -> ServiceCapacity:
        """Return the slots of a service in the zones in use."""
        announced = live = 0
        for record, target in self._targets(service):
            if not configuration.is_zone_in_use(record.zone):
                continue
            announced += target.slots
            if self.is_live(record.daemon.name):
                live += target.slots
        return ServiceCapacity(announced, live)

    def _remove(self, name: str) -> None:
        record = self.record_by_name.pop(name)
        self.digests.remove(record)
        self.members_version += 1
        self._suspected_by_name.pop(name, None)
        self._absent_since_by_name.pop(name, None)
        self._leaving_runs_by_name.pop(name, None)
        self._tombstone_by_name[name] = record.recency
        while len(self._tombstone_by_name) > _MAX_TOMBSTONES:
            self._tombstone_by_name.popitem(last=False)
        self._note_change()

    def _note_change(self) -> None:
        self._candidates_by_service = None
        self.version += 1

    def _targets(
        self, service: str
    ) -> Iterable[tuple[MemberRecord, TargetAnnouncement]]:
        for record in self.record_by_name.values():
            if record.phase is not DaemonPhase.SERVING:
                continue
            for target in record.targets:
                if target.service == service and not target.is_draining:
                    yield record, target

    def _index(self) -> dict[str, list[Candidate]]:
        index: dict[str, list[Candidate]] = {}
        for name in self.serving_names():
            record = self.record_by_name[name]
            for target in record.targets:
                if target.is_draining or self._is_leaving(record, target):
                    continue
                candidate = Candidate(TargetId(name, target.name), record.zone, target)
                index.setdefault(target.service, []).append(candidate)
        return index

    def _is_leaving(self, record: MemberRecord, target: TargetAnnouncement) -> bool:
        key = (target.name, target.instance)
        leaving = self._leaving_runs_by_name.get(record.daemon.name, {}).get(key)
        if leaving is None:
            return False
        started_at = max((r.started_at for r in record.runs if r.key == key), default=0)
        return started_at <= leaving.started_at


class RoutableTargets:
    """Cache of the targets that take new work, refreshed when something changes."""

    def __init__(self, directory: Directory, settings: DaemonSettings) -> None:
        self._directory = directory
        self._settings = settings
        self._version = -1
        self._configuration: Configuration | None = None
        self._routable_by_service: dict[
            tuple[str, AllowedRegions], list[Candidate]
        ] = {}

    def find(
        self,
        service: Service,
        configuration: Configuration,
        regions: AllowedRegions = None,
    ) -> list[Candidate]:
        """Return the targets of a service in the zones that it may use now.

        Args:
            service: The service as configured now.
            configuration: The configuration in force.
            regions: Regions that may serve the request. A zone whose region is not
                known is used only if all may.

        Returns:
            Targets of the service on live daemons, in its zones in use.
        """
        is_stale = self._version != self._directory.version
        if is_stale or self._configuration is not configuration:
            self._routable_by_service.clear()
            self._version = self._directory.version
            self._configuration = configuration
        routable = self._routable_by_service.get((service.name, regions))
        if routable is None:
            zones = {z for z in service.zones if configuration.is_zone_in_use(z)}
            if regions is not None:
                zones = {
                    zone
                    for zone in zones
                    if region_of(zone, configuration, self._settings) in regions
                }
            all_targets = self._directory.candidates(service.name)
            routable = [c for c in all_targets if c.zone in zones]
            self._routable_by_service[service.name, regions] = routable
        return routable
