"""Commits that a promotion loses, and writes that a fence leaves unserved.

Where commits are lost, the pause of a replica ends unnoticed, as a restart or a late
order to resume ends it, and the target does not receive from the primary meanwhile.
"""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.statements import Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.world import ProxyWorld

PRIMARY = "db-casa"
REPLICAS = ("db-tanger", "db-agadir")
DISTANCE = 0.012  # seconds that a message takes from one region to another
WRITE_INTERVAL = 0.05  # seconds between two writes of a host
ORDER_WAIT = 6.0  # seconds, at most, for a promotion order
ENTRY_DELAY = 0.3  # seconds until an endpoint that starts has written its entry


def keep_writing(world: ProxyWorld) -> None:
    """Write at all hosts that run, twenty times a second."""
    for index, host in enumerate(world.hosts):
        if not host.exited:
            world.caller(index, "strict").send(Write("a 1"))
    world.timers.after(WRITE_INTERVAL, keep_writing, world)


def new_world(hosts: int = 4, seed: int = 1) -> ProxyWorld:
    """Return a world under load for 1 s."""
    times = GroupTimes(promotion=0.6)
    world = ProxyWorld(hosts=hosts, times=times, distance=DISTANCE, seed=seed)
    keep_writing(world)
    world.run(1.0)
    return world


@pytest.fixture
def world() -> ProxyWorld:
    """Return a world of four hosts under load."""
    return new_world()


@pytest.fixture
def heartbeats(world: ProxyWorld) -> Heartbeats:
    """Return what renews the entries of the world's endpoints."""
    return Heartbeats(world)


def run_until_ordered(world: ProxyWorld) -> tuple[str, str]:
    """Run until a promotion is ordered; return the target and the other replica."""
    world.run_until(lambda: bool(world.orders), ORDER_WAIT)
    assert world.orders
    target = world.orders[0].endpoint
    return target, next(name for name in REPLICAS if name != target)


def restart_unnoticed(world: ProxyWorld, heartbeats: Heartbeats, name: str) -> None:
    """Restart an endpoint, whose new entry is in the store a moment later."""
    world.crash(name)
    heartbeats.cut_off.add(name)
    world.group.start(name)

    def reconnect() -> None:
        heartbeats.cut_off.discard(name)
        heartbeats.renew(world.group.replicas[name])

    world.timers.after(ENTRY_DELAY, reconnect)


def resume(world: ProxyWorld, name: str) -> None:
    """Carry out an order to resume that a host sent seconds before."""
    replica = world.group.replicas[name]
    replica.paused_for = 0
    world.group.catch_up(replica)


def drain_primary(world: ProxyWorld, heartbeats: Heartbeats) -> None:
    """Have the primary report that it leaves."""
    heartbeats.draining.add(PRIMARY)
    heartbeats.renew(world.group.replicas[PRIMARY])


