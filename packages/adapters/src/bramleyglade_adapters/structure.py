"""Frozen data classes to and from plain JSON values, with the place of each error."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import cattrs
import pyjson5
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn

from bramleyglade_core.model.entities import (
    KIND_BY_TYPE,
    Entity,
    EntityKey,
)
from bramleyglade_core.model.errors import BadInput, ErrorCode
from bramleyglade_core.model.identifiers import Address

Structured = TypeVar("Structured")

_TYPE_BY_KIND = {kind: cls for cls, kind in KIND_BY_TYPE.items()}


def _strict(kind: type) -> Any:
    def structure(value: Any, _: Any) -> Any:
        is_number = kind is float and type(value) is int
        if type(value) is not kind and not is_number:
            raise ValueError(f"expected {kind.__name__}, got {value!r}")
        return kind(value)

    return structure


def _structure_address(value: Any, _: Any) -> Address:
    if not isinstance(value, str):
        raise ValueError(f"expected host:port, got {value!r}")
    return Address.parse(value)


def _structure_key(value: Any, _: Any) -> EntityKey:
    kind, _separator, name = str(value).partition("/")
    if kind not in _TYPE_BY_KIND or not name:
        raise ValueError(f"expected kind/name, got {value!r}")
    return EntityKey(kind, name)


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)
    for kind in (int, float, str, bool):
        converter.register_structure_hook(kind, _strict(kind))
    converter.register_structure_hook(Address, _structure_address)
    converter.register_unstructure_hook(Address, str)
    converter.register_structure_hook(EntityKey, _structure_key)
    converter.register_unstructure_hook(EntityKey, str)
    converter.register_structure_hook(Entity, _entity)
    # A union with None is another type, which cattrs would tell apart by fields.
    converter.register_structure_hook(Entity | None, _optional_entity)
    for cls in KIND_BY_TYPE:
        plain: Any = make_dict_unstructure_fn(cls, converter)
        converter.register_unstructure_hook(cls, _with_kind(plain, KIND_BY_TYPE[cls]))
    return converter


def _with_kind(plain: Any, kind: str) -> Any:
    return lambda entity: {"kind": kind, **plain(entity)}


def _entity(value: Any, _: Any) -> Entity:
    if not isinstance(value, dict) or value.get("kind") not in _TYPE_BY_KIND:
        raise ValueError(f"kind must be one of {sorted(_TYPE_BY_KIND)}")
    fields = {name: field for name, field in value.items() if name != "kind"}
    return _STRUCTURE_BY_KIND[value["kind"]](fields, _TYPE_BY_KIND[value["kind"]])


def _optional_entity(value: Any, kind: Any) -> Entity | None:
    return None if value is None else _entity(value, kind)


_CONVERTER = _make_converter()
_STRUCTURE_BY_KIND: dict[str, Any] = {
    kind: make_dict_structure_fn(cls, _CONVERTER, _cattrs_forbid_extra_keys=True)
    for kind, cls in _TYPE_BY_KIND.items()
}


def to_plain(value: Any) -> Any:
    """Turn a data class into plain JSON values."""
    return _CONVERTER.unstructure(value)


def from_plain(cls: type[Structured], value: Any, code: ErrorCode) -> Structured:
    """Turn plain JSON values into a data class.

    Args:
        cls: The class wanted.
        value: Plain values, as read from JSON.
        code: Code of the error if they do not fit.

    Returns:
        The data class.

    Raises:
        BadInput: Naming the path of each value that does not fit.
    """
    try:
        return _CONVERTER.structure(value, cls)
    except cattrs.BaseValidationError as error:
        details = cattrs.transform_error(error, path="$", format_exception=_describe)
        raise BadInput(code, "; ".join(details)) from None
    except (ValueError, TypeError, KeyError) as error:
        raise BadInput(code, f"{_describe(error, cls)} @ $") from None


def _describe(error: BaseException, _: type | None) -> str:
    if isinstance(error, KeyError):
        return f"required field {error.args[0]!r} is missing"
    if isinstance(error, cattrs.ForbiddenExtraKeysError):
        return f"unknown fields {sorted(error.extra_fields)}"
    return str(error)


def to_json(value: Any) -> bytes:
    """Encode a data class as compact JSON."""
    return json.dumps(to_plain(value), separators=(",", ":")).encode()


def from_json(cls: type[Structured], data: bytes, code: ErrorCode) -> Structured:
    """Decode JSON into a data class.

    Raises:
        BadInput: If the text is no JSON or does not fit.
    """
    try:
        plain = json.loads(data)
    except ValueError as error:
        raise BadInput(code, f"not JSON: {error}") from None
    return from_plain(cls, plain, code)


def from_commented_json(
    cls: type[Structured], text: str, code: ErrorCode
) -> Structured:
    """Decode JSON with comments into a data class.

    Raises:
        BadInput: Naming the line of an error in the text, or the path of a value.
    """
    try:
        plain = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise BadInput(code, _place_in_text(error, text)) from None
    return from_plain(cls, plain, code)


def _place_in_text(error: Exception, text: str) -> str:
    message = str(error.args[0]) if error.args else str(error)
    _, _, position = message.rpartition("near ")
    digits = position.split(",")[0].strip()
    if not digits.isdigit():
        return message
    before = text[: int(digits)]
    line = before.count("\n") + 1
    column = len(before) - (before.rfind("\n") + 1)
    return f"line {line}, column {column}: {message}"
