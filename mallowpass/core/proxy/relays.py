"""Which hosts follow the store for the others of their failure domain.

Each call to the store is charged, and it takes so many a second from all hosts. If each
host of a large fleet waited there for changes, calls would grow with the fleet, and the
store would tell each change to each host. So a few hosts of each failure domain, the
relays, wait for changes at the store, and the others wait at these, see `feeds`. Small
failure domains of one region share relays.

What can go wrong: a relay ends, freezes or is cut off. Its followers notice by a call
that is not answered within a second or so, and go to the next relay at once; where none
is left, to the store itself. A relay that is cut off from the store answers on until it
notices: for as long its followers learn nothing, and the settings must allow that.
"""

from __future__ import annotations

from zlib import crc32

from mallowpass.core.proxy.tables import HostRow, ProxySystem

__all__ = ["Relays"]

RELAYS = 2  # in one failure domain, or of those that share them
# Fewer hosts have no relays: there would be as many as followers.
HOSTS_MIN = 5
# How long a relay that did not answer is passed over.
FAILED_TIME = 2.0  # seconds
# How long a relay may take to notice that it can't reach the store, and to tell its
# followers. Where changes must be in force sooner, each host follows the store itself.
UNNOTICED_MAX = 4.5  # seconds


class Relays(ProxySystem):
    """Know which hosts are relays; every host works it out from the same entries."""

    __slots__ = ("_failed", "_plan", "_plan_for")

    def start(self) -> None:
        """Start with nothing known."""
        self._failed: dict[str, float] = {}  # until when, by host
        self._plan: dict[str, list[HostRow]] = {}  # by failure domain
        self._plan_for = -1

    @property
    def are_known(self) -> bool:
        """Tell whether the other hosts were learnt."""
        return self.tables.hosts_version > 0

    @property
    def has_relays(self) -> bool:
        """Tell whether this host is to follow the store by way of others."""
        if self.tables.apply_time < UNNOTICED_MAX or not self.are_known:
            return False
        own = self._of_domain(self._node.identity.failure_domain)
        return bool(own) and all(h.name != self._node.identity.name for h in own)

    def choose(self) -> HostRow | None:
        """Return the relay to follow; None: this host follows the store itself."""
        if not self.has_relays:
            return None
        own = self._of_domain(self._node.identity.failure_domain)
        candidates = [host for host in own if self._is_usable(host)]
        if not candidates:
            candidates = [host for host in self._of_region() if self._is_usable(host)]
        return min(candidates, key=self._weight, default=None)

    def failed(self, relay: str) -> None:
        """Pass a relay over for a while that did not answer."""
        self._failed[relay] = self.now + FAILED_TIME

    def forgive(self) -> None:
        """Have relays asked again that did not answer."""
        self._failed.clear()

    def _is_usable(self, host: HostRow) -> bool:
        return self._failed.get(host.name, 0.0) <= self.now

    def _of_domain(self, domain: str) -> list[HostRow]:
        if self._plan_for != self.tables.hosts_version:
            self._plan_for = self.tables.hosts_version
            self._plan = self._make()
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

    def _make(self) -> dict[str, list[HostRow]]:
        identity = self._node.identity
        domains: dict[str, list[HostRow]] = {}
        for host in self.tables.hosts.values():
            if host.address:
                domains.setdefault(host.domain, []).append(host)
        # Hosts of small failure domains, by region. They follow none of a larger one:
        # its relays have followers enough, and its other hosts are followers.
        shared: dict[str, list[HostRow]] = {}
        for domain, hosts in domains.items():
            if len(hosts) < HOSTS_MIN:
                shared.setdefault(identity.region_of(domain), []).extend(hosts)
        plan = {}
        for domain, hosts in domains.items():
            sharing = shared.get(identity.region_of(domain), [])
            candidates = hosts if len(hosts) >= HOSTS_MIN else sharing
            if len(candidates) >= HOSTS_MIN:
                plan[domain] = sorted(candidates, key=_rank)[:RELAYS]
        return plan

    def _weight(self, host: HostRow) -> int:
        # Different for each follower, so that relays have equal parts of them.
        return crc32(f"{self._node.identity.name} {host.name}".encode())


def _rank(host: HostRow) -> int:
    # The same at every host; not by size, as holders are, so that it is other hosts.
    return crc32(f"relay {host.name}".encode())
