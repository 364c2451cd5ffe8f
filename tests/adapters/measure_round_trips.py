"""Measure what the adapters cost: round trips a second and processor time of each.

Run as `python -m tests.adapters.measure_round_trips callers` (answered by the core)
or `... endpoints` (passed on to an endpoint and back). Load and endpoint run in
processes of their own, so that the processor time is the host's alone.
"""

from __future__ import annotations

import asyncio
import cProfile
import hashlib
import multiprocessing
import pstats
import time
from multiprocessing.connection import Connection
from typing import Any

import click

from mallowpass.adapters.channels import open_channel
from mallowpass.adapters.runtime import HostRuntime
from mallowpass.core import calls, effects, events
from mallowpass.core.node import System
from mallowpass.schema import callers_pb2, values_pb2
from mallowpass.settings import OperatorKeys
from tests.adapters.harness import FLEET_KEY, FakeEndpoint, settings

SESSIONS = 8
WINDOW = 16  # requests in flight of each session
CONNECTIONS = 20
SESSION_METHOD = "/mallowpass.v1.Callers/Session"


class Answering(System):
    """Answer each request at once."""

    __slots__ = ()

    def start(self) -> None:
        """Subscribe."""
        self._node.subscribe(events.CallerRequested, self._on_request)

    def _on_request(self, event: events.CallerRequested) -> None:
        answer = calls.CallerAnswer(
            request_id=event.request.request_id,
            outcome=calls.Outcome.DONE,
            token=b"t" * 60,
            rows=_ROWS,
        )
        self._node.emit(effects.AnswerCaller(event.stream, answer))
        self._node.count("statements", outcome="done")


class Passing(System):
    """Pass each request on to an endpoint over a free connection."""

    __slots__ = ("_busy", "_free", "_waiting")

    def start(self) -> None:
        """Subscribe."""
        self._free: list[int] = []
        self._busy: dict[int, tuple[int, str]] = {}
        self._waiting: list[events.CallerRequested] = []
        self._node.subscribe(events.CallerRequested, self._on_request)
        self._node.subscribe(events.ConnectionOpened, self._on_opened)
        self._node.subscribe(events.EndpointReplied, self._on_reply)

    def _on_request(self, event: events.CallerRequested) -> None:
        if not self._free:
            self._waiting.append(event)
            return
        number = self._free.pop()
        request = event.request
        self._busy[number] = (event.stream, request.request_id)
        call = calls.ExecuteCall(
            sql=request.sql,
            parameters=request.parameters,
            term=3,
            minimum=calls.LogPosition(3, 77),
            request_id=request.request_id,
        )
        self._node.emit(effects.SendEndpoint(number, 1, call))

    def _on_opened(self, event: events.ConnectionOpened) -> None:
        self._release(event.connection)

    def _on_reply(self, event: events.EndpointReplied) -> None:
        stream, request_id = self._busy.pop(event.connection)
        answer = calls.CallerAnswer(
            request_id=request_id,
            outcome=calls.Outcome.DONE,
            token=b"t" * 60,
            rows=event.reply.rows,
        )
        self._node.emit(effects.AnswerCaller(stream, answer))
        self._node.count("statements", outcome="done")
        self._release(event.connection)

    def _release(self, number: int) -> None:
        self._free.append(number)
        if self._waiting:
            self._on_request(self._waiting.pop(0))


_ROWS = values_pb2.Rows(
    columns=["id", "text"],
    rows=[
        values_pb2.Row(
            values=[values_pb2.Value(integer=n), values_pb2.Value(text="x" * 40)]
        )
        for n in range(5)
    ],
)


# -- Load and endpoint, in processes of their own ----------------------------


def _drive(pipe: Connection, address: str, seconds: float) -> None:
    asyncio.run(_load(pipe, address, seconds))


async def _load(pipe: Connection, address: str, seconds: float) -> None:
    results = await asyncio.gather(
        *(_session(address, seconds) for _ in range(SESSIONS))
    )
    latencies = sorted(latency for result in results for latency in result)
    pipe.send(latencies)


