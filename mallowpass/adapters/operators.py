"""Serve operators over gRPC; every call is authenticated before it is decoded."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import itertools
from typing import TYPE_CHECKING, Any

import grpc

from mallowpass.adapters.channels import open_server
from mallowpass.adapters.form import parse_strictly
from mallowpass.adapters.operator_messages import answer_to_wire, request_from_wire
from mallowpass.core.effects import AnswerOperator
from mallowpass.core.events import OperatorRequested
from mallowpass.core.operations import (
    OperatorAnswer,
    ServicesListedAnswer,
    StatusAnswer,
)
from mallowpass.errors import (
    AuthenticationError,
    Category,
    ErrorCode,
    InternalError,
    MallowpassError,
    error_for,
)
from mallowpass.report.wire import history_to_wire
from mallowpass.schema import operators_pb2
from mallowpass.settings import Address, OperatorKeys

if TYPE_CHECKING:
    from mallowpass.adapters.runtime import HostRuntime

__all__ = ["CODE_METADATA", "KEY_METADATA", "OPERATOR_METADATA", "OperatorServer"]

SERVICE = "mallowpass.v1.Operators"
MESSAGE_SIZE = 4 * 1024 * 1024
STOP_GRACE = 1.0  # seconds for answers on their way when the host stops

OPERATOR_METADATA = "mallowpass-operator"
KEY_METADATA = "mallowpass-key"
CODE_METADATA = "mallowpass-code"  # of a refusal, in the trailing metadata

_METHODS = {
    "CreateService": operators_pb2.ServiceChange,
    "ChangeService": operators_pb2.ServiceChange,
    "DeleteService": operators_pb2.ServiceChange,
    "ListServices": operators_pb2.ListServicesCall,
    "DrainHost": operators_pb2.DrainHostCall,
    "PromoteMember": operators_pb2.PromoteMemberCall,
    "Status": operators_pb2.StatusCall,
    "Explain": operators_pb2.ExplainCall,
    "History": operators_pb2.HistoryCall,
}
_STATUS_OF_CATEGORY = {
    Category.AUTHENTICATION: grpc.StatusCode.UNAUTHENTICATED,
    Category.BAD_REQUEST: grpc.StatusCode.INVALID_ARGUMENT,
    Category.INTERNAL: grpc.StatusCode.INTERNAL,
}


class OperatorServer:
    """Authenticate operators, hand their calls to the core and send the answers."""

    def __init__(
        self, runtime: HostRuntime, listen: Address, keys: OperatorKeys
    ) -> None:
        self._runtime = runtime
        self._listen = listen
        self._keys = keys
        self._numbers = itertools.count(1)
        self._waiting: dict[int, asyncio.Future[OperatorAnswer]] = {}
        self._server: grpc.aio.Server | None = None

    @property
    def address(self) -> Address:
        """Return where operators connect."""
        return self._listen

    async def start(self) -> None:
        """Listen."""
        handlers = {
            method: grpc.unary_unary_rpc_method_handler(
                functools.partial(self._serve, method)
            )
            for method in _METHODS
        }
        handler = grpc.method_handlers_generic_handler(SERVICE, handlers)
        self._server, self._listen = open_server([handler], self._listen, MESSAGE_SIZE)
        await self._server.start()

    async def stop(self) -> None:
        """End after the answers on their way."""
        if self._server is not None:
            await self._server.stop(STOP_GRACE)

    def answer(self, effect: AnswerOperator) -> None:
        """Hand an answer to its call; dropped when the operator has gone."""
        future = self._waiting.pop(effect.call, None)
        if future is not None and not future.done():
            future.set_result(effect.answer)

    def fail(self, call: int) -> None:
        """End a call that the core failed on."""
        future = self._waiting.pop(call, None)
        if future is not None and not future.done():
            future.set_exception(InternalError())

    # -- Calls ---------------------------------------------------------------

    async def _serve(self, method: str, data: bytes, context: Any) -> bytes:
        try:
            operator = self._authenticate(context)
            message = parse_strictly(_METHODS[method], data)
            reply = await self._reply(method, message, operator)
        except MallowpassError as error:
            await self._refuse(method, error, context)
            raise  # not reached: a refusal ends the call
        return reply.SerializeToString()

    async def _reply(self, method: str, message: Any, operator: str) -> Any:
        runtime = self._runtime
        if isinstance(message, operators_pb2.HistoryCall):
            # Counted at the edge: the core knows nothing of it.
            return history_to_wire(runtime.history, message, runtime.host)
        answer = await self._ask(request_from_wire(method, message, operator))
        return answer_to_wire(answer, runtime.host)

    def _authenticate(self, context: Any) -> str:
        metadata = {
            key: value if isinstance(value, bytes) else value.encode()
            for key, value in context.invocation_metadata()
        }
        claimed = metadata.get(OPERATOR_METADATA, b"").decode(errors="replace")
        key = metadata.get(KEY_METADATA, b"")
        if not key:
            raise AuthenticationError(ErrorCode.OPERATOR_KEY_MISSING, operator=claimed)
        operator = self._keys.operator_of(key)
        # The key of another operator is refused too, or the journal would name
        # somebody who did not order the change.
        if operator is None or operator != claimed:
            raise AuthenticationError(ErrorCode.OPERATOR_KEY_WRONG, operator=claimed)
        return operator

    async def _ask(self, request: Any) -> OperatorAnswer:
        call = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._waiting[call] = future
        try:
            self._runtime.deliver(OperatorRequested(call, request))
            answer = await future
        finally:
            self._waiting.pop(call, None)
        if isinstance(answer, StatusAnswer):
            return self._with_figures(answer)
        if answer.code and isinstance(answer, ServicesListedAnswer):
            raise error_for(ErrorCode.by_code(answer.code), answer.message)
        return answer

    def _with_figures(self, answer: StatusAnswer) -> StatusAnswer:
        figures = {
            name: sum(point.value for point in points)
            for name, points in self._runtime.metrics.snapshot().items()
        }
        return dataclasses.replace(answer, figures=figures | answer.figures)

    async def _refuse(self, method: str, error: MallowpassError, context: Any) -> None:
        fields = {field.name: field.value for field in error.fields}
        fields |= {"method": method, "code": error.code, "peer": context.peer()}
        self._runtime.log("warning", "operator-refused", **fields)
        self._runtime.count("refused", code=error.code)
        category = error.error_code.category
        status = _STATUS_OF_CATEGORY.get(category, grpc.StatusCode.FAILED_PRECONDITION)
        await context.abort(status, str(error), ((CODE_METADATA, error.code),))
