"""Tests of mallowpass.core.systems.waitqueue."""

from __future__ import annotations

from collections import Counter

from mallowpass.core.calls import Access, CallerRequest
from mallowpass.core.systems.waitqueue import DEAD_MAX, WaitQueue
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


def test_callers_take_turns_however_much_one_of_them_asks():
    """
    Symptom: one caller's burst makes all others of its class wait behind it.
    Sequence: four requests of a, then one of b and one of c.
    Cause: a line in order of arrival, without turns.
    """
    queue = WaitQueue(WEIGHTS)
    for number, caller in enumerate("aaaabc"):
        queue.push(_request(number), caller, 0.0)
    assert _pop_all(queue) == [0, 4, 5, 1, 2, 3]


def test_classes_share_by_weight_and_the_light_one_is_not_starved():
    """
    Symptom: the monthly reconciliation does not finish while people work.
    Sequence: both classes always have requests in line.
    Cause: strict order of classes, without a floor for the last one.
    """
    queue = WaitQueue(WEIGHTS)
    for number in range(80):
        queue.push(_request(number), "a", 0.0)
        queue.push(_request(100 + number, "reconciliation"), "b", 0.0)
    served = Counter(queue.pop()[0].request_class for _ in range(40))
    assert served == {"caseworker": 30, "reconciliation": 10}


def test_shares_are_of_time_so_slow_statements_count_for_more():
    """
    Symptom: caseworkers wait although their class has the higher weight.
    Sequence: reconciliation's statements keep a connection thirty times longer.
    Cause: a share by number of requests leaves the slow class most of the time.
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


def test_a_class_that_was_idle_does_not_take_every_turn_when_it_comes():
    """
    Symptom: a class that slept at night takes all connections in the morning.
    Sequence: one class is served a hundred times, then the other comes.
    Cause: its unused turns were saved up.
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
    """
    Symptom: memory grows while an endpoint gives no connection.
    Sequence: thousands of requests are queued and cancelled, none is taken.
    Cause: cancelled entries are only dropped when their turn comes.
    """
    queue = WaitQueue(WEIGHTS)
    for number in range(5_000):
        queue.push(_request(number), "a", 0.0)
        assert queue.cancel(number)
    assert len(queue) == 0 and queue.pop() is None
    line = queue._lines["caseworker"]
    assert sum(map(len, line.callers.values())) <= DEAD_MAX + 1


def test_made_up_class_names_share_one_line():
    queue = WaitQueue(WEIGHTS)
    for number in range(50):
        queue.push(_request(number, f"made-up-{number}"), "a", 0.0)
    assert len(queue._lines) == 1
    assert _pop_all(queue) == list(range(50))
