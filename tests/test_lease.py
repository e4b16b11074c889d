"""The lease, its extension, and that a taker-over never meets an extender."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bramleyglade_core.decisions.lease import (
    Lease,
    StoreContact,
    StoreSight,
    is_away_for_majority,
    is_reached_by_majority,
)
from bramleyglade_core.model.settings import LeaseSettings

SETTINGS = LeaseSettings(term_seconds=5.0, margin_seconds=1.0)
AWAY = StoreSight(True, 0.0)


def test_lease_lapses_a_term_after_the_asking(clock):
    lease = Lease(SETTINGS, clock)
    asked_at = clock.now
    clock.advance(2.0)
    lease.renew(asked_at)
    clock.advance(2.9)
    assert lease.is_valid
    clock.advance(0.2)
    assert not lease.is_valid


def test_word_of_an_outage_never_revives_a_lapsed_lease(clock):
    lease = Lease(SETTINGS, clock)
    lease.renew(clock.now)
    clock.advance(5.1)
    assert not lease.extend(clock.now)
    assert not lease.is_valid


def test_lease_passed_on_never_grows(clock):
    first, second, third = (Lease(SETTINGS, clock) for _ in range(3))
    first.renew(clock.now)
    end = clock.now + SETTINGS.term_seconds
    for giver, taker in ((first, second), (second, third)):
        asked_at = clock.now
        clock.advance(0.7)
        taker.adopt(asked_at, giver.remaining_seconds, giver.fresh_seconds)
        clock.advance(0.4)
    clock.now = end
    assert not third.is_valid


def test_extension_passed_on_never_counts_as_the_stores_own_word(clock):
    """Two daemons that pass an extension to and fro once took it for fresh."""
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


def test_pause_of_the_holder_is_seen_at_the_next_use(clock):
    lease = Lease(SETTINGS, clock)
    lease.renew(clock.now)
    clock.advance(60.0)
    assert not lease.is_valid


def test_unreachable_members_count_against_both_majorities():
    assert not is_away_for_majority([AWAY, AWAY, None, None])
    reaching = StoreSight(False, 9.0)
    assert not is_reached_by_majority([reaching, reaching, None, None], 6.0)
    assert is_away_for_majority([AWAY, AWAY, None])


def test_one_failure_ends_the_time_of_continuous_reach(clock):
    contact = StoreContact(clock)
    contact.note_success(clock.now)
    clock.advance(10.0)
    contact.note_success(clock.now)
    assert contact.sight() == StoreSight(False, 10.0)
    contact.note_failure()
    assert contact.sight().is_away
    clock.advance(1.0)
    contact.note_success(clock.now)
    assert contact.sight() == StoreSight(False, 0.0)


_events = st.lists(
    st.tuples(
        st.sampled_from(["tick", "fail", "reach", "extend", "take"]),
        st.integers(0, 2),
        st.floats(0.1, 3.0),
    ),
    max_size=60,
)


@given(events=_events)
def test_taker_over_and_extender_never_both_have_a_majority(events):
    """Any order of failures, returns, extensions and takeovers of three members.

    Member 0 holds a lease and extends it where a majority lets it. Member 1
    takes over by a write, waits, and looks again. When it is let to grant, the
    lease of member 0 must have lapsed, since that member never learnt of the
    write: it is cut off from the store for good.
    """
    now = [0.0]

    def clock():
        return now[0]

    contacts = [StoreContact(clock) for _ in range(3)]
    lease = Lease(SETTINGS, clock)
    lease.renew(now[0])
    taken_at = None
    wait = SETTINGS.term_seconds + SETTINGS.margin_seconds
    for kind, member, seconds in events:
        now[0] += seconds
        if kind == "fail":
            contacts[member].note_failure()
        elif kind == "reach" and member != 0:
            contacts[member].note_success(now[0])
        elif kind == "extend":
            contacts[0].note_failure()
            if is_away_for_majority([contact.sight() for contact in contacts]):
                lease.extend(now[0])
        elif kind == "take" and taken_at is None:
            taken_at = now[0]
        if taken_at is not None and now[0] >= taken_at + wait:
            for contact in contacts[1:]:
                sight = contact.sight()
                if not sight.is_away and sight.reached_for_seconds:
                    contact.note_success(now[0])
            sights = [contact.sight() for contact in contacts]
            if is_reached_by_majority(sights, wait):
                assert not lease.is_valid
                return
