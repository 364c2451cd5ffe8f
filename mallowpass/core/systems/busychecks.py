"""Keep-alives on busy connections: is a statement slow, or its connection dead?

A keep-alive is sent while the connection has a call in flight. Its sequence number is
from a separate range, so that its answer is not mistaken for the call's.
"""

from __future__ import annotations

from mallowpass.core.calls import EndpointReply, KeepAliveCall
from mallowpass.core.effects import SendEndpoint
from mallowpass.core.systems.connections import BusyKeepAlive, EndpointPool
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow

__all__ = ["FIRST_BUSY_SEQUENCE", "BusyChecks"]

FIRST_BUSY_SEQUENCE = 1 << 62  # sequences of all other calls are below this
RECHECK_INTERVAL = 1.0  # seconds for which an answered keep-alive counts, at least
CHECKS_PER_LIFE = 3  # on borrowed connections, within their usable time


class BusyChecks(PoolPart):
    """Check connections with a call in flight by sending keep-alives on them."""

    __slots__ = ()

    # -- For the request path --------------------------------------------------

    def is_responsive(self, connection: ConnectionRow, within: float) -> bool:
        """Return whether a busy connection answers; send a keep-alive if necessary.

        Return False if a keep-alive is unanswered for `within` seconds. If the endpoint
        does not support keep-alives on busy connections, a statement of a patient class
        is assumed to be slow, and the connection of any other to be unresponsive.
        """
        pool = self._pooling.by_address[connection.address]
        if not self._is_supported(pool):
            return self._is_patient(pool, connection)
        number = connection.number
        if number not in pool.in_flight:
            return True
        keep_alive = self._keep_alive_of(pool, number)
        if (
            not keep_alive.is_outstanding
            and keep_alive.sent_at + RECHECK_INTERVAL <= self.now
        ):
            self._send(pool, connection, keep_alive)
        return not keep_alive.is_outstanding or self.now < keep_alive.sent_at + within

    # -- When a call is not answered -------------------------------------------

    def on_overdue(self, pool: EndpointPool, number: int) -> None:
        """Check a connection whose call is unanswered for half of `Tuning.silence`."""
        connection = self._connections.get(number)
        if connection is None:
            return
        pool.in_flight.add(number)  # the call is still in flight
        if number in pool.overdue:
            return
        pool.overdue.add(number)
        keep_alive = self._keep_alive_of(pool, number)
        if self._is_supported(pool) and not keep_alive.is_outstanding:
            self._send(pool, connection, keep_alive)

    def on_still_overdue(self, pool: EndpointPool, number: int) -> None:
        """Close a connection that did not answer within the other half either."""
        connection = self._connections.get(number)
        if connection is None or number not in pool.in_flight:
            return
        if not self._is_supported(pool) and self._is_patient(pool, connection):
            return
        if self._keep_alive_of(pool, number).answered:
            # No request waits for the statement any more, and only closing the
            # connection can end it.
            self._pooling.closer.close_and_notify(pool, connection, "given-up")
            self._pooling.granting.dispatch(pool)
        else:
            self._pooling.keepalive.close_unresponsive(pool, number)

    def on_reply(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Process the answer to a keep-alive on a busy connection."""
        number = connection.number
        keep_alive = pool.busy_keep_alives.get(number)
        if keep_alive is None or keep_alive.sequence != reply.sequence:
            self._pooling.count_dropped_reply("late-keep-alive")
            return
        keep_alive.answered = True
        if connection.request or connection.transaction:
            pool.overdue.remove(number)
        else:
            # The request was given up. That the connection answers is no reason to
            # wait for its statement.
            pool.internal_in_flight.remove(number)

    def discard(self, pool: EndpointPool, number: int) -> None:
        """Discard the state of a call that was answered or whose connection closed."""
        pool.busy_keep_alives.pop(number, None)
        pool.overdue.remove(number)

    # -- Borrowed connections --------------------------------------------------

    def extend_borrowed(self, pool: EndpointPool) -> None:
        """Extend the usable time of borrowed connections that run a slow statement."""
        if not self._is_supported(pool):
            return
        for loan in pool.borrowed.values():
            for number in loan.numbers:
                if number in pool.in_flight:
                    self._extend(pool, self._connections[number])

    def _extend(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        usable_time = self._pooling.loans.usable_time(connection.loan)
        last_call_at = connection.expires_at - usable_time
        keep_alive = self._keep_alive_of(pool, connection.number)
        is_due = last_call_at + usable_time / CHECKS_PER_LIFE <= self.now
        if is_due and not keep_alive.is_outstanding:
            self._send(pool, connection, keep_alive)

    # -- Keep-alives -----------------------------------------------------------

    def _send(
        self, pool: EndpointPool, connection: ConnectionRow, keep_alive: BusyKeepAlive
    ) -> None:
        now = self.now
        # After a pause of this host, the endpoint may have closed the connection, so a
        # connection that has expired is not extended.
        if connection.expires_at <= now:
            return
        expires_at = self._pooling.expiry(pool, connection, now)
        if expires_at <= now:
            return
        connection.expires_at = expires_at
        keep_alive.sequence = FIRST_BUSY_SEQUENCE + self._node.next_number()
        keep_alive.sent_at = now
        keep_alive.answered = False
        self._node.emit(
            SendEndpoint(connection.number, keep_alive.sequence, KeepAliveCall())
        )

    def _keep_alive_of(self, pool: EndpointPool, number: int) -> BusyKeepAlive:
        keep_alive = pool.busy_keep_alives.get(number)
        if keep_alive is None:
            keep_alive = pool.busy_keep_alives[number] = BusyKeepAlive()
        return keep_alive

    def _is_supported(self, pool: EndpointPool) -> bool:
        report = pool.endpoint.report
        return report is not None and report.keep_alive_while_busy

    def _is_patient(self, pool: EndpointPool, connection: ConnectionRow) -> bool:
        request = self.tables.requests.get(connection.request)
        return request is not None and request.request_class in pool.patient_classes
