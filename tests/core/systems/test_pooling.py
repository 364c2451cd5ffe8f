"""Tests of mallowpass.core.systems.pooling."""

from __future__ import annotations

from collections import Counter

import pytest

from mallowpass.core.calls import (
    Access,
    EndpointCode,
    EndpointReply,
    ExecuteCall,
    KeepAliveCall,
    ResetCall,
)
from mallowpass.core.effects import Count
from mallowpass.core.events import (
    ConnectionLost,
    ConnectionOpened,
    ConnectionRefused,
    EndpointReplied,
)
from mallowpass.core.signals import (
    DrainBegan,
    EndpointStateChanged,
    PrimaryChanged,
)
from mallowpass.core.systems.opening import OPENING_MAX
from mallowpass.core.tables import ConnectionState
from mallowpass.errors import ErrorCode
from tests.fakes.poolpath import ADDRESS, CALL, DATABASE, PoolHost


def _warm(host: PoolHost, connections: int) -> list[int]:
    """Have a host open connections by demand; return their numbers."""
    for _ in range(connections):
        host.request()
    host.open_all()
    host.reply_all()
    host.effects.clear()
    return list(host.pool.idle)


def _drops(host: PoolHost) -> Counter[str]:
    counts = [count for count in host.all(Count) if count.name == "replies_dropped"]
    return Counter(dict(count.attributes)["reason"] for count in counts)


# -- Statements --------------------------------------------------------------


def test_a_statement_waits_for_the_first_connection_and_the_next_one_reuses_it():
    host = PoolHost()
    first = host.request()
    host.open_all()
    host.reply_all()
    second = host.request()
    host.reply_all()
    replied = [number for number, _ in host.requests.replies]
    assert replied == [first.number, second.number]
    assert len(host.opened()) == 1


def test_late_crossed_and_repeated_replies_reach_nobody():
    """
    Symptom: a caller gets rows that belong to another's statement.
    Sequence: replies come with an old sequence, on a closed connection and twice.
    Cause: a reply handed on by its connection alone.
    """
    host = PoolHost()
    _warm(host, 1)
    host.request()
    (sent,) = host.calls(ExecuteCall)
    old = EndpointReply(sequence=sent.sequence - 1, code=EndpointCode.OK)
    host.handle(EndpointReplied(sent.connection, old))
    host.handle(EndpointReplied(9_999, old))
    host.requests.hold = True
    host.requests.replies.clear()
    host.reply(sent)
    host.reply(sent)
    assert len(host.requests.replies) == 1
    assert _drops(host) == {
        "wrong-sequence": 1,
        "unknown-connection": 1,
        "not-in-flight": 1,
    }


def test_a_connection_whose_statement_was_given_up_waits_for_its_reply():
    """
    Symptom: a caller gets the answer of a request that another gave up.
    Sequence: a request is cancelled after it was sent; another one is waiting.
    Cause: the connection given to the next one while it still owes a reply.
    """
    host = PoolHost(limit=4)
    _warm(host, 1)
    given_up = host.request()
    (owed,) = host.calls(ExecuteCall)
    host.pooling.cancel(given_up)
    waiting = host.request()
    assert [number for number, _ in host.requests.granted][-1] == given_up.number
    host.reply(owed)
    (reset,) = host.calls(ResetCall)
    host.reply(reset)
    assert host.requests.granted[-1] == (waiting.number, owed.connection)
    assert host.requests.replies[-1][0] != given_up.number


def test_a_given_up_connection_that_never_answers_is_closed():
    host = PoolHost(limit=4)
    (number,) = _warm(host, 1)
    host.pooling.cancel(host.request())
    host.wait(host.node.tuning.silence + 0.1)
    assert number in host.closed()
    assert host.requests.lost == []


def test_statements_of_a_transaction_keep_its_connection_to_themselves():
    """
    Symptom: statements of two transactions run in one.
    Sequence: a transaction is between two statements; another request comes.
    Cause: a pinned connection taken for an idle one.
    """
    host = PoolHost(limit=4)
    (number,) = _warm(host, 1)
    host.requests.hold = True
    begin = host.request()
    connection = host.node.tables.connections[number]
    host.pooling.pin(connection, "t1")
    host.requests.hold = False
    other = host.request()
    assert host.requests.granted[-1][0] == begin.number
    assert connection.state is ConnectionState.PINNED
    host.pooling.release(connection)
    host.flush()
    assert host.requests.granted[-1] == (other.number, number)


