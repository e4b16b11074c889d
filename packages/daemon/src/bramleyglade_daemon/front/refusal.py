"""HTTP answers for errors."""

from __future__ import annotations

import json
from dataclasses import dataclass
from functools import singledispatch
from typing import TYPE_CHECKING

from bramleyglade_core.model.errors import (
    AttemptError,
    BadRequest,
    ErrorCode,
    FleetError,
    KeyRefused,
    RateExceeded,
    RouteRefused,
)
from bramleyglade_core.model.exchange import Header
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from bramleyglade_core.ports.dialect import Dialect

_UNAUTHORISED_CODES = (ErrorCode.KEY_MISSING, ErrorCode.KEY_UNKNOWN)
_RETRY_AFTER_STATUSES = (429, 503)
"""Statuses that tell callers to retry, as the request has not run."""

_DEFAULT_RETRY_SECONDS = 0.15
"""Retry delay for refusals that state none. Most requests run longer at a target, so
some slots will be free by then."""

_STATUS_BY_BAD_REQUEST_CODE = {
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.HEAD_TOO_LARGE: 431,
}


@dataclass(frozen=True, slots=True)
class RefusalAnswer:
    """Status, headers and body of a refusal."""

    status: int
    headers: tuple[Header, ...]
    body: bytes


@singledispatch
def status_of(error: FleetError) -> int:
    """Return the HTTP status for an error."""
    return 500


@status_of.register
def _(error: BadRequest) -> int:
    return _STATUS_BY_BAD_REQUEST_CODE.get(error.code, 400)


@status_of.register
def _(error: RouteRefused) -> int:
    return 405 if error.code is ErrorCode.METHOD_NOT_ALLOWED else 404


@status_of.register
def _(error: KeyRefused) -> int:
    if error.code in _UNAUTHORISED_CODES:
        return 401
    return 403 if error.code is ErrorCode.KEY_NOT_ALLOWED else 503


@status_of.register
def _(error: RateExceeded) -> int:
    return 429 if error.code is ErrorCode.RATE_EXCEEDED else 503


@status_of.register
def _(error: AttemptError) -> int:
    # Callers interpret 503 as a guarantee that the request has not run.
    if error.code is ErrorCode.DEADLINE_EXCEEDED:
        return 504
    if error.code is ErrorCode.BODY_TOO_LARGE:
        return 413
    return 503 if error.verdict is Verdict.NOT_RUN else 502


def refusal_answer(
    error: FleetError, request_id: str, dialect: Dialect
) -> RefusalAnswer:
    """Build the answer that reports an error to a caller.

    Args:
        error: The error, with its code and verdict.
        request_id: Identifier of the request; may be empty.
        dialect: The dialect that names the headers.

    Returns:
        The answer, with the verdict in a header and in the body.
    """
    payload = {
        "code": error.code.value,
        "detail": error.detail,
        "verdict": error.verdict.value,
        "request_id": request_id,
    }
    body = json.dumps(payload).encode()
    headers = [
        Header("content-type", "application/json"),
        Header("content-length", str(len(body))),
        *dialect.outcome_headers(error.verdict, error.code.value, request_id),
    ]
    status = status_of(error)
    retry_after = error.retry_after
    if retry_after is None and status in _RETRY_AFTER_STATUSES:
        retry_after = _DEFAULT_RETRY_SECONDS
    if retry_after is not None:
        headers.append(Header("retry-after", dialect.retry_after(retry_after)))
    return RefusalAnswer(status, tuple(headers), body)
