"""Sliding windows: how far a keeper may grant beyond a customer's token bucket.

They are chosen for a customer that sends several times its usual load for a few
seconds, and nothing above its limit in a window. A token bucket refuses part of that:
it allows its burst at once and then its rate, while the window would allow all of
`rate * window + burst` at once.

With the rate r and the burst b of a part's bucket, `buckets` needs only that any span
of `span` = window + `GRANT_VALIDITY` seconds holds at most C = r * span + b grants of
the part. A keeper that knows all grants of the last `span` seconds may therefore grant
while their number stays at most C.

A successor, or a restarted keeper, knows no earlier grants. It may begin with an empty
bucket at a time s if the previous keeper's bucket had a level of at least 0 after its
last grant, where the level is counted on below zero for grants beyond the bucket:

- At any time t before that grant, the level was at most b. Since then the bucket gained
  at most r a second, and each grant took a token. As the level ended at 0 or more, the
  grants since t are at most b + r * (s - t).
- From s until u, an empty bucket grants at most r * (u - s).
- So the span from t = u - span until u holds at most b + r * span = C grants.

The argument fails as soon as the level is below zero. So before a keeper grants beyond
a bucket, a row of the store says so, and a keeper that finds such a row grants nothing
from a full bucket until `span` after its right began: no span then holds grants of
both. The same holds after a span without any grant, whatever the level is.

Only the grants of the last span matter. So with g of them, a level below zero may be
raised to b - g at any time: the grants since any t within the span are then at most
b - level, and the argument goes on from there. Without this, a bucket whose limit was
lowered would gain tokens at the lower rate for grants of the higher limit.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from mallowpass.core.proxy.configuration import RateBounds
from mallowpass.core.proxy.ratelimits.buckets import GRANT_VALIDITY, BucketSize

__all__ = ["GrantWindow", "may_end", "may_extend", "span_of", "window_limit"]

# Grants within this time are counted together, in seconds, until the latest of them
# leaves the window. So a window counts some grants for longer than its span.
SLICE = 0.1
# Seconds for which a bucket's level has to be at least 0 before a keeper gives up the
# right to grant beyond it. Each change of that right is a write to the store.
LEVEL_TIME = 1.0


def span_of(bounds: RateBounds) -> float:
    """Return the seconds within which all grants may begin in the same window."""
    return bounds.window + GRANT_VALIDITY


def window_limit(size: BucketSize, span: float) -> float:
    """Return how many operations a part may grant within any span."""
    return size.rate * span + size.burst


def may_extend(right_since: float, span: float, now: float) -> bool:
    """Return whether a keeper knows all grants of the last span."""
    return now > right_since + span


def may_end(level: float, level_since: float | None, granted: int, now: float) -> bool:
    """Return whether a successor may begin with an empty bucket.

    `level_since` is from when on the level was at least 0; `granted` is the number of
    grants within the last span.
    """
    if granted == 0:
        return True
    return level >= 0.0 and level_since is not None and now >= level_since + LEVEL_TIME


@dataclass(slots=True)
class _Slice:
    """Grants that are counted together."""

    began_at: float
    last_at: float
    operations: int


class GrantWindow:
    """The grants of the last `span` seconds, never counted too few."""

    __slots__ = ("_granted", "_limits", "_slices", "_span")

    def __init__(self, span: float) -> None:
        self._span = span
        self._slices: deque[_Slice] = deque()
        self._granted = 0
        # Limits and when each was last in force, in ascending order of both.
        self._limits: deque[tuple[float, float]] = deque()

    def least_limit(self, limit: float, now: float) -> float:
        """Return the least limit of the last span; `limit` is in force from now on.

        A lower limit applies at once. After a raise, the window follows once the lower
        limit was not in force for a span, and the bucket's rate applies until then.
        """
        if self._limits and self._limits[-1][0] < limit:
            self._limits[-1] = (self._limits[-1][0], now)
        while self._limits and self._limits[-1][0] >= limit:
            self._limits.pop()
        while self._limits and self._limits[0][1] + self._span < now:
            self._limits.popleft()
        self._limits.append((limit, now))
        return self._limits[0][0]

    def add(self, operations: int, now: float) -> None:
        """Count operations as granted now."""
        if operations <= 0:
            return
        self._granted += operations
        if self._slices and now < self._slices[-1].began_at + SLICE:
            last = self._slices[-1]
            last.last_at = max(last.last_at, now)
            last.operations += operations
        else:
            self._slices.append(_Slice(now, now, operations))

    def granted(self, now: float) -> int:
        """Return the number of operations granted within the last span."""
        while self._slices and self._slices[0].last_at + self._span < now:
            self._granted -= self._slices.popleft().operations
        return self._granted

    def room(self, limit: float, now: float) -> int:
        """Return how many operations may be granted now."""
        return max(0, math.floor(limit - self.granted(now)))

    def time_until_room(self, limit: float, now: float) -> float:
        """Return the seconds until one more operation may be granted."""
        granted = self.granted(now)
        if granted + 1 <= limit:
            return 0.0
        for each in self._slices:
            granted -= each.operations
            if granted + 1 <= limit:
                return each.last_at + self._span - now
        return math.inf
