"""The concurrency limit follows the latency of an endpoint's statements."""

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


def _run_at_capacity(limit: ConcurrencyLimit, windows: int, capacity: int) -> int:
    """Run as many statements as allowed at an endpoint that runs `capacity` at once."""
    for _ in range(windows):
        active = min(limit.limit, 40)
        _run(limit, 1, QUICK * max(1.0, active / capacity), active)
    return limit.limit


def test_latency_far_above_the_baseline_lowers_the_limit_to_one():
    """An overloaded endpoint becomes slower until all statements time out.

    Latency rises tenfold and stays there. The number of statements in flight must not
    be limited by the number of connections only.
    """
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    for _ in range(20):
        _run(limit, 1, 10 * QUICK, 20)
    assert limit.limit == LIMIT_MIN


def test_slow_statements_among_quick_ones_do_not_lower_the_limit():
    """Interactive requests wait at an idle endpoint while long reports run.

    Every fifth statement takes thirty times as long as the others. The mean latency of
    different statements must not be taken for contention.
    """
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    for number in range(20 * WINDOW_SAMPLES):
        limit.record(0.0, QUICK if number % 5 else 30 * QUICK, 6)
    assert limit.limit == INITIAL_LIMIT


def test_the_limit_settles_near_the_capacity_of_the_endpoint():
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    assert 4 <= _run_at_capacity(limit, 200, capacity=4) <= 4 * 4


def test_the_limit_rises_again_when_the_endpoint_is_quick():
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    for _ in range(20):
        _run(limit, 1, 10 * QUICK, 20)
    _run_at_capacity(limit, 30, capacity=100)
    assert limit.limit >= 20


def test_an_endpoint_that_is_not_overloaded_is_not_limited():
    limit = ConcurrencyLimit()
    _run(limit, 20, QUICK, 3)
    _run(limit, 20, 1.5 * QUICK, 3)
    assert limit.limit == INITIAL_LIMIT


def test_the_baseline_rises_when_statements_become_slower_without_contention():
    limit = ConcurrencyLimit()
    _run(limit, 3, QUICK, 1)
    _run(limit, 200, 10 * QUICK, 1)
    assert limit.baseline > 3 * QUICK
