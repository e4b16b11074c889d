"""What both sides of HTTP share: sockets, limits and header rules."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import curio
from curio import io as curio_io

from bramleyglade_core.model.exchange import Header

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.identifiers import Address

RECEIVE_BYTES = 65_536
"""Most bytes taken from a socket at once."""

MAX_HEAD_BYTES = 65_536
"""Largest head of a request or answer."""

HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that end at each hop (RFC 9110, 7.6.1)."""


def prepare_socket(sock: curio_io.Socket) -> None:
    """Turn off Nagle's algorithm, which waits for delayed acknowledgements."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect(address: Address, timeout_seconds: float) -> curio_io.Socket:
    """Open a connection.

    Args:
        address: Where to.
        timeout_seconds: Longest wait.

    Returns:
        The connected socket.

    Raises:
        OSError: If the other side refuses or can't be reached.
        curio.TaskTimeout: If it does not answer in time.
    """
    # By IP number, so that no thread has to look up a name.
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = curio_io.Socket(socket.socket(family, socket.SOCK_STREAM))
    try:
        async with curio.timeout_after(timeout_seconds):
            await sock.connect((address.host, address.port))
    except BaseException:
        await sock.close()
        raise
    prepare_socket(sock)
    return sock


def first_header(headers: Iterable[Header], name: str) -> str:
    """Return the value of the first header of a name, or an empty string."""
    return next((header.value for header in headers if header.name == name), "")


def end_to_end_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Leave out the headers that end at this hop."""
    headers = tuple(headers)
    dropped = set(HOP_HEADERS)
    for header in headers:
        if header.name == "connection":
            dropped.update(name.strip().lower() for name in header.value.split(","))
    return tuple(header for header in headers if header.name not in dropped)


def headers_from_wire(raw: Iterable[tuple[bytes, bytes]]) -> tuple[Header, ...]:
    """Read headers as h11 gives them; names are in lower case already."""
    return tuple(
        Header(name.decode("ascii"), value.decode("latin-1")) for name, value in raw
    )


def headers_to_wire(headers: Iterable[Header]) -> list[tuple[bytes, bytes]]:
    """Turn headers into what h11 takes."""
    return [(h.name.encode("ascii"), h.value.encode("latin-1")) for h in headers]


def is_readable_now(sock: curio_io.Socket) -> bool:
    """Tell whether bytes, an end or an error wait on an idle connection."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    return True


async def has_left(sock: curio_io.Socket) -> bool:
    """Wait until the other side sends something or leaves; True if it left."""
    await curio.traps._read_wait(sock.fileno())
    try:
        return not sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
