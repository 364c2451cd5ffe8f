"""The server for callers: parse the lines that callers send, and write answers."""

from __future__ import annotations

import asyncio
from collections import deque

from mallowpass.core.proxy.credentials import credential_of
from mallowpass.core.proxy.events import (
    SessionClosed,
    SessionOpened,
    StatementReceived,
)
from mallowpass.core.proxy.statements import Answer, Code, TooLong
from mallowpass.platform import wire
from mallowpass.platform.lineserver import EventSink, LineProtocol, LineServer

__all__ = ["CallerServer"]

# A caller that does not read is disconnected when more bytes than this are unsent.
WRITE_BUFFER_MAX = 4 << 20
# Nothing more is read from a caller while the statements that it waits for are larger
# than this together, in bytes. Many callers may send large ones without waiting.
UNANSWERED_BYTES_MAX = 256 << 10
# Seconds within which a new connection must send CONNECT. Callers send it at once.
CONNECT_LINE_TIMEOUT = 5.0
# Connections that wait to be accepted. Many arrive at once when another host fails.
BACKLOG = 512


class CallerServer(LineServer):
    """Accept callers, and pass their statements to the sink as events."""

    __slots__ = ()

    def __init__(self, sink: EventSink) -> None:
        super().__init__(_CallerProtocol, BACKLOG, sink)

    def accept(self, stream: int) -> None:
        """Report to a caller that its session is open."""
        self._write(stream, b"READY I -\r\n")

    def answer(self, stream: int, answer: Answer) -> None:
        """Send the answer to a statement."""
        self._write(stream, wire.render_answer(answer))
        caller = self._connections.get(stream)
        if caller is not None:
            caller.note_answer()

    def _write(self, number: int, data: bytes) -> None:
        super()._write(number, data)
        caller = self._connections.get(number)
        if caller is None:
            return
        if caller.transport.get_write_buffer_size() > WRITE_BUFFER_MAX:
            caller.transport.abort()


class _CallerProtocol(LineProtocol):
    """A connection from a caller."""

    __slots__ = ("_connect_timer", "_unanswered", "_unanswered_bytes")

    def __init__(
        self, number: int, connections: dict[int, LineProtocol], sink: EventSink
    ) -> None:
        super().__init__(number, connections, sink)
        self._unanswered: deque[int] = deque()  # sizes of statements, in bytes
        self._unanswered_bytes = 0

    def note_answer(self) -> None:
        """Record that the oldest statement was answered, and go on to read."""
        if self._unanswered:
            self._unanswered_bytes -= self._unanswered.popleft()
        if self._unanswered_bytes <= UNANSWERED_BYTES_MAX:
            self.transport.resume_reading()

    def _note_statement(self, size: int) -> None:
        """Record a statement; stop reading if too much waits for answers."""
        self._unanswered.append(size)
        self._unanswered_bytes += size
        if self._unanswered_bytes > UNANSWERED_BYTES_MAX:
            self.transport.pause_reading()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self._connect_timer = loop.call_later(CONNECT_LINE_TIMEOUT, transport.close)

    def data_received(self, data: bytes) -> None:
        if self._number not in self._connections:
            return
        try:
            for line in self._lines.feed(data):
                self._process_line(line)
        except wire.WireError as error:
            self._refuse(str(error))

    def connection_lost(self, error: Exception | None) -> None:
        self._connect_timer.cancel()
        self._connections.pop(self._number, None)
        if self._is_open:
            self._sink(SessionClosed(self._number))

    def _process_line(self, line: bytes) -> None:
        if self._number not in self._connections:
            return
        message_type, _, rest = wire.decode(line).partition(" ")
        if message_type == "QUERY" and self._is_open:
            request_id, _, text = rest.partition(" ")
            if not request_id or request_id == wire.INTERNAL_REQUEST_ID:
                raise wire.WireError("QUERY without a valid request id")
            statement = wire.parse_statement(text)
            line_bytes = len(line) + len(b"\r\n")
            if statement is not None and not wire.is_sendable(statement, line_bytes):
                statement = TooLong()
            self._note_statement(line_bytes)
            self._sink(StatementReceived(self._number, request_id, statement))
        elif message_type == "CONNECT" and not self._is_open and rest:
            self._is_open = True
            self._connect_timer.cancel()
            database, _, key = rest.partition(" ")
            opened = SessionOpened(self._number, database, credential_of(key))
            self._sink(opened)
        elif message_type == "BYE":
            self._connections.pop(self._number, None)
            self.transport.close()
        else:
            raise wire.WireError(
                f"unexpected or incomplete message {message_type[:40]!r}"
            )

    def _refuse(self, why: str) -> None:
        self.transport.write(wire.render_error(Code.MALFORMED, why))
        self._connections.pop(self._number, None)
        self.transport.close()
