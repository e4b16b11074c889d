"""One request of a caller: admission, attempts and the relay of the answer."""

from __future__ import annotations

import logging
import math
import socket
import struct
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.telemetry import traceparent_of
from bramleyglade_core.decisions.admission import (
    authenticate,
    is_own_vm,
    refusal_by_outdated,
)
from bramleyglade_core.decisions.regions import allowed_regions
from bramleyglade_core.decisions.routing import check_headers, host_of
from bramleyglade_core.model.errors import (
    AttemptError,
    BadRequest,
    ErrorCode,
    FleetError,
    KeyRefused,
    RouteRefused,
)
from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEnded,
    AnswerEvent,
    AnswerStarted,
    AttemptFailed,
    BufferedAnswer,
    Header,
)
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_core.ports.dialect import ForwardedMetadata
from bramleyglade_daemon.front.refusal import refusal_answer
from bramleyglade_daemon.front.request import (
    MAX_REPLAY_BYTES,
    AdmittedRequest,
    BodyFeeder,
    check_length,
    new_request_id,
    timeout_of,
)
from bramleyglade_daemon.front.request_log import OK, AnswerTruncated, RequestLog

if TYPE_CHECKING:
    from bramleyglade_adapters.http.server_connection import (
        RequestHead,
        ServerConnection,
    )
    from bramleyglade_adapters.telemetry import Hop
    from bramleyglade_core.model.entities import Route, Team
    from bramleyglade_core.ports.dialect import CallerMetadata
    from bramleyglade_daemon.front.attempts import Attempts
    from bramleyglade_daemon.front.caller_task import Front
    from bramleyglade_daemon.front.pipe import Pipe

_SHORT_WAIT_SECONDS = 0.05
"""Wait for an event before a watcher is started or buffered data is sent."""

_MAX_BUFFERED_BYTES = 65_536
"""Answers below this size are buffered until they are complete."""

_STOPPING_RETRY_SECONDS = 0.05
"""Retry delay of a request that comes during a stop; another VM can take it."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""`SO_LINGER` value: on, with a timeout of zero."""

_LOG = logging.getLogger(__name__)


