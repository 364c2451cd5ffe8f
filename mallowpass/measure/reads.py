"""Measure the share of reads that replicas serve, stale reads, and latencies."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from mallowpass.measure.baselines import BASELINES
from mallowpass.measure.fleet import MeasuredFleet
from mallowpass.measure.report import Report, Run, Table
from mallowpass.measure.timing import Histogram, LoopWatch, Percentiles
from mallowpass.measure.workload import ROLES, STRICT, Role, Workload, counted, scaled
from mallowpass.standins.member import Member

__all__ = ["LagWatch", "ReadRow", "WriteRow", "measure_reads"]

LAG_INTERVAL = 0.01  # seconds


@dataclass(frozen=True, slots=True)
class ReadRow:
    """Tell of one kind of read; shares are of the answered, times in ms."""

    reads: str
    answered: int
    failed: int
    replica_share: float
    possible_share: float
    latency: Percentiles


@dataclass(frozen=True, slots=True)
class WriteRow:
    """Tell of writes; times in ms."""

    writes: str
    count: int
    latency: Percentiles


@dataclass(frozen=True, slots=True)
class LagRow:
    """Tell how far replicas were behind their primary; times in ms."""

    lag: str
    behind: Percentiles


async def measure_reads(
    run: Run,
    baseline: str = "",
    load: float = 1.0,
    strict: bool = False,
    roles: tuple[Role, ...] = (),
) -> Report:
    """Run a deployment's callers."""
    systems = BASELINES[baseline] if baseline else None
    roles = scaled(roles or ROLES[run.deployment.name], load)
    roles += (STRICT,) if strict else ()
    fleet = MeasuredFleet(deployment=run.deployment, seed=run.seed, systems=systems)
    async with fleet:
        workload = Workload(fleet, roles, run.seed, run.duration)
        watch, lags = LoopWatch(), LagWatch(fleet)
        watch.start()
        lags.start()
        await workload.run()
        lags.stop()
        machine = watch.stop()
        workload.audit()
    return Report(
        run,
        machine,
        workload.oracle.violations,
        (
            Table("reads", _read_rows(workload)),
            Table("writes", _write_rows(workload)),
            Table("replicas", (LagRow("all", lags.percentiles),)),
        ),
        _notes(workload, baseline),
    )


def _read_rows(workload: Workload) -> tuple[ReadRow, ...]:
    return tuple(
        ReadRow(
            name,
            counts.answered,
            counts.failed,
            counts.replica / max(1, counts.answered),
            counts.possible / max(1, counts.answered),
            counts.latency.percentiles,
        )
        for name, counts in sorted(workload.reads.items())
    )


def _write_rows(workload: Workload) -> tuple[WriteRow, ...]:
    percentiles = workload.writes.percentiles
    return (WriteRow("all", percentiles.count, percentiles),)


def _notes(workload: Workload, baseline: str) -> tuple[str, ...]:
    thinking = next(role for role in workload.roles if role.think)
    return (
        f"routing: {baseline or 'mallowpass'}",
        f"think time before own writes are read back: log-normal, median "
        f"{thinking.think:g} s, p99 {thinking.think_p99:g} s ({thinking.name})",
        "possible: when the read was asked some replica had what it needed",
        f"write outcomes {counted(workload.write_outcomes)}; "
        f"not done {counted(workload.codes)}",
    )


# -- Lag ---------------------------------------------------------------------


@dataclass(slots=True)
class LagWatch:
    """Measure how far replicas are behind, which is more than a drawn lag.

    Entries are applied in order, so one that draws a long lag holds up all that
    follow it.
    """

    fleet: MeasuredFleet
    _lags: Histogram = field(default_factory=Histogram)
    _ends: dict[str, deque[tuple[float, tuple]]] = field(default_factory=dict)
    _task: asyncio.Task[None] | None = None

    @property
    def percentiles(self) -> Percentiles:
        """Return how far behind replicas were."""
        return self._lags.percentiles

    def start(self) -> None:
        """Begin to watch."""
        self._task = asyncio.get_running_loop().create_task(self._watch())

    def stop(self) -> None:
        """End the watch."""
        assert self._task is not None
        self._task.cancel()

    async def _watch(self) -> None:
        while True:
            now = time.monotonic()
            for group in self.fleet.groups:
                self._look(group.name, now)
            await asyncio.sleep(LAG_INTERVAL)

    def _look(self, database: str, now: float) -> None:
        members = self.fleet.members(database).values()
        primary = max(members, key=lambda member: member.log.end)
        ends = self._ends.setdefault(database, deque())
        if not ends or ends[-1][1] != primary.log.end:
            ends.append((now, primary.log.end))
        replicas = [member for member in members if member is not primary]
        for replica in replicas:
            self._lags.record(self._behind(replica, ends, now))
        self._forget(ends, min(replica.applied for replica in replicas))

    def _behind(self, replica: Member, ends: deque, now: float) -> float:
        missing = next((at for at, end in ends if end > replica.applied), now)
        return now - missing

    def _forget(self, ends: deque, applied: tuple) -> None:
        while len(ends) > 1 and ends[0][1] <= applied:
            ends.popleft()
