"""A host that reaches the store learns there of the orders of a host it can't hear.

The simulated platform checks no fencing tokens, and a replaced primary goes on as
primary until it is demoted or has been able to reach its successor for a second.
"""

from __future__ import annotations

import pytest

from mallowpass.core.proxy.claims import Claim
from mallowpass.core.proxy.fencing import Fencing
from mallowpass.core.proxy.storage import RowKey, Table
from mallowpass.standins.proxied.virtual.world import SERVICE, ProxyWorld
from tests.core.proxy.test_acknowledged_late import (
    LATE_TIMES,
    PROMOTION_TIMES,
    Writers,
    late_world,
    run_until_led,
    run_until_ordered,
)
from tests.core.proxy.test_replaced import OLD, OTHERS, check_guarantees, weak_world
from tests.core.proxy.test_replacement_detection import keep_entering

CLAIM_KEY = RowKey(Table.CLAIMS, SERVICE, "primary")
NEVER = 9e9  # seconds of the store's clock at which an order expires


def is_fenced(world: ProxyWorld) -> bool:
    """Return whether the first host fences the primary."""
    host = world.hosts[0]
    return host.node.system(Fencing).is_fenced(host.tables.endpoints[OLD])


@pytest.mark.parametrize("promotion", PROMOTION_TIMES)
@pytest.mark.parametrize("late", LATE_TIMES)
def test_a_host_that_is_cut_from_the_others_gets_no_late_acknowledgement(
    late, promotion
):
    """Guard against commits of a replaced primary at a host that hears no other host.

    The hosts that replace the primary reach neither it nor the hosts that write there,
    and all of them reach the store.
    """
    world = late_world(late, promotion)
    keep_entering(world)
    writers = Writers(world, 0, 1, 2, 3)
    world.run(1.0)
    for index in (1, 2):
        world.cut(index, OLD, "host-0", "host-3")
    run_until_ordered(world, writers)
    run_until_led(world)
    check_guarantees(world)


def test_a_claim_without_an_order_fences_nothing():
    """Guard against a healthy primary that is fenced while replicas are compared."""
    world = weak_world()
    world.run(1.0)
    world.store.put(CLAIM_KEY, Claim(1, "host-9", OLD, 1.0).encode())
    world.run(0.5)
    assert not is_fenced(world)


def test_an_order_for_the_primary_itself_fences_nothing():
    """Guard against a primary that is fenced as its own promotion was ordered."""
    world = weak_world()
    world.run(1.0)
    claim = Claim(1, "host-9", OLD, 1.0, ordered=((OLD, NEVER),))
    world.store.put(CLAIM_KEY, claim.encode())
    world.run(0.5)
    assert not is_fenced(world)


def test_an_order_that_has_expired_fences_nothing():
    """Guard against a host that fences a primary as it reads an old claim."""
    world = weak_world()
    world.run(1.0)
    claim = Claim(1, "host-9", OLD, 1.0, ordered=((OTHERS[0], 1.0),))
    world.store.put(CLAIM_KEY, claim.encode())
    world.run(0.5)
    assert not is_fenced(world)


def test_a_claim_that_cannot_be_read_is_logged_once():
    """Guard against a host that ends, or logs without end, for a row of others."""
    world = weak_world()
    world.run(1.0)
    for _ in range(3):
        world.store.put(CLAIM_KEY, "what is this")
        world.run(0.5)
    assert len(world.hosts[0].logged("claim_unreadable")) == 1
    assert not is_fenced(world)


def test_a_platform_that_fences_needs_no_watch_of_claims():
    """Guard against calls to the store where a promotion fences the primary."""
    world = ProxyWorld(hosts=4)
    world.run(1.0)
    claim = Claim(1, "host-9", OLD, 1.0, ordered=((OTHERS[0], NEVER),))
    world.store.put(CLAIM_KEY, claim.encode())
    world.run(0.5)
    assert not is_fenced(world)
