"""Transit delay of messages between two processes with unsynchronized clocks."""

from __future__ import annotations

MAX_DELAY_SECONDS = 0.4
"""Delay above which an offer is refused. Its caller may have left by now, and the
platform requires that nothing reaches a target later than half a second after that."""


class LinkDelay:
    """Compares each message's transit time with the fastest from the same sender.

    The offset between the two clocks is unknown but constant, so the smallest
    difference between sending and arrival times is taken as the undelayed transit.
    """

    def __init__(self) -> None:
        self._least: float | None = None

    def note(self, sent_at: float, arrived_at: float) -> float:
        """Record a message and return its delay.

        Args:
            sent_at: When it was sent, by the sender's clock, in seconds.
            arrived_at: When it arrived, by this process's clock, in seconds.

        Returns:
            Seconds beyond the fastest transit seen so far.
        """
        difference = arrived_at - sent_at
        if self._least is None or difference < self._least:
            self._least = difference
        return difference - self._least
