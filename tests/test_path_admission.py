"""Admission by the capacity of the whole path: a replay of overload, without a network.

Guards against the loss seen in played days: work was done for urgent requests whose
calls found no capacity at a service that was full of less urgent work.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass

import pytest

from bramleyglade_adapters.http.simple_client import SimpleClient
from bramleyglade_adapters.link.codec import Envelope, decode, encode
from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.decisions.failure_filter import FailureFilter
from bramleyglade_core.decisions.objective_queue import ObjectiveQueue
from bramleyglade_core.decisions.path_admission import NewWork, PathAdmission, Shortage
from bramleyglade_core.decisions.picker import Picker, PickOptions
from bramleyglade_core.decisions.run_calls import RunCalls
from bramleyglade_core.decisions.service_loads import (
    QUEUE_RANKS,
    ServiceLoad,
    ServiceLoads,
    rank_index,
)
from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.entities import Route
from bramleyglade_core.model.exchange import Header
from bramleyglade_core.model.identifiers import Address, TargetId
from bramleyglade_core.model.peer_messages import (
    CallsTold,
    HeartbeatAnswered,
    ServiceLoadTold,
    TargetViewTold,
)
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.local_fleet import KEY, first_ticket

SERVICES = ("first", "second", "third")
TARGETS_BY_SERVICE = {"first": 10, "second": 10, "third": 4}
SECONDS_BY_SERVICE = {"first": 0.1, "second": 0.1, "third": 0.25}
CALL_SHARE = 0.7
SLOTS = 4
OBJECTIVE_SECONDS = 3.0
DEADLINE_SECONDS = 6.0
VIEW_PERIOD_SECONDS = 0.5
PLAYED_SECONDS = 30.0
MAX_OFFERS = 9


@dataclass(eq=False)
class Item:
    """A request or call at one target."""

    priority: int
    is_call: bool
    deadline: float
    objective_at: float
    done: object
    front: Front
    target: Target | None = None
    started_at: float = 0.0

    @property
    def rank(self):
        return -1 if self.is_call else self.priority


class Front:
    """The decisions of one front."""

    def __init__(self, replay, seed):
        source = random.Random(seed)
        self.picker = Picker("z", source)
        self.calls = RunCalls()
        find = replay.candidates_by_service.__getitem__
        self.loads = ServiceLoads(find, self.picker, self.calls, source)
        self.admission = PathAdmission(self.loads.load, self.calls, source)


class Target:
    """One target and its guard's queue."""

    def __init__(self, candidate, service, front, is_gray):
        self.candidate, self.service, self.front = candidate, service, front
        self.is_gray = is_gray
        self.queue = ObjectiveQueue(64)
        self.running = 0
        self.failures = FailureFilter()
        self.seconds = SECONDS_BY_SERVICE[service]
        """Smoothed time of a request, with the calls that it makes."""

    def view(self, calls, now):
        counts = [0] * QUEUE_RANKS
        for rank, count in self.queue.count_by_rank().items():
            counts[0 if rank < 0 else rank_index(rank)] += count
        return TargetViewTold(
            name=self.candidate.target.name,
            service=self.service,
            limit=SLOTS,
            busy=self.running + len(self.queue),
            is_ejected=False,
            is_trial=False,
            log_latency=math.log(self.seconds),
            risk=self.failures.risk(now),
            queued=tuple(counts),
            run_calls=calls,
        )


