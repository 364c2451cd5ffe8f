"""Tests of replays: equal decisions, differences found, outcomes checked."""

from __future__ import annotations

import dataclasses
import os
import subprocess
import sys
from pathlib import Path

import pytest
from click.testing import CliRunner

from mallowpass.cli.main import ExitCode
from mallowpass.cli.replay import replay as replay_command
from mallowpass.core import calls
from mallowpass.core.calls import Access, EndpointCode, LogPosition, Outcome, Role
from mallowpass.core.effects import AnswerCaller, CloseCaller, Log, OpenConnection
from mallowpass.core.events import CallerConnected, ControlReplied, EndpointReplied
from mallowpass.core.node import Node, Tuning
from mallowpass.core.services import Database, Member
from mallowpass.core.tables import DatabaseRow, EndpointRow, RequestRow, SessionRow
from mallowpass.errors import ErrorCode, MallowpassError
from mallowpass.trace import ExpectedOutcome, TraceReader
from mallowpass.trace.checks import OutcomeChecks
from mallowpass.trace.replay import Replayer
from tests.trace.demonstration import (
    CALLERS,
    IDENTITY,
    ROUNDS,
    START,
    RecordedNode,
    open_request,
    record_callers,
    record_full_node,
    replay,
    started,
)

ROOT = Path(__file__).parents[2]
HASH_SEEDS = ("1", "2")


# -- Decisions ---------------------------------------------------------------


@pytest.mark.parametrize("name", ["answering", "ordered"])
def test_replay_decides_equally(name):
    found = replay(record_callers(name).close(), name)
    assert found.agrees
    assert (found.whole, found.ended, found.core_failures) == (True, "closed", 1)


def test_full_node_replays_equally_through_a_primarys_crash():
    node = record_full_node()
    assert {row.term for row in node.tables.databases.values()} == {2}
    found = replay(node.close(), "all")
    assert found.agrees
    assert (found.whole, found.core_failures) == (True, 0)
    assert found.held_writes == 8 * ROUNDS // 2


def _other_retry(decisions: list[object]) -> list[object]:
    answer = dataclasses.replace(decisions[1].answer, retry_after=0.0)
    return [decisions[0], AnswerCaller(1, answer)]


@pytest.mark.parametrize(
    ("change", "index"),
    [
        (_other_retry, 1),
        (lambda found: found[:1], 1),
        (lambda found: [*found, CloseCaller(1)], 2),
        (lambda found: found[::-1], 0),
        (lambda found: [Log("info", "other"), *found[1:]], 0),
        # To Python's == these streams are the same number.
        (lambda found: [found[0], AnswerCaller(True, found[1].answer)], 1),
    ],
)
def test_a_changed_decision_is_found(change, index):
    node = started("answering")
    node.handle(START, CallerConnected(1))
    request = open_request(1)
    decisions = change(super(RecordedNode, node).handle(START, request))
    node.recorder.record(START, request, decisions)
    found = replay(node.close(), "answering")
    assert not found.agrees
    assert (found.difference.at.number, found.difference.index) == (2, index)
    assert repr(found.difference.recorded) != repr(found.difference.replayed)
    assert [event.number for event in found.context] == [0, 1, 2]


def test_a_system_that_is_not_here_is_refused():
    with pytest.raises(MallowpassError) as caught:
        Replayer(TraceReader(record_callers("answering").close()))
    assert caught.value.error_code is ErrorCode.TRACE_UNKNOWN


def test_until_stops_in_the_traces_time():
    found = replay(record_callers("answering").close(), "answering", until=1.0)
    assert (found.events, found.seconds, found.whole) == (9, 1.0, False)


# -- Order of hashes ---------------------------------------------------------


def _exit_codes(path: Path, recording: RecordedNode, name: str) -> list[int]:
    path.write_bytes(b"".join(recording.close()))
    command = [sys.executable, "-m", "tests.trace.demonstration", str(path), name]
    environments = [os.environ | {"PYTHONHASHSEED": seed} for seed in HASH_SEEDS]
    return [
        subprocess.run(command, cwd=ROOT, env=environment, check=False).returncode
        for environment in environments
    ]


def test_order_of_a_set_of_texts_is_found(tmp_path):
    """Find a system whose decisions hang on the order of a set.

    Symptom: a replay on another machine sent messages in another order.
    Sequence: twelve callers in a set are gone through for each request.
    Cause: the order of a set of texts changes with each process.
    """
    path = tmp_path / "host.trace"
    assert max(_exit_codes(path, record_callers("unordered"), "unordered")) == 1
    assert _exit_codes(path, record_callers("ordered"), "ordered") == [0, 0]


def test_full_node_hangs_on_no_order_of_hashes(tmp_path):
    path = tmp_path / "host.trace"
    assert _exit_codes(path, record_full_node(), "all") == [0, 0]


# -- Outcomes ----------------------------------------------------------------


