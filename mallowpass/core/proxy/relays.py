"""Choice of relays: hosts that follow the store for others of their failure domain.

Each call to the store is charged, and the store limits the calls a second of all hosts
together. If each host of a large fleet waited at the store for changes, the calls would
grow with the fleet, and the store would send each change to each host. So only a few
hosts of each failure domain, the relays, wait for changes at the store. The others,
their followers, wait at the relays, see `feeds`. Small failure domains of a region
share relays.

A relay may end, freeze or be cut off. Its followers detect this by a call that is not
answered within about a second, and switch to the next relay at once, or to the store if
no relay is left. A relay that is cut off from the store answers its followers until it
detects this, with the age of its knowledge. A follower that finds it too old asks the
store itself, see `followlimits`.
"""

from __future__ import annotations

from zlib import crc32

from mallowpass.core.proxy.followlimits import follow_limits
from mallowpass.core.proxy.storage import Table
from mallowpass.core.proxy.tables import HostRow, ProxySystem

__all__ = ["Relays"]

RELAYS_PER_DOMAIN = 2  # or for all failure domains that share relays
# Least number of hosts in a failure domain, or in those that share relays, for relays
# to be used. With fewer hosts, there would be about as many relays as followers.
HOSTS_MIN = 5
FAILURE_BACKOFF = 2.0  # seconds that a relay is skipped after it did not answer


class Relays(ProxySystem):
    """Choose relays; each host computes the same ones from the entries of all hosts."""

    __slots__ = ("_allowed", "_failed", "_plan", "_plan_version")

    def start(self) -> None:
        """Start without a plan, and with all relays usable."""
        self._allowed = follow_limits(self.tables, Table.CONFIGURATION).allows_relays
        self._failed: dict[str, float] = {}  # time until which to skip it, by host
        self._plan: dict[str, list[HostRow]] = {}  # by failure domain
        self._plan_version = -1

    @property
    def are_hosts_known(self) -> bool:
        """Return whether the list of hosts is known."""
        return self.tables.hosts_version > 0

    @property
    def are_used(self) -> bool:
        """Return whether hosts of this failure domain follow relays."""
        if not self._allowed or not self.are_hosts_known:
            return False
        return bool(self._of_domain(self._node.identity.failure_domain))

    @property
    def has_relays(self) -> bool:
        """Return whether this host should follow relays instead of the store."""
        if not self.are_used:
            return False
        own = self._of_domain(self._node.identity.failure_domain)
        return all(host.name != self._node.identity.name for host in own)

    def choose(self) -> HostRow | None:
        """Return the relay to follow, None to follow the store itself."""
        if not self.has_relays:
            return None
        own = self._of_domain(self._node.identity.failure_domain)
        candidates = [host for host in own if self._is_usable(host)]
        if not candidates:
            candidates = [host for host in self._of_region() if self._is_usable(host)]
        return min(candidates, key=self._weight, default=None)

    def mark_failed(self, relay: str, why: str) -> None:
        """Skip a relay for a while, as it did not answer or had old knowledge."""
        self._failed[relay] = self.now + FAILURE_BACKOFF
        self._node.log("info", "relay_left", relay=relay, why=why)
        self._node.count("relays_left")

    def clear_failures(self) -> None:
        """Use failed relays again."""
        self._failed.clear()

    def _is_usable(self, host: HostRow) -> bool:
        return self._failed.get(host.name, 0.0) <= self.now

    def _of_domain(self, domain: str) -> list[HostRow]:
        if self._plan_version != self.tables.hosts_version:
            self._plan_version = self.tables.hosts_version
            self._plan = self._make_plan()
        return self._plan.get(domain, [])

    def _of_region(self) -> list[HostRow]:
        identity = self._node.identity
        domains = [
            domain
            for domain in sorted(self._plan)
            if domain != identity.failure_domain
            and identity.region_of(domain) == identity.region
        ]
        return [host for domain in domains for host in self._of_domain(domain)]

    def _make_plan(self) -> dict[str, list[HostRow]]:
        identity = self._node.identity
        domains: dict[str, list[HostRow]] = {}
        for host in self.tables.hosts.values():
            if host.address:
                domains.setdefault(host.domain, []).append(host)
        # Hosts of small failure domains, by region. They do not follow hosts of a large
        # failure domain: its relays have enough followers, and its other hosts are
        # followers themselves.
        shared: dict[str, list[HostRow]] = {}
        for domain, hosts in domains.items():
            if len(hosts) < HOSTS_MIN:
                shared.setdefault(identity.region_of(domain), []).extend(hosts)
        plan = {}
        for domain, hosts in domains.items():
            sharing = shared.get(identity.region_of(domain), [])
            candidates = hosts if len(hosts) >= HOSTS_MIN else sharing
            if len(candidates) >= HOSTS_MIN:
                plan[domain] = sorted(candidates, key=_rank)[:RELAYS_PER_DOMAIN]
        return plan

    def _weight(self, host: HostRow) -> int:
        # Differs between followers, so that each relay gets an equal share of them.
        return crc32(f"{self._node.identity.name} {host.name}".encode())


def _rank(host: HostRow) -> int:
    # The same at each host. Independent of capacity, by which holders are chosen, so
    # that other hosts than the holders become relays.
    return crc32(f"relay {host.name}".encode())
