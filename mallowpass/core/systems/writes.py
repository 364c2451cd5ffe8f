"""Writes outside transactions, and the beginning of transactions that may write.

A write is sent to the primary and acknowledged once a majority of members holds it. It
carries an id and an attempt number, which the endpoint records with the write and can
fence.
"""

from __future__ import annotations

from functools import partial

from mallowpass.core.calls import (
    BeginCall,
    BeginRequest,
    CallerRequest,
    EndpointCode,
    EndpointReply,
    ExecuteCall,
    ExecuteRequest,
    LogPosition,
)
from mallowpass.core.node import Node, System
from mallowpass.core.services import database_key
from mallowpass.core.systems import failover as failover_module
from mallowpass.core.systems import liveness as liveness_module
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.systems import retries as retries_module
from mallowpass.core.systems import routing as routing_module
from mallowpass.core.systems.answers import code_of_refusal, record_id
from mallowpass.core.systems.connections import TimeoutTracker
from mallowpass.core.systems.outcomes import FIRST_ATTEMPT
from mallowpass.core.systems.requestreuse import (
    RecentRequests,
    digest_of_begin,
    digest_of_statement,
)
from mallowpass.core.tables import (
    ConnectionRow,
    DatabaseRow,
    RequestRow,
    RequestState,
    SessionRow,
)
from mallowpass.errors import ErrorCode

__all__ = ["Writes"]

# A write's outcome is looked up once it takes OVERDUE_MIN seconds and OVERDUE_FACTOR
# times the primary's usual latency.
OVERDUE_MIN = 0.5
OVERDUE_FACTOR = 8.0
# Seconds between two checks of a write in flight. The first check sends a keep-alive on
# its connection.
CHECK_INTERVAL = OVERDUE_MIN / 2
FENCED_TRIES_MAX = 16  # tries after which a request with a fenced attempt fails

# Refusals after which a write is retried with backoff.
_RETRIED_CODES = frozenset(
    {
        EndpointCode.BEHIND,
        EndpointCode.TOO_MANY_CONNECTIONS,
        EndpointCode.BUSY,
        EndpointCode.CONFLICT,
    }
)
# Refusals after which a write waits for a primary.
_HELD_CODES = frozenset({EndpointCode.WRONG_TERM, EndpointCode.LEAVING})


