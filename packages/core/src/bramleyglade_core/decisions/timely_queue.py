"""A queue in which what will be late anyway lets others go first."""

from __future__ import annotations

from typing import Generic, TypeVar

from bramleyglade_core.decisions.fair_queue import FairQueue

Item = TypeVar("Item")

_LATE_RANK = 1_000
"""Rank of what can't be answered within its latency objective any more."""


class TimelyQueue(Generic[Item]):
    """A fair queue for the load at which a service has too little room.

    First come, first served makes everything late then. What can't be in time any
    more is put behind what still can be: a late answer is worth less, and would make
    the next one late too. It is still served if a slot comes free in time.
    """

    def __init__(self, bound: int) -> None:
        self._queue: FairQueue[Item] = FairQueue(bound)
        self._objective_by_item: dict[Item, float] = {}
        """When the objective of each waiting item ends, where it can still be met."""

    def __len__(self) -> int:
        return len(self._queue)

    def ahead_of(self, rank: int) -> int:
        """Return how many items would be taken before a new one of a rank."""
        return self._queue.ahead_of(rank)

    def push(
        self, team: str, item: Item, rank: int = 0, objective_at: float | None = None
    ) -> Item | None:
        """Add an item.

        Args:
            team: Team that the item belongs to.
            item: The item.
            rank: Rank of the item; 0 is taken first.
            objective_at: When its latency objective ends, in seconds of the clock
                that `pop` goes by; None without one.

        Returns:
            The item that had to give way, possibly the new one; None if all fit.
        """
        if objective_at is not None:
            self._objective_by_item[item] = objective_at
        victim = self._queue.push(team, item, rank)
        if victim is not None:
            self._objective_by_item.pop(victim, None)
        return victim

    def pop(self, now: float, usual_seconds: float) -> Item | None:
        """Take the next item, or None if nothing waits.

        Args:
            now: Time of the clock, in seconds.
            usual_seconds: Time that an item usually takes once it has begun.
        """
        while (taken := self._queue.pop_with_team()) is not None:
            team, item = taken.team, taken.item
            objective_at = self._objective_by_item.pop(item, None)
            is_late = objective_at is not None and now + usual_seconds > objective_at
            if not is_late or not len(self._queue):
                return item
            self._queue.push(team, item, _LATE_RANK)
        return None

    def remove(self, team: str, item: Item) -> bool:
        """Take out an item that no longer needs to run; False if it is not here."""
        self._objective_by_item.pop(item, None)
        return self._queue.remove(team, item)

    def holds(self, team: str, item: Item) -> bool:
        """Tell whether an item waits here."""
        return self._queue.holds(team, item)

    def clear(self) -> list[Item]:
        """Take out everything."""
        self._objective_by_item.clear()
        return self._queue.clear()
