"""Shares of a team's rate, kept in every window if messages are lost or late."""

from __future__ import annotations

import random
from dataclasses import replace

from benchmarks.limiter import (
    KeeperModel,
    ideal,
    make_arrivals,
    worst_excess,
    wrongful_share,
)
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.shard_keeper import KeeperPhase, ShardKeeper
from bramleyglade_core.decisions.share_holding import ShareHolding
from bramleyglade_core.decisions.team_allocator import TeamAllocator
from bramleyglade_core.model.announcements import KeeperAssignment
from bramleyglade_core.model.entities import Team
from bramleyglade_core.model.identifiers import DaemonId
from bramleyglade_core.model.settings import LimitSettings
from bramleyglade_core.model.shares import TOTAL_SHARE_UNITS, HeldShare

LIMITS = LimitSettings(slice_term_seconds=4.0, renew_seconds=0.5)
TEAM = Team("team", 20.0, 40)
OLD = DaemonId("old", 1)
NEW = DaemonId("new", 1)


def holding(name="vm"):
    return ShareHolding(DaemonId(name, 1), LIMITS)


def demand(holder, now, count=60):
    for _ in range(count):
        holder.note_arrival(now)


def admit_all(holder, now):
    count = 0
    while holder.try_admit(TEAM, now):
        count += 1
    return count


def grant_share(allocator, holder, clock):
    demand(holder, clock.now)
    granted = allocator.answer(holder.renew(TEAM, clock.now, 0), TEAM, clock.now, False)
    holder.apply_grant(granted, TEAM, clock.now)


_steps = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(
            ["renew", "lose renewal", "lose answer", "late", "repeat", "spend"]
        ),
        st.floats(0.0, 1.5),
    ),
    max_size=80,
)


@given(steps=_steps)
def test_no_window_exceeds_the_rate_whatever_is_lost_late_or_repeated(steps):
    allocator = TeamAllocator(LIMITS, float(TEAM.burst), 0.0)
    holders = [holding(f"vm-{i}") for i in range(3)]
    late = []
    now, times = 0.0, []
    for index, kind, seconds in steps:
        now += seconds
        holder = holders[index]
        demand(holder, now, 8)
        if kind == "spend":
            times += [now] * admit_all(holder, now)
            continue
        asked = holder.renew(TEAM, now, 2)
        if kind == "lose renewal":
            holder.abandon_renewal(now)
            continue
        granted = allocator.answer(asked, TEAM, now, False)
        if kind == "lose answer":
            holder.abandon_renewal(now)
        elif kind == "late":
            holder.abandon_renewal(now)
            late.append((holder, granted))
        else:
            holder.apply_grant(granted, TEAM, now)
            if kind == "repeat":
                assert allocator.answer(asked, TEAM, now, False) is None
                holder.apply_grant(granted, TEAM, now)
        for other, answer in late:
            other.apply_grant(answer, TEAM, now)
        assert allocator.held_units <= TOTAL_SHARE_UNITS
    for holder in holders:
        times += [now] * admit_all(holder, now)
    assert worst_excess(TEAM, times) <= 1e-6


@given(seed=st.integers(0, 50), pattern=st.sampled_from(["even", "skewed", "moving"]))
def test_model_with_delays_never_exceeds_the_ideal_rate(seed, pattern):
    team = Team("team", 30.0, 20)
    randomness = random.Random(seed)
    arrivals = make_arrivals(pattern, 60.0, 5, randomness)[:800]
    model = KeeperModel(team, 5, LIMITS, is_keeper_lost=bool(seed % 2))
    model.run(arrivals)
    assert worst_excess(team, sorted(model.admitted_at.values())) <= 1e-6


def test_even_and_skewed_arrivals_within_the_rate_are_admitted():
    team = Team("team", 200.0, 200)
    for pattern, bound in (("even", 0.001), ("skewed", 0.01)):
        arrivals = make_arrivals(pattern, 160.0, 20, random.Random(1))
        admitted = KeeperModel(team, 20, LimitSettings()).run(arrivals)
        assert wrongful_share(admitted, ideal(team, arrivals)) < bound


def test_share_lapses_at_its_term_even_after_a_pause(clock):
    holder = holding()
    allocator = TeamAllocator(LIMITS, float(TEAM.burst), clock.now)
    demand(holder, clock.now)
    granted = allocator.answer(holder.renew(TEAM, clock.now, 1), TEAM, clock.now, False)
    holder.apply_grant(granted, TEAM, clock.now)
    assert holder.units
    clock.advance(LIMITS.slice_term_seconds + 0.1)
    assert not holder.try_admit(TEAM, clock.now)


