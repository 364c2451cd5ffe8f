"""Sessions of callers: their floors and tokens, and the dispatch of their requests."""

from __future__ import annotations

from functools import singledispatchmethod

from mallowpass.core.calls import (
    BeginRequest,
    CallerAnswer,
    CallerRequest,
    CloseRequest,
    CommitRequest,
    ExecuteRequest,
    LogPosition,
    OpenRequest,
    Outcome,
    RollbackRequest,
)
from mallowpass.core.effects import CloseCaller
from mallowpass.core.events import (
    CallerConnected,
    CallerDisconnected,
    CallerRequested,
)
from mallowpass.core.node import Node, System
from mallowpass.core.systems import draining as draining_module
from mallowpass.core.systems import liveness as liveness_module
from mallowpass.core.systems import requests as requests_module
from mallowpass.core.systems import transactions as transactions_module
from mallowpass.core.systems.tokens import decode_token, encode_token
from mallowpass.core.tables import SessionRow
from mallowpass.errors import ErrorCode, MallowpassError

__all__ = ["Sessions", "lost_floor_key"]

SESSION_REQUESTS_MAX = 1024  # requests in flight of one session
RETRY_AFTER = 0.5  # seconds after which a caller refused by a limit should retry

# A floor that a promotion discarded is kept beside the newest floor, under a key that
# no database can have. It is part of the same token, which older hosts pass on too.
_LOST_SUFFIX = "/lost"

_RETRY_LATER_CODES = frozenset({ErrorCode.SESSION_LIMIT, ErrorCode.DRAINING})


def lost_floor_key(database_key: str) -> str:
    """Return the key of a session's floor that a promotion discarded."""
    return database_key + _LOST_SUFFIX


