"""Expected wait of a statement, from the rate at which its queue drains.

When statements arrive faster than endpoints run them, whether a statement will be
served in time depends on its place in the queue and on the speed of the queue. The time
that it has waited so far shows neither: with a fast queue, a fixed limit refuses
statements that would be served soon, and with a slow one it keeps those that can't be.
"""

from __future__ import annotations

import math

__all__ = ["DrainRate", "expected_wait"]

# Times in seconds.
# Time constant of the moving average. A shorter one follows the gaps between statements
# of a slow queue, a longer one the load before the present.
AVERAGING_TIME = 1.0
# Age of the last sent statement above which the rate is unknown.
MEASUREMENT_AGE_MAX = 2.0
# Statements in the average below which the rate is unknown. With three statements the
# standard error of the rate is above a half.
STATEMENTS_MIN = 3.0


class DrainRate:
    """Measure the statements sent a second while something waits in a queue.

    Times in which nothing waits do not count: the queue could drain faster then. Until
    `note_queue` is called for the first time, something is assumed to wait from the
    first sent statement on.
    """

    __slots__ = ("_is_waiting", "_last_sent_at", "_sent", "_time", "_updated_at")

    def __init__(self) -> None:
        self._is_waiting: bool | None = None  # None: `note_queue` was not called yet
        self._last_sent_at = float("-inf")
        self._updated_at = float("-inf")
        # Statements sent while something waited, and the seconds for which something
        # did, both with exponentially decaying weights.
        self._sent = 0.0
        self._time = 0.0

    def note_queue(self, now: float, is_waiting: bool) -> None:
        """Record whether anything waits from now on."""
        if is_waiting is not self._is_waiting:
            self._update(now)
            self._is_waiting = is_waiting

    def note_sent(self, now: float) -> None:
        """Record that a statement was sent; it counts if anything waited before."""
        if self._is_waiting is False:
            return
        self._update(now)
        self._sent += 1.0
        self._last_sent_at = now

    def rate(self, now: float) -> float | None:
        """Return the statements sent a second, None if the rate is not known."""
        if now - self._last_sent_at > MEASUREMENT_AGE_MAX:
            return None
        self._update(now)
        if self._sent < STATEMENTS_MIN or self._time <= 0.0:
            return None
        return self._sent / self._time

    def _update(self, now: float) -> None:
        elapsed = now - self._updated_at
        self._updated_at = now
        if math.isinf(elapsed):
            return
        kept = math.exp(-elapsed / AVERAGING_TIME)
        self._sent *= kept
        self._time *= kept
        if self._is_waiting is not False:
            self._time += AVERAGING_TIME * (1.0 - kept)


def expected_wait(ahead: int, rate: float | None) -> float | None:
    """Return the seconds until a statement is sent; None without a rate.

    `ahead` is the number of statements before it in the order of the queue.
    """
    return None if rate is None else (ahead + 1) / rate
