"""Check a TOML text against a settings class and collect all findings."""

from __future__ import annotations

import dataclasses
import difflib
import math
import re
import tomllib
from functools import singledispatchmethod
from pathlib import Path
from typing import Any, TypeVar

from mallowpass.errors import ErrorCode
from mallowpass.units import (
    format_duration,
    format_size,
    parse_address,
    parse_duration,
    parse_size,
)

from .findings import Finding, KeyPath, SettingsError
from .kinds import (
    AddressKind,
    AddressListKind,
    DurationKind,
    FlagKind,
    IntegerKind,
    Kind,
    NumberKind,
    SizeKind,
    TableKind,
    TableListKind,
    TextKind,
    key_of,
    kind_of,
)
from .positions import LineIndex

__all__ = ["Checker", "read_file", "read_text"]

FILE_SIZE_MAX = 4 << 20

T = TypeVar("T")

# Stands for a value that had a finding, so that one fault is reported once.
_INVALID = object()


def read_file(cls: type[T], path: str | Path) -> T:
    """Return the settings of a file; raise SettingsError with every finding."""
    try:
        with open(path, "rb") as file:
            data = file.read(FILE_SIZE_MAX + 1)
        if len(data) > FILE_SIZE_MAX:
            raise ValueError(f"larger than {format_size(FILE_SIZE_MAX)}")
        text = data.decode("utf-8")
    except (OSError, ValueError) as error:
        raise _failure(ErrorCode.SETTINGS_UNREADABLE, str(path), 0, error) from error
    return read_text(cls, text, str(path))


