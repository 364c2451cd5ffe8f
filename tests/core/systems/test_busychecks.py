"""Tests of mallowpass.core.systems.busychecks."""

from __future__ import annotations

from collections import Counter

import pytest

from mallowpass.core.calls import ExecuteCall, KeepAliveCall, ResetCall
from mallowpass.core.effects import Count, SendEndpoint
from mallowpass.core.systems.busychecks import FIRST_BUSY_SEQUENCE
from mallowpass.core.tables import RequestRow
from tests.fakes.poolpath import CALL, PoolHost

LONG = 25.0  # seconds: several times the silence and the time to live


def _host(able: bool = True) -> PoolHost:
    host = PoolHost(limit=8)
    host.report(connections=0, limit=8, keep_alive_while_busy=able)
    return host


def _start(host: PoolHost, class_name: str = "caseworker") -> RequestRow:
    """Have a statement run on a new connection."""
    request = host.request(class_name, deadline=60.0)
    host.open_all()
    return request


def _statement(host: PoolHost) -> SendEndpoint:
    return host.calls(ExecuteCall)[-1]


def _told(host: PoolHost) -> list[int]:
    return [number for number, _ in host.requests.replies]


def _losses(host: PoolHost) -> Counter[str]:
    counts = [count for count in host.all(Count) if count.name == "connections_lost"]
    return Counter(dict(count.attributes)["reason"] for count in counts)


def test_a_long_statement_is_waited_for_while_its_connection_answers():
    """
    Symptom: a report of the monthly reconciliation never finishes.
    Sequence: its statement takes longer than a connection may stay silent.
    Cause: taken for silent, the connection is closed, and the report begins anew.
    """
    host = _host()
    request = _start(host)
    host.wait_answering_keep_alives(LONG)
    host.reply(_statement(host), rows="report")
    assert _told(host) == [request.number]
    assert not host.requests.lost and not host.closed()


def test_a_transaction_outlives_its_long_statement():
    """
    Symptom: the statement after a long one loses its transaction.
    Sequence: the long one takes longer than the connection's time to live.
    Cause: nothing was sent meanwhile that prolongs it.
    """
    host = _host()
    host.requests.hold = True
    request = _start(host)
    connection = host.node.tables.connections[host.requests.granted[0][1]]
    host.pooling.pin(connection, "t")
    host.pooling.send(connection, CALL, request)
    host.wait_answering_keep_alives(LONG)
    host.reply(_statement(host))
    host.pooling.send(connection, CALL, request)
    host.wait(0.1)
    assert len(host.calls(ExecuteCall)) == 2
    assert not host.requests.lost and not host.transactions.lost


def test_a_connection_that_answers_nothing_is_silent_as_before():
    host = _host()
    request = _start(host)
    host.wait(host.node.tuning.silence - 0.1)
    assert len(host.calls(KeepAliveCall)) == 1
    assert not host.requests.lost
    host.wait(0.2)
    assert host.requests.lost == [(request.number, "silent")]


def test_a_connection_that_goes_silent_under_a_long_statement_is_found():
    host = _host()
    request = _start(host)
    host.wait_answering_keep_alives(LONG)
    host.wait(1.5 * host.node.tuning.silence)
    assert host.requests.lost == [(request.number, "silent")]


def test_the_answer_to_a_keep_alive_is_not_taken_for_the_statements():
    """
    Symptom: a caller gets an empty answer to a report that still runs.
    Sequence: the keep-alive beside the statement is answered first, or twice.
    Cause: its sequence was taken for that of the call in flight.
    """
    host = _host()
    request = _start(host)
    host.wait(host.node.tuning.silence / 2)
    (asked,) = host.calls(KeepAliveCall)
    statement = _statement(host)
    assert statement.sequence < FIRST_BUSY_SEQUENCE <= asked.sequence
    host.reply(asked)
    host.reply(asked)
    assert _told(host) == []
    host.reply(statement)
    host.reply(asked)
    assert _told(host) == [request.number]
    # Idle again, and not taken for the next statement's answer either.
    host.request()
    host.reply(asked)
    assert _told(host) == [request.number]


