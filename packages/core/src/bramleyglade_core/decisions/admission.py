"""Authentication and authorization of requests."""

from __future__ import annotations

import hashlib
import ipaddress
from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import (
    AttemptError,
    ErrorCode,
    FleetError,
    KeyRefused,
)

if TYPE_CHECKING:
    from collections.abc import Container

    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.model.entities import Route, Team


_LATE_VERSION_RETRY_SECONDS = 0.5

_OUTDATED_CODES = (
    ErrorCode.NO_ROUTE,
    ErrorCode.METHOD_NOT_ALLOWED,
    ErrorCode.KEY_MISSING,
    ErrorCode.KEY_UNKNOWN,
    ErrorCode.KEY_NOT_ALLOWED,
)
"""Refusals by the content of the configuration, which a later version may change."""


def hash_key(key: str) -> str:
    """Return the hexadecimal SHA-256 of a key; keys are random and need no salt."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(
    configuration: Configuration, route: Route, key: str, is_lease_valid: bool
) -> Team | None:
    """Authenticate a request and check that its team may use the route.

    Args:
        configuration: The configuration in force.
        route: Route of the request.
        key: Key of the request; empty if it has none.
        is_lease_valid: Whether the lease on this daemon's configuration is valid.

    Returns:
        The team of the request, or None on a route open to all.

    Raises:
        KeyRefused: If the key is missing, unknown or not allowed on the route,
            or if this daemon can't verify that the key was not withdrawn.
    """
    if route.open_to_all:
        return None
    if not key:
        raise KeyRefused(ErrorCode.KEY_MISSING, "this route requires a key")
    if not is_lease_valid:
        raise KeyRefused(
            ErrorCode.CONFIGURATION_STALE,
            "this VM's lease has lapsed, so it can't verify that keys are in force",
            retry_after=1.0,
        )
    key_hash = hash_key(key)
    team = configuration.team_by_key_hash.get(key_hash)
    if team is None and configuration.may_be_key_of_unreadable_team(key_hash):
        raise KeyRefused(
            ErrorCode.CONFIGURATION_UNREADABLE,
            "the key may belong to a team that this VM can't decode",
            retry_after=1.0,
        )
    if team is None:
        raise KeyRefused(ErrorCode.KEY_UNKNOWN, "the key is not in force")
    if route.teams and team.name not in route.teams:
        raise KeyRefused(
            ErrorCode.KEY_NOT_ALLOWED, "the key's team may not use this route"
        )
    return team


def refusal_by_outdated(error: FleetError) -> FleetError:
    """Return the refusal of a daemon that awaits a version known to be in force.

    Args:
        error: The refusal by the configuration that the daemon has.

    Returns:
        A refusal that lets the caller come back, if the version may allow the request.
    """
    if error.code not in _OUTDATED_CODES:
        return error
    return AttemptError(
        ErrorCode.CONFIGURATION_STALE,
        f"a later version of the configuration has not arrived yet: {error.detail}",
        retry_after=_LATE_VERSION_RETRY_SECONDS,
    )


def is_own_vm(host: str, own_host: str, target_hosts: Container[str]) -> bool:
    """Return whether a connection comes from the VM that accepted it.

    Args:
        host: Address of the connection's other end.
        own_host: Address at which the connection was accepted.
        target_hosts: Addresses of the targets on this VM.
    """
    if host == own_host or host in target_hosts:
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False
