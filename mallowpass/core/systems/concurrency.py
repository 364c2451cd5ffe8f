"""Limit how many statements run at once at an endpoint, by measured latency."""

from __future__ import annotations

__all__ = ["ConcurrencyLimit"]

INITIAL_LIMIT = 1 << 10  # above every share: unlimited until latency says otherwise
LIMIT_MIN = 1
WINDOW_SAMPLES = 50
WINDOW_SECONDS = 1.0
TOLERANCE = 2.0  # times the uncontended latency
SLACK = 0.015  # seconds of latency that are never held against an endpoint
DECREASE = 0.8
BASELINE_RISE = 0.2


class ConcurrencyLimit:
    """Lower the limit while latency is far above its minimum, raise it by one else.

    An endpoint that is asked for more than it can do at once only gets slower for
    all; what waits here instead can still be refused, reordered or routed anew.
    """

    __slots__ = ("_baseline", "_count", "_least", "_most", "_since", "limit")

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._baseline = 0.0
        self._since = float("-inf")
        self._count = 0
        self._least = float("inf")
        self._most = 0

    @property
    def baseline(self) -> float:
        """Return the latency without contention, in seconds; 0 while unknown."""
        return self._baseline

    def record(self, now: float, latency: float, active: int) -> None:
        """Learn from one statement; `active` statements ran when it was answered."""
        self._count += 1
        if latency < self._least:
            self._least = latency
        if active > self._most:
            self._most = active
        if self._count < WINDOW_SAMPLES and now - self._since < WINDOW_SECONDS:
            return
        self._finish_window(now)

    def note_overload(self, active: int) -> None:
        """Learn that the endpoint refused a statement as one too many."""
        self.limit = max(LIMIT_MIN, min(self.limit, active - 1))

    def _finish_window(self, now: float) -> None:
        # The quickest statement of a window, not the mean: a few slow reports among
        # quick reads make the mean rise at an endpoint that is far from crowded, but
        # a crowded one is slow for each statement.
        least = self._least
        self._learn_baseline(least)
        if least > TOLERANCE * self._baseline + SLACK:
            crowd = min(self.limit, self._most)
            self.limit = max(LIMIT_MIN, int(crowd * DECREASE))
        elif self._most >= self.limit and self.limit < INITIAL_LIMIT:
            self.limit += 1
        self._since = now
        self._count = 0
        self._least = float("inf")
        self._most = 0

    def _learn_baseline(self, least: float) -> None:
        if not self._baseline or least < self._baseline:
            self._baseline = least
        elif self._most <= LIMIT_MIN:
            # Statements became slower by themselves. That shows only while one runs
            # at a time: learnt in a crowd, the baseline would follow the crowd, and
            # the limit would never come down.
            self._baseline += BASELINE_RISE * (least - self._baseline)
