"""Choice of the target for an attempt."""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from enum import Enum
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.decisions.failure_filter import decayed_risk
from bramleyglade_core.decisions.zone_balance import (
    DEFAULT_OBJECTIVE_SECONDS,
    EMPTY_PLAN,
    REGION_WAIT_SHARE,
    ZONE_WAIT_SHARE,
)
from bramleyglade_core.model.identifiers import TargetId

if TYPE_CHECKING:
    import random
    from collections.abc import Container, Iterable, Iterator

    from bramleyglade_core.decisions.zone_balance import ZonePlan
    from bramleyglade_core.model.peer_messages import TargetViewTold

_MAX_COMPARED_TARGETS = 32
"""Number of targets compared for a pick; larger services are sampled."""

_BODY_BYTES_PER_SECOND = 150_000.0
"""Rate at which a body crosses a link between zones or regions that many share."""

_BODY_WAIT_SHARE = 3 / 8
"""Longest additional wait for a body, as a part of the latency objective."""

_LARGE_BODY_BYTES = 16_384
"""Size from which a request leaves its region last."""

_LARGE_SHARE_GAIN = 0.02
"""Weight of one request in the average share of requests with a large body."""

_TYPICAL_SECONDS = 0.25
"""Time for which the typical latency of a service is not computed again."""

_FULL_LOAD_COST_SECONDS = 0.06
"""Cost of a target with all slots in use; some targets slow down as slots fill."""

_LATENCY_DECAY_SECONDS = 5.0
"""Time constant of the exponential decay of a reported latency to the typical one; slow
spells typically last six to nine seconds."""

_FRESH_LOAD_SECONDS = 3.0
"""Age up to which a reported load counts in full; targets that a front has sent no
request for longer report to it no more."""

_LOAD_DECAY_SECONDS = 5.0
"""Time constant of the exponential decay of an older one."""

_FAR_DUE_SECONDS = 0.2
"""Time for which the fronts of its own region may reach a target that is overdue before
those of other regions do."""

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


class ZoneReason(Enum):
    """Why a request goes to the zone of its target."""

    HOME = "home"
    """It is the front's own zone."""
    SHARE = "share"
    """The shares send a part of the requests there."""
    OVERFLOW = "overflow"
    """The zone that the request was meant for has no target that takes it in time."""
    DUE = "due"
    """A target there is due for a request."""


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

    def busy_now(self, now: float) -> float:
        """Return the load that still counts, in requests running or queued."""
        age = now - self.received_at
        if age <= _FRESH_LOAD_SECONDS:
            return self.busy
        return self.busy * math.exp((_FRESH_LOAD_SECONDS - age) / _LOAD_DECAY_SECONDS)

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
    """Size of the bodies of the request and of its answer, or an estimate of it."""
    objective_seconds: float | None = None
    """Latency objective, or the time left if that is less; None without one."""


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
    is_last_resort: bool = False
    """Whether the target is used only if no other is left."""
    reason: ZoneReason = ZoneReason.HOME
    """Why the request goes to the target's zone."""


