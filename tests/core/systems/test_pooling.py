"""Connection pools: statements, openings, silence and expiry, limits and drains."""

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
    """Open connections of a host by demand; return their numbers."""
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


def test_first_statement_opens_a_connection_and_the_second_reuses_it():
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
    """A caller receives rows of another caller's statement.

    Replies arrive with an old sequence, on a closed connection and twice. Such replies
    must not be forwarded to the user of their connection.
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


def test_connection_of_a_cancelled_statement_is_not_reused_before_the_reply():
    """A caller receives the reply to a request that another caller has cancelled.

    The request is cancelled after it was sent. The request's connection must not be
    granted to the next request before the reply.
    """
    host = PoolHost(limit=4)
    _warm(host, 1)
    cancelled = host.request()
    (unanswered,) = host.calls(ExecuteCall)
    host.pooling.cancel(cancelled)
    waiting = host.request()
    assert [number for number, _ in host.requests.granted][-1] == cancelled.number
    host.reply(unanswered)
    (reset,) = host.calls(ResetCall)
    host.reply(reset)
    assert host.requests.granted[-1] == (waiting.number, unanswered.connection)
    assert host.requests.replies[-1][0] != cancelled.number


def test_connection_of_a_cancelled_statement_without_a_reply_is_closed():
    host = PoolHost(limit=4)
    (number,) = _warm(host, 1)
    host.pooling.cancel(host.request())
    host.wait(host.node.tuning.silence + 0.1)
    assert number in host.closed()
    assert host.requests.lost == []


def test_statements_of_a_transaction_keep_its_connection_to_themselves():
    """Statements of two transactions run in one.

    A transaction is between two statements when another request comes. The
    transaction's pinned connection must not be treated as idle.
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


def test_statement_during_a_keep_alive_is_sent_after_the_reply():
    """A transaction fails with BAD_CALL although its caller made no error.

    A statement comes while a keep-alive is in flight on the connection, which takes one
    call at a time.
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
def test_connection_that_ends_during_an_internal_call_is_not_counted_active(
    ending: str,
):
    """A host runs fewer and fewer statements at the same time, in the end none.

    The connection expires before its reset, or is lost with a deferred call. The count
    of active connections must be lowered once, not twice or not at all.
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


def test_many_queued_requests_open_few_connections_at_a_time():
    """An endpoint that comes back is flooded with connections.

    Fifty requests are queued, and the host's share is sixteen. Connections must not be
    opened for all of them at once.
    """
    host = PoolHost(limit=64)
    for _ in range(50):
        host.request()
    assert len(host.opened()) == OPENING_MAX
    for number in host.pool.opening.numbers():
        host.handle(ConnectionRefused(number, "refused"))
    assert len(host.pool.opening) == 0


def test_one_queued_request_opens_one_connection():
    host = PoolHost(limit=64)
    host.request()
    assert len(host.opened()) == 1


def _start_statements(host: PoolHost, statements: int) -> int:
    """Start statements one after another; return the number of open connections."""
    for _ in range(statements):
        host.request()
        host.open_all()
    return len(host.pool.connections)


def test_one_connection_is_opened_ahead_of_demand():
    """Whenever the load rises, single statements wait for a connection to be opened.

    All connections are in use when one more request comes. A spare connection must be
    open before that request comes.
    """
    host = PoolHost(limit=64)
    assert _start_statements(host, 3) == 4
    assert len(host.pool.idle) == 1
    host.reply_all()
    host.request()
    assert not host.pool.opening.entries


def test_no_spare_connection_is_opened_beyond_the_statement_limit():
    assert _start_statements(PoolHost(limit=64, concurrent=8), 2) == 2


def test_no_spare_connection_is_opened_in_the_lendable_share():
    host = PoolHost(limit=16)
    kept = host.pool.own_share - host.pool.lendable_share
    assert _start_statements(host, kept) == kept


def _open_first(host: PoolHost) -> int:
    """Open a connection; return the number of the spare one that is being opened."""
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


def test_no_spare_connection_is_opened_in_a_drain_or_a_silent_slot():
    host = PoolHost(limit=64)
    _warm(host, 1)
    host.pool.unresponsive_slots.append(host.now + 1.0)
    for number in list(host.pool.idle)[1:]:
        host.handle(ConnectionLost(number, "gone"))
    host.request()
    assert not host.pool.opening.entries
    host.pool.unresponsive_slots.clear()
    host.publish(DrainBegan(host.now + 20.0))
    host.reply_all()
    host.request()
    (opening,) = host.pool.opening.numbers()  # for the queued request
    host.handle(ConnectionOpened(opening))
    assert not host.pool.opening.entries


