"""The product's own HTTP headers for callers and targets."""

from __future__ import annotations

import math
import re
from typing import TYPE_CHECKING

from bramleyglade_adapters.http.wire import end_to_end_headers, first_header
from bramleyglade_core.model.errors import BadRequest, ErrorCode
from bramleyglade_core.model.exchange import AnswerStarted, Header
from bramleyglade_core.ports.dialect import (
    AnswerClassification,
    CallerMetadata,
    DispatchMetadata,
    ForwardedMetadata,
    HealthCheckResult,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.settings import FrontSettings
    from bramleyglade_core.model.verdict import Verdict

VERDICT_HEADER = "x-fleet-verdict"
CODE_HEADER = "x-fleet-code"
REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-request-timeout-seconds"
"""Header with which a caller can set a shorter timeout, in seconds."""

TARGET_DEADLINE_HEADER = "x-fleet-deadline-seconds"
"""Header that gives a target the time left until the deadline, in seconds."""

_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_FIRST_FAILURE_STATUS = 500


class FleetDialect:
    """Implements the `Dialect` port."""

    def __init__(self, settings: FrontSettings) -> None:
        self._key_header = settings.key_header
        self._dropped_headers = (
            settings.key_header,
            "expect",
            DEADLINE_HEADER,
            REQUEST_ID_HEADER,
        )

    def read_caller_headers(self, headers: Iterable[Header]) -> CallerMetadata:
        """Read the headers of a caller's request.

        Raises:
            BadRequest: If the timeout is not a positive, finite number.
        """
        headers = tuple(headers)
        request_id = first_header(headers, REQUEST_ID_HEADER)
        return CallerMetadata(
            request_id=request_id if _REQUEST_ID.fullmatch(request_id) else "",
            key=first_header(headers, self._key_header),
            seconds=_parse_seconds(first_header(headers, DEADLINE_HEADER)),
        )

    def forwarded_headers(
        self, headers: Iterable[Header], metadata: ForwardedMetadata
    ) -> tuple[Header, ...]:
        """Return the request headers to forward to a target."""
        kept = [
            h
            for h in end_to_end_headers(headers)
            if h.name not in self._dropped_headers
        ]
        kept.append(Header(REQUEST_ID_HEADER, metadata.request_id))
        return tuple(kept)

    def target_headers(self, metadata: DispatchMetadata) -> tuple[Header, ...]:
        """Return the headers that the guard adds to a request."""
        return (Header(TARGET_DEADLINE_HEADER, f"{metadata.remaining_seconds:.3f}"),)

    def classify_answer(
        self,
        started: AnswerStarted,
        request_id: str,
        is_first_on_connection: bool = False,
    ) -> AnswerClassification:
        """Classify an answer by its status; every well-formed answer is accepted."""
        return AnswerClassification(is_failure=started.status >= _FIRST_FAILURE_STATUS)

    def read_health_headers(
        self, headers: Iterable[Header]
    ) -> HealthCheckResult | None:
        """Return None; targets report their instance and slots when they announce."""
        return None

    def outcome_headers(
        self, verdict: Verdict, code: str, request_id: str
    ) -> list[Header]:
        """Return the headers that tell a caller the outcome of its request."""
        headers = [Header(VERDICT_HEADER, verdict.value), Header(CODE_HEADER, code)]
        if request_id:
            headers.append(Header(REQUEST_ID_HEADER, request_id))
        return headers

    def retry_after(self, seconds: float) -> str:
        """Format the value of a Retry-After header, in whole seconds (RFC 9110)."""
        return str(max(1, math.ceil(seconds)))


def _parse_seconds(text: str) -> float | None:
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds < float("inf"):
        raise BadRequest(
            ErrorCode.BAD_REQUEST, f"{DEADLINE_HEADER} must be a positive number"
        )
    return seconds
