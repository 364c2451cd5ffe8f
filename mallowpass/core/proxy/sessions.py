"""Sessions of callers: their values, prepared statements and transactions.

Statements that concern only the session are answered here. A connection is set to the
state of a session when a statement of that session needs the connection.
"""

from __future__ import annotations

from functools import singledispatchmethod

from mallowpass.core.node import Node
from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.customers import Customers
from mallowpass.core.proxy.effects import (
    AcceptSession,
    AnswerStatement,
    CloseSession,
    RefuseSession,
)
from mallowpass.core.proxy.events import (
    SessionClosed,
    SessionOpened,
    StatementReceived,
)
from mallowpass.core.proxy.requests import Requests
from mallowpass.core.proxy.signals import (
    ConfigurationAccepted,
    StatementAnswered,
    TransactionLost,
)
from mallowpass.core.proxy.statements import (
    Access,
    Answer,
    Begin,
    Code,
    Commit,
    Deallocate,
    Execute,
    Prepare,
    Read,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    TooLong,
    Write,
)
from mallowpass.core.proxy.tables import (
    PreparedStatement,
    ProxySystem,
    SessionRow,
    TransactionRow,
)
from mallowpass.core.proxy.timeouts import Timeouts
from mallowpass.core.proxy.unknowndatabases import UnknownDatabases

__all__ = ["Sessions"]

# Seconds that a new session waits for a host that has just started and has no
# configuration yet; callers give up after 2 s.
CONFIGURATION_TIMEOUT = 1.5
# Unanswered statements that a session may have sent.
PIPELINE_MAX = 64

# A draining host closes a session at once if its last statement ended an operation, and
# any other idle session after this many seconds without activity. A caller that has
# just opened a session, or set a value, is about to send a statement: if the session
# were closed, the caller would lose an operation in progress.
IDLE_SESSION_TIMEOUT = 0.3

_ENDING_STATEMENTS = (Commit, Rollback)


