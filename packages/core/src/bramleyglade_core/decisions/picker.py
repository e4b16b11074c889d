"""Choice of the target for an attempt."""

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

_MAX_COMPARED_TARGETS = 32
"""Number of targets compared for a pick; larger services are sampled."""

_CROSS_ZONE_COST_SECONDS = 0.12
"""Cost of a target in another zone, as traffic between zones is charged for. It is
twice the rate below for the 5 KB of a typical request with its answer."""

_CROSS_ZONE_COST_SECONDS_PER_BYTE = 12e-6
"""Additional cost per byte of a body. A gigabyte between zones costs as much as 10,000
requests are worth, and a failed request costs 3 s here."""

_MAX_CROSS_ZONE_COST_SECONDS = 0.6
"""Upper bound of that cost; a target that fails one request in four costs more."""

_FULL_LOAD_COST_SECONDS = 0.06
"""Cost of a target with all slots in use; some targets slow down as slots fill."""

_LATENCY_DECAY_SECONDS = 5.0
"""Time constant of the exponential decay of a reported latency to the typical one; slow
spells typically last six to nine seconds."""

_DEFAULT_LATENCY_SECONDS = 1.0
"""Latency assumed for a service without reports. It is long enough that a request goes
to another zone rather than queue behind two others in its own."""

_FAILURE_COST_SECONDS = 3.0
"""Cost of a failure that is certain."""

_RETRYABLE_FAILURE_COST_SECONDS = 1.0
"""Cost of a failure that is certain where another attempt may follow."""

_COST_TOLERANCE_SECONDS = 0.06
"""Cost difference within which targets count as equal, less than the wait at one full
target. Views are seconds old where a front sends a target a few requests a second. If
all fronts took the cheapest target, they would overload it and starve the others."""

_MAX_DUE_AGE_SECONDS = 1.0
"""Age up to which a report that a target is due counts; heartbeats repeat it about
twice in that time (`peers.heartbeat_seconds`)."""

_DEFAULT_MAX_RISK = 0.2
"""Highest acceptable risk of a target without a view."""

_RISK_TOLERANCE = 0.15
"""Acceptable increase of a target's risk since its last report."""

_INITIAL_AVOIDANCE_SECONDS = 1.0
"""First period for which an unreachable target is avoided; doubles on repetition."""

_MAX_AVOIDANCE_SECONDS = 30.0

_MAX_AVOIDED_SHARE = 0.5
"""Largest number of targets, of all services, that one front avoids, as a share of the
service's targets."""


@dataclass(frozen=True, slots=True)
class TargetView:
    """Load and health of a target, as reported by its guard."""

    limit: int
    """Current concurrency limit of the target."""
    busy: int
    """Requests running or queued at the guard."""
    is_ejected: bool = False
    is_trial: bool = False
    log_latency: float | None = None
    """Smoothed logarithm of the latency in seconds."""
    risk: float = 0.0
    """Probability that the target fails the next request, 0 to 1."""
    is_due: bool = False
    """Whether the next retryable request should go to it."""
    is_overdue: bool = False
    """Whether the next request of any kind should go to it."""
    wait_seconds: float = 0.0
    """How long a new request would have waited, when the view was received, for the
    rate that the target allows."""
    queued: tuple[int, ...] = ()
    """Queued requests by rank, calls of executing requests first; empty if unknown."""
    received_at: float = 0.0
    """Time of receipt by this process's clock, in seconds."""

    def remaining_wait(self, now: float) -> float:
        """Return the part of that wait that is left, in seconds."""
        # A pick may have begun before the view of a target on the same VM was taken.
        age = max(0.0, now - self.received_at)
        return max(0.0, self.wait_seconds - age)


@dataclass(frozen=True, slots=True)
class PickOptions:
    """Properties of a request that its pick depends on."""

    now: float
    """Time of this process's clock, in seconds."""
    is_retryable: bool = True
    """Whether another attempt may follow a failed one."""
    may_probe: bool = True
    """Whether it may be sent to a target because that is due for a request.

    If not, this holds only for targets that are overdue and not ejected.
    """
    body_bytes: int = 0
    """Size of the body, or an estimate of it."""


