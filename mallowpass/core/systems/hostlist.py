"""Registration of this host in the platform's list of hosts, and polling of the list.

The list lags: it contains hosts that have gone and lacks new ones. It serves only to
find hosts that no peer has reported. It never brings back a host that has left, and
never removes one: a host that is listed as leaving, or is not listed any more, is
probed and answers with its own state.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.peering import HostNotice
from mallowpass.core.platformcalls import (
    HostsListed,
    ListedHost,
    ListHosts,
    PlatformReply,
    RegisterHost,
)
from mallowpass.core.systems.hosts import HostTable
from mallowpass.core.systems.platformclient import PlatformClient
from mallowpass.core.tables import HostRow, HostState

__all__ = ["HostList"]

POLLERS_PER_DOMAIN = 2  # hosts that poll the list
UNKNOWN_SEAT = -1
# For thousands of hosts, a list has hundreds of kilobytes, and the registrations of the
# fleet are hundreds of writes. So both intervals grow with the number of seats.
POLL_INTERVAL_PER_SEAT = 0.03  # seconds
REGISTER_INTERVAL_MIN = 5.0  # seconds
REGISTER_INTERVAL_PER_SEAT = 0.01  # seconds
ABSENT_POLLS = 3  # consecutive polls without a host until it is probed
# Seconds without a message from a host after which the host is probed.
ABSENT_CONTACT_AGE = 30.0  # not listed any more
LEAVING_CONTACT_AGE = 1.0  # listed as leaving


class HostList:
    """Register this host, and add hosts that only the list contains."""

    __slots__ = (
        "_absent_polls",
        "_add_host",
        "_hosts",
        "_is_leaving",
        "_node",
        "_probe_host",
        "_seats",
    )

    def __init__(
        self,
        node: Node,
        hosts: HostTable,
        add_host: Callable[[HostNotice], None],
        probe_host: Callable[[HostRow], None],
    ) -> None:
        self._node = node
        self._hosts = hosts
        self._add_host = add_host
        self._probe_host = probe_host
        self._absent_polls: dict[str, int] = {}  # consecutive, by host listed before
        self._is_leaving = False
        self._seats = sum(domain.hosts for domain in node.identity.domains)

    @property
    def _client(self) -> PlatformClient:
        return self._node.system(PlatformClient)

    def start(self) -> None:
        """Begin to register this host and to poll the list."""
        node = self._node
        register = max(REGISTER_INTERVAL_MIN, self._seats * REGISTER_INTERVAL_PER_SEAT)
        poll = max(node.tuning.host_list_poll, self._seats * POLL_INTERVAL_PER_SEAT)
        spread = node.random.uniform
        node.timers.every(register, self.register, first=spread(0, register / 5))
        node.timers.every(poll, self._poll, first=spread(0.1, 0.1 + poll / 4))

    def leave(self) -> None:
        """Register this host as leaving; a failed call is not repeated."""
        self._is_leaving = True
        self.register()

    def register(self) -> None:
        """Register this host in the platform's list."""
        identity = self._node.identity
        host = ListedHost(
            identity.name,
            identity.failure_domain,
            identity.peers_address,
            self._is_leaving,
        )
        self._client.call(RegisterHost(host), _ignore, urgent=self._is_leaving)

    def _poll(self) -> None:
        domain = self._node.identity.failure_domain
        if self._hosts.rank("host-list", domain) < POLLERS_PER_DOMAIN:
            self._client.call(ListHosts(), self._on_listed)

    def _on_listed(self, reply: PlatformReply) -> None:
        if not isinstance(reply, HostsListed):
            return
        listed = {host.name: host for host in reply.hosts}
        listed.pop(self._node.identity.name, None)
        for host in listed.values():
            self._process(host)
        self._check_absent(listed)

    def _process(self, host: ListedHost) -> None:
        self._absent_polls[host.name] = 0
        row = self._node.tables.hosts.get(host.name)
        if row is None and not host.leaving:
            self._add_host(_notice(host))
        elif row is not None and host.leaving and row.state is HostState.ALIVE:
            # A restarted host may still be listed with the entry from before its
            # restart. If it is not probed but reported to the fleet as leaving, it has
            # to refute that after every poll.
            self._probe_unless_recent(row, LEAVING_CONTACT_AGE)

    def _check_absent(self, listed: dict[str, ListedHost]) -> None:
        for name in [n for n in self._absent_polls if n not in listed]:
            row = self._node.tables.hosts.get(name)
            if row is None or row.state is not HostState.ALIVE:
                del self._absent_polls[name]
                continue
            self._absent_polls[name] += 1
            if self._absent_polls[name] >= ABSENT_POLLS:
                self._probe_unless_recent(row, ABSENT_CONTACT_AGE)

    def _probe_unless_recent(self, row: HostRow, contact_age: float) -> None:
        if self._node.timers.now - row.last_contact_at >= contact_age:
            self._probe_host(row)


def _notice(host: ListedHost) -> HostNotice:
    return HostNotice(
        host.name,
        host.failure_domain,
        UNKNOWN_SEAT,
        host.peers_address,
        0,
        HostState.ALIVE.value,
    )


def _ignore(reply: PlatformReply) -> None:
    """Ignore the reply: registrations are repeated anyway."""
