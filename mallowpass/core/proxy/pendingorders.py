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

from collections.abc import Collection
from dataclasses import dataclass, field

from mallowpass.core.node import Node
from mallowpass.core.proxy.signals import PrimaryChanged
from mallowpass.core.proxy.tables import GroupRow, ProxySystem

__all__ = [
    "ACCEPTED_ORDER_TIMEOUT",
    "LATE_ORDER_MAX",
    "LATE_ORDER_TIMEOUT",
    "PendingOrders",
]

# Seconds after which the platform carries out an order at the latest.
LATE_ORDER_MAX = 12.0
# Seconds for which an order without an answer is pending.
LATE_ORDER_TIMEOUT = LATE_ORDER_MAX + 2.0
# Seconds for which an accepted order is pending. If the target is not primary after
# that time, its promotion is ordered again.
ACCEPTED_ORDER_TIMEOUT = 2.0


@dataclass(slots=True)
class _Orders:
    """Describe the pending orders for one target; times are of this host's clock."""

    accepted_until: float = float("-inf")  # when the last accepted one expires
    foreign_until: float = float("-inf")  # when the last one of another host expires
    unanswered: dict[int, float] = field(default_factory=dict)  # expiry by number
    tokens: dict[int, int] = field(default_factory=dict)  # of these, by number
    # The primary's commits had been stopped before the newest order.
    is_quiesced: bool = False
    # Another replica's pause has ended since.
    has_pause_ended: bool = False
    accepted_token: int = 0  # of the newest accepted order of this host

    @property
    def until(self) -> float:
        """Return the time at which the last of the orders expires."""
        return max(self.accepted_until, self.foreign_until, *self.unanswered.values())

    def is_unanswered(self, now: float) -> bool:
        """Return whether an order that has not expired has no known answer."""
        unanswered = max(self.unanswered.values(), default=self.foreign_until)
        return max(unanswered, self.foreign_until) > now

    def expire_earlier(self, token: int, until: float) -> None:
        """Have the orders without an answer expire whose tokens are older than one."""
        self.foreign_until = min(self.foreign_until, until)
        for number, expiry in self.unanswered.items():
            if self.tokens[number] < token:
                self.unanswered[number] = min(expiry, until)


