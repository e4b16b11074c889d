"""One log line per request: its outcome and the facts that explain it."""

from __future__ import annotations

import logging
from functools import singledispatch
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from typing import Any

    from bramleyglade_core.model.entities import Route, Team
    from bramleyglade_core.model.errors import FleetError
    from bramleyglade_core.model.identifiers import TargetId

OK = "ok"
"""Code of a request that a target has answered."""

_LOG = logging.getLogger(__name__)


class RequestLog:
    """Collects fields of one request and writes one line at its end."""

    def __init__(self, request_id: str, started_at: float) -> None:
        self.request_id = request_id
        self.started_at = started_at
        """Time of this process's clock, in seconds."""
        self.code = OK
        self.verdict = Verdict.RAN
        self._fields: dict[str, Any] = {}
        self._attempts: list[str] = []

    def note_route(self, revision: int, route: Route, team: Team | None = None) -> None:
        """Note the route and the team of the request.

        Args:
            revision: Configuration revision in force on this daemon.
            route: Route of the request.
            team: Team of the request; None if the route is open to all or the team is
                not known yet.
        """
        self._fields["revision"] = revision
        self._fields["route"] = route.name
        if team is not None:
            self._fields["team"] = team.name

    def note_service(self, name: str) -> None:
        """Note the service that was chosen for the request."""
        self._fields["service"] = name

    def note_attempt(self, target: TargetId) -> None:
        """Note that the request was offered to a target."""
        self._attempts.append(target.name)

    def note_status(self, status: int) -> None:
        """Note the status of the target's answer."""
        self._fields["status"] = status

    def note_error(self, error: FleetError) -> None:
        """Note that the request was refused or failed."""
        self.code = error.code.value
        self.verdict = error.verdict
        self._fields["why"] = error.detail

    def note_unanswered(self, error: BaseException) -> None:
        """Note that the request ended without a complete answer of any kind."""
        self.code = unanswered_code(error)
        self._fields["why"] = str(error)
        self._fields["error"] = type(error).__name__

    def write(self, seconds: float) -> None:
        """Write the log line.

        Args:
            seconds: Duration of the request.
        """
        extra = {
            "request": self.request_id,
            "code": self.code,
            "verdict": self.verdict.value,
            "seconds": round(seconds, 4),
            **self._fields,
        }
        if self._attempts:
            extra["targets"] = ",".join(self._attempts)
        event = "RequestAnswered" if self.code == OK else "RequestFailed"
        _LOG.info(event, extra=extra)


class AnswerTruncated(ConnectionAbortedError):
    """The connection was reset, so that a partial answer does not look complete."""


@singledispatch
def unanswered_code(error: BaseException) -> str:
    """Return the code of a request that an exception ended without an answer."""
    return "crashed"


@unanswered_code.register
def _(error: OSError) -> str:
    return "caller-gone"


@unanswered_code.register
def _(error: AnswerTruncated) -> str:
    return "answer-reset"


@unanswered_code.register
def _(error: curio.CancelledError) -> str:
    return "cancelled"


@unanswered_code.register
def _(error: curio.TaskTimeout) -> str:
    return "timed-out"
