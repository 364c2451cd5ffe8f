"""Fences whose owner has ended: they last while needed, and writes are served soon."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.fencing import FENCE_DURATION
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.world import ProxyWorld
from tests.core.proxy.test_fence_limits import (
    PRIMARY,
    heartbeats,
    last_acknowledged_ago,
    run_until_ordered,
    world,
)

__all__ = ["heartbeats", "world"]  # fixtures

# Times are in seconds.
SERVED_SOON = 0.5  # until writes are served after a fence has ended
# Until a host that does not have the claim may take it, and has replaced the primary.
REPLACED_SOON = 4.5


def end_after_the_order(world: ProxyWorld, after: float) -> str:
    """Have the hosts that ordered a promotion in vain end; return its target."""
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.orders_lost, world.orders_late = 1, 1e6
    target, _ = run_until_ordered(world)
    world.run(after)
    world.kill(1)
    world.kill(2)
    return target


def test_the_primary_serves_writes_while_the_target_receives(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a fence that lasts longer than commits can be lost."""
    end_after_the_order(world, 0.1)  # the target was told to receive
    world.run(FENCE_DURATION + SERVED_SOON)
    assert world.group.promotions == 0
    assert last_acknowledged_ago(world) < SERVED_SOON


@pytest.mark.parametrize("after", [0.0, 0.1])
def test_the_primary_is_replaced_if_the_target_does_not_receive(
    world: ProxyWorld, heartbeats: Heartbeats, after: float
):
    """Guard against writes that wait until the order can't be carried out any more."""
    target = end_after_the_order(world, after)
    world.group.cut(target, [PRIMARY])
    world.run(REPLACED_SOON)
    assert world.group.promotions == 1
    assert last_acknowledged_ago(world) < SERVED_SOON
    assert world.group.lost == []
