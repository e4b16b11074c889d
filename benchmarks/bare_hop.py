"""A bare hop: h11 on curio between caller and target, without any decision.

It is the baseline for what the fleet adds, run on the same machine.
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
    """Relay requests without bodies until the process is ended.

    Args:
        listen: Where callers connect, as host:port.
        target: Where requests go, as host:port.
    """

    async def serve(sock: Socket, _: Any) -> None:
        disable_nagle(sock)
        caller = ServerConnection(sock)
        connection = await ClientConnection.open(Address.parse(target), 2.0)
        while (head := await caller.receive_request()) is not None:
            await connection.send_head(head.method, head.target, head.headers, False)
            started = await connection.receive()
            assert isinstance(started, AnswerStarted)
            caller.start_answer(started.status, started.headers)
            while isinstance(part := await connection.receive(), AnswerContinued):
                caller.continue_answer(part.data)
            caller.end_answer()
            await caller.flush()
            connection.finish_exchange()
        await connection.close()

    async def main() -> None:
        own = Address.parse(listen)
        await curio.tcp_server(own.host, own.port, serve)

    curio.run(main)


if __name__ == "__main__":
    fire.Fire(run)