def test_a_connection_with_state_left_on_it_is_reset_before_the_next_user():
    host = PoolHost(limit=4)
    (number,) = _warm(host, 1)
    host.requests.hold = True
    host.request()
    host.pooling.release(host.node.tables.connections[number], reset=True)
    waiting = host.request()
    (reset,) = host.calls(ResetCall)
    assert host.requests.granted[-1][0] != waiting.number
    host.reply(reset)
    assert host.requests.granted[-1] == (waiting.number, number)


def test_a_statement_behind_a_keep_alive_is_sent_when_that_is_answered():
    """
    Symptom: a transaction breaks with BAD_CALL though its caller did all right.
    Sequence: a statement is sent while a keep-alive is in flight.
    Cause: two calls at once on a connection that takes one.
    """
    host = PoolHost(limit=4)
    (number,) = _warm(host, 1)
    host.requests.hold = True
    request = host.request()
    connection = host.node.tables.connections[number]
    host.pooling.pin(connection, "t1")
    host.wait_until(lambda: host.calls(KeepAliveCall))
    sequence = host.pooling.send(connection, CALL, request)
    host.flush()
    assert host.calls(ExecuteCall) == []
    (check,) = host.calls(KeepAliveCall)
    host.reply(check)
    (sent,) = host.calls(ExecuteCall)
    assert sent.sequence == sequence == check.sequence + 1
    host.reply(sent)
    assert host.requests.replies[-1][0] == request.number


@pytest.mark.parametrize("ending", ["given up", "rolled back", "held back"])
def test_a_connection_that_ends_in_an_odd_way_is_not_counted_as_in_use(ending: str):
    """
    Symptom: a host runs fewer and fewer statements at once, at last none.
    Sequence: a connection runs out before its reset, or is lost with a call held.
    Cause: the count of connections in use lowered twice, or not at all.
    """
    host = PoolHost(limit=4)
    (number,) = _warm(host, 1)
    connection = host.node.tables.connections[number]
    if ending == "given up":
        host.pooling.cancel(host.request())
        host.pause(host.node.tuning.connection_time_to_live + 1.0)
        host.reply_all()
    else:
        host.requests.hold = True
        request = host.request()
        host.pooling.pin(connection, "t1")
    if ending == "rolled back":
        host.pooling.release(connection, reset=True)
        assert connection.state is ConnectionState.BUSY
        host.now += host.node.tuning.connection_time_to_live + 1.0
        host.handle(ConnectionLost(number, "expired"))
    if ending == "held back":
        host.wait_until(lambda: host.calls(KeepAliveCall))
        host.pooling.send(connection, CALL, request)
        host.handle(ConnectionLost(number, "reset by peer"))
    assert host.pool.active_count == 0
    assert number not in host.pool.connections


# -- Opening -----------------------------------------------------------------


def test_many_waiting_requests_open_few_connections_at_once():
    """
    Symptom: an endpoint that comes back is flooded with connections.
    Sequence: fifty requests wait; the host's share has room for sixteen.
    Cause: one opening for each waiting request.
    """
    host = PoolHost(limit=64)
    for _ in range(50):
        host.request()
    assert len(host.opened()) == OPENING_MAX
    for number in host.pool.opening.numbers():
        host.handle(ConnectionRefused(number, "refused"))
    assert len(host.pool.opening) == 0


def test_one_more_waiting_request_than_opening_opens_one_more():
    host = PoolHost(limit=64)
    host.request()
    assert len(host.opened()) == 1


def _in_use_with_spares(host: PoolHost, statements: int) -> int:
    """Begin statements one after another; return how many connections are open."""
    for _ in range(statements):
        host.request()
        host.open_all()
    return len(host.pool.connections)


def test_one_connection_is_opened_ahead_of_demand():
    """
    Symptom: whenever load rises, single statements take a connection's setup longer.
    Sequence: all connections are in use; one more request comes.
    Cause: a connection was opened only once a request waited for it.
    """
    host = PoolHost(limit=64)
    assert _in_use_with_spares(host, 3) == 4
    assert len(host.pool.idle) == 1
    host.reply_all()
    host.request()
    assert not host.pool.opening.entries


