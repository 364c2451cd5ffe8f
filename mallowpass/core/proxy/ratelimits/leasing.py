"""Decisions on leases: how a part of a limit is divided among a keeper and hosts.

They serve a customer whose hosts are cut off from keepers, or whose operations are
granted but refused before they begin, while other callers compete for its limit.

A lease is a share of the keeper's bucket of one customer that one host uses without
asking, until a stated time. Its rate and burst are that share of the part's rate and
burst, so a changed limit changes both at the keeper. `buckets` states the sum that must
hold, and why it holds with leases and returned grants.
"""

from __future__ import annotations

import math
from collections import deque

from mallowpass.core.proxy.configuration import Customer, RateBounds
from mallowpass.core.proxy.ratelimits.buckets import (
    GRANT_VALIDITY,
    PART_BURST_MIN,
    BucketSize,
    TokenBucket,
    full_size,
    initial_level,
)

__all__ = [
    "LEASE_TIME",
    "NO_SIZE",
    "HostLease",
    "LeasableBucket",
    "ReturnableBucket",
    "UseMeter",
    "leasable_share",
]

# How long a lease lasts from its last renewal, in seconds. A keeper that has leases out
# confirms its right every 2 s and loses it 12 s after the last confirmation.
LEASE_TIME = 10.0
# Share of a part that may be leased. A keeper that restarts does not know the leases
# given before, and grants only the rest until they have ended.
LEASABLE_SHARE = 0.5
# Least burst of a lease, in operations: a smaller bucket never holds a whole token.
LEASE_BURST_MIN = 1.0
# A host requests a lease from this measured use on, in operations per second, and gives
# it back below the lower value. Between them a lease is kept, so that a customer near
# the threshold does not take and return one at each renewal.
LEASE_USE_MIN = 1.0
LEASE_USE_KEPT = 0.5
LEASE_USE_IDLE = 0.01  # below this use, a customer is no longer measured
# Requested rate, relative to the measured use. The surplus serves uneven arrivals.
LEASE_SURPLUS = 1.25
# Weight of the last interval in the measured use.
USE_WEIGHT = 0.5
# Load of a part, relative to its rate, up to which leases are given, and up to which
# they are renewed. Near the limit, what a lease leaves unused is missing at others.
LEASING_LOAD_MAX = 0.75
RENEWAL_LOAD_MAX = 0.9
# Time constant of a keeper's measurement of what it grants, in seconds.
LOAD_TIME = 2.0

NO_SIZE = BucketSize(0.0, 0.0)


def leasable_share(customer: Customer, part: int, bounds: RateBounds) -> float:
    """Return the share of a keeper's bucket that may be leased.

    The rest holds whole operations, and the initial level of a restarted keeper.
    """
    size = full_size(customer, part, bounds)
    if size.rate <= 0.0 or math.isinf(size.rate) or math.isinf(size.burst):
        return 0.0
    kept = max(PART_BURST_MIN, initial_level(customer, part, bounds))
    if kept >= size.burst:
        return 0.0
    return min(LEASABLE_SHARE, 1.0 - kept / size.burst)


class UseMeter:
    """Measure how many operations of a customer begin at a host."""

    __slots__ = ("_begun", "_is_leasing", "use")

    def __init__(self) -> None:
        self.use = 0.0  # operations per second
        self._begun = 0
        self._is_leasing = False

    def note_begun(self) -> None:
        """Count an operation."""
        self._begun += 1

    @property
    def is_idle(self) -> bool:
        """Return whether hardly any operation began lately."""
        return self.use < LEASE_USE_IDLE

    def requested_rate(self, interval: float) -> float:
        """End an interval, and return the rate to lease; 0 for none."""
        self.use += USE_WEIGHT * (self._begun / interval - self.use)
        self._begun = 0
        threshold = LEASE_USE_KEPT if self._is_leasing else LEASE_USE_MIN
        self._is_leasing = self.use >= threshold
        return LEASE_SURPLUS * self.use if self._is_leasing else 0.0


