"""Tests of what is drawn for an order to promote."""

from __future__ import annotations

import random

from tests.soak.strikes import LATE, Strike


def _draw(seed: int, count: int) -> list[Strike]:
    rng = random.Random(seed)
    return [Strike.draw(rng) for _ in range(count)]


def test_a_seed_repeats_its_strikes():
    """Guard against a finding whose faults can't be repeated."""
    assert _draw(1, 20) == _draw(1, 20)
    assert _draw(1, 20) != _draw(2, 20)


def test_strikes_are_late_and_now_and_then_disturb_members():
    """Guard against strikes after which the order can't lose anything."""
    strikes = _draw(1, 100)
    assert all(LATE[0] <= strike.late <= LATE[1] for strike in strikes)
    assert {bool(strike.deaf) for strike in strikes} == {False, True}
    assert {strike.restart_delay is None for strike in strikes} == {False, True}
