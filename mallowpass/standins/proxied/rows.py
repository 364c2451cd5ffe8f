"""A stand-in for the fleet's row store: versions, conditions, changes, faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

from mallowpass.core.proxy.configuration import Configuration
from mallowpass.core.proxy.storage import (
    ChangeRows,
    EndpointEntry,
    ListRows,
    Row,
    RowKey,
    StoreCall,
    StoreReply,
    StoreStatus,
    Table,
    Unreadable,
    WatchRows,
    make_version,
    store_version,
)
from mallowpass.core.timers import TimerService

__all__ = ["RowStore", "StoreCopy", "StoreFaults"]

_OF_OTHERS = (Table.CONFIGURATION, Table.ENDPOINTS)
HISTORY = 20.0  # seconds that changes are kept for those who follow a table

# Unreadable and bytes are what another writer put there, decoded or not.
Value = Configuration | EndpointEntry | Unreadable | str | bytes
Answer = Callable[[StoreReply], None]


class StoreFaults:
    """Hold what is wrong with the store right now; all of it may change at any time."""

    __slots__ = (
        "answers_lost",
        "delay",
        "ignored",
        "late",
        "read_age",
        "refusing",
        "silent",
        "turned_away",
        "unwatched",
    )

    def __init__(self) -> None:
        self.delay = 0.004  # seconds that each call takes
        self.refusing = False  # each call is refused, nothing is done
        self.silent = False  # no call is answered, nothing is done
        self.answers_lost = 0.0  # share of the changes whose answer is lost
        self.late = 0.0  # seconds after which changes without an answer are done
        self.read_age = 0.0  # seconds by which lists of rows are outdated
        self.turned_away: set[str] = set()  # callers that are refused
        self.ignored: set[str] = set()  # callers that get no answer
        # Callers that are told of no changes; their other calls are answered.
        self.unwatched: set[str] = set()


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold all rows of a store as they were at some time."""

    rows: dict[RowKey, Row]
    version: int


class _Watcher:
    """Hold a call that waits for changes."""

    __slots__ = ("after", "answer", "caller", "table")

    def __init__(self, caller: str, table: Table, after: int, answer: Answer) -> None:
        self.caller = caller
        self.table = table
        self.after = after
        self.answer: Answer | None = answer


