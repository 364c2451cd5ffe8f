"""Transactions: one connection from begin to end, and one way to end."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import (
    Access,
    BeginCall,
    BeginRequest,
    CommitCall,
    EndpointCode,
    ExecuteCall,
    Outcome,
    OutcomeState,
    RollbackRequest,
)
from mallowpass.errors import ErrorCode
from tests.fakes.requestpath import DATABASE, KEY, RequestPath

ROLLED_BACK = ErrorCode.TRANSACTION_ROLLED_BACK.code


@pytest.fixture
def path() -> RequestPath:
    """Return a request path with one open session."""
    path = RequestPath()
    path.open_known()
    return path


def _outcome(path: RequestPath, name: str) -> tuple[Outcome | None, str]:
    (answer,) = path.answered(name)
    return answer.outcome, answer.code


def test_statements_run_one_at_a_time_on_one_connection(path):
    """Symptom: statements of one transaction run in another order, or mixed.
    Sequence: a caller sends three without waiting for the answers.
    Cause: sent at once, the endpoint has two calls in flight on a connection.
    """
    name = path.begin(1, "t")
    connection = path.sent.connection.number
    path.write(1, "a", transaction=name)
    path.write(1, "b", transaction=name)
    path.commit(1, "c", name)
    assert path.sent.request.request.request_id == "a"
    path.reply()
    assert path.sent.request.request.request_id == "b"
    path.reply()
    assert isinstance(path.sent.call, CommitCall)
    assert {sent.connection.number for sent in path.pooling.sent} == {connection}


def test_commit_is_acknowledged_once_a_majority_holds_it(path):
    """Symptom: an acknowledged transaction is gone after a failover.
    Sequence: the primary commits, answers and dies before anybody has it.
    Cause: a commit is a write like any other.
    """
    name = path.begin(1, "t")
    path.commit(1, "c", name)
    path.reply(applied=(1, 9))
    assert path.answered("c") == []
    path.hold(1, 9)
    assert _outcome(path, "c") == (Outcome.DONE, "")
    assert path.node.tables.sessions[1].floors[KEY] == (1, 9)
    assert path.pooling.released == [(path.sent.connection.number, False)]


@pytest.mark.parametrize(
    ("state", "outcome", "code"),
    [
        (OutcomeState.RECORDED, Outcome.DONE, ""),
        (OutcomeState.NOT_RECORDED, Outcome.NOT_RUN, ROLLED_BACK),
    ],
)
def test_lost_commit_is_looked_up_by_the_id_of_its_begin(path, state, outcome, code):
    """Symptom: a committed transaction is answered NOT_RUN and run again.
    Sequence: the connection breaks between the commit and its answer.
    Cause: the endpoint rolls back what was not committed, but this may have been.
    """
    name = path.begin(1, "t")
    path.commit(1, "c", name)
    path.lose()
    assert path.answered("c") == []
    assert path.look_up(state, position=(1, 9)).request_id == "caller-1/t"
    path.hold(1, 9)
    assert _outcome(path, "c") == (outcome, code)
    assert len(path.pooling.sent) == 2


def test_commit_on_a_silent_connection_is_looked_up_early(path):
    """Symptom: single commits take three seconds while the primary answers others.
    Sequence: something between the ends loses track of the commit's connection.
    Cause: only pooling noticed, once the connection was silent for its whole time.
    """
    transaction = path.begin(1, "t")
    path.commit(1, "c", transaction)
    connection = path.sent.connection.number
    path.advance(0.4)
    path.endpoint("m1").last_reply_at = path.now
    path.advance(0.2)
    assert path.pooling.discarded == [connection]
    path.look_up(OutcomeState.RECORDED, position=(1, 7))
    path.hold(1, 7)
    assert path.answer().outcome is Outcome.DONE


@pytest.mark.parametrize("answering", [False, True])
def test_commit_at_a_primary_that_stands_still_or_works_is_left_alone(path, answering):
    """Symptom: a short pause of the primary rolls all its commits back.
    Sequence: it stands still with commits in flight; on waking it is asked first.
    Cause: they were fenced as overdue, and what is fenced is not sent again.
    """
    transaction = path.begin(1, "t")
    path.commit(1, "c", transaction)
    path.pooling.answering = answering
    path.endpoint("m1").last_reply_at = path.now + 100 * answering
    path.advance(2.0)
    assert path.liveness.controls == [] and path.pooling.discarded == []
    path.reply(applied=(1, 7))
    path.hold(1, 7)
    assert path.answer().outcome is Outcome.DONE


def test_lost_connection_ends_the_transaction(path):
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    path.write(1, "b", transaction=name)
    path.lose()
    path.commit(1, "c", name)
    for request in ("a", "b", "c"):
        assert _outcome(path, request) == (Outcome.NOT_RUN, ROLLED_BACK)
    assert path.liveness.controls == []


def test_transaction_of_another_session_is_refused(path):
    """Symptom: a caller's statement runs inside somebody else's transaction.
    Sequence: it guesses or copies the transaction's name.
    Cause: the name alone would decide whose connection is used.
    """
    name = path.begin(1, "t")
    path.open_known(2)
    path.write(2, "a", transaction=name)
    path.commit(2, "c", name)
    code = ErrorCode.TRANSACTION_OF_ANOTHER_SESSION.code
    assert _outcome(path, "a") == _outcome(path, "c") == (Outcome.NOT_RUN, code)
    assert len(path.pooling.sent) == 1


def test_caller_that_leaves_has_its_transaction_rolled_back(path):
    """Symptom: a connection and its locks are kept by nobody.
    Sequence: a caller's stream ends in the middle of a transaction.
    Cause: nobody else knows the transaction, so nobody would end it; and without
    a reset the next user's statements would join it.
    """
    path.begin(1, "t")
    path.leave(1)
    assert path.pooling.released == [(path.sent.connection.number, True)]
    assert path.node.tables.transactions == {}


def test_commit_under_way_is_not_cut_off_when_its_caller_leaves(path):
    name = path.begin(1, "t")
    path.commit(1, "c", name)
    path.leave(1)
    assert path.pooling.released == []
    path.reply(applied=(1, 9))
    assert path.pooling.released == [(path.sent.connection.number, False)]
    path.hold(1, 9)
    assert path.requests.in_flight == 0


def test_idle_transaction_is_rolled_back_with_its_own_code(path):
    """Symptom: all writers wait although nothing runs.
    Sequence: a caller begins, writes, and goes silent without leaving.
    Cause: its transaction keeps locks and one of the few connections.
    """
    name = path.begin(1, "t")
    idle = path.node.tuning.transaction_idle
    path.advance(idle / 2)
    path.write(1, "a", transaction=name)
    path.reply()
    path.advance(idle * 0.75)
    assert path.pooling.released == []
    path.advance(idle / 2)
    assert path.pooling.released == [(path.sent.connection.number, True)]
    path.commit(1, "c", name)
    code = ErrorCode.TRANSACTION_IDLE.code
    assert _outcome(path, "c") == (Outcome.NOT_RUN, code)


def test_transaction_that_ended_badly_leaves_a_reset_connection(path):
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    path.reply(EndpointCode.CONFLICT)
    assert _outcome(path, "a") == (Outcome.NOT_RUN, ROLLED_BACK)
    assert path.pooling.released == [(path.sent.connection.number, True)]


def test_bad_statement_does_not_end_its_transaction(path):
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    path.reply(EndpointCode.SQL_ERROR, message="no such table")
    assert _outcome(path, "a") == (Outcome.NOT_RUN, ErrorCode.INVALID_SQL.code)
    path.write(1, "b", transaction=name)
    path.reply()
    assert _outcome(path, "b") == (Outcome.DONE, "")


def test_promotion_ends_the_transactions_of_the_term_before(path):
    """Symptom: statements hang on a primary that was replaced.
    Sequence: m1 goes silent with a transaction open; m2 is promoted.
    Cause: no commit in the old term can be acknowledged any more.
    """
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    path.promote("m2", term=2, start=7)
    assert _outcome(path, "a") == (Outcome.NOT_RUN, ROLLED_BACK)
    assert path.pooling.discarded == [path.sent.connection.number]


def test_commit_of_an_unknown_transaction_is_not_called_not_run(path):
    """Symptom: a committed transaction is answered NOT_RUN.
    Sequence: a host dies after the commit; the caller asks again at another.
    Cause: a host that does not know the transaction knows nothing of its outcome.
    """
    path.commit(1, "c", "dead-host.1.7")
    code = ErrorCode.UNKNOWN_TRANSACTION.code
    assert _outcome(path, "c") == (Outcome.UNKNOWN, code)
    path.write(1, "a", transaction="dead-host.1.7")
    assert _outcome(path, "a") == (Outcome.NOT_RUN, code)


def test_begin_of_a_transaction_that_committed_before_tells_so(path):
    path.ask(1, BeginRequest(request_id="t", database=DATABASE, access=Access.WRITE))
    path.reply(EndpointCode.ALREADY_RUN, applied=(1, 6))
    path.hold(1, 6)
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().repeated
    assert path.answer().transaction == ""


def test_begin_with_the_id_of_a_statement_is_refused(path):
    """Symptom: a commit is answered DONE, and nothing of the transaction is there.
    Sequence: a caller uses the id of an earlier statement for its begin.
    Cause: the endpoint finds the statement's record under the transaction's id.
    """
    path.write(1, "t")
    path.reply(applied=(1, 7))
    path.hold(1, 7)
    path.ask(1, BeginRequest(request_id="t", database=DATABASE, access=Access.WRITE))
    assert path.answer().code == ErrorCode.REQUEST_ID_REUSED.code
    assert len(path.pooling.sent) == 1


def test_read_only_transaction_runs_on_a_replica_with_the_floor(path):
    path.report("m2", (1, 5))
    path.read(1, "look")
    path.reply(applied=(1, 5))
    path.ask(1, BeginRequest(request_id="t", database=DATABASE, access=Access.READ))
    assert path.sent.connection.address == "127.0.0.1:2"
    call = path.sent.call
    path.reply(applied=(1, 5))
    assert path.answer().from_replica
    name = path.answer().transaction
    assert isinstance(call, BeginCall)
    assert (call.term, call.minimum) == (0, (1, 5))
    path.write(1, "a", transaction=name)
    code = ErrorCode.READ_WOULD_WRITE.code
    assert _outcome(path, "a") == (Outcome.NOT_RUN, code)


def test_begin_on_a_primary_without_the_floor_is_not_used(path):
    """Symptom: a transaction reads a ledger without the receipt just posted.
    Sequence: the session wrote in term 2 through another host; this one still
    takes m1 of term 1 for the primary, and so does m1.
    Cause: the transaction's reads are checked by its begin alone.
    """
    path.open_known(2, floor=(2, 8))
    path.ask(2, BeginRequest(request_id="t", database=DATABASE, access=Access.WRITE))
    assert path.sent.call.minimum == (2, 8)
    path.reply(applied=(1, 6))
    assert path.answered("t") == []
    assert path.pooling.released == [(path.sent.connection.number, True)]


def test_read_only_begin_that_proves_no_floor_leaves_a_reset_connection(path):
    """Symptom: a transaction begins on a connection where another one is open.
    Sequence: a replica restarts from an older log, and opens a read-only transaction
    from (1, 4) for a session that has seen (1, 5).
    Cause: the connection was given back as if the begin had been a statement.
    """
    path.report("m2", (1, 5))
    path.open_known(2, floor=(1, 5))
    path.ask(2, BeginRequest(request_id="t", database=DATABASE, access=Access.READ))
    path.reply(applied=(1, 4))
    assert path.answered("t") == []
    assert path.pooling.released == [(path.sent.connection.number, True)]


def test_statement_past_its_deadline_ends_the_transaction(path):
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name, deadline=1.0)
    path.write(1, "b", transaction=name, deadline=0.5)
    path.advance(0.6)
    code = ErrorCode.DEADLINE_PASSED.code
    assert _outcome(path, "b") == (Outcome.NOT_RUN, code)
    path.advance(0.5)
    assert _outcome(path, "a") == (Outcome.NOT_RUN, ROLLED_BACK)
    assert path.pooling.discarded == [path.sent.connection.number]


def test_commit_past_its_deadline_is_unknown(path):
    name = path.begin(1, "t")
    path.commit(1, "c", name, deadline=1.0)
    path.advance(1.1)
    code = ErrorCode.OUTCOME_UNKNOWN.code
    assert _outcome(path, "c") == (Outcome.UNKNOWN, code)


def test_rollback_gives_the_connection_back(path):
    name = path.begin(1, "t")
    path.ask(1, RollbackRequest(request_id="r", transaction=name))
    path.reply()
    assert _outcome(path, "r") == (Outcome.DONE, "")
    assert path.pooling.released == [(path.sent.connection.number, False)]
    path.commit(1, "c", name)
    assert _outcome(path, "c") == (Outcome.NOT_RUN, ROLLED_BACK)


def test_write_within_a_transaction_names_its_term(path):
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    assert isinstance(path.sent.call, ExecuteCall)
    assert (path.sent.call.write, path.sent.call.term) == (True, 1)
    assert path.sent.call.request_id == ""


def test_begin_of_a_session_that_lost_its_floor_is_told_at_once(path):
    path.open_known(2, floor=(1, 9))
    path.promote("m2", term=2, start=7)
    path.ask(2, BeginRequest(request_id="t", database=DATABASE, access=Access.WRITE))
    path.reply(applied=(2, 8))
    assert _outcome(path, "t") == (Outcome.NOT_RUN, ErrorCode.FLOOR_LOST.code)
