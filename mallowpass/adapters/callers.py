"""Serve callers over gRPC: one stream for each session, or single calls."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import TYPE_CHECKING, Any

import grpc

from mallowpass.adapters.caller_messages import answer_to_wire, request_from_wire
from mallowpass.adapters.caller_streams import CallStream, SessionStream, Stream
from mallowpass.adapters.channels import open_server
from mallowpass.adapters.form import check_text, parse_strictly, salvage_request_id
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
from mallowpass.schema import callers_pb2
from mallowpass.settings import Address, LimitsSection

if TYPE_CHECKING:
    from mallowpass.adapters.runtime import HostRuntime

__all__ = ["CallerServer"]

SERVICE = "mallowpass.v1.Callers"
# Messages up to this many times the limit still get an answer of their own; gRPC
# ends the whole stream of a larger one.
HARD_LIMIT_FACTOR = 2
STOP_GRACE = 2.0  # seconds for answers on their way when the host stops


class CallerServer:
    """Number streams, check requests for form and send answers."""

    def __init__(
        self, runtime: HostRuntime, listen: Address, limits: LimitsSection
    ) -> None:
        self._runtime = runtime
        self._listen = listen
        self._limits = limits
        self._streams: dict[int, Stream] = {}
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
        stream = SessionStream(next(self._numbers), context, self._limits.answer_size)
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

    async def _read(self, stream: SessionStream, context: Any) -> None:
        read = context.read
        while (data := await read()) is not grpc.aio.EOF:
            self._take(stream, data)
            if stream.is_full:
                await stream.wait_room()
            if stream.ended:
                return
        stream.half_close()

    async def _cut_off(self, stream: SessionStream, context: Any) -> None:
        code = ErrorCode.ANSWER_TOO_LARGE
        self._runtime.log("warning", "caller-too-slow", stream=stream.number)
        self._runtime.count("refused", code=code.code)
        text = f"{code.code} The answers were not read in time."
        await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, text)

    def _take(self, stream: SessionStream, data: bytes) -> None:
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
        stream = CallStream(next(self._numbers))
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
        self, stream: CallStream, request: CallerRequest
    ) -> asyncio.Future[CallerAnswer]:
        future = stream.expect(request.request_id)
        self._runtime.deliver(CallerRequested(stream.number, request))
        return future

    # -- Both ----------------------------------------------------------------

    def _connect(self, stream: Stream) -> None:
        self._streams[stream.number] = stream
        self._runtime.deliver(CallerConnected(stream.number))
        if self._stopping:
            stream.close()

    def _disconnect(self, stream: Stream) -> None:
        del self._streams[stream.number]
        self._runtime.deliver(CallerDisconnected(stream.number))


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


def _internal_answer(request_id: str) -> CallerAnswer:
    # The core failed somewhere in the middle: nobody knows what was sent.
    code = ErrorCode.INTERNAL
    return CallerAnswer(
        request_id=request_id,
        outcome=Outcome.UNKNOWN,
        code=code.code,
        message=code.meaning,
    )
