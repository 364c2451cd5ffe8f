"""Transactions: one connection each, and commits whose outcome is looked up."""

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
    """Statements of a transaction run in the wrong order.

    The caller sends three statements without waiting for the answers. Only one of these
    statements may be in flight on the connection at a time.
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
    """An acknowledged transaction is lost in a failover.

    The primary fails after it has replied to the commit and before a replica has
    received it. A commit needs a majority, like any write.
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
    """A committed transaction is answered NOT_RUN, and its caller runs it again.

    The connection is lost between the commit and the reply. The endpoint rolls back a
    transaction without a commit, but this commit may have arrived.
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
    """Single commits take three seconds while the primary replies to others.

    A network device drops the state of the commit's connection. The commit must be
    looked up before the full timeout of silent connections.
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
def test_commit_at_a_paused_or_busy_primary_is_not_fenced(path, answering):
    """A short pause of the primary rolls back all commits in flight.

    Overdue commits must not be fenced: the primary handles the outcome calls first when
    it continues, and a fenced commit is not sent again.
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
    """A statement of a caller runs in a transaction of another caller.

    The caller guesses or copies the name of the transaction. The name alone must not
    determine the connection.
    """
    name = path.begin(1, "t")
    path.open_known(2)
    path.write(2, "a", transaction=name)
    path.commit(2, "c", name)
    code = ErrorCode.TRANSACTION_OF_ANOTHER_SESSION.code
    assert _outcome(path, "a") == _outcome(path, "c") == (Outcome.NOT_RUN, code)
    assert len(path.pooling.sent) == 1


def test_transaction_of_a_caller_that_disconnects_is_rolled_back(path):
    """A connection and its locks stay in use after their caller has disconnected.

    No other caller can end the transaction. Without a reset, statements of the
    connection's next user would run in the transaction.
    """
    path.begin(1, "t")
    path.leave(1)
    assert path.pooling.released == [(path.sent.connection.number, True)]
    assert path.node.tables.transactions == {}


def test_commit_in_flight_continues_when_its_caller_disconnects(path):
    name = path.begin(1, "t")
    path.commit(1, "c", name)
    path.leave(1)
    assert path.pooling.released == []
    path.reply(applied=(1, 9))
    assert path.pooling.released == [(path.sent.connection.number, False)]
    path.hold(1, 9)
    assert path.requests.in_flight == 0


def test_idle_transaction_is_rolled_back_with_its_own_code(path):
    """All writers wait although no statement runs.

    A caller begins a transaction, writes, and then neither ends the transaction nor
    disconnects. The transaction keeps its locks and one of the few connections.
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


def test_connection_of_a_failed_transaction_is_reset(path):
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    path.reply(EndpointCode.CONFLICT)
    assert _outcome(path, "a") == (Outcome.NOT_RUN, ROLLED_BACK)
    assert path.pooling.released == [(path.sent.connection.number, True)]


def test_invalid_statement_does_not_end_its_transaction(path):
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    path.reply(EndpointCode.SQL_ERROR, message="no such table")
    assert _outcome(path, "a") == (Outcome.NOT_RUN, ErrorCode.INVALID_SQL.code)
    path.write(1, "b", transaction=name)
    path.reply()
    assert _outcome(path, "b") == (Outcome.DONE, "")


def test_promotion_ends_the_transactions_of_the_previous_term(path):
    """Statements wait on a primary that has been replaced.

    m1 becomes silent during a transaction, and m2 is promoted. Commits of the previous
    term can no longer be acknowledged.
    """
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    path.promote("m2", term=2, start=7)
    assert _outcome(path, "a") == (Outcome.NOT_RUN, ROLLED_BACK)
    assert path.pooling.discarded == [path.sent.connection.number]


def test_commit_of_an_unknown_transaction_is_answered_unknown(path):
    """A committed transaction is answered NOT_RUN.

    A host fails after the commit, and the caller repeats the commit at another host,
    which does not know the transaction and its outcome.
    """
    path.commit(1, "c", "dead-host.1.7")
    code = ErrorCode.UNKNOWN_TRANSACTION.code
    assert _outcome(path, "c") == (Outcome.UNKNOWN, code)
    path.write(1, "a", transaction="dead-host.1.7")
    assert _outcome(path, "a") == (Outcome.NOT_RUN, code)


def test_begin_of_a_committed_transaction_is_answered_as_repeated(path):
    path.ask(1, BeginRequest(request_id="t", database=DATABASE, access=Access.WRITE))
    path.reply(EndpointCode.ALREADY_RUN, applied=(1, 6))
    path.hold(1, 6)
    assert path.answer().outcome is Outcome.DONE
    assert path.answer().repeated
    assert path.answer().transaction == ""


def test_begin_with_the_id_of_a_statement_is_refused(path):
    """A commit is answered DONE, but the transaction has not been committed.

    A caller uses the id of an earlier statement for its begin, and the endpoint finds
    the record of the statement under the id of the transaction.
    """
    path.write(1, "t")
    path.reply(applied=(1, 7))
    path.hold(1, 7)
    path.ask(1, BeginRequest(request_id="t", database=DATABASE, access=Access.WRITE))
    assert path.answer().code == ErrorCode.REQUEST_ID_REUSED.code
    assert len(path.pooling.sent) == 1


def test_read_only_transaction_runs_on_a_replica_that_reached_the_floor(path):
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


def test_begin_on_a_primary_below_the_floor_is_not_used(path):
    """A transaction does not read the session's own previous write.

    The session wrote in term 2 through another host. This host, and m1 itself, assume
    that m1 is still the primary of term 1. Only the begin of a transaction checks the
    floor of its reads.
    """
    path.open_known(2, floor=(2, 8))
    path.ask(2, BeginRequest(request_id="t", database=DATABASE, access=Access.WRITE))
    assert path.sent.call.minimum == (2, 8)
    path.reply(applied=(1, 6))
    assert path.answered("t") == []
    assert path.pooling.released == [(path.sent.connection.number, True)]


def test_connection_of_a_read_only_begin_below_the_floor_is_reset(path):
    """A transaction begins on a connection on which another one is open.

    A replica has restarted from an older log and begins a read-only transaction at
    (1, 4) for a session that has seen (1, 5). The connection must not be released
    without a reset, as after a statement.
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


def test_rollback_releases_the_connection(path):
    name = path.begin(1, "t")
    path.ask(1, RollbackRequest(request_id="r", transaction=name))
    path.reply()
    assert _outcome(path, "r") == (Outcome.DONE, "")
    assert path.pooling.released == [(path.sent.connection.number, False)]
    path.commit(1, "c", name)
    assert _outcome(path, "c") == (Outcome.NOT_RUN, ROLLED_BACK)


def test_write_within_a_transaction_carries_its_term(path):
    name = path.begin(1, "t")
    path.write(1, "a", transaction=name)
    assert isinstance(path.sent.call, ExecuteCall)
    assert (path.sent.call.write, path.sent.call.term) == (True, 1)
    assert path.sent.call.request_id == ""


def test_begin_of_a_session_whose_floor_is_lost_is_refused(path):
    path.open_known(2, floor=(1, 9))
    path.promote("m2", term=2, start=7)
    path.ask(2, BeginRequest(request_id="t", database=DATABASE, access=Access.WRITE))
    path.reply(applied=(2, 8))
    assert _outcome(path, "t") == (Outcome.NOT_RUN, ErrorCode.FLOOR_LOST.code)
