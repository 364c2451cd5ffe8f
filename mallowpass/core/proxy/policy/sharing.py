"""How many connections a host may have to each endpoint of a service, and which hosts.

The load: more hosts than an endpoint takes connections for, or more than it should have
statements of at once. Equal shares of less than two would have a statement wait for
each transaction that is open, so few hosts hold all, and the others reach endpoints by
way of them. Every host works the plan out by itself, from the same entries.
"""

from __future__ import annotations

from collections.abc import Sequence
from zlib import crc32

from mallowpass.core.proxy.tables import HostRow
from mallowpass.core.records import record

__all__ = ["STATEMENTS_PER_SLOT", "Plan", "make_plan"]

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


@record
class Plan:
    """Hold who holds a service; `direct` tells that every host does."""

    direct: bool
    share: int  # connections of each holder to each endpoint
    holders: tuple[HostRow, ...] = ()
    # Holders with one connection more: what is left over when all have their share.
    favoured: frozenset[str] = frozenset()


def make_plan(
    service: str, limit: int, hosts: Sequence[HostRow], statements: int
) -> Plan:
    """Divide a service's connections among hosts.

    `limit` is what each endpoint takes, `statements` what a full one should have at
    once.
    """
    usable = int(limit * (1.0 - RESERVED_SHARE))
    share = usable // max(1, len(hosts))
    if share >= SHARE_MIN and len(hosts) <= statements:
        return Plan(direct=True, share=share)
    count = min(usable // SHARE_OF_HOLDER, statements // STATEMENTS_OF_HOLDER)
    holders = _choose(service, hosts, max(1, count))
    share = max(1, usable // len(holders))
    left_over = max(0, usable - share * len(holders))
    favoured = frozenset(host.name for host in holders[:left_over])
    return Plan(False, share, holders, favoured)


def _choose(service: str, hosts: Sequence[HostRow], count: int) -> tuple[HostRow, ...]:
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


def _weight(service: str, host: HostRow) -> int:
    # The same at every host, and different for each service: one host that holds all
    # of them would be the one that all wait for.
    return crc32(f"{service} {host.name}".encode())