class Replay:
    """Plays requests of several priorities against three services that call on."""

    def __init__(self, seed, has_admission, rate_by_service):
        self.random = random.Random(seed)
        self.has_admission = has_admission
        self.rate_by_service = rate_by_service
        self.now = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.outcomes = Counter()
        """Count by priority and outcome."""
        self.candidates_by_service = {
            service: [
                Candidate(
                    TargetId(f"vm-{service}-{n}", "t"),
                    "z",
                    TargetAnnouncement("t", service, Address("127.0.0.1", 1), SLOTS),
                )
                for n in range(count)
            ]
            for service, count in TARGETS_BY_SERVICE.items()
        }
        self.fronts = [Front(self, seed + n) for n in range(4)]
        self.target_by_id = {}
        for service, candidates in self.candidates_by_service.items():
            for n, c in enumerate(candidates):
                front = self.random.choice(self.fronts)
                is_gray = n % 10 in (0, 4, 8)
                self.target_by_id[c.target] = Target(c, service, front, is_gray)

    def at(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.numbers), action, args))

    def play(self):
        self.at(0.0, self.send_views)
        for priority, service in enumerate(SERVICES):
            if self.rate_by_service[service]:
                self.at(0.1, self.arrive, priority, service)
        while self.events:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        return self.outcomes

    def send_views(self):
        for target in self.target_by_id.values():
            index = SERVICES.index(target.service)
            calls = (CallsTold(SERVICES[index + 1], CALL_SHARE),) if index < 2 else ()
            for front in self.fronts:
                view = target.view(calls, self.now)
                daemon = target.candidate.target.daemon
                front.picker.update_views(daemon, [view], self.now)
                front.calls.learn(target.service, view.run_calls, self.now)
        if self.now < PLAYED_SECONDS + DEADLINE_SECONDS:
            self.at(self.now + VIEW_PERIOD_SECONDS, self.send_views)

    def arrive(self, priority, service):
        wait = self.random.expovariate(self.rate_by_service[service])
        if self.now + wait < PLAYED_SECONDS:
            self.at(self.now + wait, self.arrive, priority, service)
        front = self.random.choice(self.fronts)
        work = NewWork(service, priority, priority, OBJECTIVE_SECONDS)
        if self.has_admission and front.admission.find_shortage(work, self.now):
            self.outcomes[priority, "rejected"] += 1
            self.outcomes[priority, "at once"] += 1
            return
        arrived_at = self.now

        def done(outcome):
            if outcome == "ok" and self.now > arrived_at + OBJECTIVE_SECONDS:
                outcome = "late"
            self.outcomes[priority, outcome] += 1

        objective_at = self.now + OBJECTIVE_SECONDS
        deadline = self.now + DEADLINE_SECONDS
        self.offer(service, Item(priority, False, deadline, objective_at, done, front))

    def offer(self, service, item):
        tried = set()
        candidates = self.candidates_by_service[service]
        for _ in range(MAX_OFFERS):
            pick = item.front.picker.pick(candidates, tried, PickOptions(self.now))
            if pick is None:
                break
            target = self.target_by_id[pick.candidate.target]
            tried.add(pick.candidate.target)
            if self.accept(target, item):
                item.target = target
                item.front.picker.note_sent(pick.candidate.target)
                self.start_work(target)
                return
        item.done("rejected")

    def accept(self, target, item):
        """Apply the guard's check of the expected wait."""
        if len(target.queue):
            seconds = target.seconds
            wait = seconds * (1 + target.queue.ahead_of(item.rank)) / SLOTS
            end = item.deadline if item.is_call else item.objective_at
            if 1.3 * (wait + seconds) > end - self.now:
                return False
        objective_at = None if item.is_call else item.objective_at
        evicted = target.queue.push("", item, item.rank, objective_at)
        if evicted is not None and evicted is not item:
            self.refuse(evicted)
        return evicted is not item

    def refuse(self, item):
        item.front.picker.note_ended(item.target.candidate.target)
        item.done("rejected")

    def start_work(self, target):
        seconds = SECONDS_BY_SERVICE[target.service]
        while target.running < SLOTS:
            item = target.queue.pop(self.now, target.seconds)
            if item is None:
                return
            if self.now + target.seconds > item.deadline:
                self.refuse(item)
                continue
            target.running += 1
            spent = seconds * self.random.lognormvariate(0.0, 0.3)
            item.started_at = self.now
            self.at(self.now + spent, self.work_done, target, item)

    def work_done(self, target, item):
        is_failing = target.is_gray and int(self.now / 5) % 2 == 1
        has_failed = is_failing and self.random.random() < 0.75
        target.failures.note(has_failed, self.now)
        index = SERVICES.index(target.service)
        if has_failed:
            self.end(target, item, "failed")
        elif index < 2 and self.random.random() < CALL_SHARE:

            def called(outcome):
                # The work of the parent is lost if its call was rejected.
                self.end(target, item, "lost" if outcome == "rejected" else outcome)

            # Without precedence a call has the priority of the route that it uses.
            call = Item(
                index + 1,
                self.has_admission,
                item.deadline,
                item.objective_at,
                called,
                target.front,
            )
            self.offer(SERVICES[index + 1], call)
        else:
            self.end(target, item, "ok")

    def end(self, target, item, outcome):
        target.running -= 1
        if outcome == "ok":
            target.seconds += 0.1 * (self.now - item.started_at - target.seconds)
        item.front.picker.note_ended(target.candidate.target)
        item.done(outcome)
        self.start_work(target)


