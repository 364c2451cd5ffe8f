"""What the keeper of a part grants to hosts that ask."""

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
from mallowpass.core.proxy.signals import DrainBegan
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["Grant", "Granting"]

# Hosts are granted ahead of need while a bucket stays fuller than this: near the limit,
# what one host leaves unused is missing to another.
AHEAD_SHARE = 0.5
PAUSE_MIN = 0.02  # seconds
PAUSE_MAX = 10.0  # seconds after which to come back where nothing will be granted
UNKNOWN_CUSTOMER_PAUSE = 0.5  # seconds until a host asks again for an unknown customer


@record
class Grant:
    """Answer how many operations may begin; `pause` s until there is room for more."""

    operations: int
    pause: float = 0.0


class Granting(ProxySystem):
    """Grant operations from the parts that this host keeps."""

    __slots__ = ("_buckets", "_keepers")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # By customer, and the right that they are granted by: each begins anew.
        self._buckets: dict[tuple[str, GrantRight], TokenBucket] = {}

    def start(self) -> None:
        """Subscribe to what hosts ask."""
        self._keepers = self._node.system(Keepers)
        self._node.subscribe(AllowanceAsked, self._on_asked)
        self._node.subscribe(DrainBegan, self._on_drain)

    def _on_asked(self, event: AllowanceAsked) -> None:
        granted = self.grant(event.part, event.customer, event.needed, event.ahead)
        if granted is None:
            self._node.emit(AnswerAllowance(event.ask, None, 0.0))
        else:
            answer = AnswerAllowance(event.ask, granted.operations, granted.pause)
            self._node.emit(answer)

    def grant(self, part: int, name: str, needed: int, ahead: int) -> Grant | None:
        """Grant what is needed, and some ahead; None: this host keeps no such part."""
        right = self._keepers.grant_right(part)
        if right is None:
            return None
        configuration = self.tables.configuration
        customer = None if configuration is None else configuration.customers.get(name)
        if customer is None:
            return Grant(0, UNKNOWN_CUSTOMER_PAUSE)
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
        operations = needed if math.isinf(level) else min(needed, math.floor(level))
        bucket.take(operations)
        pause = 0.0
        if operations < needed:
            pause = min(PAUSE_MAX, max(PAUSE_MIN, bucket.time_until_next(size)))
        return Grant(operations, pause)

    def _on_drain(self, signal: DrainBegan) -> None:
        """Leave all parts to other hosts; nothing is granted here any more."""
        self._keepers.release_parts()
