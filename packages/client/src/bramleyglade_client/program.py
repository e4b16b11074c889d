"""The `bramleyglade` program."""

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
from bramleyglade_client.ticket_desk import TicketConflict, TicketDesk, load_ticket
from bramleyglade_client.ticket_making import (
    grant_key,
    make_ticket,
    new_key,
    set_zone,
    withdraw_key,
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


class _Shared:
    """What all groups of commands share: the store and the output style."""

    def __init__(self, store: str, output: str) -> None:
        self._store = store
        self._output = output

    def _with_desk(
        self, work: Callable[[TicketDesk], Coroutine[Any, Any, Result]]
    ) -> Result:
        async def run() -> Result:
            store = HttpStore(Address.parse(self._store))
            try:
                return await work(TicketDesk(store))
            finally:
                await store.close()

        return curio.run(run)

    def _print(self, values: list[Any]) -> None:
        print(render(values, self._output))

    def _configuration(self) -> Configuration:
        return self._with_desk(lambda desk: desk.configuration())

    def _apply(self, ticket: Ticket) -> None:
        outcome = self._with_desk(lambda desk: desk.apply(ticket))
        state = "accepted before" if outcome.is_repeated else "accepted"
        print(f"ticket {ticket.number} {state}", file=sys.stderr)
        self._print(list(outcome.changes))

    def _apply_entity(self, entity: Team | Zone, number: int | None, why: str) -> None:
        ticket = make_ticket(self._configuration(), number, entity, why)
        self._apply(ticket)


class TicketCommands(_Shared):
    """Change tickets: files in JSON with comments."""

    def apply(self, file: str, dry_run: bool = False) -> None:
        """Have a ticket accepted; the same ticket twice is a success.

        Args:
            file: The ticket file.
            dry_run: Only show what would change.
        """
        if dry_run:
            self.diff(file)
            return
        self._apply(load_ticket(file))

    def validate(self, file: str) -> None:
        """Check a ticket against the configuration in the store.

        Args:
            file: The ticket file.
        """
        ticket = load_ticket(file)
        self._with_desk(lambda desk: desk.check(ticket))
        print(f"ticket {ticket.number} is valid", file=sys.stderr)

    def diff(self, file: str) -> None:
        """Show what a ticket would change.

        Args:
            file: The ticket file.
        """
        ticket = load_ticket(file)
        self._print(self._with_desk(lambda desk: desk.check(ticket)))

    def show(self, number: int) -> None:
        """Show an accepted ticket.

        Args:
            number: The ticket's number.
        """
        ticket = self._with_desk(lambda desk: desk.find(number))
        if ticket is None:
            raise FleetError(ErrorCode.BAD_TICKET, f"there is no ticket {number}")
        self._print([ticket, *ticket.entities])

    def list(self) -> None:
        """List all accepted tickets."""
        self._print([*self._with_desk(lambda desk: desk.tickets())])


class KeyCommands(_Shared):
    """Keys of teams; each change is a ticket."""

    def new(self) -> None:
        """Make a key and its hash; nothing is sent anywhere."""
        key = new_key()
        self._print([{"key": key, "hash": hash_key(key)}])

    def grant(self, team: str, key: str = "", number: int | None = None) -> None:
        """Put a key in force, a new one if none is given, and print it.

        Args:
            team: Name of the team.
            key: The key.
            number: Number of the ticket; the next free one if left out.
        """
        key = str(key) or new_key()
        changed = grant_key(self._configuration(), team, key)
        self._apply_entity(changed, number, f"grant a key to team {team}")
        print(f"key: {key}", file=sys.stderr)

    def withdraw(self, team: str, key_hash: str, number: int | None = None) -> None:
        """Withdraw a key.

        Args:
            team: Name of the team.
            key_hash: The key's hash, or enough of its beginning.
            number: Number of the ticket; the next free one if left out.
        """
        changed = withdraw_key(self._configuration(), team, str(key_hash))
        self._apply_entity(changed, number, f"withdraw a key of team {team}")


class ZoneCommands(_Shared):
    """Availability zones; each change is a ticket."""

    def out(self, zone: str, number: int | None = None) -> None:
        """Take a zone out: it gets no new work.

        Args:
            zone: Name of the zone.
            number: Number of the ticket; the next free one if left out.
        """
        changed = set_zone(self._configuration(), zone, in_use=False)
        self._apply_entity(changed, number, f"take zone {zone} out")

    def bring_in(self, zone: str, number: int | None = None) -> None:
        """Bring a zone back; also spelt `zone in`.

        Args:
            zone: Name of the zone.
            number: Number of the ticket; the next free one if left out.
        """
        changed = set_zone(self._configuration(), zone, in_use=True)
        self._apply_entity(changed, number, f"bring zone {zone} back")


class Commands(_Shared):
    """Operate a bramleyglade fleet.

    Groups: `ticket apply|validate|diff FILE`, `ticket show NUMBER`, `ticket
    list`, `key new`, `key grant TEAM`, `key withdraw TEAM HASH`, `zone out
    ZONE` and `zone in ZONE`; each has `--help` of its own. Start with
    `bramleyglade ticket diff FILE`, which changes nothing.

    The store's address comes from `--store` or BRAMLEYGLADE_STORE, the output
    style from `--output` (table or json). Exit codes: 0 done, 2 bad input,
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
        """List the teams; of keys, only hashes are known."""
        self._print([*self._configuration().team_by_name.values()])

    def zones(self) -> None:
        """List the availability zones."""
        self._print([*self._configuration().zone_by_name.values()])

    def routes(self) -> None:
        """List the routes."""
        self._print([*self._configuration().route_by_name.values()])

    def status(self, daemon: str) -> None:
        """Show what a daemon says of itself.

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
    """Run the program with the arguments of the command line."""
    # `in` is a keyword of Python, so the command has another name inside.
    arguments = ["bring_in" if a == "in" else a for a in sys.argv[1:]]
    try:
        fire.Fire(Commands, command=arguments, name="bramleyglade")
    except TicketConflict as error:
        _leave(error, EXIT_CONFLICT)
    except StoreError as error:
        _leave(error, EXIT_UNAVAILABLE)
    except (FleetError, ValueError) as error:
        _leave(error, EXIT_BAD_INPUT)


def _leave(error: Exception, status: int) -> None:
    print(f"bramleyglade: {error}", file=sys.stderr)
    sys.exit(status)


if __name__ == "__main__":
    main()
