"""Acknowledged commits survive where one replica receives earlier than the others.

That replica acknowledges all commits. The others have each of them some milliseconds
later, so the newest acknowledged commits are always on the primary and on it alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from mallowpass.core.proxy.statements import Code, Write
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.hosts import Caller
from mallowpass.standins.proxied.virtual.world import MEMBERS, ProxyWorld

FOUR_MEMBERS = {**MEMBERS, "db-casa-2": "casa"}
PRIMARY, NEAR = "db-casa", "db-tanger"
HOSTS = 6
DISTANCE = 0.012  # seconds that a message takes from one region to another

# Times are in seconds.
NEAR_DISTANCE, FAR_DISTANCE = 0.001, 0.030  # from the primary to replicas
WRITE_INTERVAL = 0.05  # between two writes of a host
TOLD_TIME = 0.042  # until all callers were told of a commit that far replicas lack
LAPSE_TIME = 10.0  # until hosts have dropped an endpoint that they don't hear of
ORDER_WAIT = 5.0  # at most, for a promotion order
DARK_TIME = 0.27  # from an order until the primary is back, just before the lead
LATE = 12.0  # until an order is carried out that got no answer
AFTER = 4.0
SETTLED_AFTER = 5.0  # until nothing is left of connections before the start of hosts
MOMENTS = 0.3  # over which faults begin, by the seed
DOWN_TIME = 12.0


class Writers:
    """Write at all hosts at the same moments."""

    def __init__(self, world: ProxyWorld) -> None:
        self._world = world
        self.wrote_at = 0.0
        self.callers: list[Caller] = []  # of the last writes
        self._write()

    def _write(self) -> None:
        self.wrote_at = self._world.timers.now
        running = [i for i, host in enumerate(self._world.hosts) if not host.exited]
        self.callers = [self._world.caller(index, "own") for index in running]
        for caller in self.callers:
            caller.send(Write("a 1"))
        self._world.timers.after(WRITE_INTERVAL, self._write)


def new_world(seed: int = 1) -> ProxyWorld:
    """Return a world with one near replica and two far ones."""
    world = ProxyWorld(
        hosts=HOSTS,
        seed=seed,
        members=FOUR_MEMBERS,
        distance=DISTANCE,
        times=GroupTimes(promotion=0.3),
    )
    for name, replica in world.group.replicas.items():
        is_near = name in (PRIMARY, NEAR)
        replica.distance = NEAR_DISTANCE if is_near else FAR_DISTANCE
    return world


@pytest.fixture
def world() -> ProxyWorld:
    """Return a world with one near replica and two far ones."""
    return new_world()


@pytest.fixture
def writers(world: ProxyWorld) -> Writers:
    """Return what writes in the world."""
    return Writers(world)


@pytest.fixture
def heartbeats(world: ProxyWorld) -> Heartbeats:
    """Return what renews the entries of the world's members."""
    return Heartbeats(world)


def run_until_told(world: ProxyWorld, writers: Writers) -> None:
    """Run until callers were told of commits that only the near replica has."""
    before = writers.wrote_at
    world.run_until(lambda: writers.wrote_at > before, 2 * WRITE_INTERVAL)
    world.run(TOLD_TIME)
    told = [answer.code for caller in writers.callers for answer in caller.answers]
    assert told == [Code.DONE] * HOSTS


def restart(world: ProxyWorld) -> None:
    """Restart the near replica, whose entry does not show it yet."""
    world.group.crash(NEAR)
    world.group.start(NEAR)


def resume(world: ProxyWorld) -> None:
    """Carry out an order to resume that was sent to the near replica before."""
    replica = world.group.replicas[NEAR]
    replica.paused_for = 0
    world.group.catch_up(replica)


def test_newest_commits_are_demanded_of_a_successor(
    world: ProxyWorld, writers: Writers, heartbeats: Heartbeats
):
    """Guard against a successor that lacks what a replica out of sight has received.

    No host reaches the near replica, and its entry has lapsed, but it receives from the
    primary, which restarts.
    """
    world.run(1.0)
    heartbeats.cut_off.add(NEAR)
    world.dark.add(NEAR)
    world.run(LAPSE_TIME)
    run_until_told(world, writers)
    world.crash(PRIMARY)
    world.run(2.0)
    world.restart(PRIMARY)
    world.run(AFTER)
    assert world.group.lost == []


