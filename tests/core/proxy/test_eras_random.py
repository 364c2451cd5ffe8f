"""Restores of the store from backups, among all other faults in random order."""

from __future__ import annotations

import itertools

import pytest

from tests.fakes.randomplay import RandomPlay


@pytest.mark.parametrize("fences", [True, False])
@pytest.mark.parametrize("seed", range(1, 7))
def test_no_guarantee_is_broken(seed: int, fences: bool):
    play = RandomPlay(seed, 0.6, fences=fences, copies=True)
    play.run()
    group, world = play.world.group, play.world
    assert len(group.acknowledged) > 100
    assert group.lost == []
    assert group.overtaken == []
    assert world.oracle.stale == []
    pairs = itertools.combinations(world.tokens_of_hosts, 2)
    assert all(one[0] == other[0] or one[1] != other[1] for one, other in pairs)
