"""Detect connections on which calls get no reply.

A device between the two ends may have dropped the state of the connection, or the
endpoint's machine may have failed. Neither closes the connection, so that missing
replies are the only sign. First another connection is tried, then the dead one is
closed.
"""

from __future__ import annotations

import math

from mallowpass.core.node import Node
from mallowpass.core.proxy.connections import RESPONSE_TIMEOUT, Connections
from mallowpass.core.proxy.signals import CallsSent
from mallowpass.core.proxy.tables import ConnectionRow, ProxySystem

__all__ = ["DeadConnections"]

# Seconds without a reply to calls in flight after which a connection is closed. The
# statement timeouts of routes are well below.
DEAD_TIMEOUT = 3.0
# Seconds between two warnings of connections to one endpoint.
WARNING_INTERVAL = 10.0


class DeadConnections(ProxySystem):
    """Check that calls get replies, and close connections on which they do not."""

    __slots__ = ("_connections", "_warned_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._warned_at: dict[str, float] = {}  # by endpoint

    def start(self) -> None:
        """Subscribe to the sending of calls."""
        self._connections = self._node.system(Connections)
        self._node.subscribe(CallsSent, self._on_sent)

    def _on_sent(self, signal: CallsSent) -> None:
        connection = signal.connection
        self.timers.after(RESPONSE_TIMEOUT, self._check_response, connection, self.now)
        self.timers.after(DEAD_TIMEOUT - RESPONSE_TIMEOUT, self._find_way, connection)
        self.timers.after(DEAD_TIMEOUT, self._check_dead, connection)

    def _check_response(self, connection: ConnectionRow, sent_at: float) -> None:
        """Open another connection if the endpoint has sent no reply since `sent_at`.

        If the endpoint's machine has failed, the attempt to connect shows it. The
        statement counts as overdue only after nearly twice as long.
        """
        endpoint = connection.endpoint
        replied = not connection.pending or connection.pending[0].sent_at > sent_at
        if replied or connection.holder or endpoint.last_reply_at > sent_at:
            return
        if connection.number in self.tables.connections:
            self._connections.grow(endpoint, connection.customer, beyond_share=True)

    def _find_way(self, connection: ConnectionRow) -> None:
        """Open another connection before one with a commit in flight is closed.

        Whether the close arrives shows only if the endpoint answers around it.
        """
        endpoint = connection.endpoint
        if connection.number not in self.tables.connections or not connection.pending:
            return
        waited = self.now - connection.pending[0].sent_at
        is_due = waited >= DEAD_TIMEOUT - RESPONSE_TIMEOUT
        is_silent = endpoint.reached_sent_at < self.now - RESPONSE_TIMEOUT
        if is_due and connection.has_sent_commit and is_silent:
            self._connections.grow(endpoint, connection.customer, beyond_share=True)

    def _check_dead(self, connection: ConnectionRow) -> None:
        """Close a connection whose oldest call in flight got no reply in time.

        Otherwise each statement sent on it would wait for its timeout.
        """
        if connection.number not in self.tables.connections or not connection.pending:
            return
        if self.now - connection.pending[0].sent_at < DEAD_TIMEOUT:
            return
        self._node.log(
            self._level(connection.endpoint.name),
            "connection_silent",
            endpoint=connection.endpoint.name,
            connection=connection.number,
        )
        self._connections.close(connection, "no reply to calls in flight")

    def _level(self, endpoint: str) -> str:
        """Return the level of a line, of which a warning is one in some seconds."""
        if self.now < self._warned_at.get(endpoint, -math.inf) + WARNING_INTERVAL:
            return "info"
        self._warned_at = {
            name: at
            for name, at in self._warned_at.items()
            if self.now < at + WARNING_INTERVAL
        }
        self._warned_at[endpoint] = self.now
        return "warning"
