"""A primary that leaves serves writes only while its successor receives them.

The platform of these worlds takes the lead from a primary as its successor leads.
"""

from __future__ import annotations

import pytest

from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.world import ProxyWorld
from tests.core.proxy.test_fence_limits import (
    PRIMARY,
    drain_primary,
    heartbeats,
    new_world,
    resume,
    run_until_ordered,
    world,
)
from tests.core.proxy.test_fence_orders import logged

__all__ = ["heartbeats", "world"]  # fixtures

ORDERED = "promotion_ordered"
NOTICE_TIME = 0.25  # seconds in which a watch notices either fault
VARY_INTERVAL = 0.002  # seconds between two changes of a primary's speed


def test_a_host_that_did_not_order_stops_the_commits(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a loss where the host that ordered has ended."""
    drain_primary(world, heartbeats)
    target, other = run_until_ordered(world)
    world.run(0.02)  # until the claim is stored
    ordering = [index for index, h in enumerate(world.hosts) if h.logged(ORDERED)]
    world.kill(ordering[0])
    world.group.cut(target, [PRIMARY])
    world.run(NOTICE_TIME)
    assert not world.group.replicas[PRIMARY].is_primary
    resume(world, other)
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


def test_a_replica_that_receives_is_paused_again(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a pause that ended before the target was cut off."""
    drain_primary(world, heartbeats)
    target, other = run_until_ordered(world)
    resume(world, other)
    world.run(NOTICE_TIME)
    assert world.group.replicas[other].paused_for
    assert world.group.replicas[PRIMARY].is_primary
    assert logged(world, "switchover_stopped") == []


def lost_in_quick_succession(seed: int) -> int:
    """Return the commits lost as a target is cut off and a pause ends 50 ms later."""
    world = new_world(seed=seed)
    drain_primary(world, Heartbeats(world))
    target, other = run_until_ordered(world)
    world.group.cut(target, [PRIMARY])
    world.run(0.05)
    resume(world, other)
    world.run(2.0)
    assert world.group.promotions
    return len(world.group.lost)


def test_faults_in_quick_succession_lose_nothing():
    """Guard against commits that are in flight as the second of two faults occurs."""
    assert [lost_in_quick_succession(seed) for seed in range(1, 5)] == [0, 0, 0, 0]


@pytest.mark.parametrize("hosts", [4, 8])
def test_a_busy_primary_serves_until_its_successor_leads(hosts: int):
    """Guard against commits that are stopped since some of them take long."""
    world = new_world(hosts)
    heartbeats = Heartbeats(world)
    primary = world.group.replicas[PRIMARY]

    def vary() -> None:
        primary.slowness = world.random.choice([0.3, 1.0, 1.5, 4.0])
        world.timers.after(VARY_INTERVAL, vary)

    vary()
    drain_primary(world, heartbeats)
    run_until_ordered(world)
    world.run(2.0)
    assert world.group.promotions
    assert logged(world, "switchover_stopped") == []
