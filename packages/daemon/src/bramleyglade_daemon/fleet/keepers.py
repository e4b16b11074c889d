"""Keepers of shards: who keeps what, and asks to them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.store.shared_objects import keeper_key
from bramleyglade_adapters.structure import to_json
from bramleyglade_core.decisions.rendezvous import rank, shard_of
from bramleyglade_core.decisions.shard_keeper import KeeperPhase, ShardKeeper
from bramleyglade_core.model.announcements import DaemonPhase, KeeperAssignment
from bramleyglade_core.model.ejections import EjectionAsked, EjectionTold
from bramleyglade_core.model.errors import FleetError, StoreError
from bramleyglade_core.model.settings import OutagePolicy
from bramleyglade_core.model.shares import (
    BookHandedOver,
    HoldingsAsked,
    HoldingsTold,
    ShareAsked,
    ShareGranted,
    ShareRecalled,
)
from bramleyglade_daemon.fleet.keeper_calls import ANSWER_SECONDS, KeeperCalls
from bramleyglade_daemon.fleet.peers import expect
from bramleyglade_daemon.fleet.shared_state import SIGHT_FRESH_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers
    from bramleyglade_daemon.fleet.shared_state import SharedState

_PERIOD_SECONDS = 0.3
_SETTLE_SECONDS = 0.3
"""Time after the first look at the members in which nothing is claimed; daemons that
start together hear of each other in it."""

_UNKNOWN_SECONDS = 5.0
"""Time after which a keeper that is no known member counts as gone."""

_CLAIM_PAUSE_SECONDS = 2.0
"""Time between two claims of one shard, in which the first one shows."""

_MOST_CLAIMS = 8
"""Claims written in one period, to spare the store."""

_LOG = logging.getLogger(__name__)


class Keepers:
    """The shards that this daemon keeps, and the way to those of others."""

    def __init__(self, context: Context, peers: Peers, shared: SharedState) -> None:
        self._context = context
        self._peers = peers
        self._shared = shared
        self._keeper_by_shard: dict[int, ShardKeeper] = {}
        self._handed_by_shard: dict[int, BookHandedOver] = {}
        self._claimed_at_by_shard: dict[int, float] = {}
        self._orphan_since_by_shard: dict[int, float] = {}
        self._is_stopped = False
        self._predecessor_by_shard: dict[int, DaemonId] = {}
        """Keepers whose place this daemon has claimed."""
        self._collecting: set[int] = set()
        self._unsent_books: list[BookHandedOver] = []
        """Books of shards that others keep now, for them to go on from."""
        self._calls = KeeperCalls(context, peers)
        self.on_stated: Callable[[int], HoldingsTold] | None = None
        """Called with a shard of which this daemon is to state what it holds."""
        self.on_recalled: Callable[[str], None] | None = None
        """Called with a team whose share this daemon is to state anew."""

    async def run(self) -> None:
        """Take over shards without a keeper and go through the waits, for ever."""
        while True:
            self.adopt_assignments()
            await self._send_books()
            if self._context.lease.is_valid and not self._context.is_leaving:
                await self._claim_orphans()
                await self._collect_statements()
                await self._confirm()
            jitter = self._context.random.uniform(0.8, 1.2)
            await curio.sleep(_PERIOD_SECONDS * jitter)

    def adopt_assignments(self) -> None:
        """Begin and end keeping as the assignments in force say."""
        now = self._context.clock()
        for shard, assignment in self._context.view.assignment_by_shard.items():
            keeper = self._keeper_by_shard.get(shard)
            if assignment.keeper != self._context.daemon:
                if keeper is not None:
                    del self._keeper_by_shard[shard]
                    self._give_up(keeper, assignment)
            elif keeper is None or keeper.assignment.epoch != assignment.epoch:
                keeper = ShardKeeper(assignment, self._context.settings, now)
                self._keeper_by_shard[shard] = keeper
                self._take_handed(keeper, now)

    async def ask_share(self, asked: ShareAsked) -> ShareGranted | None:
        """Ask the keeper of a team for shares.

        Args:
            asked: The holder's statement and needs.

        Returns:
            The keeper's answer, or None if there is none to be had.
        """
        name = self._keeper_name(f"team/{asked.team}")
        if name is None:
            return None
        if name == self._context.settings.name:
            return await self.answer_share(asked)
        return await self._calls.ask_share(asked, name)

    async def relay_share(self, asked: ShareAsked) -> ShareGranted:
        """Pass on an ask of a daemon that does not reach the keeper."""
        name = self._keeper_name(f"team/{asked.team}")
        granted = None
        if name is not None:
            granted = await self._calls.ask_share_for(asked, name)
        unknown = ShareGranted(asked.team, asked.sequence, False, retry_after=0.5)
        return granted or unknown

    def is_keeper_of(self, team: str) -> bool:
        """Tell whether this daemon keeps a team's shares."""
        return self._keeper_name(f"team/{team}") == self._context.settings.name

    def shard_of_team(self, team: str) -> int:
        """Return the shard of a team."""
        return shard_of(f"team/{team}", self._context.settings.limits.shards)

    async def answer_share(self, asked: ShareAsked) -> ShareGranted:
        """Answer a holder as the keeper of its team."""
        refusal = ShareGranted(asked.team, asked.sequence, False, retry_after=0.5)
        keeper = self._find_keeper(f"team/{asked.team}")
        team = self._context.configuration.team_by_name.get(asked.team)
        if keeper is None or team is None:
            return refusal
        now = self._context.clock()
        granted = keeper.answer(asked, team, now)
        for holder in keeper.holders_to_recall(asked, now):
            await self._recall(holder, asked.team)
        return granted or refusal

    async def ask_ejection(self, asked: EjectionAsked) -> bool | None:
        """Ask the keeper of a service for leave to eject; None if unreachable."""
        name = self._keeper_name(f"service/{asked.service}")
        if name is None:
            return None
        if name == self._context.settings.name:
            return self.answer_ejection(asked).is_granted
        try:
            answer = await self._peers.call(name, asked, ANSWER_SECONDS)
            return expect(answer, EjectionTold).is_granted
        except FleetError:
            return None

    def answer_ejection(self, asked: EjectionAsked) -> EjectionTold:
        """Answer a guard as the keeper of its service's ejections."""
        is_granted = False
        configuration = self._context.configuration
        keeper = self._find_keeper(f"service/{asked.service}")
        service = configuration.service_by_name.get(asked.service)
        if keeper is not None and service is not None:
            if keeper.phase is not KeeperPhase.WAITING:
                directory = self._context.directory
                answer = keeper.ejections(asked.service).answer(
                    asked,
                    service.floor,
                    directory.capacity(asked.service, configuration),
                    self._context.clock(),
                    keeper.phase is KeeperPhase.COLLECTING,
                )
                is_granted = bool(answer)
        return EjectionTold(asked.service, asked.target, asked.sequence, is_granted)

    async def take_handed(self, handed: BookHandedOver) -> None:
        """Take in the book of a keeper that has stopped, or pass it on."""
        if handed.successor != self._context.settings.name:
            await curio.spawn(self._calls.send_book, handed, daemon=True)
            return
        self._handed_by_shard[handed.shard] = handed
        keeper = self._keeper_by_shard.get(handed.shard)
        if keeper is not None:
            self._take_handed(keeper, self._context.clock())

    async def hand_over_all(self) -> None:
        """Pass each shard to a successor, before this daemon leaves."""
        self._is_stopped = True
        for shard, keeper in list(self._keeper_by_shard.items()):
            await self._hand_over(shard, keeper)

    def _give_up(self, keeper: ShardKeeper, assignment: KeeperAssignment) -> None:
        """Stop keeping a shard that another daemon has claimed.

        This daemon grants nothing any more, so the other one may go on from its
        book at once, if it hears of it.
        """
        extra = {"shard": assignment.shard, "keeper": assignment.keeper.name}
        _LOG.warning("KeeperSuperseded", extra=extra)
        if keeper.phase is KeeperPhase.GRANTING:
            self._unsent_books.append(keeper.hand_over(assignment))

    async def _send_books(self) -> None:
        books, self._unsent_books = self._unsent_books, []
        for book in books:
            await curio.spawn(self._calls.send_book_somehow, book, daemon=True)

    async def _recall(self, holder: DaemonId, team: str) -> None:
        if holder == self._context.daemon:
            if self.on_recalled is not None:
                self.on_recalled(team)
            return
        link = self._peers.link_to(holder.name)
        if link is not None:
            await link.tell(ShareRecalled(team))

    def _find_keeper(self, key: str) -> ShardKeeper | None:
        """Return the books for a key, if this daemon may use them now."""
        if self._is_stopped or not self._context.lease.is_valid:
            return None
        self.adopt_assignments()
        shards = self._context.settings.limits.shards
        return self._keeper_by_shard.get(shard_of(key, shards))

    def _keeper_name(self, key: str) -> str | None:
        shards = self._context.settings.limits.shards
        return self._name_of_keeper(shard_of(key, shards))

    def _name_of_keeper(self, shard: int) -> str | None:
        assignment = self._context.view.assignment_by_shard.get(shard)
        return assignment.keeper.name if assignment is not None else None

    async def _claim_orphans(self) -> None:
        """Write an assignment for each orphan that falls to this daemon."""
        now = self._context.clock()
        discovered_at = self._context.discovered_at
        if discovered_at is None or now < discovered_at + _SETTLE_SECONDS:
            return
        if self._context.lease.is_extended:
            return
        has_claimed = False
        for shard in self._orphans(now)[:_MOST_CLAIMS]:
            self._claimed_at_by_shard[shard] = now
            await self._claim(shard, self._context.view.assignment_by_shard.get(shard))
            has_claimed = True
        if has_claimed:
            await self._shared.read_now()
            self.adopt_assignments()

    def _orphans(self, now: float) -> list[int]:
        """Return the shards without a keeper that fall to this daemon."""
        serving = self._context.directory.serving_names()
        orphans = []
        for shard in range(self._context.settings.limits.shards):
            assignment = self._context.view.assignment_by_shard.get(shard)
            if assignment is not None and self._is_at_work(shard, assignment, now):
                continue
            claimed_at = self._claimed_at_by_shard.get(shard, float("-inf"))
            if now - claimed_at < _CLAIM_PAUSE_SECONDS:
                continue
            if rank(f"shard/{shard}", serving)[0] == self._context.settings.name:
                orphans.append(shard)
        return orphans

    async def _collect_statements(self) -> None:
        """Spare a new keeper the waits where every daemon can speak for itself."""
        for shard, keeper in list(self._keeper_by_shard.items()):
            if shard in self._collecting:
                continue
            if keeper.phase is KeeperPhase.GRANTING:
                await self._ask_silent(shard, keeper)
                continue
            predecessor = self._predecessor_by_shard.get(shard)
            if predecessor is not None and self._has_ended(predecessor):
                keeper.note_predecessor_ended(self._context.clock())
            if keeper.phase is KeeperPhase.COLLECTING:
                self._collecting.add(shard)
                await curio.spawn(self._ask_holdings, shard, keeper, daemon=True)

    def _has_ended(self, daemon: DaemonId) -> bool:
        """Tell whether a run of a daemon is over, as a later one has begun."""
        record = self._context.directory.record_by_name.get(daemon.name)
        if record is None:
            return False
        if record.daemon.incarnation > daemon.incarnation:
            return True
        return record.daemon == daemon and record.phase is DaemonPhase.GONE

    async def _ask_holdings(self, shard: int, keeper: ShardKeeper) -> None:
        """Ask all members what they hold; the most is assumed of a silent one."""
        before = keeper.phase
        directory = self._context.directory
        try:
            members = directory.member_names()
            told_by_name = await self._holdings_of(members, shard)
            if set(members) != set(directory.member_names()):
                return  # Somebody joined meanwhile; ask everybody again.
            if self._keeper_by_shard.get(shard) is keeper:
                silent = [
                    directory.record_by_name[name].daemon
                    for name in members
                    if name not in told_by_name
                ]
                lines = [line for t in told_by_name.values() for line in t.lines]
                keeper.apply_reports(lines, silent, self._context.clock())
                self._log_phase(keeper, before)
        finally:
            self._collecting.discard(shard)

    async def _ask_silent(self, shard: int, keeper: ShardKeeper) -> None:
        """Ask those again that have not said what they hold."""
        names = keeper.unresponsive_names(self._context.clock())
        if names:
            self._collecting.add(shard)
            await curio.spawn(self._ask_again, names, shard, keeper, daemon=True)

    async def _ask_again(
        self, names: list[str], shard: int, keeper: ShardKeeper
    ) -> None:
        try:
            told_by_name = await self._holdings_of(names, shard)
            for name, told in told_by_name.items():
                keeper.apply_late_report(name, told.lines, self._context.clock())
        finally:
            self._collecting.discard(shard)

    async def _holdings_of(
        self, names: list[str], shard: int
    ) -> dict[str, HoldingsTold]:
        """Ask members what they hold; those that don't answer are left out."""
        tasks = [await curio.spawn(self._ask_holding, name, shard) for name in names]
        told = [await task.join() for task in tasks]
        return {
            name: answer
            for name, answer in zip(names, told, strict=True)
            if answer is not None
        }

    async def _ask_holding(self, name: str, shard: int) -> HoldingsTold | None:
        if name == self._context.settings.name:
            return self.on_stated(shard) if self.on_stated is not None else None
        try:
            answer = await self._peers.call(name, HoldingsAsked(shard), ANSWER_SECONDS)
            return expect(answer, HoldingsTold)
        except FleetError as error:
            extra = {"member": name, "shard": shard, "why": str(error)}
            _LOG.info("HoldingsUnknown", extra=extra)
            return None

    async def _claim(self, shard: int, known: KeeperAssignment | None) -> None:
        if known is not None:
            self._predecessor_by_shard[shard] = known.keeper
        epoch = known.epoch + 1 if known is not None else 1
        wanted = KeeperAssignment(shard, self._context.daemon, epoch)
        await self._write(wanted, known)
        _LOG.info("ShardClaimed", extra={"shard": shard, "epoch": epoch})

    async def _write(
        self, wanted: KeeperAssignment, known: KeeperAssignment | None
    ) -> None:
        """Try to write an assignment; the view tells what became of it."""
        key = keeper_key(wanted.shard)
        try:
            if known is None:
                await self._context.store.create(key, to_json(wanted))
            else:
                value = to_json(wanted)
                await self._context.store.update(key, value, known.revision)
        except StoreError as error:
            _LOG.info("ClaimFailed", extra={"shard": wanted.shard, "why": str(error)})

    async def _confirm(self) -> None:
        """Look again at the store, for shards that wait for that.

        Members may speak of a contact that is a moment old, so what they say
        is taken as of that moment.
        """
        now = self._context.clock()
        if self._context.settings.lease.outage is OutagePolicy.MAJORITY:
            now -= SIGHT_FRESH_SECONDS
        keepers = self._keeper_by_shard.values()
        waiting = [keeper for keeper in keepers if keeper.needs_confirmation(now)]
        if not waiting or self._context.lease.is_extended:
            return
        if not await self._shared.is_reached_by_majority(waiting[0].lease_wait_seconds):
            return
        self.adopt_assignments()
        for keeper in waiting:
            if self._keeper_by_shard.get(keeper.assignment.shard) is keeper:
                before = keeper.phase
                keeper.confirm(self._context.configuration.team_by_name, now)
                self._log_phase(keeper, before)

    def _log_phase(self, keeper: ShardKeeper, before: KeeperPhase) -> None:
        if keeper.phase is not before:
            extra = {"shard": keeper.assignment.shard, "phase": keeper.phase.value}
            _LOG.info("KeeperAdvanced", extra=extra)

    def _is_at_work(self, shard: int, assignment: KeeperAssignment, now: float) -> bool:
        directory = self._context.directory
        keeper = assignment.keeper
        record = directory.record_by_name.get(keeper.name)
        if record is None:
            since = self._orphan_since_by_shard.setdefault(shard, now)
            return now - since < _UNKNOWN_SECONDS
        self._orphan_since_by_shard.pop(shard, None)
        return record.daemon == keeper and directory.is_live(keeper.name)

    def _take_handed(self, keeper: ShardKeeper, now: float) -> None:
        handed = self._handed_by_shard.get(keeper.assignment.shard)
        if handed is not None:
            keeper.accept_handover(handed, now)

    async def _hand_over(self, shard: int, keeper: ShardKeeper) -> None:
        serving = self._context.directory.serving_names()
        others = [name for name in serving if name != self._context.settings.name]
        if not others or keeper.phase is not KeeperPhase.GRANTING:
            return
        successor = rank(f"shard/{shard}", others)[0]
        daemon = self._context.directory.record_by_name[successor].daemon
        assignment = KeeperAssignment(shard, daemon, keeper.assignment.epoch + 1)
        try:
            book = keeper.hand_over(assignment)
            await self._peers.call(successor, book, ANSWER_SECONDS)
        except FleetError as error:
            _LOG.info("HandoverUnheard", extra={"shard": shard, "why": str(error)})
        await self._write(assignment, self._context.view.assignment_by_shard[shard])
