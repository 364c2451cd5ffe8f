"""Hold connections and control streams to endpoints over gRPC."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

import grpc
from google.protobuf.message import DecodeError

from mallowpass.adapters.channels import open_channel
from mallowpass.adapters.endpoint_messages import (
    control_call_to_wire,
    control_reply_from_wire,
    endpoint_call_to_wire,
    endpoint_reply_from_wire,
    hello_to_wire,
)
from mallowpass.adapters.writing import StreamWriter
from mallowpass.core import effects
from mallowpass.core.events import (
    ConnectionLost,
    ConnectionOpened,
    ConnectionRefused,
    ControlLost,
    ControlOpened,
    ControlReplied,
    EndpointReplied,
    Event,
)
from mallowpass.schema import endpoint_pb2

if TYPE_CHECKING:
    from mallowpass.adapters.runtime import HostRuntime

__all__ = ["EndpointClients"]

CONNECT_METHOD = "/mallowpass.v1.Endpoint/Connect"
CONTROL_METHOD = "/mallowpass.v1.Endpoint/Control"
CONTROL_MESSAGE_SIZE = 16 * 1024 * 1024
HARD_LIMIT_FACTOR = 2  # an answer up to this many times the limit is still told apart

_FAILURES = (grpc.aio.AioRpcError, asyncio.InvalidStateError, OSError, DecodeError)


class EndpointClients:
    """Open, use and close connections and control streams as the core says."""

    def __init__(self, runtime: HostRuntime, answer_size: int) -> None:
        self._runtime = runtime
        self._receive_limit = answer_size * HARD_LIMIT_FACTOR
        self._connections: dict[int, _Connection] = {}
        self._controls: dict[tuple[str, int], _Control] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def connections(self) -> int:
        """Return how many connections are open or opening."""
        return len(self._connections)

    async def stop(self) -> None:
        """Close all of them, without a word to the core."""
        for link in (*self._connections.values(), *self._controls.values()):
            link.close()
        self._connections.clear()
        self._controls.clear()
        if self._tasks:
            await asyncio.wait(self._tasks)

    # -- Connections ---------------------------------------------------------

    def open(self, effect: effects.OpenConnection) -> None:
        """Begin to open a connection."""
        connection = _Connection(self._runtime, effect, self._receive_limit)
        self._connections[effect.connection] = connection
        connection.run_in(self._start(self._run_connection(connection)))

    def send(self, effect: effects.SendEndpoint) -> None:
        """Send a call; dropped when the connection is gone: the core hears of that."""
        connection = self._connections.get(effect.connection)
        if connection is not None:
            message = endpoint_call_to_wire(effect.call, effect.sequence)
            connection.send(message.SerializeToString())

    def close(self, effect: effects.CloseConnection) -> None:
        """Close a connection."""
        connection = self._connections.pop(effect.connection, None)
        if connection is not None:
            connection.close()

    async def _run_connection(self, connection: _Connection) -> None:
        try:
            await connection.run()
        finally:
            if self._connections.get(connection.number) is connection:
                del self._connections[connection.number]

    # -- Control streams -----------------------------------------------------

    def open_control(self, effect: effects.OpenControl) -> None:
        """Begin to open a control stream, beside the address's earlier one.

        The earlier one may be the only way that answers: a busy member can take
        long to accept a new stream. The core closes the one that it gives up.
        """
        control = _Control(self._runtime, effect)
        self._controls[control.key] = control
        control.run_in(self._start(self._run_control(control)))

    def send_control(self, effect: effects.SendControl) -> None:
        """Send a control call; dropped when the stream is gone."""
        control = self._controls.get((effect.address, effect.stream))
        if control is not None:
            message = control_call_to_wire(effect.call, effect.sequence)
            control.send(message.SerializeToString())

    def close_control(self, effect: effects.CloseControl) -> None:
        """Close a control stream."""
        control = self._controls.pop((effect.address, effect.stream), None)
        if control is not None:
            control.close()

    async def _run_control(self, control: _Control) -> None:
        try:
            await control.run()
        finally:
            if self._controls.get(control.key) is control:
                del self._controls[control.key]

    def _start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


class _Link:
    """Run one stream over a channel of its own; messages are bytes."""

    __slots__ = (
        "_call",
        "_channel",
        "_closed",
        "_early",
        "_runtime",
        "_task",
        "_writer",
        "address",
    )

    def __init__(self, runtime: HostRuntime, address: str) -> None:
        self.address = address
        self._runtime = runtime
        self._channel: grpc.aio.Channel | None = None
        self._call: Any = None
        self._closed = False
        self._early: list[bytes] = []  # sent before the stream is open
        self._writer: StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    def run_in(self, task: asyncio.Task[None]) -> None:
        """Note the task that runs this link, to cancel it on close."""
        self._task = task

    def send(self, data: bytes) -> None:
        """Send a message after those before it."""
        if self._writer is None:
            self._early.append(data)
        else:
            self._writer.put(data)

    def close(self) -> None:
        """End the link; the core hears no more of it."""
        self._closed = True
        if self._task is not None:
            self._task.cancel()

    def _deliver(self, event: Event) -> None:
        # The core forgets a connection with CloseConnection: an event after it
        # could be taken for one of another connection.
        if not self._closed:
            self._runtime.deliver(event)

    def _begin_writing(self) -> None:
        self._writer = StreamWriter(self._call.write)
        for data in self._early:
            self._writer.put(data)
        self._early.clear()

    async def _shut(self) -> None:
        if self._call is not None:
            self._call.cancel()
        if self._channel is not None:
            await self._channel.close()


class _Connection(_Link):
    """Run one connection: Hello, then calls and replies."""

    __slots__ = ("_effect", "_receive_limit", "number")

    def __init__(
        self, runtime: HostRuntime, effect: effects.OpenConnection, receive_limit: int
    ) -> None:
        super().__init__(runtime, effect.address)
        self.number = effect.connection
        self._effect = effect
        self._receive_limit = receive_limit

    async def run(self) -> None:
        """Open it, pass replies on until it breaks, and tidy up."""
        try:
            if await self._opened():
                why = await self._read_all()
                self._deliver(ConnectionLost(self.number, why))
        finally:
            await self._shut()

    async def _opened(self) -> bool:
        try:
            async with asyncio.timeout(self._effect.timeout):
                reply = await self._shake_hands()
        except TimeoutError:
            why = f"no answer to Hello within {self._effect.timeout:g} s"
            self._deliver(ConnectionRefused(self.number, why))
            return False
        except (*_FAILURES, ValueError) as error:
            self._deliver(ConnectionRefused(self.number, _reason(error)))
            return False
        return self._judge(reply)

    async def _shake_hands(self) -> endpoint_pb2.EndpointReply:
        self._channel = open_channel(self.address, self._receive_limit)
        self._call = self._channel.stream_stream(CONNECT_METHOD)()
        hello = hello_to_wire(self._effect.host, self._effect.time_to_live)
        await self._call.write(hello.SerializeToString())
        data = await self._call.read()
        if data is grpc.aio.EOF:
            raise ConnectionResetError(await _ending(self._call))
        return endpoint_pb2.EndpointReply.FromString(data)

    def _judge(self, reply: endpoint_pb2.EndpointReply) -> bool:
        if reply.code == endpoint_pb2.OK:
            self._begin_writing()
            self._deliver(ConnectionOpened(self.number))
            return True
        full = reply.code == endpoint_pb2.TOO_MANY_CONNECTIONS
        why = reply.message or f"code {reply.code}"
        self._deliver(ConnectionRefused(self.number, why, limit_reached=full))
        return False

    async def _read_all(self) -> str:
        read = self._call.read
        parse = endpoint_pb2.EndpointReply.FromString
        try:
            while (data := await read()) is not grpc.aio.EOF:
                reply = endpoint_reply_from_wire(parse(data))
                self._deliver(EndpointReplied(self.number, reply))
            return await _ending(self._call)
        except _FAILURES as error:
            return _reason(error)


class _Control(_Link):
    """Run one control stream."""

    __slots__ = ("_timeout", "stream")

    def __init__(self, runtime: HostRuntime, effect: effects.OpenControl) -> None:
        super().__init__(runtime, effect.address)
        self.stream = effect.stream
        self._timeout = effect.timeout

    @property
    def key(self) -> tuple[str, int]:
        """Return what the core knows this stream by."""
        return (self.address, self.stream)

    async def run(self) -> None:
        """Open it, pass replies on until it breaks, and tidy up."""
        try:
            why = await self._run()
            self._deliver(ControlLost(self.address, self.stream, why))
        finally:
            await self._shut()

    async def _run(self) -> str:
        try:
            async with asyncio.timeout(self._timeout):
                await self._open()
        except TimeoutError:
            return f"no connection within {self._timeout:g} s"
        except (*_FAILURES, ValueError) as error:
            return _reason(error)
        self._begin_writing()
        self._deliver(ControlOpened(self.address, self.stream))
        try:
            return await self._read_all()
        except _FAILURES as error:
            return _reason(error)

    async def _open(self) -> None:
        self._channel = open_channel(self.address, CONTROL_MESSAGE_SIZE)
        # Nothing is answered on this stream before the first call, so only the
        # channel tells whether anybody is there.
        state = self._channel.get_state(try_to_connect=True)
        while state is not grpc.ChannelConnectivity.READY:
            if state is grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                raise ConnectionRefusedError("the endpoint can't be reached")
            await self._channel.wait_for_state_change(state)
            state = self._channel.get_state(try_to_connect=True)
        self._call = self._channel.stream_stream(CONTROL_METHOD)()

    async def _read_all(self) -> str:
        parse = endpoint_pb2.ControlReply.FromString
        while (data := await self._call.read()) is not grpc.aio.EOF:
            reply = control_reply_from_wire(parse(data))
            self._deliver(ControlReplied(self.address, self.stream, reply))
        return await _ending(self._call)


async def _ending(call: Any) -> str:
    code = await call.code()
    return f"{code.name}: {await call.details()}"


def _reason(error: BaseException) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details()}"
    return str(error) or type(error).__name__
