"""Callers' connections: lines in, answers out."""

from __future__ import annotations

import asyncio

from mallowpass.core.proxy.credentials import credential_of
from mallowpass.core.proxy.events import (
    SessionClosed,
    SessionOpened,
    StatementReceived,
)
from mallowpass.core.proxy.statements import Answer, Code
from mallowpass.platform import wire
from mallowpass.platform.lineserver import EventSink, LineProtocol, LineServer

__all__ = ["CallerServer"]

# A caller that reads nothing is given up once so much waits for it.
UNREAD_MAX = 4 << 20  # bytes
FIRST_LINE_WAIT = 5.0  # seconds; callers send it at once
BACKLOG = 512  # connections that wait to be accepted, as after a failed neighbour


class CallerServer(LineServer):
    """Accept callers, and pass on what they send."""

    __slots__ = ()

    def __init__(self, sink: EventSink) -> None:
        super().__init__(_Caller, BACKLOG, sink)

    def accept(self, stream: int) -> None:
        """Tell a caller that its session is open."""
        self._write(stream, b"READY I -\r\n")

    def answer(self, stream: int, answer: Answer) -> None:
        """Answer a statement."""
        self._write(stream, wire.render_answer(answer))

    def _write(self, number: int, data: bytes) -> None:
        super()._write(number, data)
        caller = self._connections.get(number)
        if caller is None:
            return
        if caller.transport.get_write_buffer_size() > UNREAD_MAX:
            caller.transport.abort()


class _Caller(LineProtocol):
    """Hold one caller's connection."""

    __slots__ = ("_timer",)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FIRST_LINE_WAIT, transport.close)

    def data_received(self, data: bytes) -> None:
        if self._number not in self._connections:
            return
        try:
            for line in self._lines.feed(data):
                self._take(wire.decode(line))
        except wire.WireError as error:
            self._refuse(str(error))

    def connection_lost(self, error: Exception | None) -> None:
        self._timer.cancel()
        self._connections.pop(self._number, None)
        if self._is_open:
            self._sink(SessionClosed(self._number))

    def _take(self, line: str) -> None:
        if self._number not in self._connections:
            return
        word, _, rest = line.partition(" ")
        if word == "QUERY" and self._is_open:
            request_id, _, text = rest.partition(" ")
            if not request_id or request_id == wire.OWN_ID:
                raise wire.WireError("a statement without an id")
            statement = wire.parse_statement(text)
            self._sink(StatementReceived(self._number, request_id, statement))
        elif word == "CONNECT" and not self._is_open and rest:
            self._is_open = True
            self._timer.cancel()
            database, _, key = rest.partition(" ")
            opened = SessionOpened(self._number, database, credential_of(key))
            self._sink(opened)
        elif word == "BYE":
            self._connections.pop(self._number, None)
            self.transport.close()
        else:
            raise wire.WireError(f"not expected here: {word[:40]!r}")

    def _refuse(self, why: str) -> None:
        self.transport.write(wire.render_error(Code.MALFORMED, why))
        self._connections.pop(self._number, None)
        self.transport.close()
