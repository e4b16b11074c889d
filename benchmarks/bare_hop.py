"""A minimal HTTP relay between callers and one target, without the fleet's decisions.

It uses the fleet's HTTP adapters on h11 and curio, and is the baseline for the latency
and processor time that the fleet's decisions add on the same machine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import curio
import fire

from bramleyglade_adapters.http.client_connection import ClientConnection
from bramleyglade_adapters.http.server_connection import ServerConnection
from bramleyglade_adapters.http.wire import disable_nagle
from bramleyglade_core.model.exchange import AnswerContinued, AnswerStarted
from bramleyglade_core.model.identifiers import Address

if TYPE_CHECKING:
    from curio.io import Socket


def run(listen: str, target: str) -> None:
    """Relay requests without bodies until the process is terminated.

    Args:
        listen: Address on which callers connect, as host:port.
        target: Address to which requests are relayed, as host:port.
    """

    async def relay(sock: Socket, _: Any) -> None:
        disable_nagle(sock)
        caller_connection = ServerConnection(sock)
        target_connection = await ClientConnection.open(Address.parse(target), 2.0)
        while (head := await caller_connection.receive_request()) is not None:
            await target_connection.send_head(
                head.method, head.target, head.headers, False
            )
            started = await target_connection.receive()
            assert isinstance(started, AnswerStarted)
            caller_connection.start_answer(started.status, started.headers)
            while isinstance(
                part := await target_connection.receive(), AnswerContinued
            ):
                caller_connection.continue_answer(part.data)
            caller_connection.end_answer()
            await caller_connection.flush()
            target_connection.finish_exchange()
        await target_connection.close()

    async def main() -> None:
        address = Address.parse(listen)
        await curio.tcp_server(address.host, address.port, relay)

    curio.run(main)


if __name__ == "__main__":
    fire.Fire(run)
