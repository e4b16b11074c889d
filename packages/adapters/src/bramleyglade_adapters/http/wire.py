"""Sockets, limits and header rules for HTTP clients and servers."""

from __future__ import annotations

import fcntl
import logging
import os
import socket
import struct
import termios
from typing import TYPE_CHECKING

import curio
from curio import io as curio_io

from bramleyglade_core.model.exchange import Header

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bramleyglade_core.model.identifiers import Address

RECEIVE_BYTES = 65_536
"""Maximum number of bytes to read from a socket at once."""

MAX_HEAD_BYTES = 65_536
"""Maximum size of the head of a request or an answer."""

_TCP_CLOSED = 7
"""State TCP_CLOSE of the kernel's `tcp_info`."""

_INT = struct.Struct("i")

_LOG = logging.getLogger(__name__)

HOP_BY_HOP_HEADERS = frozenset(
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
"""Headers that apply to one connection and are not forwarded (RFC 9110, 7.6.1)."""


def disable_nagle(sock: curio_io.Socket) -> None:
    """Disable Nagle's algorithm, which delays small writes until an acknowledgement."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


async def connect(address: Address, timeout_seconds: float) -> curio_io.Socket:
    """Open a connection.

    Args:
        address: Address to connect to; the host must be an IP address.
        timeout_seconds: Timeout of the attempt.

    Returns:
        The connected socket.

    Raises:
        OSError: If the connection is refused or the address can't be reached.
        curio.TaskTimeout: If the timeout expires.
    """
    # Only IP addresses: resolving a name would need a thread.
    family = socket.AF_INET6 if ":" in address.host else socket.AF_INET
    sock = curio_io.Socket(socket.socket(family, socket.SOCK_STREAM))
    try:
        async with curio.timeout_after(timeout_seconds):
            await sock.connect((address.host, address.port))
    except BaseException:
        await sock.close()
        raise
    disable_nagle(sock)
    return sock


def first_header(headers: Iterable[Header], name: str) -> str:
    """Return the value of the first header with a name, or an empty string."""
    return next((header.value for header in headers if header.name == name), "")


def end_to_end_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers without hop-by-hop headers, which are not forwarded."""
    headers = tuple(headers)
    dropped = set(HOP_BY_HOP_HEADERS)
    for header in headers:
        if header.name == "connection":
            dropped.update(name.strip().lower() for name in header.value.split(","))
    return tuple(header for header in headers if header.name not in dropped)


def header_value(text: str) -> str:
    """Return the value of a header that carries a text, in UTF-8."""
    return text.encode().decode("latin-1")


def header_text(value: str) -> str:
    """Return the text in a header's value; Latin-1 where it is no UTF-8."""
    try:
        return value.encode("latin-1").decode()
    except UnicodeDecodeError:
        return value


def headers_from_wire(raw: Iterable[tuple[bytes, bytes]]) -> tuple[Header, ...]:
    """Decode headers from h11, which has converted the names to lower case.

    Each character of a value stands for one byte.
    """
    return tuple(
        Header(name.decode("ascii"), value.decode("latin-1")) for name, value in raw
    )


def headers_to_wire(headers: Iterable[Header]) -> list[tuple[bytes, bytes]]:
    """Encode headers for h11."""
    return [(h.name.encode("ascii"), h.value.encode("latin-1")) for h in headers]


def sending_fault(sock: curio_io.Socket) -> str:
    """Return what went wrong with the sending side of a socket; empty if nothing did.

    The kernel reports a reset to one reader or writer only, and everybody after it
    finds a clean end of the stream. The state of the connection keeps the reset: after
    a close by the other side alone it would not be closed.
    """
    try:
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    except OSError as gone:
        return str(gone)
    if error:
        return os.strerror(error)
    try:
        state = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError as unsupported:
        _LOG.debug("SocketStateUnknown", extra={"why": str(unsupported)})
        return ""
    if state == _TCP_CLOSED:
        return "the connection was reset"
    (unacknowledged,) = _INT.unpack(queued)
    if unacknowledged:
        return f"{unacknowledged} bytes were not acknowledged"
    return ""


def is_readable_now(sock: curio_io.Socket) -> bool:
    """Check an idle connection for received data, a close or an error."""
    try:
        sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
    return True


def has_data_now(sock: curio_io.Socket) -> bool:
    """Return whether data has arrived that was not read."""
    try:
        return bool(sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False  # None has arrived, or the connection is broken.


async def wait_readable(sock: curio_io.Socket) -> None:
    """Wait until data, a close or an error can be read; no byte is read.

    A task that is cancelled during the wait ends here, even if data has arrived too.
    """
    await curio.traps._read_wait(sock.fileno())
    await curio.check_cancellation()


async def wait_for_close(sock: curio_io.Socket) -> bool:
    """Wait until the other side sends data or closes; True if it has closed."""
    await curio.traps._read_wait(sock.fileno())
    try:
        return not sock._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except (BlockingIOError, InterruptedError):
        return False
    except OSError:
        return True
