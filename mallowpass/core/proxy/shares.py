"""Limit the connections of this host to each endpoint, and choose their paths.

A connection goes to the endpoint directly, or through a holder, which forwards its
statements. It is borrowed if it goes through another host although this host is a
holder itself.
"""

from __future__ import annotations

from mallowpass.core.node import Node
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.policy.sharing import customer_share
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    HostRow,
    ProxySystem,
)

__all__ = ["FORWARDED_MAX", "Shares"]

# Connections through holders to one endpoint, for a host that is not a holder: each
# takes a socket at both ends, and a holder has fewer connections to the endpoint.
FORWARDED_MAX = 6
# The same where connections belong to customers, for each holder in the endpoint's
# region: each customer's statements go to a holder of its own. Limited in total, as a
# service with many connections has dozens of holders.
LINKS_PER_HOLDER = 4
LINKS_MAX = 16
# Borrowed connections to one endpoint, in total and through one host. In a small fleet
# each host has few connections, and about half of the hosts are in the endpoint's
# region or in the borrower's.
BORROWED_MAX = 8
BORROWED_PER_HOST_MAX = 2
# Direct connections to one endpoint of a host that is cut off from the holders: other
# hosts may be cut off as well, and the holders leave few connections of the endpoint's
# limit free.
DIRECT_MAX = 1
# Seconds after its start in which a host uses half of its share. An endpoint keeps the
# connections of hosts that lost power for seconds. If all hosts lost power, endpoints
# have room for only a part of all shares: if the first hosts to start used their whole
# shares, others would get no connection at all.
FIRST_TIME = 0.5


class Shares(ProxySystem):
    """Keep this host within its share of the connections that an endpoint accepts."""

    __slots__ = ("_holders", "_started_at")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._started_at = node.timers.now
        self._holders: Holders

    def start(self) -> None:
        """Look up the system that plans the shares."""
        self._holders = self._node.system(Holders)

    def can_open(self, endpoint: EndpointRow, beyond_share: bool) -> bool:
        """Return whether this host may open one more connection, not borrowed."""
        if self.now < endpoint.connect_backoff_until:
            return False
        if (
            self._holders.is_cut_off(endpoint)
            and self._direct_count(endpoint) >= DIRECT_MAX
        ):
            return False
        return beyond_share or self._count(endpoint) < self._share(endpoint)

    def is_exhausted(self, endpoint: EndpointRow) -> bool:
        """Return whether this host has all connections that it may have."""
        if self._holders.is_cut_off(endpoint):
            return self._direct_count(endpoint) >= DIRECT_MAX
        return self._count(endpoint) >= self._share(endpoint)

    def is_customer_at_limit(self, endpoint: EndpointRow, customer: str | None) -> bool:
        """Return whether a customer uses as many of this host's connections as allowed.

        None stands for this host's own statements, which have no limit.
        """
        if customer is None:
            return False
        busy = sum(
            1
            for connection in endpoint.connections.values()
            if connection.customer == customer
            and connection.state is not ConnectionState.IDLE
        )
        return busy >= customer_share(self._share(endpoint))

    def is_surplus(self, connection: ConnectionRow) -> bool:
        """Return whether a connection exceeds what the plan of all hosts assigns."""
        endpoint = connection.endpoint
        service = endpoint.entry.service
        if connection.holder:
            return not self._holders.is_holder(service, connection.holder)
        if not self._holders.holds(service):
            # A direct connection is kept until one through a holder has replaced it.
            return not self._holders.is_cut_off(endpoint) and any(
                other.holder and other.state is not ConnectionState.OPENING
                for other in endpoint.connections.values()
            )
        return self._count(endpoint) > self._holders.share_of(endpoint)

    def is_above_half(self, endpoint: EndpointRow) -> bool:
        """Return whether this host has more than half of its share of connections."""
        return self._count(endpoint) > max(1, self._holders.share_of(endpoint) // 2)

    def path(self, endpoint: EndpointRow) -> HostRow | None:
        """Return the holder to connect through, None to connect directly."""
        holders = self._holders
        if holders.holds(endpoint.entry.service) or holders.is_cut_off(endpoint):
            return None
        return holders.nearest_holder(endpoint)

    def bypasses_holders(self, endpoint: EndpointRow) -> bool:
        """Return whether this host has a direct connection though it is no holder."""
        if self._direct_count(endpoint) == 0:
            return False
        return not self._holders.holds(endpoint.entry.service)

    @staticmethod
    def _direct_count(endpoint: EndpointRow) -> int:
        connections = endpoint.connections.values()
        return sum(1 for connection in connections if not connection.holder)

    def lender(self, endpoint: EndpointRow) -> HostRow | None:
        """Return the host through which to borrow a connection, None if there is none.

        Where only some hosts are holders, a holder borrows only while the endpoint
        refuses its connections: all holders have the same share, and the same number of
        hosts that forward to them.
        """
        service = endpoint.entry.service
        if not self._holders.holds(service):
            return None
        is_refused = self.now < endpoint.connect_backoff_until
        if not is_refused and not self._holders.are_all_holders(service):
            return None
        borrowed = [c.holder for c in endpoint.connections.values() if c.holder]
        lenders = [
            host
            for host in self._holders.lenders(endpoint)
            if borrowed.count(host.name) < BORROWED_PER_HOST_MAX
        ]
        if len(borrowed) >= BORROWED_MAX or not lenders:
            return None
        self._node.random.shuffle(lenders)
        return min(lenders, key=lambda host: borrowed.count(host.name))

    def link_limit(self, endpoint: EndpointRow) -> int:
        """Return how many connections through holders this host may have."""
        if not self._holders.serves_customers(endpoint.entry.service):
            return FORWARDED_MAX
        wanted = LINKS_PER_HOLDER * len(self._holders.local_holders(endpoint))
        # With fewer links than local holders, links would be closed for one another.
        return max(FORWARDED_MAX, min(LINKS_MAX, wanted), wanted // LINKS_PER_HOLDER)

    def can_serve_soon(self, endpoint: EndpointRow, customer: str) -> bool:
        """Return whether a holder can open a connection for a customer at once.

        Either its share has room, or an idle connection can be closed for it.
        """
        if endpoint.connect_failures or self.now < endpoint.connect_backoff_until:
            return False
        if self.is_customer_at_limit(endpoint, customer):
            return False
        return not self.is_exhausted(endpoint) or any(
            connection.state is ConnectionState.IDLE and not connection.holder
            for connection in endpoint.connections.values()
        )

    def _share(self, endpoint: EndpointRow) -> int:
        if not self._holders.holds(endpoint.entry.service):
            return self.link_limit(endpoint)
        share = self._holders.share_of(endpoint)
        if self.now < self._started_at + FIRST_TIME:
            return max(1, share // 2)
        return share

    def _count(self, endpoint: EndpointRow) -> int:
        """Return the number of connections that count towards this host's share."""
        connections = endpoint.connections.values()
        if not self._holders.holds(endpoint.entry.service):
            return len(connections)
        return sum(1 for connection in connections if not connection.holder)
