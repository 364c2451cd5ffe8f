"""Reads: no answer is forwarded that does not contain the session's floor."""

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


def test_read_is_served_by_a_replica_that_has_reached_the_floor():
    path = _path()
    path.read(1, "look")
    assert path.sent.connection.address == "127.0.0.1:2"
    path.reply(applied=(1, 1), rows="r")
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().from_replica


def test_stale_answer_is_dropped_and_read_elsewhere():
    """A session's own write is missing from its next read.

    m2 reports (1, 5), restarts from an older log and answers from (1, 4). The report
    chose the member, but only the answer's position shows what the answer contains.
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


def test_answer_of_a_later_term_that_discarded_the_floor_is_not_forwarded():
    """Data that a session has seen is gone, without FLOOR_LOST.

    The session saw (1, 9), term 2 starts at 7, and a member of term 2 has reached
    (2, 8). That position is above (1, 9) by its term, but its log does not contain
    (1, 9).
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
    """Data that a session has seen is gone, without FLOOR_LOST.

    The session saw (1, 9), term 2 starts at 7, and the session writes before it reads.
    The position (2, 8) of the write is above the floor and would replace it.
    """
    path = _path(floor=(1, 9))
    path.promote("m2", term=2, start=7)
    path.write(1, "file")
    path.reply(applied=(2, 8))
    path.hold(2, 8)
    assert path.answer().outcome is Outcome.DONE
    path.read(1, "look")
    assert path.answer().code == ErrorCode.FLOOR_LOST.code


def test_answer_of_an_unknown_term_is_not_forwarded():
    """A read during a promotion lacks the session's own write.

    m2 follows term 3 before its report says so, and answers from (3, 2). Whether the
    log of term 3 contains (1, 5) depends on where term 3 started.
    """
    path = _path(floor=(1, 5))
    path.report("m2", (1, 5))
    path.read(1, "look")
    path.reply(applied=(3, 2), rows="unproven")
    assert path.answered("look") == []


def test_session_without_a_floor_learns_it_from_a_majority():
    """A caller that lost its token does not see what it wrote.

    The caller writes through one host and reads through another one without the token.
    An unknown floor does not mean that the session has written nothing.
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


def test_read_with_an_unknown_floor_is_refused_at_once_without_a_majority():
    path = RequestPath()
    path.open(1)
    path.read(1, "look")
    path.learn(None)
    assert path.answer().code == ErrorCode.MINORITY_SIDE.code
    assert path.answer().retry_after > 0


@pytest.mark.parametrize("is_recorded", [True, False])
def test_floor_of_the_newest_term_does_not_hide_a_lost_one(is_recorded):
    """A read is DONE and lacks what its session has seen.

    The session saw (1, 9) and term 2 starts at 7. The read accepts an age, for which
    the floor (2, 8) is known or learnt. All floors must be checked, not only the
    highest.
    """
    path = _path(floor=(1, 9))
    path.promote("m2", term=2, start=7)
    path.liveness.aged = LogPosition(2, 8) if is_recorded else None
    path.read(1, "look", accepted_age=1.0)
    if not is_recorded:
        path.learn((2, 8))
    assert path.answer().code == ErrorCode.FLOOR_LOST.code


def test_answer_with_the_learnt_floor_but_not_the_sessions_is_not_forwarded():
    """A read is DONE and lacks what its session has seen.

    The session saw (1, 9) and term 2 starts at 7, which the host does not know before
    the answer comes. The position of the answer must be compared with both floors, not
    only with the highest.
    """
    path = _path(floor=(1, 9))
    path.report("m2", (2, 8))
    path.liveness.term_starts[2] = 7
    path.read(1, "look", accepted_age=1.0)
    path.learn((2, 8))
    path.reply(applied=(2, 8), rows="without")
    assert path.answered("look") == []


def test_age_shorter_than_a_round_trip_is_met_by_a_floor_learnt_for_the_read():
    """A read with an accepted age of 0 s is NOT_RUN at its deadline.

    A floor that is learnt for the read is older than the age as soon as it is known.
    The floor must not be learnt again and again until the deadline.
    """
    path = _path()
    path.read(1, "look", accepted_age=0.0)
    path.advance(0.02)
    path.learn((1, 1))
    path.reply(applied=(1, 1))
    assert path.answer().outcome is Outcome.DONE


def test_floor_is_learnt_again_only_once_for_a_read_that_queued():
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
    """A read is older than its service declares.

    The service accepts 2 s, the statement 60 s. The lower of the two has to apply.
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
    """A read that accepts an age of one second returns data that is four seconds old.

    The floor is set on arrival, and the read queues for three seconds. The age applies
    to the time at which the read is sent.
    """
    path = _path()
    path.pooling.granting = False
    path.liveness.aged = LogPosition(1, 1)
    path.read(1, "look", accepted_age=1.0)
    path.advance(3.0)
    path.liveness.aged = LogPosition(1, 6)
    path.grant()
    assert path.sent.call.minimum == LogPosition(1, 6)


