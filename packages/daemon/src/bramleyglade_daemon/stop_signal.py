"""Waiting for process signals."""

from __future__ import annotations

import logging
import signal
import socket
from typing import TYPE_CHECKING

from curio import io as curio_io

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_WAKEUP_BYTES = 4096
"""Wakeups to read at once; each signal is one byte."""

_LOG = logging.getLogger(__name__)


class StopSignal:
    """Catches SIGTERM, SIGINT and SIGHUP from its construction on.

    The interpreter writes the number of each signal to a socket, so the waiting
    task needs no thread and no polling. The numbers only wake the task: once the
    socket is full, further ones are lost, but their handlers run all the same.
    """

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio_io.Socket(reader)
        self._must_stop = False
        self._must_reload = False
        signal.set_wakeup_fd(self._writer.fileno(), warn_on_full_buffer=False)
        for number in _STOP_SIGNALS:
            signal.signal(number, self._note_stop)
        signal.signal(signal.SIGHUP, self._note_reload)

    async def wait(self, reload: Callable[[], None] | None = None) -> None:
        """Wait for SIGTERM or SIGINT; later signals are ignored.

        Args:
            reload: Called after SIGHUP, once for several that come together; None if
                the settings never change.
        """
        is_stopping = False
        while not is_stopping:
            await self._reader.recv(_WAKEUP_BYTES)
            is_stopping = self._must_stop
            if self._must_reload:
                self._must_reload = False
                _reload_safely(reload)
        # While the interpreter ends, it would take its handlers back, but not these.
        for number in (*_STOP_SIGNALS, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)

    def _note_stop(self, number: int, frame: FrameType | None) -> None:
        self._must_stop = True

    def _note_reload(self, number: int, frame: FrameType | None) -> None:
        self._must_reload = True


def _reload_safely(reload: Callable[[], None] | None) -> None:
    if reload is None:
        _LOG.info("ReloadIgnored")
        return
    try:
        reload()
    except Exception:
        # The settings in force remain, and the daemon goes on with its requests.
        _LOG.exception("ReloadCrashed")
