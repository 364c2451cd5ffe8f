"""A stand-in for one service's group: a primary, its replicas, and their faults.

Commits are numbered within terms. A replica receives them some time after the primary
has them, and applies them later. A commit is acknowledged once enough replicas have
received it.
"""

from __future__ import annotations

import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from mallowpass.core.proxy.statements import (
    Access,
    Begin,
    Code,
    Commit,
    Demote,
    EndpointCall,
    EndpointReply,
    EndpointStatus,
    Execute,
    LogPosition,
    Pause,
    Prepare,
    Read,
    Reset,
    Resume,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    Status,
    Write,
)
from mallowpass.core.timers import TimerService

__all__ = ["Group", "GroupTimes", "Replica", "ReplicaConnection"]

Done = Callable[[EndpointReply], None]


@dataclass(slots=True)
class GroupTimes:
    """Hold the times of a group, in seconds."""

    work: float = 0.006  # of a statement, in a slot
    network: float = 0.001  # until a replica has received a commit
    lag: float = 0.008  # from then until it has applied it
    promotion: float = 0.3


@dataclass(frozen=True, slots=True)
class _Entry:
    """Hold one commit: its place, its caller's request and what it wrote."""

    position: LogPosition
    request_id: str
    writes: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class Replica:
    """Hold one member of the group, primary or not."""

    name: str
    is_primary: bool = False
    term: int = 1
    log: list[_Entry] = field(default_factory=list)
    applied: int = 0  # entries of the log that reads see
    paused_for: int = 0  # the term that it was paused for; 0: not paused
    deaf: bool = False  # it receives nothing
    up: bool = True
    busy: int = 0
    connections: set[ReplicaConnection] = field(default_factory=set)

    @property
    def received(self) -> LogPosition:
        """Return the place of the last entry."""
        return self.log[-1].position if self.log else LogPosition(self.term, 0)

    @property
    def applied_position(self) -> LogPosition:
        """Return the place up to which reads see the log."""
        if self.applied:
            return self.log[self.applied - 1].position
        return LogPosition(1, 0)

    def value(self, item: str) -> str:
        """Return what a read of an item gives."""
        for entry in reversed(self.log[: self.applied]):
            for key, data in reversed(entry.writes):
                if key == item:
                    return data
        return ""


