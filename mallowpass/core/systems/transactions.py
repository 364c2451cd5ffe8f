"""Callers' transactions: one connection each, from begin to end."""

from __future__ import annotations

from collections import OrderedDict

from mallowpass.core.calls import (
    Access,
    BeginRequest,
    CallerRequest,
    CommitRequest,
    EndpointReply,
    ExecuteRequest,
    Outcome,
    RollbackRequest,
)
from mallowpass.core.node import Node, System
from mallowpass.core.records import record
from mallowpass.core.services import database_key
from mallowpass.core.signals import PrimaryChanged
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.systems import requests as requests_module
from mallowpass.core.systems import sessions as sessions_module
from mallowpass.core.systems import transactioncalls as calls_module
from mallowpass.core.tables import (
    ConnectionRow,
    RequestRow,
    RequestState,
    SessionRow,
    TransactionRow,
    TransactionState,
)
from mallowpass.errors import ErrorCode

__all__ = ["Transactions"]

ENDED_MAX = 4096  # ended transactions whose end is remembered

_ROLLED_BACK = ErrorCode.TRANSACTION_ROLLED_BACK


@record
class _Ended:
    """Remember how a transaction ended; no code: it may have committed."""

    stream: int
    code: ErrorCode | None
    why: str


class Transactions(System):
    """Own the transaction rows; run their statements one at a time, in order."""

    __slots__ = ("_calls", "_ended", "_pooling", "_requests", "_sessions")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._calls = calls_module.TransactionCalls(node)
        self._ended: OrderedDict[str, _Ended] = OrderedDict()

    @property
    def open_count(self) -> int:
        """Return how many transactions are open."""
        return len(self.tables.transactions)

    def start(self) -> None:
        """Subscribe to promotions, which end transactions."""
        node = self._node
        self._pooling = node.system(pooling_module.Pooling)
        self._requests = node.system(requests_module.Requests)
        self._sessions = node.system(sessions_module.Sessions)
        self._calls.start()
        node.subscribe(PrimaryChanged, self._on_primary_changed)

    # -- Arrival -------------------------------------------------------------

    def begin(self, session: SessionRow, request: BeginRequest) -> None:
        """Take in a transaction's begin; routed like a statement that stands alone."""
        if request.request_id in session.requests:
            self._requests.answers.refuse(session, request, ErrorCode.REQUEST_ID_REUSED)
            return
        key = database_key(session.service, request.database)
        writes = self._requests.writes
        writing = request.access is Access.WRITE
        if writing and writes.refuse_reused_begin(session, request, key):
            return
        row = self._requests.register(session, request, key, request.access)
        if row is None:
            return
        if writing:
            writes.submit(row, session)
        else:
            self._requests.floors.route_with_floor(row)

    def execute(self, session: SessionRow, request: ExecuteRequest) -> None:
        """Queue a statement in its transaction."""
        running = session.requests.get(request.request_id)
        if running is not None:
            self._requests.writes.attach_duplicate(running, session, request)
            return
        transaction = self._find(session, request, request.transaction)
        if transaction is None:
            return
        if database_key(session.service, request.database) != transaction.database:
            why = f"the transaction is on {transaction.database}"
            self._requests.answers.refuse(
                session, request, ErrorCode.INVALID_FIELD, why
            )
        elif request.access is Access.WRITE and transaction.access is Access.READ:
            self._requests.answers.refuse(session, request, ErrorCode.READ_WOULD_WRITE)
        else:
            self._queue(session, request, transaction, request.access)

    def commit(self, session: SessionRow, request: CommitRequest) -> None:
        """Queue a transaction's commit."""
        self._queue_end(session, request)

    def roll_back(self, session: SessionRow, request: RollbackRequest) -> None:
        """Queue a transaction's rollback."""
        self._queue_end(session, request)

    def _queue_end(
        self, session: SessionRow, request: CommitRequest | RollbackRequest
    ) -> None:
        if request.request_id in session.requests:
            self._requests.answers.refuse(session, request, ErrorCode.REQUEST_ID_REUSED)
            return
        transaction = self._find(session, request, request.transaction)
        if transaction is not None:
            self._queue(session, request, transaction, transaction.access)

    def _find(
        self, session: SessionRow, request: CallerRequest, name: str
    ) -> TransactionRow | None:
        transaction = self.tables.transactions.get(name)
        if transaction is None:
            self._refuse_ended(session, request, name)
            return None
        if transaction.stream != session.stream:
            code = ErrorCode.TRANSACTION_OF_ANOTHER_SESSION
            self._requests.answers.refuse(session, request, code)
            return None
        return transaction

    def _refuse_ended(
        self, session: SessionRow, request: CallerRequest, name: str
    ) -> None:
        ended = self._ended.get(name)
        if ended is not None and ended.stream != session.stream:
            code = ErrorCode.TRANSACTION_OF_ANOTHER_SESSION
            self._requests.answers.refuse(session, request, code)
        elif ended is not None and ended.code is not None:
            self._requests.answers.refuse(session, request, ended.code, ended.why)
        elif isinstance(request, CommitRequest):
            # It may be the copy of a commit that ran, here or through another host:
            # "not run" would be a lie. Begin with the same id tells its outcome.
            code = ErrorCode.UNKNOWN_TRANSACTION
            self._requests.answers.refuse(
                session, request, code, outcome=Outcome.UNKNOWN
            )
        else:
            self._requests.answers.refuse(
                session, request, ErrorCode.UNKNOWN_TRANSACTION
            )

    def _queue(
        self,
        session: SessionRow,
        request: CallerRequest,
        transaction: TransactionRow,
        access: Access,
    ) -> None:
        key = transaction.database
        row = self._requests.register(session, request, key, access)
        if row is None:
            return
        row.transaction = transaction.name
        row.address = transaction.address
        transaction.queue.append(row.number)
        self._calls.run_next(transaction)

    # -- Begin and end -------------------------------------------------------

    def on_opened(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Keep the connection that an endpoint opened a transaction on."""
        request.connection = 0
        session = self.tables.sessions.get(request.stream)
        if session is None:
            self._pooling.release(connection, reset=True)
            code = ErrorCode.UNKNOWN_SESSION
            self._requests.answer_not_run(request, code, "the caller left")
            return
        transaction = self._make(request, connection)
        session.transactions.add(transaction.name)
        self._pooling.pin(connection, transaction.name)
        if transaction.access is Access.READ:
            self._sessions.raise_floor(session, request.database, reply.applied)
        self._calls.finish(request, None, transaction.name)

    def _make(self, request: RequestRow, connection: ConnectionRow) -> TransactionRow:
        identity = self._node.identity
        name = f"{identity.name}.{identity.incarnation}.{self._node.next_number()}"
        transaction = TransactionRow(
            name=name,
            stream=request.stream,
            database=request.database,
            access=request.access,
            address=connection.address,
            connection=connection.number,
            term=request.sent_term,
            state=TransactionState.OPEN,
            last_used_at=self.now,
            request_id=request.record_id,
            attempt=request.attempt,
        )
        idle = self._node.tuning.transaction_idle
        transaction.timer = self.timers.after(idle, self._on_idle, transaction)
        self.tables.transactions[name] = transaction
        return transaction

    def _on_idle(self, transaction: TransactionRow) -> None:
        # A transaction that stands idle keeps a connection, and locks, from all
        # others: one sees their writes wait although nothing runs.
        idle = self._node.tuning.transaction_idle
        due = transaction.last_used_at + idle
        if transaction.running_request or due > self.now:
            pause = idle if transaction.running_request else due - self.now
            transaction.timer = self.timers.after(pause, self._on_idle, transaction)
            return
        self._node.log("warning", "transaction_idle", transaction=transaction.name)
        self._node.record_decision("rollback", transaction.name, f"idle for {idle}s")
        self.end(transaction, ErrorCode.TRANSACTION_IDLE, "it stood idle")
        self.release(transaction, reset=True)

    def roll_back_session(self, stream: int) -> None:
        """Roll back what a session that ended left open."""
        session = self.tables.sessions.get(stream)
        if session is None:
            return
        for name in list(session.transactions):
            transaction = self.tables.transactions[name]
            if transaction.state is TransactionState.ENDING:
                continue  # its commit or rollback is under way already
            self._node.record_decision("rollback", name, "the caller left")
            self.end(transaction, _ROLLED_BACK, "the caller left")
            self.release(transaction, reset=True)

    def end(
        self, transaction: TransactionRow, code: ErrorCode | None, why: str
    ) -> None:
        """Forget a transaction, and answer what waited in it."""
        self._forget(transaction, code, why)
        numbers = [transaction.running_request, *transaction.queue]
        transaction.running_request = 0
        transaction.queue.clear()
        for number in numbers:
            request = self.tables.requests.get(number)
            if request is not None:
                self._end_request(request, code or ErrorCode.UNKNOWN_TRANSACTION, why)

    def _end_request(self, request: RequestRow, code: ErrorCode, why: str) -> None:
        sent = request.state is RequestState.SENT
        request.transaction = ""
        request.connection = 0
        if sent and isinstance(request.request, CommitRequest):
            if request.access is Access.WRITE:
                self._requests.outcomes.resolve(request, why)
                return
        elif sent and isinstance(request.request, RollbackRequest):
            self._calls.finish(request, None)
            return
        if request.parts_sent:
            self._requests.answer_unknown(request, f"the answer broke off: {why}")
        else:
            self._requests.answer_not_run(request, code, why)

    def _forget(
        self, transaction: TransactionRow, code: ErrorCode | None, why: str
    ) -> None:
        name = transaction.name
        del self.tables.transactions[name]
        if transaction.timer is not None:
            transaction.timer.cancel()
        session = self.tables.sessions.get(transaction.stream)
        if session is not None:
            session.transactions.discard(name)
        self._ended[name] = _Ended(transaction.stream, code, why)
        while len(self._ended) > ENDED_MAX:
            self._ended.popitem(last=False)

    def release(self, transaction: TransactionRow, reset: bool) -> None:
        """Give a transaction's connection back; `reset` unless it ended well."""
        connection = self.tables.connections.get(transaction.connection)
        if connection is not None:
            self._pooling.release(connection, reset=reset)

    def _discard(self, transaction: TransactionRow, why: str) -> None:
        connection = self.tables.connections.get(transaction.connection)
        if connection is not None:
            self._pooling.discard(connection, why)

    def on_reply(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Take in the reply to a call within a transaction."""
        transaction = self.tables.transactions.get(request.transaction)
        if transaction is not None and transaction.running_request == request.number:
            self._calls.on_reply(request, transaction, reply)

    # -- What goes wrong -----------------------------------------------------

    def on_statement_lost(self, request: RequestRow, why: str) -> None:
        """End a transaction whose connection was lost with a call in flight."""
        transaction = self.tables.transactions.get(request.transaction)
        if transaction is not None:
            self._lost(transaction, why)

    def on_connection_lost(self, connection: ConnectionRow, why: str) -> None:
        """End a transaction whose connection was lost between its calls."""
        transaction = self.tables.transactions.get(connection.transaction)
        if transaction is not None:
            self._lost(transaction, why)

    def _lost(self, transaction: TransactionRow, why: str) -> None:
        # The endpoint rolls back what was not committed. Only a commit that was
        # sent leaves a doubt, and is looked up.
        code = None if transaction.state is TransactionState.ENDING else _ROLLED_BACK
        self._node.record_decision(
            "rollback", transaction.name, f"connection lost: {why}"
        )
        self.end(transaction, code, f"connection lost: {why}")

    def on_deadline(self, request: RequestRow) -> None:
        """Give up a call whose deadline passed; one in flight ends its transaction."""
        transaction = self.tables.transactions.get(request.transaction)
        if transaction is None or transaction.running_request != request.number:
            why = "it waited for its turn"
            self._requests.answer_not_run(request, ErrorCode.DEADLINE_PASSED, why)
            return
        why = "the deadline of a statement passed"
        self._node.record_decision("rollback", transaction.name, why)
        if isinstance(request.request, CommitRequest):
            transaction.running_request = 0
            self._requests.answer_unknown(
                request, "the deadline passed while committing"
            )
            self.end(transaction, None, why)
        else:
            self.end(transaction, _ROLLED_BACK, why)
        self._discard(transaction, why)

    def on_commit_overdue(self, request: RequestRow, why: str) -> None:
        """Look up a commit whose connection seems silent, and close that."""
        transaction = self.tables.transactions.get(request.transaction)
        if transaction is not None:
            connection = self.tables.connections[transaction.connection]
            self.end(transaction, None, why)
            # If the commit never arrived, only this ends the transaction there.
            self._pooling.close_silent(connection)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        database = self.tables.databases.get(signal.database)
        if database is None or not database.primary:
            return
        for transaction in list(self.tables.transactions.values()):
            if transaction.database != signal.database:
                continue
            if transaction.access is Access.WRITE and transaction.term < database.term:
                why = f"term {transaction.term} is over"
                self._node.record_decision("rollback", transaction.name, why)
                self.end(transaction, _ROLLED_BACK, why)
                self._discard(transaction, why)
