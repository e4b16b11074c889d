"""The clock for leases and deadlines."""

from __future__ import annotations

import time


def boot_clock() -> float:
    """Return monotonic seconds that include the time a machine is suspended.

    Python's monotonic clock stops while the machine is suspended, so an expired
    lease would still look valid after the machine resumes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
