"""When requests leave their zone or region, and how many do."""

from __future__ import annotations

import math
import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.answer_sizes import AnswerSizes
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.decisions.picker import Picker, PickOptions, ZoneReason
from bramleyglade_core.decisions.zone_balance import (
    ZoneBalance,
    ZoneLoad,
    ZonePlan,
    zone_shares,
)
from bramleyglade_core.decisions.zone_loads import ZoneLoads
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.entities import Service, Zone
from bramleyglade_core.model.identifiers import Address, TargetId
from bramleyglade_core.model.peer_messages import (
    ServiceDemandTold,
    TargetViewTold,
    ZoneLoadTold,
    ZonesTold,
)
from bramleyglade_core.model.tickets import Ticket

REGIONS = {"a1": "a", "a2": "a", "b1": "b", "b2": "b"}
ADDRESS = Address("127.0.0.1", 1)
OBJECTIVE_SECONDS = 2.0
CONFIGURATION = EMPTY_CONFIGURATION.merged(
    Ticket(
        1, "", (*(Zone(z, r) for z, r in REGIONS.items()), Service("s", ("a1",)))
    ).states()
)


class Replay:
    """The zones of one service, each with its shares, in steps of one second."""

    def __init__(self, delay_steps=1):
        self.balance_by_zone = {zone: ZoneBalance(zone) for zone in REGIONS}
        self.delay_steps = delay_steps
        """Age of the loads of other zones, in seconds."""
        self.history = []
        self.partitioned = frozenset()
        self.last_heard = {}

    def step(self, demand_by_zone, capacity_by_zone):
        """Play one second; return the requests from each zone to each."""
        self.history.append((demand_by_zone, capacity_by_zone))
        sent = Counter()
        for zone, balance in self.balance_by_zone.items():
            loads = {}
            for other in REGIONS:
                back = 0 if other == zone else self.delay_steps
                if zone != other and self.partitioned & {zone, other}:
                    back += len(self.history) - self.partitioned_since
                index = max(0, len(self.history) - 1 - back)
                demands, capacities = self.history[index]
                loads[other] = ZoneLoad(demands[other], capacities[other], float(back))
            balance.update({"s": loads}, REGIONS, {"s": OBJECTIVE_SECONDS}, {})
            shares = balance.share_by_zone_by_service.get("s", {zone: 1.0})
            for other, share in shares.items():
                sent[zone, other] += share * demand_by_zone[zone]
        return sent

    def partition(self, *zones):
        """Cut zones off; what is known of them gets old from now on."""
        self.partitioned = frozenset(zones)
        self.partitioned_since = len(self.history)


def served(sent, capacity_by_zone):
    """Return the requests that arrive within the capacity of their zone."""
    arriving = Counter()
    for (_, zone), amount in sent.items():
        arriving[zone] += amount
    return sum(min(arriving[zone], capacity_by_zone[zone]) for zone in arriving)


def between_regions(sent):
    return sum(n for (z, other), n in sent.items() if REGIONS[z] != REGIONS[other])


def between_zones(sent):
    return sum(amount for (zone, other), amount in sent.items() if zone != other)


_loads = st.fixed_dictionaries(
    {
        zone: st.tuples(st.floats(0, 100), st.floats(0, 100), st.floats(0, 8))
        for zone in REGIONS
    }
)