def read_text(cls: type[T], text: str, file: str) -> T:
    """Return the settings of a text; `file` names it in findings."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = _line_of(error)
        raise _failure(ErrorCode.SETTINGS_SYNTAX, file, line, error) from error
    # Nested too deeply, or an integer of more digits than Python converts.
    except (RecursionError, ValueError) as error:
        raise _failure(ErrorCode.SETTINGS_SYNTAX, file, 0, error) from error
    checker = Checker(file, LineIndex(text))
    settings = checker.read_table(cls, document, ())
    checker.raise_findings()
    return settings


class Checker:
    """Turn tables into settings and collect what is wrong on the way."""

    __slots__ = ("_file", "_findings", "_lines")

    def __init__(self, file: str, lines: LineIndex) -> None:
        self._file = file
        self._lines = lines
        self._findings: list[Finding] = []

    def add(self, error_code: ErrorCode, path: KeyPath, message: str) -> None:
        """Add a finding at a key path."""
        line = self._lines.line(path)
        self._findings.append(Finding(error_code, self._file, line, path, message))

    def add_duplicates(self, values: list[tuple[KeyPath, object]], what: str) -> None:
        """Add a finding for each value that stood before."""
        first: dict[object, KeyPath] = {}
        for path, value in values:
            if value in first:
                line = self._lines.line(first[value])
                message = f"{what} {value} is used before, in line {line}"
                self.add(ErrorCode.DUPLICATE_NAME, path, message)
            first.setdefault(value, path)

    def add_unknown_reference(
        self, path: KeyPath, value: str, known: list[str], what: str
    ) -> None:
        """Add a finding if the value names none of the known entries."""
        if value not in known:
            message = f"no {what} is named {value!r}{_suggest(value, known)}"
            self.add(ErrorCode.UNKNOWN_REFERENCE, path, message)

    def raise_findings(self) -> None:
        """Raise all findings together, in the order of the file."""
        if self._findings:
            raise SettingsError(tuple(sorted(self._findings, key=lambda f: f.line)))

    def read_table(self, cls: type, raw: Any, path: KeyPath) -> Any:
        """Return the data class of a table, or a mark if it has findings."""
        if not isinstance(raw, dict):
            return self._wrong_type(path, "a table", raw)
        fields = {key_of(field): field for field in dataclasses.fields(cls)}
        self._check_keys(fields, raw, path)
        values = {
            field.name: self._read_field(field, raw, path) for field in fields.values()
        }
        if any(value is _INVALID for value in values.values()):
            return _INVALID
        settings = cls(**values)
        settings.check(checker=self, path=path)
        return settings

    def _check_keys(self, known: dict, raw: dict, path: KeyPath) -> None:
        for key in raw:
            if key not in known:
                message = f"unknown key {key!r}{_suggest(key, list(known))}"
                self.add(ErrorCode.UNKNOWN_KEY, (*path, key), message)

    def _read_field(self, field: dataclasses.Field, raw: dict, path: KeyPath) -> Any:
        key = key_of(field)
        if key in raw:
            return self._read(kind_of(field), raw[key], (*path, key))
        if field.default is not dataclasses.MISSING:
            return field.default
        self.add(ErrorCode.MISSING_KEY, (*path, key), f"key {key!r} is missing")
        return _INVALID

    # -- One reader for each kind of value

    @singledispatchmethod
    def _read(self, kind: Kind, raw: Any, path: KeyPath) -> Any:
        raise NotImplementedError(f"no reader for {kind!r}")

    @_read.register
    def _(self, kind: TextKind, raw: Any, path: KeyPath) -> Any:
        if not isinstance(raw, str):
            return self._wrong_type(path, "a text", raw)
        if kind.choices and raw not in kind.choices:
            words = ", ".join(kind.choices)
            hint = _suggest(raw, list(kind.choices))
            return self._invalid(path, f"{raw!r} is none of {words}{hint}")
        if kind.pattern and not re.fullmatch(kind.pattern, raw):
            return self._invalid(path, f"{raw!r} is not {kind.hint}")
        return raw

    @_read.register
    def _(self, kind: DurationKind, raw: Any, path: KeyPath) -> Any:
        return self._quantity(path, raw, kind, parse_duration, format_duration)

    @_read.register
    def _(self, kind: SizeKind, raw: Any, path: KeyPath) -> Any:
        return self._quantity(path, raw, kind, parse_size, format_size)

    @_read.register
    def _(self, kind: IntegerKind, raw: Any, path: KeyPath) -> Any:
        # bool is a subclass of int: `seat = true` would else pass as 1.
        if not isinstance(raw, int) or isinstance(raw, bool):
            return self._wrong_type(path, "a whole number", raw)
        return self._within(path, raw, kind, _shorten)

    @_read.register
    def _(self, kind: NumberKind, raw: Any, path: KeyPath) -> Any:
        if not isinstance(raw, int | float) or isinstance(raw, bool):
            return self._wrong_type(path, "a number", raw)
        if isinstance(raw, float) and not math.isfinite(raw):
            return self._invalid(path, f"{raw} is not finite")
        # The bounds come before float(), which cannot hold every whole number.
        value = self._within(path, raw, kind, _shorten)
        return value if value is _INVALID else float(value)

    @_read.register
    def _(self, kind: FlagKind, raw: Any, path: KeyPath) -> Any:
        if not isinstance(raw, bool):
            return self._wrong_type(path, "true or false", raw)
        return raw

    @_read.register
    def _(self, kind: AddressKind, raw: Any, path: KeyPath) -> Any:
        if not isinstance(raw, str):
            return self._wrong_type(path, 'an address like "127.0.0.1:7001"', raw)
        try:
            return parse_address(raw)
        except ValueError as error:
            self.add(ErrorCode.INVALID_ADDRESS, path, str(error))
            return _INVALID

    @_read.register
    def _(self, kind: AddressListKind, raw: Any, path: KeyPath) -> Any:
        return self._items(raw, path, lambda item, at: self._read(_ADDRESS, item, at))

    @_read.register
    def _(self, kind: TableKind, raw: Any, path: KeyPath) -> Any:
        return self.read_table(kind.cls, raw, path)

    @_read.register
    def _(self, kind: TableListKind, raw: Any, path: KeyPath) -> Any:
        if isinstance(raw, list) and len(raw) < kind.minimum:
            return self._invalid(path, f"needs {kind.minimum} or more entries")
        return self._items(
            raw, path, lambda item, at: self.read_table(kind.cls, item, at)
        )

    # -- Steps the readers share

    def _items(self, raw: Any, path: KeyPath, read: Any) -> Any:
        if not isinstance(raw, list):
            return self._wrong_type(path, "an array", raw)
        items = tuple(read(item, (*path, index)) for index, item in enumerate(raw))
        return _INVALID if any(item is _INVALID for item in items) else items

    def _quantity(
        self, path: KeyPath, raw: Any, kind: Any, parse: Any, write: Any
    ) -> Any:
        try:
            value = parse(raw if isinstance(raw, str) else str(raw))
        except ValueError as error:
            self.add(ErrorCode.INVALID_QUANTITY, path, str(error))
            return _INVALID
        return self._within(path, value, kind, write)

    def _within(self, path: KeyPath, value: Any, kind: Any, write: Any) -> Any:
        if kind.minimum <= value <= kind.maximum:
            return value
        bounds = f"{write(kind.minimum)} to {write(kind.maximum)}"
        return self._invalid(path, f"{write(value)} is outside {bounds}")

    def _invalid(self, path: KeyPath, message: str) -> Any:
        self.add(ErrorCode.INVALID_VALUE, path, message)
        return _INVALID

    def _wrong_type(self, path: KeyPath, wanted: str, raw: Any) -> Any:
        message = f"needs {wanted}, not {_shorten(raw)}"
        self.add(ErrorCode.WRONG_TYPE, path, message)
        return _INVALID


_ADDRESS = AddressKind()


def _suggest(word: str, known: list[str]) -> str:
    near = difflib.get_close_matches(word, known, n=1)
    return f"; did you mean {near[0]!r}?" if near else ""


def _shorten(raw: Any) -> str:
    text = repr(raw)
    return text if len(text) <= 60 else text[:60] + "..."


def _line_of(error: tomllib.TOMLDecodeError) -> int:
    # Python 3.11 gives the line in the message only.
    match = re.search(r"at line (\d+)", str(error))
    return int(match[1]) if match else 0


def _failure(
    error_code: ErrorCode, file: str, line: int, error: Exception
) -> SettingsError:
    finding = Finding(error_code, file, line, (), str(error))
    return SettingsError((finding,), error_code)
