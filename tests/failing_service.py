"""A discrete-event simulation of a service whose targets become faulty and recover.

Fronts use the real picker, and guards the real failure filter and idle tracker. A
request is answered after a fixed time, and messages between daemons arrive at once.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.decisions.failure_filter import FailureFilter
from bramleyglade_core.decisions.idle_tracker import IdleTracker
from bramleyglade_core.decisions.picker import Pick, Picker, PickOptions
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.identifiers import Address, TargetId
from bramleyglade_core.model.peer_messages import TargetViewTold
from bramleyglade_core.model.settings import HealthSettings

if TYPE_CHECKING:
    from collections.abc import Callable

SLOTS = 4
WORK_SECONDS = 0.25
DUE_CHECK_PERIOD_SECONDS = 0.1
HEARTBEAT_SECONDS = 0.8
MAX_REFUSALS = 8
"""Refusals after which a request is dropped."""

ADDRESS = Address("127.0.0.1", 1)


@dataclass(frozen=True, slots=True)
class Load:
    """Size, requests and faults of the simulated service."""

    seed: int
    targets: int = 30
    fronts: int = 31
    zones: int = 4
    requests_per_second: float = 75.0
    """Mean rate of requests to the service."""
    idempotent_share: float = 0.27
    """Share of requests that are idempotent."""
    faulty_seconds: float = 2.7
    """Duration of a fault of a target; 0 for no faults."""
    healthy_seconds: float = 6.3
    """Mean time between two faults of a target."""
    faulty_failure_share: float = 0.75
    """Share of its requests that a faulty target fails."""
    healthy_failure_share: float = 0.012
    """Share of its requests that a healthy target fails."""
    seconds: float = 40.0
    """Duration of the simulation."""


class ModelTarget:
    """A target with its guard."""

    def __init__(self, index: int, load: Load, random_source: random.Random) -> None:
        self.announced = TargetAnnouncement(f"t{index}", "s", ADDRESS, SLOTS)
        target = TargetId(f"vm-{index}", f"t{index}")
        self.candidate = Candidate(target, f"z{index % load.zones}", self.announced)
        self.failures = FailureFilter()
        self.idle = IdleTracker(HealthSettings(), 0.0)
        self.published_due = (False, False)
        """Whether it was due and overdue in the view sent to all fronts."""
        self.running = 0
        self.sent_times: list[float] = []
        self.fault_periods = _draw_fault_periods(load, random_source)

    def is_faulty(self, now: float) -> bool:
        """Return whether the target has a fault at a time."""
        return any(start <= now < end for start, end in self.fault_periods)

    def is_healthy_during(
        self, start: float, end: float, settle_seconds: float
    ) -> bool:
        """Return whether no fault overlaps a period or the settling time before it."""
        return all(
            fault_end < start - settle_seconds or fault_start > end
            for fault_start, fault_end in self.fault_periods
        )

    def view(self, now: float) -> TargetViewTold:
        """Return the load and health that the guard reports to the fronts."""
        is_free = self.running < SLOTS
        return TargetViewTold(
            self.announced.name,
            "s",
            SLOTS,
            self.running,
            is_ejected=False,
            is_trial=False,
            risk=self.failures.risk(now),
            is_due=is_free and self.idle.is_due(now),
            is_overdue=is_free and self.idle.is_overdue(now),
        )

    def accepts(self, pick: Pick, is_idempotent: bool, now: float) -> bool:
        """Return whether the guard accepts an attempt."""
        if self.running >= SLOTS:
            return False
        is_due = self.idle.is_due if is_idempotent else self.idle.is_overdue
        if pick.is_for_due and is_due(now):
            return True
        return self.failures.risk(now) <= pick.most_risk


class FailingService:
    """Simulates a load and records when each target was sent a request."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.now = 0.0
        self.failed = 0
        """Requests whose last attempt failed."""
        self.failed_attempts = 0
        """Attempts that failed, including those that were retried."""
        self._random = random.Random(load.seed)
        self.targets = [ModelTarget(i, load, self._random) for i in range(load.targets)]
        self._by_id = {t.candidate.target: t for t in self.targets}
        self._candidates = [t.candidate for t in self.targets]
        self._pickers = [
            Picker(f"z{i % load.zones}", random.Random(load.seed * 1000 + i))
            for i in range(load.fronts)
        ]
        self._event_numbers = itertools.count()
        self._event_heap: list[tuple[float, int, Callable[[], None]]] = []

    def run(self) -> None:
        """Simulate the whole load."""
        self._schedule(0.0, self._start_request)
        self._schedule(DUE_CHECK_PERIOD_SECONDS, self._check_due)
        for target in self.targets:
            wait = HEARTBEAT_SECONDS * self._random.random()
            self._schedule(wait, lambda target=target: self._send_heartbeat(target))
        while self._event_heap and self._event_heap[0][0] < self.load.seconds:
            self.now, _, action = heapq.heappop(self._event_heap)
            action()

    def find_idle_targets(
        self, window_seconds: float, settle_seconds: float
    ) -> list[str]:
        """List the healthy targets that got no request in a window of time.

        Args:
            window_seconds: Length of the window, which moves by a quarter of it.
            settle_seconds: Time before the window in which a target must have been
                healthy too.
        """
        found = []
        start = settle_seconds
        while start + window_seconds < self.load.seconds:
            for target in self.targets:
                if not target.is_healthy_during(
                    start, start + window_seconds, settle_seconds
                ):
                    continue
                if not any(
                    start <= sent_at < start + window_seconds
                    for sent_at in target.sent_times
                ):
                    found.append(f"{target.announced.name} at {start:.1f}")
            start += window_seconds / 4
        return found

    def _schedule(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(
            self._event_heap, (self.now + seconds, next(self._event_numbers), action)
        )

    def _start_request(self) -> None:
        front = self._random.randrange(self.load.fronts)
        self._send(front, self._random.random() < self.load.idempotent_share)
        self._schedule(
            self._random.expovariate(self.load.requests_per_second), self._start_request
        )

    def _send(self, front: int, is_idempotent: bool, is_retry: bool = False) -> None:
        is_retryable = is_idempotent and not is_retry
        options = PickOptions(
            self.now, is_retryable=is_retryable, may_probe=is_retryable
        )
        picker = self._pickers[front]
        for _ in range(MAX_REFUSALS):
            pick = picker.pick(self._candidates, frozenset(), options)
            target = self._by_id[pick.candidate.target]
            if target.accepts(pick, is_idempotent, self.now):
                self._start_attempt(front, target, is_idempotent, is_retry)
                return
            self._send_view(target, [front])

    def _start_attempt(
        self, front: int, target: ModelTarget, is_idempotent: bool, is_retry: bool
    ) -> None:
        target.idle.note_sent(self.now)
        target.sent_times.append(self.now)
        target.running += 1
        self._pickers[front].note_sent(target.candidate.target)
        self._publish_due(target)

        def end() -> None:
            self._end_attempt(front, target, is_idempotent and not is_retry)

        self._schedule(WORK_SECONDS, end)

    def _end_attempt(self, front: int, target: ModelTarget, is_retryable: bool) -> None:
        target.running -= 1
        self._pickers[front].note_ended(target.candidate.target)
        load = self.load
        failure_share = (
            load.faulty_failure_share
            if target.is_faulty(self.now)
            else load.healthy_failure_share
        )
        is_failure = self._random.random() < failure_share
        target.failures.note(is_failure, self.now)
        target.idle.note_outcome(not is_failure)
        self.failed_attempts += is_failure
        self._send_view(target, range(self.load.fronts) if is_failure else [front])
        if is_failure and is_retryable:
            self._send(front, is_idempotent=True, is_retry=True)
        elif is_failure:
            self.failed += 1

    def _check_due(self) -> None:
        for target in self.targets:
            self._publish_due(target)
        self._schedule(DUE_CHECK_PERIOD_SECONDS, self._check_due)

    def _publish_due(self, target: ModelTarget) -> None:
        view = target.view(self.now)
        if (view.is_due, view.is_overdue) != target.published_due:
            target.published_due = (view.is_due, view.is_overdue)
            self._send_view(target, range(self.load.fronts))

    def _send_heartbeat(self, target: ModelTarget) -> None:
        self._send_view(target, self._random.sample(range(self.load.fronts), 7))
        self._schedule(HEARTBEAT_SECONDS, lambda: self._send_heartbeat(target))

    def _send_view(self, target: ModelTarget, fronts) -> None:
        view = target.view(self.now)
        for front in fronts:
            daemon = target.candidate.target.daemon
            self._pickers[front].update_views(daemon, [view], self.now)


def _draw_fault_periods(
    load: Load, random_source: random.Random
) -> list[tuple[float, float]]:
    fault_periods = []
    now = random_source.expovariate(1 / load.healthy_seconds)
    while now < load.seconds and load.faulty_seconds:
        fault_periods.append((now, now + load.faulty_seconds))
        now += load.faulty_seconds + random_source.expovariate(1 / load.healthy_seconds)
    return fault_periods
