"""Histograms of times, and a watch on the event loop that everything shares."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

__all__ = ["Histogram", "LoopWatch", "Machine", "Percentiles", "percentiles_of"]

LONGEST = 600.0  # seconds
DIGITS = 3
WATCH_INTERVAL = 0.01
BUSY_MAX = 0.8  # of the loop's time; above, waits for the loop distort a result
LAG_MAX = 0.02  # seconds, 99th percentile


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Summarize times, in milliseconds."""

    count: int
    p50: float
    p90: float
    p99: float
    p999: float
    max: float


class Histogram:
    """Count times in an HDR histogram of microseconds."""

    __slots__ = ("_counts",)

    def __init__(self) -> None:
        self._counts = HdrHistogram(1, round(LONGEST * 1e6), DIGITS)

    @property
    def percentiles(self) -> Percentiles:
        """Return the summary."""
        return Percentiles(
            self._counts.get_total_count(),
            *(self._at(percentile) for percentile in (50, 90, 99, 99.9, 100)),
        )

    def record(self, seconds: float) -> None:
        """Count a time."""
        self._counts.record_value(max(1, round(min(seconds, LONGEST) * 1e6)))

    def _at(self, percentile: float) -> float:
        return round(self._counts.get_value_at_percentile(percentile) / 1000, 3)


def percentiles_of(times: Iterable[float]) -> Percentiles:
    """Return the summary of times in seconds."""
    histogram = Histogram()
    for each in times:
        histogram.record(each)
    return histogram.percentiles


@dataclass(frozen=True, slots=True)
class Machine:
    """Tell how busy the one loop was on which hosts, stand-ins and callers ran."""

    loop_busy: float  # processor time of the loop's thread over time
    process_busy: float  # of all threads, gRPC's included
    loop_lag: Percentiles

    @property
    def saturated(self) -> bool:
        """Tell whether the loop rather than mallowpass decided the figures."""
        return self.loop_busy > BUSY_MAX or self.loop_lag.p99 > LAG_MAX * 1000


class LoopWatch:
    """Measure how late the loop wakes a task that sleeps, and how busy it is."""

    def __init__(self) -> None:
        self._lag = Histogram()
        self._task: asyncio.Task[None] | None = None
        self._began = (0.0, 0.0, 0.0)

    @property
    def machine(self) -> Machine:
        """Return what was found since the start."""
        taken, thread, process = (
            now - began for now, began in zip(_clocks(), self._began, strict=True)
        )
        return Machine(
            round(thread / taken, 3), round(process / taken, 3), self._lag.percentiles
        )

    def start(self) -> None:
        """Begin to watch."""
        self._began = _clocks()
        self._task = asyncio.get_running_loop().create_task(self._watch())

    def stop(self) -> Machine:
        """End the watch and return what it found."""
        assert self._task is not None
        self._task.cancel()
        return self.machine

    async def _watch(self) -> None:
        while True:
            due = time.monotonic() + WATCH_INTERVAL
            await asyncio.sleep(WATCH_INTERVAL)
            self._lag.record(max(0.0, time.monotonic() - due))


def _clocks() -> tuple[float, float, float]:
    return time.monotonic(), time.thread_time(), time.process_time()
