"""Final answers to statements, each with its log line and its metrics."""

from __future__ import annotations

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.effects import AnswerStatement
from mallowpass.core.proxy.ratelimits.allowances import Allowances
from mallowpass.core.proxy.signals import StatementAnswered
from mallowpass.core.proxy.statements import (
    Answer,
    Code,
    Commit,
    EndpointReply,
    SessionState,
)
from mallowpass.core.proxy.tables import ProxySystem, RequestRow, SessionRow

__all__ = ["Answers"]


class Answers(ProxySystem):
    """Answer the statements of callers."""

    __slots__ = ("_admission", "_allowances", "_connections")

    def start(self) -> None:
        """Look up the systems that this one uses."""
        self._admission = self._node.system(AdmissionControl)
        self._allowances = self._node.system(Allowances)
        self._connections = self._node.system(Connections)

    def refuse(self, request: RequestRow, code: Code, why: str) -> None:
        """Refuse a statement: nothing of it, or of its transaction, is committed."""
        in_transaction = request.transaction is not None
        is_commit = isinstance(request.statement, Commit)
        if in_transaction:
            self.roll_back(request.session)
        state = SessionState.FAILED
        if not in_transaction or is_commit:
            state = SessionState.IDLE
        self.send_answer(request, Answer(code, state, message=why))

    def answer_in_doubt(self, request: RequestRow, why: str) -> None:
        """Answer that it is unknown whether a write was committed."""
        message = f"{request.endpoint.name}: {why}"
        self.send_answer(
            request, Answer(Code.IN_DOUBT, SessionState.IDLE, message=message)
        )

    def forward_reply(
        self, request: RequestRow, reply: EndpointReply, state: SessionState
    ) -> None:
        """Forward an endpoint's reply to the caller."""
        answer = Answer(reply.code, state, reply.rows, reply.signature, reply.message)
        self.send_answer(request, answer)

    def send_answer(self, request: RequestRow, answer: Answer) -> None:
        """Send the final answer of a statement, with its log line and metrics."""
        self.finish(request)
        session = request.session
        duration = self.now - request.arrived_at
        consistency = request.route.consistency.value
        self._node.observe("statement_seconds", duration, consistency=consistency)
        self._node.count("statements", code=answer.code.value)
        if answer.code is not Code.DONE or request.tries:
            self._log(request, answer, duration)
        if not session.closed:
            self._node.emit(AnswerStatement(session.stream, answer))
            self._node.publish(StatementAnswered(session, answer.state))

    def _log(self, request: RequestRow, answer: Answer, duration: float) -> None:
        group = self.tables.group(request.route.service)
        self._node.log(
            "info",
            "statement_answered",
            request=request.request_id,
            outcome=answer.code.value,
            why=answer.message or request.detail,
            service=group.service,
            database=request.session.database,
            access=request.access.value,
            in_transaction=request.transaction is not None,
            endpoint=request.endpoint.name if request.endpoint else "",
            primary=group.primary,
            term=group.term,
            configuration=self.tables.configuration.version,
            consistency=request.route.consistency.value,
            floor="" if request.floor is None else request.floor.text,
            behind=request.behind_count,
            tries=request.tries,
            ms=round(1000 * duration, 1),
        )

    def finish(self, request: RequestRow) -> None:
        """End a statement, answered or not, and release what it holds."""
        request.finished = True
        request.session.request = None
        for timer in request.timers:
            timer.cancel()
        request.timers.clear()
        if request.granted_until is not None:
            self._allowances.return_unused(request.customer, request.granted_until)
        group = self.tables.group(request.route.service)
        if request in group.waiting:
            group.waiting.remove(request)
            self._admission.note_queue(group)

    def roll_back(self, session: SessionRow) -> None:
        """Roll a session's transaction back at its endpoint."""
        connection = session.transaction.connection
        session.transaction.connection = None
        if connection is not None:
            self._connections.roll_back(connection)
