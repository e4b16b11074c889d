"""Rendering of results as a table or as JSON."""

from __future__ import annotations

import json
from functools import singledispatch
from typing import Any

from bramleyglade_adapters.structure import to_plain
from bramleyglade_core.decisions.ticket_check import EntityChange
from bramleyglade_core.model.tickets import Ticket


@singledispatch
def row_of(value: object) -> dict[str, Any]:
    """Convert a value to a table row, which maps column names to values."""
    return value if isinstance(value, dict) else to_plain(value)


@row_of.register
def _(value: EntityChange) -> dict[str, Any]:
    change = "changed"
    if value.before is None:
        change = "added"
    elif value.after is None:
        change = "removed"
    return {
        "entity": str(value.key),
        "change": change,
        "before": to_plain(value.before) if value.before else None,
        "after": to_plain(value.after) if value.after else None,
    }


@row_of.register
def _(value: Ticket) -> dict[str, Any]:
    touched = [str(state.key) for state in value.states()]
    return {"number": value.number, "summary": value.summary, "touches": touched}


def render(values: list[Any], style: str) -> str:
    """Render values as text.

    Args:
        values: Rows, or values that `row_of` converts to rows.
        style: `json` for a JSON array, `table` for aligned columns.

    Returns:
        The text to print.
    """
    rows = [row_of(value) for value in values]
    if style == "json":
        return json.dumps(rows, indent=2)
    return _table(rows)


def _table(rows: list[dict[str, Any]]) -> str:
    if not rows:
        return "(none)"
    columns = list(dict.fromkeys(name for row in rows for name in row))
    cells = [[_cell(row.get(name)) for name in columns] for row in rows]
    by_column = zip(columns, *cells, strict=True)
    widths = [max(len(cell) for cell in column) for column in by_column]
    lines = [_line(columns, widths)]
    lines += [_line(row, widths) for row in cells]
    return "\n".join(lines)


def _line(cells: list[str], widths: list[int]) -> str:
    padded = [c.ljust(w) for c, w in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()


def _cell(value: object) -> str:
    if value is None:
        return "-"
    if isinstance(value, (dict, list)):
        return json.dumps(value, separators=(",", ":"))
    return str(value)
