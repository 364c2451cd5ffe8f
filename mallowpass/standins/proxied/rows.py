"""A stand-in for the fleet's row store: versions, conditions, changes, faults."""

from __future__ import annotations

import random
from collections.abc import Callable
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
)
from mallowpass.core.timers import TimerService

__all__ = ["RowStore", "StoreFaults"]

HISTORY = 20.0  # seconds that changes are kept for those who follow a table

# Unreadable and bytes are what another writer put there, decoded or not.
Value = Configuration | EndpointEntry | Unreadable | str | bytes
Answer = Callable[[StoreReply], None]


class StoreFaults:
    """Hold what is wrong with the store right now; all of it may change at any time."""

    __slots__ = ("answers_lost", "delay", "late", "refusing", "silent", "turned_away")

    def __init__(self) -> None:
        self.delay = 0.004  # seconds that each call takes
        self.refusing = False  # each call is refused, nothing is done
        self.silent = False  # no call is answered, nothing is done
        self.answers_lost = 0.0  # share of the changes whose answer is lost
        self.late = 0.0  # seconds after which changes without an answer are done
        self.turned_away: set[str] = set()  # callers that are refused


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
        self._changes: list[tuple[float, Row]] = []
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
        return self._version

    def delete(self, key: RowKey) -> None:
        """Delete a row as an operator or endpoint does."""
        self._version += 1
        self._write(key, None)
        self._notify()

    def get(self, key: RowKey) -> Row:
        """Return a row as it is now."""
        return self._rows.get(key, Row(key))

    def forget_history(self) -> None:
        """Discard all changes; whoever follows a table must list it again."""
        self._changes.clear()
        self._forgotten = self._version

    def refuse_all(self) -> None:
        """Refuse all calls from now on, also those that wait for changes."""
        self.faults.refusing = True
        for watcher in list(self._watchers):
            self._finish(watcher, StoreReply(StoreStatus.REFUSED, message="away"))

    # -- Calls ---------------------------------------------------------------

    def call(self, caller: str, call: StoreCall, answer: Answer) -> None:
        """Carry out a call; `answer` gets the reply, or is never called."""
        self.calls += 1
        self._timers.after(self.faults.delay, self._arrive, caller, call, answer)

    def _arrive(self, caller: str, call: StoreCall, answer: Answer) -> None:
        faults = self.faults
        if faults.silent:
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
        rows = [
            row
            for key, row in sorted(self._rows.items(), key=lambda item: item[0].key)
            if key.table is call.table and key.part == call.part
        ]
        answer(self._reply(StoreStatus.DONE, rows))

    @_carry_out.register
    def _(self, call: WatchRows, caller: str, answer: Answer) -> None:
        watcher = _Watcher(caller, call.table, call.after, answer)
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
            rows = [self.get(key) for key, _ in call.expected]
            return self._reply(StoreStatus.CONFLICT, rows)
        self._version += 1
        for key, value in call.puts:
            self._write(key, value)
        for key in call.deletes:
            self._write(key, None)
        self._notify()
        return self._reply(StoreStatus.DONE)

    def _is(self, key: RowKey, version: int) -> bool:
        return self.get(key).version == version

    def _write(self, key: RowKey, value: Value | None) -> None:
        row = Row(key, self._version, value)
        if value is None:
            self._rows.pop(key, None)
        else:
            self._rows[key] = row
        self._changes.append((self._timers.now, row))

    # -- Watching ------------------------------------------------------------

    def _notify(self) -> None:
        self._trim()
        for watcher in list(self._watchers):
            if watcher.after < self._forgotten:
                self._finish(watcher, self._reply(StoreStatus.HISTORY_GONE))
                continue
            rows = [
                row
                for _, row in self._changes
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
        if not self.faults.silent:
            self._timers.after(self.faults.delay, watcher.answer, reply)

    def _reply(self, status: StoreStatus, rows: list[Row] | None = None) -> StoreReply:
        return StoreReply(status, tuple(rows or ()), self._version, self._timers.now)
