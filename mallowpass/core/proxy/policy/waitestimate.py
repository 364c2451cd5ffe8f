"""Estimate of the time that a statement waits in a queue, from how fast it drains."""

from __future__ import annotations

from collections import deque

__all__ = ["DrainRate", "expected_wait"]

# Times in seconds.
WINDOW = 1.0  # over which the rate is measured
MEASUREMENT_MAX_AGE = 2.0  # of the statements that count in a slow queue
# Statements that are counted although they are older than the window. With fewer, the
# rate of a queue that drains a few times a second would change by half with each.
COUNT_MIN = 4


class DrainRate:
    """Measure how many statements a second leave a queue while something waits."""

    __slots__ = ("_sent_at",)

    def __init__(self) -> None:
        self._sent_at: deque[float] = deque()

    def note_sent(self, now: float) -> None:
        """Record that a statement that waited is sent."""
        self._sent_at.append(now)
        self._drop_old(now)

    def rate(self, now: float) -> float | None:
        """Return the statements a second, None without a recent measurement."""
        self._drop_old(now)
        count = len(self._sent_at) - 1  # the first one only begins the measurement
        if count < 1 or now <= self._sent_at[0]:
            return None
        return count / (now - self._sent_at[0])

    def _drop_old(self, now: float) -> None:
        sent_at = self._sent_at
        while sent_at and sent_at[0] < now - MEASUREMENT_MAX_AGE:
            sent_at.popleft()
        while len(sent_at) > COUNT_MIN and sent_at[0] < now - WINDOW:
            sent_at.popleft()


def expected_wait(ahead: int, rate: float | None) -> float | None:
    """Return the wait of a statement behind `ahead` others, in seconds.

    None without a rate.
    """
    return None if rate is None else (ahead + 1) / rate
