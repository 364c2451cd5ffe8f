"""A promotion order is known as pending for as long as it may be carried out.

An order is stored while the fence is awaited. A host is cut off, so the comparison is
repeated after that, and then waits for a replica that has gone dark.
"""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.claims import CLAIM_TIMEOUT, Claim
from mallowpass.core.proxy.pendingorders import LATE_ORDER_TIMEOUT
from mallowpass.standins.proxied.replicas import GroupTimes
from mallowpass.standins.proxied.virtual.heartbeats import Heartbeats
from mallowpass.standins.proxied.virtual.hosts import Host
from mallowpass.standins.proxied.virtual.world import ProxyWorld
from tests.core.proxy.test_near_replicas import (
    AFTER,
    DISTANCE,
    FAR_DISTANCE,
    FOUR_MEMBERS,
    LATE,
    NEAR,
    NEAR_DISTANCE,
    ORDER_WAIT,
    PRIMARY,
    Writers,
)
from tests.core.proxy.test_overlapping_promotions import CLAIM_KEY

TARGET, SILENT = "db-casa-2", "db-agadir"
SILENCE = 4.0  # seconds for which the replica does not answer


def promoter(world: ProxyWorld) -> Host | None:
    """Return the host that has stored an order, once it is stored.

    A claim that names a likely target from the start names it for the longest time.
    """
    row = world.store.get(CLAIM_KEY)
    if row is None or not row.value:
        return None
    claim = Claim.decode(row.value)
    until = dict(claim.ordered).get(TARGET, claim.time)
    if not claim.time < until < claim.time + CLAIM_TIMEOUT + LATE_ORDER_TIMEOUT:
        return None
    return next(host for host in world.hosts if host.name == claim.holder)


def wait_after_storing(cut_off: int, late: float) -> ProxyWorld:
    """Return a world just after an order that gets no answer was sent."""
    world = ProxyWorld(
        hosts=3,
        members=FOUR_MEMBERS,
        distance=DISTANCE,
        times=GroupTimes(promotion=0.33),
    )
    for name, replica in world.group.replicas.items():
        is_near = name in (PRIMARY, NEAR)
        replica.distance = NEAR_DISTANCE if is_near else FAR_DISTANCE
    Writers(world)
    Heartbeats(world)
    world.run(1.0)
    world.orders_lost, world.orders_late = 1, late
    world.group.replicas[NEAR].deaf = True
    world.run(0.2)
    world.dark.add(PRIMARY)
    others = [host for host in world.hosts if host is not world.hosts[cut_off]]
    world.cut(cut_off, "store", *(host.name for host in others))
    world.run_until(lambda: promoter(world) is not None, ORDER_WAIT)
    assert not world.orders
    for host in world.hosts:
        if host is not promoter(world):
            host.cut_from.add("store")
    world.dark.add(SILENT)
    world.run(SILENCE)
    world.dark.discard(SILENT)
    world.run_until(lambda: bool(world.orders), ORDER_WAIT)
    assert [order.endpoint for order in world.orders] == [TARGET]
    return world


@pytest.mark.parametrize("cut_off", [0, 1, 2])
def test_order_that_was_stored_early_is_named_until_it_can_not_come(cut_off: int):
    """Guard against an order that hosts have forgotten before it is carried out.

    The time for which it is pending began as it was stored, seconds before it was sent.
    """
    world = wait_after_storing(cut_off, LATE)
    newest = Claim.decode(world.store.get(CLAIM_KEY).value)
    assert dict(newest.ordered)[TARGET] >= world.timers.now + LATE


@pytest.mark.parametrize(("cut_off", "late"), [(0, 11.95), (0, 12.0), (1, 11.99)])
def test_order_that_was_stored_early_loses_nothing(cut_off: int, late: float):
    """Guard against replicas that receive while an old order may be carried out.

    The host that ordered ends, the primary is back, and all replicas are resumed as the
    order's time in the claim is over. Its target then leads without a commit.
    """
    world = wait_after_storing(cut_off, late)
    world.orders_lost = 0
    has_ordered = [bool(host.logged("promotion_ordered")) for host in world.hosts]
    world.kill(has_ordered.index(True))
    for host in world.hosts:
        host.cut_from.clear()
    world.group.replicas[NEAR].deaf = False
    world.dark.discard(PRIMARY)
    world.run(LATE + AFTER)
    assert world.group.promotions
    assert world.group.lost == []
