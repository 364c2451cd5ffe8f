"""Choose the holder, and the connection to it, that run a customer's statements.

A connection to an endpoint serves one customer, and the holders have fewer connections
than there are customers. So all hosts forward the statements of a customer to the same
holder, its home, and to another one only while that holder fails or is unreachable. A
holder forwards its own callers' statements in the same way. It runs statements that
other hosts forwarded to it on its own connections.
"""

from __future__ import annotations

from mallowpass.core.proxy.customers import ANONYMOUS
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.policy.affinity import order_holders
from mallowpass.core.proxy.policy.holderchoice import forwarding_cost, leg_time
from mallowpass.core.proxy.policy.sharing import Plan
from mallowpass.core.proxy.shares import Shares
from mallowpass.core.proxy.tables import (
    ConnectionRow,
    ConnectionState,
    EndpointRow,
    HostRow,
    ProxySystem,
)
from mallowpass.core.records import record

__all__ = ["LINK_WAIT", "CustomerHolders"]

# Seconds for which a statement waits for a link to the best holder while a connection
# by way of another one is idle: two round trips between regions.
LINK_WAIT = 0.05
# Holders to which this host may open links to one endpoint at once: as many as may be
# tried before the first attempt is given up.
OPENING_MAX = 4
# Links to one holder that may be opened at once, while as many statements wait.
OPENING_PER_HOLDER_MAX = 4
# Orders that are kept, over all services, regions and customers.
ORDERS_MAX = 10_000


@record
class _Candidate:
    """A holder for a customer's statements at one endpoint."""

    host: HostRow
    rank: int  # in the customer's order, from 0
    distance: float  # round trip by way of it to the endpoint, in seconds


