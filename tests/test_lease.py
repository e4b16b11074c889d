"""The lease, its extension, and that no takeover overlaps an extended lease."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.lease import (
    Lease,
    StoreContact,
    StoreReport,
    is_reached_by_majority,
    is_unreachable_for_majority,
)
from bramleyglade_core.model.settings import LeaseSettings

SETTINGS = LeaseSettings(term_seconds=5.0, margin_seconds=1.0)
AWAY = StoreReport(True, 0.0)


def test_lease_term_counts_from_the_request_for_the_renewal(clock):
    lease = Lease(SETTINGS, clock)
    asked_at = clock.now
    clock.advance(2.0)
    lease.renew(asked_at)
    clock.advance(2.9)
    assert lease.is_valid
    clock.advance(0.2)
    assert not lease.is_valid


def test_extension_never_revives_a_lapsed_lease(clock):
    lease = Lease(SETTINGS, clock)
    lease.renew(clock.now)
    clock.advance(5.1)
    assert not lease.extend(clock.now)
    assert not lease.is_valid


def test_lease_adopted_by_peers_never_grows(clock):
    first, second, third = (Lease(SETTINGS, clock) for _ in range(3))
    first.renew(clock.now)
    end = clock.now + SETTINGS.term_seconds
    for source, adopter in ((first, second), (second, third)):
        asked_at = clock.now
        clock.advance(0.7)
        adopter.adopt(asked_at, source.remaining_seconds, source.fresh_seconds)
        clock.advance(0.4)
    clock.now = end
    assert not third.is_valid


def test_adopted_extension_never_counts_as_a_read_of_the_store(clock):
    """Guards against daemons that adopt each other's extension treating it as fresh."""
    first, second = Lease(SETTINGS, clock), Lease(SETTINGS, clock)
    first.renew(clock.now)
    clock.advance(4.0)
    first.extend(clock.now)
    second.adopt(clock.now, first.remaining_seconds, first.fresh_seconds)
    first.adopt(clock.now, second.remaining_seconds, second.fresh_seconds)
    clock.advance(1.5)
    assert first.is_valid
    assert second.is_valid
    assert first.is_extended
    assert second.is_extended


def test_lease_that_lapsed_while_the_process_paused_is_invalid(clock):
    lease = Lease(SETTINGS, clock)
    lease.renew(clock.now)
    clock.advance(60.0)
    assert not lease.is_valid


def test_unreachable_members_count_against_both_majorities():
    assert not is_unreachable_for_majority([AWAY, AWAY, None, None])
    reaching = StoreReport(False, 9.0)
    assert not is_reached_by_majority([reaching, reaching, None, None], 6.0)
    assert is_unreachable_for_majority([AWAY, AWAY, None])


def test_one_failed_call_resets_the_time_without_failures(clock):
    contact = StoreContact(clock)
    contact.note_success(clock.now)
    clock.advance(10.0)
    contact.note_success(clock.now)
    assert contact.report() == StoreReport(False, 10.0)
    contact.note_failure()
    assert contact.report().is_away
    clock.advance(1.0)
    contact.note_success(clock.now)
    assert contact.report() == StoreReport(False, 0.0)


_events = st.lists(
    st.tuples(
        st.sampled_from(["tick", "fail", "reach", "extend", "take over"]),
        st.integers(0, 2),
        st.floats(0.1, 3.0),
    ),
    max_size=60,
)


@given(events=_events)
def test_takeover_and_extension_never_both_have_a_majority(events):
    """Guards against a keeper that grants while its predecessor may still grant.

    Failures, recoveries, extensions and a takeover come in any order. Member 0 of
    three holds a lease and extends it when a majority allows it. Member 1 takes over
    by a write to the store, waits, and queries the sample again. When it may grant,
    the lease of member 0 must have lapsed: that member is permanently cut off from
    the store and never sees the write.
    """
    now = [0.0]

    def clock():
        return now[0]

    contacts = [StoreContact(clock) for _ in range(3)]
    lease = Lease(SETTINGS, clock)
    lease.renew(now[0])
    takeover_at = None
    wait_seconds = SETTINGS.term_seconds + SETTINGS.margin_seconds
    for kind, member, seconds in events:
        now[0] += seconds
        if kind == "fail":
            contacts[member].note_failure()
        elif kind == "reach" and member != 0:
            contacts[member].note_success(now[0])
        elif kind == "extend":
            contacts[0].note_failure()
            if is_unreachable_for_majority([contact.report() for contact in contacts]):
                lease.extend(now[0])
        elif kind == "take over" and takeover_at is None:
            takeover_at = now[0]
        if takeover_at is not None and now[0] >= takeover_at + wait_seconds:
            for contact in contacts[1:]:
                report = contact.report()
                if not report.is_away and report.reached_for_seconds:
                    contact.note_success(now[0])
            reports = [contact.report() for contact in contacts]
            if is_reached_by_majority(reports, wait_seconds):
                assert not lease.is_valid
                return
