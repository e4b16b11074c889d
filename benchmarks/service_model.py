"""A simulation of one service's targets, fronts and guards.

The product's picker, queue, ramp and failure detector decide; targets, network and
time are simulated. The naive policy uses round robin, an unbounded FIFO queue, a
window of answers to detect failures and no ramp, on the same arrivals.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.decisions.ejection import EjectionTimer, HealthPhase
from bramleyglade_core.decisions.fair_queue import FairQueue
from bramleyglade_core.decisions.gray_failure_detector import GrayFailureDetector
from bramleyglade_core.decisions.picker import Picker, PickOptions
from bramleyglade_core.decisions.ramp import ConcurrencyRamp
from bramleyglade_core.decisions.retry_budget import RetryBudget
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.identifiers import Address, TargetId
from bramleyglade_core.model.peer_messages import TargetViewTold
from bramleyglade_core.model.settings import FrontSettings, HealthSettings

_LOG_DURATION_SPREAD = 0.4
"""Standard deviation of the log duration of a request at a target."""

_VIEW_PERIOD_SECONDS = 0.5
"""Time between two updates of a front's views of all targets."""

_QUEUE_BOUND = 64
_DEADLINE_SECONDS = 2.0
_MAX_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """Size and timing of one service."""

    targets: int
    zones: int
    slots: int
    fronts: int
    work_seconds: float = 0.025
    cold_answers: int = 0
    """Answers after which a cold target has its full capacity."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a team that arrives at a front."""

    at: float
    team: str
    front: int


@dataclass(frozen=True, slots=True)
class Outcome:
    """When a request ended, and whether it was answered before its deadline."""

    request: Request
    at: float
    is_ok: bool


@dataclass(frozen=True, slots=True, eq=False)
class _Job:
    request: Request
    attempt: int
    tried: frozenset[TargetId] = frozenset()
    target: TargetId | None = None
    """The target of this attempt; None before the first one."""


@dataclass(frozen=True, slots=True)
class Event:
    """A change to the service at a given time."""

    at: float
    apply: Callable[[ServiceModel], None] = field(compare=False)