class Sessions(ProxySystem):
    """Open and close sessions, and run their statements in order."""

    __slots__ = (
        "_abort_reason",
        "_answers",
        "_closing",
        "_customers",
        "_early_sessions",
        "_end_reason",
        "_requests",
        "_timeouts",
        "_unknown_databases",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._closing = False
        self._abort_reason = ""  # why no transaction may go on
        self._end_reason = ""  # why no statement is run any more
        # Sessions that were opened before the first configuration arrived, by stream.
        self._early_sessions: dict[int, SessionOpened] = {}

    def start(self) -> None:
        """Subscribe to the events of callers and to the answers of statements."""
        node = self._node
        self._requests = node.system(Requests)
        self._answers = node.system(Answers)
        self._customers = node.system(Customers)
        self._timeouts = node.system(Timeouts)
        self._unknown_databases = node.system(UnknownDatabases)
        node.subscribe(SessionOpened, self._on_session_opened)
        node.subscribe(SessionClosed, self._on_session_closed)
        node.subscribe(StatementReceived, self._on_statement_received)
        node.subscribe(StatementAnswered, self._on_statement_answered)
        node.subscribe(TransactionLost, self._on_transaction_lost)
        node.subscribe(ConfigurationAccepted, self._on_configuration_accepted)

    # -- Opening and closing -------------------------------------------------

    def _on_session_opened(self, event: SessionOpened) -> None:
        configuration = self.tables.configuration
        if configuration is None:
            self._early_sessions[event.stream] = event
            self.timers.after(
                CONFIGURATION_TIMEOUT, self._on_configuration_timeout, event
            )
        elif event.database not in configuration.routes:
            message = f"no database {event.database!r}"
            self._refuse(event, Code.UNKNOWN_DATABASE, message)
        else:
            self._open(event)

    def _open(self, event: SessionOpened) -> None:
        session = SessionRow(
            event.stream, event.database, event.credential, last_active_at=self.now
        )
        refusal = self._customers.identify(session)
        if refusal is not None:
            self._refuse(event, refusal.code, refusal.message)
            return
        self.tables.sessions[event.stream] = session
        self._node.emit(AcceptSession(event.stream))

    def _refuse(self, event: SessionOpened, code: Code, message: str) -> None:
        version = self.tables.configuration.version
        fields = {"configuration": version, "outcome": code.value, "why": message}
        self._log_refusal("session_refused", event.database, code, fields)
        self._node.count("sessions_refused", code=code.value)
        self._node.emit(RefuseSession(event.stream, code, message))

    def _log_refusal(
        self, name: str, database: str, code: Code, fields: dict[str, object]
    ) -> None:
        if code is Code.UNKNOWN_DATABASE:
            self._unknown_databases.log(name, database, **fields)
        else:
            self._node.log("info", name, database=database, **fields)

    def _on_configuration_timeout(self, event: SessionOpened) -> None:
        if self._early_sessions.pop(event.stream, None) is None:
            return
        message = "this host has no configuration yet; try again in 2 s"
        self._node.emit(RefuseSession(event.stream, Code.BUSY, message))

    def _on_configuration_accepted(self, signal: ConfigurationAccepted) -> None:
        early, self._early_sessions = self._early_sessions, {}
        for event in early.values():
            self._on_session_opened(event)

    def _on_session_closed(self, event: SessionClosed) -> None:
        self._early_sessions.pop(event.stream, None)
        session = self.tables.sessions.pop(event.stream, None)
        if session is None:
            return
        session.closed = True
        session.received.clear()
        transaction = session.transaction
        if session.request is not None:
            # A statement that was sent runs on at the endpoint; its reply is dropped.
            self._requests.abandon_session(session)
        elif transaction is not None:
            self._answers.roll_back(session)
        if transaction is not None and transaction.idle_timer is not None:
            transaction.idle_timer.cancel()

    def close_idle(self) -> None:
        """Close all sessions between operations, now and whenever an operation ends."""
        self._closing = True
        for session in list(self.tables.sessions.values()):
            self._close_if_idle(session)

    def abort_transactions(self, why: str) -> None:
        """Abort all open transactions, and begin no others.

        A statement that is running is answered before its transaction is aborted.
        """
        self._abort_reason = why
        for session in list(self.tables.sessions.values()):
            if session.request is None:
                self._abort(session)

    def _abort(self, session: SessionRow) -> None:
        transaction = session.transaction
        if transaction is not None and not transaction.lost_reason:
            self._answers.roll_back(session)
            self._record_loss(session, self._abort_reason)

    def end_all(self, why: str) -> None:
        """Answer all statements that are waiting or running, as this host ends."""
        self._end_reason = why
        for event in self._early_sessions.values():
            self._node.emit(RefuseSession(event.stream, Code.BUSY, why))
        self._early_sessions.clear()
        for session in list(self.tables.sessions.values()):
            if session.request is not None:
                self._timeouts.end(session.request, why)

    def _close_if_idle(self, session: SessionRow) -> None:
        idle_time = self.now - session.last_active_at
        is_busy = session.request is not None or bool(session.received)
        is_idle = session.has_ended_operation or idle_time >= IDLE_SESSION_TIMEOUT
        if session.state is SessionState.IDLE and is_idle and not is_busy:
            self.tables.sessions.pop(session.stream, None)
            session.closed = True
            self._node.emit(CloseSession(session.stream))

    # -- Statements ----------------------------------------------------------

    def _on_statement_received(self, event: StatementReceived) -> None:
        session = self.tables.sessions.get(event.stream)
        if session is None:
            return
        if len(session.received) >= PIPELINE_MAX:
            self._node.emit(CloseSession(event.stream))
            return
        session.last_active_at = self.now
        session.received.append((event.request_id, event.statement))
        if session.request is None:
            self._run_next(session)

    def _on_statement_answered(self, signal: StatementAnswered) -> None:
        """Update a session after an answer, and run its next statement."""
        session, state = signal.session, signal.state
        session.state = state
        session.last_active_at = self.now
        session.has_ended_operation = state is SessionState.IDLE
        if state is SessionState.IDLE:
            self._end_transaction(session)
        elif session.transaction is not None:
            self._start_idle_timer(session)
            if self._abort_reason:
                self._abort(session)
        self._run_next(session)

    def _run_next(self, session: SessionRow) -> None:
        if session.is_running_next:
            return  # the call that is running a statement goes on with the next one
        session.is_running_next = True
        try:
            while session.received and session.request is None and not session.closed:
                request_id, statement = session.received.popleft()
                session.has_ended_operation = False
                self._cancel_idle_timer(session)
                self._run_statement(session, request_id, statement)
        finally:
            session.is_running_next = False
        # While draining, a session is closed after any operation: a session that is
        # never idle would otherwise be cut off at the end of the grace period.
        if self._closing and not session.closed:
            self._close_if_idle(session)

    @staticmethod
    def _cancel_idle_timer(session: SessionRow) -> None:
        transaction = session.transaction
        if transaction is not None and transaction.idle_timer is not None:
            transaction.idle_timer.cancel()
            transaction.idle_timer = None

    def _run_statement(
        self, session: SessionRow, request_id: str, statement: Statement | None
    ) -> None:
        if self._end_reason:
            self._fail(session, Code.BUSY, self._end_reason)
        elif statement is None:
            self._fail(session, Code.MALFORMED, "the statement can't be decoded")
        elif session.transaction is not None and session.transaction.lost_reason:
            self._run_after_loss(session, statement)
        elif session.state is SessionState.FAILED and not isinstance(
            statement, _ENDING_STATEMENTS
        ):
            self._fail(
                session, Code.MALFORMED, "the transaction has failed; roll it back"
            )
        elif session.state is SessionState.IDLE and not self._has_route(session):
            message = f"no database {session.database!r}"
            self._fail(session, Code.UNKNOWN_DATABASE, message)
        elif _begins_operation(session, statement):
            refusal = self._customers.identify(session)
            if refusal is None:
                self._execute(statement, session, request_id)
            else:
                self._fail(session, refusal.code, refusal.message)
        else:
            self._execute(statement, session, request_id)

    def _run_after_loss(self, session: SessionRow, statement: Statement) -> None:
        why = session.transaction.lost_reason
        session.transaction.lost_reason = ""
        if isinstance(statement, Rollback):
            self._reply(session, SessionState.IDLE)
        elif isinstance(statement, Commit):
            self._reply(session, SessionState.IDLE, Code.ABORTED, why)
        else:
            self._reply(session, SessionState.FAILED, Code.ABORTED, why)

    def _has_route(self, session: SessionRow) -> bool:
        return session.database in self.tables.configuration.routes

    @singledispatchmethod
    def _execute(
        self, statement: Statement, session: SessionRow, request_id: str
    ) -> None:
        self._fail(session, Code.MALFORMED, "callers can't send this kind of statement")

    @_execute.register
    def _(self, statement: SetValue, session: SessionRow, request_id: str) -> None:
        session.values[statement.name] = statement.value
        self._reply(session, session.state)

    @_execute.register
    def _(self, statement: Prepare, session: SessionRow, request_id: str) -> None:
        prepared = PreparedStatement(statement.access, statement.shape)
        session.prepared[statement.name] = prepared
        self._reply(session, session.state)

    @_execute.register
    def _(self, statement: Deallocate, session: SessionRow, request_id: str) -> None:
        if session.prepared.pop(statement.name, None) is None:
            self._fail_unknown_name(session, statement.name)
        else:
            self._reply(session, session.state)

    @_execute.register
    def _(self, statement: Begin, session: SessionRow, request_id: str) -> None:
        if session.transaction is not None:
            self._fail(session, Code.MALFORMED, "a transaction is open already")
            return
        if self._abort_reason:
            self._fail(session, Code.BUSY, self._abort_reason)
            session.has_ended_operation = True
            return
        route = self.tables.configuration.routes[session.database]
        session.transaction = TransactionRow(statement.read_only, route, self.now)
        self._reply(session, SessionState.IN_TRANSACTION)

    @_execute.register
    def _(self, statement: Commit, session: SessionRow, request_id: str) -> None:
        if session.transaction is None:
            self._fail(session, Code.MALFORMED, "no transaction is open")
        elif session.state is SessionState.FAILED:
            why = "the transaction had failed and was rolled back"
            self._reply(session, SessionState.IDLE, Code.ABORTED, why)
        else:
            access = Access.READ
            self._requests.run(session, request_id, statement, access)

    @_execute.register
    def _(self, statement: Rollback, session: SessionRow, request_id: str) -> None:
        if session.transaction is None:
            self._fail(session, Code.MALFORMED, "no transaction is open")
        else:
            self._reply(session, SessionState.IDLE)

    @_execute.register
    def _(self, statement: Read, session: SessionRow, request_id: str) -> None:
        self._requests.run(session, request_id, statement, Access.READ)

    @_execute.register
    def _(self, statement: Write, session: SessionRow, request_id: str) -> None:
        self._run_write(session, request_id, statement, None)

    @_execute.register
    def _(self, statement: Execute, session: SessionRow, request_id: str) -> None:
        prepared = session.prepared.get(statement.name)
        if prepared is None:
            self._fail_unknown_name(session, statement.name)
        elif prepared.access is Access.WRITE:
            self._run_write(session, request_id, statement, prepared)
        else:
            self._requests.run(session, request_id, statement, Access.READ, prepared)

    def _run_write(
        self,
        session: SessionRow,
        request_id: str,
        statement: Statement,
        prepared: PreparedStatement | None,
    ) -> None:
        transaction = session.transaction
        if transaction is not None and transaction.read_only:
            self._fail(session, Code.NOT_PRIMARY, "the transaction is read-only")
            return
        self._requests.run(session, request_id, statement, Access.WRITE, prepared)

    @_execute.register
    def _(self, statement: TooLong, session: SessionRow, request_id: str) -> None:
        why = "the statement is too long to be sent to an endpoint"
        self._fail(session, Code.UNSENDABLE, why)

    # -- Answers -------------------------------------------------------------

    def _fail_unknown_name(self, session: SessionRow, name: str) -> None:
        message = f"no prepared statement {name!r}"
        self._fail(session, Code.UNKNOWN_STATEMENT, message)

    def _fail(self, session: SessionRow, code: Code, message: str) -> None:
        """Refuse a statement; its transaction, if one is open, fails with it."""
        state = session.state
        if state is not SessionState.IDLE:
            self._answers.roll_back(session)
            state = SessionState.FAILED
        self._reply(session, state, code, message)

    def _reply(
        self,
        session: SessionRow,
        state: SessionState,
        code: Code = Code.DONE,
        message: str = "",
    ) -> None:
        session.state = state
        if code is not Code.DONE:
            self._node.count("statements", code=code.value)
            fields = {"outcome": code.value, "why": message}
            self._log_refusal("statement_refused", session.database, code, fields)
        self._node.emit(
            AnswerStatement(session.stream, Answer(code, state, message=message))
        )
        if state is SessionState.IDLE:
            self._end_transaction(session)
        elif session.transaction is not None:
            self._start_idle_timer(session)

    # -- Transactions --------------------------------------------------------

    def _end_transaction(self, session: SessionRow) -> None:
        transaction = session.transaction
        if transaction is None:
            return
        session.has_ended_operation = True
        if transaction.idle_timer is not None:
            transaction.idle_timer.cancel()
        if transaction.connection is not None:
            self._answers.roll_back(session)
        session.transaction = None

    def _start_idle_timer(self, session: SessionRow) -> None:
        transaction = session.transaction
        if transaction.idle_timer is not None:
            transaction.idle_timer.cancel()
        idle = self.tables.configuration.transaction_idle
        transaction.idle_timer = self.timers.after(idle, self._on_idle_timeout, session)

    def _on_idle_timeout(self, session: SessionRow) -> None:
        """Abort a transaction that holds a connection without using it."""
        transaction = session.transaction
        if transaction is None or session.request is not None:
            return
        if transaction.connection is None:
            return
        self._answers.roll_back(session)
        self._record_loss(session, "the transaction exceeded the idle timeout")

    def _on_transaction_lost(self, signal: TransactionLost) -> None:
        self._record_loss(signal.session, signal.why)

    def _record_loss(self, session: SessionRow, why: str) -> None:
        """Record that a transaction ended between two statements of its caller."""
        if session.state is SessionState.IN_TRANSACTION:
            session.transaction.lost_reason = why
        self._node.log("info", "transaction_lost", database=session.database, why=why)


def _begins_operation(session: SessionRow, statement: Statement) -> bool:
    """Return whether a statement begins an operation at an endpoint.

    The caller's key is checked only then: an operation that has begun runs to its end,
    even if the key is revoked meanwhile.
    """
    if session.state is SessionState.FAILED or isinstance(statement, Rollback):
        return False
    transaction = session.transaction
    return transaction is None or transaction.connection is None