def test_no_connection_is_opened_ahead_of_statements_that_may_not_run():
    assert _in_use_with_spares(PoolHost(limit=64, concurrent=8), 2) == 2


def test_no_connection_is_opened_ahead_from_the_part_that_others_may_borrow():
    host = PoolHost(limit=16)
    kept = host.pool.own_share - host.pool.lendable_share
    assert _in_use_with_spares(host, kept) == kept


def _open_first(host: PoolHost) -> int:
    """Open a first connection; return the number of the spare that is being opened."""
    host.request()
    (first,) = host.pool.opening.numbers()
    host.handle(ConnectionOpened(first))
    (spare,) = host.pool.opening.numbers()
    return spare


def test_one_spare_connection_is_opened_at_a_time():
    host = PoolHost(limit=64)
    spare = _open_first(host)
    for _ in range(5):
        host.reply_all()
        host.request()
    assert host.pool.opening.numbers() == [spare]


def test_nothing_is_opened_ahead_in_a_drain_or_in_the_place_of_a_silent_one():
    host = PoolHost(limit=64)
    _warm(host, 1)
    host.pool.silent_slots.append(host.now + 1.0)
    for number in list(host.pool.idle)[1:]:
        host.handle(ConnectionLost(number, "gone"))
    host.request()
    assert not host.pool.opening.entries
    host.pool.silent_slots.clear()
    host.publish(DrainBegan(host.now + 20.0))
    host.reply_all()
    host.request()
    (opening,) = host.pool.opening.numbers()  # for the request that waits
    host.handle(ConnectionOpened(opening))
    assert not host.pool.opening.entries


@pytest.mark.parametrize("full", [False, True])
def test_nothing_is_opened_ahead_at_an_endpoint_that_refuses(full: bool):
    """
    Symptom: an endpoint that has no room is asked again with each statement.
    Sequence: the opening of a spare connection is refused.
    Cause: the pause after refusals held for waiting requests only.
    """
    host = PoolHost(limit=64)
    spare = _open_first(host)
    host.handle(ConnectionRefused(spare, "no", limit_reached=full))
    host.reply_all()
    host.effects.clear()
    for _ in range(20):
        host.request()
        host.reply_all()
    assert host.opened() == []


def test_a_full_endpoint_is_left_alone_for_a_while():
    """
    Symptom: hosts keep asking a full endpoint and none of them gets on.
    Sequence: an opening is refused because of the limit; requests still wait.
    Cause: the share taken as a right to try again at once.
    """
    host = PoolHost(limit=16)
    _warm(host, 2)
    for _ in range(4):
        host.request()
    opening = host.pool.opening.numbers()
    for number in opening:
        host.handle(ConnectionRefused(number, "full", limit_reached=True))
    assert host.pooling.share(host.endpoint) == 2
    host.effects.clear()
    host.wait(0.5)
    assert host.opened() == []
    host.wait(10.0)
    assert host.opened() != []


def test_requests_at_an_endpoint_that_cannot_be_reached_are_given_back():
    host = PoolHost()
    request = host.request()
    (number,) = host.opened()
    host.handle(ConnectionRefused(number, "no route"))
    ((refused, code, _),) = host.requests.refused
    assert (refused, code) == (request.number, ErrorCode.CONNECTION_LOST.code)


def test_an_opening_that_is_never_answered_is_given_up():
    host = PoolHost()
    host.request()
    (number,) = host.opened()
    host.wait(host.node.tuning.connect_timeout + 2.0)
    assert number in host.closed()
    assert host.requests.refused


# -- Silence and expiry ------------------------------------------------------


def test_a_paused_host_does_not_use_connections_that_ran_out_meanwhile():
    """
    Symptom: a statement goes to a connection that the endpoint gave to another.
    Sequence: the host stands still for longer than the time to live, then wakes.
    Cause: idle connections trusted without a look at the clock.
    """
    host = PoolHost()
    numbers = _warm(host, 2)
    host.now += host.node.tuning.connection_time_to_live + 1.0
    host.request()
    assert set(numbers) <= host.closed()
    assert host.calls(ExecuteCall) == []


