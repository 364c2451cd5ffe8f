"""Decode messages strictly and check the form of their fields."""

from __future__ import annotations

from typing import Any

from google.protobuf.empty_pb2 import Empty
from google.protobuf.message import DecodeError, Message
from google.protobuf.unknown_fields import UnknownFieldSet

from mallowpass.errors import BadRequestError, ErrorCode

__all__ = [
    "REQUEST_ID_LENGTH_MAX",
    "check_optional",
    "check_text",
    "invalid_field",
    "parse_strictly",
    "salvage_request_id",
    "to_milliseconds",
]

REQUEST_ID_LENGTH_MAX = 64
NAME_LENGTH_MAX = 128
MILLISECONDS_MAX = 0xFFFF_FFFF  # of a uint32 field

_REQUEST_ID_FIELD = 1
_LENGTH_DELIMITED = 2


# -- Decoding ----------------------------------------------------------------


def parse_strictly(kind: type[Message], data: bytes) -> Any:
    """Decode a message; raise BadRequestError for all that the schema lacks."""
    try:
        message = kind.FromString(data)
    except DecodeError as error:
        raise _decode_error(error, data) from None
    # Dropping unknown fields makes the message shorter: comparing sizes finds
    # them at any depth without a walk over the whole message.
    message.DiscardUnknownFields()
    if message.ByteSize() != len(data):
        _refuse_unknown_fields(kind.FromString(data), "")
    return message


def salvage_request_id(data: bytes) -> str:
    """Return the request id of a message that can't be decoded, if it has one."""
    try:
        fields = UnknownFieldSet(Empty.FromString(data))
    except DecodeError:
        return ""
    for field in fields:
        if (field.field_number, field.wire_type) == (
            _REQUEST_ID_FIELD,
            _LENGTH_DELIMITED,
        ):
            return field.data.decode(errors="replace")[:REQUEST_ID_LENGTH_MAX]
    return ""


def _decode_error(error: DecodeError, data: bytes) -> BadRequestError:
    code = ErrorCode.NOT_UTF8 if "UTF-8" in str(error) else ErrorCode.MALFORMED_MESSAGE
    return BadRequestError(code, size=len(data))


def _refuse_unknown_fields(message: Message, place: str) -> None:
    # A message that is only encoded in an unusual way, such as with a field given
    # twice, also differs in size: it is refused only if the walk finds a field.
    for field in UnknownFieldSet(message):
        name = f"{place}{field.field_number}"
        raise BadRequestError(ErrorCode.UNKNOWN_FIELD, field=name)
    for descriptor, value in message.ListFields():
        if descriptor.message_type is None:
            continue
        inner = f"{place}{descriptor.name}."
        for item in value if descriptor.is_repeated else (value,):
            _refuse_unknown_fields(item, inner)


# -- Form --------------------------------------------------------------------


def check_text(name: str, value: str, limit: int = NAME_LENGTH_MAX) -> str:
    """Return a text that must be there and not be too long."""
    if not value:
        raise invalid_field(name, "is missing")
    if len(value) > limit:
        raise invalid_field(name, f"is longer than {limit} characters", value)
    return value


def check_optional(name: str, value: str) -> str:
    """Return a text that may be empty but not be too long."""
    if len(value) > NAME_LENGTH_MAX:
        raise invalid_field(name, f"is longer than {NAME_LENGTH_MAX} characters", value)
    return value


def invalid_field(field: str, why: str, value: object = "") -> BadRequestError:
    """Return the error that names a field and what is wrong with it."""
    return BadRequestError(
        ErrorCode.INVALID_FIELD, f"The field {field} {why}.", field=field, value=value
    )


# -- Times -------------------------------------------------------------------


def to_milliseconds(seconds: float) -> int:
    """Return a time in whole milliseconds; more than nothing never becomes 0."""
    if seconds <= 0:
        return 0
    return min(max(round(seconds * 1000), 1), MILLISECONDS_MAX)
