"""Tests of the fleet's store on top of the platform's objects."""

from __future__ import annotations

import copy

import pytest

from bramleyglade_adapters.store.shared_objects import (
    MEMBER_PREFIX,
    SHARED_PREFIX,
    keeper_key,
    member_key,
    read_batch,
    read_ticket,
)
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.shared_view import SharedView
from bramleyglade_core.model.errors import (
    StoreAnswerLost,
    StoreUnavailable,
    VersionConflict,
)
from bramleyglade_platform.platform_store import PlatformStore
from bramleyglade_standins.platform_server import PlatformFaults

from .documents import CONFIGURATION


def _version(number, **changes):
    return {**copy.deepcopy(CONFIGURATION), "Version": f"r{number}", **changes}


async def _refresh(view, store):
    listing = await store.list_changed(SHARED_PREFIX, view.revision)
    view.apply(read_batch(listing, view.revision))
    return view.configuration


def test_objects_are_created_once_and_replaced_by_revision(run_platform):
    async def scenario(platform, store):
        key = member_key("vm-1")
        revision = await store.create(key, b'{"a": 1}')
        with pytest.raises(VersionConflict):
            await store.create(key, b'{"a": 2}')
        newer = await store.update(key, b'{"a": 3}', revision)
        with pytest.raises(VersionConflict):
            await store.update(key, b'{"a": 4}', revision)
        stored = await store.read(key)
        assert (stored.value, stored.revision) == (b'{"a": 3}', newer)
        assert await store.read(member_key("nobody")) is None

    run_platform(scenario)


def test_list_of_several_pages_is_read_completely(run_platform):
    async def scenario(platform, store):
        for number in range(8):
            await store.create(member_key(f"vm-{number}"), b"{}")
        listing = await store.list_changed(MEMBER_PREFIX, 0)
        assert [o.key for o in listing.objects] == [
            member_key(f"vm-{number}") for number in range(8)
        ]

    run_platform(scenario)


def test_new_version_replaces_older_versions_entirely(run_platform):
    """Guards against routes of older versions left after a version was missed."""

    async def scenario(platform, store):
        view = SharedView()
        platform.put("config", "main", _version(7))
        assert "r-issue" in (await _refresh(view, store)).route_by_name
        routes = {"r-search": CONFIGURATION["Routes"]["r-search"]}
        platform.put("config", "main", _version(9, Routes=routes))
        configuration = await _refresh(view, store)
        assert list(configuration.route_by_name) == ["r-search"]
        assert configuration.whole_ticket == 9
        whole_batch = read_batch(await store.list_changed(SHARED_PREFIX, 0), 0)
        assert EMPTY_CONFIGURATION.merged(
            whole_batch.states, 9
        ).route_by_name.keys() == {"r-search"}

    run_platform(scenario)


def test_zone_is_taken_out_and_restored(run_platform):
    async def scenario(platform, store):
        view = SharedView()
        platform.put("config", "main", _version(7))
        assert (await _refresh(view, store)).is_zone_in_use("zone-a")
        platform.put("evacuations", "zone-a", {})
        configuration = await _refresh(view, store)
        assert not configuration.is_zone_in_use("zone-a")
        assert configuration.is_zone_in_use("zone-b")
        platform.remove("evacuations", "zone-a")
        assert (await _refresh(view, store)).is_zone_in_use("zone-a")

    run_platform(scenario)


def test_zone_taken_out_is_seen_right_after_another_read(run_platform):
    """A cached list would hide a change below the revision already reached."""

    async def scenario(platform, store):
        view = SharedView()
        platform.put("config", "main", _version(7))
        await _refresh(view, store)
        platform.put("evacuations", "zone-a", {})
        await _refresh(view, store)
        assert not (await _refresh(view, store)).is_zone_in_use("zone-a")

    run_platform(scenario)


def test_restored_zone_is_seen_after_a_peer_relayed_that_it_was_out(run_platform):
    """A peer may relay that the zone is out and then stop sending."""

    async def scenario(platform, store):
        view = SharedView()
        platform.put("config", "main", _version(7))
        await _refresh(view, store)
        platform.put("evacuations", "zone-a", {})
        relayed = await store.list_changed(SHARED_PREFIX, view.revision)
        view.apply(read_batch(relayed, view.revision))
        platform.remove("evacuations", "zone-a")
        assert (await _refresh(view, store)).is_zone_in_use("zone-a")

    run_platform(scenario)


def test_keepers_written_between_two_reads_are_not_missed(run_platform):
    """A keeper's object may have a lower revision than objects read before it."""

    async def scenario(platform, store):
        view = SharedView()
        platform.put("config", "main", _version(7))
        await _refresh(view, store)
        value = (
            b'{"shard":1,"keeper":{"name":"vm-1","incarnation":5},'
            b'"epoch":1,"revision":0}'
        )
        await store.create(keeper_key(1), value)
        await store.create(member_key("vm-1"), b"{}")
        await _refresh(view, store)
        assert view.assignment_by_shard[1].keeper.name == "vm-1"

    run_platform(scenario)


@pytest.mark.parametrize(
    "faults",
    [
        PlatformFaults(refusal=503),
        PlatformFaults(refusal=429),
        PlatformFaults(is_silent=True),
    ],
)
def test_refused_or_unanswered_call_raises_store_unavailable(run_platform, faults):
    async def scenario(platform, store):
        platform.faults = faults
        with pytest.raises(StoreUnavailable):
            await store.read(member_key("vm-1"))

    run_platform(scenario)


def test_write_with_a_lost_answer_raises_store_answer_lost(run_platform):
    async def scenario(platform, store):
        platform.faults = PlatformFaults(loses_writes=True)
        with pytest.raises(StoreAnswerLost):
            await store.create(member_key("vm-1"), b"{}")
        platform.faults = PlatformFaults()
        assert await store.read(member_key("vm-1")) is not None

    run_platform(scenario)


def test_unreadable_configuration_keeps_the_one_in_force(run_platform, caplog):
    async def scenario(platform, store):
        view = SharedView()
        platform.put("config", "main", _version(7))
        await _refresh(view, store)
        platform.put("config", "main", _version(8, Routes=["r-x"]))
        configuration = await _refresh(view, store)
        assert configuration.whole_ticket == 7
        assert "ConfigurationUnreadable" in caplog.text

    run_platform(scenario)


def test_zone_that_came_back_unseen_is_listed_after_another_daemon_saw_it_out(
    run_platform, platform_settings
):
    """A daemon may have missed the change that another one has passed on to it."""

    async def scenario(platform, store):
        other = PlatformStore(store._client, platform_settings)
        platform.put("config", "main", CONFIGURATION)
        await store.list_changed(SHARED_PREFIX, 0)
        platform.put("evacuations", "zone-a", {})
        seen = await other.list_changed(SHARED_PREFIX, 0)
        platform.remove("evacuations", "zone-a")
        listing = await store.list_changed(SHARED_PREFIX, seen.revision)
        tickets = [read_ticket(o) for o in listing.objects]
        zones = {e.name: e.in_use for t in tickets for e in t.entities}
        assert zones["zone-a"]

    run_platform(scenario)
