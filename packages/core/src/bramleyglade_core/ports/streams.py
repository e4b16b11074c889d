"""Streams of one attempt, the same for a local and a remote guard."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from bramleyglade_core.model.exchange import AnswerEvent, AttemptOffered


class AttemptStream(Protocol):
    """The front's side of one attempt at a guard."""

    @property
    def has_more(self) -> bool:
        """Whether another part of the answer is here already."""

    async def wait_for_body_credit(self) -> None:
        """Wait until the guard has begun the exchange and wants the body.

        Raises:
            AttemptError: If the attempt has ended.
        """

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the request's body; waits while the guard is slow."""

    async def end_body(self) -> None:
        """Say that the request's body is whole."""

    async def receive(self) -> AnswerEvent:
        """Wait for the next part of the answer."""

    async def deliver(self, message: AnswerEvent) -> None:
        """End the answer with an event of this side, such as a caller's leaving."""

    async def cancel(self) -> None:
        """Give up the attempt; idempotent, and harmless after its end."""


class AttemptPort(Protocol):
    """A guard that attempts can be offered to, local or remote."""

    async def offer(self, offered: AttemptOffered) -> AttemptStream:
        """Offer an attempt.

        Raises:
            AttemptError: With `not run` if the guard can't be reached.
        """

    async def ask_outcome(self, offered: AttemptOffered) -> AttemptStream:
        """Ask what became of an attempt whose link died.

        The guard fences an attempt that it has not begun, so that `not run`
        stays true; it plays back an answer that it has kept.
        """
