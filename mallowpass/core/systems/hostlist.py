"""The platform's list of hosts: registered in, polled rarely, believed little.

The list lags: it shows hosts that are gone and lacks hosts that are new. It serves
to find hosts that no peer has told of. It never brings back a host that said
goodbye, and never takes one away: a host that it shows as leaving, or lacks, is
dialled and tells itself how it is.
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

POLLERS = 2  # in each failure domain
UNKNOWN_SEAT = -1
# At thousands of hosts a list is hundreds of kilobytes and a fleet's registrations
# hundreds of writes: both become rarer as the fleet grows.
POLL_PER_SEAT = 0.03
REGISTER_MIN = 5.0
REGISTER_PER_SEAT = 0.01
ABSENT_POLLS = 3
# Seconds without a word of a host until the list's is reason to ask itself.
ABSENT_SILENCE = 30.0
LEAVING_SILENCE = 1.0


class HostList:
    """Register this host and take over what the list adds."""

    __slots__ = ("_absent", "_check", "_hosts", "_leaving", "_learn", "_node", "_seats")

    def __init__(
        self,
        node: Node,
        hosts: HostTable,
        learn: Callable[[HostNotice], None],
        check: Callable[[HostRow], None],
    ) -> None:
        self._node = node
        self._hosts = hosts
        self._learn = learn
        self._check = check
        self._absent: dict[str, int] = {}  # polls in a row, of hosts seen listed
        self._leaving = False
        self._seats = sum(domain.hosts for domain in node.identity.domains)

    @property
    def _client(self) -> PlatformClient:
        return self._node.system(PlatformClient)

    def start(self) -> None:
        """Begin to register and to poll."""
        node = self._node
        register = max(REGISTER_MIN, self._seats * REGISTER_PER_SEAT)
        poll = max(node.tuning.host_list_poll, self._seats * POLL_PER_SEAT)
        spread = node.random.uniform
        node.timers.every(register, self.register, first=spread(0, register / 5))
        node.timers.every(poll, self._poll, first=spread(0.1, 0.1 + poll / 4))

    def leave(self) -> None:
        """Tell the platform that this host leaves, as well as can be."""
        self._leaving = True
        self.register()

    def register(self) -> None:
        """Tell the platform that this host is there."""
        identity = self._node.identity
        host = ListedHost(
            identity.name,
            identity.failure_domain,
            identity.peers_address,
            self._leaving,
        )
        self._client.call(RegisterHost(host), _ignore, urgent=self._leaving)

    def _poll(self) -> None:
        domain = self._node.identity.failure_domain
        if self._hosts.rank("host-list", domain) < POLLERS:
            self._client.call(ListHosts(), self._on_listed)

    def _on_listed(self, reply: PlatformReply) -> None:
        if not isinstance(reply, HostsListed):
            return
        listed = {host.name: host for host in reply.hosts}
        listed.pop(self._node.identity.name, None)
        for host in listed.values():
            self._take_over(host)
        self._doubt_absent(listed)

    def _take_over(self, host: ListedHost) -> None:
        self._absent[host.name] = 0
        row = self._node.tables.hosts.get(host.name)
        if row is None and not host.leaving:
            self._learn(_notice(host))
        elif row is not None and host.leaving and row.state is HostState.ALIVE:
            # A restarted host may still be listed with what its last life said.
            # Telling the fleet that it leaves would have it refute at every poll.
            self._check_unheard(row, LEAVING_SILENCE)

    def _doubt_absent(self, listed: dict[str, ListedHost]) -> None:
        for name in [n for n in self._absent if n not in listed]:
            row = self._node.tables.hosts.get(name)
            if row is None or row.state is not HostState.ALIVE:
                del self._absent[name]
                continue
            self._absent[name] += 1
            if self._absent[name] >= ABSENT_POLLS:
                self._check_unheard(row, ABSENT_SILENCE)

    def _check_unheard(self, row: HostRow, silence: float) -> None:
        if self._node.timers.now - row.last_contact_at >= silence:
            self._check(row)


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
    """Do nothing: the next registration comes by itself."""
