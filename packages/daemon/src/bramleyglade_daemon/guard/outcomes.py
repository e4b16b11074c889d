"""Answers to fronts that ask for the outcome of an attempt."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.attempt_table import AttemptPhase, AttemptRecord
from bramleyglade_core.model.errors import ErrorCode, FleetError
from bramleyglade_core.model.exchange import AttemptFailed
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from bramleyglade_core.decisions.attempt_table import AttemptTable
    from bramleyglade_core.model.exchange import AttemptOffered
    from bramleyglade_core.model.identifiers import AttemptId
    from bramleyglade_daemon.streams import GuardStream

_LOG = logging.getLogger(__name__)


class OutcomeResponder:
    """Fences attempts that have not started and replays kept answers."""

    def __init__(self, attempts: AttemptTable) -> None:
        self._attempts = attempts
        self._settled_by_attempt: dict[AttemptId, curio.Event] = {}

    async def note_settled(self, attempt: AttemptId) -> None:
        """Wake the tasks that wait for the end of an attempt."""
        settled = self._settled_by_attempt.pop(attempt, None)
        if settled is not None:
            await settled.set()

    async def send_outcome(self, offered: AttemptOffered, stream: GuardStream) -> None:
        """Send the outcome of an attempt to a front, once it is known.

        Args:
            offered: The attempt, with the time left until its deadline.
            stream: Where the outcome goes.
        """
        attempt = offered.attempt
        if self._attempts.fence(attempt) is AttemptPhase.STARTED:
            await self._wait_settled(attempt, offered.deadline_seconds)
        try:
            await self._replay(self._attempts.find(attempt), stream)
        except FleetError as error:
            # A front that only lost its link asks again.
            _LOG.debug("FrontUnreachable", extra={"why": str(error)})

    async def _wait_settled(self, attempt: AttemptId, seconds: float) -> None:
        settled = self._settled_by_attempt.setdefault(attempt, curio.Event())
        await curio.ignore_after(seconds, settled.wait)

    async def _replay(self, record: AttemptRecord | None, stream: GuardStream) -> None:
        if record is None or record.phase is AttemptPhase.FENCED:
            failed = AttemptFailed(
                ErrorCode.ATTEMPT_FENCED, "the attempt never started", Verdict.NOT_RUN
            )
            await stream.send(failed)
            return
        if record.answer is not None:
            for event in record.answer:
                await stream.send(event)
            return
        is_answered = record.phase is AttemptPhase.ANSWERED
        failed = AttemptFailed(
            ErrorCode.PEER_LOST,
            "the answer was lost with the link",
            Verdict.RAN if is_answered else Verdict.MAY_HAVE_RUN,
        )
        await stream.send(failed)
