"""How long a message was held up on its way, between two clocks that differ."""

from __future__ import annotations

MOST_DELAY_SECONDS = 0.4
"""Delay from which an offer is refused; its caller may have left by now, and half a
second after that nothing more may reach a target (RULES, GONE)."""


class LinkDelay:
    """Compares each message's way with the fastest one seen from the same sender.

    The offset between two clocks is not known, but it does not change, so the
    smallest difference between sending and arrival stands for an unhindered way.
    """

    def __init__(self) -> None:
        self._least: float | None = None

    def note(self, sent_at: float, arrived_at: float) -> float:
        """Take in a message.

        Args:
            sent_at: When it was sent, by the sender's clock, in seconds.
            arrived_at: When it arrived, by this process's clock, in seconds.

        Returns:
            Seconds beyond the fastest way seen so far.
        """
        difference = arrived_at - sent_at
        if self._least is None or difference < self._least:
            self._least = difference
        return difference - self._least
