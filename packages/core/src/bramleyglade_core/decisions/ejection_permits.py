"""Permits to eject targets, which a keeper grants within a service's floor.

A guard stops ejecting a target when its permit expires, so a lost message or a
failed keeper returns targets to service and never ejects too many.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.model.identifiers import DaemonId

if TYPE_CHECKING:
    from bramleyglade_core.model.ejections import EjectionAsked
    from bramleyglade_core.model.identifiers import TargetId

PERMIT_TERM_SECONDS = 6.0
"""Lifetime of a permit; the guard counts from before it sends the request."""

PERMIT_RENEWAL_SECONDS = 2.0
"""Time between two requests of a guard for the same target."""


@dataclass(frozen=True, slots=True)
class ServiceCapacity:
    """Slots of a service in the zones in use."""

    announced: int
    """Slots of targets that are not draining, on serving daemons, live or suspected."""
    live: int
    """Part of them on live daemons, including the slots of ejected targets."""


@dataclass(frozen=True, slots=True)
class _Permit:
    guard: DaemonId
    slots: int
    sequence: int
    expires_at: float


class EjectionPermits:
    """Permits to eject targets of one service."""

    def __init__(self) -> None:
        self._permit_by_target: dict[TargetId, _Permit] = {}

    def answer(
        self,
        asked: EjectionAsked,
        floor: float,
        capacity: ServiceCapacity,
        now: float,
        is_collecting: bool,
    ) -> bool | None:
        """Grant, renew, refuse or take back a permit.

        Args:
            asked: The guard's request.
            floor: Least share of the announced slots that must stay healthy.
            capacity: Slots of the service, as known to this keeper.
            now: Time of this process's clock, in seconds.
            is_collecting: True while permits of a previous keeper may be valid that
                this one does not know; only permits already held are confirmed.

        Returns:
            Whether the permit is granted, or None for a repeated or late request.
        """
        current = self._permit_by_target.get(asked.target)
        if current is not None and current.guard == asked.guard:
            if asked.sequence <= current.sequence:
                return None
        self._drop_expired(now)
        if not asked.is_wanted:
            self._permit_by_target.pop(asked.target, None)
            return False
        is_confirmed = asked.target in self._permit_by_target
        if is_collecting:
            is_confirmed = is_confirmed or asked.is_held
        if not is_confirmed and (
            is_collecting or not self._fits(asked, floor, capacity)
        ):
            return False
        self._permit_by_target[asked.target] = _Permit(
            asked.guard, asked.slots, asked.sequence, now + PERMIT_TERM_SECONDS
        )
        return True

    def _fits(
        self, asked: EjectionAsked, floor: float, capacity: ServiceCapacity
    ) -> bool:
        ejected = sum(permit.slots for permit in self._permit_by_target.values())
        healthy = capacity.live - ejected - asked.slots
        return healthy >= floor * capacity.announced and healthy > 0

    def _drop_expired(self, now: float) -> None:
        expired = [
            t for t, permit in self._permit_by_target.items() if permit.expires_at < now
        ]
        for target in expired:
            del self._permit_by_target[target]
