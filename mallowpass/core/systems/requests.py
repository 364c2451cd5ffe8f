"""The life of a caller's request, from arrival to answer.

This module holds what all kinds of requests share: registering a request, forwarding
replies of endpoints, answering and enforcing the deadline. Reads, writes, floors and
the resolution of unknown outcomes have modules of their own. `RequestRow.state` says
what a request waits for.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from mallowpass.core.calls import (
    Access,
    BeginRequest,
    CallerAnswer,
    CallerRequest,
    EndpointReply,
    ExecuteRequest,
    LogPosition,
    Outcome,
)
from mallowpass.core.node import Node, System
from mallowpass.core.services import database_key, service_of
from mallowpass.core.signals import DatabaseRemoved, EndpointReported, PrimaryChanged
from mallowpass.core.systems import failover as failover_module
from mallowpass.core.systems import outcomes as outcomes_module
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.systems import reads as reads_module
from mallowpass.core.systems import retries as retries_module
from mallowpass.core.systems import routing as routing_module
from mallowpass.core.systems import sessionfloors as floors_module
from mallowpass.core.systems import sessions as sessions_module
from mallowpass.core.systems import transactions as transactions_module
from mallowpass.core.systems import waiting as waiting_module
from mallowpass.core.systems import writes as writes_module
from mallowpass.core.systems.answers import Answers, code_of
from mallowpass.core.tables import (
    ConnectionRow,
    RequestRow,
    RequestState,
    SessionRow,
)
from mallowpass.errors import ErrorCode

__all__ = ["Requests"]

# Seconds after which a caller should retry a request that waited until its deadline.
RETRY_AFTER = 0.5

# A request in one of these states can be cancelled and answered as not run.
_WAITING_STATES = frozenset(
    {
        RequestState.AWAITING_FLOOR,
        RequestState.QUEUED,
        RequestState.AWAITING_PRIMARY,
        RequestState.BACKOFF,
    }
)

# Refusals by the connection pool of one endpoint. Another endpoint or a later attempt
# may serve the request.
_REROUTED_CODES = frozenset(
    {
        ErrorCode.CONNECTION_LOST,
        ErrorCode.ENDPOINT_REFUSED,
        ErrorCode.FAILING_OVER,
    }
)


class Requests(System):
    """Own the request rows: register, answer and expire requests."""

    __slots__ = (
        "_active",
        "_failover",
        "_in_flight",
        "_pooling",
        "_retries",
        "_routing",
        "_sessions",
        "_transactions",
        "answers",
        "floors",
        "outcomes",
        "reads",
        "waiting",
        "writes",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._active: dict[str, dict[int, RequestRow]] = {}  # by database key
        self._in_flight = 0
        self.floors = floors_module.SessionFloors(node)
        self.reads = reads_module.Reads(node)
        self.writes = writes_module.Writes(node)
        self.outcomes = outcomes_module.Outcomes(node)
        self.answers = Answers(node)
        self.waiting = waiting_module.Waiting(node)

    @property
    def in_flight(self) -> int:
        """Return the number of requests without a final answer."""
        return self._in_flight

    def start(self) -> None:
        """Subscribe to the signals that let waiting requests proceed."""
        node = self._node
        self._failover = node.system(failover_module.Failover)
        self._pooling = node.system(pooling_module.Pooling)
        self._retries = node.system(retries_module.Retries)
        self._routing = node.system(routing_module.Routing)
        self._sessions = node.system(sessions_module.Sessions)
        self._transactions = node.system(transactions_module.Transactions)
        self.floors.start()
        self.reads.start()
        self.writes.start()
        self.outcomes.start()
        self.answers.start()
        self.waiting.start()
        node.subscribe(PrimaryChanged, self._on_primary_changed)
        node.subscribe(EndpointReported, self._on_endpoint_reported)
        node.subscribe(DatabaseRemoved, self._on_database_removed)

    # -- Arrival -------------------------------------------------------------

    def execute(self, session: SessionRow, request: ExecuteRequest) -> None:
        """Run a statement outside transactions."""
        running = session.requests.get(request.request_id)
        if running is not None:
            self.writes.attach_duplicate(running, session, request)
            return
        key = database_key(session.service, request.database)
        if request.access is Access.WRITE:
            if self.writes.handle_duplicate(session, request, key):
                return
            row = self.register(session, request, key, Access.WRITE)
            if row is not None:
                self.writes.submit(row, session)
            return
        row = self.register(session, request, key, Access.READ)
        if row is not None:
            self.floors.route_with_floor(row)

    def register(
        self, session: SessionRow, request: CallerRequest, key: str, access: Access
    ) -> RequestRow | None:
        """Create a request's row; return None if the request was refused."""
        service = self.tables.services.get(session.service)
        if service is None or service.service is None:
            self.answers.refuse(session, request, ErrorCode.UNKNOWN_SERVICE)
            return None
        if key not in self.tables.databases:
            self.answers.refuse(session, request, ErrorCode.UNKNOWN_DATABASE)
            return None
        deadline = request.deadline
        if deadline is None:
            deadline = service.service.default_deadline
        if deadline <= 0:
            self.answers.refuse(session, request, ErrorCode.DEADLINE_PASSED)
            return None
        row = RequestRow(
            number=self._node.next_number(),
            stream=session.stream,
            request=request,
            database=key,
            access=access,
            arrived_at=self.now,
            expires_at=self.now + deadline,
            request_class=getattr(request, "request_class", "")
            or session.request_class
            or service.service.classes[0].name,
        )
        row.timer = self.timers.at(row.expires_at, self._on_deadline, row)
        session.requests[request.request_id] = row.number
        self.tables.requests[row.number] = row
        self._active.setdefault(key, {})[row.number] = row
        self._in_flight += 1
        return row

    # -- From pooling --------------------------------------------------------

    def on_connection_granted(
        self, request: RequestRow, connection: ConnectionRow
    ) -> None:
        """Send a queued request on the connection that was granted to it."""
        if request.state is not RequestState.QUEUED:
            self._pooling.release(connection)
            return
        request.connection = connection.number
        request.sent_at = self.now
        if request.access is Access.WRITE:
            self.writes.send(request, connection)
        else:
            self.reads.send(request, connection)

    def on_reply(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Pass an endpoint's reply on to the handler of the request's kind."""
        if request.transaction:
            self._transactions.on_reply(request, connection, reply)
        elif not self._expects_reply_on(request, connection):
            # The caller has its answer already, or gets it from another attempt.
            if reply.last:
                self._pooling.release(connection)
        elif request.access is Access.WRITE:
            self.writes.on_reply(request, connection, reply)
        else:
            self.reads.on_reply(request, connection, reply)

    def _expects_reply_on(self, request: RequestRow, connection: ConnectionRow) -> bool:
        sent = request.state is RequestState.SENT
        return sent and request.connection == connection.number

    def on_connection_lost(
        self, request: RequestRow, connection: ConnectionRow, why: str
    ) -> None:
        """Resolve or retry a request whose connection was lost."""
        database = self.tables.databases.get(request.database)
        if database is not None and connection.address == database.primary:
            self._failover.probe_primary(connection.address, why)
        if request.transaction:
            self._transactions.on_statement_lost(request, why)
            return
        if not self._expects_reply_on(request, connection):
            return
        request.connection = 0
        self.record(connection.address, 0.0, ok=False)
        if request.access is Access.WRITE:
            self.outcomes.resolve(request, f"connection lost: {why}")
        else:
            self.reads.on_connection_lost(request, why)

    def on_refused(
        self, request: RequestRow, code: str, why: str, retry_after: float
    ) -> None:
        """Reroute, retry or refuse a request that was granted no connection."""
        if request.state is not RequestState.QUEUED:
            return
        error = code_of(code)
        if error is ErrorCode.QUEUE_FULL and request.access is Access.READ:
            self.reads.on_queue_full(request, why, retry_after)
        elif error not in _REROUTED_CODES:
            self.answer_not_run(request, error, why, retry_after)
        elif request.access is Access.WRITE:
            self.writes.on_refused(request, error, why)
        else:
            self.record(request.address, 0.0, ok=False)
            self.reads.try_elsewhere(request, error, why)

    # -- Connections ---------------------------------------------------------

    def acquire(self, request: RequestRow, address: str) -> None:
        """Queue a request for a connection to an endpoint."""
        request.state = RequestState.QUEUED
        request.address = address
        request.queued_at = self.now
        self._pooling.acquire(request, self.tables.endpoints[address])

    def release(
        self, request: RequestRow, connection: ConnectionRow, reset: bool = False
    ) -> None:
        """Return a connection to the pool.

        `reset` has the pool roll back a transaction that is open on the connection.
        """
        request.connection = 0
        self._pooling.release(connection, reset=reset)

    def abandon_connection(self, request: RequestRow) -> None:
        """Return the connection of a request that no longer waits for its reply."""
        connection = self.tables.connections.get(request.connection)
        request.connection = 0
        if connection is not None:
            self._pooling.release(connection)

    def abandon_unresponsive(self, request: RequestRow) -> None:
        """Abandon an unresponsive connection; have the pool check the others."""
        connection = self.tables.connections.get(request.connection)
        if connection is not None:
            self._pooling.check_older_idle(connection)
        self.abandon_connection(request)

    def discard(self, request: RequestRow, why: str) -> None:
        """Close the connection that a request was sent on, if there still is one."""
        connection = self.tables.connections.get(request.connection)
        request.connection = 0
        if connection is not None:
            self._pooling.discard(connection, why)

    def record(self, address: str, latency: float, ok: bool) -> None:
        """Record a statement's latency at an endpoint in seconds, or its failure."""
        endpoint = self.tables.endpoints.get(address)
        if endpoint is not None:
            self._routing.record(endpoint, latency, ok)

    def route(self, request: RequestRow) -> None:
        """Route a request by the present state of its database."""
        if request.database not in self.tables.databases:
            self.answer_not_run(
                request, ErrorCode.UNKNOWN_DATABASE, "the database was removed"
            )
        elif request.access is Access.WRITE:
            self.writes.route(request)
        else:
            self.reads.route(request)

    # -- Signals -------------------------------------------------------------

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        database = self.tables.databases.get(signal.database)
        if database is None:
            return
        for request in self._active_requests(signal.database):
            if request.access is Access.WRITE and not request.transaction:
                self.writes.on_primary_changed(request, database)
        self.waiting.release(signal.database)

    def _on_endpoint_reported(self, signal: EndpointReported) -> None:
        endpoint = self.tables.endpoints.get(signal.address)
        if endpoint is not None:
            self.reads.on_report(endpoint)

    def _on_database_removed(self, signal: DatabaseRemoved) -> None:
        for request in self._active_requests(signal.database):
            if request.state in _WAITING_STATES:
                self._cancel_queued(request)
                self.answer_not_run(request, ErrorCode.UNKNOWN_DATABASE, "removed")

    def _active_requests(self, database: str) -> Iterable[RequestRow]:
        return list(self._active.get(database, {}).values())

    # -- Answers -------------------------------------------------------------

    def abandon_session(self, session: SessionRow) -> None:
        """Cancel the waiting requests and reads of a session that ended.

        Writes that were sent run on, as do requests that have duplicates. Requests of
        transactions end with their transactions.
        """
        for number in list(session.requests.values()):
            request = self.tables.requests.get(number)
            if request is None or request.transaction or request.duplicates:
                continue
            if request.state in _WAITING_STATES or request.access is Access.READ:
                self._cancel_queued(request)
                self.answer_not_run(
                    request, ErrorCode.UNKNOWN_SESSION, "the session ended"
                )

    def answer_done(
        self, request: RequestRow, rows: Any, position: LogPosition
    ) -> None:
        """Answer a write or commit that ran and that a majority holds."""
        self._raise_floors(request, position)
        self._retries.record_success(service_of(request.database))
        answer = CallerAnswer(
            request_id=request.request.request_id,
            outcome=Outcome.DONE,
            rows=rows,
            served_by=self._endpoint_name(request.address),
            repeated=request.repeated,
        )
        self.finish(request, answer)

    def answer_not_run(
        self, request: RequestRow, code: ErrorCode, why: str, retry_after: float = 0.0
    ) -> None:
        """Answer a request that did not run and will not run."""
        self._node.count("refused", code=code.code)
        self._fail(request, Outcome.NOT_RUN, code, why, retry_after)

    def answer_unknown(self, request: RequestRow, why: str) -> None:
        """Answer a request that may or may not have run."""
        self._fail(request, Outcome.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN, why)

    def _fail(
        self,
        request: RequestRow,
        outcome: Outcome,
        code: ErrorCode,
        why: str,
        retry_after: float = 0.0,
    ) -> None:
        message = f"{code.meaning} {why}"
        self._node.record_decision(
            "refuse", request.request.request_id, f"{code.code} {outcome.value}: {why}"
        )
        answer = CallerAnswer(
            request_id=request.request.request_id,
            outcome=outcome,
            code=code.code,
            message=message,
            retry_after=retry_after,
        )
        self.finish(request, answer)

    def finish(self, request: RequestRow, answer: CallerAnswer) -> None:
        """Send the final answer and remove the request."""
        self._remove(request)
        self.answers.send_final(request, answer)

    def send_part(self, request: RequestRow, answer: CallerAnswer) -> None:
        """Send a part of an answer that is not the last one."""
        request.parts_sent += 1
        self.answers.send(request.stream, request.request.request_id, answer)

    def _remove(self, request: RequestRow) -> None:
        request.state = RequestState.FINISHED
        if request.timer is not None:
            request.timer.cancel()
            request.timer = None
        if request.waiter is not None:
            request.waiter.cancel()
            request.waiter = None
        self._in_flight -= 1
        self._active[request.database].pop(request.number, None)
        self.waiting.forget(request)
        self.writes.forget(request)
        self.tables.requests.pop(request.number, None)
        if request.connection and not request.transaction:
            # The endpoint has yet to reply. The pool waits for the reply before it uses
            # the connection again.
            self.abandon_connection(request)

    def _raise_floors(self, request: RequestRow, position: LogPosition) -> None:
        streams = [request.stream]
        streams += [stream for stream, _ in request.duplicates or ()]
        for stream in streams:
            session = self.tables.sessions.get(stream)
            if session is not None:
                self._sessions.raise_floor(session, request.database, position)

    def _endpoint_name(self, address: str) -> str:
        endpoint = self.tables.endpoints.get(address)
        return endpoint.name if endpoint is not None else ""

    # -- Deadlines -----------------------------------------------------------

    def _on_deadline(self, request: RequestRow) -> None:
        state = request.state
        if state is RequestState.FINISHED:
            return
        if request.transaction:
            self._transactions.on_deadline(request)
        elif state is RequestState.AWAITING_PRIMARY:
            code = ErrorCode.FAILING_OVER
            self.answer_not_run(request, code, request.detail, RETRY_AFTER)
        elif state is RequestState.AWAITING_FLOOR:
            code = ErrorCode.FLOOR_NOT_REACHED
            self.answer_not_run(request, code, request.detail, RETRY_AFTER)
        elif state in _WAITING_STATES:
            self._cancel_queued(request)
            code = ErrorCode.DEADLINE_PASSED
            self.answer_not_run(request, code, request.detail, RETRY_AFTER)
        elif isinstance(request.request, BeginRequest):
            why = f"the deadline passed while {state.value}"
            self.answer_not_run(request, ErrorCode.DEADLINE_PASSED, why)
        else:
            self.answer_unknown(request, f"the deadline passed while {state.value}")

    def _cancel_queued(self, request: RequestRow) -> None:
        if request.state is RequestState.QUEUED:
            self._pooling.cancel(request)
