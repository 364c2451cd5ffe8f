"""The callers of both deployments, as an open loop with a seed.

Each session has its own times for what it does, drawn before it begins, and keeps
them whether or not earlier answers have come. A request that starts late because
the one before was slow is timed from when it should have started: otherwise slow
answers would hide the waits that they cause (coordinated omission).
"""

from __future__ import annotations

import asyncio
import itertools
import math
import time
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum
from random import Random

from mallowpass.adapters.client import Answer, CallerClient
from mallowpass.core.calls import Access, Outcome
from mallowpass.measure.fleet import PATIENT, MeasuredFleet
from mallowpass.measure.oracle import Oracle
from mallowpass.measure.timing import Histogram
from mallowpass.standins.log import Statement

__all__ = [
    "ROLES",
    "Kind",
    "ReadCounts",
    "Role",
    "STRICT",
    "Workload",
    "audit",
    "scaled",
]

DEADLINE = 10.0  # seconds, of each request
ROAMING = 0.2  # share of steps before which a session goes to another host
Z_99 = 2.3263  # standard deviations between median and 99th percentile

WRITE = "INSERT INTO entries VALUES (?2, ?3) RETURNING ?1, key"
READ = "SELECT ?1, ?2, coalesce(max(version), 0) FROM entries WHERE key = ?2"
AUDIT = "SELECT key, version, count(*) FROM entries GROUP BY key, version"


class Kind(Enum):
    """Say what a role's sessions do."""

    WRITER = "writer"  # writes a record of its own; thinks and reads it back, if so
    READER = "reader"  # reads records that writers write


@dataclass(frozen=True, slots=True)
class Role:
    """Describe a group of callers; times are seconds, a median with its p99."""

    name: str
    kind: Kind
    database: int  # index among the deployment's
    sessions: int
    period: float  # mean time between a session's steps
    reads: str = "session"  # the name under which its reads are counted
    accepted_age: float | None = None
    unrepeatable: bool = True
    think: float = 0.0
    think_p99: float = 0.0
    patient: bool = False
    fresh: bool = False  # each read in a session of its own, without token


# The rates keep the one loop that all share well under saturation: what a deployment
# of many machines serves is not measured here, and shares don't depend on it.
STRICT = Role("auditors", Kind.READER, 0, 2, 1.0, "age 0 s", accepted_age=0.0)
_FILING = Role("", Kind.WRITER, 0, 40, 8.0, "own", think=1.0, think_p99=10.0)
_EDITING = Role("", Kind.WRITER, 1, 2, 2.0, "own", think=1.0, think_p99=5.0)
_NEWCOMERS = Role(
    "newcomers", Kind.READER, 0, 2, 2.0, "no token", accepted_age=0.0, fresh=True
)
ROLES = {
    "claims": (
        replace(_FILING, name="caseworkers"),
        replace(_EDITING, name="tariff-clerks"),
        Role("volunteers", Kind.READER, 1, 30, 2.0, "age 5 s", accepted_age=5.0),
        Role("cooperatives", Kind.READER, 0, 30, 3.0, "age 2 s", accepted_age=2.0),
        _NEWCOMERS,
    ),
    "towers": (
        replace(_FILING, name="officers", period=16.0),
        replace(_EDITING, name="site-clerks", database=2, period=4.0),
        Role("portals", Kind.READER, 0, 60, 6.0, "age 1 s", accepted_age=1.0),
        Role("riggers", Kind.READER, 2, 20, 6.0, "session"),
        Role(
            "reconciliation",
            Kind.READER,
            0,
            2,
            0.8,
            "age 30 s",
            accepted_age=30.0,
            patient=True,
        ),
        _NEWCOMERS,
    ),
}


@dataclass(slots=True)
class ReadCounts:
    """Count reads of one kind; `possible`: a replica had what was needed."""

    answered: int = 0
    replica: int = 0
    possible: int = 0
    failed: int = 0
    latency: Histogram = field(default_factory=Histogram)


