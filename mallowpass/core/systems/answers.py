"""Answers to callers: codes, outcomes, session tokens and metrics."""

from __future__ import annotations

from functools import lru_cache

from mallowpass.core.calls import (
    Access,
    CallerAnswer,
    CallerRequest,
    EndpointCode,
    EndpointReply,
    Outcome,
)
from mallowpass.core.effects import AnswerCaller, Count, Observe
from mallowpass.core.node import System
from mallowpass.core.services import service_of
from mallowpass.core.tables import RequestRow, SessionRow
from mallowpass.errors import ErrorCode

__all__ = [
    "RETRIES_COUNT",
    "Answers",
    "code_of",
    "code_of_refusal",
    "read_count",
    "record_id",
]

# -- Counts -------------------------------------------------------------------

RETRIES_COUNT = Count("retries")
COUNT_CACHE_SIZE = 4096  # combinations of labels whose counts are cached


@lru_cache(COUNT_CACHE_SIZE)
def read_count(replica: bool, database: str) -> Count:
    """Return the count of a read by its member's role; `database` is a key."""
    role = "replica" if replica else "primary"
    return Count("reads", 1, (("role", role), ("service", service_of(database))))


@lru_cache(COUNT_CACHE_SIZE)
def _statement_count(outcome: Outcome, access: Access, database: str) -> Count:
    return Count(
        "statements",
        1,
        (("outcome", outcome.value), *_statement_attributes(access, database)),
    )


@lru_cache(COUNT_CACHE_SIZE)
def _statement_attributes(
    access: Access, database: str
) -> tuple[tuple[str, str], tuple[str, str]]:
    return ("access", access.value), ("service", service_of(database))


# -- Names and codes ----------------------------------------------------------


def record_id(caller: str, request_id: str) -> str:
    """Return the id that an endpoint records for a caller's request."""
    # Escaped, as caller "a/b" with id "c" must differ from caller "a" with id "b/c".
    name = caller.replace("%", "%25").replace("/", "%2F").replace("~", "%7E")
    return f"{name}/{request_id}"


def code_of(code: str) -> ErrorCode:
    """Return the error code with the given number or name."""
    return ErrorCode.__members__.get(code) or ErrorCode.by_code(code)


def code_of_refusal(reply: EndpointReply) -> ErrorCode:
    """Return the error code for a statement that must not be retried."""
    if reply.code is not EndpointCode.SQL_ERROR:
        return ErrorCode.ENDPOINT_REFUSED
    message = reply.message.lower()
    if "constraint" in message:
        return ErrorCode.CONSTRAINT_VIOLATED
    if "readonly" in message or "read-only" in message:
        return ErrorCode.READ_WOULD_WRITE
    return ErrorCode.INVALID_SQL


# -- Answers ------------------------------------------------------------------


class Answers(System):
    """Send answers with the session's token and count them; a part of Requests."""

    __slots__ = ("_draining", "_sessions")

    def start(self) -> None:
        """Look up the systems that this one calls."""
        from mallowpass.core.systems.draining import Draining
        from mallowpass.core.systems.sessions import Sessions

        self._draining = self._node.system(Draining)
        self._sessions = self._node.system(Sessions)

    def refuse(
        self,
        session: SessionRow,
        request: CallerRequest,
        code: ErrorCode,
        message: str = "",
        retry_after: float = 0.0,
        outcome: Outcome = Outcome.NOT_RUN,
    ) -> None:
        """Refuse a request that has no row."""
        text = message or code.meaning
        self._node.count("refused", code=code.code)
        self._node.record_decision("refuse", request.request_id, f"{code.code} {text}")
        answer = CallerAnswer(
            request_id=request.request_id,
            outcome=outcome,
            code=code.code,
            message=text,
            retry_after=retry_after,
        )
        self.send(session.stream, request.request_id, answer)

    def send_final(self, request: RequestRow, answer: CallerAnswer) -> None:
        """Send the final answer to a request and to its duplicates."""
        self._finish_in_session(request.stream, request.request.request_id, answer)
        if request.duplicates is not None:
            for stream, request_id in request.duplicates:
                self._finish_in_session(stream, request_id, answer)
        emit = self._node.emit
        seconds = self.now - request.arrived_at
        access, database = request.access, request.database
        emit(_statement_count(answer.outcome, access, database))
        attributes = _statement_attributes(access, database)
        emit(Observe("statement_seconds", seconds, attributes))

    def _finish_in_session(
        self, stream: int, request_id: str, answer: CallerAnswer
    ) -> None:
        session = self.tables.sessions.get(stream)
        if session is not None:
            session.requests.pop(request_id, None)
            self.send(stream, request_id, answer)

    def send(self, stream: int, request_id: str, answer: CallerAnswer) -> None:
        """Send an answer, or a part of one, with the token of the stream's session."""
        session = self.tables.sessions.get(stream)
        if session is None:
            return
        addressed = CallerAnswer(
            request_id=request_id,
            outcome=answer.outcome,
            code=answer.code,
            message=answer.message,
            token=self._sessions.token(session),
            rows=answer.rows,
            transaction=answer.transaction,
            retry_after=answer.retry_after,
            served_by=answer.served_by,
            from_replica=answer.from_replica,
            go_elsewhere=self._draining.is_draining,
            repeated=answer.repeated,
        )
        self._node.emit(AnswerCaller(stream, addressed))
