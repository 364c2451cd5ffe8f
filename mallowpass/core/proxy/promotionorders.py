"""Orders to the platform to promote a replica, repeated until the replica is primary.

An order is sent only once it is stored with the claim, see `storedorders`. Where the
platform does not check fencing tokens, the claim has to be fresh as well, see
`Claims.is_fresh` and `promotion`: a later order could arrive after the orders of the
next host that claims, and would be carried out.
"""

from __future__ import annotations

from mallowpass.core.messages import Signal
from mallowpass.core.node import Node
from mallowpass.core.proxy.attemptsteps import attempt_step
from mallowpass.core.proxy.claims import CLAIM_VIEW_TIMEOUT, Claims
from mallowpass.core.proxy.demotion import Demotion
from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.events import PromotionAnswered
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.holders import Holders
from mallowpass.core.proxy.orderproofs import OrderProofs
from mallowpass.core.proxy.pendingfences import PendingFences
from mallowpass.core.proxy.pendingorders import ACCEPTED_ORDER_TIMEOUT, PendingOrders
from mallowpass.core.proxy.promotionevidence import (
    evidence_fields,
    order_account,
    told_fields,
)
from mallowpass.core.proxy.quiescence import Quiescence
from mallowpass.core.proxy.replacement import PromotionOrdered, Replacement
from mallowpass.core.proxy.replacementlog import ReplacementLog, log_target_resumed
from mallowpass.core.proxy.replicapauses import ReplicaPauses
from mallowpass.core.proxy.statements import EndpointReply, owner_name
from mallowpass.core.proxy.storedorders import StoredOrders
from mallowpass.core.proxy.tables import EndpointRow, ProxySystem
from mallowpass.core.proxy.writers import Writers
from mallowpass.core.records import record

__all__ = [
    "ClaimExpired",
    "OrderAccepted",
    "OrderFailed",
    "OrderForbidden",
    "PromotionOrders",
]

ORDER_TIMEOUT = 1.0  # seconds
# Seconds before an order is repeated that was refused or not answered.
ORDER_RETRY_INTERVAL = 0.3
ORDERS_MAX = 6  # orders of one attempt
RESUME_RETRY_INTERVAL = 0.3  # seconds before a target is ordered to resume again


@record
class OrderAccepted(Signal):
    """The platform has accepted the newest order of an attempt."""

    attempt: Replacement


@record
class OrderFailed(Signal):
    """An attempt's order was outdated or not sent, or all its orders were used up."""

    attempt: Replacement
    why: str


@record
class ClaimExpired(Signal):
    """A promotion order is due, but its claim or the primary's fence may have ended."""

    attempt: Replacement


@record
class OrderForbidden(Signal):
    """A promotion order is due whose target may lack acknowledged commits."""

    attempt: Replacement


