"""Texts of errors, for log lines and messages."""

from __future__ import annotations

import curio


def error_text(error: Exception) -> str:
    """Return what an error says, or the name of its class if it says nothing.

    The text of a time-out of curio is the reading of a clock.
    """
    if isinstance(error, curio.TaskTimeout):
        return "timed out"
    return str(error) or type(error).__name__
