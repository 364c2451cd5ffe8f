"""Tell a slow statement from a silent connection while a call is in flight.

A keep-alive goes out beside the call. Its sequence is of a range of its own, so that
neither answer can be taken for the other.
"""

from __future__ import annotations

from mallowpass.core.calls import EndpointReply, KeepAliveCall
from mallowpass.core.effects import SendEndpoint
from mallowpass.core.systems.connections import BusyKeepAlive, EndpointPool
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow

__all__ = ["FIRST_BUSY_SEQUENCE", "BusyChecks"]

FIRST_BUSY_SEQUENCE = 1 << 62  # calls that requests wait for have sequences below this
REPEATED = 1.0  # seconds for which an answered keep-alive counts, at least
CHECKS_PER_LIFE = 3  # on borrowed connections, in their time to live


class BusyChecks(PoolPart):
    """Have connections prove themselves beside the call that they owe an answer to."""

    __slots__ = ()

    # -- For the request path --------------------------------------------------

    def is_responsive(self, connection: ConnectionRow, within: float) -> bool:
        """Tell whether a connection answers beside its call; ask it if need be.

        False when a keep-alive is unanswered for `within` seconds. Where the endpoint
        can't be asked, statements of patient classes are taken for slow, not silent.
        """
        pool = self._pooling.by_address[connection.address]
        if not self._is_able(pool):
            return self._is_patient(pool, connection)
        number = connection.number
        if number not in pool.in_flight:
            return True
        proof = self._proof(pool, number)
        if not proof.is_outstanding and proof.asked_at + REPEATED <= self.now:
            self._ask(pool, connection, proof)
        return not proof.is_outstanding or self.now < proof.asked_at + within

    # -- When a call is not answered -------------------------------------------

    def on_overdue(self, pool: EndpointPool, number: int) -> None:
        """Ask a connection that owes an answer for half of the silence."""
        connection = self._connections.get(number)
        if connection is None:
            return
        pool.in_flight.add(number)  # its call is in flight as before
        if number in pool.overdue:
            return
        pool.overdue.add(number)
        proof = self._proof(pool, number)
        if self._is_able(pool) and not proof.is_outstanding:
            self._ask(pool, connection, proof)

    def on_still_overdue(self, pool: EndpointPool, number: int) -> None:
        """Give up a connection that did not prove itself in the other half."""
        connection = self._connections.get(number)
        if connection is None or number not in pool.in_flight:
            return
        if not self._is_able(pool) and self._is_patient(pool, connection):
            return
        if self._proof(pool, number).answered:
            # Nobody waits for its statement, which only the closing may end.
            self._pooling.closer.close_and_notify(pool, connection, "given-up")
            self._pooling.granting.dispatch(pool)
        else:
            self._pooling.keepalive.close_silent(pool, number)

    def on_reply(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Take the answer to a keep-alive that was sent beside a call."""
        number = connection.number
        proof = pool.busy_keep_alives.get(number)
        if proof is None or proof.sequence != reply.sequence:
            self._pooling.count_dropped_reply("late-keep-alive")
            return
        proof.answered = True
        if connection.request or connection.transaction:
            pool.overdue.remove(number)
        else:
            # Its call was given up, and is not waited for, however well it is.
            pool.internal_in_flight.remove(number)

    def discard(self, pool: EndpointPool, number: int) -> None:
        """Let go of a call that was answered, or whose connection is gone."""
        pool.busy_keep_alives.pop(number, None)
        pool.overdue.remove(number)

    # -- Borrowed connections --------------------------------------------------

    def extend_borrowed(self, pool: EndpointPool) -> None:
        """Prolong the short life of borrowed connections with a long statement."""
        if not self._is_able(pool):
            return
        for loan in pool.borrowed.values():
            for number in loan.numbers:
                if number in pool.in_flight:
                    self._keep(pool, self._connections[number])

    def _keep(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        life = self._pooling.loans.usable_time(connection.loan)
        called_at = connection.expires_at - life
        proof = self._proof(pool, connection.number)
        due = called_at + life / CHECKS_PER_LIFE <= self.now
        if due and not proof.is_outstanding:
            self._ask(pool, connection, proof)

    # -- Asking ----------------------------------------------------------------

    def _ask(
        self, pool: EndpointPool, connection: ConnectionRow, proof: BusyKeepAlive
    ) -> None:
        now = self.now
        # A host that was paused does not prolong what the endpoint may have closed.
        if connection.expires_at <= now:
            return
        expires = self._pooling.expiry(pool, connection, now)
        if expires <= now:
            return
        connection.expires_at = expires
        proof.sequence = FIRST_BUSY_SEQUENCE + self._node.next_number()
        proof.asked_at = now
        proof.answered = False
        self._node.emit(
            SendEndpoint(connection.number, proof.sequence, KeepAliveCall())
        )

    def _proof(self, pool: EndpointPool, number: int) -> BusyKeepAlive:
        proof = pool.busy_keep_alives.get(number)
        if proof is None:
            proof = pool.busy_keep_alives[number] = BusyKeepAlive()
        return proof

    def _is_able(self, pool: EndpointPool) -> bool:
        report = pool.endpoint.report
        return report is not None and report.keep_alive_while_busy

    def _is_patient(self, pool: EndpointPool, connection: ConnectionRow) -> bool:
        request = self.tables.requests.get(connection.request)
        return request is not None and request.request_class in pool.patient_classes
