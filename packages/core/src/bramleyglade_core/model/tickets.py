"""Change tickets and the resulting states of entities."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.model.entities import Entity, EntityKey, entity_key

if TYPE_CHECKING:
    from collections.abc import Iterator

WHOLE_TICKET_KINDS = frozenset({"service", "route", "team", "limits", "unreadable"})
"""Kinds that a whole ticket replaces; zones are taken out and back individually."""

MAX_TICKET_NUMBER = 2**63 - 1
"""Largest ticket number that messages between daemons carry."""


@dataclass(frozen=True, slots=True)
class Ticket:
    """A numbered change with the complete new state of each entity it touches."""

    number: int
    summary: str = ""
    entities: tuple[Entity, ...] = ()
    """Entities in their complete new state."""
    removed: tuple[EntityKey, ...] = ()
    """Keys of the entities to delete."""
    is_whole: bool = False
    """True if the ticket carries all entities of `WHOLE_TICKET_KINDS`.

    It then replaces everything that earlier tickets set for these kinds.
    """

    def __post_init__(self) -> None:
        if not 1 <= self.number <= MAX_TICKET_NUMBER:
            raise ValueError(f"number must lie between 1 and {MAX_TICKET_NUMBER}")
        keys = [entity_key(entity) for entity in self.entities] + list(self.removed)
        if not keys:
            raise ValueError("a ticket must touch at least one entity")
        if len(set(keys)) != len(keys):
            raise ValueError("a ticket must not touch an entity twice")

    def states(self, revision: int = 0) -> Iterator[EntityState]:
        """Yield the state of each touched entity after this ticket.

        Args:
            revision: Store revision at which the ticket was accepted.

        Yields:
            One state per entity; a removed one is a tombstone.
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
    """Number of the ticket; of several states the highest number wins."""
    entity: Entity | None
    """None for a removed entity (a tombstone)."""
    revision: int = 0
    """Store revision at which the ticket was accepted."""
