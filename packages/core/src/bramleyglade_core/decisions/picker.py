"""Which target gets an attempt."""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from bramleyglade_core.model.identifiers import TargetId

if TYPE_CHECKING:
    import random
    from collections.abc import Container, Iterable, Sequence

    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.model.peer_messages import TargetViewTold

_SAMPLES = 3
"""Targets compared for each pick (Mitzenmacher, 2001)."""

_OTHER_ZONE_LOAD = 0.5
"""Load, in requests per slot, that a target in another zone is charged."""

_AVOID_SECONDS = 1.0
"""First time that a front avoids a target which it can't get through to."""

_LONGEST_AVOID_SECONDS = 30.0

_MAX_AVOIDED_SHARE = 0.5
"""Most of a service's targets that one front avoids on its own word."""


@dataclass(frozen=True, slots=True)
class TargetView:
    """What a guard says of the load and health of one of its targets."""

    limit: int
    """Requests that the target may run at once now."""
    busy: int
    """Requests running and waiting at the guard."""
    is_ejected: bool = False
    is_trial: bool = False
    log_latency: float | None = None
    """Smoothed logarithm of the latency in seconds."""


@dataclass(frozen=True, slots=True)
class _Avoidance:
    until: float
    seconds: float


class Picker:
    """One front's choice among the targets of a service.

    It knows its own requests exactly and the guards' word about the rest. A
    target that fails for this front alone is avoided by this front alone.
    """

    def __init__(self, zone: str, random_source: random.Random) -> None:
        self._zone = zone
        self._random = random_source
        self._own_by_target: dict[TargetId, int] = {}
        self._avoidance_by_target: dict[TargetId, _Avoidance] = {}
        self.view_by_target: dict[TargetId, TargetView] = {}

    def pick(
        self,
        candidates: Sequence[Candidate],
        tried: Container[TargetId],
        now: float,
    ) -> Candidate | None:
        """Pick a target.

        Args:
            candidates: Targets in zones in use that take new work.
            tried: Targets that this request has been to.
            now: Time of this process's clock, in seconds.

        Returns:
            The target, or None if there is none left to try.
        """
        few = candidates
        if len(candidates) > _SAMPLES:
            few = self._random.sample(candidates, _SAMPLES)
        best = self._least_loaded(few, tried, now)
        if best is not None and self._load(best, now) < math.inf:
            return best
        return self._least_loaded(candidates, tried, now)

    def take_views(self, daemon: str, views: Iterable[TargetViewTold]) -> None:
        """Take in what a guard says of its targets.

        Args:
            daemon: Name of the guard's daemon.
            views: One view for each of its targets.
        """
        for told in views:
            self.view_by_target[TargetId(daemon, told.name)] = TargetView(
                limit=told.limit,
                busy=told.busy,
                is_ejected=told.is_ejected,
                is_trial=told.is_trial,
                log_latency=told.log_latency,
            )

    def note_sent(self, target: TargetId) -> None:
        """Count an attempt as under way."""
        self._own_by_target[target] = self._own_by_target.get(target, 0) + 1

    def note_ended(self, target: TargetId) -> None:
        """Count an attempt as over."""
        left = self._own_by_target.get(target, 0) - 1
        if left > 0:
            self._own_by_target[target] = left
        else:
            self._own_by_target.pop(target, None)

    def avoid(self, target: TargetId, service_size: int, now: float) -> None:
        """Avoid a target that this front could not get through to.

        Args:
            target: The target.
            service_size: Targets of its service; at most half are avoided.
            now: Time of this process's clock, in seconds.
        """
        active = sum(1 for a in self._avoidance_by_target.values() if a.until > now)
        if active + 1 > _MAX_AVOIDED_SHARE * service_size:
            return
        known = self._avoidance_by_target.get(target)
        seconds = _AVOID_SECONDS
        if known is not None and now - known.until < known.seconds:
            seconds = min(2 * known.seconds, _LONGEST_AVOID_SECONDS)
        self._avoidance_by_target[target] = _Avoidance(now + seconds, seconds)

    def trust(self, target: TargetId) -> None:
        """Forget that a target was avoided, since it has answered."""
        self._avoidance_by_target.pop(target, None)

    def keep_only(self, targets: Container[TargetId]) -> None:
        """Drop what is known of targets that have left."""
        for known in (self.view_by_target, self._avoidance_by_target):
            for target in [t for t in known if t not in targets]:
                del known[target]

    def mark_ejected(self, target: TargetId) -> None:
        """Note that a guard has just refused work for an ejected target."""
        view = self.view_by_target.get(target, TargetView(limit=1, busy=0))
        self.view_by_target[target] = replace(view, is_ejected=True)

    def _least_loaded(
        self, candidates: Sequence[Candidate], tried: Container[TargetId], now: float
    ) -> Candidate | None:
        untried = [c for c in candidates if c.target not in tried]
        return min(untried, key=lambda c: self._load(c, now), default=None)

    def _load(self, candidate: Candidate, now: float) -> float:
        avoidance = self._avoidance_by_target.get(candidate.target)
        if avoidance is not None and now < avoidance.until:
            return math.inf
        view = self.view_by_target.get(candidate.target)
        own = self._own_by_target.get(candidate.target, 0)
        distance = 0.0 if candidate.zone == self._zone else _OTHER_ZONE_LOAD
        if view is None:
            return own / candidate.announcement.slots + distance
        if view.is_ejected:
            return math.inf
        if view.is_trial and own > 0:
            return math.inf
        return max(own, view.busy) / max(1, view.limit) + distance
