"""How many connections this host may hold to an endpoint, and by way of whom others."""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.policy.sharing import part_of_customer
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    HostRow,
    ProxySystem,
)

__all__ = ["Shares"]

# Connections by way of one holder to one endpoint: they cost a socket at each end, and
# the holder has fewer to the endpoint itself.
LINKS_MAX = 6
# Connections to one endpoint by way of hosts that hold theirs as this one does: in all,
# and by way of one of them. A small fleet holds few each, and about half of its hosts
# are of the endpoint's region or of this host's.
LENT_MAX = 8
# Connections to one endpoint of a host that is cut off from the holders: others may be
# as well, and the endpoint has few that the holders leave free.
DIRECT_MAX = 1
LENT_BY_HOST = 2
# An endpoint keeps the connections of hosts that lost power for seconds. Where all
# hosts did, their successors find room for a part of their shares; if the first took
# the whole one, others would get no connection at all.
FIRST_TIME = 0.5  # seconds after a start, with half the share


class Shares(ProxySystem):
    """Keep this host to its part of the connections that all hosts may have."""

    __slots__ = ("_holders", "_started_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._started_at = node.timers.now
        self._holders: Holders

    def start(self) -> None:
        """Find the system that is asked."""
        self._holders = self._node.system(Holders)

    def may_open(self, endpoint: EndpointRow, beyond_share: bool) -> bool:
        """Tell whether this host may open one more connection on its usual way."""
        if self.now < endpoint.connect_backoff_until:
            return False
        if self._holders.is_cut_off(endpoint) and self._direct(endpoint) >= DIRECT_MAX:
            return False
        return beyond_share or self._held(endpoint) < self._share(endpoint)

    def is_taken_up(self, endpoint: EndpointRow) -> bool:
        """Tell whether this host has all the connections that are its part."""
        return self._held(endpoint) >= self._share(endpoint)

    def has_its_part(self, endpoint: EndpointRow, customer: str | None) -> bool:
        """Tell whether a customer uses all of this host's connections that it may."""
        if customer is None:
            return False
        busy = sum(
            1
            for connection in endpoint.connections.values()
            if connection.customer == customer
            and connection.state is not ConnectionState.IDLE
        )
        return busy >= part_of_customer(self._share(endpoint))

    def is_surplus(self, connection: ConnectionRow) -> bool:
        """Tell whether other hosts count on this connection not being there."""
        endpoint = connection.endpoint
        service = endpoint.entry.service
        if connection.holder:
            return not self._holders.is_holder(service, connection.holder)
        if not self._holders.holds(service):
            # Kept as long as no holder serves in its place.
            return not self._holders.is_cut_off(endpoint) and any(
                other.holder and other.state is not ConnectionState.OPENING
                for other in endpoint.connections.values()
            )
        return self._held(endpoint) > self._holders.share(service)

    def is_spare(self, endpoint: EndpointRow) -> bool:
        """Tell whether this host has more than half of its share of an endpoint."""
        service = endpoint.entry.service
        return self._held(endpoint) > max(1, self._holders.share(service) // 2)

    def way(self, endpoint: EndpointRow) -> HostRow | None:
        """Return the host by way of which an endpoint is reached; None: directly."""
        holders = self._holders
        if holders.holds(endpoint.entry.service) or holders.is_cut_off(endpoint):
            return None
        return holders.route(endpoint)

    def goes_without_holders(self, endpoint: EndpointRow) -> bool:
        """Tell whether this host reaches an endpoint itself that others hold."""
        if self._direct(endpoint) == 0:
            return False
        return not self._holders.holds(endpoint.entry.service)

    @staticmethod
    def _direct(endpoint: EndpointRow) -> int:
        connections = endpoint.connections.values()
        return sum(1 for connection in connections if not connection.holder)

    def lender(self, endpoint: EndpointRow) -> HostRow | None:
        """Return the host that should serve one more connection, if any may.

        Among few holders it is for those that the endpoint turns away: each has as
        many connections as the others, and as many that come to it.
        """
        service = endpoint.entry.service
        if not self._holders.holds(service):
            return None
        turned_away = self.now < endpoint.connect_backoff_until
        if not turned_away and not self._holders.all_hold(service):
            return None
        lent = [c.holder for c in endpoint.connections.values() if c.holder]
        lenders = [
            host
            for host in self._holders.lenders(endpoint)
            if lent.count(host.name) < LENT_BY_HOST
        ]
        if len(lent) >= LENT_MAX or not lenders:
            return None
        self._node.random.shuffle(lenders)
        return min(lenders, key=lambda host: lent.count(host.name))

    def _share(self, endpoint: EndpointRow) -> int:
        service = endpoint.entry.service
        if not self._holders.holds(service):
            return LINKS_MAX
        share = self._holders.share(service)
        if self.now < self._started_at + FIRST_TIME:
            return max(1, share // 2)
        return share

    def _held(self, endpoint: EndpointRow) -> int:
        """Return how many connections count towards this host's share."""
        connections = endpoint.connections.values()
        if not self._holders.holds(endpoint.entry.service):
            return len(connections)
        return sum(1 for connection in connections if not connection.holder)
