"""A release of all members of a group loses no acknowledged commit.

Beside it the primary fails, and hosts, orders and replicas are late or out of reach.
"""

from __future__ import annotations

import pytest

from tests.fakes.fleets import LARGE
from tests.fakes.releaseplay import ReleasePlay

# Numbers of members, and seeds.
PLAYS = ((3, 8), (3, 10), (4, 8), (4, 10), (5, 8), (5, 10))
# The same where few hosts are holders.
LARGE_PLAYS = ((3, 8), (4, 10))


@pytest.mark.parametrize(("members", "seed"), PLAYS)
def test_no_acknowledged_commit_is_lost(members: int, seed: int):
    """Guard against commits lost as members are replaced, beside other faults."""
    play = ReleasePlay(seed, members)
    play.run()
    assert play.world.group.lost == []


@pytest.mark.parametrize(("members", "seed"), LARGE_PLAYS)
def test_no_acknowledged_commit_of_a_large_fleet_is_lost(members: int, seed: int):
    """Guard against commits of hosts behind holders, lost as members are replaced."""
    play = ReleasePlay(seed, members, LARGE)
    play.run()
    assert play.world.group.lost == []


def test_a_seed_repeats_its_play():
    """Guard against findings that their seed does not show again."""
    first, second = ReleasePlay(8, 3), ReleasePlay(8, 3)
    first.run()
    second.run()
    assert first.world.notes == second.world.notes
