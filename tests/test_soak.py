"""The soak's own run in CI: one short seed, and every seed that ever failed."""

from __future__ import annotations

import asyncio

import pytest

from tests.soak.run import soak

DURATION = 5.0  # seconds of faults


@pytest.mark.parametrize("seed", [1])
def test_short_seed(seed):
    verdict = asyncio.run(soak(seed, DURATION, hosts=3))
    assert verdict.broken == (), verdict
    assert verdict.codes["DONE"] > 100
