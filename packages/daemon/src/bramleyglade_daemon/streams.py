"""Both ends of an exchange, with credit-based flow control in each direction.

In one process, each end delivers messages directly to the other; between daemons
they are posted over a link. The front and the guard use the same interface for both.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Protocol

import curio

from bramleyglade_adapters.fair_turns import FairTurns
from bramleyglade_core.model.errors import AttemptError, ErrorCode, FleetError
from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEnded,
    AnswerEvent,
    AnswerStarted,
    AttemptFailed,
)
from bramleyglade_core.model.peer_messages import (
    AttemptCancelled,
    BodyEnded,
    BodySent,
    CreditGranted,
)
from bramleyglade_core.model.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from bramleyglade_adapters.link.link import Link
    from bramleyglade_core.model.peer_messages import TargetViewTold

_LOG = logging.getLogger(__name__)

_CREDIT_DIVISOR = 4
"""Credit is granted again once this part of the window, one in four, is received."""


class Sender(Protocol):
    """Sends messages to the other end of an exchange."""

    async def post(self, message: Any) -> None:
        """Send a message.

        Raises:
            LinkLost: If the link to the other end is lost.
        """

    def close(self) -> None:
        """Release the stream."""


class LinkSender:
    """Sends messages over a link."""

    def __init__(self, link: Link, stream: int, is_answer: bool) -> None:
        self._link = link
        self._stream = stream
        self._is_answer = is_answer

    async def post(self, message: Any) -> None:
        """Send a message."""
        await self._link.post(self._stream, self._is_answer, message)

    def close(self) -> None:
        """Release the stream."""
        if self._is_answer:
            self._link.release_stream(self._stream)
        else:
            self._link.close_stream(self._stream)


class ViewSender(LinkSender):
    """Sends the target's current load before the end of an attempt.

    The front that gets the answer or refusal has the new load for its next pick.
    """

    def __init__(
        self, link: Link, stream: int, view: Callable[[], TargetViewTold | None]
    ) -> None:
        super().__init__(link, stream, is_answer=True)
        self._view = view

    async def post(self, message: Any) -> None:
        """Send a message; the last one is preceded by the target's load."""
        if isinstance(message, (AnswerEnded, AttemptFailed)):
            view = self._view()
            if view is not None:
                await self._link.send_one_way(view)
        await super().post(message)


class LocalSender:
    """Sends messages to the other end in the same process."""

    def __init__(self) -> None:
        self.receiver: FrontStream | GuardStream | None = None

    async def post(self, message: Any) -> None:
        """Deliver a message."""
        if self.receiver is not None:
            await self.receiver.deliver(message)

    def close(self) -> None:
        """Release the other end."""
        self.receiver = None


class SendCredit:
    """Body bytes that may be sent before the receiver grants more."""

    def __init__(self, credit: int) -> None:
        self._credit = credit
        self._changed = curio.Event()
        self._is_closed = False

    async def consume(self, size: int) -> None:
        """Wait for positive credit and deduct a size; the credit may become negative.

        Args:
            size: Size of the next piece in bytes; 0 only waits.

        Raises:
            AttemptError: If the receiver has closed the stream.
        """
        while self._credit <= 0 and not self._is_closed:
            self._changed.clear()
            await self._changed.wait()
        if self._is_closed:
            raise AttemptError(
                ErrorCode.ATTEMPT_CANCELLED,
                "the receiver of the body has closed the stream",
            )
        self._credit -= size

    async def grant(self, size: int) -> None:
        """Add credit, in bytes."""
        self._credit += size
        await self._changed.set()

    async def close(self) -> None:
        """Make the waiting sender and all later ones fail."""
        self._is_closed = True
        await self._changed.set()


