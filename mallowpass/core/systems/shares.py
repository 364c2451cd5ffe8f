"""Split the connection limit of an endpoint among all hosts, without coordination.

A seat is the fixed position of a host in its failure domain, which the settings name.
All hosts compute the same split from the same settings. A network partition, a restart
or an outdated list of hosts does not change the share of a seat, so the hosts together
cannot exceed the limit.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import xxhash

from mallowpass.core.node import FailureDomain

__all__ = ["lendable_share", "static_share"]

LENDABLE_DIVISOR = 2  # at most a share divided by this is lent, unless it is scarce


def static_share(
    limit: int,
    domains: Iterable[FailureDomain],
    address: str,
    failure_domain: str,
    seat: int,
) -> int:
    """Return the share of one seat in the `limit` of the endpoint at `address`.

    The remainder of an uneven division goes to the seats that hash highest for this
    address. Endpoints therefore favour different hosts, and raising the limit never
    lowers the share of a seat. The share of an unknown seat is 0.
    """
    seats = list(_seats(domains))
    own_seat = (failure_domain, seat)
    if limit <= 0 or own_seat not in seats:
        return 0
    base, remainder = divmod(limit, len(seats))
    if not remainder:
        return base
    own_weight = _weight(address, own_seat)
    higher_count = sum(1 for other in seats if _weight(address, other) > own_weight)
    return base + (higher_count < remainder)


def lendable_share(share: int, scarce: bool) -> int:
    """Return how many connections of a share may be lent at the same time.

    Connections are scarce if the limit is lower than the number of seats, so that some
    seats have a share of 0. Only then may a share of 1 be lent.

    A restarted host does not know the loans of its previous run. It leaves the lendable
    share unused until all of these loans have ended, and uses the rest at once.
    """
    if scarce:
        return share
    return share // LENDABLE_DIVISOR


def _seats(domains: Iterable[FailureDomain]) -> Iterator[tuple[str, int]]:
    # A domain that is listed twice counts once. Otherwise each of its seats would get
    # two shares.
    sizes = {domain.name: domain.hosts for domain in domains}
    for name, hosts in sizes.items():
        for seat in range(hosts):
            yield name, seat


def _weight(address: str, seat: tuple[str, int]) -> tuple[int, tuple[str, int]]:
    # The seat breaks ties of hashes. Two hosts that both assumed to rank higher would
    # exceed the limit together.
    name, number = seat
    key = f"{len(address)}:{address}:{len(name)}:{name}:{number}"
    return xxhash.xxh64_intdigest(key.encode()), seat
