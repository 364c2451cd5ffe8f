"""Tests of mallowpass.core.systems.concurrency."""

from __future__ import annotations

from mallowpass.core.systems.concurrency import (
    INITIAL_LIMIT,
    LIMIT_MIN,
    WINDOW_SAMPLES,
    ConcurrencyLimit,
)

QUICK = 0.01


def _run(limit: ConcurrencyLimit, windows: int, latency: float, active: int) -> None:
    for _ in range(windows * WINDOW_SAMPLES):
        limit.record(0.0, latency, active)


def _loaded(limit: ConcurrencyLimit, windows: int, capacity: int) -> int:
    """Serve as much as is allowed at an endpoint that does `capacity` at once."""
    for _ in range(windows):
        active = min(limit.limit, 40)
        _run(limit, 1, QUICK * max(1.0, active / capacity), active)
    return limit.limit


def test_latency_far_above_its_minimum_lowers_the_limit_and_no_further_than_one():
    """
    Symptom: an overloaded endpoint gets slower for all until everything times out.
    Sequence: latency rises tenfold and stays.
    Cause: as many statements sent as there are connections.
    """
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    for _ in range(20):
        _run(limit, 1, 10 * QUICK, 20)
    assert limit.limit == LIMIT_MIN


def test_slow_statements_among_quick_ones_lower_nothing():
    """
    Symptom: caseworkers wait while reconciliation runs, at an idle endpoint.
    Sequence: every fifth statement takes thirty times as long as the others.
    Cause: a mean over unlike statements taken for contention.
    """
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    for number in range(20 * WINDOW_SAMPLES):
        limit.record(0.0, QUICK if number % 5 else 30 * QUICK, 6)
    assert limit.limit == INITIAL_LIMIT


def test_the_limit_settles_near_what_the_endpoint_can_do():
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    assert 4 <= _loaded(limit, 200, capacity=4) <= 4 * 4


def test_the_limit_rises_again_when_the_endpoint_is_quick():
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    for _ in range(20):
        _run(limit, 1, 10 * QUICK, 20)
    _loaded(limit, 30, capacity=100)
    assert limit.limit >= 20


def test_an_endpoint_that_is_not_crowded_is_not_limited():
    limit = ConcurrencyLimit()
    _run(limit, 20, QUICK, 3)
    _run(limit, 20, 1.5 * QUICK, 3)
    assert limit.limit == INITIAL_LIMIT


def test_an_endpoint_that_became_slower_by_itself_is_believed_in_time():
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    _run(limit, 200, 10 * QUICK, 1)
    assert limit.baseline > 3 * QUICK
