"""A body whose link is lost: what has arrived of it, and how its exchange ends."""

from __future__ import annotations

import curio

from bramleyglade_adapters.link.link import LinkLost
from bramleyglade_core.model.errors import ErrorCode
from bramleyglade_core.model.peer_messages import BodyEnded, BodySent
from bramleyglade_daemon.streams import GuardStream


class LostSender:
    """Sends over a link that is lost."""

    async def post(self, message):
        raise LinkLost(ErrorCode.PEER_LOST, "no link to the peer")

    def close(self):
        pass


def test_body_that_has_arrived_is_read_after_its_link_is_lost():
    """No credit can be granted any more, which lost the piece that was read."""

    async def main():
        stream = GuardStream(LostSender(), window=1000)
        await stream.deliver(BodySent(bytes(1000)))
        await stream.deliver(BodyEnded())
        await stream.handle_link_loss()
        assert await stream.receive() == bytes(1000)
        assert await stream.receive() is None

    curio.run(main)