class PendingOrders(ProxySystem):
    """Keep the pending promotion orders of this host and of others."""

    __slots__ = ("_foreign_tokens", "_orders")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        self._orders: dict[str, dict[str, _Orders]] = {}  # by service and target
        # Of the claims that tell of the orders of other hosts, by service.
        self._foreign_tokens: dict[str, int] = {}

    def start(self) -> None:
        """Subscribe to changes of primaries."""
        self._node.subscribe(PrimaryChanged, self._on_primary_changed)

    # -- Orders --------------------------------------------------------------

    def note_order(
        self,
        service: str,
        target: str,
        number: int,
        is_quiesced: bool,
        token: int = 0,
    ) -> None:
        """Record that an order is about to be sent, under a number of its own."""
        orders = self._orders.setdefault(service, {}).setdefault(target, _Orders())
        orders.unanswered[number] = self.now + LATE_ORDER_TIMEOUT
        orders.tokens[number] = token
        orders.is_quiesced = is_quiesced

    def note_answer(
        self,
        service: str,
        target: str,
        number: int,
        accepted: bool | None,
        token: int = 0,
    ) -> None:
        """Record the answer to an order; `accepted` is None if there was none.

        An order that was refused, or not sent at all, leaves those before it pending.
        """
        orders = self._orders.get(service, {}).get(target)
        if orders is None or accepted is None:
            return
        orders.unanswered.pop(number, None)
        orders.tokens.pop(number, None)
        if accepted:
            orders.accepted_until = self.now + ACCEPTED_ORDER_TIMEOUT
            orders.accepted_token = max(orders.accepted_token, token)
            self._expire_earlier(service, token)

    def _expire_earlier(self, service: str, token: int) -> None:
        """Have the orders of earlier claims expire as accepted ones do.

        The platform has seen a newer fencing token, and refuses them from now on.
        """
        is_newest = token >= self._foreign_tokens.get(service, 0)
        if is_newest and self.tables.promotion_fences_primary:
            until = self.now + ACCEPTED_ORDER_TIMEOUT
            for orders in self._orders.get(service, {}).values():
                orders.expire_earlier(token, until)

    def note_foreign_orders(
        self,
        service: str,
        until: dict[str, float],
        token: int,
        unchanged: Collection[str] = (),
    ) -> None:
        """Record what the newest claim tells of the orders of all hosts.

        `until` are times of this host's clock, by target. An order that an earlier
        claim named and this one does not has been given up. Of the `unchanged` targets
        the claim tells nothing new.
        """
        self._foreign_tokens[service] = token
        by_target = self._orders.setdefault(service, {})
        for target, orders in by_target.items():
            if target not in unchanged:
                orders.foreign_until = float("-inf")
        for target, time in until.items():
            by_target.setdefault(target, _Orders()).foreign_until = time

    def note_lost_orders(self, service: str, until: dict[str, float]) -> None:
        """Record orders that only hosts know of, as the store has lost their claims.

        `until` are times of this host's clock, by target.
        """
        by_target = self._orders.setdefault(service, {})
        for target, time in until.items():
            orders = by_target.setdefault(target, _Orders())
            orders.foreign_until = max(orders.foreign_until, time)

    def pending(self, service: str) -> dict[str, float]:
        """Return the targets of pending orders, each with its time of expiry."""
        orders = self._orders.get(service, {})
        for target in [t for t, each in orders.items() if each.until <= self.now]:
            del orders[target]
        return {target: each.until for target, each in orders.items()}

    def rivals(self, group: GroupRow) -> set[str]:
        """Return the targets that may replace a group's primary at any moment."""
        return self.pending(group.service).keys() - {group.primary}

    def has_foreign(self, group: GroupRow) -> bool:
        """Return whether an order of another host may replace a group's primary."""
        return any(
            orders.foreign_until > self.now and target != group.primary
            for target, orders in self._orders.get(group.service, {}).items()
        )

    def pending_text(self, service: str) -> str:
        """Return the pending orders for log lines, each as TARGET:SECONDS_LEFT."""
        pending = sorted(self.pending(service).items())
        return ",".join(f"{t}:{round(until - self.now, 3)}" for t, until in pending)

    def _on_primary_changed(self, signal: PrimaryChanged) -> None:
        """Discard the orders for a new primary, unless one of them has no answer.

        Where the platform checks fencing tokens, the orders of earlier claims are void
        once an order under a newer one has been carried out.
        """
        service, primary = signal.group.service, signal.group.primary
        by_target = self._orders.get(service, {})
        orders = by_target.get(primary)
        if orders is None:
            return
        newest = max(self._foreign_tokens.get(service, 0), self._token(service))
        is_newest = orders.accepted_until > self.now and orders.accepted_token >= newest
        if self.tables.promotion_fences_primary and is_newest:
            by_target.clear()
        elif not orders.is_unanswered(self.now):
            del by_target[primary]

    def _token(self, service: str) -> int:
        """Return the newest token under which an order of this host was accepted."""
        orders = self._orders.get(service, {}).values()
        return max((each.accepted_token for each in orders), default=0)

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
        orders = self._orders.get(service, {}).get(target)
        return orders is None or not orders.is_quiesced or orders.has_pause_ended

    def note_ended_pause(self, service: str) -> None:
        """Record that a replica receives again which is no target of an order."""
        for orders in self._orders.get(service, {}).values():
            orders.has_pause_ended = True

    def ordered_target(self, group: GroupRow, names: list[str]) -> str:
        """Return the first of `names` that has a pending order, or an empty string.

        Another target would need a second order, and the two orders could be carried
        out in either sequence.
        """
        pending = self.pending(group.service)
        return next((name for name in names if name in pending), "")
