"""Which service takes the next request of a route that is split by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from bramleyglade_core.model.entities import Route, SplitPart


class _Turns:
    """Smooth weighted round robin over the parts of one split."""

    def __init__(
        self, parts: tuple[SplitPart, ...], random_source: random.Random
    ) -> None:
        self.parts = parts
        self._total = sum(part.weight for part in parts)
        # Daemons that start together must not all begin with the same part.
        self._credits = [random_source.random() * self._total for _ in parts]

    def next_service(self) -> str:
        for index, part in enumerate(self.parts):
            self._credits[index] += part.weight
        indexes = [i for i, part in enumerate(self.parts) if part.weight > 0]
        best = max(indexes, key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return self.parts[best].service


class Splitter:
    """Spreads each split route's requests evenly, rather than by chance.

    After any number of requests each part is within one request of its weight,
    so that the shares over all daemons hold in short times too.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._turns_by_route: dict[str, _Turns] = {}

    def choose(self, route: Route) -> str:
        """Choose the service for one request.

        Args:
            route: The request's route, as configured now.

        Returns:
            Name of the service.
        """
        if not route.split:
            return route.service
        turns = self._turns_by_route.get(route.name)
        if turns is None or turns.parts != route.split:
            turns = _Turns(route.split, self._random)
            self._turns_by_route[route.name] = turns
        return turns.next_service()
