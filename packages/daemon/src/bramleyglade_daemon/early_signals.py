"""Signals that arrive before the daemon can wait for them.

Imports only the standard library: the program's other imports take most of its start.
"""

from __future__ import annotations

import os
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from types import FrameType

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def handle_early_signals() -> None:
    """Ignore SIGHUP and exit at SIGTERM or SIGINT until `StopSignal` takes over.

    Settings that change during the start are noticed without the signal.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    for number in _STOP_SIGNALS:
        signal.signal(number, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    # No listener is open yet, so there is no request to finish. SystemExit would be
    # lost in a destructor, and a second signal while the interpreter ends would kill.
    os._exit(0)
