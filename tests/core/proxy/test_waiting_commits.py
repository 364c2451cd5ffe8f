"""Commits that wait at a primary which hosts lose are not acknowledged past a target.

The primary keeps the connections that hosts have reset, and acknowledges the commits on
them as soon as a replica receives.
"""

from __future__ import annotations

import pytest

from tests.fakes.hangplay import HangPlay

# Numbers of members, whether few hosts are holders, and seeds.
PLAYS = ((3, False, 2), (3, False, 8), (3, False, 10), (4, False, 9), (3, True, 10))


@pytest.mark.parametrize(("members", "few_holders", "seed"), PLAYS)
def test_no_commit_is_lost_that_waited_at_a_primary_nobody_reaches(
    members: int, few_holders: bool, seed: int
):
    """Guard against commits acknowledged after their connections were reset."""
    play = HangPlay(seed, members, few_holders=few_holders)
    play.run()
    assert play.world.orders
    assert play.world.group.lost == []
    assert play.world.group.unguarded == []


def test_a_seed_repeats_its_play():
    """Guard against findings that their seed does not show again."""
    first, second = HangPlay(1), HangPlay(1)
    first.run()
    second.run()
    assert first.world.notes == second.world.notes