class ModelTarget:
    """One simulated target with its guard."""

    def __init__(self, model: ServiceModel, index: int) -> None:
        size = model.size
        self.zone = f"zone-{index % size.zones}"
        self.target = TargetId(f"vm-{index}", f"t{index}")
        self.announced = TargetAnnouncement(
            f"t{index}", "s", Address("127.0.0.1", 1), size.slots
        )
        self.slow_factor = 1.0
        self.answered = size.cold_answers
        self.running = 0
        self.peak_load = 0.0
        self.started = 0
        self.started_over_capacity = 0
        """Requests started while the target was at or above its capacity."""
        self.is_out = False
        self._model = model
        self._fair_queue: FairQueue[_Job] = FairQueue(_QUEUE_BOUND)
        self._fifo_queue: deque[_Job] = deque()
        self.ramp = ConcurrencyRamp(size.slots)
        self.detector = GrayFailureDetector(HealthSettings())
        self.timer = EjectionTimer(HealthSettings())
        self.recent_answers: deque[tuple[float, bool]] = deque()
        self._service_seconds: float | None = None

    @property
    def capacity(self) -> float:
        """Requests that the target can run now without slowing down."""
        cold = self._model.size.cold_answers
        if self.answered >= cold:
            return self._model.size.slots
        return 1 + (self._model.size.slots - 1) * self.answered / cold

    @property
    def limit(self) -> int:
        """Current concurrency limit of the guard."""
        if not self._model.is_fleet_policy:
            return self._model.size.slots
        if self.timer.update(self._model.now) is HealthPhase.TRIAL:
            return 1
        return self.ramp.limit

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return (
            len(self._fair_queue)
            if self._model.is_fleet_policy
            else len(self._fifo_queue)
        )

    def view(self) -> TargetViewTold:
        """Return the load and health that the guard reports to the fronts."""
        phase = self.timer.update(self._model.now)
        return TargetViewTold(
            name=self.announced.name,
            service="s",
            limit=self.limit,
            busy=self.running + self.waiting,
            is_ejected=phase is HealthPhase.EJECTED,
            is_trial=phase is HealthPhase.TRIAL,
            log_latency=self.detector.log_latency,
        )

    def turn_cold(self) -> None:
        """Restart the target, which makes it cold."""
        self.answered = 0
        self.ramp.restart()

    def offer(self, job: _Job) -> None:
        """Queue a job, or refuse it."""
        if not self._model.is_fleet_policy:
            self._fifo_queue.append(job)
        elif self._must_refuse(job):
            self._model.retry(job)
            return
        else:
            dropped = self._fair_queue.push(job.request.team, job)
            if dropped is not None:
                self._model.retry(dropped)
        self.start_work()

    def start_work(self) -> None:
        """Run queued jobs while slots are free."""
        while self.running < self.limit:
            job = (
                self._fair_queue.pop()
                if self._model.is_fleet_policy
                else self._pop_fifo()
            )
            if job is None:
                return
            if self._model.now - job.request.at > _DEADLINE_SECONDS:
                self._model.finish(job, False)
                continue
            self._run(job)

    def _pop_fifo(self) -> _Job | None:
        return self._fifo_queue.popleft() if self._fifo_queue else None

    def _must_refuse(self, job: _Job) -> bool:
        phase = self.timer.update(self._model.now)
        if self.is_out or phase is HealthPhase.EJECTED:
            return True
        if phase is HealthPhase.TRIAL and self.running + self.waiting:
            return True
        if self._service_seconds is None or not self.waiting:
            return False
        wait = self._service_seconds * (1 + self.waiting / self.limit)
        left = _DEADLINE_SECONDS - (self._model.now - job.request.at)
        return wait > left

    def _run(self, job: _Job) -> None:
        self.running += 1
        load = self.running / self.capacity
        self.peak_load = max(self.peak_load, load)
        self.started += 1
        self.started_over_capacity += self.running >= self.capacity + 1
        seconds = self._model.size.work_seconds * self.slow_factor
        seconds *= math.exp(self._model.random_source.gauss(0.0, _LOG_DURATION_SPREAD))
        # A target over its capacity collapses: all work that it starts takes longer.
        seconds *= max(1.0, load) ** 2
        self._model.schedule(seconds, lambda: self._end_job(job, seconds))

    def _end_job(self, job: _Job, seconds: float) -> None:
        self.running -= 1
        self.answered += 1
        is_late = self._model.now - job.request.at > _DEADLINE_SECONDS
        self._model.finish(job, not is_late)
        if self._service_seconds is None:
            self._service_seconds = seconds
        self._service_seconds += 0.1 * (seconds - self._service_seconds)
        if self._model.is_fleet_policy:
            self._note_answer(seconds)
        else:
            self._note_answer_in_window(seconds)
        self.start_work()

    def _note_answer(self, seconds: float) -> None:
        self.ramp.note_latency(seconds)
        now = self._model.now
        typical = self._model.typical_log_latency(self)
        phase = self.timer.update(now)
        self.detector.note_answer(seconds, typical)
        if phase is HealthPhase.TRIAL:
            is_slow = typical is not None and math.log(seconds) > typical + 0.7
            if self.timer.note_trial(not is_slow, now) is HealthPhase.HEALTHY:
                self.detector.reset()
        elif phase is HealthPhase.HEALTHY and self.detector.is_unhealthy:
            if self._model.may_eject():
                self.timer.eject(now)

    def _note_answer_in_window(self, seconds: float) -> None:
        now = self._model.now
        is_slow = seconds > 3 * self._model.size.work_seconds
        self.recent_answers.append((now, is_slow))
        while self.recent_answers[0][0] < now - 10.0:
            self.recent_answers.popleft()
        slow = sum(was_slow for _, was_slow in self.recent_answers)
        if len(self.recent_answers) >= 10 and slow > 0.5 * len(self.recent_answers):
            if self._model.may_eject():
                self.timer.eject(now)
                self.recent_answers.clear()


