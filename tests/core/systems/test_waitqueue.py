"""The queue for connections: turns of callers and weights of classes."""

from __future__ import annotations

from collections import Counter

from mallowpass.core.calls import Access, CallerRequest
from mallowpass.core.systems.waitqueue import CANCELLED_MAX, WaitQueue
from mallowpass.core.tables import RequestRow

WEIGHTS = {"caseworker": 3, "reconciliation": 1}


def _request(number: int, class_name: str = "caseworker") -> RequestRow:
    return RequestRow(
        number,
        1,
        CallerRequest(request_id=str(number)),
        "s/d",
        Access.READ,
        0.0,
        10.0,
        request_class=class_name,
    )


def _pop_all(queue: WaitQueue) -> list[int]:
    taken = []
    while (entry := queue.pop()) is not None:
        taken.append(entry[0].number)
    return taken


def test_callers_take_turns_regardless_of_their_number_of_requests():
    """A burst of one caller delays the requests of all others of its class.

    Requests of a class must not be served in order of arrival, without turns of
    callers.
    """
    queue = WaitQueue(WEIGHTS)
    for number, caller in enumerate("aaaabc"):
        queue.push(_request(number), caller, 0.0)
    assert _pop_all(queue) == [0, 4, 5, 1, 2, 3]


def test_classes_share_by_weight_and_none_is_starved():
    """A class of low weight is not served while another one always has requests.

    Classes must not be served in strict order of priority.
    """
    queue = WaitQueue(WEIGHTS)
    for number in range(80):
        queue.push(_request(number), "a", 0.0)
        queue.push(_request(100 + number, "reconciliation"), "b", 0.0)
    served = Counter(queue.pop()[0].request_class for _ in range(40))
    assert served == {"caseworker": 30, "reconciliation": 10}


def test_classes_share_connection_time_not_the_number_of_requests():
    """A class of slow statements uses the connections most of the time.

    The statements of that class take thirty times as long. If weights applied to the
    number of requests, the class would get most of the time even at a lower weight.
    """
    queue = WaitQueue({"caseworker": 1, "reconciliation": 1})
    for _ in range(200):
        queue.record_cost("caseworker", 0.01)
        queue.record_cost("reconciliation", 0.3)
    for number in range(100):
        queue.push(_request(number), "a", 0.0)
        queue.push(_request(200 + number, "reconciliation"), "b", 0.0)
    served = Counter(queue.pop()[0].request_class for _ in range(62))
    assert 1 <= served["reconciliation"] <= 3


def test_idle_class_accumulates_no_credit():
    """A class that was idle takes all connections when its requests come.

    Turns that a class does not use while another one is served must not be saved up.
    """
    queue = WaitQueue({"caseworker": 1, "reconciliation": 1})
    for number in range(120):
        queue.push(_request(number), "a", 0.0)
    for _ in range(100):
        queue.pop()
    for number in range(200, 220):
        queue.push(_request(number, "reconciliation"), "b", 0.0)
    served = Counter(queue.pop()[0].request_class for _ in range(10))
    assert 4 <= served["caseworker"] <= 6


def test_cancelled_requests_are_neither_counted_nor_kept():
    """Memory grows while an endpoint gives no connection.

    Thousands of requests are queued and cancelled, and none is taken. Cancelled entries
    must be dropped before their turn comes.
    """
    queue = WaitQueue(WEIGHTS)
    for number in range(5_000):
        queue.push(_request(number), "a", 0.0)
        assert queue.cancel(number)
    assert len(queue) == 0 and queue.pop() is None
    class_queue = queue._class_queues["caseworker"]
    assert sum(map(len, class_queue.callers.values())) <= CANCELLED_MAX + 1


def test_unknown_class_names_share_one_queue():
    queue = WaitQueue(WEIGHTS)
    for number in range(50):
        queue.push(_request(number, f"made-up-{number}"), "a", 0.0)
    assert len(queue._class_queues) == 1
    assert _pop_all(queue) == list(range(50))
