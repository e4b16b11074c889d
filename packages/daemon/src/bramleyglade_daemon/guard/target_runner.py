"""The scheduler of one target: its queue, its slots and its health."""

from __future__ import annotations

import logging
import math
from enum import Enum
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.cold_rate_limiter import ColdRateLimiter
from bramleyglade_core.decisions.ejection import HealthPhase
from bramleyglade_core.decisions.failure_filter import FailureFilter
from bramleyglade_core.decisions.idle_tracker import IdleTracker
from bramleyglade_core.decisions.latency_estimator import LatencyEstimator
from bramleyglade_core.decisions.objective_queue import ObjectiveQueue
from bramleyglade_core.decisions.ramp import ConcurrencyRamp
from bramleyglade_core.decisions.request_rate import RequestRateLimiter
from bramleyglade_core.decisions.service_loads import QUEUE_RANKS, rank_index
from bramleyglade_core.model.errors import AttemptError, ErrorCode, FleetError
from bramleyglade_core.model.peer_messages import TargetViewTold
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.guard.target_health import TargetHealth
from bramleyglade_daemon.guard.target_worker import TargetWorker

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bramleyglade_adapters.telemetry import Hop
    from bramleyglade_core.decisions.attempt_table import AttemptTable
    from bramleyglade_core.model.announcements import TargetAnnouncement
    from bramleyglade_core.model.exchange import AttemptOffered
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.guard.exchange import AnswerRecorder, QueuedAttempt
    from bramleyglade_daemon.guard.outcomes import OutcomeResponder

_SERVICE_TIME_WEIGHT = 0.1
"""Weight of a new exchange in the smoothed service time."""

_WAIT_MARGIN = 1.3
"""Factor on the expected time until an answer, as service times vary. With a log-normal
spread of 0.5, as in typical deployments, seven in ten answers come within it."""

_MIN_SERVICE_TIME_SHARE = 1.0
"""Least time before the deadline at which an attempt is still started, as a share of
the usual service time."""

_FAILURE_PUBLISH_INTERVAL_SECONDS = 0.2
"""Least time between two failure updates to all fronts. The first failure changes the
risk most, so those right after it need no update."""

_PUBLISHED_LATENCY_CHANGE = math.log(1.8)
"""Change of a target's log latency that is published to all fronts. The smoothed
latency of a target in a steady state varies by less."""

_CALL_RANK = -1
"""Queue rank of calls of executing requests: before all new work. If such a call is
rejected, the work that its parent request has done so far is lost."""

_MAX_CONCURRENT_TRIALS = 1
"""Concurrency limit of a target on trial."""

_LOGGED_IDLE_SECONDS = 2.0
"""Time without a request after which a target is logged as idle. Users count the
targets in use over windows of this length."""

_LOG = logging.getLogger(__name__)


class _Due(Enum):
    """Which kind of request a target is due to get next."""

    NO = "no"
    FOR_IDEMPOTENT = "repeatable"
    """The next idempotent request."""
    FOR_ANY = "any"


