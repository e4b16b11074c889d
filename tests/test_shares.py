"""Shares of a team's rate and burst, and keepers that grant and take over them."""

from __future__ import annotations

import math
import random
from collections import Counter
from dataclasses import replace

import curio
import pytest
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
from bramleyglade_core.decisions.stop_schedule import plan_stop
from bramleyglade_core.decisions.team_allocator import TeamAllocator
from bramleyglade_core.model.announcements import KeeperAssignment, MemberRecord
from bramleyglade_core.model.entities import Team
from bramleyglade_core.model.errors import AttemptError
from bramleyglade_core.model.identifiers import DaemonId
from bramleyglade_core.model.settings import LimitSettings
from bramleyglade_core.model.shares import TOTAL_SHARE_UNITS, HeldShare
from bramleyglade_daemon.fleet import keepers
from bramleyglade_standins.local_fleet import free_address

LIMITS = LimitSettings(slice_term_seconds=4.0, renew_seconds=0.5)
TEAM = Team("team", 20.0, 40)
OLD = DaemonId("old", 1)
NEW = DaemonId("new", 1)


def make_holding(name="vm"):
    return ShareHolding(DaemonId(name, 1), LIMITS)


def note_arrivals(holding, now, count=60):
    for _ in range(count):
        holding.note_arrival(now)


def admit_all(holding, now):
    count = 0
    while holding.try_admit(TEAM, now):
        count += 1
    return count


def grant_share(allocator, holding, clock):
    note_arrivals(holding, clock.now)
    granted = allocator.answer(
        holding.renew(TEAM, clock.now, 0), TEAM, clock.now, False
    )
    holding.apply_grant(granted, TEAM, clock.now)


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
def test_no_window_exceeds_the_rate_if_messages_are_lost_late_or_repeated(steps):
    allocator = TeamAllocator(LIMITS, float(TEAM.burst), 0.0)
    holdings = [make_holding(f"vm-{i}") for i in range(3)]
    late_answers = []
    now, admitted_at = 0.0, []
    for index, kind, seconds in steps:
        now += seconds
        holding = holdings[index]
        note_arrivals(holding, now, 8)
        if kind == "spend":
            admitted_at += [now] * admit_all(holding, now)
            continue
        asked = holding.renew(TEAM, now, 2)
        if kind == "lose renewal":
            holding.abandon_renewal(now)
            continue
        granted = allocator.answer(asked, TEAM, now, False)
        if kind == "lose answer":
            holding.abandon_renewal(now)
        elif kind == "late":
            holding.abandon_renewal(now)
            late_answers.append((holding, granted))
        else:
            holding.apply_grant(granted, TEAM, now)
            if kind == "repeat":
                assert allocator.answer(asked, TEAM, now, False) is None
                holding.apply_grant(granted, TEAM, now)
        for other, answer in late_answers:
            other.apply_grant(answer, TEAM, now)
        assert allocator.held_units <= TOTAL_SHARE_UNITS
    for holding in holdings:
        admitted_at += [now] * admit_all(holding, now)
    assert worst_excess(TEAM, admitted_at) <= 1e-6


@given(seed=st.integers(0, 50), pattern=st.sampled_from(["even", "skewed", "moving"]))
def test_no_window_exceeds_the_rate_with_delays_and_a_lost_keeper(seed, pattern):
    team = Team("team", 30.0, 20)
    random_source = random.Random(seed)
    arrivals = make_arrivals(pattern, 60.0, 5, random_source)[:800]
    model = KeeperModel(team, 5, LIMITS, is_keeper_lost=bool(seed % 2))
    model.run(arrivals)
    assert worst_excess(team, sorted(model.admitted_at.values())) <= 1e-6


def test_even_and_skewed_arrivals_within_the_rate_are_rarely_refused():
    team = Team("team", 200.0, 200)
    for pattern, bound in (("even", 0.001), ("skewed", 0.01)):
        arrivals = make_arrivals(pattern, 160.0, 20, random.Random(1))
        admitted = KeeperModel(team, 20, LimitSettings()).run(arrivals)
        assert wrongful_share(admitted, ideal(team, arrivals)) < bound


def test_share_is_not_spent_after_its_term_has_ended(clock):
    holding = ShareHolding(NEW, LIMITS)
    allocator = TeamAllocator(LIMITS, float(TEAM.burst), clock.now)
    note_arrivals(holding, clock.now)
    granted = allocator.answer(
        holding.renew(TEAM, clock.now, 1), TEAM, clock.now, False
    )
    holding.apply_grant(granted, TEAM, clock.now)
    assert holding.units
    clock.advance(LIMITS.slice_term_seconds + 0.1)
    assert not holding.try_admit(TEAM, clock.now)