async def _session(address: str, seconds: float) -> list[float]:
    statement = callers_pb2.ExecuteStatement(
        database="claims",
        sql="SELECT id, text FROM claims WHERE id = ?",
        parameters=[values_pb2.Value(integer=7)],
        access=callers_pb2.READ,
    )
    sent: dict[str, float] = {}
    latencies: list[float] = []
    async with open_channel(address) as channel:
        stream = channel.stream_stream(SESSION_METHOD)()
        end = time.perf_counter() + seconds
        number = 0

        async def ask() -> None:
            nonlocal number
            number += 1
            request = callers_pb2.CallerRequest(
                request_id=str(number), session_token=b"t" * 60, execute=statement
            )
            sent[request.request_id] = time.perf_counter()
            await stream.write(request.SerializeToString())

        for _ in range(WINDOW):
            await ask()
        while sent:
            answer = callers_pb2.CallerAnswer.FromString(await stream.read())
            now = time.perf_counter()
            latencies.append(now - sent.pop(answer.request_id))
            if now < end:
                await ask()
    return latencies


class _AnsweringEndpoint(FakeEndpoint):
    def _reply(self, call: Any) -> bytes:
        reply = callers_reply(call.sequence)
        self.calls.clear()
        return reply


def callers_reply(sequence: int) -> bytes:
    """Return an endpoint's reply with rows."""
    from mallowpass.schema import endpoint_pb2

    return endpoint_pb2.EndpointReply(
        sequence=sequence, code=endpoint_pb2.OK, last=True, rows=_ROWS
    ).SerializeToString()


def _serve_endpoint(pipe: Connection) -> None:
    async def serve() -> None:
        endpoint = _AnsweringEndpoint()
        await endpoint.start()
        pipe.send(endpoint.address)
        await asyncio.Event().wait()

    asyncio.run(serve())


# -- The measured host -------------------------------------------------------


async def _measure(kind: str, seconds: float, profile: cProfile.Profile | None) -> None:
    context = multiprocessing.get_context("spawn")
    system: type[System] = Answering if kind == "callers" else Passing
    keys = OperatorKeys({"amina": hashlib.sha256(b"key").digest()})
    runtime = HostRuntime(settings(), FLEET_KEY, keys, systems=[system], seed=1)
    await runtime.start()
    processes = []
    if kind == "endpoints":
        here, there = context.Pipe()
        endpoint = context.Process(target=_serve_endpoint, args=(there,), daemon=True)
        endpoint.start()
        processes.append(endpoint)
        address = await asyncio.to_thread(here.recv)
        for number in range(1, CONNECTIONS + 1):
            opening = effects.OpenConnection(number, address, "host-1", 0.0, 5.0)
            runtime._perform([opening])
    here, there = context.Pipe()
    arguments = (there, runtime.callers_address, seconds)
    load = context.Process(target=_drive, args=arguments, daemon=True)
    load.start()
    processes.append(load)
    before, loop_before = time.process_time(), time.thread_time()
    if profile is not None:
        profile.enable()
    latencies = await asyncio.to_thread(here.recv)
    if profile is not None:
        profile.disable()
    spent, on_loop = time.process_time() - before, time.thread_time() - loop_before
    count = len(latencies)
    click.echo(
        f"{kind}: {count / seconds:.0f} round trips/s, "
        f"{spent / count * 1e6:.0f} us of the host's processor time each "
        f"({on_loop / count * 1e6:.0f} us on the loop's thread), "
        f"latency p50 {latencies[count // 2] * 1e3:.2f} ms "
        f"p99 {latencies[count * 99 // 100] * 1e3:.2f} ms"
    )
    for process in processes:
        process.terminate()
    await runtime.stop()


@click.command()
@click.argument("kind", type=click.Choice(["callers", "endpoints"]))
@click.option("--seconds", default=5.0)
@click.option("--rounds", default=3)
@click.option("--profiled", is_flag=True)
def main(kind: str, seconds: float, rounds: int, profiled: bool) -> None:
    """Measure one way through the adapters."""
    profile = cProfile.Profile() if profiled else None
    for _ in range(rounds):
        asyncio.run(_measure(kind, seconds, profile))
    if profile is not None:
        pstats.Stats(profile).sort_stats("tottime").print_stats(30)


if __name__ == "__main__":
    main()
