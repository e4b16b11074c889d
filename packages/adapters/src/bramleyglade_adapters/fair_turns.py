"""Turns for other tasks in loops that may find work for ever."""

from __future__ import annotations

import curio

_STEPS_PER_TURN = 64


class FairTurns:
    """Lets other tasks run after a number of steps of a loop that need not wait.

    A read from a socket or queue that already has data does not suspend its task, so
    a peer that sends without end would otherwise block all other tasks.
    """

    def __init__(self) -> None:
        self._steps = 0

    async def step(self) -> None:
        """Count one step; give way to other tasks if it is time to."""
        self._steps += 1
        if self._steps >= _STEPS_PER_TURN:
            self._steps = 0
            await curio.sleep(0)
