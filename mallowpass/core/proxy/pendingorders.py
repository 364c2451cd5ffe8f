"""Orders to promote that may still be carried out, and who may receive meanwhile.

An order is carried out some time after it was taken, and one without an answer seconds
after it was given up. Its target then leads with what it has received by then. So from
the moment an order is given, a commit may be acknowledged only by way of its target,
whoever leads until then and however the attempt ended that gave it: the target has
received what others have by then, and receives what is acknowledged from then on.
Otherwise commits that were acknowledged by way of another replica are lost when the
order is carried out. Once the target leads, all may receive from it. An order that got
no answer stands on until its time is over: the target may be replaced meanwhile, and
the order would have it lead once more.

A host may end after it gave an order. So orders stand in the store with the claim under
which they were given, and whoever claims next goes by them.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.tables import GroupRow, ProxySystem

__all__ = ["LATE_ORDER_TIME", "LEAD_TIME", "PendingOrders"]

# Seconds within which an order is carried out that got no answer: the platform may do
# so seconds later.
LATE_ORDER_TIME = 8.0
# Seconds within which an endpoint leads whose order was taken. One that does not by
# then is ordered again.
LEAD_TIME = 2.0


@dataclass(slots=True)
class _Order:
    """Hold what stands of the orders for one target."""

    until: float
    open: int = 0  # orders that may yet be answered, or got no answer


class PendingOrders(ProxySystem):
    """Own the orders that may be carried out, by this host or by others."""

    __slots__ = ("_orders",)

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._orders: dict[str, dict[str, _Order]] = {}  # by service and target

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._node.subscribe(PrimaryChanged, self._on_primary)

    # -- Orders --------------------------------------------------------------

    def given(self, service: str, target: str) -> None:
        """Note that an order is about to be given."""
        order = self._orders.setdefault(service, {}).setdefault(target, _Order(0.0))
        order.open += 1
        order.until = self.now + LATE_ORDER_TIME

    def answered(self, service: str, target: str, accepted: bool | None) -> None:
        """Note what became of an order; None: it got no answer."""
        order = self._orders.get(service, {}).get(target)
        if order is None or accepted is None:
            return
        order.open -= 1
        if order.open == 0:
            order.until = self.now + (LEAD_TIME if accepted else 0.0)

    def learn(self, service: str, target: str, until: float) -> None:
        """Note an order that another host gave, which stands until a time of ours."""
        orders = self._orders.setdefault(service, {})
        order = orders.get(target)
        if until > self.now and (order is None or order.until < until):
            orders[target] = _Order(until, open=1)

    def pending(self, service: str) -> dict[str, float]:
        """Return until when orders for targets may be carried out."""
        orders = self._orders.get(service, {})
        for target in [t for t, order in orders.items() if order.until <= self.now]:
            del orders[target]
        return {target: order.until for target, order in orders.items()}

    def _on_primary(self, signal: PrimaryChanged) -> None:
        """Forget an order that was carried out, where all for its target were taken."""
        orders = self._orders.get(signal.group.service, {})
        order = orders.get(signal.group.primary)
        if order is not None and order.open == 0:
            del orders[signal.group.primary]

    # -- Receiving -----------------------------------------------------------

    def may_receive(self, group: GroupRow, name: str) -> bool:
        """Tell whether a replica may acknowledge commits of a group's primary."""
        return all(
            target in (name, group.primary) or target not in group.endpoints
            for target in self.pending(group.service)
        )

    def best_of(self, group: GroupRow, names: list[str]) -> str:
        """Return the one that is ordered already; empty if none of them is.

        Another target beside it would leave both orders to be carried out in any order.
        """
        standing = self.pending(group.service)
        return next((name for name in names if name in standing), "")