class CustomerHolders(ProxySystem):
    """Choose holders by the customer's order and distance."""

    __slots__ = ("_holders", "_orders", "_shares")

    def start(self) -> None:
        """Look up the systems that this one uses."""
        self._holders = self._node.system(Holders)
        self._shares = self._node.system(Shares)
        # By service, failure domain of the endpoint, and customer; with the plan from
        # which they were made.
        self._orders: dict[
            tuple[str, str, str], tuple[Plan, tuple[_Candidate, ...]]
        ] = {}

    def applies(self, endpoint: EndpointRow, customer: str | None) -> bool:
        """Return whether connections of a customer follow its order of holders."""
        if customer is None:
            return False
        if not self._holders.serves_customers(endpoint.entry.service):
            return False
        return not self._holders.is_cut_off(endpoint)

    def forwards(self, endpoint: EndpointRow, customer: str | None) -> bool:
        """Return whether a statement of this host's callers goes by that order."""
        return self.applies(endpoint, customer)

    def is_home(self, endpoint: EndpointRow, customer: str) -> bool:
        """Return whether this host is the first holder of a customer."""
        name = self._node.identity.name
        candidates = self._candidates(endpoint, customer)
        return any(c.rank == 0 and c.host.name == name for c in candidates)

    def by_cost(self, endpoint: EndpointRow, customer: str) -> list[HostRow]:
        """Return the usable holders for a customer's statement, the best one first.

        If no holder is usable, all are returned. A holder that is cut off from the
        others is the best one for its own callers.
        """
        candidates = self._candidates(endpoint, customer)
        if self._holders.is_isolated(endpoint.entry.service):
            name = self._node.identity.name
            own = [c.host for c in candidates if c.host.name == name]
            return own + [c.host for c in candidates if c.host.name != name]
        failed = self._holders.failed_holders(endpoint)
        usable = [c for c in candidates if c.host.name not in failed] or candidates
        return [candidate.host for candidate in usable]

    def choose(
        self,
        endpoint: EndpointRow,
        customer: str,
        values: dict[str, str] | None,
        idle: list[ConnectionRow],
        may_wait: bool,
    ) -> ConnectionRow | None:
        """Choose one of some idle connections; None to wait for a better one.

        An own connection of the customer is preferred, then a link to the best holder.
        `may_wait`: if None is returned, a better connection is opened.
        """
        direct = [connection for connection in idle if not connection.holder]
        if direct:
            return max(direct, key=lambda c: c.values == values)
        if not idle:
            return None
        hosts = self.by_cost(endpoint, customer)
        ranks = {host.name: rank for rank, host in enumerate(hosts)}
        best = min(
            idle, key=lambda c: (ranks.get(c.holder, len(ranks)), c.values != values)
        )
        if (
            best.holder != hosts[0].name
            and may_wait
            and self._is_worth_waiting(endpoint, customer, hosts[0])
        ):
            return None
        return best

    def next_holder(self, endpoint: EndpointRow, customer: str) -> HostRow | None:
        """Return the holder to connect through, None while enough links are opening.

        Of statements that arrive together, each needs a link: opened one after the
        other, the last of six writes waited for five round trips.

        A holder that has not accepted a link for `LINK_WAIT` is passed over, so that
        two holders that do not answer are detected at about the same time.
        """
        for host in self.by_cost(endpoint, customer):
            opening = self._opening(endpoint, host)
            if not opening:
                return host
            if self.now < opening[0].opened_at + LINK_WAIT:
                waiting = len(self.tables.group(endpoint.entry.service).waiting)
                more = len(opening) < min(OPENING_PER_HOLDER_MAX, waiting)
                return host if more else None
        return None

    def can_open_link(self, endpoint: EndpointRow) -> bool:
        """Return whether a link may be opened now, if there is room for it."""
        is_holder = self._holders.holds(endpoint.entry.service)
        if not is_holder and self.now < endpoint.connect_backoff_until:
            return False
        links = [c for c in endpoint.connections.values() if c.holder]
        opening = {c.holder for c in links if c.state is ConnectionState.OPENING}
        return len(opening) < OPENING_MAX

    def room_for(self, endpoint: EndpointRow, host: HostRow) -> bool | ConnectionRow:
        """Return whether a link may be opened, or the idle link to close for it.

        The idle link is one to another holder, if this host has none to `host`.
        """
        links = [c for c in endpoint.connections.values() if c.holder]
        if len(links) < self._shares.link_limit(endpoint):
            return True
        if any(link.holder == host.name for link in links):
            return False
        idle = [link for link in links if link.state is ConnectionState.IDLE]
        idle = [link for link in idle if not link.is_single_use]
        return min(idle, key=lambda link: link.last_used_at, default=False)

    def _is_worth_waiting(
        self, endpoint: EndpointRow, customer: str, best: HostRow
    ) -> bool:
        """Return whether a connection by way of the best holder will be open soon."""
        if best.name == self._node.identity.name:
            return self._shares.can_serve_soon(endpoint, customer)
        opening = self._opening(endpoint, best)
        if opening:
            return self.now < opening[0].opened_at + LINK_WAIT
        return self.can_open_link(endpoint) and bool(self.room_for(endpoint, best))

    @staticmethod
    def _opening(endpoint: EndpointRow, host: HostRow) -> list[ConnectionRow]:
        """Return the links to a holder that are being opened, the first one first."""
        opening = (
            connection
            for connection in endpoint.connections.values()
            if connection.holder == host.name
            and connection.state is ConnectionState.OPENING
            and not connection.is_single_use
        )
        return sorted(opening, key=lambda c: c.opened_at)

    def _candidates(
        self, endpoint: EndpointRow, customer: str
    ) -> tuple[_Candidate, ...]:
        """Return the holders of a service, by their cost."""
        entry = endpoint.entry
        plan = self._holders.plan_of(entry.service)
        key = (entry.service, entry.failure_domain, customer)
        cached = self._orders.get(key)
        if cached is not None and cached[0] is plan:
            return cached[1]
        if len(self._orders) >= ORDERS_MAX:
            self._orders.clear()
        candidates = self._order(endpoint, customer, plan)
        self._orders[key] = (plan, candidates)
        return candidates

    def _order(
        self, endpoint: EndpointRow, customer: str, plan: Plan
    ) -> tuple[_Candidate, ...]:
        hosts = {host.name: host for host in plan.holders}
        local = self._holders.local_holders(endpoint)
        if customer == ANONYMOUS:
            # Not a single customer: the callers without keys of all hosts may be more
            # than one holder can serve.
            customer = f"{customer} {self._node.identity.name}"
        identity = self._node.identity
        domain = endpoint.entry.failure_domain
        candidates = [
            _Candidate(
                hosts[name],
                rank,
                self._leg(identity.failure_domain, hosts[name].domain)
                + self._leg(hosts[name].domain, domain),
            )
            for rank, name in enumerate(order_holders(customer, hosts, local))
        ]
        candidates.sort(key=lambda c: forwarding_cost(c.distance, c.rank))
        return tuple(candidates)

    def _leg(self, one: str, other: str) -> float:
        region_of = self._node.identity.region_of
        return leg_time(one == other, region_of(one) == region_of(other))
