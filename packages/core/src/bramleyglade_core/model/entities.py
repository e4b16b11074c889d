"""The entities that operators configure: zones, services, routes and teams."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Union

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
"""Methods that HTTP defines as idempotent (RFC 9110, 9.2.2)."""

MAX_NAME_LENGTH = 128
"""Longest name of an entity, in characters."""


def _check_name(name: str) -> None:
    if not name or len(name) > MAX_NAME_LENGTH:
        raise ValueError(f"a name has 1 to {MAX_NAME_LENGTH} characters")
    if not all(c.isalnum() or c in "-_." for c in name):
        raise ValueError(f"name {name!r} may hold letters, digits, '-', '_' and '.'")


@dataclass(frozen=True, slots=True)
class Zone:
    """An availability zone."""

    name: str
    region: str
    in_use: bool = True
    """False while operators have taken the zone out."""

    def __post_init__(self) -> None:
        _check_name(self.name)


@dataclass(frozen=True, slots=True)
class Service:
    """A set of targets that answer the same requests."""

    name: str
    zones: tuple[str, ...]
    """Names of the zones that the service runs in."""
    floor: float = 0.5
    """Least share of the announced slots that ejections leave healthy, 0 to 1."""
    timeout_seconds: float = 30.0
    """Deadline of a request that states none, in seconds."""

    def __post_init__(self) -> None:
        _check_name(self.name)
        if not self.zones:
            raise ValueError("a service needs at least one zone")
        if len(set(self.zones)) != len(self.zones):
            raise ValueError("zones of a service must differ")
        if not 0.0 <= self.floor <= 1.0:
            raise ValueError("floor must lie between 0 and 1")
        if not 0.0 < self.timeout_seconds <= 86_400.0:
            raise ValueError("timeout_seconds must lie between 0 and 86400")


@dataclass(frozen=True, slots=True)
class Route:
    """Which requests go to which service, and who may send them."""

    name: str
    service: str
    path_prefix: str
    """Whole path segments, such as `/catalogue`; `/` takes every path."""
    methods: tuple[str, ...] = ()
    """Methods taken; empty for all."""
    open_to_all: bool = False
    """True if requests need no key."""
    teams: tuple[str, ...] = ()
    """Teams that may use the route; empty for every team."""
    idempotent: bool | None = None
    """Whether requests may run twice; None to go by the method."""

    def __post_init__(self) -> None:
        _check_name(self.name)
        if not self.path_prefix.startswith("/"):
            raise ValueError("path_prefix must start with '/'")
        if self.path_prefix != "/" and self.path_prefix.endswith("/"):
            raise ValueError("path_prefix must not end with '/'")
        if any(part in ("", ".", "..") for part in self.path_prefix.split("/")[1:-1]):
            raise ValueError("path_prefix has an empty or dotted segment")
        if any(c in self.path_prefix for c in "%\\?#"):
            raise ValueError("path_prefix holds a character that a path may not")
        if self.open_to_all and self.teams:
            raise ValueError("a route open to all names no teams")

    def is_idempotent(self, method: str) -> bool:
        """Tell whether a request on this route may run twice.

        Args:
            method: HTTP method in upper case.

        Returns:
            The route's own setting, or what HTTP says of the method.
        """
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


@dataclass(frozen=True, slots=True)
class Team:
    """A customer with its keys, rate and burst."""

    name: str
    rate: float
    """Requests a second, over all VMs together."""
    burst: int
    """Requests above the rate that may come at once."""
    key_hashes: tuple[str, ...] = ()
    """SHA-256 of each key in force, in hexadecimal."""

    def __post_init__(self) -> None:
        _check_name(self.name)
        if not 0.0 < self.rate <= 10_000_000.0:
            raise ValueError("rate must be above 0 and at most 10000000")
        if not 1 <= self.burst <= 10_000_000:
            raise ValueError("burst must lie between 1 and 10000000")
        for key_hash in self.key_hashes:
            if len(key_hash) != 64 or set(key_hash) - set("0123456789abcdef"):
                raise ValueError("a key hash has 64 hexadecimal digits")


Entity = Union[Zone, Service, Route, Team]


@dataclass(frozen=True, slots=True, order=True)
class EntityKey:
    """What names an entity in the configuration."""

    kind: str
    """`zone`, `service`, `route` or `team`."""
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


KIND_BY_TYPE: dict[type, str] = {
    Zone: "zone",
    Service: "service",
    Route: "route",
    Team: "team",
}


def key_of(entity: Entity) -> EntityKey:
    """Name an entity.

    Args:
        entity: Any configured entity.

    Returns:
        Its key in the configuration.
    """
    return EntityKey(KIND_BY_TYPE[type(entity)], entity.name)
