"""Tests of the expected wait, from the speed of a queue."""

from __future__ import annotations

import random

import pytest

from mallowpass.core.proxy.policy.waitestimate import DrainRate, expected_wait


def drained(rate: float, seconds: float, waiting: float = 1.0) -> DrainRate:
    """Return a measurement of a queue that holds something for a share of the time.

    It sends `rate` statements a second, at random, while it holds something.
    """
    measured = DrainRate()
    chance = random.Random(4)
    for tick in range(round(seconds * 1000)):
        now = tick / 1000
        is_waiting = tick % 100 < 100 * waiting
        measured.note_queue(now, is_waiting)
        if chance.random() < rate / 1000:
            measured.note_sent(now)
    return measured


@pytest.mark.parametrize(
    ("rate", "waiting"), [(8, 1.0), (20, 1.0), (200, 1.0), (30, 0.2), (200, 0.2)]
)
def test_rate_is_that_of_the_times_in_which_something_waits(rate, waiting):
    """Guard against a short queue that appears slow as it is empty most of the time."""
    measured = drained(rate, 8.0, waiting).rate(8.0)
    assert measured == pytest.approx(rate, rel=0.6 if rate * waiting < 10 else 0.3)


def test_rate_follows_a_queue_that_slows_down():
    """Guard against waits that are estimated from the speed before an endpoint failed.

    The queue drains at 100 statements a second, and then at 10.
    """
    measured = drained(100, 3.0)
    for tick in range(30):
        measured.note_sent(3.0 + tick / 10)
    assert measured.rate(6.0) < 20


def test_rate_of_a_queue_that_sends_nothing_is_unknown():
    """Guard against an infinite wait where a primary is being replaced."""
    measured = drained(50, 3.0)
    assert measured.rate(3.5) is not None
    assert measured.rate(5.5) is None


def test_few_statements_are_no_measurement():
    measured = DrainRate()
    measured.note_queue(0.0, True)
    measured.note_sent(0.01)
    measured.note_sent(0.02)
    assert measured.rate(0.02) is None


def test_statements_that_never_waited_do_not_count():
    """Guard against a rate of arrivals that is taken for the speed of the queue."""
    measured = DrainRate()
    measured.note_queue(0.0, False)
    for tick in range(100):
        measured.note_sent(tick / 100)
    assert measured.rate(1.0) is None


def test_rate_without_notes_of_the_queue_takes_it_to_be_busy():
    measured = DrainRate()
    for tick in range(300):
        measured.note_sent(tick / 50)
    assert measured.rate(6.0) == pytest.approx(50, rel=0.1)


def test_expected_wait_counts_the_statement_itself():
    assert expected_wait(9, 20.0) == 0.5
    assert expected_wait(9, None) is None
