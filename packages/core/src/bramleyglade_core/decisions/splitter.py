"""Choice of the service for requests of a route that is split by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from bramleyglade_core.model.entities import Route, SplitPart


class _WeightedRoundRobin:
    """Smooth weighted round robin over the parts of one split."""

    def __init__(
        self, parts: tuple[SplitPart, ...], random_source: random.Random
    ) -> None:
        self.parts = parts
        self._total = sum(part.weight for part in parts)
        # Random credits keep daemons that start together from choosing the same part.
        self._credits = [random_source.random() * self._total for _ in parts]

    def next_service(self) -> str:
        for index, part in enumerate(self.parts):
            self._credits[index] += part.weight
        indexes = [i for i, part in enumerate(self.parts) if part.weight > 0]
        best = max(indexes, key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return self.parts[best].service


class Splitter:
    """Splits a route's requests by weighted round robin rather than at random.

    After any number of requests the count of each part is close to its share by
    weight, and within one of it if there are two parts. So the shares over all
    daemons also hold over short periods.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._round_robin_by_route: dict[str, _WeightedRoundRobin] = {}

    def choose(self, route: Route) -> str:
        """Choose the service for one request.

        Args:
            route: The request's route in the current configuration.

        Returns:
            Name of the service.
        """
        if not route.split:
            return route.service
        round_robin = self._round_robin_by_route.get(route.name)
        if round_robin is None or round_robin.parts != route.split:
            round_robin = _WeightedRoundRobin(route.split, self._random)
            self._round_robin_by_route[route.name] = round_robin
        return round_robin.next_service()
