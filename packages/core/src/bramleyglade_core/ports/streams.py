"""Streams of one attempt, with one interface for local and remote guards."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import curio

    from bramleyglade_core.model.exchange import AnswerEvent, AttemptOffered


class AttemptStream(Protocol):
    """The front's side of one attempt at a guard."""

    @property
    def has_more(self) -> bool:
        """Whether another part of the answer has already been received."""

    def notify(self, arrived: curio.Event) -> None:
        """Set an event whenever a part of the answer arrives from now on."""

    async def wait_for_body_credit(self) -> None:
        """Wait until the guard has started the exchange and grants credit.

        Raises:
            AttemptError: If the attempt has ended.
        """

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the request's body; waits while there is no credit."""

    async def end_body(self) -> None:
        """Mark the end of the request's body."""

    async def receive(self) -> AnswerEvent:
        """Wait for the next part of the answer."""

    async def deliver(self, message: AnswerEvent) -> None:
        """End the answer with a local event, such as the caller's disconnection."""

    async def cancel(self) -> None:
        """Cancel the attempt; idempotent, and without effect after its end."""


class AttemptPort(Protocol):
    """A guard that attempts can be offered to, local or remote."""

    async def offer(self, offered: AttemptOffered) -> AttemptStream:
        """Offer an attempt.

        Raises:
            AttemptError: With the verdict `not run` if the guard is unreachable.
        """

    async def ask_outcome(self, offered: AttemptOffered) -> AttemptStream:
        """Query the outcome of an attempt whose link was lost.

        The guard fences an attempt that it has not started, so that `not run`
        remains true, and replays an answer that it has kept.
        """
