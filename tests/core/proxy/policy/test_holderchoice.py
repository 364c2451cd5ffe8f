"""Tests of the choice between the two best holders, without a network."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from statistics import median

import pytest

from mallowpass.core.proxy.policy.holderchoice import (
    OPENING_TIME,
    choose_of_two,
    wait_of_own,
)

NEAR = [("a", (0, 7)), ("b", (1, 2)), ("c", (1, 5)), ("d", (2, 1))]


@pytest.mark.parametrize(
    ("waits", "chosen"),
    [
        ({}, "a"),
        ({"a": 0.05, "b": 0.05 - 0.9 * OPENING_TIME}, "a"),
        ({"a": 0.05, "b": 0.03}, "b"),
        ({"a": 0.5, "b": 0.4}, "b"),  # the others are not among the best two
    ],
)
def test_of_the_two_best_the_shorter_queue_is_chosen(waits, chosen):
    for candidates in (NEAR, NEAR[::-1]):
        found = choose_of_two(candidates, lambda host: waits.get(host, 0.0))
        assert found == chosen
    assert choose_of_two([], waits.__getitem__) is None
    assert choose_of_two([("e", (3, 0))], lambda host: 9.0) == "e"


def longest_wait(choose: Callable[..., str], seed: int) -> float:
    """Return the longest wait at 4 holders, whose queues 60 hosts know of each 0.25 s.

    Most hosts are nearest to the same holder. 300 statements a second arrive for 4 s,
    and each holder runs 100.
    """
    pick = random.Random(seed)
    near = [pick.choices("abcd", [6, 2, 1, 1])[0] for _ in range(60)]
    queues: Counter[str] = Counter()
    longest = 0.0
    for tick in range(4000):
        if tick % 250 == 0:
            reported = {name: queues[name] / 100 for name in "abcd"}
        if tick % 10 == 0:
            queues.subtract(name for name in "abcd" if queues[name])
        if tick % 10 < 3:
            home = near[pick.randrange(60)]
            costs = [(name, ((ord(name) - ord(home)) % 4, 0)) for name in "abcd"]
            queues[choose(costs, reported.__getitem__)] += 1
        longest = max(longest, max(queues.values()) / 100)
    return longest


def test_uneven_demand_is_evened_out():
    """Guard against queues at one holder while the next one has nothing to do.

    That happens with the nearest holder, and with the least loaded of all: the hosts
    know of the same reports, and all change to the same holder. With single seeds the
    least loaded of all is at times the better one.
    """
    choices = (
        lambda costs, _: min(costs, key=lambda c: c[1])[0],
        lambda costs, wait: min(costs, key=lambda c: wait(c[0]))[0],
        choose_of_two,
    )
    nearest, least, of_two = (
        median(longest_wait(choose, seed) for seed in range(1, 13))
        for choose in choices
    )
    assert of_two < min(0.25 * nearest, 0.85 * least)


def test_queue_counts_before_the_latency_is_measured():
    """Guard against a holder that is preferred because it answers nothing."""
    assert wait_of_own(8, 0.0, 4) == pytest.approx(2 * OPENING_TIME)
    assert wait_of_own(8, 0.03, 0) == pytest.approx(0.24)
    assert wait_of_own(0, 0.03, 4) == 0.0
