"""Determine which hosts connect to a service's endpoints, and how others reach them.

A holder is a host that connects to the endpoints of a service itself. In a small fleet
every host is a holder. In a large fleet, where each host would get fewer than two
connections to an endpoint, or where one statement of each host would overload it, few
hosts are. Each other host forwards its statements to a holder, preferably one in its
own failure domain. The holder runs the statements on its own connections.
"""

from __future__ import annotations

from zlib import crc32

from mallowpass.core.proxy.policy.regionalshares import regional_shares
from mallowpass.core.proxy.policy.sharing import (
    STATEMENTS_PER_SLOT,
    Fleet,
    Plan,
    make_plan,
)
from mallowpass.core.proxy.signals import HolderJoined, HolderLeft
from mallowpass.core.proxy.tables import (
    ConnectionState,
    EndpointRow,
    HostRow,
    ProxySystem,
)
from mallowpass.core.records import record

__all__ = ["Holders"]

# Seconds for which a holder is not used after it refused a connection or failed.
FAILURE_BACKOFF = 2.0
# A holder that did not answer an attempt to connect is counted for this time, in
# seconds. A host that counts at least `UNANSWERED_MIN` connects to endpoints directly.
UNANSWERED_TTL = 5.0
UNANSWERED_MIN = 2
# Seconds for which a former holder, or one whose entry is gone, may keep connections: a
# host that stops serves its transactions until its grace period ends.
FORMER_HOLDER_TTL = 10.0


@record
class _RegionalShares:
    """Shares of the connections to the endpoints of a failure domain."""

    plan: Plan  # from which they were made
    by_holder: dict[str, int]
    total: int
    local: frozenset[str]  # holders in the region


@record
class _FormerHolder:
    """A host that has ceased to be a holder, and until when it may have connections."""

    host: HostRow
    until: float


@record
class _CachedPlan:
    """A plan, and the values from which it was computed."""

    plan: Plan
    statement_limit: int  # statements that an endpoint may have at once
    endpoints_version: int


