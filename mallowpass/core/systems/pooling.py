"""Give requests connections to endpoints, and take the connections back.

One statement is acquire, send, reply, release. A connection has one user at a
time, from the grant to the release; a reply reaches that user only if its number
and sequence are those of the call in flight.
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
from mallowpass.core.systems.connections import LIFE_MARGIN, EndpointPool
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

    The path of a statement is here. Its parts open connections, grant them to
    waiting requests, keep them alive and follow changes.
    """

    __slots__ = (
        "_connections",
        "_rows",
        "admission",
        "by_address",
        "changes",
        "closer",
        "draining",
        "granting",
        "keepalive",
        "lifetime",
        "loans",
        "opener",
        "busy_checks",
        "requests",
        "transactions",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._connections = node.tables.connections
        self._rows = node.tables.requests
        self.by_address: dict[str, EndpointPool] = {}
        self.draining = False
        self.lifetime = node.tuning.connection_time_to_live - LIFE_MARGIN
        self.opener = Opener(node, self)
        self.granting = Granting(node, self)
        self.keepalive = KeepAlive(node, self)
        self.busy_checks = BusyChecks(node, self)
        self.changes = PoolChanges(node, self)
        self.closer = Closer(node, self)

    def start(self) -> None:
        """Subscribe to what concerns connections."""
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
        """Close all connections; the host leaves."""
        for pool in self.by_address.values():
            for connection in list(pool.connections.values()):
                self.closer.close(pool, connection)

    # -- For the request path --------------------------------------------------

    def acquire(self, request: RequestRow, endpoint: EndpointRow) -> None:
        """Grant a connection now, or queue the request until one is free.

        Requests.on_connection_granted or Requests.on_refused follows, perhaps before
        this returns.
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
        """Send a call on a connection that was granted or pinned; return its sequence.

        Name the request when it is another than the one that acquired, as within a
        transaction. A call on a connection that is gone, or that expired while the
        host stood still, is not sent: Requests.on_connection_lost follows.
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
            # One call at a time: an endpoint may refuse the second as out of order.
            earlier = pool.deferred_calls.get(number)
            in_flight = sequence - 1 if earlier is None else earlier[0]
            pool.deferred_calls[number] = (in_flight, sequence, call)
            return sequence
        self.transmit(pool, connection, sequence, call)
        return sequence

    def release(self, connection: ConnectionRow, reset: bool = False) -> None:
        """Take a connection back; `reset` when its user left state on it."""
        number = connection.number
        if number not in self._connections:
            return
        pool = self.by_address[connection.address]
        if number in pool.in_flight.entries or number in pool.internal_calls:
            self.keepalive.abandon(pool, connection)
            return
        if pool.queue.entries:
            self.granting.learn_cost(pool, connection)
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
        """Keep a granted connection for a transaction until it is released."""
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
        """Give up a request's place in the queue, or its connection."""
        pool = self.by_address.get(request.address)
        if pool is not None and pool.queue.cancel(request.number):
            return
        connection = self._connections.get(request.connection)
        if connection is None or connection.request != request.number:
            return
        if connection.transaction:
            # The transaction goes on; only this answer has nobody to go to.
            connection.request = 0
        else:
            self.release(connection)

    def discard(self, connection: ConnectionRow, why: str) -> None:
        """Close a connection that must not be used again."""
        if connection.number not in self._connections:
            return
        pool = self.by_address[connection.address]
        self._node.count("connections_discarded", reason=why)
        self.closer.close(pool, connection)
        self.granting.dispatch(pool)

    def is_responsive(self, connection: ConnectionRow, within: float) -> bool:
        """Tell whether a connection answers beside its call; ask it if need be.

        False once a keep-alive is unanswered for `within` seconds.
        """
        return self.busy_checks.is_responsive(connection, within)

    def check_older_idle(self, connection: ConnectionRow) -> None:
        """Have idle connections prove themselves that may be as silent as this one."""
        pool = self.by_address[connection.address]
        self.keepalive.check_older_idle(pool, connection.last_call_at)
        self.granting.dispatch(pool)

    def close_silent(self, connection: ConnectionRow) -> None:
        """Close a connection that seems silent, and have others prove themselves."""
        pool = self.by_address[connection.address]
        self.keepalive.close_silent(pool, connection.number)

    def is_patient(self, request: RequestRow) -> bool:
        """Tell whether a request's class is a patient one."""
        pool = self.by_address.get(request.address)
        return pool is not None and request.request_class in pool.patient_classes

    def share(self, endpoint: EndpointRow) -> int:
        """Return how many connections this host may have to an endpoint now."""
        pool = self.by_address.get(endpoint.address)
        if pool is None:
            pool = self.changes.create_pool(endpoint)
        return pool.share

    def queued_count(self, database_key: str) -> int:
        """Return how many requests wait for a database's endpoints."""
        database = self.tables.databases.get(database_key)
        if database is None:
            return 0
        pools = map(self.by_address.get, database.endpoints)
        return sum(len(pool.queue) for pool in pools if pool is not None)

    def queued_count_of_service(self, service: str) -> int:
        """Return how many requests wait for a service's endpoints."""
        return self.changes.queued_count_of_service(service)

    # -- For loans and admission -----------------------------------------------

    def get_or_create_pool(self, address: str) -> EndpointPool | None:
        """Return an endpoint's pool, made if the endpoint is known."""
        pool = self.by_address.get(address)
        if pool is None:
            endpoint = self.tables.endpoints.get(address)
            pool = None if endpoint is None else self.changes.create_pool(endpoint)
        return pool

    def pools(self) -> list[EndpointPool]:
        """Return all pools."""
        return list(self.by_address.values())

    def find_pool(self, address: str) -> EndpointPool | None:
        """Return an endpoint's pool if there is one."""
        return self.by_address.get(address)

    def close_idle(self, pool: EndpointPool, places: int) -> None:
        """Close idle connections so that `places` of the own share come free."""
        for connection in list(pool.idle.values())[: max(0, places)]:
            self.closer.close(pool, connection)

    def close_borrowed(self, pool: EndpointPool, number: int, force: bool) -> None:
        """Close a connection whose loan ends; a busy one only by force."""
        connection = self._connections.get(number)
        if connection is None:
            return
        if not connection.request and not connection.transaction:
            self.closer.close(pool, connection)
        elif force:
            self.closer.close_and_notify(pool, connection, "loan ended")

    def dispatch(self, pool: EndpointPool) -> None:
        """Grant what can be granted and open what is needed."""
        self.granting.dispatch(pool)

    def maintain_borrowed(self, pool: EndpointPool) -> None:
        """Close borrowed connections that stood idle; keep those in use alive."""
        self.keepalive.maintain_borrowed(pool)
        self.busy_checks.extend_borrowed(pool)

    # -- From idle to busy and back --------------------------------------------

    def take_idle(self, pool: EndpointPool) -> ConnectionRow | None:
        """Take the connection that was used last: it proved itself last."""
        now = self.now
        for idle in (pool.idle, pool.idle_borrowed):
            while idle:
                connection = idle.popitem()[1]
                # A host that was paused wakes with connections that the endpoint has
                # closed, and given to others, meanwhile.
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
        """Give a connection to a request."""
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
        """Keep a connection for the next request, unless it is one too many."""
        now = self._node.timers.now
        connection.state = _IDLE
        if connection.expires_at <= now or self.is_surplus(pool, connection):
            self.closer.close(pool, connection)
            return
        self.put_idle(pool, connection)
        if pool.check_timer is None:
            self.keepalive.schedule_check(pool)

    def put_idle(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Put a connection where it is taken from first."""
        idle = pool.idle_borrowed if connection.loan else pool.idle
        idle[connection.number] = connection

    def is_surplus(self, pool: EndpointPool, connection: ConnectionRow) -> bool:
        """Tell whether a connection is to be closed once it is free."""
        if pool.endpoint.is_leaving or (self.draining and not pool.queue):
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
        """Send a call now, if the connection may still be used."""
        number = connection.number
        node = self._node
        now = node.timers.now
        known = number in self._connections
        if connection.expires_at <= now or not known:
            # Told later: the caller of send still has to note that it sent.
            self.timers.at(now, self.closer.on_unsent, pool, connection, known)
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
        """Return until when a connection may be used after a call at `now`."""
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
        self._hand_on(pool, connection, reply)

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
            # Refusals come quickly: taken for statements, they would make the first
            # real ones look like contention.
            pool.concurrency.record(
                now, now - connection.last_call_at, pool.active_count
            )

    def _hand_on(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        request = self._rows.get(connection.request)
        if reply.last and connection.transaction:
            self._rest_pinned(pool, connection)
        if request is None:
            self.count_dropped_reply("request-gone")
            if reply.last and not connection.transaction:
                self.release(connection, reset=True)
            return
        self.requests.on_reply(request, connection, reply)

    def _rest_pinned(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        connection.state = _PINNED
        connection.request = 0
        pool.active_count -= 1
        pool.pinned[connection.number] = connection
        if pool.check_timer is None:
            self.keepalive.schedule_check(pool)

    def count_dropped_reply(self, reason: str) -> None:
        """Count a reply that goes to nobody."""
        self._node.count("replies_dropped", reason=reason)
