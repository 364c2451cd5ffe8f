"""Limit how many statements run at once at an endpoint, by measured latency."""

from __future__ import annotations

__all__ = ["ConcurrencyLimit"]

INITIAL_LIMIT = 1 << 10  # above every share: unlimited until latency says otherwise
LIMIT_MIN = 1
WINDOW_SAMPLES = 50
WINDOW_SECONDS = 1.0
LATENCY_TOLERANCE = 2.0  # times the uncontended latency
LATENCY_SLACK = 0.015  # seconds of latency that are never held against an endpoint
DECREASE_FACTOR = 0.8
BASELINE_WEIGHT = 0.2


class ConcurrencyLimit:
    """Lower the limit while latency is far above its minimum, raise it by one else.

    An endpoint that is asked for more than it can do at once only gets slower for
    all; what waits here instead can still be refused, reordered or routed anew.
    """

    __slots__ = (
        "_baseline",
        "_sample_count",
        "_lowest_latency",
        "_peak_active",
        "_window_start",
        "limit",
    )

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._baseline = 0.0
        self._window_start = float("-inf")
        self._sample_count = 0
        self._lowest_latency = float("inf")
        self._peak_active = 0

    @property
    def baseline(self) -> float:
        """Return the latency without contention, in seconds; 0 while unknown."""
        return self._baseline

    def record(self, now: float, latency: float, active: int) -> None:
        """Learn from one statement; `active` statements ran when it was answered."""
        self._sample_count += 1
        if latency < self._lowest_latency:
            self._lowest_latency = latency
        if active > self._peak_active:
            self._peak_active = active
        if (
            self._sample_count < WINDOW_SAMPLES
            and now - self._window_start < WINDOW_SECONDS
        ):
            return
        self._finish_window(now)

    def note_overload(self, active: int) -> None:
        """Learn that the endpoint refused a statement as one too many."""
        self.limit = max(LIMIT_MIN, min(self.limit, active - 1))

    def _finish_window(self, now: float) -> None:
        # The quickest statement of a window, not the mean: a few slow reports among
        # quick reads make the mean rise at an endpoint that is far from crowded, but
        # a crowded one is slow for each statement.
        lowest = self._lowest_latency
        self._update_baseline(lowest)
        if lowest > LATENCY_TOLERANCE * self._baseline + LATENCY_SLACK:
            peak = min(self.limit, self._peak_active)
            self.limit = max(LIMIT_MIN, int(peak * DECREASE_FACTOR))
        elif self._peak_active >= self.limit and self.limit < INITIAL_LIMIT:
            self.limit += 1
        self._window_start = now
        self._sample_count = 0
        self._lowest_latency = float("inf")
        self._peak_active = 0

    def _update_baseline(self, lowest: float) -> None:
        if not self._baseline or lowest < self._baseline:
            self._baseline = lowest
        elif self._peak_active <= LIMIT_MIN:
            # Statements became slower by themselves. That shows only while one runs
            # at a time: learnt in a crowd, the baseline would follow the crowd, and
            # the limit would never come down.
            self._baseline += BASELINE_WEIGHT * (lowest - self._baseline)
