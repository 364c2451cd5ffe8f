"""Find the line of each key of a TOML text.

`tomllib` and `tomlkit` give values without their lines. The text has been accepted
by `tomllib` before it comes here, so this scanner need not judge it: it only has to
tell headers and keys from the insides of strings, arrays and inline tables.
"""

from __future__ import annotations

import re
import tomllib

from .findings import KeyPath

__all__ = ["LineIndex"]

_HEADER = re.compile(r"\s*(?P<open>\[\[?)(?P<key>[^\[\]]+)\]")
_ASSIGNMENT = re.compile(
    r"""\s*(?P<key>(?:"(?:[^"\\]|\\.)*"|'[^']*'|[A-Za-z0-9_.\s-])+?)\s*="""
)
# A comment, any string (the long forms first) or a bracket; the rest is skipped.
_TOKEN = re.compile(
    r'''\#[^\n]*|"""(?:[^\\]|\\.)*?"""+|\'\'\'.*?\'\'\'+'''
    r"""|"(?:[^"\\\n]|\\.)*"|'[^'\n]*'|[\[\]{}]""",
    re.DOTALL,
)


class LineIndex:
    """Map key paths to lines, counted from 1."""

    def __init__(self, text: str) -> None:
        self._lines: dict[KeyPath, int] = {}
        self._array_lengths: dict[KeyPath, int] = {}
        self._scan(text.replace("\r\n", "\n"))

    def line(self, path: KeyPath) -> int:
        """Return the line of the path, or of the nearest table around it."""
        while path and path not in self._lines:
            path = path[:-1]
        return self._lines.get(path, 1)

    def _scan(self, text: str) -> None:
        table: KeyPath = ()
        number = 1
        for statement in _statements(text):
            header = _HEADER.match(statement)
            if header is not None:
                table = self._enter(header, number)
            else:
                self._assign(table, statement, number)
            number += statement.count("\n")

    def _enter(self, header: re.Match[str], number: int) -> KeyPath:
        *parents, last = _split_key(header["key"])
        path: KeyPath = ()
        for part in parents:
            path = self._latest((*path, part))
        path = (*path, last)
        if header["open"] == "[[":
            self._lines.setdefault(path, number)
            self._array_lengths[path] = self._array_lengths.get(path, 0) + 1
            path = self._latest(path)
        self._lines.setdefault(path, number)
        return path

    def _assign(self, table: KeyPath, statement: str, number: int) -> None:
        assignment = _ASSIGNMENT.match(statement)
        if assignment is not None:
            path = (*table, *_split_key(assignment["key"]))
            self._lines.setdefault(path, number)

    def _latest(self, path: KeyPath) -> KeyPath:
        length = self._array_lengths.get(path)
        return path if length is None else (*path, length - 1)


def _statements(text: str) -> list[str]:
    """Cut at line ends that are outside strings and brackets."""
    statements, start, depth, position = [], 0, 0, 0
    for token in _TOKEN.finditer(text):
        if depth == 0:
            start = _cut(text, start, position, token.start(), statements)
        depth += {"[": 1, "{": 1, "]": -1, "}": -1}.get(token[0], 0)
        position = token.end()
    _cut(text, start, position, len(text), statements)
    return statements


def _cut(text: str, start: int, begin: int, end: int, statements: list[str]) -> int:
    while (line_end := text.find("\n", begin, end)) >= 0:
        statements.append(text[start : line_end + 1])
        start = begin = line_end + 1
    return start


def _split_key(key: str) -> list[str]:
    # Let tomllib read quotes and dots: a nested table with one entry at each level.
    try:
        value = tomllib.loads(f"{key.strip()} = 0")
    # A quoted key with brackets in it was cut short: its line is lost, no more.
    except tomllib.TOMLDecodeError:
        return [key]
    parts: list[str] = []
    while isinstance(value, dict):
        (part, value), *_ = value.items()
        parts.append(part)
    return parts
