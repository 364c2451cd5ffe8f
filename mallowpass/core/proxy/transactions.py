"""Transactions at endpoints: begun late, and kept on one connection each."""

from __future__ import annotations

from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.attempts import TRIES_MAX, Attempts
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.leadership import LEADERSHIP_UNPROVEN
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.signals import (
    AttemptRefused,
    TransactionLost,
    WriteAcknowledged,
)
from mallowpass.core.proxy.statements import (
    Access,
    Answer,
    Begin,
    Code,
    Commit,
    EndpointCall,
    EndpointReply,
    LogPosition,
    SessionState,
)
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    ProxySystem,
    RequestRow,
    SessionRow,
)

__all__ = ["Transactions"]


class Transactions(ProxySystem):
    """Run the statements of transactions."""

    __slots__ = (
        "_answers",
        "_attempts",
        "_connections",
        "_durability",
        "_floors",
        "_load",
        "_members",
    )

    def start(self) -> None:
        """Find the systems that are asked."""
        node = self._node
        self._answers = node.system(Answers)
        self._attempts = node.system(Attempts)
        self._connections = node.system(Connections)
        self._durability = node.system(Durability)
        self._floors = node.system(Floors)
        self._load = node.system(Load)
        self._members = node.system(Members)

    # -- Sending -------------------------------------------------------------

    def begin(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        floor: LogPosition | None,
    ) -> None:
        """Begin a transaction, and send its first statement once that is accepted.

        Sent along, the statement would run outside the transaction where the
        endpoint refuses to begin it.
        """
        self._attempts.attach(request, connection)
        connection.state = ConnectionState.PINNED
        request.transaction.has_proven_floor = floor is not None
        # A primary accepts a transaction that may write only while it leads. That is
        # how a read learns that the primary was not replaced.
        read_only = floor is not None
        minimum = floor or self._floors.session_floor(request.session, request.route)
        call = EndpointCall(Begin(read_only), minimum=minimum)
        begin = self._attempts.with_caller(call, request)

        def on_replies(connection: ConnectionRow, replies: list[EndpointReply]) -> None:
            self._on_begun(request, connection, replies[0], read_only)

        self._connections.send(connection, [begin], on_replies)

    def _on_begun(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        reply: EndpointReply,
        read_only: bool,
    ) -> None:
        transaction = request.transaction
        if request.finished or request.connection is not connection:
            self._connections.roll_back(connection)
            return
        if reply.code is not Code.DONE:
            self._attempts.detach(request)
            self._connections.release(connection)
            self._node.publish(AttemptRefused(request, connection.endpoint, reply))
            return
        transaction.connection = connection
        self.send(request)

    def send(self, request: RequestRow) -> None:
        """Send a statement on its transaction's connection."""
        connection = request.transaction.connection
        if request.access is Access.READ and not request.transaction.has_proven_floor:
            began_at = request.transaction.began_at
            self._floors.request_proof(connection.endpoint, request.route, began_at)
        self._attempts.attach(request, connection)
        calls = self._attempts.setup_calls(request, connection)
        setup = len(calls)
        calls.append(self._attempts.statement_call(request, None))

        def on_replies(connection: ConnectionRow, replies: list[EndpointReply]) -> None:
            self._on_pinned_replies(request, connection, replies, setup)

        self._connections.send(connection, calls, on_replies)

    def _send_later(self, request: RequestRow, connection: ConnectionRow) -> None:
        request.tries += 1
        pause = self._attempts.backoff(request)
        self._attempts.watch_loss(request, connection)
        request.timers.append(
            self.timers.after(pause, self._send_again, request, connection)
        )

    def _send_again(self, request: RequestRow, connection: ConnectionRow) -> None:
        if not request.finished and request.transaction.connection is connection:
            self.send(request)

    # -- Replies -------------------------------------------------------------

    def _on_pinned_replies(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        replies: list[EndpointReply],
        setup: int,
    ) -> None:
        if request.connection is not connection:
            self._connections.roll_back(connection)
            return
        if any(reply.code is not Code.DONE for reply in replies[:setup]):
            connection.is_broken = True
        reply = replies[setup]
        endpoint = connection.endpoint
        self._attempts.detach(request)
        transaction = request.transaction
        if isinstance(request.statement, Commit):
            self._on_commit_reply(request, connection, reply)
            return
        if reply.code is Code.DONE:
            self._load.record_latency(endpoint, self.now - request.sent_at)
            transaction.has_written |= request.access is Access.WRITE
            if request.access is Access.READ and not transaction.has_proven_floor:
                self._prove(request, connection, reply)
            else:
                self._on_done(request, connection, reply)
        elif self._is_refused_open(request, reply):
            self._send_later(request, connection)
        else:
            if reply.code is Code.NOT_PRIMARY:
                self._members.note_not_primary(endpoint)
            self._fail(request, connection, reply)

    def _on_done(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        connection.on_lost = lambda _, why: self._on_idle_lost(request.session, why)
        self._answers.forward_reply(request, reply, SessionState.IN_TRANSACTION)

    def _fail(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Roll a transaction back of which a statement failed."""
        request.transaction.connection = None
        self._connections.roll_back(connection)
        code = Code.ABORTED if reply.code.is_not_run else reply.code
        message = f"{connection.endpoint.name}: {reply.code.value} {reply.message}"
        self._answers.send_answer(
            request, Answer(code, SessionState.FAILED, message=message)
        )

    def _prove(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Answer a read once it is known that nobody else led when its caller began."""
        self._attempts.watch_loss(request, connection)

        def on_proof(sole: bool) -> None:
            if request.finished or request.transaction.connection is not connection:
                return
            if sole:
                request.transaction.has_proven_floor = True
                self._on_done(request, connection, reply)
            else:
                self._fail(request, connection, LEADERSHIP_UNPROVEN)

        began_at = request.transaction.began_at
        self._floors.prove_freshness(
            connection.endpoint, request.route, began_at, on_proof
        )

    @staticmethod
    def _is_refused_open(request: RequestRow, reply: EndpointReply) -> bool:
        """Tell whether a statement did not run, and its transaction stays open."""
        return (
            reply.code is Code.BUSY
            and reply.state is SessionState.IN_TRANSACTION
            and request.tries < TRIES_MAX
        )

    def _on_commit_reply(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        endpoint = connection.endpoint
        transaction = request.transaction
        transaction.connection = None
        if self._is_refused_open(request, reply):
            # Refused and still open: it is sent again, on the same connection.
            transaction.connection = connection
            self._send_later(request, connection)
            return
        if reply.state is SessionState.IDLE:
            self._connections.release(connection)
        else:
            self._connections.roll_back(connection)
        if reply.code is Code.DONE:
            if transaction.has_written:
                group = self.tables.group(request.route.service)
                self._durability.note_acknowledgement(endpoint, request.position_before)
                self._node.publish(WriteAcknowledged(group))
                self._floors.record_session_commit(
                    request.session, endpoint, reply.position, request.sent_at
                )
            self._answers.forward_reply(request, reply, SessionState.IDLE)
            return
        if reply.code is Code.NOT_PRIMARY:
            self._members.note_not_primary(endpoint)
        self._answers.send_answer(
            request,
            Answer(
                Code.ABORTED if reply.code.is_not_run else reply.code,
                SessionState.IDLE,
                message=f"{endpoint.name}: {reply.code.value} {reply.message}",
            ),
        )

    # -- Ends ----------------------------------------------------------------

    def answer_lost(self, request: RequestRow, why: str) -> None:
        """Answer a statement whose transaction lost its connection."""
        is_commit = isinstance(request.statement, Commit)
        if is_commit and request.transaction.has_written:
            self._answers.answer_in_doubt(request, why)
            return
        # An endpoint rolls back what a lost connection left open, and no commit
        # with writes was sent: nothing of this transaction is kept.
        state = SessionState.IDLE if is_commit else SessionState.FAILED
        self._answers.send_answer(request, Answer(Code.ABORTED, state, message=why))

    def _on_idle_lost(self, session: SessionRow, why: str) -> None:
        """Note that a transaction lost its connection between two statements."""
        if session.transaction is not None:
            session.transaction.connection = None
            self._node.publish(TransactionLost(session, why))
