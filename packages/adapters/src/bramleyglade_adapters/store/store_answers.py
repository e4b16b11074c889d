"""Decoding of answers, for clients of an object store over HTTP and JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from bramleyglade_adapters.json_input import load_json_page
from bramleyglade_core.model.errors import ErrorCode, StoreUnavailable

if TYPE_CHECKING:
    from bramleyglade_adapters.http.simple_client import WholeAnswer


def status_error(answer: WholeAnswer) -> StoreUnavailable:
    """Create the error for an answer with an unexpected status."""
    detail = f"the store answered {answer.status}"
    return StoreUnavailable(ErrorCode.STORE_UNAVAILABLE, detail)


def json_body(answer: WholeAnswer) -> dict[str, Any]:
    """Decode the body of an answer as a JSON object.

    Raises:
        StoreUnavailable: If the body is not a JSON object.
    """
    try:
        body = load_json_page(answer.body)
    except ValueError:
        body = None
    if not isinstance(body, dict):
        raise StoreUnavailable(
            ErrorCode.STORE_UNAVAILABLE, "the store's answer is not a JSON object"
        )
    return body
