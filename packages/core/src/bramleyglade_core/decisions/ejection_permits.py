"""The keeper's book of a service's ejections, which holds the floor.

A guard stops ejecting when its leave lapses, so a lost message or a dead
keeper brings targets back; it never takes one too many away.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.model.identifiers import DaemonId

if TYPE_CHECKING:
    from bramleyglade_core.model.ejections import EjectionAsked
    from bramleyglade_core.model.identifiers import TargetId

PERMIT_TERM_SECONDS = 6.0
"""How long leave to eject is good, from before the asking."""

PERMIT_RENEWAL_SECONDS = 2.0
"""Time between two asks of a guard for the same target."""


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Slots of a service in the zones in use."""

    announced: int
    """Slots of all targets that have not left."""
    live: int
    """Those of them on daemons that answer, ejected ones included."""


@dataclass(frozen=True, slots=True)
class _Leave:
    guard: DaemonId
    slots: int
    sequence: int
    term_end: float


class EjectionPermits:
    """Leave to eject, for one service."""

    def __init__(self) -> None:
        self._leave_by_target: dict[TargetId, _Leave] = {}

    def answer(
        self,
        asked: EjectionAsked,
        floor: float,
        capacity: ServiceCapacity,
        now: float,
        is_collecting: bool,
    ) -> bool | None:
        """Decide on an ask.

        Args:
            asked: The guard's ask.
            floor: Least share of the announced slots to stay healthy.
            capacity: Slots of the service, as this keeper knows them.
            now: Time of this process's clock, in seconds.
            is_collecting: True while leave of a former keeper may be out that
                this one has not heard of; only held leave is confirmed.

        Returns:
            Whether leave is given, or None for an ask that came twice or late.
        """
        known = self._leave_by_target.get(asked.target)
        if known is not None and known.guard == asked.guard:
            if asked.sequence <= known.sequence:
                return None
        self._drop_lapsed(now)
        if not asked.is_wanted:
            self._leave_by_target.pop(asked.target, None)
            return False
        is_confirmed = asked.target in self._leave_by_target
        if is_collecting:
            is_confirmed = is_confirmed or asked.is_held
        if not is_confirmed and (
            is_collecting or not self._fits(asked, floor, capacity)
        ):
            return False
        self._leave_by_target[asked.target] = _Leave(
            asked.guard, asked.slots, asked.sequence, now + PERMIT_TERM_SECONDS
        )
        return True

    def _fits(
        self, asked: EjectionAsked, floor: float, capacity: ServiceCapacity
    ) -> bool:
        ejected = sum(leave.slots for leave in self._leave_by_target.values())
        healthy = capacity.live - ejected - asked.slots
        return healthy >= floor * capacity.announced and healthy > 0

    def _drop_lapsed(self, now: float) -> None:
        lapsed = [
            t for t, leave in self._leave_by_target.items() if leave.term_end < now
        ]
        for target in lapsed:
            del self._leave_by_target[target]
