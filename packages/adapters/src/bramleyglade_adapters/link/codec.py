"""Encodes and decodes peer messages with Cap'n Proto.

Each message class has a struct of the same name and fields in `peer.capnp`. The
codecs are derived from both once, when the module is imported.
"""

from __future__ import annotations

import math
import struct
import types
import typing
from collections.abc import Callable
from dataclasses import dataclass, fields
from enum import Enum
from pathlib import Path
from typing import Any, Union

import capnp

from bramleyglade_core.model import (
    ejections,
    exchange,
    peer_messages,
    shares,
)
from bramleyglade_core.model.errors import BadInput, ErrorCode
from bramleyglade_core.model.exchange import Header

_SCHEMA: Any = capnp.load(str(Path(__file__).with_name("peer.capnp")))
_LENGTH = struct.Struct("<I")
LENGTH_BYTES = _LENGTH.size
MAX_MESSAGE_BYTES = 4_194_304
"""Largest message that is accepted from a peer."""

Writer = Callable[[Any, str, Any], None]
"""Writes a value into a named field of a builder."""
Reader = Callable[[Any], Any]
"""Converts the raw value of a field."""


@dataclass(frozen=True, slots=True)
class Envelope:
    """A message on a link, with the number of its stream."""

    stream: int
    is_answer: bool
    """Whether the message goes to the side that opened the stream."""
    message: Any


@dataclass(frozen=True, slots=True)
class _Codec:
    write: Writer
    read: Reader


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(word.capitalize() for word in rest)


def _write_optional(builder: Any, field: str, value: float | None) -> None:
    setattr(builder, field, math.nan if value is None else value)


def _read_optional(value: float) -> float | None:
    return None if math.isnan(value) else value


def _write_enum(builder: Any, field: str, value: Enum) -> None:
    setattr(builder, field, value.value)


def _write_headers(builder: Any, field: str, headers: tuple[Header, ...]) -> None:
    setattr(builder, field, "\n".join([f"{h.name}:{h.value}" for h in headers]))


def _write_numbers(builder: Any, field: str, numbers: tuple[int, ...]) -> None:
    setattr(builder, field, list(numbers))


def _read_headers(text: str) -> tuple[Header, ...]:
    if not text:
        return ()
    return tuple([Header(*line.split(":", 1)) for line in text.split("\n")])


_IDENTITY = _Codec(setattr, lambda value: value)
_OPTIONAL_FLOAT = _Codec(_write_optional, _read_optional)
"""NaN stands for None, because a Cap'n Proto number can't be absent."""
_HEADERS = _Codec(_write_headers, _read_headers)
_NUMBERS = _Codec(_write_numbers, tuple)
_codec_by_class: dict[type, _Codec] = {}


def _codec_of(hint: Any) -> _Codec:
    if hint in (int, float, str, bool, bytes):
        return _IDENTITY
    if hint == tuple[Header, ...]:
        return _HEADERS
    if hint == tuple[int, ...]:
        return _NUMBERS
    origin = typing.get_origin(hint)
    if origin is tuple:
        return _list_codec(typing.get_args(hint)[0])
    if origin in (Union, types.UnionType):
        return _OPTIONAL_FLOAT
    if issubclass(hint, Enum):
        return _Codec(_write_enum, hint)
    return _class_codec(hint)


def _list_codec(cls: type) -> _Codec:
    read_item = _class_codec(cls).read
    fill = _make_field_writer(cls)

    def write(builder: Any, field: str, values: tuple[Any, ...]) -> None:
        items = builder.init(field, len(values))
        for index, value in enumerate(values):
            fill(items[index], value)

    return _Codec(write, lambda items: tuple([read_item(item) for item in items]))


def _class_codec(cls: type) -> _Codec:
    if cls in _codec_by_class:
        return _codec_by_class[cls]
    fill = _make_field_writer(cls)
    readers = [(wire, codec.read) for _, wire, codec in _field_codecs(cls)]

    def write(builder: Any, field: str, value: Any) -> None:
        fill(builder.init(field), value)

    def read(reader: Any) -> Any:
        return cls(*[convert(getattr(reader, wire)) for wire, convert in readers])

    _codec_by_class[cls] = _Codec(write, read)
    return _codec_by_class[cls]


