"""The merged configuration: for each entity, the state set by its highest ticket."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from functools import cached_property
from typing import TYPE_CHECKING, TypeVar

import xxhash

from bramleyglade_core.decisions.routing import Router
from bramleyglade_core.model.entities import (
    KIND_BY_TYPE,
    CallerLimits,
    EntityKey,
    Route,
    Service,
    Team,
    UnreadableEntity,
    Zone,
)
from bramleyglade_core.model.tickets import WHOLE_TICKET_KINDS, EntityState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.entities import Entity

AnyEntity = TypeVar(
    "AnyEntity", Zone, Service, Route, Team, CallerLimits, UnreadableEntity
)

_DEFAULT_LIMITS = CallerLimits()

_MAX_PAST_TICKETS = 16
"""Whole tickets that a configuration can be told the changes since."""

_KINDS_BY_INDEX = {
    "service_by_name": {"service"},
    "route_by_name": {"route"},
    "team_by_name": {"team"},
    "team_by_key_hash": {"team"},
    "caller_limits": {"limits"},
    "priorities": {"route", "team"},
    "unreadable_routes": {"unreadable"},
    "unreadable_teams": {"unreadable"},
    "router": {"route", "unreadable"},
}
"""Kinds of entities that each index depends on."""


@dataclass(frozen=True, slots=True)
class PastTicket:
    """A whole ticket that was in force, and what its successor changed."""

    number: int
    state_by_key: Mapping[EntityKey, EntityState | None]
    """Former states of the entities that changed; None for those that were added."""


class Configuration:
    """An immutable merge of entity states, with the indexes for serving requests.

    An entity that a whole ticket repeats keeps its state, so that a whole ticket costs
    as much as it changes. Tickets of states are compared by `ticket_of`.
    """

    def __init__(
        self,
        state_by_key: Mapping[EntityKey, EntityState],
        whole_ticket: int = 0,
        whole_revision: int = 0,
        past_tickets: tuple[PastTicket, ...] = (),
        may_differ: bool = False,
    ) -> None:
        self.state_by_key = state_by_key
        """State of each entity ever configured; removed ones as tombstones, unless a
        whole ticket has removed them."""
        self.whole_ticket = whole_ticket
        """Highest ticket that carries all entities; 0 if there is none."""
        self.whole_revision = whole_revision
        """Store revision of that ticket; 0 if it was read in an earlier era."""
        self.past_tickets = past_tickets
        """Whole tickets that were in force before, the newest first."""
        self.may_differ = may_differ
        """Whether a peer has another content of a whole ticket known here."""

    def merged(
        self,
        states: Iterable[EntityState],
        whole_ticket: int = 0,
        whole_revision: int = 0,
        base_ticket: int = 0,
    ) -> Configuration:
        """Return the configuration with more states merged in.

        The merge is commutative and idempotent: the highest ticket wins, in
        whatever order and however often states arrive.

        Args:
            states: All states of one or more tickets.
            whole_ticket: Highest of these tickets that carries all entities; it
                supersedes earlier states of the `WHOLE_TICKET_KINDS`. 0 if there is
                none.
            whole_revision: Store revision of the whole ticket.
            base_ticket: One of the `known_tickets` if `states` has only what the whole
                ticket changed since that one, with tombstones for removed entities.

        Returns:
            A new configuration, or this one if nothing changes.
        """
        is_new_whole = whole_ticket > self.whole_ticket
        latest_whole = max(self.whole_ticket, whole_ticket)
        changes: dict[EntityKey, EntityState | None] = {}
        if is_new_whole and base_ticket:
            changes = self._former_states(base_ticket)
        elif is_new_whole:
            changes = {
                key: None
                for key, state in self.state_by_key.items()
                if self._is_superseded(state, latest_whole)
            }
        for state in states:
            if _is_of_whole_kind(state) and state.ticket < latest_whole:
                continue
            current = changes.get(state.key, self.state_by_key.get(state.key))
            if current is not None and self.ticket_of(current) >= state.ticket:
                continue
            changes[state.key] = self._changed_state(state, latest_whole)
        changes = {
            key: state
            for key, state in changes.items()
            if state is not self.state_by_key.get(key)
        }
        if not changes and not is_new_whole:
            return self
        merged = {**self.state_by_key, **changes}
        configuration = Configuration(
            {key: state for key, state in merged.items() if state is not None},
            latest_whole,
            whole_revision if is_new_whole else self.whole_revision,
            self._past_after(changes, is_new_whole),
            self.may_differ and not is_new_whole,
        )
        configuration._adopt_indexes(self, {key.kind for key in changes})
        configuration._adopt_digest(self, changes)
        return configuration

    def ticket_of(self, state: EntityState) -> int:
        """Return the highest ticket that has set a state or has repeated it."""
        if _is_of_whole_kind(state):
            return max(state.ticket, self.whole_ticket)
        return state.ticket

    @cached_property
    def known_tickets(self) -> tuple[int, ...]:
        """Whole tickets that changes can be told from, the one in force first.

        Empty if there is none, if a later ticket has changed single entities, or if a
        peer has another content of one of them.
        """
        is_amended = any(
            state.ticket > self.whole_ticket and _is_of_whole_kind(state)
            for state in self.state_by_key.values()
        )
        if not self.whole_ticket or is_amended or self.may_differ:
            return ()
        return (self.whole_ticket, *(past.number for past in self.past_tickets))

    @cached_property
    def whole_digest(self) -> int:
        """Digest of all entities of the `WHOLE_TICKET_KINDS`, a number of 64 bits."""
        digest = 0
        for state in self.state_by_key.values():
            digest ^= _digest_of(state)
        return digest

    def without_known_tickets(self) -> Configuration:
        """Return the same configuration, which can't be told changes any more."""
        return Configuration(
            self.state_by_key, self.whole_ticket, self.whole_revision, may_differ=True
        )

    def changes_since(self, base_ticket: int) -> tuple[EntityState, ...]:
        """Return what the whole ticket in force has changed since an earlier one.

        Args:
            base_ticket: One of the `known_tickets`, or 0 for all entities.

        Returns:
            States of the `WHOLE_TICKET_KINDS` as set by the whole ticket, sorted by
            key; tombstones for removed entities.
        """
        if not base_ticket:
            entities = [
                (key, state.entity)
                for key, state in self.state_by_key.items()
                if self._is_set_by_whole(state)
            ]
        else:
            entities = [
                (key, _entity_of(self.state_by_key.get(key)))
                for key, former in self._former_states(base_ticket).items()
                if _entity_of(former) != _entity_of(self.state_by_key.get(key))
            ]
        return tuple(
            EntityState(key, self.whole_ticket, entity, self.whole_revision)
            for key, entity in sorted(entities, key=lambda item: item[0])
        )

    def without_revisions(self) -> Configuration:
        """Return the same configuration as of before the first revision of an era."""
        states = {k: replace(s, revision=0) for k, s in self.state_by_key.items()}
        return Configuration(
            states, self.whole_ticket, 0, self.past_tickets, self.may_differ
        )

    def states_after(self, revision: int) -> tuple[EntityState, ...]:
        """Return the states set by tickets accepted after a revision; all after 0."""
        states = [
            state
            for state in self.state_by_key.values()
            if not self._is_set_by_whole(state)
            and (revision == 0 or state.revision > revision)
        ]
        if revision == 0 or self.whole_revision > revision:
            states += self.changes_since(0)
        return tuple(states)

    def single_states_after(self, revision: int) -> tuple[EntityState, ...]:
        """Return those of `states_after` whose kinds no whole ticket replaces."""
        return tuple(
            state
            for state in self.state_by_key.values()
            if not _is_of_whole_kind(state)
            and (revision == 0 or state.revision > revision)
        )

    def _is_set_by_whole(self, state: EntityState) -> bool:
        return _is_of_whole_kind(state) and state.ticket <= self.whole_ticket

    def _is_superseded(self, state: EntityState, whole_ticket: int) -> bool:
        return _is_of_whole_kind(state) and self.ticket_of(state) < whole_ticket

    def _changed_state(
        self, state: EntityState, latest_whole: int
    ) -> EntityState | None:
        """Return the state to keep for a new one; None if the entity is absent."""
        if not _is_of_whole_kind(state) or state.ticket > latest_whole:
            return state
        known = self.state_by_key.get(state.key)
        if state.entity is not None and _entity_of(known) == state.entity:
            return known
        return state if state.entity is not None else None

    def _former_states(self, base_ticket: int) -> dict[EntityKey, EntityState | None]:
        """Return the states at an earlier ticket of all entities changed since."""
        former: dict[EntityKey, EntityState | None] = {}
        if base_ticket == self.whole_ticket:
            return former
        for past in self.past_tickets:
            former.update(past.state_by_key)
            if past.number == base_ticket:
                return former
        raise ValueError(f"the changes since ticket {base_ticket} are not known")

    def _past_after(
        self, changes: Mapping[EntityKey, EntityState | None], is_new_whole: bool
    ) -> tuple[PastTicket, ...]:
        replaced = {
            key: self.state_by_key.get(key)
            for key in changes
            if key.kind in WHOLE_TICKET_KINDS
        }
        if not is_new_whole:
            return () if replaced else self.past_tickets
        if not self.known_tickets:
            return ()
        past = PastTicket(self.whole_ticket, replaced)
        return (past, *self.past_tickets)[:_MAX_PAST_TICKETS]

    def _adopt_indexes(self, former: Configuration, changed_kinds: set[str]) -> None:
        """Keep the indexes of a former configuration that no change concerns."""
        for name, kinds in _KINDS_BY_INDEX.items():
            if name in former.__dict__ and not kinds & changed_kinds:
                self.__dict__[name] = former.__dict__[name]

    def _adopt_digest(
        self,
        former: Configuration,
        changes: Mapping[EntityKey, EntityState | None],
    ) -> None:
        """Derive the digest from a former one, at the cost of what has changed."""
        if "whole_digest" not in former.__dict__:
            return
        digest = former.whole_digest
        for key, state in changes.items():
            digest ^= _digest_of(former.state_by_key.get(key)) ^ _digest_of(state)
        self.__dict__["whole_digest"] = digest

    @cached_property
    def is_known(self) -> bool:
        """Whether operators' configuration was received, and not only their zones."""
        return bool(self.whole_ticket) or any(
            key.kind in WHOLE_TICKET_KINDS for key in self.state_by_key
        )

    @cached_property
    def zone_by_name(self) -> dict[str, Zone]:
        """Zones in force."""
        return self._entities(Zone)

    @cached_property
    def service_by_name(self) -> dict[str, Service]:
        """Services in force."""
        return self._entities(Service)

    @cached_property
    def team_by_name(self) -> dict[str, Team]:
        """Teams in force."""
        return self._entities(Team)

    @cached_property
    def caller_limits(self) -> CallerLimits:
        """Limits in force for callers, or the defaults."""
        found = self._entities(CallerLimits)
        return found.get(_DEFAULT_LIMITS.name, _DEFAULT_LIMITS)

    @cached_property
    def route_by_name(self) -> dict[str, Route]:
        """Routes in force."""
        return self._entities(Route)

    @cached_property
    def priorities(self) -> tuple[int, ...]:
        """Priorities in use, the most urgent first."""
        routes = {route.priority for route in self.route_by_name.values()}
        teams = {team.priority for team in self.team_by_name.values()}
        return tuple(sorted(routes | {p for p in teams if p is not None}))

    @cached_property
    def team_by_key_hash(self) -> dict[str, Team]:
        """Team of each key in force, by the SHA-256 of the key."""
        teams = self.team_by_name.values()
        return {key: team for team in teams for key in team.key_hashes}

    @cached_property
    def unreadable_routes(self) -> tuple[UnreadableEntity, ...]:
        """Routes in force that could not be decoded."""
        return self._unreadable(KIND_BY_TYPE[Route])

    @cached_property
    def unreadable_teams(self) -> tuple[UnreadableEntity, ...]:
        """Teams in force that could not be decoded."""
        return self._unreadable(KIND_BY_TYPE[Team])

    @cached_property
    def router(self) -> Router:
        """Index of the routes; of overlapping routes, the higher ticket wins.

        Of those that a whole ticket has set, the one with the lower name wins, so that
        it is the same on all daemons.
        """
        states = sorted(
            self.state_by_key.values(), key=lambda s: (-self.ticket_of(s), s.key)
        )
        routes = [s.entity for s in states if isinstance(s.entity, Route)]
        return Router(routes, self.unreadable_routes)

    def may_be_key_of_unreadable_team(self, key_hash: str) -> bool:
        """Return whether a key may be one of a team that could not be decoded."""
        return any(
            key_hash in team.key_hashes or not team.is_identified
            for team in self.unreadable_teams
        )

    def is_zone_in_use(self, name: str) -> bool:
        """Return whether new work may go to a zone; unknown zones are in use."""
        zone = self.zone_by_name.get(name)
        return zone is None or zone.in_use

    def _unreadable(self, kind: str) -> tuple[UnreadableEntity, ...]:
        entities = self._entities(UnreadableEntity).values()
        return tuple(entity for entity in entities if entity.kind == kind)

    def _entities(self, kind: type[AnyEntity]) -> dict[str, AnyEntity]:
        return {
            state.entity.name: state.entity
            for state in self.state_by_key.values()
            if isinstance(state.entity, kind)
        }


def _is_of_whole_kind(state: EntityState) -> bool:
    return state.key.kind in WHOLE_TICKET_KINDS


def _digest_of(state: EntityState | None) -> int:
    if state is None or state.entity is None or not _is_of_whole_kind(state):
        return 0
    text = f"{state.key}|{state.entity!r}"
    return xxhash.xxh64_intdigest(text.encode(errors="backslashreplace"))


def _entity_of(state: EntityState | None) -> Entity | None:
    return None if state is None else state.entity


EMPTY_CONFIGURATION = Configuration({})
"""Configuration of a daemon before it has received any from the store or a peer."""
