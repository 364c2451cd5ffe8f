"""Connections to endpoints: calls out, whole replies in."""

from __future__ import annotations

import asyncio
from collections import deque

from mallowpass.core.proxy.effects import OpenConnection, SendCalls
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
    Status,
)
from mallowpass.platform import wire
from mallowpass.platform.lineserver import EventSink
from mallowpass.platform.settings import Address, SettingsError
from mallowpass.platform.sockets import enable_keepalive

__all__ = ["EndpointConnections"]

_STATUS_STATEMENTS = (Status, Pause, Resume, Demote)


class EndpointConnections:
    """Open connections, and send calls on them."""

    __slots__ = ("_connections", "_name", "_opening", "_sink")

    def __init__(self, name: str, sink: EventSink) -> None:
        self._name = name
        self._sink = sink
        self._connections: dict[int, _Connection] = {}
        self._opening: dict[int, asyncio.Task[None]] = {}

    def open(self, effect: OpenConnection) -> None:
        """Start to open a connection; an event tells how it ended."""
        task = asyncio.get_running_loop().create_task(self._open(effect))
        self._opening[effect.connection] = task

    def send(self, effect: SendCalls) -> None:
        """Send calls in one write."""
        connection = self._connections.get(effect.connection)
        if connection is not None:
            connection.send(effect)

    def close(self, number: int) -> None:
        """Close a connection; no event of it follows."""
        task = self._opening.pop(number, None)
        if task is not None:
            task.cancel()
        connection = self._connections.pop(number, None)
        if connection is not None:
            connection.close()

    async def _open(self, effect: OpenConnection) -> None:
        number = effect.connection
        connection = _Connection(effect, self._name, self._sink, self._connections)
        try:
            async with asyncio.timeout(effect.timeout):
                address = Address.parse(effect.address)
                loop = asyncio.get_running_loop()
                await loop.create_connection(
                    lambda: connection, address.host, address.port
                )
                await connection.accepted
        except TimeoutError:
            connection.close()
            self._refuse(number, "no answer in time")
            return
        except (OSError, SettingsError, ValueError) as error:
            # ValueError: a host's name that no socket takes. Uncaught, the attempt
            # would count as going on, and few may go on at once.
            connection.close()
            self._refuse(number, str(error))
            return
        except asyncio.CancelledError:
            connection.close()
            raise
        finally:
            self._opening.pop(number, None)
        refusal = connection.refusal
        if refusal is not None:
            connection.close()
            self._sink(refusal)
            return
        if connection.is_closed:
            self._refuse(number, "closed at once")
            return
        self._connections[number] = connection
        self._sink(ConnectionReady(number, connection.position, connection.floor))

    def _refuse(self, number: int, why: str) -> None:
        self._sink(ConnectionRefused(number, Code.OTHER, why, unreachable=True))


class _Connection(asyncio.Protocol):
    """Hold one connection to an endpoint."""

    __slots__ = (
        "_closed",
        "_code",
        "_connections",
        "_effect",
        "_expected",
        "_lines",
        "_message",
        "_name",
        "_rows",
        "_signature",
        "_sink",
        "_transport",
        "accepted",
        "floor",
        "position",
        "refusal",
    )

    def __init__(
        self,
        effect: OpenConnection,
        name: str,
        sink: EventSink,
        connections: dict[int, _Connection],
    ) -> None:
        self._effect = effect
        self._name = name
        self._sink = sink
        self._connections = connections
        self._lines = wire.LineBuffer()
        self._transport: asyncio.Transport | None = None
        self._closed = False
        self._expected: deque[bool] = deque()  # whether a status is the answer
        self.accepted = asyncio.get_running_loop().create_future()
        self.position: LogPosition | None = None
        self.floor: FloorHint | None = None
        self.refusal: ConnectionRefused | None = None
        self._clear()

    def _clear(self) -> None:
        self._rows: list[bytes] = []
        self._code: Code | None = None
        self._signature = ""
        self._message = ""

    @property
    def is_closed(self) -> bool:
        """Tell whether it was closed, by whichever side."""
        return self._closed

    def send(self, effect: SendCalls) -> None:
        """Send calls in one write."""
        for call in effect.calls:
            self._expected.append(isinstance(call.statement, _STATUS_STATEMENTS))
        self._transport.write(b"".join(map(wire.render_call, effect.calls)))

    def close(self) -> None:
        """Close without a further event."""
        self._closed = True
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        if self._closed:
            transport.abort()
            return
        enable_keepalive(transport)
        effect = self._effect
        caller = self._name if effect.customer is None else effect.customer
        line = f"CONNECT {effect.service} {caller} {effect.endpoint}\r\n"
        self._transport.write(wire.encode(line))

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._lines.feed(data):
                if self._closed:
                    return
                self._take(line)
        except (wire.WireError, ValueError, IndexError) as error:
            self._lose(f"an answer that can't be read: {error}")

    def connection_lost(self, error: Exception | None) -> None:
        self._lose(str(error) if error else "closed by the endpoint")

    def _lose(self, why: str) -> None:
        if self._closed:
            return
        self.close()
        number = self._effect.connection
        if not self.accepted.done():
            self._refuse(Code.OTHER, why, unreachable=True)
        elif self._connections.pop(number, None) is not None:
            self._sink(ConnectionLost(number, why))

    def _refuse(self, code: Code, why: str, unreachable: bool = False) -> None:
        number = self._effect.connection
        self.refusal = ConnectionRefused(number, code, why, unreachable)
        self.accepted.set_result(None)

    def _take(self, line: bytes) -> None:
        word, _, rest = line.partition(b" ")
        if word == b"ROW":
            self._rows.append(rest)
        elif word == b"DONE":
            self._code = Code.DONE
            self._signature = wire.decode(rest)
        elif word == b"ERR":
            self._take_error(wire.decode(rest))
        elif word == b"READY":
            self._take_ready(wire.decode(rest))
        else:
            raise wire.WireError(f"not expected: {word[:40]!r}")

    def _take_error(self, rest: str) -> None:
        code, _, self._message = rest.partition(" ")
        self._code = wire.code_of(code)
        if not self.accepted.done():
            self._refuse(self._code, f"{code} {self._message}")

    def _take_ready(self, rest: str) -> None:
        words = rest.split(" ")
        state, where = words[0], wire.parse_position(words[1])
        if not self.accepted.done():
            self.position = where
            self.floor = wire.parse_floor(words[2:])
            self.accepted.set_result(None)
            return
        if self._code is None or not self._expected:
            raise wire.WireError("an answer to nothing")
        status = None
        if self._expected.popleft() and self._code is Code.DONE and self._rows:
            status = wire.parse_status(self._rows[0])
        reply = EndpointReply(
            code=self._code,
            rows=tuple(self._rows),
            signature=self._signature,
            message=self._message,
            state=wire.parse_state(state),
            position=where,
            status=status,
            floor=wire.parse_floor(words[2:]),
        )
        self._clear()
        self._sink(EndpointAnswered(self._effect.connection, reply))