class RowStore:
    """Keep rows, and answer calls after a delay."""

    __slots__ = (
        "_changes",
        "_era",
        "_forgotten",
        "_random",
        "_rows",
        "_timers",
        "_version",
        "_watchers",
        "calls",
        "faults",
    )

    def __init__(self, timers: TimerService, seed: int = 0) -> None:
        self._timers = timers
        self._random = random.Random(seed)
        self._rows: dict[RowKey, Row] = {}
        self._version = 0
        self._era = 1
        # When each row changed, to what, and what it was.
        self._changes: list[tuple[float, Row, Row | None]] = []
        self._forgotten = 0  # changes up to this version are no longer known
        self._watchers: list[_Watcher] = []
        self.faults = StoreFaults()
        self.calls = 0

    # -- What others write ---------------------------------------------------

    def put(self, key: RowKey, value: Value) -> int:
        """Write a row as an operator or endpoint does; return the new version."""
        self._version += 1
        self._write(key, value)
        self._notify()
        return make_version(self._era, self._version)

    def delete(self, key: RowKey) -> None:
        """Delete a row as an operator or endpoint does."""
        self._version += 1
        self._write(key, None)
        self._notify()

    def get(self, key: RowKey) -> Row:
        """Return a row as it is now."""
        return self._told(self._rows.get(key, Row(key)))

    def forget_history(self) -> None:
        """Discard all changes; whoever follows a table must list it again."""
        self._changes.clear()
        self._forgotten = self._version

    def refuse_all(self) -> None:
        """Refuse all calls from now on, also those that wait for changes."""
        self.faults.refusing = True
        for watcher in list(self._watchers):
            self._finish(watcher, StoreReply(StoreStatus.REFUSED, message="away"))

    # -- Copies --------------------------------------------------------------

    @property
    def era(self) -> int:
        """Return how often the store was restored from a backup, plus one."""
        return self._era

    def copy(self) -> StoreCopy:
        """Return all rows as they are."""
        return StoreCopy(dict(self._rows), self._version)

    def come_back(self, copy: StoreCopy, written_again: float) -> None:
        """Go back to a copy: what hosts wrote since is gone, versions are given anew.

        What operators and endpoints wrote is written again after as many seconds.
        """
        others = {
            key: row.value for key, row in self._rows.items() if key.table in _OF_OTHERS
        }
        gone = [
            key for key in copy.rows if key.table in _OF_OTHERS and key not in others
        ]
        self._rows = dict(copy.rows)
        self._version = copy.version
        self._era += 1
        self._changes.clear()
        self._forgotten = copy.version
        for watcher in list(self._watchers):
            self._finish(watcher, StoreReply(StoreStatus.REFUSED, message="away"))
        self._timers.after(written_again, self._write_again, others, gone, copy.version)

    def _write_again(
        self, others: dict[RowKey, Value], gone: list[RowKey], copied: int
    ) -> None:
        for key, value in others.items():
            row = self._rows.get(key, Row(key))
            if row.value != value and row.version <= copied:
                self.put(key, value)
        for key in gone:
            if self._rows.get(key, Row(key)).version <= copied:
                self.delete(key)

    # -- Calls ---------------------------------------------------------------

    def call(self, caller: str, call: StoreCall, answer: Answer) -> None:
        """Carry out a call; `answer` gets the reply, or is never called."""
        self.calls += 1
        self._timers.after(self.faults.delay, self._arrive, caller, call, answer)

    def _arrive(self, caller: str, call: StoreCall, answer: Answer) -> None:
        faults = self.faults
        if faults.silent or caller in faults.ignored:
            return
        if faults.refusing or caller in faults.turned_away:
            answer(StoreReply(StoreStatus.REFUSED, message="turned away"))
            return
        self._carry_out(call, caller, answer)

    @singledispatchmethod
    def _carry_out(self, call: StoreCall, caller: str, answer: Answer) -> None:
        raise TypeError(f"no such call: {type(call).__name__}")

    @_carry_out.register
    def _(self, call: ListRows, caller: str, answer: Answer) -> None:
        copy = self._outdated_copy()
        rows = [
            row
            for key, row in sorted(copy.rows.items(), key=lambda item: item[0].key)
            if key.table is call.table and key.part == call.part
        ]
        reply = self._reply(StoreStatus.DONE, rows)
        answer(replace(reply, version=make_version(self._era, copy.version)))

    def _outdated_copy(self) -> StoreCopy:
        """Return the rows as they were some time ago, or as they are."""
        rows, version = dict(self._rows), self._version
        since = self._timers.now - self.faults.read_age
        for at, row, before in reversed(self._changes):
            if at <= since:
                break
            version = row.version - 1
            if before is None:
                rows.pop(row.key, None)
            else:
                rows[row.key] = before
        return StoreCopy(rows, version)

    @_carry_out.register
    def _(self, call: WatchRows, caller: str, answer: Answer) -> None:
        after = store_version(call.after)
        if after > self._version:
            answer(self._reply(StoreStatus.HISTORY_GONE))
            return
        watcher = _Watcher(caller, call.table, after, answer)
        self._watchers.append(watcher)
        self._timers.after(call.wait, self._end_watch, watcher)
        self._notify()

    @_carry_out.register
    def _(self, call: ChangeRows, caller: str, answer: Answer) -> None:
        lost = self._random.random() < self.faults.answers_lost
        if lost and self.faults.late:
            self._timers.after(self.faults.late, self._change, call)
            return
        reply = self._change(call)
        if not lost:
            answer(reply)

    def _change(self, call: ChangeRows) -> StoreReply:
        wrong = [key for key, version in call.expected if not self._is(key, version)]
        if wrong:
            rows = [self._rows.get(key, Row(key)) for key, _ in call.expected]
            return self._reply(StoreStatus.CONFLICT, rows)
        self._version += 1
        for key, value in call.puts:
            self._write(key, value)
        for key in call.deletes:
            self._write(key, None)
        self._notify()
        return self._reply(StoreStatus.DONE)

    def _is(self, key: RowKey, version: int) -> bool:
        # The store knows no eras in versions.
        known = self._rows.get(key, Row(key)).version
        return known == store_version(version)

    def _write(self, key: RowKey, value: Value | None) -> None:
        row = Row(key, self._version, value)
        before = self._rows.get(key)
        if value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = row
        self._changes.append((self._timers.now, row, before))

    # -- Watching ------------------------------------------------------------

    def _notify(self) -> None:
        self._trim()
        for watcher in list(self._watchers):
            if watcher.after < self._forgotten:
                self._finish(watcher, self._reply(StoreStatus.HISTORY_GONE))
                continue
            rows = [
                row
                for _, row, _ in self._changes
                if row.key.table is watcher.table and row.version > watcher.after
            ]
            if rows:
                self._finish(watcher, self._reply(StoreStatus.DONE, rows))

    def _trim(self) -> None:
        oldest = self._timers.now - HISTORY
        while self._changes and self._changes[0][0] < oldest:
            self._forgotten = self._changes.pop(0)[1].version

    def _end_watch(self, watcher: _Watcher) -> None:
        if watcher in self._watchers:
            self._finish(watcher, self._reply(StoreStatus.DONE))

    def _finish(self, watcher: _Watcher, reply: StoreReply) -> None:
        self._watchers.remove(watcher)
        ignored = self.faults.ignored | self.faults.unwatched
        if not self.faults.silent and watcher.caller not in ignored:
            self._timers.after(self.faults.delay, watcher.answer, reply)

    def _told(self, row: Row) -> Row:
        """Return a row as it is told, with a version of this era."""
        version = make_version(self._era, row.version) if row.version else 0
        return replace(row, version=version)

    def _reply(self, status: StoreStatus, rows: list[Row] | None = None) -> StoreReply:
        told = tuple(map(self._told, rows or ()))
        version = make_version(self._era, self._version)
        return StoreReply(status, told, version, self._timers.now, era=self._era)
