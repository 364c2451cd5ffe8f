"""A full primary is slow, or has only as much to do as its replicas."""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.policy.slowness import is_slow
from mallowpass.core.proxy.storage import EndpointEntry
from mallowpass.core.proxy.tables import EndpointRow, GroupRow
from mallowpass.measure.policy.deployment import Deployment
from mallowpass.measure.policy.patterns import PATTERNS
from mallowpass.measure.policy.run import Run

NAMES = ("db-casa", "db-tanger", "db-agadir")
SMALL = Deployment(hosts=8, connections=22)


def _group(*latencies: float, leaving: str = "") -> GroupRow:
    """Return a group whose members take so long, in seconds; the first one leads."""
    group = GroupRow("ledger", primary=NAMES[0])
    for name, latency in zip(NAMES, latencies, strict=True):
        entry = EndpointEntry(
            name, "ledger", f"{name}:5432", "casa", 3, name == leaving, False, 1
        )
        group.endpoints[name] = EndpointRow(entry, 1, latency=latency)
    return group


@pytest.mark.parametrize(
    ("latencies", "slow"),
    [
        ((0.36, 0.02, 0.04), True),
        ((0.10, 0.02, 0.04), False),  # full, and as fast as the others
        ((0.36, 0.12, 0.13), False),  # the others have as much to do
        ((0.36, 0.0, 0.04), False),  # the near one was not used yet
        ((0.36, 0.0, 0.0), False),
    ],
)
def test_a_primary_is_compared_with_its_replicas(latencies, slow):
    assert is_slow(_group(*latencies)) is slow


def test_a_replica_that_leaves_relieves_nobody():
    assert not is_slow(_group(0.36, 0.02, 0.13, leaving="db-tanger"))


def test_a_group_without_a_primary_has_no_slow_one():
    group = _group(0.36, 0.02, 0.02)
    group.primary = ""
    assert not is_slow(group)


def _promotions(name: str, seed: int) -> int:
    pattern = next(p for p in PATTERNS if p.name == name)
    run = Run(SMALL, seed)
    run.play(pattern)
    assert run.broken_promises() == ()
    return run.world.group.promotions


def test_a_slow_primary_hands_over():
    """Symptom: most writes are refused for as long as a primary is slow.

    Sequence: a primary is five times as slow, for five seconds. Its writes take so long
    that hosts suspect it of acknowledging none, and find that its replicas receive.
    Cause: that settled the matter, and it was kept.
    """
    assert sum(_promotions("slow-primary", seed) for seed in (1, 2, 3)) >= 2


@pytest.mark.parametrize("name", ["calm", "burst", "slow-replica"])
def test_a_primary_that_is_no_slower_is_kept(name):
    assert _promotions(name, 1) == 0