@given(loads=_loads)
def test_zones_never_exchange_requests_and_receive_at_most_what_they_have_left(loads):
    """Guards against two zones that send each other what they could serve themselves.

    A zone that gets more than it has left would send its own requests away.
    """
    load_by_zone = {z: ZoneLoad(d, c) for z, (d, c, _) in loads.items()}
    sent = {}
    for zone, load in load_by_zone.items():
        shares = zone_shares(zone, load_by_zone, REGIONS, OBJECTIVE_SECONDS)
        assert math.isclose(sum(shares.values()), 1.0, abs_tol=1e-6)
        assert all(share >= -1e-9 for share in shares.values())
        for other, share in shares.items():
            sent[zone, other] = share * load.demand
    senders = {z for (z, other), n in sent.items() if z != other and n > 1e-6}
    receivers = {other for (z, other), n in sent.items() if z != other and n > 1e-6}
    assert not senders & receivers
    total_demand = sum(load.demand for load in load_by_zone.values())
    total_capacity = sum(load.capacity for load in load_by_zone.values())
    for zone in receivers:
        arriving = sum(n for (_, other), n in sent.items() if other == zone)
        limit = load_by_zone[zone].capacity
        if total_demand <= 0.5 * total_capacity:
            assert arriving <= limit + 1e-6


@given(loads=_loads)
def test_old_loads_never_make_shares_that_are_no_shares(loads):
    load_by_zone = {z: ZoneLoad(d, c, age) for z, (d, c, age) in loads.items()}
    for zone in REGIONS:
        shares = zone_shares(zone, load_by_zone, REGIONS, OBJECTIVE_SECONDS)
        assert math.isclose(sum(shares.values()), 1.0, abs_tol=1e-6)
        assert all(share >= -1e-9 for share in shares.values())
        for other in shares:
            assert other == zone or load_by_zone[other].age < 6.0


def test_requests_stay_in_their_zone_while_it_can_serve_them():
    loads = {zone: ZoneLoad(70.0, 100.0) for zone in REGIONS}
    assert zone_shares("a1", loads, REGIONS, OBJECTIVE_SECONDS) == {"a1": 1.0}


def test_excess_goes_to_the_own_region_first_and_to_others_last():
    loads = {zone: ZoneLoad(20.0, 100.0) for zone in REGIONS}
    loads["a1"] = ZoneLoad(150.0, 100.0)
    shares = zone_shares("a1", loads, REGIONS, OBJECTIVE_SECONDS)
    assert set(shares) == {"a1", "a2"}
    assert 0.4 < shares["a2"] < 0.5
    loads["a2"] = ZoneLoad(120.0, 100.0)
    shares = zone_shares("a1", loads, REGIONS, OBJECTIVE_SECONDS)
    assert shares["b1"] == pytest.approx(shares["b2"])
    assert shares["b1"] > 0.1
    assert "a2" not in shares


def test_region_behind_a_saturated_link_receives_nothing():
    """A saturated link shows as latency; what is sent over it would come too late."""
    loads = {zone: ZoneLoad(20.0, 100.0) for zone in REGIONS}
    loads["a1"], loads["a2"] = ZoneLoad(150.0, 100.0), ZoneLoad(150.0, 100.0)
    extra = {"b1": 1.5, "b2": 0.03}
    shares = zone_shares("a1", loads, REGIONS, OBJECTIVE_SECONDS, extra)
    assert "b1" not in shares
    assert "b2" in shares


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("delay", [1, 2])
def test_demand_waves_are_served_with_few_requests_between_regions(seed, delay):
    """Guards against requests refused in a zone at its peak while others have capacity.

    Waves of 17 s with different phases; the mean load is seven tenths of the capacity.
    """
    rng = random.Random(seed)
    phases = {zone: rng.uniform(0, 2 * math.pi) for zone in REGIONS}
    phases["a2"] = phases["a1"] + math.pi
    phases["b2"] = phases["b1"] + math.pi
    capacities = dict.fromkeys(REGIONS, 30.0)
    replay = Replay(delay)
    asked = total = far = 0.0
    for second in range(120):
        demands = {
            zone: 21.0 * (1 + 0.55 * math.sin(2 * math.pi * second / 17 + phases[zone]))
            for zone in REGIONS
        }
        sent = replay.step(demands, capacities)
        if second >= 5:
            asked += sum(demands.values())
            total += served(sent, capacities)
            far += between_regions(sent)
    assert total > 0.98 * asked
    assert far < 0.01 * asked


