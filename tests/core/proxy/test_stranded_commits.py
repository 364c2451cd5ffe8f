"""Commits of hosts that told nothing of them are not acknowledged past a target.

Such hosts did not confirm a fence, and lose the primary or end with commits in flight.
"""

from __future__ import annotations

import pytest

from tests.fakes.fleets import FLEETS
from tests.fakes.strandplay import StrandPlay

# Numbers of members, what becomes of the hosts, fleets, and seeds.
PLAYS = (
    (3, "cut", "small", 7),
    (4, "cut", "small", 1),
    (3, "cut", "large", 1),
    (3, "kill", "small", 8),
    (3, "restart", "small", 8),
)


@pytest.mark.parametrize(("members", "how", "fleet", "seed"), PLAYS)
def test_no_commit_is_lost_that_waited_as_leases_were_outwaited(
    members: int, how: str, fleet: str, seed: int
):
    """Guard against commits that wait for paused replicas and outlive the lease."""
    play = StrandPlay(seed, members, how, FLEETS[fleet])
    play.run()
    assert play.has_awaited
    assert play.world.orders
    assert play.world.group.lost == []
    assert play.world.group.unguarded == []
