"""The replication log of one member of a database group, without input or output."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EMPTY", "LogEntry", "Position", "ReplicationLog", "Statement"]


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """Name a place in a log; places compare by term first."""

    term: int
    position: int


EMPTY = Position(0, 0)


@dataclass(frozen=True, slots=True)
class Statement:
    """Hold one statement of a transaction with its parameters."""

    sql: str
    parameters: tuple


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold one transaction, one fence or the start of a term.

    `rows` is the serialized answer that a repeated request id gets. An entry with
    `fence` set runs nothing: it fences the attempts up to `attempt`.
    """

    term: int
    position: int
    statements: tuple[Statement, ...] = ()
    request_id: str = ""
    attempt: int = 0
    rows: bytes = b""
    fence: bool = False

    @property
    def place(self) -> Position:
        return Position(self.term, self.position)


class ReplicationLog:
    """Keep entries at consecutive positions with terms that never fall."""

    __slots__ = ("_entries", "_starts")

    def __init__(self) -> None:
        self._entries: list[LogEntry] = []
        self._starts: list[int] = []  # the position at which each term begins

    @property
    def end(self) -> Position:
        return self._entries[-1].place if self._entries else EMPTY

    @property
    def term_start(self) -> int:
        """Return the position of the first entry of the last entry's term."""
        return self._starts[-1] if self._starts else 0

    def older_starts(self, count: int) -> list[Position]:
        """Return where the terms before the last entry's start, newest first."""
        older = self._starts[:-1][::-1]
        return [self._entries[start - 1].place for start in older[:count]]

    def append(self, entry: LogEntry) -> None:
        if entry.position != len(self._entries) + 1 or entry.term < self.end.term:
            raise ValueError(f"entry {entry.place} does not follow {self.end}")
        if entry.term != self.end.term:
            self._starts.append(entry.position)
        self._entries.append(entry)

    def place_at(self, position: int) -> Position | None:
        """Return the place at a position, None past the end."""
        if position == 0:
            return EMPTY
        if position > len(self._entries):
            return None
        return self._entries[position - 1].place

    def holds(self, place: Position) -> bool:
        return self.place_at(place.position) == place

    def after(self, position: int) -> tuple[LogEntry, ...]:
        return tuple(self._entries[position:])

    def common_end(self, other: ReplicationLog) -> Position:
        """Return the last place that both logs hold.

        Equal places mean equal logs up to there, because one term has one
        primary and entries are only taken behind a place that is held already.
        """
        position = min(len(self._entries), len(other._entries))
        while self.place_at(position) != other.place_at(position):
            position -= 1
        return self.place_at(position) or EMPTY

    def truncate(self, position: int) -> None:
        """Drop the entries after a position."""
        del self._entries[position:]
        while self._starts and self._starts[-1] > position:
            self._starts.pop()
