"""Who may send a request: the key, the team and the route."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import ErrorCode, KeyRefused

if TYPE_CHECKING:
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.model.entities import Route, Team


def hash_key(key: str) -> str:
    """Return the SHA-256 of a key in hexadecimal; keys are random, not chosen."""
    return hashlib.sha256(key.encode()).hexdigest()


def authenticate(
    configuration: Configuration, route: Route, key: str, is_lease_valid: bool
) -> Team | None:
    """Find the team that a request runs for.

    Args:
        configuration: The configuration in force.
        route: Route of the request.
        key: The key that came with the request; empty if none did.
        is_lease_valid: Whether this daemon may trust its configuration.

    Returns:
        The team, or None on a route open to all.

    Raises:
        KeyRefused: If the key is missing, unknown or not good for the route,
            or if this daemon can't know whether the key was withdrawn.
    """
    if route.open_to_all:
        return None
    if not key:
        raise KeyRefused(ErrorCode.KEY_MISSING, "this route needs a key")
    if not is_lease_valid:
        raise KeyRefused(
            ErrorCode.CONFIGURATION_STALE,
            "this VM is cut off and can't tell whether keys are in force",
            retry_after=1.0,
        )
    team = configuration.team_by_key_hash.get(hash_key(key))
    if team is None:
        raise KeyRefused(ErrorCode.KEY_UNKNOWN, "the key is not in force")
    if route.teams and team.name not in route.teams:
        raise KeyRefused(
            ErrorCode.KEY_NOT_ALLOWED, "the key's team may not use this route"
        )
    return team