class Holders(ProxySystem):
    """Determine the holders of each service; all hosts use the same entries."""

    __slots__ = (
        "_failed",
        "_fleet",
        "_former",
        "_last_replies",
        "_link_times",
        "_plans",
        "_plans_version",
        "_present",
        "_regional",
        "_silent",
        "_unanswered",
        "_unreachable",
        "_writers",
    )

    def start(self) -> None:
        """Start without plans, and with all holders usable."""
        self._plans: dict[str, _CachedPlan] = {}  # by service
        # Versions of the hosts' entries and of the configuration.
        self._plans_version: tuple[int, int] = (-1, -1)
        self._fleet = Fleet(())
        # The holders by the newest plan, and former ones, by service and name.
        self._present: dict[str, dict[str, HostRow]] = {}
        self._former: dict[str, dict[str, _FormerHolder]] = {}
        # Hosts that write directly by their own entries, as last read, by service.
        self._writers: dict[str, list[HostRow]] = {}
        # By service and failure domain of the endpoint.
        self._regional: dict[tuple[str, str], _RegionalShares] = {}
        # Times until which a holder is not used: by host, and by host and endpoint.
        self._failed: dict[str, float] = {}
        self._unreachable: dict[tuple[str, str], float] = {}
        # Times until which a holder counts as not answering, by host.
        self._unanswered: dict[str, float] = {}
        # Times until which a holder counts as silent, and times of its last reply, by
        # host.
        self._silent: dict[str, float] = {}
        self._last_replies: dict[str, float] = {}
        # Seconds until a holder accepted the newest link that it accepted, by host.
        self._link_times: dict[str, float] = {}

    # -- Queries -------------------------------------------------------------

    @property
    def are_hosts_known(self) -> bool:
        """Return whether the hosts' entries were read; shares are undefined before."""
        return self.tables.hosts_version > 0

    def is_holder(self, service: str, host: str) -> bool:
        """Return whether another host is a holder of a service."""
        plan = self._plan(service)
        if plan.direct:
            return host in self.tables.hosts
        return any(holder.name == host for holder in plan.holders)

    def share_of(self, endpoint: EndpointRow) -> int:
        """Return how many connections this host may have to an endpoint."""
        service = endpoint.entry.service
        plan = self._plan(service)
        if not self.holds(service):
            return 0
        name = self._node.identity.name
        equal = plan.share + (name in plan.holders_with_extra)
        if not self.serves_customers(service):
            return equal
        share = self._regional_shares(endpoint).by_holder[name]
        # A holder that is cut off from the others can't forward its own callers'
        # statements, and the 2 connections to an endpoint of another region are too few
        # for them.
        return max(share, equal) if self.is_isolated(service) else share

    def part_of(self, endpoint: EndpointRow) -> float:
        """Return this holder's part of the connections to an endpoint, up to 1."""
        total = self._regional_shares(endpoint).total
        return self.share_of(endpoint) / max(1, total)

    def plan_of(self, service: str) -> Plan:
        """Return the plan of a service."""
        return self._plan(service)

    def serves_customers(self, service: str) -> bool:
        """Return whether a service has holders, and connections have customers."""
        configuration = self.tables.configuration
        if configuration is None or not configuration.customers:
            return False
        return configuration.authenticates_callers and not self._plan(service).direct

    def local_holders(self, endpoint: EndpointRow) -> frozenset[str]:
        """Return the holders in an endpoint's region."""
        return self._regional_shares(endpoint).local

    def failed_holders(self, endpoint: EndpointRow) -> frozenset[str]:
        """Return the holders that have recently failed for an endpoint."""
        if not self._failed and not self._unreachable and not self._silent:
            return frozenset()
        plan = self._plan(endpoint.entry.service)
        return frozenset(
            host.name for host in plan.holders if not self._is_usable(host, endpoint)
        )

    def holds(self, service: str) -> bool:
        """Return whether this host is a holder of a service."""
        plan = self._plan(service)
        name = self._node.identity.name
        return plan.direct or any(holder.name == name for holder in plan.holders)

    def are_all_holders(self, service: str) -> bool:
        """Return whether every host is a holder of a service."""
        return self._plan(service).direct

    def holder_count(self, service: str) -> int:
        """Return the number of holders of a service."""
        plan = self._plan(service)
        return len(self.tables.hosts) if plan.direct else len(plan.holders)

    def statement_limit(self, service: str) -> int:
        """Return how many statements all hosts together may send to an endpoint.

        The endpoints of a service have the same number of slots. An entry of another
        writer may state any other, and must not change the limit of all.
        """
        endpoints = self.tables.group(service).endpoints.values()
        slots = sorted(max(1, endpoint.entry.slots) for endpoint in endpoints)
        median = slots[(len(slots) - 1) // 2] if slots else 1
        return STATEMENTS_PER_SLOT * median

    def nearest_holder(self, endpoint: EndpointRow) -> HostRow | None:
        """Return the nearest usable holder, None if the plan names no holders.

        If no holder is usable, all are candidates. A holder to which no connection is
        being opened is preferred, so that two holders that do not answer are detected
        at the same time.
        """
        plan = self._plan(endpoint.entry.service)
        usable = [host for host in plan.holders if self._is_usable(host, endpoint)]
        tried = {
            connection.holder
            for connection in endpoint.connections.values()
            if connection.state is ConnectionState.OPENING
        }
        untried = [host for host in usable if host.name not in tried]
        candidates = untried or usable or plan.holders
        return min(candidates, key=self._distance, default=None)

    def is_cut_off(self, endpoint: EndpointRow) -> bool:
        """Return whether this host should reach an endpoint without its holders.

        If two holders do not answer, this host is most likely cut off from the other
        hosts. It may still reach its callers and the endpoint.
        """
        if self.holds(endpoint.entry.service):
            return False
        return self._do_holders_not_answer(endpoint.entry.service)

    def is_isolated(self, service: str) -> bool:
        """Return whether this host is a holder that is cut off from the others.

        It should run its callers' statements on its own connections.
        """
        return self.holds(service) and self._do_holders_not_answer(service)

    def _do_holders_not_answer(self, service: str) -> bool:
        """Return whether so many holders do not answer that this host is cut off."""
        if not self._unanswered and not self._silent:
            return False
        least = min(UNANSWERED_MIN, len(self._plan(service).holders))
        return len(self.unanswering_holders(service)) >= least

    def unanswering_holders(self, service: str) -> list[str]:
        """Return the holders of a service that do not answer."""
        return [
            host.name
            for host in self._plan(service).holders
            if self._unanswered.get(host.name, 0.0) > self.now
            or self.is_silent(host.name)
        ]

    def is_silent(self, holder: str) -> bool:
        """Return whether a holder leaves calls and a new link unanswered."""
        return self._silent.get(holder, 0.0) > self.now

    def last_reply_at(self, holder: str) -> float:
        """Return the time of the last reply from a holder, 0 if there was none."""
        return self._last_replies.get(holder, 0.0)

    def link_time(self, holder: str) -> float:
        """Return the seconds until a holder accepted a link, 0 if it accepted none."""
        return self._link_times.get(holder, 0.0)

    def has_usable_holder(self, endpoint: EndpointRow) -> bool:
        """Return whether at least one holder can be used to reach an endpoint."""
        plan = self._plan(endpoint.entry.service)
        return any(self._is_usable(host, endpoint) for host in plan.holders)

    def _is_usable(self, host: HostRow, endpoint: EndpointRow) -> bool:
        """Return whether a holder has not recently failed for an endpoint."""
        if self._failed.get(host.name, 0.0) > self.now or self.is_silent(host.name):
            return False
        return self._unreachable.get((host.name, endpoint.name), 0.0) <= self.now

    def lenders(self, endpoint: EndpointRow) -> list[HostRow]:
        """Return the usable holders in this host's region or in the endpoint's.

        Forwarding through these adds no round trip between regions.
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
            and self._is_usable(host, endpoint)
        ]

    def other_holders(self, service: str) -> list[HostRow]:
        """Return the holders of a service without this host."""
        plan = self._plan(service)
        hosts = self.tables.hosts.values() if plan.direct else plan.holders
        name = self._node.identity.name
        return [host for host in hosts if host.name != name and host.address]

    def possible_holders(self, service: str) -> list[HostRow]:
        """Return the other hosts that may have connections to a service's endpoints.

        These are the holders, hosts that were holders some seconds ago, and hosts that
        have entered themselves, see `writers`.
        """
        former = self._former.get(service, {})
        for name, holder in list(former.items()):
            if holder.until <= self.now:
                del former[name]
        known = {host.name: host for host in self.other_holders(service)}
        for name, holder in former.items():
            known.setdefault(name, holder.host)
        for host in self._writers.get(service, ()):
            known.setdefault(host.name, host)
        known.pop(self._node.identity.name, None)
        return list(known.values())

    def note_writers(self, service: str, hosts: list[HostRow]) -> None:
        """Record the hosts that write directly by the entries that were just read."""
        self._writers[service] = hosts

    def known_host(self, service: str, name: str) -> HostRow | None:
        """Return the entry of a host, also of a former holder whose entry is gone."""
        former = self._former.get(service, {}).get(name)
        if name in self.tables.hosts:
            return self.tables.hosts[name]
        if former is not None:
            return former.host
        writers = self._writers.get(service, ())
        return next((host for host in writers if host.name == name), None)

    def forget_former(self, service: str, name: str) -> None:
        """Forget a former holder whose process is gone."""
        if name not in self.tables.hosts:
            self._former.get(service, {}).pop(name, None)

    def mark_failed(self, holder: str, timed_out: bool = False) -> None:
        """Stop using a holder for a while; if `timed_out`, it did not answer at all."""
        self._failed[holder] = self.now + FAILURE_BACKOFF
        if timed_out:
            self._unanswered[holder] = self.now + UNANSWERED_TTL

    def mark_answered(self, holder: str, link_time: float) -> None:
        """Record that a holder accepted a link after some seconds."""
        self._unanswered.pop(holder, None)
        self._link_times[holder] = link_time
        self.note_reply(holder)

    def mark_silent(self, holder: str) -> None:
        """Stop using a holder until it sends something, for a while at most."""
        self._silent[holder] = self.now + UNANSWERED_TTL

    def note_reply(self, holder: str) -> None:
        """Record that a holder has sent something."""
        self._last_replies[holder] = self.now
        self._silent.pop(holder, None)

    def mark_unreachable(self, holder: str, endpoint: EndpointRow) -> None:
        """Stop using a holder for a while for an endpoint that it can't reach."""
        for pair, until in list(self._unreachable.items()):
            if until <= self.now:
                del self._unreachable[pair]
        self._unreachable[(holder, endpoint.name)] = self.now + FAILURE_BACKOFF

    # -- Planning ------------------------------------------------------------

    def _regional_shares(self, endpoint: EndpointRow) -> _RegionalShares:
        """Return the shares of all holders in the connections to an endpoint."""
        service, domain = endpoint.entry.service, endpoint.entry.failure_domain
        plan = self._plan(service)
        cached = self._regional.get((service, domain))
        if cached is not None and cached.plan is plan:
            return cached
        identity = self._node.identity
        region = identity.region_of(domain)
        local = frozenset(
            host.name
            for host in plan.holders
            if identity.region_of(host.domain) == region
        )
        equal = {
            host.name: plan.share + (host.name in plan.holders_with_extra)
            for host in plan.holders
        }
        shares = regional_shares(equal, local)
        total = sum(shares.values())
        planned = _RegionalShares(plan, shares, total, local)
        self._regional[service, domain] = planned
        share = shares.get(identity.name, 0)
        if share != (cached.by_holder.get(identity.name, 0) if cached else 0):
            self._node.log(
                "info",
                "shares_planned",
                service=service,
                region=region,
                holders=len(shares),
                local=len(local),
                share=share,
                total=total,
            )
        return planned

    def _plan(self, service: str) -> Plan:
        configuration = self.tables.configuration
        version = configuration.version if configuration is not None else 0
        plans_version = (self.tables.hosts_version, version)
        if plans_version != self._plans_version:
            self._plans_version = plans_version
            self._plans.clear()
            self._fleet = Fleet(self.tables.hosts.values())
        cached = self._plans.get(service)
        if cached is None or cached.endpoints_version != self.tables.endpoints_version:
            cached = self._plans[service] = self._refresh(service, cached)
            self._note_holders(service, cached.plan)
        return cached.plan

    def _note_holders(self, service: str, plan: Plan) -> None:
        """Remember the hosts that a plan does not name any more."""
        hosts = self.tables.hosts.values() if plan.direct else plan.holders
        present = {host.name: host for host in hosts}
        before = self._present.get(service, {})
        self._present[service] = present
        former = self._former.setdefault(service, {})
        until = self.now + FORMER_HOLDER_TTL
        left = before.keys() - present.keys()
        for name in left:
            former[name] = _FormerHolder(before[name], until)
        if left - self.tables.hosts.keys():
            self.timers.after(0.0, self._node.publish, HolderLeft(service))
        own_name = self._node.identity.name
        if before and own_name in present and own_name not in before:
            joined = HolderJoined(service)
            self.timers.after(0.0, self._node.publish, joined)

    def _refresh(self, service: str, cached: _CachedPlan | None) -> _CachedPlan:
        """Return a plan for the current endpoints; reuse the cached one if possible.

        Choosing holders takes time in proportion to the number of hosts. Repeated for
        all services with each endpoint that registers, it would take all of a host's
        processor time when a fleet starts.
        """
        statement_limit = self.statement_limit(service)
        if cached is None or cached.statement_limit != statement_limit:
            plan = self._make_plan(service, statement_limit)
        else:
            plan = cached.plan
        return _CachedPlan(plan, statement_limit, self.tables.endpoints_version)

    def _make_plan(self, service: str, statement_limit: int) -> Plan:
        configuration = self.tables.configuration
        limits = configuration.services.get(service) if configuration else None
        if limits is None:
            return Plan(direct=True, share=0)
        return make_plan(service, limits.connections, self._fleet, statement_limit)

    def _distance(self, host: HostRow) -> tuple[int, int]:
        """Return a sort key: same domain, same region, other; ties are spread."""
        identity = self._node.identity
        hashed = crc32(f"{identity.name} {host.name}".encode())
        if host.domain == identity.failure_domain:
            return (0, hashed)
        if identity.region_of(host.domain) == identity.region:
            return (1, hashed)
        return (2, hashed)
