"""Limit how many statements run at once at an endpoint, by measured latency."""

from __future__ import annotations

__all__ = ["ConcurrencyLimit"]

LIMIT_START = 1 << 10  # above every share: unlimited until latency says otherwise
LIMIT_MIN = 1
WINDOW_SAMPLES = 50
WINDOW_SECONDS = 1.0
TOLERANCE = 3.0  # times the uncontended latency
SLACK = 0.005  # seconds of latency that are never held against an endpoint
DECREASE = 0.8
BASELINE_RISE = 0.01


class ConcurrencyLimit:
    """Lower the limit while latency is far above its minimum, raise it by one else.

    An endpoint that is asked for more than it can do at once only gets slower for
    all; what waits here instead can still be refused, reordered or routed anew.
    """

    __slots__ = ("_baseline", "_count", "_most", "_since", "_total", "limit")

    def __init__(self) -> None:
        self.limit = LIMIT_START
        self._baseline = 0.0
        self._since = float("-inf")
        self._count = 0
        self._total = 0.0
        self._most = 0

    @property
    def baseline(self) -> float:
        """Return the latency without contention, in seconds; 0 while unknown."""
        return self._baseline

    def record(self, now: float, latency: float, active: int) -> None:
        """Learn from one statement; `active` statements ran when it was answered."""
        self._count += 1
        self._total += latency
        if active > self._most:
            self._most = active
        if self._count < WINDOW_SAMPLES and now - self._since < WINDOW_SECONDS:
            return
        self._finish_window(now)

    def overloaded(self, active: int) -> None:
        """Learn that the endpoint refused a statement as one too many."""
        self.limit = max(LIMIT_MIN, min(self.limit, active - 1))

    def _finish_window(self, now: float) -> None:
        mean = self._total / self._count
        if not self._baseline or mean < self._baseline:
            self._baseline = mean
        else:
            # A minimum kept for good would throttle an endpoint whose statements
            # have become slower by themselves; it rises too slowly to follow a
            # queue, which the limit drains within a few windows.
            self._baseline += BASELINE_RISE * (mean - self._baseline)
        if mean > TOLERANCE * self._baseline + SLACK:
            busy = min(self.limit, self._most)
            self.limit = max(LIMIT_MIN, int(busy * DECREASE))
        elif self._most >= self.limit and self.limit < LIMIT_START:
            self.limit += 1
        self._since = now
        self._count = 0
        self._total = 0.0
        self._most = 0
