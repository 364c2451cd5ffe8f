"""Order the holders of a service for a customer, equally on all hosts.

A connection to an endpoint serves one customer. Where each host forwards a customer's
statements to another holder, each of these holders opens a connection of its own for
that customer, and closes one of another customer for it. With one order on all hosts,
statements of the customer find a connection that is already open.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from hashlib import blake2b

__all__ = ["order_holders"]


def order_holders(
    customer: str, holders: Iterable[str], local: Collection[str]
) -> tuple[str, ...]:
    """Return holders by rendezvous hashing, those in the endpoint's region first.

    `local` has the holders in the endpoint's region, which have most of its
    connections. A holder that joins or leaves moves only the customers that it serves.
    """

    def key(holder: str) -> tuple[bool, bytes]:
        # Not crc32: it is linear, so that the hashes of two holders differ by the same
        # bits for each customer. Three holders got 1,500, 760 and 740 of 3,000.
        text = f"{customer}\0{holder}".encode()
        return (holder not in local, blake2b(text, digest_size=8).digest())

    return tuple(sorted(holders, key=key))
