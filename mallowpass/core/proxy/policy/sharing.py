"""Divide the connections that each endpoint of a service accepts among the hosts.

Connections are divided equally where each host gets at least two, and where an endpoint
may have a statement of each host at once. With one connection, a host would delay all
its statements while a transaction is open. In larger fleets a few hosts, the holders,
open all connections, and the other hosts forward their statements to a holder. Each
host computes the plan on its own, from the same host entries.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from mallowpass.core.proxy.tables import HostRow
from mallowpass.core.records import record

__all__ = ["STATEMENTS_PER_SLOT", "Fleet", "Plan", "customer_share", "make_plan"]

# Least connections of a host to an endpoint: with one, an open transaction would block
# all other statements of the host.
SHARE_MIN = 2
# Connections of one holder to an endpoint. With more, there are fewer holders, and the
# failure of one affects more sessions; with fewer, statements wait for each other's
# transactions.
HOLDER_SHARE = 5
# Statements that all hosts together may send to an endpoint at once, for each of its
# slots. At 2, the slots of an endpoint in another region would be idle during round
# trips; with many more, each statement would queue at the endpoint, regardless of its
# priority.
STATEMENTS_PER_SLOT = 4
# Statements of one holder among these. With 1, the statements of a holder would run one
# at a time.
STATEMENTS_PER_HOLDER = 2
# Fraction of the connection limit that is not assigned to any host, as room for the
# connections of crashed hosts: endpoints keep those for seconds.
RESERVED_SHARE = 0.1
# Connections of a host to an endpoint that a single customer can't use, whatever the
# load, if the host has more than one.
RESERVED_FOR_OTHER_CUSTOMERS = 1


@record
class Plan:
    """Describe which hosts hold the connections to a service's endpoints.

    `direct`: every host connects to the endpoints, and `holders` is empty.
    """

    direct: bool
    share: int  # connections of each holder to each endpoint
    holders: tuple[HostRow, ...] = ()
    # Holders with one more connection, from the remainder of the division.
    holders_with_extra: frozenset[str] = frozenset()


class Fleet:
    """Group the hosts that share the connections by failure domain."""

    __slots__ = ("_domains", "_size")

    def __init__(self, hosts: Iterable[HostRow]) -> None:
        domains: dict[str, list[HostRow]] = {}
        for host in hosts:
            domains.setdefault(host.domain, []).append(host)
        self._size = sum(map(len, domains.values()))
        for members in domains.values():
            members.sort(key=lambda host: -host.capacity)
        self._domains = tuple(domains.values())

    @property
    def size(self) -> int:
        """Return the number of hosts."""
        return self._size

    def choose_holders(self, service: str, count: int) -> tuple[HostRow, ...]:
        """Return holders, round-robin from all failure domains, largest hosts first."""
        seed = crc32(f"{service} ".encode())
        rounds = self._rounds(count)
        ranked = []
        for members in self._domains:
            # The hash of the service and the host spreads services over hosts: a host
            # that held the connections of all services would be a bottleneck.
            candidates = [
                (-host.capacity, crc32(host.name.encode(), seed), host)
                for host in _largest(members, rounds)
            ]
            candidates.sort(key=lambda item: item[:2])
            for turn, (_, hashed, host) in enumerate(candidates[:rounds]):
                ranked.append((turn, hashed, host))
        ranked.sort(key=lambda item: item[:2])
        return tuple(host for _, _, host in ranked[:count])

    def _rounds(self, count: int) -> int:
        """Return the most holders that one failure domain provides."""
        rounds = 0
        while sum(min(rounds, len(members)) for members in self._domains) < min(
            count, self._size
        ):
            rounds += 1
        return rounds


def _largest(members: list[HostRow], count: int) -> list[HostRow]:
    """Return the `count` largest hosts, and all that are as large as the last of them.

    `members` is sorted by capacity. Only the hosts returned are hashed and sorted: a
    plan is made for each service.
    """
    if count >= len(members):
        return members
    smallest = members[count - 1].capacity
    end = count
    while end < len(members) and members[end].capacity == smallest:
        end += 1
    return members[:end]


def make_plan(service: str, limit: int, fleet: Fleet, statements: int) -> Plan:
    """Divide the connections to a service's endpoints among the hosts.

    `limit` is the number of connections that each endpoint accepts, `statements` the
    number of statements that all hosts together may send to an endpoint at once.
    """
    usable = int(limit * (1.0 - RESERVED_SHARE))
    share = usable // max(1, fleet.size)
    if share >= SHARE_MIN and fleet.size <= statements:
        return Plan(direct=True, share=share)
    count = min(usable // HOLDER_SHARE, statements // STATEMENTS_PER_HOLDER)
    holders = fleet.choose_holders(service, max(1, count))
    share = max(1, usable // len(holders))
    remainder = max(0, usable - share * len(holders))
    holders_with_extra = frozenset(host.name for host in holders[:remainder])
    return Plan(False, share, holders, holders_with_extra)


def customer_share(share: int) -> int:
    """Return how many of a host's `share` connections one customer may use."""
    return max(1, share - RESERVED_FOR_OTHER_CUSTOMERS)
