"""A stand-in for an endpoint's end of one connection: the statements run there."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
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
from mallowpass.standins.proxied.replicas import Group, LogEntry, Replica

__all__ = ["ReplicaConnection", "connect", "open_in_slot"]

Done = Callable[[EndpointReply], None]


def connect(
    group: Group, name: str, customer: str | None = None
) -> ReplicaConnection | Code:
    """Return a connection to a member in a customer's name, or why there is none."""
    replica = group.replicas[name]
    if len(replica.connections) >= group.max_connections:
        return Code.TOO_MANY_CONNECTIONS
    return ReplicaConnection(group, replica, customer)


def open_in_slot(group: Group, name: str, opened: Callable[[], None]) -> None:
    """Spend the slot time of a new connection, then call `opened`.

    A member that is down, or that has all its connections, spends none.
    """
    replica = group.replicas.get(name)
    is_full = replica is not None and len(replica.connections) >= group.max_connections
    if replica is None or not replica.up or is_full:
        opened()
    elif replica.busy >= group.slots:
        group.timers.after(0.001, open_in_slot, group, name, opened)
    else:
        replica.busy += 1
        work = group.times.opening * replica.slowness
        group.timers.after(work, _leave_slot, replica, opened)


def _leave_slot(replica: Replica, opened: Callable[[], None]) -> None:
    replica.busy = max(0, replica.busy - 1)
    opened()


class ReplicaConnection:
    """Hold one connection; its statements run one after the other."""

    def __init__(
        self, group: Group, replica: Replica, customer: str | None = None
    ) -> None:
        self._group = group
        self._replica = replica
        self.customer = customer  # that was told as it was opened
        self._queue: deque[tuple[EndpointCall, Done]] = deque()
        self._working = False
        self._closes_when_idle = False
        self._writes: list[tuple[str, str]] = []
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[Access, str]] = {}
        self.state = SessionState.IDLE
        self.read_only = False
        self.lost_lead = False
        self.open = True
        self.silent = False  # it takes calls and answers nothing
        replica.connections.add(self)

    @property
    def member(self) -> str:
        """Return the name of the member that this connection leads to."""
        return self._replica.name

    @property
    def linger(self) -> float:
        """Return for how long it outlives an end that is cut off, in seconds."""
        return self._group.assumptions.linger

    @property
    def ends_by_held_reset(self) -> bool:
        """Return whether a reset that arrives late ends what runs."""
        return self._group.assumptions.held_reset_ends_commits

    def close(self) -> None:
        """Close; what was not committed is rolled back."""
        self.open = False
        self._queue.clear()
        self._replica.connections.discard(self)

    def finish(self) -> None:
        """Close once the calls that have arrived are done."""
        self._closes_when_idle = True
        if not self._working:
            self.close()

    def send(self, call: EndpointCall, done: Done) -> None:
        """Queue a call; `done` gets its reply."""
        if call.priority is not None or call.on_behalf_of is not None:
            # It would stand before the statement, in words that no endpoint knows.
            done(EndpointReply(code=Code.MALFORMED, message="no statement"))
            return
        self._queue.append((call, done))
        if not self._working:
            self._next()

    def send_late(self, call: EndpointCall, delay: float) -> None:
        """Have a call run after a delay, also if this connection is closed by then."""
        started_at = self._replica.started_at
        self._group.timers.after(delay, self._run_late, call, started_at)

    def _run_late(self, call: EndpointCall, started_at: int) -> None:
        replica = self._replica
        if replica.up and replica.started_at == started_at:
            connection = ReplicaConnection(self._group, replica)
            connection.send(call, lambda reply: connection.close())

    def _next(self) -> None:
        if not self._queue or not self.open:
            self._working = False
            if self._closes_when_idle:
                self.close()
            return
        self._working = True
        call, done = self._queue.popleft()
        work = 0.0
        if call.statement.takes_slot:
            work = self._group.work_of(call.request_id) * self._replica.slowness
            share = self._replica.unanswered
            if call.request_id and share and self._group.random.random() < share:
                # Answers keep the order of statements: none follows a missing one.
                self.silent = True
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
        begins_commits = self._group.begins_commits(replica)
        has_lost_lead = self.lost_lead and (replica.is_primary or not begins_commits)
        if has_lost_lead and in_plain and not isinstance(statement, Rollback):
            wrote = bool(self._writes)
            if wrote or not isinstance(statement, Commit):
                return Code.NOT_PRIMARY
        if begins_commits and not replica.paused_for:
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
        if call.request_id:
            self._group.on_run(call.request_id, self.customer)
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
        self._answer_read(statement.text, call, done)

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
            self._answer_read(item, call, done)

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
        age = self._group.assumptions.status_age
        told = self._replica.told_status
        if age and told is not None and self._group.timers.now - told[0] < age:
            self._answer(done, status=told[1])
        else:
            self._answer_status(done)

    @_execute.register
    def _(self, statement: Pause, call: EndpointCall, done: Done) -> None:
        self._group.pause(self._replica, statement.term)
        self._answer_status(done)

    @_execute.register
    def _(self, statement: Resume, call: EndpointCall, done: Done) -> None:
        self._group.resume(self._replica)
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

    def _await_replicas(self, entry: LogEntry, done: Done) -> None:
        group = self._group
        if self._ends_commit(entry, done):
            return
        if group.reporters(entry, self._replica) < group.synchronous:
            group.timers.after(0.001, self._await_replicas, entry, done)
        elif group.times.acknowledgement:
            # What the replicas have said is on its way, whatever becomes of them.
            delay = group.times.acknowledgement
            group.timers.after(delay, self._acknowledge, entry, done)
        else:
            self._acknowledge(entry, done)

    def _acknowledge(self, entry: LogEntry, done: Done) -> None:
        if not self._ends_commit(entry, done):
            self._group.acknowledge(entry, self._replica)
            self._answer(done, signature=self._replica.name)

    def _ends_commit(self, entry: LogEntry, done: Done) -> bool:
        """Tell whether a commit can't be acknowledged any more; answer it if so."""
        is_closed = self._group.assumptions.close_ends_commits and not self.open
        if is_closed or not self._replica.up:
            return True
        if self._group.is_serving(self._replica):
            return False
        if self._group.is_received(entry, self._replica):
            # Whoever has it may lead next, or does: to say that it did not run
            # would be a lie, and nobody here knows that it is kept.
            self.silent = True
        elif self._replica.holds(entry):
            # This member may lead again, and then keeps it.
            self._group.timers.after(0.001, self._await_replicas, entry, done)
            return True
        self._answer(done, Code.NOT_PRIMARY, failed=True)
        return True

    def _answer_read(self, item: str, call: EndpointCall, done: Done) -> None:
        self._group.on_read(self._replica, call.request_id)
        row = self._replica.value(item).encode()
        self._answer(done, signature=self._replica.name, rows=(row,))

    def _answer_status(self, done: Done) -> None:
        replica = self._replica
        status = EndpointStatus(
            is_primary=replica.is_primary,
            term=replica.term,
            received=self._group.shown(replica),
            lag=0.0,
            busy=replica.busy,
            connections=len(replica.connections),
            paused_for=replica.paused_for,
        )
        replica.told_status = (self._group.timers.now, status)
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