def share(outcomes, priority, outcome):
    total = sum(n for (p, o), n in outcomes.items() if p == priority and o != "at once")
    return outcomes[priority, outcome] / total


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_requests_are_served_where_downloads_fill_the_service_that_they_call(
    seed,
):
    """The least urgent route was served best, and the calls of others were lost."""
    rates = {"first": 30, "second": 15, "third": 60}
    before = Replay(seed, False, rates).play()
    after = Replay(seed, True, rates).play()
    for priority in (0, 1):
        assert share(before, priority, "lost") > 0.2
        assert share(after, priority, "lost") < 0.02
        assert share(after, priority, "ok") > share(before, priority, "ok") + 0.2
        assert share(after, priority, "at once") < 0.02
    # Downloads get what is left, and are rejected before they are offered to targets.
    assert share(after, 2, "at once") > 0.8 * share(after, 2, "rejected")
    # One target of four fails three requests in four during half of the time.
    capacity = TARGETS_BY_SERVICE["third"] * SLOTS / SECONDS_BY_SERVICE["third"]
    calls = (rates["first"] * CALL_SHARE + rates["second"]) * CALL_SHARE
    left = capacity * (1 - 0.75 / 4 / 2) - calls
    assert share(after, 2, "ok") > 0.8 * left / rates["third"]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_less_urgent_requests_are_rejected_first_if_calls_alone_are_too_many(seed):
    """Parents of all priorities were admitted, and calls of the urgent ones lost."""
    rates = {"first": 60, "second": 60, "third": 20}
    before = Replay(seed, False, rates).play()
    after = Replay(seed, True, rates).play()
    assert share(after, 0, "lost") < 0.02 < 0.1 < share(before, 0, "lost")
    assert share(after, 0, "ok") > share(before, 0, "ok")
    rejected = [share(after, priority, "at once") for priority in range(3)]
    assert rejected[0] < rejected[1] < rejected[2]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_is_rejected_while_capacity_is_free(seed):
    """Rejecting what could be served is worse than serving it as before."""
    outcomes = Replay(seed, True, {"first": 20, "second": 10, "third": 15}).play()
    assert sum(n for (_, o), n in outcomes.items() if o == "at once") == 0


def load(**changes):
    """Make the load of a service with all slots in use and ten requests per second."""
    values = {
        "free": 0.0,
        "running": 10.0,
        "throughput": 10.0,
        "seconds": 1.0,
        "queued": (0.0,) * QUEUE_RANKS,
    }
    return ServiceLoad(**(values | changes))


def queue(**count_by_rank):
    """Make the numbers of queued requests: of calls and of the priorities p0 to p2."""
    ranks = ("calls", "p0", "p1", "p2")
    counts = [float(count_by_rank.get(rank, 0)) for rank in ranks]
    return (*counts, *(0.0,) * (QUEUE_RANKS - len(ranks)))


def find_shortage(loads, work, calls=()):
    run_calls = RunCalls()
    for caller, callee, per_run in calls:
        run_calls.learn(caller, (CallsTold(callee, per_run),), 0.0)
    admission = PathAdmission(
        lambda service, now: loads.get(service), run_calls, random.Random(1)
    )
    return admission.find_shortage(work, 0.0)


