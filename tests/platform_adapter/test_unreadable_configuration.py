"""Versions of the configuration that this daemon can't decode, or decodes in part.

A version with a percent-encoded prefix was dropped as a whole, the list of changes
still counted as complete, and the lease that bounds withdrawn keys was renewed at the
revision of the dropped version: keys that it took away were accepted for as long as it
stood in the store.
"""

from __future__ import annotations

import copy

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_adapters.store.shared_objects import (
    SHARED_PREFIX,
    read_batch,
    ticket_key,
)
from bramleyglade_adapters.structure import from_json, to_json
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.shared_view import SharedView
from bramleyglade_core.model.announcements import NO_KEEPER
from bramleyglade_core.model.errors import AttemptError, ErrorCode
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_core.ports.store import Listing, StoredObject
from bramleyglade_platform.platform_configuration import (
    decode_configuration,
    zones_ticket,
)
from bramleyglade_platform.platform_settings import load_platform_settings

from .documents import CONFIGURATION, SETTINGS
from .test_odd_input import changed, odd_values, paths

ISSUE = CONFIGURATION["Routes"]["r-issue"]
STUDIO = CONFIGURATION["Tenants"]["studio"]
ENCODED_PREFIX = "/musique-fran%C3%A7aise/"

USABLE_CHANGES = {
    "percent-encoded prefix": ("Routes", "r-new", {**ISSUE, "PathPrefix": "/%C3%A7/"}),
    "prefix with empty segment": ("Routes", "r-new", {**ISSUE, "PathPrefix": "/a//b/"}),
    "route name with spaces": ("Routes", "new route/1", {**ISSUE, "PathPrefix": "/n/"}),
    "unknown route type": ("Routes", "r-issue", {**ISSUE, "RouteType": "other"}),
    "numbers as texts": (
        "Routes",
        "r-issue",
        {**ISSUE, "TimeoutS": "2", "Priority": "1"},
    ),
    "integers as fractions": ("Routes", "r-issue", {**ISSUE, "MaxAttempts": 2.0}),
    "service that is not listed": ("Routes", "r-new", {**ISSUE, "Service": "new"}),
    "unknown region": ("Tenants", "new", {"AllowedRegions": ["east"]}),
    "large burst": ("Tenants", "new", {"ApiKeys": ["k9"], "Burst": 20_000_000}),
    "team name with spaces": ("Tenants", "Van Der Heijden", {"ApiKeys": ["k9"]}),
    "empty team": ("Tenants", "new", {"ApiKeys": None, "RatePerS": None}),
    "fractional limits": ("Limits", "MaxHeaderBytes", 16384.0),
}
UNREADABLE_ENTITIES = {
    "route without prefix": ("Routes", "r-new", {**ISSUE, "PathPrefix": 5}),
    "route without service": ("Routes", "r-new", {"Host": "a", "PathPrefix": "/n/"}),
    "route that is no table": ("Routes", "r-new", 7),
    "team with an odd rate": ("Tenants", "new", {"ApiKeys": ["k9"], "RatePerS": "x"}),
    "team name with a line break": ("Tenants", "a\nb", {"ApiKeys": ["k9"]}),
    "service that is no table": ("Services", "new", 7),
    "odd limit": ("Limits", "IdleTimeoutS", [3]),
}
UNREADABLE_VERSIONS = {
    "number": {"Version": "seven"},
    "routes": {"Routes": ["r-issue"]},
    "teams": {"Tenants": 7},
}


def version(number, **changes):
    """Return a version of the configuration that has taken the key k1 away."""
    spec = {**copy.deepcopy(CONFIGURATION), "Version": f"r{number}", **changes}
    if isinstance(spec["Routes"], dict):
        spec["Routes"]["r-search"].update(Service="catalogue", TrafficSplit=None)
    if isinstance(spec["Tenants"], dict):
        spec["Tenants"]["studio"]["ApiKeys"].remove("k1")
    return spec


def unsplit_version(number):
    """Return a version with all keys and without a split route."""
    spec = {**copy.deepcopy(CONFIGURATION), "Version": f"r{number}"}
    spec["Routes"]["r-search"].update(Service="catalogue", TrafficSplit=None)
    return spec


