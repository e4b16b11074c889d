"""The clock of a process."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return monotonic seconds that also pass while the machine is suspended.

    Leases and deadlines go by this clock; the usual monotonic clock stands still
    in a suspended machine, whose lease would seem to hold when it wakes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