def test_share_granted_after_a_lapse_holds_only_the_granted_level(clock):
    """Guards against a share granted after a lapse refilling for the lapsed time."""
    allocator = TeamAllocator(LIMITS, 0.0, clock.now)
    holding = ShareHolding(NEW, LIMITS)
    grant_share(allocator, holding, clock)
    assert holding.units
    assert admit_all(holding, clock.now) == 0
    clock.advance(LIMITS.slice_term_seconds + 10.0)
    assert admit_all(holding, clock.now) == 0
    allocator = TeamAllocator(LIMITS, 0.0, clock.now)
    grant_share(allocator, holding, clock)
    assert holding.units
    assert admit_all(holding, clock.now) == 0


def test_extension_lengthens_a_share_only_before_it_lapses(clock):
    holding = ShareHolding(NEW, LIMITS)
    holding.units, holding.term_end = 1000, clock.now + 1.0
    holding.extend(clock.now, clock.now + 5.0)
    assert holding.term_end == clock.now + 5.0
    clock.advance(6.0)
    holding.extend(clock.now, clock.now + 5.0)
    assert holding.term_end < clock.now


def test_lowered_rate_and_burst_apply_to_held_shares_at_once(clock):
    holding = ShareHolding(NEW, LIMITS)
    holding.units, holding.level = TOTAL_SHARE_UNITS, 5.0
    holding.term_end = clock.now + 100
    holding._refilled_at = clock.now
    lowered = Team("team", 1.0, 2)
    assert sum(holding.try_admit(lowered, clock.now) for _ in range(10)) == 1


def make_keeper(settings, clock, epoch=2):
    return ShardKeeper(KeeperAssignment(0, NEW, epoch), settings, clock.now)


def renewal_of(holding, clock):
    note_arrivals(holding, clock.now)
    return holding.renew(TEAM, clock.now, 1)


def test_new_keeper_waits_then_collects_then_grants(settings, clock):
    keeper = make_keeper(settings, clock)
    teams = {TEAM.name: TEAM}
    existing = ShareHolding(OLD, settings.limits)
    existing.units, existing.term_end = 500_000, clock.now + 100
    assert not keeper.answer(renewal_of(existing, clock), TEAM, clock.now).is_known
    keeper.confirm(teams, clock.now)
    assert keeper.phase is KeeperPhase.WAITING
    clock.advance(keeper.lease_wait_seconds)
    keeper.confirm(teams, clock.now)
    granted = keeper.answer(renewal_of(existing, clock), TEAM, clock.now)
    assert granted.is_known
    assert granted.booked_units == 500_000
    assert granted.added_units == 0
    new_holding = ShareHolding(NEW, settings.limits)
    assert (
        keeper.answer(renewal_of(new_holding, clock), TEAM, clock.now).added_units == 0
    )
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
    holding = ShareHolding(OLD, limits)
    holding.apply_grant(
        old.answer(renewal_of(holding, clock), TEAM, clock.now), TEAM, clock.now
    )
    held = holding.units
    assert held
    successor = make_keeper(settings, clock)
    end = clock.now + limits.slice_term_seconds + grace
    while clock.now < end:
        granted = successor.answer(renewal_of(holding, clock), TEAM, clock.now)
        # Refusals then say `limit-unknown`: the team may be within its rate.
        assert granted.is_waiting
        assert granted.added_units == granted.added_tokens == 0
        holding.apply_grant(granted, TEAM, clock.now)
        assert holding.units == held
        # The old keeper, if it still runs, must not grant these units to another.
        new_holding = ShareHolding(NEW, limits)
        old.confirm({TEAM.name: TEAM}, clock.now)
        other = old.answer(renewal_of(new_holding, clock), TEAM, clock.now)
        if other is not None:
            assert other.added_units <= TOTAL_SHARE_UNITS - held
        clock.advance(0.5)


def test_share_that_is_not_confirmed_in_time_is_dropped(settings, clock):
    keeper = make_keeper(settings, clock)
    for _ in range(2):
        clock.advance(settings.limits.slice_term_seconds + keeper.lease_wait_seconds)
        keeper.confirm({TEAM.name: TEAM}, clock.now)
    unconfirmed = ShareHolding(OLD, settings.limits)
    unconfirmed.units, unconfirmed.term_end = 900_000, clock.now + 0.1
    granted = keeper.answer(renewal_of(unconfirmed, clock), TEAM, clock.now)
    assert granted.booked_units == 0


