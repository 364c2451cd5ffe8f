"""Replicas over sockets: the platform's wire protocol in front of a group."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from mallowpass.core.proxy.statements import (
    Code,
    EndpointReply,
    EndpointStatus,
)
from mallowpass.platform import wire
from mallowpass.platform.settings import Address
from mallowpass.standins.proxied.connections import ReplicaConnection, connect
from mallowpass.standins.proxied.replicas import Group

__all__ = ["ReplicaServer"]


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
        customer, _, expected = others.partition(" ")
        if service != self._group.service or expected not in ("", self._name):
            self._refuse(Code.WRONG_ENDPOINT)
            return
        connection = connect(self._group, self._name, customer)
        if isinstance(connection, Code):
            self._refuse(connection)
            return
        self._connection = connection
        position = self._group.replicas[self._name].applied_position
        line = f"READY I {wire.render_position(position)}\r\n"
        self.transport.write(wire.encode(line))

    def _refuse(self, code: Code) -> None:
        self.transport.write(wire.render_error(code, self._name))
        self.transport.close()

    def _query(self, rest: str) -> None:
        request_id, _, text = rest.partition(" ")
        call = wire.parse_call(request_id, text)
        self._connection.send(call, self._answer)

    def _answer(self, reply: EndpointReply) -> None:
        if reply.status is not None:
            row = wire.encode(_status_row(reply.status))
            reply = replace(reply, rows=(row,))
        self.transport.write(wire.render_reply(reply))


def _status_row(status: EndpointStatus) -> str:
    role = "primary" if status.is_primary else "replica"
    received = wire.render_position(status.received)
    lag = int(1000 * status.lag)
    load = f"{lag} {status.busy} {status.connections}"
    return f"{role} {status.term} {received} {status.paused_for} {load}"
