"""Random faults of a group and its hosts lose no acknowledged commit.

The stand-in is as strict as the platform: members receive at distances of their own,
connections outlive the hosts that close them, and orders are carried out late.
"""

from __future__ import annotations

import pytest

from tests.fakes.fleets import LARGE
from tests.fakes.strictplay import StrictPlay

SEEDS = (*range(1, 6), 32, 50, 85, 100, 112)
LARGE_SEEDS = (1,)  # where few hosts are holders


@pytest.mark.parametrize("seed", SEEDS)
def test_no_acknowledged_commit_is_lost(seed: int):
    """Guard against commits lost where faults of members, hosts and orders overlap."""
    play = StrictPlay(seed)
    play.run()
    assert play.world.group.lost == []


@pytest.mark.parametrize("seed", LARGE_SEEDS)
def test_no_acknowledged_commit_of_a_large_fleet_is_lost(seed: int):
    """Guard against commits of hosts behind holders, lost where faults overlap."""
    play = StrictPlay(seed, fleet=LARGE)
    play.run()
    assert play.world.group.lost == []


def test_a_seed_repeats_its_play():
    """Guard against findings that their seed does not show again."""
    first, second = StrictPlay(1), StrictPlay(1)
    first.run()
    second.run()
    assert first.world.notes == second.world.notes
