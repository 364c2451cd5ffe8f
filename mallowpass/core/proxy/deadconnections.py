"""Connections on which calls stay unanswered: another is tried, then they are closed.

Something between the two ends may have lost track of a connection, or its endpoint is
dark: nothing but the silence tells.
"""

from __future__ import annotations

from mallowpass.core.proxy.connections import RESPONSE_TIMEOUT, Connections
from mallowpass.core.proxy.signals import CallsSent
from mallowpass.core.proxy.tables import ConnectionRow, ProxySystem

__all__ = ["DeadConnections"]

# A connection silent for so long with calls in flight is closed: no statement may
# run longer than its route's timeout, which is well below.
SILENCE_MAX = 3.0


class DeadConnections(ProxySystem):
    """Watch for answers to the calls that were sent."""

    __slots__ = ("_connections",)

    def start(self) -> None:
        """Subscribe to calls."""
        self._connections = self._node.system(Connections)
        self._node.subscribe(CallsSent, self._on_sent)

    def _on_sent(self, signal: CallsSent) -> None:
        connection = signal.connection
        self.timers.after(RESPONSE_TIMEOUT, self._check_quiet, connection, self.now)
        self.timers.after(SILENCE_MAX, self._check_silence, connection)

    def _check_quiet(self, connection: ConnectionRow, sent_at: float) -> None:
        """Try a new connection to an endpoint that has answered nothing for a while.

        One that is dark shows in nothing else but its silence. Waiting for statements
        to become overdue takes nearly twice as long, at the worst of times.
        """
        endpoint = connection.endpoint
        answered = not connection.pending or connection.pending[0].sent_at > sent_at
        if answered or connection.holder or endpoint.last_reply_at > sent_at:
            return
        if connection.number in self.tables.connections:
            self._connections.grow(endpoint, connection.customer, beyond_share=True)

    def _check_silence(self, connection: ConnectionRow) -> None:
        """Close a connection that went silent with calls in flight.

        Something between the two ends may have lost track of it: no answer would
        ever come, and each statement sent on it would wait for its timeout.
        """
        if connection.number not in self.tables.connections or not connection.pending:
            return
        if self.now - connection.pending[0].sent_at < SILENCE_MAX:
            return
        self._node.log(
            "warning",
            "connection_silent",
            endpoint=connection.endpoint.name,
            connection=connection.number,
        )
        self._connections.close(connection, "it went silent")
