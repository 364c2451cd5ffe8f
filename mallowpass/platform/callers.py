"""Callers' connections: lines in, answers out."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from mallowpass.core.messages import Event
from mallowpass.core.proxy.events import (
    ProxyEvent,
    SessionClosed,
    SessionOpened,
    StatementReceived,
)
from mallowpass.core.proxy.statements import Answer, Code
from mallowpass.platform import wire
from mallowpass.platform.settings import Address
from mallowpass.platform.sockets import watch_peer

__all__ = ["CallerServer"]

# A caller that reads nothing is given up once so much waits for it.
UNREAD_MAX = 4 << 20  # bytes
FIRST_LINE_WAIT = 5.0  # seconds; callers send it at once
BACKLOG = 512  # connections that wait to be accepted, as after a failed neighbour

EventSink = Callable[[Event | ProxyEvent], None]


class CallerServer:
    """Accept callers, and pass on what they send."""

    __slots__ = ("_callers", "_numbers", "_server", "_sink")

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._callers: dict[int, _Caller] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make, address.host, address.port, backlog=BACKLOG
        )

    def _make(self) -> _Caller:
        return _Caller(next(self._numbers), self._callers, self._sink)

    def accept(self, stream: int) -> None:
        """Tell a caller that its session is open."""
        self._write(stream, b"READY I -\r\n")

    def refuse(self, stream: int, code: Code, message: str) -> None:
        """Tell a caller why it gets no session, and close."""
        self._write(stream, wire.render_error(code, message))
        self.close(stream)

    def answer(self, stream: int, answer: Answer) -> None:
        """Answer a statement."""
        self._write(stream, wire.render_answer(answer))

    def close(self, stream: int) -> None:
        """Close a connection once all that was written has left."""
        caller = self._callers.pop(stream, None)
        if caller is not None:
            caller.transport.close()

    def stop_accepting(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    def close_all(self) -> None:
        """Close all connections once what was written has left."""
        self.stop_accepting()
        for stream in list(self._callers):
            self.close(stream)

    def abort(self) -> None:
        """Stop listening, and reset all connections."""
        self.stop_accepting()
        for caller in list(self._callers.values()):
            caller.transport.abort()

    def _write(self, stream: int, data: bytes) -> None:
        caller = self._callers.get(stream)
        if caller is None:
            return
        transport = caller.transport
        transport.write(data)
        if transport.get_write_buffer_size() > UNREAD_MAX:
            transport.abort()


class _Caller(asyncio.Protocol):
    """Hold one caller's connection."""

    __slots__ = (
        "_callers",
        "_lines",
        "_number",
        "_open",
        "_sink",
        "_timer",
        "transport",
    )

    def __init__(
        self, number: int, callers: dict[int, _Caller], sink: EventSink
    ) -> None:
        self._number = number
        self._callers = callers
        self._sink = sink
        self._lines = wire.LineBuffer()
        self._open = False  # it has sent its first line
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport = None  # type: ignore[assignment]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self._callers[self._number] = self
        watch_peer(transport)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(FIRST_LINE_WAIT, transport.close)

    def data_received(self, data: bytes) -> None:
        if self._number not in self._callers:
            return
        try:
            for line in self._lines.feed(data):
                self._take(wire.decode(line))
        except wire.WireError as error:
            self._refuse(str(error))

    def connection_lost(self, error: Exception | None) -> None:
        self._timer.cancel()
        self._callers.pop(self._number, None)
        if self._open:
            self._sink(SessionClosed(self._number))

    def _take(self, line: str) -> None:
        if self._number not in self._callers:
            return
        word, _, rest = line.partition(" ")
        if word == "QUERY" and self._open:
            request_id, _, text = rest.partition(" ")
            if not request_id or request_id == wire.OWN_ID:
                raise wire.WireError("a statement without an id")
            statement = wire.parse_statement(text)
            self._sink(StatementReceived(self._number, request_id, statement))
        elif word == "CONNECT" and not self._open and rest:
            self._open = True
            self._timer.cancel()
            database = rest.partition(" ")[0]
            self._sink(SessionOpened(self._number, database))
        elif word == "BYE":
            self._callers.pop(self._number, None)
            self.transport.close()
        else:
            raise wire.WireError(f"not expected here: {word[:40]!r}")

    def _refuse(self, why: str) -> None:
        self.transport.write(wire.render_error(Code.MALFORMED, why))
        self._callers.pop(self._number, None)
        self.transport.close()
