"""Orders of restorations, late answers and takeovers, without a network.

A model of a fleet plays seeded orders: each call to the store runs some time after it
was sent, and is answered some time later; daemons are cut off, restarted and wrongly
suspected. Guards against two keepers of one shard that grant at once, epochs that are
given out twice, and configurations that go back.
"""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from bramleyglade_core.decisions.lease import Lease
from bramleyglade_core.decisions.shard_keeper import KeeperPhase, ShardKeeper
from bramleyglade_core.decisions.shared_view import SharedBatch, SharedView
from bramleyglade_core.decisions.store_era import (
    ZONE_HOLD_SECONDS,
    KeeperStep,
    incarnation_after,
    is_in_force,
    may_confirm,
    may_replace,
    next_epoch,
    next_step,
    observed_number,
    rewrite_delay,
)
from bramleyglade_core.model.announcements import KeeperAssignment
from bramleyglade_core.model.entities import Team, Zone
from bramleyglade_core.model.identifiers import DaemonId
from bramleyglade_core.model.settings import OutagePolicy
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_daemon.fleet.era_survey import NOTHING_AFTER

TICK_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 1.0
SHARD = 1


class ModelStore:
    """One assignment and the newest ticket, with eras and copies."""

    def __init__(self):
        self.era, self.revision, self.writes = 1, 0, []

    def batch(self, after):
        written = [w for w in self.writes if w.revision > after]
        assignments = [w for w in written if isinstance(w, KeeperAssignment)][-1:]
        states = [w for w in written if not isinstance(w, KeeperAssignment)]
        whole = max((s.ticket for s in states), default=0)
        states = tuple(s for s in states if s.ticket == whole)
        return SharedBatch(
            after, self.revision, states, tuple(assignments), whole, self.era
        )

    def assignment(self):
        found = [w for w in self.writes if isinstance(w, KeeperAssignment)]
        return found[-1] if found else None

    def write(self, value):
        self.revision += 1
        self.writes.append(replace(value, revision=self.revision))

    def restore(self, lost):
        self.writes = self.writes[: max(0, len(self.writes) - lost)]
        self.revision = len(self.writes)
        self.era += 1


class ModelDaemon:
    """One daemon's view, lease and role as keeper."""

    def __init__(self, fleet, name, incarnation):
        self.fleet, self.id = fleet, DaemonId(name, incarnation)
        self.view = SharedView()
        self.lease = Lease(fleet.settings.lease, fleet.clock)
        self.keeper = None
        self.predecessor = None
        self.reclaimed_epoch = None
        self.handovers = []

    def step(self):
        """Compare the role with the assignment, as before each use of it."""
        assignment = self.view.assignment_by_shard.get(SHARD)
        if assignment is None:
            return
        arguments = (self.id, self.view.era, self.lease, False)
        step = next_step(self.keeper, assignment, *arguments)
        now = self.fleet.clock()
        if step is KeeperStep.START:
            self.keeper = ShardKeeper(assignment, self.fleet.settings, now)
        elif step is KeeperStep.CLAIM_AGAIN:
            self.keeper.claim_again(assignment)
        elif step is not KeeperStep.KEEP:
            self._stop(step, assignment)
        for handover in self.handovers:
            if self.keeper is not None:
                self.keeper.accept_handover(handover, now)

    def _stop(self, step, assignment):
        keeper, self.keeper = self.keeper, None
        if step is KeeperStep.DROP or keeper.phase is not KeeperPhase.GRANTING:
            return
        if keeper.assignment.era == assignment.era or may_confirm(
            keeper, self.lease, False
        ):
            self.fleet.send(assignment.keeper, keeper.hand_over(assignment))

    def is_granting(self):
        if not self.lease.is_valid:
            return False
        self.step()
        return self.keeper is not None and self.keeper.phase is KeeperPhase.GRANTING

    def advance(self):
        """Pass the waits of a new keeper; the store's outages extend no lease here."""
        now = self.fleet.clock()
        if self.keeper is None or not self.lease.is_valid:
            return
        if self.predecessor is not None and self.fleet.has_ended(self.predecessor):
            self.keeper.note_predecessor_ended(now)
        if self.reclaimed_epoch == self.keeper.assignment.epoch:
            if self.fleet.is_seen_by_all(self, self.keeper.assignment):
                self.keeper.note_predecessor_ended(now)
        if self.keeper.phase is KeeperPhase.WAITING:
            self.keeper.confirm({}, now)
        self.keeper.apply_reports((), (), now)

    def apply(self, batch, asked_at):
        """Apply an answer of the store."""
        if batch.era < self.view.era:
            return
        self.enter(batch.era)
        if batch.after > self.view.revision:
            return
        self.view.apply(batch, self.fleet.clock())
        if self.view.is_current(batch.up_to, batch.era):
            self.lease.renew(asked_at)
        self.step()

    def enter(self, era):
        if self.view.enter_era(era, self.fleet.clock()):
            self.predecessor = self.reclaimed_epoch = None
            self.handovers = []
            self.step()

    def hear(self, peer):
        """Process a peer's heartbeat, as far as it concerns the store."""
        self.enter(peer.view.era)
        if peer.view.era < self.view.era:
            self.view.apply(peer.view.batch_after(0), self.fleet.clock())
            return
        self.view.note_revision(peer.view.revision, peer.view.era)
        if peer.view.configuration.whole_ticket > self.view.configuration.whole_ticket:
            self.view.apply(peer.view.batch_after(0), self.fleet.clock())
        self.view.apply(peer.view.batch_after(self.view.revision), self.fleet.clock())
        if self.view.is_current(peer.view.revision, peer.view.era):
            lease = peer.lease
            now = self.fleet.clock()
            self.lease.adopt(now, lease.remaining_seconds, lease.fresh_seconds)
        self.step()


