"""What a measurement found, as a small table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass, fields
from typing import Any

from mallowpass import __version__
from mallowpass.measure.deployments import Deployment
from mallowpass.measure.oracle import COUNTED, Violations
from mallowpass.measure.timing import Machine, Percentiles

__all__ = ["Report", "Run", "Table", "render", "to_json"]


@dataclass(frozen=True, slots=True)
class Run:
    """Name what was run; two runs of the same line and seed ask the same."""

    command_line: str
    deployment: Deployment
    seed: int
    duration: float
    version: str = __version__


@dataclass(frozen=True, slots=True)
class Table:
    """Hold rows of one frozen data class under a title."""

    title: str
    rows: tuple[Any, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """Hold a measurement's results."""

    run: Run
    machine: Machine
    violations: Violations
    tables: tuple[Table, ...]
    notes: tuple[str, ...] = ()


def to_json(report: Report) -> str:
    """Return everything as one JSON object."""
    return json.dumps(asdict(report), default=str)


def render(report: Report) -> Iterable[str]:
    """Return the lines for a terminal."""
    yield from _heading(report)
    for table in report.tables:
        yield ""
        yield table.title
        yield from _table(table.rows)
    yield ""
    yield from _violations(report.violations)
    yield from (f"note: {note}" for note in report.notes)


def _heading(report: Report) -> Iterable[str]:
    run, machine = report.run, report.machine
    deployment, assumed = run.deployment, run.deployment.assumptions
    yield f"$ {run.command_line}"
    yield (
        f"mallowpass {run.version}  {deployment.name}  seed {run.seed}"
        f"  {run.duration:g} s  {deployment.hosts} hosts"
        f"  {len(deployment.databases)} databases of {deployment.slots} members"
    )
    yield (
        f"assumed: service time {assumed.service_time * 1000:g} ms,"
        f" {assumed.concurrent_statements} statements at once,"
        f" lag median {assumed.lag_median * 1000:g} ms"
        f" p99 {assumed.lag_p99 * 1000:g} ms, log-normal"
    )
    verdict = "SATURATED: not to be trusted" if machine.saturated else "not saturated"
    yield (
        f"loop: {machine.loop_busy:.0%} busy, late by {machine.loop_lag.p50:g} ms p50"
        f" {machine.loop_lag.p99:g} ms p99 {machine.loop_lag.max:g} ms max; {verdict}"
    )


def _violations(violations: Violations) -> Iterable[str]:
    counts = " ".join(f"{name}={getattr(violations, name)}" for name in COUNTED)
    verdict = "VIOLATIONS" if violations.total else "no violation"
    yield f"{verdict}: {counts}"
    for finding in violations.findings:
        yield f"  {finding.kind}: {finding.text}"


def _table(rows: Sequence[Any]) -> Iterable[str]:
    if not rows:
        yield "  (none)"
        return
    cells = [_titles(rows[0]), *(_cells(row) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = (
            cell.ljust(width) if index == 0 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(line, widths, strict=True))
        )
        yield "  " + "  ".join(padded)


def _titles(row: Any) -> list[str]:
    titles = []
    for each in fields(row):
        value = getattr(row, each.name)
        if isinstance(value, Percentiles):
            titles += [f"{each.name} p50", "p90", "p99", "p999", "max"]
        else:
            titles.append(each.name)
    return titles


def _cells(row: Any) -> list[str]:
    cells = []
    for each in fields(row):
        value = getattr(row, each.name)
        if isinstance(value, Percentiles):
            cells += [
                f"{part:.1f}"
                for part in (value.p50, value.p90, value.p99, value.p999, value.max)
            ]
        else:
            cells.append(f"{value:.3f}" if isinstance(value, float) else str(value))
    return cells
