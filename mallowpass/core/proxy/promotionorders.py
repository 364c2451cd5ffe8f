"""Orders to the platform to promote a replica, repeated until the replica is primary.

An order is sent only while the claim is fresh, see `Claims.is_fresh` and `promotion`. A
later order could arrive after the orders of the next host that claims, and a platform
that does not check fencing tokens would carry it out.
"""

from __future__ import annotations

from mallowpass.core.messages import Signal
from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.events import PromotionAnswered
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.pendingfences import PendingFences
from mallowpass.core.proxy.pendingorders import ACCEPTED_ORDER_TIMEOUT, PendingOrders
from mallowpass.core.proxy.promotionevidence import evidence_fields
from mallowpass.core.proxy.quiescence import Quiescence
from mallowpass.core.proxy.replacement import PromotionOrdered, Replacement
from mallowpass.core.proxy.replacementlog import ReplacementLog, log_target_resumed
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.statements import Resume
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["ClaimExpired", "OrderFailed", "PromotionOrders"]

ORDER_TIMEOUT = 1.0  # seconds
# Seconds before an order is repeated that was refused or not answered.
ORDER_RETRY_INTERVAL = 0.3
ORDERS_MAX = 6  # orders of one attempt


@record
class OrderFailed(Signal):
    """An attempt's order was outdated or not sent, or all its orders were used up."""

    attempt: Replacement
    why: str


@record
class ClaimExpired(Signal):
    """A promotion order is due, but another host may have claimed since."""

    attempt: Replacement