class ModelFleet:
    """Three daemons and a store, advanced in ticks."""

    def __init__(self, seed, settings, clock):
        self.random = random.Random(seed)
        self.settings, self.clock = settings, clock
        self.store = ModelStore()
        self.daemons = [ModelDaemon(self, f"vm-{i}", 1) for i in range(3)]
        self.cut_off = set()
        self.calls = []
        """Calls on their way: due time, number, and what happens then."""
        self.keeper_by_epoch = {}
        self.restorations = 0
        self.takeovers_by_era = 0

    def has_ended(self, daemon):
        return daemon not in [d.id for d in self.daemons]

    def is_seen_by_all(self, asking, newest):
        if self.cut_off:
            return False
        return all(
            d is asking
            or (d.view.era, d.view.revision) >= (newest.era, newest.revision)
            for d in self.daemons
        )

    def send(self, receiver, handover):
        def deliver():
            for daemon in self.daemons:
                if daemon.id == receiver:
                    daemon.handovers.append(handover)
                    daemon.step()

        self._later(self.random.uniform(0.0, 2.0), deliver)

    def _later(self, seconds, action):
        self.calls.append((self.clock() + seconds, len(self.calls), action))

    def _call(self, daemon, execute, receive):
        """Call the store; the call and its answer may each be late, or be lost."""
        if daemon.id.name in self.cut_off:
            return
        until = self.clock() + CALL_TIMEOUT_SECONDS

        def run():
            answer = execute()
            self._later(self.random.uniform(0.0, 0.6), lambda: receive_in_time(answer))

        def receive_in_time(answer):
            if self.clock() <= until and daemon in self.daemons:
                receive(answer)

        self._later(self.random.uniform(0.0, 0.6), run)

    def read(self, daemon):
        after, asked_at = daemon.view.revision, self.clock()
        self._call(
            daemon,
            lambda: self.store.batch(after),
            lambda batch: daemon.apply(batch, asked_at),
        )

    def claim(self, daemon):
        view, current = daemon.view, daemon.view.assignment_by_shard.get(SHARD)
        era = view.era
        claim = KeeperAssignment(SHARD, daemon.id, next_epoch(current, era))
        daemon.predecessor = None
        if current is not None and is_in_force(current, era):
            if current.keeper != daemon.id:
                daemon.predecessor = current.keeper
            self._call(
                daemon, lambda: self._write(claim, current.revision), lambda _: None
            )
        else:
            daemon.reclaimed_epoch = claim.epoch
            self._call(
                daemon,
                self.store.assignment,
                lambda stored: self._claim_unless_newer(daemon, claim, stored),
            )

    def _claim_unless_newer(self, daemon, claim, stored):
        if stored is None or may_replace(claim, stored):
            revision = 0 if stored is None else stored.revision
            self._call(daemon, lambda: self._write(claim, revision), lambda _: None)

    def _write(self, claim, revision):
        stored = self.store.assignment()
        if (stored.revision if stored is not None else 0) != revision:
            return
        self.store.write(claim)
        if claim.era == self.store.era:
            holder = self.keeper_by_epoch.setdefault(claim.epoch, claim.keeper)
            assert holder == claim.keeper

    def tick(self, has_trouble):
        self.clock.advance(TICK_SECONDS)
        for call in sorted(self.calls):
            if call[0] <= self.clock():
                self.calls.remove(call)
                call[2]()
        for daemon in list(self.daemons):
            self._act(daemon, has_trouble)
        if has_trouble:
            self._trouble()
        granting = [d.id for d in self.daemons if d.is_granting()]
        assert len(granting) <= 1, granting

    def _act(self, daemon, has_trouble):
        choose = self.random.random
        if choose() < 0.3:
            self.read(daemon)
        peer = self.random.choice(self.daemons)
        if peer is not daemon and not {peer.id.name, daemon.id.name} & self.cut_off:
            daemon.hear(peer)
        daemon.advance()
        current = daemon.view.assignment_by_shard.get(SHARD)
        if not daemon.lease.is_valid or daemon.lease.is_extended:
            return
        is_own = current is not None and current.keeper == daemon.id
        is_dead = current is not None and self.has_ended(current.keeper)
        if current is None or not is_in_force(current, daemon.view.era):
            is_keeper = daemon.keeper is not None
            if choose() < (0.3 if is_keeper or current is None else 0.03):
                self.claim(daemon)
        elif not is_own and (is_dead or has_trouble):
            if choose() < (0.3 if is_dead else 0.03):
                self.claim(daemon)  # The keeper has ended, or is wrongly suspected.

    def _trouble(self):
        choose = self.random.random
        if choose() < 0.02:
            self.restorations += 1
            self.store.restore(self.random.randrange(6))
        if choose() < 0.05:
            self.cut_off ^= {f"vm-{self.random.randrange(3)}"}
        if choose() < 0.01:
            index = self.random.randrange(3)
            old = self.daemons[index].id
            self.daemons[index] = ModelDaemon(self, old.name, old.incarnation + 1)
        if choose() < 0.05:
            number = 1 + max(
                (w.ticket for w in self.store.writes if hasattr(w, "ticket")), default=0
            )
            self.store.write(next(make_ticket(number).states()))