def test_queued_less_urgent_work_does_not_count_against_urgent_work():
    """Urgent work goes first at the guards, so it isn't late because of others."""
    loads = {"s": load(queued=queue(p2=100))}
    assert find_shortage(loads, NewWork("s", 0, 0, 3.0)) is None
    shortage = find_shortage(loads, NewWork("s", 2, 2, 3.0))
    assert shortage.service == "s"
    assert shortage.wait_seconds > shortage.allowed_seconds
    assert shortage.retry_after > 0


def test_free_slots_are_used_unless_calls_come_faster_than_slots_become_free():
    """Queues at some targets must not cause rejections while other targets are free.

    New work must not take the last slots of a service that calls alone overload.
    """
    loads = {"b": load(free=2.0, queued=queue(p2=100))}
    work = NewWork("b", 2, 2, 3.0)
    assert find_shortage(loads, work) is None
    loads["a"] = load(running=10.0)
    assert find_shortage(loads, work, [("a", "b", 1.0)]) is None
    loads["a"] = load(running=20.0)
    assert find_shortage(loads, work, [("a", "b", 1.0)]).service == "b"


def test_shortage_of_a_service_that_is_called_rejects_less_urgent_parents_first():
    """Calls have equal precedence, so parents must leave room for more urgent ones."""
    loads = {"a": load(free=5.0), "b": load(queued=queue(calls=10))}
    calls = [("a", "b", 0.7)]
    assert find_shortage(loads, NewWork("a", 0, 0, 4.0), calls) is None
    shortage = find_shortage(loads, NewWork("a", 2, 2, 4.0), calls)
    assert shortage.service == "b"


def test_service_that_few_requests_call_does_not_cause_rejections():
    """Nine in ten requests would have been served without the call."""
    loads = {"a": load(free=5.0), "b": load(queued=queue(calls=1000))}
    work = NewWork("a", 0, 0, 4.0)
    assert find_shortage(loads, work, [("a", "b", 0.1)]) is None
    assert find_shortage(loads, work, [("a", "b", 0.7)]) is not None


def test_free_slots_of_a_service_that_is_called_are_used():
    """Calls that running requests might make must not keep slots empty."""
    loads = {"a": load(running=100.0, free=1.0), "b": load(free=2.0)}
    work = NewWork("a", 2, 2, 1.5)
    assert find_shortage(loads, work, [("a", "b", 1.0)]) is None


def test_calls_are_learned_by_route_though_runs_of_routes_overlap():
    """Routes that make no calls were judged by the mean of all, and rejected."""
    source = random.Random(1)
    calls = RunCalls()
    running = []
    for _ in range(2000):
        if len(running) == 4:
            calls.note_run_ended(running.pop(0))
        running.append(source.choice(["search", "search", "download"]))
        calls.note_run(running[-1])
        if source.choice(running) == "search" and source.random() < 0.7:
            calls.note_call("ledger")
    told = {(c.route, c.service): c.per_run for c in calls.told()}
    assert 0.2 < told["", "ledger"] < 0.7
    assert told["search", "ledger"] > 0.5
    assert told["download", "ledger"] < 0.2
    front = RunCalls()
    front.learn("desk", calls.told(), 0.0)
    assert front.expected_calls("desk", "download")["ledger"] < 0.2
    assert front.expected_calls("desk", "search")["ledger"] > 0.5
    assert front.expected_calls("desk", "new")["ledger"] == told["", "ledger"]


def test_services_without_an_estimate_cause_no_rejections():
    """A front that has just started or is partitioned admits as before."""
    work = NewWork("a", 2, 2, 4.0)
    calls = [("a", "b", 1.0)]
    assert find_shortage({}, work, calls) is None
    assert find_shortage({"a": load()}, work, calls) is None


def test_calls_of_services_that_call_each_other_are_counted_once_around():
    """A cycle of calls must not be followed forever."""
    calls = RunCalls()
    calls.learn("a", (CallsTold("b", 0.5), CallsTold("c", float("nan"))), 0.0)
    calls.learn("b", (CallsTold("a", 0.5), CallsTold("c", 1.0)), 0.0)
    assert calls.expected_calls("a") == {"b": 0.5, "c": 0.5}


