"""Waiting for process signals."""

from __future__ import annotations

import logging
import signal
import socket
from typing import TYPE_CHECKING

from curio import io as curio_io

if TYPE_CHECKING:
    from collections.abc import Callable

_LOG = logging.getLogger(__name__)


class StopSignal:
    """Catches SIGTERM, SIGINT and SIGHUP from its construction on.

    The interpreter writes the number of each signal to a socket, so the waiting
    task needs no thread and no polling.
    """

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio_io.Socket(reader)
        signal.set_wakeup_fd(self._writer.fileno())
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, lambda *_: None)

    async def wait(self, reload: Callable[[], None] | None = None) -> None:
        """Wait for SIGTERM or SIGINT.

        Args:
            reload: Called at each SIGHUP; None if the settings never change.
        """
        while await self._next() is signal.SIGHUP:
            if reload is None:
                _LOG.info("ReloadIgnored")
            else:
                reload()

    async def _next(self) -> signal.Signals:
        return signal.Signals((await self._reader.recv(1))[0])
