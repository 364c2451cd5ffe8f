"""Measure what the proxy costs over going straight to a member, in one run.

Both ways run in turns in one process, without latencies, lag and service time, so
that only code is compared. Writes through the proxy also wait for a majority.
"""

from __future__ import annotations

import asyncio
import cProfile
import io
import pstats
import time
from collections import defaultdict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace

import grpc

from mallowpass.adapters.client import CallerClient, value_to_wire
from mallowpass.core.calls import Access
from mallowpass.measure.deployments import Deployment, Latencies
from mallowpass.measure.fleet import MeasuredFleet
from mallowpass.measure.oracle import Oracle
from mallowpass.measure.report import Report, Run, Table
from mallowpass.measure.timing import Histogram, LoopWatch, Percentiles
from mallowpass.measure.workload import READ, WRITE
from mallowpass.schema import endpoint_pb2, endpoint_pb2_grpc

__all__ = ["OverheadRow", "measure_overhead"]

ROUNDS = 3  # turns of each way
PROFILE_LINES = 30
# Connections of each member: enough for both ways at once at any number of callers.
CONNECTIONS = 512
KEY = "overhead"

Statement = Callable[[str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class OverheadRow:
    """Compare one kind of statement at one number of callers; times in ms."""

    statements: str
    callers: int
    direct_per_s: float
    proxied_per_s: float
    throughput_ratio: float
    added_p50: float
    direct_ms: Percentiles
    proxied_ms: Percentiles


@dataclass(slots=True)
class _Way:
    """Collect what one way did."""

    count: int = 0
    seconds: float = 0.0
    latency: Histogram = field(default_factory=Histogram)

    @property
    def per_s(self) -> float:
        return self.count / self.seconds if self.seconds else 0.0


async def measure_overhead(
    run: Run, callers: tuple[int, ...] = (1, 16), profile: bool = False
) -> Report:
    """Run reads and writes both ways with each number of callers."""
    deployment = _bare(run.deployment)
    watch, oracle = LoopWatch(), Oracle()
    profiler = cProfile.Profile() if profile else None
    async with MeasuredFleet(deployment=deployment, seed=run.seed) as fleet:
        watch.start()
        rows = [
            await _compare(fleet, oracle, access, count, run.duration, profiler)
            for access in (Access.READ, Access.WRITE)
            for count in callers
        ]
        machine = watch.stop()
    notes = (
        f"closed loop, {ROUNDS} turns each; the loop is meant to be saturated: "
        "ratios count, and the control path of all hosts takes its part; "
        f"{CONNECTIONS} connections, no service time, lag or latency",
        *(_profiled(profiler) if profiler else ()),
    )
    tables = (Table("both ways", tuple(rows)),)
    run = replace(run, deployment=deployment)
    return Report(run, machine, oracle.violations, tables, notes)


def _bare(deployment: Deployment) -> Deployment:
    bare = deployment.limited(databases=1).assuming(
        service_time=0.0,
        concurrent_statements=0,
        within_domain=0.0,
        lag_median=0.0,
        lag_p99=0.0,
    )
    return replace(bare, latencies=Latencies(0.0, 0.0, 0.0), connections=CONNECTIONS)


async def _compare(
    fleet: MeasuredFleet,
    oracle: Oracle,
    access: Access,
    callers: int,
    duration: float,
    profiler: cProfile.Profile | None,
) -> OverheadRow:
    ways: dict[str, _Way] = defaultdict(_Way)
    seconds = duration / ROUNDS
    for _ in range(ROUNDS):
        async with _Direct(fleet, oracle, callers) as direct:
            await _drive(ways["direct"], direct.statements(access), seconds)
        async with _Proxied(fleet, oracle, callers) as proxied:
            if profiler:
                profiler.enable()
            await _drive(ways["proxied"], proxied.statements(access), seconds)
            if profiler:
                profiler.disable()
    direct_ms = ways["direct"].latency.percentiles
    proxied_ms = ways["proxied"].latency.percentiles
    return OverheadRow(
        access.value,
        callers,
        round(ways["direct"].per_s, 1),
        round(ways["proxied"].per_s, 1),
        ways["proxied"].per_s / ways["direct"].per_s,
        round(proxied_ms.p50 - direct_ms.p50, 3),
        direct_ms,
        proxied_ms,
    )


async def _drive(way: _Way, statements: list[Statement], seconds: float) -> None:
    began = time.monotonic()
    end = began + seconds
    await asyncio.gather(
        *(_repeat(way, run, f"{index}", end) for index, run in enumerate(statements))
    )
    way.seconds += time.monotonic() - began


async def _repeat(way: _Way, run: Statement, name: str, end: float) -> None:
    number = 0
    while (at := time.monotonic()) < end:
        number += 1
        await run(f"{name}/{number}")
        way.latency.record(time.monotonic() - at)
        way.count += 1


def _check(oracle: Oracle, answered: tuple, asked: tuple) -> None:
    if not oracle.answered(asked, answered):
        raise RuntimeError(f"asked {asked}, answered {answered}")


class _Direct:
    """Run statements on connections straight to the primary, one for a caller."""

    def __init__(self, fleet: MeasuredFleet, oracle: Oracle, callers: int) -> None:
        database = fleet.deployment.databases[0]
        primary = fleet.primary(database)
        self._oracle = oracle
        self._callers = callers
        self._term = primary.term
        self._address = fleet.standins.address(database, primary.name)
        self._channel: grpc.aio.Channel | None = None
        self._streams: list = []

    async def __aenter__(self) -> _Direct:
        self._channel = grpc.aio.insecure_channel(self._address)
        stub = endpoint_pb2_grpc.EndpointStub(self._channel)
        for _ in range(self._callers):
            stream = stub.Connect()
            hello = endpoint_pb2.EndpointCall(hello=endpoint_pb2.Hello())
            await stream.write(hello)
            reply = await stream.read()
            if reply.code != endpoint_pb2.OK:
                raise RuntimeError(f"no connection: {reply.message}")
            self._streams.append(stream)
        return self

    async def __aexit__(self, *_error: object) -> None:
        for stream in self._streams:
            stream.cancel()
        await self._channel.close()

    def statements(self, access: Access) -> list[Statement]:
        """Return one function for each connection."""

        def of(stream) -> Statement:
            async def run(nonce: str) -> None:
                await self._run(stream, access, nonce)

            return run

        return [of(stream) for stream in self._streams]

    async def _run(self, stream, access: Access, nonce: str) -> None:
        write = access is Access.WRITE
        values = (nonce, KEY, 1) if write else (nonce, KEY)
        execute = endpoint_pb2.Execute(
            sql=WRITE if write else READ,
            parameters=map(value_to_wire, values),
            write=write,
            term=self._term if write else 0,
        )
        await stream.write(endpoint_pb2.EndpointCall(execute=execute))
        reply = await stream.read()
        if reply.code != endpoint_pb2.OK:
            raise RuntimeError(f"refused: {reply.message}")
        row = reply.rows.rows[0].values
        _check(self._oracle, (row[0].text, row[1].text), (nonce, KEY))


class _Proxied:
    """Run statements through one host, a session for each caller."""

    def __init__(self, fleet: MeasuredFleet, oracle: Oracle, callers: int) -> None:
        deployment = fleet.deployment
        host = fleet.host_names[0]
        self._oracle = oracle
        self._database = deployment.databases[0]
        self._clients = [
            fleet.caller(host, deployment.service, f"caller-{number}")
            for number in range(callers)
        ]

    async def __aenter__(self) -> _Proxied:
        await asyncio.gather(*(client.open() for client in self._clients))
        for client in self._clients:
            await self._run(client, Access.READ, "first")
        return self

    async def __aexit__(self, *_error: object) -> None:
        await asyncio.gather(*(client.close() for client in self._clients))

    def statements(self, access: Access) -> list[Statement]:
        """Return one function for each session."""

        def of(client: CallerClient) -> Statement:
            async def run(nonce: str) -> None:
                await self._run(client, access, nonce)

            return run

        return [of(client) for client in self._clients]

    async def _run(self, client: CallerClient, access: Access, nonce: str) -> None:
        write = access is Access.WRITE
        values = (nonce, KEY, 1) if write else (nonce, KEY)
        sql = WRITE if write else READ
        answer = await client.execute(self._database, sql, values, access=access)
        if not answer.done:
            raise RuntimeError(f"not done: {answer}")
        _check(self._oracle, answer.rows[0][:2], (nonce, KEY))


def _profiled(profiler: cProfile.Profile) -> list[str]:
    text = io.StringIO()
    stats = pstats.Stats(profiler, stream=text).strip_dirs()
    stats.sort_stats("tottime").print_stats(PROFILE_LINES)
    lines = text.getvalue().splitlines()
    return ["where the proxied way's time goes, both ends included:", *lines]
