"""A key that was withdrawn while the store turns all daemons away.

The operator reaches the store, the daemons don't: what they know is the older
configuration, and a daemon that restarts gets it from its peers.
"""

from __future__ import annotations

import copy

from bramleyglade_standins.platform_server import PlatformFaults

from .documents import CONFIGURATION


def without_key(key):
    """Return a newer configuration in which a key is withdrawn."""
    changed = copy.deepcopy(CONFIGURATION)
    changed["Version"] = "r8"
    changed["Tenants"]["studio"]["ApiKeys"].remove(key)
    return changed


def test_restarted_daemon_with_peers_of_an_older_configuration_serves_no_withdrawn_key(
    run_platform_fleet,
):
    async def scenario(fleet):
        _, answer = await fleet.call(1)
        assert answer.status == 200
        fleet.platform.faults = PlatformFaults(refusal=503)
        fleet.platform.put("config", "main", without_key("k1"))
        for index in (1, 0, 1):
            await fleet.restart_daemon(index)
            contexts = [daemon.context for daemon in fleet.daemons]
            await fleet.wait_until(
                lambda contexts=contexts: (
                    all(c.configuration.team_by_key_hash for c in contexts)
                    and not any(c.lease.is_valid for c in contexts)
                )
            )
        runs = [len(target.runs_by_request) for target in fleet.targets]
        for index in (0, 1):
            _, answer = await fleet.call(index)
            assert answer.status == 503
        assert [len(target.runs_by_request) for target in fleet.targets] == runs
        fleet.platform.faults = PlatformFaults()
        await fleet.wait_until(
            lambda: all(d.context.lease.is_valid for d in fleet.daemons)
        )
        for index in (0, 1):
            _, answer = await fleet.call(index)
            assert answer.status == 401

    run_platform_fleet(scenario)
