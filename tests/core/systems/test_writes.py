"""Writes: run at most once, acknowledged only when they stay."""

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


def _writes(path: RequestPath) -> list[tuple[int, int]]:
    """Return term and attempt of all writes that were sent."""
    return [(sent.call.term, sent.call.attempt) for sent in path.pooling.sent]


def test_write_is_done_once_a_majority_holds_it(path):
    """Symptom: an acknowledged claim is gone after a failover.
    Sequence: the primary runs it, answers OK and dies before anybody has it.
    Cause: one member's OK says nothing of what the next primary will have.
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
    """Symptom: a receipt is acknowledged, and missing from the ledger.
    Sequence: m1 is cut off and still leads its own term; m2 was promoted.
    Cause: m1's OK is about a log that nobody follows any more.
    """
    path.write(1, "file")
    path.reply(applied=(1, 7))
    path.promote("m2", term=2, start=7)
    assert path.answered("file") == []
    assert path.look_up(NOT_RECORDED).term == 2
    path.hold(2, 7)
    assert _writes(path) == [(1, 1), (2, 2)]
    path.reply(applied=(2, 8))
    path.hold(2, 8)
    assert path.answer().outcome is Outcome.DONE


def test_absence_in_a_later_term_is_proof_only_once_that_term_is_held(path):
    """Symptom: a claim answered NOT_RUN is recorded all the same.
    Sequence: m2 leads term 2 and has no record; it dies before a majority has the
    start of its term; term 3 is given to the log of term 1, record and all.
    Cause: only what a majority holds outlives the next promotion.
    """
    path.write(1, "file")
    path.lose()
    path.promote("m2", term=2, start=7)
    path.liveness.controls.pop(0)
    path.look_up(NOT_RECORDED)
    assert _writes(path) == [(1, 1)]
    path.promote("m3", term=3, start=8)
    path.look_up(RECORDED, position=(1, 7), rows="r")
    assert path.answered("file") == []
    path.hold(3, 8)
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().rows == "r"
    assert _writes(path) == [(1, 1)]


def test_absence_in_the_term_of_its_sending_is_no_proof_before_that_is_held(path):
    """Symptom: a claim answered NOT_RUN is recorded all the same.
    Sequence: a first copy ran in term 1 through another host. m2 leads term 2, which
    no majority has anything of; this copy is sent there, lost and not recorded. Term
    3 is given to the log of term 1, record and all.
    Cause: the look-up's term was that of the sending, and taken for proof by itself.
    """
    path.promote("m2", term=2, start=7)
    path.write(1, "file")
    path.lose()
    path.look_up(NOT_RECORDED)
    path.advance(0.1)
    assert _writes(path) == [(2, 1)]
    path.promote("m3", term=3, start=8)
    path.look_up(RECORDED, position=(1, 7), rows="r")
    path.hold(3, 8)
    assert [answer.rows for answer in path.answered("file")] == ["r"]


def test_write_on_a_lost_connection_is_looked_up_before_it_runs_again(path):
    """Symptom: a claim is recorded twice, and rejected in both copies.
    Sequence: the connection breaks after the endpoint ran it, before its answer.
    Cause: no answer is not the same as not run.
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
    assert _writes(path) == [(1, 1), (1, 2)]


def test_verdict_on_an_earlier_attempt_does_not_count_for_a_later_one(path):
    """Symptom: a receipt is doubled after a flapping primary.
    Sequence: a look-up of attempt 1 is slow; the primary is lost and heard again, a
    second look-up comes first, attempt 2 is sent and lost; then the slow one says:
    not recorded.
    Cause: it is true of attempt 1 only.
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
    assert _writes(path) == [(1, 1), (1, 2)]


def test_unclear_failure_of_the_endpoint_is_looked_up(path):
    path.write(1, "file")
    path.reply(EndpointCode.INTERNAL)
    assert path.answered("file") == []
    assert len(path.liveness.controls) == 1


def test_unrepeatable_write_that_cannot_be_looked_up_is_unknown_at_once(path):
    """Symptom: a claim is doubled at an endpoint that keeps no request ids.
    Sequence: its connection is lost; nobody can tell whether it ran.
    Cause: without proof only the caller may decide to send it again.
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
    """Symptom: a caller's retry is refused for ever.
    Sequence: another host gave the first copy up and fenced it; the caller retries.
    Cause: the new copy starts at a number that stands under the fence.
    """
    path.write(1, "file")
    path.reply(EndpointCode.FENCED, attempt=3)
    assert _writes(path) == [(1, 1), (1, 4)]


def test_copy_of_a_write_that_ran_is_answered_when_that_is_held(path):
    """Symptom: a caller's retry gets DONE, and the claim is gone after a failover.
    Sequence: the first copy ran in term 1; the retry finds its record in term 2.
    Cause: a record is no more durable than any other entry.
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
    """Symptom: two copies of one filing race each other to the endpoint.
    Sequence: the caller's stream breaks; it opens another and sends the same id.
    Cause: the first copy still runs here, though its stream is gone.
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