class Sessions(System):
    """Own the session rows; the only subscriber to the events of callers."""

    __slots__ = ("_dispatch", "_draining", "_liveness", "_requests", "_transactions")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # Bound once, as singledispatchmethod makes a new function at each access.
        self._dispatch = self._handle

    def start(self) -> None:
        """Subscribe to the events of callers."""
        node = self._node
        self._draining = node.system(draining_module.Draining)
        self._liveness = node.system(liveness_module.Liveness)
        self._requests = node.system(requests_module.Requests)
        self._transactions = node.system(transactions_module.Transactions)
        node.subscribe(CallerConnected, self._on_connected)
        node.subscribe(CallerRequested, self._on_requested)
        node.subscribe(CallerDisconnected, self._on_disconnected)

    # -- For other systems ---------------------------------------------------

    def session(self, stream: int) -> SessionRow | None:
        """Return the session of a stream, None if it has ended."""
        return self.tables.sessions.get(stream)

    def raise_floor(
        self, session: SessionRow, database_key: str, position: LogPosition
    ) -> None:
        """Require a session's later reads to contain at least this position.

        The newer of two positions becomes the floor. The log up to the newer position
        contains the older one, unless a promotion discarded the older one. Then both
        are kept, so that the session's next read is answered FLOOR_LOST.
        """
        floor = session.floors.get(database_key)
        if floor is None:
            self._put_floor(session, database_key, position)
            return
        older, newer = sorted((floor, position))
        if self._is_lost(database_key, older, newer):
            self._put_floor(session, lost_floor_key(database_key), older)
        self._put_floor(session, database_key, newer)

    @staticmethod
    def _put_floor(session: SessionRow, key: str, position: LogPosition) -> None:
        floor = session.floors.get(key)
        if floor is None or position > floor:
            session.floors[key] = position
            session.token = b""

    def _is_lost(
        self, database_key: str, older: LogPosition, newer: LogPosition
    ) -> bool:
        database = self.tables.databases.get(database_key)
        if database is None or not older.term < newer.term:
            return False
        return self._liveness.is_floor_lost(database, older)

    def seen_positions(
        self, session: SessionRow, database_key: str
    ) -> tuple[LogPosition, ...]:
        """Return the positions that the session's reads must contain, newest first."""
        keys = (database_key, lost_floor_key(database_key))
        return tuple(session.floors[key] for key in keys if key in session.floors)

    def token(self, session: SessionRow) -> bytes:
        """Return the session's token, encoded anew only after a floor rose."""
        if not session.token:
            session.token = encode_token(self._node.identity.token_key, session.floors)
        return session.token

    # -- Streams -------------------------------------------------------------

    def _on_connected(self, event: CallerConnected) -> None:
        self.tables.sessions[event.stream] = SessionRow(event.stream)

    def _on_disconnected(self, event: CallerDisconnected) -> None:
        session = self.tables.sessions.get(event.stream)
        if session is not None:
            self._end_session(session)

    def _on_requested(self, event: CallerRequested) -> None:
        session = self.tables.sessions.get(event.stream)
        if session is None:
            return
        request = event.request
        code = self._refusal_code(session, request)
        if code is not None:
            self._refuse(session, request, code)
            return
        try:
            self._merge_token(session, request.token)
        except MallowpassError as error:
            self._refuse(session, request, error.error_code, str(error))
            return
        self._dispatch(request, session)

    def _refusal_code(
        self, session: SessionRow, request: CallerRequest
    ) -> ErrorCode | None:
        if not request.request_id:
            return ErrorCode.INVALID_FIELD
        if not session.service and not isinstance(request, OpenRequest | CloseRequest):
            return ErrorCode.UNKNOWN_SESSION
        if self._draining.is_closing and not isinstance(request, CloseRequest):
            return ErrorCode.DRAINING
        if len(session.requests) >= SESSION_REQUESTS_MAX:
            return ErrorCode.SESSION_LIMIT
        if len(self.tables.requests) >= self._node.tuning.requests_in_flight:
            return ErrorCode.SESSION_LIMIT
        return None

    def _merge_token(self, session: SessionRow, token: bytes) -> None:
        if not token or token == session.token:
            return
        floors = decode_token(self._node.identity.token_key, token)
        session.has_presented_token = True
        for database_key, position in floors.items():
            self.raise_floor(session, database_key, position)

    # -- Requests ------------------------------------------------------------

    @singledispatchmethod
    def _handle(self, request: CallerRequest, session: SessionRow) -> None:
        self._refuse(session, request, ErrorCode.MALFORMED_MESSAGE)

    @_handle.register
    def _(self, request: OpenRequest, session: SessionRow) -> None:
        code = self._open_refusal_code(session, request)
        if code is not None:
            self._refuse(session, request, code)
            return
        session.service = request.service
        session.caller = request.caller
        session.request_class = request.request_class
        self._answer_done(session, request)

    @_handle.register
    def _(self, request: ExecuteRequest, session: SessionRow) -> None:
        if request.transaction:
            self._transactions.execute(session, request)
        else:
            self._requests.execute(session, request)

    @_handle.register
    def _(self, request: BeginRequest, session: SessionRow) -> None:
        self._transactions.begin(session, request)

    @_handle.register
    def _(self, request: CommitRequest, session: SessionRow) -> None:
        self._transactions.commit(session, request)

    @_handle.register
    def _(self, request: RollbackRequest, session: SessionRow) -> None:
        self._transactions.roll_back(session, request)

    @_handle.register
    def _(self, request: CloseRequest, session: SessionRow) -> None:
        self._answer_done(session, request)
        self._end_session(session)
        self._node.emit(CloseCaller(session.stream))

    def _open_refusal_code(
        self, session: SessionRow, request: OpenRequest
    ) -> ErrorCode | None:
        if session.service or not request.caller:
            # The caller's name is required, as request ids are unique per caller only.
            return ErrorCode.INVALID_FIELD
        if self._draining.is_draining:
            return ErrorCode.DRAINING
        if len(self.tables.sessions) > self._node.tuning.sessions:
            return ErrorCode.SESSION_LIMIT
        row = self.tables.services.get(request.service)
        if row is None or row.service is None:
            return ErrorCode.UNKNOWN_SERVICE
        return None

    def _end_session(self, session: SessionRow) -> None:
        self._transactions.roll_back_session(session.stream)
        del self.tables.sessions[session.stream]
        self._requests.abandon_session(session)

    # -- Answers -------------------------------------------------------------

    def _refuse(
        self,
        session: SessionRow,
        request: CallerRequest,
        code: ErrorCode,
        message: str = "",
    ) -> None:
        after = RETRY_AFTER if code in _RETRY_LATER_CODES else 0.0
        self._requests.answers.refuse(session, request, code, message, after)

    def _answer_done(self, session: SessionRow, request: CallerRequest) -> None:
        name = request.request_id
        answer = CallerAnswer(request_id=name, outcome=Outcome.DONE)
        self._requests.answers.send(session.stream, name, answer)
