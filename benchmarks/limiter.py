"""Wrongful refusals and excess admissions when daemons share a team's rate.

The product's share holdings and allocator run in simulated time, with delayed
messages, on the same arrivals as one ideal token bucket and as a static split. No
process and no socket is involved.
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

_MESSAGE_DELAY_SECONDS = 0.0006
"""One-way delay between daemons of a region."""

_RUN_SECONDS = 60.0
_KEEPER_LOST_AT_SECONDS = 20.0
_NEW_KEEPER_AT_SECONDS = 27.0
"""When a new keeper begins to confirm shares, as the former one's lease has ended."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """Time at which a request arrives, and the index of its daemon."""

    at: float
    daemon: int


class TokenBucket:
    """An exact token bucket, which starts full."""

    def __init__(self, rate: float, burst: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = 0.0

    def try_admit(self, now: float) -> bool:
        """Spend one token if there is one."""
        refilled = self._level + (now - self._refilled_at) * self._rate
        self._level = min(self._burst, refilled)
        self._refilled_at = now
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True


def ideal(team: Team, arrivals: list[Arrival]) -> list[bool]:
    """Admit arrivals by one bucket for all daemons."""
    bucket = TokenBucket(team.rate, team.burst)
    return [bucket.try_admit(arrival.at) for arrival in arrivals]


def static_split(team: Team, arrivals: list[Arrival], daemons: int) -> list[bool]:
    """Admit arrivals by an equal part of rate and burst on each daemon."""
    buckets = [
        TokenBucket(team.rate / daemons, team.burst / daemons) for _ in range(daemons)
    ]
    return [buckets[arrival.daemon].try_admit(arrival.at) for arrival in arrivals]


class KeeperModel:
    """Simulates the holders on all daemons, their keeper and message delays."""

    def __init__(
        self,
        team: Team,
        daemons: int,
        settings: LimitSettings,
        is_keeper_lost: bool = False,
    ) -> None:
        self._team = team
        self._settings = settings
        self._allocator = TeamAllocator(settings, float(team.burst), 0.0)
        self._holdings = [
            ShareHolding(DaemonId(f"vm-{index}", 1), settings)
            for index in range(daemons)
        ]
        self._waiting: list[list[tuple[int, float]]] = [[] for _ in range(daemons)]
        self._is_keeper_lost = is_keeper_lost
        self._is_collecting = False
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self.admitted_at: dict[int, float] = {}
        self.messages = 0

    def run(self, arrivals: list[Arrival]) -> list[bool]:
        """Admit arrivals, which wait for the keeper for as long as in the daemon."""
        for index, arrival in enumerate(arrivals):
            self._schedule(arrival.at, self._arrival_event(index, arrival.daemon))
        for daemon in range(len(self._holdings)):
            self._schedule(0.01 * daemon, self._renewal_check_event(daemon))
        if self._is_keeper_lost:
            self._schedule(_NEW_KEEPER_AT_SECONDS, self._start_new_keeper)
        while self._events:
            now, _, event = heapq.heappop(self._events)
            if now > _RUN_SECONDS + 1:
                break
            event(now)
        return [index in self.admitted_at for index in range(len(arrivals))]

    def _schedule(self, at: float, event: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._event_numbers), event))

    def _arrival_event(self, index: int, daemon: int) -> Callable[[float], None]:
        def arrive(now: float) -> None:
            holding = self._holdings[daemon]
            holding.note_arrival(now)
            if holding.try_admit(self._team, now):
                self.admitted_at[index] = now
            elif now >= holding.backoff_until:
                self._waiting[daemon].append((index, now))
                self._send_renewal(daemon, now)

        return arrive

    def _renewal_check_event(self, daemon: int) -> Callable[[float], None]:
        def check(now: float) -> None:
            holding = self._holdings[daemon]
            if now >= holding.next_renewal_at and holding.demand.rate(now) > 0.01:
                self._send_renewal(daemon, now)
            self._schedule(now + 0.05, check)

        return check

    def _send_renewal(self, daemon: int, now: float) -> None:
        holding = self._holdings[daemon]
        if holding.is_renewal_pending:
            return
        asked = holding.renew(self._team, now, len(self._waiting[daemon]))
        self.messages += 2
        if (
            self._is_keeper_lost
            and _KEEPER_LOST_AT_SECONDS <= now < _NEW_KEEPER_AT_SECONDS
        ):
            self._schedule(now + 0.25, lambda later: self._time_out(daemon, later))
            return

        def answer(reached_at: float) -> None:
            granted = self._allocator.answer(
                asked, self._team, reached_at, self._is_collecting
            )
            answered_at = reached_at + _MESSAGE_DELAY_SECONDS
            self._send_recalls(asked, reached_at)
            self._schedule(
                answered_at, lambda later: self._apply_grant(daemon, granted, later)
            )

        self._schedule(now + _MESSAGE_DELAY_SECONDS, answer)

    def _send_recalls(self, asked: ShareAsked, now: float) -> None:
        for holder in self._allocator.holders_to_recall(asked, now):
            daemon = int(holder.name.removeprefix("vm-"))
            self.messages += 1
            self._schedule(now + _MESSAGE_DELAY_SECONDS, self._recall_event(daemon))

    def _recall_event(self, daemon: int) -> Callable[[float], None]:
        def renew(now: float) -> None:
            self._holdings[daemon].recall(now)
            self._send_renewal(daemon, now)

        return renew

    def _time_out(self, daemon: int, now: float) -> None:
        self._holdings[daemon].abandon_renewal(now)
        self._waiting[daemon].clear()

    def _apply_grant(self, daemon: int, granted: Any, now: float) -> None:
        holding = self._holdings[daemon]
        must_return = holding.apply_grant(granted, self._team, now)
        still_waiting = []
        for index, since in self._waiting[daemon]:
            if holding.try_admit(self._team, now):
                self.admitted_at[index] = now
            elif now - since < self._settings.answer_wait_seconds:
                still_waiting.append((index, since))
        self._waiting[daemon] = still_waiting
        if must_return or (still_waiting and now >= holding.backoff_until):
            self._send_renewal(daemon, now)
        elif still_waiting:
            self._waiting[daemon] = []

    def _start_new_keeper(self, now: float) -> None:
        self._allocator = TeamAllocator(self._settings, 0.0, now)
        self._is_collecting = True
        end = now + self._settings.slice_term_seconds + 1.0
        self._schedule(end, lambda later: self._start_granting())

    def _start_granting(self) -> None:
        self._is_collecting = False


