"""Connections to endpoints: sending calls and receiving replies.

An endpoint may be reached through another host, which speaks the same protocol.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import replace

from mallowpass.core.proxy.effects import CloseConnection, OpenConnection, SendCalls
from mallowpass.core.proxy.events import (
    ConnectionLost,
    ConnectionReady,
    ConnectionRefused,
    EndpointAnswered,
)
from mallowpass.core.proxy.statements import (
    Code,
    Demote,
    EndpointReply,
    FloorHint,
    LogPosition,
    Pause,
    Resume,
    SessionState,
    Status,
)
from mallowpass.core.records import record
from mallowpass.platform import wire
from mallowpass.platform.lineserver import EventSink
from mallowpass.platform.settings import Address, SettingsError
from mallowpass.platform.sockets import (
    deliver_on_close,
    enable_keepalive,
    reset_on_close,
)

__all__ = ["EndpointConnections"]

_STATUS_STATEMENTS = (Status, Pause, Resume, Demote)  # the reply has a status row


class EndpointConnections:
    """Open connections to endpoints, send calls, and report replies as events."""

    __slots__ = ("_connections", "_host_name", "_opening", "_sink")

    def __init__(self, host_name: str, sink: EventSink) -> None:
        self._host_name = host_name
        self._sink = sink
        self._connections: dict[int, _Connection] = {}
        self._opening: dict[int, asyncio.Task[None]] = {}

    def open(self, effect: OpenConnection) -> None:
        """Start opening a connection.

        Either ConnectionReady or ConnectionRefused follows, unless `close` is called.
        """
        task = asyncio.get_running_loop().create_task(self._open(effect))
        self._opening[effect.connection] = task

    def send(self, effect: SendCalls) -> None:
        """Send calls in one write."""
        connection = self._connections.get(effect.connection)
        if connection is not None:
            connection.send(effect)

    def close(self, effect: CloseConnection) -> None:
        """Close a connection, or stop opening it; no further event follows."""
        task = self._opening.pop(effect.connection, None)
        if task is not None:
            task.cancel()
        connection = self._connections.pop(effect.connection, None)
        if connection is not None:
            connection.close(effect.withdraws_calls)

    async def _open(self, effect: OpenConnection) -> None:
        number = effect.connection
        try:
            connect_line = _render_connect(effect, self._host_name)
        except wire.UnsendableError as error:
            self._opening.pop(number, None)
            self._report_unreachable(number, str(error))
            return
        connection = _Connection(effect, connect_line, self._sink, self._connections)
        try:
            async with asyncio.timeout(effect.timeout):
                address = Address.parse(effect.address)
                loop = asyncio.get_running_loop()
                await loop.create_connection(
                    lambda: connection, address.host, address.port
                )
                await connection.handshake
        except TimeoutError:
            connection.close()
            self._report_unreachable(number, "no answer in time")
            return
        except ConnectionRefusedError as error:
            connection.close()
            self._report_unreachable(number, str(error), is_gone=True)
            return
        except (OSError, SettingsError, ValueError) as error:
            # ValueError: a host name that sockets do not accept. If the error were not
            # caught, the attempt would count as in progress forever, and the number
            # of concurrent attempts is limited.
            connection.close()
            self._report_unreachable(number, str(error))
            return
        except asyncio.CancelledError:
            connection.close()
            raise
        except Exception as error:
            # The event loop logs it, as the task ends with it.
            connection.close()
            self._report_unreachable(number, type(error).__name__)
            raise
        finally:
            self._opening.pop(number, None)
        refusal = connection.refusal
        if refusal is not None:
            connection.close()
            self._sink(refusal)
            return
        if connection.is_closed:
            self._report_unreachable(
                number, "connection closed right after it was accepted"
            )
            return
        self._connections[number] = connection
        translates_names = connection.link_version > wire.FIRST_LINK_VERSION
        self._sink(
            ConnectionReady(
                number, connection.position, connection.floor, translates_names
            )
        )

    def _report_unreachable(self, number: int, why: str, is_gone: bool = False) -> None:
        self._sink(ConnectionRefused(number, Code.OTHER, why, True, is_gone))


def _render_connect(effect: OpenConnection, host_name: str) -> bytes:
    """Return the line that opens a connection of a host."""
    caller = host_name if effect.customer is None else effect.customer
    if effect.carries_fences:
        caller = f"{wire.FENCE_LINK_PREFIX}{caller}"
    return wire.render_line(("CONNECT", effect.service, caller, effect.endpoint))


@record
class _PendingCall:
    """A call without a reply yet; `refusal` is its reply if it was not sent."""

    expects_status: bool  # the reply has a status row
    refusal: EndpointReply | None


class _Connection(asyncio.Protocol):
    """A connection to an endpoint."""

    __slots__ = (
        "_closed",
        "_code",
        "_connect_line",
        "_connections",
        "_effect",
        "_lines",
        "_message",
        "_pending",
        "_rows",
        "_signature",
        "_sink",
        "_state",
        "_transport",
        "floor",
        "handshake",
        "link_version",
        "position",
        "refusal",
    )

    def __init__(
        self,
        effect: OpenConnection,
        connect_line: bytes,
        sink: EventSink,
        connections: dict[int, _Connection],
    ) -> None:
        self._effect = effect
        self._connect_line = connect_line
        self._sink = sink
        self._connections = connections
        self._lines = wire.LineBuffer()
        self._transport: asyncio.Transport | None = None
        self._closed = False
        self._pending: deque[_PendingCall] = deque()  # oldest first
        self._state = SessionState.IDLE  # as of the last reply
        # Done once the endpoint has accepted or refused the connection.
        self.handshake = asyncio.get_running_loop().create_future()
        self.position: LogPosition | None = None
        self.floor: FloorHint | None = None
        self.link_version = wire.FIRST_LINK_VERSION  # of a holder
        self.refusal: ConnectionRefused | None = None
        self._clear_reply()

    def _clear_reply(self) -> None:
        self._rows: list[bytes] = []
        self._code: Code | None = None
        self._signature = ""
        self._message = ""

    @property
    def is_closed(self) -> bool:
        """Return whether either side has closed the connection."""
        return self._closed

    def send(self, effect: SendCalls) -> None:
        """Send calls in one write.

        From the first call that has no line, none is sent: later ones may rely on it.
        They are answered in their turn as not run.
        """
        max_bytes = wire.MAX_LINE_BYTES
        if self.link_version > wire.FIRST_LINK_VERSION:
            max_bytes = wire.MAX_LINK_LINE_BYTES
        lines, refusal = [], None
        for call in effect.calls:
            if refusal is None:
                try:
                    line = wire.render_call(call, max_bytes, self.link_version)
                    lines.append(line)
                except wire.UnsendableError as error:
                    refusal = EndpointReply(Code.UNSENDABLE, message=str(error))
            expects_status = isinstance(call.statement, _STATUS_STATEMENTS)
            self._pending.append(_PendingCall(expects_status, refusal))
        self._transport.write(b"".join(lines))
        if refusal is not None:
            asyncio.get_running_loop().call_soon(self._answer_unsent)

    def _answer_unsent(self) -> None:
        """Answer the calls that were not sent, up to the first one that was."""
        while self._pending and not self._closed:
            refusal = self._pending[0].refusal
            if refusal is None:
                return
            self._pending.popleft()
            reply = replace(refusal, state=self._state)
            self._sink(EndpointAnswered(self._effect.connection, reply))

    def close(self, withdraws_calls: bool = False) -> None:
        """Close the connection; no further event follows.

        Calls that the other end has not received may arrive later, unless they are
        withdrawn.
        """
        self._closed = True
        if self._transport is None or self._transport.is_closing():
            return
        if not withdraws_calls:
            deliver_on_close(self._transport)
        self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        if self._closed:
            transport.abort()
            return
        enable_keepalive(transport)
        # As this process ends, calls must not run that nobody waits for any more.
        reset_on_close(transport)
        self._transport.write(self._connect_line)

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._lines.feed(data):
                if self._closed:
                    return
                self._on_line(line)
        except (wire.WireError, ValueError, IndexError) as error:
            self._fail(f"invalid reply: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        self._fail(str(error) if error else "connection closed by the endpoint")

    def _fail(self, why: str) -> None:
        if self._closed:
            return
        self.close(withdraws_calls=bool(self._pending))
        number = self._effect.connection
        if not self.handshake.done():
            self._set_refusal(Code.OTHER, why, unreachable=True)
        elif self._connections.pop(number, None) is not None:
            self._sink(ConnectionLost(number, why))

    def _set_refusal(self, code: Code, why: str, unreachable: bool = False) -> None:
        number = self._effect.connection
        self.refusal = ConnectionRefused(number, code, why, unreachable)
        self.handshake.set_result(None)

    def _on_line(self, line: bytes) -> None:
        keyword, _, rest = line.partition(b" ")
        if keyword == b"ROW":
            self._rows.append(rest)
        elif keyword == b"DONE":
            self._code = Code.DONE
            self._signature = wire.decode(rest)
        elif keyword == b"ERR":
            self._on_error_line(wire.decode(rest))
        elif keyword == b"READY":
            self._on_ready_line(wire.decode(rest))
        else:
            raise wire.WireError(f"unexpected keyword: {keyword[:40]!r}")

    def _on_error_line(self, rest: str) -> None:
        code, _, self._message = rest.partition(" ")
        self._code = wire.code_of(code)
        if not self.handshake.done():
            self._set_refusal(self._code, f"{code} {self._message}")

    def _on_ready_line(self, rest: str) -> None:
        fields = rest.split(" ")
        state, position = fields[0], wire.parse_position(fields[1])
        if not self.handshake.done():
            self.position = position
            self.floor = wire.parse_floor(fields[2:5])
            self.link_version = wire.parse_link_version(fields[2:])
            self.handshake.set_result(None)
            return
        if self._code is None or not self._pending:
            raise wire.WireError("reply without a pending call")
        status = None
        call = self._pending.popleft()
        if call.expects_status and self._code is Code.DONE and self._rows:
            status = wire.parse_status(self._rows[0])
        self._state = wire.parse_state(state)
        reply = EndpointReply(
            code=self._code,
            rows=tuple(self._rows),
            signature=self._signature,
            message=self._message,
            state=self._state,
            position=position,
            status=status,
            floor=wire.parse_floor(fields[2:]),
        )
        self._clear_reply()
        self._sink(EndpointAnswered(self._effect.connection, reply))
        self._answer_unsent()
