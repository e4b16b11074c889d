"""A stand-in for the users' platform: a store of objects by kind and name."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, replace
from typing import Any
from urllib.parse import parse_qs, unquote

import curio

from bramleyglade_core.model.exchange import Header
from bramleyglade_standins.http_server import StandInAnswer, StandInRequest

_PREFIX = "/-/objects/"
_ERA_HEADER = "Store-Era"
_PAGE_SIZE = 3
"""Objects on one page; small, so that tests get more than one page."""


@dataclass(frozen=True, slots=True)
class PlatformFaults:
    """Faults of the store."""

    refusal: int | None = None
    """Status with which every call is refused; None if calls succeed."""
    is_silent: bool = False
    """True if calls are neither executed nor answered."""
    loses_writes: bool = False
    """True if writes are executed and their answers lost."""


@dataclass(frozen=True, slots=True)
class _Copy:
    """The store's content right after a write."""

    written_at: float
    revision: int
    object_by_name_by_kind: dict[str, dict[str, dict[str, Any]]]


class StandInPlatform:
    """Stores objects in memory, with one revision counter for all kinds."""

    def __init__(self) -> None:
        self.revision = 1
        self.era: int | None = None
        """Era in the header of each answer; None for a store without eras."""
        self.faults = PlatformFaults()
        self.calls = 0
        self.writes = 0
        """Writes of daemons that were executed."""
        self._copies = [_Copy(time.monotonic(), self.revision, {})]
        self._object_by_name_by_kind: dict[str, dict[str, dict[str, Any]]] = {}

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as an operator would, and return its revision."""
        self.revision += 1
        metadata = {
            "Name": name,
            "Revision": self.revision,
            "CreatedRev": self.revision,
            "Finalizers": [],
            "Deleting": False,
        }
        objects = self._object_by_name_by_kind.setdefault(kind, {})
        objects[name] = {"Metadata": metadata, "Spec": spec, "Status": None}
        self._copy()
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as an operator would."""
        self.revision += 1
        del self._object_by_name_by_kind[kind][name]
        self._copy()

    def find(self, kind: str, name: str) -> Any:
        """Return the content of an object; None if there is none."""
        found = self._object_by_name_by_kind.get(kind, {}).get(name)
        return None if found is None else found["Spec"]

    async def restore(self, lost_seconds: float, outage_seconds: float = 0.0) -> None:
        """Go away, come back from a copy and begin a new era.

        Args:
            lost_seconds: Age of the copy when the store goes away.
            outage_seconds: Time for which the store is away.
        """
        self.faults = replace(self.faults, refusal=503)
        copied_at = time.monotonic() - lost_seconds
        await curio.sleep(outage_seconds)
        kept = [copy for copy in self._copies[1:] if copy.written_at <= copied_at]
        self._copies = [self._copies[0], *kept]
        copy = self._copies[-1]
        self.revision = copy.revision
        self._object_by_name_by_kind = _copy_kinds(copy.object_by_name_by_kind)
        self.era = (self.era or 0) + 1
        self.faults = replace(self.faults, refusal=None)

    def _copy(self) -> None:
        kinds = _copy_kinds(self._object_by_name_by_kind)
        self._copies.append(_Copy(time.monotonic(), self.revision, kinds))

    async def answer(self, request: StandInRequest) -> StandInAnswer:
        """Answer one call."""
        answer = await self._answer(request)
        if self.era is None:
            return answer
        era = Header(_ERA_HEADER, str(self.era))
        return replace(answer, headers=(*answer.headers, era))

    async def _answer(self, request: StandInRequest) -> StandInAnswer:
        self.calls += 1
        faults = self.faults
        if faults.is_silent:
            await curio.sleep(3600)
        if faults.refusal is not None:
            return StandInAnswer(faults.refusal)
        path, _, query = request.head.target.partition("?")
        kind, _, name = unquote(path.removeprefix(_PREFIX)).partition("/")
        if request.head.method == "GET":
            return self._read(kind, name, parse_qs(query).get("after", [""])[0])
        answer = self._write(request, kind, name)
        if faults.loses_writes:
            return StandInAnswer(200, is_lost=True)
        return answer

    def _read(self, kind: str, name: str, after: str) -> StandInAnswer:
        objects = self._object_by_name_by_kind.get(kind, {})
        if name:
            found = objects.get(name)
            return _json_answer(404, {}) if found is None else _json_answer(200, found)
        names = sorted(n for n in objects if n > after)
        body = {
            "items": [objects[n] for n in names[:_PAGE_SIZE]],
            "HasMore": len(names) > _PAGE_SIZE,
            "CurrentRev": self.revision,
        }
        return _json_answer(200, body)

    def _write(self, request: StandInRequest, kind: str, name: str) -> StandInAnswer:
        plain = json.loads(request.body)
        objects = self._object_by_name_by_kind.setdefault(kind, {})
        if request.head.method == "POST":
            name = plain["Metadata"]["Name"]
            if name in objects:
                return _json_answer(409, objects[name])
        else:
            existing = objects.get(name)
            if existing is None:
                return _json_answer(404, {})
            if existing["Metadata"]["Revision"] != plain["Metadata"].get("Revision"):
                return _json_answer(409, existing)
        self.writes += 1
        self.put(kind, name, plain["Spec"])
        return _json_answer(200, objects[name])


def _copy_kinds(
    kinds: dict[str, dict[str, dict[str, Any]]],
) -> dict[str, dict[str, dict[str, Any]]]:
    return {kind: dict(objects) for kind, objects in kinds.items()}


def _json_answer(status: int, body: Any) -> StandInAnswer:
    headers = (Header("content-type", "application/json"),)
    return StandInAnswer(status, json.dumps(body).encode(), headers)