def make_ticket(number):
    return Ticket(number, entities=(Team(f"t{number}", 1.0, 1),), is_whole=True)


@pytest.mark.parametrize("seed", range(60))
def test_one_keeper_grants_at_a_time_across_restorations(seed, settings, clock):
    fleet = ModelFleet(seed, settings, clock)
    newest = {}
    for _ in range(600):
        fleet.tick(has_trouble=True)
        for daemon in fleet.daemons:
            ticket = daemon.view.configuration.whole_ticket
            assert ticket >= newest.get(daemon.id, 0)
            newest[daemon.id] = ticket
    fleet.cut_off.clear()
    for _ in range(300):
        fleet.tick(has_trouble=False)
    assert fleet.restorations
    views = [d.view for d in fleet.daemons]
    assert {(v.era, v.revision) for v in views} == {
        (fleet.store.era, fleet.store.revision)
    }
    assert len({v.configuration.whole_ticket for v in views}) == 1
    assert all(d.lease.is_valid for d in fleet.daemons)
    assert sum(d.is_granting() for d in fleet.daemons) == 1


def test_change_that_arrives_after_the_era_has_risen_is_not_lost():
    """A peer relays a version that the store has lost to a daemon of the new era."""
    view = SharedView()
    view.apply(SharedBatch(0, 5, tuple(make_ticket(6).states(5)), (), 6, era=1))
    view.apply(SharedBatch(0, 4, tuple(make_ticket(6).states(4)), (), 6, era=2))
    assert view.apply(SharedBatch(5, 7, tuple(make_ticket(7).states(7)), (), 7, era=1))
    assert view.configuration.whole_ticket == 7
    assert (view.era, view.revision) == (2, 4)
    assert view.batch_after(0).whole_ticket == 7


