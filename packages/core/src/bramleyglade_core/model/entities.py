"""Entities that operators configure: zones, services, routes, teams and limits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
"""Methods that HTTP defines as idempotent (RFC 9110, 9.2.2)."""

UNLIMITED_RATE = 10_000_000.0
"""Rate of a team without a limit, in requests per second; more than a fleet serves."""

MAX_BURST = 10_000_000
"""Largest burst that keepers count, in requests."""

MAX_TIMEOUT_SECONDS = 86_400.0
"""Longest timeout of a request or of a caller's connection."""

_LAST_CONTROL_CHARACTER = "\x1f"
_DELETE_CHARACTER = "\x7f"


def _check_name(name: str) -> None:
    if not name:
        raise ValueError("a name must not be empty")
    try:
        name.encode()
    except UnicodeEncodeError:
        raise ValueError(f"name {name!r} is not valid Unicode text") from None


def _check_header_value(name: str) -> None:
    """Refuse a name that a header can't carry unchanged."""
    is_trimmed = name == name.strip(" \t")
    has_control = any(c <= _LAST_CONTROL_CHARACTER for c in name)
    if not is_trimmed or has_control or _DELETE_CHARACTER in name:
        raise ValueError(f"name {name!r} does not fit a header")


def _check_regions(regions: tuple[str, ...]) -> None:
    if not all(regions):
        raise ValueError("the name of a region must not be empty")


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    name: str
    region: str
    in_use: bool = True
    """False while operators have taken the zone out of use."""

    def __post_init__(self) -> None:
        _check_name(self.name)


@dataclass(frozen=True, slots=True)
class Service:
    """A set of interchangeable targets."""

    name: str
    zones: tuple[str, ...]
    """Names of the zones that the service runs in."""
    floor: float = 0.5
    """Smallest share of the announced slots that ejections leave healthy, 0 to 1."""
    timeout_seconds: float = 30.0
    """Timeout of a request whose route sets none; callers may set a shorter one."""
    health_path: str = ""
    """Path of the targets' health check; empty if they have none."""
    cold_per_second: float | None = None
    """Rate that a cold target sustains, in requests per second.

    None if it is unknown, so that the guard ramps up the target's concurrency.
    """

    def __post_init__(self) -> None:
        _check_name(self.name)
        if self.cold_per_second is not None and self.cold_per_second <= 0:
            raise ValueError("cold_per_second must be above 0")
        if not self.zones:
            raise ValueError("a service needs at least one zone")
        if len(set(self.zones)) != len(self.zones):
            raise ValueError("a zone of a service is listed twice")
        if not 0.0 <= self.floor <= 1.0:
            raise ValueError("floor must lie between 0 and 1")
        if not 0.0 < self.timeout_seconds <= MAX_TIMEOUT_SECONDS:
            raise ValueError("timeout_seconds must lie between 0 and 86400")


@dataclass(frozen=True, slots=True)
class SplitPart:
    """A service that receives part of a route's requests."""

    service: str
    weight: float
    """Weight relative to the sum over all parts."""

    def __post_init__(self) -> None:
        if self.weight < 0:
            raise ValueError("weight must not be negative")


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests to a service and states who may send them."""

    name: str
    service: str
    path_prefix: str
    """Prefix of whole path segments, such as `/catalogue`; `/` matches every path.

    With a trailing slash it matches only paths below it. It matches the spelling that
    callers send; percent-encoded characters are not decoded.
    """
    methods: tuple[str, ...] = ()
    """Methods that match; empty for all."""
    open_to_all: bool = False
    """Whether requests need no key."""
    teams: tuple[str, ...] = ()
    """Teams that may use the route; empty for every team."""
    idempotent: bool | None = None
    """Whether requests are idempotent; None to decide by the method."""
    host: str = ""
    """Host that requests must name; empty for any host."""
    split: tuple[SplitPart, ...] = ()
    """Services that share the requests by weight; empty for `service` alone."""
    max_attempts: int | None = None
    """Most attempts for one request; None for the front's setting."""
    timeout_seconds: float | None = None
    """Timeout of a request; None for the service's."""
    objective_seconds: float | None = None
    """Latency objective; None if the route has none."""
    priority: int = 0
    """Priority of the requests; 0 is the most urgent."""
    regions: tuple[str, ...] = ()
    """Regions that may serve the requests; empty for all."""

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_regions(self.regions)
        if not self.path_prefix.startswith("/"):
            raise ValueError("path_prefix must start with '/'")
        if self.max_attempts is not None and self.max_attempts < 1:
            raise ValueError("max_attempts must be at least 1")
        if self.timeout_seconds is not None and self.timeout_seconds <= 0:
            raise ValueError("timeout_seconds must be above 0")
        if self.split and not any(part.weight > 0 for part in self.split):
            raise ValueError("at least one part of a split must have a weight above 0")
        if self.open_to_all and self.teams:
            raise ValueError("a route that is open to all must not list teams")

    def is_idempotent(self, method: str) -> bool:
        """Return whether a request on this route is idempotent.

        Args:
            method: HTTP method in upper case.

        Returns:
            The route's own setting, or what HTTP defines for the method.
        """
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


