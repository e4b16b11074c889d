"""A stand-in for the users' platform: a store of objects by kind and name."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, unquote

import curio

from bramleyglade_core.model.exchange import Header
from bramleyglade_standins.http_server import StandInAnswer, StandInRequest

_PREFIX = "/-/objects/"
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


class StandInPlatform:
    """Stores objects in memory, with one revision counter for all kinds."""

    def __init__(self) -> None:
        self.revision = 1
        self.faults = PlatformFaults()
        self.calls = 0
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
        return self.revision

    def remove(self, kind: str, name: str) -> None:
        """Remove an object as an operator would."""
        self.revision += 1
        del self._object_by_name_by_kind[kind][name]

    async def answer(self, request: StandInRequest) -> StandInAnswer:
        """Answer one call."""
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
        self.put(kind, name, plain["Spec"])
        return _json_answer(200, objects[name])


def _json_answer(status: int, body: Any) -> StandInAnswer:
    headers = (Header("content-type", "application/json"),)
    return StandInAnswer(status, json.dumps(body).encode(), headers)
