"""Timers that systems set; the caller of the service advances the time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

__all__ = ["Timer", "TimerService"]


class Timer:
    """A callback that is due at a time; cancelling it twice is allowed."""

    __slots__ = ("_arguments", "_callback", "_period", "_when")

    def __init__(
        self,
        when: float,
        callback: Callable[..., None],
        arguments: tuple[Any, ...],
        period: float,
    ) -> None:
        self._when = when
        self._callback: Callable[..., None] | None = callback
        self._arguments = arguments
        self._period = period

    @property
    def when(self) -> float:
        """Return the time at which the timer is due, in seconds."""
        return self._when

    @property
    def is_cancelled(self) -> bool:
        """Return whether the timer was cancelled, or has run for the last time."""
        return self._callback is None

    def cancel(self) -> None:
        """Cancel the timer; the service drops its queue entry later."""
        self._callback = None
        self._arguments = ()


class TimerService:
    """Run callbacks at their times.

    Timers that are due at the same time run in the order in which they were set.
    """

    __slots__ = ("_counter", "_now", "_queue")

    def __init__(self, now: float = 0.0) -> None:
        self._now = now
        self._queue: list[tuple[float, int, Timer]] = []
        self._counter = itertools.count()

    @property
    def now(self) -> float:
        """Return the time of the event being handled, in seconds."""
        return self._now

    @property
    def next_due(self) -> float | None:
        """Return the time at which the next timer is due, None if there is none."""
        self._drop_cancelled()
        return self._queue[0][0] if self._queue else None

    def advance(self, now: float) -> None:
        """Advance the time; an earlier time than the present one is ignored.

        A host's clock is monotonic, but in a replay or after a pause an event may
        have an earlier time. An expired lease would then look valid again.
        """
        self._now = max(self._now, now)

    def at(self, when: float, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Set a timer that runs once, at a time in seconds."""
        return self._push(Timer(when, callback, arguments, 0.0))

    def after(
        self, delay: float, callback: Callable[..., None], *arguments: Any
    ) -> Timer:
        """Set a timer that runs once, after `delay` seconds."""
        return self.at(self._now + delay, callback, *arguments)

    def every(
        self,
        period: float,
        callback: Callable[..., None],
        *arguments: Any,
        first: float | None = None,
    ) -> Timer:
        """Set a timer that runs every `period` seconds.

        It first runs after `first` seconds if given, else after one period.
        """
        delay = period if first is None else first
        return self._push(Timer(self._now + delay, callback, arguments, period))

    def run_due(self) -> bool:
        """Run all due timers; return whether any ran."""
        ran = False
        while self._queue and self._queue[0][0] <= self._now:
            timer = heapq.heappop(self._queue)[2]
            if timer.is_cancelled:
                continue
            self._run(timer)
            ran = True
        return ran

    def _run(self, timer: Timer) -> None:
        callback = timer._callback
        arguments = timer._arguments
        if timer._period:
            # A host that was paused runs a periodic timer once, not once for each
            # period missed: the burst would delay the host while it catches up.
            timer._when = max(timer._when + timer._period, self._now)
            if timer._when <= self._now:
                timer._when = self._now + timer._period
            self._push(timer)
        else:
            timer.cancel()
        callback(*arguments)

    def _push(self, timer: Timer) -> Timer:
        heapq.heappush(self._queue, (timer._when, next(self._counter), timer))
        return timer

    def _drop_cancelled(self) -> None:
        while self._queue and self._queue[0][2].is_cancelled:
            heapq.heappop(self._queue)