class Group:
    """Hold a service's replicas, and carry out what is ordered of them."""

    __slots__ = (
        "_numbers",
        "acknowledged",
        "lost",
        "max_connections",
        "promotions",
        "replicas",
        "service",
        "slots",
        "synchronous",
        "timers",
        "times",
        "on_role",
    )

    def __init__(
        self,
        service: str,
        names: list[str],
        timers: TimerService,
        *,
        times: GroupTimes | None = None,
        synchronous: int = 1,
        slots: int = 3,
        max_connections: int = 22,
    ) -> None:
        self.service = service
        self.timers = timers
        self.times = times or GroupTimes()
        self.synchronous = synchronous
        self.slots = slots
        self.max_connections = max_connections
        self.replicas = {name: Replica(name) for name in names}
        self.replicas[names[0]].is_primary = True
        self.acknowledged: list[_Entry] = []
        self.lost: list[_Entry] = []  # acknowledged, and dropped by a promotion
        self.promotions = 0
        self.on_role: Callable[[Replica], None] = lambda replica: None
        self._numbers = itertools.count(1)

    @property
    def primary(self) -> Replica:
        """Return the member that leads; whether it is up is another matter."""
        return next(r for r in self.replicas.values() if r.is_primary)

    def add(self, name: str) -> Replica:
        """Add a replica with the primary's log."""
        primary = self.primary
        replica = Replica(name, term=primary.term, log=list(primary.log))
        replica.applied = len(replica.log)
        self.replicas[name] = replica
        return replica

    def connect(self, name: str) -> ReplicaConnection | Code:
        """Return a connection, or why there is none."""
        replica = self.replicas[name]
        if len(replica.connections) >= self.max_connections:
            return Code.TOO_MANY_CONNECTIONS
        return ReplicaConnection(self, replica)

    def crash(self, name: str) -> None:
        """Stop a member; its log stays, its connections are the caller's to break."""
        replica = self.replicas[name]
        replica.up = False
        for connection in list(replica.connections):
            connection.close()

    def start(self, name: str) -> None:
        """Start a member again, with its log."""
        replica = self.replicas[name]
        replica.up = True
        replica.paused_for = 0
        replica.busy = 0
        self._catch_up(replica)

    # -- Replication ---------------------------------------------------------

    def commit(
        self, replica: Replica, writes: list[tuple[str, str]], request_id: str
    ) -> _Entry:
        """Append a commit to the primary's log, and send it to the replicas."""
        last = replica.received
        number = last.position + 1
        entry = _Entry(LogPosition(replica.term, number), request_id, tuple(writes))
        replica.log.append(entry)
        replica.applied = len(replica.log)
        for other in self.replicas.values():
            if other is not replica:
                self.timers.after(self.times.network, self._receive, other)
        return entry

    def holders(self, entry: _Entry) -> int:
        """Return how many replicas have received a commit."""
        return sum(
            1
            for replica in self.replicas.values()
            if not replica.is_primary and replica.up and entry in replica.log
        )

    def _receive(self, replica: Replica) -> None:
        """Copy the primary's log to a replica that can receive it."""
        primary = self.primary
        if replica is primary or not replica.up or not primary.up:
            return
        if replica.deaf or replica.paused_for > primary.term:
            return
        if replica.term > primary.term:
            return
        self._copy(primary, replica)
        self.timers.after(self.times.lag, self._apply, replica, len(replica.log))

    @staticmethod
    def _copy(primary: Replica, replica: Replica) -> None:
        common = 0
        for mine, theirs in zip(replica.log, primary.log, strict=False):
            if mine != theirs:
                break
            common += 1
        del replica.log[common:]
        replica.log.extend(primary.log[common:])
        replica.applied = min(replica.applied, common)
        replica.term = primary.term

    @staticmethod
    def _apply(replica: Replica, upto: int) -> None:
        replica.applied = max(replica.applied, min(upto, len(replica.log)))

    def _catch_up(self, replica: Replica) -> None:
        self.timers.after(self.times.network, self._receive, replica)

    # -- Leading -------------------------------------------------------------

    def promote(self, name: str) -> bool:
        """Have a member lead the next term soon; tell whether it is running."""
        replica = self.replicas.get(name)
        if replica is None or not replica.up:
            return False
        if not replica.is_primary:
            self.timers.after(self.times.promotion, self._lead, replica)
        return True

    def _lead(self, replica: Replica) -> None:
        if replica.is_primary or not replica.up:
            return
        before = self.primary
        held = set(replica.log)
        self.lost += [entry for entry in self.acknowledged if entry not in held]
        self.promotions += 1
        term = 1 + max(other.term for other in self.replicas.values())
        before.is_primary = False
        replica.is_primary = True
        replica.term = term
        replica.paused_for = 0
        replica.applied = len(replica.log)
        for other in self.replicas.values():
            other.paused_for = 0
            for connection in other.connections:
                connection.lost_lead |= other is before
            self._catch_up(other)
        self.on_role(before)
        self.on_role(replica)

    def demote(self, replica: Replica, term: int) -> None:
        """Make a primary of a lower term a replica; nobody leads then."""
        if replica.is_primary and replica.term < term:
            replica.paused_for = term


