"""A database of the wire protocol that notes what runs on each of its connections.

It is the project's stand-in with three additions from PROTOCOL.md: each QUERY gets an
answer, also one that can't be parsed; a transaction that has failed answers MALFORMED
to all but its end; and every run of a client's statement is noted, with the shape that
its prepared name had and the values of the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from mallowpass.core.proxy.statements import (
    Code,
    Commit,
    EndpointCall,
    EndpointReply,
    Execute,
    Rollback,
    SessionState,
    Statement,
)
from mallowpass.platform import wire
from mallowpass.standins.proxied import wireserver
from mallowpass.standins.proxied.connections import ReplicaConnection
from mallowpass.standins.proxied.platform import LocalPlatform


@dataclass(frozen=True)
class Run:
    """One statement of a client as a database ran it."""

    database: str
    request: str
    statement: Statement
    shape: str  # of the prepared name, empty for other statements
    values: tuple[tuple[str, str], ...]

    @property
    def text(self) -> str:
        """Return the run in one line."""
        values = " ".join(f"{name}={value}" for name, value in self.values)
        shape = f" shape={self.shape!r}" if self.shape else ""
        return f"{self.database} ran {self.request}: {self.statement}{shape} [{values}]"


Note = Callable[[Run], None]
Fails = Callable[["NotedConnection", EndpointCall], bool]


class NotedConnection(ReplicaConnection):
    """A connection that notes what runs, and fails what `fails` chooses."""

    note: Note = staticmethod(lambda run: None)
    fails: Fails = staticmethod(lambda connection, call: False)

    def _run(self, call: EndpointCall, done) -> None:
        statement = call.statement
        is_end = isinstance(statement, Commit | Rollback)
        if self.state is SessionState.FAILED and not is_end:
            self._answer(done, Code.MALFORMED)
            return
        if self.state is SessionState.FAILED:
            self._end()
            self._answer(
                done, Code.FAILED if isinstance(statement, Commit) else Code.DONE
            )
            return
        if type(self).fails(self, call):
            self._answer(done, Code.FAILED, failed=True)
            return
        if call.request_id:
            shape = ""
            if isinstance(statement, Execute):
                shape = self.prepared.get(statement.name, (None, ""))[1]
            run = Run(
                self.member,
                call.request_id,
                statement,
                shape,
                tuple(sorted(self.values.items())),
            )
            if shape or not isinstance(statement, Execute):
                type(self).note(run)
        super()._run(call, done)


class _Served(wireserver._Served):
    """The socket's end: each QUERY gets an answer."""

    connection_class: type[NotedConnection] = NotedConnection

    def _connect(self, rest: str) -> None:
        service, _, others = rest.partition(" ")
        customer, _, expected = others.partition(" ")
        if service != self._group.service or expected not in ("", self._name):
            self._refuse(Code.WRONG_ENDPOINT)
            return
        replica = self._group.replicas[self._name]
        if len(replica.connections) >= self._group.max_connections:
            self._refuse(Code.TOO_MANY_CONNECTIONS)
            return
        self._connection = self.connection_class(self._group, replica, customer)
        position = replica.applied_position
        self.transport.write(
            wire.encode(f"READY I {wire.render_position(position)}\r\n")
        )

    def _query(self, rest: str) -> None:
        request, _, text = rest.partition(" ")
        try:
            call = wire.parse_call(request, text)
        except wire.WireError as error:
            # Answered in its turn: no statement is in flight on this connection unless
            # the proxy has sent several in one write.
            self._connection.send_malformed(str(error), self._answer)
            return
        self._connection.send(call, self._answer)


class _Malformed(Statement):
    """A statement that can't be parsed."""


def _send_malformed(self: NotedConnection, why: str, done) -> None:
    def answer(reply: EndpointReply) -> None:
        done(reply)

    self.send(EndpointCall(_Malformed(), ""), answer)


def _execute_malformed(self, statement: _Malformed, call: EndpointCall, done) -> None:
    self._answer(done, Code.MALFORMED, failed=True)


NotedConnection.send_malformed = _send_malformed
ReplicaConnection._execute.register(_Malformed)(_execute_malformed)


def install(platform: LocalPlatform, note: Note, fails: Fails | None = None) -> None:
    """Have the databases of a platform note what they run; call before they start."""

    class Connection(NotedConnection):
        pass

    Connection.note = staticmethod(note)
    Connection.fails = staticmethod(fails or (lambda connection, call: False))

    class Served(_Served):
        connection_class = Connection

    async def start(server) -> None:
        loop = asyncio.get_running_loop()
        server._server = await loop.create_server(
            lambda: Served(server._group, server._name, server._connections),
            server.address.host,
            server.address.port,
        )

    for server in platform.servers.values():
        server.start = lambda server=server: start(server)
