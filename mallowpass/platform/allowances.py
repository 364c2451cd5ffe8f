"""Asking the keepers of rate limits among hosts, and answering other hosts.

One connection between two hosts carries all questions: `ASK number part customer needed
ahead` is answered with `GRANT number operations pause`, in milliseconds, or with `NONE
number`.
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

BACKLOG = 256  # connections that wait to be accepted, as when all hosts come at once
CONNECT_TIMEOUT = 0.45  # seconds: no question waits for longer
NO_CUSTOMER = "-"
_NUMBER_MAX = 2**53


class AllowanceServer(LineServer):
    """Take other hosts' questions."""

    __slots__ = ("_asks", "_ask_numbers")

    def __init__(self, sink: EventSink) -> None:
        super().__init__(_Asker, BACKLOG, sink)
        self._ask_numbers = itertools.count(1)
        self._asks: dict[int, tuple[int, int]] = {}  # connection, and number there

    def _make_protocol(self) -> LineProtocol:
        connection = super()._make_protocol()
        connection.register = self._register
        return connection

    def _register(self, connection: int, number: int) -> int:
        ask = next(self._ask_numbers)
        self._asks[ask] = (connection, number)
        return ask

    def answer(self, effect: AnswerAllowance) -> None:
        """Answer a question; whoever is gone gets nothing."""
        connection, number = self._asks.pop(effect.ask)
        if effect.operations is None:
            line = f"NONE {number}\r\n"
        else:
            pause = math.ceil(1000 * effect.pause)
            line = f"GRANT {number} {effect.operations} {pause}\r\n"
        self._write(connection, wire.encode(line))


class _Asker(LineProtocol):
    """Hold the connection of a host that asks."""

    __slots__ = ("register",)

    def data_received(self, data: bytes) -> None:
        try:
            for line in self._lines.feed(data):
                self._take(wire.decode(line))
        except wire.WireError:
            self.transport.close()

    def connection_lost(self, error: Exception | None) -> None:
        self._connections.pop(self._number, None)

    def _take(self, line: str) -> None:
        words = line.split(" ")
        if len(words) != 6 or words[0] != "ASK":
            raise wire.WireError("no question for an allowance")
        number, part, needed, ahead = map(_whole, (words[1], words[2], *words[4:]))
        customer = "" if words[3] == NO_CUSTOMER else words[3]
        ask = self.register(self._number, number)
        self._sink(AllowanceAsked(ask, part, customer, needed, ahead))


class AllowanceClients:
    """Ask keepers, by one connection to each."""

    __slots__ = ("_clients", "_own", "_sink", "_tasks")

    def __init__(self, own: Address | None, sink: EventSink) -> None:
        self._own = own
        self._sink = sink
        self._clients: dict[str, _Client] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def ask(self, effect: AskAllowance) -> None:
        """Send a question; an event tells the answer, or that there is none."""
        if self._own is None:
            self._sink(AllowanceAnswered(effect.call, None))
            return
        client = self._clients.get(effect.address)
        if client is None or client.is_closed:
            client = self._clients[effect.address] = _Client(self._sink)
            self._open(client, effect.address)
        client.ask(effect)

    def _open(self, client: _Client, address: str) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(client.open(address, self._own.port))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def abort(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        for client in self._clients.values():
            client.close()


class _Client(asyncio.Protocol):
    """Hold the connection to one keeper, and what it was asked."""

    __slots__ = ("_asked", "_lines", "_sink", "_transport", "_unsent", "is_closed")

    def __init__(self, sink: EventSink) -> None:
        self._sink = sink
        self._lines = wire.LineBuffer()
        self._transport: asyncio.Transport | None = None
        self._unsent: list[bytes] = []
        self._asked: set[int] = set()
        self.is_closed = False

    async def open(self, address: str, port: int) -> None:
        """Connect to a host; what was asked meanwhile is sent then."""
        loop = asyncio.get_running_loop()
        try:
            # Ports are the same on all hosts.
            host = Address.parse(address).host
            async with asyncio.timeout(CONNECT_TIMEOUT):
                await loop.create_connection(lambda: self, host, port)
        except (OSError, SettingsError, ValueError):
            # ValueError: a host's name that no socket takes.
            self.close()

    def ask(self, effect: AskAllowance) -> None:
        """Send a question, or keep it until the connection is open."""
        customer = effect.customer or NO_CUSTOMER
        words = (effect.call, effect.part, customer, effect.needed, effect.ahead)
        line = wire.encode(f"ASK {' '.join(map(str, words))}\r\n")
        self._asked.add(effect.call)
        if self._transport is None:
            self._unsent.append(line)
        else:
            self._transport.write(line)

    def close(self) -> None:
        """Close; whatever has no answer gets none."""
        self.is_closed = True
        if self._transport is not None:
            self._transport.abort()
        asked, self._asked = self._asked, set()
        for call in asked:
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
                self._take(wire.decode(line))
        except wire.WireError:
            self.close()

    def _take(self, line: str) -> None:
        words = line.split(" ")
        if len(words) == 4 and words[0] == "GRANT":
            call, operations, pause = map(_whole, words[1:])
        elif len(words) == 2 and words[0] == "NONE":
            call, operations, pause = _whole(words[1]), None, 0
        else:
            raise wire.WireError("no answer of a keeper")
        if call in self._asked:
            self._asked.discard(call)
            self._sink(AllowanceAnswered(call, operations, pause / 1000.0))


def _whole(word: str) -> int:
    is_number = word.isascii() and word.isdigit()
    if not is_number or int(word[:20]) > _NUMBER_MAX:
        raise wire.WireError(f"no number: {word[:40]!r}")
    return int(word)
