"""Connections that nobody uses: closed, so that others find room at the endpoints.

An endpoint keeps the connections of hosts that lost power for seconds. Whatever stands
idle then is missing to those that start in their place.
"""

from __future__ import annotations

from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.shares import Shares
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    ProxySystem,
)

__all__ = ["IdleConnections"]

# A connection that was idle for so long is closed if there are others.
IDLE_MAX = 2.0  # seconds
# The same for connections beyond half of this host's share. Where all hosts lose power,
# successors are turned away for as long as the dead ones have over half of the limit.
SPARE_IDLE_MAX = 0.3  # seconds
LOOK = 0.15  # seconds between looks


class IdleConnections(ProxySystem):
    """Close connections that stand idle."""

    __slots__ = ("_connections", "_holders", "_shares")

    def start(self) -> None:
        """Look at the connections of this host now and then."""
        self._connections = self._node.system(Connections)
        self._holders = self._node.system(Holders)
        self._shares = self._node.system(Shares)
        self.timers.every(LOOK, self._look)

    def _look(self) -> None:
        # A host of a large fleet knows many endpoints, and is connected to few.
        connected = {
            connection.endpoint.name: connection.endpoint
            for connection in self.tables.connections.values()
        }
        for endpoint in connected.values():
            if self._shares.goes_without_holders(endpoint):
                self._return_to_holders(endpoint)
            if len(endpoint.connections) > 1:
                self._close_idle(endpoint)

    def _close_idle(self, endpoint: EndpointRow) -> None:
        """Close what was idle for long, all but one; by way of others goes first."""
        connections = endpoint.connections.values()
        for connection in sorted(connections, key=lambda c: not c.holder):
            if len(endpoint.connections) == 1:
                return
            if self._was_idle(connection):
                self._connections.close(connection, "it was idle")

    def _was_idle(self, connection: ConnectionRow) -> bool:
        if connection.state is not ConnectionState.IDLE:
            return False
        spare = not connection.holder and self._shares.is_spare(connection.endpoint)
        longest = SPARE_IDLE_MAX if spare else IDLE_MAX
        return connection.last_used_at < self.now - longest

    def _return_to_holders(self, endpoint: EndpointRow) -> None:
        """Leave the connection of a host that was cut off, once a holder serves.

        It is one that nobody counts on: kept, it would be missing to a holder.
        """
        for connection in list(endpoint.connections.values()):
            idle = connection.state is ConnectionState.IDLE
            if idle and self._shares.is_surplus(connection):
                self._connections.close(connection, "a holder can be reached")
        by_holder = any(c.holder for c in endpoint.connections.values())
        if not by_holder and not self._holders.is_cut_off(endpoint):
            self._connections.grow(endpoint)
