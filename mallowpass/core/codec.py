"""Turn frozen services and peer messages into CBOR and back.

A data class becomes an array of its fields in the order of their declaration, a
message an array headed by the format and the class's name. Fields are only ever
added at the end and with a default: an older host ignores what it does not know,
a newer one takes the default for what an older one did not send. Anything else
that does not fit the types is refused with a code, before it reaches a table.
"""

from __future__ import annotations

import dataclasses
import functools
import types
import typing
from collections.abc import Callable
from enum import Enum
from typing import Any, TypeVar

import cbor2

from mallowpass.core import peering
from mallowpass.core.peering import PeerMessage
from mallowpass.core.services import ServiceVersion
from mallowpass.errors import BadRequestError, ErrorCode

__all__ = [
    "decode_message",
    "decode_service",
    "encode_message",
    "encode_service",
]

FORMAT = 1
HEAD_LENGTH = 2  # format and kind

_PLAIN = frozenset({str, int, float, bool, bytes, type(None)})

_D = TypeVar("_D")
_Decoder = Callable[[Any, str], Any]


# -- Public ------------------------------------------------------------------


def encode_message(message: PeerMessage) -> bytes:
    """Return a peer message as CBOR."""
    kind = type(message).__name__
    return cbor2.dumps([FORMAT, kind, *_encode_fields(message)])


def decode_message(data: bytes) -> PeerMessage | None:
    """Return the message, None when its kind or format is unknown here.

    A newer host may send kinds that this version lacks: the adapter counts and
    drops them. Raises BadRequestError for a message that does not fit its kind.
    """
    parts = _load(data)
    if not isinstance(parts, list) or len(parts) < HEAD_LENGTH:
        raise _malformed("message", parts)
    kind = _message_kinds().get(parts[1]) if isinstance(parts[1], str) else None
    if parts[0] != FORMAT or kind is None:
        return None
    return _decode_fields(kind, parts[HEAD_LENGTH:], kind.__name__)


def encode_service(version: ServiceVersion) -> bytes:
    """Return a service's version as it stands in the platform's table."""
    return cbor2.dumps([FORMAT, _encode_fields(version)])


def decode_service(data: bytes) -> ServiceVersion:
    """Return the version in a row's value; raises BadRequestError."""
    parts = _load(data)
    if not isinstance(parts, list) or len(parts) < HEAD_LENGTH or parts[0] != FORMAT:
        raise _malformed("service row", parts)
    return _decoder(ServiceVersion)(parts[1], "ServiceVersion")


# -- Encoding ----------------------------------------------------------------


def _encode_fields(value: Any) -> list[Any]:
    return [_encode(getattr(value, name)) for name in _field_names(type(value))]


def _encode(value: Any) -> Any:
    return value if type(value) in _PLAIN else _encode_composed(value)


@functools.singledispatch
def _encode_composed(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return _encode_fields(value)
    return value


@_encode_composed.register
def _(value: tuple) -> Any:
    return [_encode(item) for item in value]


@_encode_composed.register
def _(value: Enum) -> Any:
    return value.value


@functools.cache
def _field_names(kind: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(kind))


# -- Decoding ----------------------------------------------------------------


def _load(data: bytes) -> Any:
    try:
        return cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        raise BadRequestError(
            ErrorCode.MALFORMED_MESSAGE, "The bytes are not CBOR.", cause=error
        ) from None


def _malformed(place: str, value: object) -> BadRequestError:
    return BadRequestError(
        ErrorCode.MALFORMED_MESSAGE,
        f"{place} does not fit its type.",
        place=place,
        value=repr(value),
    )


@functools.cache
def _message_kinds() -> dict[str, type[PeerMessage]]:
    # By the module's names: PeerMessage.__subclasses__() also lists the classes that
    # `slots=True` replaced.
    kinds = (getattr(peering, name) for name in peering.__all__)
    return {kind.__name__: kind for kind in kinds if kind is not PeerMessage}


def _decode_fields(kind: type[_D], values: list[Any], place: str) -> _D:
    decoders, required = _field_decoders(kind)
    if len(values) < required:
        raise _malformed(place, values)
    decoded = [
        decode(value, f"{place}.{name}")
        for (name, decode), value in zip(decoders, values, strict=False)
    ]
    return kind(*decoded)


@functools.cache
def _field_decoders(kind: type) -> tuple[tuple[tuple[str, _Decoder], ...], int]:
    hints = typing.get_type_hints(kind)
    fields = dataclasses.fields(kind)
    required = sum(
        field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
        for field in fields
    )
    return tuple((f.name, _decoder(hints[f.name])) for f in fields), required


@functools.cache
def _decoder(hint: Any) -> _Decoder:
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _optional(_decoder(_only_type(hint)))
    if origin is tuple:
        return _tuple(typing.get_args(hint))
    if dataclasses.is_dataclass(hint):
        return functools.partial(_dataclass, hint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return functools.partial(_enum, hint)
    return functools.partial(_scalar, hint)


def _only_type(hint: Any) -> Any:
    (only,) = (arg for arg in typing.get_args(hint) if arg is not type(None))
    return only


def _optional(decode: _Decoder) -> _Decoder:
    return lambda value, place: None if value is None else decode(value, place)


def _tuple(arguments: tuple[Any, ...]) -> _Decoder:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        return functools.partial(_sequence, _decoder(arguments[0]))
    return functools.partial(_fixed, tuple(map(_decoder, arguments)))


def _sequence(decode: _Decoder, value: Any, place: str) -> Any:
    if not isinstance(value, list):
        raise _malformed(place, value)
    return tuple(decode(item, f"{place}[{n}]") for n, item in enumerate(value))


def _fixed(decoders: tuple[_Decoder, ...], value: Any, place: str) -> Any:
    if not isinstance(value, list) or len(value) < len(decoders):
        raise _malformed(place, value)
    pairs = zip(decoders, value, strict=False)
    return tuple(
        decode(item, f"{place}[{n}]") for n, (decode, item) in enumerate(pairs)
    )


def _dataclass(kind: type, value: Any, place: str) -> Any:
    if not isinstance(value, list):
        raise _malformed(place, value)
    return _decode_fields(kind, value, place)


def _enum(kind: type[Enum], value: Any, place: str) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise _malformed(place, value) from None


def _scalar(kind: type, value: Any, place: str) -> Any:
    if kind is float and type(value) is int:
        return float(value)
    # Exactly: a bool is an int to isinstance, and True is no term.
    if type(value) is not kind:
        raise _malformed(place, value)
    return value
