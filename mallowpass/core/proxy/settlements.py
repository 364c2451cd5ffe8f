"""Pending promotion orders that are ended in favour of the present primary.

An order without an answer may be carried out seconds later. Its target may be out of
reach, or receive nothing, while the primary is well: then no write could be served
until the order has expired. An order for the primary itself, under a newer fencing
token, changes nothing, and the platform refuses all earlier ones from then on.

It may be late as well, and promote the primary back after the target has led. So all
endpoints are fenced from before the order, the target among them, and all holders have
confirmed it. The earlier order may have been accepted shortly before, so the fence ends
only when its target would lead. An order without an answer is pending like any other.
"""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.core.node import Node
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.durability import Durability
from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.events import PromotionAnswered
from mallowpass.core.proxy.fenceorders import FenceOrders
from mallowpass.core.proxy.pendingfences import PendingFences
from mallowpass.core.proxy.pendingorders import ACCEPTED_ORDER_TIMEOUT, PendingOrders
from mallowpass.core.proxy.replacement import (
    Reason,
    Replacement,
    ReplacementBegan,
)
from mallowpass.core.proxy.replicaorders import ReplicaOrders
from mallowpass.core.proxy.signals import PendingOrderStuck, PrimaryChanged
from mallowpass.core.proxy.statements import EndpointReply, Status
from mallowpass.core.proxy.tables import GroupRow, ProxySystem
from mallowpass.core.proxy.writers import Writers

__all__ = ["Settlements"]

# Times are in seconds.
FENCE_TIMEOUT = 1.0  # for the confirmations of all holders
ORDER_TIMEOUT = 1.0
# After an order of this host got no answer: another one would most likely be late too.
SILENCE_TIMEOUT = 1.0


@dataclass(slots=True, eq=False)
class _Settlement:
    """An order for a present primary."""

    attempt: Replacement  # of the primary, by itself
    call: int = 0  # number of the order; 0: not sent yet
    is_accepted: bool = False

    @property
    def group(self) -> GroupRow:
        """Return the group of the primary."""
        return self.attempt.group