def test_a_statement_in_a_transaction_is_not_sent_after_a_pause():
    host = PoolHost()
    (number,) = _warm(host, 1)
    host.requests.hold = True
    request = host.request()
    connection = host.node.tables.connections[number]
    host.pooling.pin(connection, "t1")
    host.now += host.node.tuning.connection_time_to_live + 1.0
    host.node.timers.advance(host.now)
    host.pooling.send(connection, CALL, request)
    host.wait(0.0)
    assert host.calls(ExecuteCall) == []
    assert host.requests.lost == [(request.number, "expired, call not sent")]


def test_a_transaction_whose_connection_ran_out_between_its_calls_is_told():
    """
    Symptom: KeyError at the next statement of a transaction; no answer to it.
    Sequence: the host stands still for a connection's whole life, then wakes and is
    about to send the transaction's keep-alive.
    Cause: an expired connection was closed as one that nobody uses.
    """
    host = PoolHost()
    (number,) = _warm(host, 1)
    host.requests.hold = True
    host.request()
    host.pooling.pin(host.node.tables.connections[number], "t1")
    host.pause(host.node.tuning.connection_time_to_live + 1.0)
    assert number in host.closed()
    assert host.transactions.lost == [("t1", "expired")]


def test_a_silent_connection_is_replaced_and_others_of_its_age_prove_themselves():
    """
    Symptom: request after request waits in vain on connections that are dead.
    Sequence: a device between both ends forgets its connections; new ones work.
    Cause: the other old connections used as if nothing had been learnt.
    """
    host = PoolHost(limit=16)
    numbers = _warm(host, 3)
    request = host.request()
    used = host.requests.granted[-1][1]
    host.effects.clear()
    # Keep-alives of idle ones go unanswered as well: only the finding counts here.
    host.wait_until(lambda: host.requests.lost)
    assert host.requests.lost == [(request.number, "silent")]
    host.request()
    assert used in host.closed()
    assert host.requests.granted[-1][1] == used
    host.open_all()
    assert host.requests.granted[-1][1] not in numbers


def test_old_idle_connections_are_checked_before_use_after_a_silence():
    """
    Symptom: each old connection costs one more request its whole wait.
    Sequence: one connection goes silent before any keep-alive was due.
    Cause: as above; this is the check at the moment of the finding.
    """
    host = PoolHost(limit=16)
    numbers = _warm(host, 3)
    pool = host.pool
    host.pooling.keepalive.close_silent(pool, numbers[-1])
    host.flush()
    checked = {sent.connection for sent in host.calls(KeepAliveCall)}
    assert checked == set(numbers[:-1])
    host.request()
    assert not {sent.connection for sent in host.calls(ExecuteCall)} & set(numbers)
    host.wait(1.0)
    assert set(numbers) <= host.closed()


def test_connections_outlast_an_endpoint_that_stands_still_for_a_moment():
    """
    Symptom: a storm of openings after each short stall of an endpoint.
    Sequence: nothing is heard from the endpoint, on any stream, then all answers.
    Cause: an unanswered keep-alive taken for the loss of that one connection.
    """
    host = PoolHost(limit=16)
    host.report(connections=2, limit=16)
    numbers = _warm(host, 2)
    host.wait(3.5)
    host.reply_all()
    assert set(host.pool.idle) == set(numbers)


def test_a_silent_connection_keeps_its_place_until_the_endpoint_shows_room():
    """
    Symptom: another host is refused within its share.
    Sequence: a connection goes silent; the endpoint still counts it.
    Cause: its place filled again before the endpoint has let go of it.
    """
    host = PoolHost(limit=4)
    (number,) = _warm(host, 1)
    host.pooling.keepalive.close_silent(host.pool, number)
    host.request()
    assert host.opened() == []
    host.report(connections=3, limit=4)
    host.pooling.dispatch(host.pool)
    host.flush()
    assert len(host.opened()) == 1


def test_a_short_pause_does_not_make_answered_connections_silent():
    """
    Symptom: statements are lost when a host was stopped for some seconds.
    Sequence: the host stands still past the silence limit; replies wait unread.
    Cause: timers run before the replies are read.
    """
    host = PoolHost()
    _warm(host, 1)
    request = host.request()
    host.pause(host.node.tuning.silence + 2.0)
    host.reply_all()
    assert host.requests.lost == []
    assert host.requests.replies[-1][0] == request.number


