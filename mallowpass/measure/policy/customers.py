"""Customers whose callers load a deployment, and what their limits allow."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from mallowpass.core.proxy.configuration import Customer
from mallowpass.core.proxy.ratelimits.buckets import BucketSize, TokenBucket
from mallowpass.standins.proxied.virtual.world import customer

__all__ = ["HOT", "Customers", "key_of", "make_customers"]

# Exponent of the Zipf distribution of load over customers.
EXPONENT = 1.2
# Limit of a customer, as a multiple of its usual rate.
LIMIT_RATIO = 1.6
# Burst of a limit: the operations of BURST_TIME seconds at its rate, and at least
# BURST_MIN. A burst below 6 would not be divided among the keepers.
BURST_TIME = 1.0
BURST_MIN = 10.0
HOT = "customer-1"  # the largest one, whose load patterns change


def key_of(name: str) -> str:
    """Return the key that callers of a customer show."""
    return f"key of {name}"


def make_customers(count: int, operations: float, peak: float) -> tuple[Customer, ...]:
    """Return customers with limits, the largest first.

    `operations` is the usual load of all of them, in operations a second. The limit of
    the largest one allows `peak` times its usual load.
    """
    customers = []
    for number, share in enumerate(_shares(count), start=1):
        name = f"customer-{number}"
        usual = operations * share * (peak if name == HOT else 1.0)
        rate = LIMIT_RATIO * usual
        burst = max(BURST_MIN, BURST_TIME * rate)
        customers.append(customer(name, key_of(name), rate=rate, burst=burst))
    return tuple(customers)


def _shares(count: int) -> list[float]:
    weights = [number**-EXPONENT for number in range(1, count + 1)]
    return [weight / sum(weights) for weight in weights]


class Customers:
    """Choose customers of operations, and tell which of these are within a limit."""

    def __init__(self, customers: Sequence[Customer]) -> None:
        self._customers = customers
        self._shares = _shares(len(customers))
        self._buckets: dict[str, TokenBucket] = {}
        self.hot_load = 1.0  # load of the largest customer, times its usual one

    @property
    def load(self) -> float:
        """Return the load of all customers together, times the usual one."""
        return 1.0 + self._shares[0] * (self.hot_load - 1.0)

    def choose(self, random: Random) -> Customer:
        """Return the customer of the next operation."""
        first, *others = self._shares
        (chosen,) = random.choices(self._customers, (first * self.hot_load, *others))
        return chosen

    def is_within_limit(self, customer: Customer, now: float) -> bool:
        """Tell whether a customer is within its limit as it asks for an operation.

        A single token bucket of the customer's rate and burst decides, so the answer
        does not depend on parts, grants or failures. Retries do not count.
        """
        size = BucketSize(customer.rate, customer.burst)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = self._buckets[customer.name] = TokenBucket(now, size.burst)
        if bucket.refill(size, now) < 1.0:
            return False
        bucket.take(1)
        return True
