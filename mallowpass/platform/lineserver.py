"""What servers of the line protocol share: listening, numbering, closing."""

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

EventSink = Callable[[Event | ProxyEvent], None]


class LineServer:
    """Accept connections, each under a number of its own that is never reused."""

    __slots__ = ("_backlog", "_connections", "_kind", "_numbers", "_server", "_sink")

    def __init__(self, kind: type[LineProtocol], backlog: int, sink: EventSink) -> None:
        self._kind = kind
        self._backlog = backlog
        self._sink = sink
        self._connections: dict[int, LineProtocol] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, address.host, address.port, backlog=self._backlog
        )

    def _make_protocol(self) -> LineProtocol:
        return self._kind(next(self._numbers), self._connections, self._sink)

    def refuse(self, number: int, code: Code, message: str) -> None:
        """Tell the other end why it is not served, and close."""
        self._write(number, wire.render_error(code, message))
        self.close(number)

    def close(self, number: int) -> None:
        """Close a connection once all that was written has left."""
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.transport.close()

    def stop_accepting(self) -> None:
        """Stop listening; open connections stay."""
        if self._server is not None:
            self._server.close()

    def close_all(self) -> None:
        """Close all connections once what was written has left."""
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
    """Hold one connection of a LineServer."""

    __slots__ = ("_connections", "_is_open", "_lines", "_number", "_sink", "transport")

    def __init__(
        self, number: int, connections: dict[int, LineProtocol], sink: EventSink
    ) -> None:
        self._number = number
        self._connections = connections
        self._sink = sink
        self._lines = wire.LineBuffer()
        self._is_open = False  # it has sent its first line
        self.transport: asyncio.Transport = None  # type: ignore[assignment]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to count among the server's connections."""
        self.transport = transport  # type: ignore[assignment]
        self._connections[self._number] = self
        enable_keepalive(transport)
