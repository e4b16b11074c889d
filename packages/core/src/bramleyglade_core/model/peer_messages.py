"""Messages between daemons, beside those of exchanges, shares and ejections."""

from __future__ import annotations

from dataclasses import dataclass

from bramleyglade_core.model.announcements import MemberRecord
from bramleyglade_core.model.exchange import AttemptOffered
from bramleyglade_core.model.identifiers import DaemonId

PROTOCOL_VERSION = 1
"""Version of the peer protocol; peers take any version from the lowest on."""

LOWEST_PROTOCOL_VERSION = 1


@dataclass(frozen=True, slots=True)
class HelloSaid:
    """First message on a link, from each side."""

    version: int
    daemon: DaemonId
    record: MemberRecord


@dataclass(frozen=True, slots=True)
class CallsTold:
    """How often a run at a target calls a service."""

    service: str
    """The service that is called."""
    per_run: float
    """Calls that a run makes, on average."""


@dataclass(frozen=True, slots=True)
class TargetViewTold:
    """Load and health of one target, from its guard."""

    name: str
    service: str
    limit: int
    busy: int
    is_ejected: bool
    is_trial: bool
    log_latency: float | None = None
    risk: float = 0.0
    """Probability that the target fails the next request, 0 to 1."""
    calls: tuple[CallsTold, ...] = ()
    """What its runs call."""
    is_due: bool = False
    """Whether the next request that may be repeated should go to it."""
    is_overdue: bool = False
    """Whether the next request of any kind should go to it."""


@dataclass(frozen=True, slots=True)
class HeartbeatSent:
    """A sign of life that asks for an answer."""

    revision: int
    """Revision of the store that the sender holds."""
    members_digest: int
    """Digest of the sender's member records."""


@dataclass(frozen=True, slots=True)
class HeartbeatAnswered:
    """The answer to a heartbeat, with what the peer knows."""

    revision: int
    members_digest: int
    lease_seconds: float
    """Time that the sender's lease, on this revision, is still good; 0 if none."""
    fresh_seconds: float
    """The part of that time that rests on the store's own word; 0 if none."""
    views: tuple[TargetViewTold, ...] = ()


@dataclass(frozen=True, slots=True)
class BatchAsked:
    """A daemon asks for what changed in the store after a revision."""

    after: int


@dataclass(frozen=True, slots=True)
class BatchTold:
    """What changed in the store, in the store's own encoding."""

    after: int
    up_to: int
    states: bytes
    assignments: bytes
    whole_ticket: int = 0
    """Highest ticket that carried all entities; 0 if none did."""


@dataclass(frozen=True, slots=True)
class RecordsAsked:
    """A daemon asks for all member records."""


@dataclass(frozen=True, slots=True)
class RecordsTold:
    """Member records that are news to the sender, or all of them."""

    records: tuple[MemberRecord, ...]


@dataclass(frozen=True, slots=True)
class SightAsked:
    """A daemon asks whether a member reaches the store."""


@dataclass(frozen=True, slots=True)
class SightTold:
    """A member's own word about the store."""

    is_away: bool
    reached_for_seconds: float


@dataclass(frozen=True, slots=True)
class LookAsked:
    """A daemon asks a peer to look whether a third one answers."""

    name: str


@dataclass(frozen=True, slots=True)
class LookTold:
    """Whether the third daemon answered."""

    name: str
    is_live: bool


@dataclass(frozen=True, slots=True)
class SuspicionTold:
    """A daemon's incarnation answers nobody who was asked."""

    daemon: DaemonId


@dataclass(frozen=True, slots=True)
class Acknowledged:
    """A message has been taken in."""


@dataclass(frozen=True, slots=True)
class OutcomeAsked:
    """A front asks what became of an attempt whose link died."""

    offered: AttemptOffered


@dataclass(frozen=True, slots=True)
class BodySent:
    """A piece of a request's body."""

    data: bytes


@dataclass(frozen=True, slots=True)
class BodyEnded:
    """The body of a request is whole."""


@dataclass(frozen=True, slots=True)
class CreditGranted:
    """The receiver of a body can take more of it."""

    size: int
    """Bytes."""


@dataclass(frozen=True, slots=True)
class AttemptCancelled:
    """The front gave up an attempt."""