def test_calls_that_no_guard_reports_any_more_are_forgotten():
    """Fronts passed on each other's means, so those of an earlier version stayed.

    Its requests were refused for a service that they no longer call.
    """
    one, other = RunCalls(), RunCalls()
    one.learn("a", (CallsTold("b", 1.0),), 0.0)
    for second in range(70):
        other.learn("a", one.passed_on("a", second), second, is_measured=False)
        one.learn("a", other.passed_on("a", second), second, is_measured=False)
        if second == 5:
            assert other.expected_calls("a") == {"b": 1.0}
    for calls in (one, other):
        calls.learn("c", (CallsTold("d", 1.0),), 70.0)
        assert calls.expected_calls("a") == {}
        assert not calls.is_on_path("b")
        assert calls.is_on_path("d")


def test_names_in_reports_do_not_fill_the_memory():
    """A peer that names ever new services or routes used ever more memory."""
    calls = RunCalls()
    for number in range(3000):
        calls.learn("a", (CallsTold("b", 1.0, f"route-{number}"),), 0.0)
        calls.learn("c", (CallsTold(f"d-{number}", 1.0),), 0.0)
    assert len(calls._learned_by_caller) == 1024
    assert len(calls.per_run_by_callee("c")) == 64
    assert calls.expected_calls("a", "route-2999") == {"b": 1.0}


@pytest.fixture
def make_loads():
    """Make the loads of a front that has views of some of a service's targets."""

    def make(targets, viewed, now=0.0):
        candidates = [
            Candidate(
                TargetId(f"vm-{n}", "t"),
                "z",
                TargetAnnouncement("t", "s", Address("127.0.0.1", 1), SLOTS),
            )
            for n in range(targets)
        ]
        picker = Picker("z", random.Random(1))
        for n in range(viewed):
            view = TargetViewTold("t", "s", SLOTS, SLOTS, False, False, 0.0)
            picker.update_views(f"vm-{n}", [view], now)
        source = random.Random(1)
        return ServiceLoads(lambda service: candidates, picker, RunCalls(), source)

    return make


def test_load_is_unknown_with_few_or_old_views(make_loads):
    """A front must not judge a service by a few targets, or by what it was."""
    assert make_loads(targets=20, viewed=5).load("s", 1.0) is None
    assert make_loads(targets=20, viewed=20).load("s", 9.0) is None
    assert make_loads(targets=3, viewed=2).load("s", 1.0) is None
    known = make_loads(targets=20, viewed=10).load("s", 1.0)
    assert known.throughput == pytest.approx(20 * SLOTS)


def test_neighbours_complete_the_views_of_a_front(make_loads):
    """In a large fleet a front has views of few of a service's targets."""
    loads = make_loads(targets=20, viewed=4)
    neighbour = make_loads(targets=20, viewed=4)
    neighbour.load("s", 0.5)
    told = neighbour.told(0.5)
    loads.learn("peer", told, 0.5)
    assert loads.load("s", 1.0).throughput == pytest.approx(20 * SLOTS)
    assert loads.load("s", 3.0) is None


def test_report_is_made_once_for_the_heartbeats_of_many_neighbours(make_loads):
    """Each heartbeat of each neighbour walked over all targets again."""
    loads = make_loads(targets=20, viewed=20)
    loads.load("s", 0.5)
    told = loads.told(0.5)
    assert [report.service for report in told] == ["s"]
    assert loads.told(0.7) is told
    assert loads.told(0.8) is not told


@pytest.mark.parametrize(
    "changes",
    [
        {"throughput": math.inf},
        {"seconds": math.nan},
        {"free": -1.0},
        {"queued": ()},
        {"targets": 0},
    ],
)
def test_implausible_report_of_a_neighbour_is_ignored(make_loads, changes):
    """A neighbour of another version may send what can't be used."""
    values = {
        "targets": 20,
        "slots": 80.0,
        "free": 0.0,
        "running": 80.0,
        "throughput": 80.0,
        "seconds": 1.0,
        "queued": (0,) * QUEUE_RANKS,
    }
    loads = make_loads(targets=20, viewed=0)
    loads.learn("peer", (ServiceLoadTold("s", **(values | changes)),), 0.0)
    assert loads.load("s", 0.1) is None


