"""Member records: digests, their exchange, and writes of the own record."""

from __future__ import annotations

import math
from dataclasses import replace

import curio
from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.directory import Directory
from bramleyglade_core.decisions.record_digests import BUCKETS, digest_of
from bramleyglade_core.model.announcements import DaemonPhase, MemberRecord
from bramleyglade_core.model.identifiers import Address, DaemonId
from bramleyglade_daemon.fleet import membership
from bramleyglade_daemon.fleet.member_store import read_earlier_record
from bramleyglade_standins.memory_store import StoreFaults


def make_record(number, sequence=1, incarnation=1, phase=DaemonPhase.SERVING):
    return MemberRecord(
        DaemonId(f"vm-{number}", incarnation),
        sequence,
        Address("127.0.0.1", 10_000 + number),
        f"zone-{number % 3}",
        phase,
    )


def exchange(asking: Directory, answering: Directory) -> int:
    """Fetch what differs from a peer, and return the number of records sent."""
    told = answering.digests.differing(asking.digests.bucket_digests)
    records = answering.digests.records(asking.digests.unknown(told))
    for record in records:
        asking.merge(record)
    return len(records)


_VERSIONS = st.lists(
    st.tuples(st.integers(0, 30), st.integers(1, 3), st.integers(1, 2)), max_size=60
)


@given(one=_VERSIONS, other=_VERSIONS)
def test_exchange_of_digests_ends_as_an_exchange_of_all_records(one, other):
    directories = []
    for versions in (one, other):
        directory = Directory()
        for number, sequence, incarnation in versions:
            directory.merge(make_record(number, sequence, incarnation))
        directories.append(directory)
    expected = Directory()
    for directory in directories:
        for record in directory.record_by_name.values():
            expected.merge(record)
    exchange(directories[0], directories[1])
    exchange(directories[1], directories[0])
    for directory in directories:
        assert directory.record_by_name == expected.record_by_name
        assert directory.digest == expected.digest
        assert exchange(directory, expected) == 0


def test_exchange_after_one_change_sends_one_record():
    one, other = Directory(), Directory()
    for number in range(500):
        one.merge(make_record(number))
        other.merge(make_record(number))
    other.merge(make_record(7, sequence=2))
    told = other.digests.differing(one.digests.bucket_digests)
    assert len(told) <= 4 * 500 / BUCKETS
    assert exchange(one, other) == 1
    assert one.digest == other.digest


def test_superseded_record_is_not_asked_for_again():
    directory = Directory()
    older, newer = make_record(1), make_record(1, sequence=2)
    directory.merge(older)
    directory.merge(newer)
    assert directory.digests.unknown([digest_of(older), digest_of(newer)]) == ()
    other = Directory()
    other.merge(newer)
    other.merge(older)
    assert other.digests.unknown([digest_of(older)]) == ()


def test_members_version_changes_only_with_the_members():
    directory = Directory()
    directory.merge(make_record(1))
    version = directory.members_version
    directory.merge(make_record(1, sequence=2))
    assert directory.members_version == version
    directory.suspect("vm-1")
    assert directory.members_version == version + 1
    directory.merge(make_record(1, sequence=3, phase=DaemonPhase.LEAVING))
    assert directory.members_version == version + 2


@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from(["merge", "suspect", "clear", "forget"]),
            st.integers(0, 5),
            st.integers(1, 4),
            st.sampled_from(DaemonPhase),
        ),
        max_size=40,
    )
)
def test_serving_names_follow_every_change_of_the_members(steps):
    directory, now = Directory(), 0.0
    for action, number, sequence, phase in steps:
        name = f"vm-{number}"
        if action == "merge":
            directory.merge(make_record(number, sequence, phase=phase))
        elif action == "suspect":
            directory.suspect(name)
        elif action == "clear":
            directory.clear_suspicion(name)
        else:
            now += 2000.0
            directory.forget_absent(now)
        assert directory.serving_names() == [
            member
            for member, record in directory.record_by_name.items()
            if directory.is_live(member) and record.phase is DaemonPhase.SERVING
        ]


def test_peers_learn_of_all_members_though_each_read_only_some(run_fleet):
    """The store's list shows a starting daemon only some of the members."""

    async def scenario(fleet):
        names = {settings.name for settings in fleet.settings}
        for daemon in fleet.daemons:
            assert set(daemon.context.directory.record_by_name) == names

    run_fleet(scenario, daemons=7, zones=3)


def test_record_missed_by_a_daemon_is_fetched_from_a_peer(run_fleet):
    async def scenario(fleet):
        newcomer = make_record(50)
        assert fleet.daemons[0].context.directory.merge(newcomer)
        await fleet.wait_until(
            lambda: all(
                "vm-50" in d.context.directory.record_by_name for d in fleet.daemons
            )
        )

    run_fleet(scenario, daemons=3)


def test_change_of_a_record_costs_one_call_to_the_store(run_fleet):
    async def scenario(fleet):
        daemon = fleet.daemons[0]
        calls = count_calls(fleet.store)
        await daemon.records.publish()
        assert await daemon.member_store.keep_record()
        assert [name for name in calls if name in ("read", "create", "update")] == [
            "update"
        ]

    run_fleet(scenario, daemons=1, zones=1)


def test_record_changed_by_another_daemon_is_replaced(run_fleet):
    """A member marked as gone that lives must replace that mark in the store."""

    async def scenario(fleet):
        daemon = fleet.daemons[0]
        key = f"members/{fleet.settings[0].name}"
        stored = await fleet.store.read(key)
        await fleet.store.update(key, b"{}", stored.revision)
        await daemon.records.publish()
        assert await daemon.member_store.keep_record()
        assert (await fleet.store.read(key)).value != b"{}"

    run_fleet(scenario, daemons=1, zones=1)


def test_record_is_kept_after_the_answer_to_its_write_was_lost(run_fleet):
    async def scenario(fleet):
        daemon = fleet.daemons[0]
        fleet.store.faults = replace(StoreFaults(), lost_answers=1)
        await daemon.records.publish()
        await curio.sleep(0.1)
        await daemon.records.publish()
        await fleet.wait_until(
            lambda: daemon.member_store._stored_recency >= daemon.context.record.recency
        )

    run_fleet(scenario, daemons=1, zones=1)


def count_calls(store):
    """Record the names of the calls to a store from now on."""
    calls = []

    def recorded(name, call):
        async def record(*arguments):
            calls.append(name)
            return await call(*arguments)

        return record

    for name in ("read", "create", "update", "list_changed", "list_some"):
        setattr(store, name, recorded(name, getattr(store, name)))
    return calls


def test_daemon_at_the_address_of_another_records_it_as_gone(run_fleet, monkeypatch):
    """A new keeper otherwise waits out the lease of a process that has ended."""
    monkeypatch.setattr(membership, "_GONE_AFTER_SECONDS", math.inf)

    async def scenario(fleet):
        replaced = fleet.daemons[1].context.daemon
        await fleet.kill(1)
        fleet.settings[1] = replace(fleet.settings[1], name="vm-9")
        await fleet.start_daemon(1)
        directory = fleet.daemons[0].context.directory
        await fleet.wait_until(lambda: directory.record_by_name.get("vm-9"))
        await fleet.wait_until(lambda: fleet.daemons[0].keepers._has_ended(replaced))
        stored = await read_earlier_record(fleet.store, replaced.name)
        assert stored.phase is DaemonPhase.GONE
        assert directory.is_live("vm-9")

    run_fleet(scenario, daemons=3)
