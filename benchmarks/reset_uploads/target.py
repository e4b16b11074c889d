"""A target that sends a part of its answer at once and resets during the upload."""

from __future__ import annotations

import random
import socket
import struct
from typing import TYPE_CHECKING, Any

import curio
import fire

from bramleyglade_core.model.announcements import TargetAnnouncement
from bramleyglade_core.model.identifiers import Address
from bramleyglade_standins.target_server import announce_periodically

if TYPE_CHECKING:
    from curio.io import Socket

PART_BYTES = 7_200
_HEAD = b"HTTP/1.1 200 OK\r\nserver: part\r\n\r\n"
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_MOST_PAUSE_SECONDS = 0.01
"""Longest time between the part of the answer and the reset."""
_MOST_READ_BYTES = 400_000


async def _serve_one(sock: Socket, source: random.Random) -> None:
    async with sock:
        received = b""
        while b"\r\n\r\n" not in received:
            data = await sock.recv(4096)
            if not data:
                return
            received += data
        left = source.choice([0, source.randrange(_MOST_READ_BYTES)])
        while left > 0 and (data := await sock.recv(65_536)):
            left -= len(data)
        await sock.sendall(_HEAD + bytes(PART_BYTES))
        await curio.sleep(source.choice([0.0, source.random() * _MOST_PAUSE_SECONDS]))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)


def run(name: str, address: str, guard: str, slots: int, seed: int) -> None:
    """Run the target until it is killed.

    Args:
        name: Name of the target.
        address: Where to listen, as host:port.
        guard: The guard's endpoint for announcements, as host:port.
        slots: Requests that it can run concurrently.
        seed: Seed of the pauses and of what it reads of a body.
    """
    source = random.Random(seed)
    own = Address.parse(address)
    announced = TargetAnnouncement(name, "catalogue", own, slots, instance="1")

    async def serve(sock: Socket, _: Any) -> None:
        try:
            await _serve_one(sock, source)
        except OSError:
            return  # The guard has ended the exchange first.

    async def main() -> None:
        listener = curio.tcp_server_socket(own.host, own.port)
        await curio.spawn(curio.network.run_server, listener, serve, daemon=True)
        await announce_periodically(announced, Address.parse(guard))

    curio.run(main)


if __name__ == "__main__":
    fire.Fire(run)