def assignment_of(epoch):
    return KeeperAssignment(0, NEW, epoch)


def start_granting(keeper, clock, shares=(), unresponsive=()):
    keeper.note_predecessor_ended(clock.now)
    keeper.apply_reports(shares, unresponsive, clock.now)


def grant_to(keeper, holding, clock, arrivals=60):
    note_arrivals(holding, clock.now, arrivals)
    granted = keeper.answer(holding.renew(TEAM, clock.now, 1), TEAM, clock.now)
    holding.apply_grant(granted, TEAM, clock.now)
    return granted


def with_largest_holding(settings, largest=0.15):
    limits = replace(settings.limits, largest_holding=largest)
    return replace(settings, limits=limits)


def test_one_unresponsive_daemon_does_not_stop_a_new_keeper(settings, clock):
    """Guards against a new keeper granting nothing for 10 s after a power loss."""
    keeper = make_keeper(with_largest_holding(settings), clock)
    start_granting(keeper, clock, unresponsive=[OLD])
    assert keeper.phase is KeeperPhase.GRANTING
    clock.advance(1.0)
    holding = ShareHolding(NEW, with_largest_holding(settings).limits)
    grant_to(keeper, holding, clock)
    assert 0 < holding.units <= 0.15 * TOTAL_SHARE_UNITS
    clock.advance(0.5)
    assert admit_all(holding, clock.now)


def test_assumed_shares_are_not_granted_until_they_lapse(settings, clock):
    settings = with_largest_holding(settings)
    keeper = make_keeper(settings, clock)
    unresponsive = [DaemonId(f"unresponsive-{i}", 1) for i in range(5)]
    start_granting(keeper, clock, unresponsive=unresponsive)
    start = clock.now
    holdings = [ShareHolding(DaemonId(f"vm-{i}", 1), settings.limits) for i in range(6)]
    admitted = 0
    while clock.now < start + settings.limits.slice_term_seconds:
        for holding in holdings:
            grant_to(keeper, holding, clock, 8)
            admitted += admit_all(holding, clock.now)
        clock.advance(0.25)
    elapsed = clock.now - start
    # The unresponsive daemons may spend three quarters of the rate meanwhile.
    assert admitted <= 0.25 * TEAM.rate * elapsed + 1
    clock.advance(settings.limits.slice_term_seconds)
    keeper.confirm({TEAM.name: TEAM}, clock.now)
    clock.advance(2.0)
    counted_from = clock.now
    admitted_after_lapse = 0
    for _ in range(8):
        clock.advance(0.25)
        for holding in holdings:
            grant_to(keeper, holding, clock, 8)
            admitted_after_lapse += admit_all(holding, clock.now)
    assert admitted_after_lapse > 0.5 * TEAM.rate * (clock.now - counted_from)


def test_shares_of_absent_leaving_daemons_are_not_assumed_after_their_notice(
    settings, clock
):
    """Seven VMs that were leaving when all lost power locked all rates for 4 s."""
    settings = with_largest_holding(settings)
    keeper = make_keeper(settings, clock)
    leaving = [DaemonId(f"leaving-{i}", 1) for i in range(7)]
    keeper.note_predecessor_ended(clock.now)
    last_use = clock.now + 1.0
    keeper.apply_reports((), leaving, clock.now, dict.fromkeys(leaving, last_use))
    holding = ShareHolding(NEW, settings.limits)
    assert not grant_to(keeper, holding, clock, arrivals=0).added_units
    clock.advance(0.9)
    keeper.confirm({TEAM.name: TEAM}, clock.now)
    assert not grant_to(keeper, holding, clock, arrivals=8).added_units
    clock.advance(0.2)
    keeper.confirm({TEAM.name: TEAM}, clock.now)
    assert grant_to(keeper, holding, clock, arrivals=0).added_units


def test_late_report_replaces_the_assumed_share(settings, clock):
    settings = with_largest_holding(settings)
    keeper = make_keeper(settings, clock)
    start_granting(keeper, clock, unresponsive=[OLD])
    grant_to(keeper, ShareHolding(NEW, settings.limits), clock)
    assert keeper.unresponsive_names(clock.now) == ["old"]
    held = HeldShare(TEAM.name, OLD, 40_000, 0, 3)
    keeper.apply_late_report("old", [held], clock.now)
    assert keeper.unresponsive_names(clock.now) == []
    units_by_holder = {
        share.holder: share.units for share in keeper.hand_over(assignment_of(3)).lines
    }
    assert units_by_holder[OLD] == 40_000


