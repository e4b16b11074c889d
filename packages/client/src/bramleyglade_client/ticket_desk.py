"""Reading, checking and applying tickets against the store."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import curio

from bramleyglade_adapters.store.shared_objects import (
    TICKET_PREFIX,
    read_ticket,
    ticket_key,
)
from bramleyglade_adapters.structure import from_commented_json, to_json
from bramleyglade_core.decisions.configuration import EMPTY_CONFIGURATION
from bramleyglade_core.decisions.ticket_check import (
    EntityChange,
    find_problems,
    list_changes,
)
from bramleyglade_core.model.errors import (
    BadInput,
    ErrorCode,
    StoreAnswerLost,
    VersionConflict,
)
from bramleyglade_core.model.tickets import Ticket

if TYPE_CHECKING:
    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.ports.store import ObjectStore

_LOOKS_AFTER_LOSS = 5
_LOOK_PAUSE_SECONDS = 0.3
MAX_TICKET_BYTES = 900_000
"""Largest ticket; the store takes values up to a megabyte."""


class TicketConflict(BadInput):
    """The number belongs to another ticket."""


@dataclass(frozen=True, slots=True)
class TicketOutcome:
    """What an applied ticket did."""

    ticket: Ticket
    changes: tuple[EntityChange, ...]
    is_repeated: bool
    """True if the same ticket had been accepted before."""


def load_ticket(path: str) -> Ticket:
    """Read a ticket file, JSON with comments.

    Raises:
        BadInput: Naming the file, and the line or path of each error.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        return from_commented_json(Ticket, text, ErrorCode.BAD_TICKET)
    except (OSError, UnicodeDecodeError) as error:
        raise BadInput(ErrorCode.BAD_TICKET, f"{path}: {error}") from None
    except BadInput as error:
        raise BadInput(error.code, f"{path}: {error.detail}") from None


class TicketDesk:
    """Tickets in the store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def tickets(self) -> list[Ticket]:
        """Return all accepted tickets, by number."""
        listing = await self._store.list_changed(TICKET_PREFIX, 0)
        return sorted(
            (read_ticket(stored) for stored in listing.objects),
            key=lambda ticket: ticket.number,
        )

    async def configuration(self) -> Configuration:
        """Return the configuration that all accepted tickets leave."""
        configuration = EMPTY_CONFIGURATION
        for ticket in await self.tickets():
            configuration = configuration.merged(ticket.states())
        return configuration

    async def find(self, number: int) -> Ticket | None:
        """Return an accepted ticket, or None."""
        stored = await self._store.read(ticket_key(number))
        return read_ticket(stored) if stored is not None else None

    async def check(self, ticket: Ticket) -> list[EntityChange]:
        """Check a ticket and say what it would change.

        Raises:
            BadInput: Listing all problems.
        """
        configuration = await self.configuration()
        found = find_problems(configuration, ticket)
        if found:
            detail = "; ".join(str(problem) for problem in found)
            raise BadInput(ErrorCode.BAD_TICKET, detail)
        if len(to_json(ticket)) > MAX_TICKET_BYTES:
            raise BadInput(ErrorCode.BAD_TICKET, "the ticket is too large; split it")
        return list_changes(configuration, ticket)

    async def apply(self, ticket: Ticket) -> TicketOutcome:
        """Have a ticket accepted, once.

        The number decides races: a taken number is a conflict, unless the
        ticket is the same. A lost answer is settled by reading again.

        Raises:
            BadInput: If the ticket is not valid.
            TicketConflict: If the number belongs to another ticket.
            StoreError: If the store can't tell.
        """
        known = await self.find(ticket.number)
        if known is not None:
            return _compare(ticket, known)
        changes = tuple(await self.check(ticket))
        try:
            await self._store.create(ticket_key(ticket.number), to_json(ticket))
        except VersionConflict:
            return _compare(ticket, await self.find(ticket.number))
        except StoreAnswerLost as error:
            known = await self._look_again(ticket.number, error)
            return _compare(ticket, known)
        return TicketOutcome(ticket, changes, is_repeated=False)

    async def _look_again(self, number: int, loss: StoreAnswerLost) -> Ticket:
        """Find out whether a write whose answer was lost took effect."""
        for _ in range(_LOOKS_AFTER_LOSS):
            known = await self.find(number)
            if known is not None:
                return known
            await curio.sleep(_LOOK_PAUSE_SECONDS)
        raise loss


def _compare(ticket: Ticket, known: Ticket | None) -> TicketOutcome:
    if known == ticket:
        return TicketOutcome(ticket, (), is_repeated=True)
    raise TicketConflict(
        ErrorCode.TICKET_CONFLICT, f"number {ticket.number} belongs to another ticket"
    )
