"""A model of a service whose targets fall ill by turns, on a clock of its own.

Fronts pick with the real picker and guards judge with the real decisions; a request
is answered after a fixed time, and words between daemons take none.
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
LOOK_SECONDS = 0.1
HEARTBEAT_SECONDS = 0.8
MOST_REFUSALS = 8
ADDRESS = Address("127.0.0.1", 1)


@dataclass(frozen=True, slots=True)
class Load:
    """What is played."""

    seed: int
    targets: int = 30
    fronts: int = 31
    zones: int = 4
    per_second: float = 75.0
    repeatable_share: float = 0.27
    ill_seconds: float = 2.7
    well_seconds: float = 6.3
    """Mean time between two spells of illness of a target."""
    fails: float = 0.75
    """Share of its requests that an ill target fails."""
    well_fails: float = 0.012
    seconds: float = 40.0


class ModelTarget:
    """A target with its guard."""

    def __init__(self, index: int, load: Load, randomness: random.Random) -> None:
        self.announced = TargetAnnouncement(f"t{index}", "s", ADDRESS, SLOTS)
        target = TargetId(f"vm-{index}", f"t{index}")
        self.candidate = Candidate(target, f"z{index % load.zones}", self.announced)
        self.failures = FailureFilter()
        self.idle = IdleTracker(HealthSettings(), 0.0)
        self.due_told = (False, False)
        self.running = 0
        self.sent_at: list[float] = []
        self.spells = _spells(load, randomness)

    def is_ill(self, now: float) -> bool:
        """Tell whether a spell of illness is on."""
        return any(start <= now < end for start, end in self.spells)

    def is_sound(self, start: float, end: float, settle_seconds: float) -> bool:
        """Tell whether no spell touches a span, or the time just before it."""
        return all(
            spell_end < start - settle_seconds or spell_start > end
            for spell_start, spell_end in self.spells
        )

    def view(self, now: float) -> TargetViewTold:
        """Return what the guard tells the fronts."""
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

    def accepts(self, pick: Pick, is_repeatable: bool, now: float) -> bool:
        """Tell whether the guard takes an attempt."""
        if self.running >= SLOTS:
            return False
        is_due = self.idle.is_due if is_repeatable else self.idle.is_overdue
        if pick.is_for_due and is_due(now):
            return True
        return self.failures.risk(now) <= pick.most_risk


class FailingService:
    """Plays a load, and notes when each target was sent a request."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.now = 0.0
        self.failed = 0
        """Requests that failed for good."""
        self.ran_badly = 0
        """Requests that a target failed at, those that were repeated included."""
        self._random = random.Random(load.seed)
        self.targets = [ModelTarget(i, load, self._random) for i in range(load.targets)]
        self._by_id = {t.candidate.target: t for t in self.targets}
        self._candidates = [t.candidate for t in self.targets]
        self._pickers = [
            Picker(f"z{i % load.zones}", random.Random(load.seed * 1000 + i))
            for i in range(load.fronts)
        ]
        self._order = itertools.count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def play(self) -> None:
        """Play the whole load."""
        self._after(0.0, self._arrive)
        self._after(LOOK_SECONDS, self._look)
        for target in self.targets:
            wait = HEARTBEAT_SECONDS * self._random.random()
            self._after(wait, lambda target=target: self._beat(target))
        while self._heap and self._heap[0][0] < self.load.seconds:
            self.now, _, action = heapq.heappop(self._heap)
            action()

    def idle_spans(self, window: float, settle_seconds: float) -> list[str]:
        """List the sound targets that got nothing in a window, for each step of it."""
        found = []
        start = settle_seconds
        while start + window < self.load.seconds:
            for target in self.targets:
                if not target.is_sound(start, start + window, settle_seconds):
                    continue
                if not any(start <= at < start + window for at in target.sent_at):
                    found.append(f"{target.announced.name} at {start:.1f}")
            start += window / 4
        return found

    def _after(self, seconds: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (self.now + seconds, next(self._order), action))

    def _arrive(self) -> None:
        front = self._random.randrange(self.load.fronts)
        self._send(front, self._random.random() < self.load.repeatable_share)
        self._after(self._random.expovariate(self.load.per_second), self._arrive)

    def _send(self, front: int, is_repeatable: bool, is_repeat: bool = False) -> None:
        is_retryable = is_repeatable and not is_repeat
        options = PickOptions(
            self.now, is_retryable=is_retryable, may_probe=is_retryable
        )
        picker = self._pickers[front]
        for _ in range(MOST_REFUSALS):
            pick = picker.pick(self._candidates, frozenset(), options)
            target = self._by_id[pick.candidate.target]
            if target.accepts(pick, is_repeatable, self.now):
                self._run(front, target, is_repeatable, is_repeat)
                return
            self._tell(target, [front])

    def _run(
        self, front: int, target: ModelTarget, is_repeatable: bool, is_repeat: bool
    ) -> None:
        target.idle.note_sent(self.now)
        target.sent_at.append(self.now)
        target.running += 1
        self._pickers[front].note_sent(target.candidate.target)
        self._tell_due(target)

        def answer() -> None:
            self._answer(front, target, is_repeatable and not is_repeat)

        self._after(WORK_SECONDS, answer)

    def _answer(self, front: int, target: ModelTarget, is_retryable: bool) -> None:
        target.running -= 1
        self._pickers[front].note_ended(target.candidate.target)
        load = self.load
        fails = load.fails if target.is_ill(self.now) else load.well_fails
        is_bad = self._random.random() < fails
        target.failures.note(is_bad, self.now)
        target.idle.note_outcome(not is_bad)
        self.ran_badly += is_bad
        self._tell(target, range(self.load.fronts) if is_bad else [front])
        if is_bad and is_retryable:
            self._send(front, is_repeatable=True, is_repeat=True)
        elif is_bad:
            self.failed += 1

    def _look(self) -> None:
        for target in self.targets:
            self._tell_due(target)
        self._after(LOOK_SECONDS, self._look)

    def _tell_due(self, target: ModelTarget) -> None:
        view = target.view(self.now)
        if (view.is_due, view.is_overdue) != target.due_told:
            target.due_told = (view.is_due, view.is_overdue)
            self._tell(target, range(self.load.fronts))

    def _beat(self, target: ModelTarget) -> None:
        self._tell(target, self._random.sample(range(self.load.fronts), 7))
        self._after(HEARTBEAT_SECONDS, lambda: self._beat(target))

    def _tell(self, target: ModelTarget, fronts) -> None:
        view = target.view(self.now)
        for front in fronts:
            daemon = target.candidate.target.daemon
            self._pickers[front].take_views(daemon, [view], self.now)


def _spells(load: Load, randomness: random.Random) -> list[tuple[float, float]]:
    spells = []
    now = randomness.expovariate(1 / load.well_seconds)
    while now < load.seconds and load.ill_seconds:
        spells.append((now, now + load.ill_seconds))
        now += load.ill_seconds + randomness.expovariate(1 / load.well_seconds)
    return spells