def test_late_report_older_than_a_renewal_is_ignored(settings, clock):
    settings = with_largest_holding(settings)
    keeper = make_keeper(settings, clock)
    start_granting(keeper, clock, unresponsive=[OLD])
    clock.advance(1.0)
    holding = ShareHolding(OLD, settings.limits)
    reported = holding.report_held_share(TEAM, clock.now)
    grant_to(keeper, holding, clock)
    assert holding.units
    keeper.apply_late_report("old", [reported], clock.now)
    units_by_holder = {
        share.holder: share.units for share in keeper.hand_over(assignment_of(3)).lines
    }
    assert units_by_holder[OLD] >= holding.units


def test_daemon_never_holds_more_than_a_new_keeper_would_assume(settings, clock):
    settings = with_largest_holding(settings)
    keeper = make_keeper(settings, clock, epoch=1)
    holding = ShareHolding(OLD, settings.limits)
    for _ in range(20):
        clock.advance(0.5)
        grant_to(keeper, holding, clock)
        assert holding.units <= 0.15 * TOTAL_SHARE_UNITS


def test_successor_with_a_handover_grants_without_waiting(settings, clock):
    leaving = make_keeper(settings, clock, epoch=1)
    holding = ShareHolding(OLD, settings.limits)
    granted = leaving.answer(renewal_of(holding, clock), TEAM, clock.now)
    holding.apply_grant(granted, TEAM, clock.now)
    assert holding.units
    successor = make_keeper(settings, clock)
    successor.accept_handover(leaving.hand_over(assignment_of(2)), clock.now)
    assert successor.phase is KeeperPhase.GRANTING
    granted = successor.answer(renewal_of(holding, clock), TEAM, clock.now)
    assert granted.booked_units == holding.units


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
        front_index = next(i for i, name in enumerate(names) if name != keeper)
        keeper_index = names.index(keeper)
        fleet.blocked_pairs.add(frozenset((front_index, keeper_index)))
        await fleet.cut_links(front_index, keeper_index)
        statuses = [(await fleet.call(front_index)).status for _ in range(20)]
        assert statuses.count(200) >= 15

    run_fleet(scenario, daemons=3, zones=1)


def test_keeper_superseded_by_others_hands_over_its_shares(run_fleet):
    """Guards against 4 s or more without grants if others can't reach a keeper."""

    async def scenario(fleet):
        await fleet.call(0)
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        view = fleet.daemons[0].context.view
        old = view.assignment_by_shard[shard]
        names = [settings.name for settings in fleet.settings]
        claimant = next(i for i, name in enumerate(names) if name != old.keeper.name)
        keepers = fleet.daemons[claimant].keepers
        # The two can't reach each other; a third daemon reaches both.
        fleet.blocked_pairs.add(frozenset((claimant, names.index(old.keeper.name))))
        await fleet.cut_links(claimant, names.index(old.keeper.name))
        await keepers._claim(shard, old)
        await fleet.wait_until(
            lambda: (
                shard in keepers._keeper_by_shard
                and keepers._keeper_by_shard[shard].phase is KeeperPhase.GRANTING
            )
        )
        epoch = view.assignment_by_shard[shard].epoch
        assert keepers._handover_by_shard[shard].epoch == epoch

    run_fleet(scenario, daemons=3, zones=1)


def test_successor_of_a_planned_stop_grants_at_once(run_fleet):
    """Guards against sending back a handover that arrives before the assignment."""

    async def scenario(fleet):
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        view = fleet.daemons[0].context.view
        names = [settings.name for settings in fleet.settings]
        leaving = names.index(view.assignment_by_shard[shard].keeper.name)
        assert (await fleet.call(leaving)).status == 200
        await fleet.daemons[leaving].keepers.hand_over_all()
        remaining = next(d for i, d in enumerate(fleet.daemons) if i != leaving)
        await fleet.wait_until(
            lambda: (
                remaining.context.view.assignment_by_shard[shard].keeper.name
                != names[leaving]
            )
        )
        successor = next(d for d in fleet.daemons if d.keepers.is_keeper_of("studio"))
        await fleet.wait_until(lambda: shard in successor.keepers._keeper_by_shard)
        keeper = successor.keepers._keeper_by_shard[shard]
        assert keeper.phase is KeeperPhase.GRANTING

    run_fleet(scenario, daemons=3, zones=1)


