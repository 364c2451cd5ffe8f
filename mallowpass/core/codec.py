"""Encode services and peer messages as CBOR, and decode them.

A data class is encoded as an array of its fields in the order of declaration. A
message has the format and the name of its class before the fields. New fields are
only added at the end and with a default: an older host ignores fields that it does
not know, and a newer host uses the default of a field that an older one did not send.
Values that do not have the declared types raise BadRequestError, so that they never
reach a table.
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
HEADER_LENGTH = 2  # a message's format and kind; a service row's format and version

_SCALARS = frozenset({str, int, float, bool, bytes, type(None)})

_D = TypeVar("_D")
_Decoder = Callable[[Any, str], Any]  # takes a value and its path, for errors


# -- Messages and services ---------------------------------------------------


def encode_message(message: PeerMessage) -> bytes:
    """Return a peer message as CBOR."""
    kind = type(message).__name__
    return cbor2.dumps([FORMAT, kind, *_encode_fields(message)])


def decode_message(data: bytes) -> PeerMessage | None:
    """Return a peer message, None if its kind or format is unknown.

    A newer host may send messages that this version does not know: the adapter counts
    and drops them. Raises BadRequestError if the fields do not fit the kind of message.
    """
    parts = _load(data)
    if not isinstance(parts, list) or len(parts) < HEADER_LENGTH:
        raise _malformed("message", parts)
    kind = _message_kinds().get(parts[1]) if isinstance(parts[1], str) else None
    if parts[0] != FORMAT or kind is None:
        return None
    return _decode_fields(kind, parts[HEADER_LENGTH:], kind.__name__)


def encode_service(version: ServiceVersion) -> bytes:
    """Return the CBOR value of a row in the platform's table of services."""
    return cbor2.dumps([FORMAT, _encode_fields(version)])


def decode_service(data: bytes) -> ServiceVersion:
    """Return the version of a service in a row's value.

    Raises BadRequestError if the value is malformed or has an unknown format.
    """
    parts = _load(data)
    if not isinstance(parts, list) or len(parts) < HEADER_LENGTH or parts[0] != FORMAT:
        raise _malformed("service row", parts)
    return _decoder(ServiceVersion)(parts[1], "ServiceVersion")


# -- Encoding ----------------------------------------------------------------


def _encode_fields(value: Any) -> list[Any]:
    return [_encode(getattr(value, name)) for name in _field_names(type(value))]


def _encode(value: Any) -> Any:
    return value if type(value) in _SCALARS else _encode_composite(value)


@functools.singledispatch
def _encode_composite(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return _encode_fields(value)
    return value


@_encode_composite.register
def _(value: tuple) -> Any:
    return [_encode(item) for item in value]


@_encode_composite.register
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


def _malformed(path: str, value: object) -> BadRequestError:
    return BadRequestError(
        ErrorCode.MALFORMED_MESSAGE,
        f"{path} does not have its declared type or form.",
        place=path,
        value=repr(value),
    )


@functools.cache
def _message_kinds() -> dict[str, type[PeerMessage]]:
    # From `__all__`, as PeerMessage.__subclasses__() also lists the classes that
    # `slots=True` replaced.
    kinds = (getattr(peering, name) for name in peering.__all__)
    return {kind.__name__: kind for kind in kinds if kind is not PeerMessage}


def _decode_fields(kind: type[_D], values: list[Any], path: str) -> _D:
    decoders, required = _field_decoders(kind)
    if len(values) < required:
        raise _malformed(path, values)
    decoded = [
        decode(value, f"{path}.{name}")
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
        return _optional_decoder(_decoder(_non_none_type(hint)))
    if origin is tuple:
        return _tuple_decoder(typing.get_args(hint))
    if dataclasses.is_dataclass(hint):
        return functools.partial(_decode_dataclass, hint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return functools.partial(_decode_enum, hint)
    return functools.partial(_decode_scalar, hint)


def _non_none_type(hint: Any) -> Any:
    (only,) = (arg for arg in typing.get_args(hint) if arg is not type(None))
    return only


def _optional_decoder(decode: _Decoder) -> _Decoder:
    return lambda value, path: None if value is None else decode(value, path)


def _tuple_decoder(arguments: tuple[Any, ...]) -> _Decoder:
    if len(arguments) == 2 and arguments[1] is Ellipsis:
        return functools.partial(_decode_sequence, _decoder(arguments[0]))
    return functools.partial(_decode_fixed_tuple, tuple(map(_decoder, arguments)))


def _decode_sequence(decode: _Decoder, value: Any, path: str) -> Any:
    if not isinstance(value, list):
        raise _malformed(path, value)
    return tuple(decode(item, f"{path}[{n}]") for n, item in enumerate(value))


def _decode_fixed_tuple(decoders: tuple[_Decoder, ...], value: Any, path: str) -> Any:
    if not isinstance(value, list) or len(value) < len(decoders):
        raise _malformed(path, value)
    pairs = zip(decoders, value, strict=False)
    return tuple(decode(item, f"{path}[{n}]") for n, (decode, item) in enumerate(pairs))


def _decode_dataclass(kind: type, value: Any, path: str) -> Any:
    if not isinstance(value, list):
        raise _malformed(path, value)
    return _decode_fields(kind, value, path)


def _decode_enum(kind: type[Enum], value: Any, path: str) -> Any:
    try:
        return kind(value)
    except ValueError:
        raise _malformed(path, value) from None


def _decode_scalar(kind: type, value: Any, path: str) -> Any:
    if kind is float and type(value) is int:
        return float(value)
    # Not isinstance, which takes True for an int.
    if type(value) is not kind:
        raise _malformed(path, value)
    return value
