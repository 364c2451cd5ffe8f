"""What liveness and failover need of other systems, where a node has them."""

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
    """Rank this host among the live ones, and talk to them."""

    def rank(self, key: str, failure_domain: str | None = None) -> int:
        """Return this host's place for a key, 0 first, in a domain or among all."""

    def on_message(
        self, kind: type[PeerMessage], handler: Callable[[str, Any], None]
    ) -> None:
        """Have a handler called with each message of a type and its sender."""

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send a message to all neighbours, except to the one that it came from."""


class Platform(Protocol):
    """Call the platform."""

    def call(
        self, request: PlatformCall, callback: Callable[[PlatformReply], None]
    ) -> None:
        """Make a call; the callback gets exactly one reply."""


def steward_rank(
    node: Node, peers: Peers | None, row: DatabaseRow, primary: str
) -> int:
    """Return this host's place among a group's stewards, 0 first.

    Each failure domain has one before any has two, and the primary's comes last: a
    domain that is cut off takes its primary and its hosts along, and a first
    steward in it would cost the others its turn.
    """
    if peers is None:
        return 0
    identity = node.identity
    endpoint = row.endpoints.get(primary)
    place = "" if endpoint is None else endpoint.member.failure_domain
    names = [domain.name for domain in identity.domains]
    names.sort(key=lambda name: (name == place, _weight(row.key, name)))
    mine = identity.failure_domain
    if mine not in names:
        return peers.rank(row.key)
    return peers.rank(row.key, mine) * len(names) + names.index(mine)


def _weight(key: str, name: str) -> bytes:
    return blake2b(f"{key}/{name}".encode(), digest_size=8).digest()


def find_membership(node: Node) -> Peers | None:
    """Return the node's membership, None when it runs without."""
    # Late: membership is no part of what liveness needs to run.
    from mallowpass.core.systems.membership import Membership

    try:
        return node.system(Membership)
    except KeyError:
        return None


def find_platform(node: Node) -> Platform | None:
    """Return the node's client of the platform, None when it runs without."""
    from mallowpass.core.systems.platformclient import PlatformClient

    try:
        return node.system(PlatformClient)
    except KeyError:
        return None
