"""Hold what callers' streams have in flight and unsent, within bounds."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any, Protocol

from mallowpass.adapters.caller_messages import answer_to_wire
from mallowpass.adapters.writing import StreamWriter
from mallowpass.core.calls import CallerAnswer
from mallowpass.errors import ErrorCode
from mallowpass.schema import values_pb2

__all__ = ["IN_FLIGHT_PAUSE", "CallStream", "SessionStream", "Stream"]

QUEUE_PAUSE = 256 * 1024  # bytes unsent at which a stream's requests are left unread
IN_FLIGHT_PAUSE = 1024  # requests in flight at which a stream is left unread
QUEUE_ANSWERS = 2  # unsent answers of the largest size at which a stream is cut


class Stream(Protocol):
    """Take the answers of one numbered stream."""

    number: int

    def awaits(self, request_id: str) -> bool: ...

    def answer(self, answer: CallerAnswer) -> None: ...

    def close(self) -> None: ...


class SessionStream:
    """Hold a session's unsent answers and its requests in flight."""

    __slots__ = (
        "_answer_limit",
        "_closing",
        "_half_closed",
        "_in_flight",
        "_task",
        "_waiter",
        "_writer",
        "ended",
        "number",
        "overflowed",
    )

    def __init__(self, number: int, context: Any, answer_limit: int) -> None:
        self.number = number
        self.ended = False
        self.overflowed = False
        self._answer_limit = answer_limit
        self._writer = StreamWriter(context.write, self._on_sent)
        self._in_flight: dict[str, int] = {}
        self._closing = False
        self._half_closed = False
        self._waiter: asyncio.Future[None] | None = None
        self._task = asyncio.current_task()

    @property
    def is_full(self) -> bool:
        """Tell whether more requests would only pile up."""
        return (
            self._writer.unsent > QUEUE_PAUSE or len(self._in_flight) >= IN_FLIGHT_PAUSE
        )

    def expect(self, request_id: str) -> None:
        """Note that a request is in flight."""
        self._in_flight[request_id] = self._in_flight.get(request_id, 0) + 1

    def awaits(self, request_id: str) -> bool:
        """Tell whether a request has no final answer yet."""
        return request_id in self._in_flight

    def answer(self, answer: CallerAnswer) -> None:
        """Send an answer; one that nobody waits for any more is dropped."""
        if answer.request_id not in self._in_flight or self._closing:
            return
        data = answer_to_wire(answer).SerializeToString()
        if len(data) > self._answer_limit:
            data = answer_to_wire(_without_rows(answer, len(data))).SerializeToString()
        if answer.outcome is not None:
            self._settle(answer.request_id)
        self._writer.put(data)
        if self._writer.unsent > self._answer_limit * QUEUE_ANSWERS:
            self._overflow()

    def close(self) -> None:
        """End the stream once what is queued is sent."""
        self._closing = True
        self._end_if_finished()

    def half_close(self) -> None:
        """Note that no more requests come; those in flight still get answers."""
        self._half_closed = True
        self._end_if_finished()

    def uncancel(self) -> None:
        """Take back the cancellation that ended the wait for a request."""
        if self._task is not None:
            self._task.uncancel()

    async def wait_ended(self) -> None:
        """Wait until every request in flight has its answer, and it is sent."""
        while not self.ended:
            await self._wait()

    async def wait_room(self) -> None:
        """Wait until the stream is not full any more."""
        while self.is_full and not self.ended:
            await self._wait()

    async def _wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _settle(self, request_id: str) -> None:
        left = self._in_flight[request_id] - 1
        if left:
            self._in_flight[request_id] = left
        else:
            del self._in_flight[request_id]

    def _overflow(self) -> None:
        # A caller that asks and does not read would fill this host's memory, which
        # is every caller's. One sees it as a session cut with MP-3014.
        self.overflowed = True
        self._closing = True
        self._writer.drop()
        self._end()

    def _on_sent(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._end_if_finished()

    def _end_if_finished(self) -> None:
        answered = self._closing or (self._half_closed and not self._in_flight)
        if self._writer.failed or (answered and self._writer.idle):
            self._end()

    def _end(self) -> None:
        if self.ended:
            return
        self.ended = True
        if self._task is not None and self._task is not asyncio.current_task():
            self._task.cancel()


class CallStream:
    """Hold the one request in flight of a single call."""

    __slots__ = ("_expected", "_future", "_rows", "number")

    def __init__(self, number: int) -> None:
        self.number = number
        self._expected = ""
        self._future: asyncio.Future[CallerAnswer] | None = None
        self._rows: values_pb2.Rows | None = None

    def expect(self, request_id: str) -> asyncio.Future[CallerAnswer]:
        """Return the answer to come."""
        self._expected = request_id
        self._future = asyncio.get_running_loop().create_future()
        return self._future

    def awaits(self, request_id: str) -> bool:
        """Tell whether the request has no final answer yet."""
        future = self._future
        return request_id == self._expected and not (future is None or future.done())

    def answer(self, answer: CallerAnswer) -> None:
        """Join parts; hand the whole answer over with the last."""
        if not self.awaits(answer.request_id):
            return
        answer = self._joined(answer)
        if answer.outcome is not None:
            assert self._future is not None
            self._future.set_result(answer)

    def close(self) -> None:
        """Do nothing: a single call ends with its answer."""

    def _joined(self, answer: CallerAnswer) -> CallerAnswer:
        if answer.outcome is not None and self._rows is None:
            return answer
        if self._rows is None:
            self._rows = values_pb2.Rows()
        if answer.rows is not None:
            self._rows.MergeFrom(answer.rows)
        return dataclasses.replace(answer, rows=self._rows)


def _without_rows(answer: CallerAnswer, size: int) -> CallerAnswer:
    code = ErrorCode.ANSWER_TOO_LARGE
    text = f"{code.meaning} size={size}"
    return dataclasses.replace(answer, rows=None, code=code.code, message=text)
