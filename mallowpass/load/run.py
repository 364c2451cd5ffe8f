"""Run a mix's sessions against a fleet, check every answer, and audit at the end."""

from __future__ import annotations

import asyncio
import itertools
import math
import secrets
import time
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from mallowpass.core.calls import Access, Outcome
from mallowpass.errors import ErrorCode, error_for
from mallowpass.load.mixes import LoadRole
from mallowpass.load.recorder import Recorder
from mallowpass.load.retrying import HostList, Result, RoamingSession, Statement
from mallowpass.measure.oracle import Finding, Oracle, Violations
from mallowpass.measure.workload import Z_99, Kind

__all__ = ["AUDIT", "CREATE", "Load", "LoadOptions", "READ", "WRITE"]

TABLE = "mallowpass_load"
CREATE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} (key TEXT, version INTEGER)",
    f"CREATE INDEX IF NOT EXISTS {TABLE}_of ON {TABLE} (key, version)",
)
# Nothing is unique in the table, so that a write which ran twice shows.
WRITE = f"INSERT INTO {TABLE} VALUES (?2, ?3) RETURNING ?1, key"
READ = (
    "SELECT ?1, ?2, coalesce(max(version), 0), count(*), count(DISTINCT version)"
    f" FROM {TABLE} WHERE key = ?2"
)
AUDIT = f"SELECT key, version, count(*) FROM {TABLE} WHERE key = ?1 GROUP BY version"

AUDIT_PATIENCE = 60.0
OPENING_SPREAD = 0.5  # seconds over which the sessions of a closed loop begin


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadOptions:
    """Say how to run; times are seconds.

    In an open loop sessions begin steps at times of their own, whatever became of
    earlier ones; in a closed loop, once the step before has ended.
    """

    hosts: tuple[str, ...]
    roles: tuple[LoadRole, ...]
    seed: int = 1
    duration: float = 60.0
    closed: bool = False
    roaming: float = 0.2  # share of steps before which a session changes hosts
    deadline: float = 10.0
    patience: float = 30.0
    idempotent: bool = False


class Load:
    """Drive a fleet; `oracle` knows the violations, `recorder` the rest."""

    def __init__(self, options: LoadOptions, recorder: Recorder) -> None:
        self.options = options
        self.recorder = recorder
        self.oracle = Oracle()
        self.moves: Counter[str] = Counter()
        self.keys: dict[tuple[str, str], list[str]] = defaultdict(list)
        self.acknowledged: dict[str, list[float]] = defaultdict(list)  # by key
        self.not_audited: list[str] = []
        self.doubled: dict[str, int] = {}  # seen by reads, by key
        self.late_steps = 0
        self.ended: float | None = None
        self._hosts = HostList(options.hosts)
        # Keys of another run must not be met, nor request ids that it used.
        self.run_id = f"{options.seed}-{secrets.token_hex(4)}"

    @property
    def places(self) -> tuple[tuple[str, str], ...]:
        """Return the services and databases that are called."""
        return tuple(dict.fromkeys(role.key for role in self.options.roles))

    async def run(self) -> None:
        """Prepare the tables, run all sessions, audit what the databases hold."""
        await asyncio.gather(*map(self._prepare, self.places))
        sessions = [
            _Caller(self, role, number)
            for role in self.options.roles
            for number in range(role.sessions)
        ]
        began = time.monotonic()
        await asyncio.gather(*(each.run(began) for each in sessions))
        self.ended = time.monotonic()
        await asyncio.gather(*map(self._audit, self.places))
        self.recorder.end()

    def session(
        self, service: str, caller: str, random: Random, **options: object
    ) -> RoamingSession:
        """Return a session that counts its moves here."""
        settings = {
            "deadline": self.options.deadline,
            "patience": self.options.patience,
            "moves": self.moves,
        }
        name = f"load-{self.run_id}-{caller}"
        return RoamingSession(
            self._hosts, service, name, random, **(settings | options)
        )

    @property
    def violations(self) -> Violations:
        """Return what was found so far; what both a read and the audit saw, once."""
        found = self.oracle.violations
        seen = sum(self.doubled.values())
        if seen <= found.doubled:
            return found
        text = f"reads saw rows twice: {self.doubled}"
        findings = (*found.findings, Finding("doubled", text))
        return replace(found, doubled=seen, findings=findings)

    # -- Before and after ----------------------------------------------------

    async def _prepare(self, place: tuple[str, str]) -> None:
        service, database = place
        session = self.session(service, f"prepare-{database}", Random(self.run_id))
        for statement in CREATE:
            result = await session.request(
                Statement(
                    database=database,
                    sql=statement,
                    access=Access.WRITE,
                    idempotent=True,
                )
            )
            if result.outcome is not Outcome.DONE:
                await session.close()
                raise _not_prepared(place, result)
        await session.close()

    async def _audit(self, place: tuple[str, str]) -> None:
        """Read every key in a new session: it learns its floor from a majority."""
        service, database = place
        random = Random(f"{self.run_id}/audit")
        session = self.session(
            service, f"audit-{database}", random, patience=AUDIT_PATIENCE
        )
        for key in self.keys[place]:
            statement = Statement(database=database, sql=AUDIT, parameters=(key,))
            result = await session.request(statement)
            if result.outcome is Outcome.DONE and result.answer is not None:
                self.oracle.audit(result.answer.rows, [key])
            else:
                self.not_audited.append(f"{service}/{database} {key}: {result.codes}")
        await session.close()