class ServiceModel:
    """Simulates the fronts, guards and targets of a service."""

    def __init__(self, size: ServiceSize, is_fleet_policy: bool, seed: int) -> None:
        self.size = size
        self.is_fleet_policy = is_fleet_policy
        self.now = 0.0
        self.random_source = random.Random(seed)
        self.targets = [ModelTarget(self, i) for i in range(size.targets)]
        self.outcomes: list[Outcome] = []
        self._pickers = [
            Picker(f"zone-{i % size.zones}", random.Random(seed + i))
            for i in range(size.fronts)
        ]
        self._budgets = [RetryBudget(FrontSettings()) for _ in range(size.fronts)]
        self._target_by_id = {target.target: target for target in self.targets}
        self._event_numbers = itertools.count()
        self._event_heap: list[tuple[float, int, Callable[[], None]]] = []
        self._round_robin_turn = 0
        self._routable: list[Candidate] = []
        self.set_zone_out("")

    def set_zone_out(self, zone: str) -> None:
        """Take only this zone out, or none if empty; fronts and guards know at once."""
        for target in self.targets:
            target.is_out = target.zone == zone
        self._routable = [
            Candidate(t.target, t.zone, t.announced)
            for t in self.targets
            if not t.is_out
        ]

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in simulated time."""
        heapq.heappush(
            self._event_heap, (self.now + seconds, next(self._event_numbers), action)
        )

    def run(
        self, requests: list[Request], events: list[Event], seconds: float
    ) -> list[Outcome]:
        """Simulate the service up to a time and return the outcomes of the requests."""
        for request in requests:
            job = _Job(request, 0)
            self.schedule(request.at, lambda job=job: self._send(job))  # type: ignore[misc]
        for event in events:
            self.schedule(event.at, lambda event=event: event.apply(self))  # type: ignore[misc]
        for index in range(len(self._pickers)):
            self.schedule(
                _VIEW_PERIOD_SECONDS * self.random_source.random(),
                self._view_update(index),
            )
        while self._event_heap and self._event_heap[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._event_heap)
            action()
        return self.outcomes

    def finish(self, job: _Job, is_ok: bool) -> None:
        """Record the outcome of a request."""
        self._note_ended(job)
        self.outcomes.append(Outcome(job.request, self.now, is_ok))

    def retry(self, job: _Job) -> None:
        """Retry a refused job at another target, within the retry budget."""
        self._note_ended(job)
        is_late = self.now - job.request.at > _DEADLINE_SECONDS
        budget = self._budgets[job.request.front]
        has_budget = budget.can_spend(1.0, self.now)
        if is_late or job.attempt >= _MAX_ATTEMPTS or not has_budget:
            self.outcomes.append(Outcome(job.request, self.now, False))
            return
        budget.spend(1.0, self.now)
        self._send(job)

    def typical_log_latency(self, target: ModelTarget) -> float | None:
        """Return the median log latency of the other targets."""
        logs = sorted(
            other.detector.log_latency
            for other in self.targets
            if other is not target and other.detector.log_latency is not None
        )
        return logs[len(logs) // 2] if logs else None

    def may_eject(self) -> bool:
        """Return whether one more ejection leaves half of the targets, the floor."""
        phases = [target.timer.update(self.now) for target in self.targets]
        ejected = sum(phase is not HealthPhase.HEALTHY for phase in phases)
        return ejected + 1 <= len(self.targets) / 2

    def _note_ended(self, job: _Job) -> None:
        if self.is_fleet_policy and job.target is not None:
            self._pickers[job.request.front].note_ended(job.target)

    def _send(self, job: _Job) -> None:
        if job.attempt == 0:
            self._budgets[job.request.front].note_first_attempt(self.now)
        candidate = self._pick(job)
        if candidate is None:
            self.outcomes.append(Outcome(job.request, self.now, False))
            return
        target = candidate.target
        next_attempt = _Job(job.request, job.attempt + 1, job.tried | {target}, target)
        if self.is_fleet_policy:
            self._pickers[job.request.front].note_sent(candidate.target)
        self._target_by_id[candidate.target].offer(next_attempt)

    def _pick(self, job: _Job) -> Candidate | None:
        if self.is_fleet_policy:
            picker = self._pickers[job.request.front]
            options = PickOptions(self.now, is_retryable=False)
            pick = picker.pick(self._routable, job.tried, options)
            return None if pick is None else pick.candidate
        for _ in range(len(self._routable)):
            self._round_robin_turn += 1
            candidate = self._routable[self._round_robin_turn % len(self._routable)]
            timer = self._target_by_id[candidate.target].timer
            if timer.update(self.now) is not HealthPhase.EJECTED:
                return candidate
        return None

    def _view_update(self, index: int) -> Callable[[], None]:
        def update_views() -> None:
            for target in self.targets:
                self._pickers[index].update_views(
                    target.target.daemon, [target.view()], self.now
                )
            self.schedule(_VIEW_PERIOD_SECONDS, update_views)

        return update_views
