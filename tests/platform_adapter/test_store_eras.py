"""Restorations of the platform's store, which tells its era in a header.

Guards against daemons that keep the revisions of an earlier era, and that lose or bring
back what operators have written.
"""

from __future__ import annotations

import copy
import time

import curio
import pytest

from bramleyglade_adapters.store.shared_objects import (
    MEMBER_PREFIX,
    SHARED_PREFIX,
    member_key,
    read_batch,
)
from bramleyglade_core.decisions import store_era
from bramleyglade_core.decisions.shared_view import SharedView
from bramleyglade_core.model.errors import StoreRestored, StoreUnavailable

from .documents import CONFIGURATION


def _version(number, **changes):
    return {**copy.deepcopy(CONFIGURATION), "Version": f"r{number}", **changes}


def _without_key(number):
    tenants = copy.deepcopy(CONFIGURATION["Tenants"])
    tenants["studio"]["ApiKeys"] = ["k2"]
    return _version(number, Tenants=tenants)


async def _refresh(view, store, now=0.0):
    listing = await store.list_changed(SHARED_PREFIX, view.revision)
    if view.enter_era(listing.era, now):
        listing = await store.list_changed(SHARED_PREFIX, 0)
    view.apply(read_batch(listing, view.revision), now)
    return view.configuration


@pytest.mark.parametrize(("told", "era"), [(None, 0), (1, 1), (17, 17)])
def test_answers_carry_the_era_of_the_header(run_platform, told, era):
    async def scenario(platform, store):
        platform.era = told
        await store.create(member_key("vm-1"), b"{}")
        assert (await store.read(member_key("vm-1"))).era == era
        assert (await store.list_changed(MEMBER_PREFIX, 0)).era == era
        assert (await store.list_some(MEMBER_PREFIX, MEMBER_PREFIX))[0].era == era
        assert (await store.list_changed(SHARED_PREFIX, 0)).era == era

    run_platform(scenario)


@pytest.mark.parametrize("told", ["-1", "x", "1.5", "²", 2**31])
def test_malformed_era_makes_the_answer_unusable(run_platform, told):
    async def scenario(platform, store):
        platform.era = told
        with pytest.raises(StoreUnavailable):
            await store.list_changed(SHARED_PREFIX, 0)

    run_platform(scenario)


def test_write_that_lands_in_another_era_counts_as_failed(run_platform):
    """The revision may match other content than was read."""

    async def scenario(platform, store):
        platform.era = 1
        revision = await store.create(member_key("vm-1"), b'{"a": 1}', 1)
        await platform.restore(lost_seconds=10.0)
        while platform.revision < revision:
            platform.put("fleet-members", "vm-1", {"a": 2})
        with pytest.raises(StoreRestored) as caught:
            await store.update(member_key("vm-1"), b'{"a": 3}', revision, 1)
        assert caught.value.era == 2

    run_platform(scenario)


def test_zones_of_a_new_era_with_lower_revisions_take_effect(run_platform):
    async def scenario(platform, store):
        platform.era = 1
        view = SharedView()
        platform.put("config", "main", _version(7))
        for number in range(30):
            platform.put("fleet-members", f"vm-{number}", {})
        await _refresh(view, store)
        await platform.restore(lost_seconds=10.0)
        platform.put("evacuations", "zone-a", {})
        assert not (await _refresh(view, store)).is_zone_in_use("zone-a")
        platform.remove("evacuations", "zone-a")
        assert (await _refresh(view, store, 1.0)).is_zone_in_use("zone-a")

    run_platform(scenario)


def test_equal_revision_of_a_new_era_is_read(run_platform):
    """An unchanged counter means that nothing has changed, but only in one era."""

    async def scenario(platform, store):
        platform.era = 1
        view = SharedView()
        platform.put("config", "main", _version(7))
        await _refresh(view, store)
        await platform.restore(lost_seconds=10.0)
        platform.put("config", "main", _version(8))
        assert platform.revision == view.revision
        assert (await _refresh(view, store)).whole_ticket == 8

    run_platform(scenario)


async def _wait_era(fleet, era):
    await fleet.wait_until(
        lambda: all(
            d.context.view.era == era
            and d.context.lease.fresh_seconds > 0
            and d.context.view.revision > 0
            and all(a.era == era for a in d.context.view.assignment_by_shard.values())
            for d in fleet.daemons
        )
    )


def _configurations(fleet):
    return [d.context.configuration for d in fleet.daemons]


@pytest.fixture
def run_era_fleet(run_platform_fleet):
    """Run a scenario with three daemons on a platform whose store has eras."""

    def run(scenario):
        async def with_eras(fleet):
            fleet.platform.era = 1
            await _wait_era(fleet, 1)
            await scenario(fleet)

        run_platform_fleet(with_eras, daemons=3)

    return run


def test_withdrawn_key_and_zone_out_outlast_a_restoration(run_era_fleet, monkeypatch):
    """Both changes are acknowledged everywhere, and the store loses them."""
    monkeypatch.setattr(store_era, "ZONE_HOLD_SECONDS", 3.0)

    async def scenario(fleet):
        platform = fleet.platform
        await curio.sleep(0.3)
        changed_at = time.monotonic()
        platform.put("config", "main", _without_key(8))
        platform.put("evacuations", "zone-b", {})
        await fleet.wait_until(
            lambda: all(
                c.whole_ticket == 8 and not c.is_zone_in_use("zone-b")
                for c in _configurations(fleet)
            )
        )
        await platform.restore(time.monotonic() - changed_at + 0.1)
        assert platform.find("config", "main")["Version"] == "r7"
        await _wait_era(fleet, 2)
        assert all(c.whole_ticket == 8 for c in _configurations(fleet))
        assert not any(c.is_zone_in_use("zone-b") for c in _configurations(fleet))
        await fleet.restart_daemon(2)
        restarted = fleet.daemons[2].context
        while not restarted.lease.is_valid:
            await curio.sleep(0.005)
        assert restarted.configuration.whole_ticket == 8
        await fleet.wait_until(
            lambda: all(c.is_zone_in_use("zone-b") for c in _configurations(fleet))
        )
        platform.put("config", "main", _version(9))
        await fleet.wait_until(
            lambda: all(c.whole_ticket == 9 for c in _configurations(fleet))
        )

    run_era_fleet(scenario)


def test_records_are_written_again_once_each(run_era_fleet):
    """A restoration must not make all daemons write again and again."""

    async def scenario(fleet):
        platform = fleet.platform
        await curio.sleep(0.5)
        before = platform.writes
        await platform.restore(lost_seconds=1000.0, outage_seconds=0.2)
        platform.put("config", "main", CONFIGURATION)
        await _wait_era(fleet, 2)
        names = [d.context.settings.name for d in fleet.daemons]
        await fleet.wait_until(
            lambda: all(platform.find("fleet-members", name) for name in names)
        )
        shards = fleet.daemons[0].context.settings.limits.shards
        assert platform.writes - before <= 2 * (len(names) + shards)

    run_era_fleet(scenario)
