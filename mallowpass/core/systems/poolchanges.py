"""Apply changes of services, databases, endpoints and this host to the pools."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from mallowpass.core.calls import Access
from mallowpass.core.node import Node
from mallowpass.core.signals import (
    DatabaseAdded,
    DatabaseChanged,
    DatabaseRemoved,
    DrainBegan,
    EndpointStateChanged,
    PrimaryChanged,
    ServiceAccepted,
)
from mallowpass.core.systems.connections import EndpointPool, TimeoutTracker
from mallowpass.core.systems.keepalive import CHECK_TIMEOUT
from mallowpass.core.systems.opening import OPENING_GRACE
from mallowpass.core.systems.poolpart import PoolPart
from mallowpass.core.systems.shares import lendable_share, static_share
from mallowpass.core.systems.waitqueue import QueueCounter
from mallowpass.core.tables import DatabaseRow, EndpointRow
from mallowpass.errors import ErrorCode

if TYPE_CHECKING:
    from mallowpass.core.systems.pooling import Pooling

__all__ = ["PoolChanges"]

# Seconds over which the peak number of connections in use is measured. A host lends
# only slots that it needed neither in this period nor in the previous one.
DEMAND_PERIOD = 5.0


class PoolChanges(PoolPart):
    """Create pools, and update or empty them when their endpoints change."""

    __slots__ = ("_queue_counters",)

    def __init__(self, node: Node, pooling: Pooling) -> None:
        super().__init__(node, pooling)
        self._queue_counters: dict[str, QueueCounter] = {}  # by service

    def start(self) -> None:
        """Subscribe to changes of services, databases, endpoints and this host."""
        node = self._node
        node.subscribe(EndpointStateChanged, self._on_endpoint_state)
        node.subscribe(PrimaryChanged, self._on_primary)
        node.subscribe(DatabaseAdded, self._on_database_added)
        node.subscribe(DatabaseChanged, self._on_database_changed)
        node.subscribe(DatabaseRemoved, self._on_database_removed)
        node.subscribe(ServiceAccepted, self._on_service)
        node.subscribe(DrainBegan, self._on_drain)
        self.timers.every(DEMAND_PERIOD, self._start_demand_period)

    def queued_count_of_service(self, service: str) -> int:
        """Return how many requests are queued for the endpoints of a service."""
        counter = self._queue_counters.get(service)
        return 0 if counter is None else counter.count

    def create_pool(self, endpoint: EndpointRow) -> EndpointPool:
        """Create the pool of an endpoint when it is needed for the first time."""
        database = self.tables.databases[endpoint.database]
        counter = self._queue_counters.setdefault(database.service, QueueCounter())
        pool = EndpointPool(endpoint, database, counter)
        tuning = self._node.tuning
        pool.in_flight = TimeoutTracker(
            self.timers,
            tuning.silence / 2,
            partial(self._pooling.busy_checks.on_overdue, pool),
        )
        pool.overdue = TimeoutTracker(
            self.timers,
            tuning.silence / 2,
            partial(self._pooling.busy_checks.on_still_overdue, pool),
        )
        pool.internal_in_flight = TimeoutTracker(
            self.timers,
            CHECK_TIMEOUT,
            partial(self._pooling.keepalive.on_check_timeout, pool),
        )
        pool.opening = TimeoutTracker(
            self.timers,
            tuning.connect_timeout + OPENING_GRACE,
            partial(self._pooling.opener.on_timeout, pool),
        )
        self._pooling.by_address[pool.address] = pool
        self._apply_definition(pool, database)
        return pool

    def _apply_definition(self, pool: EndpointPool, database: DatabaseRow) -> None:
        identity = self._node.identity
        share_arguments = (
            identity.domains,
            pool.address,
            identity.failure_domain,
            identity.seat,
        )
        definition = database.definition
        pool.database = database
        pool.own_share = static_share(definition.connections, *share_arguments)
        seat_count = sum(domain.hosts for domain in identity.domains)
        pool.lendable_share = lendable_share(
            pool.own_share, scarce=definition.connections < seat_count
        )
        self._pooling.loans.withhold(pool, pool.lendable_share)
        pool.statement_share = 0
        if definition.concurrent_statements:
            # At least 1: the endpoint refuses a statement beyond its limit with BUSY
            # before it runs, but a host with a share of 0 could not serve at all.
            share = static_share(definition.concurrent_statements, *share_arguments)
            pool.statement_share = max(1, share)
        self._apply_classes(pool)

    def _apply_classes(self, pool: EndpointPool) -> None:
        row = self.tables.services.get(pool.database.service)
        service = row.service if row is not None else None
        if service is None:
            return
        pool.queue.set_weights({entry.name: entry.weight for entry in service.classes})
        pool.patient_classes = frozenset(
            entry.name for entry in service.classes if entry.patient
        )

    def _on_service(self, signal: ServiceAccepted) -> None:
        for database in self.tables.databases.values():
            if database.service == signal.service:
                for address in database.endpoints:
                    pool = self._pooling.by_address.get(address)
                    if pool is not None:
                        self._apply_classes(pool)

    def _on_database_changed(self, signal: DatabaseChanged) -> None:
        for address in signal.removed:
            self._remove_pool(address)
        self._refresh(signal.database)

    def _on_database_added(self, signal: DatabaseAdded) -> None:
        self._refresh(signal.database)

    def _refresh(self, key: str) -> None:
        """Apply a changed definition.

        An address that was removed may have been added again, with a new row.
        """
        database = self.tables.databases.get(key)
        if database is None:
            return
        for address, endpoint in database.endpoints.items():
            pool = self._pooling.by_address.get(address)
            if pool is not None:
                pool.endpoint = endpoint
                self._apply_definition(pool, database)
                self._close_surplus(pool)
                self._pooling.granting.dispatch(pool)

    def _on_database_removed(self, signal: DatabaseRemoved) -> None:
        database = self.tables.databases.get(signal.database)
        if database is not None:
            for address in database.endpoints:
                self._remove_pool(address)

    def _remove_pool(self, address: str) -> None:
        pool = self._pooling.by_address.get(address)
        if pool is None:
            return
        pool.endpoint.is_leaving = True
        self._empty(pool, f"{address} was removed")

    def _on_endpoint_state(self, signal: EndpointStateChanged) -> None:
        pool = self._pooling.by_address.get(signal.address)
        if pool is None:
            return
        if pool.endpoint.is_leaving:
            self._empty(pool, f"{signal.address} is leaving")
        elif pool.endpoint.ejected_until > self.now:
            self._refuse_reads(pool, f"{signal.address} was ejected")
        else:
            self._pooling.granting.dispatch(pool)

    def _empty(self, pool: EndpointPool, why: str) -> None:
        """Refuse queued requests and close idle connections.

        Busy connections are closed when their users release them.
        """
        for idle in (pool.idle, pool.idle_borrowed):
            for connection in list(idle.values()):
                self._pooling.closer.close(pool, connection)
        self._pooling.granting.refuse_all(pool, ErrorCode.ENDPOINT_REFUSED, why, 0.0)

    def _close_surplus(self, pool: EndpointPool) -> None:
        surplus = pool.own_count - pool.usable_share
        for connection in list(pool.idle.values())[: max(0, surplus)]:
            self._pooling.closer.close(pool, connection)

    def _on_primary(self, signal: PrimaryChanged) -> None:
        """Refuse the writes that are queued for members other than the new primary."""
        database = self.tables.databases.get(signal.database)
        if database is None:
            return
        for address in database.endpoints:
            pool = self._pooling.by_address.get(address)
            if pool is None or address == database.primary or not pool.queue:
                continue
            self._pooling.granting.refuse_by_access(
                pool, Access.WRITE, ErrorCode.ENDPOINT_REFUSED, "primary changed"
            )

    def _refuse_reads(self, pool: EndpointPool, why: str) -> None:
        self._pooling.granting.refuse_by_access(
            pool, Access.READ, ErrorCode.ENDPOINT_REFUSED, why
        )

    def _on_drain(self, signal: DrainBegan) -> None:
        """Close idle connections and return unused loans.

        Requests in flight still get connections.
        """
        self._pooling.is_draining = True
        for pool in self._pooling.by_address.values():
            for idle in (pool.idle, pool.idle_borrowed):
                for connection in list(idle.values()):
                    self._pooling.closer.close(pool, connection)
            self._pooling.loans.return_unused(pool)

    def _start_demand_period(self) -> None:
        for pool in self._pooling.by_address.values():
            pool.previous_peak_in_use = pool.peak_in_use
            pool.peak_in_use = pool.active_count + len(pool.pinned)
