"""Transactions at endpoints, each pinned to one connection.

A transaction is begun at an endpoint only with its first statement.
"""

from __future__ import annotations

from mallowpass.core.proxy.answers import Answers
from mallowpass.core.proxy.attempts import TRIES_MAX, Attempts
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.guardedwrites import GuardedWrites
from mallowpass.core.proxy.leadership import LEADERSHIP_UNPROVEN
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.members import Members
from mallowpass.core.proxy.signals import (
    AttemptRefused,
    TransactionLost,
    WriteAcknowledged,
)
from mallowpass.core.proxy.stalls import Stalls
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
from mallowpass.core.proxy.writeholds import WRITES_HELD_MESSAGE, WriteHolds
from mallowpass.core.proxy.writeleases import WRITES_UNPROVEN_MESSAGE, WriteLeases
from mallowpass.core.proxy.writers import NOT_A_WRITER_MESSAGE, Writers

__all__ = ["Transactions"]


class Transactions(ProxySystem):
    """Run the statements of transactions."""

    __slots__ = (
        "_answers",
        "_attempts",
        "_connections",
        "_durability",
        "_floors",
        "_guarded_writes",
        "_load",
        "_members",
        "_stalls",
        "_write_holds",
        "_write_leases",
        "_writers",
    )

    def start(self) -> None:
        """Look up the systems that this one uses."""
        node = self._node
        self._answers = node.system(Answers)
        self._attempts = node.system(Attempts)
        self._connections = node.system(Connections)
        self._durability = node.system(Durability)
        self._floors = node.system(Floors)
        self._guarded_writes = node.system(GuardedWrites)
        self._load = node.system(Load)
        self._members = node.system(Members)
        self._stalls = node.system(Stalls)
        self._write_holds = node.system(WriteHolds)
        self._write_leases = node.system(WriteLeases)
        self._writers = node.system(Writers)

    # -- Sending -------------------------------------------------------------

    def begin(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        floor: LogPosition | None,
    ) -> None:
        """Begin a transaction, and send its first statement once it has begun.

        If both were sent together, the statement would run outside the transaction
        when the endpoint refuses to begin it.
        """
        self._attempts.attach(request, connection)
        connection.state = ConnectionState.PINNED
        request.transaction.has_proven_floor = floor is not None
        # Without a floor, also a transaction that only reads is begun as one that may
        # write. An endpoint accepts that only while it is primary: a replaced primary
        # that has stepped down refuses it.
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
        """Send a statement on its transaction's pinned connection."""
        connection = request.transaction.connection
        if request.commits_writes and self._is_held(connection):
            # The transaction can't be committed at the successor.
            self._answers.refuse(request, Code.ABORTED, WRITES_HELD_MESSAGE)
            return
        group = self.tables.group(request.route.service)
        must_wait = self._stalls.must_wait(request, group)
        is_commit = isinstance(request.statement, Commit) and request.commits_writes
        if is_commit and not (must_wait or connection.holder):
            must_wait = self._write_leases.must_wait(group)
            if must_wait and self._writers.is_refused(group):
                self._answers.refuse(request, Code.ABORTED, NOT_A_WRITER_MESSAGE)
                return
            if must_wait and self._write_leases.is_denied(group):
                self._answers.refuse(request, Code.ABORTED, WRITES_UNPROVEN_MESSAGE)
                return
        if must_wait:
            self._retry_later(request, connection)
            return
        if request.access is Access.READ and not request.transaction.has_proven_floor:
            began_at = request.transaction.began_at
            self._floors.request_proof(connection.endpoint, request.route, began_at)
        self._attempts.attach(request, connection)
        calls = self._attempts.setup_calls(request, connection)
        setup_count = len(calls)
        calls.append(self._attempts.statement_call(request, None))

        def on_replies(connection: ConnectionRow, replies: list[EndpointReply]) -> None:
            self._on_pinned_replies(request, connection, replies, setup_count)

        self._connections.send(connection, calls, on_replies, is_commit)

    def _is_held(self, connection: ConnectionRow) -> bool:
        """Return whether a commit may not be sent on a transaction's connection."""
        is_held = self._write_holds.is_held(connection.endpoint)
        return is_held or not self._guarded_writes.may_commit_on(connection)

    def _retry_later(self, request: RequestRow, connection: ConnectionRow) -> None:
        request.tries += 1
        delay = self._attempts.backoff(request)
        self._attempts.watch_loss(request, connection)
        request.timers.append(
            self.timers.after(delay, self._retry, request, connection)
        )

    def _retry(self, request: RequestRow, connection: ConnectionRow) -> None:
        if not request.finished and request.transaction.connection is connection:
            self.send(request)

    # -- Replies -------------------------------------------------------------

    def _on_pinned_replies(
        self,
        request: RequestRow,
        connection: ConnectionRow,
        replies: list[EndpointReply],
        setup_count: int,
    ) -> None:
        if request.connection is not connection:
            self._connections.roll_back(connection)
            return
        if any(reply.code is not Code.DONE for reply in replies[:setup_count]):
            connection.is_broken = True
        reply = replies[setup_count]
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
                self._answer_if_proven(request, connection, reply)
            else:
                self._on_done(request, connection, reply)
        elif self._can_retry(request, reply):
            self._retry_later(request, connection)
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
        """Roll back a transaction in which a statement failed."""
        request.transaction.connection = None
        self._connections.roll_back(connection)
        code = Code.ABORTED if reply.code.is_not_run else reply.code
        message = f"{connection.endpoint.name}: {reply.code.value} {reply.message}"
        self._answers.send_answer(
            request, Answer(code, SessionState.FAILED, message=message)
        )

    def _answer_if_proven(
        self, request: RequestRow, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Answer a read once the primary is proven to have been the only one.

        The proof is for the time when the caller began the transaction, less the age
        that the read accepts, or for a later time.
        """
        self._attempts.watch_loss(request, connection)

        def on_proof(is_proven: bool) -> None:
            if request.finished or request.transaction.connection is not connection:
                return
            if is_proven:
                request.transaction.has_proven_floor = True
                self._on_done(request, connection, reply)
            else:
                self._fail(request, connection, LEADERSHIP_UNPROVEN)

        began_at = request.transaction.began_at
        self._floors.prove_freshness(
            connection.endpoint, request.route, began_at, on_proof
        )

    @staticmethod
    def _can_retry(request: RequestRow, reply: EndpointReply) -> bool:
        """Return whether a statement did not run and its transaction is still open."""
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
        if self._can_retry(request, reply):
            # The transaction is still open on its connection.
            transaction.connection = connection
            self._retry_later(request, connection)
            return
        if reply.state is SessionState.IDLE:
            self._connections.release(connection)
        else:
            self._connections.roll_back(connection)
        if reply.code is Code.DONE:
            if transaction.has_written:
                group = self.tables.group(request.route.service)
                self._durability.note_acknowledgement(endpoint, request.position_before)
                self._node.publish(WriteAcknowledged(group, endpoint, reply.position))
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

    # -- Lost connections ----------------------------------------------------

    def answer_lost(self, request: RequestRow, why: str, was_sent: bool) -> None:
        """Answer a statement whose transaction lost its connection.

        `was_sent`: it had been sent on that connection, and was not answered.
        """
        is_commit = isinstance(request.statement, Commit)
        if was_sent and is_commit and request.transaction.has_written:
            self._answers.answer_in_doubt(request, why)
            return
        # An endpoint rolls back the open transaction of a lost connection, and no
        # commit with writes was sent: nothing of this transaction is committed.
        state = SessionState.IDLE if is_commit else SessionState.FAILED
        self._answers.send_answer(request, Answer(Code.ABORTED, state, message=why))

    def _on_idle_lost(self, session: SessionRow, why: str) -> None:
        """Handle the loss of a transaction's connection between two statements."""
        if session.transaction is not None:
            session.transaction.connection = None
            self._node.publish(TransactionLost(session, why))
