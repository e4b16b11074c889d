"""Identifiers of daemons, attempts and targets."""

from __future__ import annotations

import re
from dataclasses import dataclass
from ipaddress import ip_address

_PORT_PATTERN = re.compile(r"[0-9]{1,5}")


@dataclass(frozen=True, slots=True, order=True)
class DaemonId:
    """One run of a daemon; each restart has a new incarnation."""

    name: str
    """Name from the settings, unique in the fleet."""
    incarnation: int
    """Grows with each start of the daemon of this name."""


@dataclass(frozen=True, slots=True, order=True)
class AttemptId:
    """One attempt to run a request, unique across daemons and restarts."""

    front: DaemonId
    """Daemon that received the request from the caller."""
    request: int
    """Number of the request at that daemon."""
    attempt: int
    """Number of the attempt at the request, from 0."""


@dataclass(frozen=True, slots=True, order=True)
class TargetId:
    """A target, identified by its guard's daemon and its name there."""

    daemon: str
    name: str


@dataclass(frozen=True, slots=True)
class Address:
    """A host and a TCP port."""

    host: str
    """IP address. Names are not looked up, as that would hold up all other tasks."""
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `host:port`.

        Args:
            text: The address, such as `127.0.0.1:8080`; the host is an IP address.

        Returns:
            The address.

        Raises:
            ValueError: If the host is no IP address, or the port is missing or out of
                range.
        """
        host, _, port = text.rpartition(":")
        if not _PORT_PATTERN.fullmatch(port):
            raise ValueError(f"expected host:port, got {text!r}")
        try:
            ip_address(host)
        except ValueError:
            message = f"expected host:port with an IP address as host, got {text!r}"
            raise ValueError(message) from None
        if not 0 < int(port) < 65536:
            raise ValueError(f"port out of range in {text!r}")
        return cls(host, int(port))