@dataclass(slots=True)
class Workload:
    """Run the roles' sessions against a fleet for a time."""

    fleet: MeasuredFleet
    roles: tuple[Role, ...]
    seed: int
    duration: float
    oracle: Oracle = field(default_factory=Oracle)
    deadline: float = DEADLINE
    reads: dict[str, ReadCounts] = field(
        default_factory=lambda: defaultdict(ReadCounts)
    )
    writes: Histogram = field(default_factory=Histogram)
    write_outcomes: Counter[str] = field(default_factory=Counter)
    codes: Counter[str] = field(default_factory=Counter)
    acknowledged: dict[str, list[tuple[float, str]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    keys: dict[str, list[str]] = field(default_factory=lambda: defaultdict(list))
    steps: int = 0

    async def run(self) -> None:
        """Run every session to its end."""
        sessions = [
            Session(self, role, number)
            for role in self.roles
            for number in range(role.sessions)
        ]
        await asyncio.gather(*(session.open() for session in sessions))
        began = time.monotonic()
        await asyncio.gather(*(session.run(began) for session in sessions))
        await asyncio.gather(*(session.close() for session in sessions))

    def audit(self) -> None:
        """Compare what each primary holds with what callers were told."""
        audit(self.fleet, self.oracle, self.keys)


def audit(fleet: MeasuredFleet, oracle: Oracle, keys: dict[str, list[str]]) -> None:
    """Compare what each primary holds with what callers were told.

    Read straight from the stand-in, so that no fault of the path read through
    can hide one of the writes.
    """
    for database, of_database in keys.items():
        rows = fleet.primary(database).store.read(Statement(AUDIT, ())).rows
        oracle.audit(rows, of_database)


class Session:
    """Do one caller's steps, one after another, at its own times."""

    def __init__(self, workload: Workload, role: Role, number: int) -> None:
        self.name = f"{role.name}-{number}"
        self._work = workload
        self._role = role
        self._random = Random(f"{workload.seed}/{self.name}")
        self._database = workload.fleet.deployment.databases[role.database]
        self._clients: dict[str, CallerClient] = {}
        self._host = self._random.choice(workload.fleet.host_names)
        self._token = b""
        self._version = 0
        self._nonces = itertools.count(1)
        if role.kind is Kind.WRITER:
            workload.keys[self._database].append(self.name)

    # -- Life ----------------------------------------------------------------

    async def open(self) -> None:
        """Open the session at its first host."""
        await self._client()

    async def close(self) -> None:
        """End its streams."""
        await asyncio.gather(*(each.close() for each in self._clients.values()))

    async def run(self, began: float) -> None:
        """Do the steps whose times come before the end."""
        end = began + self._work.duration
        for at, think in self._times(began, end):
            await _sleep_until(at)
            self._work.steps += 1
            if self._role.kind is Kind.READER:
                await self._read(self._some_key(), at)
            elif await self.write(at) is Outcome.DONE and think:
                await self._read_back(at + think, end)

    def _times(self, began: float, end: float) -> Iterator[tuple[float, float]]:
        rate = 1.0 / self._role.period
        at = began + self._random.random() * self._role.period
        while at < end:
            think = self._think()
            yield at, think
            at += think + self._random.expovariate(rate)

    # -- Steps ---------------------------------------------------------------

    async def _read_back(self, at: float, end: float) -> None:
        # Nobody reads back before the write is answered, however late that is.
        at = max(at, time.monotonic())
        if at < end:
            await _sleep_until(at)
            await self._read(self.name, at)

    async def write(self, at: float) -> Outcome:
        """Write the next version of this session's own record."""
        self._version += 1
        version = self._version
        work = self._work
        work.oracle.writing(self.name, version)
        nonce, answer = await self._execute(
            WRITE, (self.name, version), Access.WRITE, None
        )
        now = time.monotonic()
        work.writes.record(now - at)
        work.write_outcomes[answer.outcome.value] += 1
        work.oracle.wrote(self.name, self.name, version, answer.outcome, now)
        if answer.done:
            work.acknowledged[self._database].append((now, self.name))
            work.oracle.answered((nonce, self.name), answer.rows[0])
        return answer.outcome

    async def _read(self, key: str, at: float) -> None:
        role, oracle = self._role, self._work.oracle
        # A session without a token learns its floor first, which is stricter than
        # its accepted age: counted apart, or the share would hang on the duration.
        first = not self._token and not role.fresh
        counts = self._work.reads["first" if first else role.reads]
        asked_at = time.monotonic()
        needed = oracle.needed(self.name, key, role.accepted_age, asked_at)
        possible = self._possible(key, needed)
        nonce, answer = await self._execute(
            READ, (key,), Access.READ, role.accepted_age
        )
        counts.latency.record(time.monotonic() - at)
        if not answer.done:
            counts.failed += 1
            return
        counts.answered += 1
        counts.replica += answer.from_replica
        counts.possible += possible
        row = answer.rows[0]
        if oracle.answered((nonce, key), row[:2]):
            oracle.read(self.name, key, row[2], role.accepted_age, asked_at)

    def _some_key(self) -> str:
        keys = self._work.keys[self._database]
        return self._random.choice(keys) if keys else "nobody"

    def _think(self) -> float:
        role = self._role
        if not role.think:
            return 0.0
        sigma = math.log(role.think_p99 / role.think) / Z_99
        return self._random.lognormvariate(math.log(role.think), sigma)

    def _possible(self, key: str, needed: int) -> bool:
        """Tell whether some replica has what the read needs, all-knowing."""
        statement = Statement(READ, ("", key))
        members = self._work.fleet.members(self._database).values()
        return any(
            member.store.read(statement).rows[0][2] >= needed
            for member in members
            if member.running and member.name != member.primary
        )

    # -- Requests ------------------------------------------------------------

    async def _execute(
        self, sql: str, parameters: tuple, access: Access, age: float | None
    ) -> tuple[str, Answer]:
        nonce = f"{self.name}/{next(self._nonces)}"
        self._roam()
        delay = self._work.fleet.deployment.latencies.client
        await asyncio.sleep(delay)
        client = await self._client()
        answer = await client.execute(
            self._database,
            sql,
            (nonce, *parameters),
            access=access,
            # What a session without token learns is as new as age 0 asks for.
            accepted_age=None if self._role.fresh else age,
            unrepeatable=self._role.unrepeatable if access is Access.WRITE else None,
            deadline=self._work.deadline,
        )
        await asyncio.sleep(delay)
        self._token = client.token
        if self._role.fresh:
            await self._forget()
        if not answer.done:
            self._work.codes[
                f"{access.value} {answer.outcome.value} {answer.code}"
            ] += 1
        return nonce, answer

    async def _forget(self) -> None:
        self._token = b""
        for client in self._clients.values():
            await client.close()
        self._clients.clear()

    def _roam(self) -> None:
        if self._random.random() < ROAMING:
            self._host = self._random.choice(self._work.fleet.host_names)

    async def _client(self) -> CallerClient:
        client = self._clients.get(self._host)
        if client is None:
            client = self._work.fleet.caller(
                self._host,
                self._work.fleet.deployment.service,
                self.name,
                token=self._token,
                request_class=PATIENT if self._role.patient else "",
            )
            self._clients[self._host] = client
            await client.open()
        client.token = self._token or client.token
        return client


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))


def scaled(roles: tuple[Role, ...], load: float) -> tuple[Role, ...]:
    """Return roles whose sessions do so many times as much."""
    return tuple(replace(role, period=role.period / load) for role in roles)


def counted(counts: Counter[str]) -> str:
    """Return counts for a note."""
    return ", ".join(f"{name} {n}" for name, n in sorted(counts.items())) or "none"
