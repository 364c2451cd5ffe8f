"""Which endpoint runs a statement, among those that may."""

from __future__ import annotations

from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.floors import Floors
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

__all__ = ["Routing"]


class Routing(ProxySystem):
    """Choose endpoints by place, load, latency and position."""

    __slots__ = ("_connections", "_floors", "_load")

    def start(self) -> None:
        """Find the systems that are asked."""
        self._connections = self._node.system(Connections)
        self._floors = self._node.system(Floors)
        self._load = self._node.system(Load)

    def required_floor(
        self, request: RequestRow, group: GroupRow
    ) -> LogPosition | None:
        """Return what a replica must prove; None: a primary alone may run it."""
        if request.needs_primary:
            return None
        return self._floors.required_floor(request, group)

    def choose(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> Choice:
        """Return an idle connection for a statement; ask for one where none is idle."""
        first = None
        candidates = self._candidates(request, group, floor)
        open_to_more = [e for e in candidates if self._load.has_room(e)]
        for endpoint in open_to_more:
            connection = self._connections.acquire(
                endpoint, request.session.values, request.customer
            )
            if connection is not None:
                return Choice(connection, floor)
            if first is None:
                first = endpoint
                self._connections.grow(endpoint, request.customer, borrow=True)
                if endpoint.name != group.primary and _is_linking(endpoint):
                    # A link takes a round trip to a neighbour. When all hosts start
                    # at once, the primary would get the first reads of each.
                    break
        full = bool(candidates) and not open_to_more
        return Choice(None, why=_reason(group, floor), full=full)

    def has_full_endpoint(self, group: GroupRow) -> bool:
        """Tell whether an endpoint of a group has more to do than it should."""
        return not all(map(self._load.has_room, group.endpoints.values()))

    @staticmethod
    def has_idle_connection(group: GroupRow) -> bool:
        """Tell whether a connection to any endpoint of a group is idle."""
        return any(
            connection.state is ConnectionState.IDLE
            for endpoint in group.endpoints.values()
            for connection in endpoint.connections.values()
        )

    def _candidates(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> list[EndpointRow]:
        primary = group.primary_row
        if floor is None:
            return [] if primary is None else [primary]
        usable = [
            endpoint
            for endpoint in group.endpoints.values()
            if self._is_usable(request, endpoint, group, floor)
        ]
        usable.sort(key=lambda endpoint: self._cost(endpoint, group, request))
        return usable

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


def _is_linking(endpoint: EndpointRow) -> bool:
    """Tell whether a connection by way of another host is being opened."""
    return any(
        connection.holder and connection.state is ConnectionState.OPENING
        for connection in endpoint.connections.values()
    )


def _reason(group: GroupRow, floor: LogPosition | None) -> str:
    """Return what a statement waits for."""
    if floor is not None:
        return "waits for a connection"
    if group.primary_row is None:
        return "no primary is known"
    return f"waits for a connection to {group.primary}"
