"""Turn the core's frozen classes into CBOR's own types and back.

A data class becomes [name, {field: value}] with the fields that hold their default
left out, an enum member its name and a position a pair. One plan for each class is
made from its type hints. What callers gave is never written as it came: fields
that may hold it are known by name, go through a `Redaction`, and a text or opaque
field of an unknown name is refused, so that a new one cannot slip into a trace.
"""

from __future__ import annotations

import dataclasses
import functools
import operator
import types
import typing
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

from mallowpass.core.calls import LogPosition
from mallowpass.errors import BadRequestError, ErrorCode
from mallowpass.trace.redaction import Redaction

__all__ = ["decode", "encode", "encode_all_fields", "kinds_under"]

_Encoder = Callable[[Any, Redaction], Any]
_Decoder = Callable[[Any, str], Any]
_Coder = tuple[_Encoder | None, _Decoder]  # no encoder: the value is CBOR's own

PAIR_LENGTH = 2
HINT_OF_OPAQUE = Any

# Fields of names, ids, addresses, codes and bytes that are no caller's data. They
# must be told apart in a replay and stand in a trace as they are.
PLAIN_FIELDS = frozenset(
    [
        "address",
        "attributes",
        "by",
        "call",
        "caller",
        "change_id",
        "changed_by",
        "code",
        "content",
        "database",
        "digest",
        "event",
        "failure_domain",
        "figures",
        "host",
        "hosts",
        "key",
        "kind",
        "level",
        "loan",
        "member",
        "name",
        "names",
        "operator",
        "origin",
        "peers_address",
        "primary",
        "primary_address",
        "proposer",
        "region",
        "request_class",
        "request_id",
        "role",
        "seeds",
        "served_by",
        "service",
        "services",
        "state",
        "steward",
        "subject",
        "table",
        "transaction",
        "value",
        "versions",
    ]
)


# -- Public ------------------------------------------------------------------


def encode(value: Any, redaction: Redaction) -> list[Any]:
    """Return a data class's value in CBOR's own types, ready for `cbor2.dumps`."""
    plan = _plan(type(value))
    found = {}
    # One loop without a call for most fields: a host with recording runs it for
    # each event and effect.
    for (name, default, opaque, encode_field), item in zip(
        plan.encoders, plan.values(value), strict=True
    ):
        if item is default or (not opaque and item == default):
            continue
        if encode_field is not None:
            item = encode_field(item, redaction)
            # No parameters are the default, whatever kind of sequence holds none.
            if opaque and not item:
                continue
        found[name] = item
    return [plan.name, found]


def encode_all_fields(value: Any, redaction: Redaction) -> list[Any]:
    """Return the same with every field: a later default must not replace it."""
    plan = _plan(type(value))
    found = {
        name: item if encode_field is None else encode_field(item, redaction)
        for (name, _, _, encode_field), item in zip(
            plan.encoders, plan.values(value), strict=True
        )
    }
    return [plan.name, found]


def decode(base: type, data: Any) -> Any:
    """Return the value of a class under `base`; raises BadRequestError."""
    return _decode_class(base, data, base.__name__)


def kinds_under(base: type) -> dict[str, type]:
    """Return a class and all classes under it, by name."""
    found = {base.__name__: base}
    for kind in base.__subclasses__():
        found.update(kinds_under(kind))
    return found


# -- Plans -------------------------------------------------------------------


@dataclasses.dataclass(frozen=True, slots=True)
class _Plan:
    name: str
    encoders: tuple[tuple[str, Any, bool, _Encoder | None], ...]
    values: Callable[[Any], Iterable[Any]]
    decoders: dict[str, _Decoder]
    required: frozenset[str]