def test_holder_with_few_requests_costs_two_renewals_a_request(clock):
    """A share is renewed each second, also long after its last request."""
    allocator = TeamAllocator(LIMITS, level=TEAM.burst, free_since=clock())
    holding = ShareHolding(NEW, LIMITS)
    renewals = 0
    for _ in range(5):
        holding.note_arrival(clock())
        assert not holding.try_admit(TEAM, clock())
        renewals += renew_with(holding, allocator, clock, waiting=1)
        assert holding.try_admit(TEAM, clock())
        for _ in range(300):
            if holding.next_renewal_at <= clock():
                renewals += renew_with(holding, allocator, clock)
            clock.advance(0.1)
        assert holding.is_unused(clock())
        assert allocator.held_tokens == 0
    assert renewals == 2 * 5


def test_holder_with_steady_requests_gets_a_share(clock):
    allocator = TeamAllocator(LIMITS, level=TEAM.burst, free_since=clock())
    holding = ShareHolding(NEW, LIMITS)
    for _ in range(40):
        holding.note_arrival(clock())
        if not holding.try_admit(TEAM, clock()):
            renew_with(holding, allocator, clock, waiting=1)
        elif holding.next_renewal_at <= clock():
            renew_with(holding, allocator, clock)
        clock.advance(0.25)
    assert holding.units > 0


def test_team_that_returns_after_a_pause_is_not_taken_for_an_old_renewal(run_fleet):
    """The keeper remembers the last number of a holding that was dropped."""

    async def scenario(fleet):
        limiter = fleet.daemons[0].limiter
        team = fleet.daemons[0].context.configuration.team_by_name["studio"]
        for _ in range(4):
            await limiter.admit(team)
            share = limiter._share_by_team["studio"]
            share.holding.release()
            await limiter._request_share(share, team)
            del limiter._share_by_team["studio"]
            await curio.sleep(0.01)

    run_fleet(scenario)


def renew_with(holding, allocator, clock, waiting=0):
    """Let a holding renew, and return how many renewals that took."""
    count = 0
    must_renew = True
    while must_renew:
        asked = holding.renew(TEAM, clock(), waiting)
        granted = allocator.answer(asked, TEAM, clock(), is_collecting=False)
        must_renew = holding.apply_grant(granted, TEAM, clock())
        waiting = 0
        count += 1
    return count


def test_new_keeper_asks_each_member_once_while_others_appear(run_fleet):
    """A keeper that starts over with each new member never ends in a starting fleet."""

    async def scenario(fleet):
        own = fleet.daemons[0]
        collector, directory = own.keepers._collector, own.context.directory
        asked = Counter()
        query = collector._query

        async def count_queries(name, shard):
            asked[name] += 1
            if len(directory.record_by_name) < 8:
                add_absent_member(directory, len(directory.record_by_name))
            return await query(name, shard)

        collector._query = count_queries
        keeper = ShardKeeper(assignment_of(2), own.context.settings, 0.0)
        keeper.note_predecessor_ended(own.context.clock())
        await collector._query_all(keeper)
        assert keeper.phase is KeeperPhase.GRANTING
        assert len(asked) == 8
        assert set(asked.values()) == {1}

    run_fleet(scenario)


def add_absent_member(directory, number):
    daemon = DaemonId(f"absent-{number}", 1)
    directory.merge(MemberRecord(daemon, 1, free_address(), "zone-0"))


def test_shards_of_restarted_keepers_are_claimed_without_a_pause(
    run_fleet, monkeypatch
):
    """A fleet that restarts knows its members from the store."""

    async def scenario(fleet):
        monkeypatch.setattr(keepers, "_SETTLE_SECONDS", math.inf)
        for index in range(len(fleet.daemons)):
            await fleet.kill(index)
        for index in range(len(fleet.daemons)):
            await fleet.start_daemon(index)
        started = {daemon.context.daemon for daemon in fleet.daemons}
        view = fleet.daemons[0].context.view
        await fleet.wait_until(
            lambda: (
                len(view.assignment_by_shard) > 0
                and started.issuperset(
                    a.keeper for a in view.assignment_by_shard.values()
                )
            )
        )

    run_fleet(scenario)


def test_leaving_daemon_spends_no_share_after_its_notice(run_fleet):
    """New keepers assume so of a leaving daemon that does not answer."""

    async def scenario(fleet):
        assert (await fleet.call()).status == 200
        context = fleet.daemons[0].context
        context.stop_schedule = plan_stop(context.settings, context.clock() - 100.0)
        team = context.configuration.team_by_name["studio"]
        with pytest.raises(AttemptError):
            await fleet.daemons[0].limiter.admit(team)

    run_fleet(scenario)