class ReturnableBucket:
    """A token bucket that takes back the tokens of operations that did not begin."""

    __slots__ = ("_burst", "_outstanding", "_smaller", "_tokens")

    def __init__(self, now: float, level: float = 0.0) -> None:
        self._tokens = TokenBucket(now, level)
        # Operations that may still begin, by the time at which they were granted.
        self._outstanding: dict[float, int] = {}
        # Smaller bursts of the last GRANT_VALIDITY, and when each stops to count.
        self._smaller: deque[tuple[float, float]] = deque()
        self._burst = math.inf

    def refill(self, size: BucketSize, now: float) -> float:
        """Add the tokens gained since the last call and return the level."""
        if size.burst > self._burst:
            self._expire(now)
            self._smaller.append((now + GRANT_VALIDITY, self._burst))
        self._burst = size.burst
        return self._tokens.refill(size, now)

    def take(self, operations: int, now: float) -> None:
        """Remove one token per operation; the caller checks the level first."""
        self._tokens.take(operations)
        if operations:
            self._expire(now)
            self._outstanding[now] = self._outstanding.get(now, 0) + operations

    def give_back(
        self, operations: int, granted_at: float, size: BucketSize, now: float
    ) -> float:
        """Add the tokens of operations that did not begin, and return how many.

        The level and the operations that may still begin together stay within the
        smallest burst that the bucket had within the last GRANT_VALIDITY.
        """
        level = self.refill(size, now)
        self._expire(now)
        operations = min(operations, self._outstanding.get(granted_at, 0))
        burst = min((burst for _, burst in self._smaller), default=size.burst)
        valid = sum(self._outstanding.values()) - operations
        room = min(burst, size.burst) - level - valid
        if operations <= 0 or room <= 0.0:
            return 0.0
        self._outstanding[granted_at] -= operations
        added = min(float(operations), room)
        self._tokens.add(added)
        return added

    def time_until_next(self, size: BucketSize) -> float:
        """Return the seconds until the bucket holds a token; infinite if never."""
        return self._tokens.time_until_next(size)

    def _expire(self, now: float) -> None:
        while self._smaller and self._smaller[0][0] <= now:
            self._smaller.popleft()
        while self._outstanding:
            granted_at = next(iter(self._outstanding))
            if granted_at + GRANT_VALIDITY > now:
                break
            del self._outstanding[granted_at]


