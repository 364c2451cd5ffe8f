"""A primary that is replaced as planned acknowledges nothing once that is ordered.

Its platform takes the lead from it as its successor begins to lead. Orders to promote
may get no answer, and be carried out seconds later: it serves writes meanwhile.
"""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.fencing import FENCE_DURATION
from mallowpass.core.proxy.members import LEAVING_TIMEOUT
from mallowpass.core.proxy.pendingfences import ROUND_INTERVAL
from mallowpass.core.proxy.pendingorders import LATE_ORDER_TIMEOUT, PendingOrders
from mallowpass.core.proxy.promotionorders import ORDER_TIMEOUT
from mallowpass.core.proxy.statements import Code, Read, Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld
from tests.core.proxy.test_fence_limits import (
    ORDER_WAIT,
    PRIMARY,
    drain_primary,
    heartbeats,
    restart_unnoticed,
    resume,
    run_until_ordered,
    world,
)
from tests.core.proxy.test_fence_orders import (
    PROMOTION,
    cut_from_hosts,
    freeze,
    holds,
    logged,
    run_until_led,
)
from tests.core.proxy.test_write_holds import LARGE

__all__ = ["heartbeats", "world"]  # fixtures

# Times are in seconds.
# At most, without an acknowledged commit: an order without an answer, the looks at the
# members, and a promotion.
GAP_MAX = ORDER_TIMEOUT + 4 * ROUND_INTERVAL + PROMOTION
SELDOM = 0.1  # between two writes of each host of a large fleet
READ_TIME = 0.1  # at most, by way of a holder in another region
SLOWNESS = 100.0  # of a replica whose answers take longer than a round may
ROUND_TRIPS = 0.2  # for the fence and the comparison before an order


def longest_gap(world: ProxyWorld, since: float) -> float:
    """Return the longest time without an acknowledged commit, in seconds.

    Only while a primary that leaves is used.
    """
    until = min(world.timers.now, since + LEAVING_TIMEOUT)
    times = sorted(world.group.acknowledged_at.values())
    times = [since, *(t for t in times if since <= t <= until), until]
    return max(b - a for a, b in zip(times, times[1:], strict=False))


@pytest.mark.parametrize("resumed_after", [0.1, 1.0, 1.5, 2.0])
@pytest.mark.parametrize("late", [2.0, 4.0, 7.0, 12.0])
def test_late_orders_of_a_planned_replacement_lose_nothing(
    world: ProxyWorld, heartbeats: Heartbeats, late: float, resumed_after: float
):
    """Guard against commits that a late promotion lacks, and writes that wait.

    A late order to resume ends the pause of the other replica.
    """
    world.orders_lost, world.orders_late = 100, late
    drain_primary(world, heartbeats)
    began_at = world.timers.now
    _, other = run_until_ordered(world)
    world.run(resumed_after)
    resume(world, other)
    world.run(late + 3.0)
    assert world.group.promotions
    assert world.group.lost == []
    assert longest_gap(world, began_at) < GAP_MAX


@pytest.mark.parametrize("restarted_after", [0.1, 1.5])
@pytest.mark.parametrize("late", [2.0, 4.0, 6.0])
def test_target_that_restarts_after_a_late_order_lacks_no_commit(
    world: ProxyWorld, heartbeats: Heartbeats, late: float, restarted_after: float
):
    """Guard against commits that a target lacks which did not receive for a while."""
    world.orders_lost, world.orders_late = 100, late
    drain_primary(world, heartbeats)
    target, _ = run_until_ordered(world)
    world.run(restarted_after)
    world.group.cut(target, [PRIMARY])
    restart_unnoticed(world, heartbeats, target)
    world.run(late + 3.0)
    assert world.group.promotions
    assert world.group.lost == []


