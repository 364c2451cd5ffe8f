"""What became of a write that nobody answered for: looked up, fenced, resolved."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from mallowpass.core.calls import (
    BeginRequest,
    CommitRequest,
    ControlReply,
    EndpointCode,
    LogPosition,
    OutcomeCall,
    OutcomeState,
)
from mallowpass.core.node import System
from mallowpass.core.systems import liveness as liveness_module
from mallowpass.core.tables import DatabaseRow, RequestRow, RequestState
from mallowpass.errors import ErrorCode

__all__ = ["FIRST_ATTEMPT", "Outcomes"]

FIRST_ATTEMPT = 1  # 0 would stand for "no attempt was fenced"
LOOK_UP_TIMEOUT = 0.5  # seconds
LOOK_UP_PAUSE = 0.05  # seconds between look-ups without a verdict


@dataclass(slots=True, eq=False)
class _LookUp:
    """Hold one question for a request's outcome; a newer one takes its place.

    A verdict on an earlier attempt, or of an earlier term, must not count for a
    write that was sent again since.
    """

    request: RequestRow
    term: int
    live: bool = True

    def cancel(self) -> None:
        """Have the answer ignored."""
        self.live = False


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
        if isinstance(request.request, BeginRequest):
            # Nothing of it can stay: no commit was sent.
            self._requests.waiting.retry(request, ErrorCode.CONNECTION_LOST, why)
            return
        request.state = RequestState.RESOLVING
        request.detail = why
        subject = request.request.request_id
        self._node.record_decision(
            "resolve", subject, f"attempt {request.attempt}: {why}"
        )
        self.look_up(request)

    def look_up(self, request: RequestRow) -> None:
        """Ask the primary for the record, once there is one to ask."""
        if request.state is not RequestState.RESOLVING:
            return
        database = self.tables.databases.get(request.database)
        if database is None:
            self._requests.answer_unknown(request, request.detail)
            return
        primary = database.primary_row
        if primary is None or database.term < request.sent_term:
            return  # PrimaryChanged comes here again, or the deadline passes
        if primary.report is not None and not primary.report.outcome_lookup:
            self._without_look_up(request)
            return
        self._ask(request, database.term, primary.address)

    def _ask(self, request: RequestRow, term: int, address: str) -> None:
        if request.waiter is not None:
            request.waiter.cancel()
        look_up = _LookUp(request, term)
        request.waiter = look_up
        call = OutcomeCall(request.record_id, term, True, request.attempt)
        callback = partial(self._on_looked_up, look_up)
        self._liveness.control_call(address, call, callback, LOOK_UP_TIMEOUT)

    def _without_look_up(self, request: RequestRow) -> None:
        if request.idempotent:
            why = f"{request.detail}; it may run twice"
            self._requests.waiting.retry(request, ErrorCode.FAILING_OVER, why)
        else:
            why = f"{request.detail}; the endpoint keeps no record"
            self._requests.answer_unknown(request, why)

    def _on_looked_up(self, look_up: _LookUp, reply: ControlReply | None) -> None:
        if not look_up.live:
            return
        request = look_up.request
        database = self.tables.databases.get(request.database)
        if database is None or database.term != look_up.term:
            self.look_up(request)
        elif reply is None or reply.code is not EndpointCode.OK:
            self._look_up_later(look_up)
        elif reply.outcome is OutcomeState.RECORDED:
            self._on_recorded(look_up, reply)
        elif reply.outcome is OutcomeState.NOT_RECORDED:
            self._on_not_recorded(look_up, database)
        else:
            self._look_up_later(look_up)

    def _look_up_later(self, look_up: _LookUp) -> None:
        self.timers.after(LOOK_UP_PAUSE, self._look_up_again, look_up)

    def _look_up_again(self, look_up: _LookUp) -> None:
        if look_up.live:
            self.look_up(look_up.request)

    def _on_recorded(self, look_up: _LookUp, reply: ControlReply) -> None:
        request = look_up.request
        look_up.cancel()
        request.waiter = None
        self._node.record_decision("resolve", request.request.request_id, "recorded")
        request.sent_term = look_up.term
        self._requests.writes.await_majority(
            request, reply.outcome_position, reply.outcome_rows
        )

    def _on_not_recorded(self, look_up: _LookUp, database: DatabaseRow) -> None:
        # The log of this term has no record. That is proof once a majority holds the
        # start of the term: before, the next promotion could still choose an earlier
        # primary's log, record and all, after the caller was told NOT_RUN. The term
        # of the sending is no exception: an earlier copy may have come through
        # another host. Normally the start is held long since.
        start = LogPosition(look_up.term, 1)
        callback = partial(self._on_start_held, look_up)
        self._liveness.wait_for_majority(database, start, callback)

    def _on_start_held(self, look_up: _LookUp, held: bool) -> None:
        if not look_up.live:
            return
        if held:
            self._proven_not_run(look_up)
        else:
            self.look_up(look_up.request)

    def _proven_not_run(self, look_up: _LookUp) -> None:
        request = look_up.request
        look_up.cancel()
        request.waiter = None
        subject = request.request.request_id
        self._node.record_decision("resolve", subject, "not recorded, and fenced")
        why = f"proven not run: {request.detail}"
        if isinstance(request.request, CommitRequest):
            code = ErrorCode.TRANSACTION_ROLLED_BACK
            self._requests.answer_not_run(request, code, why)
            return
        request.attempt += 1
        database = self.tables.databases.get(request.database)
        prepaid = request.is_retry_prepaid
        request.is_retry_prepaid = False
        if prepaid or database is None or database.term > request.sent_term:
            # Once for each promotion: no budget is needed to bound that.
            self._requests.route(request)
        else:
            self._requests.waiting.retry(request, ErrorCode.FAILING_OVER, why)
