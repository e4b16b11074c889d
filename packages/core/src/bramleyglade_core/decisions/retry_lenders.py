"""Choice of the peers that a front asks for retries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

_MAX_LENDERS = 8
"""Peers that are asked for one retry."""

_EMPTY_SECONDS = 2.0
"""Time for which a peer that has lent less than it was asked for is not asked again.
Its window moves on by a fifth of its length in that time."""

_FIRST_PAUSE_SECONDS = 0.25
"""Time after which peers are asked again once none has lent, as in a brown-out."""

_MAX_PAUSE_SECONDS = 1.0
"""Longest such pause; each one in a row is twice as long as the one before."""


@dataclass(frozen=True, slots=True)
class _Pause:
    until: float
    seconds: float


class RetryLenders:
    """Remembers which peers have retries of a service left to lend.

    With many fronts, each has few retries and most of them need none. The few that do
    have to find peers that have not lent theirs yet, with few messages.
    """

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self._empty_until_by_peer_by_service: dict[str, dict[str, float]] = {}
        self._pause_by_service: dict[str, _Pause] = {}

    def choose(self, service: str, peers: Sequence[str], now: float) -> list[str]:
        """Choose the peers to ask, in order.

        Args:
            service: Service whose retries are needed.
            peers: Peers that can be asked.
            now: Time of this process's clock, in seconds.

        Returns:
            Names of peers; empty while all that were asked had none left.
        """
        pause = self._pause_by_service.get(service)
        if pause is not None and now < pause.until:
            return []
        empty_until = self._empty_until_by_peer_by_service.get(service, {})
        for peer in [p for p, until in empty_until.items() if until <= now]:
            del empty_until[peer]
        left = [peer for peer in peers if peer not in empty_until]
        return self._random.sample(left, min(_MAX_LENDERS, len(left)))

    def note_empty(self, service: str, peer: str, now: float) -> None:
        """Record that a peer has not lent what it was asked for, or not answered."""
        empty_until = self._empty_until_by_peer_by_service.setdefault(service, {})
        empty_until[peer] = now + _EMPTY_SECONDS

    def note_refused(self, service: str, now: float) -> None:
        """Record that no peer that was asked has lent enough.

        Requests that asked before a pause began and are refused during it don't make
        the pause longer.
        """
        pause = self._pause_by_service.get(service)
        if pause is not None and now < pause.until:
            return
        seconds = _FIRST_PAUSE_SECONDS
        if pause is not None:
            seconds = min(_MAX_PAUSE_SECONDS, 2 * pause.seconds)
        self._pause_by_service[service] = _Pause(now + seconds, seconds)

    def note_granted(self, service: str) -> None:
        """Record that a retry could be spent with what peers have lent."""
        self._pause_by_service.pop(service, None)
