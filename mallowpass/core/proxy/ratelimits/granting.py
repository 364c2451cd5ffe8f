"""Grants and leases that the keeper of a part gives to hosts that request them."""

from __future__ import annotations

import math

from mallowpass.core.node import Node
from mallowpass.core.proxy.configuration import Customer
from mallowpass.core.proxy.effects import AnswerAllowance
from mallowpass.core.proxy.events import AllowanceAsked, GrantReturned
from mallowpass.core.proxy.ratelimits.buckets import (
    GRANT_VALIDITY,
    BucketSize,
    full_size,
    initial_level,
    spare_size,
)
from mallowpass.core.proxy.ratelimits.keepers import Keepers
from mallowpass.core.proxy.ratelimits.leasing import (
    NO_SIZE,
    LeasableBucket,
    leasable_share,
)
from mallowpass.core.proxy.ratelimits.parts import GrantRight
from mallowpass.core.proxy.signals import DrainBegan
from mallowpass.core.proxy.tables import ProxySystem
from mallowpass.core.records import record

__all__ = ["Grant", "Granting", "Lease"]

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


@record
class Lease:
    """The size of a lease, and when it ends at the keeper."""

    size: BucketSize
    until: float


@record
class _Issued:
    """A grant that was issued, from a customer's bucket of a right."""

    customer: str
    right: GrantRight
    at: float


class Granting(ProxySystem):
    """Issue grants from the parts that this host keeps."""

    __slots__ = ("_buckets", "_issued", "_keepers")

    def __init__(self, node: Node) -> None:
        super().__init__(node)
        # By customer and right: each new right begins with new buckets.
        self._buckets: dict[tuple[str, GrantRight], LeasableBucket] = {}
        # By number of the request, negative for requests of this host itself.
        self._issued: dict[int, _Issued] = {}

    def start(self) -> None:
        """Subscribe to requests for grants and to the drain of this host."""
        self._keepers = self._node.system(Keepers)
        self._node.subscribe(AllowanceAsked, self._on_asked)
        self._node.subscribe(GrantReturned, self._on_returned)
        self._node.subscribe(DrainBegan, self._on_drain)

    def _on_asked(self, event: AllowanceAsked) -> None:
        grant = self.grant(
            event.part, event.customer, event.needed, event.ahead, event.ask
        )
        if grant is None:
            self._node.emit(AnswerAllowance(event.ask, None, 0.0))
        else:
            answer = AnswerAllowance(event.ask, grant.operations, grant.pause)
            self._node.emit(answer)

    def grant(
        self, part: int, name: str, needed: int, ahead: int, number: int
    ) -> Grant | None:
        """Grant needed operations, and some ahead of need if there is room.

        Return None if this host does not keep the part. `number` identifies the request
        if some of the operations are returned; it is negative for this host's own.
        """
        right = self._keepers.grant_right(part)
        if right is None:
            return None
        customer = self._customer(name)
        if customer is None:
            return Grant(0, UNKNOWN_CUSTOMER_PAUSE)
        return self._grant(customer, right, needed, ahead, number)

    def _customer(self, name: str) -> Customer | None:
        configuration = self.tables.configuration
        return None if configuration is None else configuration.customers.get(name)

    def _grant(
        self,
        customer: Customer,
        right: GrantRight,
        needed: int,
        ahead: int,
        number: int,
    ) -> Grant:
        size = self._size(customer, right)
        bucket = self._bucket(customer, right)
        level = bucket.refill(size, self.now)
        if level - needed - ahead >= AHEAD_SHARE * bucket.rest(size).burst:
            needed += ahead
        operations = needed if math.isinf(level) else min(needed, math.floor(level))
        bucket.take(operations, self.now)
        if operations:
            self._note_issued(number, _Issued(customer.name, right, self.now))
        pause = 0.0
        if operations < needed:
            pause = min(PAUSE_MAX, max(PAUSE_MIN, bucket.time_until_next(size)))
        return Grant(operations, pause)

    def _size(self, customer: Customer, right: GrantRight) -> BucketSize:
        size_for = full_size if right.is_full else spare_size
        return size_for(customer, right.part, self.tables.rate_bounds)

    def _bucket(self, customer: Customer, right: GrantRight) -> LeasableBucket:
        key = (customer.name, right)
        bucket = self._buckets.get(key)
        if bucket is None:
            bounds = self.tables.rate_bounds
            level = 0.0
            if right.is_prefilled:
                level = initial_level(customer, right.part, bounds)
            share = leasable_share(customer, right.part, bounds)
            bucket = self._buckets[key] = LeasableBucket(
                right.since, level, share, right.leased_until
            )
        return bucket

    # -- Returned grants -----------------------------------------------------

    def _note_issued(self, number: int, issued: _Issued) -> None:
        while self._issued:
            earlier = next(iter(self._issued))
            if self._issued[earlier].at + GRANT_VALIDITY > self.now:
                break
            del self._issued[earlier]
        self._issued[number] = issued

    def _on_returned(self, event: GrantReturned) -> None:
        self.take_back(event.ask, event.part, event.customer, event.operations)

    def take_back(self, number: int, part: int, name: str, operations: int) -> None:
        """Take back granted operations that did not begin, as far as there is room."""
        issued = self._issued.get(number)
        customer = self._customer(name)
        if issued is None or customer is None or issued.customer != name:
            return
        right = self._keepers.grant_right(part)
        if right != issued.right or issued.at + GRANT_VALIDITY <= self.now:
            return
        added = self._bucket(customer, right).give_back(
            operations, issued.at, self._size(customer, right), self.now
        )
        if added > 0.0:
            self._node.count("grants_returned", added)

    # -- Leases --------------------------------------------------------------

    def lease(self, part: int, name: str, holder: int, rate: float) -> Lease | None:
        """Lease a rate of a customer to a holder, in place of its present lease.

        Return None if this host may not lease now. A holder is the connection of
        another host; it is 0 for this host itself.
        """
        right = self._keepers.grant_right(part)
        customer = self._customer(name)
        if right is None or not right.is_full or customer is None:
            return None
        bounds = self.tables.rate_bounds
        size = self._size(customer, right)
        share = leasable_share(customer, part, bounds)
        bucket = self._bucket(customer, right)
        had_lease = bucket.holds(holder)
        until = self._keepers.lease_until(part)
        leased = bucket.lease(holder, rate, size, share, self.now, until)
        if rate > 0.0 and leased in (None, NO_SIZE):
            self._node.count("leases_refused")
        if leased is None:
            return None
        if leased != NO_SIZE:
            self._keepers.note_lease(until)
        if leased != NO_SIZE and not had_lease:
            self._node.count("leases_taken")
            self._node.log(
                "info",
                "lease_granted",
                customer=name,
                part=part,
                rate=round(leased.rate, 3),
                burst=round(leased.burst, 3),
            )
        return Lease(leased, until)

    def _on_drain(self, signal: DrainBegan) -> None:
        """Release all parts; this host grants nothing afterwards."""
        self._keepers.release_parts()
