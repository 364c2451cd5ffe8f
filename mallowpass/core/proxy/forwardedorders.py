"""Orders to an endpoint, forwarded by the other hosts that connect to it.

Another host may reach an endpoint that this host cannot reach. A host that answers
without a reply of the endpoint shows that the endpoint cannot be reached from there
either; a host that does not answer may be cut off together with the endpoint.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mallowpass.core.proxy.control import Control, ControlRequest
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.signals import ForwardedConnectionRefused
from mallowpass.core.proxy.statements import Code, EndpointReply, Fence, Statement
from mallowpass.core.proxy.tables import EndpointRow, HostRow, ProxySystem
from mallowpass.core.records import record

__all__ = ["ForwardedOrders", "ForwardedReply"]

# Seconds for one order: two round trips between regions, and the wait for a slot.
ORDER_TIMEOUT = 0.4


@record
class ForwardedReply:
    """What became of an order that another host was to forward.

    The host refused to forward it if `was_refused`, and has no connection to the
    endpoint if `is_unconnected`. Otherwise `reply` is None if no reply came in time.
    """

    host: str
    reply: EndpointReply | None
    was_sent: bool  # the host accepted the connection to forward it
    was_refused: bool
    is_unconnected: bool

    @property
    def has_answered(self) -> bool:
        """Return whether the host itself answered."""
        return self.was_sent or self.was_refused

    @property
    def is_done(self) -> bool:
        """Return whether the order was carried out."""
        return self.reply is not None and self.reply.code is Code.DONE


ForwardedReplyHandler = Callable[[ForwardedReply], None]


@dataclass(slots=True, eq=False)
class _Route:
    """The way of one order: a host, and the endpoint that it forwards to."""

    host: str
    endpoint: str
    carries_fences: bool
    was_refused: bool = False  # the host definitely refused the connection
    is_unconnected: bool = False  # the host has no connection to the endpoint

    def is_refused_by(self, signal: ForwardedConnectionRefused) -> bool:
        return (
            self.host == signal.host
            and self.endpoint == signal.endpoint.name
            and self.carries_fences == signal.carries_fences
        )


class ForwardedOrders(ProxySystem):
    """Send orders to endpoints through other hosts."""

    __slots__ = ("_control", "_holders", "_routes")

    def start(self) -> None:
        """Subscribe to hosts that refuse to forward statements."""
        self._control = self._node.system(Control)
        self._holders = self._node.system(Holders)
        self._routes: list[_Route] = []  # of orders that have not ended
        self._node.subscribe(ForwardedConnectionRefused, self._on_refused)

    def forwarding_hosts(self, endpoint: EndpointRow) -> list[str]:
        """Return the other hosts that connect to an endpoint."""
        service = endpoint.entry.service
        return sorted(host.name for host in self._holders.other_holders(service))

    def send(
        self,
        endpoint: EndpointRow,
        order: Statement,
        handler: ForwardedReplyHandler,
        timeout: float = ORDER_TIMEOUT,
    ) -> None:
        """Send an order through each other host that connects to an endpoint."""
        for host in self._holders.other_holders(endpoint.entry.service):
            self.send_through(endpoint, order, host, handler, timeout)

    def send_through(
        self,
        endpoint: EndpointRow,
        order: Statement,
        host: HostRow,
        handler: ForwardedReplyHandler,
        timeout: float = ORDER_TIMEOUT,
    ) -> ControlRequest:
        """Send an order through one other host; `timeout` is in seconds."""
        route = _Route(host.name, endpoint.name, isinstance(order, Fence))
        self._routes.append(route)

        def on_replies(replies: list[EndpointReply] | None) -> None:
            reply = replies[0] if replies else None
            self._routes.remove(route)
            handler(
                ForwardedReply(
                    host.name,
                    reply,
                    request.was_sent,
                    route.was_refused,
                    route.is_unconnected,
                )
            )

        control = self._control
        request = control.send(endpoint, (order,), on_replies, timeout, host)
        return request

    def cancel(self, request: ControlRequest) -> None:
        """End an order without a reply, if there was none."""
        self._control.cancel(request)

    def _on_refused(self, signal: ForwardedConnectionRefused) -> None:
        for route in self._routes:
            if signal.is_definitive and route.is_refused_by(signal):
                route.was_refused = True
                route.is_unconnected = signal.is_unconnected
        self._control.cancel_forwarded(
            signal.endpoint, signal.host, signal.carries_fences
        )
