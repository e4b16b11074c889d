"""Construction of the tickets for the `key` and `zone` commands."""

from __future__ import annotations

import secrets
from dataclasses import replace
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.model.errors import BadInput, ErrorCode
from bramleyglade_core.model.tickets import Ticket

if TYPE_CHECKING:
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.model.entities import Team, Zone

_KEY_BYTES = 32


def new_key() -> str:
    """Generate a random key for a team."""
    return secrets.token_urlsafe(_KEY_BYTES)


def grant_key(configuration: Configuration, team: str, key: str) -> Team:
    """Return a copy of a team with one more key.

    Raises:
        BadInput: If the team does not exist.
    """
    current = _team(configuration, team)
    hashes = dict.fromkeys([*current.key_hashes, hash_key(key)])
    return replace(current, key_hashes=tuple(hashes))


def withdraw_key(configuration: Configuration, team: str, key_hash: str) -> Team:
    """Return a copy of a team without one of its keys.

    Args:
        configuration: The current configuration.
        team: Name of the team.
        key_hash: Hash of the key, or an unambiguous prefix of it.

    Returns:
        The changed team.

    Raises:
        BadInput: If the team does not exist, or not exactly one key matches.
    """
    current = _team(configuration, team)
    matches = [h for h in current.key_hashes if h.startswith(key_hash)]
    if len(matches) != 1 or not key_hash:
        detail = f"{len(matches)} keys of team {team!r} match the hash {key_hash!r}"
        raise BadInput(ErrorCode.BAD_TICKET, detail)
    kept = tuple(h for h in current.key_hashes if h != matches[0])
    return replace(current, key_hashes=kept)


def set_zone_in_use(configuration: Configuration, zone: str, in_use: bool) -> Zone:
    """Return a copy of a zone that is in use or taken out.

    Raises:
        BadInput: If the zone does not exist.
    """
    current = configuration.zone_by_name.get(zone)
    if current is None:
        raise BadInput(ErrorCode.BAD_TICKET, f"there is no zone {zone!r}")
    return replace(current, in_use=in_use)


def make_ticket(
    configuration: Configuration, number: int | None, entity: Team | Zone, summary: str
) -> Ticket:
    """Create a ticket that changes one entity.

    Args:
        configuration: The current configuration.
        number: Number of the ticket; None for the next free one.
        entity: The entity with its complete new state.
        summary: Summary of the change.

    Returns:
        The ticket.
    """
    if number is None:
        states = configuration.state_by_key.values()
        number = max((configuration.ticket_of(s) for s in states), default=0) + 1
    return Ticket(number, summary, (entity,))


def _team(configuration: Configuration, name: str) -> Team:
    current = configuration.team_by_name.get(name)
    if current is None:
        raise BadInput(ErrorCode.BAD_TICKET, f"there is no team {name!r}")
    return current