def test_views_and_loads_survive_the_link():
    """The new fields were lost if the schema and the messages differ."""
    calls = (CallsTold("b", 0.5), CallsTold("b", 0.7, "search"))
    view = TargetViewTold(
        "t", "s", 4, 6, False, False, queued=queue_counts(2), run_calls=calls
    )
    told = ServiceLoadTold("s", 3, 12.0, 1.0, 9.0, 8.5, 0.5, queue_counts(1), calls)
    answer = HeartbeatAnswered(1, 2, 3.0, 4.0, (view,), (told,))
    decoded = decode(encode(Envelope(1, True, answer))[4:])
    assert decoded.message == answer


def queue_counts(calls):
    return (calls, *(0,) * (QUEUE_RANKS - 1))


def set_load(fleet, known):
    """Set the load of all services as the first front sees it."""
    admission = fleet.daemons[0].front.dispatcher._path_admission
    admission._load_of = lambda service, now: known


def two_priorities():
    """Make a ticket with a route of the least urgent priority."""
    ticket = first_ticket(1)
    route = Route("downloads", "catalogue", "/downloads", priority=2)
    return Ticket(ticket.number, ticket.summary, (*ticket.entities, route))


def test_front_rejects_what_finds_no_capacity_before_it_reads_the_body(run_fleet):
    """Uploads were read, offered to nine targets and then rejected."""

    async def scenario(fleet):
        set_load(fleet, load(queued=queue(p2=1000)))
        client = SimpleClient(fleet.settings[0].caller_address)
        headers = (
            Header("x-api-key", KEY),
            Header("expect", "100-continue"),
            Header("x-request-id", "rejected"),
        )
        answer = await client.request(
            "POST", "/downloads/1", b"x" * 1000, headers=headers, timeout_seconds=20.0
        )
        await client.close()
        assert answer.status == 503
        assert answer.header("x-fleet-verdict") == "not-run"
        assert float(answer.header("retry-after")) > 0
        assert fleet.runs("rejected") == 0
        assert (await fleet.call(path="/songs/1")).status == 200

    run_fleet(scenario, daemons=1, zones=1, ticket=two_priorities())


def test_front_of_a_fleet_without_calls_and_priorities_admits_as_before(run_fleet):
    """Deployments that don't call for admission by the path must not change."""

    async def scenario(fleet):
        set_load(fleet, load(queued=queue(p0=1000)))
        assert (await fleet.call(path="/songs/1")).status == 200

    run_fleet(scenario, daemons=1, zones=1)


def test_call_of_an_executing_request_is_not_rejected_by_the_path(run_fleet):
    """Rejecting a call wastes the work that its parent has done."""

    async def scenario(fleet):
        statuses = []
        runner = fleet.daemons[0].guard.runner_by_name["target-0"]
        while runner._limit() < 2:  # The call needs a slot beside its parent's.
            await fleet.call(path="/songs/1")

        async def call_once(step):
            fleet.targets[0].on_step = None
            set_load(fleet, load(queued=queue(p0=1000, calls=1000)))
            statuses.append((await fleet.call(path="/open/1", key="")).status)
            statuses.append((await fleet.call(path="/songs/1")).status)

        fleet.targets[0].on_step = call_once
        assert (await fleet.call(path="/songs/1")).status == 200
        assert statuses == [200, 503]

    run_fleet(scenario, daemons=1, zones=1, ticket=two_priorities())


@pytest.mark.parametrize(("short", "is_counted"), [("catalogue", True), ("x", False)])
def test_rejected_request_counts_as_demand_for_the_service_that_is_short(
    run_fleet, short, is_counted
):
    """The balance of zones saw no more demand than was admitted, and moved nothing."""

    async def scenario(fleet):
        front = fleet.daemons[0].front
        shortage = Shortage(short, 2.0, 1.0, 0.5)
        front.dispatcher.find_shortage = lambda *_: shortage
        answer = await fleet.call(0, "GET", "/lookup/1")
        assert answer.status == 503
        services = fleet.daemons[0].context.zone_loads.home_services()
        assert ("catalogue" in services) is is_counted

    run_fleet(scenario)
