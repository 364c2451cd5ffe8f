"""Tests of refusals by expected wait, under the load that they are for."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.configuration import Consistency
from mallowpass.core.proxy.policy.admission import (
    REFUSAL_AGE_MAX,
    RETRY_MAX,
    RETRY_MIN,
    RecentRefusals,
    longest_wait,
    retry_delay,
    useful_until,
)
from mallowpass.core.proxy.policy.dispatch import urgency
from mallowpass.core.proxy.policy.waitestimate import DrainRate, expected_wait
from mallowpass.core.proxy.statements import Access, Read
from mallowpass.core.proxy.tables import RequestRow, SessionRow
from mallowpass.standins.proxied.virtual.world import route

OBJECTIVE, TIMEOUT = 0.4, 0.8  # seconds


def request(arrived: float, priority: int = 1, objective: float = OBJECTIVE):
    """Return a read that arrived at `arrived`."""
    own = route("own", Consistency.OWN_WRITES, priority=priority, objective=objective)
    session = SessionRow(1, "own")
    expires_at = arrived + TIMEOUT
    return RequestRow(session, "r", Read("a"), Access.READ, own, arrived, expires_at)


@pytest.mark.parametrize(
    ("priority", "objective", "until"),
    [(0, 0.4, TIMEOUT), (1, 0.4, 0.4), (2, 1.5, TIMEOUT)],
)
def test_answer_is_of_use_until_the_objective_or_the_timeout(
    priority, objective, until
):
    """Guard against urgent statements that are refused while they could be served."""
    assert useful_until(request(2.0, priority, objective)) == 2.0 + until


@pytest.mark.parametrize("capacity", [20, 100])
def test_overload_serves_all_that_it_can_in_time(capacity):
    """Guard against statements that wait in vain, and against an idle endpoint.

    Three times as many statements arrive as an endpoint runs. A fixed wait refuses what
    a fast queue would serve, and keeps what a slow one can't.
    """
    queue: list[RequestRow] = []
    rate = DrainRate()
    waits = {"served": [], "refused": []}
    for tick in range(6000):
        now = tick / 1000
        if tick % (1000 // capacity) == 0 and queue:
            served = queue.pop(0)
            rate.note_sent(now)
            waits["served"].append((served.route.priority, now - served.arrived_at))
        if tick % (1000 // capacity // 3) == 0:
            queue.append(request(now, priority=0 if tick % 10 == 0 else 1))
            queue.sort(key=urgency)
        ahead = 0
        for waiting in list(queue):
            wait = expected_wait(ahead, rate.rate(now))
            is_new = waiting.arrived_at == now
            if ahead and wait is not None:
                wait = longest_wait(wait, waiting.route.priority, is_new)
                if now + wait > useful_until(waiting):
                    queue.remove(waiting)
                    waits["refused"].append(now - waiting.arrived_at)
                    continue
            ahead += 1
        rate.note_queue(now, bool(queue))
    assert len(waits["served"]) >= 0.97 * 6 * capacity
    bounds = {0: TIMEOUT, 1: OBJECTIVE}
    late = [wait for priority, wait in waits["served"] if wait > bounds[priority]]
    assert len(late) <= 0.02 * len(waits["served"])
    at_once = sum(wait == 0.0 for wait in waits["refused"])
    assert at_once > 0.6 * len(waits["refused"])


def test_refusals_apply_to_longer_waits_of_the_same_or_less_urgency():
    refusals = RecentRefusals()
    refusals.note(1, 0.5, 10.0)
    refusals.note(1, 0.7, 10.1)
    assert refusals.applies(1, 0.5, 10.2)
    assert refusals.applies(2, 0.6, 10.2)
    assert not refusals.applies(0, 0.6, 10.2)
    assert not refusals.applies(1, 0.4, 10.2)


def test_refusal_does_not_outlast_its_load():
    """Guard against a queue that refuses for a load that is over."""
    refusals = RecentRefusals()
    refusals.note(1, 0.5, 10.0)
    assert not refusals.applies(1, 0.5, 10.01 + REFUSAL_AGE_MAX)
    refusals.note(1, 0.9, 11.0)
    assert refusals.applies(1, 0.9, 11.1)
    assert not refusals.applies(1, 0.5, 11.1)


def test_times_to_retry_are_spread_and_the_most_urgent_return_first():
    """Guard against refused callers that all return at the same time."""
    delays = [retry_delay(0.4, 1, spread / 10) for spread in range(11)]
    assert (delays[0], delays[-1]) == pytest.approx((0.4, 0.6))
    assert len(set(delays)) == len(delays)
    assert max(retry_delay(0.4, 0, spread) for spread in (0.0, 1.0)) < min(delays)
    assert retry_delay(0.0, 1, 0.5) == RETRY_MIN
    assert retry_delay(60.0, 0, 0.5) == RETRY_MAX
