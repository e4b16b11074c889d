"""The merged configuration: for each entity, the state set by its highest ticket."""

from __future__ import annotations

from dataclasses import replace
from functools import cached_property
from typing import TYPE_CHECKING, TypeVar

from bramleyglade_core.decisions.routing import Router
from bramleyglade_core.model.entities import (
    KIND_BY_TYPE,
    CallerLimits,
    Route,
    Service,
    Team,
    UnreadableEntity,
    Zone,
)
from bramleyglade_core.model.tickets import WHOLE_TICKET_KINDS

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bramleyglade_core.model.entities import EntityKey
    from bramleyglade_core.model.tickets import EntityState

AnyEntity = TypeVar(
    "AnyEntity", Zone, Service, Route, Team, CallerLimits, UnreadableEntity
)

_DEFAULT_LIMITS = CallerLimits()


class Configuration:
    """An immutable merge of entity states, with the indexes for serving requests."""

    def __init__(
        self, state_by_key: Mapping[EntityKey, EntityState], whole_ticket: int = 0
    ) -> None:
        self.state_by_key = state_by_key
        """State of each entity ever configured; removed ones as tombstones."""
        self.whole_ticket = whole_ticket
        """Highest ticket that carries all entities; 0 if there is none."""

    def merged(
        self, states: Iterable[EntityState], whole_ticket: int = 0
    ) -> Configuration:
        """Return the configuration with more states merged in.

        The merge is commutative and idempotent: the highest ticket wins, in
        whatever order and however often states arrive.

        Args:
            states: All states of one or more tickets.
            whole_ticket: Highest of these tickets that carries all entities; it
                supersedes earlier states of the `WHOLE_TICKET_KINDS`. 0 if there is
                none.

        Returns:
            A new configuration, or this one if nothing changes.
        """
        latest_whole = max(self.whole_ticket, whole_ticket)
        is_changed = latest_whole > self.whole_ticket
        merged = dict(self.state_by_key)
        if is_changed:
            merged = {
                k: s for k, s in merged.items() if not _is_superseded(s, latest_whole)
            }
        for state in states:
            current = merged.get(state.key)
            if current is not None and current.ticket >= state.ticket:
                continue
            if _is_superseded(state, latest_whole):
                continue
            merged[state.key] = state
            is_changed = True
        return Configuration(merged, latest_whole) if is_changed else self

    def without_revisions(self) -> Configuration:
        """Return the same configuration as of before the first revision of an era."""
        states = {k: replace(s, revision=0) for k, s in self.state_by_key.items()}
        return Configuration(states, self.whole_ticket)

    def states_after(self, revision: int) -> tuple[EntityState, ...]:
        """Return the states set by tickets accepted after a revision; all after 0."""
        states = self.state_by_key.values()
        if revision == 0:
            return tuple(states)
        return tuple(state for state in states if state.revision > revision)

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
        """Index of the routes; of overlapping routes, the higher ticket wins."""
        states = sorted(self.state_by_key.values(), key=lambda s: -s.ticket)
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


def _is_superseded(state: EntityState, whole_ticket: int) -> bool:
    return state.ticket < whole_ticket and state.key.kind in WHOLE_TICKET_KINDS


EMPTY_CONFIGURATION = Configuration({})
"""Configuration of a daemon before it has received any from the store or a peer."""