def version_with(change, number=8):
    table, name, value = change
    spec = version(number)
    spec[table][name] = value
    return spec


def configuration_of(spec, settings):
    ticket = decode_configuration(spec, settings)
    return EMPTY_CONFIGURATION.merged(ticket.states(), ticket.number)


async def status_of(fleet, index, **options):
    return (await fleet.call(index, **options))[1].status


async def wait_for_status(fleet, status, **options):
    for index in range(len(fleet.daemons)):
        while await status_of(fleet, index, **options) != status:
            await curio.sleep(0.1)


@pytest.mark.parametrize("kind", [*USABLE_CHANGES, *UNREADABLE_ENTITIES])
def test_key_is_withdrawn_by_a_version_with_an_unusual_entity(run_platform_fleet, kind):
    async def scenario(fleet):
        change = {**USABLE_CHANGES, **UNREADABLE_ENTITIES}[kind]
        fleet.platform.put("config", "main", version_with(change))
        # An unknown key may belong to a team whose keys can't be read.
        await wait_for_status(fleet, 401)
        assert await status_of(fleet, 0, key="k2") == 200
        assert await status_of(fleet, 0, method="GET", path="/search/a", key="") == 200

    run_platform_fleet(scenario)


@pytest.mark.parametrize("kind", UNREADABLE_VERSIONS)
def test_key_is_withdrawn_by_a_version_that_is_unreadable_as_a_whole(
    run_platform_fleet, kind
):
    async def scenario(fleet):
        # Part of the requests on a split route would go to a service without targets.
        fleet.platform.put("config", "main", unsplit_version(8))
        await fleet.wait_until(
            lambda: all(
                d.context.configuration.whole_ticket == 8 for d in fleet.daemons
            )
        )
        spec = version(9, **UNREADABLE_VERSIONS[kind])
        fleet.platform.put("config", "main", spec)
        await wait_for_status(fleet, 503)
        # A target that has not reported for some seconds counts as gone.
        assert (await fleet.report(0)).status == 200
        assert await status_of(fleet, 0, method="GET", path="/search/a", key="") == 200
        await fleet.restart_daemon(0)
        daemon = fleet.daemons[0]
        await fleet.wait_until(lambda: daemon.context.configuration.is_known)
        assert await status_of(fleet, 0) == 503
        fleet.platform.put("config", "main", version(10))
        await wait_for_status(fleet, 200, key="k2")
        await wait_for_status(fleet, 401)

    run_platform_fleet(scenario)


def test_daemon_that_knows_only_zones_refuses_requests_as_not_run(run_platform_fleet):
    """It answered 404 to requests that the configuration in the store allows."""

    async def scenario(fleet):
        fleet.platform.put("config", "main", version(8, Version="seven"))
        configurations = [daemon.context for daemon in fleet.daemons]
        await fleet.wait_until(
            lambda: all(c.configuration.zone_by_name for c in configurations)
        )
        assert await status_of(fleet, 0, key="k2") == 503
        assert await fleet.readiness_status(0) == 503

    run_platform_fleet(scenario, is_configured=False)


def test_encoded_prefix_and_team_name_work_from_end_to_end(run_platform_fleet):
    async def scenario(fleet):
        spec = version_with(
            ("Routes", "r-new", {**ISSUE, "PathPrefix": ENCODED_PREFIX})
        )
        spec["Tenants"]["Müller \u6771 Söhne"] = {"ApiKeys": ["clé"], "RatePerS": 90}
        fleet.platform.put("config", "main", spec)
        key = "clé".encode().decode("latin-1")
        await wait_for_status(fleet, 200, path=ENCODED_PREFIX + "a", key=key)
        assert await status_of(fleet, 0, path="/musique-francaise/a", key=key) == 404
        names = {seen.get("tenant", "") for t in fleet.targets for seen in t.seen}
        assert {n.encode("latin-1").decode() for n in names} == {"Müller \u6771 Söhne"}

    run_platform_fleet(scenario)


