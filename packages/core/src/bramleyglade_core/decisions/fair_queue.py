"""A bounded queue that is fair between teams (deficit round robin)."""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import Generic, TypeVar

Item = TypeVar("Item")


class FairQueue(Generic[Item]):
    """Work that waits for one target; each team in turn gets one item.

    All items cost the same, so round robin between the teams that wait is
    deficit round robin (Shreedhar and Varghese, 1995) with a quantum of one.
    """

    def __init__(self, bound: int) -> None:
        self._bound = bound
        self._size = 0
        self._items_by_team: OrderedDict[str, deque[Item]] = OrderedDict()

    def __len__(self) -> int:
        return self._size

    def push(self, team: str, item: Item) -> Item | None:
        """Add an item.

        A full queue drops the newest item of the team that has most waiting,
        so that one team can't keep the others out.

        Args:
            team: Team that the item belongs to.
            item: The item.

        Returns:
            The item that had to give way, possibly the new one; None if all fit.
        """
        self._items_by_team.setdefault(team, deque()).append(item)
        self._size += 1
        if self._size <= self._bound:
            return None
        longest = max(self._items_by_team, key=lambda t: len(self._items_by_team[t]))
        return self._take(longest, is_newest=True)

    def pop(self) -> Item | None:
        """Take the next item, or None if nothing waits."""
        if not self._items_by_team:
            return None
        team = next(iter(self._items_by_team))
        item = self._take(team, is_newest=False)
        if team in self._items_by_team:
            self._items_by_team.move_to_end(team)
        return item

    def remove(self, team: str, item: Item) -> bool:
        """Take out an item that no longer needs to run; False if it is not here."""
        items = self._items_by_team.get(team)
        if items is None or item not in items:
            return False
        items.remove(item)
        self._shrink(team)
        return True

    def clear(self) -> list[Item]:
        """Take out everything."""
        items = [item for queue in self._items_by_team.values() for item in queue]
        self._items_by_team.clear()
        self._size = 0
        return items

    def _take(self, team: str, is_newest: bool) -> Item:
        items = self._items_by_team[team]
        item = items.pop() if is_newest else items.popleft()
        self._shrink(team)
        return item

    def _shrink(self, team: str) -> None:
        self._size -= 1
        if not self._items_by_team[team]:
            del self._items_by_team[team]