def worst_excess(team: Team, times: list[float]) -> float:
    """Return the largest excess of any window over rate times its length plus burst.

    Args:
        team: The team with its rate and burst.
        times: When requests were admitted, in order.

    Returns:
        The excess in requests; at most 0 if no window exceeds the limit.
    """
    # The maximum over all i <= j of (j - i + 1) - rate * (t_j - t_i) - burst.
    worst = float("-inf")
    best_start = float("-inf")
    for index, at in enumerate(times):
        best_start = max(best_start, team.rate * at - index)
        worst = max(worst, index + 1 - team.rate * at + best_start - team.burst)
    return worst


def make_arrivals(
    pattern: str, rate: float, daemons: int, random_source: random.Random
) -> list[Arrival]:
    """Draw Poisson arrivals of one team's requests.

    Args:
        pattern: `even`, `skewed` (all at one daemon) or `moving` (all at one daemon,
            another one every five seconds).
        rate: Requests a second.
        daemons: Number of daemons.
        random_source: Source of the random numbers.

    Returns:
        The arrivals in order.
    """
    arrivals = []
    now = 0.0
    while (now := now + random_source.expovariate(rate)) < _RUN_SECONDS:
        daemon = random_source.randrange(daemons)
        if pattern == "skewed":
            daemon = 0
        elif pattern == "moving":
            daemon = int(now / 5.0) % daemons
        arrivals.append(Arrival(now, daemon))
    return arrivals


@dataclass(frozen=True, slots=True)
class Case:
    """A team's limit and how its requests arrive."""

    name: str
    pattern: str
    rate: float
    burst: int
    load: float
    """Requests sent, as a multiple of the rate."""
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


def wrongful_share(admitted: list[bool], ideal_admitted: list[bool]) -> float:
    """Return the refusals beyond the ideal bucket's, as a share of its admissions."""
    return max(0, sum(ideal_admitted) - sum(admitted)) / max(1, sum(ideal_admitted))


def run_case(case: Case, daemons: int, seed: int) -> None:
    """Run one case under each policy and print its figures."""
    random_source = random.Random(seed)
    team = Team("team", case.rate, case.burst)
    sent_rate = case.rate * case.load
    arrivals = make_arrivals(case.pattern, sent_rate, daemons, random_source)
    ideal_admitted = ideal(team, arrivals)
    model = KeeperModel(team, daemons, LimitSettings(), case.is_keeper_lost)
    keeper_admitted = model.run(arrivals)
    static_admitted = static_split(team, arrivals, daemons)
    excess = worst_excess(team, sorted(model.admitted_at.values()))
    name = f"wrongful refusals, {case.name}"
    emit(
        Measurement(
            name,
            "keeper",
            100 * wrongful_share(keeper_admitted, ideal_admitted),
            "%",
            seed,
        )
    )
    emit(
        Measurement(
            name,
            "static",
            100 * wrongful_share(static_admitted, ideal_admitted),
            "%",
            seed,
        )
    )
    emit(Measurement(f"excess, {case.name}", "keeper", excess, "requests", seed))
    message_rate = model.messages / _RUN_SECONDS / daemons
    emit(
        Measurement(
            f"messages, {case.name}", "keeper", message_rate, "1/s/daemon", seed
        )
    )


def main(daemons: int = 20, seed: int = 1) -> None:
    """Run all cases."""
    for case in CASES:
        run_case(case, daemons, seed)


if __name__ == "__main__":
    main()