class LeasableBucket:
    """A keeper's bucket of one customer, and the leases taken out of it.

    Until `unknown_until`, leases of an earlier process or keeper may be in force. As
    they are not known, all that may be leased counts as leased.
    """

    __slots__ = (
        "_bucket",
        "_leased",
        "_leases",
        "_next_end",
        "_share_max",
        "_unknown_until",
        "_use",
        "_used_at",
    )

    def __init__(
        self,
        now: float,
        level: float = 0.0,
        share_max: float = 0.0,
        unknown_until: float = -math.inf,
    ) -> None:
        self._bucket = ReturnableBucket(now, level)
        self._share_max = share_max
        # By holder: the leased share, and when the lease ends.
        self._leases: dict[int, tuple[float, float]] = {}
        self._unknown_until = unknown_until
        self._use = 0.0  # granted operations per second, at the time _used_at
        self._used_at = now
        self._update()

    def rest(self, size: BucketSize) -> BucketSize:
        """Return what is not leased of the part's size."""
        kept = 1.0 - self._leased
        return size if kept == 1.0 else BucketSize(kept * size.rate, kept * size.burst)

    def refill(self, size: BucketSize, now: float) -> float:
        """End leases that are due, add the tokens gained, and return the level.

        The tokens up to the end of a lease are gained at the smaller rate.
        """
        while self._next_end <= now:
            ended_at = self._next_end
            self._bucket.refill(self.rest(size), ended_at)
            for holder, (_, until) in list(self._leases.items()):
                if until <= ended_at:
                    del self._leases[holder]
            if self._unknown_until <= ended_at:
                self._unknown_until = -math.inf
            self._update()
        return self._bucket.refill(self.rest(size), now)

    def take(self, operations: int, now: float) -> None:
        """Remove one token per operation; the caller checks the level first."""
        self._bucket.take(operations, now)
        self._use = self._current_use(now) + operations / LOAD_TIME
        self._used_at = max(now, self._used_at)

    def _current_use(self, now: float) -> float:
        return self._use * math.exp(min(0.0, self._used_at - now) / LOAD_TIME)

    def give_back(
        self, operations: int, granted_at: float, size: BucketSize, now: float
    ) -> float:
        """Add the tokens of operations that did not begin, and return how many."""
        self.refill(size, now)
        self._use = max(0.0, self._current_use(now) - operations / LOAD_TIME)
        self._used_at = max(now, self._used_at)
        return self._bucket.give_back(operations, granted_at, self.rest(size), now)

    def time_until_next(self, size: BucketSize) -> float:
        """Return the seconds until the bucket holds a token; infinite if never."""
        return self._bucket.time_until_next(self.rest(size))

    def lease(
        self,
        holder: int,
        rate: float,
        size: BucketSize,
        share_max: float,
        now: float,
        until: float,
    ) -> BucketSize | None:
        """Lease a rate to a holder in place of its present lease, and return the size.

        A holder that requests less uses no more than that from its request on. So it
        never gets less than the smaller one of its lease and its request, and what it
        uses stays within what is leased. Return None if its lease is not changed, and
        ends when it would have ended: near the limit, and while earlier leases are
        unknown.
        """
        self.refill(size, now)
        if self._unknown_until > now:
            return None
        self._share_max = share_max
        held, _ = self._leases.get(holder, (0.0, 0.0))
        others = self._leased - held
        wanted = rate / size.rate if size.rate > 0.0 else 0.0
        load = self._leased
        if size.rate > 0.0:
            load += self._current_use(now) / size.rate
        if wanted >= held and load > RENEWAL_LOAD_MAX:
            return None if held else NO_SIZE
        growth = max(0.0, wanted - held)
        # The operations that the growth is for are no longer granted by the keeper.
        load += growth * (1.0 - 1.0 / LEASE_SURPLUS)
        most = share_max - others if load <= LEASING_LOAD_MAX else 0.0
        share = min(wanted, max(held, most))
        self._leases.pop(holder, None)
        if share <= 0.0 or share * size.burst < LEASE_BURST_MIN:
            share = 0.0
        else:
            self._leases[holder] = (share, until)
        self._update()
        self._bucket.refill(self.rest(size), now)  # limits the level to the new burst
        return BucketSize(share * size.rate, share * size.burst)

    def holds(self, holder: int) -> bool:
        """Return whether a holder has a lease."""
        return holder in self._leases

    def _update(self) -> None:
        ends = [until for _, until in self._leases.values()]
        if self._unknown_until > -math.inf:
            self._leased = self._share_max
            ends.append(self._unknown_until)
        else:
            self._leased = sum(share for share, _ in self._leases.values())
        self._next_end = min(ends, default=math.inf)


class HostLease:
    """A lease at the host that holds it; its bucket begins empty."""

    __slots__ = ("_bucket", "size", "until")

    def __init__(self, now: float) -> None:
        self._bucket = ReturnableBucket(now)
        self.size = NO_SIZE
        self.until = now

    def level(self, now: float) -> float:
        """Return how many operations may begin; 0 once the lease has ended."""
        return self._bucket.refill(self.size, now) if now < self.until else 0.0

    def take(self, now: float) -> bool:
        """Take one operation, and return whether there was one."""
        if self.level(now) < 1.0:
            return False
        self._bucket.take(1, now)
        return True

    def give_back(self, granted_at: float, now: float) -> bool:
        """Add the token of an operation that did not begin, as far as it has room."""
        if now >= self.until:
            return False
        return self._bucket.give_back(1, granted_at, self.size, now) > 0.0

    def time_until(self, operations: int, now: float) -> float:
        """Return the seconds until a number of operations may begin."""
        if now >= self.until or self.size.rate <= 0.0:
            return math.inf
        wait = max(0.0, operations - self.level(now)) / self.size.rate
        return wait if now + wait < self.until else math.inf

    def resize(self, size: BucketSize, until: float, now: float) -> None:
        """Take over a renewal; the level stays, within the new burst."""
        if now < self.until:
            self._bucket.refill(self.size, now)
            self._bucket.refill(size, now)
        else:
            self._bucket = ReturnableBucket(now)
        self.size = size
        self.until = until

    def shrink(self, rate_ratio: float, burst_ratio: float, now: float) -> None:
        """Reduce the lease at once; ratios above 1 have no effect.

        A lease that can hold no whole operation any more ends.
        """
        size = BucketSize(
            min(1.0, rate_ratio) * self.size.rate,
            min(1.0, burst_ratio) * self.size.burst,
        )
        if size.burst < LEASE_BURST_MIN:
            self.until = min(self.until, now)
        else:
            self.resize(size, self.until, now)
