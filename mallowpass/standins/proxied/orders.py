"""Orders to promote members that may still be carried out."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PendingOrder", "PendingOrders"]


@dataclass(frozen=True, slots=True)
class PendingOrder:
    """Hold an order whose target may lead because of it."""

    target: str
    token: int
    sent_at: float


class PendingOrders:
    """Hold the orders that await being carried out, and promotions under way."""

    def __init__(self) -> None:
        self._awaited: list[PendingOrder] = []
        self._under_way: list[PendingOrder] = []

    @property
    def all(self) -> tuple[PendingOrder, ...]:
        """Return each order that may still make its target lead."""
        return (*self._awaited, *self._under_way)

    def expect(self, order: PendingOrder) -> None:
        """Note an order that the platform has received."""
        self._awaited.append(order)

    def take(self, target: str, token: int, now: float) -> PendingOrder:
        """Return an order that is carried out now, and await it no more."""
        for order in self._awaited:
            if (order.target, order.token) == (target, token):
                self._awaited.remove(order)
                return order
        return PendingOrder(target, token, now)

    def void(self, token: int) -> None:
        """Forget the orders under older tokens that were not carried out yet."""
        self._awaited = [order for order in self._awaited if order.token >= token]

    def begin(self, order: PendingOrder) -> None:
        """Note that the promotion of an order is under way."""
        self._under_way.append(order)

    def end(self, order: PendingOrder) -> None:
        """Forget an order whose promotion has ended."""
        self._under_way.remove(order)
