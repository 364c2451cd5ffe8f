"""Promotion orders that may still be carried out, and which replicas may receive.

The platform carries out an order some time after it has accepted the order; an order
without an answer may be carried out seconds after it has been given up. The target then
becomes primary with what it has received so far. While an order is pending, commits may
therefore be acknowledged through its target only. The rule holds for each endpoint that
is primary meanwhile, and also after the end of the attempt that sent the order. The
target has all commits that were acknowledged before the order, and receives all later
ones. A commit that is acknowledged through another replica would be lost when the order
is carried out.

Once the primary's commits have been stopped, the target does not receive either, see
`quiescence`, unless the pause of another replica has ended meanwhile.

Once the target is primary, all replicas may receive from it. An order without an answer
stays pending until its timeout even then: the target may be replaced meanwhile, and the
order would promote the target once more.

A host may fail after it has sent an order. The store therefore keeps pending orders
with the claim under which they were sent, and the next host that claims observes them.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.tables import GroupRow, ProxySystem

__all__ = ["ACCEPTED_ORDER_TIMEOUT", "LATE_ORDER_TIMEOUT", "PendingOrders"]

# Seconds for which an order without an answer is pending: the platform may carry it out
# seconds after it was sent.
LATE_ORDER_TIMEOUT = 8.0
# Seconds for which an accepted order is pending. If the target is not primary after
# that time, its promotion is ordered again.
ACCEPTED_ORDER_TIMEOUT = 2.0


@dataclass(slots=True)
class _Order:
    """Describe the pending orders for one target."""

    until: float  # the time at which the last of the orders expires
    unanswered_count: int = 0  # orders without an answer
    # The primary's commits had been stopped before the order.
    is_quiesced: bool = False
    # Another replica's pause has ended since.
    has_pause_ended: bool = False


class PendingOrders(ProxySystem):
    """Keep the pending promotion orders of this host and of others."""

    __slots__ = ("_orders",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._orders: dict[str, dict[str, _Order]] = {}  # by service and target

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    # -- Orders --------------------------------------------------------------

    def note_order(self, service: str, target: str, is_quiesced: bool) -> None:
        """Record that an order is about to be sent."""
        order = self._orders.setdefault(service, {}).setdefault(target, _Order(0.0))
        order.unanswered_count += 1
        order.until = self.now + LATE_ORDER_TIMEOUT
        order.is_quiesced = is_quiesced

    def note_answer(self, service: str, target: str, accepted: bool | None) -> None:
        """Record the answer to an order; `accepted` is None if there was none."""
        order = self._orders.get(service, {}).get(target)
        if order is None or accepted is None:
            return
        order.unanswered_count -= 1
        if order.unanswered_count == 0:
            order.until = self.now + (ACCEPTED_ORDER_TIMEOUT if accepted else 0.0)

    def note_foreign_order(self, service: str, target: str, until: float) -> None:
        """Record an order of another host; `until` is a time of this host's clock."""
        orders = self._orders.setdefault(service, {})
        order = orders.get(target)
        if until > self.now and (order is None or order.until < until):
            order = orders.setdefault(target, _Order(until))
            order.until, order.unanswered_count = until, 1

    def pending(self, service: str) -> dict[str, float]:
        """Return the targets of pending orders, each with its time of expiry."""
        orders = self._orders.get(service, {})
        for target in [t for t, order in orders.items() if order.until <= self.now]:
            del orders[target]
        return {target: order.until for target, order in orders.items()}

    def pending_text(self, service: str) -> str:
        """Return the pending orders for log lines, each as TARGET:SECONDS_LEFT."""
        pending = sorted(self.pending(service).items())
        return ",".join(f"{t}:{round(until - self.now, 3)}" for t, until in pending)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """Discard the orders for a new primary, unless one of them has no answer."""
        orders = self._orders.get(signal.group.service, {})
        order = orders.get(signal.group.primary)
        if order is not None and order.unanswered_count == 0:
            del orders[signal.group.primary]

    # -- Receiving -----------------------------------------------------------

    def may_receive(self, group: GroupRow, name: str) -> bool:
        """Return whether a replica may acknowledge commits of a group's primary."""
        return all(
            target == group.primary
            or target not in group.endpoints
            or (target == name and self.may_target_receive(group.service, target))
            for target in self.pending(group.service)
        )

    def may_target_receive(self, service: str, target: str) -> bool:
        """Return whether a target may receive before it is primary.

        Once a primary's commits have stopped, nothing has to be received. Otherwise the
        target would lack what is acknowledged through a replica whose pause has ended.
        """
        order = self._orders.get(service, {}).get(target)
        return order is None or not order.is_quiesced or order.has_pause_ended

    def note_ended_pause(self, service: str) -> None:
        """Record that a replica receives again which is no target of an order."""
        for order in self._orders.get(service, {}).values():
            order.has_pause_ended = True

    def ordered_target(self, group: GroupRow, names: list[str]) -> str:
        """Return the first of `names` that has a pending order, or an empty string.

        Another target would need a second order, and the two orders could be carried
        out in either sequence.
        """
        pending = self.pending(group.service)
        return next((name for name in names if name in pending), "")
