"""A queue that puts items which will miss their latency objective last."""

from __future__ import annotations

from typing import Generic, TypeVar

from bramleyglade_core.decisions.fair_queue import FairQueue

Item = TypeVar("Item")

_LATE_RANK = 1_000
"""Rank of items that can no longer meet their latency objective."""


class ObjectiveQueue(Generic[Item]):
    """A fair queue that serves items which can meet their latency objective first.

    Under overload, first come, first served makes every answer late. Items that can
    no longer meet their objective are put behind those that can, as a late answer is
    worth less and would delay the next one too. They are still served if a slot
    becomes free in time.
    """

    def __init__(self, bound: int) -> None:
        self._queue: FairQueue[Item] = FairQueue(bound)
        self._objective_by_item: dict[Item, float] = {}
        """End of the latency objective by queued item, unless it has been missed."""

    def __len__(self) -> int:
        return len(self._queue)

    def ahead_of(self, rank: int) -> int:
        """Return the number of items ahead of a new one of a rank."""
        return self._queue.ahead_of(rank)

    def count_by_rank(self) -> dict[int, int]:
        """Return the number of queued items of each rank, late ones at the last."""
        return self._queue.count_by_rank()

    def push(
        self, team: str, item: Item, rank: int = 0, objective_at: float | None = None
    ) -> Item | None:
        """Add an item.

        Args:
            team: Team that the item belongs to.
            item: The item.
            rank: Rank of the item; the lowest is served first.
            objective_at: When its latency objective ends, in seconds of the clock
                that `pop` uses; None without one.

        Returns:
            The item dropped to make room, possibly the new one; None if all fit.
        """
        if objective_at is not None:
            self._objective_by_item[item] = objective_at
        victim = self._queue.push(team, item, rank)
        if victim is not None:
            self._objective_by_item.pop(victim, None)
        return victim

    def pop(self, now: float, expected_seconds: float) -> Item | None:
        """Remove and return the next item; None if the queue is empty.

        Args:
            now: Current time, in seconds.
            expected_seconds: Expected service time of an item.
        """
        while (dequeued := self._queue.pop_with_team()) is not None:
            team, item = dequeued.team, dequeued.item
            objective_at = self._objective_by_item.pop(item, None)
            is_late = objective_at is not None and now + expected_seconds > objective_at
            if not is_late or not len(self._queue):
                return item
            self._queue.push(team, item, _LATE_RANK)
        return None

    def remove(self, team: str, item: Item) -> bool:
        """Remove an item that no longer needs to run; False if it is not queued."""
        self._objective_by_item.pop(item, None)
        return self._queue.remove(team, item)

    def holds(self, team: str, item: Item) -> bool:
        """Return whether an item is queued."""
        return self._queue.holds(team, item)

    def clear(self) -> list[Item]:
        """Remove and return all items."""
        self._objective_by_item.clear()
        return self._queue.clear()
