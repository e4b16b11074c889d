"""What clients of an object store over HTTP and JSON share."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from bramleyglade_core.model.errors import ErrorCode, StoreUnavailable

if TYPE_CHECKING:
    from bramleyglade_adapters.http.simple_client import WholeAnswer


def refused(answer: WholeAnswer) -> StoreUnavailable:
    """Make the error for an answer that refuses a call."""
    detail = f"the store answered {answer.status}"
    return StoreUnavailable(ErrorCode.STORE_UNAVAILABLE, detail)


def json_body(answer: WholeAnswer) -> dict[str, Any]:
    """Decode an answer's body.

    Raises:
        StoreUnavailable: If it is no JSON object.
    """
    try:
        body = json.loads(answer.body)
    except ValueError:
        body = None
    if not isinstance(body, dict):
        raise StoreUnavailable(ErrorCode.STORE_UNAVAILABLE, "no JSON from the store")
    return body
