"""The main job in one process: claims are filed and read while a primary fails.

Every claim carries a number of its own, so that one that is lost, stale or filed
twice shows in the database at the end.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from mallowpass.adapters.client import Answer, CallerClient
from mallowpass.core.calls import Access, Outcome
from mallowpass.core.services import database_key
from mallowpass.embedded import EmbeddedFleet, Place
from mallowpass.standins.group import GroupSpec

__all__ = ["DemoReport", "run_demo"]

SERVICE = "claims-core"
DATABASE = "claims"
PLACES = (
    Place("casa-ainsebaa", "casablanca", 1),
    Place("tanger-ksar", "tanger", 1),
    Place("agadir-anza", "agadir", 1),
)
FILING_HOST, READING_HOST = "casa-ainsebaa-0", "tanger-ksar-0"
GROUP = GroupSpec(
    name=DATABASE,
    members=("member-casa", "member-tanger", "member-agadir"),
    connection_limit=20,
    setup_time_s=0.012,
    service_time_s=0.001,
    lag_median_s=0.05,
    lag_p99_s=1.0,
    transport_delay_s=0.012,
)
ACCEPTED_AGE = 2.0  # seconds, for reads that declare no own
CALLERS = 6
CLAIMS_BEFORE = 40  # of each caller
CLAIMS_AFTER = 40
DEADLINE = 10.0  # seconds, of each request
RESUME_LIMIT = 30.0  # seconds until the demo gives the fleet up

_CREATE = "CREATE TABLE claims (number TEXT, caller TEXT)"
_FILE = "INSERT INTO claims VALUES (?, ?)"
_FIND = "SELECT count(*) FROM claims WHERE number = ?"
_LIST = "SELECT number, count(*) FROM claims GROUP BY number"


@dataclass(slots=True)
class DemoReport:
    """Collect what happened; `checks` maps what was checked to whether it held."""

    outcomes: Counter[str] = field(default_factory=Counter)
    reads: int = 0
    replica_reads: int = 0
    own_replica_reads: int = 0
    stale_reads: int = 0
    filed: set[str] = field(default_factory=set)
    not_run: set[str] = field(default_factory=set)
    acknowledged_at: list[float] = field(default_factory=list)
    killed_at: float = 0.0
    old_primary: str = ""
    new_primary: str = ""
    term: int = 0
    checks: dict[str, bool] = field(default_factory=dict)

    @property
    def failover_gap(self) -> float:
        """Return the longest time without an acknowledged write from the kill on, s.

        Writes that ran before the kill are still acknowledged after it, so the
        time of the kill does not part the writes before from the writes after.
        """
        times = sorted(self.acknowledged_at)
        pairs = zip(times, times[1:], strict=False)
        gaps = [later - at for at, later in pairs if later > self.killed_at]
        return max(gaps, default=float("inf"))

    @property
    def replica_share(self) -> float:
        """Return the share of reads that replicas served."""
        return self.replica_reads / self.reads if self.reads else 0.0

    @property
    def passed(self) -> bool:
        """Tell whether every check held."""
        return bool(self.checks) and all(self.checks.values())

    def lines(self) -> list[str]:
        """Return the report for a terminal."""
        outcomes = ", ".join(f"{name} {n}" for name, n in sorted(self.outcomes.items()))
        lines = [
            f"claims filed            {len(self.filed)}",
            f"outcomes                {outcomes}",
            f"reads by replicas       {self.replica_reads} of {self.reads}"
            f" ({self.replica_share:.1%})",
            f"primary killed          {self.old_primary}, then {self.new_primary}"
            f" in term {self.term}",
            f"failover gap            {self.failover_gap * 1000:.0f} ms",
        ]
        marks = {True: "held", False: "FAILED"}
        return lines + [f"{marks[ok]:6}  {what}" for what, ok in self.checks.items()]


async def run_demo(say: Callable[[str], None]) -> DemoReport:
    """Run the main job and check its outcomes."""
    report = DemoReport()
    async with EmbeddedFleet(PLACES, (GROUP,)) as fleet:
        say(f"started: platform, a group of {len(GROUP.members)}, {len(PLACES)} hosts")
        await _create_service(fleet)
        say(f"created: service {SERVICE}, reads accept data {ACCEPTED_AGE:g} s old")
        await _create_table(fleet)
        await _file_claims(fleet, report, "before", CLAIMS_BEFORE)
        filing = asyncio.create_task(
            _file_claims(fleet, report, "around", CLAIMS_AFTER)
        )
        await _until(lambda: any("around" in claim for claim in report.filed))
        _kill_primary(fleet, report)
        say(f"killed:  the primary, {report.old_primary}, while claims are filed")
        await filing
        _note_new_primary(fleet, report)
        await _check_database(fleet, report)
    return report


# -- Steps -------------------------------------------------------------------


async def _create_service(fleet: EmbeddedFleet) -> None:
    service = fleet.service(SERVICE, accepted_age=ACCEPTED_AGE)
    async with fleet.operator(FILING_HOST) as operator:
        await operator.create_service(service)
    for host in fleet.hosts.values():
        databases = host.node.tables.databases
        await _until(lambda databases=databases: bool(databases))


async def _create_table(fleet: EmbeddedFleet) -> None:
    async with fleet.caller(FILING_HOST, SERVICE, "schema") as caller:
        answer = await caller.write(DATABASE, _CREATE)
    if not answer.done:
        raise RuntimeError(f"the table could not be made: {answer}")


async def _file_claims(
    fleet: EmbeddedFleet, report: DemoReport, when: str, count: int
) -> None:
    await asyncio.gather(
        *(
            _caseworker(fleet, report, f"{when}-{number}", count)
            for number in range(CALLERS)
        )
    )


async def _caseworker(
    fleet: EmbeddedFleet, report: DemoReport, name: str, count: int
) -> None:
    """File claims through one host and read each back through another."""
    filing = fleet.caller(FILING_HOST, SERVICE, name)
    reading = fleet.caller(READING_HOST, SERVICE, name)
    async with filing, reading:
        for number in range(count):
            claim = f"{name}-{number}"
            filed = await _file(filing, report, claim, name)
            if filed:
                reading.token = filing.token
                await _read_back(reading, report, claim)
                filing.token = reading.token


async def _file(
    caller: CallerClient, report: DemoReport, claim: str, name: str
) -> bool:
    answer = await caller.write(DATABASE, _FILE, claim, name)
    report.outcomes[answer.outcome.value] += 1
    if answer.done:
        report.acknowledged_at.append(time.monotonic())
        report.filed.add(claim)
    if answer.outcome is Outcome.NOT_RUN:
        report.not_run.add(claim)
    return answer.done


async def _read_back(caller: CallerClient, report: DemoReport, claim: str) -> None:
    answer = await caller.execute(
        DATABASE, _FIND, (claim,), access=Access.READ, deadline=DEADLINE
    )
    if not answer.done:
        report.outcomes[f"read {answer.outcome.value}"] += 1
        return
    report.reads += 1
    report.replica_reads += answer.from_replica
    if answer.rows[0][0] == 1:
        report.own_replica_reads += answer.from_replica
    else:
        report.stale_reads += 1


def _kill_primary(fleet: EmbeddedFleet, report: DemoReport) -> None:
    row = _database(fleet).primary_row
    assert row is not None, "no primary to kill"
    report.old_primary = row.name
    report.killed_at = time.monotonic()
    fleet.standins.crash(DATABASE, row.name)


def _note_new_primary(fleet: EmbeddedFleet, report: DemoReport) -> None:
    database = _database(fleet)
    row = database.primary_row
    report.new_primary = row.name if row is not None else "none"
    report.term = database.term


async def _check_database(fleet: EmbeddedFleet, report: DemoReport) -> None:
    async with fleet.caller(READING_HOST, SERVICE, "auditor") as caller:
        answer = await caller.read(DATABASE, _LIST)
    counts = _counts(answer)
    asked = CALLERS * (CLAIMS_BEFORE + CLAIMS_AFTER)
    report.checks.update(
        {
            "a replica served a read of an own write": report.own_replica_reads > 0,
            "each session read its own writes": report.stale_reads == 0,
            "another member became primary": report.new_primary
            not in ("none", report.old_primary),
            "writes resumed after the primary was killed": any(
                at > report.killed_at for at in report.acknowledged_at
            ),
            "no acknowledged claim is lost": all(counts[c] for c in report.filed),
            "no claim is filed twice": all(n == 1 for n in counts.values()),
            "what was answered not-run did not run": not any(
                counts[c] for c in report.not_run
            ),
            "every claim got an outcome": asked
            == sum(report.outcomes[outcome.value] for outcome in Outcome),
        }
    )


def _counts(answer: Answer) -> Counter[str]:
    if not answer.done:
        raise RuntimeError(f"the claims could not be listed: {answer}")
    return Counter(dict(answer.rows))


def _database(fleet: EmbeddedFleet):
    key = database_key(SERVICE, DATABASE)
    return fleet.hosts[FILING_HOST].node.tables.databases[key]


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(RESUME_LIMIT):
        while not condition():
            await asyncio.sleep(0.005)
