"""Tell a slow statement from a silent connection while a call is in flight.

A keep-alive goes out beside the call. Its sequence is of a range of its own, so that
neither answer can be taken for the other.
"""

from __future__ import annotations

from mallowpass.core.calls import EndpointReply, KeepAliveCall
from mallowpass.core.effects import SendEndpoint
from mallowpass.core.systems.connections import EndpointPool, Proof
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow

__all__ = ["FIRST_PROOF", "Proving"]

FIRST_PROOF = 1 << 62  # calls that requests wait for have sequences below this
REPEATED = 1.0  # seconds for which an answered keep-alive counts, at least
CHECKS_PER_LIFE = 3  # on borrowed connections, in their time to live


class Proving(PoolPart):
    """Have connections prove themselves beside the call that they owe an answer to."""

    __slots__ = ()

    # -- For the request path --------------------------------------------------

    def answers(self, connection: ConnectionRow, within: float) -> bool:
        """Tell whether a connection answers beside its call; ask it if need be.

        False when a keep-alive is unanswered for `within` seconds. Where the endpoint
        can't be asked, statements of patient classes are taken for slow, not silent.
        """
        pool = self._pooling.by_address[connection.address]
        if not self._is_able(pool):
            return self._is_patient(pool, connection)
        number = connection.number
        if number not in pool.answering:
            return True
        proof = self._proof(pool, number)
        if not proof.outstanding and proof.asked_at + REPEATED <= self.now:
            self._ask(pool, connection, proof)
        return not proof.outstanding or self.now < proof.asked_at + within

    # -- When a call is not answered -------------------------------------------

    def overdue(self, pool: EndpointPool, number: int) -> None:
        """Ask a connection that owes an answer for half of the silence."""
        connection = self._connections.get(number)
        if connection is None:
            return
        pool.answering.add(number)  # its call is in flight as before
        if number in pool.late:
            return
        pool.late.add(number)
        proof = self._proof(pool, number)
        if self._is_able(pool) and not proof.outstanding:
            self._ask(pool, connection, proof)

    def still_late(self, pool: EndpointPool, number: int) -> None:
        """Give up a connection that did not prove itself in the other half."""
        connection = self._connections.get(number)
        if connection is None or number not in pool.answering:
            return
        if not self._is_able(pool) and self._is_patient(pool, connection):
            return
        if self._proof(pool, number).answered:
            # Nobody waits for its statement, which only the closing may end.
            self._pooling.closing.lose(pool, connection, "given-up")
            self._pooling.granting.pump(pool)
        else:
            self._pooling.keepalive.went_silent(pool, number)

    def on_reply(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        """Take the answer to a keep-alive that was sent beside a call."""
        number = connection.number
        proof = pool.proofs.get(number)
        if proof is None or proof.sequence != reply.sequence:
            self._pooling.drop("late-keep-alive")
            return
        proof.answered = True
        if connection.request or connection.transaction:
            pool.late.remove(number)
        else:
            # Its call was given up, and is not waited for, however well it is.
            pool.checking.remove(number)

    def forget(self, pool: EndpointPool, number: int) -> None:
        """Let go of a call that was answered, or whose connection is gone."""
        pool.proofs.pop(number, None)
        pool.late.remove(number)

    # -- Borrowed connections --------------------------------------------------

    def keep_borrowed(self, pool: EndpointPool) -> None:
        """Prolong the short life of borrowed connections with a long statement."""
        if not self._is_able(pool):
            return
        for loan in pool.borrowed.values():
            for number in loan.numbers:
                if number in pool.answering:
                    self._keep(pool, self._connections[number])

    def _keep(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        life = self._pooling.loans.life(connection.loan)
        called_at = connection.expires_at - life
        proof = self._proof(pool, connection.number)
        due = called_at + life / CHECKS_PER_LIFE <= self.now
        if due and not proof.outstanding:
            self._ask(pool, connection, proof)

    # -- Asking ----------------------------------------------------------------

    def _ask(self, pool: EndpointPool, connection: ConnectionRow, proof: Proof) -> None:
        now = self.now
        # A host that was paused does not prolong what the endpoint may have closed.
        if connection.expires_at <= now:
            return
        expires = self._pooling.expiry(pool, connection, now)
        if expires <= now:
            return
        connection.expires_at = expires
        proof.sequence = FIRST_PROOF + self._node.next_number()
        proof.asked_at = now
        proof.answered = False
        self._node.emit(
            SendEndpoint(connection.number, proof.sequence, KeepAliveCall())
        )

    def _proof(self, pool: EndpointPool, number: int) -> Proof:
        proof = pool.proofs.get(number)
        if proof is None:
            proof = pool.proofs[number] = Proof()
        return proof

    def _is_able(self, pool: EndpointPool) -> bool:
        report = pool.endpoint.report
        return report is not None and report.keep_alive_while_busy

    def _is_patient(self, pool: EndpointPool, connection: ConnectionRow) -> bool:
        request = self.tables.requests.get(connection.request)
        return request is not None and request.request_class in pool.patient
