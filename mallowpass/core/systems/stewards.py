"""Optional systems that liveness and failover use, and the ranks of stewards.

A steward of a group is a host that watches the group's primary closely and replaces
it if it fails. Every host has a rank among the stewards of each group; the host with
the lowest rank acts first, the others after a delay.
"""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b
from typing import Any, Protocol

from mallowpass.core.node import Node
from mallowpass.core.peering import PeerMessage
from mallowpass.core.platformcalls import PlatformCall, PlatformReply
from mallowpass.core.tables import DatabaseRow

__all__ = ["Peers", "Platform", "find_membership", "find_platform", "steward_rank"]


class Peers(Protocol):
    """Rank this host among the live hosts, and exchange messages with them."""

    def rank(self, key: str, failure_domain: str | None = None) -> int:
        """Return this host's rank for a key, 0 first, in a domain or among all."""

    def on_message(
        self, kind: type[PeerMessage], handler: Callable[[str, Any], None]
    ) -> None:
        """Call a handler with the sender and each message of a type."""

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send a message to all neighbours, except to the host it came from."""


class Platform(Protocol):
    """Make calls to the platform."""

    def call(
        self, request: PlatformCall, callback: Callable[[PlatformReply], None]
    ) -> None:
        """Make a call; the callback is called with exactly one reply."""


def steward_rank(
    node: Node, peers: Peers | None, row: DatabaseRow, primary: str
) -> int:
    """Return this host's rank among a group's stewards, 0 first.

    The first hosts of all failure domains rank before the second ones. The domain of
    the primary comes last: if that domain is cut off, its hosts are cut off together
    with the primary, and stewards of higher rank would wait for these hosts in vain.
    """
    if peers is None:
        return 0
    identity = node.identity
    endpoint = row.endpoints.get(primary)
    primary_domain = "" if endpoint is None else endpoint.member.failure_domain
    names = [domain.name for domain in identity.domains]
    names.sort(key=lambda name: (name == primary_domain, _weight(row.key, name)))
    own_domain = identity.failure_domain
    if own_domain not in names:
        return peers.rank(row.key)
    return peers.rank(row.key, own_domain) * len(names) + names.index(own_domain)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def find_membership(node: Node) -> Peers | None:
    """Return the node's membership system, None if the node has none."""
    # Imported late: liveness also runs on nodes without membership.
    from mallowpass.core.systems.membership import Membership

    try:
        return node.system(Membership)
    except KeyError:
        return None


def find_platform(node: Node) -> Platform | None:
    """Return the node's platform client, None if the node has none."""
    from mallowpass.core.systems.platformclient import PlatformClient

    try:
        return node.system(PlatformClient)
    except KeyError:
        return None
