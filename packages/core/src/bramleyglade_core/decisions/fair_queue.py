"""A bounded priority queue, fair between teams of one rank (deficit round robin)."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import Generic, TypeVar

Item = TypeVar("Item")


@dataclass(frozen=True, slots=True)
class DequeuedItem(Generic[Item]):
    """An item taken from the queue, and its team."""

    team: str
    item: Item


class FairQueue(Generic[Item]):
    """Work that waits for one target: by rank, then each team in turn.

    All items cost the same, so round robin between the waiting teams is deficit
    round robin (Shreedhar and Varghese, 1995) with a quantum of one.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._size = 0
        self._teams_by_rank: dict[int, OrderedDict[str, deque[Item]]] = {}

    def __len__(self) -> int:
        return self._size

    def ahead_of(self, rank: int) -> int:
        """Return how many queued items may be taken before a new one of a rank."""
        return sum(
            len(items)
            for other, teams in self._teams_by_rank.items()
            if other <= rank
            for items in teams.values()
        )

    def count_by_rank(self) -> dict[int, int]:
        """Return the number of queued items of each rank."""
        return {
            rank: sum(len(items) for items in teams.values())
            for rank, teams in self._teams_by_rank.items()
        }

    def push(self, team: str, item: Item, rank: int = 0) -> Item | None:
        """Add an item.

        A full queue drops an item of the least urgent rank: the newest item of
        the team with the most items there, so that one team can't lock out the
        others.

        Args:
            team: Team that the item belongs to.
            item: The item.
            rank: Rank of the item; 0 is taken first.

        Returns:
            The item that was dropped, possibly the new one; None if all fit.
        """
        teams = self._teams_by_rank.setdefault(rank, OrderedDict())
        teams.setdefault(team, deque()).append(item)
        self._size += 1
        if self._size <= self._bound:
            return None
        last = max(self._teams_by_rank)
        teams = self._teams_by_rank[last]
        longest = max(teams, key=lambda t: len(teams[t]))
        return self._take(last, longest, is_newest=True)

    def pop(self) -> Item | None:
        """Take the next item, or None if nothing waits."""
        dequeued = self.pop_with_team()
        return dequeued.item if dequeued is not None else None

    def pop_with_team(self) -> DequeuedItem[Item] | None:
        """Take the next item with its team, or None if nothing waits."""
        if not self._teams_by_rank:
            return None
        rank = min(self._teams_by_rank)
        teams = self._teams_by_rank[rank]
        team = next(iter(teams))
        item = self._take(rank, team, is_newest=False)
        if team in teams:
            teams.move_to_end(team)
        return DequeuedItem(team, item)

    def remove(self, team: str, item: Item) -> bool:
        """Remove an item that no longer needs to run; False if it is not queued."""
        for rank, teams in self._teams_by_rank.items():
            items = teams.get(team)
            if items is not None and item in items:
                items.remove(item)
                self._note_removed(rank, team)
                return True
        return False

    def holds(self, team: str, item: Item) -> bool:
        """Return whether an item is queued."""
        return any(
            item in teams.get(team, ()) for teams in self._teams_by_rank.values()
        )

    def clear(self) -> list[Item]:
        """Remove and return all items."""
        items = [
            item
            for rank in sorted(self._teams_by_rank)
            for queue in self._teams_by_rank[rank].values()
            for item in queue
        ]
        self._teams_by_rank.clear()
        self._size = 0
        return items

    def _take(self, rank: int, team: str, is_newest: bool) -> Item:
        items = self._teams_by_rank[rank][team]
        item = items.pop() if is_newest else items.popleft()
        self._note_removed(rank, team)
        return item

    def _note_removed(self, rank: int, team: str) -> None:
        self._size -= 1
        teams = self._teams_by_rank[rank]
        if not teams[team]:
            del teams[team]
        if not teams:
            del self._teams_by_rank[rank]