def _make_field_writer(cls: type) -> Callable[[Any, Any], None]:
    writers = [(name, wire, codec.write) for name, wire, codec in _field_codecs(cls)]

    def fill(builder: Any, value: Any) -> None:
        for name, wire, write in writers:
            write(builder, wire, getattr(value, name))

    return fill


def _field_codecs(cls: type) -> list[tuple[str, str, _Codec]]:
    hints = typing.get_type_hints(cls)
    return [
        (f.name, _to_camel_case(f.name), _codec_of(hints[f.name])) for f in fields(cls)
    ]


_MESSAGES: tuple[type, ...] = (
    peer_messages.HelloSaid,
    peer_messages.HeartbeatSent,
    peer_messages.HeartbeatAnswered,
    peer_messages.BatchAsked,
    peer_messages.BatchTold,
    peer_messages.RecordsAsked,
    peer_messages.RecordsTold,
    peer_messages.SightAsked,
    peer_messages.SightTold,
    peer_messages.LookAsked,
    peer_messages.LookTold,
    peer_messages.SuspicionTold,
    shares.ShareAsked,
    shares.ShareGranted,
    shares.ShareRecalled,
    ejections.EjectionAsked,
    ejections.EjectionTold,
    shares.BookHandedOver,
    peer_messages.Acknowledged,
    exchange.AttemptOffered,
    peer_messages.OutcomeAsked,
    peer_messages.BodySent,
    peer_messages.BodyEnded,
    peer_messages.CreditGranted,
    peer_messages.AttemptCancelled,
    exchange.AnswerStarted,
    exchange.AnswerContinued,
    exchange.AnswerEnded,
    exchange.AttemptFailed,
    peer_messages.TargetViewTold,
    shares.HoldingsAsked,
    shares.HoldingsTold,
    peer_messages.LeavingTold,
    peer_messages.RecordDigestsAsked,
    peer_messages.RecordDigestsTold,
    peer_messages.RetriesAsked,
    peer_messages.RetriesLent,
    peer_messages.ChangesAsked,
    peer_messages.ChangesTold,
    peer_messages.StoreReadTold,
)


def _union_name(cls: type) -> str:
    return cls.__name__[0].lower() + cls.__name__[1:]


_WRITER_BY_CLASS = {
    cls: (_union_name(cls), _class_codec(cls).write) for cls in _MESSAGES
}
_READER_BY_NAME = {_union_name(cls): _class_codec(cls).read for cls in _MESSAGES}


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope with a length prefix.

    Args:
        envelope: The message and its stream.

    Returns:
        The bytes to send, prefix included.
    """
    name, write = _WRITER_BY_CLASS[type(envelope.message)]
    builder = _SCHEMA.Envelope.new_message()
    builder.stream = envelope.stream
    builder.isAnswer = envelope.is_answer
    write(builder, name, envelope.message)
    data = builder.to_bytes()
    return _LENGTH.pack(len(data)) + data


def length_of(prefix: bytes) -> int:
    """Decode the length prefix of a message.

    Raises:
        BadInput: If the message is larger than `MAX_MESSAGE_BYTES`.
    """
    length = _LENGTH.unpack(prefix)[0]
    if length > MAX_MESSAGE_BYTES:
        raise BadInput(
            ErrorCode.BAD_PEER_MESSAGE, f"message of {length} bytes is too large"
        )
    return length


def decode(data: bytes) -> Envelope:
    """Decode an envelope without its length prefix.

    Raises:
        BadInput: If the message is malformed or of an unknown type.
    """
    try:
        with _SCHEMA.Envelope.from_bytes(data) as reader:
            name = str(reader.which)
            message = _READER_BY_NAME[name](getattr(reader, name))
            return Envelope(reader.stream, reader.isAnswer, message)
    except (capnp.KjException, ValueError, TypeError, LookupError) as error:
        raise BadInput(ErrorCode.BAD_PEER_MESSAGE, str(error)) from None
