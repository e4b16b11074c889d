"""Both ends of one exchange, with credit for the bodies in each direction.

Locally the two ends deliver to each other; over a link each posts to the
other. Neither the front nor the guard can tell the difference.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any, Protocol

import curio

from bramleyglade_core.model.errors import AttemptError, ErrorCode, FleetError
from bramleyglade_core.model.exchange import (
    AnswerContinued,
    AnswerEnded,
    AnswerEvent,
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

_CREDIT_SHARE = 4
"""Credit is given back once this part of the window has been taken in."""


class Poster(Protocol):
    """Sends a message to the other end."""

    async def post(self, message: Any) -> None:
        """Send a message.

        Raises:
            LinkLost: If the other end can't be reached any more.
        """

    def close(self) -> None:
        """Forget the stream."""


class LinkPoster:
    """Posts to the other end over a link."""

    def __init__(self, link: Link, stream: int, is_answer: bool) -> None:
        self._link = link
        self._stream = stream
        self._is_answer = is_answer

    async def post(self, message: Any) -> None:
        """Send a message."""
        await self._link.post(self._stream, self._is_answer, message)

    def close(self) -> None:
        """Forget the stream."""
        if self._is_answer:
            self._link.release_stream(self._stream)
        else:
            self._link.close_stream(self._stream)


class ViewPoster(LinkPoster):
    """Posts a target's load before the end of an attempt at it.

    The front that has just been answered, or refused, picks with that in hand.
    """

    def __init__(
        self, link: Link, stream: int, view: Callable[[], TargetViewTold | None]
    ) -> None:
        super().__init__(link, stream, is_answer=True)
        self._view = view

    async def post(self, message: Any) -> None:
        """Send a message, and what it leaves behind at the target."""
        if isinstance(message, (AnswerEnded, AttemptFailed)):
            view = self._view()
            if view is not None:
                await self._link.tell(view)
        await super().post(message)


class LocalPoster:
    """Posts to the other end in this process."""

    def __init__(self) -> None:
        self.other: FrontStream | GuardStream | None = None

    async def post(self, message: Any) -> None:
        """Deliver a message."""
        if self.other is not None:
            await self.other.deliver(message)

    def close(self) -> None:
        """Forget the other end."""
        self.other = None


class CreditGate:
    """Makes a sender wait until the receiver can take more."""

    def __init__(self, credit: int) -> None:
        self._credit = credit
        self._changed = curio.Event()
        self._is_closed = False

    async def take(self, size: int) -> None:
        """Wait for credit and use it; a piece may overdraw it once.

        Raises:
            AttemptError: If the gate is closed.
        """
        while self._credit <= 0 and not self._is_closed:
            self._changed.clear()
            await self._changed.wait()
        if self._is_closed:
            raise AttemptError(
                ErrorCode.ATTEMPT_CANCELLED, "nobody takes the body any more"
            )
        self._credit -= size

    async def grant(self, size: int) -> None:
        """Give credit."""
        self._credit += size
        await self._changed.set()

    async def close(self) -> None:
        """Wake the sender for good."""
        self._is_closed = True
        await self._changed.set()


class FrontStream:
    """The front's end: sends the request's body and receives the answer."""

    def __init__(self, poster: Poster, window: int) -> None:
        self._poster = poster
        self._window = window
        self._events = curio.Queue()
        self._taken_in = 0
        self.body_gate = CreditGate(0)
        self._is_over = False

    def bind(self, poster: Poster) -> None:
        """Set the way to the other end, now that it is known."""
        self._poster = poster

    @property
    def has_more(self) -> bool:
        """Whether another part of the answer is here already."""
        return not self._events.empty()

    async def send_body(self, data: bytes) -> None:
        """Send a piece of the request's body; waits while the guard is slow."""
        await self.body_gate.take(len(data))
        await self._poster.post(BodySent(data))

    async def wait_for_body_credit(self) -> None:
        """Wait until the guard has begun the exchange and wants the body."""
        await self.body_gate.take(0)

    async def end_body(self) -> None:
        """Say that the request's body is whole."""
        await self._poster.post(BodyEnded())

    async def receive(self) -> AnswerEvent:
        """Wait for the next part of the answer."""
        event = await self._events.get()
        if isinstance(event, AnswerContinued):
            await self._give_credit(len(event.data))
        elif isinstance(event, (AnswerEnded, AttemptFailed)):
            self._close()
        return event

    async def cancel(self) -> None:
        """Give up the attempt; idempotent, and harmless after its end."""
        if self._is_over:
            return
        try:
            await self._poster.post(AttemptCancelled())
        except FleetError as error:
            # The guard notices the lost link by itself.
            _LOG.debug("CancelUndelivered", extra={"why": error.detail})
        finally:
            self._close()

    async def deliver(self, message: Any) -> None:
        """Take in a message of the guard."""
        if isinstance(message, CreditGranted):
            await self.body_gate.grant(message.size)
            return
        if isinstance(message, (AnswerEnded, AttemptFailed)):
            await self.body_gate.close()
        await self._events.put(message)

    async def handle_link_loss(self) -> None:
        """Take in that the link is gone."""
        failed = AttemptFailed(
            ErrorCode.PEER_LOST, "the link to the guard broke", Verdict.MAY_HAVE_RUN
        )
        await self.deliver(failed)

    def _close(self) -> None:
        self._is_over = True
        self._poster.close()

    async def _give_credit(self, size: int) -> None:
        self._taken_in += size
        if self._taken_in * _CREDIT_SHARE < self._window:
            return
        granted, self._taken_in = self._taken_in, 0
        try:
            await self._poster.post(CreditGranted(granted))
        except FleetError as error:
            # The answer's end tells of the lost link.
            _LOG.debug("CreditUndelivered", extra={"why": error.detail})


