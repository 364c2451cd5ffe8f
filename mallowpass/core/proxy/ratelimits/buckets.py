"""How many operations of a customer one part of its limit grants.

The load: a customer that sends several times its limit, for seconds, to all hosts at
once, while keepers end and start again. Each part is a token bucket. One whose keeper
starts, for the first time or again, begins empty: whatever was granted before, its
sum with what is granted from then on is that of one bucket that was never lost.

What may run is promised for any window. What was granted at its begin runs up to
`VALIDITY` later, so that over the window and that time a bucket's rate and burst must
stay within the promise:

    rate * (window + VALIDITY) + burst
        <= (rate * window + burst) * (1 + overage) + slack

What this leaves is divided: some is added to bursts, as three small buckets hold less
for a moment's need than one; some is what buckets begin with whose keepers start again,
as callers come back all at once then; some is for keepers that can't know whether
another one grants from the same part.
"""

from __future__ import annotations

import math
from zlib import crc32

from mallowpass.core.proxy.configuration import Customer, RateBounds
from mallowpass.core.records import record

__all__ = [
    "PART_COUNT",
    "VALIDITY",
    "BucketSize",
    "TokenBucket",
    "full_size",
    "spare_size",
    "start_level",
]

# Parts of each limit. Without one of them its hosts go by the others, and a customer
# that asks for less than two thirds of its limit lacks nothing.
PART_COUNT = 3
# How long a host may use what it was granted, in seconds. What it does not use is lost.
VALIDITY = 0.5
# A burst of which each part has less than this is one part's alone.
PART_MIN = 2
# Shares of what the bounds leave; the rest is for clocks that run at different rates.
BURST_SHARE = 0.25
START_SHARE = 0.45
SPARE_SHARE = 0.15
SPARE_BURST_TIME = 1.0  # seconds of its rate that a spare bucket holds


@record
class BucketSize:
    """Hold how many operations a bucket gains a second, and holds at the most."""

    rate: float
    burst: float


class TokenBucket:
    """Hold the operations that may be granted."""

    __slots__ = ("_level", "_level_at")

    def __init__(self, now: float, level: float = 0.0) -> None:
        self._level = level
        self._level_at = now

    def fill(self, size: BucketSize, now: float) -> float:
        """Add what was gained, and return what may be granted."""
        gained = size.rate * max(0.0, now - self._level_at)
        self._level = min(size.burst, self._level + gained)
        self._level_at = max(now, self._level_at)
        return self._level

    def take(self, operations: int) -> None:
        """Take operations that it holds."""
        self._level -= operations

    def until_next(self, size: BucketSize) -> float:
        """Return in how many seconds it will hold a whole operation."""
        if size.rate <= 0.0 or size.burst < 1.0:
            return math.inf
        return max(0.0, 1.0 - self._level) / size.rate


def full_size(customer: Customer, part: int, bounds: RateBounds) -> BucketSize:
    """Return the size of a customer's bucket for a part that one keeper has alone."""
    burst = customer.burst + BURST_SHARE * _left(customer, bounds)
    return _divide(customer, part, customer.rate, burst)


def start_level(customer: Customer, part: int, bounds: RateBounds) -> float:
    """Return what a bucket may begin with, once in a window."""
    size = full_size(customer, part, bounds)
    start = START_SHARE * _left(customer, bounds)
    return min(size.burst, start / PART_COUNT)


def spare_size(customer: Customer, part: int, bounds: RateBounds) -> BucketSize:
    """Return the size of the bucket that a keeper may use beside another one's."""
    spare = SPARE_SHARE * _left(customer, bounds)
    rate = spare / (bounds.window + VALIDITY + SPARE_BURST_TIME)
    return _divide(customer, part, rate, SPARE_BURST_TIME * rate)


def _left(customer: Customer, bounds: RateBounds) -> float:
    """Return what the bounds of a window leave beyond the limit."""
    promised = customer.rate * bounds.window + customer.burst
    late = customer.rate * VALIDITY
    return max(0.0, promised * bounds.overage + bounds.slack - late)


def _divide(customer: Customer, part: int, rate: float, burst: float) -> BucketSize:
    if burst >= PART_COUNT * PART_MIN:
        return BucketSize(rate / PART_COUNT, burst / PART_COUNT)
    name = customer.name.encode("utf-8", "surrogateescape")
    is_its_own = crc32(name) % PART_COUNT == part
    return BucketSize(rate, burst) if is_its_own else BucketSize(0.0, 0.0)
