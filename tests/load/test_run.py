"""Planted faults are found: each check of the load tool fails on what it is for."""

from __future__ import annotations

import asyncio
import sqlite3

import pytest

from mallowpass.adapters.client import Answer
from mallowpass.core.calls import Access, Outcome
from mallowpass.load.gaps import GapWatch
from mallowpass.load.mixes import MIXES, LoadRole, retargeted, scaled
from mallowpass.load.recorder import Recorder
from mallowpass.load.retrying import Result
from mallowpass.load.run import READ, Load, LoadOptions
from mallowpass.measure.workload import Kind

ROLES = (
    LoadRole("w", Kind.WRITER, "s", "d", 2, 0.01, think=0.001, think_p99=0.002),
    LoadRole("r", Kind.READER, "s", "d", 2, 0.01, accepted_age=0.05),
)


class Store:
    """Answer as one database would; a fault changes a statement's answer."""

    def __init__(self, fault=None):
        self.database = sqlite3.connect(":memory:")
        self.fault = fault
        self.writes = 0

    async def request(self, statement):
        await asyncio.sleep(0)
        outcome = Outcome.DONE
        is_insert = statement.sql.startswith("INSERT")
        self.writes += is_insert
        planted = self.writes % 5 == 4 and self.writes > 8
        if is_insert and planted and self.fault == "lost":
            rows = [statement.parameters[:2]]
        else:
            rows = self._run(statement)
        if is_insert and planted and self.fault == "doubled":
            self._run(statement)
        if is_insert and planted and self.fault == "ran_not_run":
            outcome = Outcome.NOT_RUN
        if statement.sql == READ and planted:
            rows = [self._planted(rows[0])]
        answer = Answer("", outcome, rows=tuple(map(tuple, rows)))
        return Result(outcome, answer)

    def _run(self, statement):
        return self.database.execute(statement.sql, statement.parameters).fetchall()

    def _planted(self, row):
        nonce, key, version, *counts = row
        if self.fault == "stale" and version:
            return (nonce, key, 0, *counts)
        if self.fault == "misdelivered":
            return ("another", key, version, *counts)
        return row

    async def roam(self):
        """Stay: there is one host."""

    async def close(self):
        """Nothing is open."""


class StoreLoad(Load):
    """Run on a store in place of a fleet."""

    store: Store

    def session(self, *_arguments, **_options):
        """Return the store: every session shares it."""
        return self.store


def run(fault=None, closed=True, duration=0.5):
    entries = []
    options = LoadOptions(hosts=("x",), roles=ROLES, duration=duration, closed=closed)
    load = StoreLoad(options, Recorder(entries.append))
    load.store = Store(fault)
    asyncio.run(load.run())
    return load, entries


@pytest.mark.parametrize("closed", [True, False])
def test_sound_run_has_no_violations(closed):
    load, entries = run(closed=closed)
    assert load.violations.total == 0
    assert not load.not_audited
    assert load.recorder.roles["w"].total > 0
    assert load.recorder.roles["r"].total > 0
    assert entries


@pytest.mark.parametrize(
    ("fault", "kind"),
    [
        ("lost", "lost"),
        ("doubled", "doubled"),
        ("ran_not_run", "ran_not_run"),
        ("stale", "stale_own"),
        ("stale", "stale_seen"),
        ("misdelivered", "misdelivered"),
    ],
)
def test_planted_faults_are_found(fault, kind):
    load, _ = run(fault)
    assert getattr(load.violations, kind) > 0, load.violations


def test_doubled_row_is_seen_before_the_audit():
    load, _ = run("doubled")
    assert load.doubled


def test_unread_key_fails_the_run(monkeypatch):
    async def refuse(_store, statement):
        if "GROUP BY" in statement.sql:
            return Result(Outcome.NOT_RUN, None, ("no host",))
        return await request(_store, statement)

    request = Store.request
    monkeypatch.setattr(Store, "request", refuse)
    load, _ = run()
    assert len(load.not_audited) == 2


# -- Parts -------------------------------------------------------------------


def test_gap_counts_only_time_in_which_writes_wait():
    watch = GapWatch()
    watch.began("a", 1.0)
    assert watch.acknowledged("a", 1.01) == (1.0, 1.01)
    watch.began("b", 50.0)  # nobody wrote for 49 s: that is no gap
    watch.began("c", 50.5)
    watch.failed("b")
    assert watch.acknowledged("c", 53.0) == (50.0, 53.0)
    assert watch.open_since() is None


def test_gap_begins_anew_at_each_acknowledgement():
    watch = GapWatch()
    watch.began("stuck", 1.0)
    watch.began("a", 1.5)
    watch.acknowledged("a", 2.0)
    watch.began("b", 2.5)
    assert watch.acknowledged("b", 3.0) == (2.0, 3.0)
    assert watch.open_since() == 3.0


def test_gaps_of_a_database_do_not_overlap():
    """Symptom: a run reports a second gap that began before the first one ended.
    Sequence: a primary fails; callers wait; after the first acknowledgement one of
    them sends its next write, which was due during the gap.
    Cause: its gap was counted from when it was due.
    """
    watch = GapWatch()
    watch.began("a", 1.0)
    assert watch.acknowledged("a", 9.0) == (1.0, 9.0)
    watch.began("b", 7.0)
    assert watch.acknowledged("b", 9.1) == (9.0, 9.1)


def test_latency_counts_from_when_a_request_was_due():
    """Symptom: a stall of seconds shows as one slow request.
    Sequence: a host stalls; a caller's next requests are sent after it, and fast.
    Cause: the times from sending leave out the wait (coordinated omission).
    """
    recorder = Recorder(lambda _entry: None)
    result = Result(Outcome.DONE, Answer("", Outcome.DONE), first_asked=9.99)
    recorder.ended("w", "s", Access.WRITE, result, due=5.0, at=10.0)
    counts = recorder.roles["w"]
    assert counts.latency.percentiles.max > 4_900
    assert counts.service_time.percentiles.max < 20


def test_mixes_are_scaled_and_sent_elsewhere():
    roles = scaled(MIXES["claims"], rate=500.0, sessions=20)
    assert sum(role.rate for role in roles) == pytest.approx(500.0)
    assert all(role.sessions for role in roles)
    target = "volunteers=other/place"
    sent = retargeted(MIXES["claims"], "", "", [target])
    assert {r.key for r in sent if r.name == "volunteers"} == {("other", "place")}
    assert sent[0] == MIXES["claims"][0]
