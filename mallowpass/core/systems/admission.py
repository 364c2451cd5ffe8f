"""Admission control: refuse requests that cannot be served by their deadlines.

A refused request did not run, and its caller learns when to retry. A request that
queued in vain would cost the time of its caller and, once sent too late, capacity of an
endpoint as well.
"""

from __future__ import annotations

from mallowpass.core.node import Node, System
from mallowpass.core.records import record
from mallowpass.core.services import DEFAULT_QUEUE_LENGTH
from mallowpass.core.systems.connections import EndpointPool
from mallowpass.core.tables import RequestRow
from mallowpass.errors import ErrorCode

__all__ = ["Admission", "Refusal"]

RETRY_AFTER_MIN = 0.02  # seconds
# Share of the stated time that is added at random, so that refused callers do not all
# retry at once.
RETRY_AFTER_JITTER = 0.5


@record
class Refusal:
    """Describe why a request is refused; `retry_after` is in seconds."""

    code: str
    why: str
    retry_after: float


class Admission(System):
    """Decide whether a request may queue for a connection."""

    __slots__ = ("_pooling",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._pooling = None

    def start(self) -> None:
        """Look up the system of the connection pools, which starts later."""
        from mallowpass.core.systems.pooling import Pooling

        self._pooling = self._node.system(Pooling)

    def check(self, pool: EndpointPool, request: RequestRow) -> Refusal | None:
        """Return why a request must not queue at an endpoint, None if it may."""
        if pool.endpoint.is_leaving:
            why = f"{pool.address} is leaving"
            return self._refuse(request, ErrorCode.ENDPOINT_REFUSED, why, 0.0)
        refusal = self._check_queue_length(request)
        if refusal is not None:
            return refusal
        wait = self.predicted_pool_wait(pool, request.request_class)
        return self._check_deadline(request, wait, pool.address)

    def predicted_wait(self, database_key: str, class_name: str) -> float:
        """Return the shortest predicted wait at a database's endpoints, in seconds."""
        database = self.tables.databases.get(database_key)
        if database is None:
            return 0.0
        waits = (
            0.0 if pool is None else self.predicted_pool_wait(pool, class_name)
            for pool in map(self._pooling.find_pool, database.endpoints)
        )
        return min(waits, default=0.0)

    def predicted_pool_wait(self, pool: EndpointPool, class_name: str) -> float:
        """Return the predicted wait of a new request of a class, in seconds."""
        ahead = pool.queue.requests_ahead(class_name)
        room = self._pooling.opener.openable_count(pool)
        if ahead < self._free_capacity(pool, room) or not (ahead or pool.connections):
            return 0.0
        servers = min(len(pool.connections) + room, pool.statement_limit)
        return (ahead + 1) * pool.average_hold_time / max(1, servers)

    @staticmethod
    def _free_capacity(pool: EndpointPool, room: int) -> int:
        """Return how many requests can start without waiting for another to end.

        The average time that requests kept connections does not apply to them. If it
        did, one long transaction would make an idle host refuse all later requests,
        and the average would never fall, as refused requests do not lower it.
        """
        idle = len(pool.idle) + len(pool.idle_borrowed)
        free = idle + len(pool.opening) + room
        return min(free, pool.statement_limit - pool.active_count)

    def _check_queue_length(self, request: RequestRow) -> Refusal | None:
        database = self.tables.databases.get(request.database)
        if database is None:
            return None
        row = self.tables.services.get(database.service)
        service = row.service if row is not None else None
        limit = service.queue_length if service is not None else DEFAULT_QUEUE_LENGTH
        if self._pooling.queued_count_of_service(database.service) < limit:
            return None
        # Half of the queue has to be served before a place is likely to be free.
        wait = self.predicted_wait(request.database, request.request_class) / 2
        why = f"{limit} requests wait for {database.service}"
        return self._refuse(request, ErrorCode.QUEUE_FULL, why, wait)

    def _check_deadline(
        self, request: RequestRow, wait: float, where: str
    ) -> Refusal | None:
        remaining = request.expires_at - self.now
        if wait < remaining:
            return None
        why = f"{wait:.3f}s to wait at {where}, {remaining:.3f}s left"
        # After `retry_after` the wait is shorter by the same time, so that a retry with
        # the same time left can be served.
        return self._refuse(request, ErrorCode.QUEUE_FULL, why, wait - remaining)

    def _refuse(
        self, request: RequestRow, code: ErrorCode, why: str, wait: float
    ) -> Refusal:
        spread = 1.0 + RETRY_AFTER_JITTER * self._node.random.random()
        retry_after = max(RETRY_AFTER_MIN, wait) * spread
        self._node.count("turned_away", reason=code.name.lower())
        self._node.record_decision("refusal", request.database, f"{code.code} {why}")
        return Refusal(code.code, why, retry_after)