def test_an_old_answer_does_not_prove_a_connection_again():
    host = _host()
    request = _start(host)
    host.wait(host.node.tuning.silence / 2)
    (asked,) = host.calls(KeepAliveCall)
    host.reply(asked)
    host.wait(host.node.tuning.silence / 2)
    host.reply(asked)
    host.wait(host.node.tuning.silence / 2)
    assert host.requests.lost == [(request.number, "silent")]


@pytest.mark.parametrize("class_name", ["caseworker", "reconciliation"])
def test_an_endpoint_that_cannot_be_asked_is_waited_for_by_patient_classes(class_name):
    host = _host(able=False)
    request = _start(host, class_name)
    host.wait(LONG)
    assert not host.calls(KeepAliveCall)
    if class_name == "reconciliation":
        host.reply(_statement(host))
        assert _told(host) == [request.number]
    else:
        assert host.requests.lost == [(request.number, "silent")]


@pytest.mark.parametrize("given_up", [False, True])
def test_a_part_of_an_answer_is_a_proof_as_well(given_up: bool):
    host = _host(able=False)
    request = _start(host)
    if given_up:
        host.pooling.cancel(request)
    for _ in range(5):
        host.wait(0.8 * host.node.tuning.silence)
        host.reply(_statement(host), last=False)
    assert not host.requests.lost and not host.closed()


def test_a_given_up_statement_keeps_its_connection_no_longer_than_a_silent_one():
    host = _host()
    request = _start(host)
    host.wait_answering_keep_alives(2.0)
    host.pooling.cancel(request)
    host.wait_answering_keep_alives(2 * host.node.tuning.silence)
    assert not host.pool.connections
    # Its neighbours are not suspected: the connection answered.
    assert _losses(host) == Counter({"given-up": 1})


def test_a_given_up_statement_that_ends_in_time_leaves_its_connection():
    host = _host()
    request = _start(host)
    host.wait_answering_keep_alives(2.0)
    host.pooling.cancel(request)
    host.reply(_statement(host))
    host.reply(host.calls(ResetCall)[-1])
    assert len(host.pool.idle) == 1


def test_a_paused_host_does_not_prolong_what_ran_out_meanwhile():
    """
    Symptom: an endpoint's place is used twice after a host was paused.
    Sequence: its statement is in flight; it stands still past the time to live.
    Cause: the keep-alive on waking prolongs what the endpoint gave to others.
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
    """
    Symptom: statements wait although the endpoint is far from crowded.
    Sequence: a long answer comes in parts, the last one soon after another.
    Cause: its time counted from that part, and made all others look contended.
    """
    host = _host()
    _start(host)
    statement = _statement(host)
    host.wait(1.0)
    host.reply(statement, last=False)
    host.wait(0.001)
    host.reply(statement)
    assert host.pool.concurrency.baseline > 1.0


def _give_up_unanswered(host: PoolHost) -> None:
    """Give a statement up whose connection leaves a keep-alive unanswered."""
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


def test_a_retry_does_not_meet_the_next_silent_connection():
    """
    Symptom: a write takes two seconds and more: its retries go unanswered as well.
    Sequence: all connections of a host to an endpoint go silent at one moment.
    Cause: others were checked only once the first had been silent for its whole time.
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
    _give_up_unanswered(host)
    assert {sent.connection for sent in host.calls(KeepAliveCall)} >= {older}
    assert not host.pool.idle


def test_a_silent_connection_gives_its_place_back_soon():
    """
    Symptom: requests wait three seconds while nothing runs.
    Sequence: the only connection that a host may have goes silent.
    Cause: given up by its request, it kept its place for the whole silence.
    """
    host = _host()
    _start(host)
    host.reply_all()
    _give_up_unanswered(host)
    host.endpoint.last_reply_at = host.now + 1.0
    host.wait(0.6)
    assert not host.pool.connections


def test_a_given_up_connection_that_answers_after_all_is_kept():
    host = _host()
    _start(host)
    host.reply_all()
    _give_up_unanswered(host)
    host.endpoint.last_reply_at = host.now + 1.0
    host.reply(host.calls(KeepAliveCall)[-1])
    host.wait(0.6)
    assert host.pool.connections and not host.closed()