class ReplicaConnection:
    """Hold one connection; its statements run one after the other."""

    def __init__(self, group: Group, replica: Replica) -> None:
        self._group = group
        self._replica = replica
        self._queue: deque[tuple[EndpointCall, Done]] = deque()
        self._working = False
        self._writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[Access, str]] = {}
        self.state = SessionState.IDLE
        self.read_only = False
        self.lost_lead = False
        self.open = True
        self.silent = False  # it takes calls and answers nothing
        replica.connections.add(self)

    def close(self) -> None:
        """Close; what was not committed is rolled back."""
        self.open = False
        self._queue.clear()
        self._replica.connections.discard(self)

    def send(self, call: EndpointCall, done: Done) -> None:
        """Queue a call; `done` gets its reply."""
        self._queue.append((call, done))
        if not self._working:
            self._next()

    def _next(self) -> None:
        if not self._queue or not self.open:
            self._working = False
            return
        self._working = True
        call, done = self._queue.popleft()
        work = self._group.times.work if call.statement.takes_slot else 0.0
        refusal = self._refusal(call)
        if refusal is not None:
            self._answer(done, refusal, failed=True)
        elif work:
            self._wait_for_slot(call, done, work)
        else:
            self._run(call, done)

    def _wait_for_slot(self, call: EndpointCall, done: Done, work: float) -> None:
        replica = self._replica
        if not self.open:
            return
        if replica.busy >= self._group.slots:
            timers = self._group.timers
            timers.after(0.001, self._wait_for_slot, call, done, work)
            return
        replica.busy += 1
        self._group.timers.after(work, self._worked, call, done)

    def _worked(self, call: EndpointCall, done: Done) -> None:
        self._replica.busy = max(0, self._replica.busy - 1)
        if self.open:
            refusal = self._refusal(call)
            if refusal is not None:
                self._answer(done, refusal, failed=True)
            else:
                self._run(call, done)

    def _refusal(self, call: EndpointCall) -> Code | None:
        """Return why a call does not run, None if it does."""
        replica = self._replica
        statement = call.statement
        if call.minimum is not None and replica.applied_position < call.minimum:
            return Code.BEHIND
        in_plain = self.state is SessionState.IN_TRANSACTION and not self.read_only
        if self.lost_lead and in_plain and not isinstance(statement, Rollback):
            wrote = bool(self._writes)
            if wrote or not isinstance(statement, Commit):
                return Code.NOT_PRIMARY
        if replica.is_primary and not replica.paused_for:
            return None
        if isinstance(statement, Write) or self._is_prepared_write(statement):
            return Code.NOT_PRIMARY
        if isinstance(statement, Begin) and not statement.read_only:
            return Code.NOT_PRIMARY
        return None

    def _is_prepared_write(self, statement: Statement) -> bool:
        if not isinstance(statement, Execute):
            return False
        return self.prepared.get(statement.name, (Access.READ, ""))[0] is Access.WRITE

    def _run(self, call: EndpointCall, done: Done) -> None:
        self._execute(call.statement, call, done)

    @singledispatchmethod
    def _execute(self, statement: Statement, call: EndpointCall, done: Done) -> None:
        raise TypeError(f"no such statement: {type(statement).__name__}")

    @_execute.register
    def _(self, statement: Begin, call: EndpointCall, done: Done) -> None:
        self.state = SessionState.IN_TRANSACTION
        self.read_only = statement.read_only
        self.lost_lead = False
        self._writes = []
        self._answer(done)

    @_execute.register
    def _(self, statement: Rollback, call: EndpointCall, done: Done) -> None:
        self._end()
        self._answer(done)

    @_execute.register
    def _(self, statement: Commit, call: EndpointCall, done: Done) -> None:
        writes = self._writes
        self._end()
        if writes:
            self._commit(writes, call, done)
        else:
            self._answer(done, signature=self._replica.name)

    @_execute.register
    def _(self, statement: Read, call: EndpointCall, done: Done) -> None:
        self._answer_read(statement.text, done)

    @_execute.register
    def _(self, statement: Write, call: EndpointCall, done: Done) -> None:
        item, _, data = statement.text.partition(" ")
        self._write(item, data, call, done)

    @_execute.register
    def _(self, statement: Execute, call: EndpointCall, done: Done) -> None:
        if statement.name not in self.prepared:
            self._answer(done, Code.UNKNOWN_STATEMENT, failed=True)
            return
        item, _, data = statement.text.partition(" ")
        if self._is_prepared_write(statement):
            self._write(item, data, call, done)
        else:
            self._answer_read(item, done)

    @_execute.register
    def _(self, statement: SetValue, call: EndpointCall, done: Done) -> None:
        self.values[statement.name] = statement.value
        self._answer(done)

    @_execute.register
    def _(self, statement: Prepare, call: EndpointCall, done: Done) -> None:
        self.prepared[statement.name] = (statement.access, statement.shape)
        self._answer(done)

    @_execute.register
    def _(self, statement: Reset, call: EndpointCall, done: Done) -> None:
        self.values.clear()
        self.prepared.clear()
        self._answer(done)

    @_execute.register
    def _(self, statement: Status, call: EndpointCall, done: Done) -> None:
        self._answer_status(done)

    @_execute.register
    def _(self, statement: Pause, call: EndpointCall, done: Done) -> None:
        if not self._replica.is_primary:
            self._replica.paused_for = statement.term
        self._answer_status(done)

    @_execute.register
    def _(self, statement: Resume, call: EndpointCall, done: Done) -> None:
        self._replica.paused_for = 0
        self._group._catch_up(self._replica)
        self._answer_status(done)

    @_execute.register
    def _(self, statement: Demote, call: EndpointCall, done: Done) -> None:
        self._group.demote(self._replica, statement.term)
        self._answer_status(done)

    # -- Helpers -------------------------------------------------------------

    def _write(self, item: str, data: str, call: EndpointCall, done: Done) -> None:
        if self.state is SessionState.IN_TRANSACTION:
            self._writes.append((item, data))
            self._answer(done, signature=self._replica.name)
        else:
            self._commit([(item, data)], call, done)

    def _commit(
        self, writes: list[tuple[str, str]], call: EndpointCall, done: Done
    ) -> None:
        entry = self._group.commit(self._replica, writes, call.request_id)
        self._await_replicas(entry, done)

    def _await_replicas(self, entry: _Entry, done: Done) -> None:
        group = self._group
        if not self.open or not self._replica.up:
            return
        if not self._replica.is_primary:
            if entry in group.primary.log:
                # Its successor has it: to say that it did not run would be a lie, and
                # nobody here knows that it is kept.
                self.silent = True
            self._answer(done, Code.NOT_PRIMARY, failed=True)
        elif group.holders(entry) >= group.synchronous:
            group.acknowledged.append(entry)
            self._answer(done, signature=self._replica.name)
        else:
            group.timers.after(0.001, self._await_replicas, entry, done)

    def _answer_read(self, item: str, done: Done) -> None:
        row = self._replica.value(item).encode()
        self._answer(done, signature=self._replica.name, rows=(row,))

    def _answer_status(self, done: Done) -> None:
        replica = self._replica
        status = EndpointStatus(
            is_primary=replica.is_primary,
            term=replica.term,
            received=replica.received,
            lag=0.0,
            busy=replica.busy,
            connections=len(replica.connections),
        )
        self._answer(done, status=status)

    def _end(self) -> None:
        self.state = SessionState.IDLE
        self._writes = []

    def _answer(
        self,
        done: Done,
        code: Code = Code.DONE,
        *,
        failed: bool = False,
        signature: str = "",
        rows: tuple[bytes, ...] = (),
        status: EndpointStatus | None = None,
    ) -> None:
        if failed and self.state is SessionState.IN_TRANSACTION:
            self.state = SessionState.FAILED
        reply = EndpointReply(
            code=code,
            rows=rows,
            signature=signature,
            state=self.state,
            position=self._replica.applied_position,
            status=status,
        )
        if not self.silent:
            done(reply)
        self._working = False
        self._next()
