"""What liveness and failover need of other systems, where a node has them."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from mallowpass.core.node import Node
from mallowpass.core.peering import PeerMessage
from mallowpass.core.platformcalls import PlatformCall, PlatformReply

__all__ = ["Peers", "Platform", "find_membership", "find_platform"]


class Peers(Protocol):
    """Rank this host among the live ones, and talk to them."""

    def rank(self, key: str) -> int:
        """Return this host's place for a key, 0 first."""

    def on_message(
        self, kind: type[PeerMessage], handler: Callable[[str, Any], None]
    ) -> None:
        """Have a handler called with each message of a type and its sender."""

    def broadcast(self, message: PeerMessage, but: str = "") -> None:
        """Send a message to all neighbours, except to the one that it came from."""


class Platform(Protocol):
    """Call the platform."""

    def call(
        self, request: PlatformCall, callback: Callable[[PlatformReply], None]
    ) -> None:
        """Make a call; the callback gets exactly one reply."""


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
    from mallowpass.core.systems.platform import PlatformClient

    try:
        return node.system(PlatformClient)
    except KeyError:
        return None
