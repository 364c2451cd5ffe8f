"""Pool the connections of this host to endpoints, and grant them to requests.

The life of a statement is acquire, send, reply, release. From the grant to the
release, a connection has one user. A reply is forwarded to that user only if the
connection number and the sequence of the reply are those of the call in flight.
"""

from __future__ import annotations

from mallowpass.core.calls import EndpointCall, EndpointCode, EndpointReply
from mallowpass.core.effects import SendEndpoint
from mallowpass.core.events import (
    ConnectionLost,
    ConnectionOpened,
    ConnectionRefused,
    EndpointReplied,
)
from mallowpass.core.node import Node, System
from mallowpass.core.systems import admission as admission_module
from mallowpass.core.systems import loans as loans_module
from mallowpass.core.systems import requests as requests_module
from mallowpass.core.systems import transactions as transactions_module
from mallowpass.core.systems.busychecks import FIRST_BUSY_SEQUENCE, BusyChecks
from mallowpass.core.systems.closing import Closer
from mallowpass.core.systems.connections import LIFETIME_MARGIN, EndpointPool
from mallowpass.core.systems.granting import Granting
from mallowpass.core.systems.keepalive import KeepAlive
from mallowpass.core.systems.opening import Opener
from mallowpass.core.systems.poolchanges import PoolChanges
from mallowpass.core.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    RequestRow,
)

__all__ = ["Pooling"]

_BUSY = ConnectionState.BUSY
_IDLE = ConnectionState.IDLE
_PINNED = ConnectionState.PINNED