def test_late_batch_with_a_gap_removes_nothing():
    """It names a version whose entities it does not contain."""
    view = SharedView()
    view.apply(SharedBatch(0, 5, tuple(make_ticket(6).states(5)), (), 6, era=1))
    view.enter_era(2, 0.0)
    view.apply(SharedBatch(8, 9, (), (), 7, era=1))
    assert list(view.configuration.team_by_name) == ["t6"]


def test_lost_version_supersedes_nothing_where_it_has_not_arrived():
    """A daemon would drop its version, and could not tell that it lacks the other."""
    ahead, behind = SharedView(), SharedView()
    for view, number in ((ahead, 2), (behind, 1)):
        states = tuple(make_ticket(number).states(number))
        view.apply(SharedBatch(0, number, states, (), number, era=1))
        view.apply(SharedBatch(0, 1, era=2))
    ahead.apply(SharedBatch(1, 2, era=2))
    assert behind.apply(ahead.batch_after(1))
    assert behind.revision == 2
    assert behind.configuration.team_by_name
    assert behind.configuration.whole_ticket == 1
    assert behind.apply(ahead.batch_after(0))
    assert behind.configuration.team_by_name == ahead.configuration.team_by_name


def test_peer_that_asks_how_far_this_daemon_is_learns_of_a_lost_version():
    view = SharedView()
    view.apply(SharedBatch(0, 2, tuple(make_ticket(2).states(2)), (), 2, era=1))
    view.apply(SharedBatch(0, 1, era=2))
    told = view.batch_after(NOTHING_AFTER)
    assert (told.states, told.whole_ticket) == ((), 2)


def test_evidence_of_another_era_does_not_count():
    view = SharedView()
    view.apply(SharedBatch(0, 5, era=1))
    view.apply(SharedBatch(0, 5, era=2))
    assert view.is_current(5, 2)
    assert not view.is_current(5, 1)
    view.note_revision(9, 1)
    assert view.is_current(5, 2)


def zones_batch(after, revision, era, in_use):
    zone = Zone("zone-a", "west", in_use)
    ticket = Ticket(observed_number(era, revision), entities=(zone,))
    return SharedBatch(after, revision, tuple(ticket.states(revision)), era=era)


def test_zone_stays_out_until_operators_could_say_so_again():
    """The object that took it out is lost, which looks as if it was removed."""
    view = SharedView()
    view.apply(zones_batch(0, 8, 1, in_use=False), 0.0)
    view.apply(zones_batch(0, 3, 2, in_use=True), 10.0)
    assert not view.configuration.is_zone_in_use("zone-a")
    assert view.release_zones(9.0 + ZONE_HOLD_SECONDS) == ()
    assert view.release_zones(10.0 + ZONE_HOLD_SECONDS)
    assert view.configuration.is_zone_in_use("zone-a")


def test_zone_that_is_put_back_in_the_new_era_is_in_use_at_once():
    view = SharedView()
    view.apply(zones_batch(0, 8, 1, in_use=False), 0.0)
    view.apply(zones_batch(0, 3, 2, in_use=False), 10.0)
    view.apply(zones_batch(3, 4, 2, in_use=True), 11.0)
    assert view.configuration.is_zone_in_use("zone-a")


def test_zone_taken_out_in_a_new_era_with_lower_revisions_is_out():
    view = SharedView()
    view.apply(zones_batch(0, 800, 1, in_use=True), 0.0)
    view.apply(zones_batch(0, 3, 2, in_use=False), 10.0)
    assert not view.configuration.is_zone_in_use("zone-a")


