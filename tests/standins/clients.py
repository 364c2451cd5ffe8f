"""Clients of the stand-ins for their tests: one group `g` of members a, b and c."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import grpc

from mallowpass.schema import endpoint_pb2, endpoint_pb2_grpc, values_pb2
from mallowpass.standins.group import GroupSpec
from mallowpass.standins.process import Standins

LIMIT_S = 10.0  # generous: a test that waits so long has failed
GROUP = "g"
MEMBERS = ("a", "b", "c")


def scenario(**spec) -> Callable:
    """Run an async test with a `Lab` of fresh stand-ins; `spec` sets the group's."""

    def decorate(test: Callable[[Lab], Awaitable[None]]) -> Callable[[], None]:
        def run() -> None:
            asyncio.run(asyncio.wait_for(_run(test, spec), 3 * LIMIT_S))

        run.__name__ = test.__name__
        run.__doc__ = test.__doc__
        return run

    return decorate


async def _run(test: Callable[[Lab], Awaitable[None]], spec: dict) -> None:
    async with Standins([GroupSpec(GROUP, MEMBERS, **spec)]) as standins:
        lab = Lab(standins)
        try:
            await test(lab)
        finally:
            await lab.close()


async def eventually(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(LIMIT_S):
        while not condition():
            await asyncio.sleep(0.001)


class Lab:
    """Hold the stand-ins and the channels of one test."""

    def __init__(self, standins: Standins) -> None:
        self.standins = standins
        self._channels: dict[str, grpc.aio.Channel] = {}

    def member_server(self, name: str):
        return self.standins.endpoint(GROUP, name)

    def member(self, name: str):
        return self.member_server(name).member

    def channel(self, address: str) -> grpc.aio.Channel:
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(address)
        return self._channels[address]

    async def connect(self, member: str, time_to_live_ms: int = 0) -> Connection:
        connection = self.stream(member)
        hello = endpoint_pb2.Hello(host="h", time_to_live_ms=time_to_live_ms)
        await connection.call(hello=hello)
        return connection

    def stream(self, member: str) -> Connection:
        """Open a connection without its Hello."""
        stub = endpoint_pb2_grpc.EndpointStub(self._member_channel(member))
        return Connection(stub.Connect())

    def control(self, member: str) -> Control:
        stub = endpoint_pb2_grpc.EndpointStub(self._member_channel(member))
        return Control(stub.Control())

    async def promote(self, member: str, term: int, promised_by: str) -> None:
        """Promote a member with the promises of some and make the others follow."""
        for name in promised_by:
            reply = await self.control(name).promise(term)
            assert reply.code == endpoint_pb2.OK
        promote = endpoint_pb2.Promote(term=term, proposer="p")
        reply = await self.control(member).call(promote=promote)
        assert reply.code == endpoint_pb2.OK

    async def close(self) -> None:
        for channel in self._channels.values():
            await channel.close()

    def _member_channel(self, member: str) -> grpc.aio.Channel:
        return self.channel(self.standins.address(GROUP, member))


class Connection:
    """Call one connection; each call gets the next sequence."""

    def __init__(self, stream) -> None:
        self.stream = stream
        self.sequence = 0

    async def send(self, **call) -> None:
        self.sequence += 1
        message = endpoint_pb2.EndpointCall(sequence=self.sequence, **call)
        await self.stream.write(message)

    async def read(self) -> endpoint_pb2.EndpointReply:
        return await asyncio.wait_for(self.stream.read(), LIMIT_S)

    async def call(self, **call) -> endpoint_pb2.EndpointReply:
        await self.send(**call)
        return await self.read()

    async def write(self, sql: str, term: int = 1, **more):
        execute = endpoint_pb2.Execute(sql=sql, write=True, term=term, **more)
        return await self.call(execute=execute)

    async def select(self, sql: str, minimum=None, **more):
        execute = endpoint_pb2.Execute(sql=sql, minimum=minimum, **more)
        return await self.call(execute=execute)

    async def count(self, table: str = "t") -> int:
        reply = await self.select(f"SELECT count(*) FROM {table}")
        assert reply.code == endpoint_pb2.OK, reply
        return reply.rows.rows[0].values[0].integer


class Control:
    """Call one control stream."""

    def __init__(self, stream) -> None:
        self._stream = stream
        self._sequence = 0

    async def call(self, **call) -> endpoint_pb2.ControlReply:
        self._sequence += 1
        message = endpoint_pb2.ControlCall(sequence=self._sequence, **call)
        await self._stream.write(message)
        return await self.read()

    async def read(self) -> endpoint_pb2.ControlReply:
        return await asyncio.wait_for(self._stream.read(), LIMIT_S)

    async def promise(self, term: int, proposer: str = "p"):
        promise = endpoint_pb2.Promise(term=term, proposer=proposer)
        return await self.call(promise=promise)

    async def follow(self, term: int, primary: str):
        follow = endpoint_pb2.Follow(term=term, primary=primary)
        return await self.call(follow=follow)

    async def outcome(self, request_id: str, term: int = 1, fence: int | None = None):
        outcome = endpoint_pb2.Outcome(
            request_id=request_id,
            term=term,
            fence=fence is not None,
            fence_attempt=fence or 0,
        )
        return await self.call(outcome=outcome)

    async def report(self) -> endpoint_pb2.Report:
        return (await self.call(probe=endpoint_pb2.Probe())).report


def place(term: int, position: int) -> values_pb2.LogPosition:
    return values_pb2.LogPosition(term=term, position=position)
