"""Reads: no answer leaves that the session's floor is not contained in."""

from __future__ import annotations

import dataclasses

import pytest

from mallowpass.core.calls import EndpointCode, LogPosition, Outcome
from mallowpass.core.services import ReadAge, ServiceVersion
from mallowpass.errors import ErrorCode
from tests.fakes.requestpath import KEY, SERVICE, RequestPath


def _path(floor: tuple[int, int] = (1, 1), **fields: object) -> RequestPath:
    path = RequestPath(**fields)
    path.open_known(floor=floor)
    return path


def test_read_is_served_by_a_replica_that_has_the_floor():
    path = _path()
    path.read(1, "look")
    assert path.sent.connection.address == "127.0.0.1:2"
    path.reply(applied=(1, 1), rows="r")
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().from_replica


def test_stale_answer_is_dropped_and_read_elsewhere():
    """Symptom: a caseworker's own claim is missing from the next read.
    Sequence: a report of m2 proves (1, 5); m2 restarts from an older log and answers
    from (1, 4).
    Cause: the report chose the member; only the answer tells what it was made from.
    """
    path = _path(floor=(1, 5))
    path.report("m2", (1, 5))
    path.read(1, "look")
    path.reply(applied=(1, 4), rows="stale")
    assert path.answered("look") == []
    path.report("m2", (1, 4))
    path.advance(0.06)
    assert path.sent.connection.address == "127.0.0.1:1"
    path.reply(applied=(1, 5), rows="fresh")
    assert path.answer().rows == "fresh"


def test_answer_of_a_later_term_that_dropped_the_floor_is_not_passed_on():
    """Symptom: data that a session has seen is gone, and nobody says so.
    Sequence: the session saw (1, 9); term 2 starts at 7; a member of term 2 has (2, 8).
    Cause: (2, 8) is above (1, 9) by its term, but its log does not contain it.
    """
    path = _path(floor=(1, 9))
    path.report("m2", (1, 9))
    path.read(1, "look")
    path.liveness.term_starts[2] = 7
    path.report("m2", (2, 8))
    path.reply(applied=(2, 8), rows="without")
    path.promote("m3", term=2, start=7)
    path.reply(applied=(2, 8), rows="without")
    path.read(1, "again")
    assert path.answered("again")[0].code == ErrorCode.FLOOR_LOST.code
    assert path.answered("again")[0].outcome is Outcome.NOT_RUN
    assert not any(answer.rows for _, answer in path.answers)


def test_write_in_the_next_term_does_not_hide_a_lost_floor():
    """Symptom: a claim that was shown is gone, and the session is never told.
    Sequence: the session saw (1, 9); term 2 starts at 7; it writes, then reads.
    Cause: the write's place (2, 8) is above the floor and would take its place.
    """
    path = _path(floor=(1, 9))
    path.promote("m2", term=2, start=7)
    path.write(1, "file")
    path.reply(applied=(2, 8))
    path.hold(2, 8)
    assert path.answer().outcome is Outcome.DONE
    path.read(1, "look")
    assert path.answer().code == ErrorCode.FLOOR_LOST.code


def test_answer_of_a_term_that_is_not_known_here_proves_nothing():
    """Symptom: a read in the second of a promotion misses the session's own write.
    Sequence: m2 follows term 3 before its report says so, and answers from (3, 2).
    Cause: whether (1, 5) is in term 3's log depends on where that term started.
    """
    path = _path(floor=(1, 5))
    path.report("m2", (1, 5))
    path.read(1, "look")
    path.reply(applied=(3, 2), rows="unproven")
    assert path.answered("look") == []