@functools.cache
def _plan(kind: type) -> _Plan:
    if not dataclasses.is_dataclass(kind):
        raise _unknown("class", kind.__name__, kind.__name__)
    hints = typing.get_type_hints(kind)
    encoders, decoders, required = [], {}, set()
    for field in dataclasses.fields(kind):
        place = f"{kind.__name__}.{field.name}"
        hint = hints[field.name]
        encode_field, decoders[field.name] = _field_coder(place, field.name, hint)
        default = _default(field)
        if default is dataclasses.MISSING:
            required.add(field.name)
        # Rows and parameters may be of any type, whose == is not to be trusted.
        opaque = hint is HINT_OF_OPAQUE
        encoders.append((field.name, default, opaque, encode_field))
    names = tuple(decoders)
    values = _values_getter(names)
    return _Plan(kind.__name__, tuple(encoders), values, decoders, frozenset(required))


def _values_getter(names: tuple[str, ...]) -> Callable[[Any], Iterable[Any]]:
    if len(names) > 1:
        return operator.attrgetter(*names)
    return lambda value: [getattr(value, name) for name in names]


def _default(field: dataclasses.Field[Any]) -> Any:
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


def _field_coder(place: str, name: str, hint: Any) -> _Coder:
    special = _SPECIAL.get((name, hint))
    if special is not None:
        return special
    if name not in PLAIN_FIELDS and _may_hold_text(hint):
        raise _unknown("field without a rule for its text", name, place)
    return _coder(hint)


def _may_hold_text(hint: Any) -> bool:
    if hint in (Any, str, bytes):
        return True
    return any(map(_may_hold_text, typing.get_args(hint)))


@functools.cache
def _coder(hint: Any) -> _Coder:
    origin = typing.get_origin(hint)
    if origin in (types.UnionType, typing.Union):
        return _optional_coder(hint)
    if origin is tuple:
        return _tuple_coder(typing.get_args(hint))
    if origin is dict:
        return None, _scalar_decoder(dict)
    if hint is LogPosition:
        return _encode_position, _decode_position
    if dataclasses.is_dataclass(hint):
        return encode, functools.partial(_decode_class, hint)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _encode_enum, functools.partial(_decode_enum, hint)
    return None, _scalar_decoder(hint)


def _optional_coder(hint: Any) -> _Coder:
    (only,) = (arg for arg in typing.get_args(hint) if arg is not type(None))
    inner_encode, inner_decode = _coder(only)
    return (
        inner_encode
        and (lambda value, to: None if value is None else inner_encode(value, to)),
        lambda data, place: None if data is None else inner_decode(data, place),
    )


def _tuple_coder(arguments: tuple[Any, ...]) -> _Coder:
    if len(arguments) == PAIR_LENGTH and arguments[1] is Ellipsis:
        inner_encode, inner_decode = _coder(arguments[0])
        return (
            inner_encode
            and (lambda value, to: [inner_encode(item, to) for item in value]),
            lambda data, place: tuple(
                inner_decode(item, place) for item in _list(data, place)
            ),
        )
    coders = tuple(map(_coder, arguments))
    if any(coder[0] for coder in coders):
        raise _unknown("mixed tuple", arguments, "")
    return None, lambda data, place: tuple(
        coder[1](item, place)
        for coder, item in zip(coders, _list(data, place, len(coders)), strict=True)
    )


# -- Encoding ----------------------------------------------------------------


def _encode_position(value: LogPosition, _redaction: Redaction) -> list[int]:
    return [value.term, value.position]


def _encode_enum(value: Enum, _redaction: Redaction) -> str:
    return value.name


# -- Decoding ----------------------------------------------------------------


def _decode_class(base: type, data: Any, place: str) -> Any:
    name, found = _list(data, place, PAIR_LENGTH)
    if not isinstance(found, dict):
        raise _misfit(place, data)
    kind = _kind(base, name, place)
    plan = _plan(kind)
    for field in found:
        if field not in plan.decoders:
            raise _unknown("field", field, f"{place}.{name}")
    missing = plan.required - found.keys()
    if missing:
        raise _misfit(f"{place}.{name}.{min(missing)}", None)
    return kind(
        **{
            field: plan.decoders[field](value, f"{name}.{field}")
            for field, value in found.items()
        }
    )


