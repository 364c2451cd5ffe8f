"""Orders to an endpoint by way of the other hosts that connect to it.

What one host can't reach, another one may. A host that answers tells that the endpoint
can't be reached from there; one that does not may be cut off together with it.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.proxy.control import Control
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.signals import WayRefused
from mallowpass.core.proxy.statements import EndpointReply, Statement
from mallowpass.core.proxy.tables import EndpointRow, HostRow, ProxySystem

__all__ = ["ForwardedOrders"]

# Seconds for one order: two round trips between regions, and a slot's turn.
ANSWER_TIME = 0.4

# Called with the name of a host, the endpoint's reply by way of it if there was one,
# and whether the host answered at all.
DetourHandler = Callable[[str, EndpointReply | None, bool], None]


class ForwardedOrders(ProxySystem):
    """Give orders to endpoints by way of other hosts."""

    __slots__ = ("_control", "_holders", "_refused")

    def start(self) -> None:
        """Subscribe to hosts that refuse to serve as a way."""
        self._control = self._node.system(Control)
        self._holders = self._node.system(Holders)
        self._refused: set[tuple[str, str]] = set()  # hosts and endpoints, while asked
        self._node.subscribe(WayRefused, self._on_refused)

    def forwarding_hosts(self, endpoint: EndpointRow) -> list[str]:
        """Return the other hosts that connect to an endpoint."""
        service = endpoint.entry.service
        return sorted(host.name for host in self._holders.others(service))

    def send(
        self, endpoint: EndpointRow, order: Statement, handler: DetourHandler
    ) -> None:
        """Give an order by way of each other host that connects to an endpoint."""
        for host in self._holders.others(endpoint.entry.service):
            self._send(endpoint, order, host, handler)

    def _send(
        self,
        endpoint: EndpointRow,
        order: Statement,
        host: HostRow,
        handler: DetourHandler,
    ) -> None:
        way = (host.name, endpoint.name)
        self._refused.discard(way)

        def on_replies(replies: list[EndpointReply] | None) -> None:
            reply = replies[0] if replies else None
            has_answered = question.was_sent or way in self._refused
            self._refused.discard(way)
            handler(host.name, reply, has_answered)

        control = self._control
        question = control.send(endpoint, (order,), on_replies, ANSWER_TIME, host)

    def _on_refused(self, signal: WayRefused) -> None:
        if signal.is_answer:
            self._refused.add((signal.host, signal.endpoint.name))
        self._control.cancel_forwarded(signal.endpoint, signal.host)