@pytest.mark.parametrize("zone", REGIONS)
def test_zone_that_loses_half_its_targets_sends_the_excess_to_its_region(zone):
    """Guards against waiting for full queues in the zone and against an oscillation."""
    demands = dict.fromkeys(REGIONS, 18.0)
    capacities = dict.fromkeys(REGIONS, 30.0)
    replay = Replay()
    for _ in range(5):
        assert between_zones(replay.step(demands, capacities)) == 0
    capacities = {**capacities, zone: 15.0}
    leaving = []
    for _ in range(20):
        sent = replay.step(demands, capacities)
        leaving.append(between_zones(sent))
        assert between_regions(sent) == 0
    assert served(sent, capacities) == pytest.approx(sum(demands.values()))
    assert leaving == sorted(leaving)
    assert leaving[3] > 0.8 * leaving[-1]


def test_partitioned_zone_receives_nothing_and_the_others_help_each_other():
    """Guards against requests sent to a zone of which nothing was heard for seconds."""
    demands = {"a1": 40.0, "a2": 10.0, "b1": 10.0, "b2": 10.0}
    capacities = dict.fromkeys(REGIONS, 30.0)
    replay = Replay()
    for _ in range(10):
        sent = replay.step(demands, capacities)
    assert sent["a1", "a2"] > 10.0
    replay.partition("a2")
    for _ in range(12):
        sent = replay.step(demands, capacities)
    assert sent["a1", "a2"] < 0.5
    assert sent["a1", "b1"] + sent["a1", "b2"] > 5.0
    assert sent["a2", "a2"] == demands["a2"]


@pytest.mark.parametrize("delay", [1, 3, 5])
def test_shares_settle_on_old_views_of_a_constant_demand(delay):
    """Guards against zones that send their load to and fro on old views."""
    demands = {"a1": 50.0, "a2": 5.0, "b1": 26.0, "b2": 29.0}
    capacities = dict.fromkeys(REGIONS, 30.0)
    replay = Replay(delay)
    leaving = [between_zones(replay.step(demands, capacities)) for _ in range(40)]
    assert leaving == sorted(leaving)
    assert leaving[-1] == pytest.approx(leaving[-10], rel=0.01)


def test_the_only_free_zone_is_not_overrun():
    """Guards against all zones that send their whole excess to the same free zone."""
    demands = {"a1": 45.0, "a2": 45.0, "b1": 45.0, "b2": 5.0}
    capacities = dict.fromkeys(REGIONS, 30.0)
    replay = Replay()
    for _ in range(30):
        sent = replay.step(demands, capacities)
        arriving = sum(sent[zone, "b2"] for zone in REGIONS)
        # All zones together are overloaded, by a sixth.
        assert arriving <= 1.2 * capacities["b2"]
    assert arriving > 0.9 * capacities["b2"]


@pytest.fixture
def service():
    """Make a picker in zone a1 and its candidates: two free targets in each zone."""
    picker = Picker("a1", random.Random(1))
    picker.plan = ZonePlan(REGIONS, {"b1": 0.03, "b2": 0.03}, {})
    candidates = []
    for zone in REGIONS:
        for number in range(2):
            name = f"{zone}-{number}"
            announced = TargetAnnouncement(name, "s", ADDRESS, 4)
            candidates.append(Candidate(TargetId(name, name), zone, announced))
            set_view(picker, name)
    return picker, candidates


def set_view(picker, name, busy=0, now=0.0, **changes):
    view = TargetViewTold(name, "s", 4, busy, False, False, math.log(0.3))
    changed = {f: getattr(view, f) for f in view.__slots__} | changes
    picker.update_views(name, [TargetViewTold(**changed)], now)


def picked_zones(service, tried=frozenset(), now=0.0, **options):
    picker, candidates = service
    options = PickOptions(now, **{"objective_seconds": OBJECTIVE_SECONDS, **options})
    picks = [picker.pick(candidates, tried, options) for _ in range(200)]
    return Counter((p.candidate.zone, p.reason) for p in picks)


