"""Change tickets and the state that they leave behind."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.model.entities import Entity, EntityKey, entity_key

if TYPE_CHECKING:
    from collections.abc import Iterator

WHOLE_TICKET_KINDS = frozenset({"service", "route", "team", "limits"})
"""Kinds that a whole ticket carries; zones are taken out and back by themselves."""

MAX_TICKET_NUMBER = 10**12 - 1
"""Largest ticket number; numbers are twelve digits in the store's keys."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """A numbered change that carries the whole new state of all it touches."""

    number: int
    summary: str = ""
    entities: tuple[Entity, ...] = ()
    """Entities with their whole new state."""
    removed: tuple[EntityKey, ...] = ()
    """Entities that cease to exist."""
    is_whole: bool = False
    """True if the ticket carries all entities of `WHOLE_TICKET_KINDS`.

    What earlier tickets set of these kinds is void then.
    """

    def __post_init__(self) -> None:
        if not 1 <= self.number <= MAX_TICKET_NUMBER:
            raise ValueError(f"number must lie between 1 and {MAX_TICKET_NUMBER}")
        keys = [entity_key(entity) for entity in self.entities] + list(self.removed)
        if not keys:
            raise ValueError("a ticket touches at least one entity")
        if len(set(keys)) != len(keys):
            raise ValueError("a ticket touches each entity once")

    def states(self, revision: int = 0) -> Iterator[EntityState]:
        """Yield the state of each entity after this ticket.

        Args:
            revision: Revision of the store at which the ticket was accepted.

        Yields:
            One state for each entity touched, removed ones as tombstones.
        """
        for entity in self.entities:
            yield EntityState(entity_key(entity), self.number, entity, revision)
        for key in self.removed:
            yield EntityState(key, self.number, None, revision)


@dataclass(frozen=True, slots=True)
class EntityState:
    """The state of one entity and the ticket that set it."""

    key: EntityKey
    ticket: int
    """Number of the ticket; the highest one wins."""
    entity: Entity | None
    """None is a tombstone."""
    revision: int = 0
    """Revision of the store at which the ticket was accepted."""
