"""Tests of admission control and of the order of the queue of a full endpoint."""

from __future__ import annotations

import pytest

from mallowpass.core.positions import LogPosition
from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.policy.admission import held_until, is_turned_away
from mallowpass.core.proxy.policy.dispatch import Choice, DispatchPass, urgency
from mallowpass.core.proxy.statements import Access, Read
from mallowpass.core.proxy.tables import RequestRow, SessionRow
from mallowpass.standins.proxied.virtual.world import route

OBJECTIVE = 0.4  # seconds


def request(arrived: float, priority: int = 1) -> RequestRow:
    """Return a read that arrived at `arrived`."""
    own = route("own", Consistency.OWN_WRITES, priority=priority, objective=OBJECTIVE)
    session = SessionRow(1, "own")
    return RequestRow(session, "r", Read("a"), Access.READ, own, arrived, arrived + 1)


def test_overload_is_refused_with_most_of_the_objective_left():
    """Guard against refusals that come too late for callers to retry.

    300 statements a second arrive for two seconds at an endpoint that runs 100.
    """
    queue: list[RequestRow] = []
    refused_waits = []
    served_waits = []
    for tick in range(2000):
        now = tick / 1000
        if tick % 10 < 3:
            queue.append(request(now))
        if tick % 10 == 0 and queue:
            first = queue.pop(0)
            served_waits.append(now - first.arrived_at)
        for waiting in list(queue):
            if is_turned_away(waiting, queue, now):
                queue.remove(waiting)
                refused_waits.append(now - waiting.arrived_at)
    assert len(served_waits) >= 199
    assert max(served_waits) <= OBJECTIVE / 2
    assert max(refused_waits) <= OBJECTIVE / 2


def test_head_of_the_queue_is_never_refused():
    first, second = request(0.0), request(0.0)
    late = held_until(first) + 0.1
    assert not is_turned_away(first, [first, second], late)
    assert is_turned_away(second, [first, second], late)


def test_queue_is_ordered_by_priority_and_then_by_arrival():
    urgent, early, late = request(2.0, 0), request(0.0), request(1.0)
    assert sorted([late, early, urgent], key=urgency) == [urgent, early, late]


@pytest.mark.parametrize(
    ("missed", "floor", "found"),
    [(5, 6, True), (5, 5, True), (5, 4, False)],
)
def test_miss_applies_to_statements_with_the_same_or_a_higher_floor(
    missed, floor, found
):
    misses = DispatchPass()
    misses.record_miss("acme", LogPosition(1, missed), Choice(None, why="none"))
    assert (misses.lookup_miss("acme", LogPosition(1, floor)) is not None) is found
    assert misses.lookup_miss("acme", None) is None


def test_miss_of_a_customer_does_not_apply_to_others():
    """Guard against a customer without a connection that blocks all others."""
    misses = DispatchPass()
    misses.record_miss("acme", None, Choice(None, why="none"))
    misses.record_miss("acme", LogPosition(1, 1), Choice(None, why="none"))
    assert misses.lookup_miss("berth", None) is None
    assert misses.lookup_miss("berth", LogPosition(1, 1)) is None
    assert (misses.miss_count("acme"), misses.miss_count("berth")) == (2, 0)
