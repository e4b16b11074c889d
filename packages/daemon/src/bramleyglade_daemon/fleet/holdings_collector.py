"""Collects for new keepers what the members hold of their shards."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.holdings_survey import HoldingsSurvey
from bramleyglade_core.decisions.shard_keeper import KeeperPhase
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.errors import FleetError
from bramleyglade_core.model.shares import HoldingsAsked, HoldingsTold
from bramleyglade_daemon.fleet.gather import gather
from bramleyglade_daemon.fleet.keeper_calls import ANSWER_TIMEOUT_SECONDS
from bramleyglade_daemon.fleet.peers import expect

if TYPE_CHECKING:
    from collections.abc import Callable

    from bramleyglade_core.decisions.shard_keeper import ShardKeeper
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers

_LOG = logging.getLogger(__name__)


class HoldingsCollector:
    """Queries the members' holdings for the keepers of this daemon."""

    def __init__(
        self,
        context: Context,
        peers: Peers,
        report_own: Callable[[int], HoldingsTold | None],
    ) -> None:
        """Create a collector.

        Args:
            context: This daemon's context.
            peers: The links to the members.
            report_own: Returns what this daemon holds of a shard.
        """
        self._context = context
        self._peers = peers
        self._report_own = report_own
        self._shards_being_queried: set[int] = set()
        self._leaving_since: dict[DaemonId, float] = {}
        """When this daemon learned that a member leaves, in seconds."""
        self._leaving_version = -1
        """Version of the members that they were chosen from."""

    async def advance(self, keeper: ShardKeeper) -> None:
        """Start the queries that a keeper needs now, unless some are running."""
        shard = keeper.assignment.shard
        if shard in self._shards_being_queried:
            return
        if keeper.phase is KeeperPhase.COLLECTING:
            self._shards_being_queried.add(shard)
            await curio.spawn(self._query_all, keeper, daemon=True)
        elif keeper.phase is KeeperPhase.GRANTING:
            names = keeper.unresponsive_names(self._context.clock())
            if names:
                self._shards_being_queried.add(shard)
                await curio.spawn(self._query_late, names, keeper, daemon=True)

    def note_leaving(self) -> None:
        """Note which members leave, and since when this daemon knows."""
        directory = self._context.directory
        if self._leaving_version == directory.members_version:
            return
        self._leaving_version = directory.members_version
        now = self._context.clock()
        self._leaving_since = {
            record.daemon: self._leaving_since.get(record.daemon, now)
            for record in directory.record_by_name.values()
            if record.phase is DaemonPhase.LEAVING
        }

    async def _query_all(self, keeper: ShardKeeper) -> None:
        """Query all members; shares are assumed for those that don't answer."""
        shard = keeper.assignment.shard
        before = keeper.phase
        directory = self._context.directory
        survey = HoldingsSurvey()
        try:
            while unasked := survey.unasked(directory.member_names()):
                report_by_name = await self._gather(unasked, shard)
                for name in unasked:
                    survey.note(name, report_by_name.get(name))
            unresponsive = [
                directory.record_by_name[name].daemon
                for name in survey.unresponsive(directory.member_names())
            ]
            self.note_leaving()
            last_use_by_daemon = {
                daemon: since + self._context.settings.last_use_seconds
                for daemon, since in self._leaving_since.items()
            }
            now = self._context.clock()
            keeper.apply_reports(survey.shares(), unresponsive, now, last_use_by_daemon)
            log_phase(keeper, before, now)
        finally:
            self._shards_being_queried.discard(shard)

    async def _query_late(self, names: list[str], keeper: ShardKeeper) -> None:
        """Query the members again that have not reported their holdings."""
        shard = keeper.assignment.shard
        try:
            report_by_name = await self._gather(names, shard)
            for name, report in report_by_name.items():
                keeper.apply_late_report(name, report.lines, self._context.clock())
        finally:
            self._shards_being_queried.discard(shard)

    async def _gather(self, names: list[str], shard: int) -> dict[str, HoldingsTold]:
        """Query members' holdings; members that don't answer are left out."""
        answers = await gather(self._query(name, shard) for name in names)
        return {
            name: answer
            for name, answer in zip(names, answers, strict=True)
            if answer is not None
        }

    async def _query(self, name: str, shard: int) -> HoldingsTold | None:
        if name == self._context.settings.name:
            return self._report_own(shard)
        try:
            answer = await self._peers.call(
                name, HoldingsAsked(shard), ANSWER_TIMEOUT_SECONDS
            )
            return expect(answer, HoldingsTold)
        except FleetError as error:
            extra = {"member": name, "shard": shard, "why": str(error)}
            _LOG.info("HoldingsUnknown", extra=extra)
            return None


def log_phase(keeper: ShardKeeper, before: KeeperPhase, now: float) -> None:
    """Log the phase of a keeper if it has changed.

    Args:
        keeper: The keeper.
        before: Its earlier phase.
        now: Time of this process's clock, in seconds.
    """
    if keeper.phase is not before:
        extra = {
            "shard": keeper.assignment.shard,
            "phase": keeper.phase.value,
            "unresponsive": keeper.unresponsive_names(now),
        }
        _LOG.info("KeeperAdvanced", extra=extra)