@pytest.mark.parametrize("full", [False, True])
def test_no_spare_connection_is_opened_during_the_backoff(full: bool):
    """Each statement opens a connection to an endpoint that refuses connections.

    The endpoint has refused a spare connection. The backoff must apply to spare
    connections as well as to those for queued requests.
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


def test_no_connection_is_opened_for_a_while_after_the_limit_was_reached():
    """Hosts keep opening connections to an endpoint that has reached its limit.

    Requests are queued after a refusal. The host must not try again at once although it
    is within its share.
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


def test_requests_queued_for_an_unreachable_endpoint_are_refused():
    host = PoolHost()
    request = host.request()
    (number,) = host.opened()
    host.handle(ConnectionRefused(number, "no route"))
    ((refused, code, _),) = host.requests.refused
    assert (refused, code) == (request.number, ErrorCode.CONNECTION_LOST.code)


def test_connection_whose_opening_is_never_answered_is_closed():
    host = PoolHost()
    host.request()
    (number,) = host.opened()
    host.wait(host.node.tuning.connect_timeout + 2.0)
    assert number in host.closed()
    assert host.requests.refused


# -- Silent and expired connections -------------------------------------------


def test_a_paused_host_does_not_use_connections_that_ran_out_meanwhile():
    """A statement is sent on a connection whose slot already belongs to another host.

    The host is paused for longer than the time to live. Idle connections must not be
    used without a check of their expiry.
    """
    host = PoolHost()
    numbers = _warm(host, 2)
    host.now += host.node.tuning.connection_time_to_live + 1.0
    host.request()
    assert set(numbers) <= host.closed()
    assert host.calls(ExecuteCall) == []


def test_statement_in_a_transaction_is_not_sent_on_an_expired_connection():
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


def test_transaction_whose_connection_expires_between_its_calls_is_ended():
    """The next statement of a transaction raises KeyError and is not answered.

    The host is paused for the connection's time to live. When the transaction's
    keep-alive is due, the connection must not be closed like an unused one.
    """
    host = PoolHost()
    (number,) = _warm(host, 1)
    host.requests.hold = True
    host.request()
    host.pooling.pin(host.node.tables.connections[number], "t1")
    host.pause(host.node.tuning.connection_time_to_live + 1.0)
    assert number in host.closed()
    assert host.transactions.lost == [("t1", "expired")]


def test_silent_connection_is_replaced_and_others_of_its_age_are_checked():
    """Several requests in turn time out on dead connections.

    A network device drops the state of the host's connections; new ones work. After the
    first silent connection, the others of the same age must be checked before use.
    """
    host = PoolHost(limit=16)
    numbers = _warm(host, 3)
    request = host.request()
    used = host.requests.granted[-1][1]
    host.effects.clear()
    # Keep-alives on the idle connections are not answered either.
    host.wait_until(lambda: host.requests.lost)
    assert host.requests.lost == [(request.number, "silent")]
    host.request()
    assert used in host.closed()
    assert host.requests.granted[-1][1] == used
    host.open_all()
    assert host.requests.granted[-1][1] not in numbers


def test_old_idle_connections_are_checked_once_a_connection_is_silent():
    """Each old connection costs one more request its full timeout.

    A network device drops the state of the host's connections, and the first silent
    connection is detected before any keep-alive is due.
    """
    host = PoolHost(limit=16)
    numbers = _warm(host, 3)
    pool = host.pool
    host.pooling.keepalive.close_unresponsive(pool, numbers[-1])
    host.flush()
    checked = {sent.connection for sent in host.calls(KeepAliveCall)}
    assert checked == set(numbers[:-1])
    host.request()
    assert not {sent.connection for sent in host.calls(ExecuteCall)} & set(numbers)
    host.wait(1.0)
    assert set(numbers) <= host.closed()


