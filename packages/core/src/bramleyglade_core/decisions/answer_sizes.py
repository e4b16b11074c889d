"""Expected sizes of answers, from earlier ones of the same route."""

from __future__ import annotations

from collections import OrderedDict

_GAIN = 0.1
"""Weight of a new answer in the average of its route."""

_MAX_ROUTES = 4096
"""Routes that are remembered; those without an answer for the longest time go first."""


class AnswerSizes:
    """Average size of the answers by route."""

    def __init__(self) -> None:
        self._bytes_by_route: OrderedDict[str, float] = OrderedDict()

    def note(self, route: str, size: int) -> None:
        """Note the size of the body of an answer, in bytes."""
        known = self._bytes_by_route.get(route, float(size))
        self._bytes_by_route[route] = known + _GAIN * (size - known)
        self._bytes_by_route.move_to_end(route)
        if len(self._bytes_by_route) > _MAX_ROUTES:
            self._bytes_by_route.popitem(last=False)

    def expected(self, route: str) -> int:
        """Return the expected size of an answer in bytes; 0 if it is unknown."""
        return int(self._bytes_by_route.get(route, 0.0))
