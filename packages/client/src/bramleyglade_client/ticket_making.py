"""Tickets that the command line writes itself: keys and zones."""

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
    """Make a random key for a team."""
    return secrets.token_urlsafe(_KEY_BYTES)


def grant_key(configuration: Configuration, team: str, key: str) -> Team:
    """Return a team's whole state with one more key.

    Raises:
        BadInput: If there is no such team.
    """
    known = _team(configuration, team)
    hashes = dict.fromkeys([*known.key_hashes, hash_key(key)])
    return replace(known, key_hashes=tuple(hashes))


def withdraw_key(configuration: Configuration, team: str, key_hash: str) -> Team:
    """Return a team's whole state without a key.

    Args:
        configuration: The configuration now.
        team: Name of the team.
        key_hash: The key's hash, or enough of its beginning to name it.

    Returns:
        The team.

    Raises:
        BadInput: If there is no such team, or not one key of that hash.
    """
    known = _team(configuration, team)
    found = [h for h in known.key_hashes if h.startswith(key_hash)]
    if len(found) != 1 or not key_hash:
        detail = f"{len(found)} keys of team {team!r} begin with {key_hash!r}"
        raise BadInput(ErrorCode.BAD_TICKET, detail)
    kept = tuple(h for h in known.key_hashes if h != found[0])
    return replace(known, key_hashes=kept)


def set_zone(configuration: Configuration, zone: str, in_use: bool) -> Zone:
    """Return a zone's whole state, taken out or brought back.

    Raises:
        BadInput: If there is no such zone.
    """
    known = configuration.zone_by_name.get(zone)
    if known is None:
        raise BadInput(ErrorCode.BAD_TICKET, f"there is no zone {zone!r}")
    return replace(known, in_use=in_use)


def make_ticket(
    configuration: Configuration, number: int | None, entity: Team | Zone, summary: str
) -> Ticket:
    """Wrap an entity's new state in a ticket.

    Args:
        configuration: The configuration now.
        number: The ticket's number; None for the next free one.
        entity: The entity's whole new state.
        summary: What the ticket is for.

    Returns:
        The ticket.
    """
    if number is None:
        states = configuration.state_by_key.values()
        number = max((state.ticket for state in states), default=0) + 1
    return Ticket(number, summary, (entity,))


def _team(configuration: Configuration, name: str) -> Team:
    known = configuration.team_by_name.get(name)
    if known is None:
        raise BadInput(ErrorCode.BAD_TICKET, f"there is no team {name!r}")
    return known
