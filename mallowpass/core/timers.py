"""A timer service that systems subscribe to; time comes from outside."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import Any

__all__ = ["Timer", "TimerService"]


class Timer:
    """One subscription; cancelling it is cheap and may be done twice."""

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
        """Return when it is due, in seconds."""
        return self._when

    @property
    def is_cancelled(self) -> bool:
        """Return whether the timer was cancelled or, if not periodic, has run."""
        return self._callback is None

    def cancel(self) -> None:
        """Keep it from running; its place in the queue is dropped lazily."""
        self._callback = None
        self._arguments = ()


class TimerService:
    """Run callbacks when their time has come, in order of time and subscription."""

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
        """Return when the next timer is due, None when there is none."""
        self._drop_cancelled()
        return self._queue[0][0] if self._queue else None

    def advance(self, now: float) -> None:
        """Move the time on; a clock that steps back is held still.

        A host's clock is monotonic, but a replayed or paused one may repeat a
        time: going back would let an expired lease look valid again.
        """
        self._now = max(self._now, now)

    def at(self, when: float, callback: Callable[..., None], *arguments: Any) -> Timer:
        """Subscribe to one moment."""
        return self._push(Timer(when, callback, arguments, 0.0))

    def after(
        self, delay: float, callback: Callable[..., None], *arguments: Any
    ) -> Timer:
        """Subscribe to a moment `delay` seconds from now."""
        return self.at(self._now + delay, callback, *arguments)

    def every(
        self,
        period: float,
        callback: Callable[..., None],
        *arguments: Any,
        first: float | None = None,
    ) -> Timer:
        """Subscribe to every `period` seconds; `first` seconds until the first."""
        delay = period if first is None else first
        return self._push(Timer(self._now + delay, callback, arguments, period))

    def run_due(self) -> bool:
        """Run the callbacks that are due; return whether any ran."""
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
            # A host that was paused does not run all missed rounds at once:
            # that burst would come just when it should catch up.
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