class GuardStream:
    """The guard's end: receives the request's body and sends the answer."""

    def __init__(self, poster: Poster, window: int) -> None:
        self._poster = poster
        self._window = window
        self._body = curio.Queue()
        self._taken_in = 0
        self._answer_gate = CreditGate(window)
        self.is_abandoned = False
        """Whether the front gave up or the link to it is lost."""
        self.is_link_lost = False
        self.on_abandoned: Callable[[], Awaitable[None]] | None = None
        """Called once when the exchange is abandoned."""

    async def open_body(self) -> None:
        """Ask for the body, now that the exchange begins."""
        await self._poster.post(CreditGranted(self._window))

    async def receive(self) -> bytes | None:
        """Return the next piece of the body, or None at its end.

        Raises:
            AttemptError: If the front gave up.
        """
        message = await self._body.get()
        if isinstance(message, BodySent):
            await self._give_credit(len(message.data))
            return message.data
        if isinstance(message, BodyEnded):
            return None
        raise AttemptError(
            ErrorCode.ATTEMPT_CANCELLED, "the body broke off", Verdict.MAY_HAVE_RUN
        )

    async def send(self, event: AnswerEvent) -> None:
        """Pass on a part of the answer; waits while the front is slow.

        Raises:
            AttemptError: If the front gave up or the link is lost.
        """
        if isinstance(event, AnswerContinued):
            await self._answer_gate.take(len(event.data))
        await self._poster.post(event)
        if isinstance(event, (AnswerEnded, AttemptFailed)):
            self._poster.close()

    async def deliver(self, message: Any) -> None:
        """Take in a message of the front."""
        if isinstance(message, CreditGranted):
            await self._answer_gate.grant(message.size)
        elif isinstance(message, AttemptCancelled):
            await self._abandon()
        else:
            await self._body.put(message)

    async def handle_link_loss(self) -> None:
        """Take in that the link is gone."""
        self.is_link_lost = True
        await self._abandon()

    async def _abandon(self) -> None:
        if self.is_abandoned:
            return
        self.is_abandoned = True
        self._poster.close()
        await self._answer_gate.close()
        await self._body.put(AttemptCancelled())
        if self.on_abandoned is not None:
            await self.on_abandoned()

    async def _give_credit(self, size: int) -> None:
        self._taken_in += size
        if self._taken_in * _CREDIT_SHARE >= self._window:
            granted, self._taken_in = self._taken_in, 0
            await self._poster.post(CreditGranted(granted))


def join_locally(window: int) -> tuple[FrontStream, GuardStream]:
    """Make both ends of an exchange within this process.

    Args:
        window: Body bytes under way without credit.

    Returns:
        The front's end and the guard's end.
    """
    to_guard, to_front = LocalPoster(), LocalPoster()
    front, guard = FrontStream(to_guard, window), GuardStream(to_front, window)
    to_guard.other, to_front.other = guard, front
    return front, guard
