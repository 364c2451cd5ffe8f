"""Orders to members of a group: to pause, resume, step down or report their status."""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.signals import StatusReceived
from mallowpass.core.proxy.statements import EndpointReply, Statement
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["ReplicaOrders", "ReplyHandler"]

# Seconds to wait for the reply to an order; a replica with a full queue answers late.
REPLY_TIMEOUT = 0.8

# Called with the reply, or None if there was none within the timeout.
ReplyHandler = Callable[[EndpointReply | None], None]


class ReplicaOrders(ProxySystem):
    """Send orders to replicas, and count the outcome of each."""

    __slots__ = ("_control",)

    def start(self) -> None:
        """Look up the system that sends statements."""
        self._control = self._node.system(Control)

    def send(
        self, endpoint: EndpointRow, order: Statement, handler: ReplyHandler
    ) -> None:
        """Send an order to an endpoint; the handler gets the reply."""

        def on_replies(replies: list[EndpointReply] | None) -> None:
            reply = replies[0] if replies else None
            self._node.count(
                "replica_orders",
                endpoint=endpoint.name,
                order=type(order).__name__,
                outcome="none" if reply is None else reply.code.value,
            )
            if reply is not None and reply.status is not None:
                self._node.publish(StatusReceived(endpoint, reply.status))
            handler(reply)

        self._control.send(endpoint, (order,), on_replies, REPLY_TIMEOUT)
