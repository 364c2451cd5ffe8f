"""Which hosts hold connections to a service's endpoints, and how the others reach them.

Endpoints take few connections, and run fewer statements still at once. Where each host
of a large fleet would get less than two connections, or where one statement of each
would be more than an endpoint should have, some of them hold all: each other host
reaches an endpoint by way of a holder in its own failure domain, which runs the
statements over the connections that it has.
"""

from __future__ import annotations

from zlib import crc32

from mallowpass.core.proxy.tables import EndpointRow, HostRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["Holders"]

# A host that holds fewer connections than this to an endpoint would have to make a
# statement wait for each transaction that is open.
SHARE_MIN = 2
# Connections of one holder to an endpoint. More would leave fewer holders, so that the
# end of one touches more sessions; fewer would wait for each other's transactions.
SHARE_OF_HOLDER = 5
# Statements of all hosts that a full endpoint should have for each of its slots. At 2
# the slots of one in another region would stand idle during round trips of 24 ms; at 10
# (62 hosts, 6 slots) each statement waited 0.3 s there, whatever its priority.
STATEMENTS_PER_SLOT = 4
# Of these, statements of one holder: one alone would wait for each other's.
STATEMENTS_OF_HOLDER = 2
# Share of the limit that the shares of all hosts leave free, for the connections of
# hosts that died: endpoints drop these after seconds only.
RESERVED_SHARE = 0.1
# How long a holder that could not be reached is passed over.
FAILED_TIME = 2.0  # seconds


@record
class _Plan:
    """Hold who holds a service; `direct` tells that every host does."""

    direct: bool
    share: int  # connections of each holder to each endpoint
    holders: tuple[HostRow, ...] = ()


class Holders(ProxySystem):
    """Know who holds what; every host works it out from the same entries."""

    __slots__ = ("_failed", "_plans", "_plans_for")

    def start(self) -> None:
        """Start with nothing known."""
        self._plans: dict[str, _Plan] = {}  # by service
        self._plans_for: tuple[int, int, int] = (-1, -1, -1)
        self._failed: dict[str, float] = {}  # until when, by host

    # -- Questions -----------------------------------------------------------

    @property
    def known(self) -> bool:
        """Tell whether the other hosts were learnt, so that shares mean something."""
        return self.tables.hosts_version > 0

    def is_holder(self, service: str, host: str) -> bool:
        """Tell whether another host holds a service."""
        plan = self._plan(service)
        if plan.direct:
            return host in self.tables.hosts
        return any(holder.name == host for holder in plan.holders)

    def share(self, service: str) -> int:
        """Return how many connections this host may hold to each endpoint."""
        plan = self._plan(service)
        return plan.share if self.holds(service) else 0

    def holds(self, service: str) -> bool:
        """Tell whether this host connects to a service's endpoints itself."""
        plan = self._plan(service)
        name = self._node.identity.name
        return plan.direct or any(holder.name == name for holder in plan.holders)

    def all_hold(self, service: str) -> bool:
        """Tell whether every host connects to a service's endpoints."""
        return self._plan(service).direct

    def holding_hosts(self, service: str) -> int:
        """Return how many hosts connect to a service's endpoints."""
        plan = self._plan(service)
        return len(self.tables.hosts) if plan.direct else len(plan.holders)

    def statements(self, service: str) -> int:
        """Return how many statements of all hosts a full endpoint should have."""
        endpoints = self.tables.group(service).endpoints.values()
        slots = [max(1, endpoint.entry.slots) for endpoint in endpoints]
        return STATEMENTS_PER_SLOT * min(slots, default=1)

    def route(self, service: str) -> HostRow | None:
        """Return the holder by way of whom this host reaches a service, if any does."""
        plan = self._plan(service)
        usable = [h for h in plan.holders if self._failed.get(h.name, 0.0) <= self.now]
        candidates = usable or list(plan.holders)
        if not candidates:
            return None
        return min(candidates, key=self._distance)

    def lenders(self, endpoint: EndpointRow) -> list[HostRow]:
        """Return the holders by way of which an endpoint is as near as from here.

        Those are the ones of this host's region and of the endpoint's.
        """
        identity = self._node.identity
        regions = {
            identity.region,
            identity.region_of(endpoint.entry.failure_domain),
        }
        plan = self._plan(endpoint.entry.service)
        return [
            host
            for host in (self.tables.hosts.values() if plan.direct else plan.holders)
            if host.name != identity.name
            and host.address
            and identity.region_of(host.domain) in regions
            and self._failed.get(host.name, 0.0) <= self.now
        ]

    def failed(self, holder: str) -> None:
        """Pass a holder over for a while that could not be reached."""
        self._failed[holder] = self.now + FAILED_TIME

    # -- Planning ------------------------------------------------------------

    def _plan(self, service: str) -> _Plan:
        configuration = self.tables.configuration
        version = configuration.version if configuration is not None else 0
        key = (self.tables.hosts_version, self.tables.endpoints_version, version)
        if key != self._plans_for:
            self._plans_for = key
            self._plans.clear()
        plan = self._plans.get(service)
        if plan is None:
            plan = self._plans[service] = self._make(service)
        return plan

    def _make(self, service: str) -> _Plan:
        configuration = self.tables.configuration
        limits = configuration.services.get(service) if configuration else None
        if limits is None:
            return _Plan(direct=True, share=0)
        usable = int(limits.connections * (1.0 - RESERVED_SHARE))
        hosts = list(self.tables.hosts.values())
        share = usable // max(1, len(hosts))
        statements = self.statements(service)
        if share >= SHARE_MIN and len(hosts) <= statements:
            return _Plan(direct=True, share=share)
        count = min(usable // SHARE_OF_HOLDER, statements // STATEMENTS_OF_HOLDER)
        count = max(1, count)
        holders = self._choose(service, hosts, count)
        return _Plan(False, max(1, usable // len(holders)), holders)

    def _choose(
        self, service: str, hosts: list[HostRow], count: int
    ) -> tuple[HostRow, ...]:
        """Choose holders by turns from all failure domains, the largest hosts first."""
        domains: dict[str, list[HostRow]] = {}
        for host in hosts:
            domains.setdefault(host.domain, []).append(host)
        for members in domains.values():
            members.sort(key=lambda host: (-host.capacity, _weight(service, host)))
        ranked = [
            (index, _weight(service, host), host)
            for members in domains.values()
            for index, host in enumerate(members)
        ]
        ranked.sort(key=lambda item: item[:2])
        return tuple(host for _, _, host in ranked[:count])

    def _distance(self, host: HostRow) -> tuple[int, int]:
        identity = self._node.identity
        weight = crc32(f"{identity.name} {host.name}".encode())
        if host.domain == identity.failure_domain:
            return (0, weight)
        if identity.region_of(host.domain) == identity.region:
            return (1, weight)
        return (2, weight)


def _weight(service: str, host: HostRow) -> int:
    # The same at every host, and different for each service: one host that holds all
    # of them would be the one that all wait for.
    return crc32(f"{service} {host.name}".encode())
