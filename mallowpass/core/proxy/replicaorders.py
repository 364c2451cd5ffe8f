"""Orders of this host to replicas: to pause, to resume, to say how far they are."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.statements import EndpointReply, Statement
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["ReplicaOrders", "ReplyHandler"]

# Seconds for one order to one replica; a full one is busy for a while.
ANSWER_TIME = 0.8

# Called with the reply, None when none came in time.
ReplyHandler = Callable[[EndpointReply | None], None]


class ReplicaOrders(ProxySystem):
    """Give orders to replicas, and count what becomes of each."""

    __slots__ = ("_control",)

    def start(self) -> None:
        """Find the system that is asked."""
        self._control = self._node.system(Control)

    def send(
        self, endpoint: EndpointRow, order: Statement, handler: ReplyHandler
    ) -> None:
        """Give one order; the handler gets the reply."""

        def on_replies(replies: list[EndpointReply] | None) -> None:
            reply = replies[0] if replies else None
            self._node.count(
                "replica_orders",
                endpoint=endpoint.name,
                order=type(order).__name__,
                outcome="none" if reply is None else reply.code.value,
            )
            handler(reply)

        self._control.send(endpoint, (order,), on_replies, ANSWER_TIME)
