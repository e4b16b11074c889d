"""Real daemons on a store that is restored from a copy some seconds old.

Guards against daemons that never see the new revisions, that lose what was in force,
that bring back what was withdrawn, or of which two keep one shard.
"""

from __future__ import annotations

import logging

import curio
import pytest

from bramleyglade_adapters.store.shared_objects import (
    MEMBER_PREFIX,
    keeper_key,
    member_key,
    read_assignment,
    read_members,
)
from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.decisions.shard_keeper import KeeperPhase
from bramleyglade_core.model.announcements import DaemonPhase
from bramleyglade_core.model.entities import Team
from bramleyglade_core.model.tickets import Ticket
from bramleyglade_core.ports.store import Listing
from bramleyglade_standins.local_fleet import LocalFleet, first_ticket, kill_daemon
from bramleyglade_standins.memory_store import Restoration

TEST_SECONDS = 60.0


@pytest.fixture
def run_era_fleet():
    """Run a scenario with three daemons on a store in its first era."""

    def run(scenario):
        async def main():
            fleet = LocalFleet()
            fleet.store.era = 1
            async with curio.timeout_after(TEST_SECONDS):
                await fleet.start(3, 3, first_ticket(3))
                watch = await curio.spawn(_watch_grants, fleet)
                try:
                    await scenario(fleet)
                finally:
                    await watch.cancel()
                    await fleet.close()
                assert not fleet.double_grants

        curio.run(main)

    return run


async def _watch_grants(fleet):
    """Note each moment at which two daemons grant shares of one shard."""
    fleet.double_grants = []
    while True:
        shards = [s for d in fleet.daemons for s in _granted_shards(d)]
        if len(shards) != len(set(shards)):
            fleet.double_grants.append(sorted(shards))
        await curio.sleep(0.01)


def _granted_shards(daemon):
    keepers = daemon.keepers
    return [
        shard
        for shard, keeper in keepers._keeper_by_shard.items()
        if daemon.context.lease.is_valid
        and keeper.phase is KeeperPhase.GRANTING
        and not keepers._has_handed_over(keeper)
    ]


async def _wait_settled(fleet, era):
    """Wait until all have read the era, hold a lease and know who keeps each shard."""

    def is_settled():
        granted = sorted(s for d in fleet.daemons for s in _granted_shards(d))
        return granted == list(range(fleet.settings[0].limits.shards)) and all(
            d.context.view.era == era
            and d.context.view.revision > 0
            and d.context.lease.fresh_seconds > 0
            and all(a.era == era for a in d.context.view.assignment_by_shard.values())
            for d in fleet.daemons
        )

    await fleet.wait_until(is_settled)


async def _wait_records_kept(fleet):
    """Wait until the store has the newest record of each daemon."""
    for daemon in fleet.daemons:
        await fleet.wait_until(lambda d=daemon: not d.member_store._is_lost)
        record = daemon.context.record
        while daemon.member_store._stored_recency < record.recency:
            await curio.sleep(0.02)
        stored = await fleet.store.read(member_key(record.daemon.name))
        records = read_members(Listing((stored,), stored.revision))
        assert records[0].recency >= record.recency


def _keeper_by_shard(fleet):
    return {s: d.context.daemon for d in fleet.daemons for s in _granted_shards(d)}


def test_fleet_goes_on_after_a_calm_restoration(run_era_fleet, caplog):
    """Keepers that are sure to be alone keep their shards and their books."""
    caplog.set_level(logging.INFO)

    async def scenario(fleet):
        before = _keeper_by_shard(fleet)
        await curio.sleep(1.0)
        await fleet.store.restore(Restoration(0.5, outage_seconds=0.3))
        await _wait_settled(fleet, 2)
        await _wait_records_kept(fleet)
        assert _keeper_by_shard(fleet) == before
        changes = [r for r in caplog.records if r.message == "StoreEraChanged"]
        assert len(changes) == len(fleet.daemons)
        assert all((r.era_before, r.era) == (1, 2) for r in changes)
        assert all(r.revision_before > 0 for r in changes)

    run_era_fleet(scenario)


