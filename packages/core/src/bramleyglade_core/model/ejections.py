"""Messages between a guard and the keeper of a service's ejections."""

from __future__ import annotations

from dataclasses import dataclass

from bramleyglade_core.model.identifiers import DaemonId, TargetId


@dataclass(frozen=True, slots=True)
class EjectionAsked:
    """A guard asks for leave to eject a target, or gives that leave back."""

    service: str
    target: TargetId
    guard: DaemonId
    sequence: int
    slots: int
    is_wanted: bool
    """False to give the leave back."""
    is_held: bool = False
    """True if leave that this guard has been given still holds."""


@dataclass(frozen=True, slots=True)
class EjectionTold:
    """The keeper's answer."""

    service: str
    target: TargetId
    sequence: int
    is_granted: bool
