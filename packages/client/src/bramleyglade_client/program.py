"""The `bramleyglade` command-line program."""

from __future__ import annotations

import json
import os
import sys
from typing import TYPE_CHECKING, Any, TypeVar

import curio
import fire

from bramleyglade_adapters.http.simple_client import (
    AnswerLost,
    RequestNotSent,
    SimpleClient,
)
from bramleyglade_adapters.store.http_store import HttpStore
from bramleyglade_client.output import render
from bramleyglade_client.ticket_making import (
    grant_key,
    make_ticket,
    new_key,
    set_zone_in_use,
    withdraw_key,
)
from bramleyglade_client.ticket_repository import (
    TicketConflict,
    TicketRepository,
    load_ticket,
)
from bramleyglade_core.decisions.admission import hash_key
from bramleyglade_core.model.errors import ErrorCode, FleetError, StoreError
from bramleyglade_core.model.identifiers import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from bramleyglade_core.decisions.configuration import Configuration
    from bramleyglade_core.model.entities import Team, Zone
    from bramleyglade_core.model.tickets import Ticket

Result = TypeVar("Result")

EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4

_DEFAULT_STORE = "127.0.0.1:7070"


class _CommandGroup:
    """Base class of command groups, with the store's address and the output style."""

    def __init__(self, store: str, output: str) -> None:
        self._store = store
        self._output = output

    def _with_repository(
        self, operation: Callable[[TicketRepository], Coroutine[Any, Any, Result]]
    ) -> Result:
        async def run() -> Result:
            store = HttpStore(Address.parse(self._store))
            try:
                return await operation(TicketRepository(store))
            finally:
                await store.close()

        return curio.run(run)

    def _print(self, values: list[Any]) -> None:
        print(render(values, self._output))

    def _configuration(self) -> Configuration:
        return self._with_repository(lambda repository: repository.configuration())

    def _apply(self, ticket: Ticket) -> None:
        outcome = self._with_repository(lambda repository: repository.apply(ticket))
        state = "accepted before" if outcome.is_repeated else "accepted"
        print(f"ticket {ticket.number} {state}", file=sys.stderr)
        self._print(list(outcome.changes))

    def _apply_entity(
        self, entity: Team | Zone, number: int | None, summary: str
    ) -> None:
        ticket = make_ticket(self._configuration(), number, entity, summary)
        self._apply(ticket)


class TicketCommands(_CommandGroup):
    """Manage change tickets, which are files in JSON with comments."""

    def apply(self, file: str, dry_run: bool = False) -> None:
        """Apply a ticket; applying the same ticket again also succeeds.

        Args:
            file: The ticket file.
            dry_run: Only show what the ticket would change.
        """
        if dry_run:
            self.diff(file)
            return
        self._apply(load_ticket(file))

    def validate(self, file: str) -> None:
        """Validate a ticket against the configuration in the store.

        Args:
            file: The ticket file.
        """
        ticket = load_ticket(file)
        self._with_repository(lambda repository: repository.check(ticket))
        print(f"ticket {ticket.number} is valid", file=sys.stderr)

    def diff(self, file: str) -> None:
        """Show what a ticket would change.

        Args:
            file: The ticket file.
        """
        ticket = load_ticket(file)
        self._print(self._with_repository(lambda repository: repository.check(ticket)))

    def show(self, number: int) -> None:
        """Show an accepted ticket.

        Args:
            number: Number of the ticket.
        """
        ticket = self._with_repository(lambda repository: repository.find(number))
        if ticket is None:
            raise FleetError(ErrorCode.BAD_TICKET, f"there is no ticket {number}")
        self._print([ticket, *ticket.entities])

    def list(self) -> None:
        """List all accepted tickets."""
        self._print([*self._with_repository(lambda repository: repository.tickets())])


class KeyCommands(_CommandGroup):
    """Manage the keys of teams; each change is a ticket."""

    def new(self) -> None:
        """Generate a key and its hash locally; nothing is sent."""
        key = new_key()
        self._print([{"key": key, "hash": hash_key(key)}])

    def grant(self, team: str, key: str = "", number: int | None = None) -> None:
        """Grant a key to a team and print it.

        Args:
            team: Name of the team.
            key: The key to grant; a new one is generated if left out.
            number: Number of the ticket; the next free one if left out.
        """
        key = str(key) or new_key()
        changed = grant_key(self._configuration(), team, key)
        self._apply_entity(changed, number, f"grant a key to team {team}")
        print(f"key: {key}", file=sys.stderr)

    def withdraw(self, team: str, key_hash: str, number: int | None = None) -> None:
        """Withdraw a key from a team.

        Args:
            team: Name of the team.
            key_hash: Hash of the key, or an unambiguous prefix of it.
            number: Number of the ticket; the next free one if left out.
        """
        changed = withdraw_key(self._configuration(), team, str(key_hash))
        self._apply_entity(changed, number, f"withdraw a key of team {team}")