def test_request_stays_home_until_the_wait_there_matters(service):
    assert set(picked_zones(service)) == {("a1", ZoneReason.HOME)}
    for name in ("a1-0", "a1-1"):
        set_view(service[0], name, busy=4)  # A wait of 75 ms.
    patient = picked_zones(service, objective_seconds=4.0)
    assert set(patient) == {("a1", ZoneReason.HOME)}
    for name in ("a1-0", "a1-1"):
        set_view(service[0], name, busy=9)  # A wait of 0.45 s.
    assert set(picked_zones(service)) == {("a2", ZoneReason.OVERFLOW)}


def test_request_goes_on_to_the_next_zone_and_to_another_region_last(service):
    """Guards against a request that is refused because its zone has no target left."""
    home = {TargetId(f"a1-{n}", f"a1-{n}") for n in range(2)}
    near = {TargetId(f"a2-{n}", f"a2-{n}") for n in range(2)}
    assert {zone for zone, _ in picked_zones(service, home)} == {"a2"}
    assert {zone for zone, _ in picked_zones(service, home | near)} == {"b1", "b2"}
    for name in ("a1-0", "a1-1"):
        set_view(service[0], name, is_ejected=True)
    assert {zone for zone, _ in picked_zones(service)} == {"a2"}


def test_requests_follow_the_shares_and_large_ones_leave_the_region_last(service):
    shares = {"a1": 0.5, "a2": 0.2, "b1": 0.3}
    service[0].plan = ZonePlan(REGIONS, {}, {"s": shares})
    zones = picked_zones(service)
    assert set(zones) == {
        ("a1", ZoneReason.HOME),
        ("a2", ZoneReason.SHARE),
        ("b1", ZoneReason.SHARE),
    }
    assert 40 <= zones["b1", ZoneReason.SHARE] <= 80
    for _ in range(20):  # Half of the requests are large.
        picked_zones(service, body_bytes=0)
        large = {zone for zone, _ in picked_zones(service, body_bytes=50_000)}
    assert picked_zones(service, body_bytes=0)["b1", ZoneReason.SHARE] > 60
    service[0].plan = ZonePlan(REGIONS, {}, {"s": {"a1": 0.9, "b1": 0.1}})
    mixed = Counter()
    picker, candidates = service
    for number in range(2000):
        is_large = number % 2 == 0
        size = 50_000 if is_large else 0
        options = PickOptions(0.0, body_bytes=size, objective_seconds=2.0)
        zone = picker.pick(candidates, frozenset(), options).candidate.zone
        mixed[is_large, zone] += 1
    assert large
    assert mixed[True, "b1"] == 0
    assert 140 <= mixed[False, "b1"] <= 260


def test_due_target_of_another_region_is_reached_once_it_is_overdue(service):
    """Guards against probes that cross regions while the target's own region can."""
    set_view(service[0], "b1-0", is_due=True)
    assert {zone for zone, _ in picked_zones(service, now=0.5)} == {"a1"}
    set_view(service[0], "b1-0", is_due=True, is_overdue=True)
    assert {zone for zone, _ in picked_zones(service, now=0.1)} == {"a1"}
    large = picked_zones(service, now=0.5, body_bytes=50_000)
    assert set(large) == {("a1", ZoneReason.HOME)}
    assert set(picked_zones(service, now=0.5)) == {("b1", ZoneReason.DUE)}


def test_load_of_a_target_that_reports_no_more_is_forgotten(service):
    """Guards against a zone that counts as full since requests last went there.

    A front gets no views of targets that it sends no requests to.
    """
    home = {TargetId(f"a1-{n}", f"a1-{n}") for n in range(2)}
    for name in ("a2-0", "a2-1"):
        set_view(service[0], name, busy=16)
    zones = {zone for zone, _ in picked_zones(service, home, now=1.0)}
    assert zones <= {"b1", "b2"}
    assert {zone for zone, _ in picked_zones(service, home, now=20.0)} == {"a2"}


