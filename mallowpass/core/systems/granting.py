"""The queues of requests for connections: weighted fair grants, and refusals."""

from __future__ import annotations

from mallowpass.core.calls import Access
from mallowpass.core.systems.connections import EndpointPool
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.tables import ConnectionRow, RequestRow
from mallowpass.errors import ErrorCode

__all__ = ["Granting"]


class Granting(PoolPart):
    """Decide which queued request gets a free connection."""

    __slots__ = ()

    def enqueue(self, pool: EndpointPool, request: RequestRow) -> None:
        """Queue a request, or refuse it at once."""
        refusal = self._pooling.admission.check(pool, request)
        if refusal is not None:
            self._pooling.requests.on_refused(
                request, refusal.code, refusal.why, refusal.retry_after
            )
            return
        request.address = pool.address
        session = self.tables.sessions.get(request.stream)
        caller = session.caller if session is not None else ""
        pool.queue.push(request, caller, self.now)
        self.dispatch(pool)

    def dispatch(self, pool: EndpointPool) -> None:
        """Grant free connections to queued requests, and open more if needed."""
        # A grant may release its connection at once, which calls this method again.
        # Without the flag, a long queue would cause a deep recursion.
        if pool.is_dispatching:
            return
        pool.is_dispatching = True
        try:
            while pool.queue and self._grant_next(pool):
                pass
        finally:
            pool.is_dispatching = False
        if pool.queue:
            self._pooling.opener.open_for_queue(pool)

    def _grant_next(self, pool: EndpointPool) -> bool:
        if pool.active_count >= pool.statement_limit:
            return False
        connection = self._pooling.take_idle(pool)
        if connection is None:
            return False
        request = self._next_request(pool, connection)
        if request is None:
            self._pooling.put_idle(pool, connection)
            return False
        self._pooling.grant(pool, connection, request)
        return True

    def _next_request(
        self, pool: EndpointPool, connection: ConnectionRow
    ) -> RequestRow | None:
        skipped = self._classes_to_skip(pool, bool(connection.loan))
        while (taken := pool.queue.pop(skipped)) is not None:
            request, since = taken
            if request.expires_at > self.now:
                self._node.observe("queue_seconds", self.now - since)
                return request
            self.refuse(request, ErrorCode.DEADLINE_PASSED, "expired in the queue")
        return None

    def _classes_to_skip(self, pool: EndpointPool, borrowed: bool) -> frozenset[str]:
        """Return the request classes that must not get this connection."""
        patient = pool.patient_classes
        if not patient:
            return patient
        if borrowed and pool.usable_share:
            return patient
        # While requests of other classes wait, weights decide, so that patient classes
        # get their share. While none waits, the last free connection is kept for the
        # next one, which would otherwise wait for a whole slow statement.
        last = not pool.idle and not pool.idle_borrowed
        if last and pool.active_count and not pool.queue.has_waiting_outside(patient):
            return patient
        return frozenset()

    def record_cost(self, pool: EndpointPool, connection: ConnectionRow) -> None:
        """Record how long the connection's request kept the connection."""
        request = self.tables.requests.get(connection.request)
        if request is not None:
            seconds = self.now - connection.last_used_at
            pool.queue.record_cost(request.request_class, seconds)

    def refuse(
        self, request: RequestRow, code: ErrorCode, why: str, retry_after: float = 0.0
    ) -> None:
        """Refuse a queued request."""
        self._node.count("turned_away", reason=code.name.lower())
        self._node.record_decision("refusal", request.database, f"{code.code} {why}")
        self._pooling.requests.on_refused(request, code.code, why, retry_after)

    def refuse_all(
        self, pool: EndpointPool, code: ErrorCode, why: str, retry_after: float
    ) -> None:
        """Refuse all queued requests."""
        for request in pool.queue.take_all():
            self.refuse(request, code, why, retry_after)

    def refuse_by_access(
        self, pool: EndpointPool, access: Access, code: ErrorCode, why: str
    ) -> None:
        """Refuse all queued reads, or all queued writes; visits each request."""
        waiting = pool.queue.waiting_requests()
        for request in [entry for entry in waiting if entry.access is access]:
            if pool.queue.cancel(request.number):
                self.refuse(request, code, why)
