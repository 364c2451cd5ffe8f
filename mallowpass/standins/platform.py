"""The platform's table service, object store and host list, in memory."""

from __future__ import annotations

import asyncio
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import grpc

from mallowpass.schema import platform_pb2, platform_pb2_grpc

__all__ = ["HostList", "PlatformFaults", "PlatformServer", "RateLimit", "Tables"]

READS_PER_S = 2000
WRITES_PER_S = 300
SCAN_LIMIT = 1000
HOST_FORGOTTEN_S = 10.0

Clock = Callable[[], float]


class Tables:
    """Hold rows with versions; each table keeps its rows in the order of change."""

    __slots__ = ("_change", "_tables")

    def __init__(self) -> None:
        self._change = 0
        self._tables: dict[str, OrderedDict[str, _ChangedRow]] = {}

    def read(self, table: str, key: str) -> platform_pb2.TableRow | None:
        changed = self._tables.get(table, {}).get(key)
        return changed and changed.row

    def write(self, call: platform_pb2.WriteRow) -> platform_pb2.WriteAnswer:
        """Write a row when its version is the expected one."""
        current = self.read(call.table, call.key)
        if not _expected(current, call.expected_version):
            return platform_pb2.WriteAnswer(current=current)
        version = current.version + 1 if current else 1
        row = platform_pb2.TableRow(
            table=call.table,
            key=call.key,
            version=version,
            value=b"" if call.delete else call.value,
            deleted=call.delete,
        )
        self._put(row)
        return platform_pb2.WriteAnswer(written=True, current=row)

    def scan(self, table: str, after: int, limit: int) -> platform_pb2.ScanAnswer:
        """Return rows changed after a change number, the oldest change first."""
        limit = min(limit or SCAN_LIMIT, SCAN_LIMIT)
        changed = []
        for row in reversed(self._tables.get(table, {}).values()):
            if row.change <= after:
                break
            changed.append(row)
        part = changed[::-1][:limit]
        more = len(changed) > limit
        return platform_pb2.ScanAnswer(
            rows=[row.row for row in part],
            change=part[-1].change if more else self._change,
            more=more,
        )

    def _put(self, row: platform_pb2.TableRow) -> None:
        self._change += 1
        rows = self._tables.setdefault(row.table, OrderedDict())
        rows[row.key] = _ChangedRow(self._change, row)
        rows.move_to_end(row.key)


@dataclass(frozen=True, slots=True)
class _ChangedRow:
    change: int
    row: platform_pb2.TableRow


def _expected(current: platform_pb2.TableRow | None, version: int) -> bool:
    if current is None:
        return version == 0
    return version == current.version or (version == 0 and current.deleted)


class HostList:
    """List the hosts as they were `lag_s` ago, without those not heard of."""

    __slots__ = ("_clock", "_heard", "lag_s")

    def __init__(self, lag_s: float, clock: Clock) -> None:
        self.lag_s = lag_s
        self._clock = clock
        self._heard: dict[str, list[tuple[float, platform_pb2.ListedHost]]] = {}

    def register(self, host: platform_pb2.ListedHost) -> None:
        heard = self._heard.setdefault(host.name, [])
        heard.append((self._clock(), host))
        oldest = self._clock() - self.lag_s
        while len(heard) > 1 and heard[1][0] <= oldest:
            del heard[0]

    def hosts(self) -> list[platform_pb2.ListedHost]:
        then = self._clock() - self.lag_s
        known = (self._known(heard, then) for heard in self._heard.values())
        return [host for host in known if host is not None]

    def _known(self, heard, then: float) -> platform_pb2.ListedHost | None:
        for at, host in reversed(heard):
            if at <= then:
                return host if then - at <= HOST_FORGOTTEN_S else None
        return None


class RateLimit:
    """Count calls in each second and refuse those above a limit."""

    __slots__ = ("_clock", "_in_second", "_limit", "_second", "total")

    def __init__(self, limit: int, clock: Clock) -> None:
        self._limit = limit
        self._clock = clock
        self._second = -1
        self._in_second = 0
        self.total = 0

    def take(self) -> bool:
        second = int(self._clock())
        if second != self._second:
            self._second, self._in_second = second, 0
        self._in_second += 1
        self.total += 1
        return self._in_second <= self._limit


@dataclass(slots=True)
class PlatformFaults:
    """Hold the faults that are set on the platform."""

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_answer_share: float = 0.0
    random: Random = field(default_factory=lambda: Random(0))

    def loses_answer(self) -> bool:
        if self.lose_answers:
            self.lose_answers -= 1
            return True
        return self.random.random() < self.lose_answer_share


class PlatformServer(platform_pb2_grpc.PlatformServicer):
    """Serve the platform's calls with its limits and faults."""

    def __init__(
        self,
        host_list_lag_s: float = 0.0,
        latency_s: float = 0.0,
        clock: Clock = time.monotonic,
    ) -> None:
        self._latency_s = latency_s
        self.faults = PlatformFaults()
        self.tables = Tables()
        self.objects: dict[str, bytes] = {}
        self.host_list = HostList(host_list_lag_s, clock)
        self.reads = RateLimit(READS_PER_S, clock)
        self.writes = RateLimit(WRITES_PER_S, clock)

    async def Read(self, call, context) -> platform_pb2.RowAnswer:
        await self._enter(context, self.reads)
        row = self.tables.read(call.table, call.key)
        # The row of a deleted key still tells the version that a write must expect.
        found = row is not None and not row.deleted
        return platform_pb2.RowAnswer(found=found, row=row)

    async def Scan(self, call, context) -> platform_pb2.ScanAnswer:
        await self._enter(context, self.reads)
        return self.tables.scan(call.table, call.after_change, call.limit)

    async def Write(self, call, context) -> platform_pb2.WriteAnswer:
        await self._enter(context, self.writes)
        answer = self.tables.write(call)
        await self._lose_answer(context)
        return answer

    async def PutObject(self, call, context) -> platform_pb2.PutObjectAnswer:
        await self._enter(context, self.writes)
        self.objects[call.name] = call.value
        await self._lose_answer(context)
        return platform_pb2.PutObjectAnswer()

    async def GetObject(self, call, context) -> platform_pb2.GetObjectAnswer:
        await self._enter(context, self.reads)
        value = self.objects.get(call.name)
        return platform_pb2.GetObjectAnswer(found=value is not None, value=value or b"")

    async def ListHosts(self, call, context) -> platform_pb2.ListHostsAnswer:
        await self._enter(context)
        return platform_pb2.ListHostsAnswer(hosts=self.host_list.hosts())

    async def RegisterHost(self, call, context) -> platform_pb2.RegisterHostAnswer:
        await self._enter(context)
        self.host_list.register(call.host)
        return platform_pb2.RegisterHostAnswer()

    async def _enter(self, context, limit: RateLimit | None = None) -> None:
        await asyncio.sleep(self._latency_s + self.faults.slow_s)
        if self.faults.down:
            await context.abort(grpc.StatusCode.UNAVAILABLE, "down")
        if limit is not None and not limit.take():
            message = "too many calls in this second"
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, message)

    async def _lose_answer(self, context) -> None:
        if self.faults.loses_answer():
            await context.abort(grpc.StatusCode.UNAVAILABLE, "answer lost")
