"""A failure domain that is cut off whole, also from the store, beside its primary.

Few hosts are holders; the domain has one.
"""

from __future__ import annotations

import pytest

from tests.fakes.domainplay import DomainPlay

SHORT = 3.0  # seconds: entries of the domain's endpoints do not lapse
LONG = 10.0
SERVED_MIN = 0.9  # of the writes in the domain


@pytest.mark.parametrize("seed", [1, 2])
def test_domain_cut_off_with_its_primary_and_a_replica_serves_writes(seed: int):
    """Guard against leases that end although nobody can replace the primary."""
    play = DomainPlay(seed, cut_time=SHORT)
    play.run()
    assert len(play.holders) == 1
    assert play.served_share(0.0, SHORT) > SERVED_MIN
    assert play.world.group.lost == []


@pytest.mark.parametrize("seed", [1, 2])
def test_no_commit_is_lost_as_a_domain_is_cut_off_for_long(seed: int):
    """Guard against a promotion without a replica whose entry has lapsed."""
    play = DomainPlay(seed, cut_time=LONG)
    play.run()
    assert play.world.group.lost == []
