"""Announcements of targets and membership records of daemons."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bramleyglade_core.model.identifiers import Address, DaemonId

MAX_SLOTS = 4096
"""Largest number of concurrent requests that one target may announce."""

MAX_CONNECTIONS = 2**31 - 1
"""Largest number of connections that one target may announce."""

MAX_NUMBER = 2**63 - 1
"""Largest incarnation, sequence number, time, shard or epoch."""

MAX_ERA = 2**31 - 1
"""Largest era of the store that an epoch has room for."""

_TAKEOVER_BITS = 32


def epoch_of(era: int, takeovers: int) -> int:
    """Return the epoch of a keeper.

    Args:
        era: Era of the store in which it claimed its shard.
        takeovers: Takeovers of the shard so far, this one included.
    """
    return (era << _TAKEOVER_BITS) + takeovers


def era_of_epoch(epoch: int) -> int:
    """Return the era of the store in which a keeper claimed its shard."""
    return epoch >> _TAKEOVER_BITS


@dataclass(frozen=True, slots=True)
class TargetAnnouncement:
    """A target as announced to the guard on its VM."""

    name: str
    """Unique among the targets of the VM."""
    service: str
    address: Address
    slots: int
    """Requests that the target can run concurrently."""
    connections: int = 400
    """Largest number of open connections to the target."""
    instance: str = ""
    """Changes when the target restarts, which begins a new cold start."""
    is_draining: bool = False
    """True once the target has asked for no new work."""
    report_path: str = ""
    """Path of the target's load report; empty if it has none."""

    def __post_init__(self) -> None:
        if not self.name or not self.service:
            raise ValueError("a target needs a name and a service")
        if not 1 <= self.slots <= MAX_SLOTS:
            raise ValueError(f"slots must lie between 1 and {MAX_SLOTS}")
        if not 1 <= self.connections <= MAX_CONNECTIONS:
            raise ValueError(f"connections must lie between 1 and {MAX_CONNECTIONS}")


@dataclass(frozen=True, slots=True)
class TargetRun:
    """One run of a target, from its start until it stops."""

    name: str
    instance: str = ""
    started_at: int = 0
    """Wall-clock time of its start, in milliseconds; 0 if unknown."""
    is_leaving: bool = False
    """True once the run has asked for no new work, which is permanent."""

    def __post_init__(self) -> None:
        _check_number("started_at", self.started_at)

    @property
    def key(self) -> tuple[str, str]:
        """Name and instance, which a later run of the same target may share."""
        return (self.name, self.instance)


@dataclass(frozen=True, slots=True)
class TargetReport:
    """A target's report on itself; reports may arrive out of order."""

    announced: TargetAnnouncement
    started_at: int
    """Wall-clock time at which this run of the target started, in milliseconds."""
    sequence: int
    """Grows with each report of this run."""
    cold_seconds: float = 0.0
    """Remaining time for which the target is cold, that is, slow after its start."""

    @property
    def run(self) -> TargetRun:
        """The run that sent the report."""
        announced = self.announced
        return TargetRun(
            announced.name, announced.instance, self.started_at, announced.is_draining
        )


class DaemonPhase(Enum):
    """Phase in the life cycle of a daemon."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A daemon's record of itself; no other daemon changes it."""

    daemon: DaemonId
    sequence: int
    """Grows with each change within the incarnation."""
    address: Address
    """Address that peers connect to."""
    zone: str
    phase: DaemonPhase = DaemonPhase.SERVING
    targets: tuple[TargetAnnouncement, ...] = ()
    runs: tuple[TargetRun, ...] = ()
    """The newest runs of targets on the VM, by what any of its daemons has learned."""

    def __post_init__(self) -> None:
        _check_number("incarnation", self.daemon.incarnation)
        _check_number("sequence", self.sequence)

    @property
    def recency(self) -> tuple[int, int]:
        """Sort key; the newest record of a daemon has the highest."""
        return (self.daemon.incarnation, self.sequence)


NO_KEEPER = DaemonId("", 0)
"""Stands for the keeper in an assignment that can't be decoded; it is no member."""


@dataclass(frozen=True, slots=True)
class KeeperAssignment:
    """Assigns one shard of the teams and services to its keeper."""

    shard: int
    keeper: DaemonId
    epoch: int
    """Grows with each takeover; from 1 for the first keeper, if the store has no eras.

    The upper bits are the era in which the shard was claimed, so that an epoch that the
    store has lost is not given out again.
    """
    revision: int = 0
    """Revision of the store at which the assignment was written."""

    def __post_init__(self) -> None:
        _check_number("shard", self.shard)
        _check_number("epoch", self.epoch)
        _check_number("incarnation", self.keeper.incarnation)

    @property
    def era(self) -> int:
        """Era of the store in which the shard was claimed."""
        return era_of_epoch(self.epoch)

    @property
    def takeover(self) -> int:
        """Number of takeovers of the shard, this one included."""
        return self.epoch & ((1 << _TAKEOVER_BITS) - 1)

    @property
    def recency(self) -> tuple[int, int]:
        """Sort key; the newest assignment of a shard has the highest."""
        return (self.era, self.revision)


def _check_number(name: str, value: int) -> None:
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{name} must lie between 0 and {MAX_NUMBER}")
