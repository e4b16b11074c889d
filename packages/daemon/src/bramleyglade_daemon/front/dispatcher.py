"""Attempts of one request: pick, offer, and retry where the verdict allows."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_core.decisions.attempt_timeout import attempt_timeout
from bramleyglade_core.decisions.directory import RoutableTargets
from bramleyglade_core.decisions.picker import Pick, PickOptions
from bramleyglade_core.decisions.retry_budget import may_retry
from bramleyglade_core.model.errors import AttemptError, ErrorCode, FleetError
from bramleyglade_core.model.exchange import (
    AnswerEvent,
    AttemptFailed,
    AttemptOffered,
    BufferedAnswer,
)
from bramleyglade_core.model.identifiers import AttemptId
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from bramleyglade_adapters.telemetry import Hop
    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.model.identifiers import TargetId
    from bramleyglade_core.ports.streams import AttemptPort, AttemptStream
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.front.guard_ports import GuardPorts
    from bramleyglade_daemon.front.request import AdmittedRequest, BodyFeeder
    from bramleyglade_daemon.front.request_log import RequestLog

_ARRIVED_CODES = frozenset({ErrorCode.TARGET_SHED})
"""Refusals of a target itself. Others of what has not run came from a guard, or from
nobody: the target has seen nothing, and another attempt takes from no budget."""

_MOST_MISROUTED = 8
"""Refusals short of a target that one request puts up with."""

_MOST_PICKY = 4
"""Refusals after which a request waits in a target's queue if no slot is free."""

_MOST_WARY = 7
"""Refusals after which a request takes a target however often it fails."""

_PASSING_CODES = frozenset({ErrorCode.TARGET_BUSY, ErrorCode.TARGET_SUSPECT})
"""Refusals after which the same target may be picked again."""

_NO_TARGET_RETRY_SECONDS = 0.4
"""Time in which a report of a target, or a heartbeat of its guard, may come; callers
of the users' platform wait no longer than a third of the time they have left."""

_UNKNOWN_BODY_BYTES = 50_000
"""Size that a body is taken to have whose caller does not say; uploads of the users'
days have 60 KB on average."""

_ASK_PAUSE_SECONDS = 0.3
_GRACE_SECONDS = 0.25
"""Time beyond the deadline in which the guard's own word may still come."""

_LOG = logging.getLogger(__name__)


class Dispatcher:
    """Sends admitted requests to targets."""

    def __init__(self, context: Context, ports: GuardPorts) -> None:
        self._context = context
        self._ports = ports
        self._routable = RoutableTargets(context.directory)
        self._last_request = 0

    def start(
        self,
        request: AdmittedRequest,
        feeder: BodyFeeder,
        hop: Hop,
        log: RequestLog,
    ) -> Attempts:
        """Begin the attempts of a request."""
        self._last_request += 1
        budgets = self._context.retry_budgets
        budgets.set_fleet_size(len(self._context.directory.record_by_name))
        budgets.note_first_attempt(request.service.name, self._context.clock())
        if not request.team:
            budgets.note_call(request.service.name)
        return Attempts(self, request, feeder, hop, log, self._last_request)

    @property
    def context(self) -> Context:
        """What all tasks of the daemon share."""
        return self._context

    def try_spend_retry(self, request: AdmittedRequest, verdict: Verdict) -> bool:
        """Spend one retry of the service's budget; False if there is none."""
        may_have_run = verdict is not Verdict.NOT_RUN
        return self._context.retry_budgets.try_spend(
            request.service.name, may_have_run, self._context.clock()
        )

    def port(self, candidate: Candidate) -> AttemptPort:
        """Return the way to a target's guard."""
        return self._ports.find(candidate.target.daemon)

    def note_own_targets(self) -> None:
        """Take in the load of the targets on this VM, which costs no message."""
        self._ports.note_own_targets()

    def candidates(self, request: AdmittedRequest) -> list[Candidate]:
        """Return the targets that a request may go to now."""
        configuration = self._context.configuration
        return self._routable.find(request.service, configuration)


