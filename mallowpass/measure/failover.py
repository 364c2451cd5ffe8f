"""Measure how long writes stop when a primary fails, and what became of them."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from mallowpass.measure.fleet import MeasuredFleet, until
from mallowpass.measure.report import Report, Run, Table
from mallowpass.measure.timing import LoopWatch, Percentiles, percentiles_of
from mallowpass.measure.workload import Kind, Role, Session, Workload, audit, counted
from mallowpass.standins.platform import PlatformFaults

__all__ = ["FAULTS", "FailureRun", "GapRow", "measure_failover"]

SESSIONS = 4
PERIOD = 0.15  # seconds between one session's writes
JITTER = 0.5  # of the period; bounded, since a long pause would count as a gap
WARM_UP = 0.6  # seconds of writes before a fault
RESUME_LIMIT = 30.0
SETTLE_LIMIT = 30.0
SLOW_SHOWN = 60  # decisions of the slowest run
# Noise.
PAUSE = 0.3
PAUSE_INTERVAL = 2.0
PROBE_LOSS = 0.01
LAG_SPIKE = 5.0  # times the ordinary lag


@dataclass(frozen=True, slots=True)
class FailureRun:
    """Tell of one failure of a primary; seconds."""

    database: str
    gap: float
    from_fault: float
    session_gaps: tuple[float, ...]
    terms: int  # promotions until it settled
    settled: float | None  # from repair until all agree; None: never


@dataclass(frozen=True, slots=True)
class GapRow:
    """Tell of the gaps of all runs; ms."""

    what: str
    count: int
    time: Percentiles


@dataclass(frozen=True, slots=True)
class RunsRow:
    """Count what the runs came to."""

    runs: int
    without_promotion: int
    several_promotions: int
    not_resumed: int
    not_settled: int
    noise_seconds: float
    false_promotions: int


async def measure_failover(
    run: Run, fault: str, runs: int, platform_down: bool = False, noise: float = 5.0
) -> Report:
    """Fail one primary after another while sessions write."""
    watch = LoopWatch()
    async with MeasuredFleet(deployment=run.deployment, seed=run.seed) as fleet:
        workload = Workload(fleet, (), run.seed, float("inf"))
        watch.start()
        if platform_down:
            fleet.standins.platform.faults = PlatformFaults(down=True)
        false_promotions = await _noise(fleet, run.seed, noise)
        trials = [
            await _Trial(fleet, workload, fault, number).run() for number in range(runs)
        ]
        machine = watch.stop()
        audit(fleet, workload.oracle, workload.keys)
        decisions = _slowest(trials)
    done = [trial.result for trial in trials if trial.result is not None]
    counts = RunsRow(
        runs=runs,
        without_promotion=sum(each.terms == 0 for each in done),
        several_promotions=sum(each.terms > 1 for each in done),
        not_resumed=len(trials) - len(done),
        not_settled=sum(each.settled is None for each in done),
        noise_seconds=noise,
        false_promotions=false_promotions,
    )
    notes = (
        f"fault {fault}, platform {'down' if platform_down else 'up'}; {SESSIONS} "
        f"sessions write {PERIOD:g} s after their last answer on average, so that a "
        f"session's gap holds up to {PERIOD * (1 + JITTER):g} s that is no outage",
        f"write outcomes {counted(workload.write_outcomes)}; "
        f"not done: {counted(workload.codes)}",
        *decisions,
    )
    tables = (Table("gaps", _gap_rows(done)), Table("runs", (counts,)))
    return Report(run, machine, workload.oracle.violations, tables, notes)


def _gap_rows(done: list[FailureRun]) -> tuple[GapRow, ...]:
    session_gaps = [gap for each in done for gap in each.session_gaps]
    settled = [each.settled for each in done if each.settled is not None]
    named = (
        ("last write to first, database", [each.gap for each in done]),
        ("fault to the end of that gap", [each.from_fault for each in done]),
        ("last write to first, session", session_gaps),
        ("repair until all agree", settled),
    )
    return tuple(
        GapRow(what, len(times), percentiles_of(times)) for what, times in named
    )


# -- One failure -------------------------------------------------------------


class _Trial:
    """Write to one database, fail its primary, wait until writes run, repair it."""

    def __init__(
        self, fleet: MeasuredFleet, workload: Workload, fault: str, number: int
    ) -> None:
        databases = fleet.deployment.databases
        self.result: FailureRun | None = None
        self.number = number
        self._fleet = fleet
        self._work = workload
        self._fault = FAULTS[fault]
        self._index = number % len(databases)
        self._database = databases[self._index]
        self._primary = ""
        self._fault_at = 0.0
        self._ended_at = float("inf")
        self._stopped = False
        self._asked: dict[str, float] = {}  # of the newest answered, by session

    async def run(self) -> _Trial:
        """Run it; without a result when writes never ran again."""
        await self._wait_for_hold_down()
        role = Role(f"run-{self.number}", Kind.WRITER, self._index, SESSIONS, PERIOD)
        sessions = [Session(self._work, role, number) for number in range(SESSIONS)]
        await asyncio.gather(*(session.open() for session in sessions))
        writing = [asyncio.create_task(self._write(session)) for session in sessions]
        await asyncio.sleep(WARM_UP)
        term = self._fail()
        resumed = await self._holds(self._all_resumed, RESUME_LIMIT)
        self._stopped = True
        await asyncio.gather(*writing)
        settled = await self._repair()
        self._ended_at = time.monotonic()
        await asyncio.gather(*(session.close() for session in sessions))
        if resumed:
            terms = self._fleet.primary(self._database).term - term
            self.result = self._result(sessions, terms, settled)
        return self

    def decisions(self) -> list[str]:
        """Return what hosts decided from the fault to the run's end."""
        subjects = {f"{self._fleet.deployment.service}/{self._database}"}
        for member in self._fleet.members(self._database):
            subjects.add(self._fleet.standins.address(self._database, member))
        found = sorted(
            (
                decision
                for host in self._fleet.hosts.values()
                for decision in host.node.journal
                if self._fault_at <= decision.at <= self._ended_at
                and decision.subject in subjects
            ),
            key=lambda decision: decision.at,
        )
        return [
            f"  +{(each.at - self._fault_at) * 1000:.0f} ms {each.host} "
            f"{each.kind} {each.subject}: {each.text}"
            for each in found[:SLOW_SHOWN]
        ]

    async def _wait_for_hold_down(self) -> None:
        rows = self._fleet.rows(self._database)
        hold_down = next(iter(self._fleet.hosts.values())).node.tuning
        again_at = hold_down.promotion_hold_down + max(
            row.last_promotion_at for row in rows
        )
        await asyncio.sleep(max(0.0, again_at - time.monotonic()))

    async def _write(self, session: Session) -> None:
        random = Random(f"{self._work.seed}/{session.name}")
        while not self._stopped:
            await asyncio.sleep(PERIOD * random.uniform(1 - JITTER, 1 + JITTER))
            asked_at = time.monotonic()
            await session.write(asked_at)
            self._asked[session.name] = asked_at

    def _fail(self) -> int:
        primary = self._fleet.primary(self._database)
        self._primary = primary.name
        self._fault_at = time.monotonic()
        self._fault.begin(self._fleet, self._database, primary.name)
        return primary.term

    def _all_resumed(self) -> bool:
        times = self._acknowledged()
        return len(times) == SESSIONS and all(
            _first_after(each, self._fault_at) is not None
            and self._asked.get(name, 0.0) > self._fault_at
            for name, each in times.items()
        )

    async def _repair(self) -> float | None:
        began = time.monotonic()
        self._fault.end(self._fleet, self._database, self._primary)
        settled = await self._holds(
            lambda: self._fleet.settled(self._database), SETTLE_LIMIT
        )
        return time.monotonic() - began if settled else None

    async def _holds(self, condition: Callable[[], bool], limit: float) -> bool:
        try:
            await until(condition, limit)
        except TimeoutError:
            return False
        return True

    def _acknowledged(self) -> dict[str, list[float]]:
        times: dict[str, list[float]] = {}
        for at, name in self._work.acknowledged[self._database]:
            if name.startswith(f"run-{self.number}-"):
                times.setdefault(name, []).append(at)
        return times

    def _result(
        self, sessions: list[Session], terms: int, settled: float | None
    ) -> FailureRun:
        by_session = self._acknowledged()
        together = sorted(at for times in by_session.values() for at in times)
        gap = _gap(together, self._fault_at)
        return FailureRun(
            self._database,
            gap,
            self._resumed_at(together) - self._fault_at,
            tuple(_gap(times, self._fault_at) for times in by_session.values()),
            terms,
            settled,
        )

    def _resumed_at(self, times: list[float]) -> float:
        """Return the end of the longest gap: what ran before is answered still."""
        pairs = zip(times, times[1:], strict=False)
        gaps = ((later - at, later) for at, later in pairs if later > self._fault_at)
        return max(gaps)[1]


