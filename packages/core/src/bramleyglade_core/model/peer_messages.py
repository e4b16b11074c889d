"""Messages between daemons, other than for exchanges, shares and ejections."""

from __future__ import annotations

import math
from dataclasses import dataclass

from bramleyglade_core.model.announcements import MAX_ERA, MemberRecord, TargetRun
from bramleyglade_core.model.exchange import AttemptOffered
from bramleyglade_core.model.identifiers import DaemonId

PROTOCOL_VERSION = 2
"""Version of the peer protocol that this daemon uses."""

CHANGES_PROTOCOL_VERSION = 2
"""Lowest version whose daemons take whole tickets as changes since an earlier one."""

LOWEST_PROTOCOL_VERSION = 1
"""Lowest version accepted from peers; higher ones are all accepted."""


@dataclass(frozen=True, slots=True)
class HelloSaid:
    """First message of each side on a link."""

    version: int
    daemon: DaemonId
    record: MemberRecord


@dataclass(frozen=True, slots=True)
class CallsTold:
    """How many calls to a service one run at a target makes."""

    service: str
    """Service that is called."""
    per_run: float
    """Mean number of calls per run."""
    route: str = ""
    """Route of the runs; empty for the mean over all routes."""


@dataclass(frozen=True, slots=True)
class TargetViewTold:
    """Load and health of one target, reported by its guard."""

    name: str
    service: str
    limit: int
    """Current concurrency limit of the target."""
    busy: int
    """Requests running or queued at the guard."""
    is_ejected: bool
    is_trial: bool
    log_latency: float | None = None
    """Smoothed logarithm of the latency in seconds; None if unknown."""
    risk: float = 0.0
    """Probability that the target fails the next request, 0 to 1."""
    calls: tuple[CallsTold, ...] = ()
    """Services that its runs call."""
    is_due: bool = False
    """Whether the next retryable request should go to it."""
    is_overdue: bool = False
    """Whether the next request of any kind should go to it."""
    wait_seconds: float = 0.0
    """How long a new request would wait for the rate that the target allows."""
    queued: tuple[int, ...] = ()
    """Queued requests by rank, calls of executing requests first; empty without."""
    run_calls: tuple[CallsTold, ...] = ()
    """Services that its runs call, as means over all runs."""


@dataclass(frozen=True, slots=True)
class ServiceLoadTold:
    """Sums over the targets of a service of which the sender has fresh views."""

    service: str
    targets: int
    """Number of these targets."""
    slots: float
    """Their concurrency limits, without ejected ones."""
    free: float
    """Their free slots, without the share that failing targets would lose."""
    running: float
    """Requests that run."""
    throughput: float
    """Requests per second that succeed with all slots in use."""
    seconds: float
    """Mean time of a request at a slot."""
    queued: tuple[int, ...] = ()
    """Queued requests by rank, calls of executing requests first."""
    calls: tuple[CallsTold, ...] = ()
    """Services that runs of the service call, as means over all runs."""


@dataclass(frozen=True, slots=True)
class ServiceDemandTold:
    """Requests for a service that arrive at the sender's front."""

    service: str
    per_second: float


@dataclass(frozen=True, slots=True)
class ZoneLoadTold:
    """Demand and capacity of one service in one zone."""

    zone: str
    service: str
    demand: float
    """Requests per second that arrive at the fronts of the zone."""
    capacity: float
    """Requests per second that the targets of the zone can serve."""
    age_seconds: float
    """Time since the two were measured."""


@dataclass(frozen=True, slots=True)
class ZonesTold:
    """Demand at the sender's front, and what it knows of the loads of zones."""

    demands: tuple[ServiceDemandTold, ...] = ()
    loads: tuple[ZoneLoadTold, ...] = ()
    """Some of the loads; empty in most messages."""
    is_measured: bool = False
    """Whether the sender measures its demand; if not, none reported doesn't mean 0."""


@dataclass(frozen=True, slots=True)
class RegionHeard:
    """How long ago a daemon of another region was heard from."""

    region: str
    age_seconds: float


@dataclass(frozen=True, slots=True)
class HeartbeatSent:
    """A periodic message that expects an answer."""

    revision: int
    """Store revision that the sender has."""
    members_digest: int
    """Digest of the sender's member records."""
    era: int = 0
    """Era of the store that the revision belongs to; 0 without eras."""
    regions: tuple[RegionHeard, ...] = ()
    """Other regions that the sender or its peers have heard from recently."""

    def __post_init__(self) -> None:
        _check_era(self.era)


@dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """The answer to a heartbeat, with the peer's state."""

    revision: int
    members_digest: int
    lease_seconds: float
    """Remaining time of the sender's lease on this revision; 0 without one."""
    fresh_seconds: float
    """Part of that time that rests on a read of the store; 0 if none."""
    views: tuple[TargetViewTold, ...] = ()
    loads: tuple[ServiceLoadTold, ...] = ()
    """Load of services that the sender admits requests to."""
    zones: ZonesTold = ZonesTold()
    """Demand and capacity by zone."""
    era: int = 0
    """Era of the store that the revision belongs to; 0 without eras."""
    whole_ticket: int = 0
    """Highest ticket that carried all entities; 0 if none did."""

    def __post_init__(self) -> None:
        _check_era(self.era)


