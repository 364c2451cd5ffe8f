"""Keep connections alive, find the silent ones, and clean up after their users."""

from __future__ import annotations

from mallowpass.core.calls import (
    EndpointCall,
    EndpointCode,
    EndpointReply,
    KeepAliveCall,
    ResetCall,
)
from mallowpass.core.effects import SendEndpoint
from mallowpass.core.systems.connections import LIFE_MARGIN, EndpointPool
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow, ConnectionState

__all__ = ["CHECK_TIMEOUT", "KeepAlive"]

WARM_MIN = 1  # idle connections that are kept whatever the demand
CHECKS_PER_LIFE = 3  # connections prove themselves so often in a time to live
CHECK_TIMEOUT = 0.5  # seconds for the answer to a keep-alive

_CHECK = "keep-alive"
_RESET = "reset"
_ABANDONED = "abandoned"

_BUSY = ConnectionState.BUSY


class KeepAlive(PoolPart):
    """Send the calls that no request waits for, and judge their answers."""

    __slots__ = ()

    # -- Idle and pinned connections -------------------------------------------

    def schedule_check(self, pool: EndpointPool) -> None:
        """Look at the pool's connections in a while."""
        if pool.check_timer is None:
            pool.check_timer = self.timers.after(
                self._check_period() / 2, self._check_idle, pool
            )

    def _check_idle(self, pool: EndpointPool) -> None:
        """Prolong the life of connections that were not used for a while."""
        pool.check_timer = None
        due = self.now - self._check_period() / 2
        for connection in list(pool.idle.values()):
            if connection.last_used_at <= due:
                del pool.idle[connection.number]
                self._check(pool, connection)
        self.check_pinned(pool)
        if pool.connections:
            self.schedule_check(pool)

    def check_pinned(self, pool: EndpointPool) -> None:
        """Prolong the life of connections whose transaction is between statements."""
        for connection in list(pool.pinned.values()):
            life = self._pooling.loans.usable_time(connection.loan)
            called_at = connection.expires_at - life
            due = called_at + life / CHECKS_PER_LIFE <= self.now
            if due and connection.number not in pool.internal_in_flight:
                self._check(pool, connection)

    def maintain_borrowed(self, pool: EndpointPool) -> None:
        """Close borrowed connections that stood idle; keep the pinned ones alive."""
        for connection in list(pool.idle_borrowed.values()):
            if connection.expires_at <= self.now:
                self._pooling.closer.close(pool, connection)
        self.check_pinned(pool)

    def close_surplus_idle(self) -> None:
        """Close what stood idle for a whole period, but for a few."""
        for pool in list(self._pooling.by_address.values()):
            if pool.min_idle > WARM_MIN:
                surplus = min(pool.min_idle, len(pool.idle)) - WARM_MIN
                self._pooling.close_idle(pool, surplus)
            pool.min_idle = len(pool.idle)

    def _check(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        self.send_internal(pool, connection, KeepAliveCall(), _CHECK)

    def _check_period(self) -> float:
        return self._node.tuning.connection_time_to_live / CHECKS_PER_LIFE

    # -- Calls that no request waits for ---------------------------------------

    def abandon(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Keep a connection from use until its abandoned call is answered.

        Given to the next request at once, its first answer would be the old one's.
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
        proof = pool.busy_keep_alives.get(number)
        if proof is not None and proof.is_outstanding:
            # Judged like an idle one: while it takes up a place of few, requests wait.
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
        """Send a call that no request waits for."""
        number = connection.number
        now = self.now
        # Marked first: a connection closed right here is not a request's any more.
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
        """Have the endpoint forget what the last user left on a connection."""
        self.send_internal(pool, connection, ResetCall(), _RESET)

    def on_internal_reply(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Go on with a connection once it has answered what it owed."""
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

    # -- Silence ---------------------------------------------------------------

    def close_silent(self, pool: EndpointPool, number: int) -> None:
        """Close a connection that owes an answer for too long."""
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
            pool.silent_slots.append(connection.expires_at + LIFE_MARGIN)
        self._pooling.closer.close_and_notify(pool, connection, "silent")
        self.check_older_idle(pool, silent_since)
        self._pooling.granting.dispatch(pool)

    def on_check_timeout(self, pool: EndpointPool, number: int) -> None:
        """Close a connection whose endpoint answers elsewhere, wait on otherwise.

        An endpoint that stands still, or is cut off, answers nowhere. Its connections
        are sound once it goes on, and to open them all anew would be a storm.
        """
        connection = self._connections.get(number)
        if connection is None:
            return
        heard_at = pool.endpoint.last_reply_at
        since = self.now - CHECK_TIMEOUT
        stalled = float("-inf") < heard_at < since
        if stalled and self.now < connection.expires_at:
            pool.internal_in_flight.add(number)
        else:
            self.close_silent(pool, number)

    def check_older_idle(self, pool: EndpointPool, since: float) -> None:
        """Have idle connections prove themselves that last did so before `since`.

        Whatever made one connection silent has likely hit those of the same age; each
        would cost a request its whole wait. Younger ones serve meanwhile.
        """
        for idle in (pool.idle, pool.idle_borrowed):
            for connection in list(idle.values()):
                if connection.last_used_at <= since:
                    del idle[connection.number]
                    self._check(pool, connection)
