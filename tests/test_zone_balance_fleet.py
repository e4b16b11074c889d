"""Daemons of two regions that exchange loads, and the loss of a region."""

from __future__ import annotations

from dataclasses import replace

from bramleyglade_core.model.entities import Zone
from bramleyglade_standins.local_fleet import first_ticket


def ticket_with_regions():
    """Make a ticket in which each of the two zones is in a region of its own."""
    ticket = first_ticket(2)
    zones = (Zone("zone-0", "region-0"), Zone("zone-1", "region-1"))
    others = tuple(e for e in ticket.entities if not isinstance(e, Zone))
    return replace(ticket, entities=(*zones, *others))


def known_zones(daemon):
    """Return the zones of which a daemon knows the capacity of the service."""
    now = daemon.context.clock()
    loads = daemon.context.zone_loads.loads_by_service(now).get("catalogue", {})
    return {zone for zone, load in loads.items() if load.capacity > 0}


def test_region_that_lost_the_other_serves_alone_and_forgets_its_loads(run_fleet):
    """Guards against an isolated region that counts on the capacity of the other.

    The requests need no key, so that no share of a rate is lost with its keeper.

    Before the loss, each daemon knows the loads of both zones from heartbeats, and all
    requests stay in the region in which they arrive.
    """

    async def scenario(fleet):
        async def call_all(indexes):
            for index in indexes:
                answer = await fleet.call(index, path="/open/x", key="")
                assert answer.status == 200

        both = {"zone-0", "zone-1"}
        for _ in range(100):
            await call_all(range(4))
            if all(known_zones(daemon) == both for daemon in fleet.daemons):
                break
        assert all(known_zones(daemon) == both for daemon in fleet.daemons)
        plan = fleet.daemons[0].context.picker.plan
        assert plan.region_by_zone["zone-1"] == "region-1"
        assert "zone-1" in plan.extra_seconds_by_zone
        runs = [len(target.runs_by_request) for target in fleet.targets]
        for _ in range(10):
            await call_all((0, 2))
        after = [len(target.runs_by_request) for target in fleet.targets]
        assert after[0] + after[2] - runs[0] - runs[2] >= 16
        await fleet.kill(1)
        await fleet.kill(3)
        await fleet.wait_until(lambda: known_zones(fleet.daemons[0]) == {"zone-0"})
        await call_all((0, 2))

    run_fleet(scenario, daemons=4, zones=2, ticket=ticket_with_regions())


def test_request_crosses_regions_when_its_own_has_no_target_left(run_fleet):
    """Guards against a refusal for lack of capacity that another region has."""

    async def scenario(fleet):
        await fleet.daemons[0].guard.drain("target-0")
        answer = await fleet.call(0)
        assert answer.status == 200
        assert fleet.targets[1].runs_by_request

    run_fleet(scenario, daemons=2, zones=2, ticket=ticket_with_regions())
