"""Faults in random order, on a platform that checks no fence and demotes nobody.

Orders that get no answer and are carried out late, and a primary that only hosts
without the store reach, are played in `test_replaced` and `test_standing_orders`: what
they still allow together is told in the design.
"""

from __future__ import annotations

import pytest

from tests.fakes.randomplay import RandomPlay


@pytest.mark.parametrize("promotion", [0.3, 1.0])
@pytest.mark.parametrize("seed", range(1, 7))
def test_no_promise_is_broken(seed: int, promotion: float):
    play = RandomPlay(seed, promotion)
    play.run()
    group = play.world.group
    assert len(group.acknowledged) > 100
    assert group.lost == []
    assert group.overtaken == []
    assert play.world.oracle.stale == []
