"""Requests between hosts for allowances to start operations of a customer.

The rate limits of customers are divided into parts, and each part is kept by one host,
its keeper. All requests of one host to another share a connection.

`ASK number part customer needed ahead` is answered with `GRANT number operations
pause`, or with `NONE number` by a host that does not keep the part. `number` is chosen
by the sender of the request, and repeated in the answer. `needed` is the number of
waiting operations, and `ahead` the number that may be granted beyond these;
`operations` is the number granted, and `pause` the time in milliseconds until more may
be granted.

`RETURN number part customer operations` returns operations that were granted by the
request with that number and did not begin. It has no answer.

`LEASE number part customer rate` requests a lease in place of the one that this
connection has. It is answered with `LEASED number rate burst validity`, or with `NONE
number` if that lease stays as it is. Rates, in operations per second, and bursts have
up to 3 decimals; the validity is in milliseconds. A host of an earlier version closes
the connection.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import re
from collections import deque

from mallowpass.core.proxy.effects import (
    AnswerAllowance,
    AnswerLease,
    AskAllowance,
    AskLease,
    ReturnGrant,
)
from mallowpass.core.proxy.events import (
    AllowanceAnswered,
    AllowanceAsked,
    GrantReturned,
    LeaseAnswered,
    LeaseAsked,
)
from mallowpass.core.proxy.ratelimits.buckets import GRANT_VALIDITY
from mallowpass.platform import wire
from mallowpass.platform.lineserver import EventSink, LineProtocol, LineServer
from mallowpass.platform.settings import Address, SettingsError
from mallowpass.platform.sockets import enable_keepalive

__all__ = ["AllowanceClients", "AllowanceServer"]

BACKLOG = 256  # connections waiting to be accepted: all hosts may connect at once
CONNECT_TIMEOUT = 0.45  # seconds; no operation waits longer for an allowance
NO_CUSTOMER = "-"  # in a request that only tests whether the keeper answers
_MAX_NUMBER = 2**53
_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,3})?", re.ASCII)


class AllowanceServer(LineServer):
    """Accept requests of other hosts, and report them as events."""

    __slots__ = ("_granted", "_granted_at", "_request_numbers", "_requests")

    def __init__(self, sink: EventSink) -> None:
        super().__init__(_RequestConnection, BACKLOG, sink)
        # Granted requests by connection and the sender's number, until they expire.
        self._granted: dict[tuple[int, int], int] = {}
        self._granted_at: deque[tuple[float, tuple[int, int]]] = deque()
        self._request_numbers = itertools.count(1)
        # By request: its connection, and the number that its sender gave it.
        self._requests: dict[int, tuple[int, int]] = {}

    def _make_protocol(self) -> LineProtocol:
        connection = super()._make_protocol()
        connection.register_request = self._register_request
        connection.granted = self._granted
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
            if effect.operations:
                self._remember(connection, number, effect.ask)
        self._write(connection, wire.encode(line))

    def _remember(self, connection: int, number: int, request: int) -> None:
        now = asyncio.get_running_loop().time()
        while self._granted_at and self._granted_at[0][0] + GRANT_VALIDITY <= now:
            self._granted.pop(self._granted_at.popleft()[1], None)
        self._granted[connection, number] = request
        self._granted_at.append((now, (connection, number)))

    def answer_lease(self, effect: AnswerLease) -> None:
        """Answer a request for a lease, unless the request's connection is closed."""
        connection, number = self._requests.pop(effect.ask)
        if effect.rate is None:
            line = f"NONE {number}\r\n"
        else:
            # Rounded down: a host never uses more than the keeper leased.
            rate, burst = _floor(effect.rate), _floor(effect.burst)
            validity = math.floor(1000 * effect.validity)
            line = f"LEASED {number} {rate} {burst} {validity}\r\n"
        self._write(connection, wire.encode(line))