def _gap(times: list[float], since: float) -> float:
    """Return the longest time without an acknowledgement that ends later."""
    pairs = zip(times, times[1:], strict=False)
    gaps = [later - at for at, later in pairs if later > since]
    return max(gaps, default=0.0)


def _first_after(times: list[float], at: float) -> float | None:
    return next((each for each in times if each > at), None)


def _slowest(trials: list[_Trial]) -> list[str]:
    done = [trial for trial in trials if trial.result is not None]
    if not done:
        return []
    slowest = max(done, key=lambda trial: trial.result.gap)
    heading = (
        f"decisions of the slowest run, {slowest.result.database}, "
        f"{slowest.result.gap * 1000:.0f} ms:"
    )
    return [heading, *slowest.decisions()]


# -- Faults ------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class _Fault:
    begin: Callable[[MeasuredFleet, str, str], None]
    end: Callable[[MeasuredFleet, str, str], None]


def _crash(fleet: MeasuredFleet, database: str, member: str) -> None:
    fleet.standins.crash(database, member)


def _recover(fleet: MeasuredFleet, database: str, member: str) -> None:
    fleet.standins.recover(database, member)


def _cut_off(fleet: MeasuredFleet, database: str, member: str) -> None:
    others = set(fleet.members(database)) - {member}
    fleet.standins.cut_off(database, member, others, hosts=True)


