"""What liveness and failover need of membership: ranks and notices."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from mallowpass.core.node import Node
from mallowpass.core.peering import PeerMessage

__all__ = ["Peers", "find_membership"]


class Peers(Protocol):
    """Rank this host among the live ones, and talk to them."""

    def rank(self, key: str) -> int:
        """Return this host's place for a key, 0 first."""

    def on_message(
        self, kind: type[PeerMessage], handler: Callable[[str, Any], None]
    ) -> None:
        """Have a handler called with each message of a type and its sender."""

    def broadcast(self, message: PeerMessage) -> None:
        """Send a message to all hosts, through relays where there are many."""


def find_membership(node: Node) -> Peers | None:
    """Return the node's membership, None when it runs without."""
    # Late: membership is no part of what liveness needs to run.
    from mallowpass.core.systems.membership import Membership

    try:
        return node.system(Membership)
    except KeyError:
        return None
