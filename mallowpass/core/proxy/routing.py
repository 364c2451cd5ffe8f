"""Routing: the choice of the endpoint, and of the connection, for a statement."""

from __future__ import annotations

from collections.abc import Iterator

from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.guardedwrites import GuardedWrites
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.policy.dispatch import Choice
from mallowpass.core.proxy.policy.placement import cost
from mallowpass.core.proxy.statements import LogPosition
from mallowpass.core.proxy.tables import (
    ConnectionState,
    EndpointRow,
    GroupRow,
    ProxySystem,
    RequestRow,
)
from mallowpass.core.proxy.writers import Writers

__all__ = ["Routing"]


class Routing(ProxySystem):
    """Choose endpoints by log position, region, latency and load."""

    __slots__ = ("_connections", "_floors", "_guarded_writes", "_load", "_writers")

    def start(self) -> None:
        """Look up the systems that this one uses."""
        self._connections = self._node.system(Connections)
        self._floors = self._node.system(Floors)
        self._guarded_writes = self._node.system(GuardedWrites)
        self._load = self._node.system(Load)
        self._writers = self._node.system(Writers)

    def required_floor(
        self, request: RequestRow, group: GroupRow
    ) -> LogPosition | None:
        """Return the floor of a statement; None if only the primary may run it."""
        if request.needs_primary:
            return None
        return self._floors.required_floor(request, group)

    def choose(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> Choice:
        """Choose an idle connection at the endpoint with the lowest cost.

        If that endpoint has none, one more is requested there, and the idle connections
        to the next endpoints are considered.
        """
        if self.is_guarded(request, group):
            return self._choose_guarded(request, group.primary_row)
        first = None
        must_forward = request.needs_primary and self._writers.must_forward(group)
        candidates = self._candidates(request, group, floor)
        with_room = [e for e in candidates if self._load.has_room(e)]
        for endpoint in with_room:
            connection = self._connections.acquire(
                endpoint,
                request.session.values,
                request.customer,
                by_affinity=True,
                may_wait=first is None,
                forwarded_only=must_forward,
            )
            if connection is not None:
                return Choice(connection, floor)
            if first is None:
                first = endpoint
                self._connections.grow(
                    endpoint, request.customer, borrow=True, by_affinity=True
                )
                if endpoint.name != group.primary and _is_opening_forwarded(endpoint):
                    # Wait: a forwarded connection opens within a round trip to another
                    # host. Otherwise, when all hosts start at once, the primary would
                    # get the first reads of each host.
                    break
        full = bool(candidates) and not with_room
        return Choice(None, why=_wait_reason(group, floor), full=full)

    def _choose_guarded(self, request: RequestRow, primary: EndpointRow) -> Choice:
        """Choose a connection for a write beside a pending promotion order."""
        connection = self._guarded_writes.acquire(
            primary, request.session.values, request.customer
        )
        why = "" if connection is not None else "waits for the guard of its primary"
        return Choice(connection, why=why)

    def is_guarded(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether a statement has to run through one host."""
        is_write = request.needs_primary
        return is_write and self._guarded_writes.are_guarded(group.primary_row)

    def has_candidates(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> bool:
        """Return whether any endpoint may run a statement, full or not."""
        return any(True for _ in self._usable(request, group, floor))

    def has_untried(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether any endpoint may run a statement that did not fail to yet."""
        floor = self.required_floor(request, group)
        return any(
            endpoint.name not in request.avoided_endpoints
            for endpoint in self._usable(request, group, floor)
        )

    def has_free_connection(self, request: RequestRow, group: GroupRow) -> bool:
        """Return whether an idle connection may run a statement now."""
        floor = self.required_floor(request, group)
        return any(
            connection.state is ConnectionState.IDLE
            and connection.can_serve(request.customer)
            for endpoint in self._usable(request, group, floor)
            if self._load.has_room(endpoint)
            for connection in endpoint.connections.values()
        )

    def is_connected(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> bool:
        """Return whether an open connection, busy or not, may run a statement."""
        return any(
            connection.state is not ConnectionState.OPENING
            and connection.can_serve(request.customer)
            for endpoint in self._usable(request, group, floor)
            for connection in endpoint.connections.values()
        )

    def has_full_endpoint(self, group: GroupRow) -> bool:
        """Return whether any endpoint of a group is full."""
        return not all(map(self._load.has_room, group.endpoints.values()))

    @staticmethod
    def has_idle_connection(group: GroupRow) -> bool:
        """Return whether a connection to any endpoint of a group is idle."""
        return any(
            connection.state is ConnectionState.IDLE
            for endpoint in group.endpoints.values()
            for connection in endpoint.connections.values()
        )

    def _candidates(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> list[EndpointRow]:
        usable = self._usable(request, group, floor)
        return sorted(usable, key=lambda e: self._cost(e, group, request))

    def _usable(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> Iterator[EndpointRow]:
        """Return the endpoints that may run a statement, in no particular order."""
        if floor is None:
            if group.primary_row is not None:
                yield group.primary_row
            return
        for endpoint in group.endpoints.values():
            if self._is_usable(request, endpoint, group, floor):
                yield endpoint

    def _is_usable(
        self,
        request: RequestRow,
        endpoint: EndpointRow,
        group: GroupRow,
        floor: LogPosition,
    ) -> bool:
        if endpoint.name == group.primary:
            return True
        if endpoint.is_leaving or endpoint.name in request.avoided_endpoints:
            return False
        if endpoint.connect_failures and not endpoint.connections:
            return False
        return self._floors.may_have(endpoint, floor)

    def _cost(
        self, endpoint: EndpointRow, group: GroupRow, request: RequestRow
    ) -> float:
        identity = self._node.identity
        domain = endpoint.entry.failure_domain
        return cost(
            endpoint,
            is_primary=endpoint.name == group.primary,
            is_avoided=endpoint.name in request.avoided_endpoints,
            is_same_region=identity.region_of(domain) == identity.region,
        )


def _is_opening_forwarded(endpoint: EndpointRow) -> bool:
    """Return whether a forwarded connection to an endpoint is being opened."""
    return any(
        connection.holder and connection.state is ConnectionState.OPENING
        for connection in endpoint.connections.values()
    )


def _wait_reason(group: GroupRow, floor: LogPosition | None) -> str:
    """Return the reason why a statement waits."""
    if floor is not None:
        return "waits for a connection"
    if group.primary_row is None:
        return "no primary is known"
    return f"waits for a connection to {group.primary}"
