"""The attempts of one request: which target is next, and when none is."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_core.decisions.attempt_timeout import attempt_timeout
from bramleyglade_core.decisions.link_choice import LinkState, pick_by_link
from bramleyglade_core.decisions.picker import Pick, PickOptions
from bramleyglade_core.decisions.retry_budget import may_retry
from bramleyglade_core.model.errors import AttemptError, ErrorCode, FleetError
from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEnded,
    AnswerEvent,
    AnswerStarted,
    AttemptFailed,
    AttemptOffered,
    BufferedAnswer,
)
from bramleyglade_core.model.identifiers import AttemptId
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_daemon.front.open_attempts import OpenAttempt, OpenAttempts
from bramleyglade_daemon.front.request import caller_left

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bramleyglade_adapters.telemetry import Hop
    from bramleyglade_core.decisions.directory import Candidate
    from bramleyglade_core.model.identifiers import TargetId
    from bramleyglade_core.ports.streams import AttemptStream
    from bramleyglade_daemon.front.dispatcher import Dispatcher
    from bramleyglade_daemon.front.request import AdmittedRequest, BodyFeeder
    from bramleyglade_daemon.front.request_log import RequestLog

_TARGET_REFUSAL_CODES = frozenset({ErrorCode.TARGET_SHED})
"""Refusals sent by the target itself. Any other attempt that has not run never reached
its target, so the next attempt is not charged to the retry budget."""

_MAX_UNDELIVERED = 8
"""Attempts per request that may fail without reaching a target."""

_QUEUE_AFTER_REFUSALS = 4
"""Undelivered attempts after which a request queues at a target without a free slot."""

_IGNORE_RISK_AFTER_REFUSALS = 7
"""Undelivered attempts after which a target's risk of failure is ignored."""

_TRANSIENT_CODES = frozenset({ErrorCode.TARGET_BUSY, ErrorCode.TARGET_SUSPECT})
"""Refusals after which the request may go to the same target again."""

_NO_TARGET_RETRY_SECONDS = 0.4
"""Retry delay given to callers: in this time a report of a target or a heartbeat of
its guard may arrive. Platform callers wait at most a third of their time left."""

_ASSUMED_BODY_BYTES = 50_000
"""Assumed size of a body without a content length; uploads average 60 KB."""

_OUTCOME_RETRY_SECONDS = 0.3
_DEADLINE_GRACE_SECONDS = 0.25
"""Extra wait after the deadline for the guard's own report of the failure."""

_FALLBACK_MARGIN_SECONDS = 0.1
"""Time before the deadline at which a kept error answer is sent instead of waiting."""

_LOG = logging.getLogger(__name__)


