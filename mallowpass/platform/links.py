"""Connections of other hosts, served as by an endpoint: calls in, replies out.

Hosts speak the endpoints' own protocol with each other. So a host reaches an endpoint
directly or by way of another host with the same code, and a further protocol, with its
library's memory on every host, is not needed.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

from mallowpass.core.messages import Event
from mallowpass.core.proxy.events import (
    LinkCalled,
    LinkClosed,
    LinkOpened,
    ProxyEvent,
)
from mallowpass.core.proxy.statements import Code, EndpointReply, LogPosition
from mallowpass.platform import wire
from mallowpass.platform.settings import Address
from mallowpass.platform.sockets import watch_peer

__all__ = ["LinkServer"]

BACKLOG = 256  # connections that wait to be accepted, as when all hosts come at once

EventSink = Callable[[Event | ProxyEvent], None]


class LinkServer:
    """Accept other hosts, and pass on what they send."""

    __slots__ = ("_links", "_numbers", "_server", "_sink")

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._links: dict[int, _Link] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make, address.host, address.port, backlog=BACKLOG
        )

    def _make(self) -> _Link:
        return _Link(next(self._numbers), self._links, self._sink)

    def accept(self, number: int, position: LogPosition | None) -> None:
        """Tell a host that it is served."""
        line = f"READY I {wire.render_position(position)}\r\n"
        self._write(number, wire.encode(line))

    def refuse(self, number: int, code: Code, message: str) -> None:
        """Tell a host why it is not served, and close."""
        self._write(number, wire.render_error(code, message))
        self.close(number)

    def answer(self, number: int, reply: EndpointReply) -> None:
        """Answer a call."""
        self._write(number, wire.render_reply(reply))

    def close(self, number: int) -> None:
        """Close a link once all that was written has left."""
        link = self._links.pop(number, None)
        if link is not None:
            link.transport.close()

    def abort(self) -> None:
        """Stop listening, and reset all links."""
        if self._server is not None:
            self._server.close()
        for link in list(self._links.values()):
            link.transport.abort()

    def _write(self, number: int, data: bytes) -> None:
        link = self._links.get(number)
        if link is not None:
            link.transport.write(data)


class _Link(asyncio.Protocol):
    """Hold one link."""

    __slots__ = ("_lines", "_links", "_number", "_open", "_sink", "transport")

    def __init__(self, number: int, links: dict[int, _Link], sink: EventSink) -> None:
        self._number = number
        self._links = links
        self._sink = sink
        self._lines = wire.LineBuffer()
        self._open = False  # it has said which endpoint it is for
        self.transport: asyncio.Transport = None  # type: ignore[assignment]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self._links[self._number] = self
        watch_peer(transport)

    def data_received(self, data: bytes) -> None:
        try:
            self._take(self._lines.feed(data))
        except wire.WireError as error:
            self.transport.write(wire.render_error(Code.MALFORMED, str(error)))
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._links.pop(self._number, None)
        if self._open:
            self._sink(LinkClosed(self._number))

    def _take(self, lines: list[bytes]) -> None:
        calls = []
        for line in lines:
            word, _, rest = wire.decode(line).partition(" ")
            if word == "QUERY" and self._open:
                request_id, _, text = rest.partition(" ")
                calls.append(wire.parse_call(request_id, text))
            elif word == "CONNECT" and not self._open:
                self._connect(rest)
            else:
                raise wire.WireError(f"not expected here: {word[:40]!r}")
        if calls:
            self._sink(LinkCalled(self._number, tuple(calls)))

    def _connect(self, rest: str) -> None:
        fields = rest.split(" ")
        if len(fields) != 3:
            raise wire.WireError("a link names a service, a host and an endpoint")
        self._open = True
        service, _, endpoint = fields
        self._sink(LinkOpened(self._number, service, endpoint))
