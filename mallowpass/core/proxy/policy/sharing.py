"""How many connections a host may have to each endpoint of a service, and which hosts.

The load: more hosts than an endpoint takes connections for, or more than it should have
statements of at once. Equal shares of less than two would have a statement wait for
each transaction that is open, so few hosts hold all, and the others reach endpoints by
way of them. Every host works the plan out by itself, from the same entries.
"""

from __future__ import annotations

from collections.abc import Iterable
from zlib import crc32

from mallowpass.core.proxy.tables import HostRow
from mallowpass.core.records import record

__all__ = ["STATEMENTS_PER_SLOT", "Fleet", "Plan", "make_plan", "part_of_customer"]

# A host that holds fewer connections than this to an endpoint would have to make a
# statement wait for each transaction that is open.
SHARE_MIN = 2
# Connections of one holder to an endpoint. More would leave fewer holders, so that the
# end of one touches more sessions; fewer would wait for each other's transactions.
SHARE_OF_HOLDER = 5
# Statements of all hosts that a full endpoint should have for each of its slots. At 2
# the slots of one in another region would stand idle during round trips; with many more
# each statement waits there, whatever its priority.
STATEMENTS_PER_SLOT = 4
# Of these, statements of one holder: one alone would wait for each other's.
STATEMENTS_OF_HOLDER = 2
# Share of the limit that the shares of all hosts leave free, for the connections of
# hosts that died: endpoints drop these after seconds only.
RESERVED_SHARE = 0.1
# Connections of a host to one endpoint that one customer leaves to the others, however
# much it sends, where there are several.
LEFT_TO_OTHERS = 1


@record
class Plan:
    """Hold who holds a service; `direct` tells that every host does."""

    direct: bool
    share: int  # connections of each holder to each endpoint
    holders: tuple[HostRow, ...] = ()
    # Holders with one connection more: what is left over when all have their share.
    favoured: frozenset[str] = frozenset()


class Fleet:
    """Hold the hosts among which connections are divided, by failure domain."""

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

    def choose(self, service: str, count: int) -> tuple[HostRow, ...]:
        """Choose holders by turns from all failure domains, the largest hosts first."""
        seed = crc32(f"{service} ".encode())
        turns = self._turns(count)
        ranked = []
        for members in self._domains:
            # Different for each service: one host that holds all of them would be the
            # one that all wait for.
            weighed = [
                (-host.capacity, crc32(host.name.encode(), seed), host)
                for host in _largest(members, turns)
            ]
            weighed.sort(key=lambda item: item[:2])
            for turn, (_, weight, host) in enumerate(weighed[:turns]):
                ranked.append((turn, weight, host))
        ranked.sort(key=lambda item: item[:2])
        return tuple(host for _, _, host in ranked[:count])

    def _turns(self, count: int) -> int:
        """Return how many holders of one failure domain there are at the most."""
        turns = 0
        while sum(min(turns, len(members)) for members in self._domains) < min(
            count, self._size
        ):
            turns += 1
        return turns


def _largest(members: list[HostRow], count: int) -> list[HostRow]:
    """Return those of which so many are chosen; hosts as large as the last are in.

    Only these are weighed: a plan is made for each service.
    """
    if count >= len(members):
        return members
    least = members[count - 1].capacity
    end = count
    while end < len(members) and members[end].capacity == least:
        end += 1
    return members[:end]


def make_plan(service: str, limit: int, fleet: Fleet, statements: int) -> Plan:
    """Divide a service's connections among hosts.

    `limit` is what each endpoint takes, `statements` what a full one should have at
    once.
    """
    usable = int(limit * (1.0 - RESERVED_SHARE))
    share = usable // max(1, fleet.size)
    if share >= SHARE_MIN and fleet.size <= statements:
        return Plan(direct=True, share=share)
    count = min(usable // SHARE_OF_HOLDER, statements // STATEMENTS_OF_HOLDER)
    holders = fleet.choose(service, max(1, count))
    share = max(1, usable // len(holders))
    left_over = max(0, usable - share * len(holders))
    favoured = frozenset(host.name for host in holders[:left_over])
    return Plan(False, share, holders, favoured)


def part_of_customer(share: int) -> int:
    """Return how many of a host's connections to an endpoint one customer may use."""
    return max(1, share - LEFT_TO_OTHERS)
