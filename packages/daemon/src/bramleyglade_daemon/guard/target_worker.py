"""The worker of one connection to a target, which runs exchanges in sequence."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.error_text import error_text
from bramleyglade_adapters.http.client_connection import (
    AnswerBroken,
    ClientConnection,
)
from bramleyglade_adapters.http.wire import end_to_end_headers
from bramleyglade_core.model.errors import AttemptError, ErrorCode, FleetError
from bramleyglade_core.model.exchange import (
    AnswerEnded,
    AnswerEvent,
    AnswerStarted,
    Header,
)
from bramleyglade_core.model.verdict import Verdict
from bramleyglade_core.ports.dialect import DispatchMetadata
from bramleyglade_daemon.guard.exchange import AnswerRecorder

if TYPE_CHECKING:
    from bramleyglade_core.model.identifiers import Address
    from bramleyglade_daemon.guard.exchange import QueuedAttempt
    from bramleyglade_daemon.guard.target_runner import TargetRunner

_CONNECT_SECONDS = 2.0
"""Timeout for a connection to a target on this VM."""

_LOG = logging.getLogger(__name__)


class TargetWorker:
    """Runs exchanges over one connection, which it opens on demand."""

    def __init__(self, runner: TargetRunner) -> None:
        self._runner = runner
        self._connection: ClientConnection | None = None
        self._address: Address | None = None
        """Address of the connection."""
        self._idle_since = 0.0
        self.mailbox = curio.Queue()
        self.task: curio.Task | None = None
        self.current: QueuedAttempt | None = None
        self.sent_at: float | None = None
        """When the first byte of the current exchange was sent; None before."""
        self.head_seconds: float | None = None
        """Time to the head of the current answer, in seconds; None before."""
        self.is_failure = False
        """Whether the current answer reports a failure of the target."""
        self.is_cancelled = False

    async def run(self, item: QueuedAttempt) -> None:
        """Run an attempt and then queued ones, until none comes for a while."""
        work: QueuedAttempt | None = item
        try:
            while work is not None:
                self.current = work
                try:
                    await self._serve(work)
                finally:
                    self.current = None
                    self.sent_at = None
                    self._runner.note_finished(self)
                if self.is_cancelled:
                    return
                work = await self._runner.next_item(self)
        finally:
            self._runner.note_stopped(self)
            await self._drop_connection()
            await self._runner.start_work()

    async def cancel_current(self) -> None:
        """Cancel the current exchange, which closes its connection."""
        self.is_cancelled = True
        if self.task is not None:
            await self.task.cancel(blocking=False)

    async def _serve(self, item: QueuedAttempt) -> None:
        hop = self._runner.start_hop(item)
        started_at = self._runner.clock()
        code = "ok"
        try:
            async with curio.timeout_after(max(0.0, item.deadline - started_at)):
                await self._exchange(item)
            if self.is_failure:
                code = ErrorCode.TARGET_ERROR.value
        except curio.TaskCancelled:
            code = ErrorCode.ATTEMPT_CANCELLED.value
            await self._runner.note_lost_answer(item)
            raise
        except curio.TaskTimeout:
            code = ErrorCode.DEADLINE_EXCEEDED.value
            await self._fail(item, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed")
        except AttemptError as error:
            code = error.code.value
            await self._refuse(item, error)
        except FleetError as error:
            code = error.code.value
            await self._fail(item, error.code, error.detail)
        except OSError as error:
            code = ErrorCode.TARGET_FAILED.value
            await self._fail(item, ErrorCode.TARGET_FAILED, str(error))
        except curio.CancelledError:
            raise
        except Exception:
            # The front would otherwise wait for an answer that never comes.
            _LOG.exception("ExchangeCrashed")
            code = ErrorCode.TARGET_FAILED.value
            await self._fail(
                item, ErrorCode.TARGET_FAILED, "internal error in the guard"
            )
        finally:
            hop.set_attribute("code", code)
            hop.end()
            seconds = self._runner.clock() - started_at
            self._runner.note_outcome(item, code, seconds)

    async def _exchange(self, item: QueuedAttempt) -> None:
        connection = await self._connect(item)
        self._check_before_first_byte(item)
        self.sent_at = self._runner.clock()
        self.head_seconds = None
        offered = item.offered
        headers = self._request_headers(item)
        await connection.send_head(
            offered.method, offered.path, headers, offered.has_body
        )
        if not offered.has_body:
            await self._relay_answer(connection, item)
            return
        await item.stream.open_body()
        upload = await curio.spawn(self._upload, connection, item)
        try:
            await self._relay_answer(connection, item, upload)
        finally:
            await upload.cancel()

    async def _connect(self, item: QueuedAttempt) -> ClientConnection:
        if self._connection is not None:
            idle = self._runner.clock() - self._idle_since
            is_long_idle = idle > self._runner.settings.idle_bound_seconds
            is_current = self._address == self._runner.announced.address
            if (
                is_current
                and self._connection.is_usable()
                and (not is_long_idle or item.offered.is_idempotent)
            ):
                return self._connection
            await self._drop_connection()
        self._address = self._runner.announced.address
        try:
            self._connection = await ClientConnection.open(
                self._address, _CONNECT_SECONDS
            )
        except (OSError, curio.TaskTimeout) as error:
            raise AttemptError(
                ErrorCode.TARGET_REFUSED,
                f"no connection to the target: {error_text(error)}",
            ) from None
        return self._connection

    def _check_before_first_byte(self, item: QueuedAttempt) -> None:
        """Check again that the attempt may start, after its waits and any pause."""
        if self._runner.clock() >= item.deadline:
            raise AttemptError(
                ErrorCode.DEADLINE_EXCEEDED, "the deadline passed before the start"
            )
        if item.stream.is_abandoned:
            raise AttemptError(
                ErrorCode.ATTEMPT_CANCELLED, "the front cancelled the attempt"
            )
        self._runner.check_start(item)
        if self._address != self._runner.announced.address:
            raise AttemptError(
                ErrorCode.TARGET_UNKNOWN, "the target moved before the start"
            )
        if not self._runner.attempts.start(item.offered.attempt):
            raise AttemptError(ErrorCode.ATTEMPT_FENCED, "the attempt was fenced")
        self._runner.note_run(self, item.offered)

    def _request_headers(self, item: QueuedAttempt) -> list[Header]:
        remaining_seconds = max(0.0, item.deadline - self._runner.clock())
        metadata = DispatchMetadata(remaining_seconds, self._runner.announced.instance)
        headers = [
            *item.offered.headers,
            *self._runner.dialect.target_headers(metadata),
        ]
        if not any(header.name == "host" for header in headers):
            # HTTP/1.0 callers may omit it, but HTTP/1.1 to the target requires it.
            headers.append(Header("host", str(self._runner.announced.address)))
        if item.offered.has_body:
            if not any(header.name == "content-length" for header in headers):
                headers.append(Header("transfer-encoding", "chunked"))
        return headers

    async def _upload(self, connection: ClientConnection, item: QueuedAttempt) -> None:
        try:
            while (data := await item.stream.receive()) is not None:
                await connection.send_body(data)
            await connection.end_body()
        except OSError:
            # The target may have answered early, which the answer will show.
            return
        except AttemptError:
            await self._end_truncated(item)

    async def _end_truncated(self, item: QueuedAttempt) -> None:
        """Cancel an exchange whose front gave up or was lost during the upload.

        The target gets no more of the body, so it may never answer. An answer that
        has begun may still end.
        """
        if self.current is item and self.head_seconds is None:
            await self.cancel_current()

    async def _relay_answer(
        self,
        connection: ClientConnection,
        item: QueuedAttempt,
        upload: curio.Task | None = None,
    ) -> None:
        recorder = AnswerRecorder(self._runner.settings)
        is_recorded = not item.offered.is_idempotent
        while True:
            part = await connection.receive()
            if isinstance(part, AnswerStarted):
                await self._check_answer_head(connection, part, item)
                await self._runner.publish_failure()
                part = AnswerStarted(part.status, end_to_end_headers(part.headers))
            if is_recorded:
                recorder.note(part)
            if not isinstance(part, AnswerEnded):
                await self._forward(item, part)
                continue
            if is_recorded:
                await self._runner.keep_answer(item, recorder)
            await self._release(connection, upload)
            await self._forward(item, part)
            return

    async def _forward(self, item: QueuedAttempt, event: AnswerEvent) -> None:
        if item.stream.is_link_lost and not item.offered.is_idempotent:
            return  # The front queries the outcome over a new link.
        try:
            await item.stream.send(event)
        except FleetError:
            if not item.stream.is_link_lost or item.offered.is_idempotent:
                raise

    async def _check_answer_head(
        self, connection: ClientConnection, started: AnswerStarted, item: QueuedAttempt
    ) -> None:
        """Check the head of an answer before anything is forwarded.

        Raises:
            AnswerBroken: If the answer does not belong to this request.
            AttemptError: If the target reports that it has not run the request.
        """
        assert self.sent_at is not None
        classification = self._runner.dialect.classify_answer(
            started,
            item.offered.request_id,
            is_first_on_connection=connection.is_first_exchange,
        )
        if classification.fault is not None:
            raise AnswerBroken(
                classification.fault, classification.detail, Verdict.MAY_HAVE_RUN
            )
        self.head_seconds = self._runner.clock() - self.sent_at
        self.is_failure = classification.is_failure
        if classification.is_leaving:
            await self._runner.note_leaving()
        if not classification.is_other_instance:
            await self._runner.note_rate(classification.requests_per_second)
        if classification.is_not_run:
            self._runner.note_shed(classification.is_other_instance)
            raise AttemptError(ErrorCode.TARGET_SHED, classification.detail)
        if classification.is_failure:
            self._log_failure(item, started.status)
        self._runner.note_head(self.head_seconds, classification.is_failure)

    def _log_failure(self, item: QueuedAttempt, status: int) -> None:
        assert self.head_seconds is not None
        extra = {
            "request": item.offered.request_id,
            "target": self._runner.announced.name,
            "status": status,
            "seconds": round(self.head_seconds, 4),
            "risk": round(self._runner.failures.risk(self._runner.clock()), 3),
            "most_risk": round(item.offered.most_risk, 3),
        }
        _LOG.info("TargetAnsweredWithFailure", extra=extra)

    async def _release(
        self, connection: ClientConnection, upload: curio.Task | None
    ) -> None:
        if upload is not None and not upload.terminated:
            await upload.cancel()
        if connection.finish_exchange():
            self._idle_since = self._runner.clock()
        else:
            await self._drop_connection()

    async def _refuse(self, item: QueuedAttempt, error: AttemptError) -> None:
        """End an exchange that the target has refused, or that has not started."""
        if error.code is not ErrorCode.TARGET_SHED:
            await self._fail(item, error.code, error.detail)
            return
        await self._runner.publish_failure()
        await self._drop_connection()
        await self._runner.note_not_run(item)
        try:
            await item.refuse(error.code, error.detail, Verdict.NOT_RUN)
        except FleetError as gone:
            _LOG.debug("FrontUnreachable", extra={"why": str(gone)})

    async def _fail(self, item: QueuedAttempt, code: ErrorCode, detail: str) -> None:
        has_started = self.sent_at is not None
        await self._drop_connection()
        if has_started:
            verdict = Verdict.MAY_HAVE_RUN
        else:
            self._runner.attempts.fence(item.offered.attempt)
            verdict = Verdict.NOT_RUN
        if code is not ErrorCode.ATTEMPT_CANCELLED:
            self._runner.note_exchange_failure(code, has_started, self.head_seconds)
            await self._runner.publish_failure()
        if has_started:
            await self._runner.note_lost_answer(item)
        try:
            await item.refuse(code, detail, verdict)
        except FleetError as error:
            _LOG.debug("FrontUnreachable", extra={"why": str(error)})

    async def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            await connection.close()
