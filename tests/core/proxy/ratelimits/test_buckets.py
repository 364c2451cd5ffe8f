"""The sum of what parts grant keeps to a limit, whatever its size."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core.proxy.configuration import Customer, RateBounds
from mallowpass.core.proxy.ratelimits.buckets import (
    PART_COUNT,
    VALIDITY,
    BucketSize,
    TokenBucket,
    full_size,
    spare_size,
    start_level,
)

WINDOW, OVERAGE, SLACK = 5.0, 0.1, 20.0
BOUNDS = RateBounds(WINDOW, OVERAGE, SLACK)
EXACT = RateBounds(WINDOW, 0.1, 0.0)
LIMITS = st.floats(0.0, 1e6)


def _within_a_window(size: BucketSize) -> float:
    """Return how many operations may run within a window that a bucket grants."""
    return size.rate * (WINDOW + VALIDITY) + size.burst


@given(rate=LIMITS, burst=LIMITS, bounds=st.sampled_from([BOUNDS, EXACT]))
def test_all_parts_and_all_spare_parts_together_are_allowed(rate, burst, bounds):
    customer = Customer("acme", rate=rate, burst=burst)
    sizes = [
        find(customer, part, bounds)
        for part in range(PART_COUNT)
        for find in (full_size, spare_size)
    ]
    allowed = (rate * WINDOW + burst) * (1.0 + OVERAGE) + bounds.slack
    begun = sum(start_level(customer, part, bounds) for part in range(PART_COUNT))
    assert sum(map(_within_a_window, sizes)) + begun <= allowed * (1 + 1e-9)


@given(rate=LIMITS, burst=LIMITS)
def test_customer_can_run_its_rate_and_its_burst(rate, burst):
    customer = Customer("acme", rate=rate, burst=burst)
    sizes = [full_size(customer, part, BOUNDS) for part in range(PART_COUNT)]
    assert sum(size.rate for size in sizes) == pytest.approx(rate)
    assert sum(size.burst for size in sizes) >= burst * (1 - 1e-9)


def test_small_burst_is_not_divided():
    """Guard against three buckets of which none ever holds a whole operation."""
    customer = Customer("acme", rate=0.5, burst=1.0)
    sizes = [full_size(customer, part, EXACT) for part in range(PART_COUNT)]
    assert max(size.burst for size in sizes) >= 1.0


def test_bucket_begins_empty_and_gains_its_rate():
    size, bucket = BucketSize(2.0, 3.0), TokenBucket(10.0)
    assert bucket.fill(size, 10.0) == 0.0
    assert bucket.until_next(size) == 0.5
    assert bucket.fill(size, 11.0) == 2.0
    bucket.take(1)
    assert bucket.fill(size, 20.0) == 3.0


def test_bucket_of_a_limit_that_is_lowered_holds_the_lower_burst():
    bucket = TokenBucket(0.0)
    assert bucket.fill(BucketSize(2.0, 30.0), 20.0) == 30.0
    assert bucket.fill(BucketSize(1.0, 2.0), 20.0) == 2.0


def test_bucket_of_a_clock_that_steps_back_gains_nothing_twice():
    size, bucket = BucketSize(1.0, 100.0), TokenBucket(0.0)
    bucket.fill(size, 10.0)
    bucket.fill(size, 5.0)
    assert bucket.fill(size, 10.0) == 10.0
