"""A configuration that grows by 1,400 routes, and what its versions cost the links.

Each version was sent to all neighbours with all its entities. Where links are slow the
copies filled them, heartbeats and leases waited behind these, and the fleet stopped.
"""

from __future__ import annotations

import copy
from collections import Counter

import pytest

from bramleyglade_standins.local_fleet import kill_daemon

from .documents import CONFIGURATION

MANY = 1400
DAEMONS = 8
CHANGES_KINDS = ("BatchTold", "ChangesTold")

MAX_MOVED_ROUTE_BYTES = 100_000
"""For all links: 12 KB a daemon, with the changes of keepers in that time."""

ADDED_ROUTE = {
    **CONFIGURATION["Routes"]["r-search"],
    "Service": "catalogue",
    "TrafficSplit": None,
}
"""An open route whose requests all go to a service that has targets."""

MAX_GROWTH_BYTES = 100_000
"""For each daemon that gets 1,400 routes, which compress to 41,000 bytes."""


def version(number, count, **changes):
    spec = copy.deepcopy(CONFIGURATION)
    for index in range(count):
        name = f"r-{index * 7919 % 100_003:05}"
        spec["Routes"][name] = {
            **ADDED_ROUTE,
            "PathPrefix": f"/{name}/",
        }
    spec["Routes"].update(changes)
    return {**spec, "Version": f"r{number}"}


def sent_bytes(fleet):
    total = Counter()
    for daemon in fleet.daemons:
        for (
            sent_by_kind
        ) in daemon.context.telemetry.peer_bytes._sent_by_distance.values():
            total.update(sent_by_kind)
    return sum(total[kind] for kind in CHANGES_KINDS)


async def put(fleet, spec):
    """Write a version and wait until it is in force on all daemons."""
    fleet.platform.put("config", "main", spec)
    number = int(spec["Version"].removeprefix("r"))
    await fleet.wait_until(
        lambda: all(
            d.context.configuration.whole_ticket == number for d in fleet.daemons
        )
    )


def test_moved_route_among_many_costs_the_links_a_few_kilobytes(run_platform_fleet):
    async def scenario(fleet):
        await put(fleet, version(8, MANY))
        before = sent_bytes(fleet)
        moved = {**ADDED_ROUTE, "PathPrefix": "/moved/"}
        await put(fleet, version(9, MANY, moved=moved))
        assert sent_bytes(fleet) - before < MAX_MOVED_ROUTE_BYTES
        status = (await fleet.call(3, method="GET", path="/moved/a", key=""))[1].status
        assert status == 200

    run_platform_fleet(scenario, daemons=DAEMONS)


def test_added_routes_are_sent_to_each_daemon_about_once(run_platform_fleet):
    async def scenario(fleet):
        before = sent_bytes(fleet)
        await put(fleet, version(8, MANY))
        assert sent_bytes(fleet) - before < DAEMONS * MAX_GROWTH_BYTES

    run_platform_fleet(scenario, daemons=DAEMONS)


def test_daemon_that_starts_gets_the_routes_that_were_added(run_platform_fleet):
    async def scenario(fleet):
        await put(fleet, version(8, MANY))
        await kill_daemon(fleet.daemons[0])
        await put_while_gone(fleet, version(9, MANY - 1))
        await fleet.restart_daemon(0)
        await fleet.wait_until(
            lambda: fleet.daemons[0].context.configuration.whole_ticket == 9
        )
        routes = [d.context.configuration.route_by_name for d in fleet.daemons]
        assert all(by_name == routes[0] for by_name in routes)

    run_platform_fleet(scenario, daemons=DAEMONS)


async def put_while_gone(fleet, spec):
    """Write a version and wait until all daemons but the first have it."""
    fleet.platform.put("config", "main", spec)
    number = int(spec["Version"].removeprefix("r"))
    await fleet.wait_until(
        lambda: all(
            d.context.configuration.whole_ticket == number for d in fleet.daemons[1:]
        )
    )


@pytest.mark.parametrize(
    ("request_fields", "status"),
    [
        ({"method": "GET", "path": "/added/a", "key": ""}, 404),
        ({"key": "k-added"}, 401),
        ({"key": ""}, 401),
    ],
)
def test_daemon_that_awaits_a_version_does_not_deny_what_it_may_allow(
    run_platform_fleet, request_fields, status
):
    async def scenario(fleet):
        assert (await fleet.call(**request_fields))[1].status == status
        fleet.daemons[0].context.view.note_ticket(8)
        answer = (await fleet.call(**request_fields))[1]
        assert answer.status == 503
        assert any(header.name == "retry-after" for header in answer.headers)
        assert (await fleet.call())[1].status == 200
        await put(fleet, version(8, 0))
        assert (await fleet.call(**request_fields))[1].status == status

    run_platform_fleet(scenario)