class _RequestConnection(LineProtocol):
    """A connection on which another host sends requests."""

    __slots__ = ("granted", "register_request")

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
        if len(fields) == 5 and fields[0] == "LEASE":
            self._on_lease(fields)
            return
        if len(fields) == 5 and fields[0] == "RETURN":
            self._on_return(fields)
            return
        if len(fields) != 6 or fields[0] != "ASK":
            raise wire.WireError("malformed ASK request")
        number, part, needed, ahead = map(
            _parse_number, (fields[1], fields[2], *fields[4:])
        )
        customer = "" if fields[3] == NO_CUSTOMER else fields[3]
        request = self.register_request(self._number, number)
        self._sink(AllowanceAsked(request, part, customer, needed, ahead))

    def _on_lease(self, fields: list[str]) -> None:
        number, part = map(_parse_number, fields[1:3])
        rate = _parse_decimal(fields[4])
        request = self.register_request(self._number, number)
        self._sink(LeaseAsked(request, self._number, part, fields[3], rate))

    def _on_return(self, fields: list[str]) -> None:
        number, part, operations = map(_parse_number, (fields[1], fields[2], fields[4]))
        request = self.granted.get((self._number, number))
        if request is not None:
            self._sink(GrantReturned(request, part, fields[3], operations))


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
        self._connection(effect.address).ask(effect)

    def ask_lease(self, effect: AskLease) -> None:
        """Request a lease from a keeper; LeaseAnswered reports the outcome."""
        if self._own_address is None:
            self._sink(LeaseAnswered(effect.call, None))
            return
        self._connection(effect.address).ask_lease(effect)

    def return_grant(self, effect: ReturnGrant) -> None:
        """Return granted operations on the connection that they were granted on."""
        connection = self._connections.get(effect.address)
        if connection is not None and not connection.is_closed:
            connection.return_grant(effect)

    def _connection(self, address: str) -> _KeeperConnection:
        connection = self._connections.get(address)
        if connection is None or connection.is_closed:
            connection = self._connections[address] = _KeeperConnection(self._sink)
            self._open(connection, address)
        return connection

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

    __slots__ = (
        "_lines",
        "_pending",
        "_pending_leases",
        "_sink",
        "_transport",
        "_unsent",
        "is_closed",
    )

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._lines = wire.LineBuffer()
        self._transport: asyncio.Transport | None = None
        self._unsent: list[bytes] = []
        self._pending: set[int] = set()
        self._pending_leases: set[int] = set()
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

    def ask(self, effect: AskAllowance) -> None:
        """Send a request, or keep it until the connection is open."""
        customer = effect.customer or NO_CUSTOMER
        fields = (effect.call, effect.part, customer, effect.needed, effect.ahead)
        self._pending.add(effect.call)
        self._write(f"ASK {' '.join(map(str, fields))}\r\n")

    def ask_lease(self, effect: AskLease) -> None:
        """Send a request for a lease, or keep it until the connection is open."""
        self._pending_leases.add(effect.call)
        rate = _floor(effect.rate)
        self._write(f"LEASE {effect.call} {effect.part} {effect.customer} {rate}\r\n")

    def return_grant(self, effect: ReturnGrant) -> None:
        """Return granted operations, unless the connection is not open."""
        if self._transport is not None:
            fields = (effect.call, effect.part, effect.customer, effect.operations)
            self._write(f"RETURN {' '.join(map(str, fields))}\r\n")

    def _write(self, line: str) -> None:
        if self._transport is None:
            self._unsent.append(wire.encode(line))
        else:
            self._transport.write(wire.encode(line))

    def close(self) -> None:
        """Close the connection, and report its pending requests as unanswered."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()
        pending, self._pending = self._pending, set()
        for call in pending:
            self._sink(AllowanceAnswered(call, None))
        leases, self._pending_leases = self._pending_leases, set()
        was_open = self._transport is not None
        for call in leases:
            self._sink(LeaseAnswered(call, None, is_unsupported=was_open))

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
        if len(fields) == 5 and fields[0] == "LEASED":
            self._on_leased(fields)
            return
        if len(fields) == 4 and fields[0] == "GRANT":
            call, operations, pause = map(_parse_number, fields[1:])
        elif len(fields) == 2 and fields[0] == "NONE":
            call, operations, pause = _parse_number(fields[1]), None, 0
        else:
            raise wire.WireError("malformed answer from a keeper")
        if call in self._pending:
            self._pending.discard(call)
            self._sink(AllowanceAnswered(call, operations, pause / 1000.0))
        elif operations is None and call in self._pending_leases:
            self._pending_leases.discard(call)
            self._sink(LeaseAnswered(call, None))

    def _on_leased(self, fields: list[str]) -> None:
        call, validity = _parse_number(fields[1]), _parse_number(fields[4])
        rate, burst = map(_parse_decimal, fields[2:4])
        if call in self._pending_leases:
            self._pending_leases.discard(call)
            self._sink(LeaseAnswered(call, rate, burst, validity / 1000.0))


def _parse_number(word: str) -> int:
    is_number = word.isascii() and word.isdigit()
    if not is_number or int(word[:20]) > _MAX_NUMBER:
        raise wire.WireError(f"not an integer up to 2**53: {word[:40]!r}")
    return int(word)


def _parse_decimal(word: str) -> float:
    if not _DECIMAL.fullmatch(word):
        raise wire.WireError(f"not a number with up to 3 decimals: {word[:40]!r}")
    return float(word)


def _floor(number: float) -> str:
    """Return a number with 3 decimals, rounded down."""
    # The addition makes up for the error of numbers that have 3 decimals already.
    return f"{math.floor(1000 * number + 1e-6) / 1000:.3f}"
