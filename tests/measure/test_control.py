"""Slopes against a case worked out by hand, and tiny runs with sane figures."""

from __future__ import annotations

import json

import pytest

from mallowpass.measure.control import (
    PARTS,
    ControlOptions,
    control_to_json,
    measure_control,
    render_control,
)
from mallowpass.measure.sizes import slope_of, steps
from mallowpass.measure.virtual import VirtualFleet
from mallowpass.settings.host import TimingSection


def test_slope_is_that_of_least_squares():
    # Means 2 and 3; the sum of products of deviations is 4, of squares 2: slope 2.
    slope = slope_of("bytes", "hosts", [(3, 5.0), (1, 1.0), (2, 3.0)])
    assert (slope.slope, slope.intercept, slope.error) == (2.0, -1.0, 0.0)
    assert slope.at(10) == 19.0


def test_spread_shows_a_curve():
    # The line through 1, 4, 9 is 4x - 10/3; it misses them by 1/3, -2/3 and 1/3.
    slope = slope_of("bytes", "hosts", [(1, 1.0), (2, 4.0), (3, 9.0)])
    assert slope.slope == pytest.approx(4.0)
    assert (slope.low, slope.high) == (3.0, 5.0)
    assert slope.error == pytest.approx((6 / 9 / 1 / 2) ** 0.5)


def test_two_sizes_are_no_slope():
    with pytest.raises(ValueError, match="2 sizes, 3 are needed"):
        slope_of("bytes", "hosts", [(1, 1.0), (2, 4.0)])


def test_steps_double_up_to_the_largest():
    assert steps(64) == (8, 16, 32, 64)
    assert steps(12, 3) == (3, 6, 12)
    with pytest.raises(ValueError, match="too small"):
        steps(2)


def test_idle_watching_costs_what_the_watches_say():
    fleet = VirtualFleet(1, 3)
    fleet.run(10.0)
    host = fleet.alive[0]
    assert all(row.primary for row in host.node.tables.databases.values())
    before = host.spent.copy()
    fleet.run(10.0)
    spent = host.spent.since(before)
    # One steward: a primary reports ten times a second, a replica once in two.
    assert 0.95 * 3 * 110 <= spent.control_messages <= 1.1 * 3 * 110
    assert spent.peer_messages == 0
    assert 50 <= spent.control_bytes / spent.control_messages <= 120


def test_echoes_stand_for_hosts_that_agree():
    fleet = VirtualFleet(1, 0, seats=100, echoes=99)
    fleet.run(30.0)
    host = fleet.alive[0]
    assert len(host.node.tables.hosts) == 99
    before = host.spent.copy()
    fleet.run(10.0)
    # Six links of its own choice, a heartbeat in a quarter of a second, both ways.
    assert host.spent.since(before).peer_messages == 6 * 4 * 2 * 10


def test_times_are_those_of_a_host_that_serves():
    timing = TimingSection()
    tuning = VirtualFleet(1).tuning
    assert (tuning.heartbeat, tuning.suspicion) == (timing.heartbeat, timing.suspicion)


@pytest.mark.parametrize("part", ["steward", "sessions", "shares"])
def test_tiny_run_grows_with_size(part):
    options = ControlOptions(hosts=64, databases=8, sessions=64, parts=(part,))
    report = measure_control(options, "test")
    assert set(PARTS) > {part}
    assert all(slope.slope > 0 for slope in report.slopes)
    assert len(list(render_control(report))) == 1 + 2 * len(report.slopes)
    assert json.loads(control_to_json(report))["options"]["databases"] == 8