class ZoneCommands(_CommandGroup):
    """Manage availability zones; each change is a ticket."""

    def out(self, zone: str, number: int | None = None) -> None:
        """Take a zone out of use, so that it gets no new requests.

        Args:
            zone: Name of the zone.
            number: Number of the ticket; the next free one if left out.
        """
        changed = set_zone_in_use(self._configuration(), zone, in_use=False)
        self._apply_entity(changed, number, f"take zone {zone} out")

    def bring_in(self, zone: str, number: int | None = None) -> None:
        """Bring a zone back into use; also available as `zone in`.

        Args:
            zone: Name of the zone.
            number: Number of the ticket; the next free one if left out.
        """
        changed = set_zone_in_use(self._configuration(), zone, in_use=True)
        self._apply_entity(changed, number, f"bring zone {zone} back")


class Commands(_CommandGroup):
    """Operate a bramleyglade fleet.

    Groups: `ticket apply|validate|diff FILE`, `ticket show NUMBER`, `ticket
    list`, `key new`, `key grant TEAM`, `key withdraw TEAM HASH`, `zone out
    ZONE` and `zone in ZONE`; each has its own `--help`. Start with
    `bramleyglade ticket diff FILE`, which changes nothing.

    Set the store's address with `--store` or BRAMLEYGLADE_STORE, and the output
    style with `--output` (table or json). Exit codes: 0 success, 2 bad input,
    3 conflict, 4 store or daemon unavailable.
    """

    def __init__(self, store: str = "", output: str = "table") -> None:
        address = store or os.environ.get("BRAMLEYGLADE_STORE", _DEFAULT_STORE)
        super().__init__(address, output)
        self.ticket = TicketCommands(address, output)
        self.key = KeyCommands(address, output)
        self.zone = ZoneCommands(address, output)

    def services(self) -> None:
        """List the services."""
        self._print([*self._configuration().service_by_name.values()])

    def teams(self) -> None:
        """List the teams; only the hashes of their keys are stored."""
        self._print([*self._configuration().team_by_name.values()])

    def zones(self) -> None:
        """List the availability zones."""
        self._print([*self._configuration().zone_by_name.values()])

    def routes(self) -> None:
        """List the routes."""
        self._print([*self._configuration().route_by_name.values()])

    def status(self, daemon: str) -> None:
        """Show the status that a daemon reports.

        Args:
            daemon: The daemon's announce address, as host:port.
        """
        self._print([self._ask_daemon(daemon, "/v1/status")])

    def targets(self, daemon: str) -> None:
        """List the targets on a daemon's VM with their load and health.

        Args:
            daemon: The daemon's announce address, as host:port.
        """
        self._print([*self._ask_daemon(daemon, "/v1/targets")])

    def _ask_daemon(self, daemon: str, path: str) -> Any:
        async def ask() -> Any:
            client = SimpleClient(Address.parse(daemon))
            try:
                return json.loads((await client.request("GET", path)).body)
            except (RequestNotSent, AnswerLost) as error:
                raise StoreError(ErrorCode.PEER_LOST, f"{daemon}: {error}") from None
            finally:
                await client.close()

        return curio.run(ask)


def main() -> None:
    """Run the program with the command-line arguments."""
    # `in` is a Python keyword, so the method has another name.
    arguments = ["bring_in" if a == "in" else a for a in sys.argv[1:]]
    try:
        fire.Fire(Commands, command=arguments, name="bramleyglade")
    except TicketConflict as error:
        _exit(error, EXIT_CONFLICT)
    except StoreError as error:
        _exit(error, EXIT_UNAVAILABLE)
    except (FleetError, ValueError) as error:
        _exit(error, EXIT_BAD_INPUT)


def _exit(error: Exception, status: int) -> None:
    print(f"bramleyglade: {error}", file=sys.stderr)
    sys.exit(status)


if __name__ == "__main__":
    main()
