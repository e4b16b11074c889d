"""Signals that reach a daemon while it starts or after its end."""

from __future__ import annotations

import subprocess
import sys

import pytest

_RUN_WITH_SIGNAL_AT_FIRST_SLOW_IMPORT = """
import os, runpy, signal, sys

class SignalAtImport:
    def find_spec(self, name, path=None, target=None):
        if name == "curio":
            sys.meta_path.remove(self)
            os.kill(os.getpid(), signal.{signal})

sys.meta_path.insert(0, SignalAtImport())
sys.argv = ["program", "/nonexistent/settings"]
os.environ["BRAMLEYGLADE_BOOT"] = "/nonexistent/settings"
runpy.run_module("{module}", run_name="__main__")
"""

_EXIT_BAD_SETTINGS = 2


@pytest.mark.parametrize("module", ["bramleyglade_daemon", "bramleyglade_platform"])
@pytest.mark.parametrize(
    ("signal", "code"), [("SIGHUP", _EXIT_BAD_SETTINGS), ("SIGTERM", 0), ("SIGINT", 0)]
)
def test_signal_during_the_imports_does_not_kill_the_process(module, signal, code):
    """A change of settings right after a start ended the daemon."""
    source = _RUN_WITH_SIGNAL_AT_FIRST_SLOW_IMPORT.format(module=module, signal=signal)
    process = subprocess.run([sys.executable, "-c", source], capture_output=True)
    assert process.returncode == code, process.stderr


_SIGNALS_AT_EXIT = """
import os, signal, sys

class SignalsAtExit:
    def __del__(self, kill=os.kill, process=os.getpid()):
        kill(process, signal.SIGHUP)
        kill(process, signal.SIGTERM)

at_exit = SignalsAtExit()
"""

_STOPPED_WHILE_STARTING = """
from bramleyglade_daemon.early_signals import handle_early_signals

handle_early_signals()
os.kill(os.getpid(), signal.SIGTERM)
"""

_STOPPED_IN_A_DESTRUCTOR = """
import os, signal, sys
from bramleyglade_daemon.early_signals import handle_early_signals

class SignalInDestructor:
    def __del__(self):
        os.kill(os.getpid(), signal.SIGTERM)
        for _ in range(1000):
            pass

handle_early_signals()
SignalInDestructor()
sys.exit(7)
"""

_STOPPED_WHILE_RUNNING = """
import curio
from bramleyglade_daemon.stop_signal import StopSignal

stop_signal = StopSignal()
os.kill(os.getpid(), signal.SIGTERM)
curio.run(stop_signal.wait)
"""


@pytest.mark.parametrize(
    "source",
    [
        pytest.param(_SIGNALS_AT_EXIT + _STOPPED_WHILE_STARTING, id="starting"),
        pytest.param(_STOPPED_IN_A_DESTRUCTOR, id="destructor"),
        pytest.param(_SIGNALS_AT_EXIT + _STOPPED_WHILE_RUNNING, id="running"),
    ],
)
def test_process_that_was_told_to_stop_exits_with_0(source):
    """The interpreter takes its handlers back while it ends.

    A further signal then ended the process by that signal. In a destructor, the exit at
    the first one was lost, as exceptions there are only printed.
    """
    process = subprocess.run([sys.executable, "-c", source], capture_output=True)
    assert process.returncode == 0, process.stderr
