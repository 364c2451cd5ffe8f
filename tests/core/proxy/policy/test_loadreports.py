"""Tests of what a holder reports of its queue, and of when it does, without a host."""

from __future__ import annotations

import random
from collections import deque

import pytest

from mallowpass.core.proxy.policy.loadreports import REPEAT_AFTER, is_due
from mallowpass.core.proxy.policy.waitestimate import DrainRate, expected_wait
from mallowpass.core.proxy.statements import LoadReport

WORK = 0.018  # seconds of a slot that a statement takes
SLOTS = 2


def waits(arrivals: list[float]) -> list[tuple[float | None, float]]:
    """Return the expected and the actual wait of each statement that had to wait."""
    rate = DrainRate()
    queue: deque[tuple[float, float | None]] = deque()  # arrival, expected wait
    ends: list[float] = []
    found = []
    arrivals = sorted(arrivals)
    while arrivals or queue:
        next_end = min(ends, default=float("inf"))
        if arrivals and arrivals[0] <= next_end:
            now = arrivals.pop(0)
            if len(ends) == SLOTS:
                queue.append((now, expected_wait(len(queue), rate.rate(now))))
                rate.note_queue(now, True)
                continue
        else:
            now = next_end
            ends.remove(now)
            if not queue:
                continue
            since, expected = queue.popleft()
            rate.note_sent(now)
            rate.note_queue(now, bool(queue))
            found.append((expected, now - since))
        ends.append(now + WORK)
    return found


def test_expected_waits_are_close_to_actual_ones_under_overload():
    """Guard against reports that misstate the queue of an overloaded endpoint.

    For two seconds, 150 statements a second arrive at an endpoint that runs 111.
    """
    pick = random.Random(1)
    found = waits([pick.uniform(0.0, 2.0) for _ in range(300)])
    long = [(e, actual) for e, actual in found if actual > 0.1]
    assert len(long) > 150
    assert all(e is not None and 0.8 * a < e < 1.25 * a for e, a in long)


def test_burst_after_a_calm_time_is_not_taken_for_a_slow_queue():
    """Guard against waits that are overstated where load comes in short bursts.

    Three to six statements arrive at once, twice a second. Counted over a whole second,
    the queue would drain 5 statements a second, and the fourth of a burst would seem to
    wait for 0.4 s.
    """
    pick = random.Random(2)
    bursts = [[i / 2] * pick.randint(3, 6) for i in range(40)]
    found = waits([at for burst in bursts for at in burst])
    known = [e for e, _ in found if e]
    assert len(known) > 40
    assert max(known) < 4 * WORK


def test_wait_is_unknown_without_a_recent_measurement():
    """Guard against waits that are estimated from a queue of long ago.

    Five sends over an hour earlier made one statement in a queue appear to wait 0.23 s.
    """
    rate = DrainRate()
    rate.note_queue(0.0, True)
    assert expected_wait(3, rate.rate(0.1)) is None
    for sent in range(1, 11):
        rate.note_sent(sent / 20)
    assert expected_wait(3, rate.rate(0.5)) == pytest.approx(0.2, rel=0.05)
    assert expected_wait(3, rate.rate(1.0)) > 0.4  # the queue does not move
    rate.note_queue(1.0, False)
    assert expected_wait(3, rate.rate(2.6)) is None
    rate.note_queue(3600.0, True)
    assert expected_wait(1, rate.rate(3600.1)) is None


@pytest.mark.parametrize(
    ("last", "report", "is_sent"),
    [
        (None, LoadReport(0, 0.0), True),
        (LoadReport(4, 0.1), LoadReport(5, 0.12), False),
        (LoadReport(4, 0.1), LoadReport(6, 0.13), True),
        (LoadReport(4, 0.1), LoadReport(0, 0.0), True),
        (LoadReport(0, 0.0), LoadReport(1, 0.002), False),
        (LoadReport(0, 0.0), LoadReport(1, 0.02), True),
        (LoadReport(2, None), LoadReport(2, 0.02), True),
        (LoadReport(8, None), LoadReport(11, None), True),
    ],
)
def test_report_is_sent_at_once_only_if_it_differs_by_more_than_a_quarter(
    last, report, is_sent
):
    assert is_due(last, 0.0, report, 0.01) is is_sent
    assert is_due(last, 0.0, report, REPEAT_AFTER)
