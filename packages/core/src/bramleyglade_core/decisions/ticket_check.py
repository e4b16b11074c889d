"""Validation of a ticket, and the changes that it would make."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.configuration import Configuration
from bramleyglade_core.model.entities import (
    CallerLimits,
    Entity,
    EntityKey,
    Route,
    Service,
    Team,
    UnreadableEntity,
    Zone,
    entity_key,
)

if TYPE_CHECKING:
    from bramleyglade_core.model.tickets import Ticket


_MAX_KEY_NUMBER = 10**12 - 1
"""Largest ticket number that the store's keys have digits for."""

MAX_NAME_LENGTH = 128
"""Largest length of an entity's name in a ticket, in characters."""


@dataclass(frozen=True, slots=True)
class TicketProblem:
    """One reason why a ticket may not be applied."""

    place: str
    """Key of the entity, in the ticket or in the resulting configuration."""
    detail: str

    def __str__(self) -> str:
        return f"{self.place}: {self.detail}"


@dataclass(frozen=True, slots=True)
class EntityChange:
    """A ticket's change to one entity."""

    key: EntityKey
    before: Entity | None
    after: Entity | None


def list_changes(configuration: Configuration, ticket: Ticket) -> list[EntityChange]:
    """List the entities that a ticket would change.

    Args:
        configuration: The configuration before the ticket.
        ticket: The ticket.

    Returns:
        One change for each entity that would differ.
    """
    changes = []
    for state in ticket.states():
        current = configuration.state_by_key.get(state.key)
        before = current.entity if current else None
        if before != state.entity:
            changes.append(EntityChange(state.key, before, state.entity))
    return changes


def find_problems(configuration: Configuration, ticket: Ticket) -> list[TicketProblem]:
    """Check a ticket against the configuration that it would change.

    Args:
        configuration: The configuration before the ticket.
        ticket: The ticket.

    Returns:
        All problems; empty if the ticket may be applied.
    """
    found = list(_superseded(configuration, ticket))
    if ticket.number > _MAX_KEY_NUMBER:
        detail = f"the number must be at most {_MAX_KEY_NUMBER}"
        found.append(TicketProblem(f"ticket {ticket.number}", detail))
    whole_ticket = ticket.number if ticket.is_whole else 0
    after = configuration.merged(ticket.states(), whole_ticket)
    for key, state in after.state_by_key.items():
        if state.entity is not None:
            found += [TicketProblem(str(key), d) for d in _name_problems(key.name)]
            found += [
                TicketProblem(str(key), d)
                for d in _entity_problems(state.entity, after)
            ]
    return found


def _superseded(
    configuration: Configuration, ticket: Ticket
) -> Iterator[TicketProblem]:
    for state in ticket.states():
        current = configuration.state_by_key.get(state.key)
        if current is None:
            continue
        number = configuration.ticket_of(current)
        if number > ticket.number:
            yield TicketProblem(
                str(state.key), f"already set by the later ticket {number}"
            )


def _name_problems(name: str) -> Iterator[str]:
    if len(name) > MAX_NAME_LENGTH:
        yield f"the name must have at most {MAX_NAME_LENGTH} characters"
    if not all(c.isalnum() or c in "-_." for c in name):
        yield "the name may only have letters, digits, '-', '_' and '.'"


def _prefix_problems(prefix: str) -> Iterator[str]:
    if any(part in ("", ".", "..") for part in prefix.split("/")[1:-1]):
        yield "path_prefix must not have an empty, '.' or '..' segment"
    if any(c in prefix for c in "%\\?#"):
        yield "path_prefix must not contain '%', '\\', '?' or '#'"


@singledispatch
def _entity_problems(entity: object, after: Configuration) -> Iterator[str]:
    """Yield the problems of an entity in the configuration that contains it."""
    raise TypeError(f"no check for {type(entity).__name__}")


@_entity_problems.register
def _(zone: Zone, after: Configuration) -> Iterator[str]:
    yield from ()


@_entity_problems.register
def _(service: Service, after: Configuration) -> Iterator[str]:
    for name in service.zones:
        if name not in after.zone_by_name:
            yield f"zone {name!r} does not exist"
    if not any(after.is_zone_in_use(name) for name in service.zones):
        yield "none of the service's zones would be in use"


@_entity_problems.register
def _(route: Route, after: Configuration) -> Iterator[str]:
    yield from _prefix_problems(route.path_prefix)
    for service in (route.service, *(part.service for part in route.split)):
        if service not in after.service_by_name:
            yield f"service {service!r} does not exist"
    for name in route.teams:
        if name not in after.team_by_name:
            yield f"team {name!r} does not exist"
    yield from _region_problems(route.regions, after)
    for other in after.route_by_name.values():
        if other.name < route.name and _overlap(route, other):
            yield f"matches the same requests as {entity_key(other)}"


@_entity_problems.register
def _(team: Team, after: Configuration) -> Iterator[str]:
    for key_hash in team.key_hashes:
        holder = after.team_by_key_hash.get(key_hash)
        if holder is not None and holder.name != team.name:
            yield f"has a key that is also a key of team {holder.name!r}"
    yield from _region_problems(team.regions, after)


@_entity_problems.register
def _(limits: CallerLimits, after: Configuration) -> Iterator[str]:
    if limits.name != CallerLimits().name:
        yield f"must be named {CallerLimits().name!r}"


@_entity_problems.register
def _(unreadable: UnreadableEntity, after: Configuration) -> Iterator[str]:
    yield "only daemons set entities of this kind"


def _region_problems(regions: tuple[str, ...], after: Configuration) -> Iterator[str]:
    known = {zone.region for zone in after.zone_by_name.values()}
    for name in regions:
        if name not in known:
            yield f"region {name!r} does not exist"


def _overlap(route: Route, other: Route) -> bool:
    if route.host != other.host or route.path_prefix != other.path_prefix:
        return False
    if not route.methods or not other.methods:
        return True
    return bool(set(route.methods) & set(other.methods))
