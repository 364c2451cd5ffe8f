"""Split an endpoint's limit over the seats of all hosts, without agreement.

Every host computes the same split from the same settings, so the sum of what
hosts use cannot exceed the limit whatever they believe of each other: no
partition, restart or lagging host list changes a seat's part.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import xxhash

from mallowpass.core.node import FailureDomain

__all__ = ["lendable_share", "static_share"]

LENDABLE_DIVISOR = 2  # at most one in so many of a share is ever lent


def static_share(
    limit: int,
    domains: Iterable[FailureDomain],
    address: str,
    failure_domain: str,
    seat: int,
) -> int:
    """Return the part of `limit` at `address` that belongs to one seat.

    What does not divide evenly goes to the seats that hash highest for this
    address, so that each endpoint favours other hosts, and a higher limit never
    takes a connection from anybody. An unknown seat has nothing.
    """
    seats = list(_seats(domains))
    own = (failure_domain, seat)
    if limit <= 0 or own not in seats:
        return 0
    base, remainder = divmod(limit, len(seats))
    if not remainder:
        return base
    own_weight = _weight(address, own)
    ahead = sum(1 for other in seats if _weight(address, other) > own_weight)
    return base + (ahead < remainder)


def lendable_share(share: int, scarce: bool) -> int:
    """Return how much of a share may ever be lent at one time.

    A share of one is lent only where connections are so scarce that some seats have
    none of their own.

    A restarted host does not remember its loans. It leaves this part unused until
    every loan it can have made is over; the rest is its own from the first moment.
    """
    if scarce:
        return share
    return share // LENDABLE_DIVISOR


def _seats(domains: Iterable[FailureDomain]) -> Iterator[tuple[str, int]]:
    # A domain listed twice counts once: its seats would else be given out twice.
    sizes = {domain.name: domain.hosts for domain in domains}
    for name, hosts in sizes.items():
        for seat in range(hosts):
            yield name, seat


def _weight(address: str, seat: tuple[str, int]) -> tuple[int, tuple[str, int]]:
    # The seat itself breaks a tie of hashes: two hosts that both took themselves
    # for the higher one would go over the limit.
    name, number = seat
    key = f"{len(address)}:{address}:{len(name)}:{name}:{number}"
    return xxhash.xxh64_intdigest(key.encode()), seat
