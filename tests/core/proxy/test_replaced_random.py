"""Random faults on a platform that checks no fencing tokens and demotes no primary.

Two faults are left to `test_replaced` and `test_pending_orders`: promotion orders that
get no answer and are carried out late, and a primary that is reached only by hosts
without the store. The design describes what these two still allow together.
"""

from __future__ import annotations

import itertools

import pytest

from tests.fakes.randomplay import RandomPlay

# Seeds, and seconds that the platform takes for a promotion.
PLAYS = (*itertools.product(range(1, 7), (0.3, 1.0)), (47, 0.3), (17, 1.0))


@pytest.mark.parametrize(("seed", "promotion"), PLAYS)
def test_no_guarantee_is_violated(seed: int, promotion: float):
    """Guard against lost commits and stale reads beside a primary that goes on."""
    play = RandomPlay(seed, promotion)
    play.run()
    group = play.world.group
    assert len(group.acknowledged) > 100
    assert group.lost == []
    assert group.overtaken == []
    assert play.world.oracle.stale == []
