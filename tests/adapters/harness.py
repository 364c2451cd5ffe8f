"""A running host around a trivial core, and a trivial endpoint, for adapter tests."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import grpc

from mallowpass.adapters.channels import open_server
from mallowpass.adapters.runtime import HostRuntime
from mallowpass.core import calls, effects, events, operations
from mallowpass.core.node import System
from mallowpass.schema import endpoint_pb2, values_pb2
from mallowpass.settings import Address, HostSettings, OperatorKeys

LIMIT = 20.0  # generous: seconds until a condition that never comes fails a test
FLEET_KEY = b"the fleet's key, for tests"
OPERATOR = "amina"
OPERATOR_KEY = b"the operator's key, for tests"
MESSAGE_SIZE = 64 * 1024
ANSWER_SIZE = 256 * 1024

SETTINGS = """
[host]
name = "host-1"
failure_domain = "casa-ainsebaa"
seat = 0
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "127.0.0.1:1"
[fleet]
key_environment = "FLEET_KEY"
[[fleet.failure_domains]]
name = "casa-ainsebaa"
region = "casablanca"
hosts = 1
[limits]
message_size = "64KiB"
answer_size = "256KiB"
"""


class FakeCore(System):
    """Answer by the statement's text, and keep what came."""

    __slots__ = ("seen",)

    def start(self) -> None:
        """Subscribe to everything."""
        self.seen: list[events.Event] = []
        for name in events.__all__:
            self._node.subscribe(getattr(events, name), self.seen.append)
        self._node.subscribe(events.CallerRequested, self._on_request)
        self._node.subscribe(events.OperatorRequested, self._on_operator)
        self._node.subscribe(events.ShutdownRequested, self._on_shutdown)

    def of(self, kind: type[events.Event]) -> list[Any]:
        """Return the events of a kind that came so far."""
        return [event for event in self.seen if isinstance(event, kind)]

    def _on_request(self, event: events.CallerRequested) -> None:
        request = event.request
        sql = getattr(request, "sql", "")
        if sql == "fail":
            raise RuntimeError("a fault of the core")
        if sql == "hang":
            return
        for _ in range(int(sql.removeprefix("parts ")) if "parts" in sql else 0):
            self._answer(event.stream, request.request_id, None, "part")
        text = "x" * ANSWER_SIZE if sql == "large" else sql
        for _ in range(2 if sql == "twice" else 1):
            self._answer(event.stream, request.request_id, calls.Outcome.DONE, text)
        if isinstance(request, calls.CloseRequest):
            self._node.emit(effects.CloseCaller(event.stream))

    def _answer(
        self, stream: int, request_id: str, outcome: calls.Outcome | None, text: str
    ) -> None:
        row = values_pb2.Row(values=[values_pb2.Value(text=text)])
        rows = values_pb2.Rows(columns=["text"], rows=[row])
        answer = calls.CallerAnswer(
            request_id=request_id, outcome=outcome, token=b"token", rows=rows
        )
        self._node.emit(effects.AnswerCaller(stream, answer))

    def _on_operator(self, event: events.OperatorRequested) -> None:
        answer = operations.StatusAnswer(
            host="host-1", failure_domain="", draining=False, sessions=0, requests=0
        )
        self._node.emit(effects.AnswerOperator(event.call, answer))

    def _on_shutdown(self, _event: events.ShutdownRequested) -> None:
        self._node.emit(effects.Exit())


class FakeEndpoint:
    """Answer every call on every connection; keep what came."""

    def __init__(self) -> None:
        self.address = ""
        self.calls: list[endpoint_pb2.EndpointCall] = []
        self.peers: set[str] = set()
        self.open_streams = 0
        self.refusal = endpoint_pb2.OK
        self.silent = False
        self._server: grpc.aio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        handler = grpc.method_handlers_generic_handler(
            "mallowpass.v1.Endpoint",
            {
                "Connect": grpc.stream_stream_rpc_method_handler(self._connect),
                "Control": grpc.stream_stream_rpc_method_handler(self._control),
            },
        )
        listen = Address("127.0.0.1", 0)
        self._server, bound = open_server([handler], listen, MESSAGE_SIZE)
        self.address = str(bound)
        await self._server.start()

    async def stop(self) -> None:
        """Break every connection."""
        if self._server is not None:
            await self._server.stop(None)

    async def _connect(self, _calls: Any, context: Any) -> None:
        self.open_streams += 1
        self.peers.add(context.peer())
        try:
            while (data := await context.read()) is not grpc.aio.EOF:
                call = endpoint_pb2.EndpointCall.FromString(data)
                self.calls.append(call)
                if not self.silent:
                    await context.write(self._reply(call))
        finally:
            self.open_streams -= 1

    def _reply(self, call: endpoint_pb2.EndpointCall) -> bytes:
        code = self.refusal if call.HasField("hello") else endpoint_pb2.OK
        reply = endpoint_pb2.EndpointReply(sequence=call.sequence, code=code, last=True)
        return reply.SerializeToString()

    async def _control(self, _calls: Any, context: Any) -> None:
        while (data := await context.read()) is not grpc.aio.EOF:
            call = endpoint_pb2.ControlCall.FromString(data)
            report = endpoint_pb2.Report(member="a", role=endpoint_pb2.PRIMARY)
            reply = endpoint_pb2.ControlReply(
                sequence=call.sequence, code=endpoint_pb2.OK, report=report
            )
            await context.write(reply.SerializeToString())


def settings() -> HostSettings:
    """Return a host's settings with free ports."""
    return HostSettings.from_text(SETTINGS)


@contextlib.asynccontextmanager
async def running_host() -> AsyncIterator[HostRuntime]:
    """Run a host around FakeCore."""
    keys = OperatorKeys({OPERATOR: hashlib.sha256(OPERATOR_KEY).digest()})
    runtime = HostRuntime(settings(), FLEET_KEY, keys, systems=[FakeCore], seed=1)
    await runtime.start()
    try:
        yield runtime
    finally:
        await runtime.stop()


@contextlib.asynccontextmanager
async def running_endpoint() -> AsyncIterator[FakeEndpoint]:
    """Run an endpoint."""
    endpoint = FakeEndpoint()
    await endpoint.start()
    try:
        yield endpoint
    finally:
        await endpoint.stop()


def core_of(runtime: HostRuntime) -> FakeCore:
    """Return a host's trivial core."""
    return runtime.node.system(FakeCore)


async def until(condition: Callable[[], object]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(LIMIT):
        while not condition():
            await asyncio.sleep(0.001)


def run(work: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine."""

    async def limited() -> None:
        async with asyncio.timeout(LIMIT):
            await work

    asyncio.run(limited())
