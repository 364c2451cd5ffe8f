"""Which hosts hold connections to a service's endpoints, and how the others reach them.

Endpoints take few connections, and run fewer statements still at once. Where each host
of a large fleet would get less than two connections, or where one statement of each
would be more than an endpoint should have, some of them hold all: each other host
reaches an endpoint by way of a holder in its own failure domain, which runs the
statements over the connections that it has.
"""

from __future__ import annotations

from zlib import crc32

from mallowpass.core.proxy.policy.sharing import (
    STATEMENTS_PER_SLOT,
    Fleet,
    Plan,
    make_plan,
)
from mallowpass.core.proxy.tables import (
    ConnectionState,
    EndpointRow,
    HostRow,
    ProxySystem,
)
from mallowpass.core.records import record

__all__ = ["Holders"]

# How long a holder that could not be reached is passed over.
FAILED_TIME = 2.0  # seconds
# For how long it counts that a holder did not answer, and of how many at the least, for
# a host to go without them.
SILENT_TIME = 5.0  # seconds
SILENT_MIN = 2


@record
class _KnownPlan:
    """Hold a plan, and what of the endpoints it was made for."""

    plan: Plan
    statements: int  # that a full endpoint should have at once
    endpoints_version: int


class Holders(ProxySystem):
    """Know who holds what; every host works it out from the same entries."""

    __slots__ = (
        "_failed",
        "_fleet",
        "_out_of_reach",
        "_plans",
        "_plans_for",
        "_silent",
    )

    def start(self) -> None:
        """Start with nothing known."""
        self._plans: dict[str, _KnownPlan] = {}  # by service
        self._plans_for: tuple[int, int] = (-1, -1)
        self._fleet = Fleet(())
        # Until when a holder is passed over: by host, and by host and endpoint.
        self._failed: dict[str, float] = {}
        self._out_of_reach: dict[tuple[str, str], float] = {}
        self._silent: dict[str, float] = {}  # until when it counts, by host

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
        if not self.holds(service):
            return 0
        return plan.share + (self._node.identity.name in plan.favoured)

    def holds(self, service: str) -> bool:
        """Tell whether this host connects to a service's endpoints itself."""
        plan = self._plan(service)
        name = self._node.identity.name
        return plan.direct or any(holder.name == name for holder in plan.holders)

    def all_hold(self, service: str) -> bool:
        """Tell whether every host connects to a service's endpoints."""
        return self._plan(service).direct

    def holder_count(self, service: str) -> int:
        """Return how many hosts connect to a service's endpoints."""
        plan = self._plan(service)
        return len(self.tables.hosts) if plan.direct else len(plan.holders)

    def statements(self, service: str) -> int:
        """Return how many statements of all hosts a full endpoint should have."""
        endpoints = self.tables.group(service).endpoints.values()
        slots = [max(1, endpoint.entry.slots) for endpoint in endpoints]
        return STATEMENTS_PER_SLOT * min(slots, default=1)

    def route(self, endpoint: EndpointRow) -> HostRow | None:
        """Return the holder by way of whom this host reaches an endpoint, if any does.

        Best one that is not being tried: two that are silent are then found at once.
        """
        plan = self._plan(endpoint.entry.service)
        usable = [host for host in plan.holders if self._may_reach(host, endpoint)]
        tried = {
            connection.holder
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.OPENING
        }
        others = [host for host in usable if host.name not in tried]
        candidates = others or usable or plan.holders
        return min(candidates, key=self._distance, default=None)

    def is_cut_off(self, endpoint: EndpointRow) -> bool:
        """Tell whether this host should reach an endpoint without its holders.

        Where two of them do not answer, it is most likely this host that is cut off
        from other hosts. Its callers, and the endpoint, it may well reach.
        """
        if self.holds(endpoint.entry.service):
            return False
        plan = self._plan(endpoint.entry.service)
        silent = [h for h in plan.holders if self._silent.get(h.name, 0.0) > self.now]
        return len(silent) >= min(SILENT_MIN, len(plan.holders))

    def has_route(self, endpoint: EndpointRow) -> bool:
        """Tell whether a holder is left that has not failed to reach an endpoint."""
        plan = self._plan(endpoint.entry.service)
        return any(self._may_reach(host, endpoint) for host in plan.holders)

    def _may_reach(self, host: HostRow, endpoint: EndpointRow) -> bool:
        if self._failed.get(host.name, 0.0) > self.now:
            return False
        return self._out_of_reach.get((host.name, endpoint.name), 0.0) <= self.now

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
            and self._may_reach(host, endpoint)
        ]

    def other_holders(self, service: str) -> list[HostRow]:
        """Return the other hosts that connect to a service's endpoints."""
        plan = self._plan(service)
        hosts = self.tables.hosts.values() if plan.direct else plan.holders
        name = self._node.identity.name
        return [host for host in hosts if host.name != name and host.address]

    def failed(self, holder: str, silent: bool = False) -> None:
        """Pass a holder over for a while that could not be reached, or said nothing."""
        self._failed[holder] = self.now + FAILED_TIME
        if silent:
            self._silent[holder] = self.now + SILENT_TIME

    def answered(self, holder: str) -> None:
        """Note that a holder can be reached."""
        self._silent.pop(holder, None)

    def cannot_reach(self, holder: str, endpoint: EndpointRow) -> None:
        """Pass a holder over for a while that can't reach one endpoint."""
        for pair, until in list(self._out_of_reach.items()):
            if until <= self.now:
                del self._out_of_reach[pair]
        self._out_of_reach[(holder, endpoint.name)] = self.now + FAILED_TIME

    # -- Planning ------------------------------------------------------------

    def _plan(self, service: str) -> Plan:
        configuration = self.tables.configuration
        version = configuration.version if configuration is not None else 0
        key = (self.tables.hosts_version, version)
        if key != self._plans_for:
            self._plans_for = key
            self._plans.clear()
            self._fleet = Fleet(self.tables.hosts.values())
        known = self._plans.get(service)
        if known is None or known.endpoints_version != self.tables.endpoints_version:
            known = self._plans[service] = self._renew(service, known)
        return known.plan

    def _renew(self, service: str, known: _KnownPlan | None) -> _KnownPlan:
        """Return a plan that holds for the endpoints known now.

        Choosing holders weighs all hosts. Done anew for all services with each endpoint
        that enters itself, it would take a host's whole time at the start of a fleet.
        """
        statements = self.statements(service)
        if known is None or known.statements != statements:
            plan = self._make(service, statements)
        else:
            plan = known.plan
        return _KnownPlan(plan, statements, self.tables.endpoints_version)

    def _make(self, service: str, statements: int) -> Plan:
        configuration = self.tables.configuration
        limits = configuration.services.get(service) if configuration else None
        if limits is None:
            return Plan(direct=True, share=0)
        return make_plan(service, limits.connections, self._fleet, statements)

    def _distance(self, host: HostRow) -> tuple[int, int]:
        identity = self._node.identity
        weight = crc32(f"{identity.name} {host.name}".encode())
        if host.domain == identity.failure_domain:
            return (0, weight)
        if identity.region_of(host.domain) == identity.region:
            return (1, weight)
        return (2, weight)
