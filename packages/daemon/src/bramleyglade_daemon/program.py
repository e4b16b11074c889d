"""The `bramleygladed` program."""

from __future__ import annotations

import gc
import logging
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.logs import set_up_logs
from bramleyglade_adapters.settings_file import load_settings
from bramleyglade_adapters.store.http_store import HttpStore
from bramleyglade_adapters.telemetry import Telemetry
from bramleyglade_core.model.errors import BadInput, StoreError
from bramleyglade_core.ports.dialect import Dialect
from bramleyglade_core.ports.store import ObjectStore
from bramleyglade_daemon.daemon import Daemon
from bramleyglade_daemon.descriptors import reserve_descriptors
from bramleyglade_daemon.fleet.context import Context
from bramleyglade_daemon.fleet.member_store import (
    next_incarnation,
    read_earlier_record_and_era,
)
from bramleyglade_daemon.stop_signal import StopSignal

if TYPE_CHECKING:
    from bramleyglade_core.model.announcements import MemberRecord
    from bramleyglade_core.model.settings import DaemonSettings

_EXIT_BAD_SETTINGS = 2
_GC_YOUNG_THRESHOLD = 50_000
"""Net allocations that start a collection of the youngest generation."""

_LOG = logging.getLogger(__name__)


def run(settings_path: str) -> None:
    """Run the daemon of this VM until SIGTERM or SIGINT.

    Args:
        settings_path: Path of the settings file, JSON with comments.
    """
    try:
        settings = load_settings(settings_path)
    except BadInput as error:
        print(f"bramleygladed: {error}", file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    set_up_logs(settings.telemetry.log_level, sys.stderr)
    curio.run(serve, settings, Dependencies(HttpStore(settings.store_address)))


@dataclass(frozen=True, slots=True)
class Dependencies:
    """External dependencies of a daemon, besides its settings."""

    store: ObjectStore
    dialect: Dialect | None = None
    """Header dialect of callers and targets; None for the default."""
    prepare: Callable[[Daemon], None] | None = None
    """Called with the daemon before it starts."""
    reload: Callable[[], None] | None = None
    """Called at each SIGHUP; None if the settings never change."""


async def make_daemon(settings: DaemonSettings, dependencies: Dependencies) -> Daemon:
    """Assemble a daemon without starting it."""
    settings = reserve_descriptors(settings)
    telemetry = Telemetry(settings, random.Random())
    earlier: MemberRecord | None = None
    era = 0
    is_history_known = True
    try:
        earlier, era = await read_earlier_record_and_era(
            dependencies.store, settings.name
        )
    except StoreError as error:
        is_history_known = False
        _LOG.warning("EarlierRecordUnknown", extra={"why": str(error)})
    context = Context(
        settings,
        dependencies.store,
        telemetry,
        incarnation=next_incarnation(earlier, era),
        dialect=dependencies.dialect,
        earlier_record=earlier,
        is_history_known=is_history_known,
    )
    daemon = Daemon(context)
    if dependencies.prepare is not None:
        dependencies.prepare(daemon)
    return daemon


async def serve(settings: DaemonSettings, dependencies: Dependencies) -> None:
    """Run a daemon until SIGTERM or SIGINT, then stop it gracefully."""
    stop_signal = StopSignal()
    daemon = await make_daemon(settings, dependencies)
    await daemon.start()
    # Objects made so far live until exit; freezing them shortens the pauses for GC.
    gc.freeze()
    gc.set_threshold(_GC_YOUNG_THRESHOLD, 20, 100)
    await stop_signal.wait(dependencies.reload)
    await daemon.stop()
    daemon.context.telemetry.shut_down()


def main() -> None:
    """Run the program with the arguments of the command line."""
    import fire  # Other front ends don't need the command line at their start.

    fire.Fire(run, name="bramleygladed")