def test_without_eras_numbers_are_as_before():
    first = KeeperAssignment(SHARD, DaemonId("vm-0", 1), next_epoch(None, 0))
    assert (first.epoch, next_epoch(first, 0)) == (1, 2)
    assert observed_number(0, 17) == 17
    assert incarnation_after(5, 0, random.Random(1)) == 6


def test_incarnation_of_a_lost_record_is_not_used_again():
    source = random.Random(1)
    lost = [incarnation_after(5, 1, source) for _ in range(20)]
    assert min(lost) > 5
    assert max(lost) < incarnation_after(5, 2, source)


def test_records_of_a_fleet_are_written_at_a_bounded_rate():
    """All daemons learn of a restoration within a second."""
    source = random.Random(7)
    delays = sorted(rewrite_delay(300, source) for _ in range(300))
    most = max(sum(t <= d < t + 0.5 for d in delays) for t in delays)
    assert most / 0.5 < 100


OWN = DaemonId("vm-0", 1)
OTHER = DaemonId("vm-1", 1)


def make_granting_keeper(settings, clock):
    """Return a lease, and a keeper that has begun to grant under it in era 1."""
    lease = Lease(settings.lease, clock)
    lease.renew(clock())
    first = KeeperAssignment(SHARD, OWN, next_epoch(None, 1))
    keeper = ShardKeeper(first, settings, clock())
    assert keeper.phase is KeeperPhase.GRANTING
    return lease, keeper


def test_keeper_whose_lease_had_lapsed_starts_over_in_a_new_era(settings, clock):
    """Another daemon may have granted since, and the store has lost its claim."""
    lease, keeper = make_granting_keeper(settings, clock)
    arguments = (keeper.assignment, OWN, 2, lease, False)
    assert next_step(keeper, *arguments) is KeeperStep.KEEP
    clock.advance(settings.lease.term_seconds + 0.1)
    lease.renew(clock())
    assert next_step(keeper, *arguments) is KeeperStep.DROP


def test_lease_that_was_extended_regardless_proves_nothing(settings, clock):
    """A daemon that is cut off extends it as well, while another one takes over."""
    goes_on = replace(settings.lease, outage=OutagePolicy.GO_ON)
    settings = replace(settings, lease=goes_on)
    lease, keeper = make_granting_keeper(settings, clock)
    clock.advance(settings.lease.term_seconds - 0.1)
    lease.extend(clock())
    clock.advance(0.2)
    lease.renew(clock())
    assert next_step(keeper, keeper.assignment, OWN, 2, lease, False) is KeeperStep.DROP


def test_keeper_goes_on_only_if_no_takeover_lies_between(settings, clock):
    lease, keeper = make_granting_keeper(settings, clock)
    own_claim = KeeperAssignment(SHARD, OWN, next_epoch(keeper.assignment, 2))
    arguments = (OWN, 2, lease, False)
    assert next_step(keeper, own_claim, *arguments) is KeeperStep.CLAIM_AGAIN
    between = KeeperAssignment(SHARD, OTHER, next_epoch(keeper.assignment, 1))
    later_claim = KeeperAssignment(SHARD, OWN, next_epoch(between, 2))
    assert next_step(keeper, later_claim, *arguments) is KeeperStep.START
    assert next_step(keeper, own_claim, OWN, 2, lease, True) is KeeperStep.START


def test_claim_does_not_replace_a_takeover_that_the_claimant_missed():
    first = KeeperAssignment(SHARD, OWN, next_epoch(None, 1))
    missed = KeeperAssignment(SHARD, OTHER, next_epoch(first, 1))
    claim = KeeperAssignment(SHARD, OWN, next_epoch(first, 2))
    assert may_replace(claim, first)
    assert not may_replace(claim, missed)
    rival = KeeperAssignment(SHARD, OTHER, next_epoch(first, 2))
    assert not may_replace(claim, rival)


def test_restored_first_claim_grants_nothing_in_a_later_era(settings, clock):
    """A first keeper begins with full bursts, and an earlier one may still grant."""
    claim = KeeperAssignment(SHARD, OWN, next_epoch(None, 2))
    keeper = ShardKeeper(claim, settings, clock())
    assert keeper.phase is KeeperPhase.WAITING
