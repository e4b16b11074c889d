"""Settings of a daemon, grouped by the component that receives them."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from bramleyglade_core.model.identifiers import Address


def _require(condition: bool, message: str) -> None:
    if not condition:
        raise ValueError(message)


class OutagePolicy(Enum):
    """Policy for a daemon's lease while it gets no fresh evidence from the store."""

    MAJORITY = "majority"
    """Extend it while a majority of a sample reports the store as unreachable."""
    STOP = "stop"
    """Let it lapse; for a store that may refuse daemons while it serves operators."""
    GO_ON = "go-on"
    """Extend it; requests with a key are served with the newest known configuration."""


@dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Settings of the lease that requests with a key, shares and keepers depend on.

    Fresh evidence for the lease is a read of the store by the daemon or by a peer.
    """

    term_seconds: float = 6.0
    """Validity of fresh evidence, measured from before the request for it."""
    margin_seconds: float = 1.0
    """Safety margin added to each wait for another daemon's lease to lapse."""
    sample_size: int = 31
    """Members asked about the store; the whole fleet if it is smaller."""
    refresh_seconds: float = 1.5
    """Interval between two attempts to get fresh evidence."""
    stale_seconds: float = 3.0
    """Age of relayed evidence at which a daemon reads the store itself."""
    silence_seconds: float | None = None
    """Time without news of a read by any daemon after which a daemon reads the store
    itself; None if only the age of its evidence counts."""
    readers: int = 16
    """Number of daemons that read the store on behalf of the fleet."""
    has_watches: bool = True
    """Whether the store's watches are reliable; otherwise it is polled."""
    outage: OutagePolicy = OutagePolicy.MAJORITY

    def __post_init__(self) -> None:
        _require(self.term_seconds > 0, "term_seconds must be above 0")
        _require(self.margin_seconds > 0, "margin_seconds must be above 0")
        _require(self.sample_size >= 3, "sample_size must be at least 3")
        _require(self.readers >= 1, "readers must be at least 1")
        _require(self.stale_seconds > 0, "stale_seconds must be above 0")
        _require(
            self.silence_seconds is None or self.silence_seconds > 0,
            "silence_seconds must be above 0",
        )
        _require(
            0 < self.refresh_seconds < self.term_seconds,
            "refresh_seconds must lie between 0 and term_seconds",
        )


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Settings of the rate limiter that divides each team's rate into shares."""

    shards: int = 16
    """Number of shards, each with one keeper; must be the same on all daemons."""
    slice_term_seconds: float = 15.0
    """Validity of a granted share without a renewal."""
    renew_seconds: float = 2.0
    """Interval between two renewals of a holder for the same team."""
    answer_wait_seconds: float = 2.0
    """Longest time that a request waits for the keeper's answer."""
    reclaim_grace_seconds: float = 0.0
    """Time after its term for which a share still counts as held.

    If this is at least the lease's term and margin, holders keep their shares while
    a keeper is replaced, since the old keeper can't have granted them to others.
    """
    keeper_reserve: float = 0.1
    """Share of the rate that a keeper reserves for single tokens, 0 to 1."""
    largest_holding: float = 1.0
    """Largest part of a team's rate that one daemon may hold, 0 to 1.

    Requests beyond it use single tokens. A new keeper assumes that a daemon that
    does not answer holds this much.
    """
    holder_burst: float = 0.5
    """Part of a share's burst that the holder gets, 0 to 1; the keeper has the rest."""

    def __post_init__(self) -> None:
        _require(1 <= self.shards <= 65_536, "shards must lie between 1 and 65536")
        _require(
            0 < self.renew_seconds < self.slice_term_seconds,
            "renew_seconds must lie between 0 and slice_term_seconds",
        )
        _require(0 <= self.keeper_reserve < 1, "keeper_reserve must lie in [0, 1)")
        _require(0 < self.holder_burst <= 1, "holder_burst must lie in (0, 1]")
        _require(0 < self.largest_holding <= 1, "largest_holding must lie in (0, 1]")


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Settings of the detection of gray failures and of ejections."""

    slow_ratio: float = 4.0
    """Latency, as a multiple of the service's, the sequential test is tuned for."""
    error_share: float = 0.3
    """Error rate the sequential test is tuned for, 0 to 1."""
    healthy_error_share: float = 0.01
    """Error rate of a healthy target, 0 to 1."""
    threshold: float = 10.0
    """Log-likelihood ratio at which a target is ejected."""
    ejection_seconds: float = 5.0
    """Length of the first ejection; doubles with each one that follows soon."""
    longest_ejection_seconds: float = 120.0
    trial_successes: int = 3
    """Consecutive good answers that end the trial after an ejection."""
    due_seconds: float = 1.4
    """Idle time after which a target gets the next retryable request.

    It gets the request even if it is slow, failing or ejected. Users count the
    targets in use over windows of 2 s. The remaining 0.6 s are for notifying the
    fronts and for such a request to arrive.
    """
    longest_idle_seconds: float = 1.7
    """The same for the next request of any kind, unless the target is ejected."""
    longest_trial_seconds: float = 3.0
    """Value that replaces `due_seconds` while a target fails consecutive trials.

    Users count a target as healthy again some seconds after a failure.
    """

    def __post_init__(self) -> None:
        _require(self.slow_ratio > 1, "slow_ratio must be above 1")
        _require(
            0 < self.healthy_error_share < self.error_share < 1,
            "0 < healthy_error_share < error_share < 1 must hold",
        )
        _require(self.threshold > 0, "threshold must be above 0")
        _require(self.trial_successes >= 1, "trial_successes must be at least 1")
        _require(
            0 < self.due_seconds <= self.longest_idle_seconds,
            "due_seconds must lie between 0 and longest_idle_seconds",
        )
        _require(
            self.due_seconds <= self.longest_trial_seconds,
            "longest_trial_seconds must be at least due_seconds",
        )


