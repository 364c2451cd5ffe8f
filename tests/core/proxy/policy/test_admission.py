"""Who is turned away from a full endpoint, and who waits."""

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
    """Return a read that arrived at some time."""
    made = route("own", Consistency.OWN_WRITES, priority=priority, objective=OBJECTIVE)
    session = SessionRow(1, "own")
    return RequestRow(session, "r", Read("a"), Access.READ, made, arrived, arrived + 1)


def test_a_line_under_three_times_the_load_turns_away_in_time():
    """Whoever is refused has most of its objective left, whatever the load.

    300 statements a second come for an endpoint that runs 100, for two seconds.
    """
    line: list[RequestRow] = []
    waited = []
    served = []
    for tick in range(2000):
        now = tick / 1000
        if tick % 10 < 3:
            line.append(request(now))
        if tick % 10 == 0 and line:
            first = line.pop(0)
            served.append(now - first.arrived_at)
        for one in list(line):
            if is_turned_away(one, line, now):
                line.remove(one)
                waited.append(now - one.arrived_at)
    assert len(served) >= 199
    assert max(served) <= OBJECTIVE / 2
    assert max(waited) <= OBJECTIVE / 2


def test_the_first_in_line_is_kept():
    first, second = request(0.0), request(0.0)
    late = held_until(first) + 0.1
    assert not is_turned_away(first, [first, second], late)
    assert is_turned_away(second, [first, second], late)


def test_the_more_urgent_goes_first_and_then_whoever_came_first():
    urgent, early, late = request(2.0, 0), request(0.0), request(1.0)
    assert sorted([late, early, urgent], key=urgency) == [urgent, early, late]


@pytest.mark.parametrize(
    ("known", "asked", "found"),
    [(5, 6, True), (5, 5, True), (5, 4, False)],
)
def test_what_one_lacked_those_behind_lack_that_need_no_less(known, asked, found):
    line = DispatchPass()
    line.record_miss("acme", LogPosition(1, known), Choice(None, why="none"))
    assert (line.lookup_miss("acme", LogPosition(1, asked)) is not None) is found
    assert line.lookup_miss("acme", None) is None


def test_what_one_customer_lacked_others_may_have():
    """Guard against starving all behind one customer that has no connection."""
    line = DispatchPass()
    line.record_miss("acme", None, Choice(None, why="none"))
    line.record_miss("acme", LogPosition(1, 1), Choice(None, why="none"))
    assert line.lookup_miss("berth", None) is None
    assert line.lookup_miss("berth", LogPosition(1, 1)) is None
    assert (line.miss_count("acme"), line.miss_count("berth")) == (2, 0)
