"""Identifiers of daemons, attempts and targets."""

from __future__ import annotations

from dataclasses import dataclass


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
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `host:port`.

        Args:
            text: The address, such as `127.0.0.1:8080`.

        Returns:
            The address.

        Raises:
            ValueError: If the text has no port or the port is out of range.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit():
            raise ValueError(f"expected host:port, got {text!r}")
        if not 0 < int(port) < 65536:
            raise ValueError(f"port out of range in {text!r}")
        return cls(host, int(port))
