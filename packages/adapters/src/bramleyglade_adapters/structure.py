"""Conversion between frozen data classes and JSON; errors name their location."""

from __future__ import annotations

import json
from typing import Any, TypeVar

import cattrs
import pyjson5
from cattrs.gen import make_dict_structure_fn, make_dict_unstructure_fn, override

from bramleyglade_adapters.json_input import load_json
from bramleyglade_core.model.announcements import MemberRecord
from bramleyglade_core.model.entities import (
    KIND_BY_TYPE,
    Entity,
    EntityKey,
)
from bramleyglade_core.model.errors import BadInput, ErrorCode
from bramleyglade_core.model.identifiers import Address

Structured = TypeVar("Structured")

_TYPE_BY_KIND = {kind: cls for cls, kind in KIND_BY_TYPE.items()}


def _strict_hook(cls: type) -> Any:
    def structure(value: Any, _: Any) -> Any:
        is_number = cls is float and type(value) is int
        if type(value) is not cls and not is_number:
            raise ValueError(f"expected {cls.__name__}, got {value!r}")
        return cls(value)

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
    for primitive in (int, float, str, bool):
        converter.register_structure_hook(primitive, _strict_hook(primitive))
    converter.register_structure_hook(Address, _structure_address)
    converter.register_unstructure_hook(Address, str)
    converter.register_structure_hook(EntityKey, _structure_key)
    converter.register_unstructure_hook(EntityKey, str)
    converter.register_structure_hook(Entity, _structure_entity)
    # Without a hook of its own, cattrs would resolve this union by its fields.
    converter.register_structure_hook(Entity | None, _structure_optional_entity)
    # Daemons of a version without this field refuse records that have it.
    converter.register_unstructure_hook(
        MemberRecord,
        make_dict_unstructure_fn(
            MemberRecord, converter, runs=override(omit_if_default=True)
        ),
    )
    for cls in KIND_BY_TYPE:
        # Daemons of a version without this field refuse entities that have it.
        omitted: dict[str, Any] = {"regions": override(omit_if_default=True)}
        if not hasattr(cls, "regions"):
            omitted = {}
        unstructure: Any = make_dict_unstructure_fn(cls, converter, **omitted)
        converter.register_unstructure_hook(
            cls, _with_kind(unstructure, KIND_BY_TYPE[cls])
        )
    return converter


def _with_kind(unstructure: Any, kind: str) -> Any:
    return lambda entity: {"kind": kind, **unstructure(entity)}


def _structure_entity(value: Any, _: Any) -> Entity:
    if not isinstance(value, dict) or value.get("kind") not in _TYPE_BY_KIND:
        raise ValueError(f"kind must be one of {sorted(_TYPE_BY_KIND)}")
    fields = {name: field for name, field in value.items() if name != "kind"}
    return _STRUCTURE_BY_KIND[value["kind"]](fields, _TYPE_BY_KIND[value["kind"]])


def _structure_optional_entity(value: Any, cls: Any) -> Entity | None:
    return None if value is None else _structure_entity(value, cls)


_CONVERTER = _make_converter()
_STRUCTURE_BY_KIND: dict[str, Any] = {
    kind: make_dict_structure_fn(cls, _CONVERTER, _cattrs_forbid_extra_keys=True)
    for kind, cls in _TYPE_BY_KIND.items()
}


def to_plain(value: Any) -> Any:
    """Convert a data class to plain JSON values."""
    return _CONVERTER.unstructure(value)


def from_plain(cls: type[Structured], value: Any, code: ErrorCode) -> Structured:
    """Convert plain JSON values to a data class.

    Args:
        cls: The class to create.
        value: Plain values, as decoded from JSON.
        code: Error code to raise for invalid values.

    Returns:
        An instance of the class.

    Raises:
        BadInput: If values are invalid; the detail lists the path of each.
    """
    try:
        return _CONVERTER.structure(value, cls)
    except cattrs.BaseValidationError as error:
        details = cattrs.transform_error(
            error, path="$", format_exception=_describe_error
        )
        raise BadInput(code, "; ".join(details)) from None
    except (ValueError, TypeError, KeyError, OverflowError) as error:
        raise BadInput(code, f"{_describe_error(error, cls)} @ $") from None


def _describe_error(error: BaseException, _: type | None) -> str:
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
        BadInput: If the data is not JSON or does not match the class.
    """
    try:
        value = load_json(data)
    except ValueError as error:
        raise BadInput(code, f"not JSON: {error}") from None
    return from_plain(cls, value, code)


def from_commented_json(
    cls: type[Structured], text: str, code: ErrorCode
) -> Structured:
    """Decode JSON with comments into a data class.

    Raises:
        BadInput: If the text is invalid; the detail names the line of a syntax
            error, or the path of each invalid value.
    """
    try:
        value = pyjson5.decode(text)
    except pyjson5.Json5Exception as error:
        raise BadInput(code, _locate_error(error, text)) from None
    except RecursionError:
        raise BadInput(code, "the document is nested too deeply") from None
    return from_plain(cls, value, code)


def _locate_error(error: Exception, text: str) -> str:
    message = str(error.args[0]) if error.args else str(error)
    _, _, position = message.rpartition("near ")
    digits = position.split(",")[0].strip()
    if not digits.isdigit():
        return message
    before = text[: int(digits)]
    line = before.count("\n") + 1
    column = len(before) - (before.rfind("\n") + 1)
    return f"line {line}, column {column}: {message}"
