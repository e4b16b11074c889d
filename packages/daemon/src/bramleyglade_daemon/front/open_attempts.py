"""Attempts of one request whose answers are still awaited."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import curio

from bramleyglade_core.decisions.directory import Candidate
from bramleyglade_core.model.exchange import AttemptFailed, AttemptOffered
from bramleyglade_core.ports.streams import AttemptPort, AttemptStream

if TYPE_CHECKING:
    from collections.abc import Callable

    from bramleyglade_core.decisions.picker import Picker
    from bramleyglade_core.model.exchange import AnswerEvent


@dataclass(frozen=True, slots=True, eq=False)
class OpenAttempt:
    """An attempt that a guard was offered and that has not ended."""

    candidate: Candidate
    offered: AttemptOffered
    port: AttemptPort
    stream: AttemptStream


class OpenAttempts:
    """The open attempts of one request, and the one whose answer is received.

    There is more than one only while an idempotent request waits for a slow target and
    for another one. Nothing is cancelled until one of them has answered.
    """

    def __init__(
        self, picker: Picker, on_failed: Callable[[OpenAttempt, AttemptFailed], None]
    ) -> None:
        """Create it without an attempt.

        Args:
            picker: Counts the attempts in flight.
            on_failed: Called when an attempt other than the current one has failed.
        """
        self._picker = picker
        self._on_failed = on_failed
        self._attempts: list[OpenAttempt] = []
        """In the order in which they were offered."""
        self.current: OpenAttempt | None = None
        """The newest, or the one whose answer is received; None between two."""

    @property
    def is_empty(self) -> bool:
        """Whether no attempt is open."""
        return not self._attempts

    @property
    def has_others(self) -> bool:
        """Whether an attempt other than the current one is open."""
        return any(attempt is not self.current for attempt in self._attempts)

    @property
    def has_event(self) -> bool:
        """Whether a part of an answer has arrived and was not received."""
        return any(attempt.stream.has_more for attempt in self._attempts)

    def add(self, attempt: OpenAttempt) -> None:
        """Add an attempt, which becomes the current one."""
        self._attempts.append(attempt)
        self.current = attempt

    def set_aside(self) -> None:
        """Leave the current attempt open while another one is made."""
        self.current = None

    def go_back(self) -> None:
        """Make the newest of the open attempts the current one."""
        self.current = self._attempts[-1]

    def replace_stream(self, stream: AttemptStream) -> None:
        """Receive the current attempt's answer from another stream."""
        assert self.current is not None
        index = self._attempts.index(self.current)
        self.current = replace(self.current, stream=stream)
        self._attempts[index] = self.current

    async def receive_first(self) -> AnswerEvent:
        """Wait for the next event; its attempt becomes the current one.

        The failure of another attempt than the current one only ends that attempt.
        """
        while True:
            attempt = await self._wait_for_event()
            event = await attempt.stream.receive()
            if isinstance(event, AttemptFailed) and attempt is not self.current:
                self._on_failed(attempt, event)
                await self._end(attempt)
                continue
            self.current = attempt
            return event

    async def fail_all(self, failed: AttemptFailed) -> None:
        """Cancel all attempts, and report a failure in place of their answers."""
        for attempt in list(self._attempts):
            await attempt.stream.cancel()
            await attempt.stream.deliver(failed)

    async def end_current(self) -> None:
        """End the current attempt; does nothing if there is none."""
        if self.current is not None:
            await self._end(self.current)

    async def end_others(self) -> None:
        """End all attempts but the current one."""
        for attempt in list(self._attempts):
            if attempt is not self.current:
                await self._end(attempt)

    async def end_all(self) -> None:
        """End all attempts; does nothing if there is none."""
        for attempt in list(self._attempts):
            await self._end(attempt)

    async def _wait_for_event(self) -> OpenAttempt:
        if len(self._attempts) == 1:
            return self._attempts[0]
        arrived = curio.Event()
        for attempt in self._attempts:
            attempt.stream.notify(arrived)
        while True:
            arrived.clear()
            for attempt in self._attempts:
                if attempt.stream.has_more:
                    return attempt
            await arrived.wait()

    async def _end(self, attempt: OpenAttempt) -> None:
        self._attempts.remove(attempt)
        if self.current is attempt:
            self.current = None
        self._picker.note_ended(attempt.candidate.target)
        await attempt.stream.cancel()
