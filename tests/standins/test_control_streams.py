"""Test control streams of the stand-ins where the library takes its time."""

from __future__ import annotations

import asyncio

from mallowpass.schema import endpoint_pb2 as pb
from tests.standins.clients import LIMIT_S, scenario


class _SlowContext:
    """Serve a control stream as gRPC does: one write at a time, not to be cancelled."""

    def __init__(self) -> None:
        self.calls: asyncio.Queue[pb.ControlCall] = asyncio.Queue()
        self.replies: asyncio.Queue[pb.ControlReply] = asyncio.Queue()
        self.writing = asyncio.Event()
        self.released = asyncio.Event()
        self._busy = False

    async def read(self) -> pb.ControlCall:
        return await self.calls.get()

    async def write(self, reply: pb.ControlReply) -> None:
        assert not self._busy, "a write began before the last one had ended"
        self._busy = True
        # The library goes on with a write when the task that waits for it is gone.
        await asyncio.shield(asyncio.create_task(self._write(reply)))

    async def _write(self, reply: pb.ControlReply) -> None:
        self.writing.set()
        await self.released.wait()
        self._busy = False
        await self.replies.put(reply)


@scenario()
async def test_a_watch_is_replaced_while_a_report_is_written(lab):
    """Keep the stream when a watch ends in the middle of its report.

    Symptom: a control stream failed with GRPC_CALL_ERROR_TOO_MANY_OPERATIONS, rarely
    and only on a busy machine; its host waited for answers that never came.
    Sequence: a watch's report is being written; a call replaces the watch, and is
    answered.
    Cause: the cancelled task gave the stream's lock back while the library was still
    writing its report.
    """
    context = _SlowContext()
    context.released.set()
    serving = asyncio.create_task(lab.member_server("a").Control(None, context))
    watch = pb.Watch(interval_ms=1)
    await context.calls.put(pb.ControlCall(sequence=1, watch=watch))
    while (await context.replies.get()).sequence != 1:
        pass
    context.released.clear()
    context.writing.clear()
    await context.writing.wait()
    slower = pb.Watch(interval_ms=60_000)
    await context.calls.put(pb.ControlCall(sequence=2, watch=slower))
    for _ in range(5):
        await asyncio.sleep(0)
    context.released.set()
    while (await asyncio.wait_for(context.replies.get(), LIMIT_S)).sequence != 2:
        pass
    assert not serving.done()
    serving.cancel()
    await asyncio.wait({serving})
