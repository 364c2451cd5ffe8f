"""Requests between hosts for allowances to start operations of a customer.

The rate limits of customers are divided into parts, and each part is kept by one host,
its keeper. All requests of one host to another share a connection.

`ASK number part customer needed ahead` is answered with `GRANT number operations
pause`, or with `NONE number` by a host that does not keep the part. `number` is chosen
by the sender of the request, and repeated in the answer. `needed` is the number of
waiting operations, and `ahead` the number that may be granted beyond these;
`operations` is the number granted, and `pause` the time in milliseconds until more may
be granted.
"""

from __future__ import annotations

import asyncio
import itertools
import math

from mallowpass.core.proxy.effects import AnswerAllowance, AskAllowance
from mallowpass.core.proxy.events import AllowanceAnswered, AllowanceAsked
from mallowpass.platform import wire
from mallowpass.platform.lineserver import EventSink, LineProtocol, LineServer
from mallowpass.platform.settings import Address, SettingsError
from mallowpass.platform.sockets import enable_keepalive

__all__ = ["AllowanceClients", "AllowanceServer"]

BACKLOG = 256  # connections waiting to be accepted: all hosts may connect at once
CONNECT_TIMEOUT = 0.45  # seconds; no operation waits longer for an allowance
NO_CUSTOMER = "-"  # in a request that only tests whether the keeper answers
_MAX_NUMBER = 2**53
_MAX_DIGITS = 16  # of _MAX_NUMBER


class AllowanceServer(LineServer):
    """Accept requests of other hosts, and report them as events."""

    __slots__ = ("_request_numbers", "_requests")

    def __init__(self, sink: EventSink) -> None:
        super().__init__(_RequestConnection, BACKLOG, sink)
        self._request_numbers = itertools.count(1)
        # By request: its connection, and the number that its sender gave it.
        self._requests: dict[int, tuple[int, int]] = {}

    def _make_protocol(self) -> LineProtocol:
        connection = super()._make_protocol()
        connection.register_request = self._register_request
        return connection

    def _register_request(self, connection: int, number: int) -> int:
        request = next(self._request_numbers)
        self._requests[request] = (connection, number)
        return request

    def answer(self, effect: AnswerAllowance) -> None:
        """Answer a request, unless the request's connection is closed."""
        connection, number = self._requests.pop(effect.ask)
        if effect.operations is None:
            line = f"NONE {number}\r\n"
        else:
            pause = math.ceil(1000 * effect.pause)
            line = f"GRANT {number} {effect.operations} {pause}\r\n"
        self._write(connection, wire.encode(line))


class _RequestConnection(LineProtocol):
    """A connection on which another host sends requests."""

    __slots__ = ("register_request",)

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._lines.feed(data):
                self._on_line(wire.decode(line))
        except wire.WireError:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._connections.pop(self._number, None)

    def _on_line(self, line: str) -> None:
        fields = line.split(" ")
        if len(fields) != 6 or fields[0] != "ASK":
            raise wire.WireError("malformed ASK request")
        number, part, needed, ahead = map(
            _parse_number, (fields[1], fields[2], *fields[4:])
        )
        customer = "" if fields[3] == NO_CUSTOMER else fields[3]
        request = self.register_request(self._number, number)
        self._sink(AllowanceAsked(request, part, customer, needed, ahead))


class AllowanceClients:
    """Send requests to keepers, on one connection to each."""

    __slots__ = ("_connections", "_own_address", "_sink", "_tasks")

    def __init__(self, own_address: Address | None, sink: EventSink) -> None:
        self._own_address = own_address
        self._sink = sink
        self._connections: dict[str, _KeeperConnection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def ask(self, effect: AskAllowance) -> None:
        """Send a request to a keeper; AllowanceAnswered reports the outcome.

        `AllowanceAnswered.operations` is None if the connection fails, or is lost
        before the answer.
        """
        if self._own_address is None:
            self._sink(AllowanceAnswered(effect.call, None))
            return
        connection = self._connections.get(effect.address)
        if connection is None or connection.is_closed:
            connection = self._connections[effect.address] = _KeeperConnection(
                self._sink
            )
            self._open(connection, effect.address)
        connection.ask(effect)

    def _open(self, connection: _KeeperConnection, address: str) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(connection.open(address, self._own_address.port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def abort(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in self._connections.values():
            connection.close()


class _KeeperConnection(asyncio.Protocol):
    """The connection to one keeper, and the requests that have no answer yet."""

    __slots__ = ("_lines", "_pending", "_sink", "_transport", "_unsent", "is_closed")

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._lines = wire.LineBuffer()
        self._transport: asyncio.Transport | None = None
        self._unsent: list[bytes] = []
        self._pending: set[int] = set()
        self.is_closed = False

    async def open(self, address: str, port: int) -> None:
        """Connect to a keeper, and send the requests made in the meantime."""
        loop = asyncio.get_running_loop()
        try:
            # Ports are the same on all hosts.
            host = Address.parse(address).host
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, SettingsError, ValueError):
            # ValueError: a host name that sockets do not accept.
            self.close()
        except Exception:
            # The requests that wait are answered; the event loop logs the error.
            self.close()
            raise

    def ask(self, effect: AskAllowance) -> None:
        """Send a request, or keep it until the connection is open."""
        customer = effect.customer or NO_CUSTOMER
        fields = (effect.call, effect.part, customer, effect.needed, effect.ahead)
        try:
            line = wire.render_line(("ASK", *map(str, fields)))
        except wire.UnsendableError:
            self._sink(AllowanceAnswered(effect.call, None))
            return
        self._pending.add(effect.call)
        if self._transport is None:
            self._unsent.append(line)
        else:
            self._transport.write(line)

    def close(self) -> None:
        """Close the connection, and report its pending requests as unanswered."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()
        pending, self._pending = self._pending, set()
        for call in pending:
            self._sink(AllowanceAnswered(call, None))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = transport  # type: ignore[assignment]
        if self.is_closed:
            transport.abort()
            return
        enable_keepalive(transport)
        self._transport.writelines(self._unsent)
        self._unsent.clear()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.is_closed:
            self.close()

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._lines.feed(data):
                self._on_line(wire.decode(line))
        except wire.WireError:
            self.close()

    def _on_line(self, line: str) -> None:
        fields = line.split(" ")
        if len(fields) == 4 and fields[0] == "GRANT":
            call, operations, pause = map(_parse_number, fields[1:])
        elif len(fields) == 2 and fields[0] == "NONE":
            call, operations, pause = _parse_number(fields[1]), None, 0
        else:
            raise wire.WireError("malformed answer from a keeper")
        if call in self._pending:
            self._pending.discard(call)
            self._sink(AllowanceAnswered(call, operations, pause / 1000.0))


def _parse_number(word: str) -> int:
    is_number = word.isascii() and word.isdigit() and len(word) <= _MAX_DIGITS
    if not is_number or int(word) > _MAX_NUMBER:
        raise wire.WireError(f"not an integer up to 2**53: {word[:40]!r}")
    return int(word)