class PromotionOrders(ProxySystem):
    """Order the platform to promote the targets of replacements."""

    __slots__ = (
        "_claims",
        "_demotion",
        "_fence_orders",
        "_pending_fences",
        "_quiescence",
        "_unanswered",
        "_replacement_log",
        "_replica_orders",
        "_pending_orders",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # The attempt and the target of each order without an answer, by call number.
        self._unanswered: dict[int, tuple[Replacement, str]] = {}

    def start(self) -> None:
        """Subscribe to the platform's answers."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._fence_orders = self._node.system(FenceOrders)
        self._pending_fences = self._node.system(PendingFences)
        self._quiescence = self._node.system(Quiescence)
        self._replacement_log = self._node.system(ReplacementLog)
        self._replica_orders = self._node.system(ReplicaOrders)
        self._pending_orders = self._node.system(PendingOrders)
        self._node.subscribe(PromotionAnswered, self._on_answered)

    def order(self, attempt: Replacement) -> None:
        """Order the promotion of the target, and store the order with the claim.

        The next host that claims then knows of the order, and promotes only a replica
        that has reached the target's log position. If some replica lacks commits of the
        target, the order is sent only once that position is stored: if the target fails
        as well, a replica that lacks the commits must not be promoted. Otherwise the
        order is sent at once, which saves 8 ms and a round trip to the store.
        """
        target_position = attempt.received[attempt.target]
        must_store_first = any(
            position < target_position for position in attempt.received.values()
        )
        service, target = attempt.group.service, attempt.target
        round_number = attempt.rounds

        def on_claim(claim: Claim | None) -> None:
            is_current = not attempt.is_ended and attempt.rounds == round_number
            if is_current and claim is not None:
                attempt.claim = claim
            if not must_store_first:
                if claim is None:
                    attempt.log(
                        self._node,
                        "promotion_order_not_stored",
                        "warning",
                        target=target,
                    )
                return
            if is_current and claim is not None:
                self._send_order(attempt)
                return
            self._pending_orders.note_answer(service, target, False)  # it was not sent
            if is_current:
                attempt.claim = None
                why = "claim held by another host, or store unreachable"
                self._node.publish(OrderFailed(attempt, why))

        self._pending_orders.note_order(service, target, attempt.is_quiesced)
        self._claims.raise_must_hold(service, attempt.claim, target_position, on_claim)
        if not must_store_first:
            self._send_order(attempt)

    def let_target_receive(self, attempt: Replacement) -> None:
        """Have the target receive again, as another replica's pause has ended.

        The target would otherwise lack what is acknowledged through that replica.
        """
        if attempt.order_count:
            self._pending_orders.note_ended_pause(attempt.group.service)
            self.resume_target(attempt)

    def _send_order(self, attempt: Replacement) -> None:
        if self._pending_orders.may_target_receive(
            attempt.group.service, attempt.target
        ):
            self.resume_target(attempt)
        if attempt.order_count:
            self._quiescence.renew(attempt.group.service)
        if not self._pending_fences.is_lifted(attempt.group.service):
            self._fence_orders.renew(attempt)
        attempt.order_count += 1
        self._node.publish(PromotionOrdered(attempt))
        attempt.order_call = self._node.next_number()
        self._unanswered[attempt.order_call] = (attempt, attempt.target)
        attempt.log(
            self._node,
            "promotion_ordered",
            "warning",
            target=attempt.target,
            token=attempt.claim.token,
            claim_age=round(self._claims.age(attempt.claim), 3),
            **self._replacement_log.comparison_fields(attempt.group),
            **evidence_fields(attempt, self.now),
        )
        self._node.emit(
            OrderPromotion(
                attempt.order_call,
                attempt.group.service,
                attempt.target,
                attempt.claim.token,
                ORDER_TIMEOUT,
            )
        )

    def resume_target(self, attempt: Replacement) -> None:
        """Resume a paused target, so that it receives what the primary acknowledges.

        If the primary restarted, the target stays paused: the primary's log may be
        empty, and the target would replace its own log by the empty one.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        if primary is None or primary.is_role_unconfirmed:
            return
        target = attempt.group.endpoints.get(attempt.target)
        if attempt.target in attempt.paused and target is not None:
            attempt.paused.discard(attempt.target)
            self._replica_orders.send(
                target,
                Resume(),
                lambda reply: log_target_resumed(
                    self._node, attempt, target.name, reply
                ),
            )

    def _on_answered(self, event: PromotionAnswered) -> None:
        if event.call not in self._unanswered:
            return
        attempt, target = self._unanswered.pop(event.call)
        self._pending_orders.note_answer(attempt.group.service, target, event.accepted)
        if attempt.is_ended or attempt.order_call != event.call:
            return
        if event.accepted:
            self._demote_primary(attempt)
            self.timers.after(
                ACCEPTED_ORDER_TIMEOUT, self._repeat_order, attempt, event.call
            )
        elif event.outdated:
            attempt.claim = None  # another host has a newer claim
            self._node.publish(OrderFailed(attempt, event.message))
        else:
            if event.accepted is None and attempt.reason.is_failure:
                self._pending_fences.watch(attempt)
            self._node.log("warning", "promotion_not_taken", why=event.message)
            self.timers.after(
                ORDER_RETRY_INTERVAL, self._repeat_order, attempt, event.call
            )

    def _demote_primary(self, attempt: Replacement) -> None:
        """Have a failed primary step down while its successor is being promoted.

        The demotion starts this early so that its outcome is known by the time at which
        replicas may be resumed.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        if not attempt.reason.is_failure or primary is None:
            return
        self._demotion.demote(primary, attempt.group.term + 1)
        self._fence_orders.renew(attempt)

    def _repeat_order(self, attempt: Replacement, call: int) -> None:
        if attempt.is_ended or attempt.order_call != call:
            return
        if attempt.order_count >= ORDERS_MAX:
            why = "all promotion orders of the attempt were used up"
            self._node.publish(OrderFailed(attempt, why))
        elif self._claims.is_fresh(attempt.claim):
            self._pending_orders.note_order(
                attempt.group.service, attempt.target, attempt.is_quiesced
            )
            self._send_order(attempt)
        else:
            self._node.publish(ClaimExpired(attempt))