@dataclass(frozen=True, slots=True)
class BatchAsked:
    """A daemon requests the changes in the store after a revision."""

    after: int
    known_tickets: tuple[int, ...] = ()
    """Whole tickets that the sender can be told the changes since, the one in force
    first; 0 if it has none. Empty if it wants whole tickets with all entities."""


@dataclass(frozen=True, slots=True)
class BatchTold:
    """Changes in the store, in the store's encoding."""

    after: int
    """Revision after which the changes begin."""
    up_to: int
    """Last revision that the changes include."""
    states: bytes
    assignments: bytes
    whole_ticket: int = 0
    """Highest number of a ticket that carried all entities; 0 if none did."""
    era: int = 0
    """Era of the store that the revisions belong to; 0 without eras."""
    whole_revision: int = 0
    """Revision of the whole ticket; 0 if it is that of its states."""
    base_ticket: int = 0
    """Earlier whole ticket that `changes` begins after; 0 if it has all entities."""
    changes: bytes = b""
    """First bytes of the compressed changes of the whole ticket, or all of them."""
    changes_size: int = 0
    """Size of the compressed changes, in bytes; 0 if `states` has all changes."""
    changes_digest: int = 0
    """Digest of the compressed changes."""
    whole_digest: int = 0
    """Digest of the entities after the whole ticket; 0 if it is not told."""

    def __post_init__(self) -> None:
        _check_era(self.era)
        if len(self.changes) > self.changes_size:
            raise ValueError("changes must not be longer than changes_size")


@dataclass(frozen=True, slots=True)
class ChangesAsked:
    """A daemon requests the next bytes of the changes of a whole ticket."""

    base_ticket: int
    whole_ticket: int
    digest: int
    offset: int
    """Number of bytes that the sender has."""


@dataclass(frozen=True, slots=True)
class ChangesTold:
    """Some bytes of the changes of a whole ticket."""

    data: bytes
    """Empty if the sender no longer has these changes."""


@dataclass(frozen=True, slots=True)
class StoreReadTold:
    """A daemon has read the store; passed on by those that had not heard of that read.

    It renews no lease, as its age is not known.
    """

    reader: DaemonId
    number: int
    """Number of the read; grows with each one of the reader."""
    revision: int
    """Store revision that the sender has merged."""
    era: int = 0
    """Era of the store that the revision belongs to; 0 without eras."""

    def __post_init__(self) -> None:
        _check_era(self.era)


@dataclass(frozen=True, slots=True)
class RecordsAsked:
    """A daemon requests member records."""

    digests: tuple[int, ...] = ()
    """Digests of the wanted records; empty for all."""


@dataclass(frozen=True, slots=True)
class RecordsTold:
    """Member records that are new to the sender, or that were requested."""

    records: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class RecordDigestsAsked:
    """A daemon whose records differ asks for digests of those in differing buckets."""

    buckets: tuple[int, ...]
    """The sender's digest of each bucket of names."""


@dataclass(frozen=True, slots=True)
class RecordDigestsTold:
    """Digests of records that are new to the sender, or that were asked for."""

    digests: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class LeavingTold:
    """Targets of a VM are leaving; its own daemon may not know that any more."""

    daemon: str
    """Name of the VM's daemon."""
    runs: tuple[TargetRun, ...]


@dataclass(frozen=True, slots=True)
class RetriesAsked:
    """A front without retries left asks a peer to lend it some."""

    service: str
    retries: float
    """How many it needs."""

    def __post_init__(self) -> None:
        _check_retries(self.retries)


@dataclass(frozen=True, slots=True)
class RetriesLent:
    """Retries of the sender's budget that the receiver may spend."""

    service: str
    retries: float

    def __post_init__(self) -> None:
        _check_retries(self.retries)


@dataclass(frozen=True, slots=True)
class SightAsked:
    """A daemon asks a member whether it reaches the store."""


@dataclass(frozen=True, slots=True)
class SightTold:
    """A member's report on whether it reaches the store."""

    is_away: bool
    """True if its newest call to the store failed."""
    reached_for_seconds: float
    """How long all of its calls have succeeded; 0 after a failure."""


@dataclass(frozen=True, slots=True)
class LookAsked:
    """A daemon asks a peer to check whether a third daemon answers."""

    name: str


@dataclass(frozen=True, slots=True)
class LookTold:
    """Whether the third daemon answered."""

    name: str
    is_live: bool


@dataclass(frozen=True, slots=True)
class SuspicionTold:
    """A daemon's incarnation is suspected, as no peer that was asked reached it."""

    daemon: DaemonId


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A message has been received and processed."""


@dataclass(frozen=True, slots=True)
class OutcomeAsked:
    """A front asks for the outcome of an attempt whose link was lost."""

    offered: AttemptOffered


@dataclass(frozen=True, slots=True)
class BodySent:
    """A piece of a request's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class BodyEnded:
    """The body of a request is complete."""


@dataclass(frozen=True, slots=True)
class CreditGranted:
    """Flow control: the receiver of a body can buffer more of it."""

    size: int
    """Additional bytes that may be sent."""


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The front has cancelled an attempt."""


def _check_era(era: int) -> None:
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"era must lie between 0 and {MAX_ERA}")


def _check_retries(retries: float) -> None:
    if not 0.0 <= retries < math.inf:
        raise ValueError("retries must be a number that is not negative")
