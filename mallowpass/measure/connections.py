"""Measure how many callers share how few connections, and what they wait."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from mallowpass.measure.fleet import MeasuredFleet
from mallowpass.measure.report import Report, Run, Table
from mallowpass.measure.timing import LoopWatch, Percentiles, percentiles_of
from mallowpass.measure.workload import Kind, Role, Workload, counted

__all__ = ["ConnectionRow", "LatencyRow", "measure_connections"]

LOOK_INTERVAL = 0.005  # seconds
UTILIZATION = 0.5  # of a primary's statements at once
READ_AGE = 5.0  # seconds


@dataclass(frozen=True, slots=True)
class ConnectionRow:
    """Tell of one member, as its stand-in counts."""

    member: str
    limit: int
    most_used: int
    mean_used: float
    callers_per_connection: float  # of those used at once at most


@dataclass(frozen=True, slots=True)
class LatencyRow:
    """Compare times with what the database itself needs; ms."""

    what: str
    count: int
    explained: float  # service time and the longest way
    time: Percentiles


async def measure_connections(run: Run, callers_per_connection: float) -> Report:
    """Run so many callers for each connection of one database's members."""
    deployment = run.deployment
    callers = round(callers_per_connection * deployment.connections)
    roles = _roles(run, callers)
    watch = LoopWatch()
    async with MeasuredFleet(deployment=deployment, seed=run.seed) as fleet:
        workload = Workload(fleet, roles, run.seed, run.duration)
        used = _Used(fleet, deployment.databases[0])
        watch.start()
        used.start()
        await workload.run()
        used.stop()
        machine = watch.stop()
        workload.audit()
        waits = [wait for host in fleet.hosts.values() for wait in host.queue_seconds]
        refused = fleet.connections_refused
    tables = (
        Table("connections", used.rows(callers)),
        Table("times", _latency_rows(run, workload, waits)),
    )
    notes = (
        f"{callers} callers, half of them write; primary at {UTILIZATION:.0%} of "
        f"its statements at once",
        f"connections refused as over the limit: {refused}",
        f"not done: {counted(workload.codes)}",
    )
    return Report(run, machine, workload.oracle.violations, tables, notes)


def _roles(run: Run, callers: int) -> tuple[Role, ...]:
    assumed = run.deployment.assumptions
    rate = UTILIZATION * assumed.concurrent_statements / assumed.service_time
    period = callers / 2 / rate
    return (
        Role("writers", Kind.WRITER, 0, callers // 2, period),
        Role(
            "readers",
            Kind.READER,
            0,
            callers - callers // 2,
            period,
            f"age {READ_AGE:g} s",
            accepted_age=READ_AGE,
        ),
    )


def _latency_rows(
    run: Run, workload: Workload, waits: list[float]
) -> tuple[LatencyRow, ...]:
    explained = _explained(run)
    reads = [
        LatencyRow(
            f"reads {name}", counts.answered, explained, counts.latency.percentiles
        )
        for name, counts in workload.reads.items()
    ]
    writes, waited = workload.writes.percentiles, percentiles_of(waits)
    return (
        LatencyRow("writes", writes.count, explained, writes),
        *reads,
        LatencyRow("waits for a connection", waited.count, 0.0, waited),
    )


def _explained(run: Run) -> float:
    latencies = run.deployment.latencies
    ways = 2 * (latencies.client + latencies.between_regions)
    return round((run.deployment.assumptions.service_time + ways) * 1000, 3)


@dataclass(slots=True)
class _Used:
    """Look at the stand-ins' own counts of connections."""

    fleet: MeasuredFleet
    database: str
    _seen: dict[str, list[int]] = field(default_factory=dict)
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._watch())

    def stop(self) -> None:
        assert self._task is not None
        self._task.cancel()

    def rows(self, callers: int) -> tuple[ConnectionRow, ...]:
        return tuple(
            ConnectionRow(
                member,
                self.fleet.deployment.connections,
                max(seen),
                round(sum(seen) / len(seen), 1),
                callers / max(1, max(seen)),
            )
            for member, seen in self._seen.items()
        )

    async def _watch(self) -> None:
        while True:
            for member in self.fleet.members(self.database):
                endpoint = self.fleet.standins.endpoint(self.database, member)
                self._seen.setdefault(member, []).append(endpoint.connections)
            await asyncio.sleep(LOOK_INTERVAL)
