"""The SQL data of one member: committed data for readers, a copy for the writer.

Readers and the one write transaction use two separate in-memory SQLite databases.
A transaction runs on the writer's copy; at commit its statements run again on the
readers' database, in one SQLite transaction together with the record of the request
id. So uncommitted data can't be seen, readers wait for no writer, and a replica and
a primary take the same path. The price: statements are replicated as text and must
be deterministic (no random(), no 'now'). A read-only transaction reads from a copy
made when it began.
"""

from __future__ import annotations

import re
import sqlite3
from dataclasses import dataclass

from mallowpass.standins.log import EMPTY, LogEntry, Position, Statement

__all__ = ["ForbiddenSql", "Record", "Result", "Snapshot", "Store", "Writer"]

_LEADING = r"(?:\s|;|\ufeff|--[^\n]*(?:\n|$)|/\*.*?(?:\*/|$))*"
_FORBIDDEN = re.compile(
    _LEADING + r"(BEGIN|COMMIT|END|ROLLBACK|SAVEPOINT|RELEASE|ATTACH|DETACH|PRAGMA"
    r"|VACUUM)\b",
    re.IGNORECASE | re.DOTALL,
)
_RECORD_TABLES = (
    "CREATE TABLE mallowpass_requests (request_id TEXT PRIMARY KEY, term INTEGER,"
    " position INTEGER, rows BLOB) WITHOUT ROWID",
    "CREATE TABLE mallowpass_fences (request_id TEXT PRIMARY KEY, term INTEGER,"
    " position INTEGER, attempt INTEGER) WITHOUT ROWID",
)


class ForbiddenSql(Exception):
    """Report SQL that would open, end or leave a transaction or the database."""


@dataclass(frozen=True, slots=True)
class Result:
    """Hold the rows of one statement; `affected` is -1 when unknown."""

    columns: tuple[str, ...]
    rows: list[tuple]
    affected: int


@dataclass(frozen=True, slots=True)
class Record:
    """Hold what is recorded for a request id: its answer, or its fence."""

    place: Position
    rows: bytes = b""
    fenced_attempt: int = 0


class Snapshot:
    """Read data that no longer changes."""

    __slots__ = ("_connection", "applied")

    def __init__(self, source: sqlite3.Connection, applied: Position) -> None:
        self._connection = _copy(source)
        self._connection.execute("PRAGMA query_only=ON")
        self.applied = applied

    def read(self, statement: Statement) -> Result:
        return _run(self._connection, statement)


class Writer:
    """Run one write transaction at a time on a copy of the committed data."""

    __slots__ = ("_connection",)

    def __init__(self, source: sqlite3.Connection) -> None:
        self._connection = _copy(source)

    @property
    def in_transaction(self) -> bool:
        return self._connection.in_transaction

    def begin(self) -> None:
        self._connection.execute("BEGIN")

    def commit(self) -> None:
        self._connection.execute("COMMIT")

    def rollback(self) -> None:
        if self._connection.in_transaction:
            self._connection.execute("ROLLBACK")

    def write(self, statement: Statement) -> Result:
        """Run one statement whole or not at all, also `INSERT OR FAIL`."""
        self._connection.execute("SAVEPOINT statement")
        try:
            result = _run(self._connection, statement)
        except Exception:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK TO statement")
                self._connection.execute("RELEASE statement")
            raise
        self._connection.execute("RELEASE statement")
        return result

    def read(self, statement: Statement) -> Result:
        self._connection.execute("PRAGMA query_only=ON")
        try:
            return _run(self._connection, statement)
        finally:
            self._connection.execute("PRAGMA query_only=OFF")


class Store:
    """Hold the committed data and the records of request ids."""

    __slots__ = ("_applied", "_connection", "_snapshot")

    def __init__(self) -> None:
        self._connection = _connect()
        for sql in _RECORD_TABLES:
            self._connection.execute(sql)
        self._connection.execute("PRAGMA query_only=ON")
        self._applied = EMPTY
        self._snapshot: Snapshot | None = None

    @property
    def applied(self) -> Position:
        return self._applied

    def read(self, statement: Statement) -> Result:
        return _run(self._connection, statement)

    def snapshot(self) -> Snapshot:
        """Copy the committed data, once for each applied place."""
        if self._snapshot is None or self._snapshot.applied != self._applied:
            self._snapshot = Snapshot(self._connection, self._applied)
        return self._snapshot

    def writer(self) -> Writer:
        return Writer(self._connection)

    def apply(self, entry: LogEntry) -> None:
        """Run an entry and record its request id in one SQLite transaction."""
        self._connection.execute("PRAGMA query_only=OFF")
        try:
            if entry.statements or entry.request_id:
                self._run_entry(entry)
            self._applied = entry.place
        finally:
            self._connection.execute("PRAGMA query_only=ON")

    def request(self, request_id: str) -> Record | None:
        """Return the recorded answer of a request that ran."""
        row = self._connection.execute(
            "SELECT term, position, rows FROM mallowpass_requests WHERE request_id = ?",
            (request_id,),
        ).fetchone()
        return row and Record(Position(row[0], row[1]), rows=row[2])

    def fence(self, request_id: str) -> Record | None:
        """Return the fence of a request, whose attempts up to it must not run."""
        row = self._connection.execute(
            "SELECT term, position, attempt FROM mallowpass_fences"
            " WHERE request_id = ?",
            (request_id,),
        ).fetchone()
        return row and Record(Position(row[0], row[1]), fenced_attempt=row[2])

    def _run_entry(self, entry: LogEntry) -> None:
        self._connection.execute("BEGIN")
        try:
            for statement in entry.statements:
                _run(self._connection, statement)
            if entry.request_id:
                self._record(entry)
            self._connection.execute("COMMIT")
        except BaseException:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
            raise

    def _record(self, entry: LogEntry) -> None:
        table = "mallowpass_fences" if entry.fence else "mallowpass_requests"
        value = entry.attempt if entry.fence else entry.rows
        self._connection.execute(
            f"INSERT OR REPLACE INTO {table} VALUES (?, ?, ?, ?)",
            (entry.request_id, entry.term, entry.position, value),
        )


def _connect() -> sqlite3.Connection:
    return sqlite3.connect(":memory:", isolation_level=None)


def _copy(source: sqlite3.Connection) -> sqlite3.Connection:
    target = _connect()
    source.backup(target)
    return target


def _run(connection: sqlite3.Connection, statement: Statement) -> Result:
    if _FORBIDDEN.match(statement.sql):
        raise ForbiddenSql(f"not accepted as a statement: {statement.sql[:60]!r}")
    cursor = connection.execute(statement.sql, statement.parameters)
    rows = cursor.fetchall()
    columns = tuple(field[0] for field in cursor.description or ())
    return Result(columns, rows, cursor.rowcount)
