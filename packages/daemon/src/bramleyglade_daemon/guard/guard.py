"""The guard: accepts attempts for the targets of its VM."""

from __future__ import annotations

import logging
import statistics
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.attempt_table import AttemptTable
from bramleyglade_core.decisions.target_runs import TargetRuns
from bramleyglade_core.model.announcements import TargetRun
from bramleyglade_core.model.errors import AttemptError, ErrorCode, FleetError
from bramleyglade_core.model.identifiers import TargetId
from bramleyglade_daemon.guard.exchange import QueuedAttempt
from bramleyglade_daemon.guard.outcomes import OutcomeResponder
from bramleyglade_daemon.guard.target_runner import TargetRunner
from bramleyglade_daemon.streams import FrontStream, GuardStream, make_local_streams

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from bramleyglade_core.model.announcements import (
        TargetAnnouncement,
        TargetReport,
    )
    from bramleyglade_core.model.exchange import AttemptOffered
    from bramleyglade_core.model.peer_messages import TargetViewTold
    from bramleyglade_daemon.fleet.context import Context

_WATCH_PERIOD_SECONDS = 0.5
"""Time between two checks of the targets."""

_DUE_CHECK_PERIOD_SECONDS = 0.1
"""Time between two checks for targets that are due for a request; short compared with
the time after which a target is due (`health.due_seconds`, 1.4 s by default)."""

_LOG = logging.getLogger(__name__)


