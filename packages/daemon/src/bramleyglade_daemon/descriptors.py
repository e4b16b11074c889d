"""Division of the process's file descriptors."""

from __future__ import annotations

import logging
import resource
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bramleyglade_core.model.settings import DaemonSettings, FrontSettings

_CALLER_SHARE = 0.6
"""Share of the descriptors for callers that are served."""

_REFUSED_DIVISOR = 8
"""Callers that are refused may hold one connection for so many that are served."""

_LOG = logging.getLogger(__name__)


def reserve_descriptors(settings: DaemonSettings) -> DaemonSettings:
    """Lower the limit of callers' connections to what the process may open.

    Callers that are idle would otherwise take the descriptors that requests need for
    targets, peers and the store, and that targets need to report.

    Args:
        settings: The daemon's settings.

    Returns:
        The settings, with another limit of callers' connections if need be.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_connections = max(1, int(_CALLER_SHARE * descriptors))
    if (
        descriptors == resource.RLIM_INFINITY
        or settings.front.max_connections <= max_connections
    ):
        return settings
    extra = {"descriptors": descriptors, "connections": max_connections}
    _LOG.warning("CallerLimitLowered", extra=extra)
    front = replace(settings.front, max_connections=max_connections)
    return replace(settings, front=front)


def max_open_callers(front: FrontSettings) -> int:
    """Return the limit of callers' connections, with those that are refused."""
    return front.max_connections + front.max_connections // _REFUSED_DIVISOR + 1