def test_fence_is_kept_while_orders_for_two_targets_are_pending(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against commits that are on one of two targets alone."""
    world.orders_lost, world.orders_late = 100, 1e6
    drain_primary(world, heartbeats)
    _, other = run_until_ordered(world)
    host = next(host for host in world.hosts if host.logged("promotion_ordered"))
    until = world.timers.now + LATE_ORDER_TIMEOUT
    host.node.system(PendingOrders).note_foreign_orders(SERVICE, {other: until}, 1)
    before = len(world.group.acknowledged)
    world.run(2 * GAP_MAX)
    assert len(world.group.acknowledged) == before


def test_primary_serves_while_the_platform_refuses_orders(
    world: ProxyWorld, heartbeats: Heartbeats, monkeypatch: pytest.MonkeyPatch
):
    """Guard against a fence that lasts although no promotion can be carried out."""
    monkeypatch.setattr(world, "order", lambda host, order: (False, False))
    drain_primary(world, heartbeats)
    began_at = world.timers.now
    world.run(5.0)
    assert logged(world, "promotion_not_taken")
    assert longest_gap(world, began_at) < 2 * ROUND_TRIPS


def test_hosts_behind_holders_serve_writes_while_the_platform_refuses_orders(
    monkeypatch: pytest.MonkeyPatch,
):
    """Guard against writes that wait long after the fence of a holder was lifted."""
    world = ProxyWorld(hosts=LARGE)
    world.run(4.0)
    monkeypatch.setattr(world, "order", lambda host, order: (False, False))
    world.enter(world.group.replicas[PRIMARY], draining=True)
    callers = []
    while len(callers) < 30 * LARGE:
        world.run(SELDOM)
        new = [world.caller(host, "own") for host in range(LARGE)]
        for caller in new:
            caller.send(Write("a 1"))
        callers += new
    world.run(1.0)
    assert logged(world, "promotion_not_taken")
    assert {caller.answers[0].code for caller in callers} == {Code.DONE}


@pytest.mark.parametrize("answered_after", [0, 1, 3])
def test_repeated_order_that_is_accepted_finds_a_fenced_primary(
    world: ProxyWorld, heartbeats: Heartbeats, answered_after: int
):
    """Guard against commits between an order that is repeated and its promotion.

    The primary serves writes after orders without an answer. As the next one is carried
    out, the target is cut off and the other replica receives.
    """
    world.orders_lost, world.orders_late = answered_after, 1e6
    drain_primary(world, heartbeats)
    world.run_until(lambda: len(world.orders) == answered_after + 1, 10.0)
    world.run(ROUND_TRIPS)
    assert holds(world) == [True] * 4
    target = world.orders[-1].endpoint
    _, other = run_until_ordered(world)
    world.group.cut(target, [PRIMARY])
    resume(world, other)
    world.run(2.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions == 1
    assert world.group.lost == []


def test_reads_at_a_primary_that_is_replaced_as_planned_go_on(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a planned replacement that stops reads for as long as writes."""
    drain_primary(world, heartbeats)
    run_until_ordered(world)
    for index in range(4):
        caller = world.caller(index, "strict")
        caller.send(Read("a"))
        world.run(READ_TIME)
        assert [answer.code for answer in caller.answers] == [Code.DONE]
    assert world.group.promotions == 0


@pytest.mark.parametrize("silence", [cut_from_hosts, freeze])
def test_primary_steps_down_if_a_holder_does_not_confirm_a_planned_fence(
    world: ProxyWorld, heartbeats: Heartbeats, silence
):
    """Guard against a planned order while a holder may have commits in flight."""
    world.cut(0, "store")
    silence(world)
    drain_primary(world, heartbeats)
    run_until_ordered(world)
    assert not world.group.replicas[PRIMARY].is_primary
    run_until_led(world)
    assert world.group.lost == []


@pytest.mark.parametrize("after", [0.0, 0.03, 0.06, 0.1, 0.2, 0.5])
def test_host_that_ends_in_a_planned_replacement_leaves_no_fence_for_long(
    world: ProxyWorld, heartbeats: Heartbeats, after: float
):
    """Guard against writes that wait for a host which has ended."""
    drain_primary(world, heartbeats)
    began_at = world.timers.now
    world.run_until(lambda: bool(logged(world, "promotion_begun")), 3.0)
    world.run(after)
    index = next(i for i, h in enumerate(world.hosts) if h.logged("promotion_begun"))
    world.kill(index)
    world.run(8.0)
    assert world.group.promotions
    assert world.group.lost == []
    assert longest_gap(world, began_at) < FENCE_DURATION + 2 * ROUND_TRIPS


@pytest.mark.parametrize("away", [0.0, 0.05, 0.2])
def test_host_that_starts_in_a_planned_replacement_keeps_the_fence(
    world: ProxyWorld, heartbeats: Heartbeats, away: float
):
    """Guard against writes of a host that started after the holders had confirmed."""
    world.orders_lost, world.orders_late = 1, 0.3
    drain_primary(world, heartbeats)
    target, other = run_until_ordered(world)
    index = next(
        i for i, h in enumerate(world.hosts) if not h.logged("promotion_begun")
    )
    world.group.cut(target, [PRIMARY])
    world.kill(index)
    world.run(away)
    world.start_again(index)
    world.run(0.1)
    resume(world, other)
    world.run(2.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


@pytest.mark.parametrize("after", [0.0, 0.1, 0.3, 0.55])
def test_primary_that_ends_before_its_successor_leads_loses_nothing(
    world: ProxyWorld, heartbeats: Heartbeats, after: float
):
    """Guard against a drain that is over between the order and the lead."""
    drain_primary(world, heartbeats)
    began_at = world.timers.now
    target, other = run_until_ordered(world)
    world.run(after)
    world.crash(PRIMARY)
    world.remove_entry(PRIMARY)
    resume(world, other)
    world.run(3.0)
    assert world.primary.name == target
    assert world.group.lost == []
    assert longest_gap(world, began_at) < GAP_MAX


def test_slow_replicas_do_not_keep_a_planned_replacement_from_its_order(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a fence that is lifted and begun again in each round."""
    world.group.replicas["db-agadir"].slowness = SLOWNESS
    drain_primary(world, heartbeats)
    run_until_ordered(world)
    rounds = [line["round"] for line in logged(world, "promotion_compared")]
    assert rounds == [1, 2, 3]
    assert holds(world) == [True] * 4


@pytest.mark.parametrize("promotion", [0.7, 0.75, 0.8])
def test_write_that_was_held_until_its_timeout_is_not_in_doubt(promotion: float):
    """Guard against held writes that are sent just before their timeout."""
    world = ProxyWorld(hosts=4, times=GroupTimes(promotion=promotion, work=0.02))
    heartbeats = Heartbeats(world)
    world.run(1.0)
    drain_primary(world, heartbeats)
    world.run_until(lambda: all(holds(world)), ORDER_WAIT)
    callers = []
    for _ in range(10):
        for index in range(4):
            caller = world.caller(index, "strict")
            caller.send(Write("a 1"))
            callers.append(caller)
        world.run(0.02)
    world.run(3.0)
    codes = {caller.answers[0].code for caller in callers}
    assert world.group.promotions
    assert Code.IN_DOUBT not in codes
