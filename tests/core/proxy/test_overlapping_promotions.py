"""Acknowledged commits survive promotion orders for different members of one group.

A primary leaves while a replica does not answer for longer than a claim lasts. Several
hosts then compare replicas at the same time, each under a claim of its own.
"""

from __future__ import annotations

import random

import pytest

from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.effects import OrderPromotion
from mallowpass.core.proxy.statements import Write
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import MEMBERS, SERVICE, ProxyWorld

DISTANCE = 0.012  # seconds that a message takes from one region to another
WRITE_INTERVAL = 0.05  # seconds between two writes of a host
CLAIM_KEY = RowKey(Table.CLAIMS, SERVICE, "primary")
FOUR_MEMBERS = {**MEMBERS, "db-casa-2": "casa"}


def keep_writing(world: ProxyWorld) -> None:
    """Write at all hosts, twenty times a second."""
    for index in range(len(world.hosts)):
        world.caller(index, "own").send(Write("a 1"))
    world.timers.after(WRITE_INTERVAL, keep_writing, world)


def new_world(seed: int, promotion: float) -> ProxyWorld:
    """Return a world of six hosts and four members under load."""
    times = GroupTimes(promotion=promotion)
    world = ProxyWorld(
        hosts=6, seed=seed, members=FOUR_MEMBERS, distance=DISTANCE, times=times
    )
    keep_writing(world)
    return world


def drain_primary(world: ProxyWorld, heartbeats: Heartbeats) -> None:
    """Have the primary report that it leaves."""
    heartbeats.draining.add(world.primary.name)
    heartbeats.renew(world.primary)


def play(seed: int) -> ProxyWorld:
    """Have a primary leave while a replica does not answer for a while."""
    rng = random.Random(seed)
    world = new_world(seed, rng.choice((0.3, 0.6, 1.0)))
    heartbeats = Heartbeats(world)
    world.run(2.0)
    primary = world.primary.name
    silent = rng.choice([name for name in FOUR_MEMBERS if name != primary])
    world.crash(silent, dark=True)
    world.run(rng.uniform(0.0, 0.5))
    drain_primary(world, heartbeats)
    world.run(rng.uniform(2.0, 8.0))
    world.restart(silent)
    world.run(8.0)
    return world


@pytest.mark.parametrize("seed", [19, 24, 43, 75, 81, 109, 110, 115])
def test_replica_that_was_waited_for_loses_nothing(seed: int):
    """Guard against a second comparison that begins after an accepted order."""
    world = play(seed)
    assert world.group.promotions
    assert world.group.lost == []


@pytest.mark.parametrize("seed", [3, 19, 24, 43])
def test_newest_claim_names_each_order_that_is_sent(
    seed: int, monkeypatch: pytest.MonkeyPatch
):
    """Guard against an order of which the next host that claims knows nothing."""
    unknown = []
    take_order = ProxyWorld.order

    def order(world: ProxyWorld, host: Host, order: OrderPromotion):
        newest = Claim.decode(world.store.get(CLAIM_KEY).value)
        if order.endpoint not in dict(newest.ordered):
            unknown.append((order.endpoint, order.fencing_token, newest))
        return take_order(world, host, order)

    monkeypatch.setattr(ProxyWorld, "order", order)
    world = play(seed)
    assert world.orders
    assert unknown == []
