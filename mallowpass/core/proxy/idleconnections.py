"""Close idle connections, to leave room at the endpoints for other hosts.

An endpoint keeps the connections of hosts that lost power for seconds. Idle ones among
them reduce the connections that the hosts can open when they start again.
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

# Times in seconds.
# Idle time after which a connection is closed, unless it is the last to its endpoint.
IDLE_MAX = 2.0
# The same while this host has more than half of its share. After all hosts lost power,
# endpoints refuse the restarted hosts while the lost connections take more than half of
# the limit.
SPARE_IDLE_MAX = 0.3
# Idle times where connections belong to customers, up to half of this host's share and
# beyond it. A customer's next statement would find none, and opening one takes as much
# of a slot as a statement; a customer that needs the room gets it at once in any case.
# The second one is short for the same reason as `SPARE_IDLE_MAX`.
CUSTOMER_IDLE_MAX = 10.0
CUSTOMER_SPARE_IDLE_MAX = 0.6
CHECK_INTERVAL = 0.15


class IdleConnections(ProxySystem):
    """Close connections that have been idle for too long."""

    __slots__ = ("_connections", "_holders", "_shares")

    def start(self) -> None:
        """Check the connections of this host periodically."""
        self._connections = self._node.system(Connections)
        self._holders = self._node.system(Holders)
        self._shares = self._node.system(Shares)
        self.timers.every(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        # In a large fleet a host knows many endpoints, but is connected to few of them.
        connected = {
            connection.endpoint.name: connection.endpoint
            for connection in self.tables.connections.values()
        }
        for endpoint in connected.values():
            if self._shares.bypasses_holders(endpoint):
                self._return_to_holders(endpoint)
            if len(endpoint.connections) > 1:
                self._close_idle(endpoint)
            for link in list(endpoint.fence_links.values()):
                if self._is_timed_out(link, IDLE_MAX, IDLE_MAX):
                    self._connections.close(link, "idle timeout")

    def _close_idle(self, endpoint: EndpointRow) -> None:
        """Close idle connections but the last one; forwarded connections first.

        A connection for one request of this host does not replace the last one.
        """
        connections = endpoint.connections.values()
        kept = sum(not connection.is_single_use for connection in connections)
        if self._holders.serves_customers(endpoint.entry.service):
            timeouts = CUSTOMER_IDLE_MAX, CUSTOMER_SPARE_IDLE_MAX
            # Of the connections of customers, the one idle longest is closed first.
            ordered = sorted(connections, key=lambda c: (not c.holder, c.last_used_at))
        else:
            timeouts = IDLE_MAX, SPARE_IDLE_MAX
            ordered = sorted(connections, key=lambda c: not c.holder)
        for connection in ordered:
            if not self._is_timed_out(connection, *timeouts):
                continue
            if connection.is_single_use:
                self._connections.close(connection, "idle timeout")
            elif kept > 1:
                kept -= 1
                self._connections.close(connection, "idle timeout")

    def _is_timed_out(
        self, connection: ConnectionRow, idle_max: float, spare_idle_max: float
    ) -> bool:
        if connection.state is not ConnectionState.IDLE:
            return False
        if connection.last_used_at >= self.now - min(idle_max, spare_idle_max):
            return False
        is_spare = not connection.holder and self._shares.is_above_half(
            connection.endpoint
        )
        timeout = spare_idle_max if is_spare else idle_max
        return connection.last_used_at < self.now - timeout

    def _return_to_holders(self, endpoint: EndpointRow) -> None:
        """Replace the direct connection of a host that was cut off from the holders.

        The shares of the holders do not account for it: while it is open, the endpoint
        may have no connection left for a holder. It is closed once a connection through
        a holder is open.
        """
        for connection in list(endpoint.connections.values()):
            is_idle = connection.state is ConnectionState.IDLE
            if is_idle and self._shares.is_surplus(connection):
                self._connections.close(connection, "a holder can be reached again")
        is_forwarded = any(c.holder for c in endpoint.connections.values())
        if not is_forwarded and not self._holders.is_cut_off(endpoint):
            self._connections.grow(endpoint)
