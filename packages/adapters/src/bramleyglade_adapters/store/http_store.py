"""A client of the object store over HTTP and JSON.

It is kept thin because a platform's actual protocol may differ. The calls are
`GET /v1/objects/KEY`, `PUT` with `if-none-match: *` or `if-match: REVISION`,
`GET /v1/list?prefix=&after=` and `GET /v1/watch?prefix=&after=&wait_ms=`.
Values are encoded in base64; every answer contains the store's revision, and the era
if the store has eras.
"""

from __future__ import annotations

import base64
import json
import logging
from typing import TYPE_CHECKING, Any
from urllib.parse import quote, urlencode

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
    WholeAnswer,
)
from bramleyglade_adapters.store.store_answers import json_body, status_error
from bramleyglade_core.model.errors import (
    ErrorCode,
    StoreAnswerLost,
    StoreRestored,
    StoreUnavailable,
    VersionConflict,
)
from bramleyglade_core.model.exchange import Header
from bramleyglade_core.ports.store import Listing, StoredObject

if TYPE_CHECKING:
    from bramleyglade_core.model.identifiers import Address

_LOG = logging.getLogger(__name__)

_MILLISECONDS_PER_SECOND = 1000.0
_CALL_TIMEOUT_SECONDS = 2.0
_WATCH_GRACE_SECONDS = 1.5
"""Time that a watch may take beyond its wait before it times out."""
_OK = 200
_NOT_FOUND = 404
_GONE = 410
_PRECONDITION_FAILED = 412


class HttpStore:
    """Implements the `ObjectStore` port."""

    def __init__(self, address: Address) -> None:
        self._client = SimpleClient(address)
        self._watch_client = SimpleClient(address)

    async def read(self, key: str) -> StoredObject | None:
        """Read an object; None if it does not exist."""
        answer = await self._read(self._client, f"/v1/objects/{quote(key)}")
        if answer.status == _NOT_FOUND:
            return None
        return _to_stored_object(json_body(answer))

    async def create(self, key: str, value: bytes, era: int | None = None) -> int:
        """Create an object and return its revision."""
        return await self._write(key, value, Header("if-none-match", "*"), era)

    async def update(
        self, key: str, value: bytes, revision: int, era: int | None = None
    ) -> int:
        """Replace an object if its revision is unchanged; return the new revision."""
        condition = Header("if-match", str(revision))
        return await self._write(key, value, condition, era)

    async def list_changed(self, prefix: str, after: int) -> Listing:
        """List the objects under a prefix that changed after a revision."""
        query = urlencode({"prefix": prefix, "after": after})
        return _to_listing(await self._read(self._client, f"/v1/list?{query}"))

    async def list_some(self, prefix: str, after_key: str) -> tuple[StoredObject, ...]:
        """List the objects under a prefix whose keys follow a key."""
        listing = await self.list_changed(prefix, 0)
        return tuple(o for o in listing.objects if o.key > after_key)

    async def watch(self, prefix: str, after: int, wait_seconds: float) -> Listing:
        """Wait for changes after a revision; the listing may be empty."""
        wait_milliseconds = int(wait_seconds * _MILLISECONDS_PER_SECOND)
        query = urlencode(
            {"prefix": prefix, "after": after, "wait_ms": wait_milliseconds}
        )
        timeout = wait_seconds + _WATCH_GRACE_SECONDS
        answer = await self._read(self._watch_client, f"/v1/watch?{query}", timeout)
        return _to_listing(answer)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
        await self._watch_client.close()

    async def _read(
        self,
        client: SimpleClient,
        target: str,
        timeout_seconds: float = _CALL_TIMEOUT_SECONDS,
    ) -> WholeAnswer:
        try:
            answer = await client.request(
                "GET", target, timeout_seconds=timeout_seconds
            )
        except (RequestNotSent, AnswerLost) as error:
            raise StoreUnavailable(ErrorCode.STORE_UNAVAILABLE, str(error)) from None
        if answer.status == _GONE:
            raise StoreRestored(
                _era(json_body(answer)), "the store has no such revision"
            )
        if answer.status not in (_OK, _NOT_FOUND):
            raise status_error(answer)
        return answer

    async def _write(
        self, key: str, value: bytes, condition: Header, era: int | None
    ) -> int:
        body = json.dumps({"value": base64.b64encode(value).decode()}).encode()
        try:
            answer = await self._client.request(
                "PUT",
                f"/v1/objects/{quote(key)}",
                body,
                headers=(condition,),
                timeout_seconds=_CALL_TIMEOUT_SECONDS,
            )
        except RequestNotSent as error:
            raise StoreUnavailable(ErrorCode.STORE_UNAVAILABLE, str(error)) from None
        except AnswerLost as error:
            raise StoreAnswerLost(ErrorCode.STORE_ANSWER_LOST, str(error)) from None
        if answer.status == _PRECONDITION_FAILED:
            raise VersionConflict(ErrorCode.VERSION_CONFLICT, f"{key} has changed")
        if answer.status != _OK:
            raise status_error(answer)
        fields = json_body(answer)
        if era is not None and _era(fields) != era:
            raise StoreRestored(_era(fields), f"{key} was read in era {era}")
        return _revision(fields)


def _to_stored_object(fields: Any, era: int | None = None) -> StoredObject:
    try:
        key, value = fields["key"], base64.b64decode(fields["value"])
    except (TypeError, KeyError, ValueError) as error:
        raise _malformed(f"an object without key or value: {error!r}") from None
    if not isinstance(key, str):
        raise _malformed("an object's key is not a string")
    era = _era(fields) if era is None else era
    return StoredObject(key, value, _revision(fields), era)


def _revision(fields: dict[str, Any]) -> int:
    revision = fields.get("revision")
    if type(revision) is not int:
        raise _malformed("an answer without a revision")
    return revision


def _era(fields: dict[str, Any]) -> int:
    era = fields.get("era", 0)
    if type(era) is not int or era < 0:
        raise _malformed("an answer with a malformed era")
    return era


def _malformed(detail: str) -> StoreUnavailable:
    return StoreUnavailable(ErrorCode.STORE_UNAVAILABLE, detail)


def _to_listing(answer: WholeAnswer) -> Listing:
    fields = json_body(answer)
    entries = fields.get("objects")
    if not isinstance(entries, list):
        raise _malformed("a list without objects")
    era = _era(fields)
    objects = []
    for entry in entries:
        try:
            objects.append(_to_stored_object(entry, era))
        except StoreUnavailable as error:
            _LOG.error("ObjectUnreadable", extra={"key": "", "why": error.detail})
    return Listing(tuple(objects), _revision(fields), era)