class Attempts:
    """The attempts of one request, one after another."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        request: AdmittedRequest,
        feeder: BodyFeeder,
        hop: Hop,
        log: RequestLog,
        number: int,
    ) -> None:
        self._dispatcher = dispatcher
        self._context = dispatcher.context
        self._request = request
        self._feeder = feeder
        self._hop = hop
        self._log = log
        self._number = number
        self._count = 0
        self._misrouted = 0
        self._is_retry_paid = False
        self._verdict = Verdict.NOT_RUN
        """What is known of all attempts so far."""
        self._tried: set[TargetId] = set()
        self._candidate: Candidate | None = None
        self._upload: curio.Task | None = None
        self._offered: AttemptOffered | None = None
        self._port: AttemptPort | None = None
        self.stream: AttemptStream | None = None
        """The stream of the attempt under way."""
        self.spare_answer: BufferedAnswer | None = None
        """A target's own failure, for the caller if no other attempt goes better."""

    async def next_attempt(self) -> None:
        """Offer the request to another target.

        Raises:
            AttemptError: If there is none left to try.
        """
        pick = self._pick()
        candidate = pick.candidate
        self._candidate = candidate
        self._tried.add(candidate.target)
        self._context.picker.note_sent(candidate.target)
        self._log.note_attempt(candidate.target)
        self._offered = self._make_offer(pick)
        self._port = self._dispatcher.port(candidate)
        self._count += 1
        try:
            self.stream = await self._port.offer(self._offered)
        except LinkLost as error:
            self.stream = None
            self._context.picker.note_ended(candidate.target)
            self._note_unreachable()
            raise AttemptError(error.code, error.detail, Verdict.NOT_RUN) from None
        if self._request.head.has_body:
            self._upload = await curio.spawn(self._feed, self.stream, daemon=True)

    async def receive(self) -> AnswerEvent:
        """Wait for the next part of the answer of the attempt under way."""
        assert self.stream is not None
        if self.stream.has_more:
            return await self.stream.receive()
        left = self._request.deadline + _GRACE_SECONDS - self._context.clock()
        try:
            async with curio.timeout_after(max(0.0, left)):
                return await self.stream.receive()
        except curio.TaskTimeout:
            await self.stream.cancel()
            return AttemptFailed(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed",
                Verdict.MAY_HAVE_RUN,
            )

    async def receive_in_time(self) -> AnswerEvent:
        """Wait for the answer's head, but not for ever at one target.

        An idempotent request gives up on a target that takes much longer than
        it typically does, if the budget has a retry and a target is left.
        """
        wait = self._attempt_timeout()
        if wait is None:
            return await self.receive()
        event = await curio.ignore_after(wait, self.receive)
        if event is not None:
            return event
        if not self._has_other_target() or not self._try_spend_retry(
            Verdict.MAY_HAVE_RUN
        ):
            return await self.receive()
        assert self.stream is not None
        await self.stream.cancel()
        self._is_retry_paid = True
        return AttemptFailed(
            ErrorCode.TARGET_SLOW, "the target takes too long", Verdict.MAY_HAVE_RUN
        )

    async def watch_caller(self) -> None:
        """Give up the attempt under way if the caller leaves."""
        if self.stream is not None:
            await self._feeder.watch_caller(self.stream)

    def note_answer(self, status: int) -> None:
        """Take in that the target has answered this front."""
        self._log.note_status(status)
        if self._candidate is not None:
            self._context.picker.clear_avoidance(self._candidate.target)

    async def settle(self, failed: AttemptFailed) -> AttemptFailed | None:
        """Find out what a lost link has left open.

        Args:
            failed: How the attempt ended.

        Returns:
            The failure, with what is now known; None if the guard is playing
            back the answer on a new stream.
        """
        is_lost = failed.code is ErrorCode.PEER_LOST
        if not is_lost or failed.verdict is not Verdict.MAY_HAVE_RUN:
            return failed
        if self._request.is_idempotent or self.stream is None:
            return failed
        await self._end_upload()
        while self._context.clock() < self._request.deadline:
            try:
                self.stream = await self._ask_outcome()
                return None
            except LinkLost:
                await curio.sleep(_ASK_PAUSE_SECONDS)
            except AttemptError:
                break
        return failed

    async def end(self) -> None:
        """End the attempt under way; harmless if it has ended already."""
        if self._candidate is not None and self.stream is not None:
            self._context.picker.note_ended(self._candidate.target)
        stream, self.stream = self.stream, None
        if stream is not None:
            await stream.cancel()
        await self._end_upload()

    def check_retry(self, failed: AttemptFailed) -> None:
        """Go on only if another attempt is safe and worth its cost.

        Args:
            failed: How the last attempt ended.

        Raises:
            AttemptError: If the caller is to be told of the failure instead.
        """
        if failed.code is ErrorCode.PEER_LOST:
            self._note_unreachable()
        if failed.code is ErrorCode.TARGET_EJECTED and self._candidate is not None:
            self._context.picker.mark_ejected(self._candidate.target)
        if failed.code in _PASSING_CODES and self._candidate is not None:
            self._tried.discard(self._candidate.target)
        self._verdict = self._verdict.combined_with(failed.verdict)
        if not self._may_retry(failed):
            raise AttemptError(
                failed.code, failed.detail, self._verdict, failed.retry_after
            )
        self._hop.note("retry.after", failed.code.value)

    def _may_retry(self, failed: AttemptFailed) -> bool:
        is_idempotent = self._request.is_idempotent
        if not may_retry(failed.verdict, is_idempotent, self._feeder.is_spent):
            return False
        if self._context.clock() >= self._request.deadline:
            return False
        if failed.verdict is Verdict.NOT_RUN and failed.code not in _ARRIVED_CODES:
            self._misrouted += 1
            return self._misrouted <= _MOST_MISROUTED
        if self._count - self._misrouted >= self._most_attempts:
            return False
        is_paid, self._is_retry_paid = self._is_retry_paid, False
        return is_paid or self._try_spend_retry(failed.verdict)

    def _try_spend_retry(self, verdict: Verdict) -> bool:
        return self._dispatcher.try_spend_retry(self._request, verdict)

    def _attempt_timeout(self) -> float | None:
        """Return the time for this attempt; None if it must run to its end."""
        # The attempt under way is counted already.
        is_last = self._count - self._misrouted >= self._most_attempts
        if not self._request.is_idempotent or self._feeder.is_spent or is_last:
            return None
        candidates = self._dispatcher.candidates(self._request)
        typical = self._context.picker.typical_seconds(candidates)
        left = self._request.deadline - self._context.clock()
        return attempt_timeout(left, typical)

    @property
    def _is_last(self) -> bool:
        """Whether no attempt may follow the one that is picked now."""
        return self._count - self._misrouted + 1 >= self._most_attempts

    @property
    def _most_attempts(self) -> int:
        configured = self._request.route.max_attempts
        return configured or self._context.settings.front.max_attempts

    def _has_other_target(self) -> bool:
        candidates = self._dispatcher.candidates(self._request)
        return any(c.target not in self._tried for c in candidates)

    def _pick(self) -> Pick:
        candidates = self._dispatcher.candidates(self._request)
        stated = self._request.head.stated_bytes
        is_retryable = self._request.is_idempotent and not self._is_last
        options = PickOptions(
            now=self._context.clock(),
            is_retryable=is_retryable,
            may_probe=is_retryable and self._count == 0,
            body_bytes=_UNKNOWN_BODY_BYTES if stated is None else stated,
        )
        self._dispatcher.note_own_targets()
        pick = self._context.picker.pick(candidates, self._tried, options)
        if pick is None:
            raise AttemptError(
                ErrorCode.NO_TARGET,
                "no target takes the request",
                self._verdict,
                retry_after=_NO_TARGET_RETRY_SECONDS,
            )
        return pick

    def _make_offer(self, pick: Pick) -> AttemptOffered:
        request = self._request
        candidate = pick.candidate
        return AttemptOffered(
            attempt=AttemptId(self._context.daemon, self._number, self._count),
            target=candidate.target.name,
            service=request.service.name,
            team=request.team,
            method=request.head.method,
            path=request.head.target,
            headers=request.headers,
            deadline_seconds=max(0.0, request.deadline - self._context.clock()),
            is_idempotent=request.is_idempotent,
            has_body=request.head.has_body,
            traceparent=self._hop.traceparent,
            request_id=request.request_id,
            priority=request.priority,
            must_start_now=pick.is_free and self._misrouted < _MOST_PICKY,
            most_risk=pick.most_risk if self._misrouted < _MOST_WARY else 1.0,
            is_for_due=pick.is_for_due,
            objective_seconds=self._objective_left(),
            sent_at=self._context.clock(),
        )

    def _objective_left(self) -> float | None:
        """Return the time left within the latency objective; None without one."""
        request = self._request
        if request.route.objective_seconds is None:
            return None
        end = request.arrived_at + request.route.objective_seconds
        return max(0.0, end - self._context.clock())

    async def _ask_outcome(self) -> AttemptStream:
        assert self._port is not None
        assert self._offered is not None
        left = self._request.deadline - self._context.clock()
        offered = replace(self._offered, headers=(), deadline_seconds=max(0.0, left))
        return await self._port.ask_outcome(offered)

    async def _feed(self, stream: AttemptStream) -> None:
        try:
            await self._feeder.feed(stream)
            await self._feeder.watch_caller(stream)
        except (FleetError, OSError) as error:
            if self._feeder.error is not None:
                await stream.cancel()
                await stream.deliver(_caller_failed(str(error)))

    async def _end_upload(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            await upload.cancel()

    def _note_unreachable(self) -> None:
        if self._candidate is not None:
            size = len(self._dispatcher.candidates(self._request))
            now = self._context.clock()
            target = self._candidate.target
            seconds = self._context.picker.avoid(target, size, now)
            extra = {
                "request": self._request.request_id,
                "target": target.name,
                "daemon": target.daemon,
                "seconds": seconds,
            }
            _LOG.info("TargetAvoided", extra=extra)


def _caller_failed(detail: str) -> AttemptFailed:
    return AttemptFailed(ErrorCode.ATTEMPT_CANCELLED, detail, Verdict.MAY_HAVE_RUN)
