"""Follow a request through the log lines of hosts on the users' platform."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

__all__ = ["LogLine", "explain_request", "parse_line", "read_lines"]

# How long before and after a statement its service is looked at, in seconds: a primary
# that fails is replaced within two.
BEFORE = 5.0
AFTER = 1.0

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# Fields that name an endpoint or a service; lines about the same ones belong together.
_SUBJECTS = ("service", "endpoint", "primary", "target", "before")
_EMPTY = frozenset({"", '""'})


@dataclass(frozen=True, slots=True)
class LogLine:
    """Hold one line; `source` is what stood before it, or the file it came from."""

    at: float  # seconds, as its host's clock told
    source: str
    event: str
    text: str  # the line without its source
    fields: dict[str, str]

    @property
    def subjects(self) -> frozenset[str]:
        """Return the names of endpoints and services that it is about."""
        found = {self.fields.get(name, "") for name in _SUBJECTS}
        return frozenset(found - _EMPTY)


def parse_line(line: str, source: str = "") -> LogLine | None:
    """Return a host's line, None if it is none; other programs may write between."""
    start = line.find("ts=")
    if start < 0:
        return None
    text = line[start:].rstrip("\n")
    fields = {name: _plain(value) for name, value in _PAIR.findall(text)}
    try:
        at = float(fields["ts"])
        event = fields["event"]
    except (KeyError, ValueError):
        return None
    prefix = line[:start].split()
    return LogLine(at, prefix[-1] if prefix else source, event, text, fields)


def _plain(value: str) -> str:
    return value[1:-1] if value.startswith('"') else value


def read_lines(names: Iterable[str]) -> Iterator[LogLine]:
    """Yield the lines of files; OSError for one that can't be read."""
    for name in names:
        with open(name, encoding="utf-8", errors="replace") as file:
            for line in file:
                found = parse_line(line, name)
                if found is not None:
                    yield found


def explain_request(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Return the lines of a request, and what was decided about its service then.

    The lines are in the order of their times; none if the request has none.
    """
    known = list(lines)
    own = [line for line in known if line.fields.get("request") == request]
    if not own:
        return []
    subjects = frozenset().union(*(line.subjects for line in own))
    begin = own[0].at - BEFORE
    end = own[-1].at + AFTER
    around = [
        line
        for line in known
        if "request" not in line.fields
        and begin <= line.at <= end
        and line.subjects & subjects
    ]
    return sorted(own + around, key=lambda line: line.at)
