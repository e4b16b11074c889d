"""A stand-in for the platform's object store that runs as a separate process.

`PUT /v1/faults` with a JSON object sets its faults; `PUT /v1/restoration` restores it
from a copy. Every JSON answer carries the era, except of a store without eras.
"""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote, urlsplit

import curio
import fire

from bramleyglade_adapters.structure import from_json
from bramleyglade_core.model.errors import (
    ErrorCode,
    StoreAnswerLost,
    StoreRestored,
    StoreUnavailable,
    VersionConflict,
)
from bramleyglade_core.model.identifiers import Address
from bramleyglade_standins.http_server import StandInAnswer, StandInRequest, listen
from bramleyglade_standins.memory_store import (
    MemoryStore,
    Restoration,
    StoreFaults,
)

if TYPE_CHECKING:
    from bramleyglade_core.ports.store import Listing, StoredObject

_MILLISECONDS_PER_SECOND = 1000.0


class StoreServer:
    """Serves an in-memory store over the store's HTTP protocol."""

    def __init__(self, store: MemoryStore) -> None:
        self._store = store

    async def answer(self, request: StandInRequest) -> StandInAnswer:
        """Answer one request."""
        try:
            return await self._dispatch(request)
        except VersionConflict:
            return self._answer({}, 412)
        except StoreRestored:
            return self._answer({}, 410)
        except StoreAnswerLost:
            return StandInAnswer(200, is_lost=True)
        except StoreUnavailable:
            return StandInAnswer(503, b"{}")

    async def _dispatch(self, request: StandInRequest) -> StandInAnswer:
        url = urlsplit(request.head.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/v1/faults":
            code = ErrorCode.BAD_REQUEST
            self._store.faults = from_json(StoreFaults, request.body, code)
            return self._answer({})
        if url.path == "/v1/restoration":
            restoration = from_json(Restoration, request.body, ErrorCode.BAD_REQUEST)
            await curio.spawn(self._store.restore, restoration, daemon=True)
            return self._answer({})
        if url.path == "/v1/list":
            listing = await self._store.list_changed(
                query.get("prefix", ""), int(query.get("after", 0))
            )
            return self._answer(_listing_to_plain(listing))
        if url.path == "/v1/watch":
            listing = await self._store.watch(
                query.get("prefix", ""),
                int(query.get("after", 0)),
                int(query.get("wait_ms", 0)) / _MILLISECONDS_PER_SECOND,
            )
            return self._answer(_listing_to_plain(listing))
        key = unquote(url.path.removeprefix("/v1/objects/"))
        if request.head.method == "PUT":
            return await self._put(key, request)
        stored = await self._store.read(key)
        return self._answer(_to_plain(stored)) if stored else self._answer({}, 404)

    async def _put(self, key: str, request: StandInRequest) -> StandInAnswer:
        value = base64.b64decode(json.loads(request.body)["value"])
        condition = request.head.header("if-match")
        if condition:
            revision = await self._store.update(key, value, int(condition))
        else:
            revision = await self._store.create(key, value)
        return self._answer({"revision": revision})

    def _answer(self, plain: dict[str, Any], status: int = 200) -> StandInAnswer:
        if self._store.era:
            plain = {**plain, "era": self._store.era}
        return StandInAnswer(status, json.dumps(plain).encode())


def _to_plain(stored: StoredObject) -> dict[str, Any]:
    return {
        "key": stored.key,
        "value": base64.b64encode(stored.value).decode(),
        "revision": stored.revision,
    }


def _listing_to_plain(listing: Listing) -> dict[str, Any]:
    objects = [_to_plain(stored) for stored in listing.objects]
    return {"objects": objects, "revision": listing.revision}


def run(address: str = "127.0.0.1:7070", era: int = 0) -> None:
    """Serve an initially empty store until the process is terminated.

    Args:
        address: Where to listen, as host:port.
        era: First era of the store; 0 for a store without eras.
    """

    async def serve() -> None:
        server = StoreServer(MemoryStore(era))
        task = await listen(Address.parse(address), server.answer)
        await task.join()

    curio.run(serve)


if __name__ == "__main__":
    fire.Fire(run)
