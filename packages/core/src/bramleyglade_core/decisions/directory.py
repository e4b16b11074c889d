"""The members of the fleet, their targets and who of them answers."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from bramleyglade_core.decisions.ejection_book import ServiceCapacity
from bramleyglade_core.model.announcements import DaemonPhase, TargetAnnouncement
from bramleyglade_core.model.identifiers import TargetId

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.model.announcements import MemberRecord
    from bramleyglade_core.model.entities import Service


ABSENT_SECONDS = 3600.0
"""Time after which a member that left, or answers nobody, is forgotten."""

_MOST_FORGOTTEN = 20_000
"""Names kept so that old records of them are not taken for news."""


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target that a front may send work to."""

    target: TargetId
    zone: str
    announcement: TargetAnnouncement


class Directory:
    """Member records, merged by the owner's own order, and suspicions.

    The merge is commutative and idempotent, so records may come from the
    store and from any peer, in any order.
    """

    def __init__(self) -> None:
        self.record_by_name: dict[str, MemberRecord] = {}
        self._suspected_by_name: dict[str, int] = {}
        self._absent_since_by_name: dict[str, float] = {}
        self._forgotten_by_name: OrderedDict[str, tuple[int, int]] = OrderedDict()
        self._candidates_by_service: dict[str, list[Candidate]] | None = None
        self.version = 0
        """Grows with each change."""
        self.digest = 0
        """Digest of all records; equal on daemons that hold the same."""

    def merge(self, record: MemberRecord) -> bool:
        """Take in a record.

        Args:
            record: A daemon's word about itself.

        Returns:
            True if it is news, to be passed on.
        """
        name = record.daemon.name
        known = self.record_by_name.get(name)
        if known is not None and known.recency >= record.recency:
            return False
        if self._forgotten_by_name.get(name, (-1, -1)) >= record.recency:
            return False
        self.record_by_name[name] = record
        # A newer word refutes a suspicion: the owner is there to speak.
        self._suspected_by_name.pop(name, None)
        self.digest ^= _digest(record) ^ (_digest(known) if known else 0)
        self._note_change()
        return True

    def suspect(self, name: str) -> bool:
        """Note that a daemon's current incarnation does not answer.

        Returns:
            True if that is news.
        """
        record = self.record_by_name.get(name)
        if record is None:
            return False
        if self._suspected_by_name.get(name) == record.daemon.incarnation:
            return False
        self._suspected_by_name[name] = record.daemon.incarnation
        self._note_change()
        return True

    def trust(self, name: str) -> None:
        """Note that a daemon has answered."""
        if self._suspected_by_name.pop(name, None) is not None:
            self._note_change()

    def forget_absent(self, now: float) -> None:
        """Drop members that left or were suspected long ago.

        VMs are replaced for ever, and their records must not pile up. Peers
        that have not forgotten a record yet do not bring it back.

        Args:
            now: Time of this process's clock, in seconds.
        """
        for name in list(self.record_by_name):
            if self.is_live(name):
                self._absent_since_by_name.pop(name, None)
                continue
            since = self._absent_since_by_name.setdefault(name, now)
            if now - since >= ABSENT_SECONDS:
                self._forget(name)

    def absent_seconds(self, name: str, now: float) -> float:
        """Return how long a member has answered nobody, as far as was looked."""
        return now - self._absent_since_by_name.get(name, now)

    def is_live(self, name: str) -> bool:
        """Tell whether a daemon is in the fleet and answers somebody."""
        record = self.record_by_name.get(name)
        if record is None or record.phase is DaemonPhase.GONE:
            return False
        return name not in self._suspected_by_name

    def live_names(self) -> list[str]:
        """Return the daemons that are in the fleet and answer."""
        return [name for name in self.record_by_name if self.is_live(name)]

    def serving_names(self) -> list[str]:
        """Return the live daemons that are not about to leave."""
        records = self.record_by_name
        return [
            name
            for name in self.live_names()
            if records[name].phase is DaemonPhase.SERVING
        ]

    def member_names(self) -> list[str]:
        """Return all members that have not left, suspected ones included."""
        return [
            name
            for name, record in self.record_by_name.items()
            if record.phase is not DaemonPhase.GONE
        ]

    def candidates(self, service: str) -> list[Candidate]:
        """Return the targets of a service on live, serving daemons.

        Draining targets are left out; zones are not looked at.
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

    def _forget(self, name: str) -> None:
        record = self.record_by_name.pop(name)
        self.digest ^= _digest(record)
        self._suspected_by_name.pop(name, None)
        self._absent_since_by_name.pop(name, None)
        self._forgotten_by_name[name] = record.recency
        while len(self._forgotten_by_name) > _MOST_FORGOTTEN:
            self._forgotten_by_name.popitem(last=False)
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
                if target.is_draining:
                    continue
                candidate = Candidate(TargetId(name, target.name), record.zone, target)
                index.setdefault(target.service, []).append(candidate)
        return index


def _digest(record: MemberRecord) -> int:
    word = f"{record.daemon.name}|{record.daemon.incarnation}|{record.sequence}"
    return xxhash.xxh64_intdigest(word.encode())


class RoutableTargets:
    """Targets that take new work, worked out anew only when something changed."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory
        self._version = -1
        self._configuration: Configuration | None = None
        self._found_by_service: dict[str, list[Candidate]] = {}

    def find(self, service: Service, configuration: Configuration) -> list[Candidate]:
        """Return the targets of a service in the zones that it may use now.

        Args:
            service: The service as configured now.
            configuration: The configuration in force.

        Returns:
            Its targets on live daemons, in zones in use.
        """
        is_stale = self._version != self._directory.version
        if is_stale or self._configuration is not configuration:
            self._found_by_service.clear()
            self._version = self._directory.version
            self._configuration = configuration
        found = self._found_by_service.get(service.name)
        if found is None:
            zones = {z for z in service.zones if configuration.is_zone_in_use(z)}
            everywhere = self._directory.candidates(service.name)
            found = [c for c in everywhere if c.zone in zones]
            self._found_by_service[service.name] = found
        return found