def test_only_what_an_unreadable_entity_may_concern_is_refused(platform_settings):
    spec = version_with(("Routes", "r-issue", {**ISSUE, "AllowedRegions": []}))
    router = configuration_of(spec, platform_settings).router
    with pytest.raises(AttemptError) as caught:
        router.find("POST", "/issue/a", "shop.example")
    assert caught.value.code is ErrorCode.CONFIGURATION_UNREADABLE
    assert router.find("GET", "/search/a", "shop.example").name == "r-search"


def test_change_that_was_not_decoded_is_not_counted_as_read(run_platform):
    async def scenario(platform, store):
        view = SharedView()
        platform.put("config", "main", CONFIGURATION)
        listing = await store.list_changed(SHARED_PREFIX, 0)
        view.apply(read_batch(listing, 0))
        before = view.revision
        assert view.is_current(listing.revision)
        platform.put("config", "main", version(8, Version="seven"))
        platform.put("evacuations", "zone-a", {})
        for _ in range(2):
            listing = await store.list_changed(SHARED_PREFIX, view.revision)
            view.apply(read_batch(listing, view.revision))
            assert view.revision == before
            assert not view.is_current(view.revision)
            assert not view.configuration.is_zone_in_use("zone-a")
        platform.put("config", "main", version(9))
        listing = await store.list_changed(SHARED_PREFIX, view.revision)
        view.apply(read_batch(listing, view.revision))
        assert view.is_current(platform.revision)
        assert view.configuration.whole_ticket == 9

    run_platform(scenario)


def test_ticket_that_was_not_decoded_is_not_counted_as_read():
    readable = StoredObject(ticket_key(2), b'{"number":2,"removed":["team/a"]}', 7)
    unreadable = StoredObject(ticket_key(1), b"{}", 5)
    batch = read_batch(Listing((unreadable, readable), 9), 3)
    assert (batch.up_to, batch.newest_revision) == (4, 9)
    assert len(batch.states) == 1


def test_shard_whose_assignment_was_not_decoded_gets_another_keeper(
    run_platform_fleet,
):
    """Its keeper went on granting, whoever had claimed the shard."""

    async def scenario(fleet):
        context = fleet.daemons[0].context
        shard = fleet.daemons[0].keepers.shard_of_team("studio")
        before = context.view.assignment_by_shard[shard]
        fleet.platform.put("fleet-keepers", str(shard), {"keeper": "unknown"})

        def assignments():
            return [d.context.view.assignment_by_shard[shard] for d in fleet.daemons]

        await fleet.wait_until(lambda: {a.keeper for a in assignments()} == {NO_KEEPER})
        await fleet.wait_until(
            lambda: NO_KEEPER not in {a.keeper for a in assignments()}
        )
        assert all(a.epoch > before.epoch for a in assignments())
        for index in range(len(fleet.daemons)):
            await fleet.report(index, Sequence=2)  # They were missed meanwhile.
        await wait_for_status(fleet, 200)

    run_platform_fleet(scenario)


def test_incomplete_list_of_zones_puts_no_zone_back(platform_settings):
    ticket = zones_ticket(5, {"zone-a"}, platform_settings, is_complete=False)
    assert [(z.name, z.in_use) for z in ticket.entities] == [("zone-a", False)]
    assert zones_ticket(5, set(), platform_settings, is_complete=False) is None


ENTITY_PATHS = [path for path in paths(CONFIGURATION) if len(path) > 1]


@given(path=st.sampled_from(ENTITY_PATHS), odd=odd_values)
def test_odd_entity_is_decoded_or_refused_and_all_others_are_decoded(
    path, odd, platform
):
    spec = changed(CONFIGURATION, path, odd)
    ticket = decode_configuration(spec, platform)
    assert from_json(Ticket, to_json(ticket), ErrorCode.BAD_TICKET) == ticket
    configuration = configuration_of(spec, platform)
    kept = configuration.route_by_name.keys() | configuration.team_by_name.keys()
    assert kept >= {"r-issue", "r-search", "studio", "archive"} - set(path)


@pytest.fixture(scope="module")
def platform(tmp_path_factory):
    path = tmp_path_factory.mktemp("unreadable") / "settings.toml"
    path.write_text(SETTINGS, encoding="utf-8")
    return load_platform_settings(str(path))