def test_idle_connections_are_prolonged_before_they_run_out():
    host = PoolHost()
    numbers = _warm(host, 1)
    for _ in range(300):
        host.wait(0.1)
        host.reply_all()
    assert list(host.pool.idle) == numbers
    assert host.opened() == []


def test_connections_that_demand_left_are_closed_but_for_a_warm_one():
    host = PoolHost(limit=32)
    _warm(host, 4)
    for _ in range(10 * int(host.node.tuning.connection_idle)):
        host.wait(0.25)
        host.reply_all()
    assert len(host.pool.connections) == 1


def test_a_broken_connection_tells_the_request_that_used_it():
    host = PoolHost()
    (number,) = _warm(host, 1)
    request = host.request()
    host.handle(ConnectionLost(number, "reset by peer"))
    assert host.requests.lost == [(request.number, "reset by peer")]
    host.request()
    assert len(host.opened()) == 1


# -- Limits and classes ------------------------------------------------------


def test_statements_in_flight_stay_within_the_part_of_the_limit():
    host = PoolHost(limit=32, concurrent=8)
    _warm(host, 4)
    for _ in range(5):
        host.request()
    assert len(host.calls(ExecuteCall)) == 2


def test_a_patient_class_leaves_the_last_connection_to_others_but_runs():
    """
    Symptom: a caseworker waits for a whole reconciliation statement.
    Sequence: reconciliation has more requests than there are connections.
    Cause: the patient class takes the last free connection.
    """
    host = PoolHost(limit=8)
    _warm(host, 2)
    for _ in range(4):
        host.request("reconciliation")
    assert len(host.calls(ExecuteCall)) == 1
    host.request("caseworker")
    assert len(host.calls(ExecuteCall)) == 2


def test_a_patient_class_runs_where_there_is_one_connection_in_all():
    """
    Symptom: reconciliation never runs through hosts with a share of one.
    Sequence: only the patient class asks; the one connection is free.
    Cause: the last free connection kept for others also when nothing runs.
    """
    host = PoolHost(limit=4)
    _warm(host, 1)
    host.request("reconciliation")
    assert len(host.calls(ExecuteCall)) == 1


# -- Endpoints and this host leave -------------------------------------------


def test_a_leaving_endpoint_gets_no_new_work_and_gives_back_what_waits():
    host = PoolHost(limit=8)
    numbers = _warm(host, 2)
    running, _ = host.request(), host.request()
    waiting = host.request()
    host.endpoint.is_leaving = True
    host.publish(EndpointStateChanged(ADDRESS))
    ((refused, code, _),) = host.requests.refused
    assert (refused, code) == (waiting.number, ErrorCode.ENDPOINT_REFUSED.code)
    assert host.closed() == set()
    host.reply_all()
    assert host.closed() == set(numbers)
    assert running.number in [number for number, _ in host.requests.replies]
    host.request()
    assert host.opened() == [] and len(host.requests.refused) == 2


def test_writes_that_wait_at_a_replaced_primary_are_given_back():
    host = PoolHost(limit=4)
    _warm(host, 1)
    host.request()
    write, _ = host.request(access=Access.WRITE), host.request(access=Access.READ)
    host.node.tables.databases[DATABASE].primary = "127.0.0.1:9"
    host.publish(PrimaryChanged(DATABASE))
    assert [number for number, *_ in host.requests.refused] == [write.number]


def test_a_drain_closes_idle_connections_and_still_serves_what_is_in_flight():
    host = PoolHost(limit=16)
    _warm(host, 2)
    host.request()
    host.publish(DrainBegan(host.now + 20.0))
    assert len(host.pool.connections) == 1
    late = host.request()
    host.open_all()
    host.reply_all()
    assert late.number in [number for number, _ in host.requests.replies]
    assert host.pool.connections == {}


@pytest.mark.parametrize("deadline", [0.5])
def test_a_request_that_expired_in_the_queue_is_not_sent(deadline: float):
    host = PoolHost(limit=4)
    _warm(host, 1)
    host.request()
    late = host.request(deadline=deadline)
    host.wait(deadline + 0.1)
    host.reply_all()
    ((refused, code, _),) = host.requests.refused
    assert (refused, code) == (late.number, ErrorCode.DEADLINE_PASSED.code)
