"""A daemon's copy of the state that all daemons share through the store."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.store_era import ZoneHold
from bramleyglade_core.model.announcements import KeeperAssignment
from bramleyglade_core.model.tickets import EntityState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bramleyglade_core.decisions.configuration import Configuration


@dataclass(frozen=True, slots=True)
class SharedBatch:
    """All changes in the store after one revision and up to another."""

    after: int
    up_to: int
    states: tuple[EntityState, ...] = ()
    assignments: tuple[KeeperAssignment, ...] = ()
    whole_ticket: int = 0
    """Highest ticket that carried all entities; 0 if none did."""
    era: int = 0
    """Era of the store that both revisions belong to; 0 without eras."""
    newest_revision: int = 0
    """Revision of the store when it was read, if above `up_to`: some of the changes in
    between could not be decoded."""
    whole_revision: int = 0
    """Revision of the whole ticket; 0 if it is the highest one in `states`."""
    base_ticket: int = 0
    """Earlier whole ticket, if `states` has only what the whole ticket has changed
    since that one; 0 if it has all that the whole ticket carries."""
    whole_digest: int = 0
    """Digest of the entities after the whole ticket at the sender; 0 if not told."""


class SharedView:
    """Configuration and keeper assignments as of one revision of the store."""

    def __init__(self) -> None:
        self.era = 0
        """Newest known era of the store; 0 from a store without eras."""
        self.revision = 0
        """Revision of the era up to which all changes in the store are merged."""
        self.newest_known_revision = 0
        """Highest revision of the era reported by the store or a peer."""
        self.newest_known_ticket = 0
        """Highest whole ticket that a peer has told to be in force."""
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.assignment_by_shard: dict[int, KeeperAssignment] = {}
        """Newest known assignments, also those that no later era has replaced yet."""
        self.assignments_version = 0
        """Grows with each change of `assignment_by_shard`."""
        self._former = (0, 0)
        """The era before this one, and the revision of it that was merged."""
        self._zone_hold = ZoneHold()

    def enter_era(self, era: int, now: float) -> bool:
        """Start over at the first revision of a new era; keep what is in force.

        Args:
            era: An era that the store or a peer has told.
            now: Time of this process's clock, in seconds.

        Returns:
            False if the era is not new.
        """
        if era <= self.era:
            return False
        self._former = (self.era, self.revision)
        self.era, self.revision, self.newest_known_revision = era, 0, 0
        # No peer may have a version that the store has lost.
        self.newest_known_ticket = self.configuration.whole_ticket
        self.configuration = self.configuration.without_revisions()
        self._zone_hold.begin(now)
        return True

    def apply(self, batch: SharedBatch, now: float = 0.0) -> bool:
        """Merge a batch; each ticket in it takes effect as a whole.

        Args:
            batch: Changes from the store or from a peer.
            now: Time of this process's clock, in seconds, if the batch may begin an
                era.

        Returns:
            False if the batch would leave a gap, or has changes since a ticket that is
            not known here, or whose content differs here; nothing but the era is
            changed then. In the last case all entities must be fetched.
        """
        if batch.era < self.era:
            self._apply_late(batch)
            return True
        self.enter_era(batch.era, now)
        self.note_revision(max(batch.up_to, batch.newest_revision), batch.era)
        if batch.after > self.revision or not self._knows_base_of(batch):
            return False
        if not self._merge_states(batch):
            return False
        for assignment in batch.assignments:
            self._merge_assignment(assignment)
        self.revision = max(self.revision, batch.up_to)
        return True

    def release_zones(self, now: float) -> tuple[EntityState, ...]:
        """Put zones back whose hold in this era has ended; return their states."""
        states = self._zone_hold.release(now)
        self.configuration = self.configuration.merged(states)
        return states

    def note_revision(self, revision: int, era: int = 0) -> None:
        """Record that the store has reached a revision of an era."""
        if era == self.era:
            self.newest_known_revision = max(self.newest_known_revision, revision)

    def note_ticket(self, whole_ticket: int) -> None:
        """Record that a whole ticket is in force on a peer."""
        self.newest_known_ticket = max(self.newest_known_ticket, whole_ticket)

    @property
    def awaits_ticket(self) -> bool:
        """Whether a whole ticket is known to be in force that is not merged yet."""
        return self.newest_known_ticket > self.configuration.whole_ticket

    def is_current(self, revision: int, era: int = 0) -> bool:
        """Return whether a revision is the newest known one and is merged.

        An answer as of an older revision must not renew a lease: it may come from a
        store that serves stale data, or from a peer that lags. Nor must one of another
        era, whose revisions are other changes.
        """
        if era != self.era:
            return False
        return self.newest_known_revision <= revision <= self.revision

    def batch_since(self, revision: int, known_tickets: Sequence[int]) -> SharedBatch:
        """Return what a peer lacks, without the changes of the whole ticket.

        Args:
            revision: Revision of the era that the peer has merged.
            known_tickets: Whole tickets that the peer can be told the changes since,
                the one in force first; 0 if it has none.

        Returns:
            The batch. If it names a whole ticket, `Configuration.changes_since` the
            base ticket belongs to it. If no whole ticket can be told by its changes,
            the batch has everything and a base ticket of 0.
        """
        configuration = self.configuration
        if not configuration.known_tickets:
            return self.batch_after(revision)
        is_newer = configuration.whole_ticket > known_tickets[0]
        shared = (t for t in known_tickets if t in configuration.known_tickets)
        return SharedBatch(
            after=revision,
            up_to=self.revision,
            states=configuration.single_states_after(revision),
            assignments=self._assignments_after(revision),
            whole_ticket=configuration.whole_ticket if is_newer else 0,
            era=self.era,
            whole_revision=configuration.whole_revision if is_newer else 0,
            base_ticket=next(shared, 0) if is_newer else 0,
            whole_digest=configuration.whole_digest if is_newer else 0,
        )

    def batch_after(self, revision: int) -> SharedBatch:
        """Return the changes that a peer at this revision of the era lacks.

        Daemons of earlier versions get them in this form, in which a whole ticket has
        all its entities.
        """
        states = self.configuration.states_after(revision)
        whole_ticket = self.configuration.whole_ticket
        if revision <= self.revision and not self._has_whole(revision):
            # The peer may not have it, and would drop what it supersedes.
            whole_ticket = 0
        return SharedBatch(
            after=revision,
            up_to=self.revision,
            states=states,
            assignments=self._assignments_after(revision),
            whole_ticket=whole_ticket,
            era=self.era,
            whole_revision=self.configuration.whole_revision if whole_ticket else 0,
        )

    def _assignments_after(self, revision: int) -> tuple[KeeperAssignment, ...]:
        return tuple(
            a
            for a in self.assignment_by_shard.values()
            if a.revision > revision or (a.era < self.era and not revision)
        )

    def _knows_base_of(self, batch: SharedBatch) -> bool:
        configuration = self.configuration
        if batch.whole_ticket <= configuration.whole_ticket or not batch.base_ticket:
            return True
        return batch.base_ticket in configuration.known_tickets

    def _has_whole(self, revision: int) -> bool:
        """Return whether a peer at this revision gets or has the whole ticket.

        One of an earlier era is in the batch from the first revision only.
        """
        if not self.era or not revision:
            return True
        configuration = self.configuration
        return bool(configuration.whole_revision) or not configuration.whole_ticket

    def _apply_late(self, batch: SharedBatch) -> None:
        """Merge what operators wrote in the era before; it may be in force elsewhere.

        Nothing else of an earlier era counts any more.
        """
        era, revision = self._former
        is_gapless = batch.after <= revision and self._knows_base_of(batch)
        if batch.era == era and is_gapless:
            states = tuple(replace(state, revision=0) for state in batch.states)
            if self._merge_states(replace(batch, states=states), whole_revision=0):
                self._former = (era, max(revision, batch.up_to))

    def _merge_states(
        self, batch: SharedBatch, whole_revision: int | None = None
    ) -> bool:
        """Merge the states; False if they lead to another content than the sender's."""
        current = self.configuration
        states = self._zone_hold.filter(batch.states, current.state_by_key)
        if whole_revision is None:
            whole_revision = batch.whole_revision or _revision_of_whole(batch)
        merged = current.merged(
            states, batch.whole_ticket, whole_revision, batch.base_ticket
        )
        is_from_changes = bool(batch.base_ticket and batch.whole_digest)
        if is_from_changes and batch.whole_ticket > current.whole_ticket:
            if merged.whole_digest != batch.whole_digest:
                self.configuration = current.without_known_tickets()
                return False
        self.configuration = merged
        return True

    def _merge_assignment(self, assignment: KeeperAssignment) -> None:
        current = self.assignment_by_shard.get(assignment.shard)
        if current is None or current.recency < assignment.recency:
            self.assignment_by_shard[assignment.shard] = assignment
            self.assignments_version += 1


def _revision_of_whole(batch: SharedBatch) -> int:
    revisions = (s.revision for s in batch.states if s.ticket == batch.whole_ticket)
    return max(revisions, default=0)
