"""Keepers of shards: claims, handovers and requests."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.store.shared_objects import keeper_key, read_assignment
from bramleyglade_adapters.structure import to_json
from bramleyglade_core.decisions.rendezvous import rank, shard_of, winner
from bramleyglade_core.decisions.shard_keeper import KeeperPhase, ShardKeeper
from bramleyglade_core.decisions.store_era import (
    CONFIRM_SECONDS,
    EraChange,
    KeeperStep,
    is_in_force,
    may_confirm,
    may_replace,
    next_epoch,
    next_step,
    rewrite_delay,
    spread_seconds,
)
from bramleyglade_core.model.announcements import (
    DaemonPhase,
    KeeperAssignment,
    era_of_epoch,
)
from bramleyglade_core.model.ejections import EjectionAsked, EjectionTold
from bramleyglade_core.model.errors import (
    BadInput,
    FleetError,
    StoreError,
    VersionConflict,
)
from bramleyglade_core.model.settings import OutagePolicy
from bramleyglade_core.model.shares import (
    BookHandedOver,
    HoldingsTold,
    ShareAsked,
    ShareGranted,
    ShareRecalled,
)
from bramleyglade_daemon.fleet.era_survey import EraSurvey
from bramleyglade_daemon.fleet.holdings_collector import HoldingsCollector, log_phase
from bramleyglade_daemon.fleet.keeper_calls import ANSWER_TIMEOUT_SECONDS, KeeperCalls
from bramleyglade_daemon.fleet.peers import expect
from bramleyglade_daemon.fleet.shared_state import STORE_REPORT_MAX_AGE_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_daemon.fleet.context import Context
    from bramleyglade_daemon.fleet.peers import Peers
    from bramleyglade_daemon.fleet.shared_state import SharedState

_PERIOD_SECONDS = 0.3
_SETTLE_SECONDS = 0.6
"""Time after the first read of the members in which no shard is claimed that never had
a keeper, so that daemons of a new fleet can discover each other."""

_UNKNOWN_KEEPER_SECONDS = 5.0
"""Time after which a keeper that is not a known member counts as gone."""

_CLAIM_RETRY_SECONDS = 2.0
"""Least time between two claims of one shard, so that the first can take effect."""

_SURVEY_PAUSE_SECONDS = 0.5
"""Time between two surveys of whether all members know of claims in a new era."""

_MAX_CLAIMS_PER_PERIOD = 8
"""Most claims written in one period, to limit the load on the store."""

_LOG = logging.getLogger(__name__)


class Keepers:
    """Shards that this daemon keeps, and requests to the keepers of other shards."""

    def __init__(self, context: Context, peers: Peers, shared: SharedState) -> None:
        self._context = context
        self._peers = peers
        self._shared = shared
        self._keeper_by_shard: dict[int, ShardKeeper] = {}
        self._handover_by_shard: dict[int, BookHandedOver] = {}
        self._claimed_at_by_shard: dict[int, float] = {}
        self._unknown_since_by_shard: dict[int, float] = {}
        self._epoch_by_handed_over_shard: dict[int, int] = {}
        """Epochs in which this daemon has stopped granting, as it leaves."""
        self._predecessor_by_shard: dict[int, DaemonId] = {}
        """Former keepers of shards that this daemon has claimed."""
        self._collector = HoldingsCollector(context, peers, self._report_holdings)
        self._pending_handovers: list[BookHandedOver] = []
        """Handovers of superseded keepers, not sent yet."""
        self._reclaimed_epoch_by_shard: dict[int, int] = {}
        """This daemon's claims of shards without a keeper in the store's era."""
        self._survey = EraSurvey(context, peers)
        self._next_survey_at = float("-inf")
        self._confirm_at = float("-inf")
        """Time from which this daemon claims its shards again in the store's era."""
        self._reclaim_at = float("-inf")
        """Time from which it claims shards of others that have not done so."""
        self.calls = KeeperCalls(context, peers)
        self.on_holdings_asked: Callable[[int], HoldingsTold] | None = None
        """Called with a shard; returns what this daemon holds of its teams."""
        self.on_recalled: Callable[[str], None] | None = None
        """Called with a team whose share this daemon is to report again at once."""

    async def run(self) -> None:
        """Claim shards without a keeper and advance new keepers, until cancelled."""
        while True:
            self.apply_assignments()
            self._collector.note_leaving()
            await self._send_pending_handovers()
            if self._context.lease.is_valid and not self._context.is_leaving:
                await self._claim_orphans()
                await self._collect_reports()
                await self._confirm_keepers()
            jitter = self._context.random.uniform(0.8, 1.2)
            await curio.sleep(_PERIOD_SECONDS * jitter)

    async def note_era(self, change: EraChange) -> None:
        """Forget what was known of takeovers, since claims may have been lost.

        Keepers that are sure to be the only ones claim their shards again.
        """
        now = self._context.clock()
        shards = self._context.settings.limits.shards
        self._confirm_at = now + rewrite_delay(shards, self._context.random)
        self._reclaim_at = now + spread_seconds(shards) + CONFIRM_SECONDS
        self._handover_by_shard = {
            shard: handover
            for shard, handover in self._handover_by_shard.items()
            if era_of_epoch(handover.epoch) >= change.after[0]
        }
        self._predecessor_by_shard.clear()
        self._claimed_at_by_shard.clear()
        self._reclaimed_epoch_by_shard.clear()
        self.apply_assignments()

    def apply_assignments(self) -> None:
        """Start and stop keeping shards to match the assignments in force."""
        now = self._context.clock()
        era = self._context.view.era
        for shard, assignment in self._context.view.assignment_by_shard.items():
            keeper = self._keeper_by_shard.get(shard)
            step = next_step(
                keeper,
                assignment,
                self._context.daemon,
                era,
                self._context.lease,
                keeper is not None and self._has_handed_over(keeper),
            )
            if step is KeeperStep.START:
                started = ShardKeeper(assignment, self._context.settings, now)
                self._keeper_by_shard[shard] = started
                self._apply_handover(started, now)
            elif keeper is not None and step is not KeeperStep.KEEP:
                self._change_keeper(step, keeper, assignment)

    def _change_keeper(
        self, step: KeeperStep, keeper: ShardKeeper, assignment: KeeperAssignment
    ) -> None:
        """Stop keeping a shard, or go on in a new era of the store."""
        extra = {"shard": assignment.shard, "epoch": assignment.epoch}
        if step is KeeperStep.CLAIM_AGAIN:
            keeper.claim_again(assignment)
            _LOG.info("ShardConfirmed", extra=extra)
            self._context.telemetry.note_event("ShardConfirmed")
            return
        del self._keeper_by_shard[assignment.shard]
        if step is KeeperStep.STEP_DOWN:
            self._step_down(keeper, assignment)
        else:
            _LOG.warning("KeeperUnconfirmed", extra=extra)
            self._context.telemetry.note_event("KeeperUnconfirmed")

    async def request_share(self, request: ShareAsked) -> ShareGranted | None:
        """Request shares from the keeper of a team.

        Args:
            request: The shares that the holder has and needs.

        Returns:
            The keeper's answer, or None if the keeper is unknown or unreachable.
        """
        name = self._keeper_name_for_key(f"team/{request.team}")
        if name is None:
            return None
        if name == self._context.settings.name:
            return await self.answer_share(request)
        return await self.calls.request_share(request, name)

    async def relay_share(self, request: ShareAsked) -> ShareGranted:
        """Relay a request of a daemon that can't reach the keeper."""
        name = self._keeper_name_for_key(f"team/{request.team}")
        granted = None
        if name is not None:
            granted = await self.calls.forward_share_request(request, name)
        refusal = ShareGranted(request.team, request.sequence, False, retry_after=0.5)
        return granted or refusal

    def is_keeper_of(self, team: str) -> bool:
        """Return whether this daemon keeps a team's shares."""
        return self._keeper_name_for_key(f"team/{team}") == self._context.settings.name

    def shard_of_team(self, team: str) -> int:
        """Return the shard of a team."""
        return shard_of(f"team/{team}", self._context.settings.limits.shards)

    async def answer_share(self, request: ShareAsked) -> ShareGranted:
        """Answer a holder's request as the keeper of its team."""
        refusal = ShareGranted(request.team, request.sequence, False, retry_after=0.5)
        keeper = self._find_local_keeper(f"team/{request.team}")
        team = self._context.configuration.team_by_name.get(request.team)
        if keeper is None or team is None:
            return refusal
        now = self._context.clock()
        granted = keeper.answer(request, team, now)
        for holder in keeper.holders_to_recall(request, now):
            await self._recall(holder, request.team)
        return granted or refusal

    async def request_ejection(self, request: EjectionAsked) -> bool | None:
        """Ask a service's keeper to permit an ejection; None if it is unreachable."""
        name = self._keeper_name_for_key(f"service/{request.service}")
        if name is None:
            return None
        if name == self._context.settings.name:
            return self.answer_ejection(request).is_granted
        try:
            answer = await self._peers.call(name, request, ANSWER_TIMEOUT_SECONDS)
            return expect(answer, EjectionTold).is_granted
        except FleetError:
            return None

    def answer_ejection(self, request: EjectionAsked) -> EjectionTold:
        """Answer a guard's ejection request as the keeper of the service."""
        is_granted = False
        configuration = self._context.configuration
        keeper = self._find_local_keeper(f"service/{request.service}")
        service = configuration.service_by_name.get(request.service)
        if keeper is not None and service is not None:
            if keeper.phase is not KeeperPhase.WAITING:
                directory = self._context.directory
                answer = keeper.ejections(request.service).answer(
                    request,
                    service.floor,
                    directory.capacity(request.service, configuration),
                    self._context.clock(),
                    keeper.phase is KeeperPhase.COLLECTING,
                )
                is_granted = bool(answer)
        return EjectionTold(
            request.service, request.target, request.sequence, is_granted
        )

    async def receive_handover(self, handover: BookHandedOver) -> None:
        """Apply the handover of a keeper that has stopped, or forward it."""
        if handover.successor != self._context.settings.name:
            await curio.spawn(self.calls.send_handover, handover, daemon=True)
            return
        self._handover_by_shard[handover.shard] = handover
        keeper = self._keeper_by_shard.get(handover.shard)
        if keeper is not None:
            self._apply_handover(keeper, self._context.clock())

    async def hand_over_all(self) -> None:
        """Hand each shard over to a successor, as this daemon leaves."""
        serving = self._context.directory.serving_names()
        others = [name for name in serving if name != self._context.settings.name]
        if self._context.view.era:
            self.apply_assignments()
        granting = [
            keeper
            for keeper in self._keeper_by_shard.values()
            if keeper.phase is KeeperPhase.GRANTING
            and not self._has_handed_over(keeper)
        ]
        if not others or not granting:
            return
        for keeper in granting:
            shard = keeper.assignment.shard
            successor = rank(f"shard/{shard}", others)[0]
            record = self._context.directory.record_by_name.get(successor)
            if record is None:
                # It left while an earlier shard was handed over.
                _LOG.info("SuccessorLeft", extra={"shard": shard, "peer": successor})
                continue
            self._epoch_by_handed_over_shard[shard] = keeper.assignment.epoch
            await self._hand_over(keeper, record.daemon)
        # Peers learn of the assignments at once instead of at the next poll.
        await self._shared.read_now()
        self.apply_assignments()

    def _step_down(self, keeper: ShardKeeper, assignment: KeeperAssignment) -> None:
        """Stop keeping a shard that another daemon has claimed.

        This daemon no longer grants anything, so a handover lets the other one
        start granting at once.
        """
        extra = {"shard": assignment.shard, "keeper": assignment.keeper.name}
        _LOG.warning("KeeperSuperseded", extra=extra)
        if keeper.assignment.era < assignment.era and not self._may_confirm(keeper):
            return  # Another daemon may have granted since; the store has lost that.
        if keeper.phase is KeeperPhase.GRANTING:
            self._pending_handovers.append(keeper.hand_over(assignment))

    async def _send_pending_handovers(self) -> None:
        handovers, self._pending_handovers = self._pending_handovers, []
        for handover in handovers:
            await curio.spawn(
                self.calls.send_handover_with_fallback, handover, daemon=True
            )

    async def _recall(self, holder: DaemonId, team: str) -> None:
        if holder == self._context.daemon:
            if self.on_recalled is not None:
                self.on_recalled(team)
            return
        link = self._peers.link_to(holder.name)
        if link is not None:
            await link.send_one_way(ShareRecalled(team))

    def _find_local_keeper(self, key: str) -> ShardKeeper | None:
        """Return this daemon's keeper for a key, if it may act as keeper now."""
        if not self._context.lease.is_valid:
            return None
        self.apply_assignments()
        shards = self._context.settings.limits.shards
        keeper = self._keeper_by_shard.get(shard_of(key, shards))
        if keeper is None or self._has_handed_over(keeper):
            return None
        return keeper

    def _has_handed_over(self, keeper: ShardKeeper) -> bool:
        assignment = keeper.assignment
        epoch = self._epoch_by_handed_over_shard.get(assignment.shard)
        return epoch == assignment.epoch

    def _may_confirm(self, keeper: ShardKeeper) -> bool:
        has_handed_over = self._has_handed_over(keeper)
        return may_confirm(keeper, self._context.lease, has_handed_over)

    def _keeper_name_for_key(self, key: str) -> str | None:
        shards = self._context.settings.limits.shards
        return self._keeper_name_of_shard(shard_of(key, shards))

    def _keeper_name_of_shard(self, shard: int) -> str | None:
        assignment = self._context.view.assignment_by_shard.get(shard)
        return assignment.keeper.name if assignment is not None else None

    async def _claim_orphans(self) -> None:
        """Claim the orphaned shards that fall to this daemon."""
        now = self._context.clock()
        if self._context.discovered_at is None or self._context.lease.is_extended:
            return
        has_claimed = False
        for shard in self._orphans(now)[:_MAX_CLAIMS_PER_PERIOD]:
            if self._context.is_leaving:
                break  # The stop may have begun while an earlier claim was written.
            self._claimed_at_by_shard[shard] = now
            await self._claim(shard, self._context.view.assignment_by_shard.get(shard))
            has_claimed = True
        if has_claimed:
            await self._shared.read_now()
            self.apply_assignments()

    def _orphans(self, now: float) -> list[int]:
        """Return the shards without a live keeper that fall to this daemon."""
        serving = self._context.directory.serving_names()
        discovered_at = self._context.discovered_at
        is_settled = discovered_at is not None and (
            now >= discovered_at + _SETTLE_SECONDS
        )
        orphans = []
        for shard in range(self._context.settings.limits.shards):
            assignment = self._context.view.assignment_by_shard.get(shard)
            if assignment is None and not is_settled:
                continue
            if assignment is not None and not is_in_force(
                assignment, self._context.view.era
            ):
                if shard in self._keeper_by_shard:
                    if now >= self._confirm_at and self._may_claim_now(shard, now):
                        orphans.append(shard)
                    continue
                if now < self._reclaim_at:
                    continue
            elif assignment is not None and self._is_keeper_live(
                shard, assignment, now
            ):
                continue
            if not self._may_claim_now(shard, now):
                continue
            if winner(f"shard/{shard}", serving) == self._context.settings.name:
                orphans.append(shard)
        return orphans

    def _may_claim_now(self, shard: int, now: float) -> bool:
        claimed_at = self._claimed_at_by_shard.get(shard, float("-inf"))
        return now - claimed_at >= _CLAIM_RETRY_SECONDS

    async def _collect_reports(self) -> None:
        """Shorten the waits of new keepers by querying every daemon's holdings."""
        for shard, keeper in list(self._keeper_by_shard.items()):
            predecessor = self._predecessor_by_shard.get(shard)
            if predecessor is not None and self._has_ended(predecessor):
                before = keeper.phase
                keeper.note_predecessor_ended(self._context.clock())
                log_phase(keeper, before, self._context.clock())
            await self._collector.advance(keeper)
        await self._survey_reclaimed()

    async def _survey_reclaimed(self) -> None:
        """Shorten the waits after claims of shards that no keeper claimed again.

        The store may have lost a takeover, so that this daemon doesn't know which one
        was the last keeper; but all members that know of the claim have stopped.
        """
        now = self._context.clock()
        waiting = [
            keeper
            for shard, keeper in self._keeper_by_shard.items()
            if keeper.phase is KeeperPhase.WAITING
            and self._reclaimed_epoch_by_shard.get(shard) == keeper.assignment.epoch
        ]
        if waiting and now >= self._next_survey_at:
            self._next_survey_at = float("inf")
            await curio.spawn(self._advance_reclaimed, waiting, daemon=True)

    async def _advance_reclaimed(self, waiting: list[ShardKeeper]) -> None:
        try:
            newest = max((k.assignment for k in waiting), key=lambda a: a.recency)
            if not await self._survey.is_seen_by_all(newest):
                return
            now = self._context.clock()
            self.apply_assignments()
            for keeper in waiting:
                if self._keeper_by_shard.get(keeper.assignment.shard) is keeper:
                    keeper.note_predecessor_ended(now)
                    log_phase(keeper, KeeperPhase.WAITING, now)
        finally:
            self._next_survey_at = self._context.clock() + _SURVEY_PAUSE_SECONDS

    def _report_holdings(self, shard: int) -> HoldingsTold | None:
        if self.on_holdings_asked is None:
            return None
        return self.on_holdings_asked(shard)

    def _has_ended(self, daemon: DaemonId) -> bool:
        """Return whether a daemon's process has left or a later one has started."""
        record = self._context.directory.record_by_name.get(daemon.name)
        if record is None:
            return False
        if record.daemon.incarnation > daemon.incarnation:
            return True
        return record.daemon == daemon and record.phase is DaemonPhase.GONE

    async def _claim(self, shard: int, current: KeeperAssignment | None) -> None:
        era = self._context.view.era
        if current is not None and is_in_force(current, era):
            self._predecessor_by_shard[shard] = current.keeper
        epoch = next_epoch(current, era)
        if era and (current is None or not is_in_force(current, era)):
            self._reclaimed_epoch_by_shard[shard] = epoch
        assignment = KeeperAssignment(shard, self._context.daemon, epoch)
        await self._write(assignment, current)
        extra: dict[str, object] = {"shard": shard, "epoch": epoch}
        if current is not None:
            extra["predecessor"] = current.keeper.name
            extra["has_predecessor_ended"] = self._has_ended(current.keeper)
        _LOG.info("ShardClaimed", extra=extra)

    async def _write(
        self, assignment: KeeperAssignment, current: KeeperAssignment | None
    ) -> None:
        """Try to write an assignment; the shared view shows whether it took effect."""
        key, value = keeper_key(assignment.shard), to_json(assignment)
        store, era = self._context.store, self._context.view.era
        try:
            if current is not None and is_in_force(current, era):
                await self._replace(key, assignment, current, era)
            elif current is None or (stored := await store.read(key)) is None:
                await store.create(key, value, era or None)
            elif may_replace(assignment, read_assignment(stored)):
                await store.update(key, value, stored.revision, stored.era)
        except (StoreError, BadInput) as error:
            _LOG.info(
                "ClaimFailed", extra={"shard": assignment.shard, "why": str(error)}
            )

    async def _replace(
        self, key: str, claim: KeeperAssignment, current: KeeperAssignment, era: int
    ) -> None:
        """Replace an assignment that is in force.

        A daemon that did not know of the new era yet may have overwritten it, if the
        revisions happened to match; what it wrote never came into force.

        Raises:
            StoreError: If the claim has not been written.
            BadInput: If the stored assignment is malformed.
        """
        store, value = self._context.store, to_json(claim)
        try:
            await store.update(key, value, current.revision, era or None)
        except VersionConflict:
            stored = await store.read(key) if era else None
            if stored is None or read_assignment(stored).era >= era:
                raise
            await store.update(key, value, stored.revision, stored.era)

    async def _confirm_keepers(self) -> None:
        """Let waiting keepers proceed if a majority has reached the store.

        A member's report may be up to `STORE_REPORT_MAX_AGE_SECONDS` old, so the
        reports count as of that long ago.
        """
        now = self._context.clock()
        if self._context.settings.lease.outage is OutagePolicy.MAJORITY:
            now -= STORE_REPORT_MAX_AGE_SECONDS
        keepers = self._keeper_by_shard.values()
        waiting = [keeper for keeper in keepers if keeper.needs_confirmation(now)]
        if not waiting or self._context.lease.is_extended:
            return
        if not await self._shared.is_reached_by_majority(waiting[0].lease_wait_seconds):
            return
        self.apply_assignments()
        for keeper in waiting:
            if self._keeper_by_shard.get(keeper.assignment.shard) is keeper:
                before = keeper.phase
                keeper.confirm(self._context.configuration.team_by_name, now)
                log_phase(keeper, before, self._context.clock())

    def _is_keeper_live(
        self, shard: int, assignment: KeeperAssignment, now: float
    ) -> bool:
        directory = self._context.directory
        keeper = assignment.keeper
        record = directory.record_by_name.get(keeper.name)
        if record is None:
            since = self._unknown_since_by_shard.setdefault(shard, now)
            return now - since < _UNKNOWN_KEEPER_SECONDS
        self._unknown_since_by_shard.pop(shard, None)
        return record.daemon == keeper and directory.is_live(keeper.name)

    def _apply_handover(self, keeper: ShardKeeper, now: float) -> None:
        handover = self._handover_by_shard.get(keeper.assignment.shard)
        if handover is not None:
            keeper.accept_handover(handover, now)

    async def _hand_over(self, keeper: ShardKeeper, successor: DaemonId) -> None:
        shard = keeper.assignment.shard
        epoch = next_epoch(keeper.assignment, self._context.view.era)
        assignment = KeeperAssignment(shard, successor, epoch)
        try:
            handover = keeper.hand_over(assignment)
            await self._peers.call(successor.name, handover, ANSWER_TIMEOUT_SECONDS)
        except FleetError as error:
            _LOG.info("HandoverUnheard", extra={"shard": shard, "why": str(error)})
        await self._write(assignment, self._context.view.assignment_by_shard[shard])