class Guard:
    """The targets of this VM, and the attempts offered for them."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self.attempts = AttemptTable(context.settings.guard, context.clock)
        self.outcomes = OutcomeResponder(self.attempts)
        self.runner_by_name: dict[str, TargetRunner] = {}
        self._withdrawn: set[TargetRunner] = set()
        """Runners of targets that were withdrawn while they worked on requests."""
        self._renewed_at_by_name: dict[str, float] = {}
        self._runs = TargetRuns(context.runs)
        self.on_changed: Callable[[], Awaitable[None]] | None = None
        """Called when the set of targets, or one of them, has changed."""
        self.on_view_changed: Callable[[TargetViewTold], Awaitable[None]] | None = None
        """Called with a target's view when all fronts should get it at once."""
        self.keep_record: Callable[[], Awaitable[bool]] = _keep_nothing
        """Stores what this daemon has published where a restart can't lose it."""

    @property
    def busy(self) -> int:
        """Attempts that run or are queued, those of withdrawn targets included."""
        runners = (*self.runner_by_name.values(), *self._withdrawn)
        return sum(runner.busy for runner in runners)

    @property
    def is_executing(self) -> bool:
        """Whether a target executes a request, those of withdrawn targets included."""
        runners = (*self.runner_by_name.values(), *self._withdrawn)
        return any(runner.running for runner in runners)

    def views(self) -> tuple[TargetViewTold, ...]:
        """Return load and health of all targets."""
        return tuple(runner.view() for runner in self.runner_by_name.values())

    def view_of(self, name: str) -> TargetViewTold | None:
        """Return load and health of one target; None if it is not on this VM."""
        runner = self.runner_by_name.get(name)
        return None if runner is None else runner.view()

    async def accept(self, offered: AttemptOffered, stream: GuardStream) -> None:
        """Accept an attempt; a refusal goes to the stream.

        Args:
            offered: The attempt.
            stream: The guard's end of its streams.
        """
        now = self._context.clock()
        objective = offered.objective_seconds
        item = QueuedAttempt(
            offered,
            stream,
            deadline=now + offered.deadline_seconds,
            objective_at=None if objective is None else now + objective,
        )
        if self.attempts.is_full:
            detail = "the table of attempts is full"
            await _try_refuse(item, AttemptError(ErrorCode.DAEMON_FULL, detail))
            return
        if not self.attempts.accept(offered.attempt):
            _LOG.warning("AttemptRepeated", extra={"attempt": str(offered.attempt)})
            return
        try:
            await self._find_runner(offered).submit(item)
        except AttemptError as error:
            self.attempts.fence(offered.attempt)
            await _try_refuse(item, error)

    async def announce(self, announced: TargetAnnouncement) -> None:
        """Apply a target's announcement or its renewal."""
        run = run_of(announced)
        if run.is_leaving:
            self._runs.leave(run)
        elif self._runs.is_leaving(run):
            _LOG.info("LeavingTargetAnnounced", extra={"target": announced.name})
            return
        else:
            self._runs.note(run)
        self._renewed_at_by_name[announced.name] = self._context.clock()
        runner = self.runner_by_name.get(announced.name)
        if runner is None:
            runner = TargetRunner(
                announced, self._context, self.attempts, self.outcomes
            )
            runner.on_view_changed = self.on_view_changed
            runner.on_leaving = self._note_leaving
            self.runner_by_name[announced.name] = runner
        elif runner.announced == announced:
            return
        elif _is_restart(runner.announced, announced):
            await runner.restart(announced)
        else:
            runner.announced = announced
        if announced.is_draining:
            await runner.close()
        await self._publish_change("TargetAnnounced", announced.name)

    async def handle_report(self, report: TargetReport) -> bool:
        """Apply a target's report, unless it is outdated, and withdraw all others.

        Returns:
            Whether the report may be acknowledged.
        """
        if report.run.is_leaving:
            return await self.leave(report.run)
        if not self._context.is_history_known:
            _LOG.info("ReportPostponed", extra=_report_fields(report))
            return False
        earlier = self._runs.find(report.run)
        if not self._runs.accept(report.run, report.sequence):
            _LOG.info("ReportOutdated", extra=_report_fields(report))
            return True
        name = report.announced.name
        runner = self.runner_by_name.get(name)
        if runner is None or runner.announced != report.announced:
            _LOG.info("ReportApplied", extra=_report_fields(report))
        is_new_run = earlier is not None and earlier.is_leaving
        for other in list(self.runner_by_name):
            if other != name or is_new_run:
                await self.withdraw(other)
        await self.register(report.announced, report.cold_seconds)
        return True

    async def register(
        self, announced: TargetAnnouncement, cold_seconds: float
    ) -> None:
        """Announce a target and note for how long it is cold."""
        await self.announce(announced)
        runner = self.runner_by_name.get(announced.name)
        if runner is not None:
            runner.cold.note_cold(self._context.clock() + cold_seconds)

    async def depart(self, run: TargetRun) -> bool:
        """Withdraw a target that reports its stop, unless a newer run is known.

        Returns:
            Whether the report may be acknowledged.
        """
        extra = {
            "target": run.name,
            "started_at": run.started_at,
            "is_known": run.name in self.runner_by_name,
        }
        _LOG.info("TargetDeparted", extra=extra)
        is_kept = await self.leave(run)
        if self._runs.is_leaving(run):
            await self.withdraw(run.name)
        return is_kept

    async def leave(self, run: TargetRun) -> bool:
        """Send no more work to a run of a target, and keep that for later daemons.

        Args:
            run: The run; without a start time, the newest known one of the target.

        Returns:
            Whether a restart of this daemon can't lose it any more. If not, the
            leaving must not be acknowledged; work has stopped all the same.
        """
        if not await self._stop_if_leaving(run):
            return True
        if run.name in self._renewed_at_by_name:
            self._renewed_at_by_name[run.name] = self._context.clock()
        return await self.keep_record()

    async def restore(self, runs: Iterable[TargetRun]) -> None:
        """Learn which runs an earlier daemon of this VM knew to be leaving."""
        for run in runs:
            if run.is_leaving:
                await self._stop_if_leaving(run)
            else:
                self._runs.note(run)
        await self._publish()

    async def drain(self, name: str) -> None:
        """Stop sending new work to a target."""
        runner = self.runner_by_name.get(name)
        if runner is not None:
            await self._note_leaving(runner.announced)

    async def withdraw(self, name: str) -> bool:
        """Remove a target; return False if there is none of this name."""
        runner = self.runner_by_name.pop(name, None)
        self._renewed_at_by_name.pop(name, None)
        if runner is None:
            return False
        await runner.close()
        self._withdrawn.add(runner)
        await self._publish_change("TargetWithdrawn", name)
        return True

    async def remove(self, name: str) -> bool:
        """Remove a target at its own request, which it sends in order.

        Returns:
            False if there is no target of this name.
        """
        self._runs.forget((name, ""))  # A later run can't be told apart.
        return await self.withdraw(name)

    async def watch_targets(self) -> None:
        """Check for expired targets and overdue answers, forever."""
        while True:
            await curio.sleep(_WATCH_PERIOD_SECONDS)
            now = self._context.clock()
            oldest = now - self._context.settings.guard.announcement_seconds
            for name, renewed_at in list(self._renewed_at_by_name.items()):
                if renewed_at < oldest:
                    await self.withdraw(name)
            self._withdrawn = {runner for runner in self._withdrawn if runner.busy}
            for runner in list(self.runner_by_name.values()):
                runner.health.service_log_latency = self._service_log_latency(runner)
                runner.check_overdue()
                runner.log_idle()
                await runner.publish_latency()
            self.refresh_views()

    async def watch_due(self) -> None:
        """Publish to the fronts which targets are due for a request, forever."""
        while True:
            await curio.sleep(_DUE_CHECK_PERIOD_SECONDS)
            for runner in list(self.runner_by_name.values()):
                await runner.publish_due()

    def refresh_views(self) -> None:
        """Pass the load and health of all targets to the front in this process."""
        name = self._context.settings.name
        self._context.update_views(name, self.views())

    async def close(self) -> None:
        """Refuse all queued attempts and close idle connections."""
        for runner in self.runner_by_name.values():
            await runner.close()

    def _find_runner(self, offered: AttemptOffered) -> TargetRunner:
        if self._context.is_leaving:
            raise AttemptError(
                ErrorCode.DAEMON_STOPPING, "the daemon of this VM is stopping"
            )
        if not self._context.is_zone_in_use:
            raise AttemptError(ErrorCode.ZONE_OUT, "this zone is not in use")
        runner = self.runner_by_name.get(offered.target)
        if runner is None or runner.announced.service != offered.service:
            raise AttemptError(ErrorCode.TARGET_UNKNOWN, "no such target on this VM")
        return runner

    def _service_log_latency(self, runner: TargetRunner) -> float | None:
        service = runner.announced.service
        view_by_target = self._context.picker.view_by_target
        others = []
        for candidate in self._context.directory.candidates(service):
            view = view_by_target.get(candidate.target)
            is_own = candidate.target.daemon == self._context.settings.name
            if not is_own and view is not None and view.log_latency is not None:
                others.append(view.log_latency)
        for other in self.runner_by_name.values():
            latency = other.health.detector.log_latency
            if other is not runner and latency is not None:
                if other.announced.service == service:
                    others.append(latency)
        return statistics.median(others) if others else None

    async def _note_leaving(self, announced: TargetAnnouncement) -> None:
        await self._stop_if_leaving(run_of(announced))

    async def _stop_if_leaving(self, run: TargetRun) -> bool:
        """Stop work for a leaving run, and publish that, unless a newer one is known.

        Returns:
            False if a newer run of the target is known.
        """
        earlier = self._runs.find(run)
        if not self._runs.leave(run):
            return False
        if self._runs.find(run) != earlier:
            await self._stop_work(run)
        return True

    async def _stop_work(self, run: TargetRun) -> None:
        runner = self.runner_by_name.get(run.name)
        if runner is not None and runner.announced.instance == run.instance:
            runner.announced = replace(runner.announced, is_draining=True)
            await runner.close()
        await self._publish_change("TargetLeaving", run.name)

    async def _publish_change(self, event: str, name: str) -> None:
        _LOG.info(event, extra={"target": name})
        await self._publish()

    async def _publish(self) -> None:
        """Publish the targets and their runs, if they have changed."""
        before = (self._context.runs, self._context.targets)
        self._context.runs = self._runs.known
        runners = self.runner_by_name.values()
        self._context.targets = tuple(runner.announced for runner in runners)
        is_changed = before != (self._context.runs, self._context.targets)
        if is_changed and self.on_changed is not None:
            await self.on_changed()


