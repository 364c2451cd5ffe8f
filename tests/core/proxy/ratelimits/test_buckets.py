"""Token buckets of a limit's parts together keep to the limit, whatever its size."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mallowpass.core.proxy.configuration import Customer, RateBounds
from mallowpass.core.proxy.ratelimits.buckets import (
    GRANT_VALIDITY,
    PART_COUNT,
    BucketSize,
    TokenBucket,
    full_size,
    initial_level,
    spare_size,
)

WINDOW, OVERAGE, SLACK = 5.0, 0.1, 20.0
BOUNDS = RateBounds(WINDOW, OVERAGE, SLACK)
EXACT = RateBounds(WINDOW, 0.1, 0.0)
LIMITS = st.floats(0.0, 1e6)


def _most_in_window(size: BucketSize) -> float:
    """Return how many operations granted by a bucket may begin within one window."""
    return size.rate * (WINDOW + GRANT_VALIDITY) + size.burst


@given(rate=LIMITS, burst=LIMITS, bounds=st.sampled_from([BOUNDS, EXACT]))
def test_full_and_spare_buckets_of_all_parts_stay_within_bounds(rate, burst, bounds):
    customer = Customer("acme", rate=rate, burst=burst)
    sizes = [
        size_for(customer, part, bounds)
        for part in range(PART_COUNT)
        for size_for in (full_size, spare_size)
    ]
    allowed = (rate * WINDOW + burst) * (1.0 + OVERAGE) + bounds.slack
    initial = sum(initial_level(customer, part, bounds) for part in range(PART_COUNT))
    assert sum(map(_most_in_window, sizes)) + initial <= allowed * (1 + 1e-9)


@given(rate=LIMITS, burst=LIMITS)
def test_parts_add_up_to_rate_and_burst(rate, burst):
    customer = Customer("acme", rate=rate, burst=burst)
    sizes = [full_size(customer, part, BOUNDS) for part in range(PART_COUNT)]
    assert sum(size.rate for size in sizes) == pytest.approx(rate)
    assert sum(size.burst for size in sizes) >= burst * (1 - 1e-9)


def test_small_burst_is_not_divided():
    """Guard against a customer that is never served.

    Divided by three, a burst of one operation leaves no bucket with a whole token.
    """
    customer = Customer("acme", rate=0.5, burst=1.0)
    sizes = [full_size(customer, part, EXACT) for part in range(PART_COUNT)]
    assert max(size.burst for size in sizes) >= 1.0


def test_bucket_begins_empty_and_refills_at_its_rate():
    size, bucket = BucketSize(2.0, 3.0), TokenBucket(10.0)
    assert bucket.refill(size, 10.0) == 0.0
    assert bucket.time_until_next(size) == 0.5
    assert bucket.refill(size, 11.0) == 2.0
    bucket.take(1)
    assert bucket.refill(size, 20.0) == 3.0


def test_bucket_holds_at_most_a_lowered_burst():
    bucket = TokenBucket(0.0)
    assert bucket.refill(BucketSize(2.0, 30.0), 20.0) == 30.0
    assert bucket.refill(BucketSize(1.0, 2.0), 20.0) == 2.0


def test_clock_that_steps_back_adds_no_tokens_twice():
    size, bucket = BucketSize(1.0, 100.0), TokenBucket(0.0)
    bucket.refill(size, 10.0)
    bucket.refill(size, 5.0)
    assert bucket.refill(size, 10.0) == 10.0
