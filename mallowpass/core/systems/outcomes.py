"""What became of a write that nobody answered for: looked up, fenced, resolved."""

from __future__ import annotations

from functools import partial

from mallowpass.core.calls import (
    Access,
    CommitRequest,
    ControlReply,
    EndpointCode,
    EndpointReply,
    LogPosition,
    Outcome,
    OutcomeCall,
    OutcomeState,
)
from mallowpass.core.effects import Count
from mallowpass.core.node import System
from mallowpass.core.systems import liveness as liveness_module
from mallowpass.core.tables import DatabaseRow, RequestRow, RequestState
from mallowpass.errors import ErrorCode

__all__ = [
    "FIRST_ATTEMPT",
    "PRIMARY_READ_COUNT",
    "REPLICA_READ_COUNT",
    "RETRIES_COUNT",
    "SECONDS_ATTRIBUTES",
    "STATEMENT_COUNTS",
    "Outcomes",
    "code_of",
    "code_of_refusal",
    "record_id",
]

FIRST_ATTEMPT = 1  # 0 would stand for "no attempt was fenced"
LOOK_UP_TIMEOUT = 0.5  # seconds
LOOK_UP_PAUSE = 0.05  # seconds between look-ups without a verdict

# -- Made once: counting a statement makes no new objects ---------------------

STATEMENT_COUNTS = {
    (outcome, access): Count(
        "statements", 1, (("outcome", outcome.value), ("access", access.value))
    )
    for outcome in Outcome
    for access in Access
}
SECONDS_ATTRIBUTES = {access: (("access", access.value),) for access in Access}
REPLICA_READ_COUNT = Count("reads", 1, (("role", "replica"),))
PRIMARY_READ_COUNT = Count("reads", 1, (("role", "primary"),))
RETRIES_COUNT = Count("retries")

# -- Names and codes ----------------------------------------------------------


def record_id(caller: str, request_id: str) -> str:
    """Return the id that an endpoint records for a caller's request."""
    # Escaped: caller "a/b" with id "c" must not meet caller "a" with id "b/c".
    name = caller.replace("%", "%25").replace("/", "%2F").replace("~", "%7E")
    return f"{name}/{request_id}"


def code_of(code: str) -> ErrorCode:
    """Return the entry of a code given by its number or its name."""
    return ErrorCode.__members__.get(code) or ErrorCode.by_code(code)


def code_of_refusal(reply: EndpointReply) -> ErrorCode:
    """Return the code for a statement that the endpoint refused for good."""
    if reply.code is not EndpointCode.SQL_ERROR:
        return ErrorCode.ENDPOINT_REFUSED
    message = reply.message.lower()
    if "constraint" in message:
        return ErrorCode.CONSTRAINT_VIOLATED
    if "readonly" in message or "read-only" in message:
        return ErrorCode.READ_WOULD_WRITE
    return ErrorCode.INVALID_SQL


# -- Resolution ---------------------------------------------------------------


class Outcomes(System):
    """Resolve writes that may have run; a part of Requests."""

    __slots__ = ("_liveness", "_requests")

    def start(self) -> None:
        """Find the systems that are asked."""
        from mallowpass.core.systems.requests import Requests

        self._liveness = self._node.system(liveness_module.Liveness)
        self._requests = self._node.system(Requests)

    def resolve(self, request: RequestRow, why: str) -> None:
        """Find out whether a write ran, and see to it that it runs no more."""
        request.state = RequestState.RESOLVING
        request.detail = why
        subject = request.request.request_id
        self._node.decide("resolve", subject, f"attempt {request.attempt}: {why}")
        self.look_up(request)

    def look_up(self, request: RequestRow) -> None:
        """Ask the primary for the record, once there is one to ask."""
        if request.state is not RequestState.RESOLVING:
            return
        database = self.tables.databases.get(request.database)
        if database is None:
            self._requests.unknown(request, request.detail)
            return
        primary = database.primary_row
        if primary is None or database.term < request.sent_term:
            return  # PrimaryChanged comes here again, or the deadline passes
        if primary.report is not None and not primary.report.outcome_lookup:
            self._without_look_up(request)
            return
        self._ask(request, database.term, primary.address)

    def _ask(self, request: RequestRow, term: int, address: str) -> None:
        attempt = request.attempt
        call = OutcomeCall(request.record_id, term, True, attempt)
        callback = partial(self._on_looked_up, request, term, attempt)
        self._liveness.control_call(address, call, callback, LOOK_UP_TIMEOUT)

    def _is_about(self, request: RequestRow, attempt: int) -> bool:
        # A verdict on an earlier attempt says nothing of one sent after it.
        resolving = request.state is RequestState.RESOLVING
        return resolving and request.attempt == attempt

    def _without_look_up(self, request: RequestRow) -> None:
        if request.idempotent:
            why = f"{request.detail}; it may run twice"
            self._requests.retry(request, ErrorCode.FAILING_OVER, why)
        else:
            why = f"{request.detail}; the endpoint keeps no record"
            self._requests.unknown(request, why)

    def _on_looked_up(
        self,
        request: RequestRow,
        term: int,
        attempt: int,
        reply: ControlReply | None,
    ) -> None:
        if not self._is_about(request, attempt):
            return
        database = self.tables.databases.get(request.database)
        if database is None or database.term != term:
            self.look_up(request)
            return
        if reply is None or reply.code is not EndpointCode.OK:
            self._look_up_later(request)
        elif reply.outcome is OutcomeState.RECORDED:
            self._on_recorded(request, term, reply)
        elif reply.outcome is OutcomeState.NOT_RECORDED:
            self._on_not_recorded(request, database, term)
        else:
            self._look_up_later(request)

    def _look_up_later(self, request: RequestRow) -> None:
        self.timers.after(LOOK_UP_PAUSE, self.look_up, request)

    def _on_recorded(self, request: RequestRow, term: int, reply: ControlReply) -> None:
        self._node.decide("resolve", request.request.request_id, "recorded")
        request.sent_term = term
        self._requests.writes.await_majority(
            request, reply.outcome_position, reply.outcome_rows
        )

    def _on_not_recorded(
        self, request: RequestRow, database: DatabaseRow, term: int
    ) -> None:
        if term == request.sent_term:
            self._proven_not_run(request)
            return
        # A later term's log has no record. That is proof once a majority holds the
        # start of that term: before, the next promotion could still choose the
        # earlier primary's log, record and all, after the caller was told NOT_RUN.
        callback = partial(self._on_start_held, request, request.attempt)
        start = LogPosition(term, 1)
        waiter = self._liveness.wait_held(database, start, callback)
        if request.state is RequestState.RESOLVING:
            request.waiter = waiter

    def _on_start_held(self, request: RequestRow, attempt: int, held: bool) -> None:
        if not self._is_about(request, attempt):
            return
        request.waiter = None
        if held:
            self._proven_not_run(request)
        else:
            self.look_up(request)

    def _proven_not_run(self, request: RequestRow) -> None:
        subject = request.request.request_id
        self._node.decide("resolve", subject, "not recorded, and fenced")
        why = f"proven not run: {request.detail}"
        if isinstance(request.request, CommitRequest):
            code = ErrorCode.TRANSACTION_ROLLED_BACK
            self._requests.not_run(request, code, why)
            return
        request.attempt += 1
        database = self.tables.databases[request.database]
        if database.term > request.sent_term:
            # Once for each promotion: no budget is needed to bound that.
            self._requests.writes.route(request)
        else:
            self._requests.retry(request, ErrorCode.FAILING_OVER, why)
