"""Streams of one exchange, the same for a local and a remote guard."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from bramleyglade_core.model.exchange import AnswerEvent, AttemptOffered


class BodySource(Protocol):
    """Where the body of a request comes from."""

    async def receive(self) -> bytes | None:
        """Return the next piece, or None at the end of the body.

        Raises:
            AttemptRefused: If the sender gave up.
        """


class AnswerSink(Protocol):
    """Where the answer of an attempt goes."""

    @property
    def is_abandoned(self) -> bool:
        """Whether nobody waits for the answer any more."""

    async def send(self, event: AnswerEvent) -> None:
        """Pass on a part of the answer; waits while the receiver is slow."""


class AttemptStream(Protocol):
    """The front's side of one attempt at a guard."""

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the request's body; waits while the guard is slow."""

    async def end_body(self) -> None:
        """Say that the request's body is whole."""

    async def receive(self) -> AnswerEvent:
        """Wait for the next part of the answer."""

    async def cancel(self) -> None:
        """Give up the attempt; idempotent, and harmless after its end."""


class AttemptPort(Protocol):
    """A guard that attempts can be offered to, local or remote."""

    async def offer(self, offered: AttemptOffered) -> AttemptStream:
        """Offer an attempt.

        Raises:
            AttemptRefused: With `not run` if the guard can't be reached.
        """

    async def ask_outcome(self, offered: AttemptOffered) -> AttemptStream:
        """Ask what became of an attempt whose link died.

        The guard fences an attempt that it has not begun, so that `not run`
        stays true; it plays back an answer that it has kept.
        """