def test_floor_of_an_answer_applies_to_later_reads_on_any_host():
    """Data goes back to an older state when the caller reads again.

    A read returns (1, 9), and the next read goes through another host. The token has to
    carry the position of reads as well as of writes.
    """
    path = _path()
    path.read(1, "look")
    path.reply(applied=(1, 9))
    other = RequestPath(name="tanger-1")
    other.open(5, token=path.answer().token)
    other.read(5, "again")
    assert other.sent.call.minimum == LogPosition(1, 9)
    assert other.sent.connection.address == "127.0.0.1:1"


def test_read_waits_for_a_replica_that_is_about_to_reach_the_floor():
    path = _path(floor=(1, 5))
    path.liveness.reach["m2"] = 0.02
    path.read(1, "look")
    assert path.pooling.sent == []
    path.report("m2", (1, 5))
    assert path.sent.connection.address == "127.0.0.1:2"


def test_members_that_are_behind_are_tried_again_for_a_while():
    """All reads right after a write are sent to the primary.

    Both replicas lag some milliseconds more than predicted. The primary must not be
    used while a replica will reach the floor soon.
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
    """An answer has rows twice, or rows of two log positions.

    Two parts were forwarded before the connection was lost. The parts of one answer
    cannot be completed with those of another.
    """
    path = _path()
    path.read(1, "look", chunk_rows=10)
    path.reply(rows="part", last=False)
    assert path.answer().outcome is None
    path.lose()
    assert len(path.pooling.sent) == 1
    assert path.answer().outcome is Outcome.UNKNOWN


def test_part_of_a_stale_answer_is_not_forwarded():
    path = _path(floor=(1, 5))
    path.report("m2", (1, 5))
    path.read(1, "look", chunk_rows=10)
    path.reply(applied=(1, 4), rows="part", last=False)
    assert path.answered("look") == []
    assert path.pooling.discarded


def test_late_reply_is_not_forwarded():
    """A caller gets an answer after the outcome.

    The read's deadline passes before the endpoint replies. The reply arrives on a
    connection that may serve another request.
    """
    path = _path()
    path.read(1, "look", deadline=0.2)
    late = path.sent
    path.advance(0.3)
    assert path.answer().outcome is Outcome.UNKNOWN
    assert path.pooling.released == [(late.connection.number, False)]
    path.reply(sent=late, rows="late")
    assert len(path.answered("look")) == 1


def test_read_on_an_unresponsive_connection_is_retried_elsewhere():
    """Single reads take seconds while the member answers all others.

    A network device has lost track of one connection, which is never closed. Waiting
    for the reply would last until the deadline.
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
    """A long report runs at every member in turn and finishes at none.

    A statement that is slow by itself must not be taken for a slow member and restarted
    at the next member.
    """
    path = _path()
    path.pooling.answering = True
    path.pooling.patient = patient
    path.read(1, "report", deadline=60.0)
    path.advance(30.0)
    assert len(path.pooling.sent) == runs
    path.reply(rows="r")
    assert path.answer().outcome is Outcome.DONE


def test_retried_read_whose_connection_becomes_unresponsive_is_retried_again():
    path = _path()
    path.pooling.answering = True
    path.read(1, "report", deadline=60.0)
    path.advance(2.0)
    path.pooling.answering = False
    path.advance(0.2)
    assert len(path.pooling.sent) == 3


def test_overdue_read_is_retried_once_the_budget_allows_it():
    path = _path()
    path.retries._budget("claims-core").left = 0.0
    path.read(1, "look")
    path.advance(1.0)
    path.retries._budget("claims-core").left = 1.0
    path.advance(0.2)
    assert len(path.pooling.sent) == 2


def test_read_with_a_full_queue_at_one_member_is_served_by_another():
    """Reads are refused for a full queue while other members are idle.

    The queue of the best replica is too long for the deadline, that of the primary is
    not. The refusal of one member must not be taken for the final answer.
    """
    path = _path()
    path.pooling.full = {"127.0.0.1:2": 0.4, "127.0.0.1:3": 0.2}
    path.read(1, "look")
    assert path.sent.connection.address == "127.0.0.1:1"
    path.reply(rows="r")
    assert path.answer().outcome is Outcome.DONE


def test_read_with_full_queues_at_all_members_gets_the_shortest_retry_time():
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


def test_write_with_a_full_queue_at_the_primary_is_refused():
    path = _path()
    path.pooling.full = {"127.0.0.1:1": 0.1}
    path.write(1, "file")
    assert path.answer().code == ErrorCode.QUEUE_FULL.code


def test_read_queued_at_a_member_without_connections_is_retried_elsewhere():
    path = _path()
    path.pooling.granting = path.pooling.connected = False
    path.read(1, "look")
    path.advance(0.3)
    assert path.pooling.queue[0][1] == "127.0.0.1:3"


def test_discarded_floor_that_no_answer_contained_is_learnt_again():
    """A session gets FLOOR_LOST after a failover though it lost nothing.

    The learnt floor (1, 9) was in the part of the log that the promotion discarded. A
    floor that was learnt from a majority may cover entries that no majority held.
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


def test_read_needs_no_primary_if_a_replica_has_reached_the_floor():
    path = _path()
    path.lose_primary()
    path.read(1, "look")
    path.reply()
    assert path.answer().from_replica
    assert KEY in path.node.tables.sessions[1].floors