class Writes(System):
    """Run writes at most once, acknowledge durable ones; a part of Requests."""

    __slots__ = (
        "_failover",
        "_liveness",
        "_pooling",
        "_recent",
        "_requests",
        "_retries",
        "_routing",
        "_running",
        "_timeouts",
        "_transactions",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Record id -> row number of the unrepeatable writes in progress.
        self._running: dict[str, int] = {}
        self._recent = RecentRequests(node.tables.request_digests)

    def start(self) -> None:
        """Look up the systems that this one calls."""
        self._timeouts = TimeoutTracker(self.timers, CHECK_INTERVAL, self._on_check_due)
        from mallowpass.core.systems.requests import Requests
        from mallowpass.core.systems.transactions import Transactions

        node = self._node
        self._failover = node.system(failover_module.Failover)
        self._liveness = node.system(liveness_module.Liveness)
        self._pooling = node.system(pooling_module.Pooling)
        self._requests = node.system(Requests)
        self._retries = node.system(retries_module.Retries)
        self._routing = node.system(routing_module.Routing)
        self._transactions = node.system(Transactions)

    # -- Arrival -------------------------------------------------------------

    def submit(self, request: RequestRow, session: SessionRow) -> None:
        """Assign the id that the endpoint records with a write, and route the write."""
        statement = request.request
        request.attempt = FIRST_ATTEMPT
        if isinstance(statement, ExecuteRequest) and not statement.unrepeatable:
            request.idempotent = True
            identity = self._node.identity
            host = f"~{identity.name}.{identity.incarnation}"
            request.record_id = f"{host}/{request.number}"
        else:
            request.record_id = record_id(session.caller, statement.request_id)
            self._running[request.record_id] = request.number
        if isinstance(statement, BeginRequest):
            # The transaction reads from the primary, which may have been replaced.
            self._requests.floors.route_with_floor(request)
        else:
            self.route(request)

    def handle_duplicate(
        self, session: SessionRow, request: ExecuteRequest, key: str
    ) -> bool:
        """Handle a write whose id is in use; return whether it was handled.

        A duplicate of an unrepeatable write in progress gets the answer of that write.
        A caller may send duplicates over several sessions. A statement is refused if a
        different one ran under the same id.
        """
        if not request.unrepeatable:
            return False
        name = record_id(session.caller, request.request_id)
        running = self._running.get(name)
        if running is not None:
            self.attach_duplicate(running, session, request)
            return True
        digest = digest_of_statement(key, request)
        return self._refuse_if_reused(session, request, name, digest)

    def refuse_reused_begin(
        self, session: SessionRow, request: BeginRequest, key: str
    ) -> bool:
        """Refuse a begin whose id another request used; return whether it was refused.

        The endpoint would answer the commit from the other request's record without
        running it.
        """
        name = record_id(session.caller, request.request_id)
        return self._refuse_if_reused(session, request, name, digest_of_begin(key))

    def _refuse_if_reused(
        self, session: SessionRow, request: CallerRequest, name: str, digest: bytes
    ) -> bool:
        if not self._recent.is_reused(name, digest):
            return False
        self._requests.answers.refuse(session, request, ErrorCode.REQUEST_ID_REUSED)
        return True

    def attach_duplicate(
        self, running: int, session: SessionRow, request: ExecuteRequest
    ) -> None:
        """Answer a duplicate of a request in progress together with that request."""
        row = self.tables.requests[running]
        if not self._is_duplicate(row, session, request):
            self._requests.answers.refuse(session, request, ErrorCode.REQUEST_ID_REUSED)
            return
        session.requests[request.request_id] = running
        if row.duplicates is None:
            row.duplicates = []
        row.duplicates.append((session.stream, request.request_id))
        self._node.record_decision(
            "join", request.request_id, "answered with its duplicate in progress"
        )

    def _is_duplicate(
        self, row: RequestRow, session: SessionRow, request: ExecuteRequest
    ) -> bool:
        first = row.request
        return (
            isinstance(first, ExecuteRequest)
            and row.database == database_key(session.service, request.database)
            and first.sql == request.sql
            and first.access is request.access
            and first.parameters == request.parameters
            and first.transaction == request.transaction
        )

    def forget(self, request: RequestRow) -> None:
        """Remove a finished write from those in progress."""
        if self._running.get(request.record_id) == request.number:
            del self._running[request.record_id]

    # -- Routing and sending -------------------------------------------------

    def route(self, request: RequestRow) -> None:
        """Queue a write at the primary, or hold it until a primary is known."""
        database = self.tables.databases[request.database]
        endpoint = self._routing.choose_write(database)
        if endpoint is None:
            self._requests.waiting.hold(
                request,
                f"no primary accepts writes; the group is {database.state.value}",
            )
        else:
            self._requests.acquire(request, endpoint.address)

    def send(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Send a write in the primary's term on the connection granted to it."""
        database = self.tables.databases[request.database]
        if connection.address != database.primary:
            self._requests.release(request, connection)
            self.route(request)
            return
        request.state = RequestState.SENT
        self._timeouts.restart(request.number)
        request.sent_term = database.term
        self._pooling.send(connection, self._call(request))

    def _call(self, request: RequestRow) -> ExecuteCall | BeginCall:
        statement = request.request
        if isinstance(statement, BeginRequest):
            return BeginCall(
                term=request.sent_term,
                minimum=request.floor,
                request_id=request.record_id,
                attempt=request.attempt,
            )
        return ExecuteCall(
            sql=statement.sql,
            parameters=statement.parameters,
            write=True,
            term=request.sent_term,
            request_id=request.record_id,
            attempt=request.attempt,
        )

    # -- Replies -------------------------------------------------------------

    def on_reply(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Wait for a majority to hold a write that ran; handle refusals."""
        code = reply.code
        if code is EndpointCode.OK and isinstance(request.request, BeginRequest):
            self._on_begun(request, connection, reply)
            return
        if not reply.last:
            return
        self._record(request, connection)
        self._requests.release(request, connection)
        if code is EndpointCode.OK:
            self.await_majority(request, reply.applied, reply.rows)
        elif code is EndpointCode.ALREADY_RUN:
            request.repeated = True
            self.await_majority(request, reply.applied, reply.rows)
        elif code is EndpointCode.INTERNAL:
            self._requests.outcomes.resolve(
                request, f"internal error of {connection.address}: {reply.message}"
            )
        else:
            self._on_refusal(request, reply)

    def _on_begun(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        self._record(request, connection)
        if self._requests.floors.is_satisfied(request, reply.applied):
            self._transactions.on_opened(request, connection, reply)
            return
        request.connection = 0
        self._pooling.release(connection, reset=True)
        if self._requests.floors.handle_lost_floor(request):
            return
        why = f"{connection.address} has not reached the session's floor"
        self._requests.waiting.retry(request, ErrorCode.FLOOR_NOT_REACHED, why)

    def _record(self, request: RequestRow, connection: ConnectionRow) -> None:
        self._timeouts.remove(request.number)
        latency = self.now - request.sent_at
        self._requests.record(connection.address, latency, ok=True)

    def watch_commit(self, request: RequestRow) -> None:
        """Look up the outcome of a commit once it is overdue, as for a write."""
        self._timeouts.restart(request.number)

    def _on_check_due(self, number: int) -> None:
        """Look up the outcome of an overdue write whose connection is unresponsive.

        A connection may become unresponsive while the primary works. Each write on it
        would otherwise last until the pool closes the connection. The look-up fences
        the write, so that the first attempt cannot run after the write is sent again. A
        slow write must not be fenced: sent again it would be as slow, and never finish.
        """
        request = self.tables.requests.get(number)
        if request is None or request.state is not RequestState.SENT:
            return
        connection = self.tables.connections.get(request.connection)
        if connection is None:
            return
        if self._pooling.is_responsive(
            connection, CHECK_INTERVAL
        ) or not self._is_overdue(request):
            self._timeouts.add(number)
        elif request.transaction:
            self._on_commit_overdue(request)
        elif self._retries.take_retry(request) is None:
            self._timeouts.add(number)
        else:
            # The retry is taken from the budget before the look-up. A pause of the
            # primary makes many writes overdue at once; those that exceed the budget
            # wait on, as a fenced write that cannot be retried would fail.
            request.is_retry_prepaid = True
            self._requests.abandon_unresponsive(request)
            self._requests.outcomes.resolve(request, self._overdue_reason(request))

    def _is_overdue(self, request: RequestRow) -> bool:
        return self._routing.is_overdue(request, OVERDUE_MIN, OVERDUE_FACTOR)

    def _on_commit_overdue(self, request: RequestRow) -> None:
        # A fenced commit is not sent again, so the look-up may lose the transaction.
        # It is looked up only if the primary has replied on other connections since the
        # last check, which excludes a pause of the primary.
        endpoint = self.tables.endpoints.get(request.address)
        if endpoint is None or endpoint.last_reply_at <= self.now - CHECK_INTERVAL:
            self._timeouts.add(request.number)
            return
        self._transactions.on_commit_overdue(request, self._overdue_reason(request))

    def _overdue_reason(self, request: RequestRow) -> str:
        return f"no answer in {self.now - request.sent_at:.3f}s"

    def await_majority(
        self, request: RequestRow, position: LogPosition, rows: object
    ) -> None:
        """Acknowledge a write once a majority holds it in the primary's term.

        A replaced primary answers OK as well until it learns of its replacement, and
        the write is discarded later. Only the reports of a majority show whether a
        write is durable.
        """
        database = self.tables.databases.get(request.database)
        if database is None:
            self._requests.answer_unknown(request, "the database was removed")
            return
        request.position = position
        request.answer_rows = rows
        request.state = RequestState.AWAITING_MAJORITY
        # A write that was recorded in an earlier term is durable once a majority holds
        # an entry of the term in which the record was found: the log of that term
        # contains the write.
        term = max(position.term, request.sent_term)
        awaited = LogPosition(term, position.position)
        waiter = self._liveness.wait_for_majority(
            database, awaited, partial(self._on_held, request)
        )
        if request.state is RequestState.AWAITING_MAJORITY:
            request.waiter = waiter

    def _on_held(self, request: RequestRow, held: bool) -> None:
        if request.state is not RequestState.AWAITING_MAJORITY:
            return
        request.waiter = None
        if held:
            self._requests.answer_done(request, request.answer_rows, request.position)
        else:
            term = request.sent_term
            why = f"term {term} ended before a majority held the write"
            self._requests.outcomes.resolve(request, why)

    def _on_refusal(self, request: RequestRow, reply: EndpointReply) -> None:
        code = reply.code
        why = f"{request.address}: {code.name} {reply.message}".rstrip()
        if code is EndpointCode.FENCED:
            self._on_fenced(request, reply)
        elif code in _HELD_CODES:
            self._on_wrong_term(request, why)
        elif code in _RETRIED_CODES:
            self._requests.waiting.retry(request, ErrorCode.ENDPOINT_REFUSED, why)
        else:
            self._requests.answer_not_run(request, code_of_refusal(reply), why)

    def _on_fenced(self, request: RequestRow, reply: EndpointReply) -> None:
        # An earlier attempt was abandoned and fenced, and the fence covers this
        # attempt's number too. Only an attempt with a higher number can run.
        if request.tries >= FENCED_TRIES_MAX:
            why = f"{request.tries} attempts were fenced"
            self._requests.answer_not_run(request, ErrorCode.ENDPOINT_REFUSED, why)
            return
        request.tries += 1
        request.attempt = max(reply.attempt, request.attempt) + 1
        self.route(request)

    def _on_wrong_term(self, request: RequestRow, why: str) -> None:
        database = self.tables.databases.get(request.database)
        if database is None or database.term != request.sent_term:
            self._requests.route(request)
        else:
            # The member's reports will soon show a newer term, or that the member is
            # leaving. Until then the same write would be refused again.
            self._requests.waiting.hold(request, why)

    def on_refused(self, request: RequestRow, code: ErrorCode, why: str) -> None:
        """Reroute, hold or retry a write that was granted no connection."""
        if code is ErrorCode.FAILING_OVER:
            self.route(request)
        elif code is ErrorCode.CONNECTION_LOST:
            # The primary may be down. Holding the write takes nothing from the retry
            # budget: a service would otherwise spend its budget, and have its writes
            # refused, shortly before a promotion.
            self._failover.probe_primary(request.address, why)
            self._requests.waiting.hold(request, why)
        else:
            self._requests.waiting.retry(request, code, why)

    # -- Promotions ----------------------------------------------------------

    def on_primary_changed(self, request: RequestRow, database: DatabaseRow) -> None:
        """Requeue or resolve a write that depends on an earlier primary."""
        state = request.state
        if state is RequestState.QUEUED:
            if request.address != database.primary:
                self._pooling.cancel(request)
                self.route(request)
        elif state is RequestState.SENT:
            if database.primary and database.term > request.sent_term:
                self._requests.discard(request, "its term is over")
                self._requests.outcomes.resolve(
                    request, f"term {request.sent_term} has ended"
                )
        elif state is RequestState.RESOLVING:
            self._requests.outcomes.look_up(request)