def test_connections_are_kept_during_a_short_pause_of_the_endpoint():
    """Hosts reopen all connections after each short pause of an endpoint.

    For a while the endpoint replies on no connection and no stream. An unanswered
    keep-alive must not be treated as the loss of its connection.
    """
    host = PoolHost(limit=16)
    host.report(connections=2, limit=16)
    numbers = _warm(host, 2)
    host.wait(3.5)
    host.reply_all()
    assert set(host.pool.idle) == set(numbers)


def test_slot_of_a_silent_connection_is_not_reused_while_the_endpoint_counts_it():
    """An endpoint refuses a connection to another host within its share.

    This host must not replace a silent connection that the endpoint still counts.
    """
    host = PoolHost(limit=4)
    (number,) = _warm(host, 1)
    host.pooling.keepalive.close_unresponsive(host.pool, number)
    host.request()
    assert host.opened() == []
    host.report(connections=3, limit=4)
    host.pooling.dispatch(host.pool)
    host.flush()
    assert len(host.opened()) == 1


def test_short_pause_of_a_host_does_not_make_its_connections_silent():
    """Statements are lost when a host is paused for some seconds.

    The pause is longer than `Tuning.silence`. After the pause, the host runs its timers
    before it reads the replies.
    """
    host = PoolHost()
    _warm(host, 1)
    request = host.request()
    host.pause(host.node.tuning.silence + 2.0)
    host.reply_all()
    assert host.requests.lost == []
    assert host.requests.replies[-1][0] == request.number


def test_idle_connections_are_kept_alive_before_they_expire():
    host = PoolHost()
    numbers = _warm(host, 1)
    for _ in range(300):
        host.wait(0.1)
        host.reply_all()
    assert list(host.pool.idle) == numbers
    assert host.opened() == []


def test_unused_connections_are_closed_except_one():
    host = PoolHost(limit=32)
    _warm(host, 4)
    for _ in range(10 * int(host.node.tuning.connection_idle)):
        host.wait(0.25)
        host.reply_all()
    assert len(host.pool.connections) == 1


def test_user_of_a_broken_connection_is_notified():
    host = PoolHost()
    (number,) = _warm(host, 1)
    request = host.request()
    host.handle(ConnectionLost(number, "reset by peer"))
    assert host.requests.lost == [(request.number, "reset by peer")]
    host.request()
    assert len(host.opened()) == 1


# -- Limits and classes ------------------------------------------------------


def test_statements_in_flight_stay_within_the_share_of_the_limit():
    host = PoolHost(limit=32, concurrent=8)
    _warm(host, 4)
    for _ in range(5):
        host.request()
    assert len(host.calls(ExecuteCall)) == 2


def test_patient_class_runs_but_leaves_the_last_connection_to_others():
    """A request waits for a whole statement of a patient class.

    The patient class has more requests than there are connections. The last free
    connection must be left to other classes.
    """
    host = PoolHost(limit=8)
    _warm(host, 2)
    for _ in range(4):
        host.request("reconciliation")
    assert len(host.calls(ExecuteCall)) == 1
    host.request("caseworker")
    assert len(host.calls(ExecuteCall)) == 2


def test_patient_class_runs_where_there_is_only_one_connection():
    """Requests of a patient class never run at hosts with a share of one.

    The only connection is free, and no other class has requests. The last free
    connection must not be kept for other classes when no statement runs.
    """
    host = PoolHost(limit=4)
    _warm(host, 1)
    host.request("reconciliation")
    assert len(host.calls(ExecuteCall)) == 1


# -- Leaving endpoints, and drain ----------------------------------------------


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


def test_writes_queued_for_a_replaced_primary_are_refused():
    host = PoolHost(limit=4)
    _warm(host, 1)
    host.request()
    write, _ = host.request(access=Access.WRITE), host.request(access=Access.READ)
    host.node.tables.databases[DATABASE].primary = "127.0.0.1:9"
    host.publish(PrimaryChanged(DATABASE))
    assert [number for number, *_ in host.requests.refused] == [write.number]


def test_drain_closes_idle_connections_but_serves_requests_in_flight():
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
def test_request_that_expires_in_the_queue_is_not_sent(deadline: float):
    host = PoolHost(limit=4)
    _warm(host, 1)
    host.request()
    late = host.request(deadline=deadline)
    host.wait(deadline + 0.1)
    host.reply_all()
    ((refused, code, _),) = host.requests.refused
    assert (refused, code) == (late.number, ErrorCode.DEADLINE_PASSED.code)
