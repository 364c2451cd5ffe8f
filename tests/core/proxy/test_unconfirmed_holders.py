"""A holder that did not confirm its fence has no commit acknowledged that gets lost.

It is cut off, slow or frozen. The target of the order receives nothing any more, and
the pauses of the other replicas end.
"""

from __future__ import annotations

import pytest

from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from tests.core.proxy.test_fence_limits import (
    PRIMARY,
    new_world,
    run_until_ordered,
)
from tests.fakes.fleets import LARGE
from tests.fakes.orderplay import OrderPlay

# Ways to strike the holders, numbers of members, and seeds.
PLAYS = (
    ("alone", 3, 18),
    ("alone", 4, 3),
    ("alone_with_store", 3, 13),
    ("alone_without_store", 3, 13),
    ("island", 3, 6),
    ("slow", 3, 13),
    ("slow", 3, 18),
    ("freeze", 3, 10),
    ("kill", 3, 1),
)
# The same where few hosts are holders.
LARGE_PLAYS = (
    ("alone_with_store", 3, 1),
    ("island", 3, 2),
    ("freeze", 4, 3),
)
# Times are in seconds.
DOWN_TIME = 0.05  # of the replica that restarts
RESTART_DELAY = 0.1  # from the order until then


def test_holder_that_nobody_reaches_loses_no_commit():
    """Guard against commits of a holder cut off from the other hosts and the store."""
    world = new_world()
    heartbeats = Heartbeats(world)
    for index in (0, 1, 2):
        world.cut(index, PRIMARY)
    holder = world.hosts[3]
    holder.cut_from |= {host.name for host in world.hosts[:3]} | {"store"}
    target, other = run_until_ordered(world)
    world.group.replicas[target].deaf = True
    world.run(RESTART_DELAY)
    world.crash(other)
    world.run(DOWN_TIME)
    world.group.start(other)
    heartbeats.renew(world.group.replicas[other])
    world.run(2.0)
    assert world.group.promotions
    assert world.group.lost == []
    assert world.group.unguarded == []


@pytest.mark.parametrize(("how", "members", "seed"), PLAYS)
def test_no_commit_is_lost_as_holders_do_not_confirm_a_fence(
    how: str, members: int, seed: int
):
    """Guard against commits between an order and the lead, as a pause ends."""
    play = OrderPlay(seed, members, how)
    play.run()
    assert play.world.orders
    assert play.world.group.lost == []
    assert play.world.group.unguarded == []


@pytest.mark.parametrize(("how", "members", "seed"), LARGE_PLAYS)
def test_no_commit_of_a_large_fleet_is_lost_as_holders_do_not_confirm_a_fence(
    how: str, members: int, seed: int
):
    """Guard against commits of hosts that connect past the holders that are struck."""
    play = OrderPlay(seed, members, how, fleet=LARGE)
    play.run()
    assert play.world.orders
    assert play.world.group.lost == []
    assert play.world.group.unguarded == []


def test_no_commit_is_lost_by_late_orders_of_several_claims():
    """Guard against a fence that ends with one lead as a newer order is pending."""
    play = OrderPlay(23, 3, "slow", beside=("drain", "late"))
    play.run()
    assert play.world.orders
    assert play.world.group.lost == []


def test_a_seed_repeats_its_play():
    """Guard against findings that their seed does not show again."""
    first, second = OrderPlay(1), OrderPlay(1)
    first.run()
    second.run()
    assert first.world.notes == second.world.notes
