"""A daemon's copy of the state that all daemons share through the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.model.announcements import KeeperAssignment
from bramleyglade_core.model.tickets import EntityState

if TYPE_CHECKING:
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


class SharedView:
    """Configuration and keeper assignments as of one revision of the store."""

    def __init__(self) -> None:
        self.revision = 0
        """Revision up to which all changes in the store are merged."""
        self.newest_known_revision = 0
        """Highest revision reported by the store or a peer."""
        self.configuration: Configuration = EMPTY_CONFIGURATION
        self.assignment_by_shard: dict[int, KeeperAssignment] = {}

    def apply(self, batch: SharedBatch) -> bool:
        """Merge a batch; each ticket in it takes effect as a whole.

        Args:
            batch: Changes from the store or from a peer.

        Returns:
            False if the batch would leave a gap; nothing is changed then.
        """
        self.note_revision(batch.up_to)
        if batch.after > self.revision:
            return False
        self.configuration = self.configuration.merged(batch.states, batch.whole_ticket)
        for assignment in batch.assignments:
            self._merge_assignment(assignment)
        self.revision = max(self.revision, batch.up_to)
        return True

    def note_revision(self, revision: int) -> None:
        """Record that the store has reached a revision."""
        self.newest_known_revision = max(self.newest_known_revision, revision)

    def is_current(self, revision: int) -> bool:
        """Return whether a revision is the newest known one and is merged.

        An answer as of an older revision must not renew a lease: it may come from a
        store that serves stale data, or from a peer that lags.
        """
        return self.newest_known_revision <= revision <= self.revision

    def batch_after(self, revision: int) -> SharedBatch:
        """Return the changes that a peer at this revision lacks."""
        assignments = self.assignment_by_shard.values()
        return SharedBatch(
            after=revision,
            up_to=self.revision,
            states=self.configuration.states_after(revision),
            assignments=tuple(a for a in assignments if a.revision > revision),
            whole_ticket=self.configuration.whole_ticket,
        )

    def _merge_assignment(self, assignment: KeeperAssignment) -> None:
        current = self.assignment_by_shard.get(assignment.shard)
        if current is None or current.revision < assignment.revision:
            self.assignment_by_shard[assignment.shard] = assignment