class LocalGuardPort:
    """Offers attempts to the guard in this process by direct calls."""

    def __init__(self, guard: Guard, window_bytes: int) -> None:
        self._guard = guard
        self._window = window_bytes

    @property
    def is_executing(self) -> bool:
        """Whether a target on this VM executes a request."""
        return self._guard.is_executing

    async def offer(self, offered: AttemptOffered) -> FrontStream:
        """Offer an attempt."""
        front, guard_end = make_local_streams(self._window)
        await self._guard.accept(offered, guard_end)
        return front

    def refresh_views(self) -> None:
        """Pass the load and health of all targets to the front in this process."""
        self._guard.refresh_views()

    async def ask_outcome(self, offered: AttemptOffered) -> FrontStream:
        """Ask for the outcome of an attempt."""
        front, guard_end = make_local_streams(self._window)
        await curio.spawn(
            self._guard.outcomes.send_outcome, offered, guard_end, daemon=True
        )
        return front


def target_id(context: Context, runner: TargetRunner) -> TargetId:
    """Return the fleet-wide identifier of a target of this VM."""
    return TargetId(context.settings.name, runner.announced.name)


def _is_restart(previous: TargetAnnouncement, announced: TargetAnnouncement) -> bool:
    is_new_instance = previous.instance != announced.instance
    return is_new_instance or previous.address != announced.address


def run_of(announced: TargetAnnouncement) -> TargetRun:
    """Return the run that an announcement is of; its start is not known."""
    return TargetRun(
        announced.name, announced.instance, is_leaving=announced.is_draining
    )


def _report_fields(report: TargetReport) -> dict[str, object]:
    return {
        "target": report.announced.name,
        "started_at": report.started_at,
        "sequence": report.sequence,
        "is_draining": report.announced.is_draining,
    }


async def _keep_nothing() -> bool:
    return True


async def _try_refuse(item: QueuedAttempt, error: AttemptError) -> None:
    try:
        await item.refuse(error.code, error.detail, error.verdict, error.retry_after)
    except FleetError:
        _LOG.debug("FrontUnreachable", extra={"why": error.detail})
