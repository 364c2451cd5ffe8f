"""Refuse at once what could not be served in time, and say when to come back.

A request refused here did not run. Kept in line it would take its caller's time
and, once sent too late, an endpoint's as well.
"""

from __future__ import annotations

from mallowpass.core.node import Node, System
from mallowpass.core.records import record
from mallowpass.core.services import DEFAULT_QUEUE_LENGTH
from mallowpass.core.systems.connections import EndpointPool
from mallowpass.core.tables import RequestRow
from mallowpass.errors import ErrorCode

__all__ = ["Admission", "Refusal"]

RETRY_AFTER_MIN = 0.02
RETRY_SPREAD = 0.5  # of the time stated; refused callers don't come back all at once


@record
class Refusal:
    """Tell why a request is not taken; `retry_after` in seconds."""

    code: str
    why: str
    retry_after: float


class Admission(System):
    """Decide whether a request may wait."""

    __slots__ = ("_pooling",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._pooling = None

    def start(self) -> None:
        """Find the pools, which start later."""
        from mallowpass.core.systems.pooling import Pooling

        self._pooling = self._node.system(Pooling)

    def refuse_at(self, pool: EndpointPool, request: RequestRow) -> Refusal | None:
        """Refuse a request that has to wait at an endpoint, and can't."""
        if pool.endpoint.is_leaving:
            why = f"{pool.address} is leaving"
            return self._refusal(request, ErrorCode.ENDPOINT_REFUSED, why, 0.0)
        refusal = self._refuse_full(request)
        if refusal is not None:
            return refusal
        wait = self.predicted_pool_wait(pool, request.request_class)
        return self._refuse_late(request, wait, pool.address)

    def predicted_wait(self, database_key: str, class_name: str) -> float:
        """Return the shortest wait at a database's endpoints, in seconds."""
        database = self.tables.databases.get(database_key)
        if database is None:
            return 0.0
        waits = (
            0.0 if pool is None else self.predicted_pool_wait(pool, class_name)
            for pool in map(self._pooling.find_pool, database.endpoints)
        )
        return min(waits, default=0.0)

    def predicted_pool_wait(self, pool: EndpointPool, class_name: str) -> float:
        """Return how long a new request of a class would wait, in seconds."""
        ahead = pool.queue.requests_ahead(class_name)
        room = self._pooling.opener.openable_count(pool)
        if ahead < self._free(pool, room) or not (ahead or pool.connections):
            return 0.0
        servers = min(len(pool.connections) + room, pool.statement_limit)
        return (ahead + 1) * pool.average_hold_time / max(1, servers)

    @staticmethod
    def _free(pool: EndpointPool, room: int) -> int:
        """Return how many requests need not wait for another one's end.

        How long requests kept connections says nothing of them. Refused by it, they
        would never teach a shorter time: one long transaction would close an idle host.
        """
        idle = len(pool.idle) + len(pool.idle_borrowed)
        free = idle + len(pool.opening) + room
        return min(free, pool.statement_limit - pool.active_count)

    def _refuse_full(self, request: RequestRow) -> Refusal | None:
        database = self.tables.databases.get(request.database)
        if database is None:
            return None
        row = self.tables.services.get(database.service)
        service = row.service if row is not None else None
        limit = service.queue_length if service is not None else DEFAULT_QUEUE_LENGTH
        if self._pooling.queued_count_of_service(database.service) < limit:
            return None
        # Half the queue has to be served before a place is likely to be free.
        wait = self.predicted_wait(request.database, request.request_class) / 2
        why = f"{limit} requests wait for {database.service}"
        return self._refusal(request, ErrorCode.QUEUE_FULL, why, wait)

    def _refuse_late(
        self, request: RequestRow, wait: float, where: str
    ) -> Refusal | None:
        remaining = request.expires_at - self.now
        if wait < remaining:
            return None
        why = f"{wait:.3f}s to wait at {where}, {remaining:.3f}s left"
        # With as much time again, the request makes it once the line is so much
        # shorter.
        return self._refusal(request, ErrorCode.QUEUE_FULL, why, wait - remaining)

    def _refusal(
        self, request: RequestRow, code: ErrorCode, why: str, wait: float
    ) -> Refusal:
        spread = 1.0 + RETRY_SPREAD * self._node.random.random()
        retry_after = max(RETRY_AFTER_MIN, wait) * spread
        self._node.count("turned_away", reason=code.name.lower())
        self._node.record_decision("refusal", request.database, f"{code.code} {why}")
        return Refusal(code.code, why, retry_after)
