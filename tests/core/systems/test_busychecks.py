"""Keep-alives on connections with a slow statement, and connections that go silent."""

from __future__ import annotations

from collections import Counter

import pytest

from mallowpass.core.calls import ExecuteCall, KeepAliveCall, ResetCall
from mallowpass.core.effects import Count, SendEndpoint
from mallowpass.core.systems.busychecks import FIRST_BUSY_SEQUENCE
from mallowpass.core.tables import RequestRow
from tests.fakes.poolpath import CALL, PoolHost

SLOW_STATEMENT_TIME = 25.0  # seconds; 2.5 times the time to live, 8 times `silence`


def _host(is_supported: bool = True) -> PoolHost:
    host = PoolHost(limit=8)
    host.report(connections=0, limit=8, keep_alive_while_busy=is_supported)
    return host


def _start(host: PoolHost, class_name: str = "caseworker") -> RequestRow:
    """Run a statement on a new connection."""
    request = host.request(class_name, deadline=60.0)
    host.open_all()
    return request


def _statement(host: PoolHost) -> SendEndpoint:
    return host.calls(ExecuteCall)[-1]


def _answered(host: PoolHost) -> list[int]:
    return [number for number, _ in host.requests.replies]


def _losses(host: PoolHost) -> Counter[str]:
    counts = [count for count in host.all(Count) if count.name == "connections_lost"]
    return Counter(dict(count.attributes)["reason"] for count in counts)


def test_a_slow_statement_is_waited_for_while_its_connection_answers():
    """A slow report never finishes.

    The report's statement takes longer than a connection may be silent. If the
    connection were closed as silent, the report would begin again.
    """
    host = _host()
    request = _start(host)
    host.wait_answering_keep_alives(SLOW_STATEMENT_TIME)
    host.reply(_statement(host), rows="report")
    assert _answered(host) == [request.number]
    assert not host.requests.lost and not host.closed()


def test_a_transaction_outlives_its_slow_statement():
    """The statement after a slow one fails since its transaction is lost.

    The slow statement takes longer than the connection's time to live, and meanwhile
    only keep-alives can extend that time.
    """
    host = _host()
    host.requests.hold = True
    request = _start(host)
    connection = host.node.tables.connections[host.requests.granted[0][1]]
    host.pooling.pin(connection, "t")
    host.pooling.send(connection, CALL, request)
    host.wait_answering_keep_alives(SLOW_STATEMENT_TIME)
    host.reply(_statement(host))
    host.pooling.send(connection, CALL, request)
    host.wait(0.1)
    assert len(host.calls(ExecuteCall)) == 2
    assert not host.requests.lost and not host.transactions.lost


def test_a_connection_without_any_answer_is_closed_after_the_silence():
    host = _host()
    request = _start(host)
    host.wait(host.node.tuning.silence - 0.1)
    assert len(host.calls(KeepAliveCall)) == 1
    assert not host.requests.lost
    host.wait(0.2)
    assert host.requests.lost == [(request.number, "silent")]


def test_a_connection_that_goes_silent_during_a_slow_statement_is_closed():
    host = _host()
    request = _start(host)
    host.wait_answering_keep_alives(SLOW_STATEMENT_TIME)
    host.wait(1.5 * host.node.tuning.silence)
    assert host.requests.lost == [(request.number, "silent")]


def test_the_answer_to_a_keep_alive_is_not_taken_for_the_statements():
    """A caller gets an empty answer to a statement that still runs.

    A keep-alive is sent during the statement and is answered first, or twice. The
    sequence of the keep-alive must not be taken for that of the call in flight.
    """
    host = _host()
    request = _start(host)
    host.wait(host.node.tuning.silence / 2)
    (keep_alive,) = host.calls(KeepAliveCall)
    statement = _statement(host)
    assert statement.sequence < FIRST_BUSY_SEQUENCE <= keep_alive.sequence
    host.reply(keep_alive)
    host.reply(keep_alive)
    assert _answered(host) == []
    host.reply(statement)
    host.reply(keep_alive)
    assert _answered(host) == [request.number]
    # The connection is idle again; the answer must not count for the next statement.
    host.request()
    host.reply(keep_alive)
    assert _answered(host) == [request.number]


def test_an_old_answer_does_not_count_for_a_later_check():
    host = _host()
    request = _start(host)
    host.wait(host.node.tuning.silence / 2)
    (keep_alive,) = host.calls(KeepAliveCall)
    host.reply(keep_alive)
    host.wait(host.node.tuning.silence / 2)
    host.reply(keep_alive)
    host.wait(host.node.tuning.silence / 2)
    assert host.requests.lost == [(request.number, "silent")]