def _kind(base: type, name: Any, place: str) -> type:
    kind = _known_kind(base, name) if isinstance(name, str) else None
    if kind is None:
        raise _unknown("class", name, place)
    return kind


_KINDS: dict[type, dict[str, type]] = {}


def _known_kind(base: type, name: str) -> type | None:
    kind = _KINDS.get(base, {}).get(name)
    if kind is None:
        # Looked up again: a module that defines a message may be imported late.
        _KINDS[base] = kinds_under(base)
        kind = _KINDS[base].get(name)
    return kind


def _list(data: Any, place: str, length: int | None = None) -> list[Any]:
    if not isinstance(data, list) or length not in (None, len(data)):
        raise _misfit(place, data)
    return data


def _decode_position(data: Any, place: str) -> LogPosition:
    term, position = _list(data, place, PAIR_LENGTH)
    whole = _scalar_decoder(int)
    return LogPosition(whole(term, place), whole(position, place))


def _decode_enum(kind: type[Enum], data: Any, place: str) -> Enum:
    try:
        return kind[data]
    except KeyError:
        raise _unknown(kind.__name__, data, place) from None


@functools.cache
def _scalar_decoder(kind: type) -> _Decoder:
    # A whole number stays one where a float may stand: the core got it like that.
    allowed = (float, int) if kind is float else (kind,)

    def decode_scalar(data: Any, place: str) -> Any:
        if type(data) not in allowed:
            raise _misfit(place, data)
        return data

    return decode_scalar


def _decode_loose(data: Any, place: str) -> Any:
    """Decode what the hints leave open: scalars, and lists as tuples."""
    if isinstance(data, list):
        return tuple(_decode_loose(item, place) for item in data)
    return data


# -- Errors ------------------------------------------------------------------


def _unknown(what: str, name: object, place: str) -> BadRequestError:
    return BadRequestError(
        ErrorCode.TRACE_UNKNOWN, f"Unknown {what}.", name=name, place=place
    )


def _misfit(place: str, value: object) -> BadRequestError:
    return BadRequestError(
        ErrorCode.TRACE_DAMAGED,
        "A value in the trace does not fit its type.",
        place=place,
        value=repr(value),
    )


# -- Fields with a rule of their own -----------------------------------------

_TELLING = tuple[tuple[float, str, str, str], ...]  # age, kind, subject, text
_LABELS = tuple[tuple[str, Any], ...]


def _encode_tellings(value: Any, redaction: Redaction) -> list[Any]:
    return [
        [age, kind, subject, redaction.text(text)] for age, kind, subject, text in value
    ]


def _encode_labels(value: Any, redaction: Redaction) -> list[Any]:
    return [[name, redaction.label(name, item)] for name, item in value]


_TEXT = (lambda value, to: to.text(value), _scalar_decoder(str))
_ROWS = (lambda value, to: to.rows(value), Redaction.decode_rows)

_SPECIAL: dict[tuple[str, Any], _Coder] = {
    ("sql", str): (lambda value, to: to.sql(value), _scalar_decoder(str)),
    ("parameters", Any): (
        lambda value, to: to.parameters(value),
        Redaction.decode_parameters,
    ),
    ("rows", Any): _ROWS,
    ("outcome_rows", Any): _ROWS,
    ("token", bytes): (lambda value, to: to.token(value), _scalar_decoder(bytes)),
    ("token_key", bytes): (lambda value, to: b"", _scalar_decoder(bytes)),
    ("message", str): _TEXT,
    ("text", str): _TEXT,
    ("decisions", _TELLING): (_encode_tellings, _coder(_TELLING)[1]),
    ("fields", _LABELS): (_encode_labels, _decode_loose),
}