def test_ids_of_two_callers_never_meet(path):
    """Symptom: a caller's receipt is answered with another's, and never runs.
    Sequence: caller "a/b" sends request "c", caller "a" sends request "b/c".
    Cause: the endpoint records caller and request id as one text.
    """
    path.open(2, caller="a/b")
    path.open(3, caller="a")
    path.write(2, "c")
    path.write(3, "b/c")
    assert len({sent.call.request_id for sent in path.pooling.sent}) == 2


def test_writes_are_held_without_a_primary_and_run_in_order(path):
    """Symptom: callers see errors for the length of a failover.
    Sequence: the primary is lost; writes arrive; m2 is promoted.
    Cause: the gap is shorter than their deadlines.
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
    """Symptom: in a failover most writes are refused: budget of retries spent.
    Sequence: more writes wait at the dead primary than the budget has retries; no
    connection to it can be opened.
    Cause: waiting for a promotion is not a retry.
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


def test_write_refused_for_its_term_waits_for_the_reports(path):
    path.write(1, "file")
    path.reply(EndpointCode.WRONG_TERM)
    assert len(path.pooling.sent) == 1
    path.promote("m2", term=2, start=7)
    assert _writes(path) == [(1, 1), (2, 1)]


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
    """Symptom: a write answered NOT_RUN did run, or one never sent is UNKNOWN.
    Sequence: its deadline passes at each stage of its way.
    Cause: only what was never sent is proven not to have run.
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


def test_grant_that_crosses_the_deadline_is_given_back(path):
    """Symptom: a claim answered NOT_RUN is recorded all the same.
    Sequence: its deadline passes just when a connection comes free for it.
    Cause: whoever grants may not have heard yet that nobody waits any more.
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


def test_write_queued_at_a_former_primary_moves_to_the_new_one(path):
    path.pooling.granting = False
    path.write(1, "file")
    path.promote("m2", term=2, start=7)
    assert [address for _, address in path.pooling.queue] == ["127.0.0.1:2"]


def test_write_sent_to_a_silent_primary_is_resolved_by_the_next(path):
    """Symptom: writes in flight hang for seconds after a failover is over.
    Sequence: m1 goes silent with the write in flight; m2 is promoted.
    Cause: nobody will ever answer on that connection.
    """
    path.write(1, "file")
    path.promote("m2", term=2, start=7)
    assert path.pooling.discarded == [path.pooling.sent[0].connection.number]
    path.look_up(NOT_RECORDED)
    path.hold(2, 7)
    assert _writes(path) == [(1, 1), (2, 2)]


def test_write_on_a_silent_connection_is_looked_up_early(path):
    """Symptom: single writes take seconds while the primary answers all others.
    Sequence: something between the ends loses track of one connection.
    Cause: nothing ever breaks it; the record tells at once whether it ran.
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
    """Symptom: a long write of the reconciliation never ends, or ends NOT_RUN.
    Sequence: it takes longer than eight usual ones; it is fenced and sent again.
    Cause: each copy is as slow as the first, and is fenced in its turn.
    """
    path.pooling.answering = True
    path.write(1, "reconcile", deadline=60.0)
    path.advance(30.0)
    assert path.liveness.controls == [] and len(path.pooling.sent) == 1
    path.pooling.answering = False
    path.advance(0.3)
    assert len(path.liveness.controls) == 1


def test_pause_of_the_primary_does_not_get_writes_refused(path):
    """Symptom: after a pause of a second, writes are refused: budget spent.
    Sequence: more writes are in flight than the budget has retries; all are overdue.
    Cause: each was fenced before it was clear that it could be sent again.
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


def test_retry_beyond_the_budget_is_refused_at_once_with_a_time(path):
    path.retries._budget("claims-core").left = 0.0
    path.write(1, "file")
    path.reply(EndpointCode.BUSY)
    assert path.answer().outcome is Outcome.NOT_RUN
    assert path.answer().code == ErrorCode.RETRY_BUDGET_SPENT.code
    assert path.answer().retry_after > 0


def test_refused_statement_is_not_tried_again(path):
    path.write(1, "file")
    path.reply(EndpointCode.SQL_ERROR, message="UNIQUE constraint failed: claim.id")
    assert path.answer().outcome is Outcome.NOT_RUN
    assert path.answer().code == ErrorCode.CONSTRAINT_VIOLATED.code


def test_missed_signal_does_not_hold_writes_for_ever(path):
    path.lose_primary()
    path.write(1, "file")
    path.database.primary = "127.0.0.1:1"
    path.advance(0.2)
    assert len(path.pooling.sent) == 1