class PromotionOrders(ProxySystem):
    """Order the platform to promote the targets of replacements."""

    __slots__ = (
        "_claims",
        "_demotion",
        "_fence_orders",
        "_holders",
        "_order_proofs",
        "_owner",
        "_pending_fences",
        "_quiescence",
        "_unanswered",
        "_replacement_log",
        "_replica_pauses",
        "_pending_orders",
        "_stored_orders",
        "_writers",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._owner = owner_name(node.identity.name, node.identity.incarnation)
        # Attempt, target and fencing token of each order without an answer, by call.
        self._unanswered: dict[int, tuple[Replacement, str, int]] = {}

    def start(self) -> None:
        """Subscribe to the platform's answers."""
        self._claims = self._node.system(Claims)
        self._demotion = self._node.system(Demotion)
        self._fence_orders = self._node.system(FenceOrders)
        self._holders = self._node.system(Holders)
        self._order_proofs = self._node.system(OrderProofs)
        self._pending_fences = self._node.system(PendingFences)
        self._quiescence = self._node.system(Quiescence)
        self._replacement_log = self._node.system(ReplacementLog)
        self._replica_pauses = self._node.system(ReplicaPauses)
        self._pending_orders = self._node.system(PendingOrders)
        self._stored_orders = self._node.system(StoredOrders)
        self._writers = self._node.system(Writers)
        self._node.subscribe(PromotionAnswered, self._on_answered)

    def order(self, attempt: Replacement) -> None:
        """Order the promotion of the target, once the order is stored with the claim.

        The next host that claims then knows of the order, and promotes only a replica
        that has reached the target's log position.
        """
        round_number, target = attempt.rounds, attempt.target

        def on_stored(number: int | None) -> None:
            self._on_stored(attempt, round_number, target, number)

        self._stored_orders.store(attempt, on_stored)

    @attempt_step
    def _on_stored(
        self, attempt: Replacement, round_number: int, target: str, number: int | None
    ) -> None:
        service = attempt.group.service
        is_current = not attempt.is_ended and attempt.rounds == round_number
        is_void = self._is_unfenced(attempt) or attempt.needs_newer_token
        if is_current and number is not None and is_void:
            # This host was held up, and holders may write to the primary again; or a
            # question to the platform may be carried out late.
            self._pending_orders.note_answer(service, target, number, False)
            self._node.publish(ClaimExpired(attempt))
        elif is_current and number is not None and self._order_proofs.forbids(attempt):
            self._pending_orders.note_answer(service, target, number, False)
            self._node.publish(OrderForbidden(attempt))
        elif is_current and number is not None:
            self._send_once_known(attempt, number)
        elif number is not None:
            self._pending_orders.note_answer(service, target, number, False)
        elif is_current and not self._claims.is_of_current_era(attempt.claim):
            self._node.publish(ClaimExpired(attempt))
        elif is_current:
            attempt.claim = None
            event = "promotion_order_not_stored"
            attempt.log(self._node, event, "warning", target=target)
            why = "claim held by another host, or store unreachable"
            self._node.publish(OrderFailed(attempt, why))

    def _send_once_known(self, attempt: Replacement, number: int) -> None:
        """Send an order once it is read which hosts write directly.

        If there are others than those that were told, another claim is taken.
        """
        is_outdated = self._claims.is_view_outdated(attempt.claim) or (
            self.now >= attempt.writers_read_at + CLAIM_VIEW_TIMEOUT
        )
        if attempt.are_writers_known and not is_outdated:
            self._send_order(attempt, number)
            return
        round_number, target = attempt.rounds, attempt.target

        def on_read(is_read: bool) -> None:
            self._on_writers_read(attempt, round_number, target, number, is_read)

        self._writers.read(attempt.group.service, on_read)

    @attempt_step
    def _on_writers_read(
        self,
        attempt: Replacement,
        round_number: int,
        target: str,
        number: int,
        is_read: bool,
    ) -> None:
        service = attempt.group.service
        hosts = self._holders.possible_holders(service)
        are_told = {host.name for host in hosts} <= attempt.fence_told
        is_current = not attempt.is_ended and attempt.rounds == round_number
        if is_current and is_read and (are_told or not attempt.has_fenced):
            self._send_order(attempt, number)
            return
        self._pending_orders.note_answer(service, target, number, False)
        if is_current:
            self._node.publish(ClaimExpired(attempt))

    def _is_unfenced(self, attempt: Replacement) -> bool:
        """Return whether a fence that the comparison rests on may have ended."""
        if self._pending_fences.is_lifted(attempt.group.service):
            return False
        return attempt.has_fenced and self.now >= attempt.fenced_until

    def prepare(self, attempt: Replacement) -> None:
        """Store the order ahead, while something else has to be waited for."""
        self._stored_orders.store(attempt)

    def is_prepared(self, attempt: Replacement) -> bool:
        """Return whether the order is stored ahead, and the claim names its target."""
        return self._stored_orders.is_stored(attempt)

    def let_target_receive(self, attempt: Replacement) -> None:
        """Have the target receive again, as another replica's pause has ended.

        The target would otherwise lack what is acknowledged through that replica.
        """
        if attempt.order_count:
            self._pending_orders.note_ended_pause(attempt.group.service)
            self.resume_target(attempt)

    def _send_order(self, attempt: Replacement, number: int) -> None:
        if self._pending_orders.may_target_receive(
            attempt.group.service, attempt.target
        ):
            self.resume_target(attempt)
        if attempt.order_count:
            self._quiescence.renew(attempt.group.service)
        attempt.fence_target = attempt.target
        attempt.grounds = self._order_proofs.grounds(attempt)
        attempt.account = order_account(attempt, self._owner, self.now)
        self._order_proofs.note_order(attempt)
        if not self._pending_fences.is_lifted(attempt.group.service):
            self._fence_orders.renew(attempt)
        attempt.order_count += 1
        attempt.received_at_order.update(attempt.received)
        # The target goes on to receive.
        attempt.received_at_order.pop(attempt.target, None)
        self._node.publish(PromotionOrdered(attempt))
        attempt.order_call = number
        order = (attempt, attempt.target, attempt.claim.token)
        self._unanswered[attempt.order_call] = order
        attempt.log(
            self._node,
            "promotion_ordered",
            "warning",
            target=attempt.target,
            token=attempt.claim.token,
            claim_age=round(self._claims.age(attempt.claim), 3),
            believed=attempt.group.primary,
            pending=self._pending_orders.pending_text(attempt.group.service),
            **self._replacement_log.comparison_fields(attempt.group),
            **evidence_fields(attempt, self.now),
            **told_fields(attempt, self.tables.hosts.keys()),
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
        self._claims.store_account(attempt.group.service, attempt.account)

    def let_receive(self, attempt: Replacement) -> None:
        """Have replicas receive from the primary, which no order is to replace now."""
        self._stored_orders.discard(attempt)
        primary = attempt.group.endpoints.get(attempt.primary)
        if primary is not None and primary.is_role_unconfirmed:
            return
        for name in sorted(attempt.paused):
            replica = attempt.group.endpoints.get(name)
            if replica is not None and attempt.may_receive(name):
                self._resume_replica(attempt, replica)

    def _resume_replica(self, attempt: Replacement, replica: EndpointRow) -> None:
        """Resume a replica, once; the next comparison shows whether it receives."""

        def is_permitted() -> bool:
            may_receive = attempt.is_leveling and attempt.may_receive(replica.name)
            is_kept = self._pending_orders.may_receive(attempt.group, replica.name)
            is_replaced = attempt.group.primary not in ("", attempt.primary)
            return may_receive and is_kept and not (attempt.is_ended or is_replaced)

        def on_outcome(reply: EndpointReply | None, is_resumed: bool) -> None:
            if is_resumed:
                attempt.paused.discard(replica.name)

        self._replica_pauses.resume(replica, is_permitted, on_outcome)

    def resume_target(self, attempt: Replacement) -> None:
        """Resume a paused target, so that it receives what the primary acknowledges.

        If the primary restarted, the target stays paused: the primary's log may be
        empty, and the target would replace its own log by the empty one. It also stays
        paused after a wait for leases, see `leasewaits`.
        """
        primary = attempt.group.endpoints.get(attempt.primary)
        if primary is None or primary.is_role_unconfirmed:
            return
        if attempt.has_outwaited_leases:
            return
        target = attempt.group.endpoints.get(attempt.target)
        if attempt.target in attempt.paused and target is not None:
            attempt.paused.discard(attempt.target)
            self._order_resume(attempt, target)

    def _order_resume(self, attempt: Replacement, target: EndpointRow) -> None:
        def is_permitted() -> bool:
            return self._must_receive(attempt, target)

        def on_outcome(reply: EndpointReply | None, is_resumed: bool) -> None:
            log_target_resumed(self._node, attempt, target.name, reply)
            if not is_resumed and self._must_receive(attempt, target):
                attempt.paused.add(target.name)
                self.timers.after(
                    RESUME_RETRY_INTERVAL, self._repeat_resume, attempt, target
                )

        self._replica_pauses.resume(target, is_permitted, on_outcome)

    def _repeat_resume(self, attempt: Replacement, target: EndpointRow) -> None:
        if self._must_receive(attempt, target):
            self.resume_target(attempt)

    def _must_receive(self, attempt: Replacement, target: EndpointRow) -> bool:
        """Return whether a replica is still the only one that may be promoted."""
        service = attempt.group.service
        if attempt.has_outwaited_leases and not attempt.is_ended:
            return False
        if attempt.target != target.name or not self.tables.is_current(target):
            return False
        if attempt.group.primary not in ("", attempt.primary):
            return False
        if not self._pending_orders.may_target_receive(service, target.name):
            return False
        # After the end of the attempt, another host may have ordered a promotion.
        pending = self._pending_orders.pending(service).keys()
        return not attempt.is_ended or pending == {target.name}

    def _on_answered(self, event: PromotionAnswered) -> None:
        if event.call not in self._unanswered:
            return
        attempt, target, token = self._unanswered.pop(event.call)
        service = attempt.group.service
        self._pending_orders.note_answer(
            service, target, event.call, event.accepted, token
        )
        if not attempt.is_ended and attempt.order_call == event.call:
            self._follow_answer(attempt, event)

    @attempt_step
    def _follow_answer(self, attempt: Replacement, event: PromotionAnswered) -> None:
        if event.accepted:
            self._node.publish(OrderAccepted(attempt))
            self._keep_fence(attempt)
            self._demote_primary(attempt)
            self.timers.after(
                ACCEPTED_ORDER_TIMEOUT, self._repeat_order, attempt, event.call
            )
        elif event.outdated:
            attempt.claim = None  # another host has a newer claim
            self._node.publish(OrderFailed(attempt, event.message))
        else:
            if attempt.has_fenced:
                self._watch_fence(attempt, event.accepted)
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

    def _keep_fence(self, attempt: Replacement) -> None:
        """Keep the primary fenced while its successor is being promoted."""
        self._pending_fences.note_accepted(attempt.group.service)
        self._fence_orders.renew(attempt)

    def _watch_fence(self, attempt: Replacement, accepted: bool | None) -> None:
        """Have the primary serve writes again once that loses no commit.

        A primary that has not failed serves them until the next order if none is
        pending.
        """
        service = attempt.group.service
        if accepted is None:
            self._pending_fences.watch(attempt)
        elif not (attempt.reason.is_failure or self._pending_orders.pending(service)):
            self._fence_orders.suspend(attempt)

    @attempt_step
    def _repeat_order(self, attempt: Replacement, call: int) -> None:
        if attempt.is_ended or attempt.order_call != call:
            return
        if attempt.order_count >= ORDERS_MAX:
            why = "all promotion orders of the attempt were used up"
            self._node.publish(OrderFailed(attempt, why))
        elif self._claims.is_fresh(attempt.claim) and not attempt.is_fence_lifted:
            self.order(attempt)
        else:
            self._node.publish(ClaimExpired(attempt))
