"""One member of a database group: its term, its log and its one write transaction.

No gRPC here. The rules that safety rests on: a write runs only on the primary of
exactly the term it names; a promise of a higher term stops a primary and refuses the
entries of older ones; a request id is recorded with the transaction it came with.
"""

from __future__ import annotations

import asyncio
import enum
import sqlite3
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from mallowpass.schema import endpoint_pb2, values_pb2
from mallowpass.standins.log import LogEntry, Position, ReplicationLog, Statement
from mallowpass.standins.storage import ForbiddenSql, Record, Result, Store

if TYPE_CHECKING:
    from mallowpass.standins.group import Group, LagSampler, Shipment

__all__ = ["Faults", "Member", "Refused", "Role", "SqlGuard", "WriteTransaction"]

FIRST_TERM = 1
_SQL_FAILURES = (sqlite3.Error, sqlite3.Warning, ValueError, OverflowError)


class Role(enum.IntEnum):
    """Say what a member is in its group."""

    REPLICA = endpoint_pb2.REPLICA
    PRIMARY = endpoint_pb2.PRIMARY
    FENCED_PRIMARY = endpoint_pb2.FENCED_PRIMARY


class Refused(Exception):
    """Refuse a call with a code of endpoint.proto."""

    def __init__(
        self, code: int, message: str, attempt: int = 0, record: Record | None = None
    ) -> None:
        super().__init__(message)
        self.code = code
        self.attempt = attempt
        self.record = record


@dataclass(slots=True)
class Faults:
    """Hold the faults that are set on one member."""

    cut_off_from: frozenset[str] = frozenset()
    cut_off_from_hosts: bool = False
    lose_answers: int = 0
    lose_control_answers: int = 0
    cross_answers: int = 0
    late_answers_s: float = 0.0
    leaving: bool = False
    probe_loss: float = 0.0

    def take(self, name: str) -> bool:
        """Use up one of a counted fault."""
        left = getattr(self, name)
        if left:
            setattr(self, name, left - 1)
        return left > 0


@dataclass(slots=True, eq=False)
class WriteTransaction:
    """Collect the statements of the one open write transaction."""

    member: Member
    term: int
    request_id: str
    attempt: int
    statements: list[Statement] = field(default_factory=list)
    affected: int = 0

    @property
    def open(self) -> bool:
        return self.member.transaction is self

    def check_open(self) -> None:
        if self.open:
            return
        if self.member.term != self.term:
            raise Refused(endpoint_pb2.WRONG_TERM, "rolled back by a new term")
        raise Refused(endpoint_pb2.CONFLICT, "rolled back before")

    def read(self, statement: Statement) -> Result:
        with SqlGuard(self):
            return self.member.writer.read(statement)

    def write(self, statement: Statement) -> Result:
        with SqlGuard(self):
            result = self.member.writer.write(statement)
        self.statements.append(statement)
        self.affected += max(result.affected, 0)
        return result

    def commit(self, rows: values_pb2.Rows) -> Position:
        return self.member.commit(self, rows)

    def rollback(self) -> None:
        self.member.rollback(self)


class SqlGuard:
    """Turn failures of SQL into refusals; end a transaction that SQLite ended."""

    __slots__ = ("_transaction",)

    def __init__(self, transaction: WriteTransaction | None = None) -> None:
        self._transaction = transaction

    def __enter__(self) -> None:
        pass

    def __exit__(self, kind, error, trace) -> None:
        if isinstance(error, ForbiddenSql):
            raise Refused(endpoint_pb2.BAD_CALL, str(error)) from error
        if not isinstance(error, _SQL_FAILURES):
            return
        transaction = self._transaction
        if transaction and not transaction.member.writer.in_transaction:
            transaction.rollback()
            raise Refused(endpoint_pb2.CONFLICT, f"rolled back: {error}") from error
        raise Refused(endpoint_pb2.SQL_ERROR, str(error)) from error


