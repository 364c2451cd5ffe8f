"""Pauses of replicas and their ends, each confirmed by the status in the reply.

A replica ignores an order to pause whose term is not above the newest term that it
knows, and replies all the same. This host learns of a new term with a log position, so
with the first commit of that term at the earliest. Such an order is repeated under a
term above the one that the replica reports. The term is no higher than needed: a
replica that has followed the successor ignores an order that is carried out late.

An order to resume names no term, so one that is carried out late may end a pause that
was ordered since. An order without an answer is therefore not repeated before the
replica has answered that it is still paused.

Orders to one replica are sent one at a time. Two orders on different connections could
be carried out in either sequence.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from mallowpass.core.node import Node
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.signals import EndpointExpired
from mallowpass.core.proxy.statements import (
    Code,
    EndpointReply,
    EndpointStatus,
    Pause,
    Resume,
    Status,
)
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem

__all__ = ["OutcomeHandler", "ReplicaPauses"]

PAUSES_MAX = 3  # orders to one replica, each under a higher term

# Called with the last reply, None if there was none within the timeout, and with
# whether it shows that the replica is paused, or resumed.
OutcomeHandler = Callable[[EndpointReply | None, bool], None]


class ReplicaPauses(ProxySystem):
    """Order replicas to pause and to resume, and check that they do."""

    __slots__ = ("_queues", "_replica_orders", "_unanswered")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # What begins each order, by endpoint; the first of them is under way.
        self._queues: dict[str, deque[Callable[[], None]]] = {}
        # Endpoints whose last order to resume got no answer.
        self._unanswered: set[str] = set()

    def start(self) -> None:
        """Subscribe to endpoints that are gone."""
        self._replica_orders = self._node.system(ReplicaOrders)
        self._node.subscribe(EndpointExpired, self._on_expired)

    def pause(self, endpoint: EndpointRow, handler: OutcomeHandler) -> None:
        """Pause a replica, and call the handler with the outcome.

        A primary ignores the order.
        """

        def begin() -> None:
            group = self.tables.group(endpoint.entry.service)
            self._order_pause(endpoint, group.term + 1, PAUSES_MAX, handler)

        self._enqueue(endpoint, begin)

    def resume(
        self,
        endpoint: EndpointRow,
        is_permitted: Callable[[], bool],
        handler: OutcomeHandler,
    ) -> None:
        """Resume a replica, and call the handler with the outcome.

        `is_permitted` is called when the order is about to be sent.
        """

        def begin() -> None:
            if endpoint.name in self._unanswered:
                self._query(endpoint, is_permitted, handler)
            else:
                self._order_resume(endpoint, is_permitted, handler)

        self._enqueue(endpoint, begin)

    # -- Sequence ------------------------------------------------------------

    def _enqueue(self, endpoint: EndpointRow, begin: Callable[[], None]) -> None:
        queue = self._queues.setdefault(endpoint.name, deque())
        queue.append(begin)
        if len(queue) == 1:
            begin()

    def _end(
        self,
        endpoint: EndpointRow,
        handler: OutcomeHandler,
        reply: EndpointReply | None,
        is_confirmed: bool,
    ) -> None:
        """Begin the next order to an endpoint, and call the handler of this one."""
        queue = self._queues[endpoint.name]
        queue.popleft()
        if queue:
            queue[0]()
        else:
            del self._queues[endpoint.name]
        handler(reply, is_confirmed)

    def _on_expired(self, signal: EndpointExpired) -> None:
        self._unanswered.discard(signal.endpoint.name)

    # -- Pauses --------------------------------------------------------------

    def _order_pause(
        self,
        endpoint: EndpointRow,
        term: int,
        orders_left: int,
        handler: OutcomeHandler,
    ) -> None:
        def on_reply(reply: EndpointReply | None) -> None:
            status = _status_of(reply)
            if status is None or status.is_primary:
                self._end(endpoint, handler, reply, False)
            elif status.paused_for >= term:
                self._end(endpoint, handler, reply, True)
            else:
                self._on_ineffective(endpoint, term, status)
                if orders_left > 1:
                    next_term = max(term, status.term) + 1
                    self._order_pause(endpoint, next_term, orders_left - 1, handler)
                else:
                    self._end(endpoint, handler, reply, False)

        self._replica_orders.send(endpoint, Pause(term), on_reply)

    def _on_ineffective(
        self, endpoint: EndpointRow, term: int, status: EndpointStatus
    ) -> None:
        group = self.tables.group(endpoint.entry.service)
        group.term = max(group.term, status.term)
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

    # -- Resumptions ---------------------------------------------------------

    def _query(
        self,
        endpoint: EndpointRow,
        is_permitted: Callable[[], bool],
        handler: OutcomeHandler,
    ) -> None:
        """Find out whether an order without an answer has been carried out."""

        def on_reply(reply: EndpointReply | None) -> None:
            status = _status_of(reply)
            if status is not None and status.paused_for:
                self._order_resume(endpoint, is_permitted, handler)
            else:
                self._end(endpoint, handler, reply, status is not None)

        self._replica_orders.send(endpoint, Status(), on_reply)

    def _order_resume(
        self,
        endpoint: EndpointRow,
        is_permitted: Callable[[], bool],
        handler: OutcomeHandler,
    ) -> None:
        if not is_permitted():
            self._end(endpoint, handler, None, False)
            return

        def on_reply(reply: EndpointReply | None) -> None:
            if reply is None:
                self._unanswered.add(endpoint.name)
            else:
                self._unanswered.discard(endpoint.name)
            status = _status_of(reply)
            is_resumed = status is not None and not status.paused_for
            self._end(endpoint, handler, reply, is_resumed)

        self._replica_orders.send(endpoint, Resume(), on_reply)


def _status_of(reply: EndpointReply | None) -> EndpointStatus | None:
    if reply is None or reply.code is not Code.DONE:
        return None
    return reply.status