@pytest.mark.parametrize("class_name", ["caseworker", "reconciliation"])
def test_patient_classes_wait_for_an_endpoint_without_busy_keep_alives(class_name):
    host = _host(is_supported=False)
    request = _start(host, class_name)
    host.wait(SLOW_STATEMENT_TIME)
    assert not host.calls(KeepAliveCall)
    if class_name == "reconciliation":
        host.reply(_statement(host))
        assert _answered(host) == [request.number]
    else:
        assert host.requests.lost == [(request.number, "silent")]


@pytest.mark.parametrize("is_cancelled", [False, True])
def test_a_part_of_an_answer_counts_like_a_keep_alive(is_cancelled: bool):
    host = _host(is_supported=False)
    request = _start(host)
    if is_cancelled:
        host.pooling.cancel(request)
    for _ in range(5):
        host.wait(0.8 * host.node.tuning.silence)
        host.reply(_statement(host), last=False)
    assert not host.requests.lost and not host.closed()


def test_a_cancelled_statement_keeps_its_connection_no_longer_than_a_silent_one():
    host = _host()
    request = _start(host)
    host.wait_answering_keep_alives(2.0)
    host.pooling.cancel(request)
    host.wait_answering_keep_alives(2 * host.node.tuning.silence)
    assert not host.pool.connections
    # No other connection is suspected, since this one answered.
    assert _losses(host) == Counter({"given-up": 1})


def test_the_connection_of_a_cancelled_statement_that_ends_in_time_is_reused():
    host = _host()
    request = _start(host)
    host.wait_answering_keep_alives(2.0)
    host.pooling.cancel(request)
    host.reply(_statement(host))
    host.reply(host.calls(ResetCall)[-1])
    assert len(host.pool.idle) == 1


def test_a_paused_host_does_not_extend_an_expired_connection():
    """An endpoint's connection limit is exceeded after a host was paused.

    The host is paused during a statement until the time to live has passed. When the
    host resumes, a keep-alive must not extend a connection whose slot the endpoint may
    have given to another host.
    """
    host = _host()
    _start(host)
    (connection,) = host.pool.connections.values()
    expires = connection.expires_at
    host.pause(host.node.tuning.connection_time_to_live)
    host.wait(host.node.tuning.silence)
    assert connection.expires_at == expires
    assert not host.calls(KeepAliveCall)


def test_the_last_part_of_a_long_answer_is_not_taken_for_a_quick_statement():
    """Statements are queued though the endpoint is not overloaded.

    A long answer arrives in parts, the last one soon after another. If the statement's
    time began with that part, all other statements would seem to be slowed down.
    """
    host = _host()
    _start(host)
    statement = _statement(host)
    host.wait(1.0)
    host.reply(statement, last=False)
    host.wait(0.001)
    host.reply(statement)
    assert host.pool.concurrency.baseline > 1.0


def _cancel_unanswered(host: PoolHost) -> None:
    """Cancel a statement whose connection does not answer a keep-alive."""
    request = host.request()
    host.wait(0.1)
    connection = host.node.tables.connections[request.connection]
    host.pooling.is_responsive(connection, 0.1)
    host.flush()
    host.wait(0.1)
    assert not host.pooling.is_responsive(connection, 0.1)
    host.pooling.check_older_idle(connection)
    host.pooling.cancel(request)
    host.flush()


def test_a_retry_does_not_use_the_next_silent_connection():
    """A write takes seconds, since its retries get no answer either.

    All connections of a host to an endpoint go silent at the same time. The other
    connections must be checked before the first one has been silent for the whole
    `Tuning.silence`.
    """
    host = _host()
    host.requests.hold = True
    rows = [host.request() for _ in range(2)]
    host.open_all()
    for row in rows:
        host.pooling.release(host.node.tables.connections[row.connection])
    host.requests.hold = False
    host.wait(0.1)
    (older, _) = host.pool.idle
    _cancel_unanswered(host)
    assert {sent.connection for sent in host.calls(KeepAliveCall)} >= {older}
    assert not host.pool.idle


def test_the_slot_of_a_silent_connection_is_freed_soon():
    """Requests wait for three seconds while no statement runs.

    The only connection that a host may have goes silent. After the request on this
    connection was cancelled, the connection must not keep its slot for the whole
    silence.
    """
    host = _host()
    _start(host)
    host.reply_all()
    _cancel_unanswered(host)
    host.endpoint.last_reply_at = host.now + 1.0
    host.wait(0.6)
    assert not host.pool.connections


def test_a_connection_of_a_cancelled_request_that_answers_late_is_kept():
    host = _host()
    _start(host)
    host.reply_all()
    _cancel_unanswered(host)
    host.endpoint.last_reply_at = host.now + 1.0
    host.reply(host.calls(KeepAliveCall)[-1])
    host.wait(0.6)
    assert host.pool.connections and not host.closed()