class Member:
    """Hold the state of one member; every change happens within one loop turn."""

    def __init__(
        self, name: str, group: Group, lag: LagSampler, writer_wait_s: float
    ) -> None:
        self.name = name
        self.group = group
        self.lag = lag
        self.faults = Faults()
        self.log = ReplicationLog()
        self.store = Store()
        self.term = 0
        self.proposer = ""
        self.role = Role.REPLICA
        self.primary = ""
        self.writer = None
        self.transaction: WriteTransaction | None = None
        self.news: set[asyncio.Event] = set()
        self.awake = asyncio.Event()  # not set: paused
        self.awake.set()
        self._crashed = False
        self._heard_at: float | None = None
        self._pending: deque[tuple[float, LogEntry]] = deque()
        self._apply_timer: asyncio.TimerHandle | None = None
        self._writer_lock = asyncio.Lock()
        self._writer_wait_s = writer_wait_s

    @property
    def applied(self) -> Position:
        return self.store.applied

    @property
    def crashed(self) -> bool:
        return self._crashed

    @property
    def running(self) -> bool:
        return self.awake.is_set() and not self._crashed

    @property
    def silent_since(self) -> float | None:
        """Return when the primary was last heard, None when unknown."""
        if self.role is Role.PRIMARY or not self.primary:
            return None
        return self._heard_at

    @property
    def silence_ms(self) -> int:
        """Return the time since the primary was heard, -1 when unknown."""
        if self.role is Role.PRIMARY:
            return 0
        since = self.silent_since
        return -1 if since is None else round((_now() - since) * 1000)

    def holds(self, place: Position) -> bool:
        """Tell whether the log reached a place, or never will in the place's term."""
        end = self.log.end
        return self._is_over(place) or (end.term == place.term and end >= place)

    def shows(self, place: Position) -> bool:
        """Tell whether reads see a place, or never will in the place's term."""
        return self._is_over(place) or self.applied >= place

    def _is_over(self, place: Position) -> bool:
        return self.term > place.term or self.log.end.term > place.term

    def start(self, first_primary: str) -> None:
        """Begin term 1 with one entry that every member has."""
        self.term = FIRST_TERM
        self.primary = first_primary
        self.role = Role.PRIMARY if self.name == first_primary else Role.REPLICA
        self._heard_at = _now()
        entry = LogEntry(FIRST_TERM, 1)
        self.log.append(entry)
        self.store.apply(entry)

    # Terms: promise, promote, follow

    def promise(self, term: int, proposer: str) -> None:
        if not proposer:
            raise Refused(endpoint_pb2.BAD_CALL, "a promise needs a proposer")
        if term < self.term or (term == self.term and proposer != self.proposer):
            raise Refused(endpoint_pb2.WRONG_TERM, f"promised {self.term} already")
        if term == self.term:
            return
        self._enter_term(term, proposer)
        # Without this a replaced primary would go on acknowledging writes, seen as
        # writes that are gone after the promotion.
        if self.role is Role.PRIMARY:
            self.role = Role.FENCED_PRIMARY
        self._changed()

    def promote(self, term: int, proposer: str, expected: Position) -> None:
        if term != self.term or not proposer or proposer != self.proposer:
            raise Refused(endpoint_pb2.WRONG_TERM, f"promised {self.term} to another")
        if self.role is Role.PRIMARY:
            return
        if self.primary not in ("", self.name):
            message = f"follows {self.primary} in term {term}"
            raise Refused(endpoint_pb2.BAD_CALL, message)
        if expected.position and expected != self.log.end:
            message = f"log ends at {self.log.end}, not {expected}"
            raise Refused(endpoint_pb2.BAD_CALL, message)
        self._apply_all()
        self.role = Role.PRIMARY
        self.primary = self.name
        if self.log.end.term != term:
            self._append(LogEntry(term, self.log.end.position + 1))
        self._changed()

    def follow(self, term: int, primary: str) -> None:
        if term < self.term:
            raise Refused(endpoint_pb2.WRONG_TERM, f"promised {self.term} already")
        if primary == self.name or primary not in self.group.members:
            raise Refused(endpoint_pb2.BAD_CALL, f"can't follow {primary!r}")
        if term > self.term:
            self._enter_term(term, "")
        if self.primary not in ("", primary):
            message = f"term {term} has the primary {self.primary}"
            raise Refused(endpoint_pb2.BAD_CALL, message)
        if self.primary != primary:
            self._heard_at = _now()
        self.role = Role.REPLICA
        self.primary = primary
        self.group.ask(self)
        self._changed()

    # Writes: one transaction at a time

    def check_write(self, term: int, request_id: str, attempt: int) -> None:
        """Refuse a write of another term, a repeated one and a fenced one."""
        self.check_primary(term)
        if not request_id:
            return
        record = self.store.request(request_id)
        if record:
            message = f"{request_id} ran already"
            raise Refused(endpoint_pb2.ALREADY_RUN, message, record=record)
        fence = self.store.fence(request_id)
        if fence and attempt <= fence.fenced_attempt:
            message = f"{request_id} is fenced up to attempt {fence.fenced_attempt}"
            raise Refused(endpoint_pb2.FENCED, message, fence.fenced_attempt)

    def check_primary(self, term: int) -> None:
        if self.role is not Role.PRIMARY or term != self.term:
            message = f"{self.role.name} of term {self.term}, not PRIMARY of {term}"
            raise Refused(endpoint_pb2.WRONG_TERM, message)

    def check_minimum(self, minimum: Position, applied: Position) -> None:
        if applied < minimum:
            raise Refused(endpoint_pb2.BEHIND, f"applied {applied}, not {minimum}")

    async def begin(self, term: int, request_id: str, attempt: int) -> WriteTransaction:
        """Open the write transaction once no other is open."""
        self.check_write(term, request_id, attempt)
        await self._take_writer_lock()
        try:
            await self.awake.wait()
            # Again: the term, the records and the fences may have changed meanwhile.
            self.check_write(term, request_id, attempt)
            self.writer = self.writer or self.store.writer()
            self.writer.begin()
        except BaseException:
            self._writer_lock.release()
            raise
        self.transaction = WriteTransaction(self, term, request_id, attempt)
        return self.transaction

    def commit(self, transaction: WriteTransaction, rows: values_pb2.Rows) -> Position:
        """Record the transaction in log and data; return its place."""
        transaction.check_open()
        try:
            self.check_write(
                transaction.term, transaction.request_id, transaction.attempt
            )
            if not transaction.statements and not transaction.request_id:
                return self.applied
            with SqlGuard():
                return self._commit(transaction, rows)
        finally:
            self.rollback(transaction)

    def rollback(self, transaction: WriteTransaction) -> None:
        """End a transaction; what it did not commit is gone."""
        if not transaction.open:
            return
        self.transaction = None
        self.writer.rollback()
        self._writer_lock.release()

    def outcome(self, request_id: str, term: int, fence_up_to: int | None):
        """Return the state of a request and its record; fence it when asked to."""
        self.check_primary(term)
        record = self.store.request(request_id)
        if record:
            return endpoint_pb2.RECORDED, record
        if self.transaction and self.transaction.request_id == request_id:
            return endpoint_pb2.RUNNING, None
        fence = self.store.fence(request_id)
        if fence_up_to is None or (fence and fence.fenced_attempt >= fence_up_to):
            return endpoint_pb2.NOT_RECORDED, fence
        # An entry, not a note of this member: the fence has to outlive a promotion,
        # or a late copy would run after its caller was told that it never will.
        self._append(self._next(request_id, fence_up_to, fence=True))
        self._changed()
        return endpoint_pb2.NOT_RECORDED, self.store.fence(request_id)

    # Replication

    def hear(self, shipment: Shipment) -> None:
        """Take entries and heartbeats from the primary of this term only."""
        if (
            self.role is not Role.REPLICA
            or shipment.term != self.term
            or shipment.sender != self.primary
        ):
            return
        self._heard_at = _now()
        if not self.log.holds(shipment.previous):
            return
        for entry in shipment.entries:
            if not self.log.holds(entry.place):
                self._receive(entry)
        if shipment.entries:
            self._changed()

    def set_lag(self, median_s: float, p99_s: float) -> None:
        self.lag.set(median_s, p99_s)
        now = _now()
        # Entries that wait for a longer lag than the new one must not hold up others.
        for _ in range(len(self._pending)):
            due, entry = self._pending.popleft()
            self._pending.append((min(due, now + self.lag.at(now)), entry))
        self._apply_due()

    # Faults

    def set_leaving(self, leaving: bool) -> None:
        self.faults.leaving = leaving
        self._changed()

    def crash(self) -> None:
        """Stop; log, term and promise are kept, the role is not."""
        self._crashed = True
        self._stop_writing()
        if self.role is not Role.REPLICA:
            self.primary = ""
        self.role = Role.REPLICA
        self._heard_at = None

    def recover(self) -> None:
        self._crashed = False
        self._apply_due()
        self.group.ask(self)
        self._changed()

    def pause(self) -> None:
        self.awake.clear()

    def resume(self) -> None:
        self.awake.set()
        self._apply_due()
        self._changed()

    # Private

    def _enter_term(self, term: int, proposer: str) -> None:
        self._stop_writing()
        self.term = term
        self.proposer = proposer
        self.primary = ""

    def _stop_writing(self) -> None:
        if self.transaction is not None:
            self.rollback(self.transaction)
        self.writer = None

    async def _take_writer_lock(self) -> None:
        try:
            async with asyncio.timeout(self._writer_wait_s):
                await self._writer_lock.acquire()
        except TimeoutError:
            message = f"another transaction held the lock for {self._writer_wait_s} s"
            raise Refused(endpoint_pb2.CONFLICT, message) from None

    def _commit(self, transaction: WriteTransaction, rows: values_pb2.Rows) -> Position:
        entry = self._next(
            transaction.request_id,
            transaction.attempt,
            tuple(transaction.statements),
            rows.SerializeToString(),
        )
        self.writer.commit()
        try:
            self._append(entry)
        except BaseException:
            # The copy is ahead of the data now: the next transaction gets a new one.
            self.rollback(transaction)
            self.writer = None
            raise
        self._changed()
        return entry.place

    def _next(self, request_id, attempt, statements=(), rows=b"", fence=False):
        position = self.log.end.position + 1
        return LogEntry(
            self.term, position, statements, request_id, attempt, rows, fence
        )

    def _append(self, entry: LogEntry) -> None:
        self.store.apply(entry)
        self.log.append(entry)
        self.group.publish(self)

    def _receive(self, entry: LogEntry) -> None:
        if entry.position <= self.log.end.position:
            self._truncate(entry.position - 1)
        self.log.append(entry)
        now = _now()
        self._pending.append((now + self.lag.at(now), entry))
        self._apply_due()

    def _truncate(self, position: int) -> None:
        """Drop entries that the primary of this term does not have."""
        self.log.truncate(position)
        while self._pending and self._pending[-1][1].position > position:
            self._pending.pop()
        if self.applied.position > position:
            self.store = Store()
            for entry in self.log.after(0):
                self.store.apply(entry)

    def _apply_due(self) -> None:
        if self._apply_timer is not None:
            self._apply_timer.cancel()
            self._apply_timer = None
        if not self.running:
            return
        now = _now()
        before = self.applied
        # Always the oldest first, so that a short lag can't overtake a long one.
        while self._pending and self._pending[0][0] <= now:
            self.store.apply(self._pending.popleft()[1])
        if self._pending:
            loop = asyncio.get_running_loop()
            self._apply_timer = loop.call_at(self._pending[0][0], self._apply_due)
        if self.applied != before:
            self._changed()

    def _apply_all(self) -> None:
        while self._pending:
            self.store.apply(self._pending.popleft()[1])

    def _changed(self) -> None:
        for event in self.news:
            event.set()


def _now() -> float:
    return asyncio.get_running_loop().time()
