"""Statements that take too long: reads are tried elsewhere, and all end in time."""

from __future__ import annotations

from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.attempts import Attempts
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.signals import AttemptAbandoned, AttemptOverdue, WriteStalled
from mallowpass.core.proxy.stalls import Stalls
from mallowpass.core.proxy.statements import Access, Answer, Code, SessionState
from mallowpass.core.proxy.tables import ConnectionRow, ProxySystem, RequestRow
from mallowpass.core.proxy.transactions import Transactions

__all__ = ["Timeouts"]

# An overdue read is not tried elsewhere before it has taken so many times as long as
# statements do at its endpoint.
OVERDUE_FACTOR = 6.0


class Timeouts(ProxySystem):
    """Let go of what an endpoint does not answer in time."""

    __slots__ = ("_answers", "_attempts", "_connections", "_stalls", "_transactions")

    def start(self) -> None:
        """Subscribe to attempts that are overdue."""
        node = self._node
        self._answers = node.system(Answers)
        self._attempts = node.system(Attempts)
        self._connections = node.system(Connections)
        self._stalls = node.system(Stalls)
        self._transactions = node.system(Transactions)
        node.subscribe(AttemptOverdue, self._on_overdue)

    def _on_overdue(self, signal: AttemptOverdue) -> None:
        """Read elsewhere when an endpoint takes far too long.

        Its answer may be lost for good; the connection is left to finish, so that
        work that is being done is not broken off.
        """
        request = signal.request
        connection = request.connection
        endpoint = connection.endpoint
        writes = request.access is Access.WRITE
        if writes:
            self._node.publish(WriteStalled(endpoint))
        if request.transaction is not None or writes:
            return
        if self.now - request.sent_at < OVERDUE_FACTOR * endpoint.latency:
            return  # all statements take long there: another one would not help
        self._leave(request, connection)
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

    def _leave(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Let go of a read that was sent, and that nobody waits for any more.

        A holder that has not passed it on yet must not: what waits there in vain keeps
        others waiting, which in turn are sent once more. At an endpoint it can't be
        called back, and the connection is free again once it has ended.
        """
        self._attempts.detach(request)
        if connection.holder:
            self._connections.close(connection, "nobody waits for its answer")
        else:
            connection.endpoint.overdue += 1

    def expire(self, request: RequestRow) -> None:
        """Answer a statement whose timeout has passed, if nothing else did."""
        if request.finished:
            return
        connection = request.connection
        if connection is None:
            self._answers.refuse(request, Code.BUSY, request.detail)
            return
        transaction = request.transaction
        if transaction is not None:
            transaction.connection = None
            self._attempts.detach(request)
            self._connections.close(connection, "its transaction timed out")
            self._transactions.answer_lost(request, "the statement's timeout passed")
        elif request.access is Access.WRITE:
            self._attempts.detach(request)
            if self._stalls.is_stalled(self.tables.group(request.route.service)):
                # No answer is due on it before reads need another connection.
                self._connections.close(connection, "its writes stall")
            self._answers.answer_in_doubt(request, "the statement's timeout passed")
        else:
            self._leave(request, connection)
            why = "the statement's timeout passed"
            self._answers.send_answer(
                request, Answer(Code.TIMED_OUT, SessionState.IDLE, message=why)
            )