def _not_prepared(place: tuple[str, str], result: Result) -> Exception:
    last = result.answer
    code = ErrorCode.by_code(last.code) if last else ErrorCode.HOST_UNREACHABLE
    why = last.message if last else "no host could be reached"
    return error_for(code, why, service=place[0], database=place[1])


# -- One caller --------------------------------------------------------------


@dataclass(slots=True)
class _Caller:
    """Do one caller's steps, one after another."""

    load: Load
    role: LoadRole
    number: int
    key: str = field(init=False)
    _random: Random = field(init=False)
    _session: RoamingSession = field(init=False)
    _version: int = 0
    _nonces: Callable[[], int] = field(init=False)

    def __post_init__(self) -> None:
        load, role = self.load, self.role
        name = f"{role.name}-{self.number}"
        self.key = f"{load.run_id}/{name}"
        self._random = Random(f"{load.options.seed}/{name}")
        self._nonces = itertools.count(1).__next__
        self._session = load.session(
            role.service, name, self._random, request_class=role.request_class
        )
        if role.kind is Kind.WRITER:
            load.keys[role.key].append(self.key)

    async def run(self, began: float) -> None:
        """Do steps until the time is over."""
        end = began + self.load.options.duration
        due = began + self._random.random() * min(OPENING_SPREAD, self.role.period)
        if not self.load.options.closed:
            due = began + self._random.random() * self.role.period
        while due < end:
            await _sleep_until(due)
            think = self._think()
            await self._step(due, think, end)
            due = self._next(due, think)
        await self._session.close()

    def _next(self, due: float, think: float) -> float:
        if self.load.options.closed:
            return time.monotonic()
        # The caller's own time to think makes no request late.
        due += think + self._random.expovariate(1.0 / self.role.period)
        self.load.late_steps += due < time.monotonic()
        return due

    async def _step(self, due: float, think: float, end: float) -> None:
        if self._random.random() < self.load.options.roaming:
            await self._session.roam()
        if self.role.kind is Kind.READER:
            keys = self.load.keys[self.role.key]
            await self._read(self._random.choice(keys) if keys else self.key, due)
        elif await self._write(due) is Outcome.DONE and think:
            await self._read_back(due + think, end)

    # -- Steps ---------------------------------------------------------------

    async def _read_back(self, at: float, end: float) -> None:
        # Nobody reads back before the write is answered, however late that is.
        at = max(at, time.monotonic())
        if at < end:
            await _sleep_until(at)
            await self._read(self.key, at)

    async def _write(self, due: float) -> Outcome:
        load, role = self.load, self.role
        self._version += 1
        version = self._version
        write = (self.key, version)
        nonce = self._nonce()
        load.oracle.writing(self.key, version)
        load.recorder.began_write(role.key, write, due)
        statement = Statement(
            database=role.database,
            sql=WRITE,
            parameters=(nonce, self.key, version),
            access=Access.WRITE,
            idempotent=load.options.idempotent,
        )
        result = await self._session.request(statement)
        now = time.monotonic()
        load.oracle.wrote(self.key, self.key, version, result.outcome, now)
        load.recorder.ended_write(role.key, write, result, now)
        load.recorder.ended(role.name, role.service, Access.WRITE, result, due, now)
        if result.outcome is Outcome.DONE:
            self._on_written(version, now)
            self._check_delivered((nonce, self.key), result)
        return result.outcome

    def _on_written(self, version: int, now: float) -> None:
        # Versions whose outcome was unknown are as old as the next one known.
        times = self.load.acknowledged[self.key]
        times.extend([now] * (version - len(times)))

    async def _read(self, key: str, due: float) -> None:
        load, role = self.load, self.role
        nonce = self._nonce()
        asked_at = time.monotonic()
        statement = Statement(
            database=role.database,
            sql=READ,
            parameters=(nonce, key),
            accepted_age=role.accepted_age,
        )
        result = await self._session.request(statement)
        now = time.monotonic()
        load.recorder.ended(role.name, role.service, Access.READ, result, due, now)
        if result.outcome is not Outcome.DONE or result.answer is None:
            return
        if not self._check_delivered((nonce, key), result):
            return
        _, _, version, rows, versions = result.answer.rows[0]
        # The oracle compares with what was acknowledged when the read was first
        # asked: copies sent later may only show more.
        load.oracle.read(self.key, key, version, role.accepted_age, asked_at)
        if rows != versions:
            load.doubled[key] = max(load.doubled.get(key, 0), rows - versions)
        load.recorder.age(role.service, now, self._age(key, version, asked_at))

    def _check_delivered(self, asked: tuple[str, str], result: Result) -> bool:
        rows = result.answer.rows if result.answer else ()
        answered = tuple(rows[0][:2]) if rows else ()
        return self.load.oracle.answered(asked, answered)

    def _age(self, key: str, version: int, asked_at: float) -> float:
        """Return for how long something newer had been acknowledged."""
        times = self.load.acknowledged.get(key, [])
        newest = bisect_right(times, asked_at)
        return asked_at - times[version] if version < newest else 0.0

    # -- Private -------------------------------------------------------------

    def _nonce(self) -> str:
        return f"{self.key}/{self._nonces()}"

    def _think(self) -> float:
        if not self.role.think:
            return 0.0
        sigma = math.log(self.role.think_p99 / self.role.think) / Z_99
        return self._random.lognormvariate(math.log(self.role.think), sigma)


async def _sleep_until(at: float) -> None:
    await asyncio.sleep(max(0.0, at - time.monotonic()))
