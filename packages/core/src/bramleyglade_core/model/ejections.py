"""Messages between a guard and the keeper of a service's ejection permits."""

from __future__ import annotations

from dataclasses import dataclass

from bramleyglade_core.model.identifiers import DaemonId, TargetId


@dataclass(frozen=True, slots=True)
class EjectionAsked:
    """A guard requests, renews or returns a permit to eject a target."""

    service: str
    target: TargetId
    guard: DaemonId
    sequence: int
    slots: int
    is_wanted: bool
    """False to return the permit."""
    is_held: bool = False
    """True if the guard holds a permit that has not expired."""


@dataclass(frozen=True, slots=True)
class EjectionTold:
    """The keeper's answer to the request with the same sequence."""

    service: str
    target: TargetId
    sequence: int
    is_granted: bool
