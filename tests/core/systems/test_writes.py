"""Writes: run at most once, and acknowledged only once a majority holds them."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import EndpointCode, Outcome, OutcomeState
from mallowpass.core.systems.retries import BUDGET_MAX
from mallowpass.errors import ErrorCode
from tests.fakes.requestpath import KEY, RequestPath

NOT_RECORDED = OutcomeState.NOT_RECORDED
RECORDED = OutcomeState.RECORDED


@pytest.fixture
def path() -> RequestPath:
    """Return a request path with one open session."""
    path = RequestPath()
    path.open_known()
    return path


def _sent_attempts(path: RequestPath) -> list[tuple[int, int]]:
    """Return term and attempt of all writes that were sent."""
    return [(sent.call.term, sent.call.attempt) for sent in path.pooling.sent]


def test_write_is_done_once_a_majority_holds_it(path):
    """An acknowledged write is lost by a failover.

    The primary runs the write, answers OK and fails before a replica has received the
    write. The OK of one member does not show what the next primary's log contains.
    """
    path.write(1, "file")
    path.reply(applied=(1, 7), rows="r")
    assert path.answered("file") == []
    path.hold(1, 7)
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().rows == "r"
    path.read(1, "look")
    assert path.sent.call.minimum == (1, 7)


def test_ok_of_a_replaced_primary_is_not_acknowledged(path):
    """A write is acknowledged and missing from the log.

    m1 is cut off and still leads its own term while m2 was promoted. m1's OK concerns a
    log that no other member follows.
    """
    path.write(1, "file")
    path.reply(applied=(1, 7))
    path.promote("m2", term=2, start=7)
    assert path.answered("file") == []
    assert path.look_up(NOT_RECORDED).term == 2
    path.hold(2, 7)
    assert _sent_attempts(path) == [(1, 1), (2, 2)]
    path.reply(applied=(2, 8))
    path.hold(2, 8)
    assert path.answer().outcome is Outcome.DONE


def test_absence_in_a_later_term_is_proof_only_once_that_term_is_held(path):
    """A write that was answered NOT_RUN is recorded.

    m2 leads term 2 without the record and fails before a majority holds the start of
    term 2. Term 3 starts from the log of term 1, which has the record. Only what a
    majority holds survives the next promotion.
    """
    path.write(1, "file")
    path.lose()
    path.promote("m2", term=2, start=7)
    path.liveness.controls.pop(0)
    path.look_up(NOT_RECORDED)
    assert _sent_attempts(path) == [(1, 1)]
    path.promote("m3", term=3, start=8)
    path.look_up(RECORDED, position=(1, 7), rows="r")
    assert path.answered("file") == []
    path.hold(3, 8)
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().rows == "r"
    assert _sent_attempts(path) == [(1, 1)]


def test_absence_in_the_term_of_sending_is_proof_only_once_that_term_is_held(path):
    """A write that was answered NOT_RUN is recorded.

    A duplicate ran in term 1 through another host. m2 leads term 2, of which no
    majority holds anything; this attempt is sent there, lost and not recorded. Term 3
    starts from the log of term 1. A look-up in the term of sending must not be taken
    for proof by itself.
    """
    path.promote("m2", term=2, start=7)
    path.write(1, "file")
    path.lose()
    path.look_up(NOT_RECORDED)
    path.advance(0.1)
    assert _sent_attempts(path) == [(2, 1)]
    path.promote("m3", term=3, start=8)
    path.look_up(RECORDED, position=(1, 7), rows="r")
    path.hold(3, 8)
    assert [answer.rows for answer in path.answered("file")] == ["r"]


def test_write_on_a_lost_connection_is_looked_up_before_it_runs_again(path):
    """A write is recorded twice.

    The connection is lost after the endpoint ran the write and before the endpoint's
    reply. A missing reply does not mean that the write did not run.
    """
    path.write(1, "file")
    path.lose()
    assert len(path.pooling.sent) == 1
    call = path.look_up(RECORDED, position=(1, 7), rows="r")
    assert (call.request_id, call.fence, call.fence_attempt) == (
        "caller-1/file",
        True,
        1,
    )
    path.hold(1, 7)
    assert path.answer().outcome is Outcome.DONE
    assert len(path.pooling.sent) == 1
    assert path.failover.suspected == ["127.0.0.1:1"]


def test_fenced_write_that_was_not_recorded_runs_again_as_a_new_attempt(path):
    path.write(1, "file")
    path.lose()
    path.look_up(None)
    path.advance(0.1)
    path.look_up(NOT_RECORDED)
    path.advance(0.1)
    assert _sent_attempts(path) == [(1, 1), (1, 2)]


def test_result_for_an_earlier_attempt_does_not_count_for_a_later_one(path):
    """A write runs twice after the primary was lost and found again.

    The look-up of attempt 1 is slow. A second look-up is answered first, attempt 2 is
    sent and lost, then the first look-up returns that attempt 1 was not recorded. This
    does not show whether attempt 2 ran.
    """
    path.write(1, "file")
    path.lose()
    slow = path.liveness.controls.pop()
    path.lose_primary()
    path.promote("m1", term=1, start=1)
    path.look_up(NOT_RECORDED)
    path.advance(0.1)
    path.lose()
    path.liveness.controls.insert(0, slow)
    path.look_up(NOT_RECORDED)
    path.advance(0.4)
    assert _sent_attempts(path) == [(1, 1), (1, 2)]


def test_write_with_an_internal_error_of_the_endpoint_is_looked_up(path):
    path.write(1, "file")
    path.reply(EndpointCode.INTERNAL)
    assert path.answered("file") == []
    assert len(path.liveness.controls) == 1


def test_unrepeatable_write_that_cannot_be_looked_up_is_unknown_at_once(path):
    """A write runs twice at an endpoint that records no outcomes.

    The connection is lost and the outcome cannot be looked up. Without proof, only the
    caller may decide to send an unrepeatable write again.
    """
    path.endpoint("m1").report = None
    path.report("m1", (1, 1), outcome_lookup=False)
    path.write(1, "file")
    path.lose()
    assert path.answer().outcome is Outcome.UNKNOWN
    path.write(1, "note", unrepeatable=False)
    path.lose()
    path.advance(0.1)
    assert len(path.pooling.sent) == 3
    assert path.sent.request.request.request_id == "note"


def test_attempt_after_a_fence_has_a_higher_number(path):
    """Each retry of a caller is refused.

    Another host abandoned and fenced the first attempt. The attempt number of the
    caller's retry must start above the fence.
    """
    path.write(1, "file")
    path.reply(EndpointCode.FENCED, attempt=3)
    assert _sent_attempts(path) == [(1, 1), (1, 4)]


def test_copy_of_a_write_that_ran_is_answered_when_that_is_held(path):
    """A retry is answered DONE, and the write is lost by a failover.

    The write ran in term 1, and the retry finds its record in term 2. A record is no
    more durable than any other entry of the log.
    """
    path.promote("m2", term=2, start=7)
    path.write(1, "file")
    path.reply(EndpointCode.ALREADY_RUN, applied=(1, 6), rows="first")
    assert path.answered("file") == []
    path.hold(2, 7)
    answer = path.answer()
    assert (answer.outcome, answer.rows, answer.repeated) == (
        Outcome.DONE,
        "first",
        True,
    )


def test_copies_in_flight_are_answered_from_one_run(path):
    """Two duplicates of one write run concurrently.

    The caller's stream is lost, and the caller sends the same id on another stream
    while the first request is in progress.
    """
    path.open(2, caller="caller-1")
    path.write(1, "file")
    path.leave(1)
    path.write(2, "file")
    assert len(path.pooling.sent) == 1
    path.reply(applied=(1, 7))
    path.hold(1, 7)
    assert [answer.outcome for answer in path.answered("file")] == [Outcome.DONE]
    assert path.node.tables.sessions[2].floors[KEY] == (1, 7)


def test_request_id_with_another_statement_is_refused(path):
    path.write(1, "file", sql="first")
    path.write(1, "file", sql="second")
    assert path.answer().code == ErrorCode.REQUEST_ID_REUSED.code
    path.reply(applied=(1, 7))
    path.hold(1, 7)
    path.write(1, "file", sql="second")
    assert path.answer().code == ErrorCode.REQUEST_ID_REUSED.code
    assert len(path.pooling.sent) == 1


def test_ids_of_two_callers_never_collide(path):
    """A caller gets the answer to another caller's write, and its own write never runs.

    Caller "a/b" sends request "c" and caller "a" sends request "b/c". The endpoint
    records caller and request id as one text.
    """
    path.open(2, caller="a/b")
    path.open(3, caller="a")
    path.write(2, "c")
    path.write(3, "b/c")
    assert len({sent.call.request_id for sent in path.pooling.sent}) == 2


def test_writes_are_held_without_a_primary_and_run_in_order(path):
    """Callers get errors during a failover.

    The primary is lost, writes arrive, and m2 is promoted before their deadlines. The
    writes must wait for the promotion.
    """
    path.lose_primary()
    for name in ("a", "b", "c"):
        path.write(1, name)
    assert path.pooling.sent == []
    path.promote("m2", term=2, start=7)
    names = [sent.request.request.request_id for sent in path.pooling.sent]
    assert names == ["a", "b", "c"]
    assert {sent.call.term for sent in path.pooling.sent} == {2}


def test_held_writes_do_not_spend_the_retry_budget(path):
    """Most writes are refused with RETRY_BUDGET_SPENT during a failover.

    More writes wait for the failed primary, to which no connection can be opened, than
    the budget has retries. Waiting for a promotion is not a retry.
    """
    path.pooling.granting = False
    for number in range(int(BUDGET_MAX) + 5):
        path.write(1, f"w{number}")
    waiting, path.pooling.queue = path.pooling.queue, []
    for request, _ in waiting:
        code = ErrorCode.CONNECTION_LOST.code
        path.requests.on_refused(request, code, "down", 0.0)
    path.promote("m2", term=2, start=7)
    assert len(path.pooling.queue) == len(waiting)
    assert not [a for _, a in path.answers if a.outcome is Outcome.NOT_RUN]


def test_write_refused_for_its_term_waits_for_a_newer_term(path):
    path.write(1, "file")
    path.reply(EndpointCode.WRONG_TERM)
    assert len(path.pooling.sent) == 1
    path.promote("m2", term=2, start=7)
    assert _sent_attempts(path) == [(1, 1), (2, 1)]


@pytest.mark.parametrize(
    ("stage", "outcome", "code"),
    [
        ("held", Outcome.NOT_RUN, ErrorCode.FAILING_OVER),
        ("queued", Outcome.NOT_RUN, ErrorCode.DEADLINE_PASSED),
        ("sent", Outcome.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN),
        ("holding", Outcome.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN),
        ("resolving", Outcome.UNKNOWN, ErrorCode.OUTCOME_UNKNOWN),
    ],
)
def test_outcome_at_the_deadline_tells_what_is_known(path, stage, outcome, code):
    """A write that ran is NOT_RUN, or a write that was never sent is UNKNOWN.

    The deadline passes in each state of the write. Only a write that was not sent is
    proven not to have run.
    """
    if stage == "held":
        path.lose_primary()
    path.pooling.granting = stage != "queued"
    path.write(1, "file", deadline=1.0)
    if stage == "holding":
        path.reply(applied=(1, 7))
    elif stage == "resolving":
        path.lose()
    path.advance(1.1)
    assert (path.answer().outcome, path.answer().code) == (outcome, code.code)
    assert path.pooling.queue == []
    path.promote("m2", term=2, start=7)
    path.grant()
    path.hold(2, 9)
    assert len(path.answered("file")) == 1
    assert len(path.pooling.sent) == (stage not in ("held", "queued"))


def test_connection_granted_after_the_deadline_is_released(path):
    """A write that was answered NOT_RUN is recorded.

    The pool grants a connection to the write just after the write's deadline, as it may
    not know yet that the write no longer waits. The write must not be sent.
    """
    path.pooling.granting = False
    path.write(1, "file", deadline=1.0)
    waiting = list(path.pooling.queue)
    path.advance(1.1)
    path.pooling.queue = waiting
    path.grant()
    assert path.pooling.sent == []
    assert len(path.pooling.released) == 1


def test_connection_granted_to_a_former_primary_is_not_used_for_a_write(path):
    path.pooling.granting = False
    path.write(1, "file")
    path.database.primary = path.endpoint("m2").address
    path.database.term = 2
    path.grant()
    assert [sent.connection.address for sent in path.pooling.sent] == ["127.0.0.1:2"]


def test_write_queued_at_a_former_primary_is_requeued_at_the_new_one(path):
    path.pooling.granting = False
    path.write(1, "file")
    path.promote("m2", term=2, start=7)
    assert [address for _, address in path.pooling.queue] == ["127.0.0.1:2"]


def test_write_sent_to_an_unresponsive_primary_is_resolved_by_its_successor(path):
    """Writes in flight take seconds after a failover has ended.

    m1 becomes unresponsive with a write in flight, and m2 is promoted. No reply will
    arrive on the connection to m1.
    """
    path.write(1, "file")
    path.promote("m2", term=2, start=7)
    assert path.pooling.discarded == [path.pooling.sent[0].connection.number]
    path.look_up(NOT_RECORDED)
    path.hold(2, 7)
    assert _sent_attempts(path) == [(1, 1), (2, 2)]


def test_write_on_an_unresponsive_connection_is_looked_up_early(path):
    """Single writes take seconds while the primary answers all others.

    A network device has lost track of one connection, which is never closed. The
    primary's record shows at once whether the write ran.
    """
    path.write(1, "file")
    path.advance(0.8)
    assert path.pooling.released == [(path.sent.connection.number, False)]
    assert path.pooling.suspected == [path.sent.connection.number]
    path.look_up(RECORDED, position=(1, 7), rows="r")
    path.reply(applied=(1, 7), rows="late")
    path.hold(1, 7)
    assert [answer.rows for answer in path.answered("file")] == ["r"]
    assert len(path.pooling.sent) == 1


def test_slow_write_is_not_fenced_while_its_connection_answers(path):
    """A long write never finishes, or is answered NOT_RUN.

    The write takes more than eight times the usual latency. If it were fenced and sent
    again, each attempt would be as slow as the first and would be fenced as well.
    """
    path.pooling.answering = True
    path.write(1, "reconcile", deadline=60.0)
    path.advance(30.0)
    assert path.liveness.controls == [] and len(path.pooling.sent) == 1
    path.pooling.answering = False
    path.advance(0.3)
    assert len(path.liveness.controls) == 1


def test_pause_of_the_primary_does_not_cause_refusals(path):
    """Writes are refused with RETRY_BUDGET_SPENT after a pause of the primary.

    More writes in flight are overdue than the budget has retries. A write must not be
    fenced before it is certain that the write can be sent again.
    """
    path.retries._budget("claims-core").left = 2.0
    for name in ("a", "b", "c"):
        path.write(1, name)
    path.advance(0.6)
    assert len(path.liveness.controls) == 2
    path.look_up(NOT_RECORDED)
    path.look_up(NOT_RECORDED)
    assert [sent.call.attempt for sent in path.pooling.sent] == [1, 1, 1, 2, 2]
    assert path.answered("a") == path.answered("b") == path.answered("c") == []


def test_retry_beyond_the_budget_is_refused_at_once_with_a_retry_time(path):
    path.retries._budget("claims-core").left = 0.0
    path.write(1, "file")
    path.reply(EndpointCode.BUSY)
    assert path.answer().outcome is Outcome.NOT_RUN
    assert path.answer().code == ErrorCode.RETRY_BUDGET_SPENT.code
    assert path.answer().retry_after > 0


def test_statement_with_an_sql_error_is_not_retried(path):
    path.write(1, "file")
    path.reply(EndpointCode.SQL_ERROR, message="UNIQUE constraint failed: claim.id")
    assert path.answer().outcome is Outcome.NOT_RUN
    assert path.answer().code == ErrorCode.CONSTRAINT_VIOLATED.code


def test_held_writes_are_released_although_a_signal_was_missed(path):
    path.lose_primary()
    path.write(1, "file")
    path.database.primary = "127.0.0.1:1"
    path.advance(0.2)
    assert len(path.pooling.sent) == 1
