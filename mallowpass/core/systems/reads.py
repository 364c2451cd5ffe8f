"""Reads outside transactions: routing, sending and checking of answers.

An answer is forwarded only if the log position it was made from contains the floor.
"""

from __future__ import annotations

from mallowpass.core.calls import (
    BeginCall,
    BeginRequest,
    CallerAnswer,
    EndpointCode,
    EndpointReply,
    ExecuteCall,
    Outcome,
)
from mallowpass.core.node import Node, System
from mallowpass.core.services import service_of
from mallowpass.core.systems import liveness as liveness_module
from mallowpass.core.systems import pooling as pooling_module
from mallowpass.core.systems import retries as retries_module
from mallowpass.core.systems import routing as routing_module
from mallowpass.core.systems import sessions as sessions_module
from mallowpass.core.systems.answers import (
    RETRIES_COUNT,
    code_of_refusal,
    read_count,
)
from mallowpass.core.systems.connections import TimeoutTracker
from mallowpass.core.tables import (
    ConnectionRow,
    EndpointRow,
    RequestRow,
    RequestState,
)
from mallowpass.errors import ErrorCode

__all__ = ["Reads"]

# A read is retried at another member once it has taken OVERDUE_MIN seconds and
# OVERDUE_FACTOR times the member's usual latency.
OVERDUE_MIN = 0.25
OVERDUE_FACTOR = 4.0
# Seconds between two checks of a read in flight. The first check sends a keep-alive on
# its connection.
CHECK_INTERVAL = OVERDUE_MIN / 2

# Refusals that do not count as errors of the member, which merely cannot serve now.
_NO_FAULT_CODES = frozenset({EndpointCode.WRONG_TERM, EndpointCode.LEAVING})
_FINAL_CODES = frozenset({EndpointCode.SQL_ERROR, EndpointCode.BAD_CALL})