class CallerExchange:
    """Serves one request on a caller's connection."""

    def __init__(self, front: Front, connection: ServerConnection, pipe: Pipe) -> None:
        self._front = front
        self._context = front.context
        self._connection = connection
        self._pipe = pipe
        self._attempts: Attempts | None = None
        self._task: curio.Task | None = None
        """Serves the request; None before and after that."""
        self._call: AdmittedRequest | None = None
        """The request if it is a call of an executing request."""
        self._is_given_up = False
        self._is_answering = False
        """Whether the final answer waits for its turn or is being sent."""

    async def serve(self, head: RequestHead) -> None:
        """Answer a request, or refuse it.

        Raises:
            OSError: If the caller has gone, or the answer was cut off.
        """
        log = RequestLog(new_request_id(self._context.random), self._context.clock())
        traceparent = head.header("traceparent")
        if traceparent:
            traceparent = traceparent_of({"traceparent": traceparent})
        hop = self._context.telemetry.start_hop("front", traceparent, is_root=True)
        try:
            await self._serve_until_given_up(head, hop, log)
        except FleetError as error:
            log.note_error(error)
            self._note_rejected_call(error)
            await self.refuse(error, log.request_id)
        except BaseException as error:
            log.note_unanswered(error)
            raise
        finally:
            hop.set_attribute("code", log.code)
            hop.end()
            seconds = self._context.clock() - log.started_at
            self._context.telemetry.note_request(log.code, log.verdict.value, seconds)
            log.write(seconds)

    async def give_up(self) -> None:
        """End the request, whatever it waits for, as this daemon ends.

        An answer that is being sent goes on.
        """
        if self._task is not None and not self._is_answering:
            self._is_given_up = True
            await self._task.cancel(blocking=False)

    async def _serve_until_given_up(
        self, head: RequestHead, hop: Hop, log: RequestLog
    ) -> None:
        """Admit a request and relay its answer.

        Raises:
            AttemptError: If the request was given up, or fails otherwise.
        """
        self._task = await curio.current_task()
        try:
            metadata = self._context.dialect.read_caller_headers(head.headers)
            log.request_id = metadata.request_id or log.request_id
            request = await self._admit(head, metadata, log)
            await self._run(request, hop, log)
        except curio.TaskCancelled:
            if not self._is_given_up or self._is_answering:
                raise
            raise self._given_up_error() from None
        finally:
            self._task = None

    def _given_up_error(self) -> AttemptError:
        verdict = Verdict.NOT_RUN
        if self._attempts is not None:
            verdict = self._attempts.verdict
        return AttemptError(
            ErrorCode.DAEMON_STOPPING,
            "this VM's daemon ended before the target answered",
            verdict,
            retry_after=_STOPPING_RETRY_SECONDS,
        )

    async def _admit(
        self, head: RequestHead, metadata: CallerMetadata, log: RequestLog
    ) -> AdmittedRequest:
        arrived_at = self._context.clock()
        check_headers(head.headers)
        configuration = self._context.configuration
        if not configuration.is_known:
            raise AttemptError(
                ErrorCode.CONFIGURATION_UNKNOWN,
                "this VM has no configuration yet",
                retry_after=1.0,
            )
        check_length(head, configuration.caller_limits)
        host = host_of(head.header("host"))
        try:
            route = configuration.router.find(head.method, head.target, host)
            is_valid = self._context.lease.is_valid
            log.note_route(self._context.view.revision, route)
            team = authenticate(configuration, route, metadata.key, is_valid)
        except (RouteRefused, KeyRefused) as error:
            if self._context.view.awaits_ticket:
                raise refusal_by_outdated(error) from None
            raise
        log.note_route(self._context.view.revision, route, team)
        self._check_stop(metadata, route, has_key=team is not None)
        is_call = self._is_call(route, metadata)
        if not route.split and not is_call:
            # Before the limiter, as a rejection must not use up a team's rate.
            self._check_path(route, team, metadata, route.service)
        if team is not None and not team.is_unlimited:
            await self._front.limiter.admit(team)
        service_name = self._context.splitter.choose(route)
        service = configuration.service_by_name.get(service_name)
        if route.split and not is_call:
            self._check_path(route, team, metadata, service_name)
        if service is None:
            raise AttemptError(
                ErrorCode.NO_TARGET, "the route's service does not exist"
            )
        log.note_service(service.name)
        team_name = team.name if team is not None else ""
        forwarded = ForwardedMetadata(log.request_id, team_name)
        return AdmittedRequest(
            head=head,
            route=route,
            service=service,
            team=team_name,
            request_id=log.request_id,
            deadline=arrived_at + timeout_of(metadata, route, service),
            headers=self._context.dialect.forwarded_headers(head.headers, forwarded),
            priority=_priority(route, team),
            is_call=is_call,
            arrived_at=arrived_at,
            regions=allowed_regions(route, team),
        )

    def _check_path(
        self, route: Route, team: Team | None, metadata: CallerMetadata, name: str
    ) -> None:
        """Reject new work for which a service on its path has no capacity in time.

        Raises:
            AttemptError: With the verdict `not-run` and a retry delay.
        """
        service = self._context.configuration.service_by_name.get(name)
        if service is None:
            return
        seconds_left = timeout_of(metadata, route, service)
        if route.objective_seconds is not None:
            seconds_left = min(seconds_left, route.objective_seconds)
        priority = _priority(route, team)
        dispatcher = self._front.dispatcher
        shortage = dispatcher.find_shortage(name, route.name, priority, seconds_left)
        if shortage is None:
            return
        self._context.telemetry.note_path_rejection(route.name, shortage.service)
        if shortage.service == name:
            # What is rejected for lack of capacity here may be served in other zones.
            self._context.zone_loads.note_arrival(name, self._context.clock())
        raise AttemptError(
            ErrorCode.NO_CAPACITY,
            f"service {shortage.service} is short of capacity; expected wait "
            f"{shortage.wait_seconds:.2f} s, allowed {shortage.allowed_seconds:.2f} s "
            f"at priority {priority}",
            retry_after=shortage.retry_after,
        )

    def _note_rejected_call(self, error: FleetError) -> None:
        """Count a call that was rejected while its parent request executes."""
        if self._call is None or error.verdict is not Verdict.NOT_RUN:
            return
        route = self._call.route.name
        self._context.telemetry.note_rejected_call(route, error.code.value)
        extra = {"route": route, "code": error.code.value, "why": error.detail}
        _LOG.info("CallRejected", extra=extra)

    def _is_call(self, route: Route, metadata: CallerMetadata) -> bool:
        """Return whether a target on this VM sent the request during an execution."""
        if not route.open_to_all or metadata.key:
            return False
        if not self._front.dispatcher.is_executing:
            return False
        sock = self._connection.sock
        try:
            host, own_host = sock.getpeername()[0], sock.getsockname()[0]
        except OSError as error:
            _LOG.debug("CallerGone", extra={"why": str(error)})
            return False
        hosts = {target.address.host for target in self._context.targets}
        return is_own_vm(host, own_host, hosts)

    def _check_stop(
        self, metadata: CallerMetadata, route: Route, has_key: bool
    ) -> None:
        """Refuse a request that can't be answered before this daemon ends."""
        schedule = self._context.stop_schedule
        if schedule is None:
            return
        names = [part.service for part in route.split] or [route.service]
        now = self._context.clock()
        for name in names:
            service = self._context.configuration.service_by_name.get(name)
            timeout = math.inf
            if service is not None:
                timeout = timeout_of(metadata, route, service)
            expected = self._front.dispatcher.expected_times(name)
            if schedule.accepts(now, has_key, timeout, expected):
                continue
            raise AttemptError(
                ErrorCode.DAEMON_STOPPING,
                "this VM's daemon is being stopped",
                retry_after=_STOPPING_RETRY_SECONDS,
            )

    async def _run(self, request: AdmittedRequest, hop: Hop, log: RequestLog) -> None:
        if request.is_call:
            self._call = request
        limits = self._context.configuration.caller_limits
        feeder = BodyFeeder(self._connection, self._pipe, limits)
        hop.set_attribute("route", request.route.name)
        attempts = self._front.dispatcher.start(request, feeder, hop, log)
        self._attempts = attempts
        try:
            while True:
                failed = await self._try_once(attempts, request)
                if failed is None:
                    return
                await attempts.prepare_retry(failed)
        except (AttemptError, curio.TaskCancelled) as error:
            is_over = self._is_given_up or isinstance(error, AttemptError)
            if attempts.fallback_answer is None or not is_over:
                raise
            await self._send_complete(attempts.fallback_answer, request)
        finally:
            await attempts.end()

    async def _try_once(
        self, attempts: Attempts, request: AdmittedRequest
    ) -> AttemptFailed | None:
        try:
            await attempts.next_attempt()
        except AttemptError as error:
            if error.code is ErrorCode.NO_TARGET:
                raise
            return AttemptFailed(error.code, error.detail, error.verdict)
        while True:
            failed = await self._relay(attempts, request)
            if failed is None:
                return None
            unresolved = await attempts.resolve_outcome(failed)
            if unresolved is not None:
                return unresolved

    async def _relay(
        self, attempts: Attempts, request: AdmittedRequest
    ) -> AttemptFailed | None:
        """Relay an answer; return the failure if the caller has received nothing."""
        event = await self._first_event(attempts, request)
        if isinstance(event, AttemptFailed):
            return event
        assert isinstance(event, AnswerStarted)
        attempts.note_answer(event)
        # Small answers are buffered until complete: they need one write, and a
        # truncated one can still be retried.
        buffered = bytearray()
        following: AnswerEvent | None = None
        while len(buffered) < _MAX_BUFFERED_BYTES:
            following = await self._try_receive(attempts)
            if isinstance(following, AttemptFailed):
                return following
            if not isinstance(following, AnswerContinued):
                break
            buffered += following.data
            following = None
        if isinstance(following, AnswerEnded):
            answer = BufferedAnswer(event, bytes(buffered), following.trailers)
            return await self._send_or_retry(attempts, request, answer)
        await attempts.keep_only_current()
        await self._begin_answer()
        # What arrives during a long answer is served, too.
        self._start_answer(event, request, is_closing=False)
        if buffered:
            self._connection.continue_answer(bytes(buffered))
        await self._relay_rest(attempts, following)
        return None

    async def _send_or_retry(
        self, attempts: Attempts, request: AdmittedRequest, answer: BufferedAnswer
    ) -> AttemptFailed | None:
        """Send a complete answer, or keep an error answer while a retry runs."""
        status = answer.started.status
        classification = self._context.dialect.classify_answer(
            answer.started, request.request_id
        )
        if classification.is_failure and request.is_idempotent:
            attempts.fallback_answer = answer
            return AttemptFailed(
                ErrorCode.TARGET_ERROR, f"the target answered {status}", Verdict.RAN
            )
        await attempts.keep_only_current()
        await self._send_complete(answer, request)
        return None

    async def _send_complete(
        self, answer: BufferedAnswer, request: AdmittedRequest
    ) -> None:
        await self._begin_answer()
        self._start_answer(answer.started, request, self._is_closing)
        if answer.body:
            self._connection.continue_answer(answer.body)
        self._connection.end_answer(self._without_key_header(answer.trailers))
        await self._connection.flush()

    async def _relay_rest(self, attempts: Attempts, event: AnswerEvent | None) -> None:
        if event is None:
            await self._connection.flush()
            event = await attempts.receive()
        while isinstance(event, AnswerContinued):
            self._connection.continue_answer(event.data)
            has_more = attempts.stream is not None and attempts.stream.has_more
            if self._connection.must_flush or not has_more:
                await self._connection.flush()
            event = await attempts.receive()
        if not isinstance(event, AnswerEnded):
            await self._reset_connection()
            return
        self._connection.end_answer(self._without_key_header(event.trailers))
        await self._connection.flush()

    async def _first_event(
        self, attempts: Attempts, request: AdmittedRequest
    ) -> AnswerEvent:
        if request.head.has_body:
            return await attempts.receive()
        event = await attempts.receive_soon(_SHORT_WAIT_SECONDS)
        if event is not None:
            return event
        watcher = await curio.spawn(attempts.watch_caller)
        try:
            return await attempts.receive_head()
        finally:
            await watcher.cancel()

    async def _try_receive(self, attempts: Attempts) -> AnswerEvent | None:
        """Wait briefly for the next event; None if there is none."""
        assert attempts.stream is not None
        if attempts.stream.has_more:
            return await attempts.stream.receive()
        return await curio.ignore_after(_SHORT_WAIT_SECONDS, attempts.stream.receive)

    async def _begin_answer(self) -> None:
        """Wait for the turn of the final answer, which is not given up from here on.

        Whether the connection closes behind it can only be said when its turn has come.
        """
        self._is_answering = True
        if self._is_given_up:
            await _discard_cancellation()
        await self._connection.wait_turn()

    def _start_answer(
        self, started: AnswerStarted, request: AdmittedRequest, is_closing: bool
    ) -> None:
        dialect = self._context.dialect
        outcome_headers = dialect.outcome_headers(Verdict.RAN, OK, request.request_id)
        names = {header.name for header in outcome_headers}
        headers = [
            *(h for h in started.headers if h.name not in names),
            *outcome_headers,
        ]
        if is_closing or self._connection.is_body_due:
            headers.append(self._announce_close())
        self._connection.start_answer(started.status, headers)

    def _announce_close(self) -> Header:
        """Return the header of the last answer on the connection."""
        self._pipe.end()
        return Header("connection", "close")

    def _without_key_header(self, trailers: tuple[Header, ...]) -> list[Header]:
        reserved = self._context.settings.front.key_header
        return [h for h in trailers if h.name != reserved]

    async def refuse(self, error: FleetError, request_id: str) -> None:
        """Send the answer that reports an error."""
        if not self._connection.can_answer:
            await self._reset_connection()
            return
        await self._begin_answer()
        if not isinstance(error, BadRequest):
            await self._skip_arrived_body()
        answer = refusal_answer(error, request_id, self._context.dialect)
        headers = list(answer.headers)
        # Behind a bad request that was read whole, the next one can be read.
        is_broken = isinstance(error, BadRequest) and not self._connection.may_precede
        if self._is_closing or is_broken or self._connection.is_body_due:
            headers.append(self._announce_close())
        try:
            self._connection.start_answer(answer.status, headers)
            self._connection.continue_answer(answer.body)
            self._connection.end_answer()
            await self._connection.flush()
        except OSError as send_error:
            _LOG.debug("CallerGone", extra={"why": str(send_error)})

    async def _skip_arrived_body(self) -> None:
        """Read the rest of a body that has arrived, and so reach what is behind it."""
        if not self._connection.is_body_due or self._connection.expects_continue:
            return
        left = MAX_REPLAY_BYTES
        try:
            async with curio.ignore_after(_SHORT_WAIT_SECONDS):
                while left > 0:
                    piece = await self._pipe.receive_body(self._connection)
                    if piece is None:
                        return
                    left -= len(piece)
        except (BadRequest, OSError) as error:
            _LOG.debug("BodyUnread", extra={"why": str(error)})

    @property
    def _is_closing(self) -> bool:
        """Whether this is the last answer on the connection."""
        if not (self._front.should_close_connections or self._pipe.is_closing):
            return False
        return self._pipe.may_close_behind(self._connection)

    async def _reset_connection(self) -> None:
        """Reset the connection, so that a truncated answer does not look complete."""
        await self._connection.wait_turn()
        sock = self._connection.sock
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        await sock.close()
        raise AnswerTruncated("the answer was truncated")


def _priority(route: Route, team: Team | None) -> int:
    """Return the priority of a request; the team's overrides the route's."""
    if team is not None and team.priority is not None:
        return team.priority
    return route.priority


async def _discard_cancellation() -> None:
    """Keep a cancellation from reaching a later wait than the one it was meant for."""
    try:
        await curio.check_cancellation()
    except curio.TaskCancelled:
        _LOG.debug("GivenUpLate")
