"""The resolution of writes whose outcome is unknown.

The primary is asked for the record of the write and fences the attempt in the same
call. The write is then acknowledged from its record, sent again, or answered.
"""

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

FIRST_ATTEMPT = 1  # 0 means that no attempt was fenced
LOOK_UP_TIMEOUT = 0.5  # seconds
LOOK_UP_INTERVAL = 0.05  # seconds until a look-up without a result is repeated


@dataclass(slots=True, eq=False)
class _LookUp:
    """A look-up of a request's outcome, which a newer look-up supersedes.

    A result for an earlier attempt or from an earlier term must not count for a write
    that was sent again since.
    """

    request: RequestRow
    term: int
    is_current: bool = True

    def cancel(self) -> None:
        """Ignore the reply to this look-up."""
        self.is_current = False


class Outcomes(System):
    """Resolve writes that may have run; a part of Requests."""

    __slots__ = ("_liveness", "_requests")

    def start(self) -> None:
        """Look up the systems that this one calls."""
        from mallowpass.core.systems.requests import Requests

        self._liveness = self._node.system(liveness_module.Liveness)
        self._requests = self._node.system(Requests)

    def resolve(self, request: RequestRow, why: str) -> None:
        """Find out whether a write ran, and prevent it from running later."""
        if isinstance(request.request, BeginRequest):
            # A transaction has no lasting effect before its commit.
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
        """Ask the primary for the record of a write, once a primary is known."""
        if request.state is not RequestState.RESOLVING:
            return
        database = self.tables.databases.get(request.database)
        if database is None:
            self._requests.answer_unknown(request, request.detail)
            return
        primary = database.primary_row
        if primary is None or database.term < request.sent_term:
            return  # repeated upon PrimaryChanged, unless the deadline passes first
        if primary.report is not None and not primary.report.outcome_lookup:
            self._resolve_without_record(request)
            return
        self._send_look_up(request, database.term, primary.address)

    def _send_look_up(self, request: RequestRow, term: int, address: str) -> None:
        if request.waiter is not None:
            request.waiter.cancel()
        look_up = _LookUp(request, term)
        request.waiter = look_up
        call = OutcomeCall(request.record_id, term, True, request.attempt)
        callback = partial(self._on_looked_up, look_up)
        self._liveness.control_call(address, call, callback, LOOK_UP_TIMEOUT)

    def _resolve_without_record(self, request: RequestRow) -> None:
        if request.idempotent:
            why = f"{request.detail}; an idempotent write may run twice"
            self._requests.waiting.retry(request, ErrorCode.FAILING_OVER, why)
        else:
            why = f"{request.detail}; the endpoint keeps no records of outcomes"
            self._requests.answer_unknown(request, why)

    def _on_looked_up(self, look_up: _LookUp, reply: ControlReply | None) -> None:
        if not look_up.is_current:
            return
        request = look_up.request
        database = self.tables.databases.get(request.database)
        if database is None or database.term != look_up.term:
            self.look_up(request)
        elif reply is None or reply.code is not EndpointCode.OK:
            self._schedule_look_up(look_up)
        elif reply.outcome is OutcomeState.RECORDED:
            self._on_recorded(look_up, reply)
        elif reply.outcome is OutcomeState.NOT_RECORDED:
            self._on_not_recorded(look_up, database)
        else:
            self._schedule_look_up(look_up)

    def _schedule_look_up(self, look_up: _LookUp) -> None:
        self.timers.after(LOOK_UP_INTERVAL, self._look_up_again, look_up)

    def _look_up_again(self, look_up: _LookUp) -> None:
        if look_up.is_current:
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
        # The log of this term has no record of the write. Once a majority holds the
        # start of the term, this proves that the write did not run. Until then the next
        # promotion could choose an earlier primary's log that has the record, after the
        # caller was answered NOT_RUN. The term in which the write was sent is no
        # exception: a duplicate may have run earlier through another host. Usually a
        # majority holds the start of the term already.
        start = LogPosition(look_up.term, 1)
        callback = partial(self._on_term_start_held, look_up)
        self._liveness.wait_for_majority(database, start, callback)

    def _on_term_start_held(self, look_up: _LookUp, held: bool) -> None:
        if not look_up.is_current:
            return
        if held:
            self._on_proven_not_run(look_up)
        else:
            self.look_up(look_up.request)

    def _on_proven_not_run(self, look_up: _LookUp) -> None:
        request = look_up.request
        look_up.cancel()
        request.waiter = None
        subject = request.request.request_id
        self._node.record_decision(
            "resolve", subject, "not recorded; the attempt is fenced"
        )
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
            # The retry is paid for, or is the only one for this promotion, which
            # bounds the number of retries without the budget.
            self._requests.route(request)
        else:
            self._requests.waiting.retry(request, ErrorCode.FAILING_OVER, why)
