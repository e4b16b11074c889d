"""The product's own headers towards callers and targets."""

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
"""Header in which a caller may state a shorter deadline, in seconds."""

TARGET_DEADLINE_HEADER = "x-fleet-deadline-seconds"
"""Header that tells a target how long its answer is waited for, in seconds."""

_REQUEST_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
_SERVER_ERROR = 500


class FleetDialect:
    """Implements the `Dialect` port."""

    def __init__(self, settings: FrontSettings) -> None:
        self._key_header = settings.key_header
        self._dropped = (
            settings.key_header,
            "expect",
            DEADLINE_HEADER,
            REQUEST_ID_HEADER,
        )

    def read_caller_headers(self, headers: Iterable[Header]) -> CallerMetadata:
        """Read the headers of a caller's request."""
        headers = tuple(headers)
        request_id = first_header(headers, REQUEST_ID_HEADER)
        return CallerMetadata(
            request_id=request_id if _REQUEST_ID.fullmatch(request_id) else "",
            key=first_header(headers, self._key_header),
            seconds=_seconds(first_header(headers, DEADLINE_HEADER)),
        )

    def forwarded_headers(
        self, headers: Iterable[Header], metadata: ForwardedMetadata
    ) -> tuple[Header, ...]:
        """Return what a target may see of a request's headers."""
        kept = [h for h in end_to_end_headers(headers) if h.name not in self._dropped]
        kept.append(Header(REQUEST_ID_HEADER, metadata.request_id))
        return tuple(kept)

    def target_headers(self, metadata: DispatchMetadata) -> tuple[Header, ...]:
        """Return the headers that the guard adds."""
        return (Header(TARGET_DEADLINE_HEADER, f"{metadata.remaining_seconds:.3f}"),)

    def classify_answer(
        self, started: AnswerStarted, request_id: str
    ) -> AnswerClassification:
        """Judge the head of an answer; every answer in the protocol is taken."""
        return AnswerClassification(is_failure=started.status >= _SERVER_ERROR)

    def read_health_headers(
        self, headers: Iterable[Header]
    ) -> HealthCheckResult | None:
        """Return None: targets say what they are when they announce themselves."""
        return None

    def outcome_headers(
        self, verdict: Verdict, code: str, request_id: str
    ) -> list[Header]:
        """Return the headers that tell a caller what became of its request."""
        headers = [Header(VERDICT_HEADER, verdict.value), Header(CODE_HEADER, code)]
        if request_id:
            headers.append(Header(REQUEST_ID_HEADER, request_id))
        return headers

    def retry_after(self, seconds: float) -> str:
        """Write a time after which to come back, in whole seconds (RFC 9110)."""
        return str(max(1, math.ceil(seconds)))


def _seconds(given: str) -> float | None:
    if not given:
        return None
    try:
        seconds = float(given)
    except ValueError:
        seconds = 0.0
    if not 0.0 < seconds < float("inf"):
        raise BadRequest(ErrorCode.BAD_REQUEST, f"{DEADLINE_HEADER} must be above 0")
    return seconds