def test_new_share_holds_no_more_than_came_with_it(clock):
    """Guards against a share granted after a lapse refilling for the lapsed time."""
    allocator = TeamAllocator(LIMITS, 0.0, clock.now)
    holder = holding()
    grant_share(allocator, holder, clock)
    assert holder.units
    assert admit_all(holder, clock.now) == 0
    clock.advance(LIMITS.slice_term_seconds + 10.0)
    assert admit_all(holder, clock.now) == 0
    allocator = TeamAllocator(LIMITS, 0.0, clock.now)
    grant_share(allocator, holder, clock)
    assert holder.units
    assert admit_all(holder, clock.now) == 0


def test_extension_lengthens_only_an_unbroken_term(clock):
    holder = holding()
    holder.units, holder.term_end = 1000, clock.now + 1.0
    holder.extend(clock.now, clock.now + 5.0)
    assert holder.term_end == clock.now + 5.0
    clock.advance(6.0)
    holder.extend(clock.now, clock.now + 5.0)
    assert holder.term_end < clock.now


def test_rate_lowered_by_a_ticket_shrinks_every_share_at_once(clock):
    holder = holding()
    holder.units, holder.level = TOTAL_SHARE_UNITS, 5.0
    holder.term_end = clock.now + 100
    holder._refilled_at = clock.now
    lowered = Team("team", 1.0, 2)
    assert sum(holder.try_admit(lowered, clock.now) for _ in range(10)) == 1


def make_keeper(settings, clock, epoch=2):
    return ShardKeeper(KeeperAssignment(0, NEW, epoch), settings, clock.now)


def renewal_of(holder, clock):
    demand(holder, clock.now)
    return holder.renew(TEAM, clock.now, 1)


def test_new_keeper_waits_then_collects_then_grants(settings, clock):
    keeper = make_keeper(settings, clock)
    teams = {TEAM.name: TEAM}
    known = ShareHolding(OLD, settings.limits)
    known.units, known.term_end = 500_000, clock.now + 100
    assert not keeper.answer(renewal_of(known, clock), TEAM, clock.now).is_known
    keeper.confirm(teams, clock.now)
    assert keeper.phase is KeeperPhase.WAITING
    clock.advance(keeper.lease_wait_seconds)
    keeper.confirm(teams, clock.now)
    granted = keeper.answer(renewal_of(known, clock), TEAM, clock.now)
    assert granted.is_known
    assert granted.booked_units == 500_000
    assert granted.added_units == 0
    stranger = ShareHolding(NEW, settings.limits)
    assert keeper.answer(renewal_of(stranger, clock), TEAM, clock.now).added_units == 0
    clock.advance(settings.limits.slice_term_seconds + 1.0)
    keeper.confirm(teams, clock.now)
    assert keeper.phase is KeeperPhase.GRANTING


def test_holders_keep_their_shares_while_a_keeper_is_replaced(settings, clock):
    """Guards against holders losing their shares for 8 s or more when a keeper dies."""
    lease = settings.lease
    grace = lease.term_seconds + lease.margin_seconds
    limits = replace(settings.limits, reclaim_grace_seconds=grace)
    settings = replace(settings, limits=limits)
    old = make_keeper(settings, clock, epoch=1)
    holder = ShareHolding(OLD, limits)
    holder.apply_grant(
        old.answer(renewal_of(holder, clock), TEAM, clock.now), TEAM, clock.now
    )
    held = holder.units
    assert held
    successor = make_keeper(settings, clock)
    end = clock.now + limits.slice_term_seconds + grace
    while clock.now < end:
        granted = successor.answer(renewal_of(holder, clock), TEAM, clock.now)
        # A waiting keeper does not mean that the team exceeds its rate.
        assert granted.is_waiting
        assert granted.added_units == granted.added_tokens == 0
        holder.apply_grant(granted, TEAM, clock.now)
        assert holder.units == held
        # The old keeper, if it still runs, must not grant these units to another.
        stranger = ShareHolding(NEW, limits)
        old.confirm({TEAM.name: TEAM}, clock.now)
        other = old.answer(renewal_of(stranger, clock), TEAM, clock.now)
        if other is not None:
            assert other.added_units <= TOTAL_SHARE_UNITS - held
        clock.advance(0.5)


