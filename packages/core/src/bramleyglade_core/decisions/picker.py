"""Which target gets an attempt."""

from __future__ import annotations

import math
import statistics
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.decisions.failure_filter import decayed_risk
from bramleyglade_core.model.identifiers import TargetId

if TYPE_CHECKING:
    import random
    from collections.abc import Container, Iterable, Sequence

    from bramleyglade_core.model.peer_messages import TargetViewTold

_MOST_COMPARED = 32
"""Targets compared for each pick; of more than that a sample is taken."""

_OTHER_ZONE_SECONDS = 0.12
"""Wait that a target in another zone is charged, since bytes between zones cost; some
5 KB for a request and its answer, at the rate below and twice that."""

_OTHER_ZONE_SECONDS_PER_BYTE = 12e-6
"""The same for each byte of a body. A gigabyte costs what 10,000 requests are worth on
the users' days (`GB between zones` in the reports), and a failure of one 3 s here."""

_MOST_OTHER_ZONE_SECONDS = 0.6
"""Most of that charge: a target that fails one request in four is not worth it."""

_FULL_LOAD_SECONDS = 0.06
"""Wait that a target is charged as its slots fill; some slow down then."""

_SPEED_SECONDS = 5.0
"""Time in which two thirds of what is known of a target's speed become void; spells
of slowness on the users' days last six to nine seconds."""

_UNKNOWN_SECONDS = 1.0
"""Time that an exchange takes at a service of which nothing is known; long, so that a
queue goes to another zone rather than behind two others at home."""

_FAILURE_SECONDS = 3.0
"""Wait that a certain failure is worth avoiding for."""

_RETRIED_FAILURE_SECONDS = 1.0
"""The same where another attempt may follow."""

_ALIKE_SECONDS = 0.06
"""Difference in waits that fronts overlook. Views are seconds old where a front sends
a target a few requests a second; fronts that all took the best one would meet there,
and the others would get nothing. It is less than the wait behind one full target."""

_DUE_TOLD_SECONDS = 1.0
"""Age up to which the word that a target is due holds; heartbeats repeat it about
twice in that time (`peers.heartbeat_seconds`)."""

_UNKNOWN_RISK = 0.2
"""Risk up to which a target is taken of which this front knows nothing."""

_RISK_SLACK = 0.15
"""Growth of a target's risk since it was last heard of that a front puts up with."""

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
    risk: float = 0.0
    """Probability that the target fails the next request, 0 to 1."""
    is_due: bool = False
    """Whether the next request that may be repeated should go to it."""
    is_overdue: bool = False
    """Whether the next request of any kind should go to it."""
    told_at: float = 0.0
    """When the guard said so, by this process's clock, in seconds."""


@dataclass(frozen=True, slots=True)
class PickTerms:
    """What a pick depends on beside the targets."""

    now: float
    """Time of this process's clock, in seconds."""
    may_repeat: bool = True
    """Whether another attempt may follow a failed one."""
    may_try: bool = True
    """Whether the request may go to a target that is in doubt and due for one."""
    body_bytes: int = 0
    """Size of the body, as far as it is known."""


