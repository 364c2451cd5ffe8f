"""Give requests connections to endpoints, and take the connections back.

One statement is acquire, send, reply, release. A connection has one user at a
time, from the grant to the release; a reply reaches that user only if its number
and sequence are those of the call in flight.
"""

from __future__ import annotations

from functools import partial

from mallowpass.core.calls import (
    Access,
    EndpointCall,
    EndpointCode,
    EndpointReply,
    KeepAliveCall,
    ResetCall,
)
from mallowpass.core.effects import CloseConnection, OpenConnection, SendEndpoint
from mallowpass.core.events import (
    ConnectionLost,
    ConnectionOpened,
    ConnectionRefused,
    EndpointReplied,
)
from mallowpass.core.node import Node, System
from mallowpass.core.signals import (
    DatabaseChanged,
    DatabaseRemoved,
    DrainBegan,
    EndpointStateChanged,
    PrimaryChanged,
    ServiceAccepted,
)
from mallowpass.core.systems import admission as admission_module
from mallowpass.core.systems import loans as loans_module
from mallowpass.core.systems.connections import LIFE_MARGIN, EndpointPool, Watchdog
from mallowpass.core.systems.shares import lendable, static_share
from mallowpass.core.systems.waitqueue import Tally
from mallowpass.core.tables import (
    ConnectionRow,
    ConnectionState,
    DatabaseRow,
    EndpointRow,
    RequestRow,
)
from mallowpass.errors import ErrorCode

__all__ = ["Pooling"]

OPENING_MAX = 2  # connections that are being opened at once, for each endpoint
OPENING_GRACE = 1.0  # seconds after its timeout that an opening may still report
WARM_MIN = 1  # idle connections that are kept whatever the demand
CHECKS_PER_LIFE = 3  # idle connections prove themselves so often in a time to live
CHECK_TIMEOUT = 0.5  # seconds for the answer to a keep-alive
DEMAND_PERIOD = 5.0  # seconds over which the most connections in use are noted
BACKOFF_MIN = 0.05
BACKOFF_MAX = 2.0
LIMIT_BACKOFF = 2.0  # seconds until one more is tried after the endpoint's refusal

_CHECK = "keep-alive"
_RESET = "reset"
_ABANDONED = "abandoned"

_BUSY = ConnectionState.BUSY
_IDLE = ConnectionState.IDLE
_PINNED = ConnectionState.PINNED