def _connect_again(fleet: MeasuredFleet, database: str, member: str) -> None:
    fleet.standins.cut_off(database, member)


def _silence(fleet: MeasuredFleet, database: str, member: str) -> None:
    fleet.standins.silence_open_streams(database, member)


def _nothing(_fleet: MeasuredFleet, _database: str, _member: str) -> None:
    """Streams that are silent stay so until they are replaced."""


def _pause(fleet: MeasuredFleet, database: str, member: str) -> None:
    fleet.standins.pause(database, member)


def _resume(fleet: MeasuredFleet, database: str, member: str) -> None:
    fleet.standins.resume(database, member)


FAULTS = {
    "crash": _Fault(_crash, _recover),
    "cut-off": _Fault(_cut_off, _connect_again),
    "silent": _Fault(_silence, _nothing),
    "pause": _Fault(_pause, _resume),
}


# -- Noise -------------------------------------------------------------------


@dataclass(slots=True)
class _Noise:
    """Pause members, lose probes and let replicas fall behind, as is ordinary."""

    fleet: MeasuredFleet
    random: Random
    pauses: Counter[str] = field(default_factory=Counter)

    async def run(self, duration: float) -> None:
        end = time.monotonic() + duration
        for database, member in self.fleet.standins.members:
            self.fleet.standins.lose_probes(database, member, PROBE_LOSS)
        while time.monotonic() < end:
            await self._disturb(*self.random.choice(self.fleet.standins.members))
        for database, member in self.fleet.standins.members:
            self.fleet.standins.lose_probes(database, member, 0.0)

    async def _disturb(self, database: str, member: str) -> None:
        standins, assumed = self.fleet.standins, self.fleet.deployment.assumptions
        lagging = self.random.choice(list(self.fleet.members(database)))
        spike = assumed.lag_median * LAG_SPIKE, assumed.lag_p99 * LAG_SPIKE
        standins.set_lag(database, lagging, *spike)
        standins.pause(database, member)
        await asyncio.sleep(PAUSE)
        standins.resume(database, member)
        await asyncio.sleep(PAUSE_INTERVAL - PAUSE)
        standins.set_lag(database, lagging, assumed.lag_median, assumed.lag_p99)


async def _noise(fleet: MeasuredFleet, seed: int, duration: float) -> int:
    """Return how many promotions the noise caused."""
    databases = fleet.deployment.databases
    before = sum(fleet.primary(database).term for database in databases)
    await _Noise(fleet, Random(f"{seed}/noise")).run(duration)
    for database in databases:
        await until(lambda database=database: fleet.settled(database), SETTLE_LIMIT)
    return sum(fleet.primary(database).term for database in databases) - before
