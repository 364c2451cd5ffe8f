"""Connections of other hosts, served as by an endpoint: calls in, replies out.

Hosts speak the endpoints' own protocol with each other. So a host reaches an endpoint
directly or by way of another host with the same code, and a further protocol, with its
library's memory on every host, is not needed.
"""

from __future__ import annotations

from mallowpass.core.proxy.events import LinkCalled, LinkClosed, LinkOpened
from mallowpass.core.proxy.statements import (
    Code,
    EndpointReply,
    FloorHint,
    LogPosition,
    SessionState,
)
from mallowpass.platform import wire
from mallowpass.platform.lineserver import EventSink, LineProtocol, LineServer

__all__ = ["LinkServer"]

BACKLOG = 256  # connections that wait to be accepted, as when all hosts come at once


class LinkServer(LineServer):
    """Accept other hosts, and pass on what they send."""

    __slots__ = ()

    def __init__(self, sink: EventSink) -> None:
        super().__init__(_Link, BACKLOG, sink)

    def accept(
        self, number: int, position: LogPosition | None, floor: FloorHint | None
    ) -> None:
        """Tell a host that it is served."""
        self._write(number, wire.render_ready(SessionState.IDLE, position, floor))

    def answer(self, number: int, reply: EndpointReply) -> None:
        """Answer a call."""
        self._write(number, wire.render_reply(reply))


class _Link(LineProtocol):
    """Hold one link."""

    __slots__ = ()

    def data_received(self, data: bytes) -> None:
        try:
            self._take(self._lines.feed(data))
        except wire.WireError as error:
            self.transport.write(wire.render_error(Code.MALFORMED, str(error)))
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._connections.pop(self._number, None)
        if self._is_open:
            self._sink(LinkClosed(self._number))

    def _take(self, lines: list[bytes]) -> None:
        calls = []
        for line in lines:
            word, _, rest = wire.decode(line).partition(" ")
            if word == "QUERY" and self._is_open:
                request_id, _, text = rest.partition(" ")
                calls.append(wire.parse_call(request_id, text))
            elif word == "CONNECT" and not self._is_open:
                self._connect(rest)
            else:
                raise wire.WireError(f"not expected here: {word[:40]!r}")
        if calls:
            self._sink(LinkCalled(self._number, tuple(calls)))

    def _connect(self, rest: str) -> None:
        fields = rest.split(" ")
        if len(fields) != 3:
            raise wire.WireError("a link names a service, a host and an endpoint")
        self._is_open = True
        service, host, endpoint = fields
        self._sink(LinkOpened(self._number, host, service, endpoint))