class FrontStream:
    """The front's end: sends the request's body and receives the answer."""

    def __init__(self, sender: Sender, window: int) -> None:
        self._sender = sender
        self._window = window
        self._events = curio.Queue()
        self._turns = FairTurns()
        self._uncredited_bytes = 0
        self.body_credit = SendCredit(0)
        self._has_ended = False
        self._arrived: curio.Event | None = None

    def bind(self, sender: Sender) -> None:
        """Set the sender once the stream has its number."""
        self._sender = sender

    @property
    def has_more(self) -> bool:
        """Whether the next part of the answer has already arrived."""
        return not self._events.empty()

    def notify(self, arrived: curio.Event) -> None:
        """Set an event whenever a part of the answer arrives from now on."""
        self._arrived = arrived

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the request's body; waits while the guard is slow."""
        await self.body_credit.consume(len(data))
        await self._sender.post(BodySent(data))

    async def wait_for_body_credit(self) -> None:
        """Wait until the guard has started the exchange and granted credit."""
        await self.body_credit.consume(0)

    async def end_body(self) -> None:
        """Mark the request's body as complete."""
        await self._sender.post(BodyEnded())

    async def receive(self) -> AnswerEvent:
        """Wait for the next part of the answer."""
        await self._turns.step()
        event = await self._events.get()
        if isinstance(event, AnswerStarted) and not event.has_valid_status:
            return await self._reject(event)
        if isinstance(event, AnswerContinued):
            await self._give_credit(len(event.data))
        elif isinstance(event, (AnswerEnded, AttemptFailed)):
            self._close()
        return event

    async def _reject(self, started: AnswerStarted) -> AttemptFailed:
        """End an attempt whose guard, of an earlier version, passes on any status."""
        await self.body_credit.close()
        await self.cancel()
        return AttemptFailed(
            ErrorCode.ANSWER_MALFORMED,
            f"{started.status} is not a status",
            Verdict.MAY_HAVE_RUN,
        )

    async def cancel(self) -> None:
        """Cancel the attempt; does nothing if it has ended."""
        if self._has_ended:
            return
        try:
            await self._sender.post(AttemptCancelled())
        except FleetError as error:
            # The guard detects the lost link on its own.
            _LOG.debug("CancelUndelivered", extra={"why": error.detail})
        finally:
            self._close()

    async def deliver(self, message: Any) -> None:
        """Handle a message from the guard."""
        if isinstance(message, CreditGranted):
            await self.body_credit.grant(message.size)
            return
        if isinstance(message, (AnswerEnded, AttemptFailed)):
            await self.body_credit.close()
        await self._events.put(message)
        if self._arrived is not None:
            await self._arrived.set()

    async def handle_link_loss(self) -> None:
        """End the answer with a failure, as the link is lost."""
        failed = AttemptFailed(
            ErrorCode.PEER_LOST, "the link to the guard broke", Verdict.MAY_HAVE_RUN
        )
        await self.deliver(failed)

    def _close(self) -> None:
        self._has_ended = True
        self._sender.close()

    async def _give_credit(self, size: int) -> None:
        self._uncredited_bytes += size
        if self._uncredited_bytes * _CREDIT_DIVISOR < self._window:
            return
        granted, self._uncredited_bytes = self._uncredited_bytes, 0
        try:
            await self._sender.post(CreditGranted(granted))
        except FleetError as error:
            # The answer's last event reports the lost link.
            _LOG.debug("CreditUndelivered", extra={"why": error.detail})


class GuardStream:
    """The guard's end: receives the request's body and sends the answer."""

    def __init__(self, sender: Sender, window: int) -> None:
        self._sender = sender
        self._window = window
        self._body = curio.Queue()
        self._turns = FairTurns()
        self._uncredited_bytes = 0
        self._answer_credit = SendCredit(window)
        self.is_abandoned = False
        """Whether the front gave up or the link to it is lost."""
        self.is_link_lost = False
        self.on_abandoned: Callable[[], Awaitable[None]] | None = None
        """Called once, when the exchange is abandoned."""

    async def open_body(self) -> None:
        """Grant the first credit for the body when the exchange begins."""
        await self._sender.post(CreditGranted(self._window))

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None at its end.

        Raises:
            AttemptError: If the front gave up.
        """
        await self._turns.step()
        message = await self._body.get()
        if isinstance(message, BodySent):
            await self._give_credit(len(message.data))
            return message.data
        if isinstance(message, BodyEnded):
            return None
        raise AttemptError(
            ErrorCode.ATTEMPT_CANCELLED, "the body was truncated", Verdict.MAY_HAVE_RUN
        )

    async def send(self, event: AnswerEvent) -> None:
        """Send a part of the answer; waits while the front is slow.

        Raises:
            AttemptError: If the front gave up or the link is lost.
        """
        if isinstance(event, AnswerContinued):
            await self._answer_credit.consume(len(event.data))
        await self._sender.post(event)
        if isinstance(event, (AnswerEnded, AttemptFailed)):
            self._sender.close()

    async def deliver(self, message: Any) -> None:
        """Handle a message from the front."""
        if isinstance(message, CreditGranted):
            await self._answer_credit.grant(message.size)
        elif isinstance(message, AttemptCancelled):
            await self._abandon()
        else:
            await self._body.put(message)

    async def handle_link_loss(self) -> None:
        """Abandon the exchange, as the link is lost."""
        self.is_link_lost = True
        await self._abandon()

    async def _abandon(self) -> None:
        if self.is_abandoned:
            return
        self.is_abandoned = True
        self._sender.close()
        await self._answer_credit.close()
        await self._body.put(AttemptCancelled())
        if self.on_abandoned is not None:
            await self.on_abandoned()

    async def _give_credit(self, size: int) -> None:
        self._uncredited_bytes += size
        if self._uncredited_bytes * _CREDIT_DIVISOR >= self._window:
            granted, self._uncredited_bytes = self._uncredited_bytes, 0
            try:
                await self._sender.post(CreditGranted(granted))
            except FleetError as error:
                # What has arrived still counts; its end shows whether it is whole.
                _LOG.debug("CreditUndelivered", extra={"why": error.detail})


def make_local_streams(window: int) -> tuple[FrontStream, GuardStream]:
    """Create both ends of an exchange within this process.

    Args:
        window: Body bytes that may be sent before more credit is granted.

    Returns:
        The front's end and the guard's end.
    """
    to_guard, to_front = LocalSender(), LocalSender()
    front, guard = FrontStream(to_guard, window), GuardStream(to_front, window)
    to_guard.receiver, to_front.receiver = guard, front
    return front, guard