@dataclass(frozen=True, slots=True)
class Pick:
    """A target, and the terms on which to offer it the request."""

    candidate: Candidate
    is_free: bool
    """Whether a slot seemed to be free."""
    most_risk: float
    """Risk of failure up to which the choice still holds, 0 to 1."""
    is_for_due: bool = False
    """Whether the target was chosen because it was due for a request."""


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
        self._due: set[TargetId] = set()
        """Targets that were due when last heard of."""
        self.view_by_target: dict[TargetId, TargetView] = {}

    def pick(
        self,
        candidates: Sequence[Candidate],
        tried: Container[TargetId],
        terms: PickTerms,
    ) -> Pick | None:
        """Pick a target.

        Args:
            candidates: Targets in zones in use that take new work.
            tried: Targets that this request has been to.
            terms: The request's needs.

        Returns:
            The target, or None if there is none left to try.
        """
        due = self._pick_due(candidates, tried, terms)
        if due is not None:
            return replace(self._terms_of(due, terms), is_for_due=True)
        few = candidates
        if len(candidates) > _MOST_COMPARED:
            few = self._random.sample(candidates, _MOST_COMPARED)
        best = self._cheapest(few, tried, terms)
        if best is None or self._is_out(best, terms):
            best = self._cheapest(candidates, tried, terms)
        if best is None:
            return None
        return self._terms_of(best, terms)

    def take_views(
        self, daemon: str, views: Iterable[TargetViewTold], now: float
    ) -> None:
        """Take in what a guard says of its targets.

        Args:
            daemon: Name of the guard's daemon.
            views: One view for each of its targets.
            now: Time of this process's clock, in seconds.
        """
        for told in views:
            self.view_by_target[TargetId(daemon, told.name)] = TargetView(
                limit=told.limit,
                busy=told.busy,
                is_ejected=told.is_ejected,
                is_trial=told.is_trial,
                log_latency=told.log_latency,
                risk=told.risk,
                is_due=told.is_due,
                is_overdue=told.is_overdue,
                told_at=now,
            )
            self._note_due(TargetId(daemon, told.name), told.is_due)

    def note_sent(self, target: TargetId) -> None:
        """Count an attempt as under way."""
        self._due.discard(target)
        self._own_by_target[target] = self._own_by_target.get(target, 0) + 1

    def note_ended(self, target: TargetId) -> None:
        """Count an attempt as over."""
        left = self._own_by_target.get(target, 0) - 1
        if left > 0:
            self._own_by_target[target] = left
        else:
            self._own_by_target.pop(target, None)

    def avoid(self, target: TargetId, service_size: int, now: float) -> float:
        """Avoid a target that this front could not get through to.

        Args:
            target: The target.
            service_size: Targets of its service; at most half are avoided.
            now: Time of this process's clock, in seconds.

        Returns:
            How long it is avoided, in seconds; 0 if too many are avoided already.
        """
        active = sum(1 for a in self._avoidance_by_target.values() if a.until > now)
        if active + 1 > _MAX_AVOIDED_SHARE * service_size:
            return 0.0
        known = self._avoidance_by_target.get(target)
        seconds = _AVOID_SECONDS
        if known is not None and now - known.until < known.seconds:
            seconds = min(2 * known.seconds, _LONGEST_AVOID_SECONDS)
        self._avoidance_by_target[target] = _Avoidance(now + seconds, seconds)
        return seconds

    def trust(self, target: TargetId) -> None:
        """Forget that a target was avoided, since it has answered."""
        self._avoidance_by_target.pop(target, None)

    def trust_daemon(self, name: str) -> None:
        """Forget that targets were avoided, since their daemon is reached again."""
        for target in [t for t in self._avoidance_by_target if t.daemon == name]:
            del self._avoidance_by_target[target]

    def keep_only(self, targets: Container[TargetId]) -> None:
        """Drop what is known of targets that have left."""
        for known in (self.view_by_target, self._avoidance_by_target):
            for target in [t for t in known if t not in targets]:
                del known[target]
        self._due = {target for target in self._due if target in targets}

    def mark_ejected(self, target: TargetId) -> None:
        """Note that a guard has just refused work for an ejected target."""
        view = self.view_by_target.get(target, TargetView(limit=1, busy=0))
        self.view_by_target[target] = replace(view, is_ejected=True)

    def _note_due(self, target: TargetId, is_due: bool) -> None:
        if is_due:
            self._due.add(target)
        else:
            self._due.discard(target)

    def _pick_due(
        self,
        candidates: Sequence[Candidate],
        tried: Container[TargetId],
        terms: PickTerms,
    ) -> Candidate | None:
        """Pick one of the targets that are due for this request; None if none is."""
        if not self._due:
            return None
        due = [
            c
            for c in candidates
            if c.target in self._due
            and c.target not in tried
            and self._is_due(c, terms)
        ]
        return self._random.choice(due) if due else None

    def _is_due(self, candidate: Candidate, terms: PickTerms) -> bool:
        view = self.view_by_target[candidate.target]
        if terms.now - view.told_at > _DUE_TOLD_SECONDS:
            return False
        if self._is_avoided(candidate.target, terms.now):
            return False
        if not terms.may_try and (view.is_ejected or not view.is_overdue):
            return False
        return self._is_free(candidate)

    def _is_avoided(self, target: TargetId, now: float) -> bool:
        avoidance = self._avoidance_by_target.get(target)
        return avoidance is not None and now < avoidance.until

    def _terms_of(self, candidate: Candidate, terms: PickTerms) -> Pick:
        view = self.view_by_target.get(candidate.target)
        is_free = self._is_free(candidate)
        if view is None:
            return Pick(candidate, is_free, _UNKNOWN_RISK)
        risk = decayed_risk(view.risk, terms.now - view.told_at)
        return Pick(candidate, is_free, min(1.0, risk + _RISK_SLACK))

    def _is_free(self, candidate: Candidate) -> bool:
        """Tell whether a slot seems to be free at a target."""
        own = self._own_by_target.get(candidate.target, 0)
        view = self.view_by_target.get(candidate.target)
        if view is None:
            return own < candidate.announcement.slots
        return max(own, view.busy) < view.limit

    def _cheapest(
        self,
        candidates: Sequence[Candidate],
        tried: Container[TargetId],
        terms: PickTerms,
    ) -> Candidate | None:
        typical = self.typical_seconds(candidates) or _UNKNOWN_SECONDS
        costs = [
            (self._cost(c, terms, typical), c)
            for c in candidates
            if c.target not in tried
        ]
        if not costs:
            return None
        most = min(cost for cost, _ in costs) + _ALIKE_SECONDS
        alike = [c for cost, c in costs if cost <= most]
        return self._random.choice([c for c in alike if self._is_free(c)] or alike)

    def typical_seconds(self, candidates: Iterable[Candidate]) -> float | None:
        """Return the usual latency over some targets; None if none is known."""
        known = []
        for candidate in candidates:
            view = self.view_by_target.get(candidate.target)
            if view is not None and view.log_latency is not None:
                known.append(view.log_latency)
        return math.exp(statistics.median(known)) if known else None

    def _cost(self, candidate: Candidate, terms: PickTerms, typical: float) -> float:
        """Return what a request would lose at a target, in seconds of waiting."""
        if self._is_out(candidate, terms):
            return math.inf
        own = self._own_by_target.get(candidate.target, 0)
        view = self.view_by_target.get(candidate.target)
        if view is None:
            view = TargetView(candidate.announcement.slots, own)
        return (
            self._wait(view, own, typical, terms.now)
            + self._distance(candidate, terms)
            + self._risk(view, terms)
        )

    def _is_out(self, candidate: Candidate, terms: PickTerms) -> bool:
        """Tell whether a target is taken only where there is no other."""
        if self._is_avoided(candidate.target, terms.now):
            return True
        view = self.view_by_target.get(candidate.target)
        if view is None:
            return False
        own = self._own_by_target.get(candidate.target, 0)
        return view.is_ejected or (view.is_trial and own > 0)

    def _wait(self, view: TargetView, own: int, typical: float, now: float) -> float:
        latency = typical
        if view.log_latency is not None:
            # What was slow when last heard of may be as fast as the others again.
            trust = math.exp(-(now - view.told_at) / _SPEED_SECONDS)
            latency += (math.exp(view.log_latency) - typical) * trust
        limit = max(1, view.limit)
        busy = max(own, view.busy)
        queue_seconds = max(0, busy + 1 - limit) / limit * latency
        return latency + queue_seconds + _FULL_LOAD_SECONDS * min(1.0, busy / limit)

    def _distance(self, candidate: Candidate, terms: PickTerms) -> float:
        if candidate.zone == self._zone:
            return 0.0
        body = _OTHER_ZONE_SECONDS_PER_BYTE * terms.body_bytes
        return min(_MOST_OTHER_ZONE_SECONDS, _OTHER_ZONE_SECONDS + body)

    def _risk(self, view: TargetView, terms: PickTerms) -> float:
        risk = decayed_risk(view.risk, terms.now - view.told_at)
        loss = _RETRIED_FAILURE_SECONDS if terms.may_repeat else _FAILURE_SECONDS
        return risk * loss