def test_regions_that_are_all_full_exchange_nothing():
    """Guards against bytes between regions by which nobody is served."""
    loads = {zone: ZoneLoad(130.0, 100.0) for zone in REGIONS}
    loads["a1"] = ZoneLoad(200.0, 100.0)
    assert set(zone_shares("a1", loads, REGIONS, OBJECTIVE_SECONDS)) == {"a1", "a2"}


def test_expected_size_of_an_answer_follows_those_of_its_route():
    sizes = AnswerSizes()
    assert sizes.expected("download") == 0
    for size in (90_000, 90_000, 540_000):
        sizes.note("download", size)
    sizes.note("search", 500)
    assert sizes.expected("download") == 135_000
    assert sizes.expected("search") == 500


def test_loads_of_the_own_zone_are_measured_from_views_and_reports(service):
    """Guards against counting targets at slots that they don't have in fact."""
    picker, candidates = service
    for name, risk in (("a1-0", 0.0), ("a1-1", 0.5)):
        set_view(picker, name, now=18.0, risk=risk)
    loads = ZoneLoads("a1")
    for tenth in range(200):
        loads.note_arrival("s", tenth / 10)
    told = ZonesTold((ServiceDemandTold("s", 5.0), ServiceDemandTold("x", 5.0)))
    loads.note_report("a1-1", "a1", told, CONFIGURATION, 20.0)
    loads.note_report("a2-0", "a2", told, CONFIGURATION, 20.0)
    loads.measure_home(
        {"s": candidates}, picker.view_by_target, picker.typical_seconds, 2, 20.0
    )
    load = loads.loads_by_service(20.0)["s"]["a1"]
    assert load.capacity == pytest.approx(4 / 0.3 * 1.5, rel=0.01)
    assert 12.0 < load.demand < 18.0


def test_zone_with_capacity_left_after_its_own_demand_is_known():
    """A front whose own zone was full refused requests that another could serve."""
    loads = ZoneLoads("a1")
    full = ZoneLoadTold("a1", "s", 9.0, 2.0, 0.5)
    busy = ZoneLoadTold("a2", "s", 1.6, 2.0, 0.5)
    loads.note_report("vm", "a2", ZonesTold((), (full, busy)), CONFIGURATION, 10.0)
    assert not loads.has_spare_elsewhere("s", 10.0)
    spare = ZoneLoadTold("a2", "s", 1.0, 2.0, 0.1)
    loads.note_report("vm", "a2", ZonesTold((), (spare,)), CONFIGURATION, 11.0)
    assert loads.has_spare_elsewhere("s", 11.0)
    assert not loads.has_spare_elsewhere("x", 11.0)
    assert not loads.has_spare_elsewhere("s", 30.0)


def test_report_of_loads_that_is_out_of_range_or_unknown_is_ignored():
    """Guards against an older or newer daemon whose values would move requests."""
    loads = ZoneLoads("a1")
    good = ZoneLoadTold("a2", "s", 1.0, 2.0, 0.5)
    bad = (
        ZoneLoadTold("a2", "s", math.nan, 2.0, 0.1),
        ZoneLoadTold("a2", "s", 1.0, -2.0, 0.1),
        ZoneLoadTold("a2", "s", 1.0, math.inf, 0.1),
        ZoneLoadTold("a2", "s", 9.0, 2.0, math.nan),
        ZoneLoadTold("a2", "s", 9.0, 2.0, -1.0),
        ZoneLoadTold("a2", "s", 9.0, 2.0, 60.0),
        ZoneLoadTold("z9", "s", 1.0, 2.0, 0.1),
        ZoneLoadTold("a2", "x", 1.0, 2.0, 0.1),
    )
    loads.note_report("vm", "a2", ZonesTold((), (*bad, good)), CONFIGURATION, 10.0)
    assert loads.loads_by_service(10.0) == {"s": {"a2": ZoneLoad(1.0, 2.0, 0.5)}}
    assert loads.loads_by_service(17.0) == {}