def test_share_that_was_not_confirmed_in_time_is_dropped(settings, clock):
    keeper = make_keeper(settings, clock)
    for _ in range(2):
        clock.advance(settings.limits.slice_term_seconds + keeper.lease_wait_seconds)
        keeper.confirm({TEAM.name: TEAM}, clock.now)
    late = ShareHolding(OLD, settings.limits)
    late.units, late.term_end = 900_000, clock.now + 0.1
    granted = keeper.answer(renewal_of(late, clock), TEAM, clock.now)
    assert granted.booked_units == 0


def assignment_of(epoch):
    return KeeperAssignment(0, NEW, epoch)


def collect(keeper, clock, shares=(), unresponsive=()):
    keeper.note_predecessor_ended(clock.now)
    keeper.apply_reports(shares, unresponsive, clock.now)


def grant_to(keeper, holder, clock, arrivals=60):
    demand(holder, clock.now, arrivals)
    granted = keeper.answer(holder.renew(TEAM, clock.now, 1), TEAM, clock.now)
    holder.apply_grant(granted, TEAM, clock.now)
    return granted


def limited(settings, largest=0.15):
    limits = replace(settings.limits, largest_holding=largest)
    return replace(settings, limits=limits)


def test_one_silent_daemon_does_not_stop_a_new_keeper(settings, clock):
    """Guards against a new keeper granting nothing for 10 s after a power loss."""
    keeper = make_keeper(limited(settings), clock)
    collect(keeper, clock, unresponsive=[OLD])
    assert keeper.phase is KeeperPhase.GRANTING
    clock.advance(1.0)
    holder = ShareHolding(NEW, limited(settings).limits)
    grant_to(keeper, holder, clock)
    assert 0 < holder.units <= 0.15 * TOTAL_SHARE_UNITS
    clock.advance(0.5)
    assert admit_all(holder, clock.now)


def test_what_silent_daemons_may_hold_is_granted_to_nobody(settings, clock):
    settings = limited(settings)
    keeper = make_keeper(settings, clock)
    unresponsive = [DaemonId(f"silent-{i}", 1) for i in range(5)]
    collect(keeper, clock, unresponsive=unresponsive)
    start = clock.now
    holders = [ShareHolding(DaemonId(f"vm-{i}", 1), settings.limits) for i in range(6)]
    admitted = 0
    while clock.now < start + settings.limits.slice_term_seconds:
        for holder in holders:
            grant_to(keeper, holder, clock, 8)
            admitted += admit_all(holder, clock.now)
        clock.advance(0.25)
    elapsed = clock.now - start
    # The unresponsive daemons may spend three quarters of the rate meanwhile.
    assert admitted <= 0.25 * TEAM.rate * elapsed + 1
    clock.advance(settings.limits.slice_term_seconds)
    keeper.confirm({TEAM.name: TEAM}, clock.now)
    clock.advance(2.0)
    before = clock.now
    late = 0
    for _ in range(8):
        clock.advance(0.25)
        for holder in holders:
            grant_to(keeper, holder, clock, 8)
            late += admit_all(holder, clock.now)
    assert late > 0.5 * TEAM.rate * (clock.now - before)


def test_late_report_replaces_the_assumed_share(settings, clock):
    settings = limited(settings)
    keeper = make_keeper(settings, clock)
    collect(keeper, clock, unresponsive=[OLD])
    grant_to(keeper, ShareHolding(NEW, settings.limits), clock)
    assert keeper.unresponsive_names(clock.now) == ["old"]
    held = HeldShare(TEAM.name, OLD, 40_000, 0, 3)
    keeper.apply_late_report("old", [held], clock.now)
    assert keeper.unresponsive_names(clock.now) == []
    units_by_holder = {
        share.holder: share.units for share in keeper.hand_over(assignment_of(3)).lines
    }
    assert units_by_holder[OLD] == 40_000


def test_late_report_older_than_a_renewal_changes_nothing(settings, clock):
    settings = limited(settings)
    keeper = make_keeper(settings, clock)
    collect(keeper, clock, unresponsive=[OLD])
    clock.advance(1.0)
    holder = ShareHolding(OLD, settings.limits)
    stated = holder.report_held_share(TEAM, clock.now)
    grant_to(keeper, holder, clock)
    assert holder.units
    keeper.apply_late_report("old", [stated], clock.now)
    units_by_holder = {
        share.holder: share.units for share in keeper.hand_over(assignment_of(3)).lines
    }
    assert units_by_holder[OLD] >= holder.units


