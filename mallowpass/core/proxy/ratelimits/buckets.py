"""Token buckets: how many operations of a customer one part of its limit grants.

The sizes are chosen for a customer that sends several times its limit to all hosts at
once, for seconds, while keepers stop and restart. A bucket begins empty, unless
`initial_level` applies. So the operations granted before a restart and those granted
after it add up to no more than one bucket would have granted without the restart.

The limit is promised for every window of `RateBounds.window` seconds. An operation may
begin up to `GRANT_VALIDITY` after its grant. So the operations of one window are those
granted during the window or in the `GRANT_VALIDITY` before it. The rates and bursts of
all buckets together, on the left, must keep to the limit and its bounds, on the right:

    rate * (window + GRANT_VALIDITY) + burst
        <= (rate * window + burst) * (1 + overage) + slack

The headroom that remains is divided. `BURST_SHARE` of it enlarges the bursts, as three
small buckets hold less for a short peak than one large bucket. `INITIAL_SHARE` is for
the initial levels of buckets after a restart of their keepers, as all callers then
reconnect at the same time. `SPARE_SHARE` is for keepers that cannot know whether
another keeper grants from the same part.

Leases divide a part's bucket into the keeper's and those of hosts. The left side stays
the same, as at any time

- the rates of all buckets of a part add up to at most its rate, and their bursts to its
  burst: a keeper reduces its own bucket before it sends a lease, a host reduces a lease
  before it requests a smaller one, and a lease ends at the host before it ends at the
  keeper;
- no step adds tokens: a lease begins empty, and what is left in it when it ends is
  lost;
- leases that a restarted keeper does not know, and those of a keeper that released its
  part, are within the share that it does not grant itself until they have ended; those
  of a keeper that is replaced end with its right.

So the tokens of a part at the beginning of a window are at most its burst.

A returned grant is an operation that may not begin any more. Its token is added only
as far as the level and the operations granted and still valid, without the returned
one, stay within the smallest burst that the bucket had in the last `GRANT_VALIDITY`.
Take a window that begins at t, and the last token added after t - `GRANT_VALIDITY` for
an operation granted before that, at the time s <= t. What the bucket granted from
t - `GRANT_VALIDITY` to s is still valid at s. With the level at s, it is within the
burst that the bucket had at t - `GRANT_VALIDITY`. Tokens that are added after s are
those of operations which are counted in the window but did not begin. So the sum is the
same as if the bucket had been left alone since t - `GRANT_VALIDITY`.
"""

from __future__ import annotations

import math
from zlib import crc32

from mallowpass.core.proxy.configuration import Customer, RateBounds
from mallowpass.core.records import record

__all__ = [
    "GRANT_VALIDITY",
    "PART_COUNT",
    "BucketSize",
    "TokenBucket",
    "full_size",
    "initial_level",
    "spare_size",
]

# Number of parts of each limit. While one part has no keeper, hosts use the other two,
# so a customer that uses less than two thirds of its limit is not affected.
PART_COUNT = 3
# How long a host may use a grant, in seconds. Operations that do not begin within that
# time are lost.
GRANT_VALIDITY = 0.5
# Least burst of one part, in operations. A burst that would give each part less is not
# divided: the whole limit goes to one part.
PART_BURST_MIN = 2
# Shares of the headroom; the rest is for clocks that run at different rates.
BURST_SHARE = 0.25
INITIAL_SHARE = 0.45
SPARE_SHARE = 0.15
SPARE_BURST_TIME = 1.0  # burst of a spare bucket, in seconds of its rate


@record
class BucketSize:
    """A bucket's rate, in operations per second, and its burst, in operations."""

    rate: float
    burst: float


class TokenBucket:
    """A token bucket; one token allows one operation."""

    __slots__ = ("_level", "_level_at")

    def __init__(self, now: float, level: float = 0.0) -> None:
        self._level = level
        self._level_at = now

    def refill(self, size: BucketSize, now: float) -> float:
        """Add the tokens gained since the last call and return the level."""
        gained = size.rate * max(0.0, now - self._level_at)
        self._level = min(size.burst, self._level + gained)
        self._level_at = max(now, self._level_at)
        return self._level

    def take(self, operations: int) -> None:
        """Remove one token per operation; the caller checks the level first."""
        self._level -= operations

    def add(self, tokens: float) -> None:
        """Add tokens; the caller keeps to the burst."""
        self._level += tokens

    def time_until_next(self, size: BucketSize) -> float:
        """Return the seconds until the bucket holds a token; infinite if never."""
        if size.rate <= 0.0 or size.burst < 1.0:
            return math.inf
        return max(0.0, 1.0 - self._level) / size.rate


def full_size(customer: Customer, part: int, bounds: RateBounds) -> BucketSize:
    """Return the size of a customer's bucket at the sole keeper of a part."""
    burst = customer.burst + BURST_SHARE * _headroom(customer, bounds)
    return _divide(customer, part, customer.rate, burst)


def initial_level(customer: Customer, part: int, bounds: RateBounds) -> float:
    """Return the level at which a bucket may begin, at most once per window."""
    size = full_size(customer, part, bounds)
    reserve = INITIAL_SHARE * _headroom(customer, bounds)
    return min(size.burst, reserve / PART_COUNT)


def spare_size(customer: Customer, part: int, bounds: RateBounds) -> BucketSize:
    """Return the size of a customer's bucket at a keeper that may not be the only one.

    The bounds allow such a bucket in addition to a full one of the same part.
    """
    spare = SPARE_SHARE * _headroom(customer, bounds)
    rate = spare / (bounds.window + GRANT_VALIDITY + SPARE_BURST_TIME)
    return _divide(customer, part, rate, SPARE_BURST_TIME * rate)


def _headroom(customer: Customer, bounds: RateBounds) -> float:
    """Return how many operations per window the bounds allow beyond the limit.

    Operations that were granted before the window and may begin in it are subtracted.
    """
    limit = customer.rate * bounds.window + customer.burst
    late_operations = customer.rate * GRANT_VALIDITY
    return max(0.0, limit * bounds.overage + bounds.slack - late_operations)


def _divide(customer: Customer, part: int, rate: float, burst: float) -> BucketSize:
    """Return a part's share of a rate and a burst."""
    if burst >= PART_COUNT * PART_BURST_MIN:
        return BucketSize(rate / PART_COUNT, burst / PART_COUNT)
    name = customer.name.encode("utf-8", "surrogateescape")
    is_assigned = crc32(name) % PART_COUNT == part
    return BucketSize(rate, burst) if is_assigned else BucketSize(0.0, 0.0)
