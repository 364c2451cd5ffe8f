"""Serve callers over gRPC: one stream for each session, or single calls."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import TYPE_CHECKING, Any, Protocol

import grpc

from mallowpass.adapters.channels import open_server
from mallowpass.adapters.translate import (
    answer_to_wire,
    check_text,
    parse_strictly,
    request_from_wire,
    salvage_request_id,
)
from mallowpass.adapters.writing import StreamWriter
from mallowpass.core.calls import (
    CallerAnswer,
    CallerRequest,
    ExecuteRequest,
    OpenRequest,
    Outcome,
)
from mallowpass.core.effects import AnswerCaller, CloseCaller
from mallowpass.core.events import CallerConnected, CallerDisconnected, CallerRequested
from mallowpass.errors import BadRequestError, ErrorCode, MallowpassError
from mallowpass.schema import callers_pb2, values_pb2
from mallowpass.settings import Address, LimitsSection

if TYPE_CHECKING:
    from mallowpass.adapters.runtime import HostRuntime

__all__ = ["CallerServer"]

SERVICE = "mallowpass.v1.Callers"
# Messages up to this many times the limit still get an answer of their own; gRPC
# ends the whole stream of a larger one.
HARD_LIMIT_FACTOR = 2
QUEUE_PAUSE = 256 * 1024  # bytes unsent at which a stream's requests are left unread
IN_FLIGHT_PAUSE = 1024  # requests in flight at which a stream is left unread
QUEUE_ANSWERS = 2  # unsent answers of the largest size at which a stream is cut
STOP_GRACE = 2.0  # seconds for answers on their way when the host stops


class CallerServer:
    """Number streams, check requests for form and send answers."""

    def __init__(
        self, runtime: HostRuntime, listen: Address, limits: LimitsSection
    ) -> None:
        self._runtime = runtime
        self._listen = listen
        self._limits = limits
        self._streams: dict[int, _Stream] = {}
        self._numbers = itertools.count(1)
        self._server: grpc.aio.Server | None = None
        self._stopping = False

    @property
    def address(self) -> Address:
        """Return where callers connect."""
        return self._listen

    @property
    def streams(self) -> int:
        """Return the number of open streams."""
        return len(self._streams)

    # -- Life ----------------------------------------------------------------

    async def start(self) -> None:
        """Listen."""
        handler = grpc.method_handlers_generic_handler(
            SERVICE,
            # Messages come as bytes: one that can't be decoded would else end its
            # whole stream, and with it the caller's other requests.
            {
                "Session": grpc.stream_stream_rpc_method_handler(self._session),
                "Call": grpc.unary_unary_rpc_method_handler(self._call),
            },
        )
        receive_limit = self._limits.message_size * HARD_LIMIT_FACTOR
        self._server, self._listen = open_server([handler], self._listen, receive_limit)
        await self._server.start()

    async def stop(self) -> None:
        """End all streams once their answers are sent."""
        self._stopping = True
        for stream in list(self._streams.values()):
            stream.close()
        if self._server is not None:
            await self._server.stop(STOP_GRACE)

    # -- Effects -------------------------------------------------------------

    def answer(self, effect: AnswerCaller) -> None:
        """Send an answer; dropped when the caller has gone."""
        stream = self._streams.get(effect.stream)
        if stream is not None:
            stream.answer(effect.answer)

    def close(self, effect: CloseCaller) -> None:
        """End a stream after the answers sent on it."""
        stream = self._streams.get(effect.stream)
        if stream is not None:
            stream.close()

    def fail(self, number: int, request_id: str) -> None:
        """Answer a request that the core failed on, unless it has its answer."""
        stream = self._streams.get(number)
        if stream is not None and stream.awaits(request_id):
            stream.answer(_internal_answer(request_id))

    # -- Sessions ------------------------------------------------------------

    async def _session(self, _requests: Any, context: Any) -> None:
        stream = _SessionStream(next(self._numbers), context, self._limits.answer_size)
        self._connect(stream)
        try:
            await self._read(stream, context)
            await stream.wait_ended()
        except asyncio.CancelledError:
            # Either gRPC says that the caller has gone, or the stream has ended
            # while this waited for a request.
            if not stream.ended:
                raise
            stream.uncancel()
        finally:
            self._disconnect(stream)
        if stream.overflowed:
            await self._cut_off(stream, context)

    async def _read(self, stream: _SessionStream, context: Any) -> None:
        read = context.read
        while (data := await read()) is not grpc.aio.EOF:
            self._take(stream, data)
            if stream.is_full:
                await stream.wait_room()
            if stream.ended:
                return
        stream.half_close()

    async def _cut_off(self, stream: _SessionStream, context: Any) -> None:
        code = ErrorCode.ANSWER_TOO_LARGE
        self._runtime.log("warning", "caller-too-slow", stream=stream.number)
        self._runtime.count("refused", code=code.code)
        text = f"{code.code} The answers were not read in time."
        await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)

    def _take(self, stream: _SessionStream, data: bytes) -> None:
        try:
            request = request_from_wire(self._parse(data))
        except MallowpassError as error:
            request_id = salvage_request_id(data)
            stream.expect(request_id)
            stream.answer(self._refusal(request_id, error))
            return
        stream.expect(request.request_id)
        self._runtime.deliver(CallerRequested(stream.number, request))

    def _parse(self, data: bytes) -> callers_pb2.CallerRequest:
        if len(data) > self._limits.message_size:
            raise BadRequestError(
                ErrorCode.MESSAGE_TOO_LARGE,
                size=len(data),
                limit=self._limits.message_size,
            )
        return parse_strictly(callers_pb2.CallerRequest, data)

    def _refusal(self, request_id: str, error: MallowpassError) -> CallerAnswer:
        self._runtime.count("refused", code=error.code)
        return CallerAnswer(
            request_id=request_id,
            outcome=Outcome.NOT_RUN,
            code=error.code,
            message=" ".join([error.summary, *map(str, error.fields)]),
        )

    # -- Single calls --------------------------------------------------------

    async def _call(self, data: bytes, _context: Any) -> bytes:
        try:
            message = self._parse(data)
            requests = _requests_of_call(message)
        except MallowpassError as error:
            answer = self._refusal(salvage_request_id(data), error)
        else:
            answer = await self._run_call(requests)
        return answer_to_wire(answer).SerializeToString()

    async def _run_call(self, requests: list[CallerRequest]) -> CallerAnswer:
        # A short session: the core needs no second kind of caller.
        stream = _CallStream(next(self._numbers))
        self._connect(stream)
        try:
            for request in requests:
                answer = await self._ask(stream, request)
                if answer.outcome is not Outcome.DONE:
                    break
        finally:
            self._disconnect(stream)
        return answer

    def _ask(
        self, stream: _CallStream, request: CallerRequest
    ) -> asyncio.Future[CallerAnswer]:
        future = stream.expect(request.request_id)
        self._runtime.deliver(CallerRequested(stream.number, request))
        return future

    # -- Both ----------------------------------------------------------------

    def _connect(self, stream: _Stream) -> None:
        self._streams[stream.number] = stream
        self._runtime.deliver(CallerConnected(stream.number))
        if self._stopping:
            stream.close()

    def _disconnect(self, stream: _Stream) -> None:
        del self._streams[stream.number]
        self._runtime.deliver(CallerDisconnected(stream.number))


class _Stream(Protocol):
    """Take the answers of one numbered stream."""

    number: int

    def awaits(self, request_id: str) -> bool: ...

    def answer(self, answer: CallerAnswer) -> None: ...

    def close(self) -> None: ...


class _SessionStream:
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


class _CallStream:
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


def _requests_of_call(message: callers_pb2.CallerRequest) -> list[CallerRequest]:
    """Return what a single call stands for: an opened session, then the request."""
    request = request_from_wire(message)
    if isinstance(request, OpenRequest):
        return [request]
    if not isinstance(request, ExecuteRequest) or request.transaction:
        raise BadRequestError(
            ErrorCode.INVALID_FIELD, "Transactions need a session's stream."
        )
    body = message.execute
    opening = OpenRequest(
        request_id=request.request_id,
        token=request.token,
        deadline=request.deadline,
        service=check_text("service", body.service),
        caller=check_text("caller", body.caller),
        request_class=request.request_class,
    )
    return [opening, dataclasses.replace(request, chunk_rows=0)]


def _without_rows(answer: CallerAnswer, size: int) -> CallerAnswer:
    code = ErrorCode.ANSWER_TOO_LARGE
    text = f"{code.meaning} size={size}"
    return dataclasses.replace(answer, rows=None, code=code.code, message=text)


def _internal_answer(request_id: str) -> CallerAnswer:
    # The core failed somewhere in the middle: nobody knows what was sent.
    code = ErrorCode.INTERNAL
    return CallerAnswer(
        request_id=request_id,
        outcome=Outcome.UNKNOWN,
        code=code.code,
        message=code.meaning,
    )