class Reads(System):
    """Serve reads from any member that has reached the floor; a part of Requests."""

    __slots__ = (
        "_floors",
        "_liveness",
        "_pooling",
        "_requests",
        "_retries",
        "_routing",
        "_sessions",
        "_timeouts",
        "_transactions",
        "_waiting",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._waiting: dict[str, dict[int, RequestRow]] = {}  # by database key

    def start(self) -> None:
        """Look up the systems that this one calls."""
        from mallowpass.core.systems.requests import Requests
        from mallowpass.core.systems.transactions import Transactions

        node = self._node
        self._liveness = node.system(liveness_module.Liveness)
        self._pooling = node.system(pooling_module.Pooling)
        self._requests = node.system(Requests)
        self._floors = self._requests.floors
        self._retries = node.system(retries_module.Retries)
        self._routing = node.system(routing_module.Routing)
        self._sessions = node.system(sessions_module.Sessions)
        self._transactions = node.system(Transactions)
        self._timeouts = TimeoutTracker(self.timers, CHECK_INTERVAL, self._on_check_due)

    # -- Routing -------------------------------------------------------------

    def route(self, request: RequestRow) -> None:
        """Queue a read at the best member, or have it wait until a member can serve."""
        database = self.tables.databases[request.database]
        if self._floors.handle_lost_floor(request):
            return
        endpoint = self._routing.choose_read(request, database)
        if endpoint is None:
            pause = self._routing.replica_wait(request, database)
            if pause > 0:
                self._wait(request, pause)
                return
            endpoint = self._routing.choose_fallback_read(request, database)
        if endpoint is not None:
            self._waiting_reads(request).pop(request.number, None)
            self._timeouts.restart(request.number)
            self._requests.acquire(request, endpoint.address)
        elif request.avoided_addresses and not request.behind_count:
            why = f"no member served the read: {request.detail}"
            self._requests.waiting.retry(request, ErrorCode.ENDPOINT_REFUSED, why)
        else:
            self._waiting_reads(request)[request.number] = request
            request.avoided_addresses = None
            self._requests.waiting.hold(
                request, "no primary is known, and no replica has reached the floor"
            )

    def _wait(self, request: RequestRow, pause: float) -> None:
        request.state = RequestState.AWAITING_FLOOR
        request.detail = "waits for a replica to reach the floor"
        self._waiting_reads(request)[request.number] = request
        self.timers.after(pause, self._on_wait_ended, request)

    def _on_wait_ended(self, request: RequestRow) -> None:
        waiting = self._waiting_reads(request)
        if request.state is RequestState.AWAITING_FLOOR and request.number in waiting:
            request.avoided_addresses = None
            self.route(request)

    def _waiting_reads(self, request: RequestRow) -> dict[int, RequestRow]:
        return self._waiting.setdefault(request.database, {})

    def on_report(self, endpoint: EndpointRow) -> None:
        """Route the waiting reads whose floor a member has reached by its report."""
        waiting = self._waiting.get(endpoint.database)
        if not waiting or endpoint.is_leaving:
            return
        for request in list(waiting.values()):
            if request.state not in (
                RequestState.AWAITING_FLOOR,
                RequestState.AWAITING_PRIMARY,
            ):
                waiting.pop(request.number, None)
            elif self._liveness.has_reached(endpoint, request.floor):
                waiting.pop(request.number, None)
                request.avoided_addresses = None
                self.route(request)

    # -- Sending -------------------------------------------------------------

    def send(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Send a read on the connection that was granted to it."""
        if self.now > request.arrived_at and not self._floors.refresh(request):
            self._requests.release(request, connection)
            self._floors.look_up_floor(request)
            return
        request.state = RequestState.SENT
        if request.sent_at > request.arrived_at:
            self._timeouts.restart(request.number)
        statement = request.request
        if isinstance(statement, BeginRequest):
            call = BeginCall(minimum=request.floor)
        else:
            call = ExecuteCall(
                sql=statement.sql,
                parameters=statement.parameters,
                minimum=request.floor,
                chunk_rows=statement.chunk_rows,
            )
        self._pooling.send(connection, call)

    # -- Replies -------------------------------------------------------------

    def on_reply(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Forward an answer that contains the floor; else try another member."""
        if reply.code is not EndpointCode.OK:
            self._on_refusal(request, connection, reply)
        elif not self._floors.is_satisfied(request, reply.applied):
            self._on_stale(request, connection, reply)
        elif not reply.last:
            self._requests.send_part(request, self._answer_part(request, reply))
        elif isinstance(request.request, BeginRequest):
            self._record(request, connection)
            self._transactions.on_opened(request, connection, reply)
        else:
            self._record(request, connection)
            self._requests.release(request, connection)
            self._finish(request, reply)

    def _record(self, request: RequestRow, connection: ConnectionRow) -> None:
        self._timeouts.remove(request.number)
        latency = self.now - request.sent_at
        self._requests.record(connection.address, latency, ok=True)

    def _finish(self, request: RequestRow, reply: EndpointReply) -> None:
        session = self.tables.sessions.get(request.stream)
        if session is not None:
            self._sessions.raise_floor(session, request.database, reply.applied)
        for stream, _ in request.duplicates or ():
            other = self.tables.sessions.get(stream)
            if other is not None:
                self._sessions.raise_floor(other, request.database, reply.applied)
        self._retries.record_success(service_of(request.database))
        database = self.tables.databases.get(request.database)
        replica = database is not None and request.address != database.primary
        self._node.emit(read_count(replica, request.database))
        endpoint = self.tables.endpoints.get(request.address)
        answer = CallerAnswer(
            request_id=request.request.request_id,
            outcome=Outcome.DONE,
            rows=reply.rows,
            served_by=endpoint.name if endpoint else "",
            from_replica=replica,
        )
        self._requests.finish(request, answer)

    def _answer_part(self, request: RequestRow, reply: EndpointReply) -> CallerAnswer:
        return CallerAnswer(
            request_id=request.request.request_id, outcome=None, rows=reply.rows
        )

    def _on_refusal(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        code = reply.code
        self._requests.release(request, connection)
        why = f"{connection.address}: {code.name} {reply.message}".rstrip()
        if code in _FINAL_CODES:
            self._record(request, connection)
            self._requests.answer_not_run(request, code_of_refusal(reply), why)
            return
        if code is EndpointCode.BEHIND:
            request.behind_count += 1
        elif code not in _NO_FAULT_CODES:
            self._requests.record(connection.address, 0.0, ok=False)
        self.try_elsewhere(request, ErrorCode.ENDPOINT_REFUSED, why)

    def _on_stale(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        applied, floor = reply.applied, request.floor
        why = (
            f"{connection.address}: log position {applied.term}:{applied.position} of"
            f" the answer does not contain the floor {floor.term}:{floor.position}"
        )
        if reply.last:
            began = isinstance(request.request, BeginRequest)
            self._requests.release(request, connection, reset=began)
        else:
            self._requests.discard(request, "its stale answer goes on")
        request.behind_count += 1
        self._node.record_decision("stale", request.request.request_id, why)
        self.try_elsewhere(request, ErrorCode.FLOOR_NOT_REACHED, why)

    def _on_check_due(self, number: int) -> None:
        """Retry a read elsewhere when its member takes far longer than usual.

        A connection may have become unresponsive without being closed. Each read on
        it would otherwise last until the pool closes the connection, seconds later.
        """
        request = self.tables.requests.get(number)
        if request is None:
            return
        if request.state is RequestState.QUEUED:
            self._check_queued(request)
        elif request.state is RequestState.SENT:
            self._check_sent(request)

    def _check_queued(self, request: RequestRow) -> None:
        pool = self._pooling.find_pool(request.address)
        if pool is None or pool.connections:
            return
        if self.now - request.queued_at < OVERDUE_MIN:
            self._timeouts.add(request.number)
            return
        # The request does not wait for other requests: the member opens no connection.
        self._pooling.cancel(request)
        why = f"{request.address}: no connection opened in {OVERDUE_MIN}s"
        self._requests.record(request.address, 0.0, ok=False)
        self.try_elsewhere(request, ErrorCode.CONNECTION_LOST, why)

    def _check_sent(self, request: RequestRow) -> None:
        # Evaluated first: it sends a keep-alive on the connection, which a responsive
        # member has answered by the next check.
        keeps_running = self._is_slow_statement(request) or request.parts_sent
        if keeps_running or not self._is_overdue(request):
            self._timeouts.add(request.number)
            return
        if self._retries.take_retry(request) is None:
            self._timeouts.add(request.number)
            return
        self._requests.record(request.address, 0.0, ok=False)
        self._requests.abandon_unresponsive(request)
        request.was_moved = True
        why = f"{request.address}: no answer in {self.now - request.sent_at:.3f}s"
        self._node.emit(RETRIES_COUNT)
        self._node.record_decision("retry", request.request.request_id, why)
        self.try_elsewhere(request, ErrorCode.CONNECTION_LOST, why)

    def _is_overdue(self, request: RequestRow) -> bool:
        return self._routing.is_overdue(request, OVERDUE_MIN, OVERDUE_FACTOR)

    def _is_slow_statement(self, request: RequestRow) -> bool:
        """Return whether the statement rather than its member seems to be slow.

        A long report that was restarted at each check would run at every member in
        turn and finish at none. One retry at another member is allowed, as the member
        may be slow; none for requests of patient classes.
        """
        connection = self.tables.connections.get(request.connection)
        if connection is None or not self._pooling.is_responsive(
            connection, CHECK_INTERVAL
        ):
            return False
        return request.was_moved or self._pooling.is_patient(request)

    def on_queue_full(self, request: RequestRow, why: str, retry_after: float) -> None:
        """Try another member than one with a full queue; refuse if there is none."""
        request.retry_after = min(request.retry_after, retry_after)
        if request.avoided_addresses is None:
            request.avoided_addresses = set()
        request.avoided_addresses.add(request.address)
        endpoint = self._routing.choose_any_read(request)
        if endpoint is not None:
            self._requests.acquire(request, endpoint.address)
            return
        code = ErrorCode.QUEUE_FULL
        self._requests.answer_not_run(request, code, why, request.retry_after)

    def on_connection_lost(self, request: RequestRow, why: str) -> None:
        """Retry a read elsewhere after its connection was lost."""
        self.try_elsewhere(request, ErrorCode.CONNECTION_LOST, why)

    def try_elsewhere(self, request: RequestRow, code: ErrorCode, why: str) -> None:
        """Try the next member; back off once all members were tried."""
        if request.parts_sent:
            # The caller has received parts of this answer, which parts of another
            # answer cannot complete: it may be of another log position.
            self._requests.answer_unknown(request, f"the result is incomplete: {why}")
            return
        request.detail = why
        if request.avoided_addresses is None:
            request.avoided_addresses = set()
        request.avoided_addresses.add(request.address)
        request.state = RequestState.BACKOFF
        database = self.tables.databases.get(request.database)
        if database is None or len(request.avoided_addresses) >= len(
            database.endpoints
        ):
            self._requests.waiting.retry(request, code, why)
        else:
            self.route(request)
