"""What a successor acknowledged is in the log that leads next, however short it led.

The host that ordered the promotion does not learn that its target led, as it reaches
neither the target nor the changes of its entry, and goes on to replace the primary
before.
"""

from __future__ import annotations

import pytest

from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import MEMBERS, ProxyWorld
from tests.core.proxy.test_fence_limits import DISTANCE, PRIMARY, keep_writing

BEHIND = "db-casa-2"
ORDER_WAIT = 6.0  # seconds, at most, for a promotion order
LEAD_TIME = 0.6  # seconds for which the successor leads
SERVED_LATELY = 1.0  # since the newest commit, where writes are served
RETURN_TIME = 12.0  # seconds until the members that went down are back


@pytest.fixture
def world() -> ProxyWorld:
    """Return a world of four hosts under load, with a replica that is behind."""
    times = GroupTimes(promotion=0.6)
    members = {**MEMBERS, BEHIND: "casa"}
    world = ProxyWorld(hosts=4, members=members, times=times, distance=DISTANCE)
    keep_writing(world)
    world.run(1.0)
    return world


def run_until_ordered(world: ProxyWorld) -> Host:
    """Run until a promotion was ordered; return the host that ordered it."""
    world.run_until(lambda: bool(world.orders), ORDER_WAIT)
    return next(host for host in world.hosts if host.logged("promotion_ordered"))


def lose(world: ProxyWorld, name: str) -> None:
    """Stop a member, whose entry is gone at once, for some time."""
    world.crash(name)
    world.remove_entry(name)
    world.timers.after(RETURN_TIME, world.restart, name)


def lead_unnoticed(world: ProxyWorld) -> tuple[Host, str, str]:
    """Have a successor lead and acknowledge, of which the ordering host learns nothing.

    Return that host, the successor, and the replica that has its commits. Another
    replica receives nothing from the successor.
    """
    world.crash(PRIMARY)
    world.remove_entry(PRIMARY)
    host = run_until_ordered(world)
    target = world.orders[0].endpoint
    follower, behind = (n for n in world.group.replicas if n not in (PRIMARY, target))
    world.store.faults.unwatched.add(host.name)
    host.cut_from.add(target)
    world.run_until(lambda: world.primary.name == target, 2.0)
    world.group.replicas[behind].deaf = True
    world.crash(follower)
    world.restart(follower)
    world.run(LEAD_TIME)
    assert any(entry.position.term > 1 for entry in world.group.acknowledged)
    return host, target, follower


@pytest.mark.parametrize("is_follower_lost", [True, False])
def test_commits_of_a_successor_that_led_for_a_moment_are_demanded(
    world: ProxyWorld, is_follower_lost: bool
):
    """Guard against an attempt that goes on for a primary which was replaced."""
    host, target, follower = lead_unnoticed(world)
    for other in world.hosts:
        if other is not host:
            other.cut_from.add("store")
    lose(world, target)
    if is_follower_lost:
        lose(world, follower)
    world.store.faults.unwatched.clear()
    world.run(RETURN_TIME)
    assert world.group.lost == []
    for other in world.hosts:
        other.cut_from.discard("store")
    world.run(8.0)
    assert world.group.lost == []
    # Served by that successor, which is back with its log, or by the next one.
    assert world.group.acknowledged[-1].position.term >= 2
    newest = max(world.group.acknowledged_at.values())
    assert newest > world.timers.now - SERVED_LATELY
