"""What a daemon does when the store comes back from an older copy, in a new era.

Revisions are compared only within an era. What must not repeat across eras, the
epochs of keepers, the numbers of observed zones and the incarnations, contains the era
in its upper digits. Era 0 is that of a store without eras; every function then returns
what it would without eras.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from bramleyglade_core.decisions.shard_keeper import KeeperPhase
from bramleyglade_core.model.announcements import epoch_of
from bramleyglade_core.model.entities import Zone
from bramleyglade_core.model.tickets import MAX_TICKET_NUMBER

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable, Mapping

    from bramleyglade_core.decisions.lease import Lease
    from bramleyglade_core.decisions.shard_keeper import ShardKeeper
    from bramleyglade_core.model.announcements import KeeperAssignment
    from bramleyglade_core.model.entities import EntityKey
    from bramleyglade_core.model.identifiers import DaemonId
    from bramleyglade_core.model.tickets import EntityState

_OBSERVATIONS_PER_ERA = 10**9
"""Revisions in one era that an observed ticket's number has room for."""

_WRITES_PER_SECOND = 50.0
"""Rate at which the whole fleet writes its records again in a new era. The store's
own budget for writes is several times that."""

_INCARNATION_STEP = 2**32
"""Distance between incarnations that two eras derive from one stored record."""

ZONE_HOLD_SECONDS = 30.0
"""Time from the begin of an era in which operators write again which zones are out."""

CONFIRM_SECONDS = 1.5
"""Time that a keeper has to claim its shards again before another daemon does, beyond
the time over which the claims are spread."""


class KeeperStep(Enum):
    """What a daemon does when it compares what it keeps with an assignment."""

    KEEP = "keep"
    """Nothing changes."""
    START = "start"
    """It is the keeper, and has to wait as after any takeover."""
    CLAIM_AGAIN = "claim again"
    """It goes on with its book under its own claim in a later era."""
    STEP_DOWN = "step down"
    """Another daemon is the keeper."""
    DROP = "drop"
    """Another daemon may have been the keeper, and the store has lost that."""


@dataclass(frozen=True, slots=True)
class EraChange:
    """The store's era has risen."""

    before: tuple[int, int]
    """Era and revision that this daemon had reached."""
    after: tuple[int, int]
    """The new era, and the revision at which it was seen; 0 if a peer told of it."""
    source: str
    """The peer that told of it, or an empty string for the store."""

    @property
    def is_first(self) -> bool:
        """Whether this daemon has just started and had not read the store before."""
        return self.before == (0, 0)


def next_epoch(current: KeeperAssignment | None, era: int) -> int:
    """Return the epoch of a new claim.

    Args:
        current: The newest known assignment of the shard, of any era.
        era: Era of the store in which the claim is written.

    Returns:
        An epoch above all known ones, which no claim of another era has.
    """
    if current is None:
        return epoch_of(era, 1)
    return epoch_of(max(era, current.era), current.takeover + 1)


def is_in_force(assignment: KeeperAssignment, era: int) -> bool:
    """Return whether an assignment was claimed in the store's current era.

    One of an earlier era may have been superseded after the copy was made, so nobody
    becomes a keeper because of it.
    """
    return assignment.era >= era


def may_replace(claim: KeeperAssignment, stored: KeeperAssignment) -> bool:
    """Return whether a claim may take the place of what the store still has.

    The store may have kept a takeover that the claimant has not heard of, or another
    daemon may have claimed the shard in this era.
    """
    return stored.era < claim.era and stored.takeover < claim.takeover


def may_confirm(keeper: ShardKeeper, lease: Lease, has_handed_over: bool) -> bool:
    """Return whether a keeper of an earlier era may claim its shard again.

    Another daemon begins to grant only once this one's lease has lapsed or its book was
    handed over. While the lease has held without a gap since this keeper began to
    grant, it is the only one that grants, and its book is complete.
    """
    if keeper.phase is not KeeperPhase.GRANTING or has_handed_over:
        return False
    return lease.is_valid and lease.valid_since <= keeper.granting_since


def may_keep_book(
    keeper: ShardKeeper,
    claimed: KeeperAssignment,
    lease: Lease,
    has_handed_over: bool,
) -> bool:
    """Return whether a keeper goes on with its book under a claim of a new era.

    Args:
        keeper: The keeper as of the earlier era.
        claimed: This daemon's own claim in the new era.
        lease: This daemon's lease.
        has_handed_over: Whether the keeper has handed its book over.

    Returns:
        False if any other claim lies between the two.
    """
    former = keeper.assignment
    is_next = claimed.takeover == former.takeover + 1 and claimed.era > former.era
    return is_next and may_confirm(keeper, lease, has_handed_over)