def test_session_without_a_floor_learns_it_from_a_majority():
    """Symptom: a caller that lost its token doesn't see the receipt it posted.
    Sequence: it writes through one host, loses the token, reads through another.
    Cause: no floor known is not the same as nothing written.
    """
    path = RequestPath()
    path.open(1)
    path.read(1, "look")
    assert path.pooling.sent == []
    path.learn((1, 8))
    assert path.sent.connection.address == "127.0.0.1:1"
    assert path.sent.call.minimum == LogPosition(1, 8)
    path.reply(applied=(1, 8))
    path.read(1, "again")
    assert path.liveness.learning == []


def test_read_with_unknown_floor_is_refused_at_once_on_the_minority_side():
    path = RequestPath()
    path.open(1)
    path.read(1, "look")
    path.learn(None)
    assert path.answer().code == ErrorCode.MINORITY_SIDE.code
    assert path.answer().retry_after > 0


@pytest.mark.parametrize("is_recorded", [True, False])
def test_floor_of_the_newest_term_does_not_hide_a_lost_one(is_recorded):
    """Symptom: a read is DONE and lacks what its session has seen.
    Sequence: the session saw (1, 9); term 2 starts at 7; it reads with an age, whose
    floor is (2, 8), by a record or learnt for the read.
    Cause: the highest of the floors stood for all of them.
    """
    path = _path(floor=(1, 9))
    path.promote("m2", term=2, start=7)
    path.liveness.aged = LogPosition(2, 8) if is_recorded else None
    path.read(1, "look", accepted_age=1.0)
    if not is_recorded:
        path.learn((2, 8))
    assert path.answer().code == ErrorCode.FLOOR_LOST.code


def test_answer_that_has_the_learnt_floor_but_not_the_sessions_is_not_passed_on():
    """Symptom: a read is DONE and lacks what its session has seen.
    Sequence: as above, and the new primary is not heard before the answer comes.
    Cause: of the answer's position only the highest floor was checked.
    """
    path = _path(floor=(1, 9))
    path.report("m2", (2, 8))
    path.liveness.term_starts[2] = 7
    path.read(1, "look", accepted_age=1.0)
    path.learn((2, 8))
    path.reply(applied=(2, 8), rows="without")
    assert path.answered("look") == []


def test_age_shorter_than_a_round_trip_is_met_by_what_is_learnt_for_the_read():
    """Symptom: a read with an accepted age of 0 s is NOT_RUN at its deadline.
    Sequence: a floor is learnt for it; its age has passed when the answers are there.
    Cause: learnt again, it was too old again, until the end.
    """
    path = _path()
    path.read(1, "look", accepted_age=0.0)
    path.advance(0.02)
    path.learn((1, 1))
    path.reply(applied=(1, 1))
    assert path.answer().outcome is Outcome.DONE


def test_floor_is_learnt_again_for_a_read_that_queued_but_not_for_ever():
    path = _path()
    path.pooling.granting = False
    path.read(1, "look", accepted_age=0.5)
    path.learn((1, 1))
    path.advance(1.0)
    path.grant()
    assert path.pooling.sent == []
    path.report("m2", (1, 4))
    path.learn((1, 4))
    path.advance(1.0)
    path.grant()
    assert path.sent.call.minimum == LogPosition(1, 4)


def test_stricter_of_declared_and_stated_age_counts():
    """Symptom: a portal's site list is older than its service declares.
    Sequence: the service accepts 2 s, the statement 60 s.
    Cause: either one alone would let the looser of the two through.
    """
    path = _path()
    row = path.node.tables.services[SERVICE]
    service = dataclasses.replace(row.service, read_ages=(ReadAge(2.0),))
    row.accepted = ServiceVersion(SERVICE, 2, service)
    ages = []
    path.liveness.age_floor = lambda database, age: ages.append(age)
    path.read(1, "look", accepted_age=60.0)
    path.read(1, "other", accepted_age=0.5)
    assert ages == [2.0, 0.5]


