"""Writes outside transactions: sent to one primary, acknowledged by a majority."""

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

OVERDUE = 0.5  # seconds after which a write is looked up, at the earliest
OVERDUE_FACTOR = 8.0  # times the primary's usual latency
LOOK = OVERDUE / 2  # seconds between looks; the connection is asked at the first
FENCED_MAX = 16  # refusals for a fenced attempt before a request is given up

_RETRIED = frozenset(
    {
        EndpointCode.BEHIND,
        EndpointCode.TOO_MANY_CONNECTIONS,
        EndpointCode.BUSY,
        EndpointCode.CONFLICT,
    }
)
_HELD = frozenset({EndpointCode.WRONG_TERM, EndpointCode.LEAVING})


class Writes(System):
    """Run writes at most once, and acknowledge what stays; a part of Requests."""

    __slots__ = (
        "_failover",
        "_liveness",
        "_overdue",
        "_pooling",
        "_recent",
        "_requests",
        "_retries",
        "_routing",
        "_running",
        "_transactions",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._running: dict[str, int] = {}  # record id -> row, of unrepeatable ones
        self._recent = RecentRequests(node.tables.recent_outcomes)

    def start(self) -> None:
        """Find the systems that are asked."""
        self._overdue = TimeoutTracker(self.timers, LOOK, self._on_late)
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
        """Give a write the id that the endpoint records, and route it."""
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
            # Its reads come from the primary, which may have been replaced.
            self._requests.floors.route_with_floor(request)
        else:
            self.route(request)

    def join_running(
        self, session: SessionRow, request: ExecuteRequest, key: str
    ) -> bool:
        """Join a copy of an unrepeatable write to its run; tell whether it is done.

        Copies of one caller may come over several of its sessions.
        """
        if not request.unrepeatable:
            return False
        name = record_id(session.caller, request.request_id)
        running = self._running.get(name)
        if running is not None:
            self.attach_duplicate(running, session, request)
            return True
        digest = digest_of_statement(key, request)
        return self._was_reused(session, request, name, digest)

    def refuse_reused_begin(
        self, session: SessionRow, request: BeginRequest, key: str
    ) -> bool:
        """Refuse a begin whose id was another request's; tell whether it is done.

        Its commit would be answered from the other's record, and not run.
        """
        name = record_id(session.caller, request.request_id)
        return self._was_reused(session, request, name, digest_of_begin(key))

    def _was_reused(
        self, session: SessionRow, request: CallerRequest, name: str, digest: bytes
    ) -> bool:
        if not self._recent.is_reused(name, digest):
            return False
        self._requests.answers.refuse(session, request, ErrorCode.REQUEST_ID_REUSED)
        return True

    def attach_duplicate(
        self, running: int, session: SessionRow, request: ExecuteRequest
    ) -> None:
        """Have a copy of a request in flight answered from the one run."""
        row = self.tables.requests[running]
        if not self._is_copy(row, session, request):
            self._requests.answers.refuse(session, request, ErrorCode.REQUEST_ID_REUSED)
            return
        session.requests[request.request_id] = running
        if row.duplicates is None:
            row.duplicates = []
        row.duplicates.append((session.stream, request.request_id))
        self._node.record_decision(
            "join", request.request_id, "joined its copy in flight"
        )

    def _is_copy(
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
        """Let go of a finished write's id."""
        if self._running.get(request.record_id) == request.number:
            del self._running[request.record_id]

    # -- Routing and sending -------------------------------------------------

    def route(self, request: RequestRow) -> None:
        """Queue a write at the primary, or hold it until there is one."""
        database = self.tables.databases[request.database]
        endpoint = self._routing.choose_write(database)
        if endpoint is None:
            self._requests.waiting.hold(
                request, f"no primary takes writes, {database.state}"
            )
        else:
            self._requests.acquire(request, endpoint.address)

    def send(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Send a write in the term of the primary that it got a connection to."""
        database = self.tables.databases[request.database]
        if connection.address != database.primary:
            self._requests.release(request, connection)
            self.route(request)
            return
        request.state = RequestState.SENT
        self._overdue.restart(request.number)
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
        """Wait for a majority to hold what ran; act on what did not run."""
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
            self._requests.outcomes.resolve(request, f"the endpoint: {reply.message}")
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
        why = f"{connection.address} lacks data that the session has seen"
        self._requests.waiting.retry(request, ErrorCode.FLOOR_NOT_REACHED, why)

    def _record(self, request: RequestRow, connection: ConnectionRow) -> None:
        self._overdue.remove(request.number)
        latency = self.now - request.sent_at
        self._requests.record(connection.address, latency, ok=True)

    def watch_commit(self, request: RequestRow) -> None:
        """Look a commit up if its answer is late, as with a write."""
        self._overdue.restart(request.number)

    def _on_late(self, number: int) -> None:
        """Look a write up when its answer is late and its connection seems silent.

        A connection may be silent for good while the primary is well: one sees
        single writes take as long as pooling gives a connection to answer. The
        look-up fences it, so that it can't run after it is sent again. A slow write
        must not be fenced: sent again, it would be as slow, and never finish.
        """
        request = self.tables.requests.get(number)
        if request is None or request.state is not RequestState.SENT:
            return
        connection = self.tables.connections.get(request.connection)
        if connection is None:
            return
        if self._pooling.is_responsive(connection, LOOK) or not self._is_overdue(
            request
        ):
            self._overdue.add(number)
        elif request.transaction:
            self._on_commit_overdue(request)
        elif self._retries.take_retry(request) is None:
            self._overdue.add(number)
        else:
            # Paid now: a primary that pauses makes many writes overdue at once, and
            # those that the budget does not reach are better left waiting.
            request.is_retry_prepaid = True
            self._requests.abandon_silent(request)
            self._requests.outcomes.resolve(request, self._lateness(request))

    def _is_overdue(self, request: RequestRow) -> bool:
        return self._routing.takes_long(request, OVERDUE, OVERDUE_FACTOR)

    def _on_commit_overdue(self, request: RequestRow) -> None:
        # A fenced commit is not sent again: its whole transaction is lost. So only if
        # the primary is heard elsewhere, which it is not while it stands still.
        endpoint = self.tables.endpoints.get(request.address)
        if endpoint is None or endpoint.last_reply_at <= self.now - LOOK:
            self._overdue.add(request.number)
            return
        self._transactions.on_commit_overdue(request, self._lateness(request))

    def _lateness(self, request: RequestRow) -> str:
        return f"no answer in {self.now - request.sent_at:.3f}s"

    def await_majority(
        self, request: RequestRow, position: LogPosition, rows: object
    ) -> None:
        """Acknowledge a write once a majority holds it in the primary's term.

        A primary that was replaced answers OK as well, until it learns of it: its
        write is dropped later. Only a majority's reports tell the two apart.
        """
        database = self.tables.databases.get(request.database)
        if database is None:
            self._requests.answer_unknown(request, "the database was removed meanwhile")
            return
        request.position = position
        request.answer_rows = rows
        request.state = RequestState.AWAITING_MAJORITY
        # Recorded in an earlier term, it stays once a majority holds anything of the
        # term in which it was found: that log contains it.
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
            why = f"term {term} was over before a majority held it"
            self._requests.outcomes.resolve(request, why)

    def _on_refusal(self, request: RequestRow, reply: EndpointReply) -> None:
        code = reply.code
        why = f"{request.address}: {code.name} {reply.message}".rstrip()
        if code is EndpointCode.FENCED:
            self._after_fence(request, reply)
        elif code in _HELD:
            self._after_wrong_term(request, why)
        elif code in _RETRIED:
            self._requests.waiting.retry(request, ErrorCode.ENDPOINT_REFUSED, why)
        else:
            self._requests.answer_not_run(request, code_of_refusal(reply), why)

    def _after_fence(self, request: RequestRow, reply: EndpointReply) -> None:
        # An earlier copy was given up and fenced. This attempt's number stands
        # under the fence too; a higher one is a new run, and the only one.
        if request.tries >= FENCED_MAX:
            why = f"fenced {request.tries} times"
            self._requests.answer_not_run(request, ErrorCode.ENDPOINT_REFUSED, why)
            return
        request.tries += 1
        request.attempt = max(reply.attempt, request.attempt) + 1
        self.route(request)

    def _after_wrong_term(self, request: RequestRow, why: str) -> None:
        database = self.tables.databases.get(request.database)
        if database is None or database.term != request.sent_term:
            self._requests.route(request)
        else:
            # Its reports will say so soon. Sent again now it would be refused again.
            self._requests.waiting.hold(request, why)

    def refused(self, request: RequestRow, code: ErrorCode, why: str) -> None:
        """Find another way for a write that got no connection."""
        if code is ErrorCode.FAILING_OVER:
            self.route(request)
        elif code is ErrorCode.CONNECTION_LOST:
            # The primary may be down. Held, it needs no budget: with one, a service
            # would be refused its writes just when a promotion is about to come.
            self._failover.probe_primary(request.address, why)
            self._requests.waiting.hold(request, why)
        else:
            self._requests.waiting.retry(request, code, why)

    # -- Promotions ----------------------------------------------------------

    def primary_changed(self, request: RequestRow, database: DatabaseRow) -> None:
        """Move a write that counted on an earlier primary."""
        state = request.state
        if state is RequestState.QUEUED:
            if request.address != database.primary:
                self._pooling.cancel(request)
                self.route(request)
        elif state is RequestState.SENT:
            if database.primary and database.term > request.sent_term:
                self._requests.discard(request, "its term is over")
                self._requests.outcomes.resolve(request, "its term is over")
        elif state is RequestState.RESOLVING:
            self._requests.outcomes.look_up(request)
