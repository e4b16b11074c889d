"""Time as the decisions see it."""

from __future__ import annotations

from collections.abc import Callable

Clock = Callable[[], float]
"""Returns monotonic seconds of this process."""
