"""Transactions of callers. Each uses one pinned connection from begin to end."""

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

ENDED_MAX = 4096  # ended transactions whose result is kept for late requests

_ROLLED_BACK = ErrorCode.TRANSACTION_ROLLED_BACK


@record
class _EndedTransaction:
    """The end of a transaction. The code is None if the commit ran or may have run."""

    stream: int
    code: ErrorCode | None
    why: str


class Transactions(System):
    """Own the transaction rows, and run the statements of each in order."""

    __slots__ = ("_calls", "_ended", "_pooling", "_requests", "_sessions")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._calls = calls_module.TransactionCalls(node)
        self._ended: OrderedDict[str, _EndedTransaction] = OrderedDict()

    @property
    def open_count(self) -> int:
        """Return how many transactions are open."""
        return len(self.tables.transactions)

    def start(self) -> None:
        """Look up the other systems, and subscribe to changes of primaries."""
        node = self._node
        self._pooling = node.system(pooling_module.Pooling)
        self._requests = node.system(requests_module.Requests)
        self._sessions = node.system(sessions_module.Sessions)
        self._calls.start()
        node.subscribe(PrimaryChanged, self._on_primary_changed)

    # -- Arrival -------------------------------------------------------------

    def begin(self, session: SessionRow, request: BeginRequest) -> None:
        """Accept the begin of a transaction; it is routed like a single statement."""
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
        """Queue the commit of a transaction."""
        self._queue_end(session, request)

    def roll_back(self, session: SessionRow, request: RollbackRequest) -> None:
        """Queue the rollback of a transaction."""
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
            # The commit may have run before, through this host or another one, so that
            # "not run" could be wrong. A begin with the same request id returns the
            # outcome.
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
        """Pin the connection on which an endpoint has begun a transaction."""
        request.connection = 0
        session = self.tables.sessions.get(request.stream)
        if session is None:
            self._pooling.release(connection, reset=True)
            code = ErrorCode.UNKNOWN_SESSION
            self._requests.answer_not_run(request, code, "the session ended")
            return
        transaction = self._create(request, connection)
        session.transactions.add(transaction.name)
        self._pooling.pin(connection, transaction.name)
        if transaction.access is Access.READ:
            self._sessions.raise_floor(session, request.database, reply.applied)
        self._calls.finish(request, None, transaction.name)

    def _create(self, request: RequestRow, connection: ConnectionRow) -> TransactionRow:
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
        # An idle transaction holds a connection and locks. Writes of other callers wait
        # for the locks although no statement runs.
        idle = self._node.tuning.transaction_idle
        due = transaction.last_used_at + idle
        if transaction.running_request or due > self.now:
            delay = idle if transaction.running_request else due - self.now
            transaction.timer = self.timers.after(delay, self._on_idle, transaction)
            return
        self._node.log("warning", "transaction_idle", transaction=transaction.name)
        self._node.record_decision("rollback", transaction.name, f"idle for {idle}s")
        self.end(
            transaction, ErrorCode.TRANSACTION_IDLE, f"transaction idle for {idle}s"
        )
        self.release(transaction, reset=True)

    def roll_back_session(self, stream: int) -> None:
        """Roll back the open transactions of a session that has ended."""
        session = self.tables.sessions.get(stream)
        if session is None:
            return
        for name in list(session.transactions):
            transaction = self.tables.transactions[name]
            if transaction.state is TransactionState.ENDING:
                continue  # its commit or rollback is in flight
            self._node.record_decision("rollback", name, "the session ended")
            self.end(transaction, _ROLLED_BACK, "the session ended")
            self.release(transaction, reset=True)

    def end(
        self, transaction: TransactionRow, code: ErrorCode | None, why: str
    ) -> None:
        """Remove a transaction, and answer its running and queued requests."""
        self._remove(transaction, code, why)
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
            self._requests.answer_unknown(request, f"the result is incomplete: {why}")
        else:
            self._requests.answer_not_run(request, code, why)

    def _remove(
        self, transaction: TransactionRow, code: ErrorCode | None, why: str
    ) -> None:
        name = transaction.name
        del self.tables.transactions[name]
        if transaction.timer is not None:
            transaction.timer.cancel()
        session = self.tables.sessions.get(transaction.stream)
        if session is not None:
            session.transactions.discard(name)
        self._ended[name] = _EndedTransaction(transaction.stream, code, why)
        while len(self._ended) > ENDED_MAX:
            self._ended.popitem(last=False)

    def release(self, transaction: TransactionRow, reset: bool) -> None:
        """Release the connection of a transaction.

        `reset`: the transaction may still be open at the endpoint.
        """
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
        """Handle the reply to a call within a transaction."""
        transaction = self.tables.transactions.get(request.transaction)
        if transaction is not None and transaction.running_request == request.number:
            self._calls.on_reply(request, transaction, reply)

    # -- Failures ------------------------------------------------------------

    def on_statement_lost(self, request: RequestRow, why: str) -> None:
        """End a transaction whose connection was lost during a call."""
        transaction = self.tables.transactions.get(request.transaction)
        if transaction is not None:
            self._end_lost(transaction, why)

    def on_connection_lost(self, connection: ConnectionRow, why: str) -> None:
        """End a transaction whose connection was lost between two calls."""
        transaction = self.tables.transactions.get(connection.transaction)
        if transaction is not None:
            self._end_lost(transaction, why)

    def _end_lost(self, transaction: TransactionRow, why: str) -> None:
        # The endpoint rolls back a transaction without a commit. Only the outcome of a
        # commit that was sent is unknown, and is looked up.
        code = None if transaction.state is TransactionState.ENDING else _ROLLED_BACK
        self._node.record_decision(
            "rollback", transaction.name, f"connection lost: {why}"
        )
        self.end(transaction, code, f"connection lost: {why}")

    def on_deadline(self, request: RequestRow) -> None:
        """Answer a call past its deadline; if it is in flight, end its transaction."""
        transaction = self.tables.transactions.get(request.transaction)
        if transaction is None or transaction.running_request != request.number:
            why = "it waited for an earlier call of its transaction"
            self._requests.answer_not_run(request, ErrorCode.DEADLINE_PASSED, why)
            return
        why = "the deadline of a statement passed"
        self._node.record_decision("rollback", transaction.name, why)
        if isinstance(request.request, CommitRequest):
            transaction.running_request = 0
            self._requests.answer_unknown(
                request, "the deadline passed during the commit"
            )
            self.end(transaction, None, why)
        else:
            self.end(transaction, _ROLLED_BACK, why)
        self._discard(transaction, why)

    def on_commit_overdue(self, request: RequestRow, why: str) -> None:
        """Look up a commit, and close its connection, which seems unresponsive."""
        transaction = self.tables.transactions.get(request.transaction)
        if transaction is not None:
            connection = self.tables.connections[transaction.connection]
            self.end(transaction, None, why)
            # If the commit never arrived, only the close ends the transaction at the
            # endpoint.
            self._pooling.close_unresponsive(connection)

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