@dataclass(frozen=True, slots=True)
class GuardSettings:
    """Limits of the guard."""

    queue_per_target: int = 64
    """Largest number of attempts that wait for a slot of one target."""
    idle_bound_seconds: float = 4.0
    """Idle time after which a connection is used for idempotent requests only."""
    idle_close_seconds: float = 30.0
    """Idle time after which a connection is closed."""
    remember_seconds: float = 60.0
    """How long the outcome of an attempt is kept for queries."""
    remembered_attempts: int = 50_000
    """Largest number of outcomes kept; attempts beyond it are refused."""
    remembered_answer_bytes: int = 65_536
    """Largest answer that is kept for a front that lost its link."""
    remembered_bytes: int = 8_388_608
    """Largest total size of the kept answers."""
    announcement_seconds: float = 15.0
    """Time after which a target that has not renewed its announcement is removed."""

    def __post_init__(self) -> None:
        _require(self.queue_per_target >= 1, "queue_per_target must be at least 1")
        _require(self.idle_bound_seconds > 0, "idle_bound_seconds must be above 0")


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Limits of the front."""

    max_connections: int = 2000
    idle_seconds: float = 60.0
    """Idle time after which a caller's connection is closed."""
    head_seconds: float = 10.0
    """Longest time to receive the head of a request once it has begun."""
    retry_share: float = 0.2
    """Retry budget: retries, also those after a timeout, per first attempt."""
    retry_floor: float | None = None
    """Retries per window of the whole fleet in addition to that share.

    None for a default floor of each daemon.
    """
    retry_window_seconds: float = 10.0
    """Length of the sliding window of the retry budget."""
    max_attempts: int = 3
    key_header: str = "x-api-key"
    """Name of the header with the team's key, in lower case."""

    def __post_init__(self) -> None:
        _require(self.max_connections >= 1, "max_connections must be at least 1")
        _require(0 <= self.retry_share <= 1, "retry_share must lie between 0 and 1")
        _require(self.retry_window_seconds > 0, "retry_window_seconds must be positive")
        _require(self.max_attempts >= 1, "max_attempts must be at least 1")
        _require(self.key_header.islower(), "key_header must be in lower case")