class Settlements(ProxySystem):
    """Order present primaries, so that earlier orders of other targets are void."""

    __slots__ = (
        "_claims",
        "_durability",
        "_fence_orders",
        "_pending_fences",
        "_pending_orders",
        "_replacing",
        "_replica_orders",
        "_settlements",
        "_unanswered",
        "_unanswered_at",
        "_writers",
    )

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._settlements: dict[str, _Settlement] = {}  # by service
        self._replacing: dict[str, Replacement] = {}  # this host's attempts
        self._unanswered: dict[int, _Settlement] = {}  # by call
        self._unanswered_at = float("-inf")  # when an order was given up

    def start(self) -> None:
        """Subscribe to primaries that are fenced for an order in vain."""
        self._claims = self._node.system(Claims)
        self._durability = self._node.system(Durability)
        self._fence_orders = self._node.system(FenceOrders)
        self._pending_fences = self._node.system(PendingFences)
        self._pending_orders = self._node.system(PendingOrders)
        self._replica_orders = self._node.system(ReplicaOrders)
        self._writers = self._node.system(Writers)
        self._node.subscribe(PendingOrderStuck, self._on_stuck)
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)
        self._node.subscribe(PromotionAnswered, self._on_answered)
        self._node.subscribe(ReplacementBegan, self._on_began)

    def is_settling(self, service: str) -> bool:
        """Return whether this host orders a service's present primary."""
        return service in self._settlements

    def _on_began(self, signal: ReplacementBegan) -> None:
        self._replacing[signal.attempt.group.service] = signal.attempt

    def _is_replacing(self, service: str) -> bool:
        attempt = self._replacing.get(service)
        return attempt is not None and not attempt.is_ended

    # -- Beginning -----------------------------------------------------------

    def _on_stuck(self, signal: PendingOrderStuck) -> None:
        group, primary = signal.group, signal.primary
        if not self.tables.promotion_fences_primary or group.primary != primary:
            return
        if self.is_settling(group.service) or self._is_replacing(group.service):
            return
        if self.now < self._unanswered_at + SILENCE_TIMEOUT:
            return
        why = "the target of a pending order does not receive"
        attempt = Replacement(group, primary, Reason.UNAVAILABLE, why, self.now)
        attempt.target = primary
        settlement = self._settlements[group.service] = _Settlement(attempt)
        self._pending_fences.suspend(group.service)

        def on_writers(is_read: bool) -> None:
            if is_read and self._is_current(settlement):
                self._fence(settlement)
            else:
                self._end(settlement, "the entries of writers can't be read")

        def on_claim(claim: Claim | None) -> None:
            if claim is None:
                self._end(settlement, "claim held by another host, or no store")
            elif not self._is_current(settlement):
                self._claims.withdraw_target(group.service, claim)
            else:
                attempt.claim = claim
                self._writers.read(group.service, on_writers)

        # The claim names no primary, so that the order for it counts as pending.
        self._claims.take(group.service, "", on_claim, target=primary)

    def _is_current(self, settlement: _Settlement) -> bool:
        return self._settlements.get(settlement.group.service) is settlement

    def _fence(self, settlement: _Settlement) -> None:
        """Have all holders confirm that they write to no endpoint of the service."""
        attempt = settlement.attempt
        attempt.fence_target = ""
        self._fence_orders.begin(attempt, lambda: self._ask_primary(settlement))
        self.timers.after(FENCE_TIMEOUT, self._check_fence, settlement)

    def _check_fence(self, settlement: _Settlement) -> None:
        """Go on without hosts that are silent; replicas are paused meanwhile."""
        attempt = settlement.attempt
        if attempt.confirmed_fence is not None or not self._is_current(settlement):
            return
        if self._fence_orders.is_unanswered_by_silent_hosts_alone(attempt):
            self._ask_primary(settlement)
        else:
            self._end(settlement, "hosts did not confirm the fence")

    # -- Ordering ------------------------------------------------------------

    def _ask_primary(self, settlement: _Settlement) -> None:
        """Order the primary if it still is, and has all acknowledged commits."""
        attempt = settlement.attempt
        primary = attempt.group.endpoints.get(attempt.primary)
        if not self._is_current(settlement):
            return
        if primary is None:
            self._end(settlement, "the primary is gone")
            return

        def on_reply(reply: EndpointReply | None) -> None:
            status = None if reply is None else reply.status
            if not self._is_current(settlement):
                return
            required = attempt.group.must_hold
            if status is None or not status.is_primary or status.received < required:
                self._end(settlement, "the primary does not lead, or lacks commits")
                return
            attempt.received[attempt.primary] = status.received
            self._store_order(settlement)

        self._replica_orders.send(primary, Status(), on_reply)

    def _store_order(self, settlement: _Settlement) -> None:
        """Store the order with the claim, then send it."""
        attempt = settlement.attempt
        service, claim = attempt.group.service, attempt.claim
        number = self._node.next_number()
        self._pending_orders.note_order(
            service, attempt.primary, number, False, claim.token
        )

        def on_stored(renewed: Claim | None) -> None:
            attempt.claim = renewed or attempt.claim
            is_fenced = self.now < attempt.fenced_until
            if renewed is None or not is_fenced or not self._is_current(settlement):
                self._pending_orders.note_answer(
                    service, attempt.primary, number, False
                )
                self._end(settlement, "the order is not stored in time")
                return
            self._send_order(settlement, number)

        position = attempt.received[attempt.primary]
        self._claims.raise_must_hold(service, claim, position, on_stored)

    def _send_order(self, settlement: _Settlement, number: int) -> None:
        attempt = settlement.attempt
        settlement.call = number
        self._unanswered[number] = settlement
        attempt.order_count += 1
        self._fence_orders.renew(attempt)
        attempt.log(
            self._node,
            "pending_orders_settled",
            "warning",
            target=attempt.primary,
            token=attempt.claim.token,
            pending=self._pending_orders.pending_text(attempt.group.service),
        )
        self._node.emit(
            OrderPromotion(
                number,
                attempt.group.service,
                attempt.primary,
                attempt.claim.token,
                ORDER_TIMEOUT,
            )
        )

    def _on_answered(self, event: PromotionAnswered) -> None:
        if event.accepted is None:
            self._unanswered_at = self.now
        settlement = self._unanswered.pop(event.call, None)
        if settlement is None:
            return
        attempt = settlement.attempt
        self._pending_orders.note_answer(
            attempt.group.service,
            attempt.primary,
            event.call,
            event.accepted,
            attempt.claim.token,
        )
        if not self._is_current(settlement):
            return
        if event.accepted:
            settlement.is_accepted = True
            self._fence_orders.renew(attempt)
            self.timers.after(ACCEPTED_ORDER_TIMEOUT, self._complete, settlement)
        else:
            self._end(settlement, event.message or "the order got no answer")

    # -- Ending --------------------------------------------------------------

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """End the settlement as the target of an earlier order leads."""
        settlement = self._settlements.get(signal.group.service)
        primary = signal.group.primary
        if settlement is not None and primary not in ("", settlement.attempt.primary):
            self._end(settlement, f"{primary} is primary")

    def _complete(self, settlement: _Settlement) -> None:
        if self._is_current(settlement):
            self._end(settlement, "earlier orders are void")

    def _end(self, settlement: _Settlement, why: str) -> None:
        if not self._is_current(settlement):
            return
        attempt = settlement.attempt
        service = attempt.group.service
        del self._settlements[service]
        attempt.is_ended = True
        rivals = self._pending_orders.rivals(attempt.group)
        attempt.log(
            self._node,
            "settlement_ended",
            "warning",
            outcome=why,
            accepted=settlement.is_accepted,
            pending=self._pending_orders.pending_text(service),
        )
        if attempt.claim is not None:
            self._claims.withdraw_target(service, attempt.claim)
        if rivals:
            self._fence_orders.leave(attempt)
            self._pending_fences.watch(attempt)
        else:
            self._fence_orders.end(attempt, False)
        self._pending_fences.resume(service)