def next_step(
    keeper: ShardKeeper | None,
    assignment: KeeperAssignment,
    own: DaemonId,
    era: int,
    lease: Lease,
    has_handed_over: bool,
) -> KeeperStep:
    """Decide what an assignment means for a daemon.

    Args:
        keeper: The daemon's role as keeper of the shard, if it has one.
        assignment: The newest known assignment of the shard, of any era.
        own: The daemon.
        era: The store's newest known era.
        lease: The daemon's lease.
        has_handed_over: Whether it has handed its book over.
    """
    is_own = assignment.keeper == own
    if keeper is not None and is_own:
        if may_keep_book(keeper, assignment, lease, has_handed_over):
            return KeeperStep.CLAIM_AGAIN
    if not is_in_force(assignment, era):
        if keeper is None or may_confirm(keeper, lease, has_handed_over):
            return KeeperStep.KEEP
        return KeeperStep.DROP
    if not is_own:
        return KeeperStep.KEEP if keeper is None else KeeperStep.STEP_DOWN
    if keeper is None or keeper.assignment.epoch != assignment.epoch:
        return KeeperStep.START
    return KeeperStep.KEEP


def spread_seconds(writes: int) -> float:
    """Return the time over which a number of writes to the store is spread."""
    return writes / _WRITES_PER_SECOND


def rewrite_delay(members: int, random_source: random.Random) -> float:
    """Choose when to write the own record again, so that the fleet doesn't at once.

    Args:
        members: Size of the fleet.
        random_source: Source of randomness.

    Returns:
        A delay in seconds, uniform over the time that the fleet's records take.
    """
    return random_source.uniform(0.0, spread_seconds(members))


def observed_number(era: int, revision: int) -> int:
    """Return the number of a ticket that states what the store shows at a revision."""
    return min(era * _OBSERVATIONS_PER_ERA + revision, MAX_TICKET_NUMBER)


def incarnation_after(earlier: int, era: int, random_source: random.Random) -> int:
    """Return an incarnation above that of the newest record that the store has.

    The store may have lost the records of later processes, whose incarnations were
    derived from the same one in an earlier era.

    Args:
        earlier: Incarnation of the newest record.
        era: Era of the store in which it was read.
        random_source: Source of randomness; not used without eras.
    """
    if not era:
        return earlier + 1
    return (
        earlier
        + era * _INCARNATION_STEP
        + random_source.randrange(1, _INCARNATION_STEP)
    )


class ZoneHold:
    """Keeps zones out of use until the operators had time to write that again.

    A zone counts as in use if the store has no object that takes it out, and such an
    object may have been lost with the earlier era.
    """

    def __init__(self) -> None:
        self._ends_at = float("inf")
        self._is_active = False
        self._state_by_key: dict[EntityKey, EntityState] = {}

    def begin(self, now: float) -> None:
        """Begin an era."""
        self._ends_at = now + ZONE_HOLD_SECONDS
        self._is_active = True
        self._state_by_key.clear()

    def filter(
        self,
        states: Iterable[EntityState],
        current_by_key: Mapping[EntityKey, EntityState],
    ) -> tuple[EntityState, ...]:
        """Return the states that take effect now, and keep the others.

        Args:
            states: New states.
            current_by_key: The states in force.
        """
        if not self._is_active:
            return tuple(states)
        released = []
        for state in states:
            current = current_by_key.get(state.key)
            if current is not None and _puts_back_after_loss(state, current):
                held = self._state_by_key.get(state.key)
                if held is None or held.ticket < state.ticket:
                    self._state_by_key[state.key] = state
            else:
                released.append(state)
        return tuple(released)

    def release(self, now: float) -> tuple[EntityState, ...]:
        """Return the kept states once the time is over.

        Args:
            now: Time of this process's clock, in seconds.
        """
        if now < self._ends_at:
            return ()
        self._is_active = False
        states = tuple(self._state_by_key.values())
        self._state_by_key.clear()
        return states


def _puts_back_after_loss(state: EntityState, current: EntityState) -> bool:
    """Return whether a state puts a zone back that an earlier era had taken out."""
    if not isinstance(state.entity, Zone) or not isinstance(current.entity, Zone):
        return False
    if not state.entity.in_use or current.entity.in_use:
        return False
    return _era_of_number(state.ticket) > _era_of_number(current.ticket)


def _era_of_number(number: int) -> int:
    return number // _OBSERVATIONS_PER_ERA
