"""A model of one service's targets, fronts and guards on a settable clock.

The real picker, queue, ramp and health test decide; targets and the network
are simulated. The naive policy uses round robin, a FIFO queue without bound
and no ramp, on the same arrivals.
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

_SPREAD = 0.4
_VIEW_SECONDS = 0.5
_QUEUE_BOUND = 64
_DEADLINE_SECONDS = 2.0
_MOST_ATTEMPTS = 3


@dataclass(frozen=True, slots=True)
class ServiceSize:
    """Sizes of one service."""

    targets: int
    zones: int
    slots: int
    fronts: int
    work_seconds: float = 0.025
    cold_answers: int = 0
    """Answers after which a cold target bears all of its slots."""


@dataclass(frozen=True, slots=True)
class Request:
    """A request of a team at a front."""

    at: float
    team: str
    front: int


@dataclass(frozen=True, slots=True)
class Served:
    """What became of a request."""

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
    """Something that happens to the service."""

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
        self.worst_overload = 0.0
        self.started = 0
        self.started_beyond = 0
        """Requests begun beyond what the target bore, by one or more."""
        self.is_out = False
        self._model = model
        self._fair: FairQueue[_Job] = FairQueue(_QUEUE_BOUND)
        self._fifo: deque[_Job] = deque()
        self.ramp = ConcurrencyRamp(size.slots)
        self.test = GrayFailureDetector(HealthSettings())
        self.timer = EjectionTimer(HealthSettings())
        self.bad_in_window: deque[tuple[float, bool]] = deque()
        self._seconds: float | None = None

    @property
    def bearable(self) -> float:
        """Requests that the target bears at once now."""
        cold = self._model.size.cold_answers
        if self.answered >= cold:
            return self._model.size.slots
        return 1 + (self._model.size.slots - 1) * self.answered / cold

    @property
    def limit(self) -> int:
        """Requests that the guard lets run at once now."""
        if not self._model.is_ours:
            return self._model.size.slots
        if self.timer.update(self._model.now) is HealthPhase.TRIAL:
            return 1
        return self.ramp.limit

    @property
    def waiting(self) -> int:
        """Requests in the queue."""
        return len(self._fair) if self._model.is_ours else len(self._fifo)

    def view(self) -> TargetViewTold:
        """Return what fronts are told."""
        phase = self.timer.update(self._model.now)
        return TargetViewTold(
            name=self.announced.name,
            service="s",
            limit=self.limit,
            busy=self.running + self.waiting,
            is_ejected=phase is HealthPhase.EJECTED,
            is_trial=phase is HealthPhase.TRIAL,
            log_latency=self.test.log_latency,
        )

    def turn_cold(self) -> None:
        """Start anew, cold."""
        self.answered = 0
        self.ramp.restart()

    def offer(self, job: _Job) -> None:
        """Take in a job, or refuse it."""
        if not self._model.is_ours:
            self._fifo.append(job)
        elif self._refuses(job):
            self._model.retry(job)
            return
        else:
            victim = self._fair.push(job.request.team, job)
            if victim is not None:
                self._model.retry(victim)
        self.start_work()

    def start_work(self) -> None:
        """Run waiting jobs while slots are free."""
        while self.running < self.limit:
            job = self._fair.pop() if self._model.is_ours else self._pop_fifo()
            if job is None:
                return
            if self._model.now - job.request.at > _DEADLINE_SECONDS:
                self._model.finish(job, False)
                continue
            self._run(job)

    def _pop_fifo(self) -> _Job | None:
        return self._fifo.popleft() if self._fifo else None

    def _refuses(self, job: _Job) -> bool:
        phase = self.timer.update(self._model.now)
        if self.is_out or phase is HealthPhase.EJECTED:
            return True
        if phase is HealthPhase.TRIAL and self.running + self.waiting:
            return True
        if self._seconds is None or not self.waiting:
            return False
        wait = self._seconds * (1 + self.waiting / self.limit)
        left = _DEADLINE_SECONDS - (self._model.now - job.request.at)
        return wait > left

    def _run(self, job: _Job) -> None:
        self.running += 1
        overload = self.running / self.bearable
        self.worst_overload = max(self.worst_overload, overload)
        self.started += 1
        self.started_beyond += self.running >= self.bearable + 1
        seconds = self._model.size.work_seconds * self.slow_factor
        seconds *= math.exp(self._model.randomness.gauss(0.0, _SPREAD))
        # A target beyond what it bears collapses: work slows for all of it.
        seconds *= max(1.0, overload) ** 2
        self._model.after(seconds, lambda: self._answer(job, seconds))

    def _answer(self, job: _Job, seconds: float) -> None:
        self.running -= 1
        self.answered += 1
        late = self._model.now - job.request.at > _DEADLINE_SECONDS
        self._model.finish(job, not late)
        if self._seconds is None:
            self._seconds = seconds
        self._seconds += 0.1 * (seconds - self._seconds)
        if self._model.is_ours:
            self._judge(seconds)
        else:
            self._judge_window(seconds)
        self.start_work()

    def _judge(self, seconds: float) -> None:
        self.ramp.note_latency(seconds)
        now = self._model.now
        typical = self._model.typical_log_latency(self)
        phase = self.timer.update(now)
        self.test.note_answer(seconds, typical)
        if phase is HealthPhase.TRIAL:
            slow = typical is not None and math.log(seconds) > typical + 0.7
            if self.timer.note_trial(not slow, now) is HealthPhase.HEALTHY:
                self.test.reset()
        elif phase is HealthPhase.HEALTHY and self.test.is_unhealthy:
            if self._model.may_eject():
                self.timer.eject(now)

    def _judge_window(self, seconds: float) -> None:
        now = self._model.now
        is_bad = seconds > 3 * self._model.size.work_seconds
        self.bad_in_window.append((now, is_bad))
        while self.bad_in_window[0][0] < now - 10.0:
            self.bad_in_window.popleft()
        bad = sum(b for _, b in self.bad_in_window)
        if len(self.bad_in_window) >= 10 and bad > 0.5 * len(self.bad_in_window):
            if self._model.may_eject():
                self.timer.eject(now)
                self.bad_in_window.clear()


class ServiceModel:
    """Runs arrivals through the service."""

    def __init__(self, size: ServiceSize, is_ours: bool, seed: int) -> None:
        self.size = size
        self.is_ours = is_ours
        self.now = 0.0
        self.randomness = random.Random(seed)
        self.targets = [ModelTarget(self, i) for i in range(size.targets)]
        self.served: list[Served] = []
        self._pickers = [
            Picker(f"zone-{i % size.zones}", random.Random(seed + i))
            for i in range(size.fronts)
        ]
        self._budgets = [RetryBudget(FrontSettings()) for _ in range(size.fronts)]
        self._by_id = {target.target: target for target in self.targets}
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._turn = 0
        self._routable: list[Candidate] = []
        self.set_zone_out("")

    def set_zone_out(self, zone: str) -> None:
        """Take a zone out, or none; fronts and guards know at once."""
        for target in self.targets:
            target.is_out = target.zone == zone
        self._routable = [
            Candidate(t.target, t.zone, t.announced)
            for t in self.targets
            if not t.is_out
        ]

    def after(self, seconds: float, action: Callable[[], None]) -> None:
        """Do something later."""
        heapq.heappush(self._heap, (self.now + seconds, next(self._order), action))

    def run(
        self, requests: list[Request], events: list[Event], seconds: float
    ) -> list[Served]:
        """Run until a time and return what became of the requests."""
        for request in requests:
            job = _Job(request, 0)
            self.after(request.at, lambda job=job: self._send(job))  # type: ignore[misc]
        for event in events:
            self.after(event.at, lambda event=event: event.apply(self))  # type: ignore[misc]
        for index in range(len(self._pickers)):
            self.after(_VIEW_SECONDS * self.randomness.random(), self._viewer(index))
        while self._heap and self._heap[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        return self.served

    def finish(self, job: _Job, is_ok: bool) -> None:
        """Note the end of a request."""
        self._note_ended(job)
        self.served.append(Served(job.request, self.now, is_ok))

    def retry(self, job: _Job) -> None:
        """Try a refused job elsewhere, within the budget."""
        self._note_ended(job)
        is_late = self.now - job.request.at > _DEADLINE_SECONDS
        budget = self._budgets[job.request.front]
        has_budget = budget.can_spend(1.0, self.now)
        if is_late or job.attempt >= _MOST_ATTEMPTS or not has_budget:
            self.served.append(Served(job.request, self.now, False))
            return
        budget.spend(1.0, self.now)
        self._send(job)

    def typical_log_latency(self, target: ModelTarget) -> float | None:
        """Return the median log latency of the other targets."""
        logs = sorted(
            other.test.log_latency
            for other in self.targets
            if other is not target and other.test.log_latency is not None
        )
        return logs[len(logs) // 2] if logs else None

    def may_eject(self) -> bool:
        """Tell whether the floor of a half allows one more ejection."""
        phases = [target.timer.update(self.now) for target in self.targets]
        out = sum(phase is not HealthPhase.HEALTHY for phase in phases)
        return out + 1 <= len(self.targets) / 2

    def _note_ended(self, job: _Job) -> None:
        if self.is_ours and job.target is not None:
            self._pickers[job.request.front].note_ended(job.target)

    def _send(self, job: _Job) -> None:
        if job.attempt == 0:
            self._budgets[job.request.front].note_first_attempt(self.now)
        candidate = self._pick(job)
        if candidate is None:
            self.served.append(Served(job.request, self.now, False))
            return
        target = candidate.target
        sent = _Job(job.request, job.attempt + 1, job.tried | {target}, target)
        if self.is_ours:
            self._pickers[job.request.front].note_sent(candidate.target)
        self._by_id[candidate.target].offer(sent)

    def _pick(self, job: _Job) -> Candidate | None:
        if self.is_ours:
            picker = self._pickers[job.request.front]
            options = PickOptions(self.now, is_retryable=False)
            pick = picker.pick(self._routable, job.tried, options)
            return None if pick is None else pick.candidate
        for _ in range(len(self._routable)):
            self._turn += 1
            candidate = self._routable[self._turn % len(self._routable)]
            timer = self._by_id[candidate.target].timer
            if timer.update(self.now) is not HealthPhase.EJECTED:
                return candidate
        return None

    def _viewer(self, index: int) -> Callable[[], None]:
        def look() -> None:
            for target in self.targets:
                self._pickers[index].take_views(
                    target.target.daemon, [target.view()], self.now
                )
            self.after(_VIEW_SECONDS, look)

        return look
