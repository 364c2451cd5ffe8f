"""Promotion orders that are stored with the claim before they are sent.

A host may stand still, or wait for a replica, for longer than its claim lasts. Another
host then claims. Were an order sent that the newer claim does not name, the other host
would choose a target of its own, and both promotions could be carried out: what the
first successor acknowledges is lost as the second one leads. No clock excludes this.

The claim is renewed by compare-and-set, with the order in it, before the order is sent.
Either the renewal comes first, and each later claim inherits the order, or the other
claim comes first, and the renewal fails.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from mallowpass.core.messages import Signal
from mallowpass.core.node import Node
from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.claims import Claim, Claims
from mallowpass.core.proxy.orderproofs import OrderProofs
from mallowpass.core.proxy.pendingorders import PendingOrders
from mallowpass.core.proxy.promotionevidence import order_account
from mallowpass.core.proxy.replacement import Replacement, ReplacementEnded
from mallowpass.core.proxy.statements import owner_name
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["OrderStored", "StoredOrders"]

# Called with the number of the order, or None if another host has claimed since or the
# store did not answer.
StoredHandler = Callable[[int | None], None]


@record
class OrderStored(Signal):
    """The claim of an attempt has come to name the target of its order."""

    attempt: Replacement


@dataclass(slots=True, eq=False)
class _Order:
    """An order that is being stored, or is stored and not sent yet."""

    attempt: Replacement
    target: str
    position: LogPosition  # that the next primary must hold
    number: int
    claim: Claim
    handler: StoredHandler | None = None
    is_stored: bool = False
    has_failed: bool = False
    round: int = 0  # of the comparison that asked for it last
    is_outdated: bool = False  # the attempt has another target or position by now


class StoredOrders(ProxySystem):
    """Store the orders of this host's attempts, each before it is sent."""

    __slots__ = ("_claims", "_order_proofs", "_orders", "_owner", "_pending_orders")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._orders: dict[str, _Order] = {}  # by service
        self._owner = owner_name(node.identity.name, node.identity.incarnation)

    def start(self) -> None:
        """Subscribe to attempts that end before their order is sent."""
        self._claims = self._node.system(Claims)
        self._order_proofs = self._node.system(OrderProofs)
        self._pending_orders = self._node.system(PendingOrders)
        self._node.subscribe(ReplacementEnded, self._on_ended)

    def store(self, attempt: Replacement, handler: StoredHandler | None = None) -> None:
        """Store the order for an attempt's target with its claim.

        Without a handler the order is stored ahead of its time, and the next call for
        the same target waits for nothing else.
        """
        order = self._orders.get(attempt.group.service)
        if order is not None and not self._is_usable(order, attempt):
            if order.attempt is attempt and not order.is_stored:
                # Two renewals of one claim at a time would refuse each other.
                order.is_outdated = True
                order.handler = handler
                order.round = attempt.rounds
                return
            self._discard(order)
            order = None
        if order is None:
            order = self._begin(attempt)
        order.handler = handler or order.handler
        if order.has_failed and handler is not None:
            handler(None)  # the claim was known to be outdated
        elif order.is_stored:
            self._deliver(order)

    def is_stored(self, attempt: Replacement) -> bool:
        """Return whether the order of an attempt is stored and was not sent yet."""
        order = self._orders.get(attempt.group.service)
        return order is not None and order.attempt is attempt and order.is_stored

    def _is_usable(self, order: _Order, attempt: Replacement) -> bool:
        """Return whether an order names what an attempt would have stored now.

        The position matters if a replica lacks commits of the target: should the target
        fail as well, that replica must not be promoted.
        """
        if order.attempt is not attempt or order.target != attempt.target:
            return False
        if order.is_stored and not self._is_named(attempt):
            return False  # it was stored too long ago
        position = attempt.received[attempt.target]
        return not attempt.is_target_ahead or order.position >= position

    def _is_named_by_claim(self, attempt: Replacement) -> bool:
        """Return whether an order needs no renewal of the claim."""
        if attempt.is_target_ahead:
            return False  # the claim does not demand the target's position yet
        return self._is_named(attempt)

    def _is_named(self, attempt: Replacement) -> bool:
        """Return whether the newest claim names the target for long enough."""
        service, claim = attempt.group.service, attempt.claim
        return self._claims.names_order(service, claim, attempt.target)

    def _begin(self, attempt: Replacement) -> _Order:
        service, target = attempt.group.service, attempt.target
        number = self._node.next_number()
        position = attempt.received[target]
        order = _Order(attempt, target, position, number, attempt.claim)
        self._orders[service] = order
        token, is_quiesced = attempt.claim.token, attempt.is_quiesced
        self._pending_orders.note_order(service, target, number, is_quiesced, token)
        # A claim that names the target is renewed as well, since the order is sent now,
        # see `Claim.fenced_until`.
        order.is_stored = self._is_named_by_claim(attempt)
        # As it is known so far: the claim is not written again before the order.
        attempt.grounds = self._order_proofs.grounds(attempt)
        account = order_account(attempt, self._owner, self.now)
        self._claims.note_account(service, account)
        self._claims.raise_must_hold(
            service, attempt.claim, position, lambda claim: self._on_claim(order, claim)
        )
        return order

    def _on_claim(self, order: _Order, claim: Claim | None) -> None:
        attempt = order.attempt
        if claim is not None and attempt.claim is order.claim:
            attempt.claim = claim
        if self._orders.get(attempt.group.service) is not order or order.is_stored:
            return
        if claim is None or order.is_outdated:
            self._discard(order)
            is_asked = claim is not None and attempt.rounds == order.round
            if is_asked and attempt.target in attempt.received:
                self.store(attempt, order.handler)
            elif order.handler is not None:
                order.handler(None)
            return
        order.is_stored = True
        self._node.publish(OrderStored(attempt))
        self._deliver(order)

    def _deliver(self, order: _Order) -> None:
        if order.handler is not None:
            attempt = order.attempt
            service = attempt.group.service
            del self._orders[service]
            # It is pending from now on, and not from when it was stored.
            self._pending_orders.note_order(
                service,
                order.target,
                order.number,
                attempt.is_quiesced,
                order.claim.token,
            )
            order.handler(order.number)

    def discard(self, attempt: Replacement) -> None:
        """Forget the order that an attempt has stored ahead."""
        order = self._orders.get(attempt.group.service)
        if order is not None and order.attempt is attempt:
            self._discard(order)

    def _discard(self, order: _Order) -> None:
        """Forget an order that was not sent."""
        order.has_failed = True
        service = order.attempt.group.service
        del self._orders[service]
        self._pending_orders.note_answer(service, order.target, order.number, False)

    def _on_ended(self, signal: ReplacementEnded) -> None:
        order = self._orders.get(signal.attempt.group.service)
        if order is not None and order.attempt is signal.attempt:
            self._discard(order)
