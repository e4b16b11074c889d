"""Decoding of JSON from other processes, which may be odd in any way."""

from __future__ import annotations

import json
import math
from typing import Any

import ijson
from ijson.backends import python as iterative_json

_MAX_INTEGER_DIGITS = 30
"""Digits of the largest integer that is decoded as one; no field needs more."""

_MAX_DEPTH = 100
"""Levels of nesting that a usable document may have."""


def load_json(data: bytes) -> Any:
    """Decode JSON; an integer with too many digits becomes an infinity.

    Raises:
        ValueError: If the data is not JSON or is nested too deeply.
    """
    try:
        return json.loads(data, parse_int=_parse_integer)
    except RecursionError:
        raise ValueError("the document is nested too deeply") from None


def load_json_page(data: bytes) -> Any:
    """Decode a JSON object with lists of items, any of which may be nested too deeply.

    Returns:
        The object; None stands for each item that is nested too deeply.

    Raises:
        ValueError: If the data is not JSON.
    """
    try:
        return json.loads(data, parse_int=_parse_integer)
    except RecursionError:
        return _load_without_deep_items(data)


def _parse_integer(text: str) -> int | float:
    return int(text) if len(text) <= _MAX_INTEGER_DIGITS else math.inf


def _load_without_deep_items(data: bytes) -> Any:
    builder = _Builder()
    try:
        for event, value in iterative_json.basic_parse(data, use_float=True):
            builder.add(event, value)
    except ijson.JSONError as error:
        raise ValueError(str(error)) from None
    return builder.root


class _Builder:
    """Builds a document from events and drops items that are nested too deeply."""

    _ITEM_LEVEL = 2
    """Level of the items: the document is at 0 and its lists are at 1."""

    def __init__(self) -> None:
        self.root: Any = None
        self._open: list[Any] = []
        self._keys: list[str] = []
        self._depth = 0
        self._is_item_dropped = False

    def add(self, event: str, value: Any) -> None:
        if event in ("start_map", "start_array"):
            self._begin({} if event == "start_map" else [])
        elif event in ("end_map", "end_array"):
            self._end()
        elif not self._is_item_dropped:
            if event == "map_key":
                self._keys[-1] = value
            else:
                self._put(value)

    def _begin(self, container: Any) -> None:
        if self._depth >= _MAX_DEPTH:
            self._is_item_dropped = True
        if not self._is_item_dropped:
            self._put(container)
            self._open.append(container)
            self._keys.append("")
        self._depth += 1

    def _end(self) -> None:
        self._depth -= 1
        if not self._is_item_dropped:
            self._open.pop()
            self._keys.pop()
        elif self._depth == self._ITEM_LEVEL:
            del self._open[self._ITEM_LEVEL :]
            del self._keys[self._ITEM_LEVEL :]
            self._is_item_dropped = False
            if isinstance(self._open[-1], list):
                self._open[-1][-1] = None
            else:
                self._open[-1][self._keys[-1]] = None

    def _put(self, value: Any) -> None:
        if not self._open:
            self.root = value
        elif isinstance(self._open[-1], list):
            self._open[-1].append(value)
        else:
            self._open[-1][self._keys[-1]] = value
