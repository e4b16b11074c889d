"""What targets and daemons say of themselves."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bramleyglade_core.model.identifiers import Address, DaemonId

MAX_SLOTS = 4096
"""Most requests that one target may say it runs at once."""


@dataclass(frozen=True, slots=True)
class TargetAnnouncement:
    """A target as it announced itself to the guard on its VM."""

    name: str
    """Unique among the targets of the VM."""
    service: str
    address: Address
    slots: int
    """Requests that the target runs at once."""
    connections: int = 400
    """Open connections that the target bears."""
    instance: str = ""
    """Changes when the target restarts; its cold start begins anew."""
    is_draining: bool = False
    """True once the target asked for no new work."""
    report_path: str = ""
    """Path of the target's load report; empty if it has none."""

    def __post_init__(self) -> None:
        if not self.name or not self.service:
            raise ValueError("a target has a name and a service")
        if not 1 <= self.slots <= MAX_SLOTS:
            raise ValueError(f"slots must lie between 1 and {MAX_SLOTS}")
        if self.connections < 1:
            raise ValueError("connections must be at least 1")


@dataclass(frozen=True, slots=True)
class TargetReport:
    """One word of a target about itself, of which later ones may come earlier."""

    announced: TargetAnnouncement
    started_at: int
    """Wall-clock time at which this run of the target started, in milliseconds."""
    sequence: int
    """Grows with each word of this run."""
    cold_seconds: float = 0.0
    """How much longer the target is slow after its start."""


class DaemonPhase(Enum):
    """How far a daemon is in its life."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class MemberRecord:
    """A daemon's own word about itself; only its owner writes it."""

    daemon: DaemonId
    sequence: int
    """Grows with each change within the incarnation."""
    address: Address
    """Where peers connect."""
    zone: str
    phase: DaemonPhase = DaemonPhase.SERVING
    targets: tuple[TargetAnnouncement, ...] = ()

    @property
    def recency(self) -> tuple[int, int]:
        """Sort key: the newest word of a daemon has the highest."""
        return (self.daemon.incarnation, self.sequence)


@dataclass(frozen=True, slots=True)
class KeeperAssignment:
    """Which daemon keeps the shares of the teams in one shard."""

    shard: int
    keeper: DaemonId
    epoch: int
    """Grows by one with each takeover; 1 if there was no keeper before."""
    revision: int = 0
    """Revision of the store at which the assignment was written."""