@pytest.mark.parametrize("ends_by", ["restart", "resume"])
def test_planned_replacement_loses_nothing_as_a_pause_ends(
    world: ProxyWorld, heartbeats: Heartbeats, ends_by: str
):
    """Guard against commits between a planned order and the lead, without a fence."""
    drain_primary(world, heartbeats)
    target, other = run_until_ordered(world)
    world.group.cut(target, [PRIMARY])
    world.run(0.05)
    if ends_by == "restart":
        restart_unnoticed(world, heartbeats, other)
    else:
        resume(world, other)
    world.run(2.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


def test_replacement_of_a_primary_without_entry_loses_nothing(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against commits of a primary that is cut off from the store alone."""
    heartbeats.cut_off.add(PRIMARY)
    world.remove_entry(PRIMARY)
    target, other = run_until_ordered(world)
    world.group.cut(target, [PRIMARY])
    world.run(0.05)
    restart_unnoticed(world, heartbeats, other)
    world.run(2.0)
    assert world.group.promotions
    assert world.group.lost == []


@pytest.mark.parametrize("ends_by", ["restart", "resume"])
@pytest.mark.parametrize("away", [0.0, 0.05, 0.2])
def test_host_that_starts_after_the_fence_keeps_it(
    world: ProxyWorld, heartbeats: Heartbeats, away: float, ends_by: str
):
    """Guard against writes of a host that started after the holders had confirmed."""
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.orders_lost = 1
    target, other = run_until_ordered(world)
    world.group.cut(target, [PRIMARY])
    world.kill(3)
    world.run(away)
    world.start_again(3)
    if ends_by == "restart":
        restart_unnoticed(world, heartbeats, other)
    else:
        world.run(0.1)
        resume(world, other)
    world.run(2.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


def test_fence_outlasts_the_host_that_ordered(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against commits between the end of a fence and a late promotion.

    The host that alone lost the primary ends after its order, which gets no answer.
    """
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.orders_lost, world.orders_late = 100, 6.0
    target, other = run_until_ordered(world)
    world.group.cut(target, [PRIMARY])
    world.kill(1)
    world.kill(2)
    world.run(3.0)
    resume(world, other)
    world.run(4.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


@pytest.mark.parametrize("reaches", [True, False])
def test_host_that_no_fence_reaches_writes_nothing(
    world: ProxyWorld, heartbeats: Heartbeats, reaches: bool
):
    """Guard against writes of a host that is cut off from the other hosts alone."""
    names = {host.name for host in world.hosts}
    cut = (1, 2) if reaches else (0, 1, 2)
    for index in cut:
        world.cut(index, PRIMARY)
    world.hosts[3].cut_from |= names - {world.hosts[3].name}
    target, other = run_until_ordered(world)
    world.group.cut(target, [PRIMARY])
    restart_unnoticed(world, heartbeats, other)
    world.run(2.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


def test_fence_lasts_while_the_store_does_not_answer_its_host(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a fence that ends as its host waits for the next claim.

    The order that was sent before gets no answer, and is carried out later.
    """
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.orders_lost, world.orders_late = 100, 6.0
    target, other = run_until_ordered(world)
    world.hosts[1].cut_from.add("store")
    world.hosts[2].cut_from.add("store")
    world.group.cut(target, [PRIMARY])
    world.run(3.85)
    resume(world, other)
    world.run(4.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


def test_fence_outlasts_the_next_attempt_while_an_order_is_pending(
    world: ProxyWorld, heartbeats: Heartbeats
):
    """Guard against a next attempt that lifts the fence of an order that is pending."""
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.orders_lost, world.orders_late = 100, 7.0
    target, other = run_until_ordered(world)
    world.hosts[1].cut_from.add("store")
    world.hosts[2].cut_from.add("store")
    world.run(3.2)
    world.crash(other, dark=True)
    world.hosts[1].cut_from.discard("store")
    world.hosts[2].cut_from.discard("store")
    world.run(1.5)
    world.group.cut(target, [PRIMARY])
    restart_unnoticed(world, heartbeats, other)
    world.dark.discard(other)
    world.run(6.0)
    world.group.heal()
    world.run(1.0)
    assert world.group.promotions
    assert world.group.lost == []


# -- Writes that are not served ------------------------------------------------------


def last_acknowledged_ago(world: ProxyWorld) -> float:
    """Return the seconds since the newest commit was acknowledged."""
    return world.timers.now - max(world.group.acknowledged_at.values())


@pytest.mark.parametrize("platform_answers", [True, False])
def test_primary_that_is_back_serves_while_no_order_is_carried_out(
    world: ProxyWorld, platform_answers: bool
):
    """Guard against a fence that lasts as long as promotion orders get no answer.

    Two of four hosts lose the primary for less than a second.
    """
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.orders_lost, world.orders_late = 100, 1e6
    if not platform_answers:
        for host in world.hosts:
            host.cut_from.add("orders")
    world.run(0.9)
    for host in world.hosts:
        host.cut_from.discard(PRIMARY)
    world.run(19.0)
    assert last_acknowledged_ago(world) < 5.0


def test_primary_serves_while_a_silent_replica_prevents_its_replacement(
    world: ProxyWorld,
):
    """Guard against fences and pauses that follow one another without an order."""
    world.cut(1, PRIMARY)
    world.cut(2, PRIMARY)
    world.crash(REPLICAS[0], dark=True)
    world.run(15.0)
    assert last_acknowledged_ago(world) < 3.0