@dataclass(frozen=True, slots=True)
class PeerSettings:
    """Settings of the links between daemons."""

    heartbeat_seconds: float = 0.5
    suspect_seconds: float = 2.5
    """Time without messages after which a link is closed and its peer suspected."""
    fanout: int = 8
    """Peers that each daemon keeps a link to even without requests for them."""
    far_fanout: int = 2
    """How many of these peers are in other zones."""
    window_bytes: int = 262_144
    """Flow-control window: bytes in flight on one stream without further credit."""
    indirect_checks: int = 3
    """Peers that are asked to check an unresponsive peer before it is suspected."""

    def __post_init__(self) -> None:
        _require(self.heartbeat_seconds > 0, "heartbeat_seconds must be above 0")
        _require(
            self.suspect_seconds > 2 * self.heartbeat_seconds,
            "suspect_seconds must be above two heartbeats",
        )
        _require(self.fanout >= 1, "fanout must be at least 1")


@dataclass(frozen=True, slots=True)
class TelemetrySettings:
    """Settings of metrics, traces and logs."""

    exporter: str = "none"
    """`none`, `json` (lines on standard error) or `otlp` (over HTTP)."""
    endpoint: str = ""
    """Base URL of the OTLP receiver."""
    trace_share: float = 0.05
    """Share of the requests without a trace context that are traced, 0 to 1."""
    period_seconds: float = 15.0
    """Export interval of the metrics."""
    log_level: str = "INFO"

    def __post_init__(self) -> None:
        exporters = ("none", "json", "otlp")
        _require(self.exporter in exporters, f"exporter must be one of {exporters}")
        _require(0 <= self.trace_share <= 1, "trace_share must lie between 0 and 1")
        _require(
            self.exporter != "otlp" or bool(self.endpoint),
            "exporter otlp needs an endpoint",
        )


@dataclass(frozen=True, slots=True)
class LocalTarget:
    """The place on the daemon's VM where a target listens.

    Targets of different services may use it one after another, and the settings may be
    outdated. Which service a target belongs to is known from its own reports alone.
    """

    service: str
    """Service whose health path is asked."""
    address: Address


@dataclass(frozen=True, slots=True)
class DaemonSettings:
    """All settings of one daemon."""

    name: str
    zone: str
    region: str
    caller_address: Address
    """Address that callers connect to."""
    peer_address: Address
    """Address that peers connect to, as published in the member record."""
    announce_address: Address
    """Loopback address at which the targets of this VM announce themselves."""
    store_address: Address
    seed_peers: tuple[Address, ...] = ()
    """Peers to get members and configuration from while the store is unreachable."""
    stop_seconds: float = 30.0
    """Longest duration of a graceful stop."""
    notice_seconds: float = 1.0
    """Time for which a leaving daemon still answers requests on open connections.

    Must be the same on all daemons: a new keeper assumes no share of a leaving daemon
    after it.
    """
    local_target: LocalTarget | None = None
    """Target whose health is checked at the start; None if targets only announce."""
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    limits: LimitSettings = field(default_factory=LimitSettings)
    health: HealthSettings = field(default_factory=HealthSettings)
    guard: GuardSettings = field(default_factory=GuardSettings)
    front: FrontSettings = field(default_factory=FrontSettings)
    peers: PeerSettings = field(default_factory=PeerSettings)
    telemetry: TelemetrySettings = field(default_factory=TelemetrySettings)

    @property
    def last_use_seconds(self) -> float:
        """Time from the start of a planned stop after which no share is spent.

        Requests of teams are accepted during the notice and may wait for a share.
        """
        return self.notice_seconds + self.limits.answer_wait_seconds

    def __post_init__(self) -> None:
        _require(bool(self.name), "name must not be empty")
        _require(bool(self.zone), "zone must not be empty")
        _require(self.stop_seconds > 0, "stop_seconds must be above 0")
        _require(
            0 <= self.notice_seconds < self.stop_seconds,
            "notice_seconds must lie between 0 and stop_seconds",
        )
