"""Which endpoint runs a statement, among those that may."""

from __future__ import annotations

from mallowpass.core.proxy.connections import Connections
from mallowpass.core.proxy.floors import Floors
from mallowpass.core.proxy.load import Load
from mallowpass.core.proxy.statements import LogPosition
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    GroupRow,
    ProxySystem,
    RequestRow,
)
from mallowpass.core.records import record

__all__ = ["Choice", "Line", "Routing"]

# What a statement is taken to last at an endpoint that has not answered any yet, in
# seconds; about twice the mean work of one.
LATENCY_EXPECTED = 0.03
# What a read in another region must save to be worth its bytes, in seconds: a quarter
# of the shortest objective in use. Reads of a calm region stay there; those of one
# whose member is slow or busy go elsewhere. Bytes between regions on a quiet day: 0.016
# of the worth without this, 0.010 with it.
OTHER_REGION_COST = 0.1
# What is added for an endpoint that did not serve the statement before, in seconds:
# more than any other difference.
AVOIDED_COST = 1.0
# A primary alone can run writes: reads that a replica can serve leave it this many
# statements' room.
PRIMARY_COST = 1.0


@record
class Choice:
    """Say what to do with a statement: where to send it, and above which floor.

    Without a connection it waits, and `why` tells for what; `full` tells that each
    endpoint which may run it has more to do than it should.
    """

    connection: ConnectionRow | None
    floor: LogPosition | None = None
    why: str = ""
    full: bool = False


class Line:
    """Remember for what there was no connection, in one look at those that wait.

    Looking for an endpoint for each of hundreds that wait, whenever a statement ends,
    takes a host's whole time. With 200 waiting, statements took 60 to 140 ms, of which
    40 were the endpoint's, and opening a connection took 300.
    """

    __slots__ = ("_primary", "_replicas", "asked")

    def __init__(self) -> None:
        self._primary: Choice | None = None
        self._replicas: tuple[LogPosition, Choice] | None = None  # the lowest floor
        self.asked = 0  # statements that found no connection

    def known(self, floor: LogPosition | None) -> Choice | None:
        """Return what was found for a statement that needed no more than this one."""
        if floor is None:
            return self._primary
        if self._replicas is None or floor < self._replicas[0]:
            return None
        return self._replicas[1]

    def note(self, floor: LogPosition | None, choice: Choice) -> None:
        """Remember that there was none."""
        self.asked += 1
        if floor is None:
            self._primary = choice
        else:
            self._replicas = (floor, choice)


class Routing(ProxySystem):
    """Choose endpoints by place, load, latency and position."""

    __slots__ = ("_connections", "_floors", "_load")

    def start(self) -> None:
        """Find the systems that are asked."""
        self._connections = self._node.system(Connections)
        self._floors = self._node.system(Floors)
        self._load = self._node.system(Load)

    def floor(self, request: RequestRow, group: GroupRow) -> LogPosition | None:
        """Return what a replica must prove; None: a primary alone may run it."""
        if request.needs_primary:
            return None
        return self._floors.floor(request, group)

    def choose(
        self, request: RequestRow, group: GroupRow, floor: LogPosition | None
    ) -> Choice:
        """Return an idle connection for a statement; ask for one where none is idle."""
        first = None
        candidates = self._candidates(request, group, floor)
        open_to_more = [e for e in candidates if self._load.has_room(e)]
        for endpoint in open_to_more:
            connection = self._connections.take(endpoint, request.session.values)
            if connection is not None:
                return Choice(connection, floor)
            if first is None:
                first = endpoint
                self._connections.grow(endpoint, borrow=True)
                if endpoint.name != group.primary and _is_linking(endpoint):
                    # A link takes a round trip to a neighbour. When all hosts start
                    # at once, the primary would get the first reads of each.
                    break
        full = bool(candidates) and not open_to_more
        return Choice(None, why=_reason(group, floor), full=full)

    def any_full(self, group: GroupRow) -> bool:
        """Tell whether an endpoint of a group has more to do than it should."""
        return not all(map(self._load.has_room, group.endpoints.values()))

    @staticmethod
    def has_idle(group: GroupRow) -> bool:
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
        if endpoint.is_leaving or endpoint.name in request.avoided:
            return False
        if endpoint.failures and not endpoint.connections:
            return False
        return self._floors.may_have(endpoint, floor)

    def _cost(
        self, endpoint: EndpointRow, group: GroupRow, request: RequestRow
    ) -> float:
        latency = endpoint.latency or LATENCY_EXPECTED
        load = endpoint.in_flight + 2.0 * endpoint.overdue
        if endpoint.name == group.primary:
            load += PRIMARY_COST
        expected = latency * (1.0 + load / max(1, endpoint.entry.slots))
        if endpoint.name in request.avoided:
            # The primary always has the floor, and may still be the one that is silent.
            expected += AVOIDED_COST
        return expected + self._distance(endpoint)

    def _distance(self, endpoint: EndpointRow) -> float:
        identity = self._node.identity
        domain = endpoint.entry.failure_domain
        if identity.region_of(domain) == identity.region:
            return 0.0
        return OTHER_REGION_COST


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
