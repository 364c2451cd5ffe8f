"""An order to promote a member outlives the host that sent it, and loses no commit.

The host is struck as its order is pending; members, orders and other hosts fail beside.
"""

from __future__ import annotations

import pytest

from tests.fakes.fleets import LARGE
from tests.fakes.killedplay import KilledPlay

# Ways to strike the host, numbers of members, and seeds.
PLAYS = (
    ("kill", 3, 14),
    ("kill", 3, 19),
    ("kill", 3, 23),
    ("kill", 3, 43),
    ("kill", 4, 1),
    ("kill", 4, 14),
    ("freeze", 3, 89),
    ("freeze", 3, 96),
    ("freeze", 4, 8),
    ("lose_store", 3, 14),
    ("lose_store", 3, 43),
    ("lose_store", 3, 466),
    ("lose_hosts", 3, 27),
    ("lose_hosts", 3, 32),
    ("lose_all", 3, 35),
    ("lose_all", 3, 90),
)
# The same where few hosts are holders.
LARGE_PLAYS = (("kill", 3, 14),)


@pytest.mark.parametrize(("how", "members", "seed"), PLAYS)
def test_no_commit_is_acknowledged_that_a_pending_order_may_lose(
    how: str, members: int, seed: int
):
    """Guard against commits lost to an order that outlives the host that sent it."""
    play = KilledPlay(seed, members, how)
    play.run()
    assert play.world.group.lost == []
    assert play.world.group.unguarded == []


@pytest.mark.parametrize(("how", "members", "seed"), LARGE_PLAYS)
def test_no_commit_of_a_large_fleet_is_lost_by_a_pending_order(
    how: str, members: int, seed: int
):
    """Guard against commits of hosts behind holders, lost as an order has no host."""
    play = KilledPlay(seed, members, how, LARGE)
    play.run()
    assert play.world.group.lost == []
    assert play.world.group.unguarded == []


def test_a_seed_repeats_its_play():
    """Guard against findings that their seed does not show again."""
    first, second = KilledPlay(14), KilledPlay(14)
    first.run()
    second.run()
    assert first.world.notes == second.world.notes