@dataclass(frozen=True, slots=True)
class _Groups:
    """The targets of a service by their distance."""

    candidates: Sequence[Candidate]
    """The targets that were grouped."""
    region_by_zone: Mapping[str, str]
    by_zone: Mapping[str, Sequence[Candidate]]
    near: Sequence[Candidate]
    """Those in other zones of the region."""
    far: Sequence[Candidate]
    """Those in other regions."""


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
        self._typical_by_service: dict[str, tuple[float, float]] = {}
        """Time and result of the last computation of the typical latency."""
        self._groups_by_service: dict[str, _Groups] = {}
        self._large_share = 0.0
        """Average share of the requests that have a large body."""
        self.view_by_target: dict[TargetId, TargetView] = {}
        self.plan: ZonePlan = EMPTY_PLAN
        """Regions, latencies and shares of the zones."""

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
            pick = self._make_pick(due, options, ZoneReason.DUE)
            return replace(pick, is_for_due=True)
        if not candidates:
            return None
        typical = self._typical(candidates, options.now)
        best: Candidate | None = None
        best_cost = math.inf
        drawn = self._draw_zone(candidates[0].announcement.service, options)
        for tier, extra_seconds in self._tiers(candidates, drawn, options):
            # A farther target isn't worth the way if it is only as good as most are.
            if best is not None and best_cost <= typical + extra_seconds:
                break
            found, cost = self._pick_in_tier(tier, tried, options, typical)
            if found is not None and (best is None or cost + extra_seconds < best_cost):
                best, best_cost = found, cost + extra_seconds
        if best is None:
            return None
        is_drawn = best.zone == drawn
        reason = ZoneReason.SHARE if is_drawn else ZoneReason.OVERFLOW
        return self._make_pick(best, options, reason)

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
        own = [c for c in due if c.zone == self._zone]
        return self._random.choice(own or due) if due else None

    def _is_due(self, candidate: Candidate, options: PickOptions) -> bool:
        view = self.view_by_target[candidate.target]
        if options.now - view.received_at > _MAX_DUE_AGE_SECONDS:
            return False
        if self._is_avoided(candidate.target, options.now):
            return False
        if not self._is_near(candidate) and not (
            view.is_overdue
            and options.now - view.received_at >= _FAR_DUE_SECONDS
            and options.body_bytes < _LARGE_BODY_BYTES
        ):
            return False
        if not options.may_probe and (view.is_ejected or not view.is_overdue):
            return False
        return self.is_free(candidate, options.now)

    def _is_avoided(self, target: TargetId, now: float) -> bool:
        avoidance = self._avoidance_by_target.get(target)
        return avoidance is not None and now < avoidance.until

    def _make_pick(
        self, candidate: Candidate, options: PickOptions, reason: ZoneReason
    ) -> Pick:
        view = self.view_by_target.get(candidate.target)
        is_free = self.is_free(candidate, options.now)
        most_risk = _DEFAULT_MAX_RISK
        if view is not None:
            risk = decayed_risk(view.risk, options.now - view.received_at)
            most_risk = min(1.0, risk + _RISK_TOLERANCE)
        if candidate.zone == self._zone:
            reason = ZoneReason.HOME
        return Pick(
            candidate,
            is_free,
            most_risk,
            is_last_resort=self._is_last_resort(candidate, options),
            reason=reason,
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

    def _is_near(self, candidate: Candidate) -> bool:
        """Return whether a target is in the front's own region."""
        return self.plan.is_same_region(candidate.zone, self._zone)

    def is_free(self, candidate: Candidate, now: float) -> bool:
        """Return whether a target is estimated to start a request at once."""
        in_flight = self._in_flight_by_target.get(candidate.target, 0)
        view = self.view_by_target.get(candidate.target)
        if view is None:
            return in_flight < candidate.announcement.slots
        if view.remaining_wait(now) > 0:
            return False
        return max(in_flight, view.busy_now(now)) < view.limit

    def _tiers(
        self, candidates: Sequence[Candidate], drawn: str, options: PickOptions
    ) -> Iterator[tuple[Sequence[Candidate], float]]:
        """Yield the targets by zone, in the order in which they are considered.

        The first tier is the zone drawn by the shares; the other zones of the region
        and those of other regions follow. With each comes the wait, in seconds, that
        a request accepts in a nearer one.
        """
        groups = self._group(candidates)
        if drawn in groups.by_zone:
            yield groups.by_zone[drawn], 0.0
        if drawn != self._zone and self._zone in groups.by_zone:
            yield groups.by_zone[self._zone], 0.0
        objective = options.objective_seconds
        if objective is None:
            objective = DEFAULT_OBJECTIVE_SECONDS
        body_seconds = min(
            options.body_bytes / _BODY_BYTES_PER_SECOND, _BODY_WAIT_SHARE * objective
        )
        if groups.near:
            yield groups.near, ZONE_WAIT_SHARE * objective + body_seconds
        if groups.far:
            yield groups.far, REGION_WAIT_SHARE * objective + body_seconds

    def _group(self, candidates: Sequence[Candidate]) -> _Groups:
        """Return the targets of a service by zone, which are kept until they change."""
        service = candidates[0].announcement.service
        groups = self._groups_by_service.get(service)
        regions = self.plan.region_by_zone
        if (
            groups is not None
            and groups.candidates is candidates
            and groups.region_by_zone is regions
        ):
            return groups
        by_zone: dict[str, list[Candidate]] = {}
        for candidate in candidates:
            by_zone.setdefault(candidate.zone, []).append(candidate)
        near: list[Candidate] = []
        far: list[Candidate] = []
        for zone, members in by_zone.items():
            if zone != self._zone:
                is_near = self.plan.is_same_region(zone, self._zone)
                (near if is_near else far).extend(members)
        groups = _Groups(candidates, regions, by_zone, near, far)
        self._groups_by_service[service] = groups
        return groups

    def _draw_zone(self, service: str, options: PickOptions) -> str:
        """Draw a zone by the shares; large requests leave the region last."""
        is_large = options.body_bytes >= _LARGE_BODY_BYTES
        self._large_share += _LARGE_SHARE_GAIN * (is_large - self._large_share)
        share_by_zone = self.plan.share_by_zone_by_service.get(service)
        if not share_by_zone:
            return self._zone
        near = [
            zone for zone in share_by_zone if self.plan.is_same_region(zone, self._zone)
        ]
        far = [zone for zone in share_by_zone if zone not in near]
        zones = near
        if far:
            leaving = sum(share_by_zone[zone] for zone in far)
            if self._random.random() < _leaving_chance(
                leaving, self._large_share, is_large
            ):
                zones = far
        weights = [share_by_zone[zone] for zone in zones]
        if not any(weights):
            return self._zone
        return self._random.choices(zones, weights)[0]

    def _pick_in_tier(
        self,
        tier: Sequence[Candidate],
        tried: Container[TargetId],
        options: PickOptions,
        typical: float,
    ) -> tuple[Candidate | None, float]:
        """Return the choice among some targets and its cost; None if all are tried."""
        if len(tier) > _MAX_COMPARED_TARGETS:
            sample = self._random.sample(tier, _MAX_COMPARED_TARGETS)
            found, cost = self._pick_cheapest(sample, tried, options, typical)
            if found is not None and math.isfinite(cost):
                return found, cost
        return self._pick_cheapest(tier, tried, options, typical)

    def _pick_cheapest(
        self,
        candidates: Sequence[Candidate],
        tried: Container[TargetId],
        options: PickOptions,
        typical: float,
    ) -> tuple[Candidate | None, float]:
        costs = [
            (self._cost(c, options, typical), c)
            for c in candidates
            if c.target not in tried
        ]
        if not costs:
            return None, math.inf
        least = min(cost for cost, _ in costs)
        bound = least + _COST_TOLERANCE_SECONDS
        best = [c for cost, c in costs if cost <= bound]
        free = [c for c in best if self.is_free(c, options.now)]
        return self._random.choice(free or best), least

    def _typical(self, candidates: Sequence[Candidate], now: float) -> float:
        """Return the typical latency of a service in seconds, or a default.

        It is the same for all zones, so that a zone of slow targets is left.
        """
        service = candidates[0].announcement.service
        computed_at, typical = self._typical_by_service.get(service, (-math.inf, 0.0))
        if not 0 <= now - computed_at < _TYPICAL_SECONDS:
            typical = self.typical_seconds(candidates) or _DEFAULT_LATENCY_SECONDS
            self._typical_by_service[service] = (now, typical)
        return typical

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
        target = candidate.target
        if target in self._avoidance_by_target and self._is_avoided(
            target, options.now
        ):
            return math.inf
        in_flight = self._in_flight_by_target.get(target, 0)
        view = self.view_by_target.get(target)
        if view is None:
            view = TargetView(candidate.announcement.slots, in_flight)
        elif view.is_ejected or (view.is_trial and in_flight > 0):
            # Used only if no other target is left.
            return math.inf
        return (
            self._latency_cost(view, in_flight, typical, options.now)
            + self.plan.extra_seconds_by_zone.get(candidate.zone, 0.0)
            + self._failure_cost(view, options)
        )

    def _latency_cost(
        self, view: TargetView, in_flight: int, typical: float, now: float
    ) -> float:
        latency = typical
        if view.log_latency is not None:
            # A target that was slow at its last report may have recovered since.
            weight = math.exp(-(now - view.received_at) / _LATENCY_DECAY_SECONDS)
            latency += (math.exp(view.log_latency) - typical) * weight
        limit = max(1, view.limit)
        busy = max(in_flight, view.busy_now(now))
        wait_seconds = _wait_seconds(view, in_flight, latency, now)
        return latency + wait_seconds + _FULL_LOAD_COST_SECONDS * min(1.0, busy / limit)

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
    busy = max(in_flight, view.busy_now(now))
    queue_seconds = max(0, busy + 1 - limit) / limit * latency
    return max(queue_seconds, view.remaining_wait(now))


def _leaving_chance(leaving: float, large_share: float, is_large: bool) -> float:
    """Return the chance that a request leaves the region.

    Args:
        leaving: Share of all requests that leave the region, 0 to 1.
        large_share: Share of the requests that have a large body, 0 to 1. They leave
            only if all others do.
        is_large: Whether this request has one.
    """
    small_share = 1.0 - large_share
    if not is_large:
        return min(1.0, leaving / small_share) if small_share > 0 else 1.0
    if large_share <= 0:
        return leaving
    return max(0.0, leaving - small_share) / large_share
