"""Routes and teams that may be served in some regions only."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_adapters.structure import from_json, to_json
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.directory import Directory, RoutableTargets
from bramleyglade_core.decisions.regions import allowed_regions
from bramleyglade_core.decisions.ticket_check import find_problems
from bramleyglade_core.model.announcements import (
    DaemonPhase,
    MemberRecord,
    TargetAnnouncement,
)
from bramleyglade_core.model.entities import Route, Service, Team, Zone
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.identifiers import Address, DaemonId
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_standins.local_fleet import first_ticket, make_settings

REGION_BY_ZONE = {"zone-0": "region-1", "zone-1": "region-2", "zone-2": "region-2"}
ALL_REGIONS = ("region-1", "region-2", "region-3")
_LISTS = st.lists(st.sampled_from(ALL_REGIONS), unique=True).map(tuple)


def make_ticket(**regions_by_name):
    """Put zone-0 and zone-1 in two regions, and list regions of routes and teams."""
    entities = []
    for entity in first_ticket(2).entities:
        if isinstance(entity, Zone):
            entity = replace(entity, region=REGION_BY_ZONE[entity.name])
        if entity.name in regions_by_name:
            entity = replace(entity, regions=regions_by_name[entity.name])
        entities.append(entity)
    return Ticket(1, "first", tuple(entities))


@given(by_route=_LISTS, by_team=_LISTS)
def test_targets_lie_in_the_regions_that_route_and_team_both_list(
    settings_in_region_1, by_route, by_team
):
    directory = Directory()
    for zone in REGION_BY_ZONE:
        target = TargetAnnouncement("t", "catalogue", Address("127.0.0.1", 1), 4)
        daemon = DaemonId(f"vm-{zone}", 1)
        address = Address("127.0.0.1", 2)
        record = MemberRecord(daemon, 1, address, zone, DaemonPhase.SERVING, (target,))
        directory.merge(record)
    service = Service("catalogue", tuple(REGION_BY_ZONE))
    zones = tuple(Zone(name, region) for name, region in REGION_BY_ZONE.items())
    ticket = Ticket(1, entities=(*zones, service))
    configuration = EMPTY_CONFIGURATION.merged(ticket.states())
    route = Route("r", "catalogue", "/", regions=by_route)
    team = Team("t", 1.0, 1, regions=by_team)
    routable = RoutableTargets(directory, settings_in_region_1)
    for _ in range(2):  # The second time from the cache.
        found = routable.find(service, configuration, allowed_regions(route, team))
        expected = {
            zone
            for zone, region in REGION_BY_ZONE.items()
            if region in (by_route or ALL_REGIONS)
            and region in (by_team or ALL_REGIONS)
        }
        assert {candidate.zone for candidate in found} == expected
    assert len(routable.find(service, configuration)) == len(REGION_BY_ZONE)


@pytest.fixture(scope="module")
def settings_in_region_1():
    address = Address("127.0.0.1", 1)
    return make_settings("vm-0", "zone-0", [address] * 3, ())


def test_entity_without_regions_is_stored_as_in_earlier_versions():
    """A daemon of an earlier version refuses tickets with fields unknown to it."""
    without, with_list = make_ticket(), make_ticket(studio=("region-1",))
    assert b"regions" not in to_json(without)
    assert from_json(Ticket, to_json(without), ErrorCode.BAD_TICKET) == without
    assert from_json(Ticket, to_json(with_list), ErrorCode.BAD_TICKET) == with_list
    assert json.loads(to_json(with_list))["entities"][-1]["regions"] == ["region-1"]


def test_ticket_that_lists_an_unknown_region_is_refused():
    ticket = make_ticket(studio=("region-1", "region-9"), songs=("region-8",))
    problems = find_problems(EMPTY_CONFIGURATION, ticket)
    assert {problem.place for problem in problems} == {"team/studio", "route/songs"}


def test_request_is_served_in_its_regions_only(run_fleet):
    """Bodies, retries and slow attempts left the regions that a team may use."""

    async def scenario(fleet):
        inside, outside = fleet.targets
        inside.behaviour = replace(inside.behaviour, error_share=1.0)
        for _ in range(12):
            answer = await fleet.call(0, "POST", "/songs/1", b"x" * 5000)
            assert answer.status >= 500
            assert (await fleet.call(0, "GET", "/lookup/1")).status >= 500
            assert (await fleet.call(1, "GET", "/lookup/1")).status >= 500
        assert not outside.runs_by_request
        assert sum(inside.runs_by_request.values())

    run_fleet(scenario, ticket=make_ticket(studio=("region-1",)))


def test_request_without_a_target_in_its_regions_is_refused_at_once(run_fleet):
    async def scenario(fleet):
        answer = await fleet.call(0, "POST", "/songs/1", b"x" * 5000)
        assert answer.status == 503
        assert answer.header("x-fleet-verdict") == "not-run"
        assert answer.header("retry-after")
        assert (await fleet.call(0, "GET", "/lookup/1")).status == 200

    ticket = make_ticket(studio=("region-1",), songs=("region-2",))
    run_fleet(scenario, ticket=ticket)
