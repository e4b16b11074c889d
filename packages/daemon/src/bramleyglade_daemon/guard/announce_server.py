"""The HTTP endpoint on which the targets of this VM announce themselves.

`PUT /v1/targets/NAME` announces or renews a target, and `DELETE` withdraws it.
`GET /v1/targets` and `GET /v1/status` show operators the guard's state.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from bramleyglade_adapters.http.json_server import JsonAnswer
from bramleyglade_adapters.structure import from_json, to_plain
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.errors import BadInput, ErrorCode, StoreUnavailable

if TYPE_CHECKING:
    from bramleyglade_adapters.http.server_connection import RequestHead
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.guard.guard import Guard

_TARGETS = "/v1/targets"


class AnnounceServer:
    """Answers requests of targets and operators on this VM."""

    def __init__(self, context: Context, guard: Guard) -> None:
        self._context = context
        self._guard = guard

    async def answer(self, head: RequestHead, body: bytes) -> JsonAnswer:
        """Answer one request of a target or an operator."""
        status = 200
        try:
            payload = await self._handle(head, body)
        except BadInput as error:
            status = 404 if error.code is ErrorCode.TARGET_UNKNOWN else 400
            payload = {"code": error.code.value, "detail": error.detail}
        except StoreUnavailable as error:
            status = 503
            payload = {"code": error.code.value, "detail": error.detail}
        return JsonAnswer(status, json.dumps(payload).encode())

    async def _handle(self, head: RequestHead, body: bytes) -> Any:
        path = head.target.partition("?")[0]
        if head.method == "GET" and path == _TARGETS:
            return [to_plain(view) for view in self._guard.views()]
        if head.method == "GET" and path == "/v1/status":
            return self._status()
        name = path.removeprefix(_TARGETS + "/")
        if path == name or "/" in name or not name:
            raise BadInput(ErrorCode.TARGET_UNKNOWN, f"no resource at {path}")
        if head.method == "PUT":
            code = ErrorCode.BAD_ANNOUNCEMENT
            announced = from_json(TargetAnnouncement, body, code)
            if announced.name != name:
                raise BadInput(
                    code, "the target's name differs from the one in the path"
                )
            await self._guard.announce(announced)
            if announced.is_draining and not await self._guard.keep_record():
                detail = "work has stopped, but the store has not kept that yet"
                raise StoreUnavailable(ErrorCode.STORE_UNAVAILABLE, detail)
            return {}
        if head.method == "DELETE" and await self._guard.remove(name):
            return {}
        raise BadInput(ErrorCode.TARGET_UNKNOWN, f"cannot {head.method} target {name}")

    def _status(self) -> dict[str, Any]:
        context = self._context
        directory = context.directory
        return {
            "daemon": context.settings.name,
            "incarnation": context.daemon.incarnation,
            "zone": context.settings.zone,
            "phase": context.phase.value,
            "revision": context.view.revision,
            "era": context.view.era,
            "lease_seconds": round(context.lease.remaining_seconds, 3),
            "is_lease_extended": context.lease.is_extended,
            "members": sorted(directory.member_names()),
            "live_members": sorted(directory.live_names()),
            "running": self._guard.busy,
            "shards": context.settings.limits.shards,
            "shards_kept": len(context.view.assignment_by_shard),
            "keeper_of_shards": sorted(
                assignment.shard
                for assignment in context.view.assignment_by_shard.values()
                if assignment.keeper == context.daemon
            ),
        }