class Attempts:
    """Makes the attempts of one request, one after another.

    A target that is slow with an idempotent request keeps it while another one is
    tried, and the first answer counts.
    """

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
        self._undelivered = 0
        self._is_retry_charged = False
        self._is_unsettled = False
        """Whether an attempt was made whose outcome is not in the verdict yet."""
        self._must_go_back = False
        """Whether no attempt may follow, and those that are open are waited for."""
        self._verdict = Verdict.NOT_RUN
        """Combined verdict of all attempts so far."""
        self._tried: set[TargetId] = set()
        self._candidate: Candidate | None = None
        """Target of the attempt that was made last."""
        self._answer_bytes = 0
        """Size of the answer's body as far as it was received."""
        self._upload: curio.Task | None = None
        self._open = OpenAttempts(self._context.picker, self._note_set_aside_failure)
        self.fallback_answer: BufferedAnswer | None = None
        """A target's error answer, sent to the caller if no retry succeeds."""

    @property
    def stream(self) -> AttemptStream | None:
        """Stream of the attempt whose answer is received."""
        current = self._open.current
        return None if current is None else current.stream

    @property
    def verdict(self) -> Verdict:
        """Whether the request may have run, by all attempts up to now."""
        if self._is_unsettled or not self._open.is_empty:
            return self._verdict.combined_with(Verdict.MAY_HAVE_RUN)
        return self._verdict

    async def next_attempt(self) -> None:
        """Offer the request to another target, or go back to one that is slow.

        Raises:
            AttemptError: If no target is left or the guard can't be reached.
        """
        pick = None if self._must_go_back else self._pick()
        if pick is None:
            self._go_back()
            return
        candidate = pick.candidate
        self._candidate = candidate
        self._answer_bytes = 0
        self._tried.add(candidate.target)
        self._context.picker.note_sent(candidate.target)
        self._log.note_attempt(candidate.target)
        self._context.telemetry.note_zone(
            self._request.service.name, candidate.zone, pick.reason.value
        )
        offered = self._make_offer(pick)
        port = self._dispatcher.port(candidate)
        self._count += 1
        self._is_unsettled = True
        try:
            stream = await port.offer(offered)
        except LinkLost as error:
            self._context.picker.note_ended(candidate.target)
            self._note_unreachable(candidate.target)
            raise AttemptError(error.code, error.detail, Verdict.NOT_RUN) from None
        except BaseException:
            self._context.picker.note_ended(candidate.target)
            raise
        self._open.add(OpenAttempt(candidate, offered, port, stream))
        if self._request.head.has_body:
            self._upload = await curio.spawn(self._feed, stream, daemon=True)

    async def receive(self) -> AnswerEvent:
        """Wait for the next part of the current attempt's answer."""
        assert self.stream is not None
        if self.stream.has_more:
            event = await self.stream.receive()
        else:
            event = await self._receive_in_time(self.stream.receive)
        if isinstance(event, AnswerContinued):
            self._answer_bytes += len(event.data)
        elif isinstance(event, AnswerEnded):
            self._note_answer_size()
        return event

    def _note_answer_size(self) -> None:
        self._context.answer_sizes.note(self._request.route.name, self._answer_bytes)
        if self._open.current is not None:
            size = self._answer_bytes + (self._request.head.content_length or 0)
            self._context.telemetry.note_zone_bytes(
                self._request.service.name, self._open.current.candidate.zone, size
            )

    async def receive_head(self) -> AnswerEvent:
        """Wait for the head of an answer, with a timeout for idempotent requests.

        If the target takes much longer than is typical for its service, the budget has
        a retry and another target is left, the request is sent to that one too.

        Returns:
            The head of the first answer, or the failure of the newest attempt.
        """
        wait = self._attempt_timeout()
        if wait is not None:
            event = await self.receive_soon(wait)
            if event is not None:
                return event
            if await self._may_try_another():
                self._log_slow()
                return AttemptFailed(
                    ErrorCode.TARGET_SLOW,
                    "the target did not answer in time",
                    Verdict.MAY_HAVE_RUN,
                )
        return await self._receive_in_time(self._open.receive_first)

    async def receive_soon(self, seconds: float) -> AnswerEvent | None:
        """Wait for the head of an answer; None if it takes longer than `seconds`."""
        return await curio.ignore_after(seconds, self._open.receive_first)

    async def _receive_in_time(
        self, receive: Callable[[], Awaitable[AnswerEvent]]
    ) -> AnswerEvent:
        end = self._request.deadline + _DEADLINE_GRACE_SECONDS
        if self.fallback_answer is not None:
            end = self._request.deadline - _FALLBACK_MARGIN_SECONDS
        try:
            async with curio.timeout_after(max(0.0, end - self._context.clock())):
                return await receive()
        except curio.TaskTimeout:
            await self._open.end_all()
            return AttemptFailed(
                ErrorCode.DEADLINE_EXCEEDED,
                "the deadline passed",
                Verdict.MAY_HAVE_RUN,
            )

    async def _may_try_another(self) -> bool:
        """Spend a retry beside a slow attempt, if that may help."""
        if self._context.is_leaving or not self._has_other_target():
            return False
        if not await self._try_spend_retry(Verdict.MAY_HAVE_RUN):
            return False
        self._is_retry_charged = True
        # Asking peers takes time, in which an answer may come or a stop begin.
        return not self._open.has_event and not self._context.is_leaving

    def _log_slow(self) -> None:
        assert self._open.current is not None
        target = self._open.current.candidate.target
        extra = {
            "request": self._request.request_id,
            "target": target.name,
            "daemon": target.daemon,
            "remaining_seconds": round(
                self._request.deadline - self._context.clock(), 4
            ),
        }
        _LOG.info("AttemptSlow", extra=extra)
        self._context.telemetry.note_event("AttemptSlow")

    async def watch_caller(self) -> None:
        """Cancel the open attempts if the caller disconnects."""
        await self._feeder.wait_until_caller_left()
        await self._open.fail_all(caller_left())

    def note_answer(self, started: AnswerStarted) -> None:
        """Record that the target has answered, and stop avoiding it."""
        self._log.note_status(started.status)
        if self._open.current is None:
            return
        target = self._open.current.candidate.target
        self._context.picker.clear_avoidance(target)
        classification = self._context.dialect.classify_answer(
            started, self._request.request_id
        )
        if classification.is_leaving:
            # Its guard knows it too, but may restart and forget it.
            self._context.directory.note_target_leaving(target.daemon, target.name)

    async def resolve_outcome(self, failed: AttemptFailed) -> AttemptFailed | None:
        """Ask the guard for the outcome of an attempt whose link was lost.

        Args:
            failed: How the attempt ended.

        Returns:
            The failure if the guard was not asked, can't be reached or has restarted;
            None if it reports the outcome on a new stream.
        """
        is_lost = failed.code is ErrorCode.PEER_LOST
        if not is_lost or failed.verdict is not Verdict.MAY_HAVE_RUN:
            return failed
        if self._request.is_idempotent or self._open.current is None:
            return failed
        await self._end_upload()
        while self._context.clock() < self._request.deadline:
            try:
                stream = await self._ask_outcome(self._open.current)
                self._open.replace_stream(stream)
                return None
            except LinkLost:
                await curio.sleep(_OUTCOME_RETRY_SECONDS)
            except AttemptError:
                break
        return failed

    async def keep_only_current(self) -> None:
        """End all attempts but the one whose answer is sent to the caller."""
        await self._open.end_others()

    async def end(self) -> None:
        """End all attempts; does nothing if they have already ended."""
        self._verdict = self.verdict
        await self._open.end_all()
        await self._end_upload()

    async def prepare_retry(self, failed: AttemptFailed) -> None:
        """Check that another attempt is safe and within the limits.

        The attempt's upload ends first: while the budget is asked, it could read on
        past what is kept of the body to be sent again. An attempt that is only slow
        stays open.

        Args:
            failed: How the last attempt ended.

        Raises:
            AttemptError: If the failure must go to the caller instead.
        """
        await self._end_upload()
        if self._open.current is not None:
            self._note_failure(self._open.current, failed)
        self._is_unsettled = False
        if failed.code is ErrorCode.TARGET_SLOW:
            self._open.set_aside()
        else:
            self._verdict = self._verdict.combined_with(failed.verdict)
            await self._open.end_current()
        if not self._must_go_back and await self._may_retry(failed):
            self._hop.set_attribute("retry.after", failed.code.value)
        elif self._may_go_back:
            self._must_go_back = True
        else:
            raise AttemptError(
                failed.code, failed.detail, self.verdict, failed.retry_after
            )

    def _note_failure(self, attempt: OpenAttempt, failed: AttemptFailed) -> None:
        target = attempt.candidate.target
        if failed.code is ErrorCode.PEER_LOST:
            self._note_unreachable(target)
        if failed.code is ErrorCode.TARGET_EJECTED:
            self._context.picker.mark_ejected(target)
        if failed.code in _TRANSIENT_CODES:
            self._tried.discard(target)

    def _note_set_aside_failure(
        self, attempt: OpenAttempt, failed: AttemptFailed
    ) -> None:
        """Record how a slow attempt ended, which its guard may not have started."""
        self._verdict = self._verdict.combined_with(failed.verdict)
        self._note_failure(attempt, failed)
        extra = {
            "request": self._request.request_id,
            "target": attempt.candidate.target.name,
            "code": failed.code.value,
            "verdict": failed.verdict.value,
        }
        _LOG.info("SlowAttemptFailed", extra=extra)

    @property
    def _may_go_back(self) -> bool:
        return self._open.has_others and not self._is_over

    @property
    def _is_over(self) -> bool:
        """Whether no answer can reach the caller any more."""
        is_late = self._context.clock() >= self._request.deadline
        return is_late or self._feeder.has_caller_left

    def _go_back(self) -> None:
        """Wait for the attempts that are open, as no other can be made.

        Raises:
            AttemptError: If there is none.
        """
        if not self._may_go_back:
            self._note_no_target_in_regions()
            raise AttemptError(
                ErrorCode.NO_TARGET,
                "no target can take the request",
                self.verdict,
                retry_after=_NO_TARGET_RETRY_SECONDS,
            )
        self._must_go_back = True
        self._open.go_back()

    def _note_no_target_in_regions(self) -> None:
        """Log that the lists of regions leave the request no target, if they do."""
        request = self._request
        if request.regions is None or self._dispatcher.candidates(request):
            return
        extra = {
            "request": request.request_id,
            "route": request.route.name,
            "team": request.team,
            "service": request.service.name,
            "regions": sorted(request.regions),
        }
        _LOG.info("NoTargetInRegions", extra=extra)
        self._context.telemetry.note_event("NoTargetInRegions")

    async def _may_retry(self, failed: AttemptFailed) -> bool:
        if not self._may_send_again(failed):
            return False
        if (
            failed.verdict is Verdict.NOT_RUN
            and failed.code not in _TARGET_REFUSAL_CODES
        ):
            self._undelivered += 1
            return self._undelivered <= _MAX_UNDELIVERED
        if self._count - self._undelivered >= self._max_attempts:
            return False
        is_charged, self._is_retry_charged = self._is_retry_charged, False
        if is_charged:
            return True
        if not self._has_other_target():
            return False
        is_allowed = await self._try_spend_retry(failed.verdict)
        # Asking peers for a retry takes time, in which the request may be given up.
        return is_allowed and self._may_send_again(failed)

    def _may_send_again(self, failed: AttemptFailed) -> bool:
        if self._is_over:
            return False
        is_idempotent = self._request.is_idempotent
        return may_retry(failed.verdict, is_idempotent, self._feeder.is_consumed)

    async def _try_spend_retry(self, verdict: Verdict) -> bool:
        return await self._dispatcher.try_spend_retry(self._request, verdict)

    def _attempt_timeout(self) -> float | None:
        """Return this attempt's timeout in seconds; None if it has none."""
        # The current attempt is already counted.
        is_last = self._count - self._undelivered >= self._max_attempts
        if self._must_go_back or not self._request.is_idempotent:
            return None
        if self._feeder.is_consumed or is_last:
            return None
        candidates = self._dispatcher.candidates(self._request)
        typical = self._context.picker.typical_seconds(candidates)
        remaining_seconds = self._request.deadline - self._context.clock()
        return attempt_timeout(remaining_seconds, typical)

    @property
    def _is_last(self) -> bool:
        """Whether the attempt being picked is the last one allowed."""
        return self._count - self._undelivered + 1 >= self._max_attempts

    @property
    def _max_attempts(self) -> int:
        configured = self._request.route.max_attempts
        return configured or self._context.settings.front.max_attempts

    def _has_other_target(self) -> bool:
        candidates = self._dispatcher.candidates(self._request)
        return any(c.target not in self._tried for c in candidates)

    def _pick(self) -> Pick | None:
        candidates = self._dispatcher.candidates(self._request)
        if self._open.has_others:
            # The open attempts are not received from while a link is opened.
            candidates = [
                c
                for c in candidates
                if self._dispatcher.link_state(c) is LinkState.READY
            ]
        stated = self._request.head.content_length
        is_retryable = self._request.is_idempotent and not self._is_last
        options = PickOptions(
            now=self._context.clock(),
            is_retryable=is_retryable,
            may_probe=is_retryable and self._count == 0,
            body_bytes=(_ASSUMED_BODY_BYTES if stated is None else stated)
            + self._context.answer_sizes.expected(self._request.route.name),
            objective_seconds=self._longest_wait_seconds(),
        )
        self._dispatcher.refresh_local_views()
        linked = pick_by_link(
            self._context.picker,
            candidates,
            self._tried,
            options,
            self._dispatcher.link_state,
        )
        if linked.pick is not None and linked.passed_over is not None:
            self._note_passed_over(linked.pick, linked.passed_over.candidate)
        return linked.pick

    def _note_passed_over(self, pick: Pick, passed_over: Candidate) -> None:
        state = self._dispatcher.link_state(passed_over)
        self._dispatcher.opener.note_missing(passed_over.target.daemon)
        extra = {
            "request": self._request.request_id,
            "target": passed_over.target.name,
            "daemon": passed_over.target.daemon,
            "link": state.value,
            "chosen": pick.candidate.target.name,
        }
        _LOG.info("TargetPassedOver", extra=extra)
        self._context.telemetry.note_event(f"TargetPassedOver.{state.value}")

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
            must_start_now=pick.is_free and self._undelivered < _QUEUE_AFTER_REFUSALS,
            most_risk=pick.most_risk
            if self._undelivered < _IGNORE_RISK_AFTER_REFUSALS
            else 1.0,
            is_for_due=pick.is_for_due,
            objective_seconds=self._objective_left(),
            sent_at=self._context.clock(),
            is_call=request.is_call,
            route=request.route.name,
        )

    def _objective_left(self) -> float | None:
        """Return the seconds left in the latency objective; None without one."""
        request = self._request
        if request.route.objective_seconds is None:
            return None
        end = request.arrived_at + request.route.objective_seconds
        return max(0.0, end - self._context.clock())

    def _longest_wait_seconds(self) -> float | None:
        """Return the latency objective, or the time left if that is less."""
        objective = self._request.route.objective_seconds
        if objective is None:
            return None
        left = self._request.deadline - self._context.clock()
        return max(0.0, min(objective, left))

    async def _ask_outcome(self, attempt: OpenAttempt) -> AttemptStream:
        remaining_seconds = self._request.deadline - self._context.clock()
        offered = replace(
            attempt.offered, headers=(), deadline_seconds=max(0.0, remaining_seconds)
        )
        return await attempt.port.ask_outcome(offered)

    async def _feed(self, stream: AttemptStream) -> None:
        try:
            await self._feeder.feed(stream)
            await self._feeder.watch_caller(stream)
        except (FleetError, OSError) as error:
            if self._feeder.error is not None:
                await stream.cancel()
                await stream.deliver(_upload_failed(error))

    async def _end_upload(self) -> None:
        upload, self._upload = self._upload, None
        if upload is not None:
            await upload.cancel()

    def _note_unreachable(self, target: TargetId) -> None:
        size = len(self._dispatcher.candidates(self._request))
        seconds = self._context.picker.avoid(target, size, self._context.clock())
        extra = {
            "request": self._request.request_id,
            "target": target.name,
            "daemon": target.daemon,
            "seconds": seconds,
        }
        _LOG.info("TargetAvoided", extra=extra)


def _upload_failed(error: FleetError | OSError) -> AttemptFailed:
    code = ErrorCode.ATTEMPT_CANCELLED
    if isinstance(error, FleetError) and error.code is ErrorCode.BODY_TOO_LARGE:
        code = error.code
    return AttemptFailed(code, str(error), Verdict.MAY_HAVE_RUN)