def test_age_counts_from_when_a_queued_read_is_sent():
    """Symptom: a read that accepts one second shows data of four.
    Sequence: its floor is set on arrival; it waits three seconds for a connection.
    Cause: the age is that of the data when it is read, not when it was asked for.
    """
    path = _path()
    path.pooling.granting = False
    path.liveness.aged = LogPosition(1, 1)
    path.read(1, "look", accepted_age=1.0)
    path.advance(3.0)
    path.liveness.aged = LogPosition(1, 6)
    path.grant()
    assert path.sent.call.minimum == LogPosition(1, 6)


def test_floor_of_an_answer_holds_for_later_reads_on_any_host():
    """Symptom: a claim's status goes back to an older one on reload.
    Sequence: a read shows (1, 9); the next goes through another host.
    Cause: the floor has to travel in the token, also for what was only read.
    """
    path = _path()
    path.read(1, "look")
    path.reply(applied=(1, 9))
    other = RequestPath(name="tanger-1")
    other.open(5, token=path.answer().token)
    other.read(5, "again")
    assert other.sent.call.minimum == LogPosition(1, 9)
    assert other.sent.connection.address == "127.0.0.1:1"


def test_read_waits_for_a_replica_that_is_about_to_have_the_floor():
    path = _path(floor=(1, 5))
    path.liveness.reach["m2"] = 0.02
    path.read(1, "look")
    assert path.pooling.sent == []
    path.report("m2", (1, 5))
    assert path.sent.connection.address == "127.0.0.1:2"


def test_members_that_are_behind_are_asked_again_for_a_while():
    """Symptom: all reads right after a write crowd the primary.
    Sequence: both replicas lag by some milliseconds more than was predicted.
    Cause: the primary is asked although a replica would have the floor soon.
    """
    path = _path()
    path.read(1, "look")
    for _ in range(3):
        path.reply(EndpointCode.BEHIND)
        path.advance(0.01)
    path.advance(0.05)
    path.reply(EndpointCode.BEHIND)
    path.reply(EndpointCode.BEHIND)
    asked = [sent.connection.address[-1] for sent in path.pooling.sent]
    assert asked[:3] == ["2", "3", "2"]
    assert asked[-1] == "1"


def test_answer_that_broke_off_is_not_continued_from_another_member():
    """Symptom: a tariff history has rows twice, or of two different moments.
    Sequence: two parts were passed on, then the connection is lost.
    Cause: parts of one answer can't be completed with those of another.
    """
    path = _path()
    path.read(1, "look", chunk_rows=10)
    path.reply(rows="part", last=False)
    assert path.answer().outcome is None
    path.lose()
    assert len(path.pooling.sent) == 1
    assert path.answer().outcome is Outcome.UNKNOWN


def test_part_of_a_stale_answer_is_not_passed_on():
    path = _path(floor=(1, 5))
    path.report("m2", (1, 5))
    path.read(1, "look", chunk_rows=10)
    path.reply(applied=(1, 4), rows="part", last=False)
    assert path.answered("look") == []
    assert path.pooling.discarded


def test_late_reply_reaches_nobody():
    """Symptom: a caller gets an answer after it was told the outcome.
    Sequence: the read's deadline passes; the endpoint's reply comes afterwards.
    Cause: the connection still carries the reply, whoever uses it next.
    """
    path = _path()
    path.read(1, "look", deadline=0.2)
    late = path.sent
    path.advance(0.3)
    assert path.answer().outcome is Outcome.UNKNOWN
    assert path.pooling.released == [(late.connection.number, False)]
    path.reply(sent=late, rows="late")
    assert len(path.answered("look")) == 1


def test_read_on_a_silent_connection_is_tried_elsewhere():
    """Symptom: single reads take seconds while the member answers all others.
    Sequence: something between the ends loses track of one connection.
    Cause: nothing ever breaks it; waiting for its answer waits for the deadline.
    """
    path = _path()
    path.read(1, "look")
    path.advance(0.3)
    assert path.sent.connection.address == "127.0.0.1:3"
    assert path.pooling.suspected == [path.pooling.sent[0].connection.number]
    path.reply(rows="r")
    assert path.answer().outcome is Outcome.DONE


