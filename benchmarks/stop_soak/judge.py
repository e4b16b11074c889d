"""Finds requests that were lost around planned stops, as callers and targets see it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from benchmarks.stop_soak.callers import Call

if TYPE_CHECKING:
    from collections.abc import Iterator

GRACE_SECONDS = 6.0
_LAST_SIXTH_SECONDS = 5.0
"""Time after SIGTERM at which the last sixth of the grace begins."""

_LATE_SECONDS = 3.0
"""Requests that are sent later than this after SIGTERM are never excused."""

_CROSSING_SECONDS = 0.2
"""Time in which a request may cross the close of its connection."""

_NEAR_SECONDS = 7.0
"""Time after SIGTERM in which an answer is judged as one around a stop."""

_KILL_SECONDS = 3.0
"""Time after a kill in which losses are excused."""

_SLACK_SECONDS = 0.05


@dataclass(frozen=True, slots=True)
class TargetRun:
    """One run of a request at a target."""

    target: str
    began_at: float
    ends_at: float


@dataclass(frozen=True, slots=True)
class SignalTimes:
    """When daemons got which signals."""

    stops_by_daemon: dict[int, list[float]] = field(default_factory=dict)
    """Times of the first SIGTERM of each process."""
    kills: list[float] = field(default_factory=list)
    overdue: list[float] = field(default_factory=list)
    """Times of SIGKILL after a grace that was too short."""


@dataclass(frozen=True, slots=True)
class Case:
    """A request that breaks a rule, or comes near."""

    rule: str
    call: Call
    runs: tuple[TargetRun, ...]
    stopped_at: float | None
    """The SIGTERM of the caller's daemon near its end."""

    @property
    def is_counted(self) -> bool:
        """Whether it breaks a rule; the others are only worth a look."""
        return self.rule[0].isupper()

    def __str__(self) -> str:
        """Describe it with times since SIGTERM, or since the request was sent."""
        call = self.call
        origin = self.stopped_at or call.sent_at
        since = "SIGTERM" if self.stopped_at else "sending"
        sent, ended = call.sent_at - origin, call.ended_at - origin
        runs = [
            f"{run.target} {run.began_at - origin:.3f} to {run.ends_at - origin:.3f}"
            for run in self.runs
        ]
        return (
            f"{self.rule}: {call.request_id} {call.kind.method} {call.kind.path} "
            f"at vm-{call.daemon}: {call.status or 'no answer'}, {call.code}; seconds "
            f"since {since}: sent {sent:.3f}, ended {ended:.3f}, runs {runs}"
        )


def judge(
    calls: list[Call], runs_by_request: dict[str, list[TargetRun]], times: SignalTimes
) -> list[Case]:
    """Return the cases of a play."""
    cases = []
    for call in calls:
        runs = tuple(runs_by_request.get(call.request_id, ()))
        stops = times.stops_by_daemon.get(call.daemon, [])
        near = [at for at in stops if at <= call.ended_at <= at + _NEAR_SECONDS]
        stopped_at = min(near, default=None)
        rules = [*_broken_promises(call, runs)]
        if not _is_excused(call, runs, stopped_at, times):
            rules += _losses(call, runs, stopped_at)
        cases += [Case(rule, call, runs, stopped_at) for rule in rules]
    return cases


def _broken_promises(call: Call, runs: tuple[TargetRun, ...]) -> Iterator[str]:
    is_idempotent = call.kind.method == "GET"
    if call.code == "wrong":
        yield "MIXED"
    if len(runs) > 1 and not is_idempotent:
        yield "TWICE"
    if call.status in (429, 503) and runs:
        yield "refused after a run" if is_idempotent else "REFUSED"


def _losses(
    call: Call, runs: tuple[TargetRun, ...], stopped_at: float | None
) -> Iterator[str]:
    seconds = call.ended_at - call.sent_at
    is_over = seconds >= call.kind.timeout_seconds - _SLACK_SECONDS
    if not call.status and is_over:
        yield "unanswered at the timeout"
    elif not call.status and runs:
        yield "LOST (passed on)"
    elif not call.status and seconds > _CROSSING_SECONDS:
        yield "LOST (second of a pair)" if call.is_second else "LOST (read)"
    elif call.status in (502, 504) and call.code != "ok" and runs and not is_over:
        at = call.ended_at
        if not any(run.began_at < at < run.ends_at - _SLACK_SECONDS for run in runs):
            yield "failed after a run"
        else:
            yield "failed in a run" if stopped_at is None else "LOST (replaced)"


def _is_excused(
    call: Call,
    runs: tuple[TargetRun, ...],
    stopped_at: float | None,
    times: SignalTimes,
) -> bool:
    """Return whether the request was not sent, or a kill or the grace's end is near."""
    begins_at = call.sent_at - _KILL_SECONDS
    if not call.sent_at or any(begins_at <= at <= call.ended_at for at in times.kills):
        return True
    if stopped_at is None or call.sent_at > stopped_at + _LATE_SECONDS:
        return False
    return any(run.ends_at > stopped_at + _LAST_SIXTH_SECONDS for run in runs)
