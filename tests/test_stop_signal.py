"""Signals of the platform while the daemon runs."""

from __future__ import annotations

import os
import signal

import curio
import pytest

from bramleyglade_daemon.stop_signal import StopSignal

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_FULL_BUFFER_SIGNALS = 2000
"""More signals than the socket takes that wakes the waiting task."""


@pytest.fixture
def stop_signal():
    handlers = {number: signal.getsignal(number) for number in _SIGNALS}
    yield StopSignal()
    signal.set_wakeup_fd(-1)
    for number, handler in handlers.items():
        signal.signal(number, handler)


def _send(number):
    os.kill(os.getpid(), number)


def _wait(stop_signal, reload=None):
    async def main():
        async with curio.timeout_after(5.0):
            await stop_signal.wait(reload)

    curio.run(main)


def test_reload_that_fails_does_not_end_the_wait(stop_signal):
    """An exception in a reload ended the daemon without a planned stop."""
    reloads = []

    def reload():
        reloads.append(None)
        if len(reloads) == 1:
            _send(signal.SIGTERM)
        raise RuntimeError("a bug")

    _send(signal.SIGHUP)
    _wait(stop_signal, reload)
    assert reloads


def test_stop_signal_behind_a_burst_of_reloads_is_not_lost(stop_signal):
    """The buffer was full of SIGHUP while the daemon was busy or starting."""
    for _ in range(_FULL_BUFFER_SIGNALS):
        _send(signal.SIGHUP)
    _send(signal.SIGTERM)
    reloads = []
    _wait(stop_signal, lambda: reloads.append(None))
    assert reloads
