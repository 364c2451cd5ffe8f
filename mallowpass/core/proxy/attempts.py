"""One attempt to run a statement: on a connection, until it is answered or given up."""

from __future__ import annotations

from dataclasses import replace

from mallowpass.core.proxy.sessionstate import make_setup_calls
from mallowpass.core.proxy.signals import AttemptLost, AttemptOverdue
from mallowpass.core.proxy.stalls import OVERDUE_SHARE
from mallowpass.core.proxy.statements import (
    EndpointCall,
    Execute,
    LogPosition,
    OnBehalfOf,
)
from mallowpass.core.proxy.tables import ConnectionRow, ProxySystem, RequestRow

__all__ = ["TRIES_MAX", "Attempts"]

BACKOFF_MIN = 0.02  # seconds before a refused statement is sent again
BACKOFF_MAX = 0.2
TRIES_MAX = 8  # of one statement, so that a refusal for good ends


class Attempts(ProxySystem):
    """Bind statements to connections."""

    __slots__ = ()

    def setup_calls(
        self, request: RequestRow, connection: ConnectionRow
    ) -> list[EndpointCall]:
        """Return the calls that bring a connection to the state of a session."""
        prepared = () if request.prepared is None else (request.prepared,)
        return make_setup_calls(connection, request.session.values, prepared)

    def statement_call(
        self, request: RequestRow, floor: LogPosition | None
    ) -> EndpointCall:
        """Return the call of a statement itself, by its name on the connection."""
        statement = request.statement
        if request.prepared is not None:
            statement = Execute(request.prepared.shared_name, statement.text)
        return self.with_caller(
            EndpointCall(statement, request.request_id, floor),
            request,
        )

    def with_caller(self, call: EndpointCall, request: RequestRow) -> EndpointCall:
        """Return a call with what a holder on the way has to know of its caller."""
        if not request.connection.holder:
            return call
        on_behalf_of = None
        if request.customer is not None:
            version = self.tables.configuration.version
            on_behalf_of = OnBehalfOf(request.customer, version)
        priority = request.route.priority
        return replace(call, priority=priority, on_behalf_of=on_behalf_of)

    def attach(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Have a connection run a statement; its loss, or its silence, is told."""
        request.granted_until = None  # it is used from now on
        request.connection = connection
        request.endpoint = connection.endpoint
        request.sent_at = self.now
        request.position_before = connection.endpoint.position
        request.endpoint.in_flight += 1
        self.watch_loss(request, connection)
        overdue = OVERDUE_SHARE * request.route.statement_timeout
        request.timers.append(
            self.timers.after(overdue, self._on_overdue, request, connection)
        )

    def watch_loss(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Have it told if a connection is lost that a statement needs."""
        connection.on_lost = lambda _, why: self._node.publish(
            AttemptLost(request, why)
        )

    def _on_overdue(self, request: RequestRow, connection: ConnectionRow) -> None:
        if not request.finished and request.connection is connection:
            self._node.publish(AttemptOverdue(request))

    def detach(self, request: RequestRow) -> None:
        """Take a statement off the connection that ran it."""
        if request.connection is not None:
            request.endpoint.in_flight -= 1
            request.connection.on_lost = None
            request.connection = None

    def backoff(self, request: RequestRow) -> float:
        """Return how long to wait before a refused statement is sent again."""
        return self._node.backoff(request.tries - 1, BACKOFF_MIN, BACKOFF_MAX)
