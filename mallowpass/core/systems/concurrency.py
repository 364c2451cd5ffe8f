"""Adaptive limit of the statements that run concurrently at an endpoint.

The limit follows the latency that was measured, by additive increase and multiplicative
decrease.
"""

from __future__ import annotations

__all__ = ["ConcurrencyLimit"]

INITIAL_LIMIT = 1 << 10  # above every share: no limit until latency rises
LIMIT_MIN = 1
# A window ends after this number of samples or this time, whichever comes first.
WINDOW_SAMPLES = 50
WINDOW_SECONDS = 1.0
# The limit is lowered when latency exceeds LATENCY_TOLERANCE times the baseline plus
# LATENCY_SLACK seconds.
LATENCY_TOLERANCE = 2.0
LATENCY_SLACK = 0.015
DECREASE_FACTOR = 0.8
BASELINE_WEIGHT = 0.2  # weight of a window in a rising baseline


class ConcurrencyLimit:
    """A limit that is lowered while latency is far above its baseline, else raised.

    An endpoint that is sent more statements than it can run at once becomes slower for
    all of them. Requests that queue in the proxy instead can still be refused,
    reordered or rerouted.
    """

    __slots__ = (
        "_baseline",
        "_lowest_latency",
        "_peak_active",
        "_sample_count",
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
        """Return the latency without contention in seconds, 0 while unknown."""
        return self._baseline

    def record(self, now: float, latency: float, active: int) -> None:
        """Record a statement's latency in seconds.

        `active` is the number of statements that ran when it was answered.
        """
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
        """Lower the limit after the endpoint refused one of `active` statements."""
        self.limit = max(LIMIT_MIN, min(self.limit, active - 1))

    def _finish_window(self, now: float) -> None:
        # The lowest latency of a window is used instead of the mean. A few slow reports
        # among quick reads raise the mean although the endpoint is not overloaded,
        # whereas an overloaded endpoint is slow for each statement.
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
            # Statements have become slower without contention, which can be observed
            # only while one runs at a time. A baseline that rose under contention would
            # follow the load, and the limit would never be lowered.
            self._baseline += BASELINE_WEIGHT * (lowest - self._baseline)
