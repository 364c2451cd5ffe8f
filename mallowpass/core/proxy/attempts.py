"""Attempts: a statement's runs on a connection, each answered, refused or lost."""

from __future__ import annotations

from dataclasses import replace

from mallowpass.core.proxy.admissioncontrol import AdmissionControl
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

# Seconds before a refused statement is sent again.
BACKOFF_MIN = 0.02
BACKOFF_MAX = 0.2
# Attempts of one statement, so that retries of a permanent refusal end.
TRIES_MAX = 8


class Attempts(ProxySystem):
    """Attach statements to the connections that run them."""

    __slots__ = ("_admission",)

    def start(self) -> None:
        """Look up the systems that this one uses."""
        self._admission = self._node.system(AdmissionControl)

    def setup_calls(
        self, request: RequestRow, connection: ConnectionRow
    ) -> list[EndpointCall]:
        """Return the calls that set a connection to the state of a session."""
        prepared = () if request.prepared is None else (request.prepared,)
        return make_setup_calls(connection, request.session.values, prepared)

    def statement_call(
        self, request: RequestRow, floor: LogPosition | None
    ) -> EndpointCall:
        """Return the call that runs a statement, once its connection is set up for it.

        A prepared statement is run by its name on that connection.
        """
        statement = request.statement
        if request.prepared is not None:
            name = request.connection.prepared[request.prepared]
            statement = Execute(name, statement.text)
        return self.with_caller(
            EndpointCall(statement, request.request_id, floor),
            request,
        )

    def with_caller(self, call: EndpointCall, request: RequestRow) -> EndpointCall:
        """Return a call, with what a holder has to know if it forwards the call.

        These are its customer, its priority, and for how long its reply is of use.
        """
        if not request.connection.holder:
            return call
        on_behalf_of = None
        if request.customer is not None:
            version = self.tables.configuration.version
            on_behalf_of = OnBehalfOf(request.customer, version)
        priority = request.route.priority
        return replace(
            call,
            priority=priority,
            on_behalf_of=on_behalf_of,
            time_left=self._admission.time_left(request),
        )

    def attach(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Attach a statement to the connection that runs it.

        The loss of the connection is published as `AttemptLost`, and a reply that takes
        too long as `AttemptOverdue`.
        """
        request.granted_until = None  # the grant is used up
        request.connection = connection
        request.endpoint = connection.endpoint
        request.sent_at = self.now
        request.position_before = connection.endpoint.position
        request.endpoint.in_flight += 1
        self.watch_loss(request, connection)
        overdue_after = OVERDUE_SHARE * request.route.statement_timeout
        request.timers.append(
            self.timers.after(overdue_after, self._on_overdue, request, connection)
        )

    def watch_loss(self, request: RequestRow, connection: ConnectionRow) -> None:
        """Publish `AttemptLost` if a connection that a statement needs is lost."""
        connection.on_lost = lambda _, why: self._node.publish(
            AttemptLost(request, why)
        )

    def _on_overdue(self, request: RequestRow, connection: ConnectionRow) -> None:
        if not request.finished and request.connection is connection:
            self._node.publish(AttemptOverdue(request))

    def detach(self, request: RequestRow) -> None:
        """Detach a statement from its connection."""
        if request.connection is not None:
            request.endpoint.in_flight -= 1
            request.connection.on_lost = None
            request.connection = None

    def backoff(self, request: RequestRow) -> float:
        """Return the seconds to wait before a refused statement is sent again."""
        return self._node.backoff(request.tries - 1, BACKOFF_MIN, BACKOFF_MAX)
