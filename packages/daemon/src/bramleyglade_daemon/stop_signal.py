"""Waiting for a signal that asks the process to stop."""

from __future__ import annotations

import signal
import socket

from curio import io as curio_io


class StopSignal:
    """Catches SIGTERM and SIGINT from its making on.

    The interpreter writes the number of each signal to a socket, so the task
    that waits needs no thread and no polling.
    """

    def __init__(self) -> None:
        reader, self._writer = socket.socketpair()
        self._writer.setblocking(False)
        self._reader = curio_io.Socket(reader)
        signal.set_wakeup_fd(self._writer.fileno())
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: None)

    async def wait(self) -> signal.Signals:
        """Wait for the next signal."""
        return signal.Signals((await self._reader.recv(1))[0])
