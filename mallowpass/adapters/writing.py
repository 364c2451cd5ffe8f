"""Send messages on a gRPC stream one after another, without a task for it."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

__all__ = ["StreamWriter"]


class StreamWriter:
    """Start each write at once when the stream is idle, else queue the message.

    A task that waits for messages costs two turns of the event loop for each: one
    to wake it and one for the write's end. Here the write's coroutine is driven by
    hand, as a task would (Python 3.12's eager tasks do the same): its first step
    runs inside `put`, and the next when the future that it waits for is done.
    """

    __slots__ = ("_changed", "_coroutine", "_queue", "_write", "failed", "unsent")

    def __init__(
        self,
        write: Callable[[bytes], Coroutine[Any, Any, None]],
        changed: Callable[[], None] | None = None,
    ) -> None:
        self.unsent = 0  # bytes, the message being written included
        self.failed = False
        self._write = write
        self._changed = changed  # called when a message has left, or writing failed
        self._queue: deque[bytes] = deque()
        self._coroutine: Coroutine[Any, Any, None] | None = None

    @property
    def idle(self) -> bool:
        """Tell whether nothing is left to send."""
        return self._coroutine is None and not self._queue

    def put(self, data: bytes) -> None:
        """Send a message after those before it; dropped once writing has failed."""
        if self.failed:
            return
        self._queue.append(data)
        self.unsent += len(data)
        if self._coroutine is None:
            self._write_next()

    def drop(self) -> None:
        """Forget what is queued and take nothing more."""
        self.failed = True
        self._queue.clear()

    def _write_next(self) -> None:
        while self._queue and self._coroutine is None:
            self._coroutine = self._write(self._queue[0])
            self._step()

    def _step(self) -> None:
        assert self._coroutine is not None
        try:
            waited = self._coroutine.send(None)
        except StopIteration:
            self._sent()
        except (Exception, asyncio.CancelledError):
            # Whoever reads the stream hears of the same failure and tells it.
            self._coroutine = None
            self.drop()
            self._tell()
        else:
            self._wait(waited)

    def _wait(self, waited: Any) -> None:
        if waited is None:  # a bare yield, as of asyncio.sleep(0)
            asyncio.get_running_loop().call_soon(self._resume)
            return
        # The mark with which a future asks to be waited for; tasks reset it too.
        waited._asyncio_future_blocking = False
        waited.add_done_callback(self._resume)

    def _resume(self, _future: Any = None) -> None:
        self._step()
        if not self.failed:
            self._write_next()

    def _sent(self) -> None:
        self._coroutine = None
        if self._queue:
            self.unsent -= len(self._queue.popleft())
        self._tell()

    def _tell(self) -> None:
        if self._changed is not None:
            self._changed()