def test_bytes_of_the_reports_do_not_grow_with_the_number_of_peers():
    loads = ZoneLoads("a1")
    good = ZoneLoadTold("a2", "s", 1.0, 2.0, 0.0)
    loads.note_report("vm", "a2", ZonesTold((), (good,)), CONFIGURATION, 0.0)
    assert loads.report_for("vm", 0.0) == ZonesTold()
    loads.is_active = True
    for count in (4, 300):
        told = [loads.report_for(f"vm-{n}", count / 100) for n in range(count)]
        assert sum(bool(report.loads) for report in told) <= 8


def test_demand_is_computed_once_for_the_heartbeats_of_many_peers():
    """Each heartbeat of each neighbour sorted the rates of all services again."""
    loads = ZoneLoads("a1")
    loads.note_arrival("s", 10.0)
    demands = loads.own_demands(10.0)
    assert loads.own_demands(10.2) is demands
    loads.note_arrival("s", 10.3)
    (renewed,) = loads.own_demands(10.3)
    assert renewed.per_second > demands[0].per_second


def test_more_loads_than_fit_into_a_report_are_told_in_turn():
    """The last services by name would never have left their zone."""
    names = [f"s{n:03}" for n in range(300)]
    services = tuple(Service(name, ("a2",)) for name in names)
    configuration = CONFIGURATION.merged(Ticket(2, "", services).states())
    loads = ZoneLoads("a1")
    known = tuple(ZoneLoadTold("a2", name, 1.0, 2.0, 0.0) for name in names)
    loads.note_report("vm", "a2", ZonesTold((), known), configuration, 10.0)
    reports = [loads.loads_to_tell(10.0) for _ in range(2)]
    assert [len(report) for report in reports] == [256, 256]
    assert {load.service for report in reports for load in report} == set(names)


def test_zone_that_was_slow_once_is_measured_again():
    """A region over a saturated link got no request, and so no new round trip."""
    loads = ZoneLoads("a1")
    loads.note_round_trip("a1", 0.001, 0.0)
    loads.note_round_trip("b1", 0.5, 0.0)
    loads.note_round_trip("a1", 0.001, 29.0)
    assert loads.extra_seconds_by_zone(29.0) == {"a1": 0.0, "b1": pytest.approx(0.499)}
    assert loads.extra_seconds_by_zone(31.0) == {"a1": 0.0}


def test_shares_that_end_for_lack_of_loads_are_reported():
    """The last log line said that requests left the zone, long after none did."""
    balance = ZoneBalance("a1")
    loads = {"a1": ZoneLoad(20.0, 10.0), "a2": ZoneLoad(0.0, 40.0)}
    (left,) = balance.update({"s": loads}, REGIONS, {"s": OBJECTIVE_SECONDS}, {})
    (ended,) = balance.update({}, REGIONS, {}, {})
    assert ended.share_by_zone == {"a1": 1.0}
    assert ended.leaving_before == 1.0 - left.share_by_zone["a1"]
    (again,) = balance.update({"s": loads}, REGIONS, {"s": OBJECTIVE_SECONDS}, {})
    assert again.leaving_before == 0.0


@pytest.mark.parametrize(
    ("told", "low", "high"),
    [
        (ZonesTold(), 15.0, 25.0),
        (ZonesTold(is_measured=True), 7.0, 13.0),
    ],
)
def test_peer_that_does_not_measure_its_demand_is_not_taken_for_idle(told, low, high):
    """An older daemon, or one that has just started, counted as one without demand."""
    loads = ZoneLoads("a1")
    for tenth in range(200):
        loads.note_arrival("s", tenth / 10)
    loads.note_report("a1-1", "a1", told, CONFIGURATION, 20.0)
    loads.measure_home({"s": ()}, {}, lambda _: None, 2, 20.0)
    assert low < loads.loads_by_service(20.0)["s"]["a1"].demand < high
