"""Timeouts: overdue reads are retried elsewhere, and statements expire."""

from __future__ import annotations

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.attempts import Attempts
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.signals import AttemptAbandoned, AttemptOverdue, WriteStalled
from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.statements import Access, Answer, Code, SessionState
from mallowpass.core.proxy.tables import ConnectionRow, ProxySystem, RequestRow
from mallowpass.core.proxy.transactions import Transactions

__all__ = ["Timeouts"]

# An overdue read is retried at another endpoint only once it has taken this many times
# the mean latency of its endpoint.
OVERDUE_FACTOR = 6.0


class Timeouts(ProxySystem):
    """End the attempts and statements that are not answered in time."""

    __slots__ = (
        "_admission",
        "_answers",
        "_attempts",
        "_connections",
        "_holders",
        "_stalls",
        "_transactions",
    )

    def start(self) -> None:
        """Subscribe to overdue attempts."""
        node = self._node
        self._admission = node.system(AdmissionControl)
        self._answers = node.system(Answers)
        self._attempts = node.system(Attempts)
        self._connections = node.system(Connections)
        self._holders = node.system(Holders)
        self._stalls = node.system(Stalls)
        self._transactions = node.system(Transactions)
        node.subscribe(AttemptOverdue, self._on_overdue)

    def _on_overdue(self, signal: AttemptOverdue) -> None:
        """Retry a read at another endpoint, as its reply may never come.

        A connection to the endpoint itself stays open until the reply arrives, so that
        work in progress is not interrupted.
        """
        request = signal.request
        connection = request.connection
        endpoint = connection.endpoint
        is_write = request.access is Access.WRITE
        # A write that a silent holder did not answer says nothing about the primary.
        if is_write and not self._holders.is_silent(connection.holder):
            self._node.publish(WriteStalled(endpoint))
        if request.transaction is not None or is_write:
            return
        if self.now - request.sent_at < OVERDUE_FACTOR * endpoint.latency:
            return  # all statements take that long there: a retry would not help
        self._abandon(request, connection)
        request.tries += 1
        request.avoided_endpoints.add(endpoint.name)
        request.detail = f"{endpoint.name}: no answer in time"
        self._node.log(
            "info",
            "request_moved",
            request=request.request_id,
            endpoint=endpoint.name,
            waited=round(self.now - request.sent_at, 3),
        )
        self._node.publish(AttemptAbandoned(request))

    def _abandon(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Abandon a read that was sent and whose reply is no longer needed.

        At a holder, the read is cancelled by closing the connection: if it waited there
        to be forwarded, it would delay other statements, which would then be retried
        as well. At an endpoint it can't be cancelled; the connection is released when
        the reply arrives.
        """
        self._attempts.detach(request)
        if connection.holder:
            self._connections.close(connection, "its statement was abandoned")
        else:
            connection.endpoint.overdue += 1

    def expire(self, request: RequestRow) -> None:
        """Answer a statement whose timeout has passed, unless it has ended."""
        if request.finished:
            return
        if request.connection is None:
            why = self._admission.with_retry_time(request, request.detail)
            self._answers.refuse(request, Code.BUSY, why)
        else:
            self._end_sent(request, "the statement's timeout passed")

    def end(self, request: RequestRow, why: str) -> None:
        """Answer a statement whose reply can't be waited for any longer."""
        if request.connection is None:
            self._answers.refuse(request, Code.BUSY, why)
        else:
            self._end_sent(request, why)

    def _end_sent(self, request: RequestRow, why: str) -> None:
        """Answer a statement that was sent and has no reply."""
        connection, transaction = request.connection, request.transaction
        if transaction is not None:
            transaction.connection = None
            self._attempts.detach(request)
            self._connections.close(connection, f"its transaction was ended: {why}")
            self._transactions.answer_lost(request, why, was_sent=True)
        elif request.access is Access.WRITE:
            self._attempts.detach(request)
            if self._stalls.is_stalled(self.tables.group(request.route.service)):
                # Reads need a connection before a reply is likely to come on this one.
                self._connections.close(connection, "its writes stall")
            self._answers.answer_in_doubt(request, why)
        else:
            self._abandon(request, connection)
            self._answers.send_answer(
                request, Answer(Code.TIMED_OUT, SessionState.IDLE, message=why)
            )
