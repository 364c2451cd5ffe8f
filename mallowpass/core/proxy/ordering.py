"""Having the platform make an endpoint lead: ordered, again until it does."""

from __future__ import annotations

from mallowpass.core.messages import Signal
from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.events import PromotionAnswered
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.statements import Resume
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["OrderFailed", "Ordering"]

ORDER_TIMEOUT = 1.0  # seconds
ORDER_GAP = 0.3  # seconds before an order is given again
ORDERS_MAX = 6
# An endpoint that was ordered to lead does so within the platform's time for it; the
# longest in use is a second. One that does not by then is ordered again.
LEAD_TIME = 2.0


@record
class OrderFailed(Signal):
    """An order to lead was refused, or was given often enough."""

    attempt: Replacement
    why: str


class Ordering(ProxySystem):
    """Order targets of replacements to lead."""

    __slots__ = ("_claims", "_demotion", "_open", "_orders")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._open: dict[int, Replacement] = {}  # by number of the call

    def start(self) -> None:
        """Subscribe to the platform's answers."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._orders = self._node.system(ReplicaOrders)
        self._node.subscribe(PromotionAnswered, self._on_answered)

    def begin(self, attempt: Replacement) -> None:
        """Order the target to lead, and have what it holds demanded of its successor.

        If the target alone holds some, the order waits for that: should it fail too,
        those that lack it must not lead. Else 8 ms and two ways to the store are saved.
        """
        held = attempt.received[attempt.target]
        waits = any(position < held for position in attempt.received.values())
        round_number = attempt.rounds

        def on_claim(claim: Claim | None) -> None:
            if attempt.ended or attempt.rounds != round_number:
                return
            if claim is not None:
                attempt.claim = claim
            if waits and claim is not None:
                self._order(attempt)
            elif waits:
                attempt.claim = None
                why = "another host has the claim, or the store is away"
                self._node.publish(OrderFailed(attempt, why))

        self._claims.demand(attempt.group.service, attempt.claim, held, on_claim)
        if not waits:
            self._order(attempt)

    def _order(self, attempt: Replacement) -> None:
        self._have_receive(attempt)
        attempt.orders += 1
        attempt.call = self._node.number()
        self._open[attempt.call] = attempt
        attempt.log(
            self._node,
            "promotion_ordered",
            target=attempt.target,
            token=attempt.claim.token,
            received=attempt.received_text,
        )
        self._node.emit(
            OrderPromotion(
                attempt.call,
                attempt.group.service,
                attempt.target,
                attempt.claim.token,
                ORDER_TIMEOUT,
            )
        )

    def _have_receive(self, attempt: Replacement) -> None:
        """Have a target receive what a primary that lives acknowledges until then.

        Not from one that started again: it may hold nothing, and hand over just that.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        if primary is None or primary.doubted:
            return
        target = attempt.group.endpoints.get(attempt.target)
        if attempt.target in attempt.paused and target is not None:
            attempt.paused.discard(attempt.target)
            self._orders.give(target, Resume(), lambda reply: None)

    def _on_answered(self, event: PromotionAnswered) -> None:
        attempt = self._open.pop(event.call, None)
        if attempt is None or attempt.ended or attempt.call != event.call:
            return
        if event.accepted:
            self._demote_failed(attempt)
            self.timers.after(LEAD_TIME, self._order_again, attempt, event.call)
        elif event.outdated:
            attempt.claim = None  # another host's is newer
            self._node.publish(OrderFailed(attempt, event.message))
        else:
            attempt.unanswered |= event.accepted is None
            self._node.log("warning", "promotion_not_taken", why=event.message)
            self.timers.after(ORDER_GAP, self._order_again, attempt, event.call)

    def _demote_failed(self, attempt: Replacement) -> None:
        """Have a primary that failed step down while its successor is being made.

        Whether it answers is known by the time that replicas may receive again.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        if attempt.reason.is_failure and primary is not None:
            self._demotion.demote(primary, attempt.group.term + 1)

    def _order_again(self, attempt: Replacement, call: int) -> None:
        if attempt.ended or attempt.call != call:
            return
        if attempt.orders >= ORDERS_MAX:
            why = "the order was given often enough"
            self._node.publish(OrderFailed(attempt, why))
        else:
            self._order(attempt)
