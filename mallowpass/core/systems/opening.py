"""Open connections on demand, few at a time, with backoff after refusals."""

from __future__ import annotations

from mallowpass.core.effects import CloseConnection, OpenConnection
from mallowpass.core.events import ConnectionOpened, ConnectionRefused
from mallowpass.core.systems.connections import EndpointPool
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow, ConnectionState
from mallowpass.errors import ErrorCode

__all__ = ["OPENING_GRACE", "Opener"]

OPENING_MAX = 2  # connections to one endpoint that are being opened at the same time
# Seconds after its timeout within which an attempt to connect may still report.
OPENING_GRACE = 1.0
# Seconds between attempts to connect, before jitter; doubled with each failure.
BACKOFF_MIN = 0.05
BACKOFF_MAX = 2.0
BACKOFF_EXPONENT_MAX = 10
# Seconds until one more connection is allowed after an endpoint has refused one
# because of its limit.
LIMIT_BACKOFF = 2.0


class Opener(PoolPart):
    """Decide when a connection is opened, and whether in the own share or a loan."""

    __slots__ = ()

    def open_for_queue(self, pool: EndpointPool) -> None:
        """Open connections for queued requests, or request a loan of slots."""
        now = self.now
        if pool.endpoint.is_leaving or now < pool.retry_at:
            return
        if pool.active_count >= pool.statement_limit:
            return
        pool.drop_expired_slots(now)
        wanted = len(pool.queue) - len(pool.opening)
        wanted = min(wanted, OPENING_MAX - len(pool.opening))
        while wanted > 0:
            loan = self._find_slot(pool)
            if loan is None:
                self._request_loan(pool)
                return
            self._open(pool, loan)
            wanted -= 1

    def open_spare(self, pool: EndpointPool) -> None:
        """Open a spare connection for the next request when none is idle.

        Only in the part of the own share that is never lent: where connections are
        scarce, the need of another host for the slot outweighs the time to connect that
        the next request would save.
        """
        if pool.opening.entries or self._pooling.is_draining:
            return
        if pool.active_count >= pool.statement_limit:
            return
        if pool.endpoint.is_leaving or self.now < pool.retry_at:
            return
        kept = min(pool.usable_share, pool.own_share - pool.lendable_share)
        if pool.own_count < kept and not pool.unresponsive_slots:
            self._open(pool, "")

    def on_opened(self, event: ConnectionOpened) -> None:
        """Add a connection that has been opened to the idle ones."""
        connection = self._connections.get(event.connection)
        if connection is None:
            self._node.emit(CloseConnection(event.connection))
            return
        pool = self._pooling.by_address[connection.address]
        if pool.opening.remove(connection.number) is None:
            return
        pool.backoff_exponent = 0
        now = self.now
        connection.expires_at = self._pooling.expiry(
            pool, connection, connection.opened_at
        )
        connection.opened_at = connection.last_used_at = now
        self._node.count("connections_opened")
        self._pooling.make_idle(pool, connection)
        self._pooling.granting.dispatch(pool)

    def on_refused(self, event: ConnectionRefused) -> None:
        """Remove a connection that could not be opened, and back off."""
        connection = self._connections.get(event.connection)
        if connection is None:
            return
        pool = self._pooling.by_address[connection.address]
        self._pooling.closer.remove(pool, connection)
        self._node.count("connections_refused", address=pool.address)
        if event.limit_reached:
            self._lower_open_limit(pool)
        self._back_off(pool, event.message)

    def on_timeout(self, pool: EndpointPool, number: int) -> None:
        """Close a connection whose opening was neither confirmed nor refused."""
        connection = self._connections.get(number)
        if connection is not None:
            self._pooling.closer.close(pool, connection)
            self._back_off(pool, "no answer within the timeout")

    def openable_count(self, pool: EndpointPool) -> int:
        """Return how many more connections could be opened now."""
        now = self.now
        if pool.endpoint.is_leaving or now < pool.retry_at:
            return 0
        own = pool.usable_share - pool.own_count - self._unresponsive_slot_count(pool)
        borrowed = sum(
            max(0, loan.connections - len(loan.numbers))
            for loan in pool.borrowed.values()
            if now <= loan.open_until
        )
        return max(0, own) + borrowed

    def _request_loan(self, pool: EndpointPool) -> None:
        # Patient classes get borrowed connections only if this host has no own share.
        if not pool.usable_share or pool.queue.has_waiting_outside(
            pool.patient_classes
        ):
            self._pooling.loans.request_loan(pool)

    def _find_slot(self, pool: EndpointPool) -> str | None:
        """Return the loan for a new connection: "" for the own share, None if full."""
        if pool.own_count + self._unresponsive_slot_count(pool) < pool.usable_share:
            return ""
        for loan in pool.borrowed.values():
            if len(loan.numbers) < loan.connections and self.now <= loan.open_until:
                return loan.loan
        return None

    def _unresponsive_slot_count(self, pool: EndpointPool) -> int:
        """Return how many unresponsive connections the endpoint may still count.

        Replacing them could take slots of other hosts. They no longer matter once the
        endpoint's report shows fewer connections than its limit.
        """
        if not pool.unresponsive_slots:
            return 0
        report = pool.endpoint.report
        if report is None or not report.connection_limit:
            return len(pool.unresponsive_slots)
        room = report.connection_limit - report.connections - len(pool.opening)
        return 0 if room > 0 else len(pool.unresponsive_slots)

    def _open(self, pool: EndpointPool, loan: str) -> None:
        node = self._node
        number = node.next_number()
        now = self.now
        time_to_live, timeout = self._pooling.loans.connection_timing(loan)
        connection = ConnectionRow(
            number, pool.address, ConnectionState.OPENING, now, now, loan=loan
        )
        connection.expires_at = now + self._pooling.lifetime
        self._connections[number] = connection
        pool.connections[number] = connection
        if loan:
            pool.borrowed[loan].numbers.add(number)
        pool.opening.add(number)
        node.emit(
            OpenConnection(
                number, pool.address, node.identity.name, time_to_live, timeout
            )
        )

    def _lower_open_limit(self, pool: EndpointPool) -> None:
        """Use no more connections than now for a while: the endpoint is at its limit.

        A host exceeds its share, or the connections of a failed host have not
        expired yet. Further attempts would take slots that belong to other hosts.
        """
        if pool.open_limit is None:
            delay = LIMIT_BACKOFF * (0.5 + self._node.random.random())
            self.timers.after(delay, self._raise_open_limit, pool)
        pool.open_limit = pool.own_count
        self._node.record_decision(
            "share", pool.address, f"endpoint is full, {pool.open_limit} kept"
        )

    def _raise_open_limit(self, pool: EndpointPool) -> None:
        if pool.open_limit is None:
            return
        pool.open_limit += 1
        if pool.open_limit >= pool.own_share:
            pool.open_limit = None
        else:
            self.timers.after(LIMIT_BACKOFF, self._raise_open_limit, pool)
        self._pooling.granting.dispatch(pool)

    def _back_off(self, pool: EndpointPool, why: str) -> None:
        delay = min(BACKOFF_MAX, BACKOFF_MIN * 2**pool.backoff_exponent)
        pool.backoff_exponent = min(pool.backoff_exponent + 1, BACKOFF_EXPONENT_MAX)
        delay *= 0.5 + self._node.random.random()
        pool.retry_at = self.now + delay
        if pool.retry_timer is None:
            pool.retry_timer = self.timers.at(pool.retry_at, self._on_retry_due, pool)
        # No connection is open and none can be opened: route the requests elsewhere.
        if not pool.connections:
            text = f"cannot connect to {pool.address}: {why}"
            self._pooling.granting.refuse_all(
                pool, ErrorCode.CONNECTION_LOST, text, delay
            )

    def _on_retry_due(self, pool: EndpointPool) -> None:
        pool.retry_timer = None
        self._pooling.granting.dispatch(pool)
