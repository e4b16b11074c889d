"""Tests that the examples are valid and that settings errors name their location."""

from __future__ import annotations

from pathlib import Path

import curio
import pytest

from bramleyglade_adapters.settings_file import load_settings
from bramleyglade_client.ticket_repository import TicketRepository, load_ticket
from bramleyglade_core.model.errors import BadInput, ErrorCode
from bramleyglade_standins.memory_store import MemoryStore

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.mark.parametrize("site", ["van-der-heijden", "trentvale"])
def test_example_settings_and_ticket_are_valid(site):
    async def apply():
        ticket = load_ticket(str(EXAMPLES / site / "ticket-1.jsonc"))
        outcome = await TicketRepository(MemoryStore()).apply(ticket)
        return len(ticket.entities), len(outcome.changes)

    settings = load_settings(str(EXAMPLES / site / "daemon.jsonc"))
    assert settings.seed_peers
    entities, changes = curio.run(apply)
    assert entities == changes


def test_example_ticket_that_takes_a_zone_out_changes_only_that_zone():
    async def apply():
        repository = TicketRepository(MemoryStore())
        first = load_ticket(str(EXAMPLES / "van-der-heijden" / "ticket-1.jsonc"))
        await repository.apply(first)
        return await repository.apply(load_ticket(str(EXAMPLES / "zone-out.jsonc")))

    assert [str(change.key) for change in curio.run(apply).changes] == ["zone/ams-b"]


@pytest.mark.parametrize(
    ("text", "location"),
    [
        ('{"name": "a"', "line 1"),
        ('{"name": 5}', "$.name"),
        ('{"name": "a", "zone": "z", "colour": 1}', "colour"),
        ('{"peer_address": "10.0.0.1"}', "host:port"),
        ('{"limits": {"shards": 0}}', "shards"),
        ('{"telemetry": {"exporter": "paper"}}', "exporter"),
    ],
)
def test_settings_error_names_the_location(tmp_path, text, location):
    path = tmp_path / "daemon.jsonc"
    path.write_text(text)
    with pytest.raises(BadInput) as caught:
        load_settings(str(path))
    assert caught.value.code is ErrorCode.BAD_SETTINGS
    assert location in caught.value.detail
    assert str(path) in caught.value.detail
