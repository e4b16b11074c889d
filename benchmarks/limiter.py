"""Wrongful refusals and over-rate windows of ways to share a team's rate.

The real holders and keeper run on a settable clock, with delayed messages, on
the same arrivals as one ideal bucket. No process and no socket is involved.
"""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from benchmarks.measure import Measurement, emit
from bramleyglade_core.decisions.share_holding import ShareHolding
from bramleyglade_core.decisions.team_allocator import TeamAllocator
from bramleyglade_core.model.entities import Team
from bramleyglade_core.model.identifiers import DaemonId
from bramleyglade_core.model.settings import LimitSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from bramleyglade_core.model.shares import ShareAsked

_MESSAGE_SECONDS = 0.0006
"""One way between daemons of a region."""

_RUN_SECONDS = 60.0
_KEEPER_LOST_AT = 20.0
_KEEPER_BACK_AT = 27.0
"""When a new keeper begins to confirm shares, after the lease wait."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request at a daemon."""

    at: float
    daemon: int


class Bucket:
    """The ideal bucket, exact and in one place."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at = 0.0

    def try_admit(self, now: float) -> bool:
        """Spend one request."""
        grown = self._level + (now - self._at) * self._rate
        self._level = min(self._burst, grown)
        self._at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def ideal(team: Team, arrivals: list[Arrival]) -> list[bool]:
    """Admit by one bucket for all daemons."""
    bucket = Bucket(team.rate, team.burst)
    return [bucket.try_admit(arrival.at) for arrival in arrivals]


def static_split(team: Team, arrivals: list[Arrival], daemons: int) -> list[bool]:
    """Admit by an equal part of rate and burst on each daemon."""
    parts = [Bucket(team.rate / daemons, team.burst / daemons) for _ in range(daemons)]
    return [parts[arrival.daemon].try_admit(arrival.at) for arrival in arrivals]


class KeeperModel:
    """Holders on all daemons and a keeper, with messages that take time."""

    def __init__(
        self,
        team: Team,
        daemons: int,
        settings: LimitSettings,
        is_keeper_lost: bool = False,
    ) -> None:
        self._team = team
        self._settings = settings
        self._book = TeamAllocator(settings, float(team.burst), 0.0)
        self._holdings = [
            ShareHolding(DaemonId(f"vm-{index}", 1), settings)
            for index in range(daemons)
        ]
        self._waiting: list[list[tuple[int, float]]] = [[] for _ in range(daemons)]
        self._is_keeper_lost = is_keeper_lost
        self._is_collecting = False
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self.admitted_at: dict[int, float] = {}
        self.messages = 0

    def run(self, arrivals: list[Arrival]) -> list[bool]:
        """Admit arrivals; a request waits for the keeper as long as in the daemon."""
        for index, arrival in enumerate(arrivals):
            self._at(arrival.at, self._arriver(index, arrival.daemon))
        for daemon in range(len(self._holdings)):
            self._at(0.01 * daemon, self._ticker(daemon))
        if self._is_keeper_lost:
            self._at(_KEEPER_BACK_AT, self._replace_keeper)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now > _RUN_SECONDS + 1:
                break
            event(now)
        return [index in self.admitted_at for index in range(len(arrivals))]

    def _at(self, now: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (now, next(self._order), event))

    def _arriver(self, index: int, daemon: int) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            holding = self._holdings[daemon]
            holding.note_arrival(now)
            if holding.try_admit(self._team, now):
                self.admitted_at[index] = now
            elif now >= holding.backoff_until:
                self._waiting[daemon].append((index, now))
                self._ask(daemon, now)

        return arrive

    def _ticker(self, daemon: int) -> Callable[[float], None]:
        def tick(now: float) -> None:
            holding = self._holdings[daemon]
            if now >= holding.next_renewal_at and holding.demand.rate(now) > 0.01:
                self._ask(daemon, now)
            self._at(now + 0.05, tick)

        return tick

    def _ask(self, daemon: int, now: float) -> None:
        holding = self._holdings[daemon]
        if holding.is_renewal_pending:
            return
        asked = holding.renew(self._team, now, len(self._waiting[daemon]))
        self.messages += 2
        if self._is_keeper_lost and _KEEPER_LOST_AT <= now < _KEEPER_BACK_AT:
            self._at(now + 0.25, lambda later: self._give_up(daemon, later))
            return

        def reach(then: float) -> None:
            granted = self._book.answer(asked, self._team, then, self._is_collecting)
            back = then + _MESSAGE_SECONDS
            self._recall(asked, then)
            self._at(back, lambda later: self._credit(daemon, granted, later))

        self._at(now + _MESSAGE_SECONDS, reach)

    def _recall(self, asked: ShareAsked, now: float) -> None:
        for holder in self._book.holders_to_recall(asked, now):
            daemon = int(holder.name.removeprefix("vm-"))
            self.messages += 1
            self._at(now + _MESSAGE_SECONDS, self._asker(daemon))

    def _asker(self, daemon: int) -> Callable[[float], None]:
        def renew(now: float) -> None:
            self._holdings[daemon].recall(now)
            self._ask(daemon, now)

        return renew

    def _give_up(self, daemon: int, now: float) -> None:
        self._holdings[daemon].abandon_renewal(now)
        self._waiting[daemon].clear()

    def _credit(self, daemon: int, granted: Any, now: float) -> None:
        holding = self._holdings[daemon]
        must_return = holding.apply_grant(granted, self._team, now)
        still = []
        for index, since in self._waiting[daemon]:
            if holding.try_admit(self._team, now):
                self.admitted_at[index] = now
            elif now - since < self._settings.answer_wait_seconds:
                still.append((index, since))
        self._waiting[daemon] = still
        if must_return or (still and now >= holding.backoff_until):
            self._ask(daemon, now)
        elif still:
            self._waiting[daemon] = []

    def _replace_keeper(self, now: float) -> None:
        self._book = TeamAllocator(self._settings, 0.0, now)
        self._is_collecting = True
        end = now + self._settings.slice_term_seconds + 1.0
        self._at(end, lambda later: self._start_granting())

    def _start_granting(self) -> None:
        self._is_collecting = False


def worst_excess(team: Team, times: list[float]) -> float:
    """Return the most that any window admitted above rate times window plus burst.

    Args:
        team: The team with its rate and burst.
        times: When requests were admitted, in order.

    Returns:
        The largest excess over all windows, in requests; at most 0 if exact.
    """
    # Over all i <= j: (j - i + 1) - rate * (t_j - t_i) - burst.
    worst = float("-inf")
    best_start = float("-inf")
    for index, at in enumerate(times):
        best_start = max(best_start, team.rate * at - index)
        worst = max(worst, index + 1 - team.rate * at + best_start - team.burst)
    return worst


def make_arrivals(
    pattern: str, rate: float, daemons: int, randomness: random.Random
) -> list[Arrival]:
    """Make Poisson arrivals of a team at a share of its rate.

    Args:
        pattern: `even`, `skewed` (all on one daemon) or `moving` (on one, which
            changes every five seconds).
        rate: Requests a second.
        daemons: Daemons of the fleet.
        randomness: Source of randomness.

    Returns:
        The arrivals in order.
    """
    arrivals = []
    now = 0.0
    while (now := now + randomness.expovariate(rate)) < _RUN_SECONDS:
        daemon = randomness.randrange(daemons)
        if pattern == "skewed":
            daemon = 0
        elif pattern == "moving":
            daemon = int(now / 5.0) % daemons
        arrivals.append(Arrival(now, daemon))
    return arrivals


@dataclass(frozen=True, slots=True)
class Case:
    """One team and how its requests arrive."""

    name: str
    pattern: str
    rate: float
    burst: int
    load: float
    """Requests, as a share of the rate."""
    is_keeper_lost: bool = False


CASES = (
    Case("even", "even", 200.0, 200, 0.8),
    Case("even full", "even", 200.0, 200, 1.0),
    Case("skewed", "skewed", 200.0, 200, 0.8),
    Case("moving", "moving", 200.0, 200, 0.8),
    Case("low rate", "even", 1.0, 5, 0.8),
    Case("low rate skewed", "skewed", 1.0, 5, 0.8),
    Case("ten times", "even", 50.0, 50, 10.0),
    Case("keeper lost", "even", 200.0, 200, 0.8, is_keeper_lost=True),
    Case("keeper lost, moving", "moving", 200.0, 200, 0.8, is_keeper_lost=True),
)


def wrongful_share(admitted: list[bool], right: list[bool]) -> float:
    """Return the refusals beyond the ideal bucket's, as a share of its admissions."""
    return max(0, sum(right) - sum(admitted)) / max(1, sum(right))


def run_case(case: Case, daemons: int, seed: int) -> None:
    """Run one case under each policy and print its figures."""
    randomness = random.Random(seed)
    team = Team("team", case.rate, case.burst)
    load = case.rate * case.load
    arrivals = make_arrivals(case.pattern, load, daemons, randomness)
    right = ideal(team, arrivals)
    model = KeeperModel(team, daemons, LimitSettings(), case.is_keeper_lost)
    ours = model.run(arrivals)
    static = static_split(team, arrivals, daemons)
    excess = worst_excess(team, sorted(model.admitted_at.values()))
    name = f"wrongful refusals, {case.name}"
    emit(Measurement(name, "keeper", 100 * wrongful_share(ours, right), "%", seed))
    emit(Measurement(name, "static", 100 * wrongful_share(static, right), "%", seed))
    emit(Measurement(f"excess, {case.name}", "keeper", excess, "requests", seed))
    rate = model.messages / _RUN_SECONDS / daemons
    emit(Measurement(f"messages, {case.name}", "keeper", rate, "1/s/daemon", seed))


def main(daemons: int = 20, seed: int = 1) -> None:
    """Run all cases."""
    for case in CASES:
        run_case(case, daemons, seed)


if __name__ == "__main__":
    main()
