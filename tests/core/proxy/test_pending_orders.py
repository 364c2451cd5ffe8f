"""An order to promote that may still be carried out: nothing acknowledged is lost.

The platform played here takes up to a second to carry an order out, checks no fence,
and lets a replaced primary go on until it is demoted.
"""

from __future__ import annotations

import pytest

from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import ProxyWorld
from tests.core.proxy.test_replaced import OLD, OTHERS, keep_working, kept, weak_world

PROMOTION_TIMES = [0.3, 1.0]  # seconds that the platform takes for an order


def slow_world(promotion: float, hosts: int = 3) -> ProxyWorld:
    """Return a world with statements under way, a second old."""
    times = GroupTimes(promotion=promotion)
    world = weak_world(hosts=hosts, times=times)
    keep_working(world, *range(hosts))
    world.run(1.0)
    return world


def run_until_ordered(world: ProxyWorld) -> None:
    """Run until an order to promote was given."""
    world.run_until(lambda: bool(world.orders), 6.0)
    assert world.orders


def receiving(world: ProxyWorld) -> bool:
    """Tell whether no member is paused."""
    return all(not replica.paused_for for replica in world.group.replicas.values())


@pytest.mark.parametrize("promotion", PROMOTION_TIMES)
@pytest.mark.parametrize("delay", [0.05, 0.2])
@pytest.mark.parametrize("successor", ["db-new", OLD])
def test_a_primary_that_returns_while_its_successor_is_ordered_loses_nothing(
    promotion: float, delay: float, successor: str
):
    """An acknowledged commit is missing at the endpoint that was promoted.

    A primary crashed, a replica was ordered to lead, and before the order was carried
    out the primary was back with its log, under its name or another one. Its entry
    said that it leads; the attempt ended by that, and all replicas received again.
    What the returned primary committed then was acknowledged by way of the replica
    that had not been ordered, just before the other one led without it. Here the
    latter does not hear the returned primary at all.
    """
    world = slow_world(promotion)
    world.crash(OLD)
    run_until_ordered(world)
    world.run(delay)
    if successor == OLD:
        world.restart(OLD)
    else:
        world.hand_over(OLD, successor)
    world.group.cut(successor, [world.orders[0].endpoint])
    world.run_until(lambda: world.group.promotions == 1, 3.0)
    world.run(0.2)
    world.group.heal()
    world.run(4.0)
    assert world.group.promotions == 1
    assert receiving(world)
    kept(world)


@pytest.mark.parametrize("promotion", PROMOTION_TIMES)
def test_a_primary_that_returns_serves_writes_until_its_successor_leads(promotion):
    """Writes wait for as long as a promotion takes, though a primary is there.

    A primary that was back had no replica that receives: all were paused. Where the
    target of the order receives, its commits are acknowledged at once.
    """
    world = slow_world(promotion)
    world.crash(OLD)
    run_until_ordered(world)
    world.hand_over(OLD, "db-new")
    ordered_at = world.timers.now
    before = len(world.group.acknowledged)
    world.run_until(lambda: world.group.promotions == 1, 3.0)
    times = [world.group.acknowledged_at[e] for e in world.group.acknowledged[before:]]
    first = min(times, default=world.timers.now)
    assert first - ordered_at < 0.6
    world.run(3.0)
    kept(world)


def test_the_host_that_ordered_dies_and_nothing_is_lost():
    """An acknowledged commit is missing at the endpoint that was promoted.

    A primary crashed, and the host that had ordered its successor lost its power. The
    primary was back with its log, and another host, which knew nothing of the order,
    took the claim and had another replica lead. The order was carried out after that,
    late, and its target led without what the other one had acknowledged.
    """
    world = slow_world(1.0, hosts=4)
    world.orders_lost, world.orders_late = 1, 4.5
    world.crash(OLD)
    run_until_ordered(world)
    target = world.orders[0].endpoint
    world.group.cut(target, OTHERS)
    world.enter(world.group.replicas[target], draining=True)
    world.run(0.1)
    ordered = next(h for h in world.hosts if h.logged("promotion_ordered"))
    world.kill(world.hosts.index(ordered))
    world.hand_over(OLD, "db-new")
    world.run(0.5)
    world.crash("db-new")
    world.run(6.0)
    world.group.heal()
    world.run(9.0)
    assert {order.endpoint for order in world.orders} == {target}
    assert receiving(world)
    kept(world)


def test_orders_are_given_under_a_claim_that_nobody_can_have_overtaken():
    """An order goes out with an older fencing token than one that was given before.

    The platform takes an order and does not carry it out; the host that gave it waits
    for two seconds, and another host claims meanwhile.
    """
    world = slow_world(100.0)
    world.crash(OLD)
    world.run_until(lambda: len(world.orders) >= 4, 30.0)
    tokens = [order.fencing_token for order in world.orders]
    assert len(tokens) >= 4
    assert tokens == sorted(tokens)
    for host in world.hosts:
        taken = {c["token"] for c in host.logged("claim") if c["what"] == "taken"}
        assert {o["token"] for o in host.logged("promotion_ordered")} <= taken


def test_a_replica_that_joins_while_an_order_stands_receives_nothing():
    """An acknowledged commit is missing at the endpoint that was promoted.

    The attempt had ended by the return of the primary. A replica joined, or started
    again without its pause, before the order was carried out, and acknowledged commits
    that the target did not receive in time.
    """
    world = slow_world(1.0)
    world.crash(OLD)
    run_until_ordered(world)
    world.run(0.1)
    world.hand_over(OLD, "db-new")
    world.run(0.2)
    target = world.orders[0].endpoint
    other = next(n for n in world.group.replicas if n not in ("db-new", target))
    world.crash(other)
    world.restart(other)
    world.run(0.3)
    assert world.group.replicas[other].paused_for
    world.run(5.0)
    assert receiving(world)
    kept(world)