@pytest.mark.parametrize(("patient", "runs"), [(False, 2), (True, 1)])
def test_long_report_is_left_to_finish(patient, runs):
    """Symptom: a long report runs at every member in turn, and ends at none.
    Sequence: each member takes longer than usual; the report begins anew elsewhere.
    Cause: a statement that is slow by itself was taken for a slow member each time.
    """
    path = _path()
    path.pooling.answering = True
    path.pooling.patient = patient
    path.read(1, "report", deadline=60.0)
    path.advance(30.0)
    assert len(path.pooling.sent) == runs
    path.reply(rows="r")
    assert path.answer().outcome is Outcome.DONE


def test_moved_read_on_a_connection_that_goes_silent_moves_again():
    path = _path()
    path.pooling.answering = True
    path.read(1, "report", deadline=60.0)
    path.advance(2.0)
    path.pooling.answering = False
    path.advance(0.2)
    assert len(path.pooling.sent) == 3


def test_read_without_budget_is_looked_at_again():
    path = _path()
    path.retries._budget("claims-core").left = 0.0
    path.read(1, "look")
    path.advance(1.0)
    path.retries._budget("claims-core").left = 1.0
    path.advance(0.2)
    assert len(path.pooling.sent) == 2


def test_read_with_too_long_a_line_at_one_member_is_served_by_another():
    """Symptom: reads are refused for a full queue while other members stand idle.
    Sequence: the best replica's line is too long for the deadline; the primary's not.
    Cause: one member's refusal was the answer.
    """
    path = _path()
    path.pooling.full = {"127.0.0.1:2": 0.4, "127.0.0.1:3": 0.2}
    path.read(1, "look")
    assert path.sent.connection.address == "127.0.0.1:1"
    path.reply(rows="r")
    assert path.answer().outcome is Outcome.DONE


def test_read_with_too_long_a_line_at_all_members_is_refused_with_the_least_time():
    path = _path()
    path.pooling.full = {f"127.0.0.1:{n}": s for n, s in ((1, 0.3), (2, 0.1), (3, 0.2))}
    path.read(1, "look")
    answer = path.answer()
    assert (answer.outcome, answer.code, answer.retry_after) == (
        Outcome.NOT_RUN,
        ErrorCode.QUEUE_FULL.code,
        0.1,
    )
    refused = [e for e in path.effects if getattr(e, "name", "") == "refused"]
    assert [dict(e.attributes)["code"] for e in refused] == [answer.code]


def test_write_with_too_long_a_line_is_refused():
    path = _path()
    path.pooling.full = {"127.0.0.1:1": 0.1}
    path.write(1, "file")
    assert path.answer().code == ErrorCode.QUEUE_FULL.code


def test_read_queued_at_a_member_that_lets_nobody_in_moves_on():
    path = _path()
    path.pooling.granting = path.pooling.connected = False
    path.read(1, "look")
    path.advance(0.3)
    assert path.pooling.queue[0][1] == "127.0.0.1:3"


def test_lost_floor_that_nobody_was_answered_from_is_learnt_again():
    """Symptom: after a failover a session gets FLOOR_LOST though it lost nothing.
    Sequence: the learnt floor (1, 9) was in the part that the promotion dropped.
    Cause: a floor learnt from a majority may hold entries that no majority had.
    """
    path = RequestPath()
    path.open(1)
    path.read(1, "look")
    path.liveness.term_starts[2] = 7
    path.database.term = 2
    path.learn((1, 9))
    assert path.answered("look") == []
    path.learn((2, 7))
    assert path.sent.call.minimum == LogPosition(2, 7)


def test_read_needs_no_primary_when_a_replica_has_the_floor():
    path = _path()
    path.lose_primary()
    path.read(1, "look")
    path.reply()
    assert path.answer().from_replica
    assert KEY in path.node.tables.sessions[1].floors