def test_newest_commits_survive_two_members_that_are_down_for_long(
    world: ProxyWorld, writers: Writers, heartbeats: Heartbeats
):
    """Guard against a successor that is chosen without the two that have all commits.

    The near replica and the primary end at the same moment, and start with their logs.
    """
    world.run(1.0)
    run_until_told(world, writers)
    world.crash(NEAR)
    world.crash(PRIMARY)
    world.run(LAPSE_TIME)
    world.restart(NEAR)
    world.restart(PRIMARY)
    world.run(AFTER)
    assert world.group.lost == []


@pytest.mark.parametrize("seed", [2, 5, 21, 22])
def test_commits_that_replies_showed_survive_two_members_that_are_down(seed: int):
    """Guard against a successor that lacks more commits than are without an answer.

    The near replica and the primary end at the same moment, and do not return soon.
    """
    world = new_world(seed)
    Writers(world)
    Heartbeats(world)
    world.run(SETTLED_AFTER + random.Random(seed).uniform(0.0, MOMENTS))
    world.crash(PRIMARY)
    world.crash(NEAR)
    world.run(DOWN_TIME)
    assert world.group.lost == []


@pytest.mark.parametrize("end_pause", [restart, resume])
def test_planned_replacement_by_a_far_replica_loses_nothing_as_a_pause_ends(
    world: ProxyWorld,
    writers: Writers,
    heartbeats: Heartbeats,
    end_pause: Callable[[ProxyWorld], None],
):
    """Guard against commits that a near replica has as a far one begins to lead."""
    world.run(1.0)
    world.group.replicas[NEAR].deaf = True
    heartbeats.draining.add(PRIMARY)
    heartbeats.renew(world.primary)
    world.run(0.2)
    world.group.replicas[NEAR].deaf = False
    world.run_until(lambda: bool(world.orders), ORDER_WAIT)
    end_pause(world)
    world.run(AFTER)
    assert world.orders[0].endpoint != NEAR
    assert world.group.promotions
    assert world.group.lost == []


def test_commits_held_up_on_their_way_are_not_acknowledged_before_the_lead(
    world: ProxyWorld, writers: Writers, heartbeats: Heartbeats
):
    """Guard against commits on closed connections that run once the way is back.

    No host reaches the primary for a moment. The near replica's restart ends its pause.
    """
    world.run(1.0)
    world.dark.add(PRIMARY)
    world.run_until(lambda: bool(world.orders), ORDER_WAIT)
    restart(world)
    world.run(DARK_TIME)
    world.dark.discard(PRIMARY)
    world.run(AFTER)
    assert world.group.promotions
    assert world.group.lost == []


@pytest.mark.parametrize("promotion", [0.31, 0.33])
def test_planned_replacement_without_a_replica_out_of_sight_loses_nothing(
    world: ProxyWorld, writers: Writers, heartbeats: Heartbeats, promotion: float
):
    """Guard against a replica that acknowledges in a promotion and is not compared.

    No host reaches the near replica, and its entry has lapsed, but it receives from the
    primary, which drains.
    """
    world.run(1.0)
    heartbeats.cut_off.add(NEAR)
    world.dark.add(NEAR)
    world.run(LAPSE_TIME)
    world.group.times.promotion = promotion
    heartbeats.draining.add(PRIMARY)
    heartbeats.renew(world.primary)
    world.run(AFTER)
    assert world.group.promotions
    assert world.group.lost == []


def test_primary_that_serves_again_loses_nothing_as_an_old_order_is_carried_out(
    world: ProxyWorld, writers: Writers, heartbeats: Heartbeats
):
    """Guard against an order that comes later than hosts expect it to.

    The primary is out of reach for a moment. A host orders a promotion, and ends. The
    target receives later than the near replica, which is not paused any more.
    """
    world.run(1.0)
    world.group.times.promotion = 0.33
    world.orders_lost, world.orders_late = 1, LATE
    world.group.replicas[NEAR].deaf = True
    world.run(0.2)
    world.dark.add(PRIMARY)
    world.run_until(lambda: bool(world.orders), ORDER_WAIT)
    ordering = [host.logged("promotion_ordered") != [] for host in world.hosts]
    world.kill(ordering.index(True))
    world.group.replicas[NEAR].deaf = False
    world.dark.discard(PRIMARY)
    world.run(LATE + AFTER)
    assert world.group.promotions
    assert world.group.lost == []