def test_everything_that_was_lost_is_written_again(run_era_fleet):
    """The copy is older than the fleet, so no record and no claim is left."""

    async def scenario(fleet):
        ticket = first_ticket(3)
        await fleet.store.restore(Restoration(lost_seconds=100.0))
        assert fleet.store.revision == 0
        await _wait_settled(fleet, 2)
        await _wait_records_kept(fleet)
        assert all(
            "studio" in d.context.configuration.team_by_name for d in fleet.daemons
        )
        await fleet.ticket_repository.apply(ticket)

    run_era_fleet(scenario)


def test_acknowledged_change_stays_in_force_until_a_newer_one(run_era_fleet):
    """A withdrawn key must not work again, also not at a daemon that starts later."""

    async def scenario(fleet):
        await curio.sleep(0.3)
        team = Team("studio", 1000.0, 1000, ())
        await fleet.ticket_repository.apply(Ticket(2, "withdraw", (team,)))
        await fleet.wait_until(lambda: all(not _keys(d) for d in fleet.daemons))
        await fleet.store.restore(Restoration(lost_seconds=0.25))
        assert await fleet.ticket_repository.find(2) is None
        await _wait_settled(fleet, 2)
        assert all(not _keys(d) for d in fleet.daemons)
        await kill_daemon(fleet.daemons[2])
        restarted = await fleet.start_daemon(2, seed=1)
        while not restarted.context.lease.is_valid:
            await curio.sleep(0.005)
        assert not _keys(restarted)
        another = (hash_key("another"),)
        newer = Team("studio", 500.0, 500, another)
        await fleet.ticket_repository.apply(Ticket(3, "newer", (newer,)))
        await fleet.wait_until(lambda: all(_keys(d) == another for d in fleet.daemons))

    run_era_fleet(scenario)


def _keys(daemon):
    return daemon.context.configuration.team_by_name["studio"].key_hashes


def test_keepers_that_move_while_the_store_is_restored(run_era_fleet):
    """The takeover of a killed keeper's shards is lost with the earlier era."""

    async def scenario(fleet):
        keepers = _keeper_by_shard(fleet)
        kept = set(keepers.values())
        killed = next(d for d in fleet.daemons if d.context.daemon in kept)
        fleet.daemons.remove(killed)
        await kill_daemon(killed)
        shards = [s for s, keeper in keepers.items() if keeper == killed.context.daemon]
        await fleet.wait_until(
            lambda: all(
                d.context.view.assignment_by_shard[s].keeper != killed.context.daemon
                for d in fleet.daemons
                for s in shards
            )
        )
        await fleet.store.restore(Restoration(lost_seconds=1.5, outage_seconds=0.1))
        await _wait_settled(fleet, 2)
        for shard in shards:
            stored = await fleet.store.read(keeper_key(shard))
            assert read_assignment(stored).keeper != killed.context.daemon

    run_era_fleet(scenario)


def test_two_restorations_in_a_row(run_era_fleet):
    async def scenario(fleet):
        await curio.sleep(0.5)
        await fleet.store.restore(Restoration(0.4, outage_seconds=0.2))
        await curio.sleep(0.15)
        await fleet.store.restore(Restoration(0.4, outage_seconds=0.2))
        await _wait_settled(fleet, 3)
        await _wait_records_kept(fleet)

    run_era_fleet(scenario)


def test_member_that_left_is_marked_as_gone_again(run_era_fleet):
    """Daemons that start later would take the member's restored record for true."""

    async def scenario(fleet):
        leaving = fleet.daemons[2]
        name = leaving.context.settings.name
        await curio.sleep(0.3)
        await leaving.stop()
        fleet.daemons.remove(leaving)
        await fleet.store.restore(Restoration(lost_seconds=20.0))
        await _wait_settled(fleet, 2)
        listing = await fleet.store.list_changed(MEMBER_PREFIX, 0)
        for record in read_members(listing):
            assert record.daemon.name != name or record.phase is DaemonPhase.GONE

    run_era_fleet(scenario)