class Pooling(System):
    """Own the connections of this host and the requests that wait for them.

    This class implements the path of a statement. Its parts open connections, grant
    connections to queued requests, send keep-alives and apply changes of services.
    """

    __slots__ = (
        "_connections",
        "_request_rows",
        "admission",
        "busy_checks",
        "by_address",
        "changes",
        "closer",
        "granting",
        "is_draining",
        "keepalive",
        "lifetime",
        "loans",
        "opener",
        "requests",
        "transactions",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._connections = node.tables.connections
        self._request_rows = node.tables.requests
        self.by_address: dict[str, EndpointPool] = {}
        self.is_draining = False
        self.lifetime = node.tuning.connection_time_to_live - LIFETIME_MARGIN
        self.opener = Opener(node, self)
        self.granting = Granting(node, self)
        self.keepalive = KeepAlive(node, self)
        self.busy_checks = BusyChecks(node, self)
        self.changes = PoolChanges(node, self)
        self.closer = Closer(node, self)

    def start(self) -> None:
        """Look up the other systems, and subscribe to events of connections."""
        node = self._node
        self.requests = node.system(requests_module.Requests)
        self.transactions = node.system(transactions_module.Transactions)
        self.admission = node.system(admission_module.Admission)
        self.loans = node.system(loans_module.Loans)
        node.subscribe(EndpointReplied, self._on_replied)
        node.subscribe(ConnectionOpened, self.opener.on_opened)
        node.subscribe(ConnectionRefused, self.opener.on_refused)
        node.subscribe(ConnectionLost, self.closer.on_lost)
        self.changes.start()
        self.timers.every(
            node.tuning.connection_idle, self.keepalive.close_surplus_idle
        )

    def stop(self) -> None:
        """Close all connections before this host stops."""
        for pool in self.by_address.values():
            for connection in list(pool.connections.values()):
                self.closer.close(pool, connection)

    # -- For the request path --------------------------------------------------

    def acquire(self, request: RequestRow, endpoint: EndpointRow) -> None:
        """Grant a connection now, or queue the request until one is free.

        The outcome is reported to Requests.on_connection_granted or
        Requests.on_refused, possibly before this method returns.
        """
        pool = self.by_address.get(endpoint.member.address)
        if pool is None:
            pool = self.changes.create_pool(endpoint)
        if (
            pool.idle
            and not pool.queue.entries
            and pool.active_count < pool.statement_limit
            and request.request_class not in pool.patient_classes
            and not endpoint.is_leaving
        ):
            connection = self.take_idle(pool)
            if connection is not None:
                self.grant(pool, connection, request)
                return
        self.granting.enqueue(pool, request)

    def send(
        self,
        connection: ConnectionRow,
        call: EndpointCall,
        request: RequestRow | None = None,
    ) -> int:
        """Send a call on a granted or pinned connection, and return its sequence.

        Within a transaction, `request` is the request that the call belongs to; by
        default it is the request that acquired the connection. If the connection is
        closed, or expired while this host was paused, the call is not sent, and
        Requests.on_connection_lost is called.
        """
        number = connection.number
        pool = self.by_address[connection.address]
        if request is not None:
            connection.request = request.number
        connection.sequence = sequence = connection.sequence + 1
        if connection.state is _PINNED:
            pool.pinned.pop(number, None)
            connection.state = _BUSY
            pool.active_count += 1
        if (
            number in pool.in_flight.entries
            or number in pool.internal_in_flight.entries
        ):
            # One call at a time: an endpoint may refuse a second call as out of order.
            deferred = pool.deferred_calls.get(number)
            blocking_sequence = sequence - 1 if deferred is None else deferred[0]
            pool.deferred_calls[number] = (blocking_sequence, sequence, call)
            return sequence
        self.transmit(pool, connection, sequence, call)
        return sequence

    def release(self, connection: ConnectionRow, reset: bool = False) -> None:
        """Return a connection to the pool; `reset` if its user left state on it."""
        number = connection.number
        if number not in self._connections:
            return
        pool = self.by_address[connection.address]
        if number in pool.in_flight.entries or number in pool.internal_calls:
            self.keepalive.abandon(pool, connection)
            return
        if pool.queue.entries:
            self.granting.record_cost(pool, connection)
        if connection.state is _BUSY:
            pool.active_count -= 1
        else:
            pool.pinned.pop(number, None)
        connection.transaction = ""
        connection.request = 0
        if reset:
            self.keepalive.reset(pool, connection)
            return
        pool.record_hold_time(self._node.timers.now - connection.last_used_at)
        self.make_idle(pool, connection)
        if pool.queue.entries:
            self.granting.dispatch(pool)

    def pin(self, connection: ConnectionRow, transaction: str) -> None:
        """Reserve a granted connection for a transaction until its release."""
        pool = self.by_address[connection.address]
        connection.transaction = transaction
        if connection.number in pool.in_flight.entries or connection.state is not _BUSY:
            return
        connection.state = _PINNED
        connection.request = 0
        pool.active_count -= 1
        pool.pinned[connection.number] = connection
        self.keepalive.schedule_check(pool)
        if pool.queue.entries:
            self.granting.dispatch(pool)

    def cancel(self, request: RequestRow) -> None:
        """Remove a request from the queue, or release its connection."""
        pool = self.by_address.get(request.address)
        if pool is not None and pool.queue.cancel(request.number):
            return
        connection = self._connections.get(request.connection)
        if connection is None or connection.request != request.number:
            return
        if connection.transaction:
            # The transaction continues. Only the reply to this request is dropped.
            connection.request = 0
        else:
            self.release(connection)

    def discard(self, connection: ConnectionRow, why: str) -> None:
        """Close a connection that must not be reused."""
        if connection.number not in self._connections:
            return
        pool = self.by_address[connection.address]
        self._node.count("connections_discarded", reason=why)
        self.closer.close(pool, connection)
        self.granting.dispatch(pool)

    def is_responsive(self, connection: ConnectionRow, within: float) -> bool:
        """Return whether a connection answers keep-alives while its call is in flight.

        Sends a keep-alive if there is no recent one. False once a keep-alive has been
        unanswered for `within` seconds.
        """
        return self.busy_checks.is_responsive(connection, within)

    def check_older_idle(self, connection: ConnectionRow) -> None:
        """Check the idle connections that may be as unresponsive as this one."""
        pool = self.by_address[connection.address]
        self.keepalive.check_older_idle(pool, connection.last_call_at)
        self.granting.dispatch(pool)

    def close_unresponsive(self, connection: ConnectionRow) -> None:
        """Close an unresponsive connection, and check older idle connections."""
        pool = self.by_address[connection.address]
        self.keepalive.close_unresponsive(pool, connection.number)

    def is_patient(self, request: RequestRow) -> bool:
        """Return whether a request is of a patient class."""
        pool = self.by_address.get(request.address)
        return pool is not None and request.request_class in pool.patient_classes

    def share(self, endpoint: EndpointRow) -> int:
        """Return how many connections to an endpoint this host may have now."""
        pool = self.by_address.get(endpoint.address)
        if pool is None:
            pool = self.changes.create_pool(endpoint)
        return pool.share

    def queued_count(self, database_key: str) -> int:
        """Return how many requests are queued for the endpoints of a database."""
        database = self.tables.databases.get(database_key)
        if database is None:
            return 0
        pools = map(self.by_address.get, database.endpoints)
        return sum(len(pool.queue) for pool in pools if pool is not None)

    def queued_count_of_service(self, service: str) -> int:
        """Return how many requests are queued for the endpoints of a service."""
        return self.changes.queued_count_of_service(service)

    # -- For loans and admission -----------------------------------------------

    def get_or_create_pool(self, address: str) -> EndpointPool | None:
        """Return the pool of an endpoint; None if the endpoint is unknown."""
        pool = self.by_address.get(address)
        if pool is None:
            endpoint = self.tables.endpoints.get(address)
            pool = None if endpoint is None else self.changes.create_pool(endpoint)
        return pool

    def pools(self) -> list[EndpointPool]:
        """Return all pools."""
        return list(self.by_address.values())

    def find_pool(self, address: str) -> EndpointPool | None:
        """Return the pool of an endpoint; None if it has not been created."""
        return self.by_address.get(address)

    def close_idle(self, pool: EndpointPool, slots: int) -> None:
        """Close idle connections of the own share to free up to `slots` slots."""
        for connection in list(pool.idle.values())[: max(0, slots)]:
            self.closer.close(pool, connection)

    def close_borrowed(self, pool: EndpointPool, number: int, force: bool) -> None:
        """Close a borrowed connection; if it is in use, only with `force`."""
        connection = self._connections.get(number)
        if connection is None:
            return
        if not connection.request and not connection.transaction:
            self.closer.close(pool, connection)
        elif force:
            self.closer.close_and_notify(pool, connection, "loan ended")

    def dispatch(self, pool: EndpointPool) -> None:
        """Grant free connections to queued requests, and open more if needed."""
        self.granting.dispatch(pool)

    def maintain_borrowed(self, pool: EndpointPool) -> None:
        """Close expired idle borrowed connections, and keep the others alive."""
        self.keepalive.maintain_borrowed(pool)
        self.busy_checks.extend_borrowed(pool)

    # -- From idle to busy and back --------------------------------------------

    def take_idle(self, pool: EndpointPool) -> ConnectionRow | None:
        """Take the most recently used idle connection; None if there is none.

        The most recently used connection is the one that was last known to work.
        """
        now = self.now
        for idle in (pool.idle, pool.idle_borrowed):
            while idle:
                connection = idle.popitem()[1]
                # While this host was paused, the endpoint may have closed the
                # connection and given its slot to another host.
                if connection.expires_at <= now:
                    self.closer.close_expired(pool, connection)
                    continue
                if len(pool.idle) < pool.min_idle:
                    pool.min_idle = len(pool.idle)
                return connection
        return None

    def grant(
        self, pool: EndpointPool, connection: ConnectionRow, request: RequestRow
    ) -> None:
        """Grant a connection to a request."""
        connection.state = _BUSY
        connection.request = request.number
        connection.last_used_at = self._node.timers.now
        request.connection = connection.number
        request.address = connection.address
        pool.active_count += 1
        in_use = len(pool.connections) - len(pool.idle)
        if in_use > pool.peak_in_use:
            pool.peak_in_use = in_use
        if not pool.idle:
            self.opener.open_spare(pool)
        self.requests.on_connection_granted(request, connection)

    def make_idle(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Keep a connection for the next request, or close it if it is surplus."""
        now = self._node.timers.now
        connection.state = _IDLE
        if connection.expires_at <= now or self.is_surplus(pool, connection):
            self.closer.close(pool, connection)
            return
        self.put_idle(pool, connection)
        if pool.check_timer is None:
            self.keepalive.schedule_check(pool)

    def put_idle(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Add a connection to the idle ones as the most recently used."""
        idle = pool.idle_borrowed if connection.loan else pool.idle
        idle[connection.number] = connection

    def is_surplus(self, pool: EndpointPool, connection: ConnectionRow) -> bool:
        """Return whether a connection must be closed once it is free."""
        if pool.endpoint.is_leaving or (self.is_draining and not pool.queue):
            return True
        if connection.loan:
            loan = pool.borrowed.get(connection.loan)
            return loan is None or self.now >= loan.close_at
        return pool.own_count > pool.usable_share

    # -- Calls and replies -----------------------------------------------------

    def transmit(
        self,
        pool: EndpointPool,
        connection: ConnectionRow,
        sequence: int,
        call: EndpointCall,
    ) -> None:
        """Send a call now if the connection is open and has not expired."""
        number = connection.number
        node = self._node
        now = node.timers.now
        is_open = number in self._connections
        if connection.expires_at <= now or not is_open:
            # Reported from a timer, since the caller of send() first has to record
            # the returned sequence.
            self.timers.at(now, self.closer.on_unsent, pool, connection, is_open)
            return
        if connection.loan:
            connection.expires_at = self.expiry(pool, connection, now)
        else:
            connection.expires_at = now + self.lifetime
        connection.last_call_at = now
        pool.in_flight.add(number)
        node.emit(SendEndpoint(number, sequence, call))

    def expiry(
        self, pool: EndpointPool, connection: ConnectionRow, now: float
    ) -> float:
        """Return when a connection expires after a call at `now`."""
        if not connection.loan:
            return now + self.lifetime
        return self.loans.expiry(pool.borrowed.get(connection.loan), now)

    def _on_replied(self, event: EndpointReplied) -> None:
        connection = self._connections.get(event.connection)
        if connection is None:
            self.count_dropped_reply("unknown-connection")
            return
        reply = event.reply
        number = connection.number
        pool = self.by_address[connection.address]
        if reply.sequence >= FIRST_BUSY_SEQUENCE:
            self.busy_checks.on_reply(pool, connection, reply)
            return
        if number in pool.internal_calls or number in pool.deferred_calls:
            self.keepalive.on_internal_reply(pool, connection, reply)
            return
        if reply.sequence != connection.sequence:
            self.count_dropped_reply("wrong-sequence")
            return
        if number not in pool.in_flight.entries:
            self.count_dropped_reply("not-in-flight")
            return
        if not reply.last:
            pool.in_flight.restart(number)
            pool.overdue.remove(number)
        else:
            self._finish_call(pool, connection, reply)
        self._forward_reply(pool, connection, reply)

    def _finish_call(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        now = self._node.timers.now
        pool.in_flight.remove(connection.number)
        if pool.busy_keep_alives:
            self.busy_checks.discard(pool, connection.number)
        if reply.code is EndpointCode.BUSY:
            pool.concurrency.note_overload(pool.active_count)
        elif reply.code is EndpointCode.OK:
            # Refusals are fast: counted as statements, they would lower the baseline
            # latency, and the first real statements would look like contention.
            pool.concurrency.record(
                now, now - connection.last_call_at, pool.active_count
            )

    def _forward_reply(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        request = self._request_rows.get(connection.request)
        if reply.last and connection.transaction:
            self._pin_idle(pool, connection)
        if request is None:
            self.count_dropped_reply("request-gone")
            if reply.last and not connection.transaction:
                self.release(connection, reset=True)
            return
        self.requests.on_reply(request, connection, reply)

    def _pin_idle(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        connection.state = _PINNED
        connection.request = 0
        pool.active_count -= 1
        pool.pinned[connection.number] = connection
        if pool.check_timer is None:
            self.keepalive.schedule_check(pool)

    def count_dropped_reply(self, reason: str) -> None:
        """Count a reply that is not forwarded to any request."""
        self._node.count("replies_dropped", reason=reason)
