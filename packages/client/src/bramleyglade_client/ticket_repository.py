"""Loading of ticket files, and tickets in the object store."""

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

_READS_AFTER_LOST_ANSWER = 5
_READ_BACK_DELAY_SECONDS = 0.3
MAX_TICKET_BYTES = 900_000
"""Maximum size of an encoded ticket. The store accepts values up to one megabyte."""


class TicketConflict(BadInput):
    """A different ticket with the same number has been accepted."""


@dataclass(frozen=True, slots=True)
class TicketOutcome:
    """The result of applying a ticket."""

    ticket: Ticket
    changes: tuple[EntityChange, ...]
    """Empty if the ticket is repeated."""
    is_repeated: bool
    """True if the same ticket has already been accepted."""


def load_ticket(path: str) -> Ticket:
    """Load a ticket file, which is JSON with comments.

    Raises:
        BadInput: If the file can't be read or is invalid; the detail names the
            file, and the line or path of each error.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        return from_commented_json(Ticket, text, ErrorCode.BAD_TICKET)
    except (OSError, UnicodeDecodeError) as error:
        raise BadInput(ErrorCode.BAD_TICKET, f"{path}: {error}") from None
    except BadInput as error:
        raise BadInput(error.code, f"{path}: {error.detail}") from None


class TicketRepository:
    """Reads, checks and applies tickets in the store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def tickets(self) -> list[Ticket]:
        """Return all accepted tickets, sorted by number."""
        listing = await self._store.list_changed(TICKET_PREFIX, 0)
        return sorted(
            (read_ticket(stored) for stored in listing.objects),
            key=lambda ticket: ticket.number,
        )

    async def configuration(self) -> Configuration:
        """Return the configuration that results from all accepted tickets."""
        configuration = EMPTY_CONFIGURATION
        for ticket in await self.tickets():
            configuration = configuration.merged(ticket.states())
        return configuration

    async def find(self, number: int) -> Ticket | None:
        """Return the accepted ticket with a number, or None."""
        stored = await self._store.read(ticket_key(number))
        return read_ticket(stored) if stored is not None else None

    async def check(self, ticket: Ticket) -> list[EntityChange]:
        """Validate a ticket and return what it would change.

        Raises:
            BadInput: If the ticket is invalid; the detail lists all problems.
        """
        configuration = await self.configuration()
        problems = find_problems(configuration, ticket)
        if problems:
            detail = "; ".join(str(problem) for problem in problems)
            raise BadInput(ErrorCode.BAD_TICKET, detail)
        if len(to_json(ticket)) > MAX_TICKET_BYTES:
            raise BadInput(ErrorCode.BAD_TICKET, "the ticket is too large; split it")
        return list_changes(configuration, ticket)

    async def apply(self, ticket: Ticket) -> TicketOutcome:
        """Apply a ticket once, however often it is submitted.

        Of tickets with the same number, the first one written is accepted. Any
        other one is a conflict, unless it is identical. If the answer to the write
        is lost, the ticket is read back to determine whether it was written.

        Raises:
            BadInput: If the ticket is invalid.
            TicketConflict: If a different ticket has the number.
            StoreError: If the store is unavailable or the outcome is unknown.
        """
        existing = await self.find(ticket.number)
        if existing is not None:
            return _match_existing(ticket, existing)
        changes = tuple(await self.check(ticket))
        try:
            await self._store.create(ticket_key(ticket.number), to_json(ticket))
        except VersionConflict:
            return _match_existing(ticket, await self.find(ticket.number))
        except StoreAnswerLost as error:
            existing = await self._read_back(ticket.number, error)
            return _match_existing(ticket, existing)
        return TicketOutcome(ticket, changes, is_repeated=False)

    async def _read_back(self, number: int, loss: StoreAnswerLost) -> Ticket:
        """Read a ticket back after the answer to its write was lost.

        Raises:
            StoreAnswerLost: If the ticket does not appear in the store.
        """
        for _ in range(_READS_AFTER_LOST_ANSWER):
            existing = await self.find(number)
            if existing is not None:
                return existing
            await curio.sleep(_READ_BACK_DELAY_SECONDS)
        raise loss


def _match_existing(ticket: Ticket, existing: Ticket | None) -> TicketOutcome:
    if existing == ticket:
        return TicketOutcome(ticket, (), is_repeated=True)
    raise TicketConflict(
        ErrorCode.TICKET_CONFLICT,
        f"number {ticket.number} belongs to a different ticket",
    )
