"""Versions of the configuration that this daemon can't decode.

Such a version was dropped, the list of changes still counted as complete, and the lease
that bounds withdrawn keys was renewed at the revision of the dropped version: keys that
it took away were accepted for as long as it stood in the store.
"""

from __future__ import annotations

import copy

import curio
import pytest

from bramleyglade_adapters.store.shared_objects import (
    SHARED_PREFIX,
    read_batch,
    ticket_key,
)
from bramleyglade_core.decisions.shared_view import SharedView
from bramleyglade_core.ports.store import Listing, StoredObject
from bramleyglade_platform.platform_configuration import (
    zones_ticket,
)

from .documents import CONFIGURATION

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


async def status_of(fleet, index, **options):
    return (await fleet.call(index, **options))[1].status


async def wait_for_status(fleet, status, **options):
    for index in range(len(fleet.daemons)):
        while await status_of(fleet, index, **options) != status:
            await curio.sleep(0.1)


@pytest.mark.parametrize("kind", UNREADABLE_VERSIONS)
def test_key_is_withdrawn_by_a_version_that_is_unreadable_as_a_whole(
    run_platform_fleet, kind
):
    async def scenario(fleet):
        spec = version(8, **UNREADABLE_VERSIONS[kind])
        fleet.platform.put("config", "main", spec)
        await wait_for_status(fleet, 503)
        assert await status_of(fleet, 0, method="GET", path="/search/a", key="") == 200
        await fleet.restart_daemon(0)
        daemon = fleet.daemons[0]
        await fleet.wait_until(lambda: daemon.context.configuration.is_known)
        assert await status_of(fleet, 0) == 503
        fleet.platform.put("config", "main", version(9))
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


def test_incomplete_list_of_zones_puts_no_zone_back(platform_settings):
    ticket = zones_ticket(5, {"zone-a"}, platform_settings, is_complete=False)
    assert [(z.name, z.in_use) for z in ticket.entities] == [("zone-a", False)]
    assert zones_ticket(5, set(), platform_settings, is_complete=False) is None
