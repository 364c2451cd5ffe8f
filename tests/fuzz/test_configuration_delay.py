"""Many random plays in which the configuration changes, with several bounds."""

from __future__ import annotations

import pytest

from tests.fakes.configurationplay import PLAYS, ConfigurationPlay, Disturbance

SEEDS = range(1, 61)
# Hosts, and the seconds within which a change must be in force and hosts must recover.
FLEETS = ((24, 5.0, 6.0), (24, 6.0, 6.0), (24, 6.0, 8.0), (9, 3.0, 4.0), (9, 4.0, 5.0))


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(("hosts", "apply_time", "settle_time"), FLEETS)
@pytest.mark.parametrize("kinds", PLAYS.values(), ids=PLAYS)
def test_no_host_in_touch_has_an_older_configuration_than_it_must(
    kinds: tuple[type[Disturbance], ...],
    hosts: int,
    apply_time: float,
    settle_time: float,
    seed: int,
):
    play = ConfigurationPlay(seed, kinds, hosts, apply_time, settle_time)
    play.run()
    assert play.late == []
