"""Send the calls of open transactions one at a time, and handle their replies."""

from __future__ import annotations

from functools import singledispatchmethod

from mallowpass.core.calls import (
    Access,
    CallerAnswer,
    CallerRequest,
    CommitCall,
    CommitRequest,
    EndpointCall,
    EndpointCode,
    EndpointReply,
    ExecuteCall,
    ExecuteRequest,
    Outcome,
    RollbackCall,
    RollbackRequest,
)
from mallowpass.core.node import System
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.systems import sessions as sessions_module
from mallowpass.core.systems.answers import code_of_refusal
from mallowpass.core.tables import (
    RequestRow,
    RequestState,
    TransactionRow,
    TransactionState,
)
from mallowpass.errors import ErrorCode

__all__ = ["TransactionCalls"]

# Refusals after which the transaction stays open.
_NOT_ENDING = frozenset(
    {EndpointCode.SQL_ERROR, EndpointCode.BUSY, EndpointCode.BAD_CALL}
)
_ROLLED_BACK = ErrorCode.TRANSACTION_ROLLED_BACK


class TransactionCalls(System):
    """Run the calls of each transaction in order; a part of Transactions."""

    __slots__ = ("_pooling", "_requests", "_sessions", "_transactions")

    def start(self) -> None:
        """Look up the other systems."""
        from mallowpass.core.systems.requests import Requests
        from mallowpass.core.systems.transactions import Transactions

        self._pooling = self._node.system(pooling_module.Pooling)
        self._requests = self._node.system(Requests)
        self._sessions = self._node.system(sessions_module.Sessions)
        self._transactions = self._node.system(Transactions)

    # -- Statements ----------------------------------------------------------

    def run_next(self, transaction: TransactionRow) -> None:
        """Send the next queued call, unless a call is in flight."""
        while transaction.queue and not transaction.running_request:
            request = self.tables.requests.get(transaction.queue.popleft())
            if request is not None:
                self._send(transaction, request)

    def _send(self, transaction: TransactionRow, request: RequestRow) -> None:
        connection = self.tables.connections[transaction.connection]
        transaction.running_request = request.number
        transaction.last_used_at = self.now
        request.state = RequestState.SENT
        request.connection = connection.number
        request.sent_at = self.now
        request.sent_term = transaction.term
        call = self._make_call(request.request, transaction)
        if isinstance(call, CommitCall):
            transaction.state = TransactionState.ENDING
            request.record_id = transaction.request_id
            request.attempt = transaction.attempt
            if request.access is Access.WRITE:
                self._requests.writes.watch_commit(request)
        self._pooling.send(connection, call, request)

    @singledispatchmethod
    def _make_call(
        self, request: CallerRequest, transaction: TransactionRow
    ) -> EndpointCall:
        raise TypeError(f"no call for {type(request).__name__}")

    @_make_call.register
    def _(self, request: ExecuteRequest, transaction: TransactionRow) -> EndpointCall:
        writes = request.access is Access.WRITE
        return ExecuteCall(
            sql=request.sql,
            parameters=request.parameters,
            write=writes,
            term=transaction.term if writes else 0,
            chunk_rows=request.chunk_rows,
        )

    @_make_call.register
    def _(self, request: CommitRequest, transaction: TransactionRow) -> EndpointCall:
        return CommitCall()

    @_make_call.register
    def _(self, request: RollbackRequest, transaction: TransactionRow) -> EndpointCall:
        return RollbackCall()

    # -- Replies -------------------------------------------------------------

    def on_reply(
        self, request: RequestRow, transaction: TransactionRow, reply: EndpointReply
    ) -> None:
        """Handle the reply to the call in flight."""
        if reply.code is EndpointCode.OK and not reply.last:
            self._forward_part(request, reply)
            return
        transaction.running_request = 0
        transaction.last_used_at = self.now
        request.connection = 0
        self._finish_call(request.request, request, transaction, reply)

    def _forward_part(self, request: RequestRow, reply: EndpointReply) -> None:
        name = request.request.request_id
        part = CallerAnswer(request_id=name, outcome=None, rows=reply.rows)
        self._requests.send_part(request, part)

    @singledispatchmethod
    def _finish_call(
        self,
        kind: CallerRequest,
        request: RequestRow,
        transaction: TransactionRow,
        reply: EndpointReply,
    ) -> None:
        raise TypeError(f"no reply for {type(kind).__name__}")

    @_finish_call.register
    def _(
        self,
        kind: ExecuteRequest,
        request: RequestRow,
        transaction: TransactionRow,
        reply: EndpointReply,
    ) -> None:
        why = f"{transaction.address}: {reply.code.name} {reply.message}".rstrip()
        if reply.code is EndpointCode.OK:
            self._raise_floor(request, reply)
            self.finish(request, reply.rows)
        elif reply.code in _NOT_ENDING:
            self._requests.answer_not_run(request, code_of_refusal(reply), why)
        else:
            request.transaction = ""
            self._requests.answer_not_run(request, _ROLLED_BACK, why)
            self._transactions.end(transaction, _ROLLED_BACK, why)
            self._transactions.release(transaction, reset=True)
            return
        self.run_next(transaction)

    def _raise_floor(self, request: RequestRow, reply: EndpointReply) -> None:
        session = self.tables.sessions.get(request.stream)
        # Only an existing floor is raised. The primary of a write transaction may have
        # been replaced, and a floor set from what it has applied would seem to cover
        # all writes of the session.
        if session is not None and request.database in session.floors:
            self._sessions.raise_floor(session, request.database, reply.applied)

    @_finish_call.register
    def _(
        self,
        kind: CommitRequest,
        request: RequestRow,
        transaction: TransactionRow,
        reply: EndpointReply,
    ) -> None:
        code = reply.code
        why = f"{transaction.address}: {code.name} {reply.message}".rstrip()
        ran = code in (EndpointCode.OK, EndpointCode.ALREADY_RUN)
        request.transaction = ""
        unclear = code is EndpointCode.INTERNAL
        self._transactions.end(
            transaction, None if ran or unclear else _ROLLED_BACK, why
        )
        self._transactions.release(transaction, reset=not ran)
        if unclear and request.access is Access.WRITE:
            self._requests.outcomes.resolve(request, why)
        elif not ran:
            self._requests.answer_not_run(request, _ROLLED_BACK, why)
        elif request.access is Access.READ:
            self.finish(request, reply.rows)
        else:
            request.repeated = code is EndpointCode.ALREADY_RUN
            writes = self._requests.writes
            writes.await_majority(request, reply.applied, reply.rows)

    @_finish_call.register
    def _(
        self,
        kind: RollbackRequest,
        request: RequestRow,
        transaction: TransactionRow,
        reply: EndpointReply,
    ) -> None:
        request.transaction = ""
        self._transactions.end(transaction, _ROLLED_BACK, "rolled back by the caller")
        self._transactions.release(transaction, reset=reply.code is not EndpointCode.OK)
        self.finish(request, None)

    def finish(self, request: RequestRow, rows: object, name: str = "") -> None:
        """Answer a request of a transaction whose call has run."""
        endpoint = self.tables.endpoints.get(request.address)
        database = self.tables.databases.get(request.database)
        primary = database.primary if database is not None else ""
        answer = CallerAnswer(
            request_id=request.request.request_id,
            outcome=Outcome.DONE,
            rows=rows,
            transaction=name,
            served_by=endpoint.name if endpoint is not None else "",
            from_replica=request.address != primary and not request.sent_term,
        )
        self._requests.finish(request, answer)
