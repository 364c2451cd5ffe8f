"""Grants that the keeper of a part issues to hosts that request them."""

from __future__ import annotations

import math

from mallowpass.core.node import Node
from mallowpass.core.proxy.configuration import Customer
from mallowpass.core.proxy.effects import AnswerAllowance
from mallowpass.core.proxy.events import AllowanceAsked
from mallowpass.core.proxy.ratelimits.buckets import (
    TokenBucket,
    full_size,
    initial_level,
    spare_size,
)
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.ratelimits.parts import GrantRight
from mallowpass.core.proxy.ratelimits.windowcredits import WindowCredits
from mallowpass.core.proxy.signals import DrainBegan
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["Grant", "Granting"]

# Operations are granted ahead of need only while a bucket keeps at least this share of
# its burst: near the limit, operations that one host leaves unused are missing at other
# hosts.
AHEAD_SHARE = 0.5
# Bounds of the pause after which a host may request more, in seconds. The upper bound
# also applies to buckets that never gain a token.
PAUSE_MIN = 0.02
PAUSE_MAX = 10.0
# Pause before a host requests operations of an unknown customer again, in seconds.
UNKNOWN_CUSTOMER_PAUSE = 0.5


@record
class Grant:
    """A number of operations that may begin; `pause` is in seconds, until more may."""

    operations: int
    pause: float = 0.0


class Granting(ProxySystem):
    """Issue grants from the parts that this host keeps."""

    __slots__ = ("_buckets", "_credits", "_keepers")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # By customer and right: each new right begins with new buckets.
        self._buckets: dict[tuple[str, GrantRight], TokenBucket] = {}

    def start(self) -> None:
        """Subscribe to requests for grants and to the drain of this host."""
        self._keepers = self._node.system(Keepers)
        self._credits = self._node.system(WindowCredits)
        self._node.subscribe(AllowanceAsked, self._on_asked)
        self._node.subscribe(DrainBegan, self._on_drain)

    def _on_asked(self, event: AllowanceAsked) -> None:
        grant = self.grant(event.part, event.customer, event.needed, event.ahead)
        if grant is None:
            self._node.emit(AnswerAllowance(event.ask, None, 0.0))
        else:
            answer = AnswerAllowance(event.ask, grant.operations, grant.pause)
            self._node.emit(answer)

    def grant(self, part: int, name: str, needed: int, ahead: int) -> Grant | None:
        """Grant needed operations, and some ahead of need if there is room.

        Return None if this host does not keep the part.
        """
        right = self._keepers.grant_right(part)
        if right is None:
            return None
        configuration = self.tables.configuration
        customer = None if configuration is None else configuration.customers.get(name)
        if customer is None:
            return Grant(0, UNKNOWN_CUSTOMER_PAUSE)
        right = self._credits.right_for(name, right)
        if right is None:
            return Grant(0, PAUSE_MIN)
        return self._grant(customer, right, needed, ahead)

    def _grant(
        self, customer: Customer, right: GrantRight, needed: int, ahead: int
    ) -> Grant:
        size_for = full_size if right.is_full else spare_size
        size = size_for(customer, right.part, self.tables.rate_bounds)
        key = (customer.name, right)
        bucket = self._buckets.get(key)
        if bucket is None:
            level = 0.0
            if right.is_prefilled:
                level = initial_level(customer, right.part, self.tables.rate_bounds)
            bucket = self._buckets[key] = TokenBucket(right.since, level)
        level = bucket.refill(size, self.now)
        if level - needed - ahead >= AHEAD_SHARE * size.burst:
            needed += ahead
        # The level is below zero after grants beyond the bucket.
        room = needed if math.isinf(level) else max(0, math.floor(level))
        extension = self._credits.extend(
            customer, right, bucket, size, needed, min(needed, room)
        )
        operations = extension.operations
        bucket.take(operations)
        pause = 0.0
        if operations < needed:
            next_at = min(bucket.time_until_next(size), extension.pause)
            pause = min(PAUSE_MAX, max(PAUSE_MIN, next_at))
        return Grant(operations, pause)

    def _on_drain(self, signal: DrainBegan) -> None:
        """Release all parts; this host grants nothing afterwards."""
        self._keepers.release_parts()
