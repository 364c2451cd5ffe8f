"""Declare what a key of a settings file may hold.

Each settings class says with these helpers what its keys are; `reader` checks a
file against them, so that a key, its bounds and its default stand in one place.
"""

from __future__ import annotations

import dataclasses
from dataclasses import MISSING, dataclass
from typing import TYPE_CHECKING, Any

from mallowpass.units import parse_duration, parse_size

if TYPE_CHECKING:
    from .findings import KeyPath
    from .reader import Checker

__all__ = [
    "AddressKind",
    "AddressListKind",
    "DurationKind",
    "FlagKind",
    "IntegerKind",
    "Kind",
    "NumberKind",
    "Section",
    "SizeKind",
    "TableKind",
    "TableListKind",
    "TextKind",
    "address",
    "address_list",
    "choice",
    "duration",
    "flag",
    "integer",
    "key_of",
    "kind_of",
    "name",
    "number",
    "size",
    "table",
    "tables",
    "text",
]

NAME_PATTERN = r"[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?"
NAME_HINT = "1 to 63 small letters, digits and inner hyphens"
DURATION_MAX = 7 * 24 * 3600.0
COUNT_MAX = 1_000_000_000

_KEY = "key"
_KIND = "kind"


class Section:
    """Be the base of a settings class, with checks over several of its keys."""

    __slots__ = ()

    def check(self, checker: Checker, path: KeyPath) -> None:
        """Add findings that no single key shows."""


class Kind:
    """Say what a key may hold."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class TextKind(Kind):
    """Hold a text of a pattern or one of some choices."""

    pattern: str | None = None
    hint: str = ""
    choices: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class DurationKind(Kind):
    """Hold seconds."""

    minimum: float
    maximum: float


@dataclass(frozen=True, slots=True)
class SizeKind(Kind):
    """Hold bytes."""

    minimum: int
    maximum: int


@dataclass(frozen=True, slots=True)
class IntegerKind(Kind):
    """Hold a whole number."""

    minimum: int
    maximum: int


@dataclass(frozen=True, slots=True)
class NumberKind(Kind):
    """Hold a number."""

    minimum: float
    maximum: float


@dataclass(frozen=True, slots=True)
class FlagKind(Kind):
    """Hold true or false."""


@dataclass(frozen=True, slots=True)
class AddressKind(Kind):
    """Hold an IP number with a port."""


@dataclass(frozen=True, slots=True)
class AddressListKind(Kind):
    """Hold a list of addresses."""


@dataclass(frozen=True, slots=True)
class TableKind(Kind):
    """Hold a table that is read into a data class."""

    cls: type


@dataclass(frozen=True, slots=True)
class TableListKind(Kind):
    """Hold an array of tables, each read into a data class."""

    cls: type
    minimum: int


# -- Field helpers; a field without a default must be set in the file


def name(*, key: str | None = None, default: Any = MISSING) -> Any:
    """Declare a name of an entry."""
    return _field(TextKind(NAME_PATTERN, NAME_HINT), default, key)


def text(
    pattern: str | None = None,
    hint: str = "",
    default: Any = MISSING,
    *,
    key: str | None = None,
) -> Any:
    """Declare a free text, or one that matches the pattern as a whole."""
    return _field(TextKind(pattern, hint), default, key)


def choice(*choices: str) -> Any:
    """Declare one of some words; the first is the default."""
    return _field(TextKind(choices=choices), choices[0], None)


def duration(
    default: str | None = None, *, minimum: str = "0s", maximum: float = DURATION_MAX
) -> Any:
    """Declare a duration."""
    seconds = MISSING if default is None else parse_duration(default)
    return _field(DurationKind(parse_duration(minimum), maximum), seconds, None)


def size(default: str, *, minimum: str = "1KiB", maximum: str = "1GiB") -> Any:
    """Declare a size."""
    kind = SizeKind(parse_size(minimum), parse_size(maximum))
    return _field(kind, parse_size(default), None)


def integer(
    default: Any = MISSING, *, minimum: int = 1, maximum: int = COUNT_MAX
) -> Any:
    """Declare a whole number."""
    return _field(IntegerKind(minimum, maximum), default, None)


def number(
    default: Any = MISSING, *, minimum: float = 0.0, maximum: float = COUNT_MAX
) -> Any:
    """Declare a number."""
    return _field(NumberKind(minimum, maximum), default, None)


def flag(default: bool) -> Any:
    """Declare true or false."""
    return _field(FlagKind(), default, None)


def address() -> Any:
    """Declare an address."""
    return _field(AddressKind(), MISSING, None)


def address_list() -> Any:
    """Declare a list of addresses, empty by default."""
    return _field(AddressListKind(), (), None)


def table(cls: type, *, required: bool = True) -> Any:
    """Declare a table; one that is not required has a default for each key."""
    return _field(TableKind(cls), MISSING if required else cls(), None)


def tables(cls: type, *, key: str | None = None, minimum: int = 0) -> Any:
    """Declare an array of tables."""
    default = MISSING if minimum else ()
    return _field(TableListKind(cls, minimum), default, key)


def key_of(field: dataclasses.Field) -> str:
    """Return the key in the file; it differs where the file reads better singular."""
    return field.metadata[_KEY] or field.name


def kind_of(field: dataclasses.Field) -> Kind:
    """Return what the field's key may hold."""
    return field.metadata[_KIND]


def _field(kind: Kind, default: Any, key: str | None) -> Any:
    return dataclasses.field(default=default, metadata={_KIND: kind, _KEY: key})
