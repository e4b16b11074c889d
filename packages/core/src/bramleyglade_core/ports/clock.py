"""The clock that decisions use."""

from __future__ import annotations

from collections.abc import Callable

Clock = Callable[[], float]
"""Returns the time of this process's monotonic clock, in seconds."""
