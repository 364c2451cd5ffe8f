"""Admission: requests that cannot be served by their deadlines are refused at once."""

from __future__ import annotations

import pytest

from mallowpass.core.calls import EndpointCode, ExecuteCall
from mallowpass.errors import ErrorCode
from tests.fakes.poolpath import DATABASE, PoolHost

STATEMENT = 0.2  # seconds


def _serve(host: PoolHost, statements: int) -> None:
    """Run statements of STATEMENT seconds, one after another."""
    for _ in range(statements):
        host.request()
        host.open_all()
        host.wait(STATEMENT)
        host.reply_all()
    host.requests.refused.clear()


def test_a_request_that_cannot_be_served_in_time_is_refused_at_once():
    """Callers wait until their deadlines to learn that their requests did not run.

    Ten statements of 0.2 s wait for one connection when a request arrives whose
    deadline is 1 s away. A request whose predicted wait exceeds its deadline must not
    be queued.
    """
    host = PoolHost(limit=4)
    _serve(host, 3)
    for _ in range(10):
        host.request()
    late = host.request(deadline=1.0)
    ((refused, code, retry_after),) = host.requests.refused
    assert (refused, code) == (late.number, ErrorCode.QUEUE_FULL.code)
    wait = host.admission.predicted_wait(DATABASE, "caseworker")
    assert wait - 1.0 <= retry_after <= 1.5 * wait
    host.request(deadline=10.0)
    assert len(host.requests.refused) == 1


@pytest.mark.parametrize("before", ["nothing", "in flight", "opening"])
def test_a_request_with_room_for_a_connection_is_not_refused(before: str):
    """An idle host refuses each request with a deadline of 3 s.

    Transactions kept connections for 9 s. Then a request arrives alone, or beside one
    more, and a connection can be opened. The average time for which connections are
    kept must not be taken for the wait for a new connection.
    """
    host = PoolHost(limit=8)
    host.pool.average_hold_time = 9.0
    if before != "nothing":
        host.request()
    if before == "in flight":
        host.open_all()
    host.request(deadline=3.0)
    assert host.requests.refused == []
    host.open_all()
    assert len(host.calls(ExecuteCall)) == len(host.requests.granted)


def test_a_request_at_a_host_without_a_share_may_wait_for_a_loan():
    """A host without a share refuses each request with a deadline of 3 s.

    Requests on borrowed connections took 9 s, and the loan has ended. That time must
    not count, since no connection is open to which it applies.
    """
    host = PoolHost(limit=8)
    host.pool.lent_count, host.pool.average_hold_time = host.pool.own_share, 9.0
    host.request(deadline=3.0)
    assert host.requests.refused == []
    assert len(host.pool.queue) == 1


def test_a_request_without_room_for_a_connection_has_to_wait_for_another():
    host = PoolHost(limit=4)
    host.request()
    host.open_all()
    host.pool.average_hold_time = 3.4
    host.request(deadline=3.0)
    assert len(host.requests.refused) == 1


def test_a_retry_after_the_stated_time_is_served():
    host = PoolHost(limit=4)
    _serve(host, 3)
    for _ in range(10):
        host.request()
    host.request(deadline=1.0)
    ((_, _, retry_after),) = host.requests.refused
    end = host.now + retry_after
    while host.now < end:
        host.wait(STATEMENT)
        for sent in host.calls(ExecuteCall)[-1:]:
            host.reply(sent)
    again = host.request(deadline=1.0)
    assert len(host.requests.refused) == 1
    host.reply_all()
    assert again.number in [number for number, _ in host.requests.replies]


def test_a_service_queues_no_more_requests_than_its_queue_length():
    host = PoolHost(limit=4, queue_length=5)
    _serve(host, 1)
    for _ in range(8):
        host.request(deadline=60.0)
    assert len(host.pool.queue) == 5
    codes = [code for _, code, _ in host.requests.refused]
    assert codes == [ErrorCode.QUEUE_FULL.code] * 2
    assert all(retry_after > 0 for *_, retry_after in host.requests.refused)


def test_cancelled_requests_make_room_in_the_queue():
    host = PoolHost(limit=4, queue_length=2)
    _serve(host, 1)
    rows = [host.request(deadline=60.0) for _ in range(3)]
    host.pooling.cancel(rows[-1])
    host.request(deadline=60.0)
    assert host.requests.refused == []


def test_a_class_with_more_weight_waits_less():
    host = PoolHost(limit=4)
    _serve(host, 3)
    for _ in range(6):
        host.request("portal", deadline=60.0)
        host.request("caseworker", deadline=60.0)
    wait = host.admission.predicted_wait
    assert wait(DATABASE, "caseworker") < wait(DATABASE, "portal")


def test_requests_at_a_leaving_endpoint_are_refused_before_the_database_is_full():
    host = PoolHost(limit=4)
    host.endpoint.is_leaving = True
    host.request()
    ((_, code, _),) = host.requests.refused
    assert code == ErrorCode.ENDPOINT_REFUSED.code


def test_a_busy_endpoint_is_sent_fewer_statements():
    host = PoolHost(limit=32)
    for _ in range(4):
        host.request()
        host.open_all()
    host.requests.hold = True
    host.reply(host.calls(ExecuteCall)[-1], EndpointCode.BUSY)
    assert host.pool.statement_limit == 3


def test_quick_refusals_are_not_taken_for_uncontended_statements():
    """An idle endpoint is sent one statement at a time.

    A replica that is behind refuses quickly, catches up, then serves. The latency of
    the refusals must not be taken for that of statements without contention.
    """
    host = PoolHost(limit=32)
    host.request()
    host.open_all()
    host.wait(0.01)
    host.reply(host.calls(ExecuteCall)[-1], EndpointCode.BEHIND)
    assert host.pool.concurrency.baseline == 0.0
