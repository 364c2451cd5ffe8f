"""Orders to an endpoint, forwarded by the other hosts that connect to it.

Another host may reach an endpoint that this host cannot reach. A host that answers
without a reply of the endpoint shows that the endpoint cannot be reached from there
either; a host that does not answer may be cut off together with the endpoint.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.signals import ForwardedConnectionRefused
from mallowpass.core.proxy.statements import EndpointReply, Statement
from mallowpass.core.proxy.tables import EndpointRow, HostRow, ProxySystem

__all__ = ["ForwardedOrders"]

# Seconds for one order: two round trips between regions, and the wait for a slot.
ORDER_TIMEOUT = 0.4

# Called with the name of the forwarding host, the endpoint's reply through that host or
# None, and whether the host itself answered.
ForwardedReplyHandler = Callable[[str, EndpointReply | None, bool], None]


class ForwardedOrders(ProxySystem):
    """Send orders to endpoints through other hosts."""

    __slots__ = ("_control", "_holders", "_refused")

    def start(self) -> None:
        """Subscribe to hosts that refuse to forward statements."""
        self._control = self._node.system(Control)
        self._holders = self._node.system(Holders)
        # Host and endpoint of each forwarded connection that was definitely refused,
        # until the order through it ends.
        self._refused: set[tuple[str, str]] = set()
        self._node.subscribe(ForwardedConnectionRefused, self._on_refused)

    def forwarding_hosts(self, endpoint: EndpointRow) -> list[str]:
        """Return the other hosts that connect to an endpoint."""
        service = endpoint.entry.service
        return sorted(host.name for host in self._holders.other_holders(service))

    def send(
        self, endpoint: EndpointRow, order: Statement, handler: ForwardedReplyHandler
    ) -> None:
        """Send an order through each other host that connects to an endpoint."""
        for host in self._holders.other_holders(endpoint.entry.service):
            self._send_through(endpoint, order, host, handler)

    def _send_through(
        self,
        endpoint: EndpointRow,
        order: Statement,
        host: HostRow,
        handler: ForwardedReplyHandler,
    ) -> None:
        route = (host.name, endpoint.name)
        self._refused.discard(route)

        def on_replies(replies: list[EndpointReply] | None) -> None:
            reply = replies[0] if replies else None
            has_answered = request.was_sent or route in self._refused
            self._refused.discard(route)
            handler(host.name, reply, has_answered)

        control = self._control
        request = control.send(endpoint, (order,), on_replies, ORDER_TIMEOUT, host)

    def _on_refused(self, signal: ForwardedConnectionRefused) -> None:
        if signal.is_definitive:
            self._refused.add((signal.host, signal.endpoint.name))
        self._control.cancel_forwarded(signal.endpoint, signal.host)