def test_daemon_never_holds_more_than_a_new_keeper_would_assume(settings, clock):
    settings = limited(settings)
    keeper = make_keeper(settings, clock, epoch=1)
    holder = ShareHolding(OLD, settings.limits)
    for _ in range(20):
        clock.advance(0.5)
        grant_to(keeper, holder, clock)
        assert holder.units <= 0.15 * TOTAL_SHARE_UNITS


def test_successor_with_a_handover_needs_no_wait(settings, clock):
    leaving = make_keeper(settings, clock, epoch=1)
    holder = ShareHolding(OLD, settings.limits)
    granted = leaving.answer(renewal_of(holder, clock), TEAM, clock.now)
    holder.apply_grant(granted, TEAM, clock.now)
    assert holder.units
    successor = make_keeper(settings, clock)
    successor.accept_handover(leaving.hand_over(assignment_of(2)), clock.now)
    assert successor.phase is KeeperPhase.GRANTING
    granted = successor.answer(renewal_of(holder, clock), TEAM, clock.now)
    assert granted.booked_units == holder.units


def test_handover_of_another_epoch_is_ignored(settings, clock):
    leaving = make_keeper(settings, clock, epoch=1)
    successor = make_keeper(settings, clock, epoch=3)
    successor.accept_handover(leaving.hand_over(assignment_of(2)), clock.now)
    assert successor.phase is KeeperPhase.WAITING


def test_share_is_granted_through_a_peer_if_the_keeper_is_unreachable(run_fleet):
    """Guards against a daemon cut off from one keeper refusing that keeper's teams."""

    async def scenario(fleet):
        context = fleet.daemons[0].context
        assignments = context.view.assignment_by_shard.values()
        keepers = {assignment.keeper.name for assignment in assignments}
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        keeper = context.view.assignment_by_shard[shard].keeper.name
        assert keeper in keepers
        names = [settings.name for settings in fleet.settings]
        front = next(i for i, name in enumerate(names) if name != keeper)
        cut = names.index(keeper)
        fleet.blocked.add(frozenset((front, cut)))
        await fleet.cut_links(front, cut)
        statuses = [(await fleet.call(front)).status for _ in range(20)]
        assert statuses.count(200) >= 15

    run_fleet(scenario, daemons=3, zones=1)


def test_keeper_superseded_by_others_hands_over_its_shares(run_fleet):
    """Guards against no grants for 4 s or more if others can't reach a keeper."""

    async def scenario(fleet):
        await fleet.call(0)
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        view = fleet.daemons[0].context.view
        old = view.assignment_by_shard[shard]
        names = [settings.name for settings in fleet.settings]
        claimant = next(i for i, name in enumerate(names) if name != old.keeper.name)
        keepers = fleet.daemons[claimant].keepers
        # The two can't reach each other; a third daemon reaches both.
        fleet.blocked.add(frozenset((claimant, names.index(old.keeper.name))))
        await fleet.cut_links(claimant, names.index(old.keeper.name))
        await keepers._claim(shard, old)
        await fleet.until(
            lambda: (
                shard in keepers._keeper_by_shard
                and keepers._keeper_by_shard[shard].phase is KeeperPhase.GRANTING
            )
        )
        epoch = view.assignment_by_shard[shard].epoch
        assert keepers._handover_by_shard[shard].epoch == epoch

    run_fleet(scenario, daemons=3, zones=1)


def test_successor_of_a_planned_stop_grants_at_once(run_fleet):
    """Guards against a handover that arrives before the assignment being sent back."""

    async def scenario(fleet):
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        view = fleet.daemons[0].context.view
        names = [settings.name for settings in fleet.settings]
        leaving = names.index(view.assignment_by_shard[shard].keeper.name)
        assert (await fleet.call(leaving)).status == 200
        await fleet.daemons[leaving].keepers.hand_over_all()
        remaining = next(d for i, d in enumerate(fleet.daemons) if i != leaving)
        await fleet.until(
            lambda: (
                remaining.context.view.assignment_by_shard[shard].keeper.name
                != names[leaving]
            )
        )
        successor = next(d for d in fleet.daemons if d.keepers.is_keeper_of("studio"))
        await fleet.until(lambda: shard in successor.keepers._keeper_by_shard)
        keeper = successor.keepers._keeper_by_shard[shard]
        assert keeper.phase is KeeperPhase.GRANTING

    run_fleet(scenario, daemons=3, zones=1)