class Pooling(System):
    """Own the connections of this host and the requests that wait for them."""

    __slots__ = (
        "_admission",
        "_connections",
        "_draining",
        "_life",
        "_loans",
        "_pools",
        "_requests",
        "_tallies",
        "_transactions",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._pools: dict[str, EndpointPool] = {}
        self._connections = node.tables.connections
        self._life = node.tuning.connection_time_to_live - LIFE_MARGIN
        self._tallies: dict[str, Tally] = {}  # of waiting requests, by service
        self._draining = False

    def start(self) -> None:
        """Subscribe to what concerns connections."""
        from mallowpass.core.systems.requests import Requests
        from mallowpass.core.systems.transactions import Transactions

        node = self._node
        self._requests = node.system(Requests)
        self._transactions = node.system(Transactions)
        self._admission = node.system(admission_module.Admission)
        self._loans = node.system(loans_module.Loans)
        node.subscribe(EndpointReplied, self._on_replied)
        node.subscribe(ConnectionOpened, self._on_opened)
        node.subscribe(ConnectionRefused, self._on_refused)
        node.subscribe(ConnectionLost, self._on_lost)
        node.subscribe(EndpointStateChanged, self._on_endpoint_state)
        node.subscribe(PrimaryChanged, self._on_primary)
        node.subscribe(DatabaseChanged, self._on_database_changed)
        node.subscribe(DatabaseRemoved, self._on_database_removed)
        node.subscribe(ServiceAccepted, self._on_service)
        node.subscribe(DrainBegan, self._on_drain)
        period = node.tuning.connection_idle
        self.timers.every(period, self._close_unused)
        self.timers.every(DEMAND_PERIOD, self._note_demand)

    def stop(self) -> None:
        """Close all connections; the host leaves."""
        for pool in self._pools.values():
            for connection in list(pool.connections.values()):
                self._close(pool, connection)

    # -- For the request path ------------------------------------------------

    def acquire(self, request: RequestRow, endpoint: EndpointRow) -> None:
        """Grant a connection now, or queue the request until one is free.

        Requests.on_connection or Requests.on_refused follows, perhaps before this
        returns.
        """
        pool = self._pools.get(endpoint.member.address)
        if pool is None:
            pool = self._make_pool(endpoint)
        if (
            pool.idle
            and not pool.queue
            and pool.active < pool.statement_limit
            and request.request_class not in pool.patient
            and not endpoint.leaving
        ):
            connection = self._take(pool)
            if connection is not None:
                self._grant(pool, connection, request)
                return
        self._enqueue(pool, request)

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
        pool = self._pools[connection.address]
        if request is not None:
            connection.request = request.number
        connection.sequence = sequence = connection.sequence + 1
        if connection.state is _PINNED:
            pool.pinned.pop(number, None)
            connection.state = _BUSY
            pool.active += 1
        if number in pool.answering or number in pool.checking:
            # One call at a time: the endpoint would refuse the second, or take the
            # abandoned one's answer for it.
            pool.deferred[number] = (sequence, call)
            return sequence
        self._transmit(pool, connection, sequence, call)
        return sequence

    def release(self, connection: ConnectionRow, reset: bool = False) -> None:
        """Take a connection back; `reset` when its user left state on it."""
        number = connection.number
        if number not in self._connections:
            return
        pool = self._pools[connection.address]
        if number in pool.answering:
            self._abandon(pool, connection)
            return
        if pool.queue:
            self._learn_cost(pool, connection)
        if connection.state is _BUSY:
            pool.active -= 1
        else:
            pool.pinned.pop(number, None)
        connection.transaction = ""
        connection.request = 0
        pool.deferred.pop(number, None)
        if reset or number in pool.checking:
            pool.checking.remove(number)
            pool.internal.pop(number, None)
            self._send_internal(pool, connection, ResetCall(), _RESET)
            return
        self._make_idle(pool, connection)
        if pool.queue:
            self.pump(pool)

    def pin(self, connection: ConnectionRow, transaction: str) -> None:
        """Keep a granted connection for a transaction until it is released."""
        pool = self._pools[connection.address]
        connection.transaction = transaction
        if connection.number in pool.answering or connection.state is not _BUSY:
            return
        connection.state = _PINNED
        connection.request = 0
        pool.active -= 1
        pool.pinned[connection.number] = connection
        self._arm_check(pool)
        if pool.queue:
            self.pump(pool)

    def cancel(self, request: RequestRow) -> None:
        """Give up a request's place in the queue, or its connection."""
        pool = self._pools.get(request.address)
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
        pool = self._pools[connection.address]
        self._node.count("connections_discarded", reason=why)
        self._close(pool, connection)
        self.pump(pool)

    def share(self, endpoint: EndpointRow) -> int:
        """Return how many connections this host may have to an endpoint now."""
        pool = self._pools.get(endpoint.address)
        if pool is None:
            pool = self._make_pool(endpoint)
        return pool.share

    def waiting(self, database_key: str) -> int:
        """Return how many requests wait for a database's endpoints."""
        database = self.tables.databases.get(database_key)
        if database is None:
            return 0
        pools = map(self._pools.get, database.endpoints)
        return sum(len(pool.queue) for pool in pools if pool is not None)

    def waiting_for_service(self, service: str) -> int:
        """Return how many requests wait for a service's endpoints."""
        tally = self._tallies.get(service)
        return 0 if tally is None else tally.count

    # -- For loans and admission ---------------------------------------------

    def pool(self, address: str) -> EndpointPool | None:
        """Return an endpoint's pool, made if the endpoint is known."""
        pool = self._pools.get(address)
        if pool is None:
            endpoint = self.tables.endpoints.get(address)
            pool = None if endpoint is None else self._make_pool(endpoint)
        return pool

    def pools(self) -> list[EndpointPool]:
        """Return all pools."""
        return list(self._pools.values())

    def known_pool(self, address: str) -> EndpointPool | None:
        """Return an endpoint's pool if there is one."""
        return self._pools.get(address)

    def make_room(self, pool: EndpointPool, places: int) -> None:
        """Close idle connections so that `places` of the own share come free."""
        for connection in list(pool.idle.values())[: max(0, places)]:
            self._close(pool, connection)

    def tend_borrowed(self, pool: EndpointPool) -> None:
        """Close borrowed connections that stood idle; keep the pinned ones alive."""
        for connection in list(pool.idle_borrowed.values()):
            if connection.expires <= self.now:
                self._close(pool, connection)
        self.check_pinned(pool)

    def pump(self, pool: EndpointPool) -> None:
        """Grant what can be granted and open what is needed."""
        # A grant may end at once in a release, which comes back here: without this
        # mark, a long queue would be a deep recursion.
        if pool.pumping:
            return
        pool.pumping = True
        try:
            while pool.queue and self._grant_next(pool):
                pass
        finally:
            pool.pumping = False
        if pool.queue:
            self._open_more(pool)

    def close_under_loan(self, pool: EndpointPool, number: int, force: bool) -> None:
        """Close a connection whose loan ends; a busy one only by force."""
        connection = self._connections.get(number)
        if connection is None:
            return
        if not connection.request and not connection.transaction:
            self._close(pool, connection)
        elif force:
            self._lose(pool, connection, "loan ended")

    # -- Granting ------------------------------------------------------------

    def _enqueue(self, pool: EndpointPool, request: RequestRow) -> None:
        refusal = self._admission.refuse_at(pool, request)
        if refusal is not None:
            self._requests.on_refused(
                request, refusal.code, refusal.why, refusal.retry_after
            )
            return
        request.address = pool.address
        session = self.tables.sessions.get(request.stream)
        caller = session.caller if session is not None else ""
        pool.queue.push(request, caller, self.now)
        self.pump(pool)

    def _grant_next(self, pool: EndpointPool) -> bool:
        if pool.active >= pool.statement_limit:
            return False
        borrowed = not pool.idle
        if borrowed and not pool.idle_borrowed:
            return False
        taken = pool.queue.pop(self._classes_to_pass(pool, borrowed))
        if taken is None:
            return False
        request, since = taken
        if request.expires <= self.now:
            self._refuse(request, ErrorCode.DEADLINE_PASSED, "expired in the queue")
            return True
        connection = self._take(pool)
        if connection is None:
            self._put_back(pool, request)
            return False
        self._node.observe("queue_seconds", self.now - since)
        self._grant(pool, connection, request)
        return True

    def _put_back(self, pool: EndpointPool, request: RequestRow) -> None:
        session = self.tables.sessions.get(request.stream)
        caller = session.caller if session is not None else ""
        pool.queue.push(request, caller, self.now)

    def _classes_to_pass(self, pool: EndpointPool, borrowed: bool) -> frozenset[str]:
        """Return the classes that this connection is not for."""
        patient = pool.patient
        if not patient:
            return patient
        if borrowed and pool.usable:
            return patient
        # While others wait, weights decide and patient classes get their floor. When
        # none waits, the last free connection stays free for one to come: it would
        # else wait for a whole slow statement.
        last = len(pool.idle) + len(pool.idle_borrowed) <= 1
        if last and pool.active and not pool.queue.waits_outside(patient):
            return patient
        return frozenset()

    def _take(self, pool: EndpointPool) -> ConnectionRow | None:
        """Take the connection that was used last: it proved itself last."""
        now = self.now
        for idle in (pool.idle, pool.idle_borrowed):
            while idle:
                connection = idle.popitem()[1]
                # A host that was paused wakes with connections that the endpoint has
                # closed, and given to others, meanwhile.
                if connection.expires <= now:
                    self._expire(pool, connection)
                    continue
                if len(pool.idle) < pool.idle_low:
                    pool.idle_low = len(pool.idle)
                return connection
        return None

    def _grant(
        self, pool: EndpointPool, connection: ConnectionRow, request: RequestRow
    ) -> None:
        connection.state = _BUSY
        connection.request = request.number
        connection.last_used = self._node.timers.now
        request.connection = connection.number
        request.address = connection.address
        pool.active += 1
        in_use = len(pool.connections) - len(pool.idle)
        if in_use > pool.peak:
            pool.peak = in_use
        self._requests.on_connection(request, connection)

    def _learn_cost(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        request = self.tables.requests.get(connection.request)
        if request is not None:
            seconds = self.now - connection.last_used
            pool.queue.learn_cost(request.request_class, seconds)

    def _make_idle(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        now = self._node.timers.now
        hold = now - connection.last_used
        pool.learn_hold(hold)
        connection.state = _IDLE
        if connection.expires <= now or self._is_surplus(pool, connection):
            self._close(pool, connection)
            return
        idle = pool.idle_borrowed if connection.loan else pool.idle
        idle[connection.number] = connection
        if pool.check_timer is None:
            self._arm_check(pool)

    def _is_surplus(self, pool: EndpointPool, connection: ConnectionRow) -> bool:
        if pool.endpoint.leaving or (self._draining and not pool.queue):
            return True
        if connection.loan:
            loan = pool.borrowed.get(connection.loan)
            return loan is None or self.now >= loan.close_at
        return pool.own_count > pool.usable

    # -- Calls and replies ---------------------------------------------------

    def _transmit(
        self,
        pool: EndpointPool,
        connection: ConnectionRow,
        sequence: int,
        call: EndpointCall,
    ) -> None:
        number = connection.number
        now = self._node.timers.now
        known = number in self._connections
        if connection.expires <= now or not known:
            # Told later: the caller of send still has to note that it sent.
            self.timers.at(now, self._lose_unsent, pool, connection, known)
            return
        connection.expires = self._expiry(pool, connection, now)
        pool.answering.add(number)
        self._node.emit(SendEndpoint(number, sequence, call))

    def _expiry(
        self, pool: EndpointPool, connection: ConnectionRow, now: float
    ) -> float:
        if not connection.loan:
            return now + self._life
        return self._loans.expiry(pool.borrowed.get(connection.loan), now)

    def _on_replied(self, event: EndpointReplied) -> None:
        connection = self._connections.get(event.connection)
        if connection is None:
            self._drop("unknown-connection")
            return
        reply = event.reply
        number = connection.number
        pool = self._pools[connection.address]
        if number in pool.internal or number in pool.deferred:
            self._on_internal_reply(pool, connection, reply)
            return
        if reply.sequence != connection.sequence:
            self._drop("wrong-sequence")
            return
        if number not in pool.answering:
            self._drop("not-in-flight")
            return
        if not reply.last:
            pool.answering.renew(number)
        else:
            self._finish_call(pool, connection, reply)
        self._hand_on(pool, connection, reply)

    def _finish_call(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        now = self._node.timers.now
        sent_at = pool.answering.remove(connection.number)
        if reply.code is EndpointCode.BUSY:
            pool.concurrency.overloaded(pool.active)
        else:
            pool.concurrency.record(now, now - sent_at, pool.active)

    def _hand_on(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        request = self.tables.requests.get(connection.request)
        if reply.last and connection.transaction:
            self._rest_pinned(pool, connection)
        if request is None:
            self._drop("request-gone")
            if reply.last and not connection.transaction:
                self.release(connection, reset=True)
            return
        self._requests.on_reply(request, connection, reply)

    def _rest_pinned(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        connection.state = _PINNED
        connection.request = 0
        pool.active -= 1
        pool.pinned[connection.number] = connection
        if pool.check_timer is None:
            self._arm_check(pool)

    def _drop(self, reason: str) -> None:
        self._node.count("replies_dropped", reason=reason)

    # -- Calls that no request waits for -------------------------------------

    def _abandon(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Keep a connection from use until its abandoned call is answered.

        Given to the next request at once, its first answer would be the old one's.
        """
        number = connection.number
        if connection.state is _BUSY:
            pool.active -= 1
        pool.deferred.pop(number, None)
        connection.state = _BUSY
        connection.request = 0
        connection.transaction = ""
        pool.internal[number] = _ABANDONED
        if pool.queue:
            self.pump(pool)

    def _send_internal(
        self,
        pool: EndpointPool,
        connection: ConnectionRow,
        call: EndpointCall,
        purpose: str,
    ) -> None:
        number = connection.number
        now = self.now
        if connection.expires <= now:
            self._expire(pool, connection)
            return
        connection.expires = self._expiry(pool, connection, now)
        connection.sequence += 1
        if connection.state is not _PINNED:
            connection.state = _BUSY
        pool.internal[number] = purpose
        pool.checking.add(number)
        self._node.emit(SendEndpoint(number, connection.sequence, call))

    def _on_internal_reply(
        self, pool: EndpointPool, connection: ConnectionRow, reply: EndpointReply
    ) -> None:
        number = connection.number
        deferred = pool.deferred.get(number)
        expected = connection.sequence if deferred is None else deferred[0] - 1
        if reply.sequence != expected:
            self._drop("wrong-sequence")
            return
        purpose = pool.internal.get(number, _ABANDONED)
        if purpose == _ABANDONED:
            self._drop("abandoned")
            if not reply.last:
                if number in pool.answering:
                    pool.answering.renew(number)
                return
        pool.internal.pop(number, None)
        pool.answering.remove(number)
        pool.checking.remove(number)
        if deferred is not None:
            del pool.deferred[number]
            self._transmit(pool, connection, *deferred)
        elif connection.transaction:
            pool.pinned.pop(number, None)
            pool.pinned[number] = connection
        elif purpose == _ABANDONED:
            self._send_internal(pool, connection, ResetCall(), _RESET)
        elif reply.code is not EndpointCode.OK:
            self._close(pool, connection)
            self.pump(pool)
        else:
            connection.last_used = self.now
            self._make_idle(pool, connection)
            self.pump(pool)

    # -- Opening -------------------------------------------------------------

    def _open_more(self, pool: EndpointPool) -> None:
        now = self.now
        if pool.endpoint.leaving or now < pool.retry_at:
            return
        pool.drop_past(now)
        wanted = len(pool.queue) - len(pool.opening)
        wanted = min(wanted, OPENING_MAX - len(pool.opening))
        while wanted > 0:
            loan = self._place_for_one(pool)
            if loan is None:
                self._loans.want(pool)
                return
            self._open(pool, loan)
            wanted -= 1

    def _place_for_one(self, pool: EndpointPool) -> str | None:
        """Return the loan to open a connection under, empty for the own share."""
        if pool.own_count + self._ghosts_in_the_way(pool) < pool.usable:
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
        if not pool.ghosts:
            return 0
        report = pool.endpoint.report
        if report is None or not report.connection_limit:
            return len(pool.ghosts)
        room = report.connection_limit - report.connections - len(pool.opening)
        return 0 if room > 0 else len(pool.ghosts)

    def _open(self, pool: EndpointPool, loan: str) -> None:
        node = self._node
        number = node.number()
        now = self.now
        life, timeout = self._loans.times(loan)
        connection = ConnectionRow(
            number, pool.address, ConnectionState.OPENING, now, now, loan=loan
        )
        connection.expires = now + self._life
        self._connections[number] = connection
        pool.connections[number] = connection
        if loan:
            pool.borrowed[loan].numbers.add(number)
        pool.opening.add(number)
        node.emit(
            OpenConnection(number, pool.address, node.identity.name, life, timeout)
        )

    def _on_opened(self, event: ConnectionOpened) -> None:
        connection = self._connections.get(event.connection)
        if connection is None:
            self._node.emit(CloseConnection(event.connection))
            return
        pool = self._pools[connection.address]
        if pool.opening.remove(connection.number) is None:
            return
        pool.backoff = 0
        now = self.now
        connection.expires = self._expiry(pool, connection, connection.opened_at)
        connection.opened_at = connection.last_used = now
        self._node.count("connections_opened")
        connection.state = _IDLE
        if connection.expires <= now or self._is_surplus(pool, connection):
            self._close(pool, connection)
        else:
            idle = pool.idle_borrowed if connection.loan else pool.idle
            idle[connection.number] = connection
            self._arm_check(pool)
        self.pump(pool)

    def _on_refused(self, event: ConnectionRefused) -> None:
        connection = self._connections.get(event.connection)
        if connection is None:
            return
        pool = self._pools[connection.address]
        self._forget(pool, connection)
        self._node.count("connections_refused", address=pool.address)
        if event.limit_reached:
            self._lower_share(pool)
        self._back_off(pool, event.message)

    def _opening_timed_out(self, pool: EndpointPool, number: int) -> None:
        connection = self._connections.get(number)
        if connection is not None:
            self._close(pool, connection)
            self._back_off(pool, "no answer to opening")

    def _lower_share(self, pool: EndpointPool) -> None:
        """Use fewer connections for a while: the endpoint has no room for more.

        Some host holds more than it should, or a dead one's connections have not run
        out yet. Asking on would only take the places that others are entitled to.
        """
        pool.open_limit = pool.own_count
        delay = LIMIT_BACKOFF * (0.5 + self._node.random.random())
        self.timers.after(delay, self._raise_share, pool)
        self._node.decide(
            "share", pool.address, f"endpoint is full, {pool.open_limit} kept"
        )

    def _raise_share(self, pool: EndpointPool) -> None:
        if pool.open_limit is None:
            return
        pool.open_limit += 1
        if pool.open_limit >= pool.own:
            pool.open_limit = None
        else:
            self.timers.after(LIMIT_BACKOFF, self._raise_share, pool)
        self.pump(pool)

    def _back_off(self, pool: EndpointPool, why: str) -> None:
        delay = min(BACKOFF_MAX, BACKOFF_MIN * 2**pool.backoff)
        pool.backoff = min(pool.backoff + 1, 10)
        delay *= 0.5 + self._node.random.random()
        pool.retry_at = self.now + delay
        if pool.retry_timer is None:
            pool.retry_timer = self.timers.at(pool.retry_at, self._retry, pool)
        # Nothing is open and nothing can be: what waits here is better routed anew.
        if not pool.connections:
            text = f"cannot connect to {pool.address}: {why}"
            self._give_back(pool, ErrorCode.CONNECTION_LOST, text, delay)

    def _retry(self, pool: EndpointPool) -> None:
        pool.retry_timer = None
        self.pump(pool)

    # -- Losing and closing --------------------------------------------------

    def _on_lost(self, event: ConnectionLost) -> None:
        connection = self._connections.get(event.connection)
        if connection is None:
            return
        pool = self._pools[connection.address]
        self._node.count("connections_lost", reason="broken")
        self._tell_lost(pool, connection, event.message)
        self.pump(pool)

    def _lose(self, pool: EndpointPool, connection: ConnectionRow, why: str) -> None:
        """Close a connection and tell who used it."""
        self._node.count("connections_lost", reason=why)
        self._node.emit(CloseConnection(connection.number))
        self._tell_lost(pool, connection, why)

    def _tell_lost(
        self, pool: EndpointPool, connection: ConnectionRow, why: str
    ) -> None:
        number, transaction = connection.request, connection.transaction
        self._forget(pool, connection)
        request = self.tables.requests.get(number)
        if request is not None:
            self._requests.on_connection_lost(request, connection, why)
        elif transaction:
            self._transactions.on_connection_lost(None, connection, why)

    def _lose_unsent(
        self, pool: EndpointPool, connection: ConnectionRow, known: bool
    ) -> None:
        if connection.number in self._connections:
            self._node.emit(CloseConnection(connection.number))
        elif known:
            return  # lost in between, and told then
        self._tell_lost(pool, connection, "expired, call not sent")
        self.pump(pool)

    def _expire(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        self._node.count("connections_lost", reason="expired")
        self._close(pool, connection)

    def _close(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        if connection.number not in self._connections:
            return
        self._node.emit(CloseConnection(connection.number))
        self._forget(pool, connection)

    def _forget(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        number = connection.number
        if self._connections.pop(number, None) is None:
            return
        pool.connections.pop(number, None)
        pool.idle.pop(number, None)
        pool.idle_borrowed.pop(number, None)
        pool.pinned.pop(number, None)
        pool.deferred.pop(number, None)
        pool.answering.remove(number)
        pool.checking.remove(number)
        pool.opening.remove(number)
        internal = pool.internal.pop(number, None)
        if connection.state is _BUSY and internal is None:
            pool.active -= 1
        if not connection.loan:
            pool.settling.append((self.now, connection.expires + LIFE_MARGIN))
            return
        loan = pool.borrowed.get(connection.loan)
        if loan is not None:
            loan.numbers.discard(number)

    # -- Silence and keep-alive ----------------------------------------------

    def _went_silent(self, pool: EndpointPool, number: int) -> None:
        connection = self._connections.get(number)
        if connection is None:
            return
        node = self._node
        silent_since = connection.last_used
        node.decide("silent", pool.address, f"connection {number} gave no answer")
        node.log("warning", "connection_silent", address=pool.address, number=number)
        if not connection.loan:
            pool.ghosts.append(connection.expires + LIFE_MARGIN)
        self._lose(pool, connection, "silent")
        self._check_older(pool, silent_since)
        self.pump(pool)

    def _check_unanswered(self, pool: EndpointPool, number: int) -> None:
        """Close a connection whose endpoint answers elsewhere, wait on otherwise.

        An endpoint that stands still, or is cut off, answers nowhere. Its connections
        are sound once it goes on, and to open them all anew would be a storm.
        """
        connection = self._connections.get(number)
        if connection is None:
            return
        heard_at = pool.endpoint.heard_at
        since = self.now - CHECK_TIMEOUT
        if heard_at != float("-inf") and heard_at < since < connection.expires:
            pool.checking.add(number)
        else:
            self._went_silent(pool, number)

    def _check_older(self, pool: EndpointPool, since: float) -> None:
        """Have idle connections prove themselves that last did so before `since`.

        Whatever made one connection silent has likely hit those of the same age; each
        would cost a request its whole wait. Younger ones serve meanwhile.
        """
        for idle in (pool.idle, pool.idle_borrowed):
            for connection in list(idle.values()):
                if connection.last_used <= since:
                    del idle[connection.number]
                    self._check(pool, connection)

    def _check(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        self._send_internal(pool, connection, KeepAliveCall(), _CHECK)

    def _check_period(self) -> float:
        return self._node.tuning.connection_time_to_live / CHECKS_PER_LIFE

    def _arm_check(self, pool: EndpointPool) -> None:
        if pool.check_timer is None:
            pool.check_timer = self.timers.after(
                self._check_period() / 2, self._check_idle, pool
            )

    def _check_idle(self, pool: EndpointPool) -> None:
        """Prolong the life of connections that were not used for a while."""
        pool.check_timer = None
        due = self.now - self._check_period() / 2
        for connection in list(pool.idle.values()):
            if connection.last_used <= due:
                del pool.idle[connection.number]
                self._check(pool, connection)
        self.check_pinned(pool)
        if pool.connections:
            self._arm_check(pool)

    def check_pinned(self, pool: EndpointPool) -> None:
        """Prolong the life of connections whose transaction is between statements."""
        for connection in list(pool.pinned.values()):
            life = self._loans.life(connection.loan)
            called_at = connection.expires - life
            due = called_at + life / CHECKS_PER_LIFE <= self.now
            if due and connection.number not in pool.checking:
                self._check(pool, connection)

    def _note_demand(self) -> None:
        for pool in self._pools.values():
            pool.peak_before = pool.peak
            pool.peak = pool.active + len(pool.pinned)

    def _close_unused(self) -> None:
        """Close what stood idle for a whole period, but for a few."""
        for pool in self._pools.values():
            if pool.idle_low > WARM_MIN:
                surplus = min(pool.idle_low, len(pool.idle)) - WARM_MIN
                self.make_room(pool, surplus)
            pool.idle_low = len(pool.idle)

    # -- Endpoints, databases, this host -------------------------------------

    def _make_pool(self, endpoint: EndpointRow) -> EndpointPool:
        database = self.tables.databases[endpoint.database]
        tally = self._tallies.setdefault(database.service, Tally())
        pool = EndpointPool(endpoint, database, tally)
        tuning = self._node.tuning
        pool.answering = Watchdog(
            self.timers, tuning.silence, partial(self._went_silent, pool)
        )
        pool.checking = Watchdog(
            self.timers, CHECK_TIMEOUT, partial(self._check_unanswered, pool)
        )
        pool.opening = Watchdog(
            self.timers,
            tuning.connect_timeout + OPENING_GRACE,
            partial(self._opening_timed_out, pool),
        )
        self._pools[pool.address] = pool
        self._apply_definition(pool, database)
        return pool

    def _apply_definition(self, pool: EndpointPool, database: DatabaseRow) -> None:
        identity = self._node.identity
        place = (
            identity.domains,
            pool.address,
            identity.failure_domain,
            identity.seat,
        )
        definition = database.definition
        pool.database = database
        pool.own = static_share(definition.connections, *place)
        seats = sum(domain.hosts for domain in identity.domains)
        pool.lendable = lendable(pool.own, scarce=definition.connections < seats)
        self._loans.withhold(pool, pool.lendable)
        pool.concurrent_share = 0
        if definition.concurrent_statements:
            # Never none: a statement too many is refused with BUSY before it runs, but
            # a host with none could not serve at all.
            part = static_share(definition.concurrent_statements, *place)
            pool.concurrent_share = max(1, part)
        self._apply_classes(pool)

    def _apply_classes(self, pool: EndpointPool) -> None:
        row = self.tables.services.get(pool.database.service)
        service = row.service if row is not None else None
        if service is None:
            return
        pool.queue.set_weights({entry.name: entry.weight for entry in service.classes})
        pool.patient = frozenset(
            entry.name for entry in service.classes if entry.patient
        )

    def _on_service(self, signal: ServiceAccepted) -> None:
        for database in self.tables.databases.values():
            if database.service == signal.service:
                for address in database.endpoints:
                    pool = self._pools.get(address)
                    if pool is not None:
                        self._apply_classes(pool)

    def _on_database_changed(self, signal: DatabaseChanged) -> None:
        for address in signal.removed:
            self._remove_pool(address)
        database = self.tables.databases.get(signal.database)
        if database is None:
            return
        for address, endpoint in database.endpoints.items():
            pool = self._pools.get(address)
            if pool is not None:
                pool.endpoint = endpoint
                self._apply_definition(pool, database)
                self._shed_surplus(pool)
                self.pump(pool)

    def _on_database_removed(self, signal: DatabaseRemoved) -> None:
        database = self.tables.databases.get(signal.database)
        if database is not None:
            for address in database.endpoints:
                self._remove_pool(address)

    def _remove_pool(self, address: str) -> None:
        pool = self._pools.get(address)
        if pool is None:
            return
        pool.endpoint.leaving = True
        self._leave(pool, f"{address} was removed")

    def _on_endpoint_state(self, signal: EndpointStateChanged) -> None:
        pool = self._pools.get(signal.address)
        if pool is None:
            return
        if pool.endpoint.leaving:
            self._leave(pool, f"{signal.address} is leaving")
        elif pool.endpoint.ejected_until > self.now:
            self._give_back_reads(pool, f"{signal.address} was ejected")
        else:
            self.pump(pool)

    def _leave(self, pool: EndpointPool, why: str) -> None:
        """Give back what waits and close what is idle; busy ones close when done."""
        for idle in (pool.idle, pool.idle_borrowed):
            for connection in list(idle.values()):
                self._close(pool, connection)
        self._give_back(pool, ErrorCode.ENDPOINT_REFUSED, why, 0.0)

    def _shed_surplus(self, pool: EndpointPool) -> None:
        surplus = pool.own_count - pool.usable
        for connection in list(pool.idle.values())[: max(0, surplus)]:
            self._close(pool, connection)

    def _on_primary(self, signal: PrimaryChanged) -> None:
        """Give back writes that wait at a member that is no primary any more."""
        database = self.tables.databases.get(signal.database)
        if database is None:
            return
        for address in database.endpoints:
            pool = self._pools.get(address)
            if pool is None or address == database.primary or not pool.queue:
                continue
            self._give_back_some(
                pool, Access.WRITE, ErrorCode.FAILING_OVER, "primary changed"
            )

    def _give_back_reads(self, pool: EndpointPool, why: str) -> None:
        self._give_back_some(pool, Access.READ, ErrorCode.ENDPOINT_REFUSED, why)

    def _give_back_some(
        self, pool: EndpointPool, access: Access, code: ErrorCode, why: str
    ) -> None:
        waiting = pool.queue.waiting_requests()
        for request in [entry for entry in waiting if entry.access is access]:
            if pool.queue.cancel(request.number):
                self._refuse(request, code, why)

    def _give_back(
        self, pool: EndpointPool, code: ErrorCode, why: str, retry_after: float
    ) -> None:
        for request in pool.queue.drain():
            self._refuse(request, code, why, retry_after)

    def _refuse(
        self, request: RequestRow, code: ErrorCode, why: str, retry_after: float = 0.0
    ) -> None:
        self._node.count("refused", reason=code.name.lower())
        self._node.decide("refusal", request.database, f"{code.code} {why}")
        self._requests.on_refused(request, code.code, why, retry_after)

    def _on_drain(self, signal: DrainBegan) -> None:
        """Hand back what nobody uses; requests in flight still get connections."""
        self._draining = True
        for pool in self._pools.values():
            for idle in (pool.idle, pool.idle_borrowed):
                for connection in list(idle.values()):
                    self._close(pool, connection)
            self._loans.give_back(pool)