@dataclass(frozen=True, slots=True)
class Pick:
    """A target and the conditions of the offer to it."""

    candidate: Candidate
    is_free: bool
    """Whether the target is estimated to have a free slot."""
    most_risk: float
    """Highest failure risk at which the guard should accept the request, 0 to 1."""
    is_for_due: bool = False
    """Whether the target was chosen because it was due for a request."""


@dataclass(frozen=True, slots=True)
class _Avoidance:
    until: float
    seconds: float


class Picker:
    """Chooses targets for the requests of one front.

    The load by this front is counted exactly, and the load by other fronts comes
    from the guards' reports. A target that only this front can't reach is avoided
    by this front alone.
    """

    def __init__(self, zone: str, random_source: random.Random) -> None:
        self._zone = zone
        self._random = random_source
        self._in_flight_by_target: dict[TargetId, int] = {}
        self._avoidance_by_target: dict[TargetId, _Avoidance] = {}
        self._due_targets: set[TargetId] = set()
        """Targets that were due at their last report."""
        self.view_by_target: dict[TargetId, TargetView] = {}

    def pick(
        self,
        candidates: Sequence[Candidate],
        tried: Container[TargetId],
        options: PickOptions,
    ) -> Pick | None:
        """Pick a target.

        Args:
            candidates: Targets in zones in use that take new work.
            tried: Targets that this request has been sent to already.
            options: Properties of the request that the pick depends on.

        Returns:
            The target, or None if there is none left to try.
        """
        due = self._pick_due(candidates, tried, options)
        if due is not None:
            return replace(self._make_pick(due, options), is_for_due=True)
        sample = candidates
        if len(candidates) > _MAX_COMPARED_TARGETS:
            sample = self._random.sample(candidates, _MAX_COMPARED_TARGETS)
        best = self._pick_cheapest(sample, tried, options)
        if best is None or self._is_last_resort(best, options):
            best = self._pick_cheapest(candidates, tried, options)
        if best is None:
            return None
        return self._make_pick(best, options)

    def update_views(
        self, daemon: str, views: Iterable[TargetViewTold], now: float
    ) -> None:
        """Store a guard's reports on its targets.

        Args:
            daemon: Name of the guard's daemon.
            views: Reports on some or all of its targets.
            now: Time of this process's clock, in seconds.
        """
        for view in views:
            self.view_by_target[TargetId(daemon, view.name)] = TargetView(
                limit=view.limit,
                busy=view.busy,
                is_ejected=view.is_ejected,
                is_trial=view.is_trial,
                log_latency=view.log_latency,
                risk=view.risk,
                is_due=view.is_due,
                is_overdue=view.is_overdue,
                wait_seconds=view.wait_seconds,
                queued=view.queued,
                received_at=now,
            )
            self._note_due(TargetId(daemon, view.name), view.is_due)

    def in_flight(self, target: TargetId) -> int:
        """Return the attempts of this front that are in flight at a target."""
        return self._in_flight_by_target.get(target, 0)

    def note_sent(self, target: TargetId) -> None:
        """Count an attempt as in flight."""
        self._due_targets.discard(target)
        self._in_flight_by_target[target] = self._in_flight_by_target.get(target, 0) + 1

    def note_ended(self, target: TargetId) -> None:
        """Count an attempt as finished."""
        left = self._in_flight_by_target.get(target, 0) - 1
        if left > 0:
            self._in_flight_by_target[target] = left
        else:
            self._in_flight_by_target.pop(target, None)

    def avoid(self, target: TargetId, service_size: int, now: float) -> float:
        """Avoid a target that this front could not reach, with exponential backoff.

        Args:
            target: The target.
            service_size: Number of targets of its service; no more targets, of all
                services, are avoided than half of it.
            now: Time of this process's clock, in seconds.

        Returns:
            Time for which it is avoided, in seconds; 0 if too many are avoided already.
        """
        active = sum(1 for a in self._avoidance_by_target.values() if a.until > now)
        if active + 1 > _MAX_AVOIDED_SHARE * service_size:
            return 0.0
        previous = self._avoidance_by_target.get(target)
        seconds = _INITIAL_AVOIDANCE_SECONDS
        if previous is not None and now - previous.until < previous.seconds:
            seconds = min(2 * previous.seconds, _MAX_AVOIDANCE_SECONDS)
        self._avoidance_by_target[target] = _Avoidance(now + seconds, seconds)
        return seconds

    def clear_avoidance(self, target: TargetId) -> None:
        """Stop avoiding a target that has answered."""
        self._avoidance_by_target.pop(target, None)

    def clear_daemon_avoidance(self, name: str) -> None:
        """Stop avoiding the targets of a daemon that is reachable again."""
        for target in [t for t in self._avoidance_by_target if t.daemon == name]:
            del self._avoidance_by_target[target]

    def keep_only(self, targets: Container[TargetId]) -> None:
        """Drop the state of targets that are not listed, as they have left."""
        for by_target in (self.view_by_target, self._avoidance_by_target):
            for target in [t for t in by_target if t not in targets]:
                del by_target[target]
        self._due_targets = {
            target for target in self._due_targets if target in targets
        }

    def mark_ejected(self, target: TargetId) -> None:
        """Mark a target as ejected; its guard has refused a request because of it."""
        view = self.view_by_target.get(target, TargetView(limit=1, busy=0))
        self.view_by_target[target] = replace(view, is_ejected=True)

    def _note_due(self, target: TargetId, is_due: bool) -> None:
        if is_due:
            self._due_targets.add(target)
        else:
            self._due_targets.discard(target)

    def _pick_due(
        self,
        candidates: Sequence[Candidate],
        tried: Container[TargetId],
        options: PickOptions,
    ) -> Candidate | None:
        """Pick a random target that is due for this request, or None."""
        if not self._due_targets:
            return None
        due = [
            c
            for c in candidates
            if c.target in self._due_targets
            and c.target not in tried
            and self._is_due(c, options)
        ]
        return self._random.choice(due) if due else None

    def _is_due(self, candidate: Candidate, options: PickOptions) -> bool:
        view = self.view_by_target[candidate.target]
        if options.now - view.received_at > _MAX_DUE_AGE_SECONDS:
            return False
        if self._is_avoided(candidate.target, options.now):
            return False
        if not options.may_probe and (view.is_ejected or not view.is_overdue):
            return False
        return self._is_free(candidate, options.now)

    def _is_avoided(self, target: TargetId, now: float) -> bool:
        avoidance = self._avoidance_by_target.get(target)
        return avoidance is not None and now < avoidance.until

    def _make_pick(self, candidate: Candidate, options: PickOptions) -> Pick:
        view = self.view_by_target.get(candidate.target)
        is_free = self._is_free(candidate, options.now)
        if view is None:
            return Pick(candidate, is_free, _DEFAULT_MAX_RISK)
        risk = decayed_risk(view.risk, options.now - view.received_at)
        return Pick(candidate, is_free, min(1.0, risk + _RISK_TOLERANCE))

    def _is_free(self, candidate: Candidate, now: float) -> bool:
        """Return whether a target is estimated to start a request at once."""
        in_flight = self._in_flight_by_target.get(candidate.target, 0)
        view = self.view_by_target.get(candidate.target)
        if view is None:
            return in_flight < candidate.announcement.slots
        if view.remaining_wait(now) > 0:
            return False
        return max(in_flight, view.busy) < view.limit

    def _pick_cheapest(
        self,
        candidates: Sequence[Candidate],
        tried: Container[TargetId],
        options: PickOptions,
    ) -> Candidate | None:
        typical = self.typical_seconds(candidates) or _DEFAULT_LATENCY_SECONDS
        costs = [
            (self._cost(c, options, typical), c)
            for c in candidates
            if c.target not in tried
        ]
        if not costs:
            return None
        bound = min(cost for cost, _ in costs) + _COST_TOLERANCE_SECONDS
        best = [c for cost, c in costs if cost <= bound]
        free = [c for c in best if self._is_free(c, options.now)]
        return self._random.choice(free or best)

    def typical_seconds(self, candidates: Iterable[Candidate]) -> float | None:
        """Return the median latency of targets in seconds; None without reports."""
        log_latencies = []
        for candidate in candidates:
            view = self.view_by_target.get(candidate.target)
            if view is not None and view.log_latency is not None:
                log_latencies.append(view.log_latency)
        return math.exp(statistics.median(log_latencies)) if log_latencies else None

    def shortest_wait_seconds(
        self, candidates: Sequence[Candidate], now: float
    ) -> float:
        """Return the shortest expected wait for a slot of a target; 0 if unknown.

        Args:
            candidates: Targets in zones in use that take new work.
            now: Time of this process's clock, in seconds.
        """
        typical = self.typical_seconds(candidates)
        if typical is None:
            return 0.0
        waits = []
        for candidate in candidates:
            view = self.view_by_target.get(candidate.target)
            if view is None:
                return 0.0
            in_flight = self._in_flight_by_target.get(candidate.target, 0)
            latency = typical
            if view.log_latency is not None:
                latency = math.exp(view.log_latency)
            waits.append(_wait_seconds(view, in_flight, latency, now))
        return min(waits, default=0.0)

    def _cost(
        self, candidate: Candidate, options: PickOptions, typical: float
    ) -> float:
        """Return the expected cost of a request at a target, as seconds of latency."""
        if self._is_last_resort(candidate, options):
            return math.inf
        in_flight = self._in_flight_by_target.get(candidate.target, 0)
        view = self.view_by_target.get(candidate.target)
        if view is None:
            view = TargetView(candidate.announcement.slots, in_flight)
        return (
            self._latency_cost(view, in_flight, typical, options.now)
            + self._zone_cost(candidate, options)
            + self._failure_cost(view, options)
        )

    def _is_last_resort(self, candidate: Candidate, options: PickOptions) -> bool:
        """Return whether a target is used only if no other is left."""
        if self._is_avoided(candidate.target, options.now):
            return True
        view = self.view_by_target.get(candidate.target)
        if view is None:
            return False
        in_flight = self._in_flight_by_target.get(candidate.target, 0)
        return view.is_ejected or (view.is_trial and in_flight > 0)

    def _latency_cost(
        self, view: TargetView, in_flight: int, typical: float, now: float
    ) -> float:
        latency = typical
        if view.log_latency is not None:
            # A target that was slow at its last report may have recovered since.
            weight = math.exp(-(now - view.received_at) / _LATENCY_DECAY_SECONDS)
            latency += (math.exp(view.log_latency) - typical) * weight
        limit = max(1, view.limit)
        busy = max(in_flight, view.busy)
        wait_seconds = _wait_seconds(view, in_flight, latency, now)
        return latency + wait_seconds + _FULL_LOAD_COST_SECONDS * min(1.0, busy / limit)

    def _zone_cost(self, candidate: Candidate, options: PickOptions) -> float:
        if candidate.zone == self._zone:
            return 0.0
        body = _CROSS_ZONE_COST_SECONDS_PER_BYTE * options.body_bytes
        return min(_MAX_CROSS_ZONE_COST_SECONDS, _CROSS_ZONE_COST_SECONDS + body)

    def _failure_cost(self, view: TargetView, options: PickOptions) -> float:
        risk = decayed_risk(view.risk, options.now - view.received_at)
        loss = (
            _RETRYABLE_FAILURE_COST_SECONDS
            if options.is_retryable
            else _FAILURE_COST_SECONDS
        )
        return risk * loss


def _wait_seconds(
    view: TargetView, in_flight: int, latency: float, now: float
) -> float:
    """Return the expected wait for a slot of a target, in seconds."""
    limit = max(1, view.limit)
    busy = max(in_flight, view.busy)
    queue_seconds = max(0, busy + 1 - limit) / limit * latency
    return max(queue_seconds, view.remaining_wait(now))
