"""Keepers that do not answer calls, as evidence for the detection of failures."""

from __future__ import annotations

import pytest

from bramleyglade_core.model.announcements import MemberRecord
from bramleyglade_core.model.identifiers import DaemonId
from bramleyglade_core.model.shares import ShareAsked
from bramleyglade_daemon.fleet.membership import Membership
from bramleyglade_standins.local_fleet import free_address


@pytest.fixture
def run_fleet_without_probes_by_neighbours(run_fleet, monkeypatch):
    """Run a fleet in which heartbeats that fail make no daemon suspect a neighbour."""

    async def probe_none(_):
        return

    monkeypatch.setattr(Membership, "_probe_unresponsive", probe_none)
    return run_fleet


async def call_unanswered(fleet, name):
    """Call a keeper that does not answer, and wait for the end of the probe."""
    daemon = fleet.daemons[0]
    request = ShareAsked("studio", daemon.context.daemon, 1, 0, 0, 0.0, 1.0, 1)
    await daemon.keepers.calls.request_share(request, name)
    await fleet.wait_until(lambda: not daemon.membership._probed)


def test_failed_call_to_an_absent_keeper_makes_all_suspect_it(
    run_fleet_without_probes_by_neighbours,
):
    """Daemons that have just started never saw it and otherwise wait for seconds."""

    async def scenario(fleet):
        absent = MemberRecord(DaemonId("absent", 1), 1, free_address(), "zone-0")
        directories = [daemon.context.directory for daemon in fleet.daemons]
        await fleet.daemons[0].records.merge((absent,), source="")
        await fleet.wait_until(lambda: all(d.is_live("absent") for d in directories))
        await call_unanswered(fleet, "absent")
        await fleet.wait_until(
            lambda: not any(d.is_live("absent") for d in directories)
        )

    run_fleet_without_probes_by_neighbours(scenario, daemons=3)


def test_failed_call_to_a_keeper_that_peers_reach_makes_none_suspect_it(
    run_fleet_without_probes_by_neighbours,
):
    async def scenario(fleet):
        fleet.blocked_pairs.add(frozenset((0, 1)))
        await fleet.cut_links(0, 1)
        await call_unanswered(fleet, "vm-1")
        assert all(daemon.context.directory.is_live("vm-1") for daemon in fleet.daemons)

    run_fleet_without_probes_by_neighbours(scenario, daemons=3)


def test_failed_call_of_a_daemon_that_is_cut_off_makes_it_suspect_none(
    run_fleet_without_probes_by_neighbours,
):
    async def scenario(fleet):
        for other in (1, 2):
            fleet.blocked_pairs.add(frozenset((0, other)))
            await fleet.cut_links(0, other)
        peers = fleet.daemons[0].peers
        bound = fleet.settings[0].peers.suspect_seconds
        await fleet.wait_until(lambda: peers.seconds_since_seen("vm-1") > bound)
        await call_unanswered(fleet, "vm-1")
        assert fleet.daemons[0].context.directory.is_live("vm-1")

    run_fleet_without_probes_by_neighbours(scenario, daemons=3)


def test_failed_call_to_another_member_starts_no_probe(
    run_fleet_without_probes_by_neighbours,
):
    """A new keeper asks all members of a starting fleet for what they hold."""

    async def scenario(fleet):
        daemon = fleet.daemons[0]
        absent = MemberRecord(DaemonId("absent", 1), 1, free_address(), "zone-0")
        await daemon.records.merge((absent,), source="")
        assert await daemon.keepers._collector._query("absent", 0) is None
        assert not daemon.membership._probed

    run_fleet_without_probes_by_neighbours(scenario, daemons=2)