@dataclass(frozen=True, slots=True)
class Team:
    """A customer with its keys, rate limit and burst."""

    name: str
    rate: float
    """Requests per second over all VMs."""
    burst: int
    """Size of the token bucket: requests that may come at once."""
    key_hashes: tuple[str, ...] = ()
    """SHA-256 hashes of the valid keys, in hexadecimal."""
    priority: int | None = None
    """Priority that overrides the route's; None for the route's."""
    regions: tuple[str, ...] = ()
    """Regions that may serve the team's requests; empty for all."""

    @property
    def is_unlimited(self) -> bool:
        """Whether the team has no rate limit."""
        return self.rate >= UNLIMITED_RATE

    def __post_init__(self) -> None:
        _check_name(self.name)
        _check_header_value(self.name)
        _check_regions(self.regions)
        if not 0.0 < self.rate <= UNLIMITED_RATE:
            raise ValueError("rate must be above 0 and at most 10000000")
        if not 1 <= self.burst <= MAX_BURST:
            raise ValueError("burst must lie between 1 and 10000000")
        for key_hash in self.key_hashes:
            if len(key_hash) != 64 or set(key_hash) - set("0123456789abcdef"):
                raise ValueError(
                    "a key hash must have 64 lower-case hexadecimal digits"
                )


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Size and time limits for callers; a singleton entity."""

    name: str = "callers"
    max_head_bytes: int = 65_536
    max_body_bytes: int = 1_099_511_627_776
    head_seconds: float = 10.0
    """Longest time to receive the head of a request once it has begun."""
    idle_seconds: float = 60.0
    """Idle time after which a caller's connection is closed."""

    def __post_init__(self) -> None:
        _check_name(self.name)
        if self.max_head_bytes < 1 or self.max_body_bytes < 0:
            raise ValueError(
                "max_head_bytes must be above 0 and max_body_bytes not negative"
            )
        if self.head_seconds <= 0 or self.idle_seconds <= 0:
            raise ValueError("head_seconds and idle_seconds must be above 0")


@dataclass(frozen=True, slots=True)
class UnreadableEntity:
    """A route or a team of the operators that this daemon can't decode.

    Requests that it may concern are refused while it is in force: neither what it
    allows nor what it forbids is known.
    """

    name: str
    """Kind and name of the entity, such as `route/search`."""
    why: str
    host: str = ""
    """Host of a route; empty for any host."""
    path_prefix: str = ""
    """Prefix of a route; empty if it is unknown."""
    key_hashes: tuple[str, ...] = ()
    """SHA-256 hashes of the keys of a team, as far as they are known."""
    is_identified: bool = True
    """Whether the host and prefix of the route, or all keys of the team, are known."""

    def __post_init__(self) -> None:
        _check_name(self.name)

    @property
    def kind(self) -> str:
        """Kind of the entity that can't be decoded."""
        return self.name.partition("/")[0]


Entity = Union[Zone, Service, Route, Team, CallerLimits, UnreadableEntity]


@dataclass(frozen=True, slots=True, order=True)
class EntityKey:
    """Key of an entity in the configuration."""

    kind: str
    """`zone`, `service`, `route`, `team`, `limits` or `unreadable`."""
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


KIND_BY_TYPE: dict[type, str] = {
    Zone: "zone",
    Service: "service",
    Route: "route",
    Team: "team",
    CallerLimits: "limits",
    UnreadableEntity: "unreadable",
}


def entity_key(entity: Entity) -> EntityKey:
    """Return the key of an entity in the configuration.

    Args:
        entity: Any configured entity.

    Returns:
        Its kind and name.
    """
    return EntityKey(KIND_BY_TYPE[type(entity)], entity.name)