def test_stated_outcomes_are_checked():
    recording = record_callers("answering")
    bad = f"r{len(CALLERS) + 1}"
    recording.recorder.expect(
        [
            ExpectedOutcome("r1", Outcome.DONE),
            ExpectedOutcome("r2", Outcome.NOT_RUN),
            ExpectedOutcome("r3", Outcome.DONE, "MP-4001"),
            ExpectedOutcome(bad, Outcome.DONE),
        ]
    )
    found = replay(recording.close(), "answering")
    assert [finding.text for finding in found.findings] == [
        "r2 is done, stated is not-run",
        "r3 is done, stated is done MP-4001",
        f"{bad} was not answered",
    ]
    assert not found.agrees


def test_a_request_answered_twice_is_found():
    found = replay(record_callers("twice").close(), "twice")
    assert found.difference is None
    assert [f.check for f in found.findings] == ["one-answer"] * len(CALLERS)


def test_an_answer_to_a_stream_that_ended_is_none():
    checks = OutcomeChecks(Node(IDENTITY, Tuning(), 1))
    answer = calls.CallerAnswer(request_id="r1", outcome=Outcome.DONE)
    checks.after(None, [AnswerCaller(1, answer)])
    assert not checks.findings


def _held(
    at: LogPosition, *reports: tuple[int, LogPosition, int, int], term: int = 1
) -> bool:
    """Answer a write after reports of (member, received, its term, term start)."""
    node = Node(IDENTITY, Tuning(), 1)
    members = tuple(Member(f"m{n}", f"a{n}", "domain-0") for n in range(3))
    rows = {member.address: EndpointRow(member, "s/d") for member in members}
    database = DatabaseRow("s/d", "s", Database("d", members, 9), rows)
    write = RequestRow(5, 1, open_request(1).request, "s/d", Access.WRITE, 0.0, 9.0)
    node.tables.databases["s/d"] = database
    node.tables.sessions[1] = SessionRow(1, requests={"r1": 5})
    node.tables.requests[5] = write
    checks = OutcomeChecks(node)
    checks.before(0, CallerConnected(1))
    checks.before(1, open_request(1))
    checks.after(open_request(1), [OpenConnection(7, "a0", "h", 1.0, 1.0)])
    reply = calls.EndpointReply(sequence=1, code=EndpointCode.OK, applied=at, term=term)
    checks.before(2, EndpointReplied(7, reply))
    for member, received, term, start in reports:
        report = calls.Report(
            member="m",
            term=term,
            role=Role.REPLICA,
            received=received,
            term_start=start,
        )
        control = calls.ControlReply(sequence=1, code=EndpointCode.OK, report=report)
        checks.before(3, ControlReplied(f"a{member}", 1, control))
    write.position = at
    answer = calls.CallerAnswer(request_id="r1", outcome=Outcome.DONE)
    checks.after(None, [AnswerCaller(1, answer)])
    assert checks.held_writes == 1
    return not checks.findings


def test_a_done_write_has_to_be_held_by_a_majority():
    at = LogPosition(1, 10)
    assert not _held(at)  # by its primary only
    assert not _held(at, (1, LogPosition(1, 9), 1, 1))
    assert not _held(at, (0, at, 1, 1))  # the primary counts once
    assert _held(at, (1, at, 1, 1))
    assert not _held(at, (1, at, 1, 1), term=2)  # the primary is one no longer
    # A member that promised term 2 has the entry of term 1, but proves nothing.
    assert not _held(at, (1, at, 2, 1))
    # In term 2: begun after the write, begun before it, and not held itself.
    later, start, short = LogPosition(2, 12), LogPosition(2, 11), LogPosition(2, 10)
    assert _held(at, (1, later, 2, 11), (2, start, 2, 11))
    assert not _held(at, (1, later, 2, 10), (2, start, 2, 10))
    assert not _held(at, (1, later, 2, 11), (2, short, 2, 11))


# -- Command -----------------------------------------------------------------


def test_command_tells_equal_from_different_and_damaged(tmp_path):
    recording = record_full_node()
    recording.recorder.expect([ExpectedOutcome("r7", Outcome.UNKNOWN)])
    path = tmp_path / "host.trace"
    path.write_bytes(b"".join(recording.close()))
    run = CliRunner().invoke
    equal = run(replay_command, [str(path), "--until", "0"])
    assert equal.exit_code == ExitCode.OK
    assert "decisions equal up to the time given" in equal.output
    wrong = run(replay_command, [str(path), "--show", "2"])
    assert wrong.exit_code == ExitCode.FAILED
    assert "stated is unknown" in wrong.output
    assert wrong.output.count("\nevent ") == 2 + 1
    path.write_bytes(path.read_bytes()[:-40])
    damaged = run(replay_command, [str(path)])
    assert "decisions equal up to the damaged place" in damaged.output
    assert damaged.exception.error_code is ErrorCode.TRACE_DAMAGED
