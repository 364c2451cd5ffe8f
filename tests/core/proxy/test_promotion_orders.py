"""The target of a promotion receives what is acknowledged until it leads.

The simulated platform checks fencing tokens, so a primary that is replaced as planned
serves writes until its successor leads.
"""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.statements import Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.world import ProxyWorld

PRIMARY = "db-casa"
REPLICAS = ("db-tanger", "db-agadir")

# Times are in seconds.
WRITE_INTERVAL = 0.05  # between two writes of a host
ORDER_WAIT = 4.0  # at most, for a promotion order
DARK_TIME = 0.3  # for which a target does not answer


def keep_writing(world: ProxyWorld) -> None:
    """Write at all hosts, twenty times a second."""
    for index in range(len(world.hosts)):
        world.caller(index, "strict").send(Write("a 1"))
    world.timers.after(WRITE_INTERVAL, keep_writing, world)


def resume(world: ProxyWorld, name: str) -> None:
    """Carry out an order to resume that a host sent seconds before."""
    replica = world.group.replicas[name]
    replica.paused_for = 0
    world.group.catch_up(replica)


@pytest.mark.parametrize("is_dark", [False, True])
def test_target_that_another_host_left_paused_receives(is_dark: bool):
    """Guard against a target without commits that are acknowledged before its lead.

    Another host paused it, and the pause of the other replica ends. In one case the
    target does not get the first order to resume.
    """
    world = ProxyWorld(hosts=4, times=GroupTimes(promotion=2.0))
    keep_writing(world)
    world.run(1.0)
    for name in REPLICAS:
        world.group.replicas[name].paused_for = 2
    world.enter(world.group.replicas[PRIMARY], draining=True)
    world.run_until(lambda: bool(world.orders), ORDER_WAIT)
    target = world.orders[0].endpoint
    if is_dark:
        world.dark.add(target)
        world.timers.after(DARK_TIME, world.dark.discard, target)
    world.run(0.1)
    resume(world, next(name for name in REPLICAS if name != target))
    world.run(3.0)
    assert world.group.promotions == 1
    assert world.group.lost == []
