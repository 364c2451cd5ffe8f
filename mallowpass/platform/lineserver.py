"""Base classes of servers of the line protocol, and of their connections."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from mallowpass.core.messages import Event
from mallowpass.core.proxy.events import ProxyEvent
from mallowpass.core.proxy.statements import Code
from mallowpass.platform import wire
from mallowpass.platform.settings import Address
from mallowpass.platform.sockets import enable_keepalive

__all__ = ["EventSink", "LineProtocol", "LineServer"]

# Called with each event; the runtime passes the event to the core.
EventSink = Callable[[Event | ProxyEvent], None]


class LineServer:
    """Base class of servers; each connection has a number that is never reused."""

    __slots__ = (
        "_backlog",
        "_connections",
        "_numbers",
        "_protocol_class",
        "_server",
        "_sink",
    )

    def __init__(
        self, protocol_class: type[LineProtocol], backlog: int, sink: EventSink
    ) -> None:
        self._protocol_class = protocol_class
        self._backlog = backlog
        self._sink = sink
        self._connections: dict[int, LineProtocol] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen on an address."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, address.host, address.port, backlog=self._backlog
        )

    def _make_protocol(self) -> LineProtocol:
        return self._protocol_class(next(self._numbers), self._connections, self._sink)

    def refuse(self, number: int, code: Code, message: str) -> None:
        """Send an error with the reason for the refusal, and close the connection."""
        self._write(number, wire.render_error(code, message))
        self.close(number)

    def close(self, number: int) -> None:
        """Close a connection after the data written to it has been sent."""
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.transport.close()

    def stop_accepting(self) -> None:
        """Stop listening; keep open connections."""
        if self._server is not None:
            self._server.close()

    def close_all(self) -> None:
        """Stop listening, and close all connections after their data has been sent."""
        self.stop_accepting()
        for number in list(self._connections):
            self.close(number)

    def abort(self) -> None:
        """Stop listening, and reset all connections."""
        self.stop_accepting()
        for connection in list(self._connections.values()):
            connection.transport.abort()

    def _write(self, number: int, data: bytes) -> None:
        connection = self._connections.get(number)
        if connection is not None:
            connection.transport.write(data)


class LineProtocol(asyncio.Protocol):
    """Base class of the connections of a LineServer."""

    __slots__ = ("_connections", "_is_open", "_lines", "_number", "_sink", "transport")

    _max_line_bytes = wire.MAX_LINE_BYTES

    def __init__(
        self, number: int, connections: dict[int, LineProtocol], sink: EventSink
    ) -> None:
        self._number = number
        self._connections = connections
        self._sink = sink
        self._lines = wire.LineBuffer(self._max_line_bytes)
        self._is_open = False  # whether CONNECT has been received
        self.transport: asyncio.Transport = None  # type: ignore[assignment]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Add this connection to those of the server."""
        self.transport = transport  # type: ignore[assignment]
        self._connections[self._number] = self
        enable_keepalive(transport)
