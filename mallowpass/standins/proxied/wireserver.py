"""Replicas over sockets: the platform's wire protocol in front of a group."""

from __future__ import annotations

import asyncio

from mallowpass.core.proxy.statements import (
    Code,
    Demote,
    EndpointCall,
    EndpointReply,
    EndpointStatus,
    Pause,
    Reset,
    Resume,
    Statement,
    Status,
)
from mallowpass.platform import wire
from mallowpass.platform.settings import Address
from mallowpass.standins.proxied.replicas import Group, ReplicaConnection

__all__ = ["ReplicaServer"]

_STATE_WORDS = {"idle": "I", "in-transaction": "T", "failed": "E"}


class ReplicaServer:
    """Listen for one member of a group."""

    def __init__(self, group: Group, name: str, address: Address) -> None:
        self._group = group
        self._name = name
        self.address = address
        self._server: asyncio.Server | None = None
        self._connections: set[_Served] = set()

    async def start(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Served(self._group, self._name, self._connections),
            self.address.host,
            self.address.port,
        )

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        self._server.close()
        for connection in list(self._connections):
            connection.transport.abort()


class _Served(asyncio.Protocol):
    """Hold one connection of a caller."""

    def __init__(self, group: Group, name: str, connections: set[_Served]) -> None:
        self._group = group
        self._name = name
        self._connections = connections
        self._lines = wire.LineBuffer()
        self._connection: ReplicaConnection | None = None
        self.transport: asyncio.Transport = None  # type: ignore[assignment]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self._connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        self._connections.discard(self)
        if self._connection is not None:
            self._connection.close()

    def data_received(self, data: bytes) -> None:
        for line in self._lines.feed(data):
            word, _, rest = wire.decode(line).partition(" ")
            if word == "CONNECT" and self._connection is None:
                self._connect(rest)
            elif word == "QUERY" and self._connection is not None:
                self._query(rest)
            else:
                self.transport.close()

    def _connect(self, rest: str) -> None:
        service, _, others = rest.partition(" ")
        _, _, expected = others.partition(" ")
        if service != self._group.service or expected not in ("", self._name):
            self._refuse(Code.WRONG_ENDPOINT)
            return
        connection = self._group.connect(self._name)
        if isinstance(connection, Code):
            self._refuse(connection)
            return
        self._connection = connection
        position = self._group.replicas[self._name].applied_position
        line = f"READY I {position.term}.{position.position}\r\n"
        self.transport.write(wire.encode(line))

    def _refuse(self, code: Code) -> None:
        self.transport.write(wire.render_error(code, self._name))
        self.transport.close()

    def _query(self, rest: str) -> None:
        request_id, _, text = rest.partition(" ")
        call = _parse_call(request_id, text)
        self._connection.send(call, self._answer)

    def _answer(self, reply: EndpointReply) -> None:
        lines = [b"ROW %b\r\n" % row for row in reply.rows]
        if reply.status is not None:
            lines.append(b"ROW %b\r\n" % wire.encode(_status_row(reply.status)))
        if reply.code is Code.DONE:
            signature = reply.signature or "-"
            lines.append(b"DONE %b\r\n" % wire.encode(signature))
        else:
            lines.append(wire.render_error(reply.code, self._name))
        state = _STATE_WORDS[reply.state.value]
        position = f"{reply.position.term}.{reply.position.position}"
        lines.append(wire.encode(f"READY {state} {position}\r\n"))
        self.transport.write(b"".join(lines))


def _parse_call(request_id: str, text: str) -> EndpointCall:
    minimum = None
    if text.startswith("AFTER "):
        _, position, text = text.split(" ", 2)
        minimum = wire.parse_position(position)
    own_id = "" if request_id == wire.OWN_ID else request_id
    return EndpointCall(_parse(text), own_id, minimum)


def _parse(text: str) -> Statement:
    word, _, rest = text.partition(" ")
    if word == "RESET":
        return Reset()
    if word == "STATUS":
        return Status()
    if word == "RESUME":
        return Resume()
    if word == "PAUSE":
        return Pause(int(rest))
    if word == "DEMOTE":
        return Demote(int(rest))
    statement = wire.parse_statement(text)
    if statement is None:
        raise wire.WireError(f"no statement: {text[:40]!r}")
    return statement


def _status_row(status: EndpointStatus) -> str:
    role = "primary" if status.is_primary else "replica"
    received = f"{status.received.term}.{status.received.position}"
    lag = int(1000 * status.lag)
    return f"{role} {status.term} {received} 0 {lag} {status.busy} {status.connections}"
