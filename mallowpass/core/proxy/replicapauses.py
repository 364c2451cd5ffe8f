"""Pauses of replicas, each confirmed by the status in the reply.

A replica ignores an order to pause whose term is not above the newest term that it
knows, and replies all the same. This host learns of a new term with a log position, so
with the first commit of that term at the earliest. Such an order is repeated under a
term above the one that the replica reports.

The term is no higher than needed: a replica that has followed the successor ignores an
order that is carried out late.
"""

from __future__ import annotations

from collections.abc import Callable

from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.statements import Code, EndpointReply, EndpointStatus, Pause
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["PauseHandler", "ReplicaPauses"]

PAUSES_MAX = 3  # orders to one replica, each under a higher term

# Called with the last reply, None if there was none within the timeout, and with
# whether it shows that the replica is paused.
PauseHandler = Callable[[EndpointReply | None, bool], None]


class ReplicaPauses(ProxySystem):
    """Order replicas to pause, and check that they do."""

    __slots__ = ("_replica_orders",)

    def start(self) -> None:
        """Look up the system that sends orders."""
        self._replica_orders = self._node.system(ReplicaOrders)

    def pause(self, endpoint: EndpointRow, handler: PauseHandler) -> None:
        """Pause a replica, and call the handler with the outcome.

        A primary ignores the order.
        """
        group = self.tables.group(endpoint.entry.service)
        self._order(endpoint, group.term + 1, PAUSES_MAX, handler)

    def _order(
        self, endpoint: EndpointRow, term: int, orders_left: int, handler: PauseHandler
    ) -> None:
        def on_reply(reply: EndpointReply | None) -> None:
            status = _status_of(reply)
            if status is None or status.is_primary or status.paused_for >= term:
                handler(reply, status is not None and not status.is_primary)
                return
            self._log_ineffective(endpoint, term, status)
            group = self.tables.group(endpoint.entry.service)
            group.term = max(group.term, status.term)
            if orders_left > 1:
                next_term = max(term, status.term) + 1
                self._order(endpoint, next_term, orders_left - 1, handler)
            else:
                handler(reply, False)

        self._replica_orders.send(endpoint, Pause(term), on_reply)

    def _log_ineffective(
        self, endpoint: EndpointRow, term: int, status: EndpointStatus
    ) -> None:
        self._node.log(
            "warning",
            "pause_ineffective",
            service=endpoint.entry.service,
            endpoint=endpoint.name,
            term=term,
            endpoint_term=status.term,
            paused_for=status.paused_for,
            received=status.received.text,
        )


def _status_of(reply: EndpointReply | None) -> EndpointStatus | None:
    if reply is None or reply.code is not Code.DONE:
        return None
    return reply.status
