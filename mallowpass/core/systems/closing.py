"""Close connections, and notify the users of connections that are lost."""

from __future__ import annotations

from mallowpass.core.effects import CloseConnection
from mallowpass.core.events import ConnectionLost
from mallowpass.core.systems.connections import LIFETIME_MARGIN, EndpointPool
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow

__all__ = ["Closer"]


class Closer(PoolPart):
    """Close connections and remove them from the pools."""

    __slots__ = ()

    def on_lost(self, event: ConnectionLost) -> None:
        """Remove a connection that broke, and notify its user."""
        connection = self._connections.get(event.connection)
        if connection is None:
            return
        pool = self._pooling.by_address[connection.address]
        self._node.count("connections_lost", reason="broken")
        self._notify_user(pool, connection, event.message)
        self._pooling.granting.dispatch(pool)

    def close_and_notify(
        self, pool: EndpointPool, connection: ConnectionRow, why: str
    ) -> None:
        """Close a connection and notify its user."""
        self._node.count("connections_lost", reason=why)
        self._node.emit(CloseConnection(connection.number))
        self._notify_user(pool, connection, why)

    def _notify_user(
        self, pool: EndpointPool, connection: ConnectionRow, why: str
    ) -> None:
        number, transaction = connection.request, connection.transaction
        self.remove(pool, connection)
        request = self.tables.requests.get(number)
        if request is not None:
            self._pooling.requests.on_connection_lost(request, connection, why)
        elif transaction:
            self._pooling.transactions.on_connection_lost(connection, why)

    def on_unsent(
        self, pool: EndpointPool, connection: ConnectionRow, was_open: bool
    ) -> None:
        """Report that a call was not sent.

        `was_open`: the connection was open when the call was to be sent.
        """
        if connection.number in self._connections:
            self._node.emit(CloseConnection(connection.number))
        elif was_open:
            return  # the connection was lost in the meantime, and its user notified
        self._notify_user(pool, connection, "expired, call not sent")
        self._pooling.granting.dispatch(pool)

    def close_expired(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Close a connection whose time to live is over at the endpoint.

        If a transaction between two calls uses the connection, the transaction ends.
        """
        self.close_and_notify(pool, connection, "expired")

    def close(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Close a connection that is not in use."""
        if connection.number not in self._connections:
            return
        self._node.emit(CloseConnection(connection.number))
        self.remove(pool, connection)

    def remove(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Remove a connection from all tables."""
        number = connection.number
        if self._connections.pop(number, None) is None:
            return
        if pool.is_active(connection):
            pool.active_count -= 1
        pool.connections.pop(number, None)
        pool.idle.pop(number, None)
        pool.idle_borrowed.pop(number, None)
        pool.pinned.pop(number, None)
        pool.deferred_calls.pop(number, None)
        pool.in_flight.remove(number)
        self._pooling.busy_checks.discard(pool, number)
        pool.internal_in_flight.remove(number)
        pool.opening.remove(number)
        pool.internal_calls.pop(number, None)
        if not connection.loan:
            pool.closing_slots.append(
                (self.now, connection.expires_at + LIFETIME_MARGIN)
            )
            return
        loan = pool.borrowed.get(connection.loan)
        if loan is not None:
            loan.numbers.discard(number)
