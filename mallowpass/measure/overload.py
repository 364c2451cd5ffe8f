"""Measure what is still of use when more is asked than a primary can do."""

from __future__ import annotations

from dataclasses import dataclass

from mallowpass.measure.arrivals import Arrivals
from mallowpass.measure.fleet import MeasuredFleet
from mallowpass.measure.oracle import Oracle
from mallowpass.measure.report import Report, Run, Table
from mallowpass.measure.timing import LoopWatch, Percentiles
from mallowpass.measure.workload import audit, counted

__all__ = ["OverloadRow", "capacity_of", "measure_overload"]

DEADLINE = 2.0  # seconds, of each write


@dataclass(frozen=True, slots=True)
class OverloadRow:
    """Tell of one offered load; rates a second, times in ms."""

    offered: str
    asked: float
    useful: float
    useful_share: float  # of the capacity
    done: int
    not_run: int
    told_when: int
    unknown: int
    done_ms: Percentiles
    refused_ms: Percentiles


def capacity_of(run: Run) -> float:
    """Return how many writes a second a primary can run."""
    assumed = run.deployment.assumptions
    return assumed.concurrent_statements / assumed.service_time


async def measure_overload(run: Run, factors: tuple[float, ...]) -> Report:
    """Offer multiples of one primary's capacity, one after another."""
    capacity = capacity_of(run)
    oracle = Oracle()
    rows, codes = [], []
    watch = LoopWatch()
    async with MeasuredFleet(deployment=run.deployment, seed=run.seed) as fleet:
        database = run.deployment.databases[0]
        watch.start()
        for factor in factors:
            seed = f"{run.seed}/{factor:g}"
            arrivals = Arrivals(fleet, database, seed, DEADLINE, oracle)
            await arrivals.run(factor * capacity, run.duration)
            rows.append(_row(arrivals, factor, capacity, run.duration))
            codes.append(f"{factor:g}x: {counted(arrivals.codes)}")
            audit(fleet, oracle, {database: arrivals.keys})
        machine = watch.stop()
    notes = (
        f"capacity {capacity:g} writes a second at one primary; deadline "
        f"{DEADLINE:g} s; who is refused does not ask again",
        *_compared(rows),
        *codes,
    )
    tables = (Table("writes offered", tuple(rows)),)
    return Report(run, machine, oracle.violations, tables, notes)


def _row(
    arrivals: Arrivals, factor: float, capacity: float, duration: float
) -> OverloadRow:
    return OverloadRow(
        offered=f"{factor:g}x",
        asked=arrivals.asked / duration,
        useful=arrivals.useful / duration,
        useful_share=arrivals.useful / duration / capacity,
        done=arrivals.outcomes["done"],
        not_run=arrivals.outcomes["not-run"],
        told_when=arrivals.told_when,
        unknown=arrivals.outcomes["unknown"],
        done_ms=arrivals.done_latency.percentiles,
        refused_ms=arrivals.refused_latency.percentiles,
    )


def _compared(rows: list[OverloadRow]) -> tuple[str, ...]:
    useful = {row.offered: row.useful for row in rows}
    if not useful.get("1x") or "2x" not in useful:
        return ()
    share = useful["2x"] / useful["1x"]
    return (f"useful work at 2x is {share:.1%} of that at 1x (goal 95%)",)