class TargetRunner:
    """Queues and runs all attempts at a target; nothing else sends it work."""

    def __init__(
        self,
        announced: TargetAnnouncement,
        context: Context,
        attempts: AttemptTable,
        outcomes: OutcomeResponder,
    ) -> None:
        self.announced = announced
        self.settings = context.settings.guard
        self.attempts = attempts
        self.clock = context.clock
        self.dialect = context.dialect
        self.health = TargetHealth(context.settings.health)
        self.ramp = ConcurrencyRamp(announced.slots)
        self.cold = ColdRateLimiter()
        self.rate = RequestRateLimiter()
        self.failures = FailureFilter()
        self.latency = LatencyEstimator()
        self._published_log_latency: float | None = None
        self._context = context
        self._outcomes = outcomes
        self._queue: ObjectiveQueue[QueuedAttempt] = ObjectiveQueue(
            context.settings.guard.queue_per_target
        )
        self._is_wake_scheduled = False
        self._running: set[TargetWorker] = set()
        self._idle_workers: list[TargetWorker] = []
        self._route_by_worker: dict[TargetWorker, str] = {}
        """Routes of the attempts that were sent to the target and have not ended."""
        self._seconds_per_exchange: float | None = None
        self._overdue_level_by_worker: dict[TargetWorker, int] = {}
        """An exchange counts as overdue again beyond 2**level typical latencies."""
        self.last_traffic_at = -math.inf
        self.idle = IdleTracker(context.settings.health, context.clock())
        self._published_due = _Due.NO
        self._is_idle_logged = False
        self.reported_instance = ""
        self.on_view_changed: Callable[[TargetViewTold], Awaitable[None]] | None = None
        """Called with the target's view when all fronts should get it at once."""
        self.on_leaving: Callable[[TargetAnnouncement], Awaitable[None]] | None = None
        """Called when the target has stated in an answer that it is leaving."""
        self._has_failed = False
        self._failure_published_at = -math.inf
        self.is_closed = False
        """Whether no further attempt may start."""

    @property
    def busy(self) -> int:
        """Requests that run or are queued."""
        return len(self._running) + len(self._queue)

    @property
    def running(self) -> int:
        """Requests that run."""
        return len(self._running)

    def view(self) -> TargetViewTold:
        """Return the target's load and health, for the fronts."""
        phase = self.health.phase(self.clock())
        due = self._due()
        return TargetViewTold(
            name=self.announced.name,
            service=self.announced.service,
            limit=self._limit(),
            busy=self.busy,
            is_ejected=phase is HealthPhase.EJECTED,
            is_trial=phase is HealthPhase.TRIAL,
            log_latency=self._log_latency(),
            risk=self.failures.risk(self.clock()),
            calls=self._context.retry_budgets.calls(),
            is_due=due is not _Due.NO,
            is_overdue=due is _Due.FOR_ANY,
            wait_seconds=self._rate_wait(ahead=len(self._queue)),
            queued=self._queued(),
            run_calls=self._context.run_calls.told(),
        )

    def _queued(self) -> tuple[int, ...]:
        """Return the number of queued attempts by rank, for views."""
        if not len(self._queue):
            return ()
        counts = [0] * QUEUE_RANKS
        for rank, count in self._queue.count_by_rank().items():
            counts[0 if rank == _CALL_RANK else rank_index(rank)] += count
        return tuple(counts)

    def start_hop(self, item: QueuedAttempt) -> Hop:
        """Start the trace span of an exchange with the target."""
        telemetry = self._context.telemetry
        return telemetry.start_hop("target", item.offered.traceparent)

    async def submit(self, item: QueuedAttempt) -> None:
        """Queue an attempt, or refuse it at once if it can't be served in time.

        Raises:
            AttemptError: With the verdict `not-run`.
        """
        self._check_phase(item)
        self._check_front_conditions(item)
        self._check_wait(item)
        offered = item.offered
        # A late answer to a call still completes its parent request, so a call is
        # not put last when it misses its objective.
        objective_at = None if offered.is_call else item.objective_at
        evicted = self._queue.push(offered.team, item, _rank(offered), objective_at)
        if evicted is item:
            raise AttemptError(
                ErrorCode.QUEUE_FULL, "the target's queue is full", retry_after=1.0
            )
        if evicted is not None:
            await self._refuse(
                evicted, ErrorCode.QUEUE_FULL, "evicted from the full queue"
            )
        item.stream.on_abandoned = lambda: self._abandon(item)
        await self.start_work()
        if self._queue.holds(offered.team, item):
            await curio.spawn(self._expire, item, daemon=True)

    async def next_item(self, worker: TargetWorker) -> QueuedAttempt | None:
        """Wait for the next attempt that a worker should run.

        Args:
            worker: The worker that has become idle.

        Returns:
            The attempt, or None if the worker's connection is no longer needed.
        """
        item = await self._take_item()
        if item is not None:
            self._running.add(worker)
            await self.start_work()
            return item
        self._idle_workers.append(worker)
        try:
            async with curio.timeout_after(self.settings.idle_close_seconds):
                return await worker.mailbox.get()
        except curio.TaskTimeout:
            if worker in self._idle_workers:
                self._idle_workers.remove(worker)
                return None
            return await worker.mailbox.get()

    def check_start(self, item: QueuedAttempt) -> None:
        """Check what may have changed since an attempt was accepted.

        Raises:
            AttemptError: If the target may no longer be sent the attempt.
        """
        if self.is_closed:
            raise AttemptError(
                ErrorCode.TARGET_DRAINING, "the target left before the start"
            )
        if not self._context.is_zone_in_use:
            raise AttemptError(
                ErrorCode.ZONE_OUT, "the zone was taken out of use before the start"
            )
        if self.announced.service != item.offered.service:
            raise AttemptError(
                ErrorCode.TARGET_UNKNOWN, "the target belongs to another service now"
            )

    def note_finished(self, worker: TargetWorker) -> None:
        """Free the slot of a worker."""
        self._note_run_ended(worker)
        self._running.discard(worker)
        self._overdue_level_by_worker.pop(worker, None)

    def note_stopped(self, worker: TargetWorker) -> None:
        """Remove a worker whose task ends."""
        self._note_run_ended(worker)
        self._running.discard(worker)
        if worker in self._idle_workers:
            self._idle_workers.remove(worker)

    def note_run(self, worker: TargetWorker, offered: AttemptOffered) -> None:
        """Count an attempt that is sent to the target, to learn its calls."""
        self._context.retry_budgets.note_run(offered.is_idempotent)
        self._route_by_worker[worker] = offered.route
        self._context.run_calls.note_run(offered.route)

    def _note_run_ended(self, worker: TargetWorker) -> None:
        route = self._route_by_worker.pop(worker, None)
        if route is not None:
            self._context.run_calls.note_run_ended(route)

    def note_head(self, seconds: float, is_error: bool) -> None:
        """Record the head of an answer from the target.

        Args:
            seconds: Time from the first byte sent to the answer's head.
            is_error: Whether the status reports a failure of the target.
        """
        now = self.clock()
        self.last_traffic_at = now
        self.failures.note(is_error, now)
        self.idle.note_outcome(not is_error)
        if is_error:
            self._has_failed = True
            self.health.note_failure(now)
            return
        self.latency.note(seconds)
        self.health.note_answer(seconds, now)
        self.ramp.note_latency(seconds)

    def note_shed(self, is_other_instance: bool) -> None:
        """Record that the target refused a request without running it.

        Args:
            is_other_instance: Whether another instance of the target answered.
        """
        if is_other_instance:
            extra = {"target": self.announced.name}
            _LOG.warning("TargetReplaced", extra=extra)
        self._note_failed()

    def note_exchange_failure(
        self, code: ErrorCode, has_started: bool, head_seconds: float | None
    ) -> None:
        """Record that an exchange failed, if the target is the cause.

        Args:
            code: Why it failed.
            has_started: Whether bytes were sent to the target.
            head_seconds: Time to the answer's head, in seconds; None if none came.
        """
        if code is ErrorCode.DEADLINE_EXCEEDED and head_seconds is not None:
            return  # A body that takes too long is not a failure of the target.
        if not has_started and code is not ErrorCode.TARGET_REFUSED:
            return
        self._note_failed()

    def _note_failed(self) -> None:
        now = self.clock()
        self._has_failed = True
        self.failures.note(True, now)
        self.idle.note_outcome(False)
        self.health.note_failure(now)
        self.ramp.back_off()

    async def note_leaving(self) -> None:
        """Record that the target has stated in an answer that it is leaving."""
        if not self.is_closed and self.on_leaving is not None:
            await self.on_leaving(self.announced)

    async def note_rate(self, per_second: float | None) -> None:
        """Apply the rate limit that an answer of the target names, and publish it.

        Args:
            per_second: Requests per second; None if the answer names no limit.
        """
        if not self.rate.note_answer(per_second, self.clock()):
            return
        extra = {"target": self.announced.name, "per_second": per_second}
        _LOG.info("TargetRateChanged", extra=extra)
        if self.on_view_changed is not None:
            await self.on_view_changed(self.view())
        await self.start_work()

    async def publish_failure(self) -> None:
        """Publish the target's view if the target has just failed."""
        now = self.clock()
        if (
            not self._has_failed
            or now - self._failure_published_at < _FAILURE_PUBLISH_INTERVAL_SECONDS
        ):
            return
        self._has_failed = False
        self._failure_published_at = now
        if self.on_view_changed is not None:
            await self.on_view_changed(self.view())

    async def publish_due(self) -> None:
        """Publish the target's view if what the target is due for has changed."""
        if self.announced.is_draining or not self._context.is_zone_in_use:
            return
        now = self.clock()
        if self._published_due is _Due.NO and not self.idle.is_due(now):
            return
        due = self._due()
        if due is self._published_due:
            return
        self._published_due = due
        if self.on_view_changed is not None:
            await self.on_view_changed(self.view())

    def _due(self) -> _Due:
        now = self.clock()
        if not self.idle.is_due(now) or not self._is_free:
            return _Due.NO
        is_overdue = self.idle.is_overdue(now)
        return _Due.FOR_ANY if is_overdue else _Due.FOR_IDEMPOTENT

    async def publish_latency(self) -> None:
        """Publish the target's view if the target got much slower or faster."""
        published, current = self._published_log_latency, self._log_latency()
        if current is None:
            return
        if (
            published is not None
            and abs(current - published) < _PUBLISHED_LATENCY_CHANGE
        ):
            return
        self._published_log_latency = current
        if published is not None and self.on_view_changed is not None:
            await self.on_view_changed(self.view())

    def _log_latency(self) -> float | None:
        now = self.clock()
        return self.latency.log_latency(
            now - worker.sent_at
            for worker in self._running
            if worker.sent_at is not None and worker.head_seconds is None
        )

    def note_outcome(self, item: QueuedAttempt, code: str, seconds: float) -> None:
        """Count a finished exchange and update the usual service time."""
        self._context.telemetry.note_attempt(item.offered.service, code, seconds)
        if code != "ok":
            return  # Failures are often immediate and don't show the service time.
        if self._seconds_per_exchange is None:
            self._seconds_per_exchange = seconds
        change = seconds - self._seconds_per_exchange
        self._seconds_per_exchange += _SERVICE_TIME_WEIGHT * change

    async def keep_answer(self, item: QueuedAttempt, recorder: AnswerRecorder) -> None:
        """Keep the whole answer, which is replayed if the link to the front is lost."""
        attempt = item.offered.attempt
        self.attempts.keep_answer(attempt, recorder.answer, recorder.size)
        await self._outcomes.note_settled(attempt)

    async def note_not_run(self, item: QueuedAttempt) -> None:
        """Record that the target reported an attempt as not run."""
        attempt = item.offered.attempt
        self.attempts.mark_not_run(attempt)
        await self._outcomes.note_settled(attempt)

    async def note_lost_answer(self, item: QueuedAttempt) -> None:
        """Record that a started attempt has ended without a whole answer."""
        attempt = item.offered.attempt
        self.attempts.mark_broken(attempt)
        await self._outcomes.note_settled(attempt)

    def check_overdue(self) -> None:
        """Count long overdue exchanges as evidence that the target is slow."""
        typical = self.health.service_log_latency
        if typical is None:
            typical = self.health.detector.log_latency
        if typical is None:
            return
        now = self.clock()
        for worker in self._running:
            if worker.sent_at is None or worker.head_seconds is not None:
                continue
            age = now - worker.sent_at
            level = self._overdue_level_by_worker.get(worker, 2)
            if age > math.exp(typical) * 2**level:
                self._overdue_level_by_worker[worker] = level + 1
                self.health.detector.note_overdue(age, typical)

    def log_idle(self) -> None:
        """Log once that the target is idle, with the state that may explain it."""
        now = self.clock()
        idle = self.idle.idle_seconds(now)
        if idle < _LOGGED_IDLE_SECONDS or self._is_idle_logged:
            return
        if self.announced.is_draining or not self._context.is_zone_in_use:
            return
        self._is_idle_logged = True
        extra = {
            "target": self.announced.name,
            "service": self.announced.service,
            "seconds": round(idle, 3),
            "phase": self.health.phase(now).value,
            "risk": round(self.failures.risk(now), 3),
            "log_latency": self._log_latency(),
            "service_log_latency": self.health.service_log_latency,
            "running": self.running,
            "limit": self._limit(),
        }
        _LOG.info("TargetIdle", extra=extra)
        self._context.telemetry.note_event("TargetIdle")

    def _note_sent(self) -> None:
        now = self.clock()
        self.cold.note_sent(now)
        self.rate.note_sent(now)
        idle = self.idle.note_sent(now)
        self._context.telemetry.note_idle(self.announced.service, idle)
        if self._is_idle_logged:
            self._is_idle_logged = False
            extra = {"target": self.announced.name, "seconds": round(idle, 3)}
            _LOG.info("TargetUsedAgain", extra=extra)

    async def eject(self) -> None:
        """Refuse all queued attempts, so that fronts try them elsewhere."""
        for item in self._queue.clear():
            await self._refuse(item, ErrorCode.TARGET_EJECTED, "the target is ejected")

    async def restart(self, announced: TargetAnnouncement) -> None:
        """Reset the estimates, as a new instance of the target starts cold."""
        self.announced = announced
        self.is_closed = False
        self.ramp = ConcurrencyRamp(announced.slots)
        self.cold.restart(self.clock())
        self.failures = FailureFilter()
        self.latency = LatencyEstimator()
        self.rate = RequestRateLimiter()
        self.idle = IdleTracker(self._context.settings.health, self.clock())
        self.health.restart()

    async def close(self) -> None:
        """Start no further attempt: refuse queued ones and close idle connections."""
        self.is_closed = True
        for item in self._queue.clear():
            await self._refuse(
                item, ErrorCode.TARGET_DRAINING, "the target is draining"
            )
        for worker in list(self._idle_workers):
            if worker.task is not None:
                await worker.task.cancel(blocking=False)

    def _limit(self) -> int:
        if self.health.phase(self.clock()) is HealthPhase.TRIAL:
            return _MAX_CONCURRENT_TRIALS
        # A configured cold rate limits a cold target; without one, the ramp does. Where
        # an answer takes a second, the ramp needs longer than most targets are cold.
        limit = self.ramp.limit
        is_warm = self.cold.is_known_warm(self.clock())
        if self._cold_per_second is not None or is_warm:
            limit = self.announced.slots
        return min(limit, self.announced.connections)

    @property
    def _cold_per_second(self) -> float | None:
        services = self._context.configuration.service_by_name
        service = services.get(self.announced.service)
        return service.cold_per_second if service is not None else None

    def _check_phase(self, item: QueuedAttempt) -> None:
        if self.announced.is_draining:
            raise AttemptError(ErrorCode.TARGET_DRAINING, "the target is draining")
        phase = self.health.phase(self.clock())
        if phase is HealthPhase.HEALTHY:
            return
        is_trial = phase is HealthPhase.TRIAL and item.offered.is_idempotent
        if self.busy == 0 and (is_trial or self._accepts_when_due(item, phase)):
            return
        raise AttemptError(ErrorCode.TARGET_EJECTED, "the target is ejected")

    def _accepts_when_due(self, item: QueuedAttempt, phase: HealthPhase) -> bool:
        """Return whether the target accepts an attempt because it is still due."""
        if not item.offered.is_for_due:
            return False
        if item.offered.is_idempotent:
            return self.idle.is_due(self.clock())
        return phase is not HealthPhase.EJECTED and self.idle.is_overdue(self.clock())

    async def _expire(self, item: QueuedAttempt) -> None:
        """Refuse an attempt if it is still queued when it gets too late to start."""
        latest = item.deadline - _MIN_SERVICE_TIME_SHARE * (
            self._seconds_per_exchange or 0.0
        )
        await curio.sleep(max(0.0, latest - self.clock()))
        if self._queue.remove(item.offered.team, item):
            code = ErrorCode.DEADLINE_TOO_SHORT
            await self._refuse(item, code, "no slot became free in time")

    def _check_front_conditions(self, item: QueuedAttempt) -> None:
        """Refuse an attempt that doesn't meet the conditions set by its front."""
        offered = item.offered
        phase = self.health.phase(self.clock())
        is_risky = self.failures.risk(self.clock()) > offered.most_risk
        if is_risky and not self._accepts_when_due(item, phase):
            raise AttemptError(
                ErrorCode.TARGET_SUSPECT, "the target's risk of failure is too high"
            )
        if offered.must_start_now and not self._is_free_for(offered):
            raise AttemptError(ErrorCode.TARGET_BUSY, "no slot is free")

    @property
    def _is_free(self) -> bool:
        """Whether an attempt would start at once."""
        if len(self._queue) or len(self._running) >= self._limit():
            return False
        return self._rate_wait() <= 0

    def _is_free_for(self, offered: AttemptOffered) -> bool:
        """Whether an attempt would start at once, ahead of those it precedes."""
        if not offered.is_call:
            return self._is_free
        ahead = self._queue.ahead_of(_CALL_RANK)
        if ahead or len(self._running) >= self._limit():
            return False
        return self._rate_wait() <= 0

    def _rate_wait(self, ahead: int = 0) -> float:
        """Return how long a request waits for the cold rate and the named rate.

        Args:
            ahead: Queued requests that go first.
        """
        now = self.clock()
        wait = self.rate.wait_seconds(now, ahead)
        cold_per_second = self._cold_per_second
        if cold_per_second is not None:
            wait = max(wait, self.cold.wait_seconds(cold_per_second, now))
        return wait

    def _check_wait(self, item: QueuedAttempt) -> None:
        """Refuse an attempt that would end too late, by Little's law.

        An attempt that misses its latency objective is worth little, and would
        delay those queued behind it.
        """
        ahead = self._queue.ahead_of(_rank(item.offered))
        wait = self.rate.wait_seconds(self.clock(), ahead)
        seconds = self._seconds_per_exchange or 0.0
        if len(self._queue):
            wait = max(wait, seconds * (1 + ahead) / self._limit())
        if not wait:
            return
        remaining_seconds = item.deadline - self.clock()
        if item.offered.objective_seconds is not None and not item.offered.is_call:
            remaining_seconds = min(remaining_seconds, item.offered.objective_seconds)
        if _WAIT_MARGIN * (wait + seconds) > remaining_seconds:
            raise AttemptError(
                ErrorCode.DEADLINE_TOO_SHORT,
                f"{ahead} attempts are ahead in the queue; expected wait {wait:.2f} s",
                retry_after=wait,
            )

    async def start_work(self) -> None:
        """Assign queued attempts to workers while slots are free."""
        await self._fill_slots()
        await self.publish_due()

    async def _fill_slots(self) -> None:
        while len(self._running) < self._limit():
            item = await self._take_item()
            if item is None:
                return
            if self._idle_workers:
                worker = self._idle_workers.pop()
                self._running.add(worker)
                await worker.mailbox.put(item)
            else:
                worker = TargetWorker(self)
                self._running.add(worker)
                worker.task = await curio.spawn(worker.run, item, daemon=True)

    async def _take_item(self) -> QueuedAttempt | None:
        """Take the next attempt that can still be served, if a slot is free."""
        while len(self._running) < self._limit() and not await self._must_wait():
            item = self._queue.pop(self.clock(), self._seconds_per_exchange or 0.0)
            if item is None:
                return None
            if item.stream.is_abandoned:
                self.attempts.fence(item.offered.attempt)
                continue
            if self.clock() >= item.deadline:
                code = ErrorCode.DEADLINE_TOO_SHORT
                await self._refuse(item, code, "the deadline passed in the queue")
                continue
            self._note_sent()
            return item
        return None

    async def _must_wait(self) -> bool:
        """Return whether a rate of the target is used up; if so, schedule a wake-up."""
        if not len(self._queue):
            return False
        wait = self._rate_wait()
        if wait <= 0:
            return False
        if not self._is_wake_scheduled:
            self._is_wake_scheduled = True
            await curio.spawn(self._wake, wait, daemon=True)
        return True

    async def _wake(self, wait: float) -> None:
        await curio.sleep(wait)
        self._is_wake_scheduled = False
        await self.start_work()

    async def _refuse(self, item: QueuedAttempt, code: ErrorCode, detail: str) -> None:
        self.attempts.fence(item.offered.attempt)
        try:
            await item.refuse(code, detail, Verdict.NOT_RUN)
        except FleetError as error:
            _LOG.debug("FrontUnreachable", extra={"why": str(error)})

    async def _abandon(self, item: QueuedAttempt) -> None:
        if self._queue.remove(item.offered.team, item):
            self.attempts.fence(item.offered.attempt)
            return
        if item.stream.is_link_lost and not item.offered.is_idempotent:
            return  # The exchange goes on; its front queries the outcome.
        for worker in list(self._running):
            if worker.current is item:
                await worker.cancel_current()


def _rank(offered: AttemptOffered) -> int:
    """Return the rank of an attempt in the queue."""
    return _CALL_RANK if offered.is_call else offered.priority
