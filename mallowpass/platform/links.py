"""Links: connections on which other hosts send calls for an endpoint to this host.

Hosts speak the protocol of endpoints with each other. The same code therefore reaches
an endpoint directly or through another host, and no library of another protocol takes
up memory on every host.
"""

from __future__ import annotations

from mallowpass.core.proxy.events import LinkCalled, LinkClosed, LinkOpened
from mallowpass.core.proxy.statements import (
    Code,
    EndpointReply,
    FloorHint,
    LogPosition,
)
from mallowpass.platform import wire
from mallowpass.platform.lineserver import EventSink, LineProtocol, LineServer

__all__ = ["LinkServer"]

BACKLOG = 256  # connections waiting to be accepted: all hosts may connect at once


class LinkServer(LineServer):
    """Accept links of other hosts, and report their calls as events."""

    __slots__ = ()

    def __init__(self, sink: EventSink) -> None:
        super().__init__(_Link, BACKLOG, sink)

    def accept(
        self, number: int, position: LogPosition | None, floor: FloorHint | None
    ) -> None:
        """Confirm to a host that its link is open."""
        self._write(number, wire.render_link_accepted(position, floor))

    def answer(self, number: int, reply: EndpointReply) -> None:
        """Send the reply to the oldest call on a link that has no reply yet."""
        self._write(number, wire.render_reply(reply))


class _Link(LineProtocol):
    """A link of another host."""

    __slots__ = ()

    _max_line_bytes = wire.MAX_LINK_LINE_BYTES

    def data_received(self, data: bytes) -> None:
        try:
            self._on_lines(self._lines.feed(data))
        except wire.WireError as error:
            self.transport.write(wire.render_error(Code.MALFORMED, str(error)))
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._connections.pop(self._number, None)
        if self._is_open:
            self._sink(LinkClosed(self._number))

    def _on_lines(self, lines: list[bytes]) -> None:
        calls = []
        for line in lines:
            keyword, _, rest = wire.decode(line).partition(" ")
            if keyword == "QUERY" and self._is_open:
                request_id, _, text = rest.partition(" ")
                calls.append(wire.parse_call(request_id, text))
            elif keyword == "CONNECT" and not self._is_open:
                self._on_connect(rest)
            else:
                raise wire.WireError(f"unexpected keyword: {keyword[:40]!r}")
        if calls:
            self._sink(LinkCalled(self._number, tuple(calls)))

    def _on_connect(self, rest: str) -> None:
        fields = rest.split(" ")
        if len(fields) != 3:
            raise wire.WireError("CONNECT requires a service, a host and an endpoint")
        self._is_open = True
        service, caller, endpoint = fields
        host = caller.removeprefix(wire.FENCE_LINK_PREFIX)
        is_for_fences = host != caller
        self._sink(LinkOpened(self._number, host, service, endpoint, is_for_fences))
