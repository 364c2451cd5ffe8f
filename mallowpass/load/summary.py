"""The end of a run: what callers saw, as data and as lines."""

from __future__ import annotations

import dataclasses
from collections import Counter
from dataclasses import dataclass

from mallowpass.load.mixes import LoadRole
from mallowpass.load.recorder import Counts
from mallowpass.load.run import Load
from mallowpass.measure.oracle import Violations
from mallowpass.measure.timing import Machine, Percentiles
from mallowpass.report.recording import Gap

__all__ = ["RoleSummary", "Summary", "progress_line", "summary_of"]

GAPS_SHOWN = 10
FINDINGS_SHOWN = 20


@dataclass(frozen=True, slots=True)
class RoleSummary:
    """Tell of one role; `latency` counts from when a request was due."""

    role: LoadRole
    outcomes: dict[str, int]
    replica_share: float | None
    latency: Percentiles
    service_time: Percentiles


@dataclass(frozen=True, slots=True)
class Summary:
    """Tell of a whole run; seconds."""

    seed: int
    loop: str
    hosts: int
    seconds: float
    roles: tuple[RoleSummary, ...]
    violations: Violations
    not_audited: tuple[str, ...]
    gaps: tuple[Gap, ...]  # the longest
    codes: dict[str, int]
    moves: dict[str, int]
    repeats: int
    late_steps: int
    machine: Machine

    @property
    def passed(self) -> bool:
        """Tell whether every check ran and held."""
        return not self.violations.total and not self.not_audited

    @property
    def requests(self) -> int:
        """Return how many requests ended."""
        return sum(sum(role.outcomes.values()) for role in self.roles)

    def to_json(self) -> dict[str, object]:
        """Return the summary as JSON's types; kinds and accesses by their value."""
        found = dataclasses.asdict(self) | {"passed": self.passed}
        for role in found["roles"]:
            role["role"]["kind"] = role["role"]["kind"].value
        return found

    def lines(self) -> list[str]:
        """Return the summary for people."""
        return [
            f"{self.requests} requests in {self.seconds:.1f} s, {self.hosts} hosts, "
            f"{self.loop} loop, seed {self.seed}",
            _row("role", "done", "not run", "unknown", "replica", *_COLUMNS),
            *map(_role_line, self.roles),
            *self._fault_lines(),
            *self._violation_lines(),
        ]

    def _fault_lines(self) -> list[str]:
        lines = [f"not done at first: {_counted(self.codes)}"]
        lines.append(
            f"repeats: {self.repeats}; changes of host: {_counted(self.moves)}"
        )
        lines += [
            f"gap {gap.service}/{gap.database}: {gap.seconds:.3f} s"
            for gap in self.gaps[:GAPS_SHOWN]
        ]
        if self.machine.saturated:
            lines.append(
                f"this process was too busy to trust the times: busy "
                f"{self.machine.loop_busy:.0%}, late by p99 "
                f"{self.machine.loop_lag.p99:.1f} ms"
            )
        return lines

    def _violation_lines(self) -> list[str]:
        counts = dataclasses.asdict(self.violations)
        findings = counts.pop("findings")
        told = " ".join(f"{name}={count}" for name, count in counts.items())
        lines = [f"violations: {told}"]
        lines += [
            f"  {each['kind']}: {each['text']}" for each in findings[:FINDINGS_SHOWN]
        ]
        lines += [f"  not audited: {each}" for each in self.not_audited]
        return lines


def summary_of(load: Load, seconds: float, machine: Machine) -> Summary:
    """Return the summary of a run that has ended."""
    options, recorder = load.options, load.recorder
    gaps = sorted(recorder.gaps, key=lambda gap: -gap.seconds)
    return Summary(
        seed=options.seed,
        loop="closed" if options.closed else "open",
        hosts=len(options.hosts),
        seconds=round(seconds, 3),
        roles=tuple(
            _role_summary(role, recorder.roles[role.name]) for role in options.roles
        ),
        violations=load.violations,
        not_audited=tuple(load.not_audited),
        gaps=tuple(gaps),
        codes=dict(recorder.codes),
        moves=dict(load.moves),
        repeats=recorder.repeats,
        late_steps=load.late_steps,
        machine=machine,
    )


def progress_line(load: Load, seconds: float) -> str:
    """Return how a run goes; seconds since its start."""
    recorder = load.recorder
    outcomes: Counter[str] = sum(
        (counts.outcomes for counts in recorder.roles.values()), Counter()
    )
    longest = max((gap.seconds for gap in recorder.gaps), default=0.0)
    return (
        f"event=load-progress seconds={seconds:.0f} "
        f"done={outcomes['done']} not_run={outcomes['not-run']} "
        f"unknown={outcomes['unknown']} repeats={recorder.repeats} "
        f"longest_gap={longest:.2f} violations={load.violations.total}"
    )


# -- Lines -------------------------------------------------------------------

_COLUMNS = ("p50 ms", "p90 ms", "p99 ms", "max ms")


def _row(name: str, *cells: str) -> str:
    return f"{name:18}" + "".join(f"{cell:>10}" for cell in cells)


def _role_line(found: RoleSummary) -> str:
    counts = [
        str(found.outcomes.get(name, 0)) for name in ("done", "not-run", "unknown")
    ]
    share = "" if found.replica_share is None else f"{found.replica_share:.1%}"
    times = found.latency
    shown = (times.p50, times.p90, times.p99, times.max)
    return _row(found.role.name, *counts, share, *(f"{each:.1f}" for each in shown))


def _role_summary(role: LoadRole, counts: Counts) -> RoleSummary:
    share = counts.replica / counts.reads if counts.reads else None
    return RoleSummary(
        role,
        dict(counts.outcomes),
        share,
        counts.latency.percentiles,
        counts.service_time.percentiles,
    )


def _counted(counts: dict[str, int]) -> str:
    return ", ".join(f"{name} {n}" for name, n in sorted(counts.items())) or "none"
