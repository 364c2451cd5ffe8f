"""Measure statements a second straight to one member over gRPC on loopback.

Run it as `python -m mallowpass.standins.measure`; client and server share a process.
"""

from __future__ import annotations

import asyncio
import time

import grpc

from mallowpass.schema import endpoint_pb2, endpoint_pb2_grpc
from mallowpass.standins.group import GroupSpec
from mallowpass.standins.process import Standins

__all__ = ["measure"]

STATEMENTS = 10_000
CONNECTIONS = (1, 10)
READ = endpoint_pb2.Execute(sql="SELECT b FROM t WHERE a = 1")
WRITE = endpoint_pb2.Execute(
    sql="UPDATE t SET b = b + 1 WHERE a = 1", write=True, term=1
)
_TABLE = (
    "CREATE TABLE t (a INTEGER PRIMARY KEY, b INTEGER)",
    "INSERT INTO t VALUES (1, 0)",
)


async def measure() -> None:
    """Print one line for each kind of statement and number of connections."""
    async with Standins([GroupSpec("g", ("a", "b", "c"))]) as standins:
        address = standins.address("g", "a")
        async with grpc.aio.insecure_channel(address) as channel:
            await _prepare(channel)
            for count in CONNECTIONS:
                for kind, execute in (("read", READ), ("write", WRITE)):
                    rate = await _rate(channel, count, execute)
                    print(f"kind={kind} connections={count} per_s={rate:.0f}")


async def _prepare(channel: grpc.aio.Channel) -> None:
    stream = await _connect(channel)
    for sql in _TABLE:
        await _call(stream, endpoint_pb2.Execute(sql=sql, write=True, term=1))
    stream.cancel()


async def _rate(
    channel: grpc.aio.Channel, count: int, execute: endpoint_pb2.Execute
) -> float:
    streams = [await _connect(channel) for _ in range(count)]
    each = STATEMENTS // count
    start = time.perf_counter()
    await asyncio.gather(*(_drive(stream, execute, each) for stream in streams))
    taken = time.perf_counter() - start
    for stream in streams:
        stream.cancel()
    return each * count / taken


async def _drive(stream, execute: endpoint_pb2.Execute, count: int) -> None:
    for _ in range(count):
        await _call(stream, execute)


async def _connect(channel: grpc.aio.Channel):
    stream = endpoint_pb2_grpc.EndpointStub(channel).Connect()
    await stream.write(endpoint_pb2.EndpointCall(hello=endpoint_pb2.Hello()))
    await stream.read()
    return stream


async def _call(stream, execute: endpoint_pb2.Execute) -> None:
    await stream.write(endpoint_pb2.EndpointCall(execute=execute))
    reply = await stream.read()
    if reply.code != endpoint_pb2.OK:
        raise RuntimeError(f"refused: {reply.message}")


if __name__ == "__main__":
    asyncio.run(measure())
