"""Having the platform make an endpoint lead: ordered, again until it does.

Orders are given under a fresh claim only. One that is given later may be carried out
after those of the host that has the claim by then, and a platform that checks no fence
would let it.
"""

from __future__ import annotations

from mallowpass.core.messages import Signal
from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.events import PromotionAnswered
from mallowpass.core.proxy.pendingorders import LEAD_TIME, PendingOrders
from mallowpass.core.proxy.replacement import Replacement
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.statements import Resume
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["ClaimLapsed", "OrderFailed", "PromotionOrders"]

ORDER_TIMEOUT = 1.0  # seconds
ORDER_GAP = 0.3  # seconds before an order is given again
ORDERS_MAX = 6


@record
class OrderFailed(Signal):
    """An order to lead was refused, or was given often enough."""

    attempt: Replacement
    why: str


@record
class ClaimLapsed(Signal):
    """An order is due under a claim that another host may have overtaken."""

    attempt: Replacement


class PromotionOrders(ProxySystem):
    """Order targets of replacements to lead."""

    __slots__ = ("_claims", "_demotion", "_open", "_orders", "_pending_orders")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # The attempt and the target of orders without an answer, by number of the call.
        self._open: dict[int, tuple[Replacement, str]] = {}

    def start(self) -> None:
        """Subscribe to the platform's answers."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._orders = self._node.system(ReplicaOrders)
        self._pending_orders = self._node.system(PendingOrders)
        self._node.subscribe(PromotionAnswered, self._on_answered)

    def begin(self, attempt: Replacement) -> None:
        """Order the target to lead, and have the store know of it.

        Whoever claims next learns of the order, and demands what the target holds. If
        the target alone holds some, the order waits for that: should it fail too, those
        that lack it must not lead. Else 8 ms and two ways to the store are saved.
        """
        held = attempt.received[attempt.target]
        waits = any(position < held for position in attempt.received.values())
        service, target = attempt.group.service, attempt.target
        round_number = attempt.rounds

        def on_claim(claim: Claim | None) -> None:
            is_current = not attempt.ended and attempt.rounds == round_number
            if is_current and claim is not None:
                attempt.claim = claim
            if not waits:
                return
            if is_current and claim is not None:
                self._order(attempt)
                return
            self._pending_orders.answered(service, target, False)  # it was not given
            if is_current:
                attempt.claim = None
                why = "another host has the claim, or the store is away"
                self._node.publish(OrderFailed(attempt, why))

        self._pending_orders.given(service, target)
        self._claims.demand(service, attempt.claim, held, on_claim)
        if not waits:
            self._order(attempt)

    def _order(self, attempt: Replacement) -> None:
        self._have_receive(attempt)
        attempt.orders += 1
        attempt.call = self._node.number()
        self._open[attempt.call] = (attempt, attempt.target)
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
        if primary is None or primary.is_role_unconfirmed:
            return
        target = attempt.group.endpoints.get(attempt.target)
        if attempt.target in attempt.paused and target is not None:
            attempt.paused.discard(attempt.target)
            self._orders.send(target, Resume(), lambda reply: None)

    def _on_answered(self, event: PromotionAnswered) -> None:
        if event.call not in self._open:
            return
        attempt, target = self._open.pop(event.call)
        self._pending_orders.answered(attempt.group.service, target, event.accepted)
        if attempt.ended or attempt.call != event.call:
            return
        if event.accepted:
            self._demote_failed(attempt)
            self.timers.after(LEAD_TIME, self._order_again, attempt, event.call)
        elif event.outdated:
            attempt.claim = None  # another host's is newer
            self._node.publish(OrderFailed(attempt, event.message))
        else:
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
        elif self._claims.is_fresh(attempt.claim):
            self._pending_orders.given(attempt.group.service, attempt.target)
            self._order(attempt)
        else:
            self._node.publish(ClaimLapsed(attempt))
