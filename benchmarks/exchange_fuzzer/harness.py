"""Keeps a small fleet running between the examples of hypothesis."""

from __future__ import annotations

from typing import TYPE_CHECKING

import curio
from hypothesis import HealthCheck, given, seed, settings
from tests.platform_adapter.documents import CONFIGURATION
from tests.platform_adapter.fleet import PlatformFleet

from benchmarks.exchange_fuzzer.conversations import CONVERSATIONS
from benchmarks.exchange_fuzzer.player import Broken, Player
from bramleyglade_standins.local_fleet import kill_daemon

if TYPE_CHECKING:
    from pathlib import Path

    from benchmarks.exchange_fuzzer.conversations import Conversation

_START_SECONDS = 30.0
_PLAY_SECONDS = 40.0
_DAEMONS = 3
_BATCH = 20
"""Conversations with one seed. Hypothesis varies what it has drawn, so that many small
batches differ more than a large one."""


class Harness:
    """Plays conversations one after another; a broken one gets a new fleet after it."""

    def __init__(self, folder: Path) -> None:
        """Prepare a fleet.

        Args:
            folder: Where its settings are written.
        """
        self._folder = folder
        self._kernel = curio.Kernel()
        self._fleet: PlatformFleet | None = None
        self._player: Player | None = None
        self.conversations = 0
        self.exchanges = 0
        self.features: dict[str, int] = {}

    def play(self, conversation: Conversation) -> None:
        """Play one conversation.

        Raises:
            Broken: If a promise was broken.
        """
        if self._player is None:
            self._kernel.run(self._start)
        try:
            self._kernel.run(self._play, conversation)
        except Broken:
            self.stop()
            raise

    def play_batch(self, number: int) -> None:
        """Play the conversations of a seed.

        Raises:
            Broken: If a promise was broken; notes tell the smallest such conversation.
        """

        @seed(number)
        @settings(
            max_examples=_BATCH,
            deadline=None,
            derandomize=False,
            suppress_health_check=list(HealthCheck),
        )
        @given(CONVERSATIONS)
        def play(conversation: Conversation) -> None:
            self.play(conversation)

        play()

    def stop(self) -> None:
        """End the fleet."""
        if self._player is not None:
            self._kernel.run(self._stop)
        self._player = None

    def close(self) -> None:
        """End the fleet and its kernel."""
        self.stop()
        self._kernel.run(shutdown=True)

    async def _start(self) -> None:
        self._fleet = PlatformFleet(self._folder)
        self._fleet.platform.put("config", "main", CONFIGURATION)
        async with curio.timeout_after(_START_SECONDS):
            await self._fleet.start(_DAEMONS)
            await self._fleet.wait_until_serving()
            self._player = Player(self._fleet)
            await self._player.start()

    async def _play(self, conversation: Conversation) -> None:
        assert self._player is not None
        try:
            async with curio.timeout_after(_PLAY_SECONDS):
                await self._player.play(conversation)
        except curio.TaskTimeout:
            raise Broken("requests are still held after the conversation") from None
        counts = self._player.counts
        self.conversations += 1
        self.exchanges += len(conversation.requests)
        self.features = dict(counts.features)

    async def _stop(self) -> None:
        assert self._fleet is not None
        assert self._player is not None
        self._player.close()
        for daemon in self._fleet.daemons:
            await kill_daemon(daemon)
