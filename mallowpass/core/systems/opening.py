"""Open connections by demand, few at once, and back off from who refuses them."""

from __future__ import annotations

from mallowpass.core.effects import CloseConnection, OpenConnection
from mallowpass.core.events import ConnectionOpened, ConnectionRefused
from mallowpass.core.systems.connections import EndpointPool
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow, ConnectionState
from mallowpass.errors import ErrorCode

__all__ = ["OPENING_GRACE", "Opener"]

OPENING_MAX = 2  # connections that are being opened at once, for each endpoint
OPENING_GRACE = 1.0  # seconds after its timeout that an opening may still report
BACKOFF_MIN = 0.05
BACKOFF_MAX = 2.0
BACKOFF_STEPS = 10
LIMIT_BACKOFF = 2.0  # seconds until one more is tried after the endpoint's refusal


class Opener(PoolPart):
    """Decide when a connection is opened, and on whose share."""

    __slots__ = ()

    def open_for_queue(self, pool: EndpointPool) -> None:
        """Open what waiting requests need, or ask other hosts for places."""
        now = self.now
        if pool.endpoint.is_leaving or now < pool.retry_at:
            return
        if pool.active_count >= pool.statement_limit:
            return
        pool.drop_expired_slots(now)
        wanted = len(pool.queue) - len(pool.opening)
        wanted = min(wanted, OPENING_MAX - len(pool.opening))
        while wanted > 0:
            loan = self._place_for_one(pool)
            if loan is None:
                self._borrow(pool)
                return
            self._open(pool, loan)
            wanted -= 1

    def open_spare(self, pool: EndpointPool) -> None:
        """Open a connection for the next request while the last idle one is in use.

        Only in the part of the share that is never lent: where connections are few,
        other hosts need the place more than the next request needs its time.
        """
        if pool.opening.entries or self._pooling.draining:
            return
        if pool.active_count >= pool.statement_limit:
            return
        if pool.endpoint.is_leaving or self.now < pool.retry_at:
            return
        kept = min(pool.usable_share, pool.own_share - pool.lendable_share)
        if pool.own_count < kept and not pool.silent_slots:
            self._open(pool, "")

    def on_opened(self, event: ConnectionOpened) -> None:
        """Take a connection into use."""
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
        """Forget a connection that could not be opened, and back off."""
        connection = self._connections.get(event.connection)
        if connection is None:
            return
        pool = self._pooling.by_address[connection.address]
        self._pooling.closer.remove(pool, connection)
        self._node.count("connections_refused", address=pool.address)
        if event.limit_reached:
            self._lower_share(pool)
        self._back_off(pool, event.message)

    def on_timeout(self, pool: EndpointPool, number: int) -> None:
        """Give up an opening of which nothing was heard."""
        connection = self._connections.get(number)
        if connection is not None:
            self._pooling.closer.close(pool, connection)
            self._back_off(pool, "no answer to opening")

    def openable_count(self, pool: EndpointPool) -> int:
        """Return how many more connections could be opened now."""
        now = self.now
        if pool.endpoint.is_leaving or now < pool.retry_at:
            return 0
        own = pool.usable_share - pool.own_count - self._ghosts_in_the_way(pool)
        borrowed = sum(
            max(0, loan.connections - len(loan.numbers))
            for loan in pool.borrowed.values()
            if now <= loan.open_until
        )
        return max(0, own) + borrowed

    def _borrow(self, pool: EndpointPool) -> None:
        # Patient classes are not given borrowed connections while there are others.
        if not pool.usable_share or pool.queue.has_waiting_outside(
            pool.patient_classes
        ):
            self._pooling.loans.request_loan(pool)

    def _place_for_one(self, pool: EndpointPool) -> str | None:
        """Return the loan to open a connection under, empty for the own share."""
        if pool.own_count + self._ghosts_in_the_way(pool) < pool.usable_share:
            return ""
        for loan in pool.borrowed.values():
            if len(loan.numbers) < loan.connections and self.now <= loan.open_until:
                return loan.loan
        return None

    def _ghosts_in_the_way(self, pool: EndpointPool) -> int:
        """Return how many silent connections the endpoint may still count.

        To open others in their place could take places of other hosts. The endpoint's
        own count settles it as soon as it shows room.
        """
        if not pool.silent_slots:
            return 0
        report = pool.endpoint.report
        if report is None or not report.connection_limit:
            return len(pool.silent_slots)
        room = report.connection_limit - report.connections - len(pool.opening)
        return 0 if room > 0 else len(pool.silent_slots)

    def _open(self, pool: EndpointPool, loan: str) -> None:
        node = self._node
        number = node.next_number()
        now = self.now
        life, timeout = self._pooling.loans.connection_timing(loan)
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
            OpenConnection(number, pool.address, node.identity.name, life, timeout)
        )

    def _lower_share(self, pool: EndpointPool) -> None:
        """Use fewer connections for a while: the endpoint has no room for more.

        Some host holds more than it should, or a dead one's connections have not run
        out yet. Asking on would only take the places that others are entitled to.
        """
        if pool.open_limit is None:
            delay = LIMIT_BACKOFF * (0.5 + self._node.random.random())
            self.timers.after(delay, self._raise_share, pool)
        pool.open_limit = pool.own_count
        self._node.record_decision(
            "share", pool.address, f"endpoint is full, {pool.open_limit} kept"
        )

    def _raise_share(self, pool: EndpointPool) -> None:
        if pool.open_limit is None:
            return
        pool.open_limit += 1
        if pool.open_limit >= pool.own_share:
            pool.open_limit = None
        else:
            self.timers.after(LIMIT_BACKOFF, self._raise_share, pool)
        self._pooling.granting.dispatch(pool)

    def _back_off(self, pool: EndpointPool, why: str) -> None:
        delay = min(BACKOFF_MAX, BACKOFF_MIN * 2**pool.backoff_exponent)
        pool.backoff_exponent = min(pool.backoff_exponent + 1, BACKOFF_STEPS)
        delay *= 0.5 + self._node.random.random()
        pool.retry_at = self.now + delay
        if pool.retry_timer is None:
            pool.retry_timer = self.timers.at(pool.retry_at, self._retry, pool)
        # Nothing is open and nothing can be: what waits here is better routed anew.
        if not pool.connections:
            text = f"cannot connect to {pool.address}: {why}"
            self._pooling.granting.refuse_all(
                pool, ErrorCode.CONNECTION_LOST, text, delay
            )

    def _retry(self, pool: EndpointPool) -> None:
        pool.retry_timer = None
        self._pooling.granting.dispatch(pool)
