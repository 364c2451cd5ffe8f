"""Send keep-alives, detect broken connections, and reset released connections."""

from __future__ import annotations

from mallowpass.core.calls import (
    EndpointCall,
    EndpointCode,
    EndpointReply,
    KeepAliveCall,
    ResetCall,
)
from mallowpass.core.effects import SendEndpoint
from mallowpass.core.systems.connections import LIFETIME_MARGIN, EndpointPool
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow, ConnectionState

__all__ = ["CHECK_TIMEOUT", "KeepAlive"]

IDLE_MIN = 1  # idle connections that are kept regardless of demand
CHECKS_PER_LIFETIME = 3  # keep-alives on an unused connection within its time to live
CHECK_TIMEOUT = 0.5  # seconds for the reply to a keep-alive

# Purposes of internal calls.
_KEEP_ALIVE = "keep-alive"
_RESET = "reset"
_ABANDONED = "abandoned"

_BUSY = ConnectionState.BUSY


class KeepAlive(PoolPart):
    """Send internal calls, which no request waits for, and handle their replies."""

    __slots__ = ()

    # -- Idle and pinned connections -------------------------------------------

    def schedule_check(self, pool: EndpointPool) -> None:
        """Schedule the next check of the pool's connections, unless it is scheduled."""
        if pool.check_timer is None:
            pool.check_timer = self.timers.after(
                self._check_interval() / 2, self._check_idle, pool
            )

    def _check_idle(self, pool: EndpointPool) -> None:
        """Send keep-alives on connections that have not been used recently."""
        pool.check_timer = None
        due = self.now - self._check_interval() / 2
        for connection in list(pool.idle.values()):
            if connection.last_used_at <= due:
                del pool.idle[connection.number]
                self._send_keep_alive(pool, connection)
        self.check_pinned(pool)
        if pool.connections:
            self.schedule_check(pool)

    def check_pinned(self, pool: EndpointPool) -> None:
        """Send keep-alives for transactions that are between two statements."""
        for connection in list(pool.pinned.values()):
            usable_time = self._pooling.loans.usable_time(connection.loan)
            last_call_at = connection.expires_at - usable_time
            is_due = last_call_at + usable_time / CHECKS_PER_LIFETIME <= self.now
            if is_due and connection.number not in pool.internal_in_flight:
                self._send_keep_alive(pool, connection)

    def maintain_borrowed(self, pool: EndpointPool) -> None:
        """Close expired idle borrowed connections; send keep-alives on pinned ones."""
        for connection in list(pool.idle_borrowed.values()):
            if connection.expires_at <= self.now:
                self._pooling.closer.close(pool, connection)
        self.check_pinned(pool)

    def close_surplus_idle(self) -> None:
        """Close connections that were idle for a whole period, except `IDLE_MIN`."""
        for pool in list(self._pooling.by_address.values()):
            if pool.min_idle > IDLE_MIN:
                surplus = min(pool.min_idle, len(pool.idle)) - IDLE_MIN
                self._pooling.close_idle(pool, surplus)
            pool.min_idle = len(pool.idle)

    def _send_keep_alive(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        self.send_internal(pool, connection, KeepAliveCall(), _KEEP_ALIVE)

    def _check_interval(self) -> float:
        return self._node.tuning.connection_time_to_live / CHECKS_PER_LIFETIME

    # -- Internal calls --------------------------------------------------------

    def abandon(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Keep a connection out of use until its abandoned call has been answered.

        If the next request got the connection at once, the first reply that it
        received would be the one to the abandoned call.
        """
        number = connection.number
        if pool.is_active(connection):
            pool.active_count -= 1
        pool.pinned.pop(number, None)
        pool.deferred_calls.pop(number, None)
        connection.state = _BUSY
        connection.request = 0
        connection.transaction = ""
        if pool.internal_calls.get(number) != _RESET:
            pool.internal_calls[number] = _ABANDONED
        keep_alive = pool.busy_keep_alives.get(number)
        if keep_alive is not None and keep_alive.is_outstanding:
            # Apply the short timeout of idle connections: while the connection occupies
            # one of few slots, requests wait.
            pool.internal_in_flight.add(number)
        if pool.queue:
            self._pooling.granting.dispatch(pool)

    def send_internal(
        self,
        pool: EndpointPool,
        connection: ConnectionRow,
        call: EndpointCall,
        purpose: str,
    ) -> None:
        """Send a call that no request waits for, if the connection has not expired."""
        number = connection.number
        now = self.now
        # Recorded first, so that a connection that is closed below no longer counts as
        # running a request's statement.
        pool.internal_calls[number] = purpose
        if connection.expires_at <= now:
            self._pooling.closer.close_expired(pool, connection)
            return
        connection.expires_at = self._pooling.expiry(pool, connection, now)
        connection.sequence += 1
        if not connection.transaction:
            connection.state = _BUSY
        pool.internal_in_flight.add(number)
        self._node.emit(SendEndpoint(number, connection.sequence, call))

    def reset(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Reset the state that the last user left on a connection."""
        self.send_internal(pool, connection, ResetCall(), _RESET)

    def on_internal_reply(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Handle the reply to an internal call, or to one that delays another call."""
        number = connection.number
        deferred = pool.deferred_calls.get(number)
        expected = connection.sequence if deferred is None else deferred[0]
        if reply.sequence != expected:
            self._pooling.count_dropped_reply("wrong-sequence")
            return
        purpose = pool.internal_calls.get(number, _ABANDONED)
        if purpose == _ABANDONED:
            self._pooling.count_dropped_reply("abandoned")
            if not reply.last:
                if number in pool.in_flight:
                    pool.in_flight.restart(number)
                    pool.overdue.remove(number)
                return
        pool.internal_calls.pop(number, None)
        pool.in_flight.remove(number)
        self._pooling.busy_checks.discard(pool, number)
        pool.internal_in_flight.remove(number)
        if deferred is not None:
            del pool.deferred_calls[number]
            self._pooling.transmit(pool, connection, *deferred[1:])
        elif connection.transaction:
            pool.pinned.pop(number, None)
            pool.pinned[number] = connection
        elif purpose == _ABANDONED:
            self.reset(pool, connection)
        elif reply.code is not EndpointCode.OK:
            self._pooling.closer.close(pool, connection)
            self._pooling.granting.dispatch(pool)
        else:
            connection.last_used_at = self.now
            self._pooling.make_idle(pool, connection)
            self._pooling.granting.dispatch(pool)

    # -- Unresponsive connections ----------------------------------------------

    def close_unresponsive(self, pool: EndpointPool, number: int) -> None:
        """Close a connection on which a call has been unanswered for too long."""
        connection = self._connections.get(number)
        if connection is None:
            return
        node = self._node
        silent_since = max(connection.last_used_at, connection.last_call_at)
        node.record_decision(
            "silent", pool.address, f"connection {number} gave no answer"
        )
        node.log("warning", "connection_silent", address=pool.address, number=number)
        if not connection.loan:
            pool.unresponsive_slots.append(connection.expires_at + LIFETIME_MARGIN)
        self._pooling.closer.close_and_notify(pool, connection, "silent")
        self.check_older_idle(pool, silent_since)
        self._pooling.granting.dispatch(pool)

    def on_check_timeout(self, pool: EndpointPool, number: int) -> None:
        """Close a connection if its endpoint replies on others; otherwise keep waiting.

        An endpoint that is paused or unreachable does not reply on any connection. Its
        connections work again once it continues, and reopening all of them would
        overload it.
        """
        connection = self._connections.get(number)
        if connection is None:
            return
        last_reply_at = pool.endpoint.last_reply_at
        sent_at = self.now - CHECK_TIMEOUT
        is_stalled = float("-inf") < last_reply_at < sent_at
        if is_stalled and self.now < connection.expires_at:
            pool.internal_in_flight.add(number)
        else:
            self.close_unresponsive(pool, number)

    def check_older_idle(self, pool: EndpointPool, since: float) -> None:
        """Send keep-alives on idle connections that were last used before `since`.

        The cause that broke one connection has probably affected connections of
        the same age, and each of them would cost a request its full timeout. Requests
        use more recent connections in the meantime.
        """
        for idle in (pool.idle, pool.idle_borrowed):
            for connection in list(idle.values()):
                if connection.last_used_at <= since:
                    del idle[connection.number]
                    self._send_keep_alive(pool, connection)
