"""Call the platform's table service, object store and host list over gRPC."""

from __future__ import annotations

import asyncio
from functools import singledispatch
from typing import TYPE_CHECKING, Any

import grpc

from mallowpass.adapters.channels import open_channel
from mallowpass.core import platformcalls as core
from mallowpass.core.effects import CallPlatform
from mallowpass.core.events import PlatformReplied
from mallowpass.schema import platform_pb2, platform_pb2_grpc
from mallowpass.units import Address

if TYPE_CHECKING:
    from mallowpass.adapters.runtime import HostRuntime

__all__ = ["PlatformChannel"]

_WRITES = (core.WriteRow, core.RegisterHost)
# Only a refusal before anything was done proves that a write took no effect; all
# else may come after it did, such as a deadline or a connection that broke.
_PROOFS_OF_NO_EFFECT = frozenset(
    {
        grpc.StatusCode.INVALID_ARGUMENT,
        grpc.StatusCode.PERMISSION_DENIED,
        grpc.StatusCode.UNAUTHENTICATED,
        grpc.StatusCode.UNIMPLEMENTED,
    }
)


class PlatformChannel:
    """Carry out each call with a timeout; exactly one reply follows each."""

    def __init__(self, runtime: HostRuntime, address: Address) -> None:
        self._runtime = runtime
        self._address = address
        self._channel: grpc.aio.Channel | None = None
        self._stub: Any = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Make the channel; it connects with the first call."""
        self._channel = open_channel(str(self._address))
        self._stub = platform_pb2_grpc.PlatformStub(self._channel)

    async def stop(self) -> None:
        """Give up the calls in flight and close the channel."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)
        if self._channel is not None:
            await self._channel.close()

    def call(self, effect: CallPlatform) -> None:
        """Begin a call."""
        task = asyncio.get_running_loop().create_task(self._call(effect))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, effect: CallPlatform) -> None:
        try:
            async with asyncio.timeout(effect.timeout):
                reply = await _perform(effect.request, self._stub, effect.timeout)
        except grpc.aio.AioRpcError as error:
            reply = _failure(effect.request, error.code(), error.details())
        except TimeoutError:
            reply = _failure(effect.request, None, "no answer in time")
        except Exception as error:
            # Whatever it was: a call without a reply would hold its caller forever.
            reply = _failure(effect.request, None, f"{type(error).__name__}: {error}")
        self._runtime.deliver(PlatformReplied(effect.call, reply))


def _failure(
    request: core.PlatformCall, code: grpc.StatusCode | None, text: str | None
) -> core.PlatformFailed:
    name = code.name if code is not None else "TIMEOUT"
    ambiguous = isinstance(request, _WRITES) and code not in _PROOFS_OF_NO_EFFECT
    return core.PlatformFailed(f"{name}: {text}", ambiguous)


@singledispatch
async def _perform(
    request: core.PlatformCall, stub: Any, timeout: float
) -> core.PlatformReply:
    raise TypeError(f"no call for {request!r}")


@_perform.register
async def _(request: core.ReadRow, stub: Any, timeout: float) -> core.PlatformReply:
    call = platform_pb2.ReadRow(table=request.table, key=request.key)
    answer = await stub.Read(call, timeout=timeout)
    return core.RowRead(_row(answer.row) if answer.found else None)


@_perform.register
async def _(request: core.ScanRows, stub: Any, timeout: float) -> core.PlatformReply:
    call = platform_pb2.ScanRows(table=request.table, after_change=request.after_change)
    answer = await stub.Scan(call, timeout=timeout)
    rows = tuple(map(_row, answer.rows))
    return core.RowsScanned(rows, answer.change, answer.more)


@_perform.register
async def _(request: core.WriteRow, stub: Any, timeout: float) -> core.PlatformReply:
    call = platform_pb2.WriteRow(
        table=request.table,
        key=request.key,
        expected_version=request.expected_version,
        value=request.value,
        delete=request.delete,
    )
    answer = await stub.Write(call, timeout=timeout)
    current = _row(answer.current) if answer.HasField("current") else None
    return core.RowWritten(answer.written, current)


@_perform.register
async def _(request: core.ListHosts, stub: Any, timeout: float) -> core.PlatformReply:
    answer = await stub.ListHosts(platform_pb2.ListHostsCall(), timeout=timeout)
    return core.HostsListed(tuple(map(_host, answer.hosts)))


@_perform.register
async def _(
    request: core.RegisterHost, stub: Any, timeout: float
) -> core.PlatformReply:
    host = platform_pb2.ListedHost(
        name=request.host.name,
        failure_domain=request.host.failure_domain,
        peers_address=request.host.peers_address,
        leaving=request.host.leaving,
    )
    call = platform_pb2.RegisterHostCall(host=host)
    await stub.RegisterHost(call, timeout=timeout)
    return core.HostRegistered()


def _row(row: platform_pb2.TableRow) -> core.TableRow:
    return core.TableRow(row.table, row.key, row.version, row.value, row.deleted)


def _host(host: platform_pb2.ListedHost) -> core.ListedHost:
    return core.ListedHost(
        host.name, host.failure_domain, host.peers_address, host.leaving
    )
